/*
 * The state that an entry works with, as last received from its control:
 * configuration, assignments, members, and the lease during which it may take
 * new work.
 */
#ifndef AUBURNSTILE_INTERNAL_ENTRY_VIEW_H
#define AUBURNSTILE_INTERNAL_ENTRY_VIEW_H

#include <auburnstile/event.h>
#include <auburnstile/inventory.h>
#include <auburnstile/message.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct aub_entry_view;

struct aub_entry_view_options {
	const char *control; /* address "ip:port" of the control; copied */
	const struct aub_hello *hello; /* of this entry; borrowed */
	struct aub_timer_service *timers; /* borrowed */
	struct aub_event_ring *events; /* borrowed */
	/* Called when a view became active or the serving lease expired. */
	void (*changed)(void *context);
	void *context;
};

struct aub_entry_view *aub_entry_view_new(
	const struct aub_entry_view_options *options);
void aub_entry_view_free(struct aub_entry_view *view);

/* Applies a view as if the control had sent it. `message` is borrowed. */
void aub_entry_view_apply(struct aub_entry_view *view,
			  const struct aub_view *message);

/* Returns true while the serving lease allows new work. */
bool aub_entry_view_serving(const struct aub_entry_view *view);

/*
 * These return borrowed pointers, valid until the next change, or NULL if there
 * is none.
 */
struct aub_inventory *aub_entry_view_inventory(
	const struct aub_entry_view *view);
const struct aub_assignment *aub_entry_view_assignment(
	const struct aub_entry_view *view, const char *service);
const struct aub_member *aub_entry_view_member(
	const struct aub_entry_view *view, guint64 incarnation);

/*
 * Returns the incarnation that took over the keys of an entry after its planned
 * stop, or 0 if it is unknown.
 */
guint64 aub_entry_view_successor(const struct aub_entry_view *view,
				 guint64 incarnation);

/* Call `visit` for each assignment or each member. */
typedef void aub_assignment_visitor(const struct aub_assignment *assignment,
				    void *context);
void aub_entry_view_assignments(const struct aub_entry_view *view,
				aub_assignment_visitor *visit, void *context);
typedef void aub_member_visitor(const struct aub_member *member, void *context);
void aub_entry_view_members(const struct aub_entry_view *view,
			    aub_member_visitor *visit, void *context);

guint64 aub_entry_view_config_version(const struct aub_entry_view *view);
guint64 aub_entry_view_epoch(const struct aub_entry_view *view);

/*
 * Reported to the control with the next acknowledgement; stopping and the
 * successor are sent immediately.
 */
void aub_entry_view_set_stopping(struct aub_entry_view *view);
void aub_entry_view_set_successor(struct aub_entry_view *view,
				  guint64 successor);
void aub_entry_view_set_load(struct aub_entry_view *view, guint32 permille);

/* Returns true if no data is queued for the control. */
bool aub_entry_view_flushed(const struct aub_entry_view *view);

G_END_DECLS

#endif

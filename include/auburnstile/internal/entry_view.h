/*
 * What an entry works by: configuration, assignments and members, as its
 * control last told, and for how long it may take new work.
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
	const char *control; /* "ip:port" of its control; copied */
	const struct aub_hello *hello; /* its own; borrowed */
	struct aub_timer_service *timers; /* borrowed */
	struct aub_event_ring *events; /* borrowed */
	/* A view came into force, or permission to serve lapsed. */
	void (*changed)(void *context);
	void *context;
};

struct aub_entry_view *aub_entry_view_new(
	const struct aub_entry_view_options *options);
void aub_entry_view_free(struct aub_entry_view *view);

/* Take a view in, as if its control had sent it. Borrowed. */
void aub_entry_view_apply(struct aub_entry_view *view,
			  const struct aub_view *message);

/* True while new work may be taken. */
bool aub_entry_view_serving(const struct aub_entry_view *view);

/* All borrowed until the next change; NULL where there is none. */
struct aub_inventory *aub_entry_view_inventory(
	const struct aub_entry_view *view);
const struct aub_assignment *aub_entry_view_assignment(
	const struct aub_entry_view *view, const char *service);
const struct aub_member *aub_entry_view_member(
	const struct aub_entry_view *view, guint64 incarnation);

/* Who took over the keys of an entry that stopped in order; 0 if unknown. */
guint64 aub_entry_view_heir(const struct aub_entry_view *view,
			    guint64 incarnation);

/* Call `visit` for each assignment or member. */
typedef void aub_assignment_visitor(const struct aub_assignment *assignment,
				    void *context);
void aub_entry_view_assignments(const struct aub_entry_view *view,
				aub_assignment_visitor *visit, void *context);
typedef void aub_member_visitor(const struct aub_member *member, void *context);
void aub_entry_view_members(const struct aub_entry_view *view,
			    aub_member_visitor *visit, void *context);

guint64 aub_entry_view_config_version(const struct aub_entry_view *view);
guint64 aub_entry_view_epoch(const struct aub_entry_view *view);

/* Told to the control with the next acknowledgement, which goes at once. */
void aub_entry_view_set_stopping(struct aub_entry_view *view);
void aub_entry_view_set_heir(struct aub_entry_view *view, guint64 successor);
void aub_entry_view_set_load(struct aub_entry_view *view, guint32 permille);

/* True when nothing waits to be written to the control. */
bool aub_entry_view_flushed(const struct aub_entry_view *view);

G_END_DECLS

#endif

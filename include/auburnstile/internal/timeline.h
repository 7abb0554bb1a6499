/*
 * Merges the events of many processes into one order that has causes before
 * their effects.
 *
 * Within a process, the sequence numbers give the order. The wall clocks of
 * processes differ, so each process gets an offset: the smallest one with which
 * no request arrives before it was relayed and no answer is received before it
 * was sent. A stable topological merge decides what remains. This module has no
 * clock or socket.
 */
#ifndef AUBURNSTILE_INTERNAL_TIMELINE_H
#define AUBURNSTILE_INTERNAL_TIMELINE_H

#include <auburnstile/event.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_timeline;

/* Selects entries; fields that are zero or NULL match all. */
struct aub_timeline_filter {
	guint64 request;
	const char *upstream;
	const char *zone; /* of the event or of its process */
	gint64 since_us; /* wall time */
	gint64 until_us;
	const char *process;
};

struct aub_timeline_entry {
	guint process; /* handle */
	gint64 time_us; /* corrected wall time, non-decreasing */
	struct aub_event event;
};

struct aub_timeline *aub_timeline_new(void);
void aub_timeline_free(struct aub_timeline *timeline);

/*
 * Adds a process and returns its handle; returns the existing one for the same
 * name and incarnation. `zone` may be "".
 */
guint aub_timeline_add_process(struct aub_timeline *timeline, const char *name,
			       const char *zone, guint64 incarnation);
/*
 * Adds an event; those of one process in the order of their sequence numbers.
 */
void aub_timeline_add_event(struct aub_timeline *timeline, guint process,
			    const struct aub_event *event);

/* Merges all events. To be called once, after everything was added. */
void aub_timeline_merge(struct aub_timeline *timeline);

guint aub_timeline_process_count(const struct aub_timeline *timeline);
const char *aub_timeline_process_name(const struct aub_timeline *timeline,
				      guint process);
/* Returns the offset that is added to the process's wall clock, in us. */
gint64 aub_timeline_offset_us(const struct aub_timeline *timeline,
			      guint process);

/*
 * Returns the entries that match the filter, in order. The array is owned by
 * the caller, the entries are borrowed.
 */
GPtrArray *aub_timeline_select(const struct aub_timeline *timeline,
			       const struct aub_timeline_filter *filter);

/*
 * Return the entries in an output format, owned by the caller. `entries` is a
 * result of aub_timeline_select().
 */
char *aub_timeline_text(const struct aub_timeline *timeline,
			const GPtrArray *entries);
char *aub_timeline_json(const struct aub_timeline *timeline,
			const GPtrArray *entries);
char *aub_timeline_svg(const struct aub_timeline *timeline,
		       const GPtrArray *entries);

/*
 * Returns a description of one request in sentences, owned by the caller; "" if
 * there is no event of it.
 */
char *aub_timeline_describe_request(const struct aub_timeline *timeline,
				    guint64 request);

G_END_DECLS

#endif

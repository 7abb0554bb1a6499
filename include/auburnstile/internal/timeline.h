/*
 * Events of many processes in one order that keeps cause before effect.
 *
 * Within a process the sequence decides. Across processes wall clocks differ,
 * so each process gets an offset: the smallest that lets no request arrive
 * before it was relayed, nor an answer come back before it was given. What
 * is left is settled by a stable topological merge. No clock or socket here.
 */
#ifndef AUBURNSTILE_INTERNAL_TIMELINE_H
#define AUBURNSTILE_INTERNAL_TIMELINE_H

#include <auburnstile/event.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_timeline;

/* Which entries to visit; zero fields let everything through. */
struct aub_timeline_filter {
	guint64 request;
	const char *upstream;
	const char *zone; /* of the event or its process */
	gint64 since_us; /* wall time */
	gint64 until_us;
	const char *process;
};

struct aub_timeline_entry {
	guint process; /* handle */
	gint64 time_us; /* corrected wall time, never falling */
	struct aub_event event;
};

struct aub_timeline *aub_timeline_new(void);
void aub_timeline_free(struct aub_timeline *timeline);

/*
 * Add a process and return its handle. Another incarnation is another
 * process. `zone` may be "".
 */
guint aub_timeline_add_process(struct aub_timeline *timeline, const char *name,
			   const char *zone, guint64 incarnation);
/* Add an event; those of one process in the order of their sequences. */
void aub_timeline_add_event(struct aub_timeline *timeline, guint process,
		      const struct aub_event *event);

/* Bring all into order. Once, after everything was added. */
void aub_timeline_merge(struct aub_timeline *timeline);

guint aub_timeline_process_count(const struct aub_timeline *timeline);
const char *aub_timeline_process_name(const struct aub_timeline *timeline,
				      guint process);
/* Added to the process's wall clock, us. */
gint64 aub_timeline_offset_us(const struct aub_timeline *timeline,
			      guint process);

/* Entries that pass the filter, in order; borrowed, the array is owned. */
GPtrArray *aub_timeline_select(const struct aub_timeline *timeline,
			       const struct aub_timeline_filter *filter);

/* Outputs, owned by the caller. `entries` as from aub_timeline_select(). */
char *aub_timeline_text(const struct aub_timeline *timeline,
			const GPtrArray *entries);
char *aub_timeline_json(const struct aub_timeline *timeline,
			const GPtrArray *entries);
char *aub_timeline_svg(const struct aub_timeline *timeline,
		       const GPtrArray *entries);

/* What became of one request, in sentences. */
char *aub_timeline_describe_request(const struct aub_timeline *timeline,
			   guint64 request);

G_END_DECLS

#endif

/*
 * The time line from the log lines of any number of gateways.
 *
 * Each line becomes an event of its process, so that the same order, filters
 * and outputs serve as for events that are asked for. Memory is bounded: what
 * is outside the filter is dropped when read, and past a limit so are further
 * events, which are counted. No files here.
 */
#ifndef AUBURNSTILE_INTERNAL_LOG_EVENTS_H
#define AUBURNSTILE_INTERNAL_LOG_EVENTS_H

#include <auburnstile/internal/timeline.h>

G_BEGIN_DECLS

/* Events kept at most; one takes some 250 bytes, 50 MB in all. */
#define AUB_LOG_EVENTS_MAX 200000

struct aub_log_events;

/* Both are borrowed; `filter`'s process, zone and times bound what is kept. */
struct aub_log_events *aub_log_events_new(
	struct aub_timeline *timeline,
	const struct aub_timeline_filter *filter);
void aub_log_events_free(struct aub_log_events *events);

/* As aub_request_trace_add_line(): false where it is no line of a log. */
bool aub_log_events_add_line(struct aub_log_events *events, const char *line);

/* Events past the limit. */
guint64 aub_log_events_dropped(const struct aub_log_events *events);

/* How a line named `event` is shown; -1: it has no place there. For tests. */
int aub_log_events_type(const char *event);

G_END_DECLS

#endif

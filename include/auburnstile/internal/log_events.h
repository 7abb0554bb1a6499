/*
 * Builds a timeline from the log lines of any number of gateways.
 *
 * Each line becomes an event of its process, so that order, filters and output
 * formats are those of events that are fetched from processes. Memory is
 * bounded: events that do not match the filter are dropped while reading, and
 * events beyond the limit are dropped and counted. This module opens no files.
 */
#ifndef AUBURNSTILE_INTERNAL_LOG_EVENTS_H
#define AUBURNSTILE_INTERNAL_LOG_EVENTS_H

#include <auburnstile/internal/timeline.h>

G_BEGIN_DECLS

/* Maximum of retained events; at some 250 bytes each they take 50 MB. */
#define AUB_LOG_EVENTS_MAX 200000

struct aub_log_events;

/*
 * Both are borrowed. Only lines that match the process, request, upstream and
 * times of `filter` become events.
 */
struct aub_log_events *aub_log_events_new(
	struct aub_timeline *timeline,
	const struct aub_timeline_filter *filter);
void aub_log_events_free(struct aub_log_events *events);

/* Adds a line. Returns false if it is not a known line of a log. */
bool aub_log_events_add_line(struct aub_log_events *events, const char *line);

/* Returns the number of events dropped beyond the limit. */
guint64 aub_log_events_dropped(const struct aub_log_events *events);

/*
 * Returns the event type of log lines named `event`, or -1 if they are not part
 * of a timeline. For tests.
 */
int aub_log_events_type(const char *event);

G_END_DECLS

#endif

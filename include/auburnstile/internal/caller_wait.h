/*
 * Estimates how long a caller has been waiting from its remaining deadline.
 *
 * A caller that retries after a refusal carries the rest of its deadline and
 * nothing else that distinguishes it from a new one. The timeouts of new
 * callers vary; their spread is learned from the requests of a route.
 */
#ifndef AUBURNSTILE_INTERNAL_CALLER_WAIT_H
#define AUBURNSTILE_INTERNAL_CALLER_WAIT_H

#include <glib.h>

G_BEGIN_DECLS

struct aub_caller_wait {
	double max_timeout_ms; /* longest remaining time observed */
	double median_timeout_ms; /* running median of the remaining times */
};

/* Records a request whose caller waits `remaining_ms` longer at most. */
void aub_caller_wait_observe(struct aub_caller_wait *wait, gint64 remaining_ms);

/*
 * Returns the estimated time for which the caller has been waiting, in ms: 0 if
 * it may be a new one, otherwise the median minus `remaining_ms`.
 */
gint64 aub_caller_wait_estimate(const struct aub_caller_wait *wait,
				gint64 remaining_ms);

G_END_DECLS

#endif

/*
 * Estimates the typical timeout of new callers as a running median.
 *
 * New requests are the majority, so the median of the remaining times lies
 * among those of new callers even while a third of the callers retry.
 */
#include <auburnstile/internal/caller_wait.h>

/* of the maximum: timeouts of callers differ by a few percent */
#define PRIOR_MEDIAN_SHARE 0.9
#define MEDIAN_STEP_SHARE 0.01 /* of the maximum, per request */

/*
 * The timeouts of new callers reach as far below the median as above it, and
 * slightly further, because the median moves down while some callers retry.
 */
#define NEW_CALLER_SPREADS 2.0

void aub_caller_wait_observe(struct aub_caller_wait *wait, gint64 remaining_ms)
{
	double remaining = (double)remaining_ms;
	double step;

	if (remaining > wait->max_timeout_ms) {
		wait->max_timeout_ms = remaining;
		if (wait->median_timeout_ms < PRIOR_MEDIAN_SHARE * remaining)
			wait->median_timeout_ms =
				PRIOR_MEDIAN_SHARE * remaining;
		return;
	}
	step = MEDIAN_STEP_SHARE * wait->max_timeout_ms;
	if (remaining > wait->median_timeout_ms)
		wait->median_timeout_ms +=
			MIN(step, remaining - wait->median_timeout_ms);
	else
		wait->median_timeout_ms -=
			MIN(step, wait->median_timeout_ms - remaining);
}

gint64 aub_caller_wait_estimate(const struct aub_caller_wait *wait,
				gint64 remaining_ms)
{
	double spread = wait->max_timeout_ms - wait->median_timeout_ms;
	double min_new_ms =
		wait->median_timeout_ms - NEW_CALLER_SPREADS * spread;

	if ((double)remaining_ms >= min_new_ms)
		return 0;
	return (gint64)(wait->median_timeout_ms - (double)remaining_ms);
}

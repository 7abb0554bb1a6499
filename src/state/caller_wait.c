/*
 * New requests are the greater part of all, so that the median of what
 * callers give lies among theirs, even while a third of them come back.
 */
#include <auburnstile/internal/caller_wait.h>

#define PRIOR_MEDIAN_SHARE \
	0.9 /* of the longest: callers differ by a few parts */
#define MEDIAN_STEP_SHARE 0.01 /* of the longest, a request */

/*
 * New ones reach as far below the median as above it, and a little further:
 * the median moves down while some come back.
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

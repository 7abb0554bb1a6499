/*
 * New requests are the greater part of all, so that the median of what
 * callers give lies among theirs, even while a third of them come back.
 */
#include <auburnstile/internal/caller_age.h>

#define PRIOR_MEDIAN 0.9 /* of the longest: callers differ by a few parts */
#define STEP 0.01 /* of the longest, a request */

/*
 * New ones reach as far below the median as above it, and a little further:
 * the median moves down while some come back.
 */
#define REACH 2.0

void aub_caller_age_observe(struct aub_caller_age *age, gint64 left_ms)
{
	double left = (double)left_ms;
	double step;

	if (left > age->longest_ms) {
		age->longest_ms = left;
		if (age->median_ms < PRIOR_MEDIAN * left)
			age->median_ms = PRIOR_MEDIAN * left;
		return;
	}
	step = STEP * age->longest_ms;
	if (left > age->median_ms)
		age->median_ms += MIN(step, left - age->median_ms);
	else
		age->median_ms -= MIN(step, age->median_ms - left);
}

gint64 aub_caller_age_of(const struct aub_caller_age *age, gint64 left_ms)
{
	double spread = age->longest_ms - age->median_ms;
	double least_ms = age->median_ms - REACH * spread;

	if ((double)left_ms >= least_ms)
		return 0;
	return (gint64)(age->median_ms - (double)left_ms);
}

/*
 * A service's slowdowns as a process that reverts to its mean: what is left
 * of a difference from it after `t` is exp(-t / holds). The mean squared jump
 * over a short gap `g` is then 2 x variance x g / holds.
 */
#include <auburnstile/internal/load_trend.h>

#include <math.h>

/* Before reports have come: bursts of some hundred milliseconds. */
#define PRIOR_SECONDS 5.0
#define PRIOR_MEAN 1.1
#define PRIOR_VARIANCE 0.3
#define PRIOR_HOLDS_S 0.3

#define MEMORY_S 60.0 /* of the upstreams' time, summed over all of them */
#define GAP_MOST_US 500000 /* what lies between is unknown beyond that */
#define HOLDS_LEAST_S 0.02
#define HOLDS_MOST_S 60.0
#define SLOWDOWN_MOST 20.0 /* more is an upstream's mistake */

void aub_load_trend_init(struct aub_load_trend *trend)
{
	*trend = (struct aub_load_trend){
		.seconds = PRIOR_SECONDS,
		.sum = PRIOR_MEAN * PRIOR_SECONDS,
		.squares = (PRIOR_VARIANCE + PRIOR_MEAN * PRIOR_MEAN) *
			   PRIOR_SECONDS,
		.jumps = 2 * PRIOR_VARIANCE * PRIOR_SECONDS / PRIOR_HOLDS_S,
	};
}

void aub_load_trend_observe(struct aub_load_trend *trend, double before,
			    double after, gint64 gap_us)
{
	double seconds = (double)gap_us / 1e6;
	double keep;

	if (gap_us <= 0 || gap_us > GAP_MOST_US)
		return;
	before = CLAMP(before, 0.0, SLOWDOWN_MOST);
	after = CLAMP(after, 0.0, SLOWDOWN_MOST);
	keep = exp(-seconds / MEMORY_S);
	trend->seconds = trend->seconds * keep + seconds;
	trend->sum = trend->sum * keep + before * seconds;
	trend->squares = trend->squares * keep + before * before * seconds;
	trend->jumps =
		trend->jumps * keep + (after - before) * (after - before);
}

double aub_load_trend_mean(const struct aub_load_trend *trend)
{
	return trend->sum / trend->seconds;
}

static double holds_s(const struct aub_load_trend *trend)
{
	double mean = aub_load_trend_mean(trend);
	double variance = trend->squares / trend->seconds - mean * mean;

	if (trend->jumps <= 0)
		return HOLDS_MOST_S;
	return CLAMP(2 * variance * trend->seconds / trend->jumps,
		     HOLDS_LEAST_S, HOLDS_MOST_S);
}

double aub_load_trend_expect(const struct aub_load_trend *trend, double told,
			     gint64 age_us)
{
	double mean = aub_load_trend_mean(trend);
	double age_s = (double)MAX(age_us, 0) / 1e6;

	return mean + (told - mean) * exp(-age_s / holds_s(trend));
}

double aub_load_trend_holds_ms(const struct aub_load_trend *trend)
{
	return holds_s(trend) * 1000;
}

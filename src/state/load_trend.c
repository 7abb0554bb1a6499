/*
 * Models a service's slowdowns as a mean-reverting process: after `t`, exp(-t /
 * correlation time) of a deviation from the mean remains. The mean squared
 * change over a short gap `g` is then 2 x variance x g / correlation time.
 */
#include <auburnstile/internal/load_trend.h>

#include <math.h>

/* The prior: interference bursts of some hundred milliseconds. */
#define PRIOR_WEIGHT_S 5.0
#define PRIOR_MEAN_SLOWDOWN 1.1
#define PRIOR_SLOWDOWN_VARIANCE 0.3
#define PRIOR_CORRELATION_S 0.3

/* In upstream time, i.e. summed over all upstreams. */
#define AVERAGING_TIME_S 60.0
/* Pairs of reports with a longer gap are ignored: changes between go unseen. */
#define REPORT_GAP_MAX_US 500000
#define CORRELATION_MIN_S 0.02
#define CORRELATION_MAX_S 60.0
#define SLOWDOWN_MAX 20.0 /* higher reports are considered erroneous */

void aub_load_trend_init(struct aub_load_trend *trend)
{
	*trend = (struct aub_load_trend){
		.seconds = PRIOR_WEIGHT_S,
		.sum = PRIOR_MEAN_SLOWDOWN * PRIOR_WEIGHT_S,
		.squared_sum = (PRIOR_SLOWDOWN_VARIANCE +
				PRIOR_MEAN_SLOWDOWN * PRIOR_MEAN_SLOWDOWN) *
			       PRIOR_WEIGHT_S,
		.squared_changes = 2 * PRIOR_SLOWDOWN_VARIANCE *
				   PRIOR_WEIGHT_S / PRIOR_CORRELATION_S,
	};
}

void aub_load_trend_observe(struct aub_load_trend *trend, double before,
			    double after, gint64 gap_us)
{
	double seconds = (double)gap_us / 1e6;
	double decay;

	if (gap_us <= 0 || gap_us > REPORT_GAP_MAX_US)
		return;
	before = CLAMP(before, 0.0, SLOWDOWN_MAX);
	after = CLAMP(after, 0.0, SLOWDOWN_MAX);
	decay = exp(-seconds / AVERAGING_TIME_S);
	trend->seconds = trend->seconds * decay + seconds;
	trend->sum = trend->sum * decay + before * seconds;
	trend->squared_sum =
		trend->squared_sum * decay + before * before * seconds;
	trend->squared_changes = trend->squared_changes * decay +
				 (after - before) * (after - before);
}

double aub_load_trend_mean(const struct aub_load_trend *trend)
{
	return trend->sum / trend->seconds;
}

static double correlation_s(const struct aub_load_trend *trend)
{
	double mean = aub_load_trend_mean(trend);
	double variance = trend->squared_sum / trend->seconds - mean * mean;

	if (trend->squared_changes <= 0)
		return CORRELATION_MAX_S;
	return CLAMP(2 * variance * trend->seconds / trend->squared_changes,
		     CORRELATION_MIN_S, CORRELATION_MAX_S);
}

double aub_load_trend_predict(const struct aub_load_trend *trend,
			      double reported, gint64 age_us)
{
	double mean = aub_load_trend_mean(trend);
	double age_s = (double)MAX(age_us, 0) / 1e6;

	return mean + (reported - mean) * exp(-age_s / correlation_s(trend));
}

double aub_load_trend_correlation_ms(const struct aub_load_trend *trend)
{
	return correlation_s(trend) * 1000;
}

/*
 * Predicts an upstream's slowdown from a load report of a certain age.
 *
 * Upstreams share their hosts, so interference from neighbours changes their
 * service times all the time. By how much and how fast is learned from the
 * reports of a service's upstreams. A fresh report counts in full; the faster
 * slowdowns change, the faster its weight decays in favor of the mean.
 */
#ifndef AUBURNSTILE_INTERNAL_LOAD_TREND_H
#define AUBURNSTILE_INTERNAL_LOAD_TREND_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * Exponentially decayed sums over the intervals between consecutive reports of
 * an upstream.
 */
struct aub_load_trend {
	double seconds; /* of the intervals */
	double sum; /* of slowdown x seconds */
	double squared_sum; /* of slowdown squared x seconds */
	double squared_changes; /* of squared slowdown differences */
};

void aub_load_trend_init(struct aub_load_trend *trend);

/*
 * Records that an upstream reported slowdown `before` and, `gap_us` later,
 * `after`. Slowdowns are multiples of the baseline service time: 1 is typical.
 */
void aub_load_trend_observe(struct aub_load_trend *trend, double before,
			    double after, gint64 gap_us);

/*
 * Returns the slowdown to expect of an upstream that reported slowdown
 * `reported` `age_us` ago.
 */
double aub_load_trend_predict(const struct aub_load_trend *trend,
			      double reported, gint64 age_us);

/* Returns the mean slowdown, used for upstreams that report none. */
double aub_load_trend_mean(const struct aub_load_trend *trend);

/*
 * Returns the correlation time of the slowdowns in ms: the age at which a
 * report's weight has decayed to 1/e. Also used in logs and metrics.
 */
double aub_load_trend_correlation_ms(const struct aub_load_trend *trend);

G_END_DECLS

#endif

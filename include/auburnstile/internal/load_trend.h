/*
 * What a report of an upstream's load is worth some time later.
 *
 * Upstreams share their hosts, so the time that work takes there changes all
 * the while. How much and how fast is learned from the reports of a service's
 * upstreams: a report counts in full when it is new, and fades towards the
 * mean as the changes that were seen make it unlikely to hold still.
 */
#ifndef AUBURNSTILE_INTERNAL_LOAD_TREND_H
#define AUBURNSTILE_INTERNAL_LOAD_TREND_H

#include <glib.h>

G_BEGIN_DECLS

/* Sums over the time between two reports of one upstream, in seconds. */
struct aub_load_trend {
	double seconds;
	double sum; /* of slowdown x seconds */
	double squares; /* of slowdown squared x seconds */
	double jumps; /* of differences squared */
};

void aub_load_trend_init(struct aub_load_trend *trend);

/*
 * One upstream told `before`, and `gap_us` later `after`. Slowdowns are times
 * the usual time of work: 1 is as usual.
 */
void aub_load_trend_observe(struct aub_load_trend *trend, double before,
			    double after, gint64 gap_us);

/* The slowdown to expect of an upstream that told `told` `age_us` ago. */
double aub_load_trend_expect(const struct aub_load_trend *trend, double told,
			     gint64 age_us);

/* The mean slowdown, for upstreams that tell nothing. */
double aub_load_trend_mean(const struct aub_load_trend *trend);

/* How long a report holds, for logs and metrics, ms. */
double aub_load_trend_holds_ms(const struct aub_load_trend *trend);

G_END_DECLS

#endif

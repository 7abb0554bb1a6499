/*
 * The slowdown of an upstream by its utilization, and the concurrency at which
 * its throughput peaks (the saturation point).
 *
 * Learned from the responses of a service's upstreams, by the share of slots
 * in use when a request started.
 */
#ifndef AUBURNSTILE_INTERNAL_SATURATION_H
#define AUBURNSTILE_INTERNAL_SATURATION_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_SATURATION_BUCKETS 12 /* utilization is split into twelfths */
#define AUB_SATURATION_HALF_BUCKET (AUB_SATURATION_BUCKETS / 2)

/* By utilization bucket; index 0 is not used. */
struct aub_saturation {
	double slowdown[AUB_SATURATION_BUCKETS + 1]; /* mean, 1 is baseline */
	double samples[AUB_SATURATION_BUCKETS + 1]; /* decayed count */
	/* Derived from both; never decreases with utilization. */
	double smoothed_slowdown[AUB_SATURATION_BUCKETS + 1];
};

void aub_saturation_init(struct aub_saturation *saturation);

/*
 * Records a response that took `slowdown` times the baseline service time.
 * With it, `running` of `slots` were in use when it started.
 */
void aub_saturation_observe(struct aub_saturation *saturation, guint running,
			    guint slots, double slowdown);

/*
 * Returns whether an upstream was at most half utilized, so that its service
 * times show no effect of utilization.
 */
bool aub_saturation_is_lightly_loaded(guint running, guint slots);

/*
 * Returns the expected slowdown, as a multiple of the baseline service time,
 * of a request that is the `running`th at its upstream.
 */
double aub_saturation_slowdown(const struct aub_saturation *saturation,
			       guint running, guint slots);

/* Returns the concurrency with the highest throughput; at least 1. */
guint aub_saturation_limit(const struct aub_saturation *saturation,
			   guint slots);

G_END_DECLS

#endif

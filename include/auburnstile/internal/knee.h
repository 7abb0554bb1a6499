/*
 * How work slows down as an upstream fills, and how full it is best kept.
 *
 * Learned from the answers of a service's upstreams, by the share of the slots
 * that was taken when a request began.
 */
#ifndef AUBURNSTILE_INTERNAL_KNEE_H
#define AUBURNSTILE_INTERNAL_KNEE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_KNEE_STEPS 12 /* shares are told apart in twelfths */
#define AUB_KNEE_HALF (AUB_KNEE_STEPS / 2)

struct aub_knee {
	double time[AUB_KNEE_STEPS + 1]; /* mean, times the usual */
	double weight[AUB_KNEE_STEPS + 1]; /* answers behind it */
	double factor[AUB_KNEE_STEPS + 1]; /* from these, never falling */
};

void aub_knee_init(struct aub_knee *knee);

/*
 * An answer took `time` times as long as usual; with it `running` of `slots`
 * were taken when it began.
 */
void aub_knee_observe(struct aub_knee *knee, guint running, guint slots,
		      double time);

/*
 * Was it at most half full, so that nothing but the work itself shows in the
 * time that it took?
 */
bool aub_knee_is_below(guint running, guint slots);

/* Times the usual time that work takes which is the `running`th. */
double aub_knee_factor(const struct aub_knee *knee, guint running, guint slots);

/* How many at once get the most work done; at least 1. */
guint aub_knee_limit(const struct aub_knee *knee, guint slots);

G_END_DECLS

#endif

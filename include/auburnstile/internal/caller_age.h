/*
 * How long a caller has been waiting, told by how much of its time is left.
 *
 * Callers that come back after a refusal carry the rest of their deadline and
 * nothing else that tells them from new ones. What new ones bring varies from
 * caller to caller; how much is learned from the requests of a route.
 */
#ifndef AUBURNSTILE_INTERNAL_CALLER_AGE_H
#define AUBURNSTILE_INTERNAL_CALLER_AGE_H

#include <glib.h>

G_BEGIN_DECLS

struct aub_caller_age {
	double longest_ms; /* most time that a caller was seen to give */
	double median_ms; /* as many give more as give less */
};

/* A request came with `left_ms` of its caller's time. */
void aub_caller_age_observe(struct aub_caller_age *age, gint64 left_ms);

/*
 * For how long its caller has been waiting, ms: 0 where it may be a new one,
 * or else what separates it from the median.
 */
gint64 aub_caller_age_of(const struct aub_caller_age *age, gint64 left_ms);

G_END_DECLS

#endif

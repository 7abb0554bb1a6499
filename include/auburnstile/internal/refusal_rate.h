/*
 * The share of requests that an upstream, or a service, refuses although it
 * reports a free slot.
 *
 * Such a refusal has a cause other than load. If all upstreams of a service
 * refuse alike, avoiding those that refused last only makes requests queue for
 * the others; an upstream that refuses more than its peers is worth avoiding.
 */
#ifndef AUBURNSTILE_INTERNAL_REFUSAL_RATE_H
#define AUBURNSTILE_INTERNAL_REFUSAL_RATE_H

#include <auburnstile/internal/decayed_share.h>

#include <stdbool.h>

G_BEGIN_DECLS

/* Zero-initialized: nothing observed. */
struct aub_refusal_rate {
	struct aub_decayed_share attempts; /* hits: those refused */
};

void aub_refusal_rate_observe(struct aub_refusal_rate *rate, bool refused,
			      gint64 now_us);
/* Returns the share of requests refused, from 0 to 1. */
double aub_refusal_rate_share(const struct aub_refusal_rate *rate,
			      gint64 now_us);
/*
 * Returns by how much the share of `upstream` exceeds `expected`, that of its
 * service, beyond what chance explains; 0 if it does not.
 */
double aub_refusal_rate_excess(const struct aub_refusal_rate *upstream,
			       double expected, gint64 now_us);

G_END_DECLS

#endif

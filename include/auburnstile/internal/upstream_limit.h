/*
 * The limit that an upstream in need names in its answers: the requests a
 * second that it accepts from all gateways together.
 *
 * An answer without the header lifts the limit, but only if its request was
 * sent after the limit was last named: answers overtake each other.
 */
#ifndef AUBURNSTILE_INTERNAL_UPSTREAM_LIMIT_H
#define AUBURNSTILE_INTERNAL_UPSTREAM_LIMIT_H

#include <auburnstile/internal/platform.h>

G_BEGIN_DECLS

/* No limit, in place of a number of requests per 1000 s. */
#define AUB_LIMIT_NONE G_MAXUINT32

struct aub_upstream_limit {
	guint32 per_1000_s;
	gint64 named_us; /* last answer that named it or a lower one */
	/* sending time of a request whose answer named a higher one or none */
	gint64 lifted_us;
	bool probes_name_it; /* answers to probes bear the header as well */
	guint32 logged_per_1000_s;
};

void aub_upstream_limit_init(struct aub_upstream_limit *limit);
bool aub_upstream_limit_is_set(const struct aub_upstream_limit *limit);

/* Applies the answer to a request, or to a probe, that was sent at `sent_us`.
 */
void aub_upstream_limit_observe_answer(struct aub_upstream_limit *limit,
				       const struct aub_load *load,
				       gint64 sent_us, gint64 now_us);
void aub_upstream_limit_observe_probe(struct aub_upstream_limit *limit,
				      const struct aub_load *load,
				      gint64 sent_us, gint64 now_us);

/*
 * Returns whether the limit differs notably from the one that was logged last.
 * If so, sets `was` to that one and takes the present one as logged.
 */
bool aub_upstream_limit_take_change(struct aub_upstream_limit *limit,
				    guint32 *was);

G_END_DECLS

#endif

/*
 * The limit that an upstream in need names in its answers: the requests a
 * second that it accepts from all gateways together.
 *
 * An answer without the header lifts the limit, but only if its request was
 * sent after the limit was last named: answers overtake each other.
 *
 * Each placer grants a share of the limit, evenly over time, so that two
 * placers that do not know of each other stay within one and a half times the
 * limit. What a process knows of a limit is exchanged as a statement with its
 * age; of two that differ, the newer one applies.
 */
#ifndef AUBURNSTILE_INTERNAL_UPSTREAM_LIMIT_H
#define AUBURNSTILE_INTERNAL_UPSTREAM_LIMIT_H

#include <auburnstile/internal/platform.h>

G_BEGIN_DECLS

/*
 * The share of an upstream's rate, in its warm-up or under its own limit, that
 * one placer grants. Two placers that do not know of each other then stay
 * within one and a half times that rate.
 */
#define AUB_PLACER_RATE_SHARE 0.75

/* No limit, in place of a number of requests per 1000 s. */
#define AUB_LIMIT_NONE G_MAXUINT32

struct aub_upstream_limit {
	guint32 per_1000_s;
	gint64 named_us; /* last answer that named it or a lower one */
	/* sending time of a request whose answer named a higher one or none */
	gint64 lifted_us;
	bool probes_name_it; /* answers to probes bear the header as well */
	gint64 last_grant_us; /* whether it was limited then or not */
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

/* What another process says of a limit. */
struct aub_limit_statement {
	guint32 per_1000_s; /* AUB_LIMIT_NONE: it was lifted */
	guint32 age_ms; /* of the answer that says so */
};
/*
 * Sets `statement` to what is known here. Returns false if there is nothing to
 * tell: no limit, and none was lifted recently.
 */
bool aub_upstream_limit_get_statement(const struct aub_upstream_limit *limit,
				      gint64 now_us,
				      struct aub_limit_statement *statement);
/* Applies the statement of another process, unless it is outdated. */
void aub_upstream_limit_merge(struct aub_upstream_limit *limit,
			      const struct aub_limit_statement *statement,
			      gint64 now_us);

/* Counts a grant, or any time at which another placer may have granted. */
void aub_upstream_limit_count_grant(struct aub_upstream_limit *limit,
				    gint64 now_us);
/*
 * Returns the earliest time of the next grant; in the past if there is no
 * limit.
 */
gint64 aub_upstream_limit_next_grant_us(const struct aub_upstream_limit *limit);
/* Returns the grants a second of one placer. The limit must be set. */
double aub_upstream_limit_grants_per_s(const struct aub_upstream_limit *limit);

/*
 * Returns whether the limit differs notably from the one that was logged last.
 * If so, sets `was` to that one and takes the present one as logged.
 */
bool aub_upstream_limit_take_change(struct aub_upstream_limit *limit,
				    guint32 *was);

G_END_DECLS

#endif

/* The limit that an upstream names; see upstream_limit.h. */
#include <auburnstile/internal/upstream_limit.h>

/*
 * Only the answer to a request shows that a limit was lifted. However low the
 * limit is, one request is granted in this time.
 */
#define GRANT_INTERVAL_MAX_US (4 * (gint64)G_USEC_PER_SEC)
/* For how long a lifted limit is told to other processes. */
#define LIFTED_TOLD_US (5 * (gint64)G_USEC_PER_SEC)
/* Of a message; a statement may be that much older than its age says. */
#define DELIVERY_TIME_MAX_US (500 * G_GINT64_CONSTANT(1000))

#define NEVER_US (G_MININT64 / 2)

#define NOTABLE_CHANGE 0.25 /* as a share of the logged limit */

void aub_upstream_limit_init(struct aub_upstream_limit *limit)
{
	*limit = (struct aub_upstream_limit){
		.per_1000_s = AUB_LIMIT_NONE,
		.named_us = NEVER_US,
		.lifted_us = NEVER_US,
		.logged_per_1000_s = AUB_LIMIT_NONE,
	};
}

bool aub_upstream_limit_is_set(const struct aub_upstream_limit *limit)
{
	return limit->per_1000_s != AUB_LIMIT_NONE;
}

/*
 * A lower limit applies at once. A higher one applies only if the request was
 * sent after the present one was last named.
 */
static void apply(struct aub_upstream_limit *limit, guint32 per_1000_s,
		  gint64 sent_us, gint64 now_us)
{
	if (per_1000_s > limit->per_1000_s) {
		if (sent_us < limit->named_us)
			return;
		limit->lifted_us = sent_us;
	}
	limit->per_1000_s = per_1000_s;
	if (per_1000_s != AUB_LIMIT_NONE)
		limit->named_us = now_us;
}

void aub_upstream_limit_observe_answer(struct aub_upstream_limit *limit,
				       const struct aub_load *load,
				       gint64 sent_us, gint64 now_us)
{
	if (load->limit == AUB_LIMIT_NAMED)
		apply(limit, load->limit_per_1000_s, sent_us, now_us);
	else if (load->limit == AUB_LIMIT_NOT_NAMED)
		apply(limit, AUB_LIMIT_NONE, sent_us, now_us);
}

void aub_upstream_limit_observe_probe(struct aub_upstream_limit *limit,
				      const struct aub_load *load,
				      gint64 sent_us, gint64 now_us)
{
	if (load->limit == AUB_LIMIT_NAMED)
		limit->probes_name_it = true;
	if (limit->probes_name_it)
		aub_upstream_limit_observe_answer(limit, load, sent_us, now_us);
}

bool aub_upstream_limit_get_statement(const struct aub_upstream_limit *limit,
				      gint64 now_us,
				      struct aub_limit_statement *statement)
{
	bool is_set = aub_upstream_limit_is_set(limit);
	gint64 since_us = is_set ? limit->named_us : limit->lifted_us;
	gint64 age_us = MAX(now_us - since_us, 0);

	if (!is_set && age_us > LIFTED_TOLD_US)
		return false;
	*statement = (struct aub_limit_statement){
		.per_1000_s = limit->per_1000_s,
		.age_ms = (guint32)MIN(age_us / 1000, G_MAXUINT32),
	};
	return true;
}

void aub_upstream_limit_merge(struct aub_upstream_limit *limit,
			      const struct aub_limit_statement *statement,
			      gint64 now_us)
{
	gint64 said_us = now_us - (gint64)statement->age_ms * 1000;

	if (statement->per_1000_s > limit->per_1000_s) {
		said_us -= DELIVERY_TIME_MAX_US;
		if (said_us <= limit->named_us)
			return;
		limit->lifted_us = MAX(limit->lifted_us, said_us);
	} else if (said_us <= limit->lifted_us) {
		return;
	}
	limit->per_1000_s = statement->per_1000_s;
	if (statement->per_1000_s != AUB_LIMIT_NONE)
		limit->named_us = MAX(limit->named_us, said_us);
}

void aub_upstream_limit_count_grant(struct aub_upstream_limit *limit,
				    gint64 now_us)
{
	limit->last_grant_us = MAX(limit->last_grant_us, now_us);
}

static gint64 grant_interval_us(const struct aub_upstream_limit *limit)
{
	double grants_per_1000_s = AUB_PLACER_RATE_SHARE * limit->per_1000_s;

	if (grants_per_1000_s * GRANT_INTERVAL_MAX_US <=
	    1000.0 * G_USEC_PER_SEC)
		return GRANT_INTERVAL_MAX_US;
	return (gint64)(1000.0 * G_USEC_PER_SEC / grants_per_1000_s);
}

gint64 aub_upstream_limit_next_grant_us(const struct aub_upstream_limit *limit)
{
	return aub_upstream_limit_is_set(limit) ?
		       limit->last_grant_us + grant_interval_us(limit) :
		       G_MININT64;
}

double aub_upstream_limit_grants_per_s(const struct aub_upstream_limit *limit)
{
	return (double)G_USEC_PER_SEC /
	       (double)MAX(grant_interval_us(limit), 1);
}

bool aub_upstream_limit_take_change(struct aub_upstream_limit *limit,
				    guint32 *was)
{
	gint64 present = limit->per_1000_s;
	gint64 logged = limit->logged_per_1000_s;
	bool begins_or_ends =
		(present == AUB_LIMIT_NONE) != (logged == AUB_LIMIT_NONE);

	if (!begins_or_ends &&
	    (double)ABS(present - logged) <= NOTABLE_CHANGE * (double)logged)
		return false;
	*was = limit->logged_per_1000_s;
	limit->logged_per_1000_s = limit->per_1000_s;
	return true;
}

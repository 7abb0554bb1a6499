/* The limit that an upstream names; see upstream_limit.h. */
#include <auburnstile/internal/upstream_limit.h>

#define NOTABLE_CHANGE 0.25 /* as a share of the logged limit */

void aub_upstream_limit_init(struct aub_upstream_limit *limit)
{
	*limit = (struct aub_upstream_limit){
		.per_1000_s = AUB_LIMIT_NONE,
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

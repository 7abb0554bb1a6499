/* Counts with exponential decay. */
#include <auburnstile/internal/decayed_share.h>

#include <math.h>

double aub_decay(gint64 age_us, gint64 half_life_us)
{
	return exp2(-(double)MAX(age_us, 0) / (double)half_life_us);
}

void aub_decayed_share_observe(struct aub_decayed_share *share, guint hits,
			       guint events, gint64 half_life_us, gint64 now_us)
{
	double factor = aub_decay(now_us - share->updated_us, half_life_us);

	share->hits = share->hits * factor + hits;
	share->events = share->events * factor + events;
	share->updated_us = MAX(share->updated_us, now_us);
}

double aub_decayed_share_events(const struct aub_decayed_share *share,
				gint64 half_life_us, gint64 now_us)
{
	return share->events *
	       aub_decay(now_us - share->updated_us, half_life_us);
}

double aub_decayed_share_value(const struct aub_decayed_share *share,
			       double prior, double prior_events,
			       gint64 half_life_us, gint64 now_us)
{
	double factor = aub_decay(now_us - share->updated_us, half_life_us);

	return (share->hits * factor + prior * prior_events) /
	       (share->events * factor + prior_events);
}

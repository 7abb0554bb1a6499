/* Refusal rates with exponential decay and a prior. */
#include <auburnstile/internal/refusal_rate.h>

#include <math.h>

/* An observation counts half after this time. */
#define HALF_LIFE_US (2000 * G_GINT64_CONSTANT(1000))
/*
 * Weight of the service's share, in requests, in the estimate for an upstream
 * of which little is known.
 */
#define PRIOR_REQUESTS 4.0

void aub_refusal_rate_observe(struct aub_refusal_rate *rate, bool refused,
			      gint64 now_us)
{
	aub_decayed_share_observe(&rate->attempts, refused, 1, HALF_LIFE_US,
				  now_us);
}

/* The share, given that `prior` is what to expect without observations. */
static double share_with_prior(const struct aub_refusal_rate *rate,
			       double prior, gint64 now_us)
{
	return aub_decayed_share_value(&rate->attempts, prior, PRIOR_REQUESTS,
				       HALF_LIFE_US, now_us);
}

double aub_refusal_rate_share(const struct aub_refusal_rate *rate,
			      gint64 now_us)
{
	return share_with_prior(rate, 0.0, now_us);
}

double aub_refusal_rate_excess(const struct aub_refusal_rate *upstream,
			       double expected, gint64 now_us)
{
	double requests;
	double standard_error;

	/* The usual case, for each upstream of each choice. */
	if (upstream->attempts.hits <= 0)
		return 0;
	requests = aub_decayed_share_events(&upstream->attempts, HALF_LIFE_US,
					    now_us) +
		   PRIOR_REQUESTS;
	standard_error = sqrt(expected * (1 - expected) / requests);
	return MAX(share_with_prior(upstream, expected, now_us) - expected -
			   standard_error,
		   0.0);
}

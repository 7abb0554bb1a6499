/*
 * Upstreams of the soak test that refuse requests although they have free
 * slots, all of them at the same time, and the check of the retries that this
 * causes.
 */
#include "soak.h"

#define INTERVAL_MIN_MS 1000 /* between two phases */
#define INTERVAL_MAX_MS 4000
#define DURATION_MIN_MS 1500
#define DURATION_MAX_MS 6000
#define SHARE_MIN 0.3 /* of the requests that are refused */
#define SHARE_MAX 0.8
/* As in the settings of the gateways; see soak_retry_slack(). */
#define RETRY_RATIO 0.2

#define WINDOW_US (10 * AUB_SECOND)

struct soak_refusals {
	struct soak *soak;
	GRand *random;
	double share; /* refused at present; 0: none */
	gint64 next_us; /* the present phase ends, or the next one begins */
	GArray *requests; /* times of requests and of retries, in us */
	GArray *retries;
	guint refused;
	double largest_share; /* of the retries that a window may have */
};

struct soak_refusals *soak_refusals_new(struct soak *soak, guint32 seed)
{
	struct soak_refusals *refusals = g_new0(struct soak_refusals, 1);

	refusals->soak = soak;
	refusals->random = g_rand_new_with_seed(seed + 2);
	refusals->requests = g_array_new(FALSE, FALSE, sizeof(gint64));
	refusals->retries = g_array_new(FALSE, FALSE, sizeof(gint64));
	refusals->next_us = soak_now(soak) + 3 * AUB_SECOND;
	return refusals;
}

void soak_refusals_free(struct soak_refusals *refusals)
{
	if (!refusals)
		return;
	g_rand_free(refusals->random);
	g_array_unref(refusals->requests);
	g_array_unref(refusals->retries);
	g_free(refusals);
}

void soak_refusals_step(struct soak_refusals *refusals, gint64 now_us)
{
	bool ended = refusals->share > 0;

	if (now_us >= refusals->soak->faults_end_us) {
		refusals->share = 0;
		return;
	}
	if (now_us < refusals->next_us)
		return;
	refusals->share = ended ? 0 :
				  g_rand_double_range(refusals->random,
						      SHARE_MIN, SHARE_MAX);
	refusals->next_us =
		now_us +
		g_rand_int_range(refusals->random,
				 ended ? INTERVAL_MIN_MS : DURATION_MIN_MS,
				 ended ? INTERVAL_MAX_MS : DURATION_MAX_MS) *
			AUB_MS;
	soak_log_change(refusals->soak, "refused-percent",
			(guint)(100 * refusals->share));
}

/* Counts the times from `from_us` until `until_us`. */
static guint count_between(const GArray *times, gint64 from_us, gint64 until_us)
{
	guint count = 0;

	for (guint i = times->len; i > 0; i--) {
		gint64 us = g_array_index(times, gint64, i - 1);

		if (us < from_us)
			break;
		count += us <= until_us;
	}
	return count;
}

static void check_budget(struct soak_refusals *refusals, gint64 now_us,
			 const char *id)
{
	gint64 from_us = now_us - WINDOW_US;
	guint retries = count_between(refusals->retries, from_us, now_us);
	guint requests = count_between(refusals->requests, from_us, now_us);
	guint before =
		count_between(refusals->requests, from_us - WINDOW_US, from_us);

	double allowed = RETRY_RATIO * MAX(requests, before) +
			 soak_retry_slack(refusals->soak);

	refusals->largest_share =
		MAX(refusals->largest_share, retries / allowed);
	if (retries > allowed)
		soak_report_violation(refusals->soak, "BUDGET (retries)", id);
}

void soak_refusals_on_sent(struct soak_refusals *refusals)
{
	gint64 now = soak_now(refusals->soak);

	g_array_append_val(refusals->requests, now);
}

void soak_refusals_on_arrival(struct soak_refusals *refusals,
			      struct upstream *upstream,
			      struct request *request, const char *id)
{
	gint64 now = soak_now(refusals->soak);

	if (request->arrivals++) {
		g_array_append_val(refusals->retries, now);
		check_budget(refusals, now, id);
	}
	if (g_rand_double(refusals->random) >= refusals->share)
		return;
	refusals->refused++;
	platform_upstream_set_next_answer(upstream->server,
					  PLATFORM_ANSWER_OVERLOADED);
}

void soak_refusals_report(const struct soak_refusals *refusals)
{
	g_print("refusals: %u by upstreams with free slots, %u retries, in a "
		"window %.2f of what is allowed\n",
		refusals->refused, refusals->retries->len,
		refusals->largest_share);
}

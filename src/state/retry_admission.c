/*
 * A token bucket inside the sliding window of the retry budget. Credit arrives
 * with the requests, so that retries are spread over the window as these are;
 * what has been saved up is for bursts of failures.
 *
 * While claims exceed the budget they are served by rank: on time before late,
 * by priority, callers that will not return before those that will, workspaces
 * with few recent retries before those with many.
 */
#include <auburnstile/internal/decayed_share.h>
#include <auburnstile/internal/retry_admission.h>

#include <math.h>

#define US_PER_S (1000 * G_GINT64_CONSTANT(1000))

/*
 * If as much flowed as the window allows, a burst would use the window up, and
 * claims would then be admitted by chance and not by rank.
 */
#define FLOW_SHARE 0.96

/* In a large fleet, for bursts of failures: share of a window's budget. */
#define BURST_BUDGET_SHARE 0.05
/*
 * In a small fleet, an upstream that ends takes a large part of the requests
 * with it: so many at once, if they are no more than this share of the budget.
 */
#define BURST_SMALL_RETRIES 30
#define BURST_SMALL_BUDGET_SHARE 0.3
/* Likewise with few requests, or soon after a start. */
#define BURST_LEAST_RETRIES 8
#define BURST_LEAST_BUDGET_SHARE 0.5

/* Credit is kept back for claims of a higher rank in this time. */
#define RESERVE_S 0.2
/* A lower rank gets the rest of the credit above this share of its maximum. */
#define RESERVE_MAX_SHARE 0.5

#define CLAIMS_HALF_LIFE_US (500 * G_GINT64_CONSTANT(1000))
#define WORKSPACE_HALF_LIFE_US (1000 * G_GINT64_CONSTANT(1000))
/* The mean over all workspaces is computed this often. */
#define MEAN_PERIOD_US (250 * G_GINT64_CONSTANT(1000))
#define RETRIES_FORGOTTEN 0.05

/* Below this chance, the budget is better kept for when upstreams recover. */
#define SUCCESS_MIN 0.1

struct workspace_retries {
	double count; /* decayed, at `updated_us` */
	double weight;
	gint64 updated_us;
};

static const char *const verdict_names[AUB_RETRY_VERDICT_COUNT] = {
	[AUB_RETRY_ADMITTED] = "admitted",
	[AUB_RETRY_EXHAUSTED] = "exhausted",
	[AUB_RETRY_RESERVED] = "reserved",
	[AUB_RETRY_FUTILE] = "futile",
};

const char *aub_retry_verdict_name(enum aub_retry_verdict verdict)
{
	return verdict < AUB_RETRY_VERDICT_COUNT ? verdict_names[verdict] : "";
}

bool aub_retry_is_futile(double success)
{
	return success < SUCCESS_MIN;
}

void aub_retry_admission_init(struct aub_retry_admission *admission,
			      gint64 window_us)
{
	*admission = (struct aub_retry_admission){
		.workspaces = g_hash_table_new_full(NULL, NULL, NULL, g_free),
	};
	aub_retry_budget_init(&admission->budget, window_us);
}

void aub_retry_admission_clear(struct aub_retry_admission *admission)
{
	g_clear_pointer(&admission->workspaces, g_hash_table_unref);
}

static double credit_max(double budget)
{
	double small =
		MIN(BURST_SMALL_BUDGET_SHARE * budget, BURST_SMALL_RETRIES);
	double least =
		MIN(BURST_LEAST_BUDGET_SHARE * budget, BURST_LEAST_RETRIES);

	return MAX(MAX(BURST_BUDGET_SHARE * budget, 1.0), MAX(small, least));
}

void aub_retry_admission_add_credit(struct aub_retry_admission *admission,
				    double credit, gint64 now_us)
{
	double budget;

	aub_retry_budget_add_credit(&admission->budget, credit, now_us);
	budget = aub_retry_budget_size(&admission->budget, now_us);
	admission->credit = MIN(admission->credit + FLOW_SHARE * credit,
				credit_max(budget));
}

static double retries_of(const struct workspace_retries *retries, gint64 now_us)
{
	return retries->count *
	       aub_decay(now_us - retries->updated_us, WORKSPACE_HALF_LIFE_US);
}

static void update_mean(struct aub_retry_admission *admission, gint64 now_us)
{
	double count = 0;
	double weight = 0;
	GHashTableIter iter;
	void *value;

	if (admission->mean_us && now_us - admission->mean_us < MEAN_PERIOD_US)
		return;
	g_hash_table_iter_init(&iter, admission->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct workspace_retries *retries = value;

		if (retries_of(retries, now_us) < RETRIES_FORGOTTEN) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		count += retries_of(retries, now_us);
		weight += retries->weight;
	}
	admission->mean_retries = weight > 0 ? count / weight : 0;
	admission->mean_us = now_us;
}

/* Returns whether the workspace has had more than its share of the retries. */
static bool is_over_share(struct aub_retry_admission *admission,
			  const struct aub_retry_claim *claim, gint64 now_us)
{
	const struct workspace_retries *retries;

	if (!claim->workspace)
		return false;
	update_mean(admission, now_us);
	retries = g_hash_table_lookup(admission->workspaces,
				      GUINT_TO_POINTER(claim->workspace));
	return retries && claim->weight > 0 &&
	       retries_of(retries, now_us) / claim->weight >
		       admission->mean_retries;
}

static void count_of_workspace(struct aub_retry_admission *admission,
			       const struct aub_retry_claim *claim,
			       gint64 now_us)
{
	void *key = GUINT_TO_POINTER(claim->workspace);
	struct workspace_retries *retries;

	if (!claim->workspace)
		return;
	retries = g_hash_table_lookup(admission->workspaces, key);
	if (!retries) {
		retries = g_new0(struct workspace_retries, 1);
		g_hash_table_insert(admission->workspaces, key, retries);
	}
	retries->count = retries_of(retries, now_us) + 1;
	retries->weight = claim->weight;
	retries->updated_us = now_us;
}

static guint64 order_of(struct aub_retry_admission *admission,
			const struct aub_retry_claim *claim, gint64 now_us)
{
	guint64 order = claim->late;

	order = (order << 32) | claim->priority;
	order = (order << 1) | claim->returns;
	return (order << 1) | is_over_share(admission, claim, now_us);
}

/* Claims per second of `rank`, as a decayed count over the mean lifetime. */
static double claims_per_s(const struct aub_retry_rank *rank, gint64 now_us)
{
	return rank->claims_per_s *
	       aub_decay(now_us - rank->updated_us, CLAIMS_HALF_LIFE_US);
}

static void count_claim(struct aub_retry_admission *admission, guint64 order,
			gint64 now_us)
{
	const double per_claim = M_LN2 * (double)US_PER_S / CLAIMS_HALF_LIFE_US;
	struct aub_retry_rank *chosen = &admission->ranks[0];

	for (guint i = 0; i < AUB_RETRY_RANKS; i++) {
		struct aub_retry_rank *rank = &admission->ranks[i];

		if (rank->updated_us && rank->order == order) {
			chosen = rank;
			break;
		}
		if (rank->updated_us < chosen->updated_us)
			chosen = rank;
	}
	if (!chosen->updated_us || chosen->order != order)
		*chosen = (struct aub_retry_rank){ .order = order };
	chosen->claims_per_s = claims_per_s(chosen, now_us) + per_claim;
	chosen->updated_us = now_us;
}

/* Returns the credit that is kept for claims of a higher rank. */
static double reserve(struct aub_retry_admission *admission, double saved_max,
		      guint64 order, gint64 now_us)
{
	double claims = 0;

	for (guint i = 0; i < AUB_RETRY_RANKS; i++) {
		const struct aub_retry_rank *rank = &admission->ranks[i];

		if (rank->updated_us && rank->order < order)
			claims += claims_per_s(rank, now_us);
	}
	return MIN(RESERVE_S * claims, RESERVE_MAX_SHARE * saved_max);
}

static enum aub_retry_verdict decide(struct aub_retry_admission *admission,
				     const struct aub_retry_claim *claim,
				     gint64 now_us)
{
	guint64 order = order_of(admission, claim, now_us);
	double saved_max =
		credit_max(aub_retry_budget_size(&admission->budget, now_us));

	admission->credit = MIN(admission->credit, saved_max);
	count_claim(admission, order, now_us);
	if (aub_retry_is_futile(claim->success))
		return AUB_RETRY_FUTILE;
	if (admission->credit < 1)
		return AUB_RETRY_EXHAUSTED;
	if (admission->credit <
	    1 + reserve(admission, saved_max, order, now_us))
		return AUB_RETRY_RESERVED;
	if (!aub_retry_budget_take_retry(&admission->budget, now_us))
		return AUB_RETRY_EXHAUSTED;
	admission->credit -= 1;
	count_of_workspace(admission, claim, now_us);
	return AUB_RETRY_ADMITTED;
}

enum aub_retry_verdict aub_retry_admission_decide(
	struct aub_retry_admission *admission,
	const struct aub_retry_claim *claim, gint64 now_us)
{
	enum aub_retry_verdict verdict = decide(admission, claim, now_us);

	admission->verdicts[verdict]++;
	return verdict;
}

void aub_retry_admission_postpone(struct aub_retry_admission *admission,
				  gint64 admitted_us, gint64 now_us)
{
	aub_retry_budget_postpone_retry(&admission->budget, admitted_us,
					now_us);
}

void aub_retry_admission_take_back(struct aub_retry_admission *admission,
				   gint64 admitted_us, gint64 now_us)
{
	aub_retry_budget_return_retry(&admission->budget, admitted_us, now_us);
	admission->credit += 1;
	admission->taken_back++;
}

/*
 * Implements the sliding window as a ring of buckets. The current bucket counts
 * in full, so that no interval of the length of the window contains more
 * retries than allowed.
 */
#include <auburnstile/internal/retry_budget.h>

#include <string.h>

void aub_retry_budget_init(struct aub_retry_budget *budget, gint64 window_us)
{
	memset(budget, 0, sizeof(*budget));
	budget->bucket_us = MAX(window_us / (AUB_RETRY_BUDGET_BUCKETS - 1), 1);
}

static void advance(struct aub_retry_budget *budget, gint64 now_us)
{
	gint64 bucket_number = now_us / budget->bucket_us;

	if (bucket_number - budget->newest_bucket >= AUB_RETRY_BUDGET_BUCKETS)
		budget->newest_bucket =
			bucket_number - AUB_RETRY_BUDGET_BUCKETS;
	while (budget->newest_bucket < bucket_number) {
		guint i = (guint)(++budget->newest_bucket %
				  AUB_RETRY_BUDGET_BUCKETS);

		budget->requests[i] = 0;
		budget->retries[i] = 0;
	}
}

void aub_retry_budget_add_request(struct aub_retry_budget *budget,
				  gint64 now_us)
{
	advance(budget, now_us);
	budget->requests[budget->newest_bucket % AUB_RETRY_BUDGET_BUCKETS]++;
}

bool aub_retry_budget_take_retry(struct aub_retry_budget *budget, double ratio,
				 guint slack, gint64 now_us)
{
	guint requests = 0;
	guint retries = 0;

	advance(budget, now_us);
	for (guint i = 0; i < AUB_RETRY_BUDGET_BUCKETS; i++) {
		requests += budget->requests[i];
		retries += budget->retries[i];
	}
	if (retries + 1 > ratio * requests + slack)
		return false;
	budget->retries[budget->newest_bucket % AUB_RETRY_BUDGET_BUCKETS]++;
	return true;
}

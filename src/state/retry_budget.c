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

gint64 aub_retry_budget_window_us(const struct aub_retry_budget *budget)
{
	return budget->bucket_us * (AUB_RETRY_BUDGET_BUCKETS - 1);
}

void aub_retry_budget_add(struct aub_retry_budget *budget, guint requests,
			  guint retries, gint64 now_us)
{
	guint newest;

	advance(budget, now_us);
	newest = (guint)(budget->newest_bucket % AUB_RETRY_BUDGET_BUCKETS);
	budget->requests[newest] += requests;
	budget->retries[newest] += retries;
}

void aub_retry_budget_add_request(struct aub_retry_budget *budget,
				  gint64 now_us)
{
	aub_retry_budget_add(budget, 1, 0, now_us);
}

static guint sum(const guint *buckets)
{
	guint total = 0;

	for (guint i = 0; i < AUB_RETRY_BUDGET_BUCKETS; i++)
		total += buckets[i];
	return total;
}

double aub_retry_budget_size(struct aub_retry_budget *budget, double ratio,
			     double slack, gint64 now_us)
{
	advance(budget, now_us);
	return ratio * sum(budget->requests) + slack;
}

bool aub_retry_budget_take_retry(struct aub_retry_budget *budget, double ratio,
				 double slack, gint64 now_us)
{
	double size = aub_retry_budget_size(budget, ratio, slack, now_us);

	if (sum(budget->retries) + 1 > size)
		return false;
	aub_retry_budget_add(budget, 0, 1, now_us);
	return true;
}

void aub_retry_budget_return_retry(struct aub_retry_budget *budget,
				   gint64 now_us)
{
	guint *retries;

	advance(budget, now_us);
	retries = &budget->retries[budget->newest_bucket %
				   AUB_RETRY_BUDGET_BUCKETS];
	if (*retries)
		(*retries)--;
}

/*
 * Implements the sliding window as a ring of buckets, of which one more is kept
 * than fit into the window. All of them count for retries, which are so counted
 * for the length of the window at least, and all but the oldest for credit,
 * which counts for no longer than that.
 */
#include <auburnstile/internal/retry_budget.h>

#include <string.h>

void aub_retry_budget_init(struct aub_retry_budget *budget, gint64 window_us)
{
	memset(budget, 0, sizeof(*budget));
	budget->bucket_us = MAX(window_us / (AUB_RETRY_BUDGET_BUCKETS - 1), 1);
}

static guint index_of(gint64 bucket_number)
{
	return (guint)(bucket_number % AUB_RETRY_BUDGET_BUCKETS);
}

static void advance(struct aub_retry_budget *budget, gint64 now_us)
{
	gint64 bucket_number = now_us / budget->bucket_us;

	if (bucket_number - budget->newest_bucket >= AUB_RETRY_BUDGET_BUCKETS)
		budget->newest_bucket =
			bucket_number - AUB_RETRY_BUDGET_BUCKETS;
	while (budget->newest_bucket < bucket_number) {
		guint i = index_of(++budget->newest_bucket);

		budget->credit[i] = 0;
		budget->retries[i] = 0;
	}
}

void aub_retry_budget_add_credit(struct aub_retry_budget *budget, double credit,
				 gint64 now_us)
{
	advance(budget, now_us);
	budget->credit[index_of(budget->newest_bucket)] += credit;
}

double aub_retry_budget_size(struct aub_retry_budget *budget, gint64 now_us)
{
	double size = 0;
	guint oldest;

	advance(budget, now_us);
	oldest = index_of(budget->newest_bucket + 1);
	for (guint i = 0; i < AUB_RETRY_BUDGET_BUCKETS; i++)
		size += i == oldest ? 0 : budget->credit[i];
	return size;
}

static guint count_retries(const struct aub_retry_budget *budget)
{
	guint count = 0;

	for (guint i = 0; i < AUB_RETRY_BUDGET_BUCKETS; i++)
		count += budget->retries[i];
	return count;
}

bool aub_retry_budget_take_retry(struct aub_retry_budget *budget, gint64 now_us)
{
	if (count_retries(budget) + 1 > aub_retry_budget_size(budget, now_us))
		return false;
	budget->retries[index_of(budget->newest_bucket)]++;
	return true;
}

void aub_retry_budget_return_retry(struct aub_retry_budget *budget,
				   gint64 taken_us, gint64 now_us)
{
	gint64 bucket_number = taken_us / budget->bucket_us;
	guint *retries;

	advance(budget, now_us);
	if (budget->newest_bucket - bucket_number >= AUB_RETRY_BUDGET_BUCKETS)
		return;
	retries = &budget->retries[index_of(bucket_number)];
	if (*retries)
		(*retries)--;
}

void aub_retry_budget_postpone_retry(struct aub_retry_budget *budget,
				     gint64 taken_us, gint64 now_us)
{
	aub_retry_budget_return_retry(budget, taken_us, now_us);
	budget->retries[index_of(budget->newest_bucket)]++;
}

/*
 * The sliding window as a ring of buckets. The bucket under way counts in
 * full, so a span of the window's length never holds more than is allowed.
 */
#include <auburnstile/internal/retry_budget.h>

#include <string.h>

void aub_retry_budget_init(struct aub_retry_budget *budget, gint64 window_us)
{
	memset(budget, 0, sizeof(*budget));
	budget->bucket_us = MAX(window_us / (AUB_BUDGET_BUCKETS - 1), 1);
}

static void advance(struct aub_retry_budget *budget, gint64 now_us)
{
	gint64 number = now_us / budget->bucket_us;

	if (number - budget->newest >= AUB_BUDGET_BUCKETS)
		budget->newest = number - AUB_BUDGET_BUCKETS;
	while (budget->newest < number) {
		guint i = (guint)(++budget->newest % AUB_BUDGET_BUCKETS);

		budget->first[i] = 0;
		budget->again[i] = 0;
	}
}

void aub_retry_budget_first(struct aub_retry_budget *budget, gint64 now_us)
{
	advance(budget, now_us);
	budget->first[budget->newest % AUB_BUDGET_BUCKETS]++;
}

bool aub_retry_budget_take(struct aub_retry_budget *budget, double ratio,
			   guint slack, gint64 now_us)
{
	guint first = 0;
	guint again = 0;

	advance(budget, now_us);
	for (guint i = 0; i < AUB_BUDGET_BUCKETS; i++) {
		first += budget->first[i];
		again += budget->again[i];
	}
	if (again + 1 > ratio * first + slack)
		return false;
	budget->again[budget->newest % AUB_BUDGET_BUCKETS]++;
	return true;
}

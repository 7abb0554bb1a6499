/*
 * A retry budget: the retries of a sliding window are not more than the credit
 * that was added in that window. Unbounded retries amplify an overload.
 */
#ifndef AUBURNSTILE_INTERNAL_RETRY_BUDGET_H
#define AUBURNSTILE_INTERNAL_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* The window's edges are blurred by a hundredth of its length. */
#define AUB_RETRY_BUDGET_BUCKETS 101

struct aub_retry_budget {
	gint64 bucket_us;
	gint64 newest_bucket; /* number of the newest bucket */
	double credit[AUB_RETRY_BUDGET_BUCKETS]; /* in retries */
	guint retries[AUB_RETRY_BUDGET_BUCKETS];
};

void aub_retry_budget_init(struct aub_retry_budget *budget, gint64 window_us);
void aub_retry_budget_add_credit(struct aub_retry_budget *budget, double credit,
				 gint64 now_us);
/* Returns how many retries the window may have in all. */
double aub_retry_budget_size(struct aub_retry_budget *budget, gint64 now_us);
/* Takes one retry out of the budget. Returns false if it is exhausted. */
bool aub_retry_budget_take_retry(struct aub_retry_budget *budget,
				 gint64 now_us);
/* Counts a retry that was taken at `taken_us` as taken now. */
void aub_retry_budget_postpone_retry(struct aub_retry_budget *budget,
				     gint64 taken_us, gint64 now_us);
/* Returns a retry that was taken at `taken_us` and is not sent. */
void aub_retry_budget_return_retry(struct aub_retry_budget *budget,
				   gint64 taken_us, gint64 now_us);

G_END_DECLS

#endif

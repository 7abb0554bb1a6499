/*
 * A retry budget: a share of the requests in a sliding window, plus a fixed
 * number. Unbounded retries amplify an overload.
 */
#ifndef AUBURNSTILE_INTERNAL_RETRY_BUDGET_H
#define AUBURNSTILE_INTERNAL_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_RETRY_BUDGET_BUCKETS 20

struct aub_retry_budget {
	gint64 bucket_us;
	gint64 newest_bucket; /* number of the newest bucket */
	guint requests[AUB_RETRY_BUDGET_BUCKETS];
	guint retries[AUB_RETRY_BUDGET_BUCKETS];
};

void aub_retry_budget_init(struct aub_retry_budget *budget, gint64 window_us);
/* Returns the length of the window. */
gint64 aub_retry_budget_window_us(const struct aub_retry_budget *budget);
/* Counts a request that is not a retry. */
void aub_retry_budget_add_request(struct aub_retry_budget *budget,
				  gint64 now_us);
/* Counts requests and retries that were not decided here. */
void aub_retry_budget_add(struct aub_retry_budget *budget, guint requests,
			  guint retries, gint64 now_us);
/* Returns a retry that was just taken and is not sent. */
void aub_retry_budget_return_retry(struct aub_retry_budget *budget,
				   gint64 now_us);
/* Returns how many retries the window may have in all. */
double aub_retry_budget_size(struct aub_retry_budget *budget, double ratio,
			     double slack, gint64 now_us);
/*
 * Takes one retry out of the budget, which is `ratio` times the requests in
 * the window plus `slack`. Returns false if it is exhausted.
 */
bool aub_retry_budget_take_retry(struct aub_retry_budget *budget, double ratio,
				 double slack, gint64 now_us);

G_END_DECLS

#endif

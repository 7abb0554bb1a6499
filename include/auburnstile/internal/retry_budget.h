/*
 * A budget of second attempts: a share of the first ones in a sliding
 * window, and a few beyond. Retries without a bound multiply an overload.
 */
#ifndef AUBURNSTILE_INTERNAL_RETRY_BUDGET_H
#define AUBURNSTILE_INTERNAL_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_BUDGET_BUCKETS 20

struct aub_retry_budget {
	gint64 bucket_us;
	gint64 newest; /* number of the newest bucket */
	guint first[AUB_BUDGET_BUCKETS];
	guint again[AUB_BUDGET_BUCKETS];
};

void aub_retry_budget_init(struct aub_retry_budget *budget, gint64 window_us);
void aub_retry_budget_first(struct aub_retry_budget *budget, gint64 now_us);
/* Take one second attempt; false where the budget has none left. */
bool aub_retry_budget_take(struct aub_retry_budget *budget, double ratio,
			   guint slack, gint64 now_us);

G_END_DECLS

#endif

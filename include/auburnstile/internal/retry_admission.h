/*
 * Decides which requests get the fleet's retries.
 *
 * Load: for seconds, most requests of a service need a second attempt, and the
 * retry budget covers only part of them. First come, first served would spend
 * it within the first second, and on requests that are late in any case or that
 * their callers send again by themselves.
 */
#ifndef AUBURNSTILE_INTERNAL_RETRY_ADMISSION_H
#define AUBURNSTILE_INTERNAL_RETRY_ADMISSION_H

#include <auburnstile/internal/retry_budget.h>

G_BEGIN_DECLS

/* A request that needs another attempt. */
struct aub_retry_claim {
	bool late; /* its response can't be on time any more */
	guint priority; /* 0 is the highest */
	bool returns; /* its caller is likely to send it again if refused */
	double success; /* chance that an upstream accepts it, 0 to 1 */
	guint workspace; /* handle of its quota; 0: none */
	double weight; /* of the workspace */
};

enum aub_retry_verdict {
	AUB_RETRY_ADMITTED,
	AUB_RETRY_EXHAUSTED, /* no credit is left, or the window is used up */
	AUB_RETRY_RESERVED, /* what is left is kept for other requests */
	AUB_RETRY_FUTILE, /* it would almost certainly be refused again */
	AUB_RETRY_VERDICT_COUNT
};

const char *aub_retry_verdict_name(enum aub_retry_verdict verdict);

/* Returns whether attempts with this chance of `success` are worth a retry. */
bool aub_retry_is_futile(double success);

#define AUB_RETRY_RANKS 16

/* Recent claims that rank alike. */
struct aub_retry_rank {
	guint64 order; /* a lower one is admitted first */
	double claims_per_s; /* decayed, at `updated_us` */
	gint64 updated_us; /* 0: not in use */
};

struct aub_retry_admission {
	struct aub_retry_budget budget; /* bounds all retries */
	double credit; /* retries that may be admitted now */
	struct aub_retry_rank ranks[AUB_RETRY_RANKS];
	GHashTable *workspaces; /* handle -> struct workspace_retries */
	double mean_retries; /* of a workspace, for each unit of weight */
	gint64 mean_us; /* time at which it was computed */
	guint64 verdicts[AUB_RETRY_VERDICT_COUNT]; /* since the start */
	guint64 taken_back; /* of those admitted, since the start */
};

void aub_retry_admission_init(struct aub_retry_admission *admission,
			      gint64 window_us);
void aub_retry_admission_clear(struct aub_retry_admission *admission);

/* Adds credit that a gateway has handed over, in retries. */
void aub_retry_admission_add_credit(struct aub_retry_admission *admission,
				    double credit, gint64 now_us);
/* Decides on a claim, and counts the retry if it is admitted. */
enum aub_retry_verdict aub_retry_admission_decide(
	struct aub_retry_admission *admission,
	const struct aub_retry_claim *claim, gint64 now_us);
/* A retry that was admitted at `admitted_us` has waited, and is sent now. */
void aub_retry_admission_postpone(struct aub_retry_admission *admission,
				  gint64 admitted_us, gint64 now_us);
/* Takes back a retry that was admitted at `admitted_us` and is not sent. */
void aub_retry_admission_take_back(struct aub_retry_admission *admission,
				   gint64 admitted_us, gint64 now_us);

G_END_DECLS

#endif

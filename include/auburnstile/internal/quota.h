/*
 * The quotas of workspaces, as one process counts them.
 *
 * A quota is a token bucket over all gateways together. Every process that
 * grants requests has a copy of the bucket, takes its own grants out of it and
 * tells the others, which take these out of theirs. Credit may become negative
 * that way: what several granted in the same instant is missing afterwards, so
 * that the rate holds over any longer time.
 */
#ifndef AUBURNSTILE_INTERNAL_QUOTA_H
#define AUBURNSTILE_INTERNAL_QUOTA_H

#include <auburnstile/internal/workspaces.h>

G_BEGIN_DECLS

struct aub_quotas;

/* Returns an empty table; all its buckets will start without credit. */
struct aub_quotas *aub_quotas_new(void);
void aub_quotas_free(struct aub_quotas *quotas);

/* Applies the limits of a configuration; NULL removes all limits. */
void aub_quotas_configure(struct aub_quotas *quotas,
			  const struct aub_workspaces *workspaces,
			  gint64 now_us);
/* Sets the share of each quota (0 to 1) that this process may grant. */
void aub_quotas_set_share(struct aub_quotas *quotas, double share,
			  gint64 now_us);
/* Removes all credit; another process may have granted it. */
void aub_quotas_empty(struct aub_quotas *quotas, gint64 now_us);

/*
 * Returns the handle of the quota of `workspace`, 0 for none (""). A handle
 * remains valid as long as the table.
 */
guint aub_quotas_find(struct aub_quotas *quotas, const char *workspace);

/* A request that asks for credit. */
struct aub_quota_claim {
	guint waiting; /* admitted ones that have not been granted yet */
	bool late; /* it can't be answered on time any more */
};
/*
 * Returns whether one more request may be admitted. A late one gets only credit
 * that those which can be on time leave. Always true for a workspace without a
 * limit.
 */
bool aub_quota_has_credit(struct aub_quotas *quotas, guint quota,
			  const struct aub_quota_claim *claim, gint64 now_us);
/*
 * Returns when a refused request may come back, in ms. Requests that are
 * refused together get different times, one for each unit of credit to come.
 */
guint aub_quota_retry_after_ms(struct aub_quotas *quotas, guint quota,
			       gint64 now_us);
/*
 * Returns the part of scarce slots that the workspace may use, relative to
 * others: its rate, or the highest rate of all for one without a limit.
 */
double aub_quota_weight(const struct aub_quotas *quotas, guint quota);
/* Counts a granted request, or takes it back: no upstream has run it. */
void aub_quota_take(struct aub_quotas *quotas, guint quota, gint64 now_us);
void aub_quota_give_back(struct aub_quotas *quotas, guint quota, gint64 now_us);

/* What a process has granted of a quota, for the other processes. */
struct aub_quota_use {
	const char *workspace; /* borrowed */
	guint64 used; /* since the process started */
	guint recent; /* of these, since it last told the others */
};
/*
 * Copies up to `limit` entries to `list` that the others don't know of for
 * sure, and counts them as told. Those that are to be told again come last the
 * next time. Returns their number.
 */
guint aub_quotas_take_unsent(struct aub_quotas *quotas,
			     struct aub_quota_use *list, guint limit);
/* Returns the number of entries that are left. */
guint aub_quotas_count_unsent(const struct aub_quotas *quotas);
/* Returns whether so much is unsent that the others should know at once. */
bool aub_quotas_is_send_urgent(const struct aub_quotas *quotas);
/* Applies what process `origin` has granted. */
void aub_quotas_apply_use(struct aub_quotas *quotas, guint64 origin,
			  const struct aub_quota_use *use, gint64 now_us);
/* Forgets the counts of a process that has ended. */
void aub_quotas_forget_origin(struct aub_quotas *quotas, guint64 origin);

/* A snapshot of a quota, for logs and metrics. */
struct aub_quota_stats {
	const char *workspace; /* borrowed */
	double rate_per_s; /* 0: no limit */
	double burst;
	double credit;
	guint64 used; /* granted by this process */
	guint64 refused; /* by this process */
	double share; /* of the quota that this process may grant */
};
/* Returns false if there is no quota with the handle. */
bool aub_quota_get_stats(struct aub_quotas *quotas, guint quota, gint64 now_us,
			 struct aub_quota_stats *stats);
/* Returns the refusals by this process since the last call. */
guint64 aub_quota_take_refusals(struct aub_quotas *quotas, guint quota);
/* Handles are 1 to this number. */
guint aub_quotas_count(const struct aub_quotas *quotas);

G_END_DECLS

#endif

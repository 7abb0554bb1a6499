/* The quotas of workspaces; see quota.h. */
#include <auburnstile/internal/quota.h>

#include <math.h>

/* A datagram may be lost; each count is therefore sent that often. */
#define SENDS_PER_CHANGE 2

/*
 * Grants that the others need not know of yet: a share of what the quota allows
 * in a second, or a few.
 */
#define UNSENT_MAX_SHARE 0.05
#define UNSENT_MIN 4

/* of the credit that a quota can hold, kept for requests that can be on time */
#define LATE_RESERVE_SHARE 0.25

#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_MAX_MS 5000

struct quota {
	char *workspace;
	double rate_per_s; /* 0: no limit */
	double burst;
	double credit; /* at `credit_us`; negative: owed */
	gint64 credit_us;
	gint64 promised_until_us; /* credit until then is expected by callers */
	guint64 used;
	guint64 used_sent; /* `used` as last sent */
	guint64 refused;
	guint64 refused_taken; /* part of `refused` */
	guint sends_left;
};

/* What is known of another process's grants. */
struct origin_key {
	guint64 origin;
	guint quota;
};

struct aub_quotas {
	GPtrArray *list; /* of struct quota, by handle - 1 */
	GHashTable *by_workspace; /* name -> handle */
	GHashTable *used_by_origin; /* struct origin_key -> guint64 */
	GArray *unsent; /* of guint: handles with sends left */
	double share;
	double rate_max; /* of all workspaces */
	bool configured;
	bool send_urgent;
};

static guint origin_key_hash(gconstpointer data)
{
	const struct origin_key *key = data;

	return g_int64_hash(&key->origin) * 31 + key->quota;
}

static gboolean origin_key_equal(gconstpointer a, gconstpointer b)
{
	const struct origin_key *left = a;
	const struct origin_key *right = b;

	return left->origin == right->origin && left->quota == right->quota;
}

static void quota_free(void *data)
{
	struct quota *quota = data;

	g_free(quota->workspace);
	g_free(quota);
}

struct aub_quotas *aub_quotas_new(void)
{
	struct aub_quotas *quotas = g_new0(struct aub_quotas, 1);

	quotas->list = g_ptr_array_new_with_free_func(quota_free);
	quotas->by_workspace = g_hash_table_new(g_str_hash, g_str_equal);
	quotas->used_by_origin =
		g_hash_table_new_full(origin_key_hash, origin_key_equal, g_free,
				      g_free);
	quotas->unsent = g_array_new(FALSE, FALSE, sizeof(guint));
	quotas->share = 1.0;
	quotas->rate_max = 1.0;
	return quotas;
}

void aub_quotas_free(struct aub_quotas *quotas)
{
	if (!quotas)
		return;
	g_array_unref(quotas->unsent);
	g_hash_table_unref(quotas->used_by_origin);
	g_hash_table_unref(quotas->by_workspace);
	g_ptr_array_unref(quotas->list);
	g_free(quotas);
}

/* Returns NULL for handle 0. */
static struct quota *get(const struct aub_quotas *quotas, guint handle)
{
	return handle ? g_ptr_array_index(quotas->list, handle - 1) : NULL;
}

/* At least one request must fit, or none would ever be admitted. */
static double credit_max(const struct aub_quotas *quotas,
			 const struct quota *quota)
{
	return MAX(quota->burst * quotas->share, 1.0);
}

/* What is owed beyond this would keep callers out for longer than it helps. */
static double credit_min(const struct quota *quota)
{
	return -(quota->burst + quota->rate_per_s);
}

static void refill(const struct aub_quotas *quotas, struct quota *quota,
		   gint64 now_us)
{
	double elapsed_s = (double)(now_us - quota->credit_us) / G_USEC_PER_SEC;

	if (elapsed_s <= 0)
		return;
	quota->credit = MIN(quota->credit + quota->rate_per_s * quotas->share *
						    elapsed_s,
			    credit_max(quotas, quota));
	quota->credit_us = now_us;
}

static void subtract(const struct aub_quotas *quotas, struct quota *quota,
		     double count, gint64 now_us)
{
	refill(quotas, quota, now_us);
	quota->credit = CLAMP(quota->credit - count, credit_min(quota),
			      credit_max(quotas, quota));
}

guint aub_quotas_find(struct aub_quotas *quotas, const char *workspace)
{
	struct quota *quota;
	guint handle;

	if (!workspace || !workspace[0])
		return 0;
	handle = GPOINTER_TO_UINT(
		g_hash_table_lookup(quotas->by_workspace, workspace));
	if (handle)
		return handle;
	quota = g_new0(struct quota, 1);
	quota->workspace = g_strdup(workspace);
	g_ptr_array_add(quotas->list, quota);
	handle = quotas->list->len;
	g_hash_table_insert(quotas->by_workspace, quota->workspace,
			    GUINT_TO_POINTER(handle));
	return handle;
}

/*
 * A quota that is new in a process which knew others before is new everywhere,
 * and its workspace may use the burst. In a process that has just started,
 * another one may have granted it.
 */
static void configure_quota(struct aub_quotas *quotas,
			    const struct aub_workspace *workspace,
			    gint64 now_us)
{
	struct quota *quota =
		get(quotas, aub_quotas_find(quotas, workspace->name));
	bool had_limit = quota->rate_per_s > 0;

	refill(quotas, quota, now_us);
	quota->rate_per_s = workspace->rate_per_s;
	quota->burst = workspace->burst;
	quota->credit_us = now_us;
	if (!had_limit)
		quota->credit =
			quotas->configured ? credit_max(quotas, quota) : 0.0;
	quota->credit = MIN(quota->credit, credit_max(quotas, quota));
}

void aub_quotas_configure(struct aub_quotas *quotas,
			  const struct aub_workspaces *workspaces,
			  gint64 now_us)
{
	guint count = workspaces ? aub_workspaces_count(workspaces) : 0;
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	quotas->rate_max = count ? 0.0 : 1.0;
	for (guint i = 0; i < count; i++) {
		const struct aub_workspace *workspace =
			aub_workspaces_get(workspaces, i);

		quotas->rate_max = MAX(quotas->rate_max, workspace->rate_per_s);
		configure_quota(quotas, workspace, now_us);
		g_hash_table_add(names, workspace->name);
	}
	for (guint i = 0; i < quotas->list->len; i++) {
		struct quota *quota = g_ptr_array_index(quotas->list, i);

		if (!g_hash_table_contains(names, quota->workspace))
			quota->rate_per_s = 0;
	}
	if (quotas->rate_max <= 0)
		quotas->rate_max = 1.0;
	g_hash_table_unref(names);
	quotas->configured = true;
}

void aub_quotas_set_share(struct aub_quotas *quotas, double share,
			  gint64 now_us)
{
	if (share == quotas->share)
		return;
	for (guint i = 0; i < quotas->list->len; i++)
		refill(quotas, g_ptr_array_index(quotas->list, i), now_us);
	quotas->share = share;
	for (guint i = 0; i < quotas->list->len; i++)
		subtract(quotas, g_ptr_array_index(quotas->list, i), 0, now_us);
}

void aub_quotas_empty(struct aub_quotas *quotas, gint64 now_us)
{
	for (guint i = 0; i < quotas->list->len; i++) {
		struct quota *quota = g_ptr_array_index(quotas->list, i);

		refill(quotas, quota, now_us);
		quota->credit = MIN(quota->credit, 0.0);
	}
}

/*
 * Callers that were refused return late, while others of their workspace keep
 * arriving. If both were served alike, most of the credit of a workspace that
 * asks for more than its rate would go to answers that are late.
 */
static double late_reserve(const struct aub_quotas *quotas,
			   const struct quota *quota)
{
	return LATE_RESERVE_SHARE * (credit_max(quotas, quota) - 1.0);
}

bool aub_quota_has_credit(struct aub_quotas *quotas, guint handle,
			  const struct aub_quota_claim *claim, gint64 now_us)
{
	struct quota *quota = get(quotas, handle);
	double needed = 1.0 + claim->waiting;

	if (!quota || quota->rate_per_s <= 0)
		return true;
	refill(quotas, quota, now_us);
	if (claim->late)
		needed += late_reserve(quotas, quota);
	return quota->credit >= needed;
}

/* Returns the time in which `credit` accrues, at most RETRY_AFTER_MAX_MS. */
static gint64 accrual_us(const struct aub_quotas *quotas,
			 const struct quota *quota, double credit)
{
	double us =
		credit / (quota->rate_per_s * quotas->share) * G_USEC_PER_SEC;

	return (gint64)CLAMP(us, 0, RETRY_AFTER_MAX_MS * 1000.0);
}

/* Moves the time until which credit is promised by that of `count` requests. */
static void promise(const struct aub_quotas *quotas, struct quota *quota,
		    gint count, gint64 now_us)
{
	quota->promised_until_us += count * accrual_us(quotas, quota, 1.0);
	quota->promised_until_us =
		MIN(quota->promised_until_us,
		    now_us + (gint64)RETRY_AFTER_MAX_MS * 1000);
}

guint aub_quota_retry_after_ms(struct aub_quotas *quotas, guint handle,
			       gint64 now_us)
{
	struct quota *quota = get(quotas, handle);

	if (!quota || quota->rate_per_s <= 0)
		return RETRY_AFTER_MIN_MS;
	refill(quotas, quota, now_us);
	quota->refused++;
	quota->promised_until_us = MAX(quota->promised_until_us, now_us);
	promise(quotas, quota, 1, now_us);
	quota->promised_until_us =
		MAX(quota->promised_until_us,
		    now_us + accrual_us(quotas, quota, 1.0 - quota->credit));
	return (guint)MAX((quota->promised_until_us - now_us) / 1000,
			  RETRY_AFTER_MIN_MS);
}

double aub_quota_weight(const struct aub_quotas *quotas, guint handle)
{
	const struct quota *quota = get(quotas, handle);

	return quota && quota->rate_per_s > 0 ? quota->rate_per_s :
						quotas->rate_max;
}

static double unsent_max(const struct quota *quota)
{
	return MAX(UNSENT_MAX_SHARE * (quota->rate_per_s + quota->burst),
		   UNSENT_MIN);
}

static void count_use(struct aub_quotas *quotas, guint handle, gint change,
		      gint64 now_us)
{
	struct quota *quota = get(quotas, handle);

	if (!quota || quota->rate_per_s <= 0)
		return;
	subtract(quotas, quota, change, now_us);
	/*
	 * Callers keep arriving while others wait for their time to return.
	 * What is granted to these is not there for those. If a workspace asks
	 * for more than its rate all the time, nobody is told to return soon
	 * and take the place of one who would be served at once.
	 */
	if (quota->promised_until_us > now_us)
		promise(quotas, quota, change, now_us);
	quota->used += (guint64)(gint64)change;
	if (!quota->sends_left)
		g_array_append_val(quotas->unsent, handle);
	quota->sends_left = SENDS_PER_CHANGE;
	if ((double)(gint64)(quota->used - quota->used_sent) >=
	    unsent_max(quota))
		quotas->send_urgent = true;
}

void aub_quota_take(struct aub_quotas *quotas, guint handle, gint64 now_us)
{
	count_use(quotas, handle, 1, now_us);
}

void aub_quota_give_back(struct aub_quotas *quotas, guint handle, gint64 now_us)
{
	count_use(quotas, handle, -1, now_us);
}

guint aub_quotas_take_unsent(struct aub_quotas *quotas,
			     struct aub_quota_use *list, guint limit)
{
	guint count = MIN(quotas->unsent->len, limit);

	quotas->send_urgent = false;
	for (guint i = 0; i < count; i++) {
		guint handle = g_array_index(quotas->unsent, guint, i);
		struct quota *quota = get(quotas, handle);
		gint64 recent = (gint64)(quota->used - quota->used_sent);

		list[i] = (struct aub_quota_use){
			.workspace = quota->workspace,
			.used = quota->used,
			.recent = (guint)MAX(recent, 0),
		};
		quota->used_sent = quota->used;
		quota->sends_left--;
		if (quota->sends_left)
			g_array_append_val(quotas->unsent, handle);
	}
	g_array_remove_range(quotas->unsent, 0, count);
	return count;
}

guint aub_quotas_count_unsent(const struct aub_quotas *quotas)
{
	return quotas->unsent->len;
}

bool aub_quotas_is_send_urgent(const struct aub_quotas *quotas)
{
	return quotas->send_urgent;
}

void aub_quotas_apply_use(struct aub_quotas *quotas, guint64 origin,
			  const struct aub_quota_use *use, gint64 now_us)
{
	guint handle = aub_quotas_find(quotas, use->workspace);
	struct quota *quota = get(quotas, handle);
	const struct origin_key key = { .origin = origin, .quota = handle };
	guint64 *known;

	if (!quota)
		return;
	known = g_hash_table_lookup(quotas->used_by_origin, &key);
	if (known) {
		subtract(quotas, quota, (double)(gint64)(use->used - *known),
			 now_us);
		*known = use->used;
		return;
	}
	subtract(quotas, quota, use->recent, now_us);
	g_hash_table_insert(quotas->used_by_origin,
			    g_memdup2(&key, sizeof(key)),
			    g_memdup2(&use->used, sizeof(use->used)));
}

static gboolean is_of_origin(gpointer key, gpointer value, gpointer origin)
{
	return ((const struct origin_key *)key)->origin == *(guint64 *)origin;
}

void aub_quotas_forget_origin(struct aub_quotas *quotas, guint64 origin)
{
	g_hash_table_foreach_remove(quotas->used_by_origin, is_of_origin,
				    &origin);
}

bool aub_quota_get_stats(struct aub_quotas *quotas, guint handle, gint64 now_us,
			 struct aub_quota_stats *stats)
{
	struct quota *quota;

	if (!handle || handle > quotas->list->len)
		return false;
	quota = get(quotas, handle);
	refill(quotas, quota, now_us);
	*stats = (struct aub_quota_stats){
		.workspace = quota->workspace,
		.rate_per_s = quota->rate_per_s,
		.burst = quota->burst,
		.credit = quota->credit,
		.used = quota->used,
		.refused = quota->refused,
		.share = quotas->share,
	};
	return true;
}

guint64 aub_quota_take_refusals(struct aub_quotas *quotas, guint handle)
{
	struct quota *quota = get(quotas, handle);
	guint64 refusals;

	if (!quota)
		return 0;
	refusals = quota->refused - quota->refused_taken;
	quota->refused_taken = quota->refused;
	return refusals;
}

guint aub_quotas_count(const struct aub_quotas *quotas)
{
	return quotas->list->len;
}

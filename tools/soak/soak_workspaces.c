/*
 * Workspaces with API keys and quotas in the soak test. Keys are added and
 * removed while requests are in progress, quotas change, and some workspaces
 * ask for many times their quota. Checks, from what upstreams execute, that a
 * request bears the workspace of its key and not the key, that removed and
 * unknown keys open nothing, and that quotas hold over all gateways.
 */
#include "soak.h"

#include <string.h>

#define WORKSPACE_COUNT 4
#define KEYS_PER_WORKSPACE 2
#define CHANGE_MEAN_MS 900

/* From the update of the store until it binds all gateways. */
#define APPLY_US (3 * AUB_SECOND)

#define WINDOW_US (5 * AUB_SECOND)
#define QUOTA_OVERAGE 0.1
#define QUOTA_SLACK_REQUESTS 20

/* Percent of the calls without a key, and with one that is unknown. */
#define WITHOUT_KEY_PERCENT 3
#define UNKNOWN_KEY_PERCENT 3
/* Percent of the calls that name a workspace themselves. */
#define FORGED_PERCENT 20

/* Workspaces, the second and the third with far more calls than their quota. */
static const struct {
	const char *name;
	double rate_per_s; /* 0: no limit */
	double burst;
	guint calls_percent;
} specs[WORKSPACE_COUNT] = {
	{ "w0", 0, 0, 40 },
	{ "w1", 20, 60, 35 },
	{ "w2", 4, 30, 12 },
	{ "w3", 150, 150, 13 },
};
#define WITHIN_QUOTA 3 /* index of a workspace that keeps to its quota */

/* Keys are never freed during a run, since requests refer to them. */
struct soak_key {
	char text[24];
	guint workspace;
	gint64 added_us;
	gint64 removed_us; /* 0: valid */
};

/* A limit and when it was replaced by the next one; 0: it is in force. */
struct quota_period {
	double rate_per_s;
	double burst;
	gint64 until_us;
};

struct soak_workspace {
	GQueue keys; /* of struct soak_key: the valid ones, oldest first */
	GArray *periods; /* of struct quota_period */
	GArray *executions; /* of gint64, times within the window */
	guint executed;
	guint over_quota; /* calls answered with 429 */
	guint calls;
};

struct soak_workspaces {
	struct soak *soak;
	GRand *random;
	GPtrArray *keys; /* of struct soak_key, all of them */
	struct soak_workspace list[WORKSPACE_COUNT];
	gint64 next_change_us;
	guint changes;
	guint unauthorized; /* calls answered with 401 */
};

static void add_key(struct soak_workspaces *workspaces, guint workspace)
{
	struct soak_key *key = g_new0(struct soak_key, 1);

	g_snprintf(key->text, sizeof(key->text), "%s-%08x%u",
		   specs[workspace].name, g_rand_int(workspaces->random),
		   workspaces->keys->len);
	key->workspace = workspace;
	key->added_us = soak_now(workspaces->soak);
	g_ptr_array_add(workspaces->keys, key);
	g_queue_push_tail(&workspaces->list[workspace].keys, key);
}

static void set_quota(struct soak_workspaces *workspaces, guint workspace,
		      double factor)
{
	GArray *periods = workspaces->list[workspace].periods;
	struct quota_period period = {
		.rate_per_s = factor * specs[workspace].rate_per_s,
		.burst = factor * specs[workspace].burst,
	};

	if (periods->len)
		g_array_index(periods, struct quota_period, periods->len - 1)
			.until_us = soak_now(workspaces->soak);
	g_array_append_val(periods, period);
}

struct soak_workspaces *soak_workspaces_new(struct soak *soak, guint32 seed)
{
	struct soak_workspaces *workspaces = g_new0(struct soak_workspaces, 1);

	workspaces->soak = soak;
	workspaces->random = g_rand_new_with_seed(seed);
	workspaces->keys = g_ptr_array_new_with_free_func(g_free);
	workspaces->next_change_us = soak_now(soak) + 2 * AUB_SECOND;
	for (guint i = 0; i < WORKSPACE_COUNT; i++) {
		struct soak_workspace *workspace = &workspaces->list[i];

		g_queue_init(&workspace->keys);
		workspace->periods =
			g_array_new(FALSE, FALSE, sizeof(struct quota_period));
		workspace->executions =
			g_array_new(FALSE, FALSE, sizeof(gint64));
		set_quota(workspaces, i, 1.0);
		for (guint k = 0; k < KEYS_PER_WORKSPACE; k++)
			add_key(workspaces, i);
	}
	return workspaces;
}

void soak_workspaces_free(struct soak_workspaces *workspaces)
{
	if (!workspaces)
		return;
	for (guint i = 0; i < WORKSPACE_COUNT; i++) {
		g_queue_clear(&workspaces->list[i].keys);
		g_array_unref(workspaces->list[i].periods);
		g_array_unref(workspaces->list[i].executions);
	}
	g_ptr_array_unref(workspaces->keys);
	g_rand_free(workspaces->random);
	g_free(workspaces);
}

void soak_workspaces_append_table(const struct soak_workspaces *workspaces,
				  GString *config)
{
	g_string_append(config,
			",\"tenants\":{\"columns\":[\"name\",\"api_keys\","
			"\"priority\",\"rate_per_s\",\"burst\"],\"rows\":[");
	for (guint i = 0; i < WORKSPACE_COUNT; i++) {
		const struct soak_workspace *workspace = &workspaces->list[i];
		const struct quota_period *quota =
			&g_array_index(workspace->periods, struct quota_period,
				       workspace->periods->len - 1);

		g_string_append_printf(config, "%s[\"%s\",[", i ? "," : "",
				       specs[i].name);
		for (GList *link = workspace->keys.head; link;
		     link = link->next)
			g_string_append_printf(
				config, "%s\"%s\"",
				link == workspace->keys.head ? "" : ",",
				((const struct soak_key *)link->data)->text);
		g_string_append_printf(config, "],1,%g,%g]", quota->rate_per_s,
				       quota->burst);
	}
	g_string_append(config, "]}");
}

/* Rotates a key, or changes a quota. */
static void change(struct soak_workspaces *workspaces, gint64 now_us)
{
	guint i =
		(guint)g_rand_int_range(workspaces->random, 0, WORKSPACE_COUNT);
	struct soak_workspace *workspace = &workspaces->list[i];

	if (g_rand_int_range(workspaces->random, 0, 3)) {
		struct soak_key *oldest = g_queue_pop_head(&workspace->keys);

		oldest->removed_us = now_us;
		add_key(workspaces, i);
	} else if (i != WITHIN_QUOTA) {
		set_quota(workspaces, i,
			  g_rand_boolean(workspaces->random) ? 1.0 : 0.5);
	}
	workspaces->changes++;
	soak_configure(workspaces->soak);
	soak_silence_store(workspaces->soak);
}

void soak_workspaces_step(struct soak_workspaces *workspaces, gint64 now_us)
{
	if (now_us < workspaces->next_change_us ||
	    now_us >= workspaces->soak->faults_end_us)
		return;
	workspaces->next_change_us =
		now_us +
		g_rand_int_range(workspaces->random, 1, 2 * CHANGE_MEAN_MS) *
			AUB_MS;
	change(workspaces, now_us);
}

static guint random_workspace(struct soak_workspaces *workspaces)
{
	gint percent = g_rand_int_range(workspaces->random, 0, 100);
	guint i = 0;

	while (i + 1 < WORKSPACE_COUNT &&
	       (percent -= (gint)specs[i].calls_percent) >= 0)
		i++;
	return i;
}

void soak_workspaces_choose_key(struct soak_workspaces *workspaces,
				struct request *request, GString *headers)
{
	gint percent = g_rand_int_range(workspaces->random, 0, 100);
	struct soak_workspace *workspace =
		&workspaces->list[random_workspace(workspaces)];
	guint count = workspace->keys.length;

	if (g_rand_int_range(workspaces->random, 0, 100) < FORGED_PERCENT)
		g_string_append(headers, "tenant: w0\r\n");
	if (percent < WITHOUT_KEY_PERCENT)
		return;
	if (percent < WITHOUT_KEY_PERCENT + UNKNOWN_KEY_PERCENT) {
		g_string_append(headers, "Authorization: Token w0-unknown\r\n");
		return;
	}
	request->key =
		g_queue_peek_nth(&workspace->keys,
				 (guint)g_rand_int_range(workspaces->random, 0,
							 (gint)count));
	workspace->calls++;
	g_string_append_printf(headers, "Authorization: Token %s\r\n",
			       request->key->text);
}

/*
 * Returns whether a change at `since_us` binds the gateway that the request was
 * sent to: the store published it for long enough, and the gateway ran.
 */
static bool is_bound(const struct soak *soak, const struct request *request,
		     gint64 since_us)
{
	const struct gateway *gateway = &soak->gateways[request->gateway];
	gint64 bound_us = MAX(MAX(since_us, soak->store_healthy_us),
			      gateway->disturbed_us) +
			  APPLY_US;

	return since_us && !soak->store_repair_us && !gateway->resume_us &&
	       !gateway->restart_us && request->sent_us > bound_us;
}

static void check_quota(struct soak_workspaces *workspaces, guint index,
			const char *id)
{
	struct soak_workspace *workspace = &workspaces->list[index];
	gint64 now = soak_now(workspaces->soak);
	double allowed = 0;
	guint expired = 0;

	g_array_append_val(workspace->executions, now);
	while (now - g_array_index(workspace->executions, gint64, expired) >
	       WINDOW_US)
		expired++;
	g_array_remove_range(workspace->executions, 0, expired);
	/* The highest limit that may have been in force in the window. */
	for (guint i = 0; i < workspace->periods->len; i++) {
		const struct quota_period *period =
			&g_array_index(workspace->periods, struct quota_period,
				       i);

		if (!period->rate_per_s)
			return;
		if (period->until_us &&
		    now - period->until_us > WINDOW_US + APPLY_US)
			continue;
		allowed = MAX(allowed, (period->rate_per_s * (double)WINDOW_US /
						AUB_SECOND +
					period->burst) *
						       (1 + QUOTA_OVERAGE) +
					       QUOTA_SLACK_REQUESTS);
	}
	if (workspace->executions->len > allowed)
		soak_report_violation(workspaces->soak, "QUOTA", id);
}

void soak_workspaces_on_request(struct soak_workspaces *workspaces,
				const struct upstream *upstream,
				const struct request *request, const char *id)
{
	struct soak *soak = workspaces->soak;
	const char *name = platform_upstream_header(upstream->server, "Tenant");

	if (platform_upstream_header(upstream->server, "Authorization"))
		soak_report_violation(soak, "UNASKED (key passed on)", id);
	if (!request->key) {
		soak_report_violation(soak, "ROUTE (no valid key)", id);
		return;
	}
	if (g_strcmp0(name, specs[request->key->workspace].name) != 0)
		soak_report_violation(soak, "UNASKED (other workspace)", id);
	if (is_bound(soak, request, request->key->removed_us))
		soak_report_violation(soak, "CONFIG (removed key)", id);
	workspaces->list[request->key->workspace].executed++;
	check_quota(workspaces, request->key->workspace, id);
}

bool soak_workspaces_check_answer(struct soak_workspaces *workspaces,
				  const struct request *request, guint status,
				  const char *id)
{
	const struct soak_key *key = request->key;
	struct soak *soak = workspaces->soak;

	if (status == 401) {
		workspaces->unauthorized++;
		if (key && !key->removed_us &&
		    is_bound(soak, request, key->added_us))
			soak_report_violation(soak, "DENIED (valid key)", id);
		return true;
	}
	if (status == 429 && key) {
		workspaces->list[key->workspace].over_quota++;
		if (!specs[key->workspace].rate_per_s)
			soak_report_violation(soak, "DENIED (no quota)", id);
		if (key->workspace == WITHIN_QUOTA &&
		    soak_now(soak) > soak->faults_end_us + RECOVERY_MS * AUB_MS)
			soak_report_violation(soak, "DENIED (within quota)",
					      id);
		return true;
	}
	return false;
}

void soak_workspaces_report(const struct soak_workspaces *workspaces)
{
	g_print("workspaces: %u changes, %u unauthorized", workspaces->changes,
		workspaces->unauthorized);
	for (guint i = 0; i < WORKSPACE_COUNT; i++)
		g_print("; %s: %u calls, %u executed, %u over quota",
			specs[i].name, workspaces->list[i].calls,
			workspaces->list[i].executed,
			workspaces->list[i].over_quota);
	g_print("\n");
}

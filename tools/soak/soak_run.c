/* One run of the soak test: its start, its timer and its end. */
#include "soak.h"

#include <glib/gstdio.h>

#define SERVED_MIN_SHARE 0.9 /* of the calls after all repairs */

gint64 soak_now(const struct soak *soak)
{
	return aub_timer_now(soak->timers);
}

void soak_report_violation(struct soak *soak, const char *rule, const char *id)
{
	soak->violations++;
	g_print("BROKEN %s: request %s, %.3f s before the end of the faults\n",
		rule, id, (double)(soak->faults_end_us - soak_now(soak)) / 1e6);
}

gint64 soak_random_time(struct soak *soak, guint min_ms, guint max_ms)
{
	return soak_now(soak) +
	       g_rand_int_range(soak->random, (gint)min_ms, (gint)max_ms) *
		       AUB_MS;
}

static void on_step(void *context, gint64 now_us)
{
	struct soak *soak = context;

	soak_repair_due(soak, now_us);
	if (soak->rollout)
		soak_rollout_step(soak->rollout, now_us);
	if (soak->notices)
		soak_notices_step(soak->notices, now_us);
	if (soak->workspaces)
		soak_workspaces_step(soak->workspaces, now_us);
	if (soak->partitions)
		soak_partitions_step(soak->partitions, now_us);
	if (soak->refusals)
		soak_refusals_step(soak->refusals, now_us);
	if (soak->pauses)
		soak_pauses_step(soak->pauses, now_us);
	if (soak->ahead)
		soak_ahead_step(soak->ahead, now_us);
	if (soak->zone_evacuated && now_us >= soak->faults_end_us)
		soak_end_evacuation(soak);
	if (now_us >= soak->next_fault_us && now_us < soak->faults_end_us)
		soak_inject_fault(soak);
	for (guint i = 0; i < CALLER_COUNT; i++)
		soak_caller_step(&soak->callers[i], now_us);
}

static void soak_start(struct soak *soak, const struct soak_options *options,
		       guint32 seed)
{
	gint64 now;

	soak->gateway_count = options->gateways ?
				      MIN(options->gateways, GATEWAY_MAX) :
				      GATEWAY_COUNT;
	soak->timers = aub_timer_service_new(NULL);
	soak->poller = aub_poller_new();
	soak->store = platform_store_new(soak->poller, soak->timers);
	soak->requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	soak->folder = g_dir_make_tmp("auburnstile-soak-XXXXXX", NULL);
	soak_log_open(soak);
	if (options->rollouts)
		soak->rollout = soak_rollout_new(soak, seed);
	if (options->notices)
		soak->notices = soak_notices_new(soak, seed, options->notices);
	if (options->workspaces)
		soak->workspaces = soak_workspaces_new(soak, seed);
	if (options->partitions)
		soak->partitions = soak_partitions_new(
			soak, seed,
			(enum proxy_partition)options->partition_kind);
	if (options->refusals)
		soak->refusals = soak_refusals_new(soak, seed);
	if (options->pauses)
		soak->pauses = soak_pauses_new(soak, seed);
	if (options->ahead)
		soak->ahead = soak_ahead_new(soak, seed);
	soak_configure(soak);
	for (guint i = 0; i < UPSTREAM_COUNT; i++) {
		soak->upstreams[i].soak = soak;
		soak->upstreams[i].number = i;
		soak_upstream_start(&soak->upstreams[i]);
	}
	for (guint i = 0; i < GATEWAY_PORT_COUNT; i++)
		soak->ports[i] = child_pick_free_port();
	for (guint i = 0; i < soak->gateway_count; i++) {
		soak->gateways[i].soak = soak;
		soak->gateways[i].number = i;
		soak->gateways[i].callers_address =
			soak_gateway_address(&soak->gateways[i], 0);
		soak_gateway_write_settings(&soak->gateways[i]);
		soak_gateway_start(&soak->gateways[i]);
	}
	now = soak_now(soak);
	for (guint i = 0; i < CALLER_COUNT; i++) {
		soak->callers[i].soak = soak;
		soak->callers[i].next_call_us = now + AUB_SECOND;
	}
	soak->next_fault_us = now + 2 * AUB_SECOND;
	if (options->silences || (options->partitions && seed % 2 == 0))
		soak->next_fault_us = G_MAXINT64;
	soak->next_silence_us = options->silences ? now : G_MAXINT64;
	soak->faults_end_us = now + options->seconds * AUB_SECOND;
}

static bool soak_report(struct soak *soak, guint32 seed)
{
	if (soak->recovered_served < SERVED_MIN_SHARE * soak->recovered_calls ||
	    !soak->recovered_calls)
		soak_report_violation(soak, "RECOVER", "-");
	if (soak->partitions)
		soak_partitions_report(soak->partitions);
	g_print("seed %u: %u faults, %u calls, %u served; after the faults "
		"%u of %u; %u broken\n",
		seed, soak->faults, soak->calls, soak->served,
		soak->recovered_served, soak->recovered_calls,
		soak->violations);
	if (soak->rollout)
		soak_rollout_report(soak->rollout);
	if (soak->notices)
		soak_notices_report(soak->notices);
	if (soak->workspaces)
		soak_workspaces_report(soak->workspaces);
	if (soak->refusals)
		soak_refusals_report(soak->refusals);
	if (soak->ahead)
		soak_ahead_report(soak->ahead);
	if (soak->violations)
		g_print("logs are kept in %s\n", soak->folder);
	return soak->violations == 0;
}

static void soak_stop(struct soak *soak)
{
	soak_ahead_free(soak->ahead);
	for (guint i = 0; i < CALLER_COUNT; i++)
		soak_caller_disconnect(&soak->callers[i]);
	for (guint i = 0; i < soak->gateway_count; i++) {
		char *log = g_strdup_printf("%s/g%u.log", soak->folder, i);

		child_free(soak->gateways[i].child);
		if (!soak->violations) {
			g_unlink(log);
			g_unlink(soak->gateways[i].settings_file);
		}
		g_free(log);
	}
	soak_log_close(soak, soak->violations > 0);
	if (!soak->violations)
		g_rmdir(soak->folder);
	soak_rollout_free(soak->rollout);
	soak_notices_free(soak->notices);
	soak_workspaces_free(soak->workspaces);
	soak_partitions_free(soak->partitions);
	soak_refusals_free(soak->refusals);
	soak_pauses_free(soak->pauses);
}

bool soak_run(guint32 seed, const struct soak_options *options,
	      struct soak_result *result)
{
	struct soak soak = { .random = g_rand_new_with_seed(seed) };
	guint step_timer;
	bool good;

	soak_start(&soak, options, seed);
	step_timer = aub_timer_every(soak.timers, "turn", 2 * AUB_MS, on_step,
				     &soak);
	while (soak_now(&soak) < soak.faults_end_us + FAULT_FREE_MS * AUB_MS)
		g_main_context_iteration(NULL, TRUE);
	aub_timer_cancel(soak.timers, step_timer);
	good = soak_report(&soak, seed);
	*result = (struct soak_result){ .violations = soak.violations };
	if (soak.notices)
		soak_notices_count(soak.notices, result);
	if (soak.partitions)
		soak_partitions_get_counts(soak.partitions, result);
	soak_stop(&soak);
	return good;
}

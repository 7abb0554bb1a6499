/* Injects and repairs the faults of the soak test. */
#include "soak.h"

#include <signal.h>

/* Duration of a silence of the store, and the least time between two. */
#define SILENCE_US (1200 * AUB_MS)
#define SILENCE_INTERVAL_US (6 * AUB_SECOND)

static void inject_gateway_fault(struct soak *soak)
{
	struct gateway *gateway =
		&soak->gateways[g_rand_int_range(soak->random, 0,
						 (gint32)soak->gateway_count)];

	if (gateway->restart_us || gateway->resume_us)
		return;
	gateway->disturbed_us = soak_now(soak);
	switch (g_rand_int_range(soak->random, 0, 4)) {
	case 0:
		child_signal(gateway->child, SIGKILL);
		gateway->restart_us = soak_random_time(soak, 50, 1500);
		soak_log_gateway_fault(gateway, "kill", gateway->restart_us);
		break;
	case 1:
		child_signal(gateway->child, SIGTERM);
		gateway->restart_us = soak_random_time(soak, 3100, 4000);
		soak_log_gateway_fault(gateway, "stop", gateway->restart_us);
		break;
	case 2:
		child_signal(gateway->child, SIGSTOP);
		gateway->resume_us = soak_random_time(soak, 100, 2000);
		soak_log_gateway_fault(gateway, "pause", gateway->resume_us);
		break;
	default:
		child_signal(gateway->child, SIGHUP);
		soak_log_gateway_fault(gateway, "reload", 0);
		break;
	}
}

static void inject_store_fault(struct soak *soak)
{
	static const char *const names[] = {
		[PLATFORM_STORE_UNAVAILABLE] = "unavailable",
		[PLATFORM_STORE_RATE_LIMITED] = "rate-limited",
		[PLATFORM_STORE_RESET] = "reset",
		[PLATFORM_STORE_UNRESPONSIVE] = "unresponsive",
		[PLATFORM_STORE_LOSE_ANSWERS] = "lose-answers",
		[PLATFORM_STORE_MALFORMED] = "malformed",
	};
	const char *name = "delay";
	enum platform_store_fault fault;

	switch (g_rand_int_range(soak->random, 0, 4)) {
	case 0:
		platform_store_compact(soak->store);
		soak_log_store_fault(soak, "compact");
		return;
	case 1:
		platform_store_set_delay(soak->store,
					 (guint)g_rand_int_range(soak->random,
								 10, 300));
		break;
	default:
		fault = (enum platform_store_fault)g_rand_int_range(
			soak->random, PLATFORM_STORE_UNAVAILABLE,
			PLATFORM_STORE_MALFORMED + 1);
		name = names[fault];
		platform_store_set_fault(soak->store, fault);
		break;
	}
	if (!soak->store_repair_us)
		soak->store_faulty_us = soak_now(soak);
	soak->store_repair_us = soak_random_time(soak, 300, 3000);
	soak_log_store_fault(soak, name);
}

static void inject_upstream_fault(struct soak *soak)
{
	const char *name = "answer";
	struct upstream *upstream =
		&soak->upstreams[g_rand_int_range(soak->random, 0,
						  UPSTREAM_COUNT)];

	if (upstream->repair_us || upstream->draining_us ||
	    soak_notice_is_active(upstream) ||
	    soak_rollout_is_done(soak->rollout))
		return;
	upstream->repair_us = soak_random_time(soak, 300, 2500);
	switch (g_rand_int_range(soak->random, 0, 6)) {
	case 0:
		upstream->route->fault.delay_ms =
			(guint)g_rand_int_range(soak->random, 5, 400);
		name = "delay";
		break;
	case 1:
		name = "blackhole-requests";
		upstream->route->fault.blackhole[PROXY_UP] = true;
		break;
	case 2:
		name = "blackhole-answers";
		upstream->route->fault.blackhole[PROXY_DOWN] = true;
		break;
	case 3:
		name = "down";
		platform_upstream_set_down(upstream->server, true);
		break;
	case 4:
		name = "draining";
		upstream->draining_us = soak_now(soak);
		upstream->repair_us = soak_random_time(soak, 4000, 6000);
		soak_upstream_register(upstream, "draining");
		break;
	default:
		platform_upstream_set_answer(
			upstream->server,
			(enum platform_answer)g_rand_int_range(
				soak->random, 0, PLATFORM_ANSWER_EARLY_ERROR));
		break;
	}
	soak_log_upstream_fault(upstream, name);
}

static void replace_upstream(struct soak *soak, guint number)
{
	struct upstream *upstream = &soak->upstreams[number];

	/* A repaired upstream is a new incarnation, whatever its fault was. */
	upstream->repair_us = 0;
	soak_upstream_stop(upstream);
	soak_upstream_start(upstream);
}

void soak_end_evacuation(struct soak *soak)
{
	platform_store_remove(soak->store, "evacuations", "z1");
	soak_log_change(soak, "zone-in", 0);
	soak->zone_evacuated = false;
}

static void inject_operator_change(struct soak *soak)
{
	if (g_rand_boolean(soak->random)) {
		soak_configure(soak);
		return;
	}
	if (soak->zone_evacuated) {
		soak_end_evacuation(soak);
		return;
	}
	platform_store_put(soak->store, "evacuations", "z1", "{}");
	soak_log_change(soak, "zone-out", 0);
	soak->zone_evacuated = true;
}

void soak_inject_fault(struct soak *soak)
{
	static void (*const injectors[])(struct soak *) = {
		inject_gateway_fault,  inject_gateway_fault,
		inject_upstream_fault, inject_upstream_fault,
		inject_store_fault,    inject_operator_change,
	};

	soak->faults++;
	injectors[g_rand_int_range(soak->random, 0, G_N_ELEMENTS(injectors))](
		soak);
	soak->next_fault_us =
		soak_random_time(soak, 1, 2 * FAULT_INTERVAL_MEAN_MS);
}

void soak_silence_store(struct soak *soak)
{
	gint64 now_us = soak_now(soak);

	if (now_us < soak->next_silence_us)
		return;
	soak->next_silence_us = now_us + SILENCE_INTERVAL_US;
	soak->store_faulty_us = now_us;
	soak->store_repair_us = now_us + SILENCE_US;
	platform_store_set_fault(soak->store, PLATFORM_STORE_UNRESPONSIVE);
	soak->faults++;
	soak_log_store_fault(soak, "unresponsive");
}

static void repair_store(struct soak *soak)
{
	platform_store_set_fault(soak->store, PLATFORM_STORE_NO_FAULT);
	platform_store_set_delay(soak->store, 0);
	soak->store_repair_us = 0;
	soak_log_store_fault(soak, "repaired");
	soak->store_healthy_us = soak_now(soak);
}

void soak_repair_due(struct soak *soak, gint64 now_us)
{
	if (soak->store_repair_us && soak->store_repair_us <= now_us)
		repair_store(soak);
	for (guint i = 0; i < UPSTREAM_COUNT; i++)
		if (!soak_rollout_is_done(soak->rollout) &&
		    soak->upstreams[i].repair_us &&
		    soak->upstreams[i].repair_us <= now_us)
			replace_upstream(soak, i);
	for (guint i = 0; i < soak->gateway_count; i++) {
		struct gateway *gateway = &soak->gateways[i];

		if (gateway->resume_us && gateway->resume_us <= now_us) {
			child_signal(gateway->child, SIGCONT);
			gateway->resume_us = 0;
			gateway->disturbed_us = now_us;
		}
		if (!gateway->restart_us && child_has_exited(gateway->child)) {
			soak_report_violation(soak, "ENDED (by itself)", "-");
			soak_gateway_start(gateway);
		}
		if (gateway->restart_us && gateway->restart_us <= now_us)
			soak_gateway_start(gateway);
	}
}

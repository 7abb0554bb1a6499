/*
 * The soak's faults, and how they are mended.
 */
#include "soak.h"

#include <signal.h>

static void fault_gateway(struct soak *soak)
{
	struct gateway *gateway =
		&soak->gateways[g_rand_int_range(soak->random, 0, GATEWAYS)];

	if (gateway->restart_us || gateway->resume_us)
		return;
	switch (g_rand_int_range(soak->random, 0, 4)) {
	case 0:
		child_signal(gateway->child, SIGKILL);
		gateway->restart_us = soak_later(soak, 50, 1500);
		break;
	case 1:
		child_signal(gateway->child, SIGTERM);
		gateway->restart_us = soak_later(soak, 3100, 4000);
		break;
	case 2:
		child_signal(gateway->child, SIGSTOP);
		gateway->resume_us = soak_later(soak, 100, 2000);
		break;
	default:
		child_signal(gateway->child, SIGHUP);
		break;
	}
}

static void fault_store(struct soak *soak)
{
	switch (g_rand_int_range(soak->random, 0, 4)) {
	case 0:
		platform_store_compact(soak->store);
		return;
	case 1:
		platform_store_set_delay(soak->store,
					 (guint)g_rand_int_range(soak->random,
								 10, 300));
		break;
	default:
		platform_store_set_fault(
			soak->store,
			(enum platform_store_fault)g_rand_int_range(
				soak->random, PLATFORM_STORE_UNAVAILABLE,
				PLATFORM_STORE_MALFORMED + 1));
		break;
	}
	if (!soak->store_mend_us)
		soak->store_ill_us = soak_now(soak);
	soak->store_mend_us = soak_later(soak, 300, 3000);
}

static void fault_upstream(struct soak *soak)
{
	struct upstream *upstream =
		&soak->upstreams[g_rand_int_range(soak->random, 0, UPSTREAMS)];

	if (upstream->mend_us || upstream->draining_us ||
	    soak_rollout_is_done(soak->rollout))
		return;
	upstream->mend_us = soak_later(soak, 300, 2500);
	switch (g_rand_int_range(soak->random, 0, 6)) {
	case 0:
		upstream->route->fault.delay_ms =
			(guint)g_rand_int_range(soak->random, 5, 400);
		break;
	case 1:
		upstream->route->fault.blackhole[PROXY_UP] = true;
		break;
	case 2:
		upstream->route->fault.blackhole[PROXY_DOWN] = true;
		break;
	case 3:
		platform_upstream_set_down(upstream->it, true);
		break;
	case 4:
		upstream->draining_us = soak_now(soak);
		upstream->mend_us = soak_later(soak, 4000, 6000);
		soak_upstream_enter(upstream, "draining");
		break;
	default:
		platform_upstream_set_answer(
			upstream->it,
			(enum platform_answer)g_rand_int_range(
				soak->random, 0, PLATFORM_ANSWER_EARLY_ERROR));
		break;
	}
}

static void upstream_mend(struct soak *soak, guint number)
{
	struct upstream *upstream = &soak->upstreams[number];

	/* Whatever it had, it comes back as a new incarnation. */
	upstream->mend_us = 0;
	soak_upstream_end(upstream);
	soak_upstream_start(upstream);
}

void soak_zone_back(struct soak *soak)
{
	platform_store_remove(soak->store, "evacuations", "z1");
	soak->zone_out = false;
}

static void fault_operator(struct soak *soak)
{
	if (g_rand_boolean(soak->random)) {
		soak_configure(soak);
		return;
	}
	if (soak->zone_out) {
		soak_zone_back(soak);
		return;
	}
	platform_store_put(soak->store, "evacuations", "z1", "{}");
	soak->zone_out = true;
}

void soak_fault_begin(struct soak *soak)
{
	static void (*const faults[])(struct soak *) = {
		fault_gateway,	fault_gateway, fault_upstream,
		fault_upstream, fault_store,   fault_operator,
	};

	soak->faults++;
	faults[g_rand_int_range(soak->random, 0, G_N_ELEMENTS(faults))](soak);
	soak->next_fault_us = soak_later(soak, 1, 2 * FAULT_GAP_MS);
}

static void store_mend(struct soak *soak)
{
	platform_store_set_fault(soak->store, PLATFORM_STORE_NO_FAULT);
	platform_store_set_delay(soak->store, 0);
	soak->store_mend_us = 0;
	soak->store_well_us = soak_now(soak);
}

void soak_mend_due(struct soak *soak, gint64 now_us)
{
	if (soak->store_mend_us && soak->store_mend_us <= now_us)
		store_mend(soak);
	for (guint i = 0; i < UPSTREAMS; i++)
		if (!soak_rollout_is_done(soak->rollout) &&
		    soak->upstreams[i].mend_us &&
		    soak->upstreams[i].mend_us <= now_us)
			upstream_mend(soak, i);
	for (guint i = 0; i < GATEWAYS; i++) {
		struct gateway *gateway = &soak->gateways[i];

		if (gateway->resume_us && gateway->resume_us <= now_us) {
			child_signal(gateway->child, SIGCONT);
			gateway->resume_us = 0;
		}
		if (gateway->restart_us && gateway->restart_us <= now_us)
			soak_gateway_start(gateway);
	}
}

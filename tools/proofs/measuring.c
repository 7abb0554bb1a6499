/*
 * Measuring stays in its budget, fleet-wide. Counted at the upstreams: the
 * time that probes took there, against the budget times the time that passed.
 */
#include "common/tool.h"
#include "proofs/common.h"

#include <signal.h>
#include <string.h>

#define BUDGET_US 20000 /* upstream time a second, each service */
#define PROBE_US 6000
#define SERVICES 2

static const struct fleet_service services[SERVICES] = {
	{ .name = "portal",
	  .path = "/portal",
	  .upstreams = 8,
	  .slots = 6,
	  .cold_slots = 1,
	  .queue_limit = 200,
	  .probe_budget_us = BUDGET_US,
	  .probe_cost_us = PROBE_US },
	{ .name = "idle",
	  .path = "/idle",
	  .upstreams = 8,
	  .slots = 6,
	  .cold_slots = 1,
	  .queue_limit = 200,
	  .probe_budget_us = BUDGET_US,
	  .probe_cost_us = PROBE_US },
};

static const struct load_service portal = { "portal", "/portal/x", 1, false };

static gint64 probe_us(struct proof_run *run)
{
	JsonNode *oracle = fleet_oracle(run->fleet);
	gint64 sum = 0;

	for (guint i = 0; i < run->fleet->inventory->upstreams->len; i++)
		sum += tool_json_int(fleet_oracle_upstream(oracle, run->fleet,
							   i),
				     "probe_us", 0);
	json_node_unref(oracle);
	return sum;
}

/* `fault` is brought about in the middle of a load of six seconds. */
static void measure(struct proof_run *run, void (*fault)(struct proof_run *run))
{
	static const char *const probe_cost[] = { "--probe-us=6000", NULL };
	struct proof_fleet fleet = {
		.services = services,
		.service_count = SERVICES,
		.members = 6,
		.zones = 3,
		.upstream_options = probe_cost,
	};
	struct load_options load = {
		.services = &portal,
		.service_count = 1,
		.rate = 300,
		.seconds = 6,
		.retry = true,
	};
	gint64 began_us;
	gint64 before_us;
	double passed_s;
	double spent_us;

	if (!proof_start(run, &fleet))
		return;
	began_us = g_get_monotonic_time();
	before_us = probe_us(run);
	proof_load(run, &load);
	fleet_run_main_loop_ms(1500);
	if (fault)
		fault(run);
	proof_end_load(run);
	passed_s = (double)(g_get_monotonic_time() - began_us) / AUB_SECOND;
	spent_us = (double)(probe_us(run) - before_us);
	proof_figure(run, "probe_ms_per_s", spent_us / passed_s / 1000);
	proof_figure(run, "budget_ms_per_s", SERVICES * BUDGET_US / 1000.0);
	proof_need(run, spent_us > 0, "probes");
	/* One probe a service may have been saved up before. */
	proof_check(run,
		    spent_us <= SERVICES * (BUDGET_US * passed_s + PROBE_US),
		    "probes took more than their budget");
}

static void no_fault(struct proof_run *run)
{
	measure(run, NULL);
}

/* Ownership moves three times. */
static void kill_owners(struct proof_run *run)
{
	for (guint i = 0; i < 3; i++) {
		struct fleet_member *owner = proof_owner(run, "portal");

		if (owner) {
			fleet_signal(owner, FLEET_BOTH, SIGKILL);
			fleet_run_main_loop_ms(500);
			fleet_start_member(run->fleet, owner, NULL);
		}
		fleet_run_main_loop_ms(1000);
	}
}

static void owners_killed(struct proof_run *run)
{
	measure(run, kill_owners);
}

/* Every upstream goes silent: all probes time out. */
static void silence_all(struct proof_run *run)
{
	fleet_upstream_fault(run->fleet, "{\"crash_ms\":3000}");
}

static void upstreams_gone(struct proof_run *run)
{
	measure(run, silence_all);
}

/* The owner is frozen; its stand-by acts; then both believe in themselves. */
static void freeze_owner(struct proof_run *run)
{
	struct fleet_member *owner = proof_owner(run, "portal");

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGSTOP);
	fleet_run_main_loop_ms(2000);
	fleet_signal(owner, FLEET_BOTH, SIGCONT);
}

static void owner_frozen(struct proof_run *run)
{
	measure(run, freeze_owner);
}

/* Upstreams crash, turn cold and slow, and the owner dies: all suspect. */
static void suspect_all(struct proof_run *run)
{
	struct fleet_member *owner = proof_owner(run, "portal");

	fleet_single_upstream_fault(run->fleet, 0, "{\"crash_ms\":300}");
	fleet_single_upstream_fault(run->fleet, 1, "{\"cold\":1}");
	fleet_upstream_fault(run->fleet, "{\"slow_factor\":10,"
					 "\"slow_ms\":1000}");
	fleet_run_main_loop_ms(800);
	if (owner)
		fleet_signal(owner, FLEET_BOTH, SIGKILL);
}

static void all_suspect(struct proof_run *run)
{
	measure(run, suspect_all);
}

const struct proof proofs_measuring[] = {
	{ "measuring-in-budget", "none", true, no_fault },
	{ "measuring-in-budget", "owners-killed", false, owners_killed },
	{ "measuring-in-budget", "upstreams-gone", false, upstreams_gone },
	{ "measuring-in-budget", "owner-frozen-and-back", false, owner_frozen },
	{ "measuring-in-budget", "slow-cold-owner-killed", false, all_suspect },
	{ 0 }
};

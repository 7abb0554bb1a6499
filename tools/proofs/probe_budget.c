/*
 * Probes stay within their budget in the whole fleet. The upstreams count the
 * time spent on probes, which is compared with the budget times the elapsed
 * time.
 */
#include "common/tool.h"
#include "proofs/fixtures.h"

#include <signal.h>
#include <string.h>

#define PROBE_BUDGET_US_PER_S \
	20000 /* upstream time spent on probes, for each service */
#define PROBE_COST_US 6000
#define SERVICE_COUNT 2

static const struct fleet_service services[SERVICE_COUNT] = {
	{ .name = "portal",
	  .path = "/portal",
	  .upstreams = 8,
	  .slots = 6,
	  .cold_slots = 1,
	  .queue_limit = 200,
	  .probe_budget_us = PROBE_BUDGET_US_PER_S,
	  .probe_cost_us = PROBE_COST_US },
	{ .name = "idle",
	  .path = "/idle",
	  .upstreams = 8,
	  .slots = 6,
	  .cold_slots = 1,
	  .queue_limit = 200,
	  .probe_budget_us = PROBE_BUDGET_US_PER_S,
	  .probe_cost_us = PROBE_COST_US },
};

static const struct load_service portal = { "portal", "/portal/x", 1, false };

static gint64 read_total_probe_us(struct proof_run *run)
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

/*
 * Injects `fault` 1.5 s after the start of a load of six seconds and compares
 * the cost of the probes with the budget.
 */
static void check_probe_budget(struct proof_run *run,
			       void (*fault)(struct proof_run *run))
{
	static const char *const probe_cost[] = { "--probe-us=6000", NULL };
	struct proof_fleet fleet = {
		.services = services,
		.service_count = SERVICE_COUNT,
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
	gint64 start_us;
	gint64 initial_probe_us;
	double elapsed_s;
	double probe_us;

	if (!proof_start_fleet(run, &fleet))
		return;
	start_us = g_get_monotonic_time();
	initial_probe_us = read_total_probe_us(run);
	proof_start_load(run, &load);
	fleet_run_main_loop_ms(1500);
	if (fault)
		fault(run);
	proof_finish_load(run);
	elapsed_s = (double)(g_get_monotonic_time() - start_us) / AUB_SECOND;
	probe_us = (double)(read_total_probe_us(run) - initial_probe_us);
	proof_add_figure(run, "probe_ms_per_s", probe_us / elapsed_s / 1000);
	proof_add_figure(run, "budget_ms_per_s",
			 SERVICE_COUNT * PROBE_BUDGET_US_PER_S / 1000.0);
	proof_require(run, probe_us > 0, "probes");
	/* Each service may have saved up the cost of one probe beforehand. */
	proof_check(run,
		    probe_us <=
			    SERVICE_COUNT * (PROBE_BUDGET_US_PER_S * elapsed_s +
					     PROBE_COST_US),
		    "probes exceeded their budget");
}

static void no_fault(struct proof_run *run)
{
	check_probe_budget(run, NULL);
}

/* The ownership changes three times. */
static void kill_owners_in_turn(struct proof_run *run)
{
	for (guint i = 0; i < 3; i++) {
		struct fleet_member *owner = proof_find_owner(run, "portal");

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
	check_probe_budget(run, kill_owners_in_turn);
}

/* All upstreams are unavailable for 3 s, so that all probes fail. */
static void stop_all_upstreams(struct proof_run *run)
{
	fleet_upstream_fault(run->fleet, "{\"crash_ms\":3000}");
}

static void upstreams_unavailable(struct proof_run *run)
{
	check_probe_budget(run, stop_all_upstreams);
}

/*
 * The owner is paused and the stand-by takes over; after the owner resumes,
 * both regard themselves as the owner.
 */
static void pause_owner(struct proof_run *run)
{
	struct fleet_member *owner = proof_find_owner(run, "portal");

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGSTOP);
	fleet_run_main_loop_ms(2000);
	fleet_signal(owner, FLEET_BOTH, SIGCONT);
}

static void owner_paused(struct proof_run *run)
{
	check_probe_budget(run, pause_owner);
}

/*
 * Upstreams crash, become cold and slow, and the owner is killed, so that all
 * upstreams are suspected.
 */
static void suspect_all_upstreams(struct proof_run *run)
{
	struct fleet_member *owner = proof_find_owner(run, "portal");

	fleet_single_upstream_fault(run->fleet, 0, "{\"crash_ms\":300}");
	fleet_single_upstream_fault(run->fleet, 1, "{\"cold\":1}");
	fleet_upstream_fault(run->fleet, "{\"slow_factor\":10,"
					 "\"slow_ms\":1000}");
	fleet_run_main_loop_ms(800);
	if (owner)
		fleet_signal(owner, FLEET_BOTH, SIGKILL);
}

static void all_upstreams_suspected(struct proof_run *run)
{
	check_probe_budget(run, suspect_all_upstreams);
}

const struct proof proofs_probe_budget[] = {
	{ "measuring-in-budget", "none", true, no_fault },
	{ "measuring-in-budget", "owners-killed", false, owners_killed },
	{ "measuring-in-budget", "upstreams-gone", false,
	  upstreams_unavailable },
	{ "measuring-in-budget", "owner-frozen-and-back", false, owner_paused },
	{ "measuring-in-budget", "slow-cold-owner-killed", false,
	  all_upstreams_suspected },
	{ 0 }
};

/*
 * Two more promises: probes stay within their budget, and an upstream that
 * leaves gets nothing new.
 */
#include "proofs/common.h"

#include "common/tool.h"

#include <signal.h>

#define LEAVE_LIMIT_MS 3000
#define PROBE_SECONDS 6

static const struct fleet_service probed_service[] = {
	{ .name = "calendar",
	  .path = "/calendar",
	  .upstreams = 12,
	  .probe_cost_us = 6000,
	  .probe_budget_us = 30000 },
};

static const struct load_service probed_load[] = {
	{ "calendar", "/calendar/page", 1, false },
};

/* Time that probes took since the start, over all upstreams. */
static gint64 probe_us(struct proof_run *run)
{
	gint64 sum;

	g_clear_pointer(&run->oracle, json_node_unref);
	run->oracle = fleet_oracle(run->fleet);
	sum = proof_oracle_sum(run, "probe_us");
	g_clear_pointer(&run->oracle, json_node_unref);
	return sum;
}

/* The owner dies and upstreams turn slow and cold: suspicion all around. */
static void probes(struct proof_run *run)
{
	struct proof_fleet fleet = {
		.services = probed_service,
		.service_count = 1,
		.members = 6,
		.zones = 3,
	};
	struct load_options options = {
		.services = probed_load,
		.service_count = 1,
		.rate = 60,
		.seconds = PROBE_SECONDS,
		.try_ms = 1000,
		.repeat = true,
	};
	struct fleet_member *owner;
	gint64 start_us;
	gint64 spent_us;
	double seconds;

	if (!proof_start(run, &fleet))
		return;
	owner = proof_owner(run, "calendar");
	if (!owner)
		return;
	start_us = g_get_monotonic_time();
	spent_us = probe_us(run);
	proof_load(run, &options);
	fleet_run_ms(500);
	fleet_one_upstream_fault(run->fleet, 0, "{\"crash_ms\":300}");
	fleet_one_upstream_fault(run->fleet, 1, "{\"cold\":1}");
	fleet_upstream_fault(run->fleet, "{\"slow_factor\":10,"
					 "\"slow_ms\":1000}");
	fleet_run_ms(800);
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	mixed_end(run);
	spent_us = proof_oracle_sum(run, "probe_us") - spent_us;
	seconds = (g_get_monotonic_time() - start_us) / 1e6;
	proof_figure(run, "probe_us_per_s", spent_us / seconds);
	proof_figure(run, "budget_us_per_s", probed_service[0].probe_budget_us);
	proof_need(run, spent_us > 0, "probes");
	proof_check(run,
		    spent_us <= seconds * probed_service[0].probe_budget_us,
		    "probes went over their budget");
}

/* One upstream is told to leave under load. */
static void upstream_leaves(struct proof_run *run)
{
	gint64 command_us;
	gint64 last_us;
	JsonNode *root;
	guint status = 0;

	if (!mixed_start(run, false, 0))
		return;
	mixed_load(run, MIXED_RATE, 7, true);
	fleet_run_ms(1000);
	command_us = g_get_monotonic_time();
	root = fleet_admin(run->fleet, fleet_member(run->fleet, 2), "POST",
			   "/v1/upstreams/calendar-1/leave",
			   "{\"author\":\"proof\"}", &status, NULL);
	if (root)
		json_node_unref(root);
	proof_need(run, status == 200, "an accepted command");
	mixed_end(run);
	last_us = tool_json_int(
		fleet_oracle_upstream(run->oracle, run->fleet,
				      proof_upstream(run, "calendar-1")),
		"last_new_us", 0);
	proof_figure(run, "last_new_ms", (last_us - command_us) / 1000.0);
	proof_need(run, last_us > 0, "requests before");
	proof_check(run, last_us - command_us < LEAVE_LIMIT_MS * AUB_MS,
		    "new requests 3 s after the command");
}

const struct proof proofs_others[] = {
	{ "probe-budget", "owner-killed-slow-cold", false, probes },
	{ "upstream-leaves", "none", true, upstream_leaves },
	{ 0 }
};

/*
 * A cold upstream gets no more requests than it can serve. The stand-in
 * upstream crashes when it has more requests than its cold slots and counts
 * these crashes; the check is based on that count alone.
 */
#include "proofs/fixtures.h"

#include <signal.h>

#define LOAD_SECONDS 5.0
/*
 * Rates: the warm upstreams can serve 600 requests a second; the stand-by of a
 * service can admit 115.
 */
#define NORMAL_REQUESTS_PER_S 350
#define STANDBY_REQUESTS_PER_S 115

static const struct fleet_service cold_service[] = {
	{ .name = "calendar",
	  .path = "/calendar",
	  .upstreams = 6,
	  .cold_ms = 1500,
	  .deadline_ms = 2000 },
};

static const struct load_service cold_load[] = {
	{ "calendar", "/calendar/page", 1, false },
};

static bool start_cold_load(struct proof_run *run, guint members, double rate)
{
	struct proof_fleet fleet = {
		.services = cold_service,
		.service_count = 1,
		.members = members,
		.zones = 3,
	};
	struct load_options options = {
		.services = cold_load,
		.service_count = 1,
		.rate = rate,
		.seconds = rate < NORMAL_REQUESTS_PER_S ? 2 * LOAD_SECONDS :
							  LOAD_SECONDS,
		.deadline_ms = 4000,
		.attempt_timeout_ms = 1000,
		.callers = 24,
		.retry = true,
	};

	if (!proof_start_fleet(run, &fleet))
		return false;
	proof_start_load(run, &options);
	fleet_run_main_loop_ms(500);
	return true;
}

static void finish_cold_load(struct proof_run *run)
{
	finish_and_check_load(run);
	proof_add_figure(run, "max_cold", proof_oracle_max(run, "max_cold"));
	proof_add_figure(run, "fell_over", proof_oracle_sum(run, "fell_over"));
	proof_check(run, !proof_oracle_sum(run, "fell_over"),
		    "a cold upstream crashed from overload");
	proof_require(run, proof_oracle_max(run, "max_cold") > 0,
		      "requests to a cold upstream");
}

/* Two upstreams restart cold in the middle of the load. */
static void upstreams_restart(struct proof_run *run)
{
	if (!start_cold_load(run, 6, NORMAL_REQUESTS_PER_S))
		return;
	fleet_single_upstream_fault(run->fleet, 0, "{\"crash_ms\":200}");
	fleet_single_upstream_fault(run->fleet, 1, "{\"crash_ms\":400}");
	finish_cold_load(run);
}

/* An upstream becomes cold without a restart; only its answers show it. */
static void upstreams_become_cold(struct proof_run *run)
{
	if (!start_cold_load(run, 6, NORMAL_REQUESTS_PER_S))
		return;
	fleet_single_upstream_fault(run->fleet, 0, "{\"cold\":1}");
	fleet_run_main_loop_ms(700);
	fleet_single_upstream_fault(run->fleet, 3, "{\"cold\":1}");
	finish_cold_load(run);
}

/* 17 entries are used concurrently; the owner is killed during the warm-up. */
static void owner_killed(struct proof_run *run)
{
	struct fleet_member *owner;

	if (!start_cold_load(run, 17, STANDBY_REQUESTS_PER_S))
		return;
	owner = proof_find_owner(run, "calendar");
	if (!owner)
		return;
	fleet_single_upstream_fault(run->fleet, 0, "{\"crash_ms\":200}");
	fleet_single_upstream_fault(run->fleet, 1, "{\"crash_ms\":200}");
	fleet_run_main_loop_ms(500);
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	finish_cold_load(run);
}

/*
 * The owner is paused during the warm-up while the store is down, and resumes.
 */
static void owner_paused(struct proof_run *run)
{
	struct fleet_member *owner;

	if (!start_cold_load(run, 6, STANDBY_REQUESTS_PER_S))
		return;
	owner = proof_find_owner(run, "calendar");
	if (!owner)
		return;
	fleet_store_fault(run->fleet, "{\"down\":\"hang\"}");
	fleet_single_upstream_fault(run->fleet, 0, "{\"crash_ms\":200}");
	fleet_run_main_loop_ms(400);
	fleet_signal(owner, FLEET_BOTH, SIGSTOP);
	fleet_run_main_loop_ms(3000);
	fleet_single_upstream_fault(run->fleet, 1, "{\"crash_ms\":100}");
	fleet_run_main_loop_ms(200);
	fleet_signal(owner, FLEET_BOTH, SIGCONT);
	finish_cold_load(run);
}

const struct proof proofs_cold_start[] = {
	{ "cold-upstream", "restarts-under-load", true, upstreams_restart },
	{ "cold-upstream", "turns-cold-without-warning", false,
	  upstreams_become_cold },
	{ "cold-upstream", "owner-killed-17-entries", false, owner_killed },
	{ "cold-upstream", "owner-frozen-store-down", false, owner_paused },
	{ 0 }
};

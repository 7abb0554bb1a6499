/*
 * Planned stops interrupt no request in flight and lose no idempotency key,
 * also when all members are replaced one after another.
 */
#include "proofs/fixtures.h"

#include <signal.h>

#define STOP_TIMEOUT_MS 12000

static void finish_and_check_stops(struct proof_run *run, guint clean_stops,
				   guint stops)
{
	finish_and_check_load(run);
	proof_add_figure(run, "stopped_in_order", clean_stops);
	proof_check(run, clean_stops == stops,
		    "a stop took too long or failed");
	proof_check(run, !run->totals.outcomes[LOAD_ERROR],
		    "a request got no answer");
	proof_check(run, !run->totals.outcomes[LOAD_UNKNOWN],
		    "a request got an \"unknown\" result");
}

/* Every member in turn is stopped and started again under load. */
static void rolling_replacement(struct proof_run *run)
{
	struct fleet_member *member;
	GError *error = NULL;
	guint clean_stops = 0;
	guint i;

	if (!start_mixed_fleet(run, false, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, 25, true);
	fleet_run_main_loop_ms(500);
	for (i = 0; i < run->fleet->members->len; i++) {
		member = fleet_member(run->fleet, i);
		clean_stops += fleet_stop(member, FLEET_BOTH, STOP_TIMEOUT_MS);
		if (!fleet_start_member(run->fleet, member, &error) ||
		    !fleet_wait_ready(run->fleet, STOP_TIMEOUT_MS, &error)) {
			proof_check(run, false, error->message);
			g_error_free(error);
			return;
		}
	}
	load_stop_arrivals(run->load);
	finish_and_check_stops(run, clean_stops, run->fleet->members->len);
}

/* Only the owner is stopped, while it has slow requests in flight. */
static void owner_stops(struct proof_run *run)
{
	struct fleet_member *owner;
	bool clean_stops;

	if (!start_mixed_fleet(run, false, 60000))
		return;
	owner = proof_find_owner(run, "calendar");
	if (!owner)
		return;
	start_mixed_load(run, 60, 4, true);
	fleet_run_main_loop_ms(1000);
	clean_stops = fleet_stop(owner, FLEET_BOTH, STOP_TIMEOUT_MS);
	finish_and_check_stops(run, clean_stops, 1);
}

const struct proof proofs_graceful_shutdown[] = {
	{ "graceful-shutdown", "owner-stops", true, owner_stops },
	{ "graceful-shutdown", "rolling-replacement", false,
	  rolling_replacement },
	{ 0 }
};

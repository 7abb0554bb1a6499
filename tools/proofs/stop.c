/*
 * Planned stops cut off no request in flight and forget no key, one member
 * after another until the whole fleet was replaced.
 */
#include "proofs/common.h"

#include <signal.h>

#define STOP_MS 12000

static void end_stops(struct proof_run *run, guint in_order, guint stops)
{
	mixed_end(run);
	proof_figure(run, "stopped_in_order", in_order);
	proof_check(run, in_order == stops, "a stop took too long or failed");
	proof_check(run, !run->outcome.outcomes[LOAD_ERROR], "cut off");
	proof_check(run, !run->outcome.outcomes[LOAD_UNKNOWN], "left unknown");
}

/* Every member in turn is stopped and started again under load. */
static void rolling(struct proof_run *run)
{
	struct fleet_member *member;
	GError *error = NULL;
	guint in_order = 0;
	guint i;

	if (!mixed_start(run, false, 0))
		return;
	mixed_load(run, MIXED_RATE, 25, true);
	fleet_run_main_loop_ms(500);
	for (i = 0; i < run->fleet->members->len; i++) {
		member = fleet_member(run->fleet, i);
		in_order += fleet_stop(member, FLEET_BOTH, STOP_MS);
		if (!fleet_start_member(run->fleet, member, &error) ||
		    !fleet_wait_ready(run->fleet, STOP_MS, &error)) {
			proof_check(run, false, error->message);
			g_error_free(error);
			return;
		}
	}
	load_stop_arrivals(run->load);
	end_stops(run, in_order, run->fleet->members->len);
}

/* The owner alone is stopped, with slow requests inside. */
static void owner_stops(struct proof_run *run)
{
	struct fleet_member *owner;
	bool in_order;

	if (!mixed_start(run, false, 60000))
		return;
	owner = proof_owner(run, "calendar");
	if (!owner)
		return;
	mixed_load(run, 60, 4, true);
	fleet_run_main_loop_ms(1000);
	in_order = fleet_stop(owner, FLEET_BOTH, STOP_MS);
	end_stops(run, in_order, 1);
}

const struct proof proofs_stop[] = {
	{ "graceful-shutdown", "owner-stops", true, owner_stops },
	{ "graceful-shutdown", "rolling-replacement", false, rolling },
	{ 0 }
};

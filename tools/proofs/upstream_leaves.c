/*
 * An upstream, or its VM, is removed from service and gets no new requests
 * later than 3 s after the command. The check is based on the time of the last
 * new request that the stand-in upstream received.
 */
#include "common/tool.h"
#include "proofs/fixtures.h"

#define LEAVE_LIMIT_MS 3000 /* from the command to the last new request */
#define LEAVING_UPSTREAM "calendar-1"

/*
 * Runs `auburnstilectl KIND leave NAME` under load and checks the time of the
 * last new request.
 */
static void run_leave_command(struct proof_run *run, const char *kind,
			      const char *name)
{
	const char *arguments[] = { kind, "leave", name, NULL };
	guint16 upstream = find_upstream(run, LEAVING_UPSTREAM);
	gint64 command_us;
	gint64 last_request_us;
	GError *error = NULL;
	int status = -1;

	start_mixed_load(run, MIXED_REQUESTS_PER_S, 7, true);
	fleet_run_main_loop_ms(1500);
	command_us = g_get_monotonic_time();
	g_free(fleet_ctl(run->fleet, fleet_member(run->fleet, 0), arguments,
			 &status, &error));
	g_clear_error(&error);
	finish_and_check_load(run);
	last_request_us =
		tool_json_int(fleet_oracle_upstream(run->oracle, run->fleet,
						    upstream),
			      "last_new_us", 0);
	proof_add_figure(run, "last_new_ms",
			 (last_request_us - command_us) / 1000.0);
	proof_require(run, last_request_us > 0,
		      "requests to the upstream under load");
	/* Status 4: accepted, but not yet active everywhere. */
	proof_check(run, status == 0 || status == 4, "the command failed");
	proof_check(run, last_request_us - command_us < LEAVE_LIMIT_MS * AUB_MS,
		    "the upstream got new requests later than 3 s");
}

static void upstream_leaves(struct proof_run *run)
{
	if (start_mixed_fleet(run, false, 0))
		run_leave_command(run, "upstream", LEAVING_UPSTREAM);
}

static void vm_leaves(struct proof_run *run)
{
	const struct aub_inventory *inventory;
	guint16 upstream;

	if (!start_mixed_fleet(run, false, 0))
		return;
	inventory = run->fleet->inventory;
	upstream = find_upstream(run, LEAVING_UPSTREAM);
	run_leave_command(run, "vm",
			  aub_vm_at(inventory,
				    aub_upstream_at(inventory, upstream)->vm)
				  ->name);
}

/* The store delays each call by 400 ms, from before the load until its end. */
static void store_slow(struct proof_run *run)
{
	if (!start_mixed_fleet(run, false, 0))
		return;
	fleet_store_fault(run->fleet, "{\"delay_ms\":400}");
	run_leave_command(run, "upstream", LEAVING_UPSTREAM);
}

/*
 * The upstream itself reports that it is draining, without a change of the
 * inventory. Its own report has to be sufficient.
 */
static void upstream_reports_draining(struct proof_run *run)
{
	guint16 upstream;
	gint64 draining_us;
	gint64 last_request_us;

	if (!start_mixed_fleet(run, false, 0))
		return;
	upstream = find_upstream(run, LEAVING_UPSTREAM);
	start_mixed_load(run, MIXED_REQUESTS_PER_S, 7, true);
	fleet_run_main_loop_ms(1500);
	draining_us = g_get_monotonic_time();
	fleet_single_upstream_fault(run->fleet, upstream, "{\"draining\":1}");
	finish_and_check_load(run);
	last_request_us =
		tool_json_int(fleet_oracle_upstream(run->oracle, run->fleet,
						    upstream),
			      "last_new_us", 0);
	proof_add_figure(run, "last_new_ms",
			 (last_request_us - draining_us) / 1000.0);
	proof_require(run, last_request_us > 0,
		      "requests to the upstream under load");
	proof_check(run,
		    last_request_us - draining_us < LEAVE_LIMIT_MS * AUB_MS,
		    "the upstream got new requests later than 3 s");
}

const struct proof proofs_upstream_leaves[] = {
	{ "upstream-leaves", "none", true, upstream_leaves },
	{ "upstream-leaves", "its-vm-leaves", false, vm_leaves },
	{ "upstream-leaves", "store-slow", false, store_slow },
	{ "upstream-leaves", "only-its-own-word", false,
	  upstream_reports_draining },
	{ 0 }
};

/*
 * An upstream, or its VM, leaves: no new requests after 3 s, judged by the
 * time of the last new request its stand-in saw.
 */
#include "common/tool.h"
#include "proofs/common.h"

#define LEAVE_MS 3000 /* the promise */
#define LEAVING "calendar-1"

/* Has the command run and waits; checks what came later than it may. */
static void leave_run(struct proof_run *run, const char *what, const char *name)
{
	const char *arguments[] = { what, "leave", name, NULL };
	guint16 upstream = proof_upstream(run, LEAVING);
	gint64 commanded_us;
	gint64 last_us;
	GError *error = NULL;
	int status = -1;

	mixed_load(run, MIXED_RATE, 7, true);
	fleet_run_main_loop_ms(1500);
	commanded_us = g_get_monotonic_time();
	g_free(fleet_ctl(run->fleet, fleet_member(run->fleet, 0), arguments,
			 &status, &error));
	g_clear_error(&error);
	mixed_end(run);
	last_us = tool_json_int(fleet_oracle_upstream(run->oracle, run->fleet,
						      upstream),
				"last_new_us", 0);
	proof_figure(run, "last_new_ms", (last_us - commanded_us) / 1000.0);
	proof_need(run, last_us > 0, "requests to it before");
	proof_check(run, status == 0 || status == 4, "the command failed");
	proof_check(run, last_us - commanded_us < LEAVE_MS * AUB_MS,
		    "it got new requests after 3 s");
}

static void upstream_leaves(struct proof_run *run)
{
	if (mixed_start(run, false, 0))
		leave_run(run, "upstream", LEAVING);
}

static void vm_leaves(struct proof_run *run)
{
	const struct aub_inventory *inventory;
	guint16 upstream;

	if (!mixed_start(run, false, 0))
		return;
	inventory = run->fleet->inventory;
	upstream = proof_upstream(run, LEAVING);
	leave_run(run, "vm",
		  aub_vm_at(inventory, aub_upstream_at(inventory, upstream)->vm)
			  ->name);
}

/* The store takes a second for each call from the command on. */
static void store_slow(struct proof_run *run)
{
	if (!mixed_start(run, false, 0))
		return;
	fleet_store_fault(run->fleet, "{\"delay_ms\":400}");
	leave_run(run, "upstream", LEAVING);
}

/*
 * The upstream itself says that it drains, and nobody told the operators'
 * inventory: its own word counts.
 */
static void says_draining(struct proof_run *run)
{
	guint16 upstream;
	gint64 told_us;
	gint64 last_us;

	if (!mixed_start(run, false, 0))
		return;
	upstream = proof_upstream(run, LEAVING);
	mixed_load(run, MIXED_RATE, 7, true);
	fleet_run_main_loop_ms(1500);
	told_us = g_get_monotonic_time();
	fleet_single_upstream_fault(run->fleet, upstream, "{\"draining\":1}");
	mixed_end(run);
	last_us = tool_json_int(fleet_oracle_upstream(run->oracle, run->fleet,
						      upstream),
				"last_new_us", 0);
	proof_figure(run, "last_new_ms", (last_us - told_us) / 1000.0);
	proof_need(run, last_us > 0, "requests to it before");
	proof_check(run, last_us - told_us < LEAVE_MS * AUB_MS,
		    "it got new requests after 3 s");
}

const struct proof proofs_leave[] = {
	{ "upstream-leaves", "none", true, upstream_leaves },
	{ "upstream-leaves", "its-vm-leaves", false, vm_leaves },
	{ "upstream-leaves", "store-slow", false, store_slow },
	{ "upstream-leaves", "only-its-own-word", false, says_draining },
	{ 0 }
};

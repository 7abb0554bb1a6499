/*
 * "Not run" is true: for each way to be refused, cut or timed out, what
 * callers were told is compared with what the upstreams ran. Callers don't
 * repeat here, so that each thing told is final.
 */
#include "proofs/common.h"

#include <signal.h>

#define MS_LOAD 2.5 /* seconds of load */

/* Far more arrives than can be served: full queues, missed deadlines. */
static void overload(struct proof_run *run)
{
	if (!mixed_start(run, false, 80000))
		return;
	mixed_load(run, 600, MS_LOAD, false);
	mixed_end(run);
	proof_need(run, run->outcome.outcomes[LOAD_NOT_RUN] > 50, "refusals");
}

/* Upstreams refuse, fail, crash and spoil answers; some never answer. */
static void spoiled(struct proof_run *run)
{
	if (!mixed_start(run, false, 0))
		return;
	mixed_load(run, MIXED_RATE, MS_LOAD, false);
	fleet_run_main_loop_ms(300);
	fleet_upstream_fault(run->fleet,
			     "{\"shed\":3,\"fail_fast\":1,\"truncate\":2,"
			     "\"wrong_length\":2,\"reset_middle\":2,"
			     "\"never\":2,\"crash_after\":1}");
	mixed_end(run);
	proof_need(run, proof_oracle_sum(run, "refused") > 20, "refusals");
	proof_need(run, proof_oracle_sum(run, "crashes") > 5, "crashes");
}

/* Every upstream refuses connections, then comes back. */
static void refused_connections(struct proof_run *run)
{
	if (!mixed_start(run, true, 0))
		return;
	mixed_load(run, MIXED_RATE, MS_LOAD, false);
	fleet_run_main_loop_ms(400);
	fleet_proxy_fault(run->fleet, "{\"refuse\":1,\"reset\":1}");
	fleet_run_main_loop_ms(700);
	fleet_proxy_fault(run->fleet, "{\"refuse\":0}");
	mixed_end(run);
	proof_need(run, run->outcome.outcomes[LOAD_NOT_RUN] > 20, "refusals");
}

/* The owner of both services dies, then another entry stops in order. */
static void entries_end(struct proof_run *run)
{
	struct fleet_member *owner;

	if (!mixed_start(run, false, 0))
		return;
	owner = proof_owner(run, "fees");
	if (!owner)
		return;
	mixed_load(run, MIXED_RATE, MS_LOAD, false);
	fleet_run_main_loop_ms(400);
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	fleet_run_main_loop_ms(600);
	owner = fleet_member(run->fleet,
			     owner == fleet_member(run->fleet, 0) ? 1 : 0);
	fleet_signal(owner, FLEET_BOTH, SIGTERM);
	mixed_end(run);
}

/* Answers come after the callers' deadlines. */
static void late(struct proof_run *run)
{
	if (!mixed_start(run, false, 0))
		return;
	mixed_load(run, MIXED_RATE, MS_LOAD, false);
	fleet_run_main_loop_ms(300);
	fleet_upstream_fault(run->fleet, "{\"slow_factor\":200,"
					 "\"slow_ms\":400}");
	mixed_end(run);
	proof_need(run,
		   run->outcome.outcomes[LOAD_UNKNOWN] + run->outcome.outcomes[LOAD_NOT_RUN] >
			   20,
		   "missed deadlines");
}

static const char *through(const char *address, void *context)
{
	const struct fleet_member *member = context;

	return member->callers;
}

/* Callers use an entry that owns nothing, so that all is relayed. */
static struct fleet_member *start_relayed(struct proof_run *run)
{
	struct load_options options = {
		.services = mixed_services,
		.service_count = G_N_ELEMENTS(mixed_services),
		.rate = MIXED_RATE,
		.seconds = 2 * MS_LOAD,
		.deadline_ms = 1500,
		.body_bytes = 300,
		.connect_address = through,
	};
	struct fleet_member *owner;
	guint i;

	if (!mixed_start(run, false, 0))
		return NULL;
	owner = proof_owner(run, "calendar");
	for (i = 0; owner && !options.connect_context; i++)
		if (fleet_member(run->fleet, i) != owner &&
		    fleet_member(run->fleet, i) !=
			    fleet_owner(run->fleet, "fees"))
			options.connect_context = fleet_member(run->fleet, i);
	if (!owner)
		return NULL;
	proof_load(run, &options);
	fleet_run_main_loop_ms(600);
	return owner;
}

/* Both owners die under requests that another entry relayed to them. */
static void relayed_owner_killed(struct proof_run *run)
{
	struct fleet_member *owner = start_relayed(run);
	struct fleet_member *keeper;

	if (!owner)
		return;
	keeper = fleet_owner(run->fleet, "fees");
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	if (keeper)
		fleet_signal(keeper, FLEET_BOTH, SIGKILL);
	mixed_end(run);
}

/* It freezes: the links between entries stay open and silent. It wakes. */
static void relayed_owner_frozen(struct proof_run *run)
{
	struct fleet_member *owner = start_relayed(run);

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGSTOP);
	fleet_run_main_loop_ms(2500);
	fleet_signal(owner, FLEET_BOTH, SIGCONT);
	mixed_end(run);
	proof_need(run, run->outcome.outcomes[LOAD_UNKNOWN] > 0, "lost relays");
}

const struct proof proofs_not_run[] = {
	{ "not-run-is-true", "overload", true, overload },
	{ "not-run-is-true", "spoiled-answers", false, spoiled },
	{ "not-run-is-true", "refused-connections", false,
	  refused_connections },
	{ "not-run-is-true", "entries-end", false, entries_end },
	{ "not-run-is-true", "late-answers", false, late },
	{ "not-run-is-true", "relayed-owner-killed", false,
	  relayed_owner_killed },
	{ "not-run-is-true", "relayed-owner-frozen", false,
	  relayed_owner_frozen },
	{ 0 }
};

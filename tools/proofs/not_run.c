/*
 * "Not run" is true: for each way to be refused, cut or timed out, what
 * callers were told is compared with what the upstreams ran. Callers don't
 * repeat here, so that each thing told is final.
 */
#include "proofs/fixtures.h"

#include <signal.h>

#define LOAD_SECONDS 2.5 /* seconds of load */

/* Far more arrives than can be served: full queues, missed deadlines. */
static void overload(struct proof_run *run)
{
	if (!start_mixed_fleet(run, false, 80000))
		return;
	start_mixed_load(run, 600, LOAD_SECONDS, false);
	finish_and_check_load(run);
	proof_require(run, run->totals.told[LOAD_NOT_RUN] > 50, "refusals");
}

/* Upstreams refuse, fail, crash and spoil answers; some never answer. */
static void answers_corrupted(struct proof_run *run)
{
	if (!start_mixed_fleet(run, false, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, LOAD_SECONDS, false);
	fleet_run_ms(300);
	fleet_upstream_fault(run->fleet,
			     "{\"shed\":3,\"fail_fast\":1,\"truncate\":2,"
			     "\"wrong_length\":2,\"reset_middle\":2,"
			     "\"never\":2,\"crash_after\":1}");
	finish_and_check_load(run);
	proof_require(run, proof_oracle_sum(run, "refused") > 20, "refusals");
	proof_require(run, proof_oracle_sum(run, "crashes") > 5, "crashes");
}

/* Every upstream refuses connections, then comes back. */
static void connections_refused(struct proof_run *run)
{
	if (!start_mixed_fleet(run, true, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, LOAD_SECONDS, false);
	fleet_run_ms(400);
	fleet_proxy_fault(run->fleet, "{\"refuse\":1,\"reset\":1}");
	fleet_run_ms(700);
	fleet_proxy_fault(run->fleet, "{\"refuse\":0}");
	finish_and_check_load(run);
	proof_require(run, run->totals.told[LOAD_NOT_RUN] > 20, "refusals");
}

/* The owner of both services dies, then another entry stops in order. */
static void entries_stop(struct proof_run *run)
{
	struct fleet_member *owner;

	if (!start_mixed_fleet(run, false, 0))
		return;
	owner = proof_find_owner(run, "fees");
	if (!owner)
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, LOAD_SECONDS, false);
	fleet_run_ms(400);
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	fleet_run_ms(600);
	owner = fleet_member(run->fleet,
			     owner == fleet_member(run->fleet, 0) ? 1 : 0);
	fleet_signal(owner, FLEET_BOTH, SIGTERM);
	finish_and_check_load(run);
}

/* Answers come after the callers' deadlines. */
static void answers_late(struct proof_run *run)
{
	if (!start_mixed_fleet(run, false, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, LOAD_SECONDS, false);
	fleet_run_ms(300);
	fleet_upstream_fault(run->fleet, "{\"slow_factor\":200,"
					 "\"slow_ms\":400}");
	finish_and_check_load(run);
	proof_require(run,
		      run->totals.told[LOAD_UNKNOWN] +
				      run->totals.told[LOAD_NOT_RUN] >
			      20,
		      "missed deadlines");
}

static const char *fixed_entry(const char *address, void *context)
{
	const struct fleet_member *member = context;

	return member->callers;
}

/* Callers use an entry that owns nothing, so that all is relayed. */
static struct fleet_member *start_relayed_load(struct proof_run *run)
{
	struct load_options options = {
		.services = mixed_services,
		.service_count = G_N_ELEMENTS(mixed_services),
		.rate = MIXED_REQUESTS_PER_S,
		.seconds = 2 * LOAD_SECONDS,
		.deadline_ms = 1500,
		.body_bytes = 300,
		.via = fixed_entry,
	};
	struct fleet_member *owner;
	guint i;

	if (!start_mixed_fleet(run, false, 0))
		return NULL;
	owner = proof_find_owner(run, "calendar");
	for (i = 0; owner && !options.via_context; i++)
		if (fleet_member(run->fleet, i) != owner &&
		    fleet_member(run->fleet, i) !=
			    fleet_owner(run->fleet, "fees"))
			options.via_context = fleet_member(run->fleet, i);
	if (!owner)
		return NULL;
	proof_start_load(run, &options);
	fleet_run_ms(600);
	return owner;
}

/* Both owners die under requests that another entry relayed to them. */
static void relayed_owner_killed(struct proof_run *run)
{
	struct fleet_member *owner = start_relayed_load(run);
	struct fleet_member *fees_owner;

	if (!owner)
		return;
	fees_owner = fleet_owner(run->fleet, "fees");
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	if (fees_owner)
		fleet_signal(fees_owner, FLEET_BOTH, SIGKILL);
	finish_and_check_load(run);
}

/* It freezes: the links between entries stay open and silent. It wakes. */
static void relayed_owner_paused(struct proof_run *run)
{
	struct fleet_member *owner = start_relayed_load(run);

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGSTOP);
	fleet_run_ms(2500);
	fleet_signal(owner, FLEET_BOTH, SIGCONT);
	finish_and_check_load(run);
	proof_require(run, run->totals.told[LOAD_UNKNOWN] > 0, "lost relays");
}

const struct proof proofs_not_run[] = {
	{ "not-run-is-true", "overload", true, overload },
	{ "not-run-is-true", "spoiled-answers", false, answers_corrupted },
	{ "not-run-is-true", "refused-connections", false,
	  connections_refused },
	{ "not-run-is-true", "entries-end", false, entries_stop },
	{ "not-run-is-true", "late-answers", false, answers_late },
	{ "not-run-is-true", "relayed-owner-killed", false,
	  relayed_owner_killed },
	{ "not-run-is-true", "relayed-owner-frozen", false,
	  relayed_owner_paused },
	{ 0 }
};

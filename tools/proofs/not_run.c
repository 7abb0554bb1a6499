/*
 * A "not run" result is true. For each way in which a request can be refused,
 * interrupted or timed out, the results that callers got are compared with the
 * executions at the upstreams. Callers do not retry here, so that each result
 * is final.
 */
#include "proofs/fixtures.h"

#include <signal.h>

#define LOAD_SECONDS 2.5

/* The load exceeds the capacity: queues are full and deadlines are missed. */
static void overload(struct proof_run *run)
{
	if (!start_mixed_fleet(run, false, 80000))
		return;
	start_mixed_load(run, 600, LOAD_SECONDS, false);
	finish_and_check_load(run);
	proof_require(run, run->totals.outcomes[LOAD_NOT_RUN] > 50, "refusals");
}

/*
 * Upstreams refuse requests, fail, crash and corrupt answers; some never
 * answer.
 */
static void answers_corrupted(struct proof_run *run)
{
	if (!start_mixed_fleet(run, false, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, LOAD_SECONDS, false);
	fleet_run_main_loop_ms(300);
	fleet_upstream_fault(run->fleet,
			     "{\"shed\":3,\"fail_fast\":1,\"truncate\":2,"
			     "\"wrong_length\":2,\"reset_middle\":2,"
			     "\"never\":2,\"crash_after\":1}");
	finish_and_check_load(run);
	proof_require(run, proof_oracle_sum(run, "refused") > 20, "refusals");
	proof_require(run, proof_oracle_sum(run, "crashes") > 5, "crashes");
}

/* Every upstream refuses connections for a while. */
static void connections_refused(struct proof_run *run)
{
	if (!start_mixed_fleet(run, true, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, LOAD_SECONDS, false);
	fleet_run_main_loop_ms(400);
	fleet_proxy_fault(run->fleet, "{\"refuse\":1,\"reset\":1}");
	fleet_run_main_loop_ms(700);
	fleet_proxy_fault(run->fleet, "{\"refuse\":0}");
	finish_and_check_load(run);
	proof_require(run, run->totals.outcomes[LOAD_NOT_RUN] > 20, "refusals");
}

/*
 * The owner of the service "fees" is killed, then another entry is stopped in
 * an orderly way.
 */
static void entries_stop(struct proof_run *run)
{
	struct fleet_member *owner;

	if (!start_mixed_fleet(run, false, 0))
		return;
	owner = proof_find_owner(run, "fees");
	if (!owner)
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, LOAD_SECONDS, false);
	fleet_run_main_loop_ms(400);
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	fleet_run_main_loop_ms(600);
	owner = fleet_member(run->fleet,
			     owner == fleet_member(run->fleet, 0) ? 1 : 0);
	fleet_signal(owner, FLEET_BOTH, SIGTERM);
	finish_and_check_load(run);
}

/* Answers arrive after the deadlines of the callers. */
static void answers_late(struct proof_run *run)
{
	if (!start_mixed_fleet(run, false, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, LOAD_SECONDS, false);
	fleet_run_main_loop_ms(300);
	fleet_upstream_fault(run->fleet, "{\"slow_factor\":200,"
					 "\"slow_ms\":400}");
	finish_and_check_load(run);
	proof_require(run,
		      run->totals.outcomes[LOAD_UNKNOWN] +
				      run->totals.outcomes[LOAD_NOT_RUN] >
			      20,
		      "missed deadlines");
}

static const char *fixed_entry(const char *address, void *context)
{
	const struct fleet_member *member = context;

	return member->callers;
}

/*
 * Callers use an entry that owns neither service, so that all requests are
 * relayed. Returns the owner of "calendar", or NULL.
 */
static struct fleet_member *start_relayed_load(struct proof_run *run)
{
	struct load_options options = {
		.services = mixed_services,
		.service_count = G_N_ELEMENTS(mixed_services),
		.rate = MIXED_REQUESTS_PER_S,
		.seconds = 2 * LOAD_SECONDS,
		.deadline_ms = 1500,
		.body_bytes = 300,
		.connect_address = fixed_entry,
	};
	struct fleet_member *owner;
	guint i;

	if (!start_mixed_fleet(run, false, 0))
		return NULL;
	owner = proof_find_owner(run, "calendar");
	for (i = 0; owner && !options.connect_context; i++)
		if (fleet_member(run->fleet, i) != owner &&
		    fleet_member(run->fleet, i) !=
			    fleet_owner(run->fleet, "fees"))
			options.connect_context = fleet_member(run->fleet, i);
	if (!owner)
		return NULL;
	proof_start_load(run, &options);
	fleet_run_main_loop_ms(600);
	return owner;
}

/*
 * Both owners are killed while they have requests that another entry relayed to
 * them.
 */
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

/*
 * The owner is paused, so that the connections between entries stay open but
 * unresponsive, and resumes.
 */
static void relayed_owner_paused(struct proof_run *run)
{
	struct fleet_member *owner = start_relayed_load(run);

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGSTOP);
	fleet_run_main_loop_ms(2500);
	fleet_signal(owner, FLEET_BOTH, SIGCONT);
	finish_and_check_load(run);
	proof_require(run, run->totals.outcomes[LOAD_UNKNOWN] > 0,
		      "relayed requests with an unknown result");
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

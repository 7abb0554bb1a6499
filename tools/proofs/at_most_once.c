/*
 * At-most-once execution. Callers retry a request with an idempotency key
 * through the same entry and others until they receive a definite result. The
 * check counts the executions that the upstreams started; a cancelled execution
 * counts as well, because it may have had an effect.
 */
#include "proofs/fixtures.h"

#include <signal.h>

#define KEYED_REQUESTS_PER_S 150
#define KEYED_SECONDS 3.0
#define FAILOVER_LIMIT_US (15 * AUB_SECOND)

/*
 * Adds the share of requests without a definite result ("unknown" or no
 * answer), in per cent, and checks that each retry was answered.
 */
static void finish_and_check_keyed(struct proof_run *run)
{
	guint undecided;

	finish_and_check_load(run);
	undecided = run->totals.outcomes[LOAD_UNKNOWN] +
		    run->totals.outcomes[LOAD_ERROR];
	proof_add_figure(run, "undecided_percent",
			 run->totals.requests ?
				 100.0 * undecided / run->totals.requests :
				 0);
	proof_add_figure(run, "repeats", run->totals.retries);
	proof_check(run, !run->totals.outcomes[LOAD_ERROR],
		    "a retry got no definite answer");
}

static struct fleet_member *start_keyed_run(struct proof_run *run, bool proxies)
{
	struct fleet_member *owner;

	if (!start_mixed_fleet(run, proxies, 0))
		return NULL;
	owner = proof_find_owner(run, "fees");
	if (!owner)
		return NULL;
	start_keyed_load(run, KEYED_REQUESTS_PER_S, KEYED_SECONDS);
	fleet_run_main_loop_ms(500);
	return owner;
}

/*
 * An upstream executes a payment and crashes before it answers. The caller
 * retries; another upstream must not execute the payment again.
 */
static void upstream_crashes(struct proof_run *run)
{
	if (!start_keyed_run(run, false))
		return;
	fleet_upstream_fault(run->fleet, "{\"crash_after\":2}");
	finish_and_check_keyed(run);
	proof_require(run, proof_oracle_sum(run, "crashes") >= 4, "crashes");
	proof_require(run, run->totals.retries > 0, "repeats");
}

/* Answers from the upstream are lost: truncated, corrupted or never sent. */
static void answers_lost(struct proof_run *run)
{
	if (!start_keyed_run(run, true))
		return;
	fleet_upstream_fault(run->fleet, "{\"reset_middle\":3,\"truncate\":3,"
					 "\"wrong_length\":3,\"never\":1}");
	fleet_run_main_loop_ms(500);
	fleet_proxy_fault(run->fleet, "{\"reset\":1}");
	finish_and_check_keyed(run);
	proof_require(run, run->totals.retries > 0, "repeats");
}

/* Waits until the controls report a different owner of the service. */
static void wait_for_failover(struct proof_run *run,
			      struct fleet_member *old_owner)
{
	gint64 start_us = g_get_monotonic_time();
	struct fleet_member *owner = old_owner;

	while (owner == old_owner || !owner) {
		if (g_get_monotonic_time() - start_us > FAILOVER_LIMIT_US)
			break;
		fleet_run_main_loop_ms(20);
		owner = fleet_owner(run->fleet, "fees");
	}
	proof_add_figure(run, "failover_ms",
			 (g_get_monotonic_time() - start_us) / 1000.0);
	proof_check(run, owner && owner != old_owner, "no new owner");
}

/*
 * The entry that owns the idempotency keys is killed; callers retry through the
 * other entries.
 */
static void key_owner_killed(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed_run(run, false);

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	wait_for_failover(run, owner);
	finish_and_check_keyed(run);
	proof_require(run, run->totals.retries > 0, "repeats");
}

/*
 * The key owner is killed and restarts immediately at the same address, without
 * the keys that it had in memory.
 */
static void key_owner_restarted(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed_run(run, false);
	GError *error = NULL;

	if (!owner)
		return;
	fleet_signal(owner, FLEET_ENTRY, SIGKILL);
	if (!fleet_start_member(run->fleet, owner, &error))
		g_error("restart: %s", error->message);
	finish_and_check_keyed(run);
	proof_require(run, run->totals.retries > 0, "repeats");
}

/*
 * The key owner is paused for longer than any lease, so that the other entries
 * consider it dead. After it resumes it still regards itself as the owner, so
 * retries may reach both.
 */
static void key_owner_paused(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed_run(run, false);

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGSTOP);
	fleet_run_main_loop_ms(6000);
	fleet_signal(owner, FLEET_BOTH, SIGCONT);
	finish_and_check_keyed(run);
	proof_require(run, run->totals.retries > 0, "repeats");
}

/*
 * A planned stop hands the keys over, so no retry may end without a definite
 * result.
 */
static void key_owner_stops(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed_run(run, false);

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGTERM);
	finish_and_check_keyed(run);
	proof_check(run, !run->totals.outcomes[LOAD_UNKNOWN],
		    "a planned stop left requests with an \"unknown\" result");
}

/* The store is down when the key owner is killed. */
static void store_down_and_key_owner_killed(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed_run(run, false);

	if (!owner)
		return;
	fleet_store_fault(run->fleet, "{\"down\":\"hang\"}");
	fleet_run_main_loop_ms(500);
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	finish_and_check_keyed(run);
	proof_require(run, run->totals.retries > 0, "repeats");
}

const struct proof proofs_at_most_once[] = {
	{ "at-most-once", "upstream-dies-before-answering", true,
	  upstream_crashes },
	{ "at-most-once", "answers-lost", false, answers_lost },
	{ "at-most-once", "keeper-killed", true, key_owner_killed },
	{ "at-most-once", "keeper-restarted-same-address", false,
	  key_owner_restarted },
	{ "at-most-once", "keeper-frozen-and-back", false, key_owner_paused },
	{ "at-most-once", "keeper-stops", false, key_owner_stops },
	{ "at-most-once", "store-down-and-keeper-killed", false,
	  store_down_and_key_owner_killed },
	{ 0 }
};

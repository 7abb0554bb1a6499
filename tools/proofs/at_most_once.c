/*
 * At most once: callers repeat a keyed request through the same entry and
 * others until they are told something definite. What the upstreams started
 * is counted; a cancelled run counts too, for it may have had its effect.
 */
#include "proofs/fixtures.h"

#include <signal.h>

#define KEYED_REQUESTS_PER_S 150
#define KEYED_SECONDS 3.0
#define FAILOVER_LIMIT_US (15 * AUB_SECOND)

/* The share of requests left with "unknown" or nothing, in per cent. */
static void finish_and_check_keyed(struct proof_run *run)
{
	guint undecided;

	finish_and_check_load(run);
	undecided =
		run->totals.told[LOAD_UNKNOWN] + run->totals.told[LOAD_ERROR];
	proof_add_figure(run, "undecided_percent",
			 run->totals.requests ?
				 100.0 * undecided / run->totals.requests :
				 0);
	proof_add_figure(run, "repeats", run->totals.repeats);
	proof_check(run, !run->totals.told[LOAD_ERROR],
		    "a repeat got no definite answer");
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
	fleet_run_ms(500);
	return owner;
}

/*
 * An upstream runs a payment and dies before it answers. The caller repeats;
 * another upstream must not run it again.
 */
static void upstream_crashes(struct proof_run *run)
{
	if (!start_keyed_run(run, false))
		return;
	fleet_upstream_fault(run->fleet, "{\"crash_after\":2}");
	finish_and_check_keyed(run);
	proof_require(run, proof_oracle_sum(run, "crashes") >= 4, "crashes");
	proof_require(run, run->totals.repeats > 0, "repeats");
}

/* Answers are lost on the way from the upstream: cut, spoiled, never sent. */
static void answers_lost(struct proof_run *run)
{
	if (!start_keyed_run(run, true))
		return;
	fleet_upstream_fault(run->fleet, "{\"reset_middle\":3,\"truncate\":3,"
					 "\"wrong_length\":3,\"never\":1}");
	fleet_run_ms(500);
	fleet_proxy_fault(run->fleet, "{\"reset\":1}");
	finish_and_check_keyed(run);
	proof_require(run, run->totals.repeats > 0, "repeats");
}

/* Until another member owns the service, as the controls say. */
static void wait_for_failover(struct proof_run *run,
			      struct fleet_member *old_owner)
{
	gint64 start_us = g_get_monotonic_time();
	struct fleet_member *owner = old_owner;

	while (owner == old_owner || !owner) {
		if (g_get_monotonic_time() - start_us > FAILOVER_LIMIT_US)
			break;
		fleet_run_ms(20);
		owner = fleet_owner(run->fleet, "fees");
	}
	proof_add_figure(run, "failover_ms",
			 (g_get_monotonic_time() - start_us) / 1000.0);
	proof_check(run, owner && owner != old_owner, "no new owner");
}

/* The entry that keeps the keys is killed; repeats go to the others. */
static void key_owner_killed(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed_run(run, false);

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	wait_for_failover(run, owner);
	finish_and_check_keyed(run);
	proof_require(run, run->totals.repeats > 0, "repeats");
}

/* It comes back at once under the same address, remembering nothing. */
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
	proof_require(run, run->totals.repeats > 0, "repeats");
}

/*
 * The keeper is frozen for longer than any lease: the others take it for
 * dead. It wakes and still believes. Repeats met both.
 */
static void key_owner_paused(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed_run(run, false);

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGSTOP);
	fleet_run_ms(6000);
	fleet_signal(owner, FLEET_BOTH, SIGCONT);
	finish_and_check_keyed(run);
	proof_require(run, run->totals.repeats > 0, "repeats");
}

/* A planned stop hands the keys over: no repeat may be left undecided. */
static void key_owner_stops(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed_run(run, false);

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGTERM);
	finish_and_check_keyed(run);
	proof_check(run, !run->totals.told[LOAD_UNKNOWN],
		    "a planned stop left requests unknown");
}

/* The store is down and the keeper dies in the meantime. */
static void store_down_and_key_owner_killed(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed_run(run, false);

	if (!owner)
		return;
	fleet_store_fault(run->fleet, "{\"down\":\"hang\"}");
	fleet_run_ms(500);
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	finish_and_check_keyed(run);
	proof_require(run, run->totals.repeats > 0, "repeats");
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

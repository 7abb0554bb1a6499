/*
 * At most once: callers repeat a keyed request through the same entry and
 * others until they are told something definite. What the upstreams started
 * is counted; a cancelled run counts too, for it may have had its effect.
 */
#include "proofs/common.h"

#include <signal.h>

#define KEYED_RATE 150
#define KEYED_SECONDS 3.0
#define FAILOVER_LIMIT_US (15 * AUB_SECOND)

/* The share of requests left with "unknown" or nothing, in per cent. */
static void end_keyed(struct proof_run *run)
{
	guint undecided;

	mixed_end(run);
	undecided = run->outcome.outcomes[LOAD_UNKNOWN] + run->outcome.outcomes[LOAD_ERROR];
	proof_figure(run, "undecided_percent",
		     run->outcome.requests ?
			     100.0 * undecided / run->outcome.requests :
			     0);
	proof_figure(run, "repeats", run->outcome.retries);
	proof_check(run, !run->outcome.outcomes[LOAD_ERROR],
		    "a repeat got no definite answer");
}

static struct fleet_member *start_keyed(struct proof_run *run, bool proxies)
{
	struct fleet_member *owner;

	if (!mixed_start(run, proxies, 0))
		return NULL;
	owner = proof_owner(run, "fees");
	if (!owner)
		return NULL;
	keyed_load(run, KEYED_RATE, KEYED_SECONDS);
	fleet_run_main_loop_ms(500);
	return owner;
}

/*
 * An upstream runs a payment and dies before it answers. The caller repeats;
 * another upstream must not run it again.
 */
static void upstream_dies(struct proof_run *run)
{
	if (!start_keyed(run, false))
		return;
	fleet_upstream_fault(run->fleet, "{\"crash_after\":2}");
	end_keyed(run);
	proof_need(run, proof_oracle_sum(run, "crashes") >= 4, "crashes");
	proof_need(run, run->outcome.retries > 0, "repeats");
}

/* Answers are lost on the way from the upstream: cut, spoiled, never sent. */
static void answers_lost(struct proof_run *run)
{
	if (!start_keyed(run, true))
		return;
	fleet_upstream_fault(run->fleet, "{\"reset_middle\":3,\"truncate\":3,"
					 "\"wrong_length\":3,\"never\":1}");
	fleet_run_main_loop_ms(500);
	fleet_proxy_fault(run->fleet, "{\"reset\":1}");
	end_keyed(run);
	proof_need(run, run->outcome.retries > 0, "repeats");
}

/* Until another member owns the service, as the controls say. */
static void wait_failover(struct proof_run *run, struct fleet_member *was)
{
	gint64 start_us = g_get_monotonic_time();
	struct fleet_member *owner = was;

	while (owner == was || !owner) {
		if (g_get_monotonic_time() - start_us > FAILOVER_LIMIT_US)
			break;
		fleet_run_main_loop_ms(20);
		owner = fleet_owner(run->fleet, "fees");
	}
	proof_figure(run, "failover_ms",
		     (g_get_monotonic_time() - start_us) / 1000.0);
	proof_check(run, owner && owner != was, "no new owner");
}

/* The entry that keeps the keys is killed; repeats go to the others. */
static void keeper_killed(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed(run, false);

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	wait_failover(run, owner);
	end_keyed(run);
	proof_need(run, run->outcome.retries > 0, "repeats");
}

/* It comes back at once under the same address, remembering nothing. */
static void keeper_restarted(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed(run, false);
	GError *error = NULL;

	if (!owner)
		return;
	fleet_signal(owner, FLEET_ENTRY, SIGKILL);
	if (!fleet_start_member(run->fleet, owner, &error))
		g_error("restart: %s", error->message);
	end_keyed(run);
	proof_need(run, run->outcome.retries > 0, "repeats");
}

/*
 * The keeper is frozen for longer than any lease: the others take it for
 * dead. It wakes and still believes. Repeats met both.
 */
static void keeper_frozen(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed(run, false);

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGSTOP);
	fleet_run_main_loop_ms(6000);
	fleet_signal(owner, FLEET_BOTH, SIGCONT);
	end_keyed(run);
	proof_need(run, run->outcome.retries > 0, "repeats");
}

/* A planned stop hands the keys over: no repeat may be left undecided. */
static void keeper_stops(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed(run, false);

	if (!owner)
		return;
	fleet_signal(owner, FLEET_BOTH, SIGTERM);
	end_keyed(run);
	proof_check(run, !run->outcome.outcomes[LOAD_UNKNOWN],
		    "a planned stop left requests unknown");
}

/* The store is down and the keeper dies in the meantime. */
static void store_down(struct proof_run *run)
{
	struct fleet_member *owner = start_keyed(run, false);

	if (!owner)
		return;
	fleet_store_fault(run->fleet, "{\"down\":\"hang\"}");
	fleet_run_main_loop_ms(500);
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	end_keyed(run);
	proof_need(run, run->outcome.retries > 0, "repeats");
}

const struct proof proofs_once[] = {
	{ "at-most-once", "upstream-dies-before-answering", true,
	  upstream_dies },
	{ "at-most-once", "answers-lost", false, answers_lost },
	{ "at-most-once", "keeper-killed", true, keeper_killed },
	{ "at-most-once", "keeper-restarted-same-address", false,
	  keeper_restarted },
	{ "at-most-once", "keeper-frozen-and-back", false, keeper_frozen },
	{ "at-most-once", "keeper-stops", false, keeper_stops },
	{ "at-most-once", "store-down-and-keeper-killed", false, store_down },
	{ 0 }
};

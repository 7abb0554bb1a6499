/*
 * Each caller gets the complete answer to its own request. Every answer
 * contains the nonce of its request and a checksum. The load generator verifies
 * them while answers are late, out of order, truncated, reset, sent with a
 * wrong length, or missing.
 */
#include "proofs/fixtures.h"

#include <signal.h>

#define LOAD_SECONDS 3.0

/* Returns the share of requests with a complete answer, in per cent. */
static double complete_percent(const struct proof_run *run)
{
	return 100.0 * run->totals.outcomes[LOAD_RUN] /
	       MAX(run->totals.requests, 1);
}

static void finish_and_check_complete(struct proof_run *run, double min_percent)
{
	finish_and_check_load(run);
	proof_add_figure(run, "whole_percent", complete_percent(run));
	proof_check(run, complete_percent(run) >= min_percent,
		    "too few complete answers");
}

/* Upstreams corrupt answers in ways that an HTTP library would not. */
static void answers_corrupted(struct proof_run *run)
{
	if (!start_mixed_fleet(run, false, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, LOAD_SECONDS, true);
	fleet_run_main_loop_ms(300);
	fleet_upstream_fault(run->fleet, "{\"truncate\":5,\"wrong_length\":5,"
					 "\"reset_middle\":5}");
	finish_and_check_complete(run, 80);
}

/* Hedged requests and late answers: a request may get two answers. */
static void answers_late(struct proof_run *run)
{
	if (!start_mixed_fleet(run, false, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, LOAD_SECONDS, true);
	fleet_run_main_loop_ms(300);
	fleet_upstream_fault(run->fleet, "{\"late\":2,\"late_ms\":700}");
	fleet_run_main_loop_ms(700);
	fleet_upstream_fault(run->fleet, "{\"port\":0,\"slow_factor\":15,"
					 "\"slow_ms\":300}");
	finish_and_check_complete(run, 80);
}

/*
 * Connections between entries and upstreams become half-open: they stay open
 * and drop all data, while new connections work.
 */
static void upstream_connections_unresponsive(struct proof_run *run)
{
	if (!start_mixed_fleet(run, true, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, LOAD_SECONDS, true);
	fleet_run_main_loop_ms(500);
	fleet_proxy_fault(run->fleet, "{\"silence_open\":1}");
	fleet_run_main_loop_ms(1000);
	fleet_proxy_fault(run->fleet, "{\"silence_open\":1}");
	finish_and_check_complete(run, 80);
}

static void silence_caller_connections(struct proof_run *run)
{
	guint i;

	for (i = 0; i < run->fleet->members->len; i++)
		fleet_callers_proxy_fault(run->fleet,
					  fleet_member(run->fleet, i),
					  "{\"silence_open\":1}");
}

/* The network is slow at first and then truncates every answer. */
static void answers_truncated_by_network(struct proof_run *run)
{
	if (!start_mixed_fleet(run, true, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, LOAD_SECONDS, true);
	fleet_run_main_loop_ms(500);
	fleet_proxy_fault(run->fleet, "{\"throttle\":20000}");
	fleet_run_main_loop_ms(500);
	fleet_proxy_fault(run->fleet, "{\"throttle\":0,\"truncate_down\":600,"
				      "\"cut\":1}");
	fleet_run_main_loop_ms(300);
	fleet_proxy_fault(run->fleet, "{\"clear\":1,\"cut\":1}");
	finish_and_check_complete(run, 50);
}

/*
 * Connections between callers and entries become unresponsive permanently,
 * twice, while new ones work. Requests with an idempotency key are among them.
 */
static void caller_connections_unresponsive(struct proof_run *run)
{
	struct load_options options = {
		.services = mixed_services,
		.service_count = G_N_ELEMENTS(mixed_services),
		.rate = 150,
		.seconds = LOAD_SECONDS,
		.deadline_ms = 4000,
		.attempt_timeout_ms = 700,
		.retry = true,
		.connect_address = fleet_connect_address,
	};
	guint i;

	if (!start_mixed_fleet(run, true, 0))
		return;
	options.connect_context = run->fleet;
	proof_start_load(run, &options);
	for (i = 0; i < 2; i++) {
		fleet_run_main_loop_ms(800);
		silence_caller_connections(run);
	}
	finish_and_check_complete(run, 95);
	proof_require(run, run->totals.retries > 0, "repeats");
}

/*
 * The owner of the services is killed. Callers reach the stand-by, which serves
 * at a reduced share until there is a new owner.
 */
static void owner_killed(struct proof_run *run)
{
	struct load_options options = {
		.services = mixed_services,
		.service_count = 1,
		.rate = 60,
		.seconds = 7,
		.deadline_ms = 3000,
		.attempt_timeout_ms = 1000,
		.retry = true,
	};
	struct fleet_member *owner;

	if (!start_mixed_fleet(run, false, 0))
		return;
	owner = proof_find_owner(run, "calendar");
	if (!owner)
		return;
	proof_start_load(run, &options);
	fleet_run_main_loop_ms(1000);
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	finish_and_check_complete(run, 95);
}

const struct proof proofs_complete_answer[] = {
	{ "whole-answer", "spoiled-answers", true, answers_corrupted },
	{ "whole-answer", "late-answers-and-hedges", false, answers_late },
	{ "whole-answer", "silent-upstream-connections", false,
	  upstream_connections_unresponsive },
	{ "whole-answer", "silent-caller-connections", false,
	  caller_connections_unresponsive },
	{ "whole-answer", "cut-by-network", false,
	  answers_truncated_by_network },
	{ "whole-answer", "owner-dies", false, owner_killed },
	{ 0 }
};

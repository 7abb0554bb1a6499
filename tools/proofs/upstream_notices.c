/*
 * Gateways keep what upstreams say of themselves in answers, while gateways are
 * killed and other faults occur. Five gateways run as processes; the checks are
 * those of the soak test (soak/soak_notices.c), from what upstreams receive.
 */
#include "proofs/proof.h"
#include "soak/soak_run.h"

#define FAULT_SECONDS 20

static void run_notices(struct proof_run *run, enum soak_notice_kind kind)
{
	const struct soak_options options = {
		.seconds = FAULT_SECONDS,
		.notices = kind,
	};
	struct soak_result result;

	soak_run(run->seed, &options, &result);
	proof_add_figure(run, "notices", result.notices);
	proof_add_figure(run, "checked", result.notice_checks);
	proof_add_figure(run, "violations", result.violations);
	proof_require(run, result.notices > 0, "a notice of an upstream");
	proof_check(run, !result.violations, "a rule was violated");
}

static void limits(struct proof_run *run)
{
	run_notices(run, SOAK_NOTICE_LIMIT);
}

static void rests(struct proof_run *run)
{
	run_notices(run, SOAK_NOTICE_REST);
}

static void leaving(struct proof_run *run)
{
	run_notices(run, SOAK_NOTICE_LEAVING);
}

const struct proof proofs_upstream_notices[] = {
	{ "upstream-limit", "gateways-killed", false, limits },
	{ "upstream-rest", "gateways-killed", false, rests },
	{ "upstream-leaves", "gateways-killed", false, leaving },
	{ 0 }
};

/*
 * Callers are served while gateways have lost their links to all upstreams.
 * Five gateways run as processes behind proxies; the checks are those of the
 * soak test (soak/soak_partitions.c), from callers' first tries.
 */
#include "proofs/proof.h"
#include "proxy/proxy.h"
#include "soak/soak_run.h"

#define FAULT_SECONDS 20

static void run_partitions(struct proof_run *run, enum proxy_partition kind)
{
	const struct soak_options options = {
		.seconds = FAULT_SECONDS,
		.partitions = true,
		.partition_kind = kind,
	};
	struct soak_result result;

	/* An even seed: no other faults, so that service is checked too. */
	soak_run(2 * run->seed, &options, &result);
	proof_add_figure(run, "cuts", result.cuts);
	proof_add_figure(run, "calls_without_links",
			 result.calls_without_links);
	proof_add_figure(run, "violations", result.violations);
	proof_require(run, result.calls_without_links > 0,
		      "a call to a gateway without links");
	proof_check(run, !result.violations, "a rule was violated");
}

static void resets(struct proof_run *run)
{
	run_partitions(run, PROXY_PARTITION_RESET);
}

static void silence(struct proof_run *run)
{
	run_partitions(run, PROXY_PARTITION_SILENT);
}

static void one_way(struct proof_run *run)
{
	run_partitions(run, PROXY_PARTITION_ONE_WAY);
}

static void new_connections(struct proof_run *run)
{
	run_partitions(run, PROXY_PARTITION_REFUSE_NEW);
}

const struct proof proofs_links_lost[] = {
	{ "links-lost", "reset", true, resets },
	{ "links-lost", "silent", true, silence },
	{ "links-lost", "one-way", false, one_way },
	{ "links-lost", "new-connections-refused", false, new_connections },
	{ 0 }
};

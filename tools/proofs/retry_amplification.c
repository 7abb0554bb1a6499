/*
 * Retries are not amplified. Each request passes through a chain of calls that
 * is 25 services deep, and the last service fails. The check is based on the
 * number of requests at the last service for each call of the load.
 */
#include "common/tool.h"
#include "proofs/fixtures.h"

#define CHAIN_DEPTH 25
/* Maximum number of requests at the leaf for each call of the load. */
#define LEAF_ATTEMPTS_PER_CALL_MAX 1.2
#define CALLS_PER_S 20
#define LOAD_SECONDS 5
#define LEAF_SERVICE 0 /* number of the service that fails */

struct call_chain {
	struct fleet_service services[CHAIN_DEPTH];
	char names[CHAIN_DEPTH][8];
	char paths[CHAIN_DEPTH][8];
};

static void init_call_chain(struct call_chain *chain)
{
	for (guint i = 0; i < CHAIN_DEPTH; i++) {
		g_snprintf(chain->names[i], sizeof(chain->names[i]), "s%u", i);
		g_snprintf(chain->paths[i], sizeof(chain->paths[i]), "/s%u", i);
		chain->services[i] = (struct fleet_service){
			.name = chain->names[i],
			.path = chain->paths[i],
			.upstreams = 2,
			.slots = 30,
			.cold_slots = 30,
			.queue_limit = 500,
			.deadline_ms = 5000,
		};
	}
}

/* Each service except the leaf calls the next lower one through an entry. */
static void connect_call_chain(struct proof_run *run)
{
	const struct aub_inventory *inventory = run->fleet->inventory;

	for (guint i = 0; i < inventory->upstreams->len; i++) {
		guint16 service = aub_upstream_at(inventory, i)->service;
		const struct fleet_member *member =
			fleet_member(run->fleet, i % 3);
		char *json;

		if (service == LEAF_SERVICE)
			continue;
		json = g_strdup_printf("{\"calls\":\"http://%s/s%u/\"}",
				       member->callers, service - 1);
		fleet_single_upstream_fault(run->fleet, i, json);
		g_free(json);
	}
}

static void fail_leaf(struct proof_run *run, const char *fault)
{
	const struct aub_inventory *inventory = run->fleet->inventory;

	for (guint i = 0; i < inventory->upstreams->len; i++)
		if (aub_upstream_at(inventory, i)->service == LEAF_SERVICE)
			fleet_single_upstream_fault(run->fleet, i, fault);
}

static gint64 count_service_requests(const struct proof_run *run,
				     guint16 service)
{
	const struct aub_inventory *inventory = run->fleet->inventory;
	gint64 sum = 0;

	for (guint i = 0; i < inventory->upstreams->len; i++) {
		if (aub_upstream_at(inventory, i)->service != service)
			continue;
		sum += tool_json_int(fleet_oracle_upstream(run->oracle,
							   run->fleet, i),
				     "requests", 0);
	}
	return sum;
}

static void run_call_chain(struct proof_run *run, const char *fault)
{
	struct load_service root_service = { "s24", "/s24/", 1, false };
	struct load_options load = {
		.services = &root_service,
		.service_count = 1,
		.rate = CALLS_PER_S,
		.seconds = LOAD_SECONDS,
		.deadline_ms = 5000,
	};
	struct proof_fleet fleet = {
		.service_count = CHAIN_DEPTH,
		.members = 3,
		.zones = 3,
		.mean_us = 2000,
	};
	struct call_chain chain;
	double attempts;

	init_call_chain(&chain);
	fleet.services = chain.services;
	if (!proof_start_fleet(run, &fleet))
		return;
	connect_call_chain(run);
	fail_leaf(run, fault);
	proof_start_load(run, &load);
	proof_finish_load(run);
	attempts = (double)count_service_requests(run, LEAF_SERVICE) /
		   run->totals.requests;
	proof_add_figure(run, "leaf_attempts_per_call", attempts);
	proof_add_figure(run, "root_attempts_per_call",
			 (double)count_service_requests(run, CHAIN_DEPTH - 1) /
				 run->totals.requests);
	proof_require(run, count_service_requests(run, LEAF_SERVICE) > 0,
		      "requests at the leaf");
	proof_check(run, attempts <= LEAF_ATTEMPTS_PER_CALL_MAX,
		    "the leaf got more requests than allowed");
}

/* The leaf resets its connections in the middle of each answer. */
static void leaf_resets(struct proof_run *run)
{
	run_call_chain(run, "{\"reset_middle\":-1}");
}

/* The leaf immediately answers every call with an error. */
static void leaf_fails_fast(struct proof_run *run)
{
	run_call_chain(run, "{\"fail_fast\":-1}");
}

/*
 * The leaf refuses all requests before executing them, so that each refusal
 * could be retried.
 */
static void leaf_sheds(struct proof_run *run)
{
	run_call_chain(run, "{\"shed\":-1}");
}

/*
 * The leaf never answers. The time limit of every level expires at about the
 * same time, and each level could regard that as a reason to retry.
 */
static void leaf_unresponsive(struct proof_run *run)
{
	run_call_chain(run, "{\"never\":-1}");
}

const struct proof proofs_retry_amplification[] = {
	{ "retries-dont-multiply", "leaf-resets-25-deep", false, leaf_resets },
	{ "retries-dont-multiply", "leaf-fails-fast-25-deep", false,
	  leaf_fails_fast },
	{ "retries-dont-multiply", "leaf-sheds-25-deep", false, leaf_sheds },
	{ "retries-dont-multiply", "leaf-silent-25-deep", false,
	  leaf_unresponsive },
	{ 0 }
};

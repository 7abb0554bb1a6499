/*
 * Retries don't multiply: each request walks down a tree of calls, 25
 * services deep, and the last one fails. Judged by how often the last
 * service was asked for each call that was made.
 */
#include "common/tool.h"
#include "proofs/common.h"

#define DEPTH 25
#define ATTEMPTS_MOST 1.2 /* at the leaf, a call: the goal */
#define CALLS_PER_S 20
#define CALL_SECONDS 5
#define LEAF 0 /* number of the service that fails */

struct tree {
	struct fleet_service services[DEPTH];
	char names[DEPTH][8];
	char paths[DEPTH][8];
};

static void tree_init(struct tree *tree)
{
	for (guint i = 0; i < DEPTH; i++) {
		g_snprintf(tree->names[i], sizeof(tree->names[i]), "s%u", i);
		g_snprintf(tree->paths[i], sizeof(tree->paths[i]), "/s%u", i);
		tree->services[i] = (struct fleet_service){
			.name = tree->names[i],
			.path = tree->paths[i],
			.upstreams = 2,
			.slots = 30,
			.cold_slots = 30,
			.queue_limit = 500,
			.deadline_ms = 5000,
		};
	}
}

/* Each service but the leaf calls the one below, through some entry. */
static void connect_tree(struct proof_run *run)
{
	const struct aub_inventory *inventory = run->fleet->inventory;

	for (guint i = 0; i < inventory->upstreams->len; i++) {
		guint16 service = aub_upstream_at(inventory, i)->service;
		const struct fleet_member *member =
			fleet_member(run->fleet, i % 3);
		char *json;

		if (service == LEAF)
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
		if (aub_upstream_at(inventory, i)->service == LEAF)
			fleet_single_upstream_fault(run->fleet, i, fault);
}

static gint64 requests_of(const struct proof_run *run, guint16 service)
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

static void tree_run(struct proof_run *run, const char *fault)
{
	struct load_service top = { "s24", "/s24/", 1, false };
	struct load_options load = {
		.services = &top,
		.service_count = 1,
		.rate = CALLS_PER_S,
		.seconds = CALL_SECONDS,
		.deadline_ms = 5000,
	};
	struct proof_fleet fleet = {
		.service_count = DEPTH,
		.members = 3,
		.zones = 3,
		.mean_us = 2000,
	};
	struct tree tree;
	double attempts;

	tree_init(&tree);
	fleet.services = tree.services;
	if (!proof_start(run, &fleet))
		return;
	connect_tree(run);
	fail_leaf(run, fault);
	proof_load(run, &load);
	proof_end_load(run);
	attempts = (double)requests_of(run, LEAF) / run->outcome.requests;
	proof_figure(run, "leaf_attempts_per_call", attempts);
	proof_figure(run, "root_attempts_per_call",
		     (double)requests_of(run, DEPTH - 1) / run->outcome.requests);
	proof_need(run, requests_of(run, LEAF) > 0, "calls at the leaf");
	proof_check(run, attempts <= ATTEMPTS_MOST,
		    "the leaf was asked more often than the goal allows");
}

/* The leaf's connections are reset in the middle of each answer. */
static void leaf_resets(struct proof_run *run)
{
	tree_run(run, "{\"reset_middle\":-1}");
}

/* The leaf answers every call with an error at once. */
static void leaf_fails_fast(struct proof_run *run)
{
	tree_run(run, "{\"fail_fast\":-1}");
}

/* The leaf refuses all: not run, so that each refusal could be retried. */
static void leaf_sheds(struct proof_run *run)
{
	tree_run(run, "{\"shed\":-1}");
}

/*
 * The leaf never answers: every level sees its own time run out at about the
 * same moment, and each could take it for a reason to ask again.
 */
static void leaf_silent(struct proof_run *run)
{
	tree_run(run, "{\"never\":-1}");
}

const struct proof proofs_retries[] = {
	{ "retries-dont-multiply", "leaf-resets-25-deep", false, leaf_resets },
	{ "retries-dont-multiply", "leaf-fails-fast-25-deep", false,
	  leaf_fails_fast },
	{ "retries-dont-multiply", "leaf-sheds-25-deep", false, leaf_sheds },
	{ "retries-dont-multiply", "leaf-silent-25-deep", false, leaf_silent },
	{ 0 }
};

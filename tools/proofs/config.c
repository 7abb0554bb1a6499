/*
 * An accepted configuration is in force everywhere within seconds and never
 * reverts: the version in force at each member is polled all the time.
 */
#include "proofs/common.h"

#include "common/tool.h"

#include <signal.h>
#include <string.h>

#define IN_FORCE_MS 9000 /* the design figure */
#define POLL_MS 100
#define NO_FAULT "{\"clear\":1}"

/* Highest version seen in force at each member, and what went back. */
struct witness {
	struct proof_run *run;
	gint64 highest[32];
	guint reverts;
};

static gint64 member_version(struct proof_run *run,
			     const struct fleet_member *member)
{
	JsonNode *root = member->control ?
				 fleet_admin(run->fleet, member, "GET",
					     "/v1/status", NULL, NULL, NULL) :
				 NULL;
	gint64 version = 0;

	if (root && JSON_NODE_HOLDS_OBJECT(root))
		version = tool_json_int(json_node_get_object(root),
					"config_version", 0);
	if (root)
		json_node_unref(root);
	return version;
}

/* Polls every member once; the lowest version of those that answer. */
static gint64 look(struct witness *witness)
{
	struct fleet *fleet = witness->run->fleet;
	gint64 lowest = G_MAXINT64;
	gint64 version;
	guint i;

	for (i = 0; i < fleet->members->len; i++) {
		version = member_version(witness->run, fleet_member(fleet, i));
		if (!version)
			continue;
		if (version < witness->highest[i])
			witness->reverts++;
		witness->highest[i] = MAX(version, witness->highest[i]);
		lowest = MIN(lowest, version);
	}
	return lowest == G_MAXINT64 ? 0 : lowest;
}

static gint64 zone_change(struct proof_run *run, guint member, const char *way)
{
	char *path = g_strdup_printf("/v1/zones/z1/%s", way);
	JsonNode *root =
		fleet_admin(run->fleet, fleet_member(run->fleet, member),
			    "POST", path, "{\"author\":\"proof\"}", NULL, NULL);
	gint64 version = 0;

	if (root && JSON_NODE_HOLDS_OBJECT(root))
		version =
			tool_json_int(json_node_get_object(root), "version", 0);
	if (root)
		json_node_unref(root);
	g_free(path);
	return version;
}

/*
 * Changes from two members in turn, under one fault of the store while they
 * are made and another one (or none) from their acceptance on.
 */
static void changes_now(struct proof_run *run, const char *fault,
			const char *after)
{
	struct witness witness = { .run = run };
	gint64 slowest_us = 0;
	gint64 start_us;
	gint64 version;
	guint i;

	mixed_load(run, 100, 8, true);
	for (i = 0; i < 4; i++) {
		fleet_store_fault(run->fleet, fault);
		start_us = g_get_monotonic_time();
		version = zone_change(run, i % 2 ? 5 : 0, i % 2 ? "in" : "out");
		proof_need(run, version > 0, "an accepted change");
		fleet_store_fault(run->fleet, after);
		while (look(&witness) < version &&
		       g_get_monotonic_time() - start_us <
			       IN_FORCE_MS * AUB_MS * 2)
			fleet_run_main_loop_ms(POLL_MS);
		slowest_us = MAX(slowest_us, g_get_monotonic_time() - start_us);
	}
	fleet_store_fault(run->fleet, "{\"clear\":1}");
	mixed_end(run);
	look(&witness);
	proof_figure(run, "slowest_in_force_ms", slowest_us / 1000.0);
	proof_figure(run, "reverts", witness.reverts);
	proof_check(run, slowest_us < IN_FORCE_MS * AUB_MS,
		    "not in force in time");
	proof_check(run, !witness.reverts, "a version went back");
}

static void changes(struct proof_run *run, const char *fault, const char *after)
{
	if (mixed_start(run, true, 0))
		changes_now(run, fault, after);
}

static void no_fault(struct proof_run *run)
{
	changes(run, NO_FAULT, NO_FAULT);
}

static void lost_answers(struct proof_run *run)
{
	changes(run, "{\"lose_answers\":3,\"delay_ms\":50}", NO_FAULT);
}

static void stale_reads(struct proof_run *run)
{
	changes(run, NO_FAULT, "{\"stale\":1,\"delay_ms\":20}");
}

/* The store hangs as soon as a change was accepted. */
static void store_down(struct proof_run *run)
{
	changes(run, NO_FAULT, "{\"down\":\"hang\"}");
}

/* Connections between controls and store go silent; new ones work. */
static void silent_store(struct proof_run *run)
{
	if (!mixed_start(run, true, 0))
		return;
	fleet_run_main_loop_ms(1500);
	fleet_proxy_fault(run->fleet, "{\"silence_open\":1}");
	changes_now(run, NO_FAULT, NO_FAULT);
}

/* All controls are replaced one by one while the store serves old reads. */
static void controls_replaced(struct proof_run *run)
{
	struct witness witness = { .run = run };
	GError *error = NULL;
	gint64 version;
	guint i;

	if (!mixed_start(run, true, 0))
		return;
	version = zone_change(run, 0, "out");
	proof_need(run, version > 0, "an accepted change");
	fleet_run_main_loop_ms(1000);
	look(&witness);
	fleet_store_fault(run->fleet, "{\"stale\":1}");
	for (i = 0; i < run->fleet->members->len; i++) {
		fleet_signal(fleet_member(run->fleet, i), FLEET_CONTROL,
			     SIGKILL);
		if (!fleet_start_member(run->fleet, fleet_member(run->fleet, i),
					&error))
			g_error("restart: %s", error->message);
		fleet_run_main_loop_ms(800);
		look(&witness);
	}
	fleet_run_main_loop_ms(2000);
	proof_figure(run, "version", version);
	proof_figure(run, "lowest", look(&witness));
	proof_figure(run, "reverts", witness.reverts);
	proof_check(run, look(&witness) >= version,
		    "a member holds an older version");
	proof_check(run, !witness.reverts, "a version went back");
}

const struct proof proofs_config[] = {
	{ "config-in-force", "none", true, no_fault },
	{ "config-in-force", "lost-answers", false, lost_answers },
	{ "config-in-force", "stale-reads", false, stale_reads },
	{ "config-in-force", "store-down-after", false, store_down },
	{ "config-in-force", "silent-store-connections", false, silent_store },
	{ "config-in-force", "controls-replaced-stale-store", false,
	  controls_replaced },
	{ 0 }
};

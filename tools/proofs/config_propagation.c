/*
 * An accepted configuration takes effect at all members within seconds and is
 * never reverted. The active version of each member is polled continuously.
 */
#include "proofs/fixtures.h"

#include "common/tool.h"

#include <signal.h>
#include <string.h>

#define IN_EFFECT_LIMIT_MS 9000 /* limit given by the design */
#define POLL_INTERVAL_MS 100
#define CLEAR_FAULTS "{\"clear\":1}"

/*
 * The highest active version seen at each member, and the number of times that
 * a member reported an older one.
 */
struct version_monitor {
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

/*
 * Polls every member once. Returns the lowest version of the members that
 * answer, or 0 if none does.
 */
static gint64 poll_versions(struct version_monitor *monitor)
{
	struct fleet *fleet = monitor->run->fleet;
	gint64 lowest = G_MAXINT64;
	gint64 version;
	guint i;

	for (i = 0; i < fleet->members->len; i++) {
		version = member_version(monitor->run, fleet_member(fleet, i));
		if (!version)
			continue;
		if (version < monitor->highest[i])
			monitor->reverts++;
		monitor->highest[i] = MAX(version, monitor->highest[i]);
		lowest = MIN(lowest, version);
	}
	return lowest == G_MAXINT64 ? 0 : lowest;
}

static gint64 change_zone(struct proof_run *run, guint member,
			  const char *direction)
{
	char *path = g_strdup_printf("/v1/zones/z1/%s", direction);
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
 * Applies changes through two members in turn. The store has `fault` while a
 * change is made and `later_fault` (or none) once it is accepted.
 */
static void apply_changes(struct proof_run *run, const char *fault,
			  const char *later_fault)
{
	struct version_monitor monitor = { .run = run };
	gint64 slowest_change_us = 0;
	gint64 start_us;
	gint64 version;
	guint i;

	start_mixed_load(run, 100, 8, true);
	for (i = 0; i < 4; i++) {
		fleet_store_fault(run->fleet, fault);
		start_us = g_get_monotonic_time();
		version = change_zone(run, i % 2 ? 5 : 0, i % 2 ? "in" : "out");
		proof_require(run, version > 0, "an accepted change");
		fleet_store_fault(run->fleet, later_fault);
		while (poll_versions(&monitor) < version &&
		       g_get_monotonic_time() - start_us <
			       IN_EFFECT_LIMIT_MS * AUB_MS * 2)
			fleet_run_main_loop_ms(POLL_INTERVAL_MS);
		slowest_change_us = MAX(slowest_change_us,
					g_get_monotonic_time() - start_us);
	}
	fleet_store_fault(run->fleet, "{\"clear\":1}");
	finish_and_check_load(run);
	poll_versions(&monitor);
	proof_add_figure(run, "slowest_in_force_ms",
			 slowest_change_us / 1000.0);
	proof_add_figure(run, "reverts", monitor.reverts);
	proof_check(run, slowest_change_us < IN_EFFECT_LIMIT_MS * AUB_MS,
		    "a change took effect too late");
	proof_check(run, !monitor.reverts,
		    "a member reverted to an older version");
}

static void run_changes(struct proof_run *run, const char *fault,
			const char *later_fault)
{
	if (start_mixed_fleet(run, true, 0))
		apply_changes(run, fault, later_fault);
}

static void no_fault(struct proof_run *run)
{
	run_changes(run, CLEAR_FAULTS, CLEAR_FAULTS);
}

static void store_answers_lost(struct proof_run *run)
{
	run_changes(run, "{\"lose_answers\":3,\"delay_ms\":50}", CLEAR_FAULTS);
}

static void store_reads_stale(struct proof_run *run)
{
	run_changes(run, CLEAR_FAULTS, "{\"stale\":1,\"delay_ms\":20}");
}

/* The store hangs as soon as a change is accepted. */
static void store_down(struct proof_run *run)
{
	run_changes(run, CLEAR_FAULTS, "{\"down\":\"hang\"}");
}

/* Connections between controls and store become half-open; new ones work. */
static void store_connections_unresponsive(struct proof_run *run)
{
	if (!start_mixed_fleet(run, true, 0))
		return;
	fleet_run_main_loop_ms(1500);
	fleet_proxy_fault(run->fleet, "{\"silence_open\":1}");
	apply_changes(run, CLEAR_FAULTS, CLEAR_FAULTS);
}

/* All controls are restarted one by one while the store serves stale reads. */
static void controls_replaced_in_turn(struct proof_run *run)
{
	struct version_monitor monitor = { .run = run };
	GError *error = NULL;
	gint64 version;
	guint i;

	if (!start_mixed_fleet(run, true, 0))
		return;
	version = change_zone(run, 0, "out");
	proof_require(run, version > 0, "an accepted change");
	fleet_run_main_loop_ms(1000);
	poll_versions(&monitor);
	fleet_store_fault(run->fleet, "{\"stale\":1}");
	for (i = 0; i < run->fleet->members->len; i++) {
		fleet_signal(fleet_member(run->fleet, i), FLEET_CONTROL,
			     SIGKILL);
		if (!fleet_start_member(run->fleet, fleet_member(run->fleet, i),
					&error))
			g_error("restart: %s", error->message);
		fleet_run_main_loop_ms(800);
		poll_versions(&monitor);
	}
	fleet_run_main_loop_ms(2000);
	proof_add_figure(run, "version", version);
	proof_add_figure(run, "lowest", poll_versions(&monitor));
	proof_add_figure(run, "reverts", monitor.reverts);
	proof_check(run, poll_versions(&monitor) >= version,
		    "a member still uses an older version");
	proof_check(run, !monitor.reverts,
		    "a member reverted to an older version");
}

const struct proof proofs_config_propagation[] = {
	{ "config-in-force", "none", true, no_fault },
	{ "config-in-force", "lost-answers", false, store_answers_lost },
	{ "config-in-force", "stale-reads", false, store_reads_stale },
	{ "config-in-force", "store-down-after", false, store_down },
	{ "config-in-force", "silent-store-connections", false,
	  store_connections_unresponsive },
	{ "config-in-force", "controls-replaced-stale-store", false,
	  controls_replaced_in_turn },
	{ 0 }
};

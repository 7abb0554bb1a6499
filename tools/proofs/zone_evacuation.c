/*
 * A zone that is taken out gets no new requests later than 3 s after the
 * accepted command, and gets requests again after its return. The check is
 * based on the time of the last request that reached one of its upstreams.
 */
#include "proofs/fixtures.h"

#include "common/tool.h"

#include <signal.h>
#include <string.h>

#define EVACUATION_LIMIT_MS 3000
#define ZONE_NAME "z2"
#define NO_MEMBER G_MAXUINT

static guint paused_control = NO_MEMBER; /* index of its member */

/*
 * Returns the number of requests that reached the upstreams of the zone and
 * sets `last_request_us` to the time of the last one.
 */
static guint64 zone_requests(struct proof_run *run, gint64 *last_request_us)
{
	const struct aub_inventory *inventory = run->fleet->inventory;
	JsonNode *oracle = fleet_oracle(run->fleet);
	guint64 requests = 0;
	JsonObject *upstream;
	guint i;

	*last_request_us = 0;
	for (i = 0; i < inventory->upstreams->len; i++) {
		guint16 zone = aub_upstream_at(inventory, i)->zone;

		if (strcmp(aub_zone_at(inventory, zone)->name, ZONE_NAME) != 0)
			continue;
		upstream = fleet_oracle_upstream(oracle, run->fleet, i);
		requests += tool_json_int(upstream, "requests", 0);
		*last_request_us =
			MAX(*last_request_us,
			    tool_json_int(upstream, "last_new_us", 0));
	}
	json_node_unref(oracle);
	return requests;
}

/* Sends the command through the first control that is not paused. */
static bool zone_command(struct proof_run *run, const char *direction)
{
	const struct fleet_member *member =
		fleet_member(run->fleet, paused_control == 0 ? 1 : 0);
	char *path = g_strdup_printf("/v1/zones/%s/%s", ZONE_NAME, direction);
	guint status = 0;
	GError *error = NULL;
	JsonNode *root = fleet_admin(run->fleet, member, "POST", path,
				     "{\"author\":\"proof\"}", &status, &error);

	if (error)
		g_warning("%s", error->message);
	g_clear_error(&error);
	if (root)
		json_node_unref(root);
	g_free(path);
	return status == 200;
}

typedef void zone_fault(struct proof_run *run, bool on);

/*
 * Takes the zone out under load with the fault present, and back in without it.
 */
static void run_evacuation(struct proof_run *run, zone_fault *fault)
{
	gint64 command_us;
	gint64 last_request_us;
	guint64 requests_before_return;

	if (!start_mixed_fleet(run, true, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, 11, true);
	fleet_run_main_loop_ms(800);
	if (fault)
		fault(run, true);
	fleet_run_main_loop_ms(200);
	command_us = g_get_monotonic_time();
	proof_require(run, zone_command(run, "out"),
		      "an accepted command to take the zone out");
	fleet_run_main_loop_ms(6000);
	requests_before_return = zone_requests(run, &last_request_us);
	proof_add_figure(run, "last_new_ms",
			 MAX(last_request_us - command_us, 0) / 1000.0);
	proof_check(run,
		    last_request_us - command_us < EVACUATION_LIMIT_MS * AUB_MS,
		    "the zone got new requests 3 s after the command");
	proof_require(run, requests_before_return > 0,
		      "requests in the zone before its return");
	if (fault)
		fault(run, false);
	proof_require(run, zone_command(run, "in"),
		      "an accepted command to bring the zone back");
	finish_and_check_load(run);
	proof_check(run,
		    zone_requests(run, &last_request_us) >
			    requests_before_return,
		    "the zone got no requests after its return");
}

static void no_fault(struct proof_run *run)
{
	run_evacuation(run, NULL);
}

/*
 * The store delays each call by 300 ms, beginning shortly before the command.
 */
static void set_store_delay(struct proof_run *run, bool on)
{
	fleet_store_fault(run->fleet,
			  on ? "{\"delay_ms\":300}" : "{\"clear\":1}");
}

static void store_slow(struct proof_run *run)
{
	run_evacuation(run, set_store_delay);
}

static void partition_from_store(struct proof_run *run, bool on)
{
	/* Affects only the connections of the last member to the store. */
	struct fleet_member *member = fleet_member(run->fleet, 5);
	char *json = g_strdup_printf("{\"port\":%s,\"refuse\":%d,\"reset\":1}",
				     strrchr(member->store_url, ':') + 1, on);

	fleet_proxy_fault(run->fleet, json);
	g_free(json);
}

static void member_partitioned(struct proof_run *run)
{
	run_evacuation(run, partition_from_store);
}

/* An entry restarts at the time of the command and reads stale objects. */
static void restart_with_stale_store(struct proof_run *run, bool on)
{
	struct fleet_member *member = fleet_member(run->fleet, 4);
	GError *error = NULL;

	fleet_store_fault(run->fleet, on ? "{\"stale\":1}" : "{\"clear\":1}");
	if (!on)
		return;
	fleet_signal(member, FLEET_BOTH, SIGKILL);
	if (!fleet_start_member(run->fleet, member, &error))
		g_error("restart: %s", error->message);
}

static void restart_reads_stale(struct proof_run *run)
{
	run_evacuation(run, restart_with_stale_store);
}

/* A member is paused during the command and resumes much later. */
static void pause_member(struct proof_run *run, bool on)
{
	fleet_signal(fleet_member(run->fleet, 5), FLEET_BOTH,
		     on ? SIGSTOP : SIGCONT);
	if (!on)
		fleet_run_main_loop_ms(300);
}

static void member_paused(struct proof_run *run)
{
	run_evacuation(run, pause_member);
}

/*
 * The control of the owner of the services is paused, so its entry receives
 * updates neither from the store nor from peers. The entry must stop serving by
 * itself, because it cannot know that the zone was taken out.
 */
static void isolate_owner(struct proof_run *run, bool on)
{
	struct fleet_member *owner;
	guint i;

	if (!on) {
		fleet_signal(fleet_member(run->fleet, paused_control),
			     FLEET_CONTROL, SIGCONT);
		paused_control = NO_MEMBER;
		fleet_run_main_loop_ms(500);
		return;
	}
	owner = proof_find_owner(run, "calendar");
	for (i = 0; i < run->fleet->members->len; i++)
		if (fleet_member(run->fleet, i) == owner)
			paused_control = i;
	if (owner)
		fleet_signal(owner, FLEET_CONTROL, SIGSTOP);
}

static void owner_isolated(struct proof_run *run)
{
	run_evacuation(run, isolate_owner);
	paused_control = NO_MEMBER;
}

const struct proof proofs_zone_evacuation[] = {
	{ "zone-out", "none", true, no_fault },
	{ "zone-out", "slow-store", false, store_slow },
	{ "zone-out", "member-cut-from-store", false, member_partitioned },
	{ "zone-out", "restart-reads-stale", false, restart_reads_stale },
	{ "zone-out", "member-frozen", false, member_paused },
	{ "zone-out", "owner-cut-off", false, owner_isolated },
	{ 0 }
};

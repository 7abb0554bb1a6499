/*
 * A zone that is taken out gets no new requests from 3 s after the accepted
 * command on, and gets them again after its return. Judged by the moment of
 * the last request that reached one of its upstreams.
 */
#include "proofs/common.h"

#include "common/tool.h"

#include <signal.h>
#include <string.h>

#define LIMIT_MS 3000
#define ZONE "z2"
#define NO_MEMBER G_MAXUINT

static guint frozen_control = NO_MEMBER; /* index of its member */

/* Requests that reached the zone's upstreams; the last one's moment. */
static guint64 zone_requests(struct proof_run *run, gint64 *last_us)
{
	const struct aub_inventory *inventory = run->fleet->inventory;
	JsonNode *oracle = fleet_oracle(run->fleet);
	guint64 requests = 0;
	JsonObject *upstream;
	guint i;

	*last_us = 0;
	for (i = 0; i < inventory->upstreams->len; i++) {
		guint16 zone = aub_upstream_at(inventory, i)->zone;

		if (strcmp(aub_zone_at(inventory, zone)->name, ZONE) != 0)
			continue;
		upstream = fleet_oracle_upstream(oracle, run->fleet, i);
		requests += tool_json_int(upstream, "requests", 0);
		*last_us = MAX(*last_us,
			       tool_json_int(upstream, "last_new_us", 0));
	}
	json_node_unref(oracle);
	return requests;
}

/* Through the first control that isn't frozen. */
static bool zone_command(struct proof_run *run, const char *way)
{
	const struct fleet_member *member =
		fleet_member(run->fleet, frozen_control == 0 ? 1 : 0);
	char *path = g_strdup_printf("/v1/zones/%s/%s", ZONE, way);
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

/* Out under load with the fault on, back without it. */
static void out_and_back(struct proof_run *run, zone_fault *fault)
{
	gint64 command_us;
	gint64 last_us;
	guint64 before;

	if (!mixed_start(run, true, 0))
		return;
	mixed_load(run, MIXED_RATE, 11, true);
	fleet_run_main_loop_ms(800);
	if (fault)
		fault(run, true);
	fleet_run_main_loop_ms(200);
	command_us = g_get_monotonic_time();
	proof_need(run, zone_command(run, "out"), "an accepted zone out");
	fleet_run_main_loop_ms(6000);
	before = zone_requests(run, &last_us);
	proof_figure(run, "last_new_ms", MAX(last_us - command_us, 0) / 1000.0);
	proof_check(run, last_us - command_us < LIMIT_MS * AUB_MS,
		    "new requests 3 s after the command");
	proof_need(run, before > 0, "requests in the zone before");
	if (fault)
		fault(run, false);
	proof_need(run, zone_command(run, "in"), "an accepted zone in");
	mixed_end(run);
	proof_check(run, zone_requests(run, &last_us) > before,
		    "the zone got nothing after its return");
}

static void no_fault(struct proof_run *run)
{
	out_and_back(run, NULL);
}

/* From the command on the store is slow, and then hangs. */
static void slow_store(struct proof_run *run, bool on)
{
	fleet_store_fault(run->fleet,
			  on ? "{\"delay_ms\":300}" : "{\"clear\":1}");
}

static void store_slow(struct proof_run *run)
{
	out_and_back(run, slow_store);
}

static void cut_from_store(struct proof_run *run, bool on)
{
	/* The last member's way to the store. */
	struct fleet_member *member = fleet_member(run->fleet, 5);
	char *json = g_strdup_printf("{\"port\":%s,\"refuse\":%d,\"reset\":1}",
				     strrchr(member->store_url, ':') + 1, on);

	fleet_proxy_fault(run->fleet, json);
	g_free(json);
}

static void one_cut_from_store(struct proof_run *run)
{
	out_and_back(run, cut_from_store);
}

/* An entry restarts at the moment of the command and reads stale objects. */
static void restart_stale(struct proof_run *run, bool on)
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
	out_and_back(run, restart_stale);
}

/* A member is frozen over the command, and wakes long after. */
static void freeze(struct proof_run *run, bool on)
{
	fleet_signal(fleet_member(run->fleet, 5), FLEET_BOTH,
		     on ? SIGSTOP : SIGCONT);
	if (!on)
		fleet_run_main_loop_ms(300);
}

static void member_frozen(struct proof_run *run)
{
	out_and_back(run, freeze);
}

/*
 * The control of the services' owner is frozen: its entry hears neither of
 * the store nor of peers. It must stop serving by itself, for it can't know
 * that the zone went out.
 */
static void cut_owner(struct proof_run *run, bool on)
{
	struct fleet_member *owner;
	guint i;

	if (!on) {
		fleet_signal(fleet_member(run->fleet, frozen_control),
			     FLEET_CONTROL, SIGCONT);
		frozen_control = NO_MEMBER;
		fleet_run_main_loop_ms(500);
		return;
	}
	owner = proof_owner(run, "calendar");
	for (i = 0; i < run->fleet->members->len; i++)
		if (fleet_member(run->fleet, i) == owner)
			frozen_control = i;
	if (owner)
		fleet_signal(owner, FLEET_CONTROL, SIGSTOP);
}

static void owner_cut_off(struct proof_run *run)
{
	out_and_back(run, cut_owner);
	frozen_control = NO_MEMBER;
}

const struct proof proofs_zone[] = {
	{ "zone-out", "none", true, no_fault },
	{ "zone-out", "slow-store", false, store_slow },
	{ "zone-out", "member-cut-from-store", false, one_cut_from_store },
	{ "zone-out", "restart-reads-stale", false, restart_reads_stale },
	{ "zone-out", "member-frozen", false, member_frozen },
	{ "zone-out", "owner-cut-off", false, owner_cut_off },
	{ 0 }
};

/*
 * What a gateway process does with the store: it takes over what the store
 * holds, passes it on within its zone, and finds other gateways there.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/node_parts.h>
#include <auburnstile/internal/compression.h>

#define LONELY_US (300 * AUB_MS) /* a seed answers within some ms */

/*
 * By then the others are known, and so is who watches the store: if each
 * watched until it knew better, a start would cost calls by the fleet's size.
 * Listings may be old until then.
 */
#define ACQUAINTED_US (1000 * AUB_MS)
#define RECORDS 24 /* gateways that stand in the store, about */
#define FIRST_CONTACTS 3 /* of these */

static void take_routing(struct aub_node *node, struct aub_record *record)
{
	struct aub_routing *routing = record->routing;

	if (!routing)
		return;
	/*
	 * Failure: an answer of the store is older than the one before it.
	 * Symptom: callers see a change taken back. Enough: versions only
	 * rise here.
	 */
	if (routing->version <= node->version)
		return;
	node->version = routing->version;
	aub_gateway_configure(node->gateway, routing);
	aub_placer_configure(node->placer, routing);
	aub_log_begin(AUB_LOG_CONFIGURATION);
	aub_log_number("version", routing->version);
	aub_log_number("revision", record->revision);
	aub_log_number("routes", routing->routes->len);
	aub_log_end();
	aub_node_update_self(node);
}

static void log_upstream(const struct aub_record *record)
{
	const struct aub_upstream_record *upstream = record->upstream;

	aub_log_begin(AUB_LOG_UPSTREAM);
	aub_log_text("id", record->name);
	aub_log_number("revision", record->revision);
	aub_log_text("state", record->removed	 ? "gone" :
			      upstream->draining ? "draining" :
						   "ready");
	if (upstream) {
		aub_log_text("service", upstream->service);
		aub_log_text("address", upstream->address);
		aub_log_text("zone", upstream->zone);
		aub_log_text("version", upstream->version);
		aub_log_number("cold_ms", upstream->warmup_left_ms);
	}
	aub_log_end();
}

/*
 * Failure: power returns to all gateways, and their seeds are the last to
 * start. Symptom: each places for itself, and callers wait, until the seeds
 * are up. Enough: the same few of those that stand in the store are contacted
 * first, and introduce all to each other.
 */
static void take_member(struct aub_node *node,
			const struct aub_member_record *member)
{
	char *address = g_strconcat(member->ip, node->peers_port, NULL);

	if (++node->members_listed <= FIRST_CONTACTS || node->acquainted) {
		aub_peers_add(node->peers, address);
		g_free(address);
	} else {
		g_ptr_array_add(node->contacts, address);
	}
}

static void contact_all(struct aub_node *node)
{
	for (guint i = 0; i < node->contacts->len; i++)
		aub_peers_add(node->peers,
			      g_ptr_array_index(node->contacts, i));
	g_ptr_array_set_size(node->contacts, 0);
}

static void on_changed(enum aub_store_kind kind, struct aub_record *record,
		       void *context)
{
	struct aub_node *node = context;

	if (record->problem) {
		node->records_refused++;
		aub_log_begin(AUB_LOG_RECORD_REFUSED);
		aub_log_text("name", record->name);
		aub_log_text("problem", record->problem);
		aub_log_number("revision", record->revision);
		aub_log_end();
	}
	switch (kind) {
	case AUB_STORE_ROUTING:
		take_routing(node, record);
		break;
	case AUB_STORE_UPSTREAMS:
		if (!record->problem)
			log_upstream(record);
		aub_placer_upstream(node->placer, record->name,
				    record->upstream);
		break;
	case AUB_STORE_ZONES_OUT:
		aub_log_begin(AUB_LOG_ZONE);
		aub_log_text("zone", record->name);
		aub_log_text("state", record->removed ? "in" : "out");
		aub_log_number("revision", record->revision);
		aub_log_end();
		aub_placer_zone_out(node->placer, record->name,
				    !record->removed);
		break;
	case AUB_STORE_ROLLOUTS:
		aub_node_take_order(node, record);
		break;
	case AUB_STORE_MEMBERS:
		if (record->member)
			take_member(node, record->member);
		break;
	case AUB_STORE_KINDS:
		break;
	}
}

static enum aub_watch_duty on_duty(void *context)
{
	struct aub_node *node = context;
	bool alone = aub_peers_all(node->peers)->len == 1;

	if (!alone && !node->acquainted)
		return AUB_WATCH_NONE;
	return aub_peers_watch_duty(node->peers);
}

static guint on_fleet(void *context)
{
	struct aub_node *node = context;

	return aub_peers_count_alive(node->peers);
}

void aub_node_on_announced(enum aub_store_kind kind, gint64 revision,
			   void *context)
{
	struct aub_node *node = context;

	if (node->store)
		aub_store_sync_announce(node->store, kind, revision);
}

/* Heartbeats go out at once, so that the others learn of the change. */
static void on_told(void *context)
{
	aub_node_update_self(context);
}

static void on_listed(enum aub_store_kind kind, void *context)
{
	struct aub_node *node = context;

	if (kind == AUB_STORE_UPSTREAMS)
		node->upstreams_known = true;
	if (kind == AUB_STORE_ROLLOUTS)
		aub_placer_orders_known(node->placer);
	aub_node_update_self(node);
}

#define SHARE_BYTES (48u << 10) /* a datagram's worth, packed */
#define SHARED_LIMIT (4u << 20) /* unpacked; a page of the store is smaller */

/* To the gateways of the same zone: their copy costs no call of the store. */
static void on_share(enum aub_store_kind kind, gint64 after, gint64 until,
		     const char *body, gsize length, void *context)
{
	struct aub_node *node = context;
	struct aub_store_changes *message;
	GBytes *packed;
	gsize size;
	const void *data;

	if (!aub_peers_self_watches(node->peers))
		return;
	packed = aubi_compress(body, length);
	data = g_bytes_get_data(packed, &size);
	if (size <= SHARE_BYTES) {
		message = (struct aub_store_changes *)aub_message_new(
			AUB_MESSAGE_STORE_CHANGES);
		message->kind = kind;
		message->after_revision = (guint64)after;
		message->until_revision = (guint64)until;
		aub_bytes_set(&message->body, data, size);
		aub_peers_send_zone(node->peers, &message->base);
		aub_message_free(&message->base);
	}
	g_bytes_unref(packed);
}

void aub_node_take_shared(struct aub_node *node,
			  const struct aub_store_changes *message)
{
	GBytes *body;
	gsize length;
	const char *text;

	if (!node->store || message->kind >= AUB_STORE_KINDS)
		return;
	body = aubi_decompress(message->body.data, message->body.length,
			   SHARED_LIMIT, "peer", NULL);
	if (!body)
		return;
	text = g_bytes_get_data(body, &length);
	aub_store_sync_take(node->store, (enum aub_store_kind)message->kind,
			    (gint64)message->after_revision, (gint64)message->until_revision,
			    text, length);
	g_bytes_unref(body);
}

/* Neither a seed nor a first contact has answered. */
static void on_lonely_check(void *context, gint64 now_us)
{
	struct aub_node *node = context;

	node->lonely_timer = 0;
	if (aub_peers_count_alive(node->peers) == 0)
		contact_all(node);
}

/*
 * Gateways find each other by their seeds. Some stand in the store for those
 * whose seeds are all gone: a record each costs a call, and any one of them
 * introduces to all.
 */
static void on_enrol(void *context, gint64 now_us)
{
	struct aub_node *node = context;
	const struct aub_member_record member = {
		.ip = node->ip,
		.zone = node->zone,
	};
	guint every = (aub_peers_count_alive(node->peers) + 1) / RECORDS + 1;

	node->enrol_timer = 0;
	node->acquainted = true;
	aub_store_sync_check(node->store);
	contact_all(node);
	if (g_str_hash(node->ip) % every == 0)
		aub_store_sync_enrol(node->store, node->ip, &member);
	else if (!node->members_listed)
		aub_store_sync_list_members(node->store);
}

void aub_node_start_store(struct aub_node *node,
			  const struct aub_node_settings *settings)
{
	const struct aub_store_sync_options options = {
		.platform = node->platform,
		.client = node->client,
		.timers = node->timers,
		.address = settings->store,
		.takes_orders = node->takes_orders,
		.changed = on_changed,
		.told = on_told,
		.share = on_share,
		.duty = on_duty,
		.fleet = on_fleet,
		.listed = on_listed,
		.context = node,
	};
	node->store = aub_store_sync_new(&options);
	aub_store_sync_list_members(node->store);
	node->lonely_timer =
		aub_timer_at(node->timers, "lonely",
			     aub_timer_now(node->timers) + LONELY_US,
			     on_lonely_check, node);
	node->enrol_timer =
		aub_timer_at(node->timers, "enrol",
			     aub_timer_now(node->timers) + ACQUAINTED_US,
			     on_enrol, node);
}

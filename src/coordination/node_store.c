/*
 * The store as used by a gateway process: applies the store's objects, shares
 * changes within the zone and discovers other gateways.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/node_internal.h>
#include <auburnstile/internal/compression.h>

/* A seed answers within milliseconds. */
#define ISOLATION_CHECK_DELAY_US (300 * AUB_MS)

/*
 * By then the other gateways and the watchers of the store are known. If each
 * gateway watched the store from its start, a start of the fleet would cost
 * calls in proportion to its size. Until then, stale listings are accepted.
 */
#define STARTUP_GRACE_US (1000 * AUB_MS)
/* approximate number of gateways listed in the store */
#define MEMBER_RECORDS_TARGET 24
#define FIRST_CONTACTS 3 /* of these, contacted immediately */

static void apply_routing(struct aub_node *node, struct aub_record *record)
{
	struct aub_routing *routing = record->routing;

	if (!routing)
		return;
	/*
	 * An answer of the store may be older than the one before it, and
	 * callers would see a change reverted. Only higher versions are
	 * applied.
	 */
	if (routing->version <= node->config_version)
		return;
	node->config_version = routing->version;
	aub_gateway_configure(node->gateway, routing);
	aub_placer_configure(node->placer, routing);
	aub_log_begin(AUB_LOG_CONFIGURATION);
	aub_log_number("version", routing->version);
	aub_log_number("revision", record->revision);
	aub_log_number("routes", routing->routes->len);
	aub_log_end();
	aub_node_publish_state(node);
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
 * After a power failure the seeds may be the last gateways to start. Until then
 * each gateway would place for itself while callers wait. All gateways
 * therefore contact the same few members listed in the store first, which
 * introduce all gateways to each other.
 */
static void add_member(struct aub_node *node,
		       const struct aub_member_record *member)
{
	char *address = g_strconcat(member->ip, node->peers_port, NULL);

	if (++node->members_listed <= FIRST_CONTACTS ||
	    node->startup_grace_over) {
		aub_peers_add(node->peers, address);
		g_free(address);
	} else {
		g_ptr_array_add(node->pending_contacts, address);
	}
}

static void add_pending_contacts(struct aub_node *node)
{
	for (guint i = 0; i < node->pending_contacts->len; i++)
		aub_peers_add(node->peers,
			      g_ptr_array_index(node->pending_contacts, i));
	g_ptr_array_set_size(node->pending_contacts, 0);
}

static void on_changed(enum aub_store_kind kind, struct aub_record *record,
		       void *context)
{
	struct aub_node *node = context;

	if (record->problem) {
		node->unreadable_records++;
		aub_log_begin(AUB_LOG_RECORD_REFUSED);
		aub_log_text("name", record->name);
		aub_log_text("problem", record->problem);
		aub_log_number("revision", record->revision);
		aub_log_end();
	}
	switch (kind) {
	case AUB_STORE_ROUTING:
		apply_routing(node, record);
		break;
	case AUB_STORE_UPSTREAMS:
		if (!record->problem)
			log_upstream(record);
		aub_placer_update_upstream(node->placer, record->name,
					   record->upstream);
		break;
	case AUB_STORE_EVACUATIONS:
		aub_log_begin(AUB_LOG_ZONE);
		aub_log_text("zone", record->name);
		aub_log_text("state", record->removed ? "in" : "out");
		aub_log_number("revision", record->revision);
		aub_log_end();
		aub_placer_set_zone_evacuated(node->placer, record->name,
					      !record->removed);
		break;
	case AUB_STORE_ROLLOUTS:
		aub_node_apply_rollout_order(node, record);
		break;
	case AUB_STORE_MEMBERS:
		if (record->member)
			add_member(node, record->member);
		break;
	case AUB_STORE_KINDS:
		break;
	}
}

static struct aub_watch_role watch_role(void *context)
{
	struct aub_node *node = context;
	struct aub_watch_role role = aub_peers_watch_role(node->peers);
	bool knows_no_peers = aub_peers_all(node->peers)->len == 1;

	if (!knows_no_peers && !node->startup_grace_over)
		role.duty = AUB_WATCH_NONE;
	return role;
}

static guint count_other_gateways(void *context)
{
	struct aub_node *node = context;

	return aub_peers_count_alive(node->peers);
}

void aub_node_on_revision_announced(enum aub_store_kind kind, gint64 revision,
				    void *context)
{
	struct aub_node *node = context;

	if (node->store)
		aub_store_sync_announce(node->store, kind, revision);
}

/* Sends heartbeats immediately, so that the others learn of the change. */
static void on_changes_applied(void *context)
{
	aub_node_publish_state(context);
}

static void on_listed(enum aub_store_kind kind, void *context)
{
	struct aub_node *node = context;

	if (kind == AUB_STORE_UPSTREAMS)
		node->upstreams_listed = true;
	if (kind == AUB_STORE_ROLLOUTS)
		aub_placer_set_orders_known(node->placer);
	aub_node_publish_state(node);
}

/* Limit for packed changes, which are sent in one datagram. */
#define SHARED_PACKED_MAX_BYTES (48u << 10)
/* Limit for unpacked changes; pages of the store are smaller. */
#define SHARED_UNPACKED_MAX_BYTES (4u << 20)

/* Returns NULL if the body can't be shared. */
static GBytes *shared_body(const struct aub_node *node,
			   enum aub_store_kind kind, const char *body,
			   gsize length)
{
	if (kind == AUB_STORE_ROUTING)
		return node->platform->without_keys(body, length);
	return g_bytes_new_static(body, length);
}

/*
 * Sends the store's answer to the gateways of the same zone, so that these need
 * no store call for it.
 */
static void on_share(enum aub_store_kind kind, gint64 after, gint64 until,
		     const char *body, gsize length, void *context)
{
	struct aub_node *node = context;
	struct aub_store_changes *message;
	GBytes *shared;
	GBytes *packed;
	gsize size;
	const void *data;

	if (!aub_peers_self_is_watcher(node->peers))
		return;
	shared = shared_body(node, kind, body, length);
	if (!shared)
		return;
	data = g_bytes_get_data(shared, &size);
	packed = aubi_compress(data, size);
	g_bytes_unref(shared);
	data = g_bytes_get_data(packed, &size);
	if (size <= SHARED_PACKED_MAX_BYTES) {
		message = (struct aub_store_changes *)aub_message_new(
			AUB_MESSAGE_STORE_CHANGES);
		message->kind = kind;
		message->after_revision = (guint64)after;
		message->until_revision = (guint64)until;
		aub_bytes_set(&message->body, data, size);
		aub_peers_send_to_zone(node->peers, &message->base);
		aub_message_free(&message->base);
	}
	g_bytes_unref(packed);
}

void aub_node_apply_shared_changes(struct aub_node *node,
				   const struct aub_store_changes *message)
{
	GBytes *body;
	gsize length;
	const char *text;

	if (!node->store || message->kind >= AUB_STORE_KINDS)
		return;
	body = aubi_decompress(message->body.data, message->body.length,
			       SHARED_UNPACKED_MAX_BYTES, "peer", NULL);
	if (!body)
		return;
	text = g_bytes_get_data(body, &length);
	aub_store_sync_apply_shared(node->store,
				    (enum aub_store_kind)message->kind,
				    (gint64)message->after_revision,
				    (gint64)message->until_revision, text,
				    length);
	g_bytes_unref(body);
}

/*
 * Contacts all listed members if neither a seed nor a first contact answered.
 */
static void on_isolation_check(void *context, gint64 now_us)
{
	struct aub_node *node = context;

	node->isolation_timer = 0;
	if (aub_peers_count_alive(node->peers) == 0)
		add_pending_contacts(node);
}

/*
 * Gateways find each other through their seeds. Some are also recorded in the
 * store for those whose seeds are all unavailable; only some, because each
 * record costs a call and any one of them introduces all others.
 */
static void on_startup_grace_over(void *context, gint64 now_us)
{
	struct aub_node *node = context;
	const struct aub_member_record member = {
		.ip = node->ip,
		.zone = node->zone,
	};
	guint record_interval = (aub_peers_count_alive(node->peers) + 1) /
					MEMBER_RECORDS_TARGET +
				1;

	node->startup_grace_timer = 0;
	node->startup_grace_over = true;
	aub_store_sync_check_watch_role(node->store);
	add_pending_contacts(node);
	if (g_str_hash(node->ip) % record_interval == 0)
		aub_store_sync_register(node->store, node->ip, &member);
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
		.follows_rollouts = node->rollouts_enabled,
		.changed = on_changed,
		.batch_done = on_changes_applied,
		.share = on_share,
		.watch_role = watch_role,
		.apply_ms = (guint)settings->apply_ms,
		.fleet_size = count_other_gateways,
		.listed = on_listed,
		.context = node,
	};
	node->store = aub_store_sync_new(&options);
	aub_store_sync_list_members(node->store);
	node->isolation_timer = aub_timer_at(node->timers, "lonely",
					     aub_timer_now(node->timers) +
						     ISOLATION_CHECK_DELAY_US,
					     on_isolation_check, node);
	node->startup_grace_timer =
		aub_timer_at(node->timers, "enrol",
			     aub_timer_now(node->timers) + STARTUP_GRACE_US,
			     on_startup_grace_over, node);
}

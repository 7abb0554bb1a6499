/*
 * A gateway process: store, peers, placer and data path, and the answers
 * about itself.
 */
#include <auburnstile/error.h>
#include <auburnstile/incarnation.h>
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/node_parts.h>
#include <auburnstile/internal/pack.h>
#include <auburnstile/internal/problems.h>

#include <string.h>

/*
 * Shares of the fleet's budget that one placer gives out. Two of them may
 * place for a service at once for a while, so neither takes all of it.
 */
#define BUDGET_SHARE 0.7
#define SLACK_SHARE 0.4

/*
 * Callers keep addresses for a while, some three times as long: a VM that
 * stops goes on serving until they have asked anew.
 */
#define KEPT_FACTOR 3
#define STOP_RESERVE_MS 200 /* of the grace time, to end the process */

/*
 * Failure: a request is taken late in a planned stop, and its upstream needs
 * longer than the process has left. Symptom: its connection ends without an
 * answer. Enough: from half of the grace time on nothing new is taken, and
 * the other half is longer than nearly all work.
 */
#define STOP_TAKES_SHARE 0.5
#define STOP_CHECK_US (50 * AUB_MS)

/*
 * A store that is slow or drops its watches is back within seconds. Each
 * change of a service's placer loses its counts: it waits for that.
 */
#define CURRENT_US (4000 * AUB_MS)

/* How late it is noticed that another gateway has to watch the store. */
#define CURRENT_CHECK_US (500 * AUB_MS)

#define LONELY_US (300 * AUB_MS) /* a seed answers within some ms */

/*
 * By then the others are known, and so is who watches the store: if each
 * watched until it knew better, a start would cost calls by the fleet's size.
 * Listings may be old until then.
 */
#define ACQUAINTED_US (1000 * AUB_MS)
#define RECORDS 24 /* gateways that stand in the store, about */
#define FIRST_CONTACTS 3 /* of these */

static bool is_current(const struct aub_node *node)
{
	return node->store && aub_store_sync_lost_us(node->store) < CURRENT_US;
}

static void update_self(struct aub_node *node)
{
	struct aub_peer_state state = {
		.ready = aub_node_is_ready(node),
		.stopping = node->stopping,
		.current = is_current(node),
		.hears = node->store && !aub_store_sync_lost_us(node->store),
		.config_version = node->version,
	};

	for (guint i = 0; node->store && i < AUB_STORE_KINDS; i++)
		state.revisions[i] =
			aub_store_sync_known(node->store,
					     (enum aub_store_kind)i);
	aub_peers_set_self(node->peers, &state);
}

static void on_current_check(void *context, gint64 now_us)
{
	struct aub_node *node = context;

	update_self(node);
	aub_store_sync_check(node->store);
}

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
	update_self(node);
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

	if (++node->members_listed <= FIRST_CONTACTS) {
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

static void on_announced(enum aub_store_kind kind, gint64 revision,
			 void *context)
{
	struct aub_node *node = context;

	if (node->store)
		aub_store_sync_announce(node->store, kind, revision);
}

/* Heartbeats go out at once, so that the others learn of the change. */
static void on_told(void *context)
{
	update_self(context);
}

static void on_listed(enum aub_store_kind kind, void *context)
{
	struct aub_node *node = context;

	if (kind == AUB_STORE_UPSTREAMS)
		node->upstreams_known = true;
	update_self(node);
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
	packed = aubi_pack(body, length);
	data = g_bytes_get_data(packed, &size);
	if (size <= SHARE_BYTES) {
		message = (struct aub_store_changes *)aub_message_new(
			AUB_MESSAGE_STORE_CHANGES);
		message->kind = kind;
		message->after = (guint64)after;
		message->until = (guint64)until;
		aub_bytes_set(&message->body, data, size);
		aub_peers_send_zone(node->peers, &message->base);
		aub_message_free(&message->base);
	}
	g_bytes_unref(packed);
}

static void take_shared(struct aub_node *node,
			const struct aub_store_changes *message)
{
	GBytes *body;
	gsize length;
	const char *text;

	if (!node->store || message->kind >= AUB_STORE_KINDS)
		return;
	body = aubi_unpack(message->body.data, message->body.length,
			   SHARED_LIMIT, "peer", NULL);
	if (!body)
		return;
	text = g_bytes_get_data(body, &length);
	aub_store_sync_take(node->store, (enum aub_store_kind)message->kind,
			    (gint64)message->after, (gint64)message->until,
			    text, length);
	g_bytes_unref(body);
}

static void take_crashes(struct aub_node *node,
			 const struct aub_crashes *message)
{
	for (guint i = 0; node->gateway && i < message->crashes->len; i++) {
		const struct aub_crash_record *record =
			g_ptr_array_index(message->crashes, i);

		aub_gateway_learn_crash(node->gateway, record->fingerprint,
					record->deaths);
	}
}

static void on_crashed(guint64 fingerprint, guint deaths, void *context)
{
	struct aub_node *node = context;
	struct aub_crashes *message =
		(struct aub_crashes *)aub_message_new(AUB_MESSAGE_CRASHES);
	struct aub_crash_record *record = aub_crash_record_new();

	record->fingerprint = fingerprint;
	record->deaths = deaths;
	g_ptr_array_add(message->crashes, record);
	aub_peers_send_all(node->peers, &message->base);
	aub_message_free(&message->base);
}

static void on_peer_message(struct aub_message *message, void *context)
{
	struct aub_node *node = context;

	if (message->type == AUB_MESSAGE_CRASHES) {
		take_crashes(node, (struct aub_crashes *)message);
		aub_message_free(message);
	} else if (message->type == AUB_MESSAGE_STORE_CHANGES) {
		take_shared(node, (struct aub_store_changes *)message);
		aub_message_free(message);
	} else if (node->placer) {
		aub_placer_message(node->placer, message);
	} else {
		aub_message_free(message);
	}
}

static void on_peer_lost(guint64 incarnation, void *context)
{
	struct aub_node *node = context;

	if (node->placer)
		aub_placer_peer_lost(node->placer, incarnation);
}

static void limits_of(const struct aub_node_settings *settings,
		      struct aub_placement_limits *limits)
{
	*limits = (struct aub_placement_limits){
		.retry_ratio =
			BUDGET_SHARE * (double)settings->retry_percent / 100,
		.retry_slack = (guint)(SLACK_SHARE * settings->retry_slack),
		.window_us = (gint64)(settings->retry_window_s * AUB_SECOND),
	};
}

static void add_seeds(struct aub_node *node,
		      const struct aub_node_settings *settings)
{
	for (guint i = 0; settings->seeds && settings->seeds[i]; i++) {
		char *host = NULL;
		char *address;

		if (!aub_address_parse(settings->seeds[i], &host, NULL))
			continue;
		address = g_strconcat(host, node->peers_port, NULL);
		aub_peers_add(node->peers, address);
		g_free(address);
		g_free(host);
	}
}

static bool start_listeners(struct aub_node *node,
			    const struct aub_node_settings *settings,
			    GError **error)
{
	const struct aub_gateway_options gateway = {
		.address = settings->callers,
		.platform = node->platform,
		.poller = node->poller,
		.timers = node->timers,
		.client = node->client,
		.placer = node->placer,
		.metrics = node->metrics,
		.crashed = on_crashed,
		.context = node,
	};

	node->gateway = aub_gateway_new(&gateway, error);
	if (!node->gateway)
		return false;
	node->directory =
		aub_http_service_new(node->poller, node->timers,
				     settings->directory, aub_node_on_directory,
				     node, error);
	if (!node->directory)
		return false;
	node->readiness =
		aub_http_service_new(node->poller, node->timers,
				     settings->readiness, aub_node_on_readiness,
				     node, error);
	if (!node->readiness)
		return false;
	node->exporter = aub_http_service_new(node->poller, node->timers,
					      settings->metrics,
					      aub_node_on_export, node, error);
	return node->exporter != NULL;
}

static guint32 capacity_of(const struct aub_node_settings *settings)
{
	return (guint32)(settings->processor_share * settings->processor_cores *
			 1000);
}

static bool start_peers(struct aub_node *node,
			const struct aub_node_settings *settings,
			GError **error)
{
	guint64 incarnation = aub_incarnation_new();
	const struct aub_peers_options peers = {
		.name = settings->name,
		.zone = settings->zone,
		.address = settings->peers,
		.callers_address = settings->callers,
		.capacity = capacity_of(settings),
		.incarnation = incarnation,
		.poller = node->poller,
		.timers = node->timers,
		.message = on_peer_message,
		.announced = on_announced,
		.lost = on_peer_lost,
		.context = node,
	};
	struct aub_placer_options placer = {
		.platform = node->platform,
		.client = node->client,
		.timers = node->timers,
		.incarnation = incarnation,
		.zone = node->zone,
	};

	node->peers = aub_peers_new(&peers, error);
	if (!node->peers)
		return false;
	placer.peers = node->peers;
	limits_of(settings, &placer.limits);
	node->placer = aub_placer_new(&placer);
	return true;
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

static void start_store(struct aub_node *node,
			const struct aub_node_settings *settings)
{
	const struct aub_store_sync_options options = {
		.platform = node->platform,
		.client = node->client,
		.timers = node->timers,
		.address = settings->store,
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

struct aub_node *aub_node_new(const struct aub_node_settings *settings,
			      const struct aub_platform *platform,
			      struct aub_timer_service *timers, GError **error)
{
	struct aub_node *node = g_new0(struct aub_node, 1);

	node->platform = platform;
	node->timers = timers;
	node->poller = aub_poller_new();
	node->client = aub_http_client_new(node->poller, node->timers);
	node->metrics = aub_metrics_new();
	node->contacts = g_ptr_array_new_with_free_func(g_free);
	node->zone = g_strdup(settings->zone);
	node->peers_port = g_strdup(strrchr(settings->peers, ':'));
	aub_address_parse(settings->peers, &node->ip, NULL);
	node->address_ms = (guint)settings->address_ms;
	node->grace_ms = (guint)(settings->grace_s * 1000);
	if (!start_peers(node, settings, error) ||
	    !start_listeners(node, settings, error)) {
		aub_node_free(node);
		return NULL;
	}
	add_seeds(node, settings);
	start_store(node, settings);
	node->current_timer =
		aub_timer_every(node->timers, "current", CURRENT_CHECK_US,
				on_current_check, node);
	aub_log_begin(AUB_LOG_START);
	aub_log_text("zone", node->zone);
	aub_log_number("incarnation",
		       (gint64)aub_peers_self(node->peers)->incarnation);
	aub_log_end();
	return node;
}

void aub_node_free(struct aub_node *node)
{
	if (!node)
		return;
	aub_timer_cancel(node->timers, node->current_timer);
	aub_timer_cancel(node->timers, node->lonely_timer);
	aub_timer_cancel(node->timers, node->enrol_timer);
	aub_timer_cancel(node->timers, node->stop_timer);
	aub_store_sync_free(node->store);
	aub_gateway_free(node->gateway);
	aub_http_service_free(node->directory);
	aub_http_service_free(node->readiness);
	aub_http_service_free(node->exporter);
	aub_placer_free(node->placer);
	aub_peers_free(node->peers);
	aub_http_client_free(node->client);
	aub_metrics_free(node->metrics);
	g_ptr_array_unref(node->contacts);
	aub_poller_free(node->poller);
	g_free(node->zone);
	g_free(node->peers_port);
	g_free(node->ip);
	g_free(node);
}

void aub_node_reload(struct aub_node *node,
		     const struct aub_node_settings *settings)
{
	struct aub_placement_limits limits;

	limits_of(settings, &limits);
	aub_placer_set_limits(node->placer, &limits);
	node->address_ms = (guint)settings->address_ms;
	node->grace_ms = (guint)(settings->grace_s * 1000);
	add_seeds(node, settings);
	aub_log_begin(AUB_LOG_RELOAD);
	aub_log_end();
}

static void on_stop_check(void *context, gint64 now_us)
{
	struct aub_node *node = context;
	gint64 age_us = now_us - node->stop_us;
	gint64 last_us = (node->grace_ms - STOP_RESERVE_MS) * AUB_MS;
	gint64 takes_us = (gint64)(STOP_TAKES_SHARE * node->grace_ms) * AUB_MS;
	gint64 close_us =
		MIN(node->address_ms * AUB_MS * KEPT_FACTOR, takes_us);

	if (age_us >= close_us)
		aub_gateway_close(node->gateway);
	if ((age_us >= close_us && !aub_gateway_requests(node->gateway) &&
	     !aub_gateway_connections(node->gateway)) ||
	    age_us >= last_us) {
		aub_log_begin(AUB_LOG_STOP);
		aub_log_number("ms", age_us / AUB_MS);
		aub_log_number("requests", aub_gateway_requests(node->gateway));
		aub_log_end();
		aub_decision_log_flush();
		node->stopped(node->stopped_context);
	}
}

void aub_node_stop(struct aub_node *node, void (*stopped)(void *context),
		   void *context)
{
	if (node->stopping)
		return;
	node->stopping = true;
	node->stopped = stopped;
	node->stopped_context = context;
	node->stop_us = aub_timer_now(node->timers);
	aub_log_begin(AUB_LOG_STOPPING);
	aub_log_end();
	update_self(node);
	aub_gateway_stop(node->gateway);
	aub_store_sync_leave(node->store);
	node->stop_timer = aub_timer_every(node->timers, "stop", STOP_CHECK_US,
					   on_stop_check, node);
}

/*
 * A gateway process: store, peers, placer and data path, and the answers
 * about itself.
 */
#include <auburnstile/error.h>
#include <auburnstile/incarnation.h>
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/gateway.h>
#include <auburnstile/internal/http_service.h>
#include <auburnstile/internal/node.h>
#include <auburnstile/internal/pack.h>
#include <auburnstile/internal/store_sync.h>
#include <auburnstile/internal/problems.h>

#include <string.h>

#define FIELD(name) offsetof(struct aub_node_settings, name)

const struct aub_setting aub_node_setting_table[] = {
	{ .key = "name",
	  .type = AUB_SETTING_STRING,
	  .offset = FIELD(name),
	  .required = true,
	  .help = "name of the VM" },
	{ .key = "zone",
	  .type = AUB_SETTING_STRING,
	  .offset = FIELD(zone),
	  .required = true,
	  .help = "its availability zone" },
	{ .key = "callers",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(callers),
	  .required = true,
	  .help = "address for callers" },
	{ .key = "directory",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(directory),
	  .required = true,
	  .help = "address where callers ask which addresses to use" },
	{ .key = "readiness",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(readiness),
	  .required = true,
	  .help = "address that tells whether this VM is ready" },
	{ .key = "peers",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(peers),
	  .required = true,
	  .help = "address for datagrams of other gateways" },
	{ .key = "metrics",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(metrics),
	  .required = true,
	  .help = "address for counters, as text" },
	{ .key = "store",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(store),
	  .required = true,
	  .help = "address of the platform's store" },
	{ .key = "seeds",
	  .type = AUB_SETTING_STRINGS,
	  .offset = FIELD(seeds),
	  .help = "addresses of other gateways; their IP numbers count" },
	{ .key = "grace_ms",
	  .type = AUB_SETTING_INTEGER,
	  .offset = FIELD(grace_ms),
	  .minimum = 500,
	  .maximum = 600000,
	  .fallback = "6000",
	  .help = "most time a planned stop takes, ms" },
	{ .key = "retry_percent",
	  .type = AUB_SETTING_INTEGER,
	  .offset = FIELD(retry_percent),
	  .minimum = 0,
	  .maximum = 100,
	  .fallback = "10",
	  .help = "second attempts a hundred first ones, fleet-wide" },
	{ .key = "retry_slack",
	  .type = AUB_SETTING_INTEGER,
	  .offset = FIELD(retry_slack),
	  .minimum = 0,
	  .maximum = 100000,
	  .fallback = "10",
	  .help = "second attempts beyond that in a window" },
	{ .key = "retry_window_ms",
	  .type = AUB_SETTING_INTEGER,
	  .offset = FIELD(retry_window_ms),
	  .minimum = 100,
	  .maximum = 600000,
	  .fallback = "10000",
	  .help = "window of the budget of second attempts, ms" },
	{ .key = "address_ms",
	  .type = AUB_SETTING_INTEGER,
	  .offset = FIELD(address_ms),
	  .minimum = 100,
	  .maximum = 60000,
	  .fallback = "1500",
	  .help = "how long callers may keep addresses, ms" },
	{ .key = "log_level",
	  .type = AUB_SETTING_STRING,
	  .offset = FIELD(log_level),
	  .fallback = "warning",
	  .help = "error, warning, message, info or debug" },
	{ 0 },
};

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

/* Callers in a zone that is down to one VM get the others', too. */
#define OWN_ZONE_LEAST 2
#define LONELY_US (300 * AUB_MS) /* a seed answers within some ms */
#define ENROL_US (1000 * AUB_MS) /* by then the others are known */
#define RECORDS 24 /* gateways that stand in the store, about */

#define ADDRESSES_MOST 64

/* Callers are sent to nobody who has been silent for longer. */
#define DIRECTORY_US (4000 * AUB_MS)

struct aub_node {
	const struct aub_platform *platform;
	struct aub_timer_service *timers;
	struct aub_poller *poller;
	struct aub_http_client *client;
	struct aub_metrics *metrics;
	struct aub_peers *peers;
	struct aub_placer *placer;
	struct aub_store_sync *store;
	struct aub_gateway *gateway;
	struct aub_http_service *directory;
	struct aub_http_service *readiness;
	struct aub_http_service *exporter;
	char *zone;
	char *peers_port; /* ":port" */
	guint address_ms;
	guint grace_ms;
	gint64 version; /* of the configuration in force */
	bool upstreams_known;
	bool stopping;
	gint64 stop_us; /* when the stop began */
	guint current_timer;
	guint lonely_timer;
	guint enrol_timer;
	char *ip; /* of the peers' address */
	guint stop_timer;
	void (*stopped)(void *context);
	void *stopped_context;
};

static bool is_ready(const struct aub_node *node)
{
	return node->version && node->upstreams_known && !node->stopping;
}

static bool is_current(const struct aub_node *node)
{
	return node->store && aub_store_sync_lost_us(node->store) < CURRENT_US;
}

static void update_self(struct aub_node *node)
{
	struct aub_peer_state state = {
		.ready = is_ready(node),
		.stopping = node->stopping,
		.current = is_current(node),
		.hears = node->store && !aub_store_sync_lost_us(node->store),
		.config_version = node->version,
	};

	for (guint i = 0; node->store && i < AUB_STORE_KINDS; i++)
		state.news[i] = aub_store_sync_known(node->store,
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
	aub_log_begin(AUB_EVENT_CONFIGURATION);
	aub_log_number("version", routing->version);
	aub_log_number("revision", record->revision);
	aub_log_number("routes", routing->routes->len);
	aub_log_end();
	update_self(node);
}

static void log_upstream(const struct aub_record *record)
{
	const struct aub_upstream_record *upstream = record->upstream;

	aub_log_begin(AUB_EVENT_UPSTREAM);
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

static void on_changed(enum aub_store_kind kind, struct aub_record *record,
		       void *context)
{
	struct aub_node *node = context;

	if (record->problem) {
		aub_log_begin(AUB_EVENT_RECORD_REFUSED);
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
		aub_log_begin(AUB_EVENT_ZONE);
		aub_log_text("zone", record->name);
		aub_log_text("state", record->removed ? "in" : "out");
		aub_log_number("revision", record->revision);
		aub_log_end();
		aub_placer_zone_out(node->placer, record->name,
				    !record->removed);
		break;
	case AUB_STORE_MEMBERS:
		if (record->member) {
			char *address = g_strconcat(record->member->ip,
						    node->peers_port, NULL);

			aub_peers_add(node->peers, address);
			g_free(address);
		}
		break;
	case AUB_STORE_KINDS:
		break;
	}
}

static bool on_watches(void *context)
{
	struct aub_node *node = context;

	return aub_peers_self_watches(node->peers);
}

static void on_news(enum aub_store_kind kind, gint64 revision, void *context)
{
	struct aub_node *node = context;

	if (node->store)
		aub_store_sync_news(node->store, kind, revision);
}

/* Beacons go out at once, so that the others learn of the change. */
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

/* Addresses of gateways that take callers; of one zone, or of all. */
static GPtrArray *addresses_in(const struct aub_node *node, const char *zone)
{
	const GPtrArray *all = aub_peers_all(node->peers);
	GPtrArray *list = g_ptr_array_new();
	gint64 now = aub_timer_now(node->timers);

	for (guint i = 0; i < all->len && list->len < ADDRESSES_MOST; i++) {
		const struct aub_peer *peer = g_ptr_array_index(all, i);

		if (peer->alive && peer->ready && !peer->stopping &&
		    (peer->self || now - peer->heard_us < DIRECTORY_US) &&
		    (!zone || !strcmp(zone, peer->zone)))
			g_ptr_array_add(list, peer->callers_address);
	}
	return list;
}

/*
 * Callers get gateways of their own zone: an answer that crosses a zone
 * costs 4 to 6% of what it is worth.
 */
static void on_directory(const struct aub_http_head *head,
			 struct aub_http_reply *reply, void *context)
{
	struct aub_node *node = context;
	GPtrArray *list;
	char *zone;

	if (!aub_http_path_is(head->target, node->platform->addresses_path))
		return;
	zone = aub_http_query(head->target, node->platform->zone_parameter);
	list = addresses_in(node, zone);
	if (list->len < OWN_ZONE_LEAST) {
		g_ptr_array_unref(list);
		list = addresses_in(node, NULL);
	}
	reply->status = list->len ? 200 : 503;
	reply->type = "application/json";
	reply->body = node->platform->addresses_body(list, node->address_ms);
	g_ptr_array_unref(list);
	g_free(zone);
}

static void on_readiness(const struct aub_http_head *head,
			 struct aub_http_reply *reply, void *context)
{
	struct aub_node *node = context;

	if (aub_http_path_is(head->target, node->platform->ready_path))
		reply->status = is_ready(node) ? 200 : 503;
}

static void export_gauge(struct aub_node *node, const char *name,
			 const char *help, gint64 value)
{
	aub_metrics_set(node->metrics,
			aub_metrics_gauge(node->metrics, name, NULL, help),
			value);
}

static void on_export(const struct aub_http_head *head,
		      struct aub_http_reply *reply, void *context)
{
	struct aub_node *node = context;
	const struct aub_placer_counts *counts =
		aub_placer_counts(node->placer);
	gint64 now = aub_timer_now(node->timers);

	if (!aub_http_path_is(head->target, "/metrics"))
		return;
	export_gauge(node, "auburnstile_config_version",
		     "configuration in force", node->version);
	export_gauge(node, "auburnstile_requests_under_way", "now",
		     aub_gateway_requests(node->gateway));
	export_gauge(node, "auburnstile_caller_connections", "open now",
		     aub_gateway_connections(node->gateway));
	export_gauge(node, "auburnstile_upstream_connections", "opened so far",
		     (gint64)aub_http_client_opened(node->client));
	export_gauge(node, "auburnstile_store_calls", "so far",
		     (gint64)aub_store_sync_calls(node->store));
	export_gauge(node, "auburnstile_store_age_ms",
		     "since the store last told of upstreams",
		     (now - aub_store_sync_heard_us(node->store,
						    AUB_STORE_UPSTREAMS)) /
			     AUB_MS);
	export_gauge(node, "auburnstile_placer_asked",
		     "requests that asked for an upstream",
		     (gint64)counts->asked);
	export_gauge(node, "auburnstile_placer_decided",
		     "asked here, by any gateway", (gint64)counts->placed_here);
	export_gauge(node, "auburnstile_placer_alone",
		     "placed for want of a placer",
		     (gint64)counts->placed_alone);
	export_gauge(node, "auburnstile_placer_passed_by",
		     "placers that did not answer in time",
		     (gint64)counts->passed_by);
	export_gauge(node, "auburnstile_probes", "sent so far",
		     (gint64)counts->probes);
	export_gauge(node, "auburnstile_log_dropped",
		     "lines about successes that found no room",
		     (gint64)aub_decision_log_dropped(AUB_LOG_CALM));
	reply->status = 200;
	reply->type = "text/plain; version=0.0.4";
	reply->body = aub_metrics_text(node->metrics);
}

static void limits_of(const struct aub_node_settings *settings,
		      struct aub_placement_limits *limits)
{
	*limits = (struct aub_placement_limits){
		.retry_ratio =
			BUDGET_SHARE * (double)settings->retry_percent / 100,
		.retry_slack =
			(guint)(SLACK_SHARE * (double)settings->retry_slack),
		.window_us = settings->retry_window_ms * AUB_MS,
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
	node->directory = aub_http_service_new(node->poller, node->timers,
					       settings->directory,
					       on_directory, node, error);
	if (!node->directory)
		return false;
	node->readiness = aub_http_service_new(node->poller, node->timers,
					       settings->readiness,
					       on_readiness, node, error);
	if (!node->readiness)
		return false;
	node->exporter =
		aub_http_service_new(node->poller, node->timers,
				     settings->metrics, on_export, node, error);
	return node->exporter != NULL;
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
		.incarnation = incarnation,
		.poller = node->poller,
		.timers = node->timers,
		.message = on_peer_message,
		.news = on_news,
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

static guint count_alive(const struct aub_node *node)
{
	const GPtrArray *all = aub_peers_all(node->peers);
	guint count = 0;

	for (guint i = 0; i < all->len; i++)
		count += ((struct aub_peer *)g_ptr_array_index(all, i))->alive;
	return count;
}

/* No seed has answered: somebody may stand in the store. */
static void on_lonely_check(void *context, gint64 now_us)
{
	struct aub_node *node = context;

	node->lonely_timer = 0;
	if (count_alive(node) <= 1)
		aub_store_sync_list_members(node->store);
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
	guint every = MAX(count_alive(node) / RECORDS, 1);

	node->enrol_timer = 0;
	if (g_str_hash(node->ip) % every == 0)
		aub_store_sync_enrol(node->store, node->ip, &member);
	else
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
		.watches = on_watches,
		.listed = on_listed,
		.context = node,
	};
	node->store = aub_store_sync_new(&options);
	node->lonely_timer =
		aub_timer_at(node->timers, "lonely",
			     aub_timer_now(node->timers) + LONELY_US,
			     on_lonely_check, node);
	node->enrol_timer = aub_timer_at(node->timers, "enrol",
					 aub_timer_now(node->timers) + ENROL_US,
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
	node->zone = g_strdup(settings->zone);
	node->peers_port = g_strdup(strrchr(settings->peers, ':'));
	aub_address_parse(settings->peers, &node->ip, NULL);
	node->address_ms = (guint)settings->address_ms;
	node->grace_ms = (guint)settings->grace_ms;
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
	aub_log_begin(AUB_EVENT_START);
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
	node->grace_ms = (guint)settings->grace_ms;
	add_seeds(node, settings);
	aub_log_begin(AUB_EVENT_RELOAD);
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
		aub_log_begin(AUB_EVENT_STOP);
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
	aub_log_begin(AUB_EVENT_STOPPING);
	aub_log_end();
	update_self(node);
	aub_gateway_stop(node->gateway);
	aub_store_sync_leave(node->store);
	node->stop_timer = aub_timer_every(node->timers, "stop", STOP_CHECK_US,
					   on_stop_check, node);
}

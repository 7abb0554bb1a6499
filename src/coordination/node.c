/*
 * A gateway process: store, peers, placer, data path, and the HTTP endpoints
 * for address lookups, readiness and metrics.
 */
#include <auburnstile/error.h>
#include <auburnstile/incarnation.h>
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/node_internal.h>
#include <auburnstile/internal/problems.h>

#include <arpa/inet.h>
#include <string.h>

/*
 * Shares of the fleet's retry budget that the gateways earn. The rest is for
 * retries that arrive later than they were admitted, and for gateways that are
 * not known to the others yet.
 */
#define RETRY_BUDGET_SHARE 0.95
#define RETRY_SLACK_SHARE 0.9

/*
 * Callers cache addresses, some for three times as long as they should
 * (address_ms). A stopping VM keeps serving until they have looked up their
 * addresses again.
 */
#define ADDRESS_CACHE_FACTOR 3
/*
 * Parts of the grace time that are reserved for the process exit, and before it
 * for the last answers to reach their callers. A short grace time is not used
 * up by them.
 */
#define STOP_RESERVE_MS 200
#define STOP_ANSWER_MS 100
#define STOP_RESERVE_MAX_SHARE (1.0 / 12)
#define STOP_ANSWER_MAX_SHARE (1.0 / 24)

/* No connection is accepted in the rest of the grace time. */
#define STOP_ACCEPT_SHARE 0.5
#define STOP_CHECK_PERIOD_US (50 * AUB_MS)

/*
 * A gateway that has not reached the store for longer than this ranks behind
 * those that reach it. Shorter outages are tolerated: a store that is slow or
 * drops its watches is back within seconds, and each change of a service's
 * placer loses the placer's slot counts.
 */
#define STORE_OUTAGE_TOLERATED_US (4000 * AUB_MS)

/*
 * Maximum delay until this process notices that the zone needs another store
 * watcher.
 */
#define STORE_CHECK_PERIOD_US (500 * AUB_MS)

static bool is_store_current(const struct aub_node *node)
{
	return node->store && aub_store_sync_unavailable_us(node->store) <
				      STORE_OUTAGE_TOLERATED_US;
}

void aub_node_publish_state(struct aub_node *node)
{
	struct aub_peers_self_state state = {
		.ready = aub_node_is_ready(node),
		.stopping = node->stopping,
		.store_current = is_store_current(node),
		.store_reachable = node->store &&
				   !aub_store_sync_unavailable_us(node->store),
		.egress_down = aub_egress_monitor_is_demoted(node->egress),
		.config_version = node->config_version,
	};

	for (guint i = 0; node->store && i < AUB_STORE_KINDS; i++)
		state.revisions[i] =
			aub_store_sync_known_revision(node->store,
						      (enum aub_store_kind)i);
	aub_peers_publish_state(node->peers, &state);
}

static void on_store_check(void *context, gint64 now_us)
{
	struct aub_node *node = context;

	aub_node_publish_state(node);
	aub_store_sync_check_watch_role(node->store);
}

static void apply_reported_crashes(struct aub_node *node,
				   const struct aub_crashes *message)
{
	for (guint i = 0; node->gateway && i < message->crashes->len; i++) {
		const struct aub_crash_record *record =
			g_ptr_array_index(message->crashes, i);

		aub_gateway_add_reported_crashes(node->gateway,
						 record->fingerprint,
						 record->crash_count);
	}
}

static void on_crashed(guint64 fingerprint, guint crash_count, void *context)
{
	struct aub_node *node = context;
	struct aub_crashes *message =
		(struct aub_crashes *)aub_message_new(AUB_MESSAGE_CRASHES);
	struct aub_crash_record *record = aub_crash_record_new();

	record->fingerprint = fingerprint;
	record->crash_count = crash_count;
	g_ptr_array_add(message->crashes, record);
	aub_peers_send_to_all(node->peers, &message->base);
	aub_message_free(&message->base);
}

static void on_peer_message(struct aub_message *message, void *context)
{
	struct aub_node *node = context;

	if (message->type == AUB_MESSAGE_CRASHES) {
		apply_reported_crashes(node, (struct aub_crashes *)message);
		aub_message_free(message);
	} else if (message->type == AUB_MESSAGE_STORE_CHANGES) {
		aub_node_apply_shared_changes(node, (struct aub_store_changes *)
							    message);
		aub_message_free(message);
	} else if (node->placer) {
		aub_placer_handle_message(node->placer, message);
	} else {
		aub_message_free(message);
	}
}

static void on_peer_lost(guint64 incarnation, void *context)
{
	struct aub_node *node = context;

	if (node->placer)
		aub_placer_on_peer_lost(node->placer, incarnation);
}

static bool pick_check_target(const char *id, const GPtrArray *used,
			      struct aub_check_target *target, void *context)
{
	struct aub_node *node = context;

	return aub_placer_pick_check_target(node->placer, id, used, target);
}

static void on_check_answer(const struct aub_check_target *target,
			    const struct aub_http_head *head, void *context)
{
	struct aub_node *node = context;

	aub_placer_observe_check(node->placer, target, head);
}

static void on_egress_state(enum aub_egress_state state, void *context)
{
	struct aub_node *node = context;

	aub_node_publish_state(node);
	aub_gateway_on_egress_state(node->gateway, state);
}

static void on_links_cleared(void *context)
{
	struct aub_node *node = context;

	aub_gateway_on_links_cleared(node->gateway);
}

static void start_egress_monitor(struct aub_node *node)
{
	const struct aub_egress_monitor_options options = {
		.timers = node->timers,
		.client = node->client,
		.pick_target = pick_check_target,
		.on_check_answer = on_check_answer,
		.on_state = on_egress_state,
		.on_links_cleared = on_links_cleared,
		.context = node,
	};

	node->egress = aub_egress_monitor_new(&options);
}

static void placement_limits_of(const struct aub_node_settings *settings,
				struct aub_placement_limits *limits)
{
	*limits = (struct aub_placement_limits){
		.retry_ratio = RETRY_BUDGET_SHARE *
			       aub_node_settings_retry_ratio(settings),
		.retry_slack = RETRY_SLACK_SHARE * settings->retry_slack,
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
		.peers = node->peers,
		.egress = node->egress,
		.relay_address = settings->peers,
		.metrics = node->metrics,
		.on_crash = on_crashed,
		.context = node,
	};

	node->gateway = aub_gateway_new(&gateway, error);
	if (!node->gateway)
		return false;
	node->directory =
		aub_http_listener_new(node->poller, node->timers,
				      settings->directory,
				      aub_node_on_directory, node, error);
	if (!node->directory)
		return false;
	node->readiness =
		aub_http_listener_new(node->poller, node->timers,
				      settings->readiness,
				      aub_node_on_readiness, node, error);
	if (!node->readiness)
		return false;
	node->metrics_service =
		aub_http_listener_new(node->poller, node->timers,
				      settings->metrics, aub_node_on_metrics,
				      node, error);
	return node->metrics_service != NULL;
}

static guint32 cpu_capacity_of(const struct aub_node_settings *settings)
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
		.capacity = cpu_capacity_of(settings),
		.incarnation = incarnation,
		.poller = node->poller,
		.timers = node->timers,
		.on_message = on_peer_message,
		.on_revision = aub_node_on_revision_announced,
		.on_lost = on_peer_lost,
		.context = node,
	};
	struct aub_placer_options placer = {
		.platform = node->platform,
		.client = node->client,
		.timers = node->timers,
		.egress = node->egress,
		.incarnation = incarnation,
		.zone = node->zone,
		.bootstrap = settings->bootstrap,
		.rollouts = { .share = settings->rollout_share,
			      .slack = settings->rollout_slack },
		.store_rollout_state = aub_node_store_rollout_state,
		.context = node,
	};

	node->peers = aub_peers_new(&peers, error);
	if (!node->peers)
		return false;
	placer.peers = node->peers;
	placement_limits_of(settings, &placer.limits);
	node->placer = aub_placer_new(&placer);
	return true;
}

static bool check_source_ip(const char *ip, GError **error)
{
	struct in_addr parsed;

	if (!ip || !*ip || inet_pton(AF_INET, ip, &parsed) == 1)
		return true;
	aub_error_set(error, AUB_ERROR_INVALID, "settings", "source_ip",
		      "\"%s\" is not an IPv4 address", ip);
	return false;
}

struct aub_node *aub_node_new(const struct aub_node_settings *settings,
			      const struct aub_platform *platform,
			      struct aub_timer_service *timers, GError **error)
{
	struct aub_node *node;

	if (!check_source_ip(settings->source_ip, error))
		return NULL;
	node = g_new0(struct aub_node, 1);

	node->platform = platform;
	node->timers = timers;
	node->poller = aub_poller_new();
	node->client = aub_http_client_new(node->poller, node->timers);
	aub_http_client_set_source(node->client, settings->source_ip);
	node->metrics = aub_metrics_new();
	node->exported_quotas = g_hash_table_new(NULL, NULL);
	node->pending_contacts = g_ptr_array_new_with_free_func(g_free);
	node->rollouts_enabled = settings->rollout_share > 0;
	aub_node_rollouts_init(node);
	node->zone = g_strdup(settings->zone);
	node->peers_port = g_strdup(strrchr(settings->peers, ':'));
	aub_address_parse(settings->peers, &node->ip, NULL);
	node->address_ms = (guint)settings->address_ms;
	node->grace_ms = (guint)(settings->grace_s * 1000);
	start_egress_monitor(node);
	if (!start_peers(node, settings, error) ||
	    !start_listeners(node, settings, error)) {
		aub_node_free(node);
		return NULL;
	}
	add_seeds(node, settings);
	aub_node_start_store(node, settings);
	node->store_check_timer =
		aub_timer_every(node->timers, "current", STORE_CHECK_PERIOD_US,
				on_store_check, node);
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
	aub_timer_cancel(node->timers, node->store_check_timer);
	aub_timer_cancel(node->timers, node->isolation_timer);
	aub_timer_cancel(node->timers, node->startup_grace_timer);
	aub_timer_cancel(node->timers, node->stop_timer);
	aub_node_rollouts_clear(node);
	aub_store_sync_free(node->store);
	aub_gateway_free(node->gateway);
	aub_http_listener_free(node->directory);
	aub_http_listener_free(node->readiness);
	aub_http_listener_free(node->metrics_service);
	aub_placer_free(node->placer);
	aub_egress_monitor_free(node->egress);
	aub_peers_free(node->peers);
	aub_http_client_free(node->client);
	aub_metrics_free(node->metrics);
	g_hash_table_unref(node->exported_quotas);
	g_ptr_array_unref(node->pending_contacts);
	aub_poller_free(node->poller);
	g_free(node->zone);
	g_free(node->peers_port);
	g_free(node->ip);
	g_free(node);
}

static gint64 stop_reserve_ms(const struct aub_node *node)
{
	return MIN(STOP_RESERVE_MS,
		   (gint64)(STOP_RESERVE_MAX_SHARE * node->grace_ms));
}

static void drain_gateway(struct aub_node *node)
{
	gint64 answers_ms = MIN(STOP_ANSWER_MS, (gint64)(STOP_ANSWER_MAX_SHARE *
							 node->grace_ms));
	gint64 until_ms = node->grace_ms - stop_reserve_ms(node) - answers_ms;

	aub_gateway_begin_drain(
		node->gateway,
		&(struct aub_stop_plan){
			.answers_until_us =
				node->stop_start_us + until_ms * AUB_MS,
			.addresses_until_us =
				node->stop_start_us + node->address_ms * AUB_MS,
		});
}

/*
 * The platform ends the process by the grace time that was in force when the
 * stop began, so that a longer one comes too late for it.
 */
static void set_grace_time(struct aub_node *node,
			   const struct aub_node_settings *settings)
{
	guint grace_ms = (guint)(settings->grace_s * 1000);

	if (!node->stopping) {
		node->grace_ms = grace_ms;
	} else if (grace_ms < node->grace_ms) {
		node->grace_ms = grace_ms;
		drain_gateway(node);
	}
}

void aub_node_reload(struct aub_node *node,
		     const struct aub_node_settings *settings)
{
	struct aub_placement_limits limits;

	placement_limits_of(settings, &limits);
	aub_placer_set_limits(node->placer, &limits);
	node->address_ms = (guint)settings->address_ms;
	set_grace_time(node, settings);
	add_seeds(node, settings);
	aub_log_begin(AUB_LOG_RELOAD);
	aub_log_end();
}

static void on_stop_check(void *context, gint64 now_us)
{
	struct aub_node *node = context;
	gint64 elapsed_us = now_us - node->stop_start_us;
	gint64 exit_us = (node->grace_ms - stop_reserve_ms(node)) * AUB_MS;
	gint64 accept_us =
		(gint64)(STOP_ACCEPT_SHARE * node->grace_ms) * AUB_MS;
	gint64 close_us = MIN(node->address_ms * AUB_MS * ADDRESS_CACHE_FACTOR,
			      accept_us);

	if (elapsed_us >= close_us)
		aub_gateway_stop_accepting(node->gateway);
	if ((elapsed_us >= close_us &&
	     !aub_gateway_active_requests(node->gateway) &&
	     !aub_gateway_open_connections(node->gateway)) ||
	    elapsed_us >= exit_us) {
		aub_log_begin(AUB_LOG_STOP);
		aub_log_number("ms", elapsed_us / AUB_MS);
		aub_log_number("requests",
			       aub_gateway_active_requests(node->gateway));
		aub_log_end();
		aub_decision_log_flush();
		node->on_stopped(node->on_stopped_context);
	}
}

void aub_node_stop(struct aub_node *node, void (*stopped)(void *context),
		   void *context)
{
	if (node->stopping)
		return;
	node->stopping = true;
	node->on_stopped = stopped;
	node->on_stopped_context = context;
	node->stop_start_us = aub_timer_now(node->timers);
	aub_log_begin(AUB_LOG_STOPPING);
	aub_log_end();
	aub_node_publish_state(node);
	drain_gateway(node);
	aub_store_sync_deregister(node->store);
	node->stop_timer =
		aub_timer_every(node->timers, "stop", STOP_CHECK_PERIOD_US,
				on_stop_check, node);
}

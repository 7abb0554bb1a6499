/* Health probes of the upstreams that this gateway places for. */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/peer_relay.h>
#include <auburnstile/internal/placer_internal.h>

#include <string.h>

/* probing continues for this long after the last activation */
#define PROBING_ACTIVE_US (1500 * AUB_MS)
#define PROBE_TICK_PERIOD_US (25 * AUB_MS)
#define PROBE_TIMEOUT_MS 400 /* a healthy upstream answers immediately */
/* Batches the results of probes that were sent together. */
#define REPORT_DELAY_US (4 * AUB_MS)
#define PROBE_CONNECTION_IDLE_US (8 * AUB_SECOND)

struct probe {
	struct aub_placer *placer;
	struct aub_http_call *call;
	char *service;
	char *upstream;
	char *address;
	char *path;
	guint64 relay; /* incarnation of the gateway that relays; 0: none */
};

static void probe_free(struct probe *probe)
{
	g_ptr_array_remove_fast(probe->placer->probes, probe);
	g_free(probe->service);
	g_free(probe->upstream);
	g_free(probe->address);
	g_free(probe->path);
	g_free(probe);
}

static enum aub_probe_result classify_probe(const struct probe *probe,
					    const struct aub_http_head *head)
{
	const char *id;

	if (!head || aub_http_head_find(head, AUB_RELAY_FAILURE_HEADER))
		return AUB_PROBE_NO_RESPONSE;
	id = aub_http_head_find(head,
				probe->placer->options.platform->upstream_id);
	if ((id && strcmp(id, probe->upstream) != 0) ||
	    (probe->relay && head->status == HTTP_STATUS_MISDIRECTED_REQUEST))
		return AUB_PROBE_WRONG_UPSTREAM;
	return head->status == 200 ? AUB_PROBE_HEALTHY : AUB_PROBE_UNHEALTHY;
}

/*
 * Logs only changes, since an unhealthy upstream is probed ten times a second.
 */
static void log_health(const struct probe *probe, const char *health_before,
		       const char *health_now, enum aub_probe_result end,
		       const struct aub_load *load)
{
	static const char *const names[] = {
		[AUB_PROBE_HEALTHY] = "well",
		[AUB_PROBE_UNHEALTHY] = "ill",
		[AUB_PROBE_WRONG_UPSTREAM] = "other",
		[AUB_PROBE_NO_RESPONSE] = "silent",
	};

	if (!strcmp(health_before, health_now))
		return;
	aub_log_begin(AUB_LOG_HEALTH);
	aub_log_text("upstream", probe->upstream);
	aub_log_text("service", probe->service);
	aub_log_text("was", health_before);
	aub_log_text("now", health_now);
	aub_log_text("probe", names[end]);
	aub_log_number("warmup_ms", load->warmup_ms);
	aub_log_number("running", load->running);
	aub_log_end();
}

static void send_probe_results(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;
	GHashTableIter iter;
	void *key;
	void *value;

	placer->report_timer = 0;
	g_hash_table_iter_init(&iter, placer->probed_services);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct aub_probed_service *probed_service = value;
		struct aub_peer *peer =
			aub_placer_peer_for(placer, key, now_us);

		if (!probed_service->pending_results)
			continue;
		if (peer)
			aub_peers_send(placer->options.peers, peer,
				       &probed_service->pending_results->base);
		aub_message_free(&probed_service->pending_results->base);
		probed_service->pending_results = NULL;
	}
}

/* Queues a result for the service's placer, which is in another zone. */
static void queue_probe_result(struct aub_placer *placer,
			       const struct probe *probe,
			       enum aub_probe_result end,
			       const struct aub_load *load)
{
	struct aub_probed_service *probed_service =
		g_hash_table_lookup(placer->probed_services, probe->service);
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_reported_probe *probed;

	if (!probed_service || probed_service->probe_all_until_us >= now)
		return;
	if (!probed_service->pending_results) {
		probed_service->pending_results =
			(struct aub_place_probe_results *)aub_message_new(
				AUB_MESSAGE_PLACE_PROBE_RESULTS);
		aub_string_set(&probed_service->pending_results->service,
			       probe->service);
	}
	probed = aub_reported_probe_new();
	aub_string_set(&probed->upstream, probe->upstream);
	probed->result = end;
	probed->load = aub_load_encode(load);
	g_ptr_array_add(probed_service->pending_results->probed, probed);
	if (!placer->report_timer)
		placer->report_timer =
			aub_timer_at(placer->options.timers, "tell probes",
				     now + REPORT_DELAY_US, send_probe_results,
				     placer);
}

void aub_placer_apply_probe_results(
	struct aub_placer *placer,
	const struct aub_place_probe_results *message)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement *placement =
		aub_placer_placement(placer, message->service);

	for (guint i = 0; i < message->probed->len; i++) {
		const struct aub_reported_probe *probed =
			g_ptr_array_index(message->probed, i);
		const struct aub_load load = aub_load_decode(&probed->load);

		if (probed->result <= AUB_PROBE_NO_RESPONSE)
			aub_placement_probe_received(
				placement, probed->upstream,
				(enum aub_probe_result)probed->result, &load,
				now);
		aub_placer_log_notices(placement, probed->upstream, "peer", "");
	}
	aub_placer_drain_queue(placer, placement);
}

/* Feeds the result into what is known of this gateway's own links. */
static void observe_links(const struct probe *probe, bool answered)
{
	struct aub_egress_monitor *egress = probe->placer->options.egress;

	if (!egress || probe->relay)
		return;
	aub_egress_monitor_on_ended(egress);
	if (answered)
		aub_egress_monitor_on_answer(egress);
	else
		aub_egress_monitor_on_failure(egress, probe->upstream,
					      AUB_EGRESS_UNREACHABLE);
}

/*
 * Returns whether the gateway that was to relay the probe does not reach the
 * upstream either.
 */
static bool has_no_path(const struct probe *probe,
			const struct aub_http_head *head)
{
	struct aub_peers *peers = probe->placer->options.peers;
	struct aub_peer *relay;

	if (!probe->relay || !head ||
	    aub_relay_failure_parse(
		    aub_http_head_find(head, AUB_RELAY_FAILURE_HEADER)) !=
		    AUB_RELAY_NO_PATH)
		return false;
	relay = aub_peers_by_incarnation(peers, probe->relay);
	if (relay)
		aub_peer_set_no_path(relay, probe->upstream,
				     aub_timer_now(
					     probe->placer->options.timers));
	return true;
}

static bool are_links_up(const struct aub_placer *placer)
{
	const struct aub_egress_monitor *egress = placer->options.egress;

	return !egress ||
	       aub_egress_monitor_state(egress)->state == AUB_EGRESS_UP;
}

static struct aub_peer *pick_relay(struct aub_placer *placer,
				   const char *upstream)
{
	if (!placer->options.egress)
		return NULL;
	return aub_peers_pick_relay(placer->options.peers, upstream,
				    placer->relay_turn++,
				    aub_timer_now(placer->options.timers));
}

static void on_probed(enum aub_exchange_result end,
		      const struct aub_http_head *head, const char *body,
		      gsize length, void *context);

static void send_directly(struct probe *probe)
{
	struct aub_placer *placer = probe->placer;
	const struct aub_http_call_options options = {
		.method = "GET",
		.address = probe->address,
		.pool_name = "probe",
		.path = probe->path,
		.timeout_ms = PROBE_TIMEOUT_MS,
		.body_max_bytes = AUB_HEALTH_BODY_MAX_BYTES,
		.idle_max_us = PROBE_CONNECTION_IDLE_US,
	};

	if (placer->options.egress)
		aub_egress_monitor_on_sent(placer->options.egress);
	probe->call = aub_http_call_new(placer->options.client, &options,
					on_probed, probe);
}

static void send_through(struct probe *probe, const struct aub_peer *relay)
{
	struct aub_placer *placer = probe->placer;
	const struct aub_platform *platform = placer->options.platform;
	char *headers =
		g_strdup_printf("%s: %s\r\n%s: %d\r\n",
				platform->target_upstream, probe->upstream,
				platform->deadline_ms, PROBE_TIMEOUT_MS);
	const struct aub_http_call_options options = {
		.method = "GET",
		.address = relay->address,
		.pool_name = AUB_RELAY_POOL_NAME,
		.path = probe->path,
		.headers = headers,
		.timeout_ms = PROBE_TIMEOUT_MS,
		.body_max_bytes = AUB_HEALTH_BODY_MAX_BYTES,
		.idle_max_us = AUB_RELAY_IDLE_MAX_US,
	};

	probe->relay = relay->incarnation;
	probe->call = aub_http_call_new(placer->options.client, &options,
					on_probed, probe);
	g_free(headers);
}

/*
 * A probe that failed at an upstream taken for healthy is sent once more
 * through another gateway. If that one is answered, the fault lies with this
 * gateway's own link, and the other gateways can go on using the upstream.
 */
static bool ask_other_gateway(struct probe *probe,
			      const struct aub_placement *placement)
{
	struct aub_peer *relay;

	if (probe->relay ||
	    !strcmp(aub_placement_health_name(placement, probe->upstream),
		    "down"))
		return false;
	relay = pick_relay(probe->placer, probe->upstream);
	if (!relay)
		return false;
	send_through(probe, relay);
	return true;
}

static void apply_probe(struct probe *probe, struct aub_placement *placement,
			enum aub_probe_result result,
			const struct aub_http_head *head)
{
	struct aub_placer *placer = probe->placer;
	struct aub_load load = AUB_LOAD_UNKNOWN;
	const char *health_before;

	if (result != AUB_PROBE_NO_RESPONSE) {
		placer->options.platform->decode_load(head, &load);
		/* A rest is asked of the gateway that connects. */
		if (result != AUB_PROBE_WRONG_UPSTREAM && !probe->relay)
			aub_placer_begin_rest(
				placer, probe->service, probe->upstream,
				aub_http_head_retry_after_us(head), NULL);
	}
	health_before = aub_placement_health_name(placement, probe->upstream);
	aub_placement_probe_finished(placement, probe->upstream, result, &load,
				     aub_timer_now(placer->options.timers));
	log_health(probe, health_before,
		   aub_placement_health_name(placement, probe->upstream),
		   result, &load);
	aub_placer_log_notices(placement, probe->upstream, "probe", "");
	queue_probe_result(placer, probe, result, &load);
}

static void on_probed(enum aub_exchange_result end,
		      const struct aub_http_head *head, const char *body,
		      gsize length, void *context)
{
	struct probe *probe = context;
	struct aub_placer *placer = probe->placer;
	struct aub_placement *placement =
		aub_placer_placement(placer, probe->service);
	enum aub_probe_result result = classify_probe(probe, head);
	bool inconclusive = has_no_path(probe, head);

	observe_links(probe, head != NULL);
	if (inconclusive ||
	    (result == AUB_PROBE_NO_RESPONSE && !are_links_up(placer))) {
		aub_placement_probe_withheld(placement, probe->upstream);
		probe_free(probe);
		return;
	}
	if (result == AUB_PROBE_NO_RESPONSE &&
	    ask_other_gateway(probe, placement))
		return;
	apply_probe(probe, placement, result, head);
	probe_free(probe);
	aub_placer_drain_queue(placer, placement);
}

static void probe_start(struct aub_placer *placer, const char *service,
			const struct aub_probe *due)
{
	struct probe *probe = g_new0(struct probe, 1);
	struct aub_egress_monitor *egress = placer->options.egress;
	const struct aub_peer *relay = NULL;

	placer->counts.probes_sent++;
	probe->placer = placer;
	probe->service = g_strdup(service);
	probe->upstream = g_strdup(due->upstream);
	probe->address = g_strdup(due->address);
	probe->path = g_strdup(due->path);
	g_ptr_array_add(placer->probes, probe);
	if (are_links_up(placer) && egress &&
	    aub_egress_monitor_needs_relay(egress, due->upstream))
		relay = pick_relay(placer, due->upstream);
	if (relay)
		send_through(probe, relay);
	else
		send_directly(probe);
}

static void on_probe_tick(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;
	GHashTableIter iter;
	void *key;
	void *value;

	placer->probe_timer = 0;
	g_hash_table_iter_init(&iter, placer->probed_services);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct aub_placement *placement =
			aub_placer_placement(placer, key);
		const struct aub_probed_service *probed_service = value;
		bool is_placer = probed_service->probe_all_until_us >= now_us;
		struct aub_probe due;

		if (!is_placer &&
		    probed_service->probe_zone_until_us < now_us) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		while (aub_placement_probe_next(placement,
						is_placer ? NULL : placer->zone,
						now_us, &due))
			probe_start(placer, key, &due);
	}
	if (g_hash_table_size(placer->probed_services))
		placer->probe_timer =
			aub_timer_at(placer->options.timers, "probes",
				     now_us + PROBE_TICK_PERIOD_US,
				     on_probe_tick, placer);
}

static struct aub_probed_service *activate_probing(struct aub_placer *placer,
						   const char *service)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_probed_service *probed_service =
		g_hash_table_lookup(placer->probed_services, service);

	if (!probed_service) {
		probed_service = g_new0(struct aub_probed_service, 1);
		g_hash_table_insert(placer->probed_services, g_strdup(service),
				    probed_service);
	}
	if (!placer->probe_timer)
		placer->probe_timer =
			aub_timer_at(placer->options.timers, "probes", now,
				     on_probe_tick, placer);
	return probed_service;
}

void aub_placer_probe_service(struct aub_placer *placer, const char *service)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_probed_service *probed_service =
		activate_probing(placer, service);

	if (probed_service->probe_all_until_us < now) {
		aub_log_begin(AUB_LOG_PLACER_ACTIVE);
		aub_log_text("service", service);
		aub_log_end();
		aub_placement_begin_placing(aub_placer_placement(placer,
								 service),
					    now);
	}
	probed_service->probe_all_until_us = now + PROBING_ACTIVE_US;
}

void aub_placer_probe_own_zone(struct aub_placer *placer, const char *service)
{
	activate_probing(placer, service)->probe_zone_until_us =
		aub_timer_now(placer->options.timers) + PROBING_ACTIVE_US;
}

void aub_probed_service_free(void *data)
{
	struct aub_probed_service *probed_service = data;

	if (probed_service->pending_results)
		aub_message_free(&probed_service->pending_results->base);
	g_free(probed_service);
}

void aub_placer_stop_probes(struct aub_placer *placer)
{
	/*
	 * Iterates backwards: freeing a probe moves the last one into its
	 * place.
	 */
	for (guint i = placer->probes->len; i > 0; i--) {
		struct probe *probe = g_ptr_array_index(placer->probes, i - 1);

		aub_http_call_cancel(probe->call);
		if (!probe->relay && placer->options.egress)
			aub_egress_monitor_on_ended(placer->options.egress);
		probe_free(probe);
	}
	g_ptr_array_unref(placer->probes);
	g_hash_table_unref(placer->outstanding_reported);
}

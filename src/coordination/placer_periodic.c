/*
 * Periodic exchange between gateways, once a second: outstanding grants, which
 * repair the effect of lost reports, and the health of upstreams, so that
 * another gateway can take over as placer or place locally.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/placer_internal.h>

#include <string.h>

#define HEALTH_ROWS_MAX 512 /* upstreams of a service in one datagram */
/* relays addressed in each other zone; the first forwards */
#define RELAYS_PER_ZONE 2

struct aub_peer *aub_placer_peer_for(struct aub_placer *placer,
				     const char *service, gint64 now_us)
{
	const GPtrArray *ranked =
		aub_peers_ranked(placer->options.peers, service);

	for (guint i = 0; i < ranked->len; i++) {
		struct aub_peer *peer = g_ptr_array_index(ranked, i);

		if (peer->self)
			return NULL;
		if (peer->suspected_until_us <= now_us)
			return peer;
	}
	return NULL;
}

bool aub_placer_ranks_first(const struct aub_placer *placer,
			    const char *service)
{
	const GPtrArray *ranked =
		aub_peers_ranked(placer->options.peers, service);

	return ranked->len &&
	       ((struct aub_peer *)g_ptr_array_index(ranked, 0))->self;
}

static struct aub_place_outstanding *build_outstanding(
	struct aub_placer *placer, const char *service)
{
	struct aub_place_outstanding *message =
		(struct aub_place_outstanding *)aub_message_new(
			AUB_MESSAGE_PLACE_OUTSTANDING);
	GHashTableIter iter;
	void *value;

	message->holder = placer->options.incarnation;
	aub_string_set(&message->service, service);
	g_hash_table_iter_init(&iter, placer->tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct aub_ticket *ticket = value;
		struct aub_outstanding *grant;

		if (!ticket->upstream || strcmp(ticket->service, service) != 0)
			continue;
		grant = aub_outstanding_new();
		grant->ticket = ticket->id;
		grant->target_ms = ticket->request.target_ms;
		aub_string_set(&grant->upstream, ticket->upstream);
		g_ptr_array_add(message->grants, grant);
	}
	return message;
}

/* Sends an empty list once, so that the last grant is released too. */
static void send_outstanding(struct aub_placer *placer, const char *service,
			     gint64 now_us)
{
	struct aub_peer *peer = aub_placer_peer_for(placer, service, now_us);
	struct aub_place_outstanding *message;
	bool reported =
		g_hash_table_contains(placer->outstanding_reported, service);

	if (!peer)
		return;
	message = build_outstanding(placer, service);
	if (message->grants->len)
		g_hash_table_add(placer->outstanding_reported,
				 g_strdup(service));
	else
		g_hash_table_remove(placer->outstanding_reported, service);
	if (message->grants->len || reported)
		aub_peers_send(placer->options.peers, peer, &message->base);
	aub_message_free(&message->base);
}

/*
 * If a placer sent the state of its upstreams to each gateway, the load of its
 * link and CPU, and the traffic between zones, would grow with the fleet. It
 * sends to its own zone and to the first gateways of each other zone, which
 * forward it within their zone.
 */
void aub_placer_send_to_zones(struct aub_placer *placer, const char *service,
			      struct aub_message *message, bool *relay)
{
	struct aub_peers *peers = placer->options.peers;
	GPtrArray *relays =
		aub_peers_top_of_each_zone(aub_peers_ranked(peers, service),
					   RELAYS_PER_ZONE, NULL);

	*relay = false;
	aub_peers_send_to_zone(peers, message);
	*relay = true;
	for (guint i = 0; i < relays->len; i++) {
		const struct aub_peer *peer = g_ptr_array_index(relays, i);

		if (strcmp(peer->zone, placer->zone) != 0)
			aub_peers_send(peers, peer, message);
	}
	g_ptr_array_unref(relays);
}

static void send_health(struct aub_placer *placer, const char *service,
			gint64 now_us)
{
	struct aub_upstream_health list[HEALTH_ROWS_MAX];
	struct aub_placement *placement = aub_placer_placement(placer, service);
	guint count = aub_placement_list_health(placement, list,
						HEALTH_ROWS_MAX, now_us);
	struct aub_place_health *message;

	message = (struct aub_place_health *)aub_message_new(
		AUB_MESSAGE_PLACE_HEALTH);
	aub_string_set(&message->service, service);
	for (guint i = 0; i < count; i++) {
		struct aub_place_health_row *health =
			aub_place_health_row_new();

		aub_string_set(&health->upstream, list[i].upstream);
		health->down = list[i].down;
		health->unknown = list[i].unknown;
		health->cold_ms = list[i].cold_ms;
		health->slowdown = list[i].slowdown;
		health->leaving = list[i].leaving;
		health->started_ms = (guint64)list[i].started_ms;
		g_ptr_array_add(message->rows, health);
	}
	aub_placer_append_limits(placer, service, message->limits);
	aub_placer_send_to_zones(placer, service, &message->base,
				 &message->relay);
	aub_message_free(&message->base);
}

/*
 * Logs the state of the upstreams if requests were refused in the last second.
 */
static void log_refusals(struct aub_placer *placer, const char *service,
			 gint64 now_us)
{
	struct aub_placement_stats state;
	struct aub_probed_service *probed_service =
		g_hash_table_lookup(placer->probed_services, service);

	aub_placement_get_stats(aub_placer_placement(placer, service), now_us,
				&state);
	if (!probed_service || state.refused == probed_service->refused_logged)
		return;
	aub_log_begin(AUB_LOG_PLACEMENT);
	aub_log_text("service", service);
	aub_log_number("refused", (gint64)(state.refused -
					   probed_service->refused_logged));
	aub_log_number("queued", state.queued);
	aub_log_number("granted", state.granted);
	aub_log_number("up", state.up);
	aub_log_number("down", state.down);
	aub_log_number("unknown", state.unknown);
	aub_log_number("cold", state.cold);
	aub_log_number("limited", state.limited);
	aub_log_number("leaving", state.draining);
	aub_log_number("full_percent", state.concurrency_limit_percent);
	aub_log_number("slowdown_percent", state.slowdown_percent);
	aub_log_number("burst_ms", state.interference_ms);
	aub_log_number("refusal_percent", state.refusal_percent);
	aub_log_number("return_percent", state.return_percent);
	aub_log_number("awaited", state.callers_awaited);
	aub_log_number("retry_credit", state.retry_credit);
	aub_log_number("retries",
		       (gint64)state.retry_verdicts[AUB_RETRY_ADMITTED]);
	aub_log_end();
	probed_service->refused_logged = state.refused;
}

/*
 * The first gateway of each zone probes the zone's upstreams and relays the
 * placer's messages, which keeps traffic between zones low.
 */
bool aub_placer_ranks_first_in_zone(struct aub_placer *placer,
				    const char *service)
{
	const GPtrArray *ranked =
		aub_peers_ranked(placer->options.peers, service);

	for (guint i = 0; i < ranked->len; i++) {
		const struct aub_peer *peer = g_ptr_array_index(ranked, i);

		if (!strcmp(peer->zone, placer->zone))
			return peer->self;
	}
	return false;
}

void aub_placer_on_round(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;
	GHashTableIter iter;
	void *key;
	void *placement;

	aub_placer_refresh_quotas(placer, now_us);
	if (!aub_placer_startup_is_over(placer))
		return;
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, &key, &placement)) {
		const char *service = key;

		aub_placement_admit_versions(placement, now_us);
		aub_placer_log_retry_counts(placer, service);

		if (aub_placer_peer_for(placer, service, now_us)) {
			send_outstanding(placer, service, now_us);
			if (aub_placer_ranks_first_in_zone(placer, service))
				aub_placer_probe_own_zone(placer, service);
			continue;
		}
		if (!aub_peers_self(placer->options.peers)->ready)
			continue;
		aub_placer_probe_service(placer, service);
		send_health(placer, service, now_us);
		aub_placer_refresh_rollout(placer, service);
		log_refusals(placer, service, now_us);
	}
}

void aub_placer_apply_outstanding(struct aub_placer *placer,
				  const struct aub_place_outstanding *message)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement *placement =
		aub_placer_placement(placer, message->service);
	guint64 *tickets = g_new(guint64, message->grants->len + 1);

	for (guint i = 0; i < message->grants->len; i++) {
		const struct aub_outstanding *grant =
			g_ptr_array_index(message->grants, i);

		tickets[i] = grant->ticket;
		aub_placement_adopt(placement, message->holder, grant->ticket,
				    grant->upstream, grant->target_ms, now);
	}
	aub_placement_reconcile(placement, message->holder, tickets,
				message->grants->len, now);
	g_free(tickets);
	aub_placer_drain_queue(placer, placement);
}

/* A gateway that places for the service itself uses its own probes instead. */
void aub_placer_apply_health(struct aub_placer *placer,
			     struct aub_place_health *message)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement *placement =
		aub_placer_placement(placer, message->service);
	const struct aub_probed_service *probed_service =
		g_hash_table_lookup(placer->probed_services, message->service);

	if (message->relay &&
	    aub_placer_ranks_first_in_zone(placer, message->service)) {
		message->relay = false;
		aub_peers_send_to_zone(placer->options.peers, &message->base);
	}
	aub_placer_apply_limits(placer, message->service, message->limits, "");
	aub_placer_apply_leaving(placement, message->rows);
	if (probed_service && probed_service->probe_all_until_us > now)
		return;
	aub_placement_reset_health(placement);
	for (guint i = 0; i < message->rows->len; i++) {
		const struct aub_place_health_row *reported =
			g_ptr_array_index(message->rows, i);
		const struct aub_upstream_health health = {
			.upstream = reported->upstream,
			.down = reported->down,
			.unknown = reported->unknown,
			.cold_ms = reported->cold_ms,
			.slowdown = reported->slowdown,
		};

		aub_placement_set_health(placement, &health, now);
	}
}

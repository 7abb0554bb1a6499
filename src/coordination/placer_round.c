/*
 * What gateways tell each other once a second: the grants they hold,
 * so that lost reports are made good, and the health of upstreams, so that
 * another one can take over or do without it.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/placer_parts.h>

#include <string.h>

#define HEALTH_ROWS_MOST 512 /* upstreams of a service in one datagram */
#define RELAYS 2 /* of each other zone are told; the first passes it on */

struct aub_peer *aub_placer_of(struct aub_placer *placer, const char *service,
			       gint64 now_us)
{
	const GPtrArray *ranked =
		aub_peers_ranked(placer->options.peers, service);

	for (guint i = 0; i < ranked->len; i++) {
		struct aub_peer *peer = g_ptr_array_index(ranked, i);

		if (peer->self)
			return NULL;
		if (peer->suspect_until_us <= now_us)
			return peer;
	}
	return NULL;
}

static struct aub_place_outstanding *outstanding_of(struct aub_placer *placer,
						    const char *service)
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
		struct aub_outstanding *held;

		if (!ticket->upstream || strcmp(ticket->service, service) != 0)
			continue;
		held = aub_outstanding_new();
		held->ticket = ticket->id;
		held->target_ms = ticket->ask.target_ms;
		aub_string_set(&held->upstream, ticket->upstream);
		g_ptr_array_add(message->grants, held);
	}
	return message;
}

/* An empty list is told once, so that the last grant is released too. */
static void send_outstanding(struct aub_placer *placer, const char *service,
			     gint64 now_us)
{
	struct aub_peer *peer = aub_placer_of(placer, service, now_us);
	struct aub_place_outstanding *message;
	bool told = g_hash_table_contains(placer->outstanding_told, service);

	if (!peer)
		return;
	message = outstanding_of(placer, service);
	if (message->grants->len)
		g_hash_table_add(placer->outstanding_told, g_strdup(service));
	else
		g_hash_table_remove(placer->outstanding_told, service);
	if (message->grants->len || told)
		aub_peers_send(placer->options.peers, peer, &message->base);
	aub_message_free(&message->base);
}

/*
 * Failure: a placer tells each gateway of the fleet what it knows of its
 * upstreams. Symptom: its link and its processor, and bytes between zones,
 * grow with the fleet. Enough: its own zone is told, and the first of each
 * other zone, which tell theirs.
 */
void aub_placer_tell_zones(struct aub_placer *placer, const char *service,
			   struct aub_message *message, bool *relay)
{
	struct aub_peers *peers = placer->options.peers;
	GPtrArray *relays =
		aub_peers_first_of_zones(aub_peers_ranked(peers, service),
					 RELAYS, NULL);

	*relay = false;
	aub_peers_send_zone(peers, message);
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
	struct aub_upstream_health list[HEALTH_ROWS_MOST];
	struct aub_placement *placement = aub_placer_placement(placer, service);
	guint count = aub_placement_list_health(placement, list,
						HEALTH_ROWS_MOST, now_us);
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
		g_ptr_array_add(message->rows, health);
	}
	aub_placer_tell_zones(placer, service, &message->base, &message->relay);
	aub_message_free(&message->base);
}

/* What stood against the requests that were refused in the last second. */
static void log_refusals(struct aub_placer *placer, const char *service,
			 gint64 now_us)
{
	struct aub_placement_stats state;
	struct aub_active *active =
		g_hash_table_lookup(placer->active, service);

	aub_placement_get_stats(aub_placer_placement(placer, service), now_us,
				&state);
	if (!active || state.refused == active->refused)
		return;
	aub_log_begin(AUB_LOG_PLACEMENT);
	aub_log_text("service", service);
	aub_log_number("refused", (gint64)(state.refused - active->refused));
	aub_log_number("queued", state.queued);
	aub_log_number("granted", state.granted);
	aub_log_number("up", state.up);
	aub_log_number("down", state.down);
	aub_log_number("unknown", state.unknown);
	aub_log_number("cold", state.cold);
	aub_log_number("leaving", state.draining);
	aub_log_number("full_percent", state.concurrency_limit_percent);
	aub_log_number("slowdown_percent", state.slowdown_percent);
	aub_log_number("burst_ms", state.interference_ms);
	aub_log_end();
	active->refused = state.refused;
}

/*
 * The first of each zone probes its upstreams, and passes on what the placer
 * says of all: few bytes cross zones.
 */
bool aub_placer_is_first_of_zone(struct aub_placer *placer, const char *service)
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

	if (!aub_placer_is_settled(placer))
		return;
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, &key, &placement)) {
		const char *service = key;

		aub_placement_admit_versions(placement, now_us);

		if (aub_placer_of(placer, service, now_us)) {
			send_outstanding(placer, service, now_us);
			if (aub_placer_is_first_of_zone(placer, service))
				aub_placer_wake_near(placer, service);
			continue;
		}
		if (!aub_peers_self(placer->options.peers)->ready)
			continue;
		aub_placer_wake_service(placer, service);
		send_health(placer, service, now_us);
		aub_placer_round_rollout(placer, service);
		log_refusals(placer, service, now_us);
	}
}

void aub_placer_take_outstanding(struct aub_placer *placer,
				 const struct aub_place_outstanding *message)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement *placement =
		aub_placer_placement(placer, message->service);
	guint64 *tickets = g_new(guint64, message->grants->len + 1);

	for (guint i = 0; i < message->grants->len; i++) {
		const struct aub_outstanding *held =
			g_ptr_array_index(message->grants, i);

		tickets[i] = held->ticket;
		aub_placement_adopt(placement, message->holder, held->ticket,
				    held->upstream, held->target_ms, now);
	}
	aub_placement_reconcile(placement, message->holder, tickets,
				message->grants->len, now);
	g_free(tickets);
	aub_placer_drain(placer, placement);
}

/* Whoever places for a service itself goes by its own probes. */
void aub_placer_take_health(struct aub_placer *placer,
			    struct aub_place_health *message)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement *placement =
		aub_placer_placement(placer, message->service);
	const struct aub_active *active =
		g_hash_table_lookup(placer->active, message->service);

	if (message->relay &&
	    aub_placer_is_first_of_zone(placer, message->service)) {
		message->relay = false;
		aub_peers_send_zone(placer->options.peers, &message->base);
	}
	if (active && active->until_us > now)
		return;
	aub_placement_reset_health(placement);
	for (guint i = 0; i < message->rows->len; i++) {
		const struct aub_place_health_row *told =
			g_ptr_array_index(message->rows, i);
		const struct aub_upstream_health health = {
			.upstream = told->upstream,
			.down = told->down,
			.unknown = told->unknown,
			.cold_ms = told->cold_ms,
			.slowdown = told->slowdown,
		};

		aub_placement_set_health(placement, &health, now);
	}
}

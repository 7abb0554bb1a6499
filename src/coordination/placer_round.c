/*
 * What gateways tell each other once a second: the grants they hold,
 * so that lost reports are made good, and what a placer believes, so that
 * another one can take over or do without it.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/placer_parts.h>

#include <string.h>

#define BELIEFS_MOST 512 /* upstreams of a service in one datagram */
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

static struct aub_place_held *held_of(struct aub_placer *placer,
				      const char *service)
{
	struct aub_place_held *message =
		(struct aub_place_held *)aub_message_new(
			AUB_MESSAGE_PLACE_HELD);
	GHashTableIter iter;
	void *value;

	message->holder = placer->options.incarnation;
	aub_string_set(&message->service, service);
	g_hash_table_iter_init(&iter, placer->tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct aub_ticket *ticket = value;
		struct aub_held *held;

		if (!ticket->upstream || strcmp(ticket->service, service) != 0)
			continue;
		held = aub_held_new();
		held->ticket = ticket->id;
		held->target_ms = ticket->ask.target_ms;
		aub_string_set(&held->upstream, ticket->upstream);
		g_ptr_array_add(message->held, held);
	}
	return message;
}

/* An empty list is told once, so that the last grant is released too. */
static void tell_held(struct aub_placer *placer, const char *service,
		      gint64 now_us)
{
	struct aub_peer *peer = aub_placer_of(placer, service, now_us);
	struct aub_place_held *message;
	bool told = g_hash_table_contains(placer->held_told, service);

	if (!peer)
		return;
	message = held_of(placer, service);
	if (message->held->len)
		g_hash_table_add(placer->held_told, g_strdup(service));
	else
		g_hash_table_remove(placer->held_told, service);
	if (message->held->len || told)
		aub_peers_send(placer->options.peers, peer, &message->base);
	aub_message_free(&message->base);
}

/*
 * Failure: a placer tells each gateway of the fleet what it knows of its
 * upstreams. Symptom: its link and its processor, and bytes between zones,
 * grow with the fleet. Enough: its own zone is told, and the first of each
 * other zone, which tell theirs.
 */
static void tell_zones(struct aub_placer *placer,
		       struct aub_place_beliefs *message)
{
	struct aub_peers *peers = placer->options.peers;
	const GPtrArray *ranked = aub_peers_ranked(peers, message->service);
	GHashTable *told = g_hash_table_new(g_str_hash, g_str_equal);

	message->relay = false;
	aub_peers_send_zone(peers, &message->base);
	message->relay = true;
	for (guint i = 0; i < ranked->len; i++) {
		struct aub_peer *peer = g_ptr_array_index(ranked, i);
		guint count =
			GPOINTER_TO_UINT(g_hash_table_lookup(told, peer->zone));

		if (count >= RELAYS || !strcmp(peer->zone, placer->zone))
			continue;
		g_hash_table_insert(told, peer->zone,
				    GUINT_TO_POINTER(count + 1));
		aub_peers_send(peers, peer, &message->base);
	}
	g_hash_table_unref(told);
}

static void tell_beliefs(struct aub_placer *placer, const char *service,
			 gint64 now_us)
{
	struct aub_belief list[BELIEFS_MOST];
	struct aub_placement *placement = aub_placer_placement(placer, service);
	guint count =
		aub_placement_beliefs(placement, list, BELIEFS_MOST, now_us);
	struct aub_place_beliefs *message;

	message = (struct aub_place_beliefs *)aub_message_new(
		AUB_MESSAGE_PLACE_BELIEFS);
	aub_string_set(&message->service, service);
	for (guint i = 0; i < count; i++) {
		struct aub_place_belief *belief = aub_place_belief_new();

		aub_string_set(&belief->upstream, list[i].upstream);
		belief->down = list[i].down;
		belief->unknown = list[i].unknown;
		belief->cold_ms = list[i].cold_ms;
		belief->slowdown = list[i].slowdown;
		g_ptr_array_add(message->beliefs, belief);
	}
	tell_zones(placer, message);
	aub_message_free(&message->base);
}

/* What stood against the requests that were refused in the last second. */
static void log_refusals(struct aub_placer *placer, const char *service,
			 gint64 now_us)
{
	struct aub_placement_state state;
	struct aub_active *active =
		g_hash_table_lookup(placer->active, service);

	aub_placement_get_state(aub_placer_placement(placer, service), now_us,
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
	aub_log_number("leaving", state.leaving);
	aub_log_number("full_percent", state.full_percent);
	aub_log_number("slowdown_percent", state.slowdown_percent);
	aub_log_number("burst_ms", state.burst_ms);
	aub_log_end();
	active->refused = state.refused;
}

/*
 * The first of each zone probes its upstreams, and passes on what the placer
 * says of all: few bytes cross zones.
 */
static bool is_first_of_zone(struct aub_placer *placer, const char *service)
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

	if (!aub_placer_is_settled(placer))
		return;
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const char *service = key;

		if (aub_placer_of(placer, service, now_us)) {
			tell_held(placer, service, now_us);
			if (is_first_of_zone(placer, service))
				aub_placer_wake_near(placer, service);
			continue;
		}
		if (!aub_peers_self(placer->options.peers)->ready)
			continue;
		aub_placer_wake_service(placer, service);
		tell_beliefs(placer, service, now_us);
		log_refusals(placer, service, now_us);
	}
}

void aub_placer_take_held(struct aub_placer *placer,
			  const struct aub_place_held *message)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement *placement =
		aub_placer_placement(placer, message->service);
	guint64 *tickets = g_new(guint64, message->held->len + 1);

	for (guint i = 0; i < message->held->len; i++) {
		const struct aub_held *held =
			g_ptr_array_index(message->held, i);

		tickets[i] = held->ticket;
		aub_placement_adopt(placement, message->holder, held->ticket,
				    held->upstream, held->target_ms, now);
	}
	aub_placement_held(placement, message->holder, tickets,
			   message->held->len, now);
	g_free(tickets);
	aub_placer_drain(placer, placement);
}

/* Whoever places for a service itself goes by its own probes. */
void aub_placer_take_beliefs(struct aub_placer *placer,
			     struct aub_place_beliefs *message)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement *placement =
		aub_placer_placement(placer, message->service);
	const struct aub_active *active =
		g_hash_table_lookup(placer->active, message->service);

	if (message->relay && is_first_of_zone(placer, message->service)) {
		message->relay = false;
		aub_peers_send_zone(placer->options.peers, &message->base);
	}
	if (active && active->until_us > now)
		return;
	aub_placement_believe_well(placement);
	for (guint i = 0; i < message->beliefs->len; i++) {
		const struct aub_place_belief *told =
			g_ptr_array_index(message->beliefs, i);
		const struct aub_belief belief = {
			.upstream = told->upstream,
			.down = told->down,
			.unknown = told->unknown,
			.cold_ms = told->cold_ms,
			.slowdown = told->slowdown,
		};

		aub_placement_believe(placement, &belief, now);
	}
}

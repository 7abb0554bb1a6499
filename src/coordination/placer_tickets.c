/*
 * Tickets: this gateway's own requests, from asking for an upstream to the
 * report of what became of it.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/placer_parts.h>

#include <string.h>

/*
 * An answer takes 2 ms between zones. A placer whose processor share is used
 * up stands still for up to 100 ms: the next one is asked before that.
 */
#define ASK_AGAIN_US (15 * AUB_MS)
#define ASK_NEXT_US (50 * AUB_MS)
#define ASK_MOST 2 /* placers asked before placing alone */
/* At first for as long as a death takes to be seen within a zone. */
#define SUSPECT_US (1000 * AUB_MS)
#define SUSPECT_MOST_US (8000 * AUB_MS)

/* Odd, so that tickets of one incarnation differ for 2^64 requests. */
#define TICKET_STEP G_GUINT64_CONSTANT(0x9E3779B97F4A7C15)

void aub_ticket_free(void *data)
{
	struct aub_ticket *ticket = data;

	g_free(ticket->service);
	g_free(ticket->upstream);
	g_ptr_array_unref(ticket->avoid);
	g_free(ticket);
}

static struct aub_peer *target_of(struct aub_placer *placer,
				  const struct aub_ticket *ticket)
{
	const GPtrArray *ranked =
		aub_peers_ranked(placer->options.peers, ticket->service);
	gint64 now = aub_timer_now(placer->options.timers);

	if (ticket->asked >= ASK_MOST)
		return NULL;
	for (guint i = 0; i < ranked->len; i++) {
		struct aub_peer *peer = g_ptr_array_index(ranked, i);

		if (peer->self || peer->suspect_until_us <= now)
			return peer;
	}
	return NULL;
}

static void ticket_ask(struct aub_placer *placer, struct aub_ticket *ticket);

static const char *peer_name(const struct aub_placer *placer,
			     guint64 incarnation)
{
	struct aub_peer *peer =
		aub_peers_by_incarnation(placer->options.peers, incarnation);

	return peer ? peer->name : "";
}

/*
 * Failure: the placer has not yet heard that an upstream or a zone leaves,
 * and this process has. Symptom: it gets new requests long after it should.
 * Enough: a grant that is known here to be void goes back, and the request
 * asks anew without that upstream.
 */
static bool is_void(struct aub_placer *placer, struct aub_ticket *ticket,
		    const struct aub_decision *decision, guint64 from)
{
	const struct aub_attempt_report unused = {
		.ticket = ticket->id,
		.end = AUB_END_UNUSED,
		.load = AUB_LOAD_UNKNOWN,
	};

	if (decision->verdict != AUB_VERDICT_GRANTED ||
	    aub_placement_may_send(aub_placer_placement(placer,
							ticket->service),
				   decision->upstream))
		return false;
	g_ptr_array_add(ticket->avoid, g_strdup(decision->upstream));
	ticket->granted_by = from;
	aub_ticket_send_report(placer, ticket, &unused);
	ticket->granted_by = 0;
	ticket_ask(placer, ticket);
	return true;
}

/* Pass a decision on to the request; the ticket ends unless it was granted. */
void aub_ticket_settle(struct aub_placer *placer, struct aub_ticket *ticket,
		       const struct aub_decision *decision, guint64 from)
{
	gint64 now = aub_timer_now(placer->options.timers);
	aub_placed_callback *callback = ticket->placed;
	void *context = ticket->context;
	const struct aub_placed placed = {
		.verdict = decision->verdict,
		.upstream = decision->upstream,
		.address = decision->address,
		.retry_after_ms = decision->retry_after_ms,
		.placer = peer_name(placer, from),
		.waited_us = now - ticket->since_us,
	};

	if (is_void(placer, ticket, decision, from))
		return;
	ticket->placed = NULL;
	ticket->granted_by = from;
	if (decision->verdict == AUB_VERDICT_GRANTED)
		ticket->upstream = g_strdup(decision->upstream);
	else
		g_hash_table_remove(placer->tickets, &decision->ticket);
	callback(&placed, context);
}

static void fill_ask(const struct aub_placer *placer,
		     const struct aub_ticket *ticket, struct aub_ask *ask)
{
	*ask = ticket->ask;
	ask->ticket = ticket->id;
	ask->holder = placer->options.incarnation;
	ask->zone = placer->zone;
	ask->avoid = (const char *const *)ticket->avoid->pdata;
	ask->avoid_count = ticket->avoid->len;
}

static void place_here(struct aub_placer *placer, struct aub_ticket *ticket,
		       bool alone)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_decision decision;
	struct aub_ask ask;

	fill_ask(placer, ticket, &ask);
	ask.alone = alone;
	if (alone)
		placer->counts.placed_alone++;
	else
		aub_placer_wake_service(placer, ticket->service);
	ticket->local = true;
	aub_placement_ask(aub_placer_placement(placer, ticket->service), &ask,
			  now, &decision);
	placer->counts.placed_here++;
	if (decision.verdict == AUB_VERDICT_QUEUED) {
		ticket->queued = true;
		ticket->next_us = G_MAXINT64;
	} else {
		aub_ticket_settle(placer, ticket, &decision,
				  placer->options.incarnation);
	}
}

/* Nobody who ranks before `peer` is suspected. */
static bool is_first_choice(struct aub_placer *placer, const char *service,
			    const struct aub_peer *peer)
{
	const GPtrArray *ranked =
		aub_peers_ranked(placer->options.peers, service);

	return ranked->len && g_ptr_array_index(ranked, 0) == peer;
}

static void send_ask(struct aub_placer *placer, struct aub_ticket *ticket,
		     const struct aub_peer *peer)
{
	struct aub_place_request *message =
		(struct aub_place_request *)aub_message_new(AUB_MESSAGE_PLACE_REQUEST);

	message->holder = placer->options.incarnation;
	message->ticket = ticket->id;
	aub_string_set(&message->service, ticket->service);
	aub_string_set(&message->zone, placer->zone);
	message->priority = ticket->ask.priority;
	message->target_ms = ticket->ask.target_ms;
	message->on_time_ms = ticket->ask.on_time_ms;
	message->max_wait_ms = ticket->ask.max_wait_ms;
	message->retry = ticket->ask.retry;
	message->route = ticket->ask.route;
	message->forward = is_first_choice(placer, ticket->service, peer);
	ticket->forwardable = message->forward;
	for (guint i = 0; i < ticket->avoid->len; i++)
		g_ptr_array_add(message->avoid,
				aub_name_new(
					g_ptr_array_index(ticket->avoid, i)));
	aub_peers_send(placer->options.peers, peer, &message->base);
	aub_message_free(&message->base);
}

/*
 * Another placer can be asked as soon as first heartbeats are back, though it
 * may turn out to be the wrong one; only who would place itself has to be sure.
 */
static bool waits_to_settle(const struct aub_placer *placer,
			    const struct aub_peer *peer, gint64 now_us)
{
	if (placer->settled)
		return false;
	return !peer || peer->self || !aub_placer_hears(placer, now_us);
}

/* Ask whoever is next; here, when nobody is left. */
static void ticket_ask(struct aub_placer *placer, struct aub_ticket *ticket)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_peer *peer = target_of(placer, ticket);

	ticket->queued = false;
	if (waits_to_settle(placer, peer, now)) {
		ticket->next_us = now + AUB_SETTLE_CHECK_US;
		return;
	}
	if (!peer || peer->self) {
		place_here(placer, ticket, !peer);
		return;
	}
	ticket->asked++;
	ticket->sends = 1;
	ticket->placer = peer->incarnation;
	ticket->sent_us = now;
	ticket->next_us = now + ASK_AGAIN_US;
	send_ask(placer, ticket, peer);
}

/*
 * Failure: a placer of another zone dies, and its heartbeats come too rarely to
 * be missed soon. Symptom: each second one request of each gateway waits for
 * it in vain. Enough: it is suspected for twice as long each time, until it
 * is heard again.
 */
static void suspect(struct aub_peer *peer, gint64 now_us)
{
	bool heard = peer->heard_us > peer->suspect_until_us - peer->suspect_us;

	/* Several requests may have waited through the same silence. */
	if (peer->suspect_until_us > now_us)
		return;
	if (heard || !peer->suspect_us)
		peer->suspect_us = SUSPECT_US;
	else
		peer->suspect_us = MIN(2 * peer->suspect_us, SUSPECT_MOST_US);
	peer->suspect_until_us = now_us + peer->suspect_us;
}

static void ask_next(struct aub_placer *placer, struct aub_ticket *ticket,
		     struct aub_peer *peer, gint64 now_us)
{
	placer->counts.suspected++;
	if (peer) {
		suspect(peer, now_us);
		aub_log_begin(AUB_LOG_PLACER_SUSPECTED);
		aub_log_text("peer", peer->name);
		aub_log_text("service", ticket->service);
		aub_log_number("heard_ms", (now_us - peer->heard_us) / AUB_MS);
		aub_log_end();
	}
	ticket_ask(placer, ticket);
}

static void ticket_due(struct aub_placer *placer, struct aub_ticket *ticket,
		       gint64 now_us)
{
	struct aub_peer *peer =
		aub_peers_by_incarnation(placer->options.peers, ticket->placer);

	if (!ticket->sends) {
		ticket_ask(placer, ticket);
		return;
	}
	if (!ticket->queued && ticket->sends == 1 && peer && peer->alive) {
		ticket->sends++;
		ticket->next_us = ticket->sent_us + ASK_NEXT_US;
		send_ask(placer, ticket, peer);
		return;
	}
	ask_next(placer, ticket, peer, now_us);
}

void aub_tickets_due(struct aub_placer *placer, gint64 now_us)
{
	GPtrArray *due = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placer->tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct aub_ticket *ticket = value;

		if (ticket->placed && ticket->next_us <= now_us)
			g_ptr_array_add(due, GSIZE_TO_POINTER(ticket->id));
	}
	for (guint i = 0; i < due->len; i++) {
		guint64 id = GPOINTER_TO_SIZE(g_ptr_array_index(due, i));
		struct aub_ticket *ticket =
			g_hash_table_lookup(placer->tickets, &id);

		if (ticket && ticket->placed && ticket->next_us <= now_us)
			ticket_due(placer, ticket, now_us);
	}
	g_ptr_array_unref(due);
}

guint64 aub_placer_ticket(struct aub_placer *placer)
{
	placer->serial++;
	return placer->options.incarnation + placer->serial * TICKET_STEP;
}

void aub_placer_ask(struct aub_placer *placer, const char *service,
		    const struct aub_ask *ask, guint64 id,
		    aub_placed_callback *placed, void *context)
{
	struct aub_ticket *ticket = g_new0(struct aub_ticket, 1);

	ticket->id = id;
	ticket->service = g_strdup(service);
	ticket->ask = *ask;
	ticket->placed = placed;
	ticket->context = context;
	ticket->since_us = aub_timer_now(placer->options.timers);
	ticket->avoid = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < ask->avoid_count; i++)
		g_ptr_array_add(ticket->avoid, g_strdup(ask->avoid[i]));
	g_hash_table_insert(placer->tickets, &ticket->id, ticket);
	placer->counts.asked++;
	ticket_ask(placer, ticket);
	aub_placer_arm(placer);
}

void aub_ticket_send_report(struct aub_placer *placer,
			    struct aub_ticket *ticket,
			    const struct aub_attempt_report *report)
{
	guint64 to = ticket->granted_by ? ticket->granted_by : ticket->placer;
	struct aub_peer *peer =
		aub_peers_by_incarnation(placer->options.peers, to);
	struct aub_place_report *message;

	if (!peer)
		return;
	message = (struct aub_place_report *)aub_message_new(
		AUB_MESSAGE_PLACE_REPORT);
	message->ticket = ticket->id;
	aub_string_set(&message->service, ticket->service);
	message->end = report->end;
	message->elapsed_us = (guint64)report->elapsed_us;
	message->load = aub_load_tell(&report->load);
	aub_peers_send(placer->options.peers, peer, &message->base);
	aub_message_free(&message->base);
}

void aub_placer_take_report(struct aub_placer *placer, const char *service,
			    const struct aub_attempt_report *report)
{
	struct aub_placement *placement = aub_placer_placement(placer, service);

	aub_placement_report(placement, report,
			     aub_timer_now(placer->options.timers));
	aub_placer_drain(placer, placement);
}

void aub_placer_report(struct aub_placer *placer, guint64 id,
		       enum aub_attempt_end end, gint64 elapsed_us,
		       const struct aub_load *load)
{
	const struct aub_load nothing = AUB_LOAD_UNKNOWN;
	struct aub_ticket *ticket = g_hash_table_lookup(placer->tickets, &id);
	const struct aub_attempt_report report = {
		.ticket = id,
		.end = end,
		.elapsed_us = elapsed_us,
		.load = load ? *load : nothing,
	};

	if (!ticket)
		return;
	g_hash_table_steal(placer->tickets, &id);
	if (ticket->local)
		aub_placer_take_report(placer, ticket->service, &report);
	else
		aub_ticket_send_report(placer, ticket, &report);
	aub_ticket_free(ticket);
}

void aub_placer_cancel(struct aub_placer *placer, guint64 ticket)
{
	aub_placer_report(placer, ticket, AUB_END_UNUSED, 0, NULL);
}

/*
 * The placer: tickets of this gateway's own requests, and the placements it
 * keeps for all.
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
/* Passed by for as long as a death takes to be seen. */
#define SUSPECT_US (1000 * AUB_MS)
#define QUEUED_SLACK_US (150 * AUB_MS)

#define TICK_US (10 * AUB_MS) /* how late a queue's head may be looked at */
#define ROUND_US (1000 * AUB_MS) /* what a lost report costs at most */

/* Odd, so that tickets of one incarnation differ for 2^64 requests. */
#define TICKET_STEP G_GUINT64_CONSTANT(0x9E3779B97F4A7C15)

/*
 * Failure: many gateways start at once, and each places for itself until it
 * has heard the others. Symptom: each probes every upstream, 22,000
 * connections at 142 gateways, and slots are promised many times. Enough: a
 * fresh gateway waits for as long as first beacons take to come back, and then
 * until no more of them come; small VMs need half a second for 140.
 */
#define SETTLE_US (250 * AUB_MS)
#define SETTLE_QUIET_US (100 * AUB_MS)
#define SETTLE_MOST_US (1000 * AUB_MS)
#define SETTLE_CHECK_US (25 * AUB_MS)

bool aub_placer_is_settled(const struct aub_placer *placer)
{
	return placer->settled;
}

static bool has_heard_all(const struct aub_placer *placer, gint64 now_us)
{
	gint64 joined_us = aub_peers_joined_us(placer->options.peers);
	gint64 age_us = now_us - placer->since_us;

	return age_us >= SETTLE_MOST_US ||
	       (age_us >= SETTLE_US && now_us - joined_us >= SETTLE_QUIET_US);
}

void aub_placer_on_settle_check(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;

	if (!has_heard_all(placer, now_us))
		return;
	aub_timer_cancel(placer->options.timers, placer->settle_timer);
	placer->settle_timer = 0;
	placer->settled = true;
	aub_placer_on_round(placer, now_us);
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

struct aub_placement *aub_placer_placement(struct aub_placer *placer,
					   const char *service)
{
	struct aub_placement *placement =
		g_hash_table_lookup(placer->placements, service);
	GHashTableIter iter;
	void *zone;

	if (placement)
		return placement;
	placement = aub_placement_new(service, &placer->options.limits);
	g_hash_table_iter_init(&iter, placer->zones_out);
	while (g_hash_table_iter_next(&iter, &zone, NULL))
		aub_placement_zone_out(placement, zone, true, 0);
	g_hash_table_insert(placer->placements, g_strdup(service), placement);
	return placement;
}

static void ticket_free(void *data)
{
	struct aub_ticket *ticket = data;

	g_free(ticket->service);
	g_free(ticket->upstream);
	g_ptr_array_unref(ticket->avoid);
	g_free(ticket);
}

static void arm(struct aub_placer *placer);
static void ticket_ask(struct aub_placer *placer, struct aub_ticket *ticket);
static void send_report(struct aub_placer *placer, struct aub_ticket *ticket,
			const struct aub_attempt_report *report);

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
		.load = { -1, -1, -1, -1, -1 },
	};

	if (decision->verdict != AUB_VERDICT_GRANTED ||
	    aub_placement_may_send(aub_placer_placement(placer,
							ticket->service),
				   decision->upstream))
		return false;
	g_ptr_array_add(ticket->avoid, g_strdup(decision->upstream));
	ticket->granted_by = from;
	send_report(placer, ticket, &unused);
	ticket->granted_by = 0;
	ticket_ask(placer, ticket);
	return true;
}

/* Pass a decision on to the request; the ticket ends unless it was granted. */
static void settle(struct aub_placer *placer, struct aub_ticket *ticket,
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
		settle(placer, ticket, &decision, placer->options.incarnation);
	}
}

static void send_ask(struct aub_placer *placer, struct aub_ticket *ticket,
		     const struct aub_peer *peer)
{
	struct aub_place_ask *message =
		(struct aub_place_ask *)aub_message_new(AUB_MESSAGE_PLACE_ASK);

	message->holder = placer->options.incarnation;
	message->ticket = ticket->id;
	aub_string_set(&message->service, ticket->service);
	aub_string_set(&message->zone, placer->zone);
	message->priority = ticket->ask.priority;
	message->target_ms = ticket->ask.target_ms;
	message->on_time_ms = ticket->ask.on_time_ms;
	message->patience_ms = ticket->ask.patience_ms;
	message->retry = ticket->ask.retry;
	for (guint i = 0; i < ticket->avoid->len; i++)
		g_ptr_array_add(message->avoid,
				aub_name_new(
					g_ptr_array_index(ticket->avoid, i)));
	aub_peers_send(placer->options.peers, peer, &message->base);
	aub_message_free(&message->base);
}

/*
 * Another placer can be asked as soon as first beacons are back, though it may
 * turn out to be the wrong one; only who would place itself has to be sure.
 */
static bool waits_to_settle(const struct aub_placer *placer,
			    const struct aub_peer *peer, gint64 now_us)
{
	if (placer->settled)
		return false;
	return !peer || peer->self || now_us - placer->since_us < SETTLE_US;
}

/* Ask whoever is next; here, when nobody is left. */
static void ticket_ask(struct aub_placer *placer, struct aub_ticket *ticket)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_peer *peer = target_of(placer, ticket);

	ticket->queued = false;
	if (waits_to_settle(placer, peer, now)) {
		ticket->next_us = now + SETTLE_CHECK_US;
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

static void pass_by(struct aub_placer *placer, struct aub_ticket *ticket,
		    struct aub_peer *peer, gint64 now_us)
{
	placer->counts.passed_by++;
	if (peer) {
		peer->suspect_until_us = now_us + SUSPECT_US;
		aub_log_begin(AUB_LOG_PLACER_PASSED_BY);
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
	pass_by(placer, ticket, peer, now_us);
}

static void tickets_due(struct aub_placer *placer, gint64 now_us)
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

static void send_decision(struct aub_placer *placer,
			  const struct aub_decision *decision)
{
	struct aub_peer *peer = aub_peers_by_incarnation(placer->options.peers,
							 decision->holder);
	struct aub_place_decision *message;

	if (!peer)
		return;
	message = (struct aub_place_decision *)aub_message_new(
		AUB_MESSAGE_PLACE_DECISION);
	message->ticket = decision->ticket;
	message->placer = placer->options.incarnation;
	message->verdict = decision->verdict;
	message->retry_after_ms = decision->retry_after_ms;
	if (decision->verdict == AUB_VERDICT_GRANTED) {
		aub_string_set(&message->upstream, decision->upstream);
		aub_string_set(&message->address, decision->address);
	}
	aub_peers_send(placer->options.peers, peer, &message->base);
	aub_message_free(&message->base);
}

/* A decision of a placement here, for whoever asked. */
static void deliver(struct aub_placer *placer,
		    const struct aub_decision *decision)
{
	struct aub_ticket *ticket;

	if (decision->holder != placer->options.incarnation) {
		send_decision(placer, decision);
		return;
	}
	ticket = g_hash_table_lookup(placer->tickets, &decision->ticket);
	if (ticket && ticket->placed)
		settle(placer, ticket, decision, placer->options.incarnation);
}

void aub_placer_drain(struct aub_placer *placer,
		      struct aub_placement *placement)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_decision decision;

	while (aub_placement_next(placement, now, &decision))
		deliver(placer, &decision);
}

static bool queues_drain(struct aub_placer *placer)
{
	GHashTableIter iter;
	void *placement;
	bool queued = false;

	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement)) {
		if (!aub_placement_queued(placement))
			continue;
		aub_placer_drain(placer, placement);
		queued = queued || aub_placement_queued(placement);
	}
	return queued;
}

static bool has_waiting_ticket(const struct aub_placer *placer)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placer->tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct aub_ticket *)value)->placed)
			return true;
	return false;
}

static void on_tick(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;

	placer->tick = 0;
	tickets_due(placer, now_us);
	if (queues_drain(placer) || has_waiting_ticket(placer))
		arm(placer);
}

static void arm(struct aub_placer *placer)
{
	struct aub_timer_service *timers = placer->options.timers;

	if (!placer->tick)
		placer->tick = aub_timer_at(timers, "placer",
					    aub_timer_now(timers) + TICK_US,
					    on_tick, placer);
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
	arm(placer);
}

static void send_report(struct aub_placer *placer, struct aub_ticket *ticket,
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
	message->running = (guint32)(report->load.running + 1);
	message->waiting = (guint32)(report->load.waiting + 1);
	message->slots = (guint32)(report->load.slots + 1);
	message->slowdown = (guint32)(report->load.slowdown + 1);
	message->warmup_ms = (guint32)(report->load.warmup_ms + 1);
	aub_peers_send(placer->options.peers, peer, &message->base);
	aub_message_free(&message->base);
}

static void take_report(struct aub_placer *placer, const char *service,
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
	const struct aub_load nothing = { -1, -1, -1, -1, -1 };
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
		take_report(placer, ticket->service, &report);
	else
		send_report(placer, ticket, &report);
	ticket_free(ticket);
}

void aub_placer_cancel(struct aub_placer *placer, guint64 ticket)
{
	aub_placer_report(placer, ticket, AUB_END_UNUSED, 0, NULL);
}

static void take_ask(struct aub_placer *placer,
		     const struct aub_place_ask *message)
{
	struct aub_placement *placement =
		aub_placer_placement(placer, message->service);
	GPtrArray *avoid = g_ptr_array_new();
	struct aub_ask ask = {
		.ticket = message->ticket,
		.holder = message->holder,
		.zone = message->zone,
		.priority = message->priority,
		.target_ms = message->target_ms,
		.on_time_ms = message->on_time_ms,
		.patience_ms = message->patience_ms,
		.retry = message->retry,
	};
	struct aub_decision decision;

	for (guint i = 0; i < message->avoid->len; i++)
		g_ptr_array_add(avoid, ((struct aub_name *)g_ptr_array_index(
						message->avoid, i))
					       ->name);
	ask.avoid = (const char *const *)avoid->pdata;
	ask.avoid_count = avoid->len;
	aub_placer_wake_service(placer, message->service);
	aub_placement_ask(placement, &ask,
			  aub_timer_now(placer->options.timers), &decision);
	placer->counts.placed_here++;
	send_decision(placer, &decision);
	if (decision.verdict == AUB_VERDICT_QUEUED)
		arm(placer);
	g_ptr_array_unref(avoid);
}

/* A grant that came too late for its ticket goes back at once. */
static void return_grant(struct aub_placer *placer,
			 const struct aub_place_decision *message)
{
	const struct aub_attempt_report report = {
		.ticket = message->ticket,
		.end = AUB_END_UNUSED,
		.load = { -1, -1, -1, -1, -1 },
	};
	struct aub_ticket ticket = {
		.id = message->ticket,
		.service = (char *)"",
		.granted_by = message->placer,
	};

	send_report(placer, &ticket, &report);
}

static void take_decision(struct aub_placer *placer,
			  const struct aub_place_decision *message)
{
	struct aub_ticket *ticket =
		g_hash_table_lookup(placer->tickets, &message->ticket);
	const struct aub_decision decision = {
		.ticket = message->ticket,
		.verdict = (enum aub_verdict)message->verdict,
		.upstream = message->upstream,
		.address = message->address,
		.retry_after_ms = message->retry_after_ms,
	};

	if (message->verdict > AUB_VERDICT_NO_BUDGET)
		return;
	if (!ticket || !ticket->placed || ticket->local ||
	    ticket->placer != message->placer) {
		bool same = ticket && ticket->granted_by == message->placer;

		if (decision.verdict == AUB_VERDICT_GRANTED && !same)
			return_grant(placer, message);
		return;
	}
	if (decision.verdict == AUB_VERDICT_QUEUED) {
		ticket->queued = true;
		ticket->next_us = ticket->sent_us +
				  ticket->ask.patience_ms * AUB_MS +
				  QUEUED_SLACK_US;
		return;
	}
	settle(placer, ticket, &decision, message->placer);
}

static void take_remote_report(struct aub_placer *placer,
			       const struct aub_place_report *message)
{
	const struct aub_attempt_report report = {
		.ticket = message->ticket,
		.end = (enum aub_attempt_end)message->end,
		.elapsed_us = (gint64)message->elapsed_us,
		.load = {
			.running = (gint)message->running - 1,
			.waiting = (gint)message->waiting - 1,
			.slots = (gint)message->slots - 1,
			.slowdown = (gint)message->slowdown - 1,
			.warmup_ms = (gint)message->warmup_ms - 1,
		},
	};
	GHashTableIter iter;
	void *placement;

	if (message->end > AUB_END_UNUSED)
		return;
	if (message->service[0]) {
		take_report(placer, message->service, &report);
		return;
	}
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement))
		aub_placement_report(placement, &report,
				     aub_timer_now(placer->options.timers));
}

void aub_placer_message(struct aub_placer *placer, struct aub_message *message)
{
	switch (message->type) {
	case AUB_MESSAGE_PLACE_ASK:
		take_ask(placer, (struct aub_place_ask *)message);
		break;
	case AUB_MESSAGE_PLACE_DECISION:
		take_decision(placer, (struct aub_place_decision *)message);
		break;
	case AUB_MESSAGE_PLACE_REPORT:
		take_remote_report(placer, (struct aub_place_report *)message);
		break;
	case AUB_MESSAGE_PLACE_HELD:
		aub_placer_take_held(placer, (struct aub_place_held *)message);
		break;
	case AUB_MESSAGE_PLACE_PROBED:
		aub_placer_take_probed(placer,
				       (struct aub_place_probed *)message);
		break;
	case AUB_MESSAGE_PLACE_BELIEFS:
		aub_placer_take_beliefs(placer,
					(struct aub_place_beliefs *)message);
		break;
	default:
		break;
	}
	aub_message_free(message);
}

void aub_placer_peer_lost(struct aub_placer *placer, guint64 incarnation)
{
	gint64 now = aub_timer_now(placer->options.timers);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		aub_placement_forget(value, incarnation, now);
	g_hash_table_iter_init(&iter, placer->tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct aub_ticket *ticket = value;

		if (ticket->placed && ticket->placer == incarnation)
			ticket->next_us = now;
	}
}

void aub_placer_configure(struct aub_placer *placer,
			  const struct aub_routing *routing)
{
	GHashTableIter iter;
	void *spec;

	g_hash_table_iter_init(&iter, routing->services);
	while (g_hash_table_iter_next(&iter, NULL, &spec))
		aub_placement_configure(
			aub_placer_placement(
				placer,
				((struct aub_service_spec *)spec)->name),
			spec);
}

void aub_placer_upstream(struct aub_placer *placer, const char *id,
			 const struct aub_upstream_record *record)
{
	gint64 now = aub_timer_now(placer->options.timers);
	const char *before = g_hash_table_lookup(placer->service_of, id);

	if (before && (!record || strcmp(before, record->service) != 0))
		aub_placement_register(aub_placer_placement(placer, before), id,
				       NULL, now);
	if (!record) {
		g_hash_table_remove(placer->service_of, id);
		return;
	}
	g_hash_table_insert(placer->service_of, g_strdup(id),
			    g_strdup(record->service));
	aub_placement_register(aub_placer_placement(placer, record->service),
			       id, record, now);
}

void aub_placer_zone_out(struct aub_placer *placer, const char *zone, bool out)
{
	gint64 now = aub_timer_now(placer->options.timers);
	GHashTableIter iter;
	void *placement;

	if (out)
		g_hash_table_add(placer->zones_out, g_strdup(zone));
	else
		g_hash_table_remove(placer->zones_out, zone);
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement))
		aub_placement_zone_out(placement, zone, out, now);
}

struct aub_placer *aub_placer_new(const struct aub_placer_options *options)
{
	struct aub_placer *placer = g_new0(struct aub_placer, 1);

	placer->options = *options;
	placer->zone = g_strdup(options->zone);
	placer->since_us = aub_timer_now(options->timers);
	placer->placements =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)aub_placement_free);
	placer->service_of =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	placer->zones_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	placer->tickets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, ticket_free);
	placer->active = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       aub_active_free);
	placer->held_told =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	placer->probes = g_ptr_array_new();
	placer->settle_timer =
		aub_timer_every(options->timers, "settle", SETTLE_CHECK_US,
				aub_placer_on_settle_check, placer);
	placer->round = aub_timer_every(options->timers, "placer round",
					ROUND_US, aub_placer_on_round, placer);
	return placer;
}

void aub_placer_free(struct aub_placer *placer)
{
	if (!placer)
		return;
	aub_timer_cancel(placer->options.timers, placer->tick);
	aub_timer_cancel(placer->options.timers, placer->settle_timer);
	aub_timer_cancel(placer->options.timers, placer->round);
	aub_timer_cancel(placer->options.timers, placer->probe_timer);
	aub_timer_cancel(placer->options.timers, placer->tell_timer);
	aub_placer_probes_stop(placer);
	g_hash_table_unref(placer->tickets);
	g_hash_table_unref(placer->placements);
	g_hash_table_unref(placer->service_of);
	g_hash_table_unref(placer->zones_out);
	g_hash_table_unref(placer->active);
	g_free(placer->zone);
	g_free(placer);
}

const struct aub_placer_counts *aub_placer_get_counts(
	const struct aub_placer *placer)
{
	return &placer->counts;
}

void aub_placer_set_limits(struct aub_placer *placer,
			   const struct aub_placement_limits *limits)
{
	GHashTableIter iter;
	void *placement;

	placer->options.limits = *limits;
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement))
		aub_placement_set_limits(placement, limits);
}

void aub_placer_visit(struct aub_placer *placer, aub_placement_visitor *visit,
		      void *context)
{
	gint64 now = aub_timer_now(placer->options.timers);
	GHashTableIter iter;
	void *placement;

	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement)) {
		struct aub_placement_state state;

		aub_placement_get_state(placement, now, &state);
		visit(aub_placement_service(placement), &state, context);
	}
}

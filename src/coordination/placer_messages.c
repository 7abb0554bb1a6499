/*
 * Messages between gateways about placing: asks and reports that come in,
 * decisions that go out.
 */
#include <auburnstile/internal/placer_parts.h>

struct aub_reported_load aub_load_tell(const struct aub_load *load)
{
	return (struct aub_reported_load){
		.running = (guint32)(load->running + 1),
		.waiting = (guint32)(load->waiting + 1),
		.slots = (guint32)(load->slots + 1),
		.slowdown = (guint32)(load->slowdown + 1),
		.warmup_ms = (guint32)(load->warmup_ms + 1),
	};
}

struct aub_load aub_load_of(const struct aub_reported_load *told)
{
	return (struct aub_load){
		.running = (gint)told->running - 1,
		.waiting = (gint)told->waiting - 1,
		.slots = (gint)told->slots - 1,
		.slowdown = (gint)told->slowdown - 1,
		.warmup_ms = (gint)told->warmup_ms - 1,
	};
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
void aub_placer_deliver(struct aub_placer *placer,
			const struct aub_decision *decision)
{
	struct aub_ticket *ticket;

	if (decision->holder != placer->options.incarnation) {
		send_decision(placer, decision);
		return;
	}
	ticket = g_hash_table_lookup(placer->tickets, &decision->ticket);
	if (ticket && ticket->placed)
		aub_ticket_settle(placer, ticket, decision,
				  placer->options.incarnation);
}

/*
 * Failure: a gateway that has just started does not know of the gateway that
 * ranks first, and asks another. Symptom: that one probes every upstream and
 * gives slots away that the first one counts. Enough: it passes the ask on,
 * once; the decision goes to the asker.
 */
static bool forward_ask(struct aub_placer *placer,
			const struct aub_peer *holder,
			struct aub_place_request *message)
{
	struct aub_peer *better = NULL;

	if (message->forward)
		better = aub_placer_of(placer, message->service,
				       aub_timer_now(placer->options.timers));
	if (!better || better == holder)
		return false;
	message->forward = false;
	aub_string_set(&message->address, holder->address);
	placer->counts.forwarded++;
	aub_peers_send(placer->options.peers, better, &message->base);
	return true;
}

static void take_ask(struct aub_placer *placer, struct aub_place_request *message)
{
	struct aub_placement *placement =
		aub_placer_placement(placer, message->service);
	GPtrArray *avoid;
	struct aub_ask ask = {
		.ticket = message->ticket,
		.holder = message->holder,
		.zone = message->zone,
		.priority = message->priority,
		.target_ms = message->target_ms,
		.on_time_ms = message->on_time_ms,
		.max_wait_ms = message->max_wait_ms,
		.retry = message->retry,
		.route = message->route,
	};
	struct aub_decision decision;
	struct aub_peer *holder =
		aub_peers_by_incarnation(placer->options.peers,
					 message->holder);

	/*
	 * Failure: a grant for a gateway that this one does not know. Symptom:
	 * the slot is lost, since no decision reaches it and no report comes
	 * back. Enough: it is met first; the holder asks again at once.
	 */
	if (!holder) {
		if (message->address[0])
			aub_peers_add(placer->options.peers, message->address);
		return;
	}
	if (forward_ask(placer, holder, message))
		return;
	avoid = g_ptr_array_new();
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
		aub_placer_arm(placer);
	g_ptr_array_unref(avoid);
}

/* A grant that came too late for its ticket goes back at once. */
static void return_grant(struct aub_placer *placer,
			 const struct aub_place_decision *message)
{
	const struct aub_attempt_report report = {
		.ticket = message->ticket,
		.end = AUB_END_UNUSED,
		.load = AUB_LOAD_UNKNOWN,
	};
	struct aub_ticket ticket = {
		.id = message->ticket,
		.service = (char *)"",
		.granted_by = message->placer,
	};

	aub_ticket_send_report(placer, &ticket, &report);
}

/* The next suspicion of whoever answers is a short one again. */
static void answered(struct aub_placer *placer, guint64 incarnation)
{
	struct aub_peer *peer =
		aub_peers_by_incarnation(placer->options.peers, incarnation);

	if (peer)
		peer->suspect_us = 0;
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
	    (ticket->placer != message->placer && !ticket->forwardable)) {
		bool same = ticket && ticket->granted_by == message->placer;

		if (decision.verdict == AUB_VERDICT_GRANTED && !same)
			return_grant(placer, message);
		return;
	}
	ticket->placer = message->placer;
	ticket->forwardable = false;
	answered(placer, message->placer);
	if (decision.verdict == AUB_VERDICT_QUEUED) {
		ticket->queued = true;
		ticket->next_us = ticket->sent_us +
				  ticket->ask.max_wait_ms * AUB_MS +
				  AUB_QUEUED_SLACK_US;
		return;
	}
	aub_ticket_settle(placer, ticket, &decision, message->placer);
}

static void take_remote_report(struct aub_placer *placer,
			       const struct aub_place_report *message)
{
	const struct aub_attempt_report report = {
		.ticket = message->ticket,
		.end = (enum aub_attempt_end)message->end,
		.elapsed_us = (gint64)message->elapsed_us,
		.load = aub_load_of(&message->load),
	};
	GHashTableIter iter;
	void *placement;

	if (message->end > AUB_END_UNUSED)
		return;
	if (message->service[0]) {
		aub_placer_take_report(placer, message->service, &report);
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
	case AUB_MESSAGE_PLACE_REQUEST:
		take_ask(placer, (struct aub_place_request *)message);
		break;
	case AUB_MESSAGE_PLACE_DECISION:
		take_decision(placer, (struct aub_place_decision *)message);
		break;
	case AUB_MESSAGE_PLACE_REPORT:
		take_remote_report(placer, (struct aub_place_report *)message);
		break;
	case AUB_MESSAGE_PLACE_OUTSTANDING:
		aub_placer_take_outstanding(
			placer, (struct aub_place_outstanding *)message);
		break;
	case AUB_MESSAGE_PLACE_PROBE_RESULTS:
		aub_placer_take_probed(placer,
				       (struct aub_place_probe_results *)message);
		break;
	case AUB_MESSAGE_PLACE_HEALTH:
		aub_placer_take_health(placer,
				       (struct aub_place_health *)message);
		break;
	case AUB_MESSAGE_PLACE_ROLLOUT:
		aub_placer_take_rollout(placer,
					(struct aub_place_rollout *)message);
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

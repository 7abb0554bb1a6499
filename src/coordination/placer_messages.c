/*
 * Placement messages between gateways: incoming requests and reports, and
 * outgoing decisions.
 */
#include <auburnstile/internal/placer_internal.h>

struct aub_reported_load aub_load_encode(const struct aub_load *load)
{
	return (struct aub_reported_load){
		.running = (guint32)(load->running + 1),
		.waiting = (guint32)(load->waiting + 1),
		.slots = (guint32)(load->slots + 1),
		.slowdown = (guint32)(load->slowdown + 1),
		.warmup_ms = (guint32)(load->warmup_ms + 1),
		.limit = load->limit,
		.limit_per_1000_s = load->limit_per_1000_s,
		.leaving = load->leaving,
	};
}

struct aub_load aub_load_decode(const struct aub_reported_load *encoded)
{
	return (struct aub_load){
		.running = (gint)encoded->running - 1,
		.waiting = (gint)encoded->waiting - 1,
		.slots = (gint)encoded->slots - 1,
		.slowdown = (gint)encoded->slowdown - 1,
		.warmup_ms = (gint)encoded->warmup_ms - 1,
		.limit = encoded->limit <= AUB_LIMIT_NAMED ?
				 (enum aub_limit_header)encoded->limit :
				 AUB_LIMIT_UNKNOWN,
		.limit_per_1000_s = encoded->limit_per_1000_s,
		.leaving = encoded->leaving,
	};
}

static void send_decision(struct aub_placer *placer,
			  const struct aub_placement_decision *decision)
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
	message->silent_after_ms = decision->silent_after_ms;
	if (decision->verdict == AUB_VERDICT_GRANTED) {
		aub_string_set(&message->upstream, decision->upstream);
		aub_string_set(&message->address, decision->address);
	}
	aub_peers_send(placer->options.peers, peer, &message->base);
	aub_message_free(&message->base);
}

void aub_placer_deliver(struct aub_placer *placer,
			const struct aub_placement_decision *decision)
{
	struct aub_ticket *ticket;

	if (decision->holder != placer->options.incarnation) {
		send_decision(placer, decision);
		return;
	}
	ticket = g_hash_table_lookup(placer->tickets, &decision->ticket);
	if (ticket && ticket->callback)
		aub_ticket_resolve(placer, ticket, decision,
				   placer->options.incarnation);
}

/*
 * Forwards a placement request to the gateway that ranks first for the service.
 * Returns false if this gateway has to decide.
 *
 * A gateway that has just started may not know the first-ranked gateway and
 * send its request to another one, which would probe every upstream and grant
 * slots that the first-ranked gateway counts as well. A request is forwarded
 * only one time; the decision goes directly to the requesting gateway.
 */
static bool forward_request(struct aub_placer *placer,
			    const struct aub_peer *holder,
			    struct aub_place_request *message)
{
	struct aub_peer *first_ranked = NULL;

	if (message->forward)
		first_ranked =
			aub_placer_peer_for(placer, message->service,
					    aub_timer_now(
						    placer->options.timers));
	if (!first_ranked || first_ranked == holder)
		return false;
	message->forward = false;
	aub_string_set(&message->address, holder->address);
	placer->counts.forwarded++;
	aub_peers_send(placer->options.peers, first_ranked, &message->base);
	return true;
}

static void handle_request(struct aub_placer *placer,
			   struct aub_place_request *message)
{
	struct aub_placement *placement =
		aub_placer_placement(placer, message->service);
	GPtrArray *avoid;
	struct aub_placement_request request = {
		.ticket = message->ticket,
		.holder = message->holder,
		.zone = message->zone,
		.priority = message->priority,
		.target_ms = message->target_ms,
		.on_time_wait_ms = message->on_time_ms,
		.max_wait_ms = message->max_wait_ms,
		.retry = message->retry,
		.replaces = message->replaces,
		.route = message->route,
		.workspace = message->workspace,
		.fingerprint = message->fingerprint,
		.retry_credit = message->retry_credit,
	};
	struct aub_placement_decision decision;
	struct aub_peer *holder =
		aub_peers_by_incarnation(placer->options.peers,
					 message->holder);

	/*
	 * A grant to an unknown gateway would lose the slot, since no decision
	 * reaches that gateway and no report comes back. The gateway is added
	 * as a peer first and resends the request shortly.
	 */
	if (!holder) {
		if (message->address[0])
			aub_peers_add(placer->options.peers, message->address);
		return;
	}
	if (forward_request(placer, holder, message))
		return;
	avoid = g_ptr_array_new();
	for (guint i = 0; i < message->avoid->len; i++)
		g_ptr_array_add(avoid, ((struct aub_name *)g_ptr_array_index(
						message->avoid, i))
					       ->name);
	request.avoid = (const char *const *)avoid->pdata;
	request.avoid_count = avoid->len;
	request.avoid_cold = !aub_placer_ranks_first(placer, message->service);
	aub_placer_probe_service(placer, message->service);
	aub_placer_apply_limits(placer, message->service, message->limits,
				holder->name);
	aub_placer_set_quota(placer, &request, false);
	aub_placement_submit(placement, &request,
			     aub_timer_now(placer->options.timers), &decision);
	placer->counts.placed_here++;
	send_decision(placer, &decision);
	aub_placer_send_quota_use(placer);
	if (decision.verdict == AUB_VERDICT_QUEUED)
		aub_placer_arm_tick(placer);
	g_ptr_array_unref(avoid);
}

/* Returns a grant that arrived too late for its ticket. */
static void return_grant(struct aub_placer *placer,
			 const struct aub_place_decision *message)
{
	const struct aub_grant_report report = {
		.ticket = message->ticket,
		.end = AUB_GRANT_UNUSED,
		.load = AUB_LOAD_UNKNOWN,
	};
	struct aub_ticket ticket = {
		.id = message->ticket,
		.service = (char *)"",
		.granted_by = message->placer,
	};

	aub_ticket_send_report(placer, &ticket, &report);
}

/* Resets the suspicion time of a peer that answered; otherwise it doubles. */
static void clear_suspicion(struct aub_placer *placer, guint64 incarnation)
{
	struct aub_peer *peer =
		aub_peers_by_incarnation(placer->options.peers, incarnation);

	if (peer)
		peer->suspicion_us = 0;
}

static void handle_decision(struct aub_placer *placer,
			    const struct aub_place_decision *message)
{
	struct aub_ticket *ticket =
		g_hash_table_lookup(placer->tickets, &message->ticket);
	const struct aub_placement_decision decision = {
		.ticket = message->ticket,
		.verdict = (enum aub_verdict)message->verdict,
		.upstream = message->upstream,
		.address = message->address,
		.retry_after_ms = message->retry_after_ms,
		.silent_after_ms = message->silent_after_ms,
	};

	if (message->verdict >= AUB_VERDICT_COUNT)
		return;
	if (!ticket || !ticket->callback || ticket->placed_locally ||
	    (ticket->asked_placer != message->placer && !ticket->forwardable)) {
		/*
		 * The ticket does not await this decision. A grant is returned
		 * unless it repeats the one that the ticket has.
		 */
		bool already_granted =
			ticket && ticket->granted_by == message->placer;

		if (decision.verdict == AUB_VERDICT_GRANTED && !already_granted)
			return_grant(placer, message);
		return;
	}
	ticket->asked_placer = message->placer;
	ticket->forwardable = false;
	clear_suspicion(placer, message->placer);
	if (decision.verdict == AUB_VERDICT_QUEUED) {
		ticket->queued = true;
		ticket->next_action_us = ticket->sent_us +
					 ticket->request.max_wait_ms * AUB_MS +
					 AUB_DECISION_DELIVERY_SLACK_US;
		return;
	}
	aub_ticket_resolve(placer, ticket, &decision, message->placer);
}

static void handle_report(struct aub_placer *placer,
			  const struct aub_place_report *message)
{
	const struct aub_grant_report report = {
		.ticket = message->ticket,
		.end = (enum aub_grant_result)message->end,
		.elapsed_us = (gint64)message->elapsed_us,
		.load = aub_load_decode(&message->load),
	};
	GHashTableIter iter;
	void *placement;

	if (message->end >= AUB_GRANT_RESULT_COUNT)
		return;
	/* Grants that were returned unused name no service. */
	if (message->service[0]) {
		aub_placer_apply_report(placer, message->service, &report);
		return;
	}
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement))
		aub_placement_report(placement, &report,
				     aub_timer_now(placer->options.timers));
}

void aub_placer_handle_message(struct aub_placer *placer,
			       struct aub_message *message)
{
	switch (message->type) {
	case AUB_MESSAGE_PLACE_REQUEST:
		handle_request(placer, (struct aub_place_request *)message);
		break;
	case AUB_MESSAGE_PLACE_DECISION:
		handle_decision(placer, (struct aub_place_decision *)message);
		break;
	case AUB_MESSAGE_PLACE_REPORT:
		handle_report(placer, (struct aub_place_report *)message);
		break;
	case AUB_MESSAGE_PLACE_OUTSTANDING:
		aub_placer_apply_outstanding(
			placer, (struct aub_place_outstanding *)message);
		break;
	case AUB_MESSAGE_PLACE_PROBE_RESULTS:
		aub_placer_apply_probe_results(
			placer, (struct aub_place_probe_results *)message);
		break;
	case AUB_MESSAGE_QUOTA_USE:
		aub_placer_apply_quota_use(
			placer, (struct aub_quota_use_message *)message);
		break;
	case AUB_MESSAGE_PLACE_HEALTH:
		aub_placer_apply_health(placer,
					(struct aub_place_health *)message);
		break;
	case AUB_MESSAGE_PLACE_ROLLOUT:
		aub_placer_apply_rollout(placer,
					 (struct aub_place_rollout *)message);
		break;
	default:
		break;
	}
	aub_message_free(message);
}

void aub_placer_on_peer_lost(struct aub_placer *placer, guint64 incarnation)
{
	gint64 now = aub_timer_now(placer->options.timers);
	GHashTableIter iter;
	void *value;

	aub_placer_forget_quota_use(placer, incarnation);
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		aub_placement_drop_holder(value, incarnation, now);
	g_hash_table_iter_init(&iter, placer->tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct aub_ticket *ticket = value;

		if (ticket->callback && ticket->asked_placer == incarnation)
			ticket->next_action_us = now;
	}
}

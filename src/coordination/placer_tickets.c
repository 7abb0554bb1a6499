/*
 * Tickets: this gateway's own requests, from the placement request to the
 * report of the outcome.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/placer_internal.h>

#include <string.h>

/*
 * An answer takes 2 ms between zones. A placer that has used up its CPU share
 * pauses for up to 100 ms; the next one is asked before that.
 */
#define RESEND_AFTER_US (15 * AUB_MS)
#define NEXT_PLACER_AFTER_US (50 * AUB_MS)
/* Then the request is placed locally. */
#define PLACERS_ASKED_MAX 2
/*
 * The first suspicion lasts for as long as it takes to detect a death within a
 * zone.
 */
#define SUSPICION_INITIAL_US (1000 * AUB_MS)
#define SUSPICION_MAX_US (8000 * AUB_MS)

/* Other gateways may not have been asked for so long a rest. */
#define REST_RETRY_AFTER_MAX_MS 5000

/* Odd, so that the tickets of an incarnation differ for 2^64 requests. */
#define TICKET_STEP G_GUINT64_CONSTANT(0x9E3779B97F4A7C15)

void aub_ticket_free(void *data)
{
	struct aub_ticket *ticket = data;

	g_free(ticket->service);
	g_free(ticket->upstream);
	g_free(ticket->workspace);
	g_ptr_array_unref(ticket->avoid);
	g_free(ticket);
}

static struct aub_peer *next_placer(struct aub_placer *placer,
				    const struct aub_ticket *ticket)
{
	const GPtrArray *ranked =
		aub_peers_ranked(placer->options.peers, ticket->service);
	gint64 now = aub_timer_now(placer->options.timers);

	if (ticket->placers_asked >= PLACERS_ASKED_MAX)
		return NULL;
	for (guint i = 0; i < ranked->len; i++) {
		struct aub_peer *peer = g_ptr_array_index(ranked, i);

		if (peer->self || peer->suspected_until_us <= now)
			return peer;
	}
	return NULL;
}

static void ticket_request(struct aub_placer *placer,
			   struct aub_ticket *ticket);

static const char *peer_name(const struct aub_placer *placer,
			     guint64 incarnation)
{
	struct aub_peer *peer =
		aub_peers_by_incarnation(placer->options.peers, incarnation);

	return peer ? peer->name : "";
}

/*
 * Returns a grant that is not used to the placer `from`. A grant of this
 * gateway's own placer is returned at once: a datagram would arrive after the
 * next placement request, which would find the same grant again.
 */
static void return_unused_grant(struct aub_placer *placer,
				struct aub_ticket *ticket, guint64 from)
{
	const struct aub_grant_report unused = {
		.ticket = ticket->id,
		.end = AUB_GRANT_UNUSED,
		.load = AUB_LOAD_UNKNOWN,
	};

	placer->counts.grants_rejected++;
	if (from == placer->options.incarnation) {
		aub_placement_report(aub_placer_placement(placer,
							  ticket->service),
				     &unused,
				     aub_timer_now(placer->options.timers));
		return;
	}
	ticket->granted_by = from;
	aub_ticket_send_report(placer, ticket, &unused);
	ticket->granted_by = 0;
}

/*
 * If the placer doesn't know yet that an upstream or a zone is leaving and this
 * process does, the upstream would get new requests for too long; and a queued
 * request may be granted an upstream that has asked this process for rest
 * since. A grant that is known here to be stale is returned, and the request is
 * placed again without that upstream.
 */
static bool reject_stale_grant(struct aub_placer *placer,
			       struct aub_ticket *ticket,
			       const struct aub_placement_decision *decision,
			       guint64 from)
{
	if (decision->verdict != AUB_VERDICT_GRANTED ||
	    aub_placement_may_send(aub_placer_placement(placer,
							ticket->service),
				   decision->upstream,
				   aub_timer_now(placer->options.timers)))
		return false;
	g_ptr_array_add(ticket->avoid, g_strdup(decision->upstream));
	return_unused_grant(placer, ticket, from);
	ticket_request(placer, ticket);
	return true;
}

/*
 * Returns when the caller may come back. If no upstream is left because some
 * want rest, that is when the first rest ends.
 */
static guint retry_after_ms(struct aub_placer *placer,
			    const struct aub_ticket *ticket,
			    const struct aub_placement_decision *decision)
{
	gint64 now = aub_timer_now(placer->options.timers);
	gint64 end_us;

	if (decision->verdict != AUB_VERDICT_NO_UPSTREAM)
		return decision->retry_after_ms;
	end_us = aub_placement_first_rest_end_us(
		aub_placer_placement(placer, ticket->service), now);
	if (!end_us)
		return decision->retry_after_ms;
	return MAX(decision->retry_after_ms,
		   (guint)MIN((end_us - now) / AUB_MS,
			      REST_RETRY_AFTER_MAX_MS));
}

void aub_ticket_resolve(struct aub_placer *placer, struct aub_ticket *ticket,
			const struct aub_placement_decision *decision,
			guint64 from)
{
	gint64 now = aub_timer_now(placer->options.timers);
	aub_placement_result_callback *callback = ticket->callback;
	void *context = ticket->context;
	const struct aub_placement_result result = {
		.verdict = decision->verdict,
		.upstream = decision->upstream,
		.address = decision->address,
		.retry_after_ms = retry_after_ms(placer, ticket, decision),
		.silent_after_ms = decision->silent_after_ms,
		.placer = peer_name(placer, from),
		.waited_us = now - ticket->start_us,
	};

	if (reject_stale_grant(placer, ticket, decision, from))
		return;
	ticket->callback = NULL;
	ticket->granted_by = from;
	if (decision->verdict == AUB_VERDICT_GRANTED)
		ticket->upstream = g_strdup(decision->upstream);
	else
		g_hash_table_remove(placer->tickets, &decision->ticket);
	callback(&result, context);
}

static void fill_request(const struct aub_placer *placer,
			 const struct aub_ticket *ticket,
			 struct aub_placement_request *request)
{
	*request = ticket->request;
	request->ticket = ticket->id;
	request->holder = placer->options.incarnation;
	request->zone = placer->zone;
	request->workspace = ticket->workspace;
	request->avoid = (const char *const *)ticket->avoid->pdata;
	request->avoid_count = ticket->avoid->len;
}

static void place_locally(struct aub_placer *placer, struct aub_ticket *ticket,
			  bool is_fallback)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement_decision decision;
	struct aub_placement_request request;

	fill_request(placer, ticket, &request);
	request.local_fallback = is_fallback;
	request.avoid_cold = !aub_placer_ranks_first(placer, ticket->service);
	request.retry_credit =
		aub_placer_hand_over_retry_credit(placer, ticket);
	if (is_fallback)
		placer->counts.placed_in_fallback++;
	else
		aub_placer_probe_service(placer, ticket->service);
	ticket->placed_locally = true;
	aub_placer_set_quota(placer, &request, is_fallback);
	aub_placement_submit(aub_placer_placement(placer, ticket->service),
			     &request, now, &decision);
	placer->counts.placed_here++;
	aub_placer_send_quota_use(placer);
	if (decision.verdict == AUB_VERDICT_QUEUED) {
		ticket->queued = true;
		ticket->next_action_us = G_MAXINT64;
	} else {
		aub_ticket_resolve(placer, ticket, &decision,
				   placer->options.incarnation);
	}
}

/*
 * Returns whether `peer` ranks first for `service`, so that no suspected peer
 * was skipped.
 */
static bool ranks_first(struct aub_placer *placer, const char *service,
			const struct aub_peer *peer)
{
	const GPtrArray *ranked =
		aub_peers_ranked(placer->options.peers, service);

	return ranked->len && g_ptr_array_index(ranked, 0) == peer;
}

static void send_request(struct aub_placer *placer, struct aub_ticket *ticket,
			 const struct aub_peer *peer)
{
	struct aub_place_request *message =
		(struct aub_place_request *)aub_message_new(
			AUB_MESSAGE_PLACE_REQUEST);

	message->holder = placer->options.incarnation;
	message->ticket = ticket->id;
	aub_string_set(&message->service, ticket->service);
	aub_string_set(&message->zone, placer->zone);
	message->priority = ticket->request.priority;
	message->target_ms = ticket->request.target_ms;
	message->on_time_ms = ticket->request.on_time_wait_ms;
	message->max_wait_ms = ticket->request.max_wait_ms;
	message->retry = ticket->request.retry;
	message->replaces = ticket->request.replaces;
	message->route = ticket->request.route;
	aub_string_set(&message->workspace, ticket->workspace);
	message->fingerprint = ticket->request.fingerprint;
	message->retry_credit =
		aub_placer_hand_over_retry_credit(placer, ticket);
	message->forward = ranks_first(placer, ticket->service, peer);
	ticket->forwardable = message->forward;
	for (guint i = 0; i < ticket->avoid->len; i++)
		g_ptr_array_add(message->avoid,
				aub_name_new(
					g_ptr_array_index(ticket->avoid, i)));
	aub_placer_append_limits(placer, ticket->service, message->limits);
	aub_peers_send(placer->options.peers, peer, &message->base);
	aub_message_free(&message->base);
}

/*
 * Another placer can be asked as soon as replies to first heartbeats have
 * arrived, even though it may turn out not to rank first. Only a gateway that
 * would place itself has to wait for the end of the start-up grace.
 */
static bool must_wait_for_startup(const struct aub_placer *placer,
				  const struct aub_peer *peer, gint64 now_us)
{
	if (placer->startup_over)
		return false;
	return !peer || peer->self ||
	       !aub_placer_first_replies_are_due(placer, now_us);
}

/* Sends the request to the next placer; places locally if there is none. */
static void ticket_request(struct aub_placer *placer, struct aub_ticket *ticket)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_peer *peer = next_placer(placer, ticket);

	ticket->queued = false;
	aub_placement_avoid_resting(aub_placer_placement(placer,
							 ticket->service),
				    ticket->avoid, now);
	if (must_wait_for_startup(placer, peer, now)) {
		ticket->next_action_us = now + AUB_STARTUP_CHECK_PERIOD_US;
		return;
	}
	if (!peer || peer->self) {
		place_locally(placer, ticket, !peer);
		return;
	}
	ticket->placed_locally = false;
	ticket->placers_asked++;
	ticket->sends_to_placer = 1;
	ticket->asked_placer = peer->incarnation;
	ticket->sent_us = now;
	ticket->next_action_us = now + RESEND_AFTER_US;
	send_request(placer, ticket, peer);
}

/*
 * The heartbeats of a placer in another zone are too rare for its death to be
 * noticed soon, and each second one request of each gateway would wait for it
 * in vain. Each suspicion lasts twice as long as the one before, until a
 * heartbeat arrives again.
 */
static void suspect(struct aub_peer *peer, gint64 now_us)
{
	bool heartbeat_since = peer->last_heartbeat_us >
			       peer->suspected_until_us - peer->suspicion_us;

	/* Several requests may have waited in the same unresponsive period. */
	if (peer->suspected_until_us > now_us)
		return;
	if (heartbeat_since || !peer->suspicion_us)
		peer->suspicion_us = SUSPICION_INITIAL_US;
	else
		peer->suspicion_us =
			MIN(2 * peer->suspicion_us, SUSPICION_MAX_US);
	peer->suspected_until_us = now_us + peer->suspicion_us;
}

static void try_next_placer(struct aub_placer *placer,
			    struct aub_ticket *ticket, struct aub_peer *peer,
			    gint64 now_us)
{
	placer->counts.placers_suspected++;
	if (peer) {
		suspect(peer, now_us);
		aub_log_begin(AUB_LOG_PLACER_SUSPECTED);
		aub_log_text("peer", peer->name);
		aub_log_text("service", ticket->service);
		aub_log_number("heard_ms",
			       (now_us - peer->last_heartbeat_us) / AUB_MS);
		aub_log_end();
	}
	ticket_request(placer, ticket);
}

static void process_due_ticket(struct aub_placer *placer,
			       struct aub_ticket *ticket, gint64 now_us)
{
	struct aub_peer *peer = aub_peers_by_incarnation(placer->options.peers,
							 ticket->asked_placer);

	if (!ticket->sends_to_placer) {
		ticket_request(placer, ticket);
		return;
	}
	if (!ticket->queued && ticket->sends_to_placer == 1 && peer &&
	    peer->alive) {
		ticket->sends_to_placer++;
		ticket->next_action_us = ticket->sent_us + NEXT_PLACER_AFTER_US;
		send_request(placer, ticket, peer);
		return;
	}
	try_next_placer(placer, ticket, peer, now_us);
}

void aub_tickets_process_due(struct aub_placer *placer, gint64 now_us)
{
	GPtrArray *due = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placer->tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct aub_ticket *ticket = value;

		if (ticket->callback && ticket->next_action_us <= now_us)
			g_ptr_array_add(due, GSIZE_TO_POINTER(ticket->id));
	}
	for (guint i = 0; i < due->len; i++) {
		guint64 id = GPOINTER_TO_SIZE(g_ptr_array_index(due, i));
		struct aub_ticket *ticket =
			g_hash_table_lookup(placer->tickets, &id);

		if (ticket && ticket->callback &&
		    ticket->next_action_us <= now_us)
			process_due_ticket(placer, ticket, now_us);
	}
	g_ptr_array_unref(due);
}

guint64 aub_placer_new_ticket(struct aub_placer *placer)
{
	placer->ticket_serial++;
	return placer->options.incarnation +
	       placer->ticket_serial * TICKET_STEP;
}

void aub_placer_request(struct aub_placer *placer, const char *service,
			const struct aub_placement_request *request, guint64 id,
			aub_placement_result_callback *callback, void *context)
{
	struct aub_ticket *ticket = g_new0(struct aub_ticket, 1);

	ticket->id = id;
	ticket->service = g_strdup(service);
	ticket->request = *request;
	ticket->workspace = g_strdup(request->workspace);
	ticket->callback = callback;
	ticket->context = context;
	ticket->start_us = aub_timer_now(placer->options.timers);
	ticket->avoid = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < request->avoid_count; i++)
		g_ptr_array_add(ticket->avoid, g_strdup(request->avoid[i]));
	g_hash_table_insert(placer->tickets, &ticket->id, ticket);
	placer->counts.requested++;
	ticket_request(placer, ticket);
	aub_placer_arm_tick(placer);
}

void aub_ticket_send_report(struct aub_placer *placer,
			    struct aub_ticket *ticket,
			    const struct aub_grant_report *report)
{
	guint64 to =
		ticket->granted_by ? ticket->granted_by : ticket->asked_placer;
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
	message->load = aub_load_encode(&report->load);
	aub_peers_send(placer->options.peers, peer, &message->base);
	aub_message_free(&message->base);
}

/* Logs that a report has changed the health of an upstream. */
static void log_health(const struct aub_placer *placer,
		       const struct aub_placement *placement,
		       const struct aub_grant_view *grant,
		       const char *health_before, enum aub_grant_result end)
{
	const char *health_now =
		aub_placement_health_name(placement, grant->upstream);

	if (!strcmp(health_before, health_now))
		return;
	aub_log_begin(AUB_LOG_HEALTH);
	aub_log_text("upstream", grant->upstream);
	aub_log_text("service", aub_placement_service(placement));
	aub_log_text("was", health_before);
	aub_log_text("now", health_now);
	aub_log_text("end", aub_grant_result_name(end));
	aub_log_text("peer", peer_name(placer, grant->holder));
	aub_log_end();
}

static void apply_report(struct aub_placer *placer,
			 struct aub_placement *placement,
			 const struct aub_grant_report *report)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_grant_view grant;

	if (aub_placement_find_grant(placement, report->ticket, &grant)) {
		const char *health_before =
			aub_placement_health_name(placement, grant.upstream);

		aub_placement_report(placement, report, now);
		log_health(placer, placement, &grant, health_before,
			   report->end);
		aub_placer_log_notices(placement, grant.upstream, "peer", "");
	} else {
		/* It may still be queued. */
		aub_placement_report(placement, report, now);
	}
}

void aub_placer_apply_report(struct aub_placer *placer, const char *service,
			     const struct aub_grant_report *report)
{
	struct aub_placement *placement = aub_placer_placement(placer, service);

	apply_report(placer, placement, report);
	aub_placer_drain_queue(placer, placement);
}

/*
 * A request reports while it ends or proceeds. The decision on another request
 * of its connection, delivered inside that call, could free it or use it.
 */
static void apply_own_report(struct aub_placer *placer, const char *service,
			     const struct aub_grant_report *report)
{
	struct aub_placement *placement = aub_placer_placement(placer, service);

	apply_report(placer, placement, report);
	aub_placer_send_quota_use(placer);
	if (aub_placement_queue_length(placement))
		aub_placer_schedule_drain(placer);
}

void aub_placer_report(struct aub_placer *placer, guint64 id,
		       enum aub_grant_result end, gint64 elapsed_us,
		       const struct aub_load *load)
{
	const struct aub_load unknown = AUB_LOAD_UNKNOWN;
	struct aub_ticket *ticket = g_hash_table_lookup(placer->tickets, &id);
	const struct aub_grant_report report = {
		.ticket = id,
		.end = end,
		.elapsed_us = elapsed_us,
		.load = load ? *load : unknown,
	};

	if (!ticket)
		return;
	g_hash_table_steal(placer->tickets, &id);
	if (ticket->placed_locally)
		apply_own_report(placer, ticket->service, &report);
	else
		aub_ticket_send_report(placer, ticket, &report);
	aub_ticket_free(ticket);
}

void aub_placer_cancel(struct aub_placer *placer, guint64 ticket)
{
	aub_placer_report(placer, ticket, AUB_GRANT_UNUSED, 0, NULL);
}

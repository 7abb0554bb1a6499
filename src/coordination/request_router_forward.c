/*
 * Selects the destination of a request: the owner of its service's queue, which
 * may be this entry, or else the stand-by.
 *
 * A request that must not be repeated is only sent a second time if it is
 * certain that the first one was not received.
 */
#include <auburnstile/internal/answer.h>
#include <auburnstile/internal/routed_request.h>

#include <string.h>

/*
 * A request that certainly did not run waits up to this long for ownership, or
 * its key, to move; by then a planned stop or a failure is known everywhere.
 */
#define REROUTE_MAX_US (2500 * AUB_MS)
#define REROUTE_STEP_US (50 * AUB_MS) /* first delay; later ones are longer */
/* The delay grows by one step per attempt, up to this many steps. */
#define REROUTE_STEPS_MAX 4

#define NO_OWNER_RETRY_MS 500
/* Cost of one more attempt, in 1/100 attempts. */
#define RETRY_COST_HUNDREDTHS 100

/* A peer answers by the deadline; this is added for the transfer. */
#define PEER_ANSWER_MARGIN_US (150 * AUB_MS)

guint32 routed_request_remaining_ms(const struct routed_request *request)
{
	gint64 remaining_us = request->deadline_us -
			      aub_timer_now(request->router->options.timers);

	return MAX(remaining_us, 0) / AUB_MS;
}

static void on_dispatched(struct aub_answer *answer, void *context);

static void dispatch_here(struct routed_request *request)
{
	request->stage = ROUTED_DISPATCHED;
	request->call->deadline_ms = routed_request_remaining_ms(request);
	aub_dispatch_task_submit(request->router->options.dispatch,
				 request->call,
				 request->zone ?
					 request->zone :
					 request->router->options.hello->zone,
				 on_dispatched, request);
}

/*
 * Calls `again` after a short delay; returns false when the request has waited
 * for the maximum time.
 */
static bool retry_later(struct routed_request *request,
			aub_timer_callback *again)
{
	struct aub_request_router *router = request->router;
	gint64 at_us;

	at_us = aub_timer_now(router->options.timers) +
		REROUTE_STEP_US * MIN(request->reroutes + 1, REROUTE_STEPS_MAX);
	if (at_us >
	    MIN(request->deadline_us, request->arrived_us + REROUTE_MAX_US))
		return false;
	request->reroutes++;
	request->standby_tried = false;
	request->stage = ROUTED_DELAYED;
	aub_timer_cancel(router->options.timers, request->timer);
	request->timer = aub_timer_at(router->options.timers, "reroute", at_us,
				      again, request);
	return true;
}

static void on_reroute(void *context, gint64 now_us)
{
	struct routed_request *request = context;

	request->timer = 0;
	routed_request_send_to_owner(request);
}

/*
 * While ownership moves, entries disagree about the owner for some hundred
 * milliseconds, and callers would see refusals. As the request did not run, it
 * is delayed and then sent to the owner named by the next view.
 */
static bool route_later(struct routed_request *request)
{
	if (request->addressed_to_owner ||
	    !aub_entry_view_serving(request->router->options.view))
		return false;
	return retry_later(request, on_reroute);
}

static bool reroute_if_not_owner(struct routed_request *request,
				 const struct aub_answer *answer)
{
	if (answer->outcome != AUB_OUTCOME_NOT_RUN ||
	    g_strcmp0(answer->reason,
		      aub_refusal_name(AUB_REFUSAL_NOT_OWNER)) != 0)
		return false;
	return route_later(request);
}

static void refuse_unreachable(struct routed_request *request)
{
	if (!route_later(request))
		routed_request_refuse(request, 503, "owner-unreachable",
				      NO_OWNER_RETRY_MS);
}

static void on_dispatched(struct aub_answer *answer, void *context)
{
	struct routed_request *request = context;

	request->stage = ROUTED_IDLE;
	if (reroute_if_not_owner(request, answer))
		aub_message_free(&answer->base);
	else
		routed_request_finish(request, answer);
}

static const struct aub_member *live_member(
	const struct aub_request_router *router, guint64 incarnation)
{
	const struct aub_member *member;

	member = aub_entry_view_member(router->options.view, incarnation);
	if (!member || member->state == AUB_MEMBER_DEAD ||
	    member->state == AUB_MEMBER_STOPPED)
		return NULL;
	return member;
}

static void try_standby(struct routed_request *request);

/* Handles a lost link: the request may be running at the owner. */
static void on_owner_lost(struct routed_request *request)
{
	struct aub_call *call = request->call;

	request->may_have_run = true;
	if (call->at_most_once || call->retry_budget < RETRY_COST_HUNDREDTHS ||
	    request->standby_tried) {
		routed_request_finish(request,
				      aub_answer_outcome_unknown("entry-lost"));
		return;
	}
	call->retry_budget -= RETRY_COST_HUNDREDTHS;
	aub_event_record_simple(request->router->options.events,
				AUB_EVENT_RETRIED, call->id, 0, NULL,
				"owner lost");
	try_standby(request);
}

static void on_owner_answer(enum aub_relay_result result,
			    struct aub_answer *answer, void *context)
{
	struct routed_request *request = context;

	request->relayed = NULL;
	request->stage = ROUTED_IDLE;
	aub_timer_cancel(request->router->options.timers, request->timer);
	request->timer = 0;
	switch (result) {
	case AUB_RELAY_ANSWERED:
		if (reroute_if_not_owner(request, answer))
			aub_message_free(&answer->base);
		else
			routed_request_finish(request, answer);
		break;
	case AUB_RELAY_NOT_SENT:
		if (request->standby_tried)
			refuse_unreachable(request);
		else
			try_standby(request);
		break;
	case AUB_RELAY_LOST:
		on_owner_lost(request);
		break;
	}
}

static void on_key_owner_retry(void *context, gint64 now_us)
{
	struct routed_request *request = context;

	request->timer = 0;
	routed_request_start_keyed(request);
}

static void on_key_owner_answer(enum aub_relay_result result,
				struct aub_answer *answer, void *context)
{
	struct routed_request *request = context;

	request->relayed = NULL;
	request->stage = ROUTED_IDLE;
	aub_timer_cancel(request->router->options.timers, request->timer);
	request->timer = 0;
	/*
	 * A retry is safe: the owner of a key, or its successor, runs the
	 * request once, however often it arrives.
	 */
	if ((result != AUB_RELAY_ANSWERED ||
	     !g_strcmp0(answer->reason, REASON_KEY_OWNER_MOVED)) &&
	    retry_later(request, on_key_owner_retry)) {
		aub_message_free((struct aub_message *)answer);
		return;
	}
	/*
	 * If the owner of the key cannot be reached, "not-run" would let the
	 * caller request a new key and pay twice. An earlier attempt under this
	 * key may have run, which only the key owner knows.
	 */
	if (result != AUB_RELAY_ANSWERED) {
		request->key_owner_lost = true;
		answer = aub_answer_outcome_unknown("keeper-unreachable");
		answer->retry_after_ms = NO_OWNER_RETRY_MS;
	}
	routed_request_finish(request, answer);
}

static void on_overdue(void *context, gint64 now_us)
{
	struct routed_request *request = context;

	request->timer = 0;
	if (request->relayed)
		aub_relay_cancel(request->relayed);
	request->relayed = NULL;
	request->stage = ROUTED_IDLE;
	routed_request_finish(request,
			      aub_answer_outcome_unknown("entry-silent"));
}

static void relay_to(struct routed_request *request,
		     const struct aub_member *member,
		     enum aub_call_purpose purpose,
		     aub_relay_callback *callback)
{
	struct aub_request_router *router = request->router;

	request_stats_count_relayed(router->stats);
	request->call->purpose = purpose;
	request->call->deadline_ms = routed_request_remaining_ms(request);
	request->stage = ROUTED_RELAYED;
	aub_timer_cancel(router->options.timers, request->timer);
	request->timer =
		aub_timer_at(router->options.timers, "relayed",
			     request->deadline_us + PEER_ANSWER_MARGIN_US,
			     on_overdue, request);
	request->relayed = aub_relay_send(router->relay, member, request->call,
					  callback, request);
}

void routed_request_send_to_key_owner(struct routed_request *request,
				      const struct aub_member *member)
{
	relay_to(request, member, AUB_CALL_KEY_OWNER, on_key_owner_answer);
}

static void try_standby(struct routed_request *request)
{
	struct aub_request_router *router = request->router;
	const struct aub_assignment *assignment;
	const struct aub_member *member;

	request->standby_tried = true;
	assignment = aub_entry_view_assignment(router->options.view,
					       request->call->service);
	if (assignment && assignment->standby_incarnation ==
				  router->options.hello->incarnation) {
		aub_request_router_update_roles(router);
		dispatch_here(request);
		return;
	}
	member = assignment ?
			 live_member(router, assignment->standby_incarnation) :
			 NULL;
	if (member)
		relay_to(request, member, AUB_CALL_OWNER, on_owner_answer);
	else
		refuse_unreachable(request);
}

/*
 * Routes a request from another entry that is addressed to this one as owner.
 * It is not relayed further, except by a stand-by that can still reach the
 * owner.
 */
static void route_forwarded(struct routed_request *request,
			    const struct aub_assignment *assignment)
{
	struct aub_request_router *router = request->router;
	guint64 self = router->options.hello->incarnation;
	const struct aub_member *owner;

	if (assignment->standby_incarnation == self) {
		owner = live_member(router, assignment->owner_incarnation);
		if (owner &&
		    aub_relay_peer_state(router->relay, owner->incarnation) ==
			    AUB_PEER_UP) {
			request->standby_tried = true;
			relay_to(request, owner, AUB_CALL_OWNER,
				 on_owner_answer);
			return;
		}
		aub_request_router_update_roles(router);
	}
	dispatch_here(request);
}

void routed_request_send_to_owner(struct routed_request *request)
{
	struct aub_request_router *router = request->router;
	const struct aub_assignment *assignment;
	const struct aub_member *owner;

	request->stage = ROUTED_IDLE;
	if (router->options.local_only) {
		dispatch_here(request);
		return;
	}
	assignment = aub_entry_view_assignment(router->options.view,
					       request->call->service);
	if (!assignment) {
		routed_request_refuse(request, 503, "no-owner",
				      NO_OWNER_RETRY_MS);
		return;
	}
	if (assignment->owner_incarnation ==
	    router->options.hello->incarnation) {
		dispatch_here(request);
		return;
	}
	if (request->addressed_to_owner) {
		route_forwarded(request, assignment);
		return;
	}
	owner = live_member(router, assignment->owner_incarnation);
	if (owner)
		relay_to(request, owner, AUB_CALL_OWNER, on_owner_answer);
	else
		try_standby(request);
}

/*
 * Where a request goes: to the owner of its service's queue, here or at
 * another entry, else to the stand-by.
 *
 * A request that may not be repeated is sent on a second time only if the
 * first was provably not received.
 */
#include <auburnstile/internal/answer.h>
#include <auburnstile/internal/front_request.h>

#include <string.h>

/*
 * A request that was provably not run waits this long for ownership, or its
 * key, to arrive somewhere; a planned stop or a death is known to all by then.
 */
#define REROUTE_MOST_US (2500 * AUB_MS)
#define REROUTE_US (50 * AUB_MS) /* first wait; later ones are longer */
#define REROUTE_STEPS 4

#define NO_OWNER_RETRY_MS 500
#define RETRY_ATTEMPT 100 /* what one more attempt costs, in 1/100 */

/* A peer answers by the deadline; its answer needs a moment more. */
#define PEER_MARGIN_US (150 * AUB_MS)

guint32 front_left_ms(const struct front_request *request)
{
	gint64 left_us = request->deadline_us -
			 aub_timer_now(request->front->options.timers);

	return MAX(left_us, 0) / AUB_MS;
}

static void on_dispatched(struct aub_answer *answer, void *context);

static void dispatch_here(struct front_request *request)
{
	request->place = FRONT_DISPATCHED;
	request->call->deadline_ms = front_left_ms(request);
	aub_dispatch_task_submit(request->front->options.dispatch,
				 request->call,
				 request->zone ?
					 request->zone :
					 request->front->options.hello->zone,
				 on_dispatched, request);
}

/* Call `again` a little later; false when it has waited long enough. */
static bool wait_and(struct front_request *request, aub_timer_callback *again)
{
	struct aub_front *front = request->front;
	gint64 at_us;

	at_us = aub_timer_now(front->options.timers) +
		REROUTE_US * MIN(request->hops + 1, REROUTE_STEPS);
	if (at_us >
	    MIN(request->deadline_us, request->arrived_us + REROUTE_MOST_US))
		return false;
	request->hops++;
	request->tried_standby = false;
	request->place = FRONT_DELAYED;
	aub_timer_cancel(front->options.timers, request->timer);
	request->timer = aub_timer_at(front->options.timers, "reroute", at_us,
				      again, request);
	return true;
}

static void on_reroute(void *context, gint64 now_us)
{
	struct front_request *request = context;

	request->timer = 0;
	front_route(request);
}

/*
 * Failure: ownership moves, and for some hundred milliseconds entries
 * disagree who has it; callers see refusals. Nothing was run, so the request
 * is held and sent where the next view says.
 */
static bool route_later(struct front_request *request)
{
	if (request->as_owner ||
	    !aub_entry_view_serving(request->front->options.view))
		return false;
	return wait_and(request, on_reroute);
}

static bool route_again(struct front_request *request,
			const struct aub_answer *answer)
{
	if (answer->outcome != AUB_OUTCOME_NOT_RUN ||
	    g_strcmp0(answer->reason,
		      aub_refusal_name(AUB_REFUSAL_NOT_OWNER)) != 0)
		return false;
	return route_later(request);
}

static void refuse_unreachable(struct front_request *request)
{
	if (!route_later(request))
		front_refuse(request, 503, "owner-unreachable",
			     NO_OWNER_RETRY_MS);
}

static void on_dispatched(struct aub_answer *answer, void *context)
{
	struct front_request *request = context;

	request->place = FRONT_NOWHERE;
	if (route_again(request, answer))
		aub_message_free(&answer->base);
	else
		front_finish(request, answer);
}

static const struct aub_member *live_member(const struct aub_front *front,
					    guint64 incarnation)
{
	const struct aub_member *member;

	member = aub_entry_view_member(front->options.view, incarnation);
	if (!member || member->state == AUB_MEMBER_DEAD ||
	    member->state == AUB_MEMBER_STOPPED)
		return NULL;
	return member;
}

static void try_standby(struct front_request *request);

/* The link ended with the request on it: it may be running there. */
static void after_loss(struct front_request *request)
{
	struct aub_call *call = request->call;

	request->may_have_run = true;
	if (call->once || call->retry_budget < RETRY_ATTEMPT ||
	    request->tried_standby) {
		front_finish(request, aub_answer_unknown("entry-lost"));
		return;
	}
	call->retry_budget -= RETRY_ATTEMPT;
	aub_event_record_simple(request->front->options.events, AUB_EVENT_RETRIED,
		       call->id, 0, NULL, "owner lost");
	try_standby(request);
}

static void on_owner_answer(enum aub_relay_result result,
			    struct aub_answer *answer, void *context)
{
	struct front_request *request = context;

	request->relayed = NULL;
	request->place = FRONT_NOWHERE;
	aub_timer_cancel(request->front->options.timers, request->timer);
	request->timer = 0;
	switch (result) {
	case AUB_RELAY_ANSWERED:
		if (route_again(request, answer))
			aub_message_free(&answer->base);
		else
			front_finish(request, answer);
		break;
	case AUB_RELAY_NOT_SENT:
		if (request->tried_standby)
			refuse_unreachable(request);
		else
			try_standby(request);
		break;
	case AUB_RELAY_LOST:
		after_loss(request);
		break;
	}
}

static void on_keeper_again(void *context, gint64 now_us)
{
	struct front_request *request = context;

	request->timer = 0;
	front_start_keyed(request);
}

static void on_keeper_answer(enum aub_relay_result result,
			     struct aub_answer *answer, void *context)
{
	struct front_request *request = context;

	request->relayed = NULL;
	request->place = FRONT_NOWHERE;
	aub_timer_cancel(request->front->options.timers, request->timer);
	request->timer = 0;
	/* The keeper, or its heir, runs a key once however often it comes. */
	if ((result != AUB_RELAY_ANSWERED ||
	     !g_strcmp0(answer->reason, FRONT_KEEPER_MOVED)) &&
	    wait_and(request, on_keeper_again)) {
		aub_message_free((struct aub_message *)answer);
		return;
	}
	/*
	 * Failure: the keeper can't be reached, and the caller, told "not
	 * run", asks for a new key and pays twice. An earlier try under this
	 * key may have run, which only the keeper knows.
	 */
	if (result != AUB_RELAY_ANSWERED) {
		request->keeper_lost = true;
		answer = aub_answer_unknown("keeper-unreachable");
		answer->retry_after_ms = NO_OWNER_RETRY_MS;
	}
	front_finish(request, answer);
}

static void on_overdue(void *context, gint64 now_us)
{
	struct front_request *request = context;

	request->timer = 0;
	if (request->relayed)
		aub_relay_cancel(request->relayed);
	request->relayed = NULL;
	request->place = FRONT_NOWHERE;
	front_finish(request, aub_answer_unknown("entry-silent"));
}

static void relay_to(struct front_request *request,
		     const struct aub_member *member,
		     enum aub_call_purpose purpose,
		     aub_relay_callback *callback)
{
	struct aub_front *front = request->front;

	front_figures_relayed(front->figures);
	request->call->purpose = purpose;
	request->call->deadline_ms = front_left_ms(request);
	request->place = FRONT_RELAYED;
	aub_timer_cancel(front->options.timers, request->timer);
	request->timer = aub_timer_at(front->options.timers, "relayed",
				      request->deadline_us + PEER_MARGIN_US,
				      on_overdue, request);
	request->relayed = aub_relay_send(front->relay, member, request->call,
					  callback, request);
}

void front_route_to_keeper(struct front_request *request,
			   const struct aub_member *member)
{
	relay_to(request, member, AUB_CALL_KEY_OWNER, on_keeper_answer);
}

static void try_standby(struct front_request *request)
{
	struct aub_front *front = request->front;
	const struct aub_assignment *assignment;
	const struct aub_member *member;

	request->tried_standby = true;
	assignment = aub_entry_view_assignment(front->options.view,
					       request->call->service);
	if (assignment && assignment->standby_incarnation ==
				  front->options.hello->incarnation) {
		aub_front_update_roles(front);
		dispatch_here(request);
		return;
	}
	member = assignment ?
			 live_member(front, assignment->standby_incarnation) :
			 NULL;
	if (member)
		relay_to(request, member, AUB_CALL_OWNER, on_owner_answer);
	else
		refuse_unreachable(request);
}

/*
 * A request from another entry, meant for this one as owner. It goes no
 * further, but for a stand-by that still reaches the owner.
 */
static void route_forwarded(struct front_request *request,
			    const struct aub_assignment *assignment)
{
	struct aub_front *front = request->front;
	guint64 self = front->options.hello->incarnation;
	const struct aub_member *owner;

	if (assignment->standby_incarnation == self) {
		owner = live_member(front, assignment->owner_incarnation);
		if (owner &&
		    aub_relay_peer_state(front->relay, owner->incarnation) ==
			    AUB_PEER_UP) {
			request->tried_standby = true;
			relay_to(request, owner, AUB_CALL_OWNER,
				 on_owner_answer);
			return;
		}
		aub_front_update_roles(front);
	}
	dispatch_here(request);
}

void front_route(struct front_request *request)
{
	struct aub_front *front = request->front;
	const struct aub_assignment *assignment;
	const struct aub_member *owner;

	request->place = FRONT_NOWHERE;
	if (front->options.local_only) {
		dispatch_here(request);
		return;
	}
	assignment = aub_entry_view_assignment(front->options.view,
					       request->call->service);
	if (!assignment) {
		front_refuse(request, 503, "no-owner", NO_OWNER_RETRY_MS);
		return;
	}
	if (assignment->owner_incarnation ==
	    front->options.hello->incarnation) {
		dispatch_here(request);
		return;
	}
	if (request->as_owner) {
		route_forwarded(request, assignment);
		return;
	}
	owner = live_member(front, assignment->owner_incarnation);
	if (owner)
		relay_to(request, owner, AUB_CALL_OWNER, on_owner_answer);
	else
		try_standby(request);
}

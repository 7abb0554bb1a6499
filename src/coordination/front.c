/*
 * Arrival and end of requests at an entry.
 *
 * Each request ends with exactly one answer that says run, not-run or
 * unknown. A request that carries a key, or falls under a rule of its
 * service, may not be repeated.
 */
#include <auburnstile/internal/states.h>
#include <auburnstile/internal/answer.h>
#include <auburnstile/internal/front_request.h>

#include <string.h>

#define RETRY_SOON_MS 300
#define RETRY_LATER_MS 1000
#define DEADLINE_MOST_MS (10 * 60 * 1000)
#define DEADLINE_DEFAULT_MS 30000 /* where the service isn't known here */

/*
 * Time a new owner leaves for what its predecessor may still have in flight,
 * during which it takes half of the slots.
 */
#define SETTLE_US AUB_SECOND

struct aub_front *aub_front_new(const struct aub_front_options *options)
{
	struct aub_front *front = g_new0(struct aub_front, 1);

	front->options = *options;
	front->next_id = options->first_id;
	front->figures = front_figures_new(options->metrics);
	front->requests = g_hash_table_new(NULL, NULL);
	return front;
}

void aub_front_set_relay(struct aub_front *front, struct aub_relay *relay)
{
	front->relay = relay;
}

static void request_free(struct front_request *request)
{
	struct aub_front *front = request->front;

	aub_timer_cancel(front->options.timers, request->timer);
	g_hash_table_remove(front->requests, request);
	aub_message_free(&request->call->base);
	g_free(request->zone);
	g_free(request);
}

void aub_front_free(struct aub_front *front)
{
	GHashTableIter iterator;
	void *key;

	if (!front)
		return;
	for (;;) {
		g_hash_table_iter_init(&iterator, front->requests);
		if (!g_hash_table_iter_next(&iterator, &key, NULL))
			break;
		request_free(key);
	}
	g_hash_table_unref(front->requests);
	front_figures_free(front->figures);
	g_free(front);
}

/* Should the caller ask anew which addresses to use? */
static bool is_stale(const struct aub_front *front, const char *service)
{
	const struct aub_assignment *assignment;
	guint64 self = front->options.hello->incarnation;

	if (front->stopping)
		return true;
	if (front->options.local_only)
		return false;
	/*
	 * Failure: an entry is cut off from its control and refuses; callers
	 * come back to it, since by its old picture it owns the service. They
	 * are sent to ask others, and addresses() leaves this entry out.
	 */
	if (!aub_entry_view_serving(front->options.view))
		return true;
	assignment = aub_entry_view_assignment(front->options.view, service);
	return assignment && assignment->owner_incarnation != self &&
	       assignment->standby_incarnation != self;
}

static void record_end(struct front_request *request,
		       const struct aub_answer *answer)
{
	struct aub_front *front = request->front;
	gint64 took_us =
		aub_timer_now(front->options.timers) - request->arrived_us;

	aub_event_record_simple(front->options.events, AUB_EVENT_FINISHED,
		       request->call->id, answer->status, NULL,
		       answer->reason && *answer->reason ?
			       answer->reason :
			       aub_outcome_name(answer->outcome));
	if (request->caller)
		front_figures_answer(front->figures, request->call->service,
				     answer->outcome, took_us);
	front_figures_pending(front->figures,
			      g_hash_table_size(front->requests) - 1);
}

void front_finish(struct front_request *request, struct aub_answer *answer)
{
	struct aub_front *front = request->front;

	/*
	 * Failure: a first try's fate is unknown, the second is refused, and
	 * the caller reads "not run" although the first ran. Only the whole
	 * request's fate goes out.
	 */
	if (request->may_have_run && answer->outcome == AUB_OUTCOME_NOT_RUN)
		answer->outcome = AUB_OUTCOME_UNKNOWN;
	answer->id = request->call->id;
	record_end(request, answer);
	if (request->keeping) {
		request->keeping = false;
		front->keeping--;
		aub_keeper_finish(front->options.keeper, request->call->key,
				  answer);
	}
	front_figures_keys(front->figures,
			   aub_keeper_count(front->options.keeper),
			   aub_keeper_bytes(front->options.keeper));
	/*
	 * Failure: an entry restarts under its address; callers go on making
	 * keys from the old grant, and every new request ends as unknown until
	 * their answer expires. Told to ask anew, each loses one at most.
	 */
	if (request->caller)
		aub_caller_answer(request->caller, answer,
				  request->keeper_lost ||
					  is_stale(front,
						   request->call->service));
	else if (request->inbound)
		aub_relay_answer(request->inbound, answer);
	else
		aub_message_free(&answer->base);
	request_free(request);
}

void front_refuse(struct front_request *request, guint status,
		  const char *reason, guint32 retry_after_ms)
{
	aub_event_record_simple(request->front->options.events, AUB_EVENT_REFUSED,
		       request->call->id, retry_after_ms, NULL, reason);
	front_finish(request,
		     aub_answer_not_run(status, reason, retry_after_ms));
}

/* Find its service and rule; false where it was refused for them. */
static bool classify(struct front_request *request)
{
	struct aub_front *front = request->front;
	struct aub_call *call = request->call;
	const struct aub_inventory *inventory;
	const struct aub_service *service;
	const struct aub_once_rule *rule;
	guint16 handle;

	inventory = aub_entry_view_inventory(front->options.view);
	if (!inventory) {
		front_refuse(request, 503, "no-configuration", RETRY_LATER_MS);
		return false;
	}
	handle = aub_inventory_route(inventory, call->path);
	if (handle == AUB_NO_HANDLE) {
		front_refuse(request, 404, "no-such-service", 0);
		return false;
	}
	service = aub_service_at(inventory, handle);
	aub_string_set(&call->service, service->name);
	rule = aub_service_once_rule(service, call->method, call->path);
	if (rule && rule->key_required && !*call->key) {
		front_refuse(request, 428, "key-required", 0);
		return false;
	}
	call->once = rule || *call->key;
	if (!aub_entry_view_serving(front->options.view)) {
		front_refuse(request, 503, "not-serving", RETRY_LATER_MS);
		return false;
	}
	return true;
}

static void on_first_run_done(const struct aub_answer *answer, void *context)
{
	struct front_request *request = context;

	front_finish(request, aub_answer_copy(answer));
}

static void on_wait_over(void *context, gint64 now_us)
{
	struct front_request *request = context;

	request->timer = 0;
	aub_keeper_leave(request->front->options.keeper, request->call->key,
			 request);
	front_finish(request, aub_answer_unknown("still-running"));
}

/* Its key is kept here: run it, or answer with what is known. */
static void begin_key(struct front_request *request)
{
	struct aub_front *front = request->front;
	struct aub_keeper *keeper = front->options.keeper;
	struct aub_answer *kept = NULL;

	switch (aub_keeper_begin(keeper, request->call, on_first_run_done,
				 request, &kept)) {
	case AUB_KEY_NEW:
		request->keeping = true;
		front->keeping++;
		if (aub_keeper_closed(keeper))
			front_refuse(request, 503, "keys-moving",
				     RETRY_SOON_MS);
		else if (classify(request))
			front_route(request);
		break;
	case AUB_KEY_RUNNING:
		request->place = FRONT_WAITING;
		request->timer = aub_timer_at(front->options.timers, "repeat",
					      request->deadline_us,
					      on_wait_over, request);
		break;
	case AUB_KEY_KEPT:
		front_finish(request, kept);
		break;
	case AUB_KEY_MISMATCH:
		front_refuse(request, 422, "key-of-another-request", 0);
		break;
	case AUB_KEY_FULL:
		front_refuse(request, 503, "keys-full", RETRY_LATER_MS);
		break;
	case AUB_KEY_GRANT_OVER:
		front_refuse(request, 409, "grant-over", 0);
		break;
	case AUB_KEY_FORGOTTEN:
		front_finish(request, aub_answer_unknown("key-forgotten"));
		break;
	}
}

void front_start_keyed(struct front_request *request)
{
	struct aub_front *front = request->front;
	const struct aub_member *member;

	request->call->once = true;
	switch (aub_keeper_locate(front->options.keeper, request->call->key,
				  &member)) {
	case AUB_KEEPER_HERE:
		begin_key(request);
		break;
	case AUB_KEEPER_ELSEWHERE:
		if (request->forwarded)
			front_finish(request,
				     aub_answer_unknown(FRONT_KEEPER_MOVED));
		else
			front_route_to_keeper(request, member);
		break;
	case AUB_KEEPER_GONE:
		request->keeper_lost = true;
		front_finish(request, aub_answer_unknown("keeper-gone"));
		break;
	case AUB_KEEPER_INVALID:
		front_refuse(request, 400, "key-without-grant", 0);
		break;
	}
}

static void set_deadline(struct front_request *request)
{
	struct aub_front *front = request->front;
	const struct aub_inventory *inventory;
	guint32 deadline_ms = request->call->deadline_ms;
	guint16 handle = AUB_NO_HANDLE;

	inventory = aub_entry_view_inventory(front->options.view);
	if (!deadline_ms) {
		if (inventory)
			handle = aub_inventory_route(inventory,
						     request->call->path);
		deadline_ms =
			handle == AUB_NO_HANDLE ?
				DEADLINE_DEFAULT_MS :
				aub_service_at(inventory, handle)->deadline_ms;
	}
	deadline_ms = MIN(deadline_ms, DEADLINE_MOST_MS);
	request->deadline_us = request->arrived_us + deadline_ms * AUB_MS;
}

static struct front_request *request_new(struct aub_front *front,
					 struct aub_call *call)
{
	struct front_request *request = g_new0(struct front_request, 1);

	request->front = front;
	request->call = call;
	request->arrived_us = aub_timer_now(front->options.timers);
	set_deadline(request);
	g_hash_table_add(front->requests, request);
	front_figures_pending(front->figures,
			      g_hash_table_size(front->requests));
	aub_event_record_simple(front->options.events, AUB_EVENT_ARRIVED, call->id, 0,
		       NULL, call->path);
	return request;
}

void aub_front_caller_arrived(struct aub_caller_request *caller,
			      struct aub_call *call, void *context)
{
	struct aub_front *front = context;
	struct front_request *request;

	call->id = front->next_id++;
	request = request_new(front, call);
	request->caller = caller;
	aub_caller_request_set_data(caller, request);
	if (front->closed && !*call->key)
		front_refuse(request, 503, "stopping", RETRY_SOON_MS);
	else if (*call->key)
		front_start_keyed(request);
	else if (classify(request))
		front_route(request);
}

/* Is it meant for this incarnation? */
static bool is_receiver(const struct front_request *request)
{
	return request->call->receiver ==
	       request->front->options.hello->incarnation;
}

void aub_front_relay_arrived(struct aub_relay_inbound *inbound,
			     struct aub_call *call, void *context)
{
	struct aub_front *front = context;
	struct front_request *request = request_new(front, call);

	request->inbound = inbound;
	request->forwarded = true;
	request->as_owner = call->purpose == AUB_CALL_OWNER;
	request->zone = g_strdup(aub_relay_inbound_zone(inbound));
	aub_relay_inbound_set_data(inbound, request);
	if (!is_receiver(request))
		front_refuse(request, 503, "another-incarnation",
			     RETRY_SOON_MS);
	else if (call->purpose == AUB_CALL_KEY_OWNER)
		front_start_keyed(request);
	else if (!aub_entry_view_serving(front->options.view))
		front_refuse(request, 503, "not-serving", RETRY_LATER_MS);
	else
		front_route(request);
}

/*
 * The one who waited is gone. A keyed request runs on, so that its caller's
 * repeat finds the answer; any other is cancelled.
 */
static void abandon(struct front_request *request)
{
	struct aub_front *front = request->front;

	request->caller = NULL;
	request->inbound = NULL;
	if (request->keeping)
		return;
	aub_event_record_simple(front->options.events, AUB_EVENT_CANCELLED,
		       request->call->id, 0, NULL, "caller gone");
	switch (request->place) {
	case FRONT_WAITING:
		aub_keeper_leave(front->options.keeper, request->call->key,
				 request);
		break;
	case FRONT_DISPATCHED:
		aub_dispatch_task_abandon(front->options.dispatch,
					  request->call->service,
					  request->call->id);
		break;
	case FRONT_RELAYED:
		aub_relay_cancel(request->relayed);
		break;
	case FRONT_NOWHERE:
	case FRONT_DELAYED:
		break;
	}
	request_free(request);
}

void aub_front_caller_gone(struct aub_caller_request *caller, void *context)
{
	abandon(aub_caller_request_data(caller));
}

void aub_front_relay_gone(struct aub_relay_inbound *inbound, void *context)
{
	abandon(aub_relay_inbound_data(inbound));
}

static enum aub_dispatch_role role_of(const struct aub_front *front,
				      const struct aub_assignment *assignment)
{
	guint64 self = front->options.hello->incarnation;
	const struct aub_member *owner;

	if (!aub_entry_view_serving(front->options.view))
		return AUB_DISPATCH_NONE;
	if (assignment->owner_incarnation == self)
		return AUB_DISPATCH_OWNER;
	if (assignment->standby_incarnation != self)
		return AUB_DISPATCH_NONE;
	owner = aub_entry_view_member(front->options.view,
				      assignment->owner_incarnation);
	if (owner && owner->state != AUB_MEMBER_DEAD &&
	    owner->state != AUB_MEMBER_STOPPED) {
		aub_relay_watch(front->relay, owner);
		if (aub_relay_peer_state(front->relay, owner->incarnation) !=
		    AUB_PEER_DOWN)
			return AUB_DISPATCH_NONE;
	}
	return AUB_DISPATCH_STANDBY;
}

static void update_role(const struct aub_assignment *assignment, void *context)
{
	struct aub_front *front = context;
	const struct aub_member *standby;
	guint64 self = front->options.hello->incarnation;

	if (assignment->owner_incarnation == self) {
		front->owned++;
		standby =
			aub_entry_view_member(front->options.view,
					      assignment->standby_incarnation);
		if (standby && standby->state == AUB_MEMBER_LIVE)
			aub_relay_watch(front->relay, standby);
	}
	aub_dispatch_task_set_role(front->options.dispatch, assignment->service,
				   role_of(front, assignment), SETTLE_US);
}

void aub_front_update_roles(struct aub_front *front)
{
	front->owned = 0;
	aub_relay_watch_none(front->relay);
	aub_entry_view_assignments(front->options.view, update_role, front);
}

static void tell_states(const struct aub_assignment *assignment, void *context)
{
	struct aub_front *front = context;
	struct aub_dispatcher *dispatcher;
	struct aub_upstream_states *states;

	if (assignment->owner_incarnation !=
		    front->options.hello->incarnation ||
	    !assignment->standby_incarnation)
		return;
	dispatcher = aub_dispatch_task_dispatcher(front->options.dispatch,
						  assignment->service);
	if (!dispatcher)
		return;
	states = aub_states_make(dispatcher, assignment->service,
				 aub_timer_now(front->options.timers));
	aub_relay_send_message(front->relay, assignment->standby_incarnation,
			       &states->base);
	aub_message_free(&states->base);
}

void aub_front_tell_states(struct aub_front *front)
{
	aub_entry_view_assignments(front->options.view, tell_states, front);
}

void aub_front_learn_states(struct aub_front *front,
			    const struct aub_upstream_states *states,
			    guint64 incarnation)
{
	const struct aub_assignment *assignment =
		aub_entry_view_assignment(front->options.view, states->service);
	struct aub_dispatcher *dispatcher;

	if (!assignment || assignment->owner_incarnation != incarnation)
		return;
	dispatcher = aub_dispatch_task_dispatcher(front->options.dispatch,
						  states->service);
	if (dispatcher)
		aub_states_learn(dispatcher, states,
				 aub_timer_now(front->options.timers));
}

void aub_front_stop(struct aub_front *front)
{
	front->stopping = true;
}

void aub_front_close(struct aub_front *front)
{
	front->closed = true;
}

guint aub_front_pending(const struct aub_front *front)
{
	return g_hash_table_size(front->requests);
}

guint aub_front_keeping(const struct aub_front *front)
{
	return front->keeping;
}

guint aub_front_owned(const struct aub_front *front)
{
	return front->owned;
}

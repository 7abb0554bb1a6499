/*
 * Arrival and completion of requests at an entry.
 *
 * Each request ends with exactly one answer that says run, not-run or unknown.
 * A request that carries a key, or matches an at-most-once rule of its service,
 * must not be retried.
 */
#include <auburnstile/internal/upstream_states.h>
#include <auburnstile/internal/answer.h>
#include <auburnstile/internal/routed_request.h>

#include <string.h>

/* Retry-After of refusals: for a cause that ends soon, and for any other. */
#define RETRY_SHORT_MS 300
#define RETRY_LONG_MS 1000
#define DEADLINE_MAX_MS (10 * 60 * 1000)
#define DEADLINE_DEFAULT_MS 30000 /* if the service is not known here */

/*
 * During this time a new owner uses half of the slots, because requests of its
 * predecessor may still be in flight.
 */
#define WARM_UP_US AUB_SECOND

struct aub_request_router *aub_request_router_new(
	const struct aub_request_router_options *options)
{
	struct aub_request_router *router =
		g_new0(struct aub_request_router, 1);

	router->options = *options;
	router->next_id = options->first_id;
	router->stats = request_stats_new(options->metrics);
	router->requests = g_hash_table_new(NULL, NULL);
	return router;
}

void aub_request_router_set_relay(struct aub_request_router *router,
				  struct aub_relay *relay)
{
	router->relay = relay;
}

static void request_free(struct routed_request *request)
{
	struct aub_request_router *router = request->router;

	aub_timer_cancel(router->options.timers, request->timer);
	g_hash_table_remove(router->requests, request);
	aub_message_free(&request->call->base);
	g_free(request->zone);
	g_free(request);
}

void aub_request_router_free(struct aub_request_router *router)
{
	GHashTableIter iterator;
	void *key;

	if (!router)
		return;
	for (;;) {
		g_hash_table_iter_init(&iterator, router->requests);
		if (!g_hash_table_iter_next(&iterator, &key, NULL))
			break;
		request_free(key);
	}
	g_hash_table_unref(router->requests);
	request_stats_free(router->stats);
	g_free(router);
}

/* Returns true if the caller should refresh its list of addresses. */
static bool addresses_are_stale(const struct aub_request_router *router,
				const char *service)
{
	const struct aub_assignment *assignment;
	guint64 self = router->options.hello->incarnation;

	if (router->stopping)
		return true;
	if (router->options.local_only)
		return false;
	/*
	 * An entry without contact to its control refuses requests, but callers
	 * would return to it because its outdated view still names it as owner.
	 * The answer directs callers to other entries, and addresses() omits
	 * this one.
	 */
	if (!aub_entry_view_serving(router->options.view))
		return true;
	assignment = aub_entry_view_assignment(router->options.view, service);
	return assignment && assignment->owner_incarnation != self &&
	       assignment->standby_incarnation != self;
}

static void record_finished(struct routed_request *request,
			    const struct aub_answer *answer)
{
	struct aub_request_router *router = request->router;
	gint64 took_us =
		aub_timer_now(router->options.timers) - request->arrived_us;

	aub_event_record_simple(router->options.events, AUB_EVENT_FINISHED,
				request->call->id, answer->status, NULL,
				answer->reason && *answer->reason ?
					answer->reason :
					aub_outcome_name(answer->outcome));
	if (request->caller)
		request_stats_count_answer(router->stats,
					   request->call->service,
					   answer->outcome, took_us);
	request_stats_set_pending(router->stats,
				  g_hash_table_size(router->requests) - 1);
}

void routed_request_finish(struct routed_request *request,
			   struct aub_answer *answer)
{
	struct aub_request_router *router = request->router;

	/*
	 * If the outcome of a first attempt is unknown and the second attempt
	 * is refused, "not-run" would be wrong, as the first may have run. The
	 * answer reports the outcome of the request as a whole.
	 */
	if (request->may_have_run && answer->outcome == AUB_OUTCOME_NOT_RUN)
		answer->outcome = AUB_OUTCOME_UNKNOWN;
	answer->id = request->call->id;
	record_finished(request, answer);
	if (request->holds_key) {
		request->holds_key = false;
		router->running_keys--;
		aub_idempotency_finish(router->options.idempotency,
				       request->call->key, answer);
	}
	request_stats_set_keys(
		router->stats,
		aub_idempotency_count(router->options.idempotency),
		aub_idempotency_bytes(router->options.idempotency));
	/*
	 * After an entry has restarted under the same address, callers continue
	 * to create keys from the old grant, and every new request would end as
	 * unknown until their cached addresses expire. The stale mark limits
	 * this to one request per caller.
	 */
	if (request->caller)
		aub_caller_respond(
			request->caller, answer,
			request->key_owner_lost ||
				addresses_are_stale(router,
						    request->call->service));
	else if (request->inbound)
		aub_relay_answer(request->inbound, answer);
	else
		aub_message_free(&answer->base);
	request_free(request);
}

void routed_request_refuse(struct routed_request *request, guint status,
			   const char *reason, guint32 retry_after_ms)
{
	aub_event_record_simple(request->router->options.events,
				AUB_EVENT_REFUSED, request->call->id,
				retry_after_ms, NULL, reason);
	routed_request_finish(request, aub_answer_not_run(status, reason,
							  retry_after_ms));
}

/*
 * Sets the request's service and applies its rules; returns false if the
 * request was refused.
 */
static bool assign_service(struct routed_request *request)
{
	struct aub_request_router *router = request->router;
	struct aub_call *call = request->call;
	const struct aub_inventory *inventory;
	const struct aub_service *service;
	const struct aub_at_most_once_rule *rule;
	guint16 handle;

	inventory = aub_entry_view_inventory(router->options.view);
	if (!inventory) {
		routed_request_refuse(request, 503, "no-configuration",
				      RETRY_LONG_MS);
		return false;
	}
	handle = aub_inventory_route(inventory, call->path);
	if (handle == AUB_NO_HANDLE) {
		routed_request_refuse(request, 404, "no-such-service", 0);
		return false;
	}
	service = aub_service_at(inventory, handle);
	aub_string_set(&call->service, service->name);
	rule = aub_service_at_most_once_rule(service, call->method, call->path);
	if (rule && rule->key_required && !*call->key) {
		routed_request_refuse(request, 428, "key-required", 0);
		return false;
	}
	call->at_most_once = rule || *call->key;
	if (!aub_entry_view_serving(router->options.view)) {
		routed_request_refuse(request, 503, "not-serving",
				      RETRY_LONG_MS);
		return false;
	}
	return true;
}

static void on_running_request_ended(const struct aub_answer *answer,
				     void *context)
{
	struct routed_request *request = context;

	routed_request_finish(request, aub_answer_copy(answer));
}

static void on_key_wait_timeout(void *context, gint64 now_us)
{
	struct routed_request *request = context;

	request->timer = 0;
	aub_idempotency_stop_waiting(request->router->options.idempotency,
				     request->call->key, request);
	routed_request_finish(request,
			      aub_answer_outcome_unknown("still-running"));
}

/*
 * Starts a request whose key is owned here, or answers it from the key table.
 */
static void start_key(struct routed_request *request)
{
	struct aub_request_router *router = request->router;
	struct aub_idempotency *idempotency = router->options.idempotency;
	struct aub_answer *cached = NULL;

	switch (aub_idempotency_begin(idempotency, request->call,
				      on_running_request_ended, request,
				      &cached)) {
	case AUB_KEY_NEW:
		request->holds_key = true;
		router->running_keys++;
		if (aub_idempotency_closed(idempotency))
			routed_request_refuse(request, 503, "keys-moving",
					      RETRY_SHORT_MS);
		else if (assign_service(request))
			routed_request_send_to_owner(request);
		break;
	case AUB_KEY_RUNNING:
		request->stage = ROUTED_WAITING_FOR_KEY;
		request->timer = aub_timer_at(router->options.timers, "repeat",
					      request->deadline_us,
					      on_key_wait_timeout, request);
		break;
	case AUB_KEY_RECORDED:
		routed_request_finish(request, cached);
		break;
	case AUB_KEY_MISMATCH:
		routed_request_refuse(request, 422, "key-of-another-request",
				      0);
		break;
	case AUB_KEY_FULL:
		routed_request_refuse(request, 503, "keys-full", RETRY_LONG_MS);
		break;
	case AUB_KEY_GRANT_EXPIRED:
		routed_request_refuse(request, 409, "grant-over", 0);
		break;
	case AUB_KEY_FORGOTTEN:
		routed_request_finish(request, aub_answer_outcome_unknown(
						       "key-forgotten"));
		break;
	}
}

void routed_request_start_keyed(struct routed_request *request)
{
	struct aub_request_router *router = request->router;
	const struct aub_member *member;

	request->call->at_most_once = true;
	switch (aub_idempotency_locate(router->options.idempotency,
				       request->call->key, &member)) {
	case AUB_KEY_LOCATION_HERE:
		start_key(request);
		break;
	case AUB_KEY_LOCATION_REMOTE:
		if (request->forwarded)
			routed_request_finish(request,
					      aub_answer_outcome_unknown(
						      REASON_KEY_OWNER_MOVED));
		else
			routed_request_send_to_key_owner(request, member);
		break;
	case AUB_KEY_LOCATION_LOST:
		request->key_owner_lost = true;
		routed_request_finish(request, aub_answer_outcome_unknown(
						       "keeper-gone"));
		break;
	case AUB_KEY_LOCATION_INVALID:
		routed_request_refuse(request, 400, "key-without-grant", 0);
		break;
	}
}

static void set_deadline(struct routed_request *request)
{
	struct aub_request_router *router = request->router;
	const struct aub_inventory *inventory;
	guint32 deadline_ms = request->call->deadline_ms;
	guint16 handle = AUB_NO_HANDLE;

	inventory = aub_entry_view_inventory(router->options.view);
	if (!deadline_ms) {
		if (inventory)
			handle = aub_inventory_route(inventory,
						     request->call->path);
		deadline_ms =
			handle == AUB_NO_HANDLE ?
				DEADLINE_DEFAULT_MS :
				aub_service_at(inventory, handle)->deadline_ms;
	}
	deadline_ms = MIN(deadline_ms, DEADLINE_MAX_MS);
	request->deadline_us = request->arrived_us + deadline_ms * AUB_MS;
}

static struct routed_request *request_new(struct aub_request_router *router,
					  struct aub_call *call)
{
	struct routed_request *request = g_new0(struct routed_request, 1);

	request->router = router;
	request->call = call;
	request->arrived_us = aub_timer_now(router->options.timers);
	set_deadline(request);
	g_hash_table_add(router->requests, request);
	request_stats_set_pending(router->stats,
				  g_hash_table_size(router->requests));
	aub_event_record_simple(router->options.events, AUB_EVENT_ARRIVED,
				call->id, 0, NULL, call->path);
	return request;
}

void aub_request_router_caller_arrived(struct aub_caller_request *caller,
				       struct aub_call *call, void *context)
{
	struct aub_request_router *router = context;
	struct routed_request *request;

	call->id = router->next_id++;
	request = request_new(router, call);
	request->caller = caller;
	aub_caller_request_set_data(caller, request);
	if (router->closed && !*call->key)
		routed_request_refuse(request, 503, "stopping", RETRY_SHORT_MS);
	else if (*call->key)
		routed_request_start_keyed(request);
	else if (assign_service(request))
		routed_request_send_to_owner(request);
}

/* Returns true if the call is addressed to this incarnation. */
static bool is_for_this_incarnation(const struct routed_request *request)
{
	return request->call->receiver ==
	       request->router->options.hello->incarnation;
}

void aub_request_router_relay_arrived(struct aub_relay_inbound *inbound,
				      struct aub_call *call, void *context)
{
	struct aub_request_router *router = context;
	struct routed_request *request = request_new(router, call);

	request->inbound = inbound;
	request->forwarded = true;
	request->addressed_to_owner = call->purpose == AUB_CALL_OWNER;
	request->zone = g_strdup(aub_relay_inbound_zone(inbound));
	aub_relay_inbound_set_data(inbound, request);
	if (!is_for_this_incarnation(request))
		routed_request_refuse(request, 503, "another-incarnation",
				      RETRY_SHORT_MS);
	else if (call->purpose == AUB_CALL_KEY_OWNER)
		routed_request_start_keyed(request);
	else if (!aub_entry_view_serving(router->options.view))
		routed_request_refuse(request, 503, "not-serving",
				      RETRY_LONG_MS);
	else
		routed_request_send_to_owner(request);
}

/*
 * Handles the disconnection of the caller or relaying entry. A keyed request
 * continues, so that the caller's repeat finds the answer; any other request is
 * cancelled.
 */
static void abandon_request(struct routed_request *request)
{
	struct aub_request_router *router = request->router;

	request->caller = NULL;
	request->inbound = NULL;
	if (request->holds_key)
		return;
	aub_event_record_simple(router->options.events, AUB_EVENT_CANCELLED,
				request->call->id, 0, NULL,
				"caller disconnected");
	switch (request->stage) {
	case ROUTED_WAITING_FOR_KEY:
		aub_idempotency_stop_waiting(router->options.idempotency,
					     request->call->key, request);
		break;
	case ROUTED_DISPATCHED:
		aub_dispatch_task_abandon(router->options.dispatch,
					  request->call->service,
					  request->call->id);
		break;
	case ROUTED_RELAYED:
		aub_relay_cancel(request->relayed);
		break;
	case ROUTED_IDLE:
	case ROUTED_DELAYED:
		break;
	}
	request_free(request);
}

void aub_request_router_caller_disconnected(struct aub_caller_request *caller,
					    void *context)
{
	abandon_request(aub_caller_request_data(caller));
}

void aub_request_router_relay_cancelled(struct aub_relay_inbound *inbound,
					void *context)
{
	abandon_request(aub_relay_inbound_data(inbound));
}

static enum aub_dispatch_role role_of(const struct aub_request_router *router,
				      const struct aub_assignment *assignment)
{
	guint64 self = router->options.hello->incarnation;
	const struct aub_member *owner;

	if (!aub_entry_view_serving(router->options.view))
		return AUB_DISPATCH_NONE;
	if (assignment->owner_incarnation == self)
		return AUB_DISPATCH_OWNER;
	if (assignment->standby_incarnation != self)
		return AUB_DISPATCH_NONE;
	owner = aub_entry_view_member(router->options.view,
				      assignment->owner_incarnation);
	if (owner && owner->state != AUB_MEMBER_DEAD &&
	    owner->state != AUB_MEMBER_STOPPED) {
		aub_relay_watch(router->relay, owner);
		if (aub_relay_peer_state(router->relay, owner->incarnation) !=
		    AUB_PEER_DOWN)
			return AUB_DISPATCH_NONE;
	}
	return AUB_DISPATCH_STANDBY;
}

static void update_role(const struct aub_assignment *assignment, void *context)
{
	struct aub_request_router *router = context;
	const struct aub_member *standby;
	guint64 self = router->options.hello->incarnation;

	if (assignment->owner_incarnation == self) {
		router->owned_services++;
		standby =
			aub_entry_view_member(router->options.view,
					      assignment->standby_incarnation);
		if (standby && standby->state == AUB_MEMBER_LIVE)
			aub_relay_watch(router->relay, standby);
	}
	aub_dispatch_task_set_role(router->options.dispatch,
				   assignment->service,
				   role_of(router, assignment), WARM_UP_US);
}

void aub_request_router_update_roles(struct aub_request_router *router)
{
	router->owned_services = 0;
	aub_relay_unwatch_all(router->relay);
	aub_entry_view_assignments(router->options.view, update_role, router);
}

static void send_states(const struct aub_assignment *assignment, void *context)
{
	struct aub_request_router *router = context;
	struct aub_dispatcher *dispatcher;
	struct aub_upstream_states *states;

	if (assignment->owner_incarnation !=
		    router->options.hello->incarnation ||
	    !assignment->standby_incarnation)
		return;
	dispatcher = aub_dispatch_task_dispatcher(router->options.dispatch,
						  assignment->service);
	if (!dispatcher)
		return;
	states = aub_states_from_dispatcher(dispatcher, assignment->service,
					    aub_timer_now(
						    router->options.timers));
	aub_relay_send_message(router->relay, assignment->standby_incarnation,
			       &states->base);
	aub_message_free(&states->base);
}

void aub_request_router_send_states(struct aub_request_router *router)
{
	aub_entry_view_assignments(router->options.view, send_states, router);
}

void aub_request_router_receive_states(struct aub_request_router *router,
				       const struct aub_upstream_states *states,
				       guint64 incarnation)
{
	const struct aub_assignment *assignment =
		aub_entry_view_assignment(router->options.view,
					  states->service);
	struct aub_dispatcher *dispatcher;

	if (!assignment || assignment->owner_incarnation != incarnation)
		return;
	dispatcher = aub_dispatch_task_dispatcher(router->options.dispatch,
						  states->service);
	if (dispatcher)
		aub_states_apply(dispatcher, states,
				 aub_timer_now(router->options.timers));
}

void aub_request_router_stop(struct aub_request_router *router)
{
	router->stopping = true;
}

void aub_request_router_close(struct aub_request_router *router)
{
	router->closed = true;
}

guint aub_request_router_pending(const struct aub_request_router *router)
{
	return g_hash_table_size(router->requests);
}

guint aub_request_router_running_keys(const struct aub_request_router *router)
{
	return router->running_keys;
}

guint aub_request_router_owned_services(const struct aub_request_router *router)
{
	return router->owned_services;
}

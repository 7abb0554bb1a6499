/* The dispatcher's entry points: events go in, actions come out. */
#include <auburnstile/internal/dispatch_internal.h>

static void request_free(gpointer data)
{
	struct request *request = data;

	for (guint i = 0; i < request->running->len; i++)
		g_free(request->running->pdata[i]);
	g_ptr_array_free(request->running, TRUE);
	g_free(request);
}

struct aub_dispatcher *aub_dispatcher_new(
	const struct aub_dispatcher_options *options)
{
	struct aub_dispatcher *dispatcher = g_new0(struct aub_dispatcher, 1);

	dispatcher->policy = options->policy;
	dispatcher->random = g_rand_new_with_seed(options->seed);
	dispatcher->upstreams = g_ptr_array_new();
	dispatcher->requests =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				      request_free);
	dispatcher->timers = g_sequence_new(NULL);
	dispatcher->crashes = crash_table_new();
	dispatcher->retries.capacity = 1000 * (gint64)AUB_RETRY_BURST_MAX;
	dispatcher->retries.tokens = dispatcher->retries.capacity;
	dispatcher->hedges.capacity = 1000 * (gint64)AUB_HEDGE_BURST_MAX;
	return dispatcher;
}

void aub_dispatcher_free(struct aub_dispatcher *dispatcher)
{
	if (!dispatcher)
		return;
	g_sequence_free(dispatcher->timers);
	g_hash_table_unref(dispatcher->requests);
	for (guint i = 0; i < dispatcher->upstreams->len; i++)
		upstream_free(upstream_at(dispatcher, i));
	g_ptr_array_free(dispatcher->upstreams, TRUE);
	g_queue_clear_full(&dispatcher->actions, g_free);
	g_rand_free(dispatcher->random);
	crash_table_free(dispatcher->crashes);
	if (dispatcher->inventory)
		aub_inventory_unref(dispatcher->inventory);
	g_free(dispatcher);
}

/*
 * Returns true if some upstream accepts new requests, whether or not it has a
 * free slot at the moment.
 */
static bool any_upstream_accepts_new(const struct aub_dispatcher *dispatcher)
{
	for (guint i = 0; i < dispatcher->upstreams->len; i++) {
		const struct upstream *upstream = upstream_at(dispatcher, i);

		if (upstream->accepts_new && !upstream->draining)
			return true;
	}
	return false;
}

static bool is_baseline(const struct aub_dispatcher *dispatcher)
{
	return dispatcher->policy != AUB_POLICY_AUBURNSTILE;
}

/*
 * Tries to send the request at the head of the queue. Returns false if it has
 * to wait. All first attempts and retries are sent from here.
 */
static bool dispatch_one(struct aub_dispatcher *dispatcher,
			 struct request *request, gint64 now_us)
{
	struct upstream *upstream;

	if (crash_must_refuse(dispatcher, request->fingerprint, now_us)) {
		dispatch_refuse(dispatcher, request,
				AUB_REFUSAL_CRASHES_UPSTREAMS, now_us);
		return true;
	}
	if (!any_upstream_accepts_new(dispatcher)) {
		dispatch_refuse(dispatcher, request, AUB_REFUSAL_NO_UPSTREAM,
				now_us);
		return true;
	}
	upstream = is_baseline(dispatcher) ?
			   policy_select(dispatcher, request) :
			   upstream_select(dispatcher, request, false, now_us);
	if (!upstream)
		return false;
	dispatch_dequeue(dispatcher, request);
	dispatch_send(dispatcher, request, upstream, false, now_us);
	return true;
}

void dispatch_run_queue(struct aub_dispatcher *dispatcher, gint64 now_us)
{
	while (dispatcher->queue.length)
		if (!dispatch_one(dispatcher, dispatcher->queue.head->data,
				  now_us))
			break;
	probe_send_due(dispatcher, now_us);
}

static void refuse_queued(struct aub_dispatcher *dispatcher,
			  enum aub_refusal refusal, gint64 now_us)
{
	while (dispatcher->queue.length)
		dispatch_refuse(dispatcher, dispatcher->queue.head->data,
				refusal, now_us);
}

void aub_dispatcher_configure(struct aub_dispatcher *dispatcher,
			      struct aub_inventory *inventory, guint16 service,
			      gint64 now_us)
{
	struct aub_inventory *before = dispatcher->inventory;
	const struct aub_service *settings = aub_service_at(inventory, service);

	dispatcher->now_us = MAX(dispatcher->now_us, now_us);
	dispatcher->inventory = aub_inventory_ref(inventory);
	dispatcher->service = service;
	dispatcher->queue_limit = settings->queue_limit;
	dispatcher->probe_budget_us = settings->probe_budget_us;
	dispatcher->cold_us = settings->cold_ms * AUB_MS;
	dispatcher->hedge_percent = settings->hedge_percent;
	upstreams_configure(dispatcher, now_us);
	probe_configure(dispatcher, now_us);
	if (before)
		aub_inventory_unref(before);
	dispatch_run_queue(dispatcher, now_us);
}

/*
 * Resets the state of upstreams that were not seen recently, because they may
 * have restarted since.
 */
static void reset_stale_upstreams(struct aub_dispatcher *dispatcher,
				  gint64 now_us)
{
	for (guint i = 0; i < dispatcher->upstreams->len; i++) {
		struct upstream *upstream = upstream_at(dispatcher, i);

		if (warmup_state_is_stale(upstream, now_us))
			warmup_reset_to_unknown(upstream, now_us);
	}
}

void aub_dispatcher_set_role(struct aub_dispatcher *dispatcher,
			     enum aub_dispatch_role role,
			     gint64 takeover_grace_us, gint64 now_us)
{
	enum aub_dispatch_role before = dispatcher->role;

	dispatcher->now_us = MAX(dispatcher->now_us, now_us);
	if (role == before)
		return;
	probe_send_due(dispatcher, now_us);
	dispatcher->role = role;
	if (role == AUB_DISPATCH_OWNER)
		dispatcher->takeover_grace_until_us =
			now_us + takeover_grace_us;
	if (before == AUB_DISPATCH_NONE)
		reset_stale_upstreams(dispatcher, now_us);
	if (role == AUB_DISPATCH_NONE && !is_baseline(dispatcher))
		refuse_queued(dispatcher, AUB_REFUSAL_NOT_OWNER, now_us);
	dispatch_run_queue(dispatcher, now_us);
}

static enum aub_refusal admission_refusal(
	const struct aub_dispatcher *dispatcher,
	const struct aub_dispatch_request *request, gint64 now_us)
{
	if (dispatcher->stopping)
		return AUB_REFUSAL_STOPPING;
	if (dispatcher->role == AUB_DISPATCH_NONE && !is_baseline(dispatcher))
		return AUB_REFUSAL_NOT_OWNER;
	if (crash_must_refuse(dispatcher, request->fingerprint, now_us))
		return AUB_REFUSAL_CRASHES_UPSTREAMS;
	if (!any_upstream_accepts_new(dispatcher))
		return AUB_REFUSAL_NO_UPSTREAM;
	if (dispatch_cannot_meet_deadline(dispatcher, request, now_us))
		return AUB_REFUSAL_DEADLINE_UNREACHABLE;
	if (dispatcher->queue.length >= dispatcher->queue_limit &&
	    upstream_total_free(dispatcher, now_us) == 0 &&
	    !is_baseline(dispatcher))
		return AUB_REFUSAL_QUEUE_FULL;
	return AUB_REFUSAL_NONE;
}

static struct request *request_new(struct aub_dispatcher *dispatcher,
				   const struct aub_dispatch_request *given,
				   gint64 now_us)
{
	struct request *request = g_new0(struct request, 1);

	request->id = given->id;
	request->arrived_us = now_us;
	request->deadline_us = given->deadline_us;
	request->at_most_once = given->at_most_once;
	request->retry_budget = given->retry_budget;
	request->fingerprint = given->fingerprint;
	request->zone = AUB_NO_HANDLE;
	if (given->zone && dispatcher->inventory)
		request->zone =
			aub_inventory_zone(dispatcher->inventory, given->zone);
	request->running = g_ptr_array_new();
	request->link.data = request;
	g_hash_table_insert(dispatcher->requests, &request->id, request);
	return request;
}

void aub_dispatcher_submit(struct aub_dispatcher *dispatcher,
			   const struct aub_dispatch_request *request,
			   gint64 now_us)
{
	enum aub_refusal refusal;
	struct request *tracked;

	dispatcher->now_us = MAX(dispatcher->now_us, now_us);
	g_return_if_fail(
		!g_hash_table_contains(dispatcher->requests, &request->id));
	dispatcher->counts.arrived++;
	refusal = admission_refusal(dispatcher, request, now_us);
	tracked = request_new(dispatcher, request, now_us);
	if (refusal != AUB_REFUSAL_NONE) {
		dispatch_refuse(dispatcher, tracked, refusal, now_us);
		return;
	}
	token_bucket_add(&dispatcher->retries,
			 10 * (gint64)AUB_RETRY_BUDGET_PERCENT);
	token_bucket_add(&dispatcher->hedges,
			 10 * (gint64)dispatcher->hedge_percent);
	dispatch_enqueue(dispatcher, tracked, false);
	dispatch_run_queue(dispatcher, now_us);
}

static struct attempt *attempt_find(const struct request *request,
				    guint32 number)
{
	for (guint i = 0; i < request->running->len; i++) {
		struct attempt *attempt = request->running->pdata[i];

		if (attempt->number == number)
			return attempt;
	}
	return NULL;
}

void aub_dispatcher_attempt_done(struct aub_dispatcher *dispatcher,
				 guint64 request, guint32 attempt,
				 enum aub_attempt_result result,
				 const struct aub_upstream_signals *signals,
				 gint64 now_us)
{
	struct request *tracked =
		g_hash_table_lookup(dispatcher->requests, &request);
	struct attempt *found;

	dispatcher->now_us = MAX(dispatcher->now_us, now_us);
	if (!tracked)
		return;
	found = attempt_find(tracked, attempt);
	if (!found)
		return;
	dispatch_attempt_done(dispatcher, tracked, found, result, signals,
			      now_us);
	dispatch_run_queue(dispatcher, now_us);
}

void aub_dispatcher_abandon(struct aub_dispatcher *dispatcher, guint64 request,
			    gint64 now_us)
{
	struct request *tracked =
		g_hash_table_lookup(dispatcher->requests, &request);

	dispatcher->now_us = MAX(dispatcher->now_us, now_us);
	if (!tracked || tracked->finished)
		return;
	if (tracked->queued)
		dispatch_dequeue(dispatcher, tracked);
	dispatch_timer_clear(dispatcher, tracked);
	tracked->finished = true;
	dispatch_cancel(dispatcher, tracked);
	dispatch_free_if_done(dispatcher, tracked);
	dispatch_run_queue(dispatcher, now_us);
}

void aub_dispatcher_tick(struct aub_dispatcher *dispatcher, gint64 now_us)
{
	struct request *request;

	dispatcher->now_us = MAX(dispatcher->now_us, now_us);
	for (request = dispatch_timer_pop_due(dispatcher, now_us); request;
	     request = dispatch_timer_pop_due(dispatcher, now_us)) {
		if (request->queued)
			dispatch_refuse(dispatcher, request,
					AUB_REFUSAL_DEADLINE_UNREACHABLE,
					now_us);
		else
			hedge_on_timer(dispatcher, request, now_us);
	}
	dispatch_run_queue(dispatcher, now_us);
}

gint64 aub_dispatcher_next_wakeup_us(const struct aub_dispatcher *dispatcher)
{
	GSequenceIter *first = g_sequence_get_begin_iter(dispatcher->timers);
	gint64 wake = MIN(probe_next_wakeup_us(dispatcher),
			  upstreams_next_wakeup_us(dispatcher));

	if (!g_sequence_iter_is_end(first)) {
		const struct request *request = g_sequence_get(first);

		wake = MIN(wake, request->timer_us);
	}
	return wake;
}

bool aub_dispatcher_next_action(struct aub_dispatcher *dispatcher,
				struct aub_action *action)
{
	struct aub_action *next = g_queue_pop_head(&dispatcher->actions);

	if (!next)
		return false;
	*action = *next;
	g_free(next);
	return true;
}

void aub_dispatcher_stop(struct aub_dispatcher *dispatcher, gint64 now_us)
{
	dispatcher->now_us = MAX(dispatcher->now_us, now_us);
	dispatcher->stopping = true;
}

guint aub_dispatcher_pending(const struct aub_dispatcher *dispatcher)
{
	return g_hash_table_size(dispatcher->requests);
}

guint aub_dispatcher_queued(const struct aub_dispatcher *dispatcher)
{
	return dispatcher->queue.length;
}

void aub_dispatcher_counts(const struct aub_dispatcher *dispatcher,
			   struct aub_dispatch_counts *counts)
{
	*counts = dispatcher->counts;
}

guint aub_dispatcher_status(const struct aub_dispatcher *dispatcher,
			    struct aub_upstream_status *list, guint limit)
{
	guint count = MIN(limit, dispatcher->upstreams->len);

	for (guint i = 0; i < count; i++) {
		const struct upstream *upstream = upstream_at(dispatcher, i);

		list[i] = (struct aub_upstream_status){
			.name = upstream->name,
			.in_flight = (guint16)upstream_in_flight(upstream),
			.allowed = (guint16)upstream_allowed_attempts(
				dispatcher, upstream, dispatcher->now_us),
			.cold = upstream->state != UPSTREAM_WARM,
			.suspect = upstream->half_open ||
				   dispatcher->now_us <
					   upstream->unavailable_until_us ||
				   upstream_is_overdue(dispatcher, upstream,
						       dispatcher->now_us),
			.draining =
				upstream->draining || !upstream->accepts_new,
			.sent = upstream->sent,
			.answered = upstream->answered,
			.lost = upstream->lost_count,
			.probes = upstream->probes,
			.mean_us = upstream->mean_us,
		};
	}
	return count;
}

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
	struct aub_dispatcher *d = g_new0(struct aub_dispatcher, 1);

	d->policy = options->policy;
	d->random = g_rand_new_with_seed(options->seed);
	d->upstreams = g_ptr_array_new();
	d->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    request_free);
	d->timers = g_sequence_new(NULL);
	d->crashes = crash_table_new();
	d->retries.capacity = 1000 * (gint64)AUB_RETRY_BURST_MAX;
	d->retries.tokens = d->retries.capacity;
	d->hedges.capacity = 1000 * (gint64)AUB_HEDGE_BURST_MAX;
	return d;
}

void aub_dispatcher_free(struct aub_dispatcher *dispatcher)
{
	struct aub_dispatcher *d = dispatcher;

	if (!d)
		return;
	g_sequence_free(d->timers);
	g_hash_table_unref(d->requests);
	for (guint i = 0; i < d->upstreams->len; i++)
		upstream_free(upstream_at(d, i));
	g_ptr_array_free(d->upstreams, TRUE);
	g_queue_clear_full(&d->actions, g_free);
	g_rand_free(d->random);
	crash_table_free(d->crashes);
	if (d->inventory)
		aub_inventory_unref(d->inventory);
	g_free(d);
}

/*
 * Returns true if some upstream accepts new requests, whether or not it has a
 * free slot at the moment.
 */
static bool any_upstream_accepts_new(const struct aub_dispatcher *d)
{
	for (guint i = 0; i < d->upstreams->len; i++) {
		const struct upstream *u = upstream_at(d, i);

		if (u->accepts_new && !u->draining)
			return true;
	}
	return false;
}

static bool is_baseline(const struct aub_dispatcher *d)
{
	return d->policy != AUB_POLICY_AUBURNSTILE;
}

/*
 * Tries to send the request at the head of the queue. Returns false if it has
 * to wait. All first attempts and retries are sent from here.
 */
static bool dispatch_one(struct aub_dispatcher *d, struct request *request,
			 gint64 now_us)
{
	struct upstream *u;

	if (crash_must_refuse(d, request->fingerprint, now_us)) {
		dispatch_refuse(d, request, AUB_REFUSAL_CRASHES_UPSTREAMS,
				now_us);
		return true;
	}
	if (!any_upstream_accepts_new(d)) {
		dispatch_refuse(d, request, AUB_REFUSAL_NO_UPSTREAM, now_us);
		return true;
	}
	u = is_baseline(d) ? policy_select(d, request) :
			     upstream_select(d, request, false, now_us);
	if (!u)
		return false;
	dispatch_dequeue(d, request);
	dispatch_send(d, request, u, false, now_us);
	return true;
}

void dispatch_run_queue(struct aub_dispatcher *dispatcher, gint64 now_us)
{
	struct aub_dispatcher *d = dispatcher;

	while (d->queue.length)
		if (!dispatch_one(d, d->queue.head->data, now_us))
			break;
	probe_send_due(d, now_us);
}

static void refuse_queued(struct aub_dispatcher *d, enum aub_refusal refusal,
			  gint64 now_us)
{
	while (d->queue.length)
		dispatch_refuse(d, d->queue.head->data, refusal, now_us);
}

void aub_dispatcher_configure(struct aub_dispatcher *dispatcher,
			      struct aub_inventory *inventory, guint16 service,
			      gint64 now_us)
{
	struct aub_dispatcher *d = dispatcher;
	struct aub_inventory *before = d->inventory;
	const struct aub_service *settings = aub_service_at(inventory, service);

	d->now_us = MAX(d->now_us, now_us);
	d->inventory = aub_inventory_ref(inventory);
	d->service = service;
	d->queue_limit = settings->queue_limit;
	d->probe_budget_us = settings->probe_budget_us;
	d->cold_us = settings->cold_ms * AUB_MS;
	d->hedge_percent = settings->hedge_percent;
	upstreams_configure(d, now_us);
	probe_configure(d, now_us);
	if (before)
		aub_inventory_unref(before);
	dispatch_run_queue(d, now_us);
}

/*
 * Resets the state of upstreams that were not seen recently, because they may
 * have restarted since.
 */
static void reset_stale_upstreams(struct aub_dispatcher *d, gint64 now_us)
{
	for (guint i = 0; i < d->upstreams->len; i++) {
		struct upstream *u = upstream_at(d, i);

		if (warmup_state_is_stale(u, now_us))
			warmup_reset_to_unknown(u, now_us);
	}
}

void aub_dispatcher_set_role(struct aub_dispatcher *dispatcher,
			     enum aub_dispatch_role role,
			     gint64 takeover_grace_us, gint64 now_us)
{
	struct aub_dispatcher *d = dispatcher;
	enum aub_dispatch_role before = d->role;

	d->now_us = MAX(d->now_us, now_us);
	if (role == before)
		return;
	probe_send_due(d, now_us);
	d->role = role;
	if (role == AUB_DISPATCH_OWNER)
		d->takeover_grace_until_us = now_us + takeover_grace_us;
	if (before == AUB_DISPATCH_NONE)
		reset_stale_upstreams(d, now_us);
	if (role == AUB_DISPATCH_NONE && !is_baseline(d))
		refuse_queued(d, AUB_REFUSAL_NOT_OWNER, now_us);
	dispatch_run_queue(d, now_us);
}

static enum aub_refusal admission_refusal(
	const struct aub_dispatcher *d,
	const struct aub_dispatch_request *request, gint64 now_us)
{
	if (d->stopping)
		return AUB_REFUSAL_STOPPING;
	if (d->role == AUB_DISPATCH_NONE && !is_baseline(d))
		return AUB_REFUSAL_NOT_OWNER;
	if (crash_must_refuse(d, request->fingerprint, now_us))
		return AUB_REFUSAL_CRASHES_UPSTREAMS;
	if (!any_upstream_accepts_new(d))
		return AUB_REFUSAL_NO_UPSTREAM;
	if (dispatch_cannot_meet_deadline(d, request, now_us))
		return AUB_REFUSAL_DEADLINE_UNREACHABLE;
	if (d->queue.length >= d->queue_limit &&
	    upstream_total_free(d, now_us) == 0 && !is_baseline(d))
		return AUB_REFUSAL_QUEUE_FULL;
	return AUB_REFUSAL_NONE;
}

static struct request *request_new(struct aub_dispatcher *d,
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
	if (given->zone && d->inventory)
		request->zone = aub_inventory_zone(d->inventory, given->zone);
	request->running = g_ptr_array_new();
	request->link.data = request;
	g_hash_table_insert(d->requests, &request->id, request);
	return request;
}

void aub_dispatcher_submit(struct aub_dispatcher *dispatcher,
			   const struct aub_dispatch_request *request,
			   gint64 now_us)
{
	struct aub_dispatcher *d = dispatcher;
	enum aub_refusal refusal;
	struct request *tracked;

	d->now_us = MAX(d->now_us, now_us);
	g_return_if_fail(!g_hash_table_contains(d->requests, &request->id));
	d->counts.arrived++;
	refusal = admission_refusal(d, request, now_us);
	tracked = request_new(d, request, now_us);
	if (refusal != AUB_REFUSAL_NONE) {
		dispatch_refuse(d, tracked, refusal, now_us);
		return;
	}
	token_bucket_add(&d->retries, 10 * (gint64)AUB_RETRY_BUDGET_PERCENT);
	token_bucket_add(&d->hedges, 10 * (gint64)d->hedge_percent);
	dispatch_enqueue(d, tracked, false);
	dispatch_run_queue(d, now_us);
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
	struct aub_dispatcher *d = dispatcher;
	struct request *tracked = g_hash_table_lookup(d->requests, &request);
	struct attempt *found;

	d->now_us = MAX(d->now_us, now_us);
	if (!tracked)
		return;
	found = attempt_find(tracked, attempt);
	if (!found)
		return;
	dispatch_attempt_done(d, tracked, found, result, signals, now_us);
	dispatch_run_queue(d, now_us);
}

void aub_dispatcher_abandon(struct aub_dispatcher *dispatcher, guint64 request,
			    gint64 now_us)
{
	struct aub_dispatcher *d = dispatcher;
	struct request *tracked = g_hash_table_lookup(d->requests, &request);

	d->now_us = MAX(d->now_us, now_us);
	if (!tracked || tracked->finished)
		return;
	if (tracked->queued)
		dispatch_dequeue(d, tracked);
	dispatch_timer_clear(d, tracked);
	tracked->finished = true;
	dispatch_cancel(d, tracked);
	dispatch_free_if_done(d, tracked);
	dispatch_run_queue(d, now_us);
}

void aub_dispatcher_tick(struct aub_dispatcher *dispatcher, gint64 now_us)
{
	struct aub_dispatcher *d = dispatcher;
	struct request *request;

	d->now_us = MAX(d->now_us, now_us);
	for (request = dispatch_timer_pop_due(d, now_us); request;
	     request = dispatch_timer_pop_due(d, now_us)) {
		if (request->queued)
			dispatch_refuse(d, request,
					AUB_REFUSAL_DEADLINE_UNREACHABLE,
					now_us);
		else
			hedge_on_timer(d, request, now_us);
	}
	dispatch_run_queue(d, now_us);
}

gint64 aub_dispatcher_next_wakeup_us(const struct aub_dispatcher *dispatcher)
{
	const struct aub_dispatcher *d = dispatcher;
	GSequenceIter *first = g_sequence_get_begin_iter(d->timers);
	gint64 wake = MIN(probe_next_wakeup_us(d), upstreams_next_wakeup_us(d));

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
	const struct aub_dispatcher *d = dispatcher;
	guint count = MIN(limit, d->upstreams->len);

	for (guint i = 0; i < count; i++) {
		const struct upstream *u = upstream_at(d, i);

		list[i] = (struct aub_upstream_status){
			.name = u->name,
			.in_flight = (guint16)upstream_in_flight(u),
			.allowed =
				(guint16)upstream_allowed_attempts(d, u,
								   d->now_us),
			.cold = u->state != UPSTREAM_WARM,
			.suspect = u->half_open ||
				   d->now_us < u->unavailable_until_us ||
				   upstream_is_overdue(d, u, d->now_us),
			.draining = u->draining || !u->accepts_new,
			.sent = u->sent,
			.answered = u->answered,
			.lost = u->lost_count,
			.probes = u->probes,
			.mean_us = u->mean_us,
		};
	}
	return count;
}

/*
 * The queue of requests that wait for a slot: admission and refusals. Its order
 * is that of placement_order.c.
 */
#include <auburnstile/internal/placement_internal.h>

#define RETRY_AFTER_MIN_MS 700
#define RETRY_AFTER_MAX_MS 5000
/* Upstreams that are down are probed twice in this time. */
#define RETRY_AFTER_NO_UPSTREAM_MS 500

/* Returns the wait for a slot behind `ahead` other requests, in ms. */
static guint wait_ms(const struct aub_placement *placement, guint ahead,
		     const struct aub_placement_capacity *capacity,
		     gint64 now_us)
{
	double per_us =
		capacity->slots / aub_placement_slot_time_us(placement) +
		capacity->limited_per_s / G_USEC_PER_SEC;
	double us = (ahead + 1) / per_us;

	if (!capacity->slots)
		us = (double)MAX(capacity->next_limited_us - now_us, 0) +
		     ahead / per_us;
	return (guint)MIN(us / AUB_US_PER_MS, G_MAXINT);
}

/* Returns the reason for a refusal where the wait would be too long. */
static enum aub_verdict overload_verdict(
	const struct aub_placement_capacity *capacity)
{
	return capacity->slots ? AUB_VERDICT_OVERLOAD : AUB_VERDICT_LIMITED;
}

/* Refuses a request; its caller may return after exactly `after_ms`. */
static void refuse_for(struct aub_placement *placement,
		       const struct aub_placement_request *request,
		       enum aub_verdict verdict, guint after_ms, gint64 now_us,
		       struct aub_placement_decision *decision)
{
	placement->refused++;
	decision->verdict = verdict;
	decision->retry_after_ms = after_ms;
	/* The caller of a replacement still waits for the first attempt. */
	if (request->replaces)
		return;
	aub_caller_returns_refused(placement->returns, request->fingerprint,
				   after_ms, now_us);
}

static void refuse(struct aub_placement *placement,
		   const struct aub_placement_request *request,
		   enum aub_verdict verdict, guint after_ms, gint64 now_us,
		   struct aub_placement_decision *decision)
{
	refuse_for(placement, request, verdict,
		   CLAMP(after_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS),
		   now_us, decision);
}

static void enqueue(struct aub_placement *placement,
		    const struct aub_placement_request *request, gint64 now_us)
{
	struct aub_queued_request *queued =
		g_new0(struct aub_queued_request, 1);
	guint position = placement->queue->len;

	queued->ticket = request->ticket;
	queued->holder = request->holder;
	queued->zone = g_strdup(request->zone);
	queued->priority = request->priority;
	queued->target_ms = request->target_ms;
	queued->route = request->route;
	queued->quotas = request->quotas;
	queued->quota = request->quota;
	queued->retry = request->retry;
	queued->replaces = request->replaces;
	queued->fingerprint = request->fingerprint;
	queued->local_fallback = request->local_fallback;
	queued->avoid_cold = request->avoid_cold;
	queued->queued_us = now_us;
	queued->retry_admitted_us = request->retry ? now_us : 0;
	queued->on_time_until_us =
		now_us + request->on_time_wait_ms * AUB_US_PER_MS;
	queued->expires_us = now_us + request->max_wait_ms * AUB_US_PER_MS;
	queued->avoid = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < request->avoid_count; i++)
		g_ptr_array_add(queued->avoid, g_strdup(request->avoid[i]));
	while (position > 0) {
		const struct aub_queued_request *before =
			g_ptr_array_index(placement->queue, position - 1);

		if (before->priority <= request->priority)
			break;
		position--;
	}
	g_ptr_array_insert(placement->queue, (gint)position, queued);
}

gint aub_placement_find_queued(const struct aub_placement *placement,
			       guint64 ticket)
{
	for (guint i = 0; i < placement->queue->len; i++) {
		const struct aub_queued_request *queued =
			g_ptr_array_index(placement->queue, i);

		if (queued->ticket == ticket)
			return (gint)i;
	}
	return -1;
}

void aub_placement_remove_queued(struct aub_placement *placement, guint i,
				 gint64 now_us)
{
	const struct aub_queued_request *queued =
		g_ptr_array_index(placement->queue, i);

	aub_placement_take_back_retry(placement, queued->retry_admitted_us,
				      now_us);
	g_ptr_array_remove_index(placement->queue, i);
}

/*
 * Returns the grant of a request that avoids the granted upstream: its holder
 * has rejected it. The report that says so may be lost or arrive later, and the
 * request would be granted the same upstream again.
 */
static void return_avoided_grant(struct aub_placement *placement,
				 const struct aub_placement_request *request,
				 gint64 now_us)
{
	const struct aub_grant_report unused = {
		.ticket = request->ticket,
		.end = AUB_GRANT_UNUSED,
		.load = AUB_LOAD_UNKNOWN,
	};
	struct aub_grant_view grant;

	if (request->avoid_count &&
	    aub_placement_find_grant(placement, request->ticket, &grant) &&
	    aub_placement_request_avoids(request, grant.upstream))
		aub_placement_report(placement, &unused, now_us);
}

static bool find_decided(const struct aub_placement *placement,
			 const struct aub_placement_request *request,
			 struct aub_placement_decision *decision)
{
	struct aub_grant *grant =
		g_hash_table_lookup(placement->grants, &request->ticket);

	if (grant) {
		struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement,
						   grant->upstream_index);

		decision->verdict = AUB_VERDICT_GRANTED;
		decision->upstream = upstream->id;
		decision->address = upstream->address;
		decision->retry_after_ms = grant->retry_after_ms;
		decision->silent_after_ms = grant->silent_after_ms;
		return true;
	}
	if (aub_placement_find_queued(placement, request->ticket) < 0)
		return false;
	decision->verdict = AUB_VERDICT_QUEUED;
	return true;
}

static enum aub_verdict retry_refusal(enum aub_retry_verdict verdict)
{
	switch (verdict) {
	case AUB_RETRY_RESERVED:
		return AUB_VERDICT_RETRY_RESERVED;
	case AUB_RETRY_FUTILE:
		return AUB_VERDICT_RETRY_FUTILE;
	default:
		return AUB_VERDICT_NO_BUDGET;
	}
}

static void refuse_retry(struct aub_placement *placement,
			 const struct aub_placement_request *request,
			 enum aub_verdict verdict, gint64 now_us,
			 struct aub_placement_decision *decision)
{
	struct aub_placement_capacity capacity;
	guint after_ms;

	/* Its first attempt goes on: the caller is told nothing. */
	if (request->replaces) {
		decision->verdict = verdict;
		return;
	}
	(void)aub_placement_choose(placement, request, now_us, &capacity);
	after_ms = aub_placement_retry_after_ms(placement, request, &capacity,
						now_us);
	if (after_ms)
		refuse_for(placement, request, verdict, after_ms, now_us,
			   decision);
	else
		refuse(placement, request, verdict, RETRY_AFTER_NO_UPSTREAM_MS,
		       now_us, decision);
}

static guint count_queued_of_quota(const struct aub_placement *placement,
				   const struct aub_quotas *quotas, guint quota)
{
	guint count = 0;

	for (guint i = 0; i < placement->queue->len; i++) {
		const struct aub_queued_request *queued =
			g_ptr_array_index(placement->queue, i);

		count += queued->quotas == quotas && queued->quota == quota;
	}
	return count;
}

/*
 * Returns whether the request's workspace has no credit for it. A retry always
 * has: the request may have run, so that it can't be refused as over quota any
 * more. It is counted, and others are refused in its place.
 */
static bool is_over_quota(const struct aub_placement *placement,
			  const struct aub_placement_request *request,
			  gint64 now_us)
{
	struct aub_quota_claim claim;

	if (!request->quotas || !request->quota || request->retry)
		return false;
	claim = (struct aub_quota_claim){
		.waiting = count_queued_of_quota(placement, request->quotas,
						 request->quota),
		.late = !request->on_time_wait_ms,
	};
	return !aub_quota_has_credit(request->quotas, request->quota, &claim,
				     now_us);
}

/* Returns whether a pending probe may find an upstream for queued requests. */
static bool is_any_unknown(const struct aub_placement *placement)
{
	for (guint i = 0; i < placement->upstreams->len; i++) {
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (upstream->registered &&
		    !aub_placement_upstream_is_leaving(upstream) &&
		    !upstream->zone_out &&
		    upstream->traffic == AUB_VERSION_ACTIVE &&
		    upstream->state == AUB_PLACEMENT_UPSTREAM_UNKNOWN)
			return true;
	}
	return false;
}

static void grant_slot(struct aub_placement *placement, guint index,
		       const struct aub_placement_request *request,
		       const struct aub_placement_capacity *capacity,
		       gint64 now_us, struct aub_placement_decision *decision)
{
	struct aub_grant *grant;

	aub_placement_grant(placement, index, request, now_us, decision);
	grant = g_hash_table_lookup(placement->grants, &request->ticket);
	grant->silent_after_ms =
		aub_placement_silent_after_ms(placement, grant);
	grant->retry_after_ms = aub_placement_retry_after_ms(placement, request,
							     capacity, now_us);
	decision->silent_after_ms = grant->silent_after_ms;
	decision->retry_after_ms = grant->retry_after_ms;
	aub_grant_count_canary(placement, grant,
			       aub_placement_get_upstream(placement, index));
}

void aub_placement_submit(struct aub_placement *placement,
			  const struct aub_placement_request *request,
			  gint64 now_us,
			  struct aub_placement_decision *decision)
{
	struct aub_placement_capacity capacity;
	enum aub_retry_verdict verdict;
	guint ahead;
	gint index;

	*decision = (struct aub_placement_decision){
		.ticket = request->ticket,
		.holder = request->holder,
	};
	aub_placement_receive_retry_credit(placement, request, now_us);
	return_avoided_grant(placement, request, now_us);
	if (find_decided(placement, request, decision))
		return;
	if (is_over_quota(placement, request, now_us)) {
		decision->verdict = AUB_VERDICT_OVER_QUOTA;
		decision->retry_after_ms =
			aub_quota_retry_after_ms(request->quotas,
						 request->quota, now_us);
		return;
	}
	verdict = aub_placement_admit(placement, request, now_us);
	if (verdict != AUB_RETRY_ADMITTED) {
		refuse_retry(placement, request, retry_refusal(verdict), now_us,
			     decision);
		return;
	}
	ahead = aub_placement_count_ahead(placement, request, now_us);
	index = aub_placement_choose(placement, request, now_us, &capacity);
	if (index >= 0 && !ahead) {
		grant_slot(placement, (guint)index, request, &capacity, now_us,
			   decision);
		return;
	}
	if (!aub_placement_capacity_exists(&capacity) &&
	    (request->retry || request->local_fallback ||
	     !is_any_unknown(placement))) {
		aub_placement_take_back_retry(placement,
					      request->retry ? now_us : 0,
					      now_us);
		refuse(placement, request, AUB_VERDICT_NO_UPSTREAM,
		       RETRY_AFTER_NO_UPSTREAM_MS, now_us, decision);
		return;
	}
	/*
	 * Refused on arrival rather than after a wait that is too long to be
	 * useful.
	 */
	if (aub_placement_capacity_exists(&capacity) &&
	    wait_ms(placement, ahead, &capacity, now_us) >
		    request->max_wait_ms) {
		aub_placement_take_back_retry(placement,
					      request->retry ? now_us : 0,
					      now_us);
		refuse(placement, request, overload_verdict(&capacity),
		       wait_ms(placement, ahead, &capacity, now_us), now_us,
		       decision);
		return;
	}
	enqueue(placement, request, now_us);
	decision->verdict = AUB_VERDICT_QUEUED;
}

static void to_request(const struct aub_queued_request *queued, gint64 now_us,
		       struct aub_placement_request *request)
{
	gint64 on_time_us = MAX(queued->on_time_until_us - now_us, 0);

	*request = (struct aub_placement_request){
		.ticket = queued->ticket,
		.holder = queued->holder,
		.zone = queued->zone,
		.priority = queued->priority,
		.target_ms = queued->target_ms,
		.route = queued->route,
		.quotas = queued->quotas,
		.quota = queued->quota,
		.retry = queued->retry,
		.replaces = queued->replaces,
		.fingerprint = queued->fingerprint,
		.local_fallback = queued->local_fallback,
		.avoid_cold = queued->avoid_cold,
		.on_time_wait_ms = (guint)((on_time_us + AUB_US_PER_MS - 1) /
					   AUB_US_PER_MS),
		.avoid = (const char *const *)queued->avoid->pdata,
		.avoid_count = queued->avoid->len,
	};
}

static bool grant_queued(struct aub_placement *placement, gint i, gint64 now_us,
			 struct aub_placement_decision *decision)
{
	struct aub_queued_request *queued;
	struct aub_placement_request request;
	struct aub_placement_capacity capacity;
	gint index;

	if (i < 0)
		return false;
	queued = g_ptr_array_index(placement->queue, (guint)i);
	to_request(queued, now_us, &request);
	index = aub_placement_choose(placement, &request, now_us, &capacity);
	if (index < 0)
		return false;
	*decision = (struct aub_placement_decision){
		.ticket = request.ticket,
		.holder = request.holder,
	};
	if (queued->retry_admitted_us)
		aub_retry_admission_postpone(&placement->retries,
					     queued->retry_admitted_us, now_us);
	grant_slot(placement, (guint)index, &request, &capacity, now_us,
		   decision);
	g_ptr_array_remove_index(placement->queue, (guint)i);
	return true;
}

/* Refuses the first request whose maximum wait is over. */
static bool expire_queued(struct aub_placement *placement, gint64 now_us,
			  struct aub_placement_decision *decision)
{
	for (guint i = 0; i < placement->queue->len; i++) {
		struct aub_queued_request *queued =
			g_ptr_array_index(placement->queue, i);
		struct aub_placement_request request;
		struct aub_placement_capacity capacity;

		if (queued->expires_us > now_us)
			continue;
		to_request(queued, now_us, &request);
		*decision = (struct aub_placement_decision){
			.ticket = request.ticket,
			.holder = request.holder,
		};
		(void)aub_placement_choose(placement, &request, now_us,
					   &capacity);
		if (aub_placement_capacity_exists(&capacity))
			refuse(placement, &request, overload_verdict(&capacity),
			       wait_ms(placement, placement->queue->len,
				       &capacity, now_us),
			       now_us, decision);
		else
			refuse(placement, &request, AUB_VERDICT_NO_UPSTREAM,
			       RETRY_AFTER_NO_UPSTREAM_MS, now_us, decision);
		aub_placement_remove_queued(placement, i, now_us);
		return true;
	}
	return false;
}

bool aub_placement_next_decision(struct aub_placement *placement, gint64 now_us,
				 struct aub_placement_decision *decision)
{
	struct aub_queue_ends ends;

	aub_placement_find_queue_ends(placement, false, now_us, &ends);
	if (ends.newest_first &&
	    grant_queued(placement, ends.smallest_share, now_us, decision))
		return true;
	if (grant_queued(placement, ends.largest_share, now_us, decision))
		return true;
	aub_placement_find_queue_ends(placement, true, now_us, &ends);
	if (grant_queued(placement, ends.largest_share, now_us, decision))
		return true;
	return expire_queued(placement, now_us, decision);
}

guint aub_placement_queue_length(const struct aub_placement *placement)
{
	return placement->queue->len;
}

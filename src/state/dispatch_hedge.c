/*
 * Hedging: a second attempt that runs concurrently with one that takes
 * unusually long.
 *
 * Only idempotent requests are hedged, only on slots that no queued request
 * needs, and only up to a share of all requests. The slower attempt is
 * cancelled. A hedge takes one attempt from the request's own retry budget, so
 * that nested calls do not multiply hedges.
 */
#include <auburnstile/internal/dispatch_internal.h>

#define HEDGE_COST_MILLITOKENS (1000 / AUB_HEDGES_PER_MEAN_TIME)
#define RETRY_BUDGET_UNITS_PER_ATTEMPT 100 /* hundredths */

static bool may_hedge(const struct aub_dispatcher *dispatcher,
		      const struct request *request)
{
	return dispatcher->policy == AUB_POLICY_AUBURNSTILE &&
	       dispatcher->hedge_percent && !request->at_most_once &&
	       !request->hedged &&
	       request->retry_budget >= RETRY_BUDGET_UNITS_PER_ATTEMPT;
}

/* Sets the timer for a hedge after an attempt was sent. */
void hedge_schedule(struct aub_dispatcher *dispatcher, struct request *request,
		    gint64 now_us)
{
	if (!may_hedge(dispatcher, request) || !dispatcher->tail_latency_us)
		return;
	dispatch_timer_set(dispatcher, request,
			   now_us + dispatcher->tail_latency_us);
}

void hedge_on_timer(struct aub_dispatcher *dispatcher, struct request *request,
		    gint64 now_us)
{
	struct upstream *upstream;

	if (request_active_attempts(request) != 1 ||
	    !may_hedge(dispatcher, request))
		return;
	if (now_us + dispatcher->mean_us >= request->deadline_us)
		return;
	if (crash_mark_count(dispatcher, request->fingerprint, now_us))
		return;
	upstream = dispatcher->queue.length ?
			   NULL :
			   upstream_select(dispatcher, request, true, now_us);
	if (!upstream ||
	    !token_bucket_take(&dispatcher->hedges, HEDGE_COST_MILLITOKENS)) {
		dispatch_timer_set(dispatcher, request,
				   now_us + MAX(dispatcher->mean_us / 2,
						AUB_MS));
		return;
	}
	request->hedged = true;
	request->retry_budget -= RETRY_BUDGET_UNITS_PER_ATTEMPT;
	dispatcher->counts.hedges++;
	dispatch_send(dispatcher, request, upstream, true, now_us);
}

/*
 * Hedges: a second attempt beside one that takes unusually long.
 *
 * Only for requests that may be repeated, only on a slot that nobody waits
 * for, and within a share of all calls; the loser is cancelled. A hedge
 * spends one attempt of the request's own retry budget, so that trees of
 * calls don't multiply them.
 */
#include <auburnstile/internal/dispatch.h>

#define HEDGE_COST_MILLITOKENS (1000 / AUB_HEDGES_PER_MEAN_TIME)
#define RETRY_BUDGET_UNITS_PER_ATTEMPT 100 /* of the retry budget, 1/100 */

static bool may_hedge(const struct aub_dispatcher *dispatcher,
		      const struct request *request)
{
	return dispatcher->policy == AUB_POLICY_AUBURNSTILE &&
	       dispatcher->hedge_percent && !request->at_most_once &&
	       !request->hedged && request->retry_budget >= RETRY_BUDGET_UNITS_PER_ATTEMPT;
}

/* Its first attempt just went out: come back when it is unusually late. */
void hedge_schedule(struct aub_dispatcher *dispatcher, struct request *request,
	       gint64 now_us)
{
	if (!may_hedge(dispatcher, request) || !dispatcher->tail_latency_us)
		return;
	dispatch_timer_set(dispatcher, request, now_us + dispatcher->tail_latency_us);
}

void hedge_on_timer(struct aub_dispatcher *dispatcher, struct request *request,
	       gint64 now_us)
{
	struct upstream *upstream;

	if (request_active_attempts(request) != 1 || !may_hedge(dispatcher, request))
		return;
	if (now_us + dispatcher->mean_us >= request->deadline_us)
		return;
	if (crash_mark_count(dispatcher, request->fingerprint, now_us))
		return;
	upstream = dispatcher->queue.length ?
			   NULL :
			   upstream_select(dispatcher, request, true, now_us);
	if (!upstream || !token_bucket_take(&dispatcher->hedges, HEDGE_COST_MILLITOKENS)) {
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

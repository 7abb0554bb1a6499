/*
 * Hedges: a second attempt beside one that takes unusually long.
 *
 * Only for requests that may be repeated, only on a slot that nobody waits
 * for, and within a share of all calls; the loser is cancelled. A hedge
 * spends one attempt of the request's own retry budget, so that trees of
 * calls don't multiply them.
 */
#include <auburnstile/internal/dispatch.h>

#define HEDGE_TOKEN (1000 / AUB_HEDGES_A_MEAN)
#define HEDGE_ATTEMPT 100 /* of the retry budget, 1/100 */

static bool hedgeable(const struct aub_dispatcher *dispatcher,
		      const struct request *request)
{
	return dispatcher->policy == AUB_POLICY_AUBURNSTILE &&
	       dispatcher->hedge_percent && !request->once &&
	       !request->hedged && request->retry_budget >= HEDGE_ATTEMPT;
}

/* Its first attempt just went out: come back when it is unusually late. */
void hedge_arm(struct aub_dispatcher *dispatcher, struct request *request,
	       gint64 now_us)
{
	if (!hedgeable(dispatcher, request) || !dispatcher->slow_us)
		return;
	dispatch_timer_set(dispatcher, request, now_us + dispatcher->slow_us);
}

void hedge_due(struct aub_dispatcher *dispatcher, struct request *request,
	       gint64 now_us)
{
	struct upstream *upstream;

	if (request_active(request) != 1 || !hedgeable(dispatcher, request))
		return;
	if (now_us + dispatcher->mean_us >= request->deadline_us)
		return;
	if (crash_marks(dispatcher, request->fingerprint, now_us))
		return;
	upstream = dispatcher->queue.length ?
			   NULL :
			   upstream_choose(dispatcher, request, true, now_us);
	if (!upstream || !bucket_take(&dispatcher->hedges, HEDGE_TOKEN)) {
		dispatch_timer_set(dispatcher, request,
				   now_us + MAX(dispatcher->mean_us / 2,
						AUB_MS));
		return;
	}
	request->hedged = true;
	request->retry_budget -= HEDGE_ATTEMPT;
	dispatcher->counts.hedges++;
	dispatch_send(dispatcher, request, upstream, true, now_us);
}

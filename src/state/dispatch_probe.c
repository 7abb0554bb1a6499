/*
 * Health probes: sent to upstreams about which regular traffic gives no
 * information, within a budget.
 *
 * The budget is upstream time per second. An owner uses three eighths of it and
 * accumulates at most one eighth, so that two processes that both consider
 * themselves the owner stay within the budget together. The bucket starts
 * empty, so that restarts do not add to the budget.
 */
#include <auburnstile/internal/dispatch_internal.h>

#define PROBE_TIMEOUT_US (500 * AUB_MS)
#define LEAST_REPORTED_PROBE_PERIOD_US (100 * AUB_MS)
#define NEVER G_MAXINT64

static gint64 probe_rate_us_per_second(const struct aub_dispatcher *dispatcher)
{
	gint64 budget = dispatcher->probe_budget_us;

	if (dispatcher->policy == AUB_POLICY_LEAST_REPORTED)
		return budget;
	if (dispatcher->role == AUB_DISPATCH_STANDBY)
		return budget / 8;
	return budget * 3 / 8;
}

void probe_configure(struct aub_dispatcher *dispatcher, gint64 now_us)
{
	gint64 highest_cost_us = 0;

	for (guint i = 0; i < dispatcher->upstreams->len; i++)
		highest_cost_us =
			MAX(highest_cost_us,
			    upstream_at(dispatcher, i)->probe_cost_us);
	dispatcher->probes.capacity =
		1000 * MAX(highest_cost_us, dispatcher->probe_budget_us / 8);
	dispatcher->probes.tokens =
		MIN(dispatcher->probes.tokens, dispatcher->probes.capacity);
	if (!dispatcher->probes_filled_us)
		dispatcher->probes_filled_us = now_us;
}

/*
 * Tokens are thousandths of a us, so each us of elapsed time adds rate / 1000
 * tokens.
 */
static void probe_refill(struct aub_dispatcher *dispatcher, gint64 now_us)
{
	gint64 elapsed = now_us - dispatcher->probes_filled_us;

	if (elapsed <= 0)
		return;
	elapsed = MIN(elapsed, 10 * AUB_SECOND);
	token_bucket_add(&dispatcher->probes,
			 elapsed * probe_rate_us_per_second(dispatcher) / 1000);
	dispatcher->probes_filled_us = now_us;
}

static bool may_probe(const struct aub_dispatcher *dispatcher)
{
	if (!dispatcher->probe_budget_us || dispatcher->stopping)
		return false;
	if (dispatcher->policy == AUB_POLICY_LEAST_REPORTED)
		return true;
	if (dispatcher->policy != AUB_POLICY_AUBURNSTILE)
		return false;
	if (dispatcher->role == AUB_DISPATCH_STANDBY)
		return g_hash_table_size(dispatcher->requests) > 0;
	return dispatcher->role == AUB_DISPATCH_OWNER;
}

/*
 * Returns the interval between probes of an upstream, or NEVER while regular
 * traffic shows its state.
 */
static gint64 probe_period(const struct aub_dispatcher *dispatcher,
			   const struct upstream *upstream)
{
	gint64 now_us = dispatcher->now_us;

	if (upstream->lost_attempts->len)
		return 100 * AUB_MS;
	if (upstream->draining)
		return AUB_SECOND;
	if (upstream_in_flight(upstream) ||
	    now_us < upstream->unavailable_until_us)
		return NEVER;
	if (upstream->half_open)
		return 500 * AUB_MS;
	if (upstream->state == UPSTREAM_UNKNOWN && dispatcher->queue.length)
		return 100 * AUB_MS;
	if (upstream->state != UPSTREAM_WARM)
		return AUB_SECOND;
	return 5 * AUB_SECOND;
}

static gint64 probe_due_us(const struct aub_dispatcher *dispatcher,
			   const struct upstream *upstream)
{
	gint64 period;

	if (!upstream->accepts_new || upstream->probing)
		return NEVER;
	if (dispatcher->policy == AUB_POLICY_LEAST_REPORTED)
		return upstream->last_probe_us + LEAST_REPORTED_PROBE_PERIOD_US;
	period = probe_period(dispatcher, upstream);
	if (period == NEVER)
		return NEVER;
	return MAX(upstream->last_probe_us, upstream->last_answer_us) + period;
}

/*
 * Returns the upstream whose probe has been due for longest, or NULL if none is
 * due.
 */
static struct upstream *probe_next(const struct aub_dispatcher *dispatcher)
{
	struct upstream *next = NULL;
	gint64 next_due = dispatcher->now_us;

	for (guint i = 0; i < dispatcher->upstreams->len; i++) {
		struct upstream *upstream = upstream_at(dispatcher, i);
		gint64 due = probe_due_us(dispatcher, upstream);

		if (due > dispatcher->now_us || (next && due >= next_due))
			continue;
		next = upstream;
		next_due = due;
	}
	return next;
}

void probe_send_due(struct aub_dispatcher *dispatcher, gint64 now_us)
{
	struct upstream *upstream;

	probe_refill(dispatcher, now_us);
	if (!may_probe(dispatcher))
		return;
	for (upstream = probe_next(dispatcher); upstream;
	     upstream = probe_next(dispatcher)) {
		if (!token_bucket_take(&dispatcher->probes,
				       1000 * (gint64)upstream->probe_cost_us))
			return;
		upstream->probing = true;
		upstream->probes++;
		upstream->last_probe_us = now_us;
		dispatcher->counts.probes++;
		dispatcher->counts.probe_us += upstream->probe_cost_us;
		dispatch_push_action(dispatcher,
				     &(struct aub_action){
					     .type = AUB_ACTION_PROBE,
					     .upstream = upstream->handle,
					     .timeout_us =
						     now_us + PROBE_TIMEOUT_US,
				     });
	}
}

static gint64 probe_affordable_at_us(const struct aub_dispatcher *dispatcher,
				     const struct upstream *upstream)
{
	gint64 missing = 1000 * (gint64)upstream->probe_cost_us -
			 dispatcher->probes.tokens;
	gint64 rate = probe_rate_us_per_second(dispatcher);

	if (missing <= 0)
		return dispatcher->probes_filled_us;
	if (rate <= 0)
		return NEVER;
	return dispatcher->probes_filled_us + missing * 1000 / rate + 1;
}

/*
 * Returns the time at which the next probe is due and within the budget, or
 * G_MAXINT64 if there is none.
 */
gint64 probe_next_wakeup_us(const struct aub_dispatcher *dispatcher)
{
	gint64 wake = NEVER;

	if (!may_probe(dispatcher))
		return wake;
	for (guint i = 0; i < dispatcher->upstreams->len; i++) {
		const struct upstream *upstream = upstream_at(dispatcher, i);
		gint64 due = probe_due_us(dispatcher, upstream);

		if (due == NEVER)
			continue;
		due = MAX(due, probe_affordable_at_us(dispatcher, upstream));
		wake = MIN(wake, MAX(due, dispatcher->now_us + 1));
	}
	return wake;
}

static void probe_answered(struct aub_dispatcher *dispatcher,
			   struct upstream *upstream,
			   const struct aub_upstream_signals *signals,
			   gint64 now_us)
{
	guint64 boot_id = upstream->boot_id;

	warmup_on_signals(dispatcher, upstream, signals, now_us);
	if (!signals || !signals->boot_id || signals->boot_id != boot_id)
		boot_id = 0;
	if (boot_id)
		crash_on_upstream_alive(upstream, upstream->last_probe_us);
	if (upstream->state != UPSTREAM_UNKNOWN || !signals || signals->cold)
		return;
	if (boot_id)
		upstream->state = UPSTREAM_WARM;
	else
		upstream->probed_warm = true;
}

void aub_dispatcher_probe_done(struct aub_dispatcher *dispatcher,
			       guint16 upstream, bool answered,
			       const struct aub_upstream_signals *signals,
			       guint32 reported_busy, gint64 now_us)
{
	struct upstream *probed = upstream_by_handle(dispatcher, upstream);

	dispatcher->now_us = MAX(dispatcher->now_us, now_us);
	if (!probed || !probed->probing)
		return; /* sent under an earlier inventory */
	probed->probing = false;
	probed->reported_busy = reported_busy;
	if (answered) {
		probe_answered(dispatcher, probed, signals, now_us);
	} else if (!upstream_in_flight(probed)) {
		crash_on_upstream_crash(dispatcher, probed, now_us);
		upstream_on_unreachable(probed, now_us);
	}
	dispatch_run_queue(dispatcher, now_us);
}

/*
 * Warm-up: limits the number of concurrent requests at an upstream that has
 * just started.
 *
 * An upstream in unknown state is limited like a cold one until the first good
 * answer. A cold upstream has `cold_slots` until `cold_ms` have passed or its
 * reported state changes from cold to warm; after that, each good answer adds
 * one slot. An answer that is much slower than the mean restarts the warm-up. A
 * report of "warm" alone just after a start does not raise the limit, because
 * upstreams have been seen to report it too early.
 */
#include <auburnstile/internal/dispatch_internal.h>

#define SLOW_ANSWER_MEAN_FACTOR 4 /* times the mean service time */
#define MEAN_SAMPLES_MIN 64 /* with fewer samples the mean is unreliable */
#define WARM_STATE_MAX_AGE_US (1 * AUB_SECOND)

static guint warmup_base_share(const struct upstream *upstream)
{
	return CLAMP(upstream->cold_slots, 1, upstream->slots);
}

static guint warmup_grown_share(const struct upstream *upstream)
{
	guint grown = warmup_base_share(upstream) + upstream->cold_successes;

	return MIN(grown, upstream->slots);
}

/*
 * Returns true if the upstream was not seen recently. An idle upstream may
 * restart unnoticed, since no connection with a request on it is lost; if it
 * then got its full share of the next load peak, it would be overloaded. Its
 * state therefore expires, and it gets the cold share until one answer confirms
 * that it did not restart.
 */
bool warmup_state_is_stale(const struct upstream *upstream, gint64 now_us)
{
	gint64 last_seen_us =
		MAX(upstream->last_answer_us, upstream->last_probe_us);

	return now_us - last_seen_us > WARM_STATE_MAX_AGE_US;
}

/*
 * Returns the number of concurrent requests that the warm-up state permits, for
 * all senders together.
 */
guint warmup_allowed_attempts(const struct upstream *upstream, gint64 now_us)
{
	switch (upstream->state) {
	case UPSTREAM_WARM:
		if (warmup_state_is_stale(upstream, now_us))
			return warmup_base_share(upstream);
		return upstream->slots;
	case UPSTREAM_COLD:
		return warmup_grown_share(upstream);
	default:
		return warmup_base_share(upstream);
	}
}

void warmup_begin(struct aub_dispatcher *dispatcher, struct upstream *upstream,
		  gint64 now_us)
{
	if (upstream->state != UPSTREAM_COLD)
		dispatcher->counts.cold_starts++;
	upstream->state = UPSTREAM_COLD;
	upstream->probed_warm = false;
	upstream->reports_cold = false;
	upstream->cold_since_us = now_us;
	upstream->cold_successes = 0;
}

/*
 * Sets the state to unknown after a connection was lost or refused, since the
 * upstream may have restarted.
 */
void warmup_reset_to_unknown(struct upstream *upstream, gint64 now_us)
{
	upstream->probed_warm = false;
	if (upstream->state == UPSTREAM_WARM)
		upstream->state = UPSTREAM_UNKNOWN;
	upstream->cold_since_us = now_us;
	upstream->cold_successes = 0;
}

static void on_boot_id(struct aub_dispatcher *dispatcher,
		       struct upstream *upstream, guint64 boot_id,
		       gint64 now_us)
{
	guint64 before = upstream->boot_id;

	if (!boot_id || boot_id == before)
		return;
	upstream->previous_boot_id = before;
	upstream->boot_id = boot_id;
	if (!before)
		return;
	crash_on_upstream_crash(dispatcher, upstream, now_us);
	upstream_clear_backoff(upstream);
	warmup_begin(dispatcher, upstream, now_us);
}

/*
 * Updates the warm-up state from an answer or a probe; `signals` may be NULL.
 */
void warmup_on_signals(struct aub_dispatcher *dispatcher,
		       struct upstream *upstream,
		       const struct aub_upstream_signals *signals,
		       gint64 now_us)
{
	if (!signals)
		return;
	if (!signals->boot_id && !signals->cold && !signals->draining)
		return;
	if (signals->boot_id && signals->boot_id == upstream->previous_boot_id)
		return; /* a delayed answer of the previous start */
	on_boot_id(dispatcher, upstream, signals->boot_id, now_us);
	upstream->draining = signals->draining;
	if (signals->cold && upstream->state != UPSTREAM_COLD)
		warmup_begin(dispatcher, upstream, now_us);
	if (upstream->reports_cold && !signals->cold)
		upstream->cold_since_us = now_us - dispatcher->cold_us;
	upstream->reports_cold = signals->cold;
}

/* Updates the warm-up state after a good answer that took `took_us`. */
void warmup_on_answer(struct aub_dispatcher *dispatcher,
		      struct upstream *upstream, gint64 took_us, gint64 now_us)
{
	bool slow = dispatcher->latency_samples >= MEAN_SAMPLES_MIN &&
		    took_us > SLOW_ANSWER_MEAN_FACTOR * dispatcher->mean_us;

	if (upstream->state == UPSTREAM_UNKNOWN && slow)
		return; /* possibly cold without reporting it */
	if (upstream->state == UPSTREAM_UNKNOWN)
		upstream->state = UPSTREAM_WARM;
	if (upstream->state != UPSTREAM_COLD)
		return;
	if (slow && upstream->cold_successes) {
		warmup_begin(dispatcher, upstream, now_us);
		return;
	}
	if (upstream->reports_cold ||
	    now_us - upstream->cold_since_us < dispatcher->cold_us)
		return;
	upstream->cold_successes++;
	if (warmup_grown_share(upstream) == upstream->slots)
		upstream->state = UPSTREAM_WARM;
}

guint aub_dispatcher_export_upstreams(const struct aub_dispatcher *dispatcher,
				      struct aub_upstream_snapshot *list,
				      guint limit, gint64 now_us)
{
	guint count = 0;

	for (guint i = 0; i < dispatcher->upstreams->len; i++) {
		const struct upstream *upstream = upstream_at(dispatcher, i);
		gint64 last_seen_us =
			MAX(upstream->last_answer_us, upstream->last_probe_us);
		gint64 age_ms = (now_us - last_seen_us) / AUB_MS;

		if (count == limit)
			break;
		if (upstream->state == UPSTREAM_UNKNOWN ||
		    !upstream->accepts_new)
			continue;
		list[count++] = (struct aub_upstream_snapshot){
			.name = upstream->name,
			.boot_id = upstream->boot_id,
			.cold = upstream->state == UPSTREAM_COLD,
			.draining = upstream->draining,
			.age_ms = (guint32)CLAMP(age_ms, 0, G_MAXUINT32),
			.mean_us = (guint32)CLAMP(upstream->mean_us, 0,
						  G_MAXUINT32),
		};
	}
	return count;
}

static struct upstream *find_by_name(const struct aub_dispatcher *dispatcher,
				     const char *name)
{
	for (guint i = 0; i < dispatcher->upstreams->len; i++)
		if (g_str_equal(upstream_at(dispatcher, i)->name, name))
			return upstream_at(dispatcher, i);
	return NULL;
}

/*
 * Imports the owner's state of an upstream. Without it, a successor would not
 * consider any upstream warm, and callers would wait for seconds until all were
 * probed or warmed up. The stand-by receives the state of each within a second;
 * the first answer with its boot id corrects what has changed since.
 */
void aub_dispatcher_import_upstream(
	struct aub_dispatcher *dispatcher,
	const struct aub_upstream_snapshot *snapshot, gint64 now_us)
{
	struct upstream *upstream = find_by_name(dispatcher, snapshot->name);

	if (!upstream || dispatcher->role != AUB_DISPATCH_NONE)
		return;
	if (snapshot->boot_id && snapshot->boot_id != upstream->boot_id) {
		upstream->previous_boot_id = upstream->boot_id;
		upstream->boot_id = snapshot->boot_id;
	}
	upstream->draining = snapshot->draining;
	upstream->last_answer_us = now_us - (gint64)snapshot->age_ms * AUB_MS;
	upstream->mean_us = snapshot->mean_us;
	if (!dispatcher->latency_samples)
		dispatcher->mean_us = snapshot->mean_us;
	if (snapshot->cold && upstream->state != UPSTREAM_COLD)
		warmup_begin(dispatcher, upstream, now_us);
	else if (!snapshot->cold)
		upstream->state = UPSTREAM_WARM;
}

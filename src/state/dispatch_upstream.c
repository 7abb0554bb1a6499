/*
 * The upstreams of one service: exact counts of attempts, availability, and
 * selection of the best free slot.
 */
#include <auburnstile/internal/dispatch_internal.h>

#define OVERDUE_MEAN_FACTOR 4 /* times the mean service time */
#define MEAN_WINDOW_ANSWERS 64 /* answers in the service's smoothed mean */
#define TAIL_PERCENT_WITHOUT_HEDGES 1 /* as hedge_percent, if that is 0 */
#define CROSS_ZONE_COST_US 1000 /* as additional service time */
#define CANCEL_GRACE_US (100 * AUB_MS) /* to notice a closed connection */
#define EJECT_FAILED_PERMILLE_MIN 500 /* smoothed share of failed answers */
#define EJECT_ANSWERS_MIN 5 /* sample size before an ejection */
#define BACKOFF_RESET_ANSWERS 32 /* since the last back-off; resets it */
#define LIMIT_GROWTH_ANSWERS 16 /* good ones before one more slot is used */
/* Back-off times, doubled from base to maximum with each repetition. */
#define EJECT_BASE_US (1 * AUB_SECOND)
#define EJECT_MAX_US (30 * AUB_SECOND)
#define UNREACHABLE_BASE_US (50 * AUB_MS)
#define UNREACHABLE_MAX_US (2 * AUB_SECOND)
#define SHED_BASE_US (5 * AUB_MS)
#define SHED_MAX_US (500 * AUB_MS)

struct upstream *upstream_new(const char *name)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->name = g_strdup(name);
	upstream->lost_attempts =
		g_array_new(FALSE, FALSE, sizeof(struct lost_attempt));
	return upstream;
}

void upstream_free(gpointer data)
{
	struct upstream *upstream = data;

	g_array_free(upstream->lost_attempts, TRUE);
	g_free(upstream->name);
	g_free(upstream);
}

guint upstream_in_flight(const struct upstream *upstream)
{
	return upstream->running.length;
}

struct upstream *upstream_at(const struct aub_dispatcher *dispatcher, guint i)
{
	return dispatcher->upstreams->pdata[i];
}

struct upstream *upstream_by_handle(const struct aub_dispatcher *dispatcher,
				    guint16 handle)
{
	for (guint i = 0; i < dispatcher->upstreams->len; i++)
		if (upstream_at(dispatcher, i)->handle == handle)
			return upstream_at(dispatcher, i);
	return NULL;
}

static struct upstream *steal_by_name(GPtrArray *list, const char *name)
{
	for (guint i = 0; i < list->len; i++) {
		struct upstream *upstream = list->pdata[i];

		if (g_str_equal(upstream->name, name))
			return g_ptr_array_steal_index_fast(list, i);
	}
	return NULL;
}

static void upstream_configure(struct aub_dispatcher *dispatcher,
			       struct upstream *upstream, guint16 handle,
			       gint64 now_us)
{
	const struct aub_upstream *settings =
		aub_upstream_at(dispatcher->inventory, handle);
	bool accepts_new =
		aub_upstream_accepts_new(dispatcher->inventory, handle);

	if (upstream->slots != settings->slots)
		upstream->concurrency_limit = settings->slots;
	upstream->handle = handle;
	upstream->slots = settings->slots;
	if (accepts_new && !upstream->accepts_new) {
		upstream_clear_backoff(upstream);
		upstream->draining = false;
		warmup_reset_to_unknown(upstream, now_us);
	}
	upstream->cold_slots = settings->cold_slots;
	upstream->zone = settings->zone;
	upstream->probe_cost_us = settings->probe_cost_us;
	upstream->accepts_new = accepts_new;
	upstream->probing = false;
}

static void upstream_remove(struct aub_dispatcher *dispatcher,
			    struct upstream *upstream)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatcher->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct request *request = value;

		if (request->avoid_upstream == upstream)
			request->avoid_upstream = NULL;
	}
	upstream_free(upstream);
}

/*
 * Applies the inventory: keeps upstreams by name, adds new ones, and frees
 * removed ones that have nothing in flight.
 */
void upstreams_configure(struct aub_dispatcher *dispatcher, gint64 now_us)
{
	GPtrArray *before = dispatcher->upstreams;
	const GArray *upstreams = dispatcher->inventory->upstreams;

	dispatcher->upstreams = g_ptr_array_new();
	for (guint i = 0; i < upstreams->len; i++) {
		const struct aub_upstream *settings =
			&g_array_index(upstreams, struct aub_upstream, i);
		struct upstream *upstream;

		if (settings->service != dispatcher->service)
			continue;
		upstream = steal_by_name(before, settings->name);
		if (!upstream)
			upstream = upstream_new(settings->name);
		upstream_configure(dispatcher, upstream, (guint16)i, now_us);
		g_ptr_array_add(dispatcher->upstreams, upstream);
	}
	for (guint i = 0; i < before->len; i++) {
		struct upstream *upstream = before->pdata[i];

		if (!upstream->running.length) {
			upstream_remove(dispatcher, upstream);
			continue;
		}
		upstream->handle = AUB_NO_HANDLE;
		upstream->accepts_new = false;
		g_ptr_array_add(dispatcher->upstreams, upstream);
	}
	g_ptr_array_free(before, TRUE);
}

bool upstream_is_available(const struct upstream *upstream, gint64 now_us)
{
	return upstream->accepts_new && !upstream->draining &&
	       now_us >= upstream->unavailable_until_us;
}

/*
 * Reduces the permitted attempts according to the role. Two entries may briefly
 * both consider themselves the owner, and their exact counts would add up to
 * twice the slots. A new owner and a stand-by therefore use half of the warm
 * slots and no cold upstreams.
 */
static guint limit_by_role(const struct aub_dispatcher *dispatcher,
			   const struct upstream *upstream, guint allowed,
			   gint64 now_us)
{
	bool shared = dispatcher->role == AUB_DISPATCH_STANDBY ||
		      now_us < dispatcher->takeover_grace_until_us;

	if (dispatcher->role == AUB_DISPATCH_NONE)
		return 0;
	if (!shared)
		return allowed;
	if (upstream->state == UPSTREAM_WARM || upstream->probed_warm)
		return MIN(allowed, upstream->slots / 2);
	return 0;
}

/*
 * Handles the end of an attempt that was cancelled (for example because its
 * hedge was answered first) or timed out. The upstream may not have noticed the
 * cancellation when the next attempt arrives; a cold upstream would then run
 * two requests where it can handle only one, be overloaded, and fail them all.
 * An upstream that is not known to be warm gets no new attempt until it must
 * have noticed.
 */
void upstream_on_attempt_abandoned(struct upstream *upstream,
				   enum aub_attempt_result result,
				   gint64 now_us)
{
	if (result == AUB_ATTEMPT_CANCELLED || result == AUB_ATTEMPT_TIMEOUT)
		upstream->cancel_grace_until_us = now_us + CANCEL_GRACE_US;
}

/* Returns the number of attempts that may currently run on the upstream. */
guint upstream_allowed_attempts(const struct aub_dispatcher *dispatcher,
				const struct upstream *upstream, gint64 now_us)
{
	guint allowed;

	if (!upstream_is_available(upstream, now_us))
		return 0;
	if (upstream->state != UPSTREAM_WARM &&
	    now_us < upstream->cancel_grace_until_us)
		return 0;
	allowed = warmup_allowed_attempts(upstream, now_us);
	allowed = MIN(allowed, upstream->concurrency_limit);
	if (upstream->half_open)
		allowed = MIN(allowed, 1);
	return limit_by_role(dispatcher, upstream, allowed, now_us);
}

/* Returns the number of free slots of all available upstreams. */
guint upstream_total_free(const struct aub_dispatcher *dispatcher,
			  gint64 now_us)
{
	guint total = 0;

	for (guint i = 0; i < dispatcher->upstreams->len; i++) {
		const struct upstream *upstream = upstream_at(dispatcher, i);
		guint allowed =
			upstream_allowed_attempts(dispatcher, upstream, now_us);
		guint in_flight = upstream_in_flight(upstream);

		total += allowed > in_flight ? allowed - in_flight : 0;
	}
	return total;
}

guint upstream_total_allowed(const struct aub_dispatcher *dispatcher,
			     gint64 now_us)
{
	guint total = 0;

	for (guint i = 0; i < dispatcher->upstreams->len; i++)
		total += upstream_allowed_attempts(dispatcher,
						   upstream_at(dispatcher, i),
						   now_us);
	return total;
}

/*
 * Returns true if the oldest running attempt has taken much longer than the
 * mean. An upstream that becomes slow without reporting it delays every further
 * request. A running attempt shows this before any answer does; the free slots
 * of the upstream are then used last until a fast answer arrives.
 */
bool upstream_is_overdue(const struct aub_dispatcher *dispatcher,
			 const struct upstream *upstream, gint64 now_us)
{
	const GList *head = upstream->running.head;
	const struct attempt *oldest = head ? head->data : NULL;
	gint64 typical_us = MAX(upstream->mean_us, dispatcher->mean_us);

	return oldest && typical_us &&
	       now_us - oldest->sent_us > OVERDUE_MEAN_FACTOR * typical_us;
}

/*
 * Rank of a free slot, lower is better. Class 0 is normal, 1 has an overdue
 * attempt, 2 is where the request failed last; the class is compared before the
 * expected time in us.
 */
struct score {
	guint class;
	gint64 cost_us;
};

static struct score upstream_score(const struct aub_dispatcher *dispatcher,
				   const struct upstream *upstream,
				   const struct request *request, gint64 now_us)
{
	struct score score = { .cost_us = upstream->mean_us };
	gint64 busy = upstream_in_flight(upstream);

	if (!score.cost_us)
		score.cost_us = dispatcher->mean_us;
	score.cost_us += score.cost_us * busy / (2 * (gint64)upstream->slots);
	if (request->zone != AUB_NO_HANDLE && request->zone != upstream->zone)
		score.cost_us += CROSS_ZONE_COST_US;
	if (upstream_is_overdue(dispatcher, upstream, now_us))
		score.class = 1;
	if (upstream == request->avoid_upstream)
		score.class = 2;
	return score;
}

static bool runs_on(const struct request *request,
		    const struct upstream *upstream)
{
	for (guint i = 0; i < request->running->len; i++) {
		const struct attempt *attempt = request->running->pdata[i];

		if (attempt->upstream == upstream)
			return true;
	}
	return false;
}

/*
 * Returns the upstream with the best free slot for a request, or NULL if none
 * is free. A hedge is never sent to an upstream that is suspect or already runs
 * the request.
 */
struct upstream *upstream_select(struct aub_dispatcher *dispatcher,
				 const struct request *request, bool hedge,
				 gint64 now_us)
{
	struct upstream *best = NULL;
	struct score best_score = { 0 };
	guint count = dispatcher->upstreams->len;
	guint start = count ? dispatch_random(dispatcher, count) : 0;

	for (guint i = 0; i < count; i++) {
		struct upstream *upstream =
			upstream_at(dispatcher, (start + i) % count);
		struct score score;

		if (upstream_in_flight(upstream) >=
		    upstream_allowed_attempts(dispatcher, upstream, now_us))
			continue;
		score = upstream_score(dispatcher, upstream, request, now_us);
		if (hedge && (score.class || runs_on(request, upstream)))
			continue;
		if (best && (score.class > best_score.class ||
			     (score.class == best_score.class &&
			      score.cost_us >= best_score.cost_us)))
			continue;
		best = upstream;
		best_score = score;
	}
	return best;
}

/*
 * Moves tail_latency_us towards the time that a share of
 * AUB_HEDGES_PER_MEAN_TIME x hedge_percent of the answers exceed: up by a large
 * step after a slower answer, down by a small one after a faster answer.
 */
static void update_tail_latency(struct aub_dispatcher *dispatcher,
				gint64 took_us, bool complete)
{
	gint64 percent = dispatcher->hedge_percent ?
				 dispatcher->hedge_percent :
				 TAIL_PERCENT_WITHOUT_HEDGES;
	gint64 share = MIN(AUB_HEDGES_PER_MEAN_TIME * percent, 50);
	gint64 step = MAX(dispatcher->tail_latency_us / 32, 20);

	if (!dispatcher->tail_latency_us) {
		dispatcher->tail_latency_us = 3 * took_us;
		return;
	}
	if (took_us > dispatcher->tail_latency_us)
		dispatcher->tail_latency_us += step * (100 - share) / 100;
	else if (complete)
		dispatcher->tail_latency_us -= step * share / 100;
	dispatcher->tail_latency_us = MAX(dispatcher->tail_latency_us, 100);
}

/*
 * Records that a good answer took `took_us`. With `complete` false the attempt
 * ended early, so an answer would have taken longer.
 */
void upstream_record_latency(struct aub_dispatcher *dispatcher,
			     struct upstream *upstream, gint64 took_us,
			     bool complete)
{
	update_tail_latency(dispatcher, took_us, complete);
	if (!complete && took_us < upstream->mean_us)
		return;
	if (!upstream->mean_us)
		upstream->mean_us = MAX(took_us, 1);
	dispatcher->latency_samples++;
	upstream->mean_us += (took_us - upstream->mean_us) / 16;
	dispatcher->mean_us +=
		(took_us - dispatcher->mean_us) /
		(gint64)MIN(dispatcher->latency_samples, MEAN_WINDOW_ANSWERS);
	dispatcher->mean_us = MAX(dispatcher->mean_us, 1);
}

/*
 * Ends all back-off and ejection of the upstream and restores its concurrency
 * limit.
 */
void upstream_clear_backoff(struct upstream *upstream)
{
	upstream->unavailable_until_us = 0;
	upstream->backoff_count = 0;
	upstream->half_open = false;
	upstream->ejected = false;
	upstream->failed_permille = 0;
	upstream->judged_answers = 0;
	upstream->concurrency_limit = upstream->slots;
}

static void upstream_back_off(struct upstream *upstream, gint64 base_us,
			      gint64 max_us, gint64 now_us)
{
	gint64 wait = base_us << MIN(upstream->backoff_count, 10);

	upstream->unavailable_until_us = now_us + MIN(wait, max_us);
	upstream->backoff_count++;
	upstream->judged_answers = 0;
	upstream->half_open = true;
}

void upstream_on_unreachable(struct upstream *upstream, gint64 now_us)
{
	warmup_reset_to_unknown(upstream, now_us);
	if (now_us < upstream->unavailable_until_us)
		return; /* several attempts failed for the same reason */
	upstream_back_off(upstream, UNREACHABLE_BASE_US, UNREACHABLE_MAX_US,
			  now_us);
}

/*
 * Handles a shed request. The upstream refused it although one of its slots was
 * counted as free, so another sender uses that slot.
 */
void upstream_on_shed(struct upstream *upstream, gint64 now_us)
{
	guint in_flight = upstream_in_flight(upstream);

	upstream->concurrency_limit =
		(guint16)CLAMP(in_flight, 1, upstream->slots);
	upstream->limit_successes = 0;
	if (now_us >= upstream->unavailable_until_us)
		upstream_back_off(upstream, SHED_BASE_US, SHED_MAX_US, now_us);
}

/*
 * Returns true if the upstream fails much more often than the others and few
 * enough upstreams are ejected.
 */
static bool may_eject(const struct aub_dispatcher *dispatcher,
		      const struct upstream *upstream)
{
	guint ejected = 0;
	guint others = 0;
	guint failed = 0;

	for (guint i = 0; i < dispatcher->upstreams->len; i++) {
		const struct upstream *other = upstream_at(dispatcher, i);

		if (other == upstream || !other->accepts_new)
			continue;
		others++;
		if (other->ejected)
			ejected++;
		else
			failed += other->failed_permille;
	}
	if (ejected >= (others + 1) / AUB_EJECTED_UPSTREAMS_DIVISOR)
		return false;
	return others > ejected &&
	       2 * failed / (others - ejected) < upstream->failed_permille;
}

/*
 * Records a good or failed answer. An upstream that answers every request with
 * an immediate error is always idle and would attract most requests, so that
 * most callers would get an error. Errors therefore do not count as fast
 * answers, and they eject the upstream with a back-off. The share of ejected
 * upstreams is bounded, because errors caused by the requests themselves must
 * not eject upstreams.
 */
void upstream_record_result(struct aub_dispatcher *dispatcher,
			    struct upstream *upstream, bool failed,
			    gint64 now_us)
{
	gint32 target = failed ? 1000 : 0;

	upstream->failed_permille +=
		(target - (gint32)upstream->failed_permille) / 8;
	upstream->judged_answers++;
	if (!failed) {
		upstream->half_open = false;
		upstream->ejected = false;
		if (upstream->judged_answers >= BACKOFF_RESET_ANSWERS)
			upstream->backoff_count = 0;
		upstream->limit_successes++;
		if (upstream->concurrency_limit < upstream->slots &&
		    upstream->limit_successes >= LIMIT_GROWTH_ANSWERS) {
			upstream->concurrency_limit++;
			upstream->limit_successes = 0;
		}
		return;
	}
	if (upstream->half_open && upstream->ejected) {
		upstream_back_off(upstream, EJECT_BASE_US, EJECT_MAX_US,
				  now_us);
		return;
	}
	if (upstream->failed_permille < EJECT_FAILED_PERMILLE_MIN ||
	    upstream->judged_answers < EJECT_ANSWERS_MIN ||
	    !may_eject(dispatcher, upstream))
		return;
	upstream_back_off(upstream, EJECT_BASE_US, EJECT_MAX_US, now_us);
	upstream->ejected = true;
	dispatcher->counts.ejections++;
}

/*
 * Returns the earlier of `at_us` and `wake_us`, ignoring `at_us` if it has
 * passed.
 */
gint64 earliest_future_us(gint64 now_us, gint64 at_us, gint64 wake_us)
{
	return at_us > now_us ? MIN(at_us, wake_us) : wake_us;
}

/*
 * Returns the time at which a queued request may become sendable, or G_MAXINT64
 * if there is none.
 */
gint64 upstreams_next_wakeup_us(const struct aub_dispatcher *dispatcher)
{
	gint64 now_us = dispatcher->now_us;
	gint64 wake_us = G_MAXINT64;

	if (!dispatcher->queue.length)
		return wake_us;
	wake_us =
		earliest_future_us(now_us, dispatcher->takeover_grace_until_us,
				   wake_us);
	for (guint i = 0; i < dispatcher->upstreams->len; i++) {
		const struct upstream *upstream = upstream_at(dispatcher, i);

		if (!upstream->accepts_new)
			continue;
		wake_us = earliest_future_us(now_us,
					     upstream->unavailable_until_us,
					     wake_us);
		wake_us = earliest_future_us(now_us,
					     upstream->cancel_grace_until_us,
					     wake_us);
	}
	return wake_us;
}

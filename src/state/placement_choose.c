/*
 * The cost of each upstream for one request, and the cheapest with room.
 *
 * Costs are in units of the request's target latency: what is expected to be
 * late, or to fail, is compared on one scale.
 */
#include <auburnstile/internal/placement_internal.h>

#include <math.h>
#include <string.h>

/* What an upstream told of running and waiting requests holds so long. */
#define LOAD_COUNTS_VALID_US (200 * AUB_US_PER_MS)

/* Bytes between zones are dear: in calm times answers stay in their zone. */
#define CROSS_ZONE_COST 0.05

#define FAILURE_COST 2.0 /* a failed attempt costs its time and a retry */
#define UNHEALTHY_COST 1.0 /* said to be unwell by itself: a last resort */
#define LATE_COST 0.9 /* likely to be late there */
#define INTERFERENCE_REMAINING_SHARE \
	0.5 /* of a burst that is under way, on the mean */

#define COLD_SLOWDOWN 2.0 /* work at a cold upstream takes twice as long */
#define STUCK_COST 3.0 /* nothing came back for too long */
#define STUCK_TARGET_RATIO 1.5 /* an answer that is out for longer is stuck */

static bool was_tried(const struct aub_placement_request *request,
		      const char *id)
{
	for (guint i = 0; i < request->avoid_count; i++)
		if (!strcmp(request->avoid[i], id))
			return true;
	return false;
}

/* What one choice goes by, whichever the upstream. */
struct choice {
	struct aub_placement *placement;
	const struct aub_placement_request *request;
	gint64 now_us;
	double service_time_ms; /* of its kind of work */
	enum aub_version_traffic traffic; /* of the upstreams that count */
	bool judging; /* a version, by a few requests */
	bool filling; /* one upstream after the other, not evenly */
};

/* May this request ever go there, room or not? */
static bool is_usable(const struct choice *choice,
		      const struct aub_endpoint *endpoint)
{
	const struct aub_placement_request *request = choice->request;

	if (!endpoint->registered || endpoint->draining || endpoint->zone_out ||
	    endpoint->traffic != choice->traffic)
		return false;
	if (endpoint->state == AUB_ENDPOINT_DOWN)
		return false;
	/* Cold ones are slow, and what they answer says little. */
	if (choice->judging && aub_endpoint_is_cold(endpoint, choice->now_us))
		return false;
	if (request->local_fallback)
		return !aub_endpoint_is_cold(endpoint, choice->now_us) &&
		       !was_tried(request, endpoint->id);
	return endpoint->state == AUB_ENDPOINT_UP &&
	       !was_tried(request, endpoint->id);
}

static guint busy_slots(const struct aub_endpoint *endpoint, gint64 now_us)
{
	guint reported;

	if (endpoint->full_until_us > now_us)
		return endpoint->slots;
	if (!endpoint->load_us ||
	    now_us - endpoint->load_us > LOAD_COUNTS_VALID_US)
		return endpoint->granted;
	reported = (guint)MAX(endpoint->load.running, 0) +
		   (guint)MAX(endpoint->load.waiting, 0);
	return MAX(endpoint->granted, reported);
}

guint aub_endpoint_concurrency_limit(const struct aub_placement *placement,
				     const struct aub_endpoint *endpoint)
{
	return aub_saturation_limit(&placement->saturation, endpoint->slots);
}

/*
 * Slots of each upstream that only requests that can be on time may take.
 *
 * Failure: after a burst the late ones keep every slot busy, and new ones
 * become late behind them. Symptom: the load is back to usual and answers
 * are late for minutes. Enough: with a third of the slots kept free of late
 * ones, new requests are on time, and the late ones drain beside them.
 */
static guint reserved_slots(const struct aub_placement_request *request,
			    guint limit)
{
	return request->on_time_wait_ms ? 0 : (limit + 1) / 3;
}

/*
 * How many times as long as usual work takes there now because of neighbours.
 *
 * Failure: an upstream told that it is fast a tenth of a second ago, and a
 * neighbour has slowed it since. Symptom: one request in twelve is late in
 * calm times. Enough: what was told fades with its age, so that of several
 * that were fast the one that told it last is taken.
 */
static double interference(const struct aub_placement *placement,
			   const struct aub_endpoint *endpoint, gint64 now_us)
{
	if (!endpoint->load_us || endpoint->load.slowdown <= 0)
		return aub_load_trend_mean(&placement->interference);
	return aub_load_trend_predict(&placement->interference,
				      endpoint->load.slowdown / 100.0,
				      now_us - endpoint->load_us);
}

/*
 * Failure: in an overload requests are begun at upstreams in a neighbour's
 * burst. Symptom: each keeps its slot for four times as long, long after the
 * burst has ended, and all that come later wait for it. Enough: a slot is left
 * empty where waiting for the burst's end and then working at the usual pace
 * takes less time.
 */
static bool should_wait_for_interference(const struct choice *choice,
					 const struct aub_endpoint *endpoint)
{
	const struct aub_load_trend *trend = &choice->placement->interference;
	double now = interference(choice->placement, endpoint, choice->now_us);

	return now * choice->service_time_ms >
	       INTERFERENCE_REMAINING_SHARE *
			       aub_load_trend_correlation_ms(trend) +
		       aub_load_trend_mean(trend) * choice->service_time_ms;
}

/* `limit` is the row's, see aub_endpoint_concurrency_limit(). */
static bool has_room(const struct choice *choice,
		     const struct aub_endpoint *endpoint, guint limit)
{
	if (aub_endpoint_is_cold(endpoint, choice->now_us))
		return endpoint->next_cold_grant_us <= choice->now_us &&
		       endpoint->granted < MAX(1, endpoint->slots / 2);
	return busy_slots(endpoint, choice->now_us) +
			       reserved_slots(choice->request, limit) <
		       limit &&
	       !should_wait_for_interference(choice, endpoint);
}

double aub_endpoint_slowdown(const struct aub_placement *placement,
			     const struct aub_endpoint *endpoint, gint64 now_us)
{
	double factor = interference(placement, endpoint, now_us);

	return aub_endpoint_is_cold(endpoint, now_us) ? factor * COLD_SLOWDOWN :
							factor;
}

/*
 * An upstream's own slowness, for reasons that it does not tell.
 *
 * Failure: the last answers of an upstream happened to be long. Symptom: it is
 * passed over for one farther away, fuller, or not heard of lately. Enough:
 * nothing counts that the spread of the work explains.
 */
static double own_slowness(const struct aub_endpoint *endpoint)
{
	return endpoint->slowness > AUB_SIGNIFICANT_SLOWNESS ?
		       endpoint->slowness :
		       1.0;
}

/* How many times as long as usual the next request takes there. */
static double slowdown(const struct choice *choice,
		       const struct aub_endpoint *endpoint)
{
	const struct aub_placement *placement = choice->placement;

	return own_slowness(endpoint) *
	       aub_endpoint_slowdown(placement, endpoint, choice->now_us) *
	       aub_saturation_slowdown(&placement->saturation,
				       endpoint->granted + 1, endpoint->slots);
}

static double failure_rate(const struct aub_endpoint *endpoint, gint64 now_us)
{
	double half_lives = (double)(now_us - endpoint->failures_us) /
			    AUB_FAILURE_HALF_LIFE_US;

	return endpoint->failures * exp2(-half_lives);
}

static double cost(const struct choice *choice,
		   const struct aub_endpoint *endpoint, bool stuck)
{
	const struct aub_placement_request *request = choice->request;
	double value = choice->service_time_ms / MAX(request->target_ms, 1) *
		       slowdown(choice, endpoint);

	value += FAILURE_COST * failure_rate(endpoint, choice->now_us);
	if (g_strcmp0(endpoint->zone, request->zone) != 0)
		value += CROSS_ZONE_COST;
	if (endpoint->unhealthy)
		value += UNHEALTHY_COST;
	if (stuck)
		value += STUCK_COST;
	return value;
}

/* Rows with a request out for longer than good answers take. */
static void find_stuck(const struct aub_placement *placement, bool *stuck,
		       gint64 now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct aub_grant *grant = value;
		const struct aub_endpoint *endpoint =
			aub_placement_endpoint(placement,
					       grant->endpoint_index);

		if (endpoint->last_ok_us < grant->granted_us &&
		    now_us - grant->granted_us > STUCK_TARGET_RATIO *
							 grant->target_ms *
							 AUB_US_PER_MS)
			stuck[grant->endpoint_index] = true;
	}
}

/*
 * May some upstream serve it on time, though it has no room now? Looked for
 * only where those with room would not.
 */
static bool is_any_on_time(const struct choice *choice, const bool *stuck)
{
	const struct aub_placement *placement = choice->placement;

	for (guint i = 0; i < placement->endpoints->len; i++) {
		const struct aub_endpoint *endpoint =
			aub_placement_endpoint(placement, i);

		if (is_usable(choice, endpoint) &&
		    cost(choice, endpoint, stuck[i]) <= LATE_COST)
			return true;
	}
	return false;
}

/*
 * Load: the share of the requests that judge a new version, while few of its
 * upstreams would do.
 *
 * Failure: a version fails only where its upstreams are nearly full. Symptom:
 * spread evenly, its share fills none, and it is taken for good. Enough: at
 * times the fullest that has room takes the next request.
 */
static double canary_cost(const struct choice *choice,
			  const struct aub_endpoint *endpoint, bool stuck)
{
	double value = cost(choice, endpoint, stuck);

	if (!choice->judging)
		return value;
	if (choice->filling && value < LATE_COST)
		value = -(double)endpoint->granted;
	/* One that has said much already has less to add. */
	return value + aub_endpoint_evidence_share(choice->placement, endpoint);
}

static gint choose_by_traffic(const struct choice *choice, guint *usable)
{
	struct aub_placement *placement = choice->placement;
	guint count = placement->endpoints->len;
	bool *stuck = g_newa0(bool, count + 1);
	double best_cost = INFINITY;
	gint best = -1;

	*usable = 0;
	find_stuck(placement, stuck, choice->now_us);
	for (guint n = 0; n < count; n++) {
		guint i = (n + placement->search_start) % count;
		struct aub_endpoint *endpoint =
			aub_placement_endpoint(placement, i);
		guint limit;
		double value;

		if (!is_usable(choice, endpoint))
			continue;
		limit = aub_endpoint_concurrency_limit(placement, endpoint);
		*usable += limit;
		if (!has_room(choice, endpoint, limit))
			continue;
		value = canary_cost(choice, endpoint, stuck[i]);
		if (value >= best_cost)
			continue;
		best_cost = value;
		best = (gint)i;
	}
	/*
	 * A request that could still be on time waits for an upstream where it
	 * is, if there is one. A late one takes what there is.
	 */
	if (best >= 0 && !choice->judging && choice->request->on_time_wait_ms &&
	    best_cost > LATE_COST && is_any_on_time(choice, stuck))
		return -1;
	return best;
}

gint aub_placement_choose(struct aub_placement *placement,
			  const struct aub_placement_request *request,
			  gint64 now_us, guint *usable)
{
	struct choice choice = {
		.placement = placement,
		.request = request,
		.now_us = now_us,
		.service_time_ms =
			aub_service_times_mean_ms(&placement->service_times,
						  request->target_ms),
		.traffic = AUB_VERSION_CANARY,
	};
	enum aub_canary_choice canary =
		aub_placement_canary_choice(placement, request, now_us);
	gint best = -1;

	placement->search_start++;
	if (canary != AUB_CANARY_NONE) {
		choice.judging = canary == AUB_CANARY_FIRST;
		choice.filling = choice.judging &&
				 aub_rollout_is_filling(&placement->rollout);
		best = choose_by_traffic(&choice, usable);
		if (best >= 0 || (canary == AUB_CANARY_ONLY && *usable))
			return best;
	}
	choice.traffic = AUB_VERSION_ACTIVE;
	choice.judging = false;
	choice.filling = false;
	return choose_by_traffic(&choice, usable);
}

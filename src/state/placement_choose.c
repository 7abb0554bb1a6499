/*
 * Chooses the upstream with room that has the lowest cost for a request.
 *
 * Costs are in units of the latency target of the request, so that expected
 * lateness and failures are compared on one scale.
 */
#include <auburnstile/internal/decayed_share.h>
#include <auburnstile/internal/placement_internal.h>

#include <math.h>
#include <string.h>

/* For how long an upstream's reported request counts are valid. */
#define LOAD_COUNTS_VALID_US (200 * AUB_US_PER_MS)

/* For how long a probe's result tells whether an upstream is cold. */
#define PROBE_VALID_US (500 * AUB_US_PER_MS)

/*
 * Traffic between zones is expensive: under light load, requests stay in their
 * zone.
 */
#define CROSS_ZONE_COST 0.05

#define FAILURE_COST 2.0 /* a failed attempt costs its time and a retry */
#define UNHEALTHY_COST 1.0 /* it reports itself unhealthy: a last resort */
#define LATE_COST 0.9 /* above it, the response is likely to be late */
/* The expected remainder of an interference burst, as a share of its length. */
#define INTERFERENCE_REMAINING_SHARE 0.5

#define COLD_SLOWDOWN 2.0 /* service time factor of a cold upstream */
#define STUCK_COST 3.0 /* a request in progress there is stuck */
/* Times the target; a request in progress for longer is stuck. */
#define STUCK_TARGET_RATIO 1.5

bool aub_placement_request_avoids(const struct aub_placement_request *request,
				  const char *id)
{
	for (guint i = 0; i < request->avoid_count; i++)
		if (!strcmp(request->avoid[i], id))
			return true;
	return false;
}

/* The parameters of one choice, the same for all upstreams. */
struct choice {
	struct aub_placement *placement;
	const struct aub_placement_request *request;
	gint64 now_us;
	double service_time_ms; /* mean of its class */
	double refusal_share; /* of the service, despite free slots */
	enum aub_version_traffic traffic; /* of the upstreams considered */
	bool judging; /* canary requests that judge a version */
	bool filling; /* fill one upstream after the other, not evenly */
};

/*
 * A process sends no probes to an upstream that asked it for rest. Others may
 * send requests meanwhile, but without the result of a probe nobody would see
 * that the upstream turns cold.
 */
static bool is_observed(const struct aub_placement_upstream *upstream,
			gint64 now_us)
{
	return !aub_placement_upstream_is_resting(upstream, now_us) ||
	       now_us - upstream->probed_us <= PROBE_VALID_US;
}

/* Returns whether the request may go there, regardless of room. */
static bool is_usable(const struct choice *choice,
		      const struct aub_placement_upstream *upstream)
{
	const struct aub_placement_request *request = choice->request;

	if (!upstream->registered ||
	    aub_placement_upstream_is_leaving(upstream) || upstream->zone_out ||
	    upstream->traffic != choice->traffic)
		return false;
	if (upstream->state == AUB_PLACEMENT_UPSTREAM_DOWN ||
	    !is_observed(upstream, choice->now_us))
		return false;
	/*
	 * Cold upstreams are slow, so their responses say little of the
	 * version. Their rate is granted by one placer only.
	 */
	if ((choice->judging || request->avoid_cold ||
	     request->local_fallback) &&
	    aub_placement_upstream_is_cold(upstream, choice->now_us))
		return false;
	if (request->local_fallback)
		return !aub_upstream_limit_is_set(&upstream->limit) &&
		       !aub_placement_request_avoids(request, upstream->id);
	return upstream->state == AUB_PLACEMENT_UPSTREAM_UP &&
	       !aub_placement_request_avoids(request, upstream->id);
}

static guint busy_slots(const struct aub_placement_upstream *upstream,
			gint64 now_us)
{
	guint reported;

	if (upstream->full_until_us > now_us)
		return upstream->slots;
	if (!upstream->load_us ||
	    now_us - upstream->load_us > LOAD_COUNTS_VALID_US)
		return upstream->granted;
	reported = (guint)MAX(upstream->load.running, 0) +
		   (guint)MAX(upstream->load.waiting, 0);
	return MAX(upstream->granted, reported);
}

guint aub_placement_upstream_concurrency_limit(
	const struct aub_placement *placement,
	const struct aub_placement_upstream *upstream)
{
	return aub_saturation_limit(&placement->saturation, upstream->slots);
}

/*
 * Returns the slots of each upstream that are reserved for requests that can be
 * on time.
 *
 * After a load spike, late requests would occupy every slot and make new ones
 * late behind them, for minutes after the load is back to normal. With a third
 * of the slots free of late requests, new ones are on time while the late ones
 * drain.
 */
static guint reserved_slots(const struct aub_placement_request *request,
			    guint limit)
{
	return request->on_time_wait_ms ? 0 : (limit + 1) / 3;
}

/*
 * Returns the present slowdown from interference of neighbours, as a multiple
 * of the baseline service time.
 *
 * A report that is a tenth of a second old may be outdated because a neighbour
 * has become busy since; trusting it makes one request in twelve late even
 * under light load. A report therefore decays with its age, so that of several
 * fast upstreams the one with the latest report is chosen.
 */
static double interference(const struct aub_placement *placement,
			   const struct aub_placement_upstream *upstream,
			   gint64 now_us)
{
	if (!upstream->load_us || upstream->load.slowdown <= 0)
		return aub_load_trend_mean(&placement->interference);
	return aub_load_trend_predict(&placement->interference,
				      upstream->load.slowdown / 100.0,
				      now_us - upstream->load_us);
}

/*
 * In an overload, requests started during an interference burst would each keep
 * their slot for four times as long, long after the burst has ended, and delay
 * all later ones. A slot stays empty if waiting for the end of the burst and
 * then executing at normal speed takes less time.
 */
static bool should_wait_for_interference(
	const struct choice *choice,
	const struct aub_placement_upstream *upstream)
{
	const struct aub_load_trend *trend = &choice->placement->interference;
	double now = interference(choice->placement, upstream, choice->now_us);

	return now * choice->service_time_ms >
	       INTERFERENCE_REMAINING_SHARE *
			       aub_load_trend_correlation_ms(trend) +
		       aub_load_trend_mean(trend) * choice->service_time_ms;
}

/* Returns whether the upstream's own limit on its requests is used up. */
static bool is_limit_used_up(const struct choice *choice,
			     const struct aub_placement_upstream *upstream)
{
	return aub_upstream_limit_next_grant_us(&upstream->limit) >
	       choice->now_us;
}

/* `limit` is aub_placement_upstream_concurrency_limit(). */
static bool has_room(const struct choice *choice,
		     const struct aub_placement_upstream *upstream, guint limit)
{
	if (is_limit_used_up(choice, upstream))
		return false;
	if (aub_placement_upstream_is_cold(upstream, choice->now_us))
		return upstream->next_cold_grant_us <= choice->now_us &&
		       upstream->granted < MAX(1, upstream->slots / 2);
	return busy_slots(upstream, choice->now_us) +
			       reserved_slots(choice->request, limit) <
		       limit &&
	       !should_wait_for_interference(choice, upstream);
}

double aub_placement_upstream_slowdown(
	const struct aub_placement *placement,
	const struct aub_placement_upstream *upstream, gint64 now_us)
{
	double factor = interference(placement, upstream, now_us);

	return aub_placement_upstream_is_cold(upstream, now_us) ?
		       factor * COLD_SLOWDOWN :
		       factor;
}

/*
 * Returns an upstream's own slowness, from causes that it does not report.
 *
 * A few long responses in a row must not make the choice skip it for an
 * upstream in another zone, with higher utilization or an older report. Ratios
 * within the normal spread of service times are ignored.
 */
static double own_slowness(const struct aub_placement_upstream *upstream)
{
	return upstream->slowness > AUB_SIGNIFICANT_SLOWNESS ?
		       upstream->slowness :
		       1.0;
}

/* Returns the expected slowdown of the next request there. */
static double slowdown(const struct choice *choice,
		       const struct aub_placement_upstream *upstream)
{
	const struct aub_placement *placement = choice->placement;

	return own_slowness(upstream) *
	       aub_placement_upstream_slowdown(placement, upstream,
					       choice->now_us) *
	       aub_saturation_slowdown(&placement->saturation,
				       upstream->granted + 1, upstream->slots);
}

static double failure_rate(const struct aub_placement_upstream *upstream,
			   gint64 now_us)
{
	return upstream->failures * aub_decay(now_us - upstream->failures_us,
					      AUB_FAILURE_HALF_LIFE_US);
}

static double cost(const struct choice *choice,
		   const struct aub_placement_upstream *upstream, bool stuck)
{
	const struct aub_placement_request *request = choice->request;
	double total_cost = choice->service_time_ms /
			    MAX(request->target_ms, 1) *
			    slowdown(choice, upstream);

	total_cost += FAILURE_COST * failure_rate(upstream, choice->now_us);
	total_cost +=
		FAILURE_COST * aub_refusal_rate_excess(&upstream->refusals,
						       choice->refusal_share,
						       choice->now_us);
	if (g_strcmp0(upstream->zone, request->zone) != 0)
		total_cost += CROSS_ZONE_COST;
	if (upstream->unhealthy)
		total_cost += UNHEALTHY_COST;
	if (stuck)
		total_cost += STUCK_COST;
	return total_cost;
}

/*
 * Sets `stuck` for upstreams with a request in progress for longer than
 * successful responses take.
 */
static void find_stuck(const struct aub_placement *placement, bool *stuck,
		       gint64 now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct aub_grant *grant = value;
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement,
						   grant->upstream_index);

		if (upstream->last_ok_us < grant->granted_us &&
		    now_us - grant->granted_us > STUCK_TARGET_RATIO *
							 grant->target_ms *
							 AUB_US_PER_MS)
			stuck[grant->upstream_index] = true;
	}
}

/*
 * Returns whether some upstream could serve the request on time, though it has
 * no room at present. Only needed if those with room cannot.
 */
static bool is_any_on_time(const struct choice *choice, const bool *stuck)
{
	const struct aub_placement *placement = choice->placement;

	for (guint i = 0; i < placement->upstreams->len; i++) {
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (is_usable(choice, upstream) &&
		    !is_limit_used_up(choice, upstream) &&
		    cost(choice, upstream, stuck[i]) <= LATE_COST)
			return true;
	}
	return false;
}

/*
 * Returns the cost of a canary for a request that judges a new version, whose
 * share of the requests could be served by few of its upstreams.
 *
 * A version may fail only when its upstreams are nearly full. If its requests
 * were always distributed evenly, they would fill none and the fault would not
 * show. Periodically the upstream with the most requests that still has room
 * takes the next one.
 */
static double canary_cost(const struct choice *choice,
			  const struct aub_placement_upstream *upstream,
			  bool stuck)
{
	double total_cost = cost(choice, upstream, stuck);

	if (!choice->judging)
		return total_cost;
	if (choice->filling && total_cost < LATE_COST)
		total_cost = -(double)upstream->granted;
	/* An upstream that has contributed much evidence has less to add. */
	return total_cost +
	       aub_placement_upstream_evidence_share(choice->placement,
						     upstream);
}

/* Returns whether its own limit leaves some of the upstream's slots unused. */
static bool is_limited(const struct aub_placement *placement,
		       const struct aub_placement_upstream *upstream,
		       guint slots)
{
	return aub_upstream_limit_is_set(&upstream->limit) &&
	       aub_upstream_limit_grants_per_s(&upstream->limit) *
			       aub_placement_slot_time_us(placement) <
		       (double)slots * G_USEC_PER_SEC;
}

/* Adds what `upstream` can serve, whether it has room now or not. */
static void add_capacity(struct aub_placement_capacity *capacity,
			 const struct aub_placement *placement,
			 const struct aub_placement_upstream *upstream,
			 guint slots)
{
	gint64 next_us;

	if (!is_limited(placement, upstream, slots)) {
		capacity->slots += slots;
		return;
	}
	next_us = aub_upstream_limit_next_grant_us(&upstream->limit);
	if (capacity->limited_per_s <= 0 || next_us < capacity->next_limited_us)
		capacity->next_limited_us = next_us;
	capacity->limited_per_s +=
		aub_upstream_limit_grants_per_s(&upstream->limit);
}

static gint choose_by_traffic(const struct choice *choice,
			      struct aub_placement_capacity *capacity)
{
	struct aub_placement *placement = choice->placement;
	guint count = placement->upstreams->len;
	bool *stuck = g_newa0(bool, count + 1);
	double best_cost = INFINITY;
	gint best = -1;

	*capacity = (struct aub_placement_capacity){ 0 };
	find_stuck(placement, stuck, choice->now_us);
	for (guint n = 0; n < count; n++) {
		guint i = (n + placement->search_start) % count;
		struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);
		guint limit;
		double candidate_cost;

		if (!is_usable(choice, upstream))
			continue;
		limit = aub_placement_upstream_concurrency_limit(placement,
								 upstream);
		add_capacity(capacity, placement, upstream, limit);
		if (!has_room(choice, upstream, limit))
			continue;
		candidate_cost = canary_cost(choice, upstream, stuck[i]);
		if (candidate_cost >= best_cost)
			continue;
		best_cost = candidate_cost;
		best = (gint)i;
	}
	/*
	 * A request that can still be on time waits for an upstream that can
	 * serve it on time, if there is one. A late request takes any.
	 */
	if (best >= 0 && !choice->judging && choice->request->on_time_wait_ms &&
	    best_cost > LATE_COST && is_any_on_time(choice, stuck))
		return -1;
	return best;
}

bool aub_placement_capacity_exists(
	const struct aub_placement_capacity *capacity)
{
	return capacity->slots || capacity->limited_per_s > 0;
}

gint aub_placement_choose(struct aub_placement *placement,
			  const struct aub_placement_request *request,
			  gint64 now_us,
			  struct aub_placement_capacity *capacity)
{
	struct choice choice = {
		.placement = placement,
		.request = request,
		.now_us = now_us,
		.service_time_ms =
			aub_service_times_mean_ms(&placement->service_times,
						  request->target_ms),
		.refusal_share =
			aub_refusal_rate_share(&placement->refusals, now_us),
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
		best = choose_by_traffic(&choice, capacity);
		if (best >= 0 || (canary == AUB_CANARY_ONLY &&
				  aub_placement_capacity_exists(capacity)))
			return best;
	}
	choice.traffic = AUB_VERSION_ACTIVE;
	choice.judging = false;
	choice.filling = false;
	return choose_by_traffic(&choice, capacity);
}

/*
 * The cost of each upstream for one request, and the cheapest with room.
 *
 * Costs are in units of the request's target latency: what is expected to be
 * late, or to fail, is compared on one scale.
 */
#include <auburnstile/internal/placement_parts.h>

#include <math.h>
#include <string.h>

/* What an upstream told of running and waiting requests holds so long. */
#define COUNTS_FRESH_US (200 * AUB_PLACE_MS)

/* Bytes between zones are dear: in calm times answers stay in their zone. */
#define CROSS_ZONE_COST 0.05

#define FAILURE_COST 2.0 /* a failed attempt costs its time and a retry */
#define ILL_COST 1.0 /* said to be unwell by itself: a last resort */
#define LATE_COST 0.9 /* likely to be late there */
#define BURST_LEFT 0.5 /* of a burst that is under way, on the mean */

#define COLD_FACTOR 2.0 /* work at a cold upstream takes twice as long */
#define STUCK_COST 3.0 /* nothing came back for too long */
#define STUCK_TARGETS 1.5 /* an answer that is out for longer is stuck */

static bool avoided(const struct aub_ask *ask, const char *id)
{
	for (guint i = 0; i < ask->avoid_count; i++)
		if (!strcmp(ask->avoid[i], id))
			return true;
	return false;
}

/* What one choice goes by, whichever the upstream. */
struct choice {
	struct aub_placement *placement;
	const struct aub_ask *ask;
	gint64 now_us;
	double usual_ms; /* of its kind of work */
	enum aub_version_use use; /* of the upstreams that count */
	bool judging; /* a version, by a few requests */
	bool fills; /* one upstream after the other, not evenly */
};

/* May this request ever go there, room or not? */
static bool is_usable(const struct choice *choice, const struct aub_row *row)
{
	const struct aub_ask *ask = choice->ask;

	if (!row->registered || row->draining || row->zone_out ||
	    row->use != choice->use)
		return false;
	if (row->state == AUB_ROW_DOWN)
		return false;
	/* Cold ones are slow, and what they answer says little. */
	if (choice->judging && aub_row_is_cold(row, choice->now_us))
		return false;
	if (ask->alone)
		return !aub_row_is_cold(row, choice->now_us) &&
		       !avoided(ask, row->id);
	return row->state == AUB_ROW_UP && !avoided(ask, row->id);
}

static guint row_busy(const struct aub_row *row, gint64 now_us)
{
	guint told;

	if (row->full_until_us > now_us)
		return row->slots;
	if (!row->load_us || now_us - row->load_us > COUNTS_FRESH_US)
		return row->granted;
	told = (guint)MAX(row->load.running, 0) +
	       (guint)MAX(row->load.waiting, 0);
	return MAX(row->granted, told);
}

guint aub_row_limit(const struct aub_placement *placement,
		    const struct aub_row *row)
{
	return aub_knee_limit(&placement->knee, row->slots);
}

/*
 * Slots of each upstream that only requests that can be on time may take.
 *
 * Failure: after a burst the late ones keep every slot busy, and new ones
 * become late behind them. Symptom: the load is back to usual and answers
 * are late for minutes. Enough: with a third of the slots kept free of late
 * ones, new requests are on time, and the late ones drain beside them.
 */
static guint reserve(const struct aub_ask *ask, guint limit)
{
	return ask->on_time_ms ? 0 : (limit + 1) / 3;
}

/*
 * How many times as long as usual work takes there now because of neighbours.
 *
 * Failure: an upstream told that it is fast a tenth of a second ago, and a
 * neighbour has slowed it since. Symptom: one request in twelve is late in
 * calm times. Enough: what was told fades with its age, so that of several
 * that were fast the one that told it last is taken.
 */
static double neighbours(const struct aub_placement *placement,
			 const struct aub_row *row, gint64 now_us)
{
	if (!row->load_us || row->load.slowdown <= 0)
		return aub_load_trend_mean(&placement->trend);
	return aub_load_trend_expect(&placement->trend,
				     row->load.slowdown / 100.0,
				     now_us - row->load_us);
}

/*
 * Failure: in an overload requests are begun at upstreams in a neighbour's
 * burst. Symptom: each keeps its slot for four times as long, long after the
 * burst has ended, and all that come later wait for it. Enough: a slot is left
 * empty where waiting for the burst's end and then working at the usual pace
 * takes less time.
 */
static bool is_better_later(const struct choice *choice,
			    const struct aub_row *row)
{
	const struct aub_load_trend *trend = &choice->placement->trend;
	double now = neighbours(choice->placement, row, choice->now_us);

	return now * choice->usual_ms >
	       BURST_LEFT * aub_load_trend_holds_ms(trend) +
		       aub_load_trend_mean(trend) * choice->usual_ms;
}

/* `limit` is the row's, see aub_row_limit(). */
static bool has_room(const struct choice *choice, const struct aub_row *row,
		     guint limit)
{
	if (aub_row_is_cold(row, choice->now_us))
		return row->next_cold_us <= choice->now_us &&
		       row->granted < MAX(1, row->slots / 2);
	return row_busy(row, choice->now_us) + reserve(choice->ask, limit) <
		       limit &&
	       !is_better_later(choice, row);
}

double aub_row_disturbance(const struct aub_placement *placement,
			   const struct aub_row *row, gint64 now_us)
{
	double factor = neighbours(placement, row, now_us);

	return aub_row_is_cold(row, now_us) ? factor * COLD_FACTOR : factor;
}

/*
 * An upstream's own slowness, for reasons that it does not tell.
 *
 * Failure: the last answers of an upstream happened to be long. Symptom: it is
 * passed over for one farther away, fuller, or not heard of lately. Enough:
 * nothing counts that the spread of the work explains.
 */
static double own_slowness(const struct aub_row *row)
{
	return row->slowness > AUB_NOTEWORTHY_SLOWNESS ? row->slowness : 1.0;
}

/* How many times as long as usual the next request takes there. */
static double slowdown(const struct choice *choice, const struct aub_row *row)
{
	const struct aub_placement *placement = choice->placement;

	return own_slowness(row) *
	       aub_row_disturbance(placement, row, choice->now_us) *
	       aub_knee_factor(&placement->knee, row->granted + 1, row->slots);
}

static double row_failures(const struct aub_row *row, gint64 now_us)
{
	double half_lives =
		(double)(now_us - row->failures_us) / AUB_FAILURE_HALF_LIFE_US;

	return row->failures * exp2(-half_lives);
}

static double cost(const struct choice *choice, const struct aub_row *row,
		   bool stuck)
{
	const struct aub_ask *ask = choice->ask;
	double value = choice->usual_ms / MAX(ask->target_ms, 1) *
		       slowdown(choice, row);

	value += FAILURE_COST * row_failures(row, choice->now_us);
	if (g_strcmp0(row->zone, ask->zone) != 0)
		value += CROSS_ZONE_COST;
	if (row->ill)
		value += ILL_COST;
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
		const struct aub_row *row =
			aub_placement_row(placement, grant->row);

		if (row->ok_us < grant->since_us &&
		    now_us - grant->since_us >
			    STUCK_TARGETS * grant->target_ms * AUB_PLACE_MS)
			stuck[grant->row] = true;
	}
}

/*
 * May some upstream serve it on time, though it has no room now? Looked for
 * only where those with room would not.
 */
static bool is_any_on_time(const struct choice *choice, const bool *stuck)
{
	const struct aub_placement *placement = choice->placement;

	for (guint i = 0; i < placement->rows->len; i++) {
		const struct aub_row *row = aub_placement_row(placement, i);

		if (is_usable(choice, row) &&
		    cost(choice, row, stuck[i]) <= LATE_COST)
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
			  const struct aub_row *row, bool stuck)
{
	double value = cost(choice, row, stuck);

	if (!choice->judging)
		return value;
	if (choice->fills && value < LATE_COST)
		value = -(double)row->granted;
	/* One that has said much already has less to add. */
	return value + aub_row_evidence(choice->placement, row);
}

static gint choose_among(const struct choice *choice, guint *usable)
{
	struct aub_placement *placement = choice->placement;
	guint count = placement->rows->len;
	bool *stuck = g_newa0(bool, count + 1);
	double best_cost = INFINITY;
	gint best = -1;

	*usable = 0;
	find_stuck(placement, stuck, choice->now_us);
	for (guint n = 0; n < count; n++) {
		guint i = (n + placement->turn) % count;
		struct aub_row *row = aub_placement_row(placement, i);
		guint limit;
		double value;

		if (!is_usable(choice, row))
			continue;
		limit = aub_row_limit(placement, row);
		*usable += limit;
		if (!has_room(choice, row, limit))
			continue;
		value = canary_cost(choice, row, stuck[i]);
		if (value >= best_cost)
			continue;
		best_cost = value;
		best = (gint)i;
	}
	/*
	 * A request that could still be on time waits for an upstream where it
	 * is, if there is one. A late one takes what there is.
	 */
	if (best >= 0 && !choice->judging && choice->ask->on_time_ms &&
	    best_cost > LATE_COST && is_any_on_time(choice, stuck))
		return -1;
	return best;
}

gint aub_placement_choose(struct aub_placement *placement,
			  const struct aub_ask *ask, gint64 now_us,
			  guint *usable)
{
	struct choice choice = {
		.placement = placement,
		.ask = ask,
		.now_us = now_us,
		.usual_ms =
			aub_work_times_usual(&placement->work, ask->target_ms),
		.use = AUB_VERSION_CANARY,
	};
	enum aub_canary_choice canary =
		aub_placement_canary(placement, ask, now_us);
	gint best = -1;

	placement->turn++;
	if (canary != AUB_CANARY_NONE) {
		choice.judging = canary == AUB_CANARY_FIRST;
		choice.fills = choice.judging &&
			       aub_rollout_fills(&placement->rollout);
		best = choose_among(&choice, usable);
		if (best >= 0 || (canary == AUB_CANARY_ONLY && *usable))
			return best;
	}
	choice.use = AUB_VERSION_FREE;
	choice.judging = false;
	choice.fills = false;
	return choose_among(&choice, usable);
}

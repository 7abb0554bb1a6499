/*
 * Who waits for a slot, in which order they get one, and who is refused.
 */
#include <auburnstile/internal/placement_parts.h>

#include <math.h>
#include <string.h>

/* Before a report has come: a usual time of work at these upstreams. */
#define HELD_DEFAULT_US (250 * AUB_PLACE_MS)

#define RETRY_AFTER_LEAST_MS 700
#define RETRY_AFTER_ROOM_MS 100 /* only the budget was in the way */
#define ROOM_PERCENT 75 /* of the slots: below, nobody waits for one */
#define RETRY_AFTER_MOST_MS 5000
#define NO_UPSTREAM_MS 500 /* what is down is probed twice in it */

/* Of the time in which it can still be on time: then the newest goes first. */
#define NEWEST_FIRST_SHARE 0.3

static double held_us(const struct aub_placement *placement)
{
	return placement->held_us > 0 ? placement->held_us : HELD_DEFAULT_US;
}

/* How long whoever stands behind `ahead` others waits for a slot, ms. */
static guint wait_ms(const struct aub_placement *placement, guint ahead,
		     guint slots)
{
	double us = held_us(placement) * (ahead + 1) / MAX(slots, 1);

	return (guint)(us / AUB_PLACE_MS);
}

static void refuse(struct aub_placement *placement,
		   struct aub_decision *decision, enum aub_verdict verdict,
		   guint after_ms)
{
	placement->refused++;
	decision->verdict = verdict;
	decision->retry_after_ms =
		CLAMP(after_ms, RETRY_AFTER_LEAST_MS, RETRY_AFTER_MOST_MS);
}

static void queue(struct aub_placement *placement, const struct aub_ask *ask,
		  gint64 now_us)
{
	struct aub_waiting *waiting = g_new0(struct aub_waiting, 1);
	guint at = placement->waiting->len;

	waiting->ticket = ask->ticket;
	waiting->holder = ask->holder;
	waiting->zone = g_strdup(ask->zone);
	waiting->priority = ask->priority;
	waiting->target_ms = ask->target_ms;
	waiting->route = ask->route;
	waiting->retry = ask->retry;
	waiting->alone = ask->alone;
	waiting->since_us = now_us;
	waiting->on_time_us = now_us + ask->on_time_ms * AUB_PLACE_MS;
	waiting->until_us = now_us + ask->max_wait_ms * AUB_PLACE_MS;
	waiting->avoid = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < ask->avoid_count; i++)
		g_ptr_array_add(waiting->avoid, g_strdup(ask->avoid[i]));
	while (at > 0) {
		const struct aub_waiting *before =
			g_ptr_array_index(placement->waiting, at - 1);

		if (before->priority <= ask->priority)
			break;
		at--;
	}
	g_ptr_array_insert(placement->waiting, (gint)at, waiting);
}

/*
 * The order of service. Whoever can still be on time goes first; the most
 * urgent of these, and of equals who has used up most of the time in which it
 * can be, or least of it once that is a good part.
 *
 * Failure: in an overload everybody waits equally long. Symptom: all answers
 * are late, though most could have been on time; and where kinds of requests
 * with different targets wait for the same slots, only those with the longest
 * are served. Enough: those served have hardly waited by their own measure;
 * the others take what is left over.
 */
struct line {
	gint first; /* index of who has used up most, or -1 */
	gint last; /* of who has used up least */
	bool stale; /* the first has used up a good part of its time */
};

/* Of the time in which it can be on time, or of its patience, if late. */
static double used_up(const struct aub_waiting *waiting, gint64 now_us)
{
	gint64 end_us = waiting->on_time_us > now_us ? waiting->on_time_us :
						       waiting->until_us;

	return (double)(now_us - waiting->since_us) /
	       (double)MAX(end_us - waiting->since_us, 1);
}

static void line_find(const struct aub_placement *placement, bool late,
		      gint64 now_us, struct line *line)
{
	double most = -1;
	double least = INFINITY;
	guint priority = 0;

	*line = (struct line){ .first = -1, .last = -1 };
	for (guint i = 0; i < placement->waiting->len; i++) {
		const struct aub_waiting *waiting =
			g_ptr_array_index(placement->waiting, i);
		double used;

		if ((waiting->on_time_us <= now_us) != late)
			continue;
		if (line->first >= 0 && waiting->priority != priority)
			break;
		priority = waiting->priority;
		used = used_up(waiting, now_us);
		if (used > most) {
			most = used;
			line->first = (gint)i;
		}
		if (used <= least) {
			least = used;
			line->last = (gint)i;
		}
	}
	line->stale = most > NEWEST_FIRST_SHARE;
}

/* Those that would be served before a newcomer. */
static guint ahead_of(const struct aub_placement *placement, guint priority,
		      bool late, gint64 now_us)
{
	struct line line;
	guint ahead = 0;

	line_find(placement, false, now_us, &line);
	for (guint i = 0; i < placement->waiting->len; i++) {
		const struct aub_waiting *waiting =
			g_ptr_array_index(placement->waiting, i);
		bool other_late = waiting->on_time_us <= now_us;

		if (other_late != late)
			ahead += late;
		else if (line.stale && !late)
			ahead += waiting->priority < priority;
		else
			ahead += waiting->priority <= priority;
	}
	return ahead;
}

gint aub_waiting_find(const struct aub_placement *placement, guint64 ticket)
{
	for (guint i = 0; i < placement->waiting->len; i++) {
		const struct aub_waiting *waiting =
			g_ptr_array_index(placement->waiting, i);

		if (waiting->ticket == ticket)
			return (gint)i;
	}
	return -1;
}

static bool is_known(const struct aub_placement *placement,
		     const struct aub_ask *ask, struct aub_decision *decision)
{
	struct aub_grant *made =
		g_hash_table_lookup(placement->grants, &ask->ticket);

	if (made) {
		struct aub_row *row = aub_placement_row(placement, made->row);

		decision->verdict = AUB_VERDICT_GRANTED;
		decision->upstream = row->id;
		decision->address = row->address;
		return true;
	}
	if (aub_waiting_find(placement, ask->ticket) < 0)
		return false;
	decision->verdict = AUB_VERDICT_QUEUED;
	return true;
}

/*
 * Load: many attempts fail though upstreams have room, and the fleet's budget
 * of retries is used up.
 *
 * Failure: callers are told to come back when the next queue has drained.
 * Symptom: nobody waits in a queue, and all of them are late. Enough: where
 * there is room for the request now, it may come back at once: it is a request
 * of its own then.
 */
static void refuse_retry(struct aub_placement *placement,
			 const struct aub_ask *ask, gint64 now_us,
			 struct aub_decision *decision)
{
	guint granted = g_hash_table_size(placement->grants);
	guint slots;

	(void)aub_placement_choose(placement, ask, now_us, &slots);
	refuse(placement, decision, AUB_VERDICT_NO_BUDGET, NO_UPSTREAM_MS);
	if (100 * granted < ROOM_PERCENT * slots)
		decision->retry_after_ms = RETRY_AFTER_ROOM_MS;
}

/* A probe is under way that may find an upstream for those who wait. */
static bool is_any_unknown(const struct aub_placement *placement)
{
	for (guint i = 0; i < placement->rows->len; i++) {
		const struct aub_row *row = aub_placement_row(placement, i);

		if (row->registered && !row->draining && !row->zone_out &&
		    row->use == AUB_VERSION_FREE &&
		    row->state == AUB_ROW_UNKNOWN)
			return true;
	}
	return false;
}

static void grant(struct aub_placement *placement, guint index,
		  const struct aub_ask *ask, gint64 now_us,
		  struct aub_decision *decision)
{
	aub_placement_grant(placement, index, ask, now_us, decision);
	aub_grant_count_canary(placement,
			       g_hash_table_lookup(placement->grants,
						   &ask->ticket),
			       aub_placement_row(placement, index));
}

void aub_placement_ask(struct aub_placement *placement,
		       const struct aub_ask *ask, gint64 now_us,
		       struct aub_decision *decision)
{
	guint ahead;
	guint slots;
	gint index;

	*decision = (struct aub_decision){
		.ticket = ask->ticket,
		.holder = ask->holder,
	};
	if (is_known(placement, ask, decision))
		return;
	if (!ask->retry) {
		aub_retry_budget_first(&placement->budget, now_us);
	} else if (!aub_retry_budget_take(&placement->budget,
					  placement->limits.retry_ratio,
					  placement->limits.retry_slack,
					  now_us)) {
		refuse_retry(placement, ask, now_us, decision);
		return;
	}
	ahead = ahead_of(placement, ask->priority, !ask->on_time_ms, now_us);
	index = aub_placement_choose(placement, ask, now_us, &slots);
	if (index >= 0 && !ahead) {
		grant(placement, (guint)index, ask, now_us, decision);
		return;
	}
	if (!slots &&
	    (ask->retry || ask->alone || !is_any_unknown(placement))) {
		refuse(placement, decision, AUB_VERDICT_NO_UPSTREAM,
		       NO_UPSTREAM_MS);
		return;
	}
	/* Refused on arrival, not after a wait that would have been in vain. */
	if (slots && wait_ms(placement, ahead, slots) > ask->max_wait_ms) {
		refuse(placement, decision, AUB_VERDICT_OVERLOAD,
		       wait_ms(placement, ahead, slots));
		return;
	}
	queue(placement, ask, now_us);
	decision->verdict = AUB_VERDICT_QUEUED;
}

static void ask_of(const struct aub_waiting *waiting, gint64 now_us,
		   struct aub_ask *ask)
{
	gint64 on_time_us = MAX(waiting->on_time_us - now_us, 0);

	*ask = (struct aub_ask){
		.ticket = waiting->ticket,
		.holder = waiting->holder,
		.zone = waiting->zone,
		.priority = waiting->priority,
		.target_ms = waiting->target_ms,
		.route = waiting->route,
		.retry = waiting->retry,
		.alone = waiting->alone,
		.on_time_ms =
			(guint)((on_time_us + AUB_PLACE_MS - 1) / AUB_PLACE_MS),
		.avoid = (const char *const *)waiting->avoid->pdata,
		.avoid_count = waiting->avoid->len,
	};
}

static bool waiting_grant(struct aub_placement *placement, gint i,
			  gint64 now_us, struct aub_decision *decision)
{
	struct aub_waiting *waiting;
	struct aub_ask ask;
	guint slots;
	gint index;

	if (i < 0)
		return false;
	waiting = g_ptr_array_index(placement->waiting, (guint)i);
	ask_of(waiting, now_us, &ask);
	index = aub_placement_choose(placement, &ask, now_us, &slots);
	if (index < 0)
		return false;
	*decision = (struct aub_decision){
		.ticket = ask.ticket,
		.holder = ask.holder,
	};
	grant(placement, (guint)index, &ask, now_us, decision);
	g_ptr_array_remove_index(placement->waiting, (guint)i);
	return true;
}

/* The first whose patience has ended is told to come back. */
static bool waiting_expire(struct aub_placement *placement, gint64 now_us,
			   struct aub_decision *decision)
{
	for (guint i = 0; i < placement->waiting->len; i++) {
		struct aub_waiting *waiting =
			g_ptr_array_index(placement->waiting, i);
		struct aub_ask ask;
		guint slots;

		if (waiting->until_us > now_us)
			continue;
		ask_of(waiting, now_us, &ask);
		*decision = (struct aub_decision){
			.ticket = ask.ticket,
			.holder = ask.holder,
		};
		(void)aub_placement_choose(placement, &ask, now_us, &slots);
		if (slots)
			refuse(placement, decision, AUB_VERDICT_OVERLOAD,
			       wait_ms(placement, placement->waiting->len,
				       slots));
		else
			refuse(placement, decision, AUB_VERDICT_NO_UPSTREAM,
			       NO_UPSTREAM_MS);
		g_ptr_array_remove_index(placement->waiting, i);
		return true;
	}
	return false;
}

bool aub_placement_next(struct aub_placement *placement, gint64 now_us,
			struct aub_decision *decision)
{
	struct line line;

	line_find(placement, false, now_us, &line);
	if (line.stale && waiting_grant(placement, line.last, now_us, decision))
		return true;
	if (waiting_grant(placement, line.first, now_us, decision))
		return true;
	line_find(placement, true, now_us, &line);
	if (waiting_grant(placement, line.first, now_us, decision))
		return true;
	return waiting_expire(placement, now_us, decision);
}

guint aub_placement_queued(const struct aub_placement *placement)
{
	return placement->waiting->len;
}

/*
 * Grants, the queue of those that found no slot, and refusals.
 */
#include <auburnstile/internal/placement_parts.h>

#include <math.h>
#include <string.h>

/* Before a report has come: a usual time of work at these upstreams. */
#define HELD_DEFAULT_US (250 * AUB_PLACE_MS)
#define SMOOTHING 0.05 /* a mean over some twenty requests */

#define RETRY_AFTER_LEAST_MS 700
#define RETRY_AFTER_MOST_MS 5000
#define NO_UPSTREAM_MS 500 /* probes go out five times a second */

/* An upstream that says it is full is believed for about a slot's time. */
#define FULL_US (50 * AUB_PLACE_MS)

/* A grant younger than this may not yet be in its holder's list. */
#define HELD_GRACE_US (1200 * AUB_PLACE_MS)

/* Of the time in which it can still be on time: then the newest goes first. */
#define NEWEST_FIRST_SHARE 0.3

#define SLOWNESS_SMOOTHING 0.2
#define SLOWNESS_MOST 8.0

/*
 * Share of its limit that a cold upstream is given: two placers that do not
 * know of each other then stay below one and a half times it.
 */
#define COLD_SHARE 0.75
#define COLD_LEAST_PER_S 0.1 /* where the configuration names none */

double aub_placement_cold_per_s(const struct aub_placement *placement)
{
	return MAX(placement->warmup_per_s * COLD_SHARE, COLD_LEAST_PER_S);
}

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

static void grant(struct aub_placement *placement, guint index,
		  const struct aub_ask *ask, gint64 now_us,
		  struct aub_decision *decision)
{
	struct aub_row *row = aub_placement_row(placement, index);
	struct aub_grant *made = g_new0(struct aub_grant, 1);

	made->ticket = ask->ticket;
	made->holder = ask->holder;
	made->row = index;
	made->running = row->granted + 1;
	made->slowdown = aub_row_disturbance(placement, row, now_us);
	made->target_ms = ask->target_ms;
	made->since_us = now_us;
	g_hash_table_replace(placement->grants, &made->ticket, made);
	row->granted++;
	if (aub_row_is_cold(row, now_us)) {
		placement->cold_grants++;
		row->next_cold_us =
			now_us +
			(gint64)(1e6 / aub_placement_cold_per_s(placement));
	}
	decision->verdict = AUB_VERDICT_GRANTED;
	decision->upstream = row->id;
	decision->address = row->address;
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
	waiting->alone = ask->alone;
	waiting->since_us = now_us;
	waiting->on_time_us = now_us + ask->on_time_ms * AUB_PLACE_MS;
	waiting->until_us = now_us + ask->patience_ms * AUB_PLACE_MS;
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
		double used = used_up(waiting, now_us);

		if ((waiting->on_time_us <= now_us) != late)
			continue;
		if (line->first >= 0 && waiting->priority != priority)
			break;
		priority = waiting->priority;
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
	for (guint i = 0; i < placement->waiting->len; i++) {
		const struct aub_waiting *waiting =
			g_ptr_array_index(placement->waiting, i);

		if (waiting->ticket == ask->ticket) {
			decision->verdict = AUB_VERDICT_QUEUED;
			return true;
		}
	}
	return false;
}

/* A probe is under way that may find an upstream for those who wait. */
static bool is_any_unknown(const struct aub_placement *placement)
{
	for (guint i = 0; i < placement->rows->len; i++) {
		const struct aub_row *row = aub_placement_row(placement, i);

		if (row->registered && !row->draining && !row->zone_out &&
		    row->state == AUB_ROW_UNKNOWN)
			return true;
	}
	return false;
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
		refuse(placement, decision, AUB_VERDICT_NO_BUDGET,
		       NO_UPSTREAM_MS);
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
	if (slots && wait_ms(placement, ahead, slots) > ask->patience_ms) {
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
		.alone = waiting->alone,
		.on_time_ms =
			(guint)((on_time_us + AUB_PLACE_MS - 1) / AUB_PLACE_MS),
		.waited_ms =
			(guint)((now_us - waiting->since_us) / AUB_PLACE_MS),
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

static bool waiting_remove(struct aub_placement *placement, guint64 ticket)
{
	for (guint i = 0; i < placement->waiting->len; i++) {
		const struct aub_waiting *waiting =
			g_ptr_array_index(placement->waiting, i);

		if (waiting->ticket != ticket)
			continue;
		g_ptr_array_remove_index(placement->waiting, i);
		return true;
	}
	return false;
}

/*
 * What an answer's time says of its kind of work, of how full the upstream
 * was, and of the upstream itself: each with what the others explain divided
 * out.
 */
static void learn_time(struct aub_placement *placement, struct aub_row *row,
		       const struct aub_grant *made, gint64 elapsed_us,
		       gint64 now_us)
{
	double usual_ms =
		aub_work_times_usual(&placement->work, made->target_ms);
	double full =
		aub_knee_factor(&placement->knee, made->running, row->slots);
	double ms = (double)elapsed_us / AUB_PLACE_MS / made->slowdown;
	double held = (double)(now_us - made->since_us);

	if (placement->held_us <= 0)
		placement->held_us = held;
	placement->held_us += (held - placement->held_us) * SMOOTHING;
	/*
	 * Failure: in a long overload all answers come from full upstreams.
	 * Symptom: what is slow there is taken for usual, and they are kept
	 * that full. Enough: the usual is learned where there is room.
	 */
	if (aub_knee_is_below(made->running, row->slots) ||
	    !aub_work_times_is_telling(&placement->work, made->target_ms))
		aub_work_times_observe(&placement->work, made->target_ms,
				       ms / full);
	if (!aub_work_times_is_telling(&placement->work, made->target_ms))
		return;
	aub_knee_observe(&placement->knee, made->running, row->slots,
			 ms / usual_ms / row->slowness);
	row->slowness +=
		(ms / usual_ms / full - row->slowness) * SLOWNESS_SMOOTHING;
	row->slowness = CLAMP(row->slowness, 0.5, SLOWNESS_MOST);
}

/* What an attempt's end says of the upstream. */
static void learn_end(struct aub_placement *placement, struct aub_row *row,
		      const struct aub_grant *made,
		      const struct aub_attempt_report *report, gint64 now_us)
{
	switch (report->end) {
	case AUB_END_OK:
		row->ok_us = now_us;
		aub_row_fail(row, 0.0, now_us);
		learn_time(placement, row, made, report->elapsed_us, now_us);
		break;
	case AUB_END_FAILED:
		aub_row_fail(row, 1.0, now_us);
		break;
	case AUB_END_REFUSED:
		aub_row_fail(row, 0.5, now_us);
		row->full_until_us = now_us + FULL_US;
		break;
	case AUB_END_TIMEOUT:
		aub_row_fail(row, 1.0, now_us);
		break;
	case AUB_END_MISPLACED:
	case AUB_END_UNREACHABLE:
	case AUB_END_LOST:
		aub_row_fail(row, 1.0, now_us);
		aub_row_down(row, now_us);
		break;
	case AUB_END_ABANDONED:
	case AUB_END_UNUSED:
		break;
	}
	aub_row_observe(placement, row, &report->load, now_us);
}

void aub_placement_report(struct aub_placement *placement,
			  const struct aub_attempt_report *report,
			  gint64 now_us)
{
	struct aub_grant *made =
		g_hash_table_lookup(placement->grants, &report->ticket);
	struct aub_row *row;

	if (!made) {
		waiting_remove(placement, report->ticket);
		return;
	}
	row = aub_placement_row(placement, made->row);
	row->granted--;
	learn_end(placement, row, made, report, now_us);
	g_hash_table_remove(placement->grants, &report->ticket);
}

static bool is_listed(const guint64 *tickets, guint count, guint64 ticket)
{
	for (guint i = 0; i < count; i++)
		if (tickets[i] == ticket)
			return true;
	return false;
}

void aub_placement_held(struct aub_placement *placement, guint64 holder,
			const guint64 *tickets, guint count, gint64 now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct aub_grant *made = value;

		if (made->holder != holder ||
		    now_us - made->since_us < HELD_GRACE_US ||
		    is_listed(tickets, count, made->ticket))
			continue;
		aub_placement_row(placement, made->row)->granted--;
		g_hash_table_iter_remove(&iter);
	}
}

void aub_placement_adopt(struct aub_placement *placement, guint64 holder,
			 guint64 ticket, const char *upstream, guint target_ms,
			 gint64 now_us)
{
	gint index = aub_placement_find(placement, upstream);
	struct aub_ask ask = {
		.ticket = ticket,
		.holder = holder,
		.target_ms = target_ms,
	};
	struct aub_decision decision;

	if (index < 0 || g_hash_table_contains(placement->grants, &ticket))
		return;
	grant(placement, (guint)index, &ask, now_us, &decision);
}

void aub_placement_forget(struct aub_placement *placement, guint64 holder,
			  gint64 now_us)
{
	guint i = 0;

	while (i < placement->waiting->len) {
		const struct aub_waiting *waiting =
			g_ptr_array_index(placement->waiting, i);

		if (waiting->holder == holder)
			g_ptr_array_remove_index(placement->waiting, i);
		else
			i++;
	}
	aub_placement_held(placement, holder, NULL, 0, now_us + HELD_GRACE_US);
}

/*
 * Grants from their making to their report, and what a report teaches.
 */
#include <auburnstile/internal/placement_parts.h>

#define SMOOTHING 0.05 /* a mean over some twenty requests */

/* An upstream that says it is full is taken to be for about a slot's time. */
#define FULL_US (50 * AUB_PLACE_MS)

/* A grant younger than this may not yet be in its holder's list. */
#define OUTSTANDING_GRACE_US (1200 * AUB_PLACE_MS)

#define SLOWNESS_SMOOTHING 0.1
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

void aub_placement_grant(struct aub_placement *placement, guint index,
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
	made->route = ask->route;
	made->cold = aub_row_is_cold(row, now_us);
	made->since_us = now_us;
	g_hash_table_replace(placement->grants, &made->ticket, made);
	row->granted++;
	if (made->cold) {
		placement->cold_grants++;
		row->next_cold_us =
			now_us +
			(gint64)(1e6 / aub_placement_cold_per_s(placement));
	}
	decision->verdict = AUB_VERDICT_GRANTED;
	decision->upstream = row->id;
	decision->address = row->address;
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
		gint index = aub_waiting_find(placement, report->ticket);

		if (index >= 0)
			g_ptr_array_remove_index(placement->waiting,
						 (guint)index);
		return;
	}
	row = aub_placement_row(placement, made->row);
	row->granted--;
	learn_end(placement, row, made, report, now_us);
	aub_grant_judge(placement, row, made, report);
	g_hash_table_remove(placement->grants, &report->ticket);
}

static bool is_listed(const guint64 *tickets, guint count, guint64 ticket)
{
	for (guint i = 0; i < count; i++)
		if (tickets[i] == ticket)
			return true;
	return false;
}

void aub_placement_reconcile(struct aub_placement *placement, guint64 holder,
			     const guint64 *tickets, guint count, gint64 now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct aub_grant *made = value;

		if (made->holder != holder ||
		    now_us - made->since_us < OUTSTANDING_GRACE_US ||
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
	aub_placement_grant(placement, (guint)index, &ask, now_us, &decision);
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
	aub_placement_reconcile(placement, holder, NULL, 0,
				now_us + OUTSTANDING_GRACE_US);
}

/*
 * Cold starts: how many requests an upstream may have while it warms up.
 *
 * Unknown counts as cold until the first answer shows otherwise. A cold one
 * begins at `cold_slots` and grows with time and with good answers, never
 * while it says itself that it is cold; the first bad sign starts it anew.
 */
#include <auburnstile/internal/dispatch.h>

#define SLOW_FIRST_ANSWER 4 /* times the service's mean */
#define IDLE_DOUBT_US (1 * AUB_SECOND)

static guint cold_base(const struct upstream *upstream)
{
	return CLAMP(upstream->cold_slots, 1, upstream->slots);
}

static guint cold_grown(const struct aub_dispatcher *dispatcher,
			const struct upstream *upstream, gint64 now_us)
{
	guint base = cold_base(upstream);
	gint64 elapsed = now_us - upstream->cold_since_us;
	gint64 grown;

	if (upstream->says_cold || dispatcher->cold_us <= 0)
		return base;
	elapsed = MIN(elapsed, dispatcher->cold_us);
	grown = (gint64)(upstream->slots - base) * elapsed /
		dispatcher->cold_us;
	return base + (guint)MIN(grown, (gint64)upstream->cold_successes);
}

/*
 * Failure: an idle upstream restarts, and no connection is there to tell.
 * Symptom: the next swing falls on it in full, and it falls over.
 * Enough: after a silence it gets the cold share until one answer confirms.
 */
static bool idle_for_long(const struct upstream *upstream, gint64 now_us)
{
	gint64 heard = MAX(upstream->last_answer_us, upstream->last_probe_us);

	return now_us - heard > IDLE_DOUBT_US;
}

/* Requests at once that its warmth allows, whoever sends them. */
guint cold_allowed(const struct aub_dispatcher *dispatcher,
		   const struct upstream *upstream, gint64 now_us)
{
	switch (upstream->state) {
	case UPSTREAM_WARM:
		if (idle_for_long(upstream, now_us))
			return cold_base(upstream);
		return upstream->slots;
	case UPSTREAM_COLD:
		return cold_grown(dispatcher, upstream, now_us);
	default:
		if (upstream->vouched)
			return MAX(cold_base(upstream), upstream->slots / 2);
		return cold_base(upstream);
	}
}

void cold_begin(struct aub_dispatcher *dispatcher, struct upstream *upstream,
		gint64 now_us)
{
	if (upstream->state != UPSTREAM_COLD)
		dispatcher->counts.cold_turns++;
	upstream->state = UPSTREAM_COLD;
	upstream->vouched = false;
	upstream->cold_since_us = now_us;
	upstream->cold_successes = 0;
}

/* A connection was lost or refused: it may have started anew. */
void cold_doubt(struct upstream *upstream, gint64 now_us)
{
	upstream->vouched = false;
	if (upstream->state == UPSTREAM_WARM)
		upstream->state = UPSTREAM_UNKNOWN;
	upstream->cold_since_us = now_us;
	upstream->cold_successes = 0;
}

static void note_boot(struct aub_dispatcher *dispatcher,
		      struct upstream *upstream, guint64 boot_id, gint64 now_us)
{
	guint64 before = upstream->boot_id;

	if (!boot_id || boot_id == before)
		return;
	upstream->old_boot_id = before;
	upstream->boot_id = boot_id;
	if (!before)
		return;
	crash_note_death(dispatcher, upstream, now_us);
	upstream_open(upstream);
	cold_begin(dispatcher, upstream, now_us);
}

/* What an answer or a probe told of its state; `signs` may be NULL. */
void cold_note_signs(struct aub_dispatcher *dispatcher,
		     struct upstream *upstream,
		     const struct aub_upstream_signs *signs, gint64 now_us)
{
	if (!signs)
		return;
	if (!signs->boot_id && !signs->cold && !signs->draining)
		return;
	if (signs->boot_id && signs->boot_id == upstream->old_boot_id)
		return; /* a late word of the start before */
	note_boot(dispatcher, upstream, signs->boot_id, now_us);
	upstream->draining = signs->draining;
	upstream->says_cold = signs->cold;
	if (signs->cold && upstream->state != UPSTREAM_COLD)
		cold_begin(dispatcher, upstream, now_us);
}

/* A good answer came after `took_us`. */
void cold_note_answer(struct aub_dispatcher *dispatcher,
		      struct upstream *upstream, gint64 took_us, gint64 now_us)
{
	bool slow = dispatcher->mean_us &&
		    took_us > SLOW_FIRST_ANSWER * dispatcher->mean_us;

	if (upstream->state == UPSTREAM_UNKNOWN && slow) {
		cold_begin(dispatcher, upstream, now_us);
		return;
	}
	if (upstream->state == UPSTREAM_UNKNOWN)
		upstream->state = UPSTREAM_WARM;
	if (upstream->state != UPSTREAM_COLD)
		return;
	if (slow && upstream->cold_successes) {
		cold_begin(dispatcher, upstream, now_us);
		return;
	}
	upstream->cold_successes++;
	if (upstream->says_cold)
		return;
	if (now_us - upstream->cold_since_us >= dispatcher->cold_us)
		upstream->state = UPSTREAM_WARM;
}

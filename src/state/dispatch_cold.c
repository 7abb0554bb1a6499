/*
 * Cold starts: how many requests an upstream may have while it warms up.
 *
 * Unknown counts as cold until the first answer shows otherwise. A cold one
 * has `cold_slots` until `cold_ms` are over or its own word goes from cold to
 * warm, then one more with each good answer; the first bad sign starts it
 * anew. A word of "warm" alone, just after a start, is not believed.
 */
#include <auburnstile/internal/dispatch.h>

#define SLOW_FIRST_ANSWER 4 /* times the service's mean */
#define MEAN_ANSWERS 64 /* before which the mean says little */
#define IDLE_DOUBT_US (1 * AUB_SECOND)

static guint cold_base(const struct upstream *upstream)
{
	return CLAMP(upstream->cold_slots, 1, upstream->slots);
}

static guint cold_grown(const struct upstream *upstream)
{
	guint grown = cold_base(upstream) + upstream->cold_successes;

	return MIN(grown, upstream->slots);
}

/*
 * Failure: an idle upstream restarts, and no connection is there to tell.
 * Symptom: the next swing falls on it in full, and it falls over.
 * Enough: after a silence it gets the cold share until one answer confirms.
 */
bool cold_stale(const struct upstream *upstream, gint64 now_us)
{
	gint64 heard = MAX(upstream->last_answer_us, upstream->last_probe_us);

	return now_us - heard > IDLE_DOUBT_US;
}

/* Requests at once that its warmth allows, whoever sends them. */
guint cold_allowed(const struct upstream *upstream, gint64 now_us)
{
	switch (upstream->state) {
	case UPSTREAM_WARM:
		if (cold_stale(upstream, now_us))
			return cold_base(upstream);
		return upstream->slots;
	case UPSTREAM_COLD:
		return cold_grown(upstream);
	default:
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
	upstream->says_cold = false;
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
	if (signs->cold && upstream->state != UPSTREAM_COLD)
		cold_begin(dispatcher, upstream, now_us);
	if (upstream->says_cold && !signs->cold)
		upstream->cold_since_us = now_us - dispatcher->cold_us;
	upstream->says_cold = signs->cold;
}

/* A good answer came after `took_us`. */
void cold_note_answer(struct aub_dispatcher *dispatcher,
		      struct upstream *upstream, gint64 took_us, gint64 now_us)
{
	bool slow = dispatcher->answers >= MEAN_ANSWERS &&
		    took_us > SLOW_FIRST_ANSWER * dispatcher->mean_us;

	if (upstream->state == UPSTREAM_UNKNOWN && slow)
		return; /* perhaps cold, and doesn't say so */
	if (upstream->state == UPSTREAM_UNKNOWN)
		upstream->state = UPSTREAM_WARM;
	if (upstream->state != UPSTREAM_COLD)
		return;
	if (slow && upstream->cold_successes) {
		cold_begin(dispatcher, upstream, now_us);
		return;
	}
	if (upstream->says_cold ||
	    now_us - upstream->cold_since_us < dispatcher->cold_us)
		return;
	upstream->cold_successes++;
	if (cold_grown(upstream) == upstream->slots)
		upstream->state = UPSTREAM_WARM;
}

guint aub_dispatcher_knowledge(const struct aub_dispatcher *dispatcher,
			       struct aub_upstream_knowledge *list, guint limit,
			       gint64 now_us)
{
	guint count = 0;

	for (guint i = 0; i < dispatcher->upstreams->len; i++) {
		const struct upstream *u = upstream_at(dispatcher, i);
		gint64 heard = MAX(u->last_answer_us, u->last_probe_us);
		gint64 age_ms = (now_us - heard) / AUB_MS;

		if (count == limit)
			break;
		if (u->state == UPSTREAM_UNKNOWN || !u->takes_new)
			continue;
		list[count++] = (struct aub_upstream_knowledge){
			.name = u->name,
			.boot_id = u->boot_id,
			.cold = u->state == UPSTREAM_COLD,
			.draining = u->draining,
			.age_ms = (guint32)CLAMP(age_ms, 0, G_MAXUINT32),
			.mean_us = (guint32)CLAMP(u->mean_us, 0, G_MAXUINT32),
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
 * Failure: an owner dies, and its successor knows no upstream as warm.
 * Symptom: callers wait for seconds while the fleet is probed or trickled.
 * Enough: the stand-by has heard of each within a second, and the first
 * answer, with its boot id, corrects what changed since.
 */
void aub_dispatcher_learn(struct aub_dispatcher *dispatcher,
			  const struct aub_upstream_knowledge *known,
			  gint64 now_us)
{
	struct upstream *u = find_by_name(dispatcher, known->name);

	if (!u || dispatcher->role != AUB_DISPATCH_NONE)
		return;
	if (known->boot_id && known->boot_id != u->boot_id) {
		u->old_boot_id = u->boot_id;
		u->boot_id = known->boot_id;
	}
	u->draining = known->draining;
	u->last_answer_us = now_us - (gint64)known->age_ms * AUB_MS;
	u->mean_us = known->mean_us;
	if (!dispatcher->answers)
		dispatcher->mean_us = known->mean_us;
	if (known->cold && u->state != UPSTREAM_COLD)
		cold_begin(dispatcher, u, now_us);
	else if (!known->cold)
		u->state = UPSTREAM_WARM;
}

/* The state of a gateway's own links to the upstreams; see egress.h. */
#include <auburnstile/internal/egress.h>

#include <auburnstile/timer.h>

/* Answers of all upstreams together are rarely further apart than this. */
#define SILENCE_US (250 * AUB_MS)
/* Between checks for silence alone: long requests are silent too. */
#define SILENCE_ROUND_INTERVAL_US (1000 * AUB_MS)
/* Between checks after failures. */
#define FAILURE_ROUND_INTERVAL_US (50 * AUB_MS)
#define DOWN_ROUND_INTERVAL_US (200 * AUB_MS)
/* Between checks of one upstream that alone is not reached. */
#define RECHECK_INTERVAL_US (1000 * AUB_MS)
/* An upstream that is gone answers no check any more. */
#define FAILURE_RETENTION_US (30 * AUB_SECOND)
/* While down, a check that was answered counts for so long. */
#define REACHED_VALID_US (1000 * AUB_MS)

#define CHECKS_FIRST 1
/* A lost packet fails one check; that it fails all of them is unlikely. */
#define CHECKS_SUSPECT 3
#define CHECKS_DOWN 2
/* Failures at so many upstreams since the last answer are no coincidence. */
#define FAILURES_SUSPECT 2

struct egress_failure {
	gint64 at_us;
	gint64 confirmed_us; /* by a check of this upstream alone */
	gint64 recheck_us;
	bool unreachable; /* else an open connection was reset */
};

void aub_egress_init(struct aub_egress *egress)
{
	*egress = (struct aub_egress){
		.failed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						g_free),
		.reached = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, g_free),
	};
}

void aub_egress_clear(struct aub_egress *egress)
{
	g_hash_table_unref(egress->failed);
	g_hash_table_unref(egress->reached);
}

static void set_state(struct aub_egress *egress, enum aub_egress_state state,
		      gint64 now_us)
{
	if (egress->state == state)
		return;
	/* What failed while all did says nothing of single upstreams. */
	if (egress->state == AUB_EGRESS_DOWN)
		g_hash_table_remove_all(egress->failed);
	egress->state = state;
	egress->next_round_us = now_us;
	g_hash_table_remove_all(egress->reached);
}

void aub_egress_on_sent(struct aub_egress *egress, gint64 now_us)
{
	if (!egress->outstanding++)
		egress->silent_since_us = now_us;
}

void aub_egress_on_ended(struct aub_egress *egress)
{
	g_assert(egress->outstanding);
	if (!--egress->outstanding)
		egress->silent_since_us = 0;
}

void aub_egress_on_answer(struct aub_egress *egress, gint64 now_us)
{
	egress->heard_us = now_us;
	if (egress->outstanding)
		egress->silent_since_us = now_us;
}

void aub_egress_on_failure(struct aub_egress *egress, const char *upstream,
			   enum aub_egress_failure failure, gint64 now_us)
{
	struct egress_failure *known =
		g_hash_table_lookup(egress->failed, upstream);

	if (!known) {
		known = g_new0(struct egress_failure, 1);
		g_hash_table_insert(egress->failed, g_strdup(upstream), known);
	}
	known->at_us = now_us;
	known->recheck_us = now_us + RECHECK_INTERVAL_US;
	if (failure == AUB_EGRESS_UNREACHABLE)
		known->unreachable = true;
}

/* Returns the number of upstreams that failed since the last answer. */
static guint failures_since_answer(const struct aub_egress *egress)
{
	GHashTableIter iter;
	void *value;
	guint count = 0;

	g_hash_table_iter_init(&iter, egress->failed);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((struct egress_failure *)value)->at_us >
			 egress->heard_us;
	return count;
}

bool aub_egress_is_in_doubt(const struct aub_egress *egress)
{
	return egress->state != AUB_EGRESS_UP || egress->round_open ||
	       failures_since_answer(egress) > 0;
}

bool aub_egress_is_silent(const struct aub_egress *egress, gint64 now_us)
{
	return egress->outstanding &&
	       now_us - egress->silent_since_us >= SILENCE_US;
}

guint aub_egress_checks_due(struct aub_egress *egress, gint64 now_us)
{
	guint failures;

	if (egress->round_open || now_us < egress->next_round_us)
		return 0;
	if (egress->state == AUB_EGRESS_DOWN)
		return CHECKS_DOWN;
	if (egress->state == AUB_EGRESS_SUSPECT)
		return CHECKS_SUSPECT;
	failures = failures_since_answer(egress);
	if (failures >= FAILURES_SUSPECT) {
		set_state(egress, AUB_EGRESS_SUSPECT, now_us);
		return CHECKS_SUSPECT;
	}
	return failures || aub_egress_is_silent(egress, now_us) ? CHECKS_FIRST :
								  0;
}

static gint64 next_round_due_us(const struct aub_egress *egress)
{
	if (egress->round_open)
		return G_MAXINT64;
	if (egress->state != AUB_EGRESS_UP || failures_since_answer(egress))
		return egress->next_round_us;
	if (!egress->outstanding)
		return G_MAXINT64;
	return MAX(egress->silent_since_us + SILENCE_US, egress->next_round_us);
}

gint64 aub_egress_next_due_us(const struct aub_egress *egress)
{
	gint64 due_us = next_round_due_us(egress);
	GHashTableIter iter;
	void *value;

	if (egress->state != AUB_EGRESS_UP)
		return due_us;
	g_hash_table_iter_init(&iter, egress->failed);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		due_us = MIN(due_us,
			     ((struct egress_failure *)value)->recheck_us);
	return due_us;
}

static gint64 round_interval_us(const struct aub_egress *egress)
{
	if (egress->state == AUB_EGRESS_DOWN)
		return DOWN_ROUND_INTERVAL_US;
	return failures_since_answer(egress) ? FAILURE_ROUND_INTERVAL_US :
					       SILENCE_ROUND_INTERVAL_US;
}

/* Draws the conclusion from a round of checks. */
static void end_round(struct aub_egress *egress, gint64 now_us)
{
	bool answered = egress->round_answered > 0;

	/* Then the checks that failed are explained by single upstreams. */
	if (answered)
		egress->heard_us = now_us;
	switch (egress->state) {
	case AUB_EGRESS_UP:
		if (!answered && egress->round_size)
			set_state(egress, AUB_EGRESS_SUSPECT, now_us);
		break;
	case AUB_EGRESS_SUSPECT:
		set_state(egress, answered ? AUB_EGRESS_UP : AUB_EGRESS_DOWN,
			  now_us);
		break;
	case AUB_EGRESS_DOWN:
		/* One upstream may answer while the others are cut off. */
		if (answered && egress->round_answered == egress->round_size)
			set_state(egress, AUB_EGRESS_UP, now_us);
		break;
	}
}

void aub_egress_begin_round(struct aub_egress *egress, guint started,
			    gint64 now_us)
{
	egress->next_round_us = now_us + round_interval_us(egress);
	egress->round_size = started;
	egress->round_open = started;
	egress->round_answered = 0;
	if (!started && egress->state == AUB_EGRESS_SUSPECT)
		end_round(egress, now_us);
}

/* That one upstream is still not reached says nothing of the others. */
static void confirm_failure(struct aub_egress *egress, const char *upstream,
			    gint64 now_us)
{
	struct egress_failure *known =
		g_hash_table_lookup(egress->failed, upstream);

	if (known)
		known->confirmed_us = now_us;
}

void aub_egress_on_check_ended(struct aub_egress *egress, const char *upstream,
			       bool answered, bool in_round, gint64 now_us)
{
	if (answered) {
		aub_egress_on_answer(egress, now_us);
		g_hash_table_remove(egress->failed, upstream);
		if (egress->state == AUB_EGRESS_DOWN)
			g_hash_table_replace(egress->reached,
					     g_strdup(upstream),
					     g_memdup2(&now_us,
						       sizeof(now_us)));
	} else if (in_round) {
		aub_egress_on_failure(egress, upstream, AUB_EGRESS_UNREACHABLE,
				      now_us);
	} else {
		confirm_failure(egress, upstream, now_us);
	}
	if (!in_round)
		return;
	g_assert(egress->round_open);
	egress->round_answered += answered;
	if (!--egress->round_open)
		end_round(egress, now_us);
}

const char *aub_egress_recheck_due(struct aub_egress *egress, gint64 now_us)
{
	GHashTableIter iter;
	void *id;
	void *value;

	if (egress->state != AUB_EGRESS_UP)
		return NULL;
	g_hash_table_iter_init(&iter, egress->failed);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		struct egress_failure *failure = value;

		if (failure->recheck_us > now_us)
			continue;
		if (!failure->unreachable ||
		    now_us - MAX(failure->at_us, failure->confirmed_us) >
			    FAILURE_RETENTION_US) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		failure->recheck_us = now_us + RECHECK_INTERVAL_US;
		return id;
	}
	return NULL;
}

bool aub_egress_needs_relay(const struct aub_egress *egress,
			    const char *upstream, gint64 now_us)
{
	const struct egress_failure *failure;
	const gint64 *reached_us;

	if (egress->state == AUB_EGRESS_SUSPECT)
		return true;
	if (egress->state == AUB_EGRESS_DOWN) {
		reached_us = g_hash_table_lookup(egress->reached, upstream);
		return !reached_us || now_us - *reached_us > REACHED_VALID_US;
	}
	failure = g_hash_table_lookup(egress->failed, upstream);
	return failure && failure->unreachable;
}

const char *aub_egress_state_name(enum aub_egress_state state)
{
	static const char *const names[] = {
		[AUB_EGRESS_UP] = "up",
		[AUB_EGRESS_SUSPECT] = "suspect",
		[AUB_EGRESS_DOWN] = "down",
	};

	return names[state];
}

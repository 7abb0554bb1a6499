/*
 * Detects requests that crash every upstream that runs them.
 *
 * A lost connection with an attempt on it is a suspicion. It is confirmed as a
 * crash when the upstream refuses connections or reports another boot id, and
 * dropped when the same start of the upstream answers again. A request with two
 * marks (crashes or fresh suspicions) is refused. A request that was answered
 * recently is not suspected, since a request that merely ran concurrently with
 * the crashing one is answered elsewhere.
 */
#include <auburnstile/internal/dispatch_internal.h>

#define SUSPICION_US (2 * AUB_SECOND) /* while it is not confirmed */
#define CONFIRMATION_WINDOW_US (30 * AUB_SECOND) /* after the lost attempt */
#define REFUSAL_BASE_US (30 * AUB_SECOND) /* doubles with further crashes */
#define REFUSAL_MAX_US (3600 * AUB_SECOND)
#define CRASH_FINGERPRINTS_MAX 1024
#define KNOWN_GOOD_FINGERPRINTS_MAX 4096
#define KNOWN_GOOD_MAX_AGE_US (60 * AUB_SECOND)

struct crash {
	guint64 fingerprint;
	guint32 crash_count;
	gint64 last_us;
};

struct known_good {
	guint64 fingerprint;
	gint64 at_us;
};

struct crash_table {
	GHashTable *crashes; /* fingerprint -> struct crash, owned */
	GHashTable *known_good; /* fingerprint -> element of known_good_ring */
	struct known_good known_good_ring[KNOWN_GOOD_FINGERPRINTS_MAX];
	guint ring_next;
};

struct crash_table *crash_table_new(void)
{
	struct crash_table *table = g_new0(struct crash_table, 1);

	table->crashes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	table->known_good = g_hash_table_new(g_int64_hash, g_int64_equal);
	return table;
}

void crash_table_free(struct crash_table *table)
{
	g_hash_table_unref(table->crashes);
	g_hash_table_unref(table->known_good);
	g_free(table);
}

static gint64 crash_refusal_us(const struct crash *crash)
{
	guint doublings =
		crash->crash_count > AUB_REFUSED_AFTER_CRASHES ?
			crash->crash_count - AUB_REFUSED_AFTER_CRASHES :
			0;

	return MIN(REFUSAL_BASE_US << MIN(doublings, 10), REFUSAL_MAX_US);
}

static guint fresh_suspicions(const struct aub_dispatcher *dispatcher,
			      guint64 fingerprint, gint64 now_us)
{
	guint marks = 0;

	for (guint i = 0; i < dispatcher->upstreams->len; i++) {
		const struct upstream *upstream = upstream_at(dispatcher, i);

		for (guint n = 0; n < upstream->lost_attempts->len; n++) {
			const struct lost_attempt *lost =
				&g_array_index(upstream->lost_attempts,
					       struct lost_attempt, n);

			if (lost->fingerprint == fingerprint &&
			    now_us - lost->at_us < SUSPICION_US) {
				marks++;
				break;
			}
		}
	}
	return marks;
}

/*
 * Returns the number of upstreams that crashed, or are suspected to have
 * crashed, while running this request.
 */
guint crash_mark_count(const struct aub_dispatcher *dispatcher,
		       guint64 fingerprint, gint64 now_us)
{
	const struct crash *crash;
	guint marks;

	if (!fingerprint)
		return 0;
	marks = fresh_suspicions(dispatcher, fingerprint, now_us);
	crash = g_hash_table_lookup(dispatcher->crashes->crashes, &fingerprint);
	if (crash && now_us - crash->last_us < crash_refusal_us(crash))
		marks += crash->crash_count;
	return marks;
}

/*
 * Returns true if the request has to be refused. A request that crashes every
 * upstream would otherwise take down the whole service by its retries. It is
 * refused after two crashes, and tried again only after long intervals.
 */
bool crash_must_refuse(const struct aub_dispatcher *dispatcher,
		       guint64 fingerprint, gint64 now_us)
{
	return crash_mark_count(dispatcher, fingerprint, now_us) >=
	       AUB_REFUSED_AFTER_CRASHES;
}

static bool is_known_good(const struct crash_table *table, guint64 fingerprint,
			  gint64 now_us)
{
	const struct known_good *known =
		g_hash_table_lookup(table->known_good, &fingerprint);

	return known && now_us - known->at_us < KNOWN_GOOD_MAX_AGE_US;
}

/* Removes a request from the known good ones until it is answered again. */
static void known_good_remove(struct crash_table *table, guint64 fingerprint)
{
	g_hash_table_remove(table->known_good, &fingerprint);
}

void crash_on_connection_lost(struct aub_dispatcher *dispatcher,
			      struct upstream *upstream, guint64 fingerprint,
			      gint64 now_us)
{
	struct lost_attempt lost = { fingerprint, now_us };

	if (!fingerprint)
		return;
	if (is_known_good(dispatcher->crashes, fingerprint, now_us)) {
		known_good_remove(dispatcher->crashes, fingerprint);
		return;
	}
	g_array_append_val(upstream->lost_attempts, lost);
}

static void expire_crashes(struct crash_table *table, gint64 now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->crashes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct crash *crash = value;

		if (now_us - crash->last_us > 4 * crash_refusal_us(crash))
			g_hash_table_iter_remove(&iter);
	}
}

static struct crash *crash_find(struct crash_table *table, guint64 fingerprint,
				gint64 now_us)
{
	struct crash *crash = g_hash_table_lookup(table->crashes, &fingerprint);

	if (crash)
		return crash;
	expire_crashes(table, now_us);
	if (g_hash_table_size(table->crashes) >= CRASH_FINGERPRINTS_MAX)
		return NULL;
	crash = g_new0(struct crash, 1);
	crash->fingerprint = fingerprint;
	crash->last_us = now_us;
	g_hash_table_insert(table->crashes, &crash->fingerprint, crash);
	return crash;
}

static bool occurs_before(const GArray *lost, guint n)
{
	guint64 fingerprint =
		g_array_index(lost, struct lost_attempt, n).fingerprint;

	for (guint i = 0; i < n; i++)
		if (g_array_index(lost, struct lost_attempt, i).fingerprint ==
		    fingerprint)
			return true;
	return false;
}

/*
 * Handles a crash of the upstream: each request whose connection was lost on it
 * shortly before is charged with one crash.
 */
void crash_on_upstream_crash(struct aub_dispatcher *dispatcher,
			     struct upstream *upstream, gint64 now_us)
{
	if (!upstream->lost_attempts->len)
		return;
	dispatcher->counts.crash_count++;
	for (guint i = 0; i < upstream->lost_attempts->len; i++) {
		const struct lost_attempt *lost =
			&g_array_index(upstream->lost_attempts,
				       struct lost_attempt, i);
		struct crash *crash;

		if (now_us - lost->at_us > CONFIRMATION_WINDOW_US ||
		    occurs_before(upstream->lost_attempts, i))
			continue;
		crash = crash_find(dispatcher->crashes, lost->fingerprint,
				   now_us);
		if (!crash)
			continue;
		crash->crash_count++;
		crash->last_us = now_us;
	}
	g_array_set_size(upstream->lost_attempts, 0);
}

/*
 * Drops the suspicions up to `sent_us`: the same start of the upstream answered
 * a request sent then, so it did not crash.
 */
void crash_on_upstream_alive(struct upstream *upstream, gint64 sent_us)
{
	for (guint i = upstream->lost_attempts->len; i > 0; i--) {
		const struct lost_attempt *lost =
			&g_array_index(upstream->lost_attempts,
				       struct lost_attempt, i - 1);

		if (lost->at_us <= sent_us)
			g_array_remove_index_fast(upstream->lost_attempts,
						  i - 1);
	}
}

void crash_on_request_answered(struct aub_dispatcher *dispatcher,
			       guint64 fingerprint, gint64 now_us)
{
	struct crash_table *table = dispatcher->crashes;
	struct known_good *known;

	if (!fingerprint)
		return;
	if (g_hash_table_size(table->crashes))
		g_hash_table_remove(table->crashes, &fingerprint);
	known = g_hash_table_lookup(table->known_good, &fingerprint);
	if (!known) {
		known = &table->known_good_ring[table->ring_next];
		table->ring_next =
			(table->ring_next + 1) % KNOWN_GOOD_FINGERPRINTS_MAX;
		if (g_hash_table_lookup(table->known_good,
					&known->fingerprint) == known)
			g_hash_table_remove(table->known_good,
					    &known->fingerprint);
		known->fingerprint = fingerprint;
		g_hash_table_insert(table->known_good, &known->fingerprint,
				    known);
	}
	known->at_us = now_us;
}

guint aub_dispatcher_export_crash_marks(const struct aub_dispatcher *dispatcher,
					struct aub_crash_mark *list,
					guint limit, gint64 now_us)
{
	GHashTableIter iter;
	gpointer value;
	guint count = 0;

	g_hash_table_iter_init(&iter, dispatcher->crashes->crashes);
	while (count < limit && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct crash *crash = value;
		gint64 age_ms = (now_us - crash->last_us) / AUB_MS;

		list[count++] = (struct aub_crash_mark){
			.fingerprint = crash->fingerprint,
			.crash_count = crash->crash_count,
			.age_ms = (guint32)CLAMP(age_ms, 0, G_MAXUINT32),
		};
	}
	return count;
}

void aub_dispatcher_import_crash_mark(struct aub_dispatcher *dispatcher,
				      const struct aub_crash_mark *mark,
				      gint64 now_us)
{
	gint64 last_us = now_us - (gint64)mark->age_ms * AUB_MS;
	struct crash *crash;

	if (!mark->fingerprint)
		return;
	crash = crash_find(dispatcher->crashes, mark->fingerprint, now_us);
	if (!crash)
		return;
	crash->last_us =
		crash->crash_count ? MAX(crash->last_us, last_us) : last_us;
	crash->crash_count = MAX(crash->crash_count, mark->crash_count);
}

/*
 * Marks of requests that upstreams died under: a small table that forgets.
 */
#include <auburnstile/internal/crash_marks.h>

#include <string.h>

/*
 * Lost answers have many causes; three in a row, without one answer, have
 * one. It is the number of upstreams that a crashing request may take down.
 */
#define DEATHS_MOST 3
#define FORGET_US (60 * G_GINT64_CONSTANT(1000000)) /* since the last death */
#define MARKS_MOST 4096 /* at a loss a millisecond, four seconds of them */

struct mark {
	guint64 fingerprint;
	guint deaths;
	gint64 last_us;
};

struct aub_crash_marks {
	GHashTable *marks; /* &fingerprint -> struct mark */
};

struct aub_crash_marks *aub_crash_marks_new(void)
{
	struct aub_crash_marks *marks = g_new0(struct aub_crash_marks, 1);

	marks->marks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	return marks;
}

void aub_crash_marks_free(struct aub_crash_marks *marks)
{
	if (!marks)
		return;
	g_hash_table_unref(marks->marks);
	g_free(marks);
}

guint64 aub_crash_fingerprint(const char *line, const char *host,
			      const guint8 *body, gsize length)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[32];
	gsize size = sizeof(digest);
	guint64 fingerprint;

	/* With their NULs, so that no two pairs run together. */
	g_checksum_update(checksum, (const guchar *)line,
			  (gssize)strlen(line) + 1);
	g_checksum_update(checksum, (const guchar *)host,
			  (gssize)strlen(host) + 1);
	g_checksum_update(checksum, body, (gssize)length);
	g_checksum_get_digest(checksum, digest, &size);
	g_checksum_free(checksum);
	memcpy(&fingerprint, digest, sizeof(fingerprint));
	return fingerprint ? fingerprint : 1;
}

static gboolean is_old(void *key, void *value, void *context)
{
	gint64 now_us = *(gint64 *)context;

	return now_us - ((struct mark *)value)->last_us > FORGET_US;
}

static struct mark *mark_get(struct aub_crash_marks *marks, guint64 fingerprint,
			     gint64 now_us)
{
	struct mark *mark = g_hash_table_lookup(marks->marks, &fingerprint);

	if (mark) {
		if (is_old(NULL, mark, &now_us))
			mark->deaths = 0;
		return mark;
	}
	if (g_hash_table_size(marks->marks) >= MARKS_MOST)
		g_hash_table_foreach_remove(marks->marks, is_old, &now_us);
	if (g_hash_table_size(marks->marks) >= MARKS_MOST)
		return NULL;
	mark = g_new0(struct mark, 1);
	mark->fingerprint = fingerprint;
	g_hash_table_insert(marks->marks, &mark->fingerprint, mark);
	return mark;
}

guint aub_crash_marks_lost(struct aub_crash_marks *marks, guint64 fingerprint,
			   gint64 now_us)
{
	struct mark *mark = mark_get(marks, fingerprint, now_us);

	if (!mark)
		return 0;
	mark->last_us = now_us;
	return ++mark->deaths;
}

void aub_crash_marks_learn(struct aub_crash_marks *marks, guint64 fingerprint,
			   guint deaths, gint64 now_us)
{
	struct mark *mark = mark_get(marks, fingerprint, now_us);

	if (!mark)
		return;
	mark->last_us = now_us;
	mark->deaths = MAX(mark->deaths, deaths);
}

void aub_crash_marks_answered(struct aub_crash_marks *marks,
			      guint64 fingerprint)
{
	g_hash_table_remove(marks->marks, &fingerprint);
}

bool aub_crash_marks_refuse(const struct aub_crash_marks *marks,
			    guint64 fingerprint, gint64 now_us)
{
	const struct mark *mark =
		g_hash_table_lookup(marks->marks, &fingerprint);

	return mark && mark->deaths >= DEATHS_MOST &&
	       now_us - mark->last_us <= FORGET_US;
}

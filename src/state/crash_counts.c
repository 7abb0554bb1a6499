/*
 * A bounded hash table of loss counts by request fingerprint. A count expires a
 * minute after the last loss.
 */
#include <auburnstile/internal/crash_counts.h>

#include <string.h>

/*
 * A lost response has many possible causes; three in a row without a single
 * response are attributed to the request. This is also the number of upstreams
 * that a crashing request may take down.
 */
#define LOSSES_MAX 3
#define EXPIRY_US (60 * G_GINT64_CONSTANT(1000000)) /* since the last loss */
/* Enough for four seconds at one loss per millisecond. */
#define TRACKED_REQUESTS_MAX 4096

struct crash_count {
	guint64 fingerprint;
	guint losses;
	gint64 last_loss_us;
};

struct aub_crash_counts {
	GHashTable *by_fingerprint; /* &fingerprint -> struct crash_count */
};

struct aub_crash_counts *aub_crash_counts_new(void)
{
	struct aub_crash_counts *counts = g_new0(struct aub_crash_counts, 1);

	counts->by_fingerprint =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				      g_free);
	return counts;
}

void aub_crash_counts_free(struct aub_crash_counts *counts)
{
	if (!counts)
		return;
	g_hash_table_unref(counts->by_fingerprint);
	g_free(counts);
}

guint64 aub_crash_fingerprint(const char *line, const char *host,
			      const guint8 *body, gsize length)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[32];
	gsize size = sizeof(digest);
	guint64 fingerprint;

	/*
	 * The terminating NULs are included, so that no two pairs of line and
	 * host have the same concatenation.
	 */
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

static gboolean is_expired(void *key, void *value, void *context)
{
	gint64 now_us = *(gint64 *)context;

	return now_us - ((struct crash_count *)value)->last_loss_us > EXPIRY_US;
}

/*
 * Returns the count of the request, a new one if there is none, or NULL if the
 * table is full. An expired count is reset.
 */
static struct crash_count *crash_count_get(struct aub_crash_counts *counts,
					   guint64 fingerprint, gint64 now_us)
{
	struct crash_count *crash_count =
		g_hash_table_lookup(counts->by_fingerprint, &fingerprint);

	if (crash_count) {
		if (is_expired(NULL, crash_count, &now_us))
			crash_count->losses = 0;
		return crash_count;
	}
	if (g_hash_table_size(counts->by_fingerprint) >= TRACKED_REQUESTS_MAX)
		g_hash_table_foreach_remove(counts->by_fingerprint, is_expired,
					    &now_us);
	if (g_hash_table_size(counts->by_fingerprint) >= TRACKED_REQUESTS_MAX)
		return NULL;
	crash_count = g_new0(struct crash_count, 1);
	crash_count->fingerprint = fingerprint;
	g_hash_table_insert(counts->by_fingerprint, &crash_count->fingerprint,
			    crash_count);
	return crash_count;
}

guint aub_crash_counts_add(struct aub_crash_counts *counts, guint64 fingerprint,
			   gint64 now_us)
{
	struct crash_count *crash_count =
		crash_count_get(counts, fingerprint, now_us);

	if (!crash_count)
		return 0;
	crash_count->last_loss_us = now_us;
	return ++crash_count->losses;
}

void aub_crash_counts_merge(struct aub_crash_counts *counts,
			    guint64 fingerprint, guint losses, gint64 now_us)
{
	struct crash_count *crash_count =
		crash_count_get(counts, fingerprint, now_us);

	if (!crash_count)
		return;
	crash_count->last_loss_us = now_us;
	crash_count->losses = MAX(crash_count->losses, losses);
}

void aub_crash_counts_reset(struct aub_crash_counts *counts,
			    guint64 fingerprint)
{
	g_hash_table_remove(counts->by_fingerprint, &fingerprint);
}

bool aub_crash_counts_is_blocked(const struct aub_crash_counts *counts,
				 guint64 fingerprint, gint64 now_us)
{
	const struct crash_count *crash_count =
		g_hash_table_lookup(counts->by_fingerprint, &fingerprint);

	return crash_count && crash_count->losses >= LOSSES_MAX &&
	       now_us - crash_count->last_loss_us <= EXPIRY_US;
}

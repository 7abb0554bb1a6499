/*
 * Counts the upstream crashes of each request, by request fingerprint.
 *
 * A request may crash every upstream that starts to execute it and be retried
 * through any gateway. Gateways exchange their counts; after the third loss in
 * a row without a response the request is refused.
 */
#ifndef AUBURNSTILE_INTERNAL_CRASH_COUNTS_H
#define AUBURNSTILE_INTERNAL_CRASH_COUNTS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_crash_counts;

/* Returns an empty table; the caller frees it. */
struct aub_crash_counts *aub_crash_counts_new(void);
/* Frees `counts`, which may be NULL. */
void aub_crash_counts_free(struct aub_crash_counts *counts);

/*
 * Returns the fingerprint of a request: a hash of its request line, host and
 * body. Never 0.
 */
guint64 aub_crash_fingerprint(const char *line, const char *host,
			      const guint8 *body, gsize length);

/*
 * Records that an upstream was lost while it executed the request. Returns the
 * number of losses so far, 0 if the table is full.
 */
guint aub_crash_counts_add(struct aub_crash_counts *counts, guint64 fingerprint,
			   gint64 now_us);
/* Merges another gateway's count; the higher number applies. */
void aub_crash_counts_merge(struct aub_crash_counts *counts,
			    guint64 fingerprint, guint losses, gint64 now_us);
/* Drops the count of a request that got a response. */
void aub_crash_counts_reset(struct aub_crash_counts *counts,
			    guint64 fingerprint);
/* Returns whether the request has to be refused. */
bool aub_crash_counts_is_blocked(const struct aub_crash_counts *counts,
				 guint64 fingerprint, gint64 now_us);

G_END_DECLS

#endif

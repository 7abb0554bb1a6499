/*
 * Counts how often an upstream was lost while it executed a request, by request
 * fingerprint.
 *
 * A request may crash every upstream that starts to execute it and be retried
 * through any gateway. Gateways exchange their counts; after the third loss in
 * a row without a response the request is refused.
 *
 * Each loss counts here, whether the upstream crashed or not, and a response
 * resets the count. Dispatchers have a table of their own (see
 * src/state/dispatch_crash.c), in which a loss expires within seconds unless
 * the upstream turns out to have crashed.
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
 * Records that the connection to an upstream was lost while it executed the
 * request. Returns the number of losses so far, 0 if the table is full.
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

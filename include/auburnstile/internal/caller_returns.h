/*
 * Recognizes requests that were refused and that their callers send again, and
 * learns how often they do.
 *
 * A caller's next attempt has a new request ID and may arrive at any gateway.
 * It is recognized by a fingerprint of the request. Of a fingerprint that
 * several callers share, no more requests are recognized than were refused, so
 * that a caller gains nothing by sending the request of another.
 */
#ifndef AUBURNSTILE_INTERNAL_CALLER_RETURNS_H
#define AUBURNSTILE_INTERNAL_CALLER_RETURNS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_caller_returns;

/* Returns an empty table; the caller frees it. */
struct aub_caller_returns *aub_caller_returns_new(void);
/* Frees `returns`, which may be NULL. */
void aub_caller_returns_free(struct aub_caller_returns *returns);

/*
 * Records that a request arrived for the first time or again. A fingerprint of
 * 0 is unknown. Returns whether it had been refused before.
 */
bool aub_caller_returns_arrived(struct aub_caller_returns *returns,
				guint64 fingerprint, gint64 now_us);
/*
 * Records that the request was refused, after which the caller may return in
 * `after_ms`.
 */
void aub_caller_returns_refused(struct aub_caller_returns *returns,
				guint64 fingerprint, guint after_ms,
				gint64 now_us);
/* Records that the refused request goes on with another attempt instead. */
void aub_caller_returns_retried(struct aub_caller_returns *returns,
				guint64 fingerprint);

/* Forgets the request, which has been served. */
void aub_caller_returns_served(struct aub_caller_returns *returns,
			       guint64 fingerprint);

/*
 * Returns the learned probability that the caller sends the request again if
 * it is refused now.
 */
double aub_caller_returns_probability(const struct aub_caller_returns *returns,
				      guint64 fingerprint, gint64 now_us);
/* Returns the number of refused requests whose callers may return. */
guint aub_caller_returns_count(const struct aub_caller_returns *returns);

G_END_DECLS

#endif

/*
 * Error reporting: a GError that also carries the operation that failed (the
 * step) and the peer involved.
 *
 * Every function that can fail takes a `GError **` as its last parameter and
 * sets it if and only if it fails. Callers test the return value and
 * propagate the error unchanged, or prefix it with g_prefix_error().
 */
#ifndef AUBURNSTILE_ERROR_H
#define AUBURNSTILE_ERROR_H

#include <glib.h>

G_BEGIN_DECLS

#define AUB_ERROR (aub_error_quark())

enum aub_error_code {
	AUB_ERROR_INVALID, /* malformed input, or a rule is violated */
	AUB_ERROR_TIMEOUT, /* no response before the deadline */
	AUB_ERROR_REFUSED, /* the peer rejected the request */
	AUB_ERROR_CLOSED, /* connection closed or never established */
	AUB_ERROR_CONFLICT, /* a conditional update found another version */
	AUB_ERROR_NOT_FOUND, /* the named object does not exist */
	AUB_ERROR_TOO_LARGE, /* a size limit was exceeded */
	AUB_ERROR_UNAVAILABLE, /* temporarily unavailable; retry later */
	AUB_ERROR_AMBIGUOUS, /* the operation may have taken effect */
	AUB_ERROR_INTERNAL /* a bug in this program */
};

GQuark aub_error_quark(void);

/*
 * Sets `*error`; does nothing if `error` is NULL. `step` names the operation
 * that failed ("decode gossip"). `peer` names the remote end, or the file and
 * line, and may be NULL. Both are copied. The message is "step: peer: text".
 */
void aub_error_set(GError **error, enum aub_error_code code, const char *step,
		   const char *peer, const char *format, ...)
	G_GNUC_PRINTF(5, 6);

/*
 * Return the step and the peer recorded in `error`, borrowed from it. NULL if
 * the error has another domain.
 */
const char *aub_error_step(const GError *error);
const char *aub_error_peer(const GError *error);

/* Returns the constant English name of a code ("timeout"); never NULL. */
const char *aub_error_code_name(enum aub_error_code code);

G_END_DECLS

#endif

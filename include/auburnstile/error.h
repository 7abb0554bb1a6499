/*
 * Errors of the project: a GError that also carries the step at which it
 * arose and the peer that was being spoken to.
 *
 * Every function that can fail takes a `GError **` last and sets it exactly
 * when it fails. Callers test the return value and pass the error on
 * unchanged, or prefix it with g_prefix_error().
 */
#ifndef AUBURNSTILE_ERROR_H
#define AUBURNSTILE_ERROR_H

#include <glib.h>

G_BEGIN_DECLS

#define AUB_ERROR (aub_error_quark())

enum aub_error_code {
	AUB_ERROR_INVALID, /* input is malformed or breaks a rule */
	AUB_ERROR_TIMEOUT, /* no answer before the deadline */
	AUB_ERROR_REFUSED, /* the peer answered, and said no */
	AUB_ERROR_CLOSED, /* the connection ended or never came up */
	AUB_ERROR_CONFLICT, /* a conditional update met another version */
	AUB_ERROR_NOT_FOUND, /* the named thing does not exist */
	AUB_ERROR_TOO_LARGE, /* a size limit was passed */
	AUB_ERROR_UNAVAILABLE, /* not now: try again later */
	AUB_ERROR_AMBIGUOUS, /* the effect may or may not have happened */
	AUB_ERROR_INTERNAL /* a fault of this program */
};

GQuark aub_error_quark(void);

/*
 * Set `*error` (when `error` is not NULL). `step` names what was being done
 * ("decode gossip"); `peer` names the other end or the file and line, and
 * may be NULL. The message reads "step: peer: text".
 */
void aub_error_set(GError **error, enum aub_error_code code, const char *step,
		   const char *peer, const char *format, ...)
	G_GNUC_PRINTF(5, 6);

/* The step or peer recorded in `error`; borrowed; NULL for foreign errors. */
const char *aub_error_step(const GError *error);
const char *aub_error_peer(const GError *error);

/* Fixed English name of a code, such as "timeout"; never NULL. */
const char *aub_error_code_name(enum aub_error_code code);

G_END_DECLS

#endif

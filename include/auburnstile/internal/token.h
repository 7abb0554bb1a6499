/*
 * The operators' token: read from a file, kept as a digest, never logged.
 */
#ifndef AUBURNSTILE_INTERNAL_TOKEN_H
#define AUBURNSTILE_INTERNAL_TOKEN_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * The token in a file: its first line, without blanks around it. Owned by
 * the caller; NULL with AUB_ERROR_INVALID if it can't be read or is shorter
 * than AUB_TOKEN_MIN_LENGTH.
 */
#define AUB_TOKEN_MIN_LENGTH 8
char *aub_token_read(const char *file, GError **error);

/* SHA-256 in hex; owned by the caller. */
char *aub_token_digest(const char *token);

/*
 * True where `header` is "Bearer TOKEN" and TOKEN has this digest. Takes the
 * same time wherever they differ. Both may be NULL.
 */
bool aub_token_authorizes(const char *digest, const char *header);

G_END_DECLS

#endif

/* The operators' token: read from a file, stored as a digest, never logged. */
#ifndef AUBURNSTILE_INTERNAL_TOKEN_H
#define AUBURNSTILE_INTERNAL_TOKEN_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Reads the token from the first line of a file and strips surrounding blanks.
 * Owned by the caller. Returns NULL with AUB_ERROR_INVALID if the file cannot
 * be read or the token is shorter than AUB_TOKEN_MIN_LENGTH.
 */
#define AUB_TOKEN_MIN_LENGTH 8
char *aub_token_read(const char *file, GError **error);

/* Returns the SHA-256 digest in hex; owned by the caller. */
char *aub_token_digest(const char *token);

/*
 * Returns true if `header` is "Bearer TOKEN" and TOKEN has this digest. The
 * time taken does not depend on where the digests differ. Both arguments may
 * be NULL.
 */
bool aub_token_authorizes(const char *digest, const char *header);

G_END_DECLS

#endif

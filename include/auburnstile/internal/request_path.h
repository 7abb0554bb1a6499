/*
 * Request paths in the canonical form that rules are matched against.
 *
 * An upstream may read "/fees/./pay", "/fees//pay" or "/fees/%70ay" as
 * "/fees/pay". Rules have to match these as well: otherwise an at-most-once
 * request would be taken for one that may be retried.
 */
#ifndef AUBURNSTILE_INTERNAL_REQUEST_PATH_H
#define AUBURNSTILE_INTERNAL_REQUEST_PATH_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Returns `path` without its query, percent-encoding, backslashes, path
 * parameters (";x"), empty and dot segments, and trailing slash. The caller
 * frees it.
 */
char *aub_path_canonicalize(const char *path);

/*
 * Returns whether `path` is `prefix` or below it, ignoring the case of ASCII
 * letters. Both are in canonical form; only complete segments match.
 */
bool aub_path_has_prefix(const char *path, const char *prefix);

G_END_DECLS

#endif

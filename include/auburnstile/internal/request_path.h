/*
 * Paths of requests in the form that rules are matched against.
 *
 * An upstream may read "/fees/./pay", "/fees//pay" or "/fees/%70ay" as
 * "/fees/pay". So may a rule: otherwise a request that must run at most once
 * would pass as one that may be repeated.
 */
#ifndef AUBURNSTILE_INTERNAL_REQUEST_PATH_H
#define AUBURNSTILE_INTERNAL_REQUEST_PATH_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Without query, percent signs, backslashes, parameters (";x"), empty and
 * dot segments, and without a slash at its end. Owned by the caller.
 */
char *aub_path_canonical(const char *path);

/* True where `path` is `prefix` or lies below it; whole segments count. */
bool aub_path_below(const char *path, const char *prefix);

G_END_DECLS

#endif

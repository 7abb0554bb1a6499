/*
 * Validation problems of a hand-written file, collected and reported together
 * in the order of the file's lines.
 */
#ifndef AUBURNSTILE_INTERNAL_PROBLEMS_H
#define AUBURNSTILE_INTERNAL_PROBLEMS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_problems;

/*
 * Returns an empty list, owned by the caller. `source` is the file name shown
 * in each problem; it is borrowed and must outlive the list.
 */
struct aub_problems *aub_problems_new(const char *source);
void aub_problems_free(struct aub_problems *problems);

/*
 * Adds "source:LINE: FIELD: text (rule RULE)". The field or the rule is
 * omitted if it is NULL, the line if it is 0 (the problem concerns the entire
 * file).
 */
void aub_problems_add(struct aub_problems *problems, guint line,
		      const char *field, const char *rule, const char *format,
		      ...) G_GNUC_PRINTF(5, 6);

guint aub_problems_count(const struct aub_problems *problems);

/*
 * Returns true if there are no problems. Otherwise returns false and sets
 * AUB_ERROR_INVALID, whose message is "step: source: N problems" followed by
 * one line per problem.
 */
bool aub_problems_finish(struct aub_problems *problems, const char *step,
			 GError **error);

/*
 * Parses "ip:port"; IPv6 addresses are enclosed in brackets. Host names are
 * rejected since they would need a resolver. Returns false if `text` is not
 * such an address. `*host` is owned by the caller; `host` and `port` may be
 * NULL.
 */
bool aub_address_parse(const char *text, char **host, guint16 *port);

G_END_DECLS

#endif

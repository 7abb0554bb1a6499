/*
 * Problems found in a file that a person wrote, reported all at once and in
 * the order of the file's lines.
 */
#ifndef AUBURNSTILE_INTERNAL_PROBLEMS_H
#define AUBURNSTILE_INTERNAL_PROBLEMS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_problems;

/* `source` names the file in each line; borrowed. Owned by the caller. */
struct aub_problems *aub_problems_new(const char *source);
void aub_problems_free(struct aub_problems *problems);

/*
 * Add "source:LINE: FIELD: text (rule RULE)"; `rule` NULL leaves the last
 * part out. Line 0 means the file as a whole.
 */
void aub_problems_add(struct aub_problems *problems, guint line,
		      const char *field, const char *rule, const char *format,
		      ...) G_GNUC_PRINTF(5, 6);

guint aub_problems_count(const struct aub_problems *problems);

/*
 * True when there are none; else false with AUB_ERROR_INVALID, whose message
 * has "step: source: N problems" and then a line each.
 */
bool aub_problems_finish(struct aub_problems *problems, const char *step,
			 GError **error);

/*
 * "ip:port" with an IP number: no names, which would need a resolver.
 * `*host` (owned by the caller) and `*port` may be NULL. IPv6 in brackets.
 */
bool aub_address_parse(const char *text, char **host, guint16 *port);

G_END_DECLS

#endif

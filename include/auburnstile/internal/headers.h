/*
 * HTTP header fields on their way through: which are passed on, and how they
 * move between libsoup's form and the messages of the project.
 */
#ifndef AUBURNSTILE_INTERNAL_HEADERS_H
#define AUBURNSTILE_INTERNAL_HEADERS_H

#include <auburnstile/message.h>
#include <libsoup/soup.h>

G_BEGIN_DECLS

/* True for fields that are the project's own ("Auburnstile-Key"). */
bool aub_header_is_internal(const char *name);

/*
 * Append to `list` (of struct aub_header) every end-to-end field of `from`:
 * without hop-by-hop fields (RFC 9110, 7.6.1), those that Connection names,
 * message framing, and the project's own.
 */
void aub_headers_from_soup(SoupMessageHeaders *from, GPtrArray *list);

/* Append the fields of `list` to `to`. */
void aub_headers_to_soup(const GPtrArray *list, SoupMessageHeaders *to);

/* First value of a field in `list`; borrowed; NULL if absent. */
const char *aub_headers_find(const GPtrArray *list, const char *name);

/*
 * A whole number in decimal digits and nothing else. False for anything
 * else, also for what doesn't fit into 64 bits.
 */
bool aub_parse_number(const char *text, guint64 *number);

/*
 * False where the length of a message can be read in two ways: repeated or
 * malformed Content-Length, Content-Length beside Transfer-Encoding, or a
 * transfer coding other than "chunked".
 */
bool aub_headers_framing_is_unambiguous(SoupMessageHeaders *headers);

G_END_DECLS

#endif

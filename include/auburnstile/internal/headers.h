/*
 * HTTP header fields: which of them are forwarded, and their conversion
 * between libsoup's headers and the project's messages.
 */
#ifndef AUBURNSTILE_INTERNAL_HEADERS_H
#define AUBURNSTILE_INTERNAL_HEADERS_H

#include <auburnstile/message.h>
#include <libsoup/soup.h>

G_BEGIN_DECLS

/* Returns true for header fields of the proxy itself ("Auburnstile-Key"). */
bool aub_header_is_internal(const char *name);

/*
 * Appends all end-to-end fields of `from` to `list` (of struct aub_header).
 * Omits hop-by-hop fields (RFC 9110, 7.6.1), fields listed in Connection,
 * message framing fields and the proxy's own fields.
 */
void aub_headers_from_soup(SoupMessageHeaders *from, GPtrArray *list);

/* Appends the fields of `list` to `to`. */
void aub_headers_to_soup(const GPtrArray *list, SoupMessageHeaders *to);

/*
 * Returns the first value of the field in `list` (not owned), or NULL if it is
 * missing.
 */
const char *aub_headers_find(const GPtrArray *list, const char *name);

/*
 * Parses an unsigned integer that consists only of decimal digits. Returns
 * false for any other text, and for numbers that do not fit into 64 bits.
 */
bool aub_parse_number(const char *text, guint64 *number);

/*
 * Returns false if the length of the message is ambiguous: repeated or
 * malformed Content-Length, Content-Length together with Transfer-Encoding, or
 * a transfer coding other than "chunked" (RFC 9112, 6.3).
 */
bool aub_headers_framing_is_unambiguous(SoupMessageHeaders *headers);

G_END_DECLS

#endif

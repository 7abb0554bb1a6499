/*
 * Writes a caller's request into a message for an upstream.
 */
#ifndef AUBURNSTILE_INTERNAL_UPSTREAM_REQUEST_H
#define AUBURNSTILE_INTERNAL_UPSTREAM_REQUEST_H

#include <auburnstile/message.h>

#include <libsoup/soup.h>

G_BEGIN_DECLS

/* Headers and body of `call`; `remaining_ms` is what it has left of its time.
 */
void aub_upstream_write_request(SoupMessage *message,
				const struct aub_call *call,
				gint64 remaining_ms);

G_END_DECLS

#endif

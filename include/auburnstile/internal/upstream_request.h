/* Builds the HTTP request to an upstream from a caller's request. */
#ifndef AUBURNSTILE_INTERNAL_UPSTREAM_REQUEST_H
#define AUBURNSTILE_INTERNAL_UPSTREAM_REQUEST_H

#include <auburnstile/message.h>

#include <libsoup/soup.h>

G_BEGIN_DECLS

/*
 * Sets headers and body from `call`. `remaining_ms` is the time left until the
 * deadline of the call.
 */
void aub_upstream_write_request(SoupMessage *message,
				const struct aub_call *call,
				gint64 remaining_ms);

G_END_DECLS

#endif

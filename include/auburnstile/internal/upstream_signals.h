/* Health signals in an upstream's responses. */
#ifndef AUBURNSTILE_INTERNAL_UPSTREAM_SIGNALS_H
#define AUBURNSTILE_INTERNAL_UPSTREAM_SIGNALS_H

#include <auburnstile/dispatch.h>
#include <libsoup/soup.h>

G_BEGIN_DECLS

/*
 * Reads the health signals from X-Boot-Id, X-Upstream-State and the status of
 * a response.
 */
void aub_signals_from_response(SoupMessage *message,
			       struct aub_upstream_signals *signals);

/*
 * Returns true if the upstream refused the request itself and guarantees that
 * it was not executed (status 503 with X-Not-Run: 1).
 */
bool aub_response_is_shed(SoupMessage *message);

/*
 * Parses the response body of a probe. Returns false if it is not a JSON
 * object of the expected form.
 */
bool aub_signals_parse_load(const void *data, gsize length,
			    struct aub_upstream_signals *signals,
			    guint32 *busy);

G_END_DECLS

#endif

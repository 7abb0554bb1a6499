/*
 * What an upstream's answers tell of its state.
 */
#ifndef AUBURNSTILE_INTERNAL_UPSTREAM_SIGNALS_H
#define AUBURNSTILE_INTERNAL_UPSTREAM_SIGNALS_H

#include <auburnstile/dispatch.h>
#include <libsoup/soup.h>

G_BEGIN_DECLS

/* From X-Boot-Id, X-Upstream-State and the status of an answer. */
void aub_signals_from_response(SoupMessage *message,
			       struct aub_upstream_signs *signals);

/* The upstream's own refusal: it promises that nothing was run. */
bool aub_response_is_shed(SoupMessage *message);

/* From the answer to a probe; false where it is not the agreed object. */
bool aub_signals_parse_load(const void *data, gsize length,
			    struct aub_upstream_signs *signals, guint32 *busy);

G_END_DECLS

#endif

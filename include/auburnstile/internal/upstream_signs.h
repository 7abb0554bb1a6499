/*
 * What an upstream's answers tell of its state.
 */
#ifndef AUBURNSTILE_INTERNAL_UPSTREAM_SIGNS_H
#define AUBURNSTILE_INTERNAL_UPSTREAM_SIGNS_H

#include <auburnstile/dispatch.h>
#include <libsoup/soup.h>

G_BEGIN_DECLS

/* From X-Boot-Id, X-Upstream-State and the status of an answer. */
void aub_signs_read(SoupMessage *message, struct aub_upstream_signals *signs);

/* The upstream's own refusal: it promises that nothing was run. */
bool aub_signs_shed(SoupMessage *message);

/* From the answer to a probe; false where it is not the agreed object. */
bool aub_signs_parse_load(const void *data, gsize length,
			  struct aub_upstream_signals *signs, guint32 *busy);

G_END_DECLS

#endif

/* Serialises the state of dispatchers as JSON. */
#ifndef AUBURNSTILE_INTERNAL_DISPATCH_STATUS_H
#define AUBURNSTILE_INTERNAL_DISPATCH_STATUS_H

#include <auburnstile/dispatch.h>
#include <json-glib/json-glib.h>

G_BEGIN_DECLS

/*
 * Builds {"services":[...]}. aub_dispatch_status_end() returns the text, which
 * the caller owns, and frees the builder.
 */
JsonBuilder *aub_dispatch_status_begin(void);
char *aub_dispatch_status_end(JsonBuilder *builder);

/* Appends {"service","role","queued","upstreams":[...]} to `builder`. */
void aub_dispatch_status_build(JsonBuilder *builder, const char *service,
			       enum aub_dispatch_role role,
			       const struct aub_dispatcher *dispatcher);

G_END_DECLS

#endif

/*
 * A dispatcher's state as JSON.
 */
#ifndef AUBURNSTILE_INTERNAL_DISPATCH_STATUS_H
#define AUBURNSTILE_INTERNAL_DISPATCH_STATUS_H

#include <auburnstile/dispatch.h>
#include <json-glib/json-glib.h>

G_BEGIN_DECLS

/* {"services":[...]}: the text, owned by the caller, is ready at the end. */
JsonBuilder *aub_dispatch_status_begin(void);
char *aub_dispatch_status_end(JsonBuilder *builder);

/* Add {"service","role","queued","upstreams":[...]} to `builder`. */
void aub_dispatch_status_build(JsonBuilder *builder, const char *service,
			       enum aub_dispatch_role role,
			       const struct aub_dispatcher *dispatcher);

G_END_DECLS

#endif

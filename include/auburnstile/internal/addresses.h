/*
 * The answer to "which addresses": where a service's callers should connect.
 */
#ifndef AUBURNSTILE_INTERNAL_ADDRESSES_H
#define AUBURNSTILE_INTERNAL_ADDRESSES_H

#include <auburnstile/internal/entry_view.h>

G_BEGIN_DECLS

struct aub_addresses_options {
	const struct aub_entry_view *view; /* borrowed */
	const struct aub_hello *self; /* borrowed */
	bool stopping; /* or not serving: it is not among the addresses */
	bool local_only; /* a baseline: this entry alone */
	gint64 wall_s; /* now, seconds since 1970: the grant's age */
	guint64 random; /* makes the grant unguessable */
};

/*
 * JSON {"service", "addresses": [{"address","zone"}...], "valid_ms",
 * "grant"}, owned by the caller; the owner first, the stand-by next. The
 * grant names the first one. For `service`, or the one `path` belongs to.
 * NULL with an HTTP status in `*status`: no such service, or no view yet.
 */
char *aub_addresses_json(const struct aub_addresses_options *options,
			 const char *service, const char *path, guint *status);

G_END_DECLS

#endif

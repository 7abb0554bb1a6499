/* The list of entry addresses that callers of a service should connect to. */
#ifndef AUBURNSTILE_INTERNAL_ADDRESSES_H
#define AUBURNSTILE_INTERNAL_ADDRESSES_H

#include <auburnstile/internal/entry_view.h>

G_BEGIN_DECLS

struct aub_addresses_options {
	const struct aub_entry_view *view; /* borrowed */
	const struct aub_hello *self; /* borrowed */
	/* the entry is stopping or not serving and is left out of the list */
	bool stopping;
	/* return only this entry's address (baseline for comparisons) */
	bool local_only;
	gint64 wall_s; /* Unix time in seconds; becomes the age of the grant */
	guint64 random; /* random bits that make the grant unguessable */
};

/*
 * Returns the JSON object {"service", "addresses": [{"address","zone"}...],
 * "valid_ms", "grant"} for `service`, or, if `service` is NULL, for the service
 * that `path` is routed to. The owner's address comes first and the stand-by's
 * next; the grant names the first address. The caller frees the string. Returns
 * NULL and sets `*status` to an HTTP status if there is no such service or no
 * inventory yet.
 */
char *aub_addresses_json(const struct aub_addresses_options *options,
			 const char *service, const char *path, guint *status);

G_END_DECLS

#endif

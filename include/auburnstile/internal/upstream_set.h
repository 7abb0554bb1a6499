/* The clients of all upstreams in the inventory, by upstream name. */
#ifndef AUBURNSTILE_INTERNAL_UPSTREAM_SET_H
#define AUBURNSTILE_INTERNAL_UPSTREAM_SET_H

#include <auburnstile/internal/upstream_client.h>

G_BEGIN_DECLS

struct aub_upstream_set;

struct aub_upstream_set *aub_upstream_set_new(struct aub_timer_service *timers);
void aub_upstream_set_free(struct aub_upstream_set *set);

/*
 * Creates clients for new or changed upstreams and frees those of removed
 * upstreams.
 */
void aub_upstream_set_configure(struct aub_upstream_set *set,
				const struct aub_inventory *inventory);

/*
 * Returns the client of an upstream, or NULL if there is none. Valid until the
 * next aub_upstream_set_configure().
 */
struct aub_upstream_client *aub_upstream_set_find(
	const struct aub_upstream_set *set, const char *name);

G_END_DECLS

#endif

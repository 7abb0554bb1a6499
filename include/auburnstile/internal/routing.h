/*
 * The operators' configuration as the data path uses it: which service a
 * request goes to, and under which limits.
 *
 * A routing is immutable but for the rotation of its splits and what is
 * learned of a route's callers, and counted: requests under way keep the one
 * they began with.
 */
#ifndef AUBURNSTILE_INTERNAL_ROUTING_H
#define AUBURNSTILE_INTERNAL_ROUTING_H

#include <auburnstile/internal/caller_age.h>

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_MAX_ATTEMPTS 16 /* upstreams a request may be sent to, at most */

struct aub_service_spec {
	char *name;
	char *health_path;
	guint max_connections; /* of one upstream, from all entries */
	guint warmup_ms;
	double warmup_per_s; /* requests a cold upstream bears */
};

struct aub_split {
	char *service;
	double weight;
};

struct aub_route {
	char *name;
	guint32 key; /* hash of its name, for gateways to tell each other */
	char *host; /* lower case */
	char *prefix; /* begins and ends with a slash */
	bool idempotent;
	guint timeout_ms; /* longest that a caller is kept waiting */
	guint target_ms; /* an answer within this is on time */
	guint priority; /* 0 is the most urgent */
	guint max_attempts;
	GArray *splits; /* of struct aub_split; one where there is no split */
	double total_weight;
	double phase; /* of the split's rotation, 0..1 */
	struct aub_caller_age age; /* learned from its requests */
};

struct aub_limits {
	guint header_bytes;
	guint64 body_bytes;
	guint header_ms;
	guint idle_ms;
};

struct aub_routing {
	gint refs;
	gint64 version;
	GPtrArray *routes; /* of struct aub_route */
	GHashTable *services; /* name -> struct aub_service_spec */
	GHashTable *hosts; /* host -> GPtrArray of routes, longest first */
	struct aub_limits limits;
};

struct aub_routing *aub_routing_new(void);
struct aub_routing *aub_routing_ref(struct aub_routing *routing);
void aub_routing_unref(struct aub_routing *routing);

struct aub_route *aub_route_new(void);
void aub_route_free(struct aub_route *route);
void aub_route_add_split(struct aub_route *route, const char *service,
			 double weight);
void aub_service_spec_free(struct aub_service_spec *spec);

/* Build the lookup and check it; false with an error naming the field. */
bool aub_routing_seal(struct aub_routing *routing, GError **error);

/* Take over what `old` has learned of the callers of routes in both. */
void aub_routing_inherit(struct aub_routing *routing,
			 const struct aub_routing *old);

/*
 * The route of `host` (a port is ignored) with the longest prefix that
 * begins the path of `target`; NULL if there is none. Borrowed.
 */
struct aub_route *aub_routing_find(const struct aub_routing *routing,
				   const char *host, const char *target);

/*
 * The service that the next request of `route` goes to. Steps of the golden
 * ratio keep each part's share within a request or two of its weight.
 */
const char *aub_route_pick(struct aub_route *route);

G_END_DECLS

#endif

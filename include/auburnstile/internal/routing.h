/*
 * The operators' configuration as the data path uses it: which service a
 * request goes to, and under which limits.
 *
 * A routing table is reference-counted: requests in progress keep the one that
 * they started with. It is immutable except for the rotation of its traffic
 * splits and the wait statistics of a route's callers.
 */
#ifndef AUBURNSTILE_INTERNAL_ROUTING_H
#define AUBURNSTILE_INTERNAL_ROUTING_H

#include <auburnstile/internal/answer_times.h>
#include <auburnstile/internal/caller_wait.h>
#include <auburnstile/internal/workspaces.h>

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_MAX_ATTEMPTS 16 /* upstreams a request may be sent to */

struct aub_service_spec {
	char *name;
	char *health_path;
	guint max_connections; /* to one upstream, from all entries */
	guint warmup_ms;
	double warmup_per_s; /* requests a cold upstream can handle */
};

struct aub_split {
	char *service;
	double weight;
};

struct aub_route {
	char *name;
	guint32 key; /* hash of the name, identifies it between gateways */
	char *host; /* lower case */
	char *prefix; /* starts and ends with a slash */
	bool idempotent;
	guint timeout_ms; /* maximum time that a caller waits */
	guint target_ms; /* a response within this time is on time */
	guint priority; /* 0 is the highest */
	bool allow_anonymous; /* callers need no API key */
	guint max_attempts;
	GArray *splits; /* of struct aub_split; a single one without a split */
	double total_weight;
	double split_phase; /* of the rotation through the splits, 0..1 */
	/* learned from its requests */
	struct aub_caller_wait caller_wait;
	struct aub_answer_times answer_times;
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
	GHashTable *hosts; /* host -> GPtrArray of routes, longest prefix first
			    */
	struct aub_limits limits;
	/* NULL: callers need no API keys */
	struct aub_workspaces *workspaces;
};

/* Returns an empty routing table with one reference. */
struct aub_routing *aub_routing_new(void);
/* Adds a reference and returns `routing`. */
struct aub_routing *aub_routing_ref(struct aub_routing *routing);
/* Drops a reference; the last one frees `routing`, which may be NULL. */
void aub_routing_unref(struct aub_routing *routing);

/* Returns an empty route. A routing table frees those in its list. */
struct aub_route *aub_route_new(void);
void aub_route_free(struct aub_route *route);
/* Adds a split; the name is copied. */
void aub_route_add_split(struct aub_route *route, const char *service,
			 double weight);
void aub_service_spec_free(struct aub_service_spec *spec);

/*
 * Validates the routes and builds the lookup by host. Returns false and sets
 * AUB_ERROR_INVALID, naming the route, if one is not valid.
 */
bool aub_routing_build_index(struct aub_routing *routing, GError **error);

/*
 * Copies what was learned of routes that are in `old` too, by host and
 * prefix. `old` may be NULL.
 */
void aub_routing_copy_statistics(struct aub_routing *routing,
				 const struct aub_routing *old);

/*
 * Returns the route of `host` (a port is ignored) with the longest prefix of
 * the path of `target`, or NULL if there is none. Owned by `routing`.
 */
struct aub_route *aub_routing_find(const struct aub_routing *routing,
				   const char *host, const char *target);

/*
 * Returns the service of the next request of `route`. Golden ratio steps keep
 * the share of each split within one or two requests of its weight.
 */
const char *aub_route_pick_service(struct aub_route *route);

G_END_DECLS

#endif

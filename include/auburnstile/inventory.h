/*
 * The operators' inventory and rules, parsed and checked.
 *
 * An inventory never changes once parsed: a new version is a new object, so
 * readers keep a reference while they use it. Zones, VMs, services and
 * upstreams are tables; a handle is an index into one of them and means
 * nothing in another version (names do).
 */
#ifndef AUBURNSTILE_INVENTORY_H
#define AUBURNSTILE_INVENTORY_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_NO_HANDLE G_MAXUINT16

struct aub_zone {
	char *name;
	char *region;
	bool out; /* takes no new requests */
};

/* A VM that carries upstreams. */
struct aub_vm {
	char *name;
	guint16 zone;
	bool leaving; /* its upstreams take no new requests */
};

struct aub_upstream {
	char *name; /* unique over the whole inventory */
	char *host; /* IP number */
	guint16 port;
	guint16 service;
	guint16 vm;
	guint16 zone; /* that of its VM */
	guint16 slots; /* requests it serves at once when warm */
	guint16 connections; /* most open connections it takes */
	guint16 cold_slots; /* requests at once just after a cold start */
	guint32 probe_cost_us; /* upstream time one probe takes */
	bool leaving; /* itself, not its VM or zone */
};

/* Requests that must run at most once: a method and a path prefix. */
struct aub_at_most_once_rule {
	char *method; /* "POST", or "*" for any */
	char *path; /* prefix, "/" for all */
	bool key_required; /* refuse such a request without a key */
};

struct aub_service {
	char *name;
	char *path; /* route: longest matching path prefix, "/fees" */
	GArray *at_most_once; /* of struct aub_at_most_once_rule */
	GArray *zones; /* of guint16: zones it may run in; empty = all */
	guint32 queue_limit; /* waiting requests at most */
	guint32 deadline_ms; /* where the caller names none */
	guint32 body_limit; /* bytes of a request or an answer */
	guint32 probe_budget_us; /* upstream time for probes a second */
	guint32 cold_ms; /* time an upstream takes to warm up */
	guint32 hedge_percent; /* extra work for hedges; 0 = none */
};

struct aub_inventory {
	int reference_count;
	guint64 version; /* store version it came from, 0 if from a file */
	char *text; /* the TOML it was parsed from */
	GArray *zones; /* of struct aub_zone */
	GArray *vms; /* of struct aub_vm */
	GArray *services; /* of struct aub_service */
	GArray *upstreams; /* of struct aub_upstream */
	guint64 base_version; /* the file's `version` key, 0 if absent */
	GHashTable *zone_names; /* name -> handle + 1; likewise below */
	GHashTable *vm_names;
	GHashTable *service_names;
	GHashTable *upstream_names;
};

/*
 * Parse and check TOML. `source` names it in errors ("nidito.toml"); every
 * problem is reported, a line each "source:LINE: FIELD: text (rule NAME)".
 * Returns a reference owned by the caller, or NULL with AUB_ERROR_INVALID.
 */
struct aub_inventory *aub_inventory_parse(const char *text, gsize length,
					  const char *source, GError **error);

/* One without anything in it: nothing was applied yet. */
struct aub_inventory *aub_inventory_new(void);
struct aub_inventory *aub_inventory_ref(struct aub_inventory *inventory);
void aub_inventory_unref(struct aub_inventory *inventory);

/* Handles by name; AUB_NO_HANDLE where there is none. */
guint16 aub_inventory_zone(const struct aub_inventory *inventory,
			   const char *name);
guint16 aub_inventory_vm(const struct aub_inventory *inventory,
			 const char *name);
guint16 aub_inventory_service(const struct aub_inventory *inventory,
			      const char *name);
guint16 aub_inventory_upstream(const struct aub_inventory *inventory,
			       const char *name);

/* The service whose path prefix matches longest; AUB_NO_HANDLE if none. */
guint16 aub_inventory_route(const struct aub_inventory *inventory,
			    const char *path);

/* The rule under which a request may run at most once; borrowed, or NULL. */
const struct aub_at_most_once_rule *aub_service_at_most_once_rule(
	const struct aub_service *service, const char *method,
	const char *path);

/* True where new requests may go: neither it, its VM nor its zone leaves. */
bool aub_upstream_accepts_new(const struct aub_inventory *inventory,
			    guint16 upstream);

/*
 * The text with `version = N` as its first line, in place of one it may
 * have; N 0 only takes it away. Owned by the caller.
 */
char *aub_inventory_text_set_version(const char *text, guint64 version);

#define aub_zone_at(i, n) (&g_array_index((i)->zones, struct aub_zone, (n)))
#define aub_vm_at(i, n) (&g_array_index((i)->vms, struct aub_vm, (n)))
#define aub_service_at(i, n) \
	(&g_array_index((i)->services, struct aub_service, (n)))
#define aub_upstream_at(i, n) \
	(&g_array_index((i)->upstreams, struct aub_upstream, (n)))

G_END_DECLS

#endif

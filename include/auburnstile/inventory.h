/*
 * The operators' inventory and rules, parsed and checked.
 *
 * An inventory is immutable once parsed: a new version is a new object, and
 * readers hold a reference while they use it. Zones, VMs, services and
 * upstreams are tables. A handle is an index into one of them and is valid for
 * this version only; names are valid across versions.
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
	bool out; /* its upstreams get no new requests */
};

/* A VM that runs upstreams. */
struct aub_vm {
	char *name;
	guint16 zone;
	bool leaving; /* its upstreams get no new requests */
};

struct aub_upstream {
	char *name; /* unique in the inventory */
	char *host; /* IP address */
	guint16 port;
	guint16 service;
	guint16 vm;
	guint16 zone; /* that of its VM */
	guint16 slots; /* concurrent requests when warm */
	guint16 connections; /* maximum of open connections */
	guint16 cold_slots; /* concurrent requests after a cold start */
	guint32 probe_cost_us; /* upstream time that one probe takes */
	bool leaving; /* set for itself, not by its VM or zone */
};

/*
 * Non-idempotent requests, which must run at most once: a method and a path
 * prefix.
 */
struct aub_at_most_once_rule {
	char *method; /* "POST", or "*" for any */
	char *path; /* prefix, "/" for all */
	bool key_required; /* refuse such requests without a key */
};

struct aub_service {
	char *name;
	char *path; /* route: longest matching path prefix, "/fees" */
	GArray *at_most_once; /* of struct aub_at_most_once_rule */
	GArray *zones; /* of guint16: zones it may run in; empty = all */
	guint32 queue_limit; /* maximum of queued requests */
	guint32 deadline_ms; /* default where the caller sets none */
	guint32 body_limit; /* maximum of bytes of a request or an answer */
	guint32 probe_budget_us; /* upstream time for probes per second */
	guint32 cold_ms; /* time an upstream takes to warm up */
	guint32 hedge_percent; /* additional work for hedges; 0: no hedges */
};

struct aub_inventory {
	int reference_count;
	guint64 version; /* store version, 0 if it is from a file */
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
 * Parses and checks TOML. `source` is its name in error messages
 * ("nidito.toml"). Every problem is reported, each on a line "source:LINE:
 * FIELD: text (rule NAME)". Returns a reference owned by the caller, or NULL
 * with AUB_ERROR_INVALID.
 */
struct aub_inventory *aub_inventory_parse(const char *text, gsize length,
					  const char *source, GError **error);

/* Returns an empty inventory, as before the first configuration. */
struct aub_inventory *aub_inventory_new(void);
struct aub_inventory *aub_inventory_ref(struct aub_inventory *inventory);
void aub_inventory_unref(struct aub_inventory *inventory);

/* Return the handle of a name, or AUB_NO_HANDLE if there is none. */
guint16 aub_inventory_zone(const struct aub_inventory *inventory,
			   const char *name);
guint16 aub_inventory_vm(const struct aub_inventory *inventory,
			 const char *name);
guint16 aub_inventory_service(const struct aub_inventory *inventory,
			      const char *name);
guint16 aub_inventory_upstream(const struct aub_inventory *inventory,
			       const char *name);

/*
 * Returns the service with the longest matching path prefix, or AUB_NO_HANDLE
 * if there is none.
 */
guint16 aub_inventory_route(const struct aub_inventory *inventory,
			    const char *path);

/*
 * Returns the first at-most-once rule that applies to a request, borrowed, or
 * NULL if there is none.
 */
const struct aub_at_most_once_rule *aub_service_at_most_once_rule(
	const struct aub_service *service, const char *method,
	const char *path);

/*
 * Returns true if the upstream accepts new requests: neither it nor its VM is
 * leaving and its zone is not out.
 */
bool aub_upstream_accepts_new(const struct aub_inventory *inventory,
			      guint16 upstream);

/*
 * Returns the text with `version = N` as its first line, replacing an existing
 * one. With a version of 0, the line is only removed. Owned by the caller.
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

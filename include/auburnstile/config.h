/*
 * The configuration object in the platform's store: the inventory's TOML, and
 * the zones, VMs and upstreams that operators have taken out of service.
 *
 * Stored as JSON:
 *   {"change": "ID", "author": "NAME", "inventory": "TOML text",
 *    "zones_out": ["b"], "vms_leaving": [], "upstreams_leaving": [],
 *    "recent_changes": ["DIGEST"]}
 *
 * `change` identifies the edit. A writer that did not receive the store's
 * answer reads the object back and can tell from it whether its write took
 * effect.
 */
#ifndef AUBURNSTILE_CONFIG_H
#define AUBURNSTILE_CONFIG_H

#include <auburnstile/inventory.h>

G_BEGIN_DECLS

#define AUB_CONFIG_KEY "auburnstile/config" /* object name in the store */

struct aub_config {
	guint64 version; /* store version, increasing */
	char *change;
	char *author;
	char *inventory_text; /* inventory TOML */
	GPtrArray *zones_out; /* of char *, owned */
	GPtrArray *vms_leaving; /* of char *, owned */
	GPtrArray *upstreams_leaving; /* of char *, owned */
	GPtrArray *recent_changes; /* digests of the ids of earlier changes */
};

/* Return an empty configuration or a deep copy, owned by the caller. */
struct aub_config *aub_config_new(void);
struct aub_config *aub_config_copy(const struct aub_config *config);
void aub_config_free(struct aub_config *config);

/*
 * Parses the JSON form, or writes it. Both results are owned by the caller. The
 * parser returns NULL and sets `error` to AUB_ERROR_INVALID if the JSON is not
 * a configuration.
 */
struct aub_config *aub_config_parse(const char *json, gsize length,
				    guint64 version, GError **error);
char *aub_config_serialize(const struct aub_config *config);

/*
 * Sets the id of the edit that the configuration results from. The previous id
 * becomes one of the recent ones. These are stored as digests, so that the text
 * of an id is in the object only while its edit is the newest.
 */
#define AUB_CONFIG_RECENT_CHANGES_MAX 32 /* earlier edits */
void aub_config_set_change(struct aub_config *config, const char *change);

/* Returns true if the edit with this id is the newest or a recent one. */
bool aub_config_has_change(const struct aub_config *config, const char *change);

/*
 * Parses the inventory and marks the zones, VMs and upstreams that are out or
 * leaving. Returns a reference
 * owned by the caller, or NULL with `error` set.
 */
struct aub_inventory *aub_config_inventory(const struct aub_config *config,
					   GError **error);

/*
 * Returns a description of the differences from `from` to `to`, one per line
 * ("upstream cal-3: slots 2 -> 4"), or "" if there are none. Either may be NULL
 * for an empty configuration. Owned by the caller; NULL with `error` set if an
 * inventory cannot be parsed.
 */
char *aub_config_diff(const struct aub_config *from,
		      const struct aub_config *to, GError **error);

G_END_DECLS

#endif

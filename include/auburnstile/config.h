/*
 * The configuration object in the platform's store: the inventory's TOML and
 * what operators have taken out since.
 *
 * Stored as JSON:
 *   {"change": "ID", "author": "NAME", "inventory": "TOML text",
 *    "zones_out": ["b"], "vms_leaving": [], "upstreams_leaving": [],
 *    "recent_changes": ["DIGEST"]}
 * `change` identifies the edit, so that a writer whose answer was lost can
 * tell by reading back whether its own write took effect.
 */
#ifndef AUBURNSTILE_CONFIG_H
#define AUBURNSTILE_CONFIG_H

#include <auburnstile/inventory.h>

G_BEGIN_DECLS

#define AUB_CONFIG_KEY "auburnstile/config" /* object's name in the store */

struct aub_config {
	guint64 version; /* store version, rising */
	char *change;
	char *author;
	char *inventory_text; /* inventory TOML */
	GPtrArray *zones_out; /* of char *, owned */
	GPtrArray *vms_leaving;
	GPtrArray *upstreams_leaving;
	GPtrArray *recent_changes; /* of char *: digests of earlier changes' ids */
};

struct aub_config *aub_config_new(void);
struct aub_config *aub_config_copy(const struct aub_config *config);
void aub_config_free(struct aub_config *config);

/* JSON to configuration and back. Both results are owned by the caller. */
struct aub_config *aub_config_parse(const char *json, gsize length,
				    guint64 version, GError **error);
char *aub_config_serialize(const struct aub_config *config);

/*
 * Make it the result of an edit with this id; the id it had becomes one of
 * the recent ones. A digest stands for each, so that an id's own text is in
 * the object only while the edit is the newest.
 */
#define AUB_CONFIG_RECENT_CHANGES_MAX 32 /* earlier edits remembered */
void aub_config_set_change(struct aub_config *config, const char *change);

/* True where the edit with this id is the newest, or an earlier one. */
bool aub_config_has_change(const struct aub_config *config, const char *change);

/* Parse its inventory and mark what is out or leaving; owned by caller. */
struct aub_inventory *aub_config_inventory(const struct aub_config *config,
					   GError **error);

/*
 * Readable differences from `from` to `to`, a line each ("upstream cal-3:
 * slots 2 -> 4"); "" if none. Either may be NULL, for empty. Owned by caller.
 */
char *aub_config_diff(const struct aub_config *from,
		      const struct aub_config *to, GError **error);

G_END_DECLS

#endif

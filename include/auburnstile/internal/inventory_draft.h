/*
 * An inventory while it is being read: the tables, and for each line of them
 * the TOML it came from, so that a rule can name line and field.
 */
#ifndef AUBURNSTILE_INTERNAL_INVENTORY_DRAFT_H
#define AUBURNSTILE_INTERNAL_INVENTORY_DRAFT_H

#include <auburnstile/internal/problems.h>
#include <auburnstile/internal/toml_reader.h>
#include <auburnstile/inventory.h>

G_BEGIN_DECLS

/* Paths below this one are the system's own. */
#define AUB_RESERVED_PATH_PREFIX "/.auburnstile"

/* The TOML of one service or upstream, by the same index as its table. */
struct aub_draft_origin {
	const struct aub_toml_node *node; /* its table */
	char *label; /* "upstream[calendar-3]" */
};

struct aub_inventory_draft {
	struct aub_inventory *inventory;
	struct aub_problems *problems;
	GArray *services; /* of struct aub_draft_origin */
	GArray *upstreams; /* likewise */
};

/* Add a problem at `key` of an item, or at the item itself if absent. */
void aub_draft_add_problem(struct aub_inventory_draft *draft,
		       const struct aub_draft_origin *origin, const char *key,
		       const char *rule, const char *format, ...)
	G_GNUC_PRINTF(5, 6);

/* One key of an item: where its value goes and what it may be. */
enum aub_field_type {
	AUB_FIELD_NAME, /* char *, letters that are safe everywhere */
	AUB_FIELD_PATH, /* char *, canonical */
	AUB_FIELD_STRING, /* char * */
	AUB_FIELD_U16,
	AUB_FIELD_U32,
	AUB_FIELD_BOOLEAN,
	AUB_FIELD_CUSTOM /* a list, or a name that is looked up */
};

struct aub_field {
	const char *key;
	enum aub_field_type type;
	bool required;
	size_t offset;
	gint64 minimum;
	gint64 maximum;
};

/* Fill `out` from a table; keys that are absent leave it as it is. */
void aub_fields_read(struct aub_inventory_draft *draft,
		     const struct aub_draft_origin *origin,
		     const struct aub_field *fields, void *out);

/* Read each table of the list `key`; `label` names one in messages. */
typedef void aub_item_reader(struct aub_inventory_draft *draft,
			     const struct aub_draft_origin *origin,
			     void *context);
void aub_items_read(struct aub_inventory_draft *draft,
		    const struct aub_draft_origin *parent, const char *key,
		    const char *label, aub_item_reader *read, void *context);

/* Enter a name, which must be new; false (and reported) if it can't be. */
bool aub_name_register(struct aub_inventory_draft *draft,
		    const struct aub_draft_origin *origin, GHashTable *names,
		    const char *name, guint handle);
bool aub_name_is_valid(const char *name);

/* A name that must be in `names`; AUB_NO_HANDLE (and reported) if not. */
guint16 aub_reference_resolve(struct aub_inventory_draft *draft,
		      const struct aub_draft_origin *origin, const char *key,
		      const struct aub_toml_node *node, GHashTable *names,
		      const char *kind);

/* Report that `node`, the value of `key`, is not `wanted` ("a string"). */
void aub_draft_add_type_problem(struct aub_inventory_draft *draft,
		      const struct aub_draft_origin *origin, const char *key,
		      const char *expected, const struct aub_toml_node *node);

/* Check the rules that span items; inventory_check.c. */
void aub_inventory_check(struct aub_inventory_draft *draft);

/* An empty list of struct aub_at_most_once_rule that owns its strings. */
GArray *aub_at_most_once_rules_new(void);

G_END_DECLS

#endif

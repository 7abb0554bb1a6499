/*
 * An inventory that is being parsed: its tables, and the TOML node of each
 * item, so that messages can give line and field.
 */
#ifndef AUBURNSTILE_INTERNAL_INVENTORY_DRAFT_H
#define AUBURNSTILE_INTERNAL_INVENTORY_DRAFT_H

#include <auburnstile/internal/problems.h>
#include <auburnstile/internal/toml_reader.h>
#include <auburnstile/inventory.h>

G_BEGIN_DECLS

/* Paths below this one are reserved for the load balancer. */
#define AUB_RESERVED_PATH_PREFIX "/.auburnstile"

/*
 * The TOML node of a service or upstream; the index is the same as in the
 * inventory's table.
 */
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

/*
 * Adds a problem at `key` of an item, or at the item itself if `key` is NULL or
 * absent.
 */
void aub_draft_add_problem(struct aub_inventory_draft *draft,
			   const struct aub_draft_origin *origin,
			   const char *key, const char *rule,
			   const char *format, ...) G_GNUC_PRINTF(5, 6);

/* A key of an item: the type, range and offset of its value. */
enum aub_field_type {
	AUB_FIELD_NAME, /* char *, restricted character set */
	AUB_FIELD_PATH, /* char *, canonical */
	AUB_FIELD_STRING, /* char * */
	AUB_FIELD_U16,
	AUB_FIELD_U32,
	AUB_FIELD_BOOLEAN,
	AUB_FIELD_CUSTOM /* a list or a reference, read separately */
};

struct aub_field {
	const char *key;
	enum aub_field_type type;
	bool required;
	size_t offset;
	gint64 minimum;
	gint64 maximum;
};

/*
 * Reads the fields of a TOML table into `out`. Fields of absent keys are left
 * unchanged.
 */
void aub_fields_read(struct aub_inventory_draft *draft,
		     const struct aub_draft_origin *origin,
		     const struct aub_field *fields, void *out);

/*
 * Calls `read` for each table in the list `key`. `label` is the name of an item
 * in messages.
 */
typedef void aub_item_reader(struct aub_inventory_draft *draft,
			     const struct aub_draft_origin *origin,
			     void *context);
void aub_items_read(struct aub_inventory_draft *draft,
		    const struct aub_draft_origin *parent, const char *key,
		    const char *label, aub_item_reader *read, void *context);

/*
 * Registers the name of a new item. Returns false if `name` is NULL, and
 * reports a problem and returns false if it is not unique or the table is full.
 */
bool aub_name_register(struct aub_inventory_draft *draft,
		       const struct aub_draft_origin *origin, GHashTable *names,
		       const char *name, guint handle);
/* Returns true if the name has a valid length and only safe characters. */
bool aub_name_is_valid(const char *name);

/*
 * Returns the handle of a name that has to be in `names`. Otherwise reports a
 * problem and returns AUB_NO_HANDLE.
 */
guint16 aub_reference_resolve(struct aub_inventory_draft *draft,
			      const struct aub_draft_origin *origin,
			      const char *key, const struct aub_toml_node *node,
			      GHashTable *names, const char *kind);

/*
 * Reports that `node`, the value of `key`, is not of the expected type ("a
 * string").
 */
void aub_draft_add_type_problem(struct aub_inventory_draft *draft,
				const struct aub_draft_origin *origin,
				const char *key, const char *expected,
				const struct aub_toml_node *node);

/* Checks the rules that involve several items; see inventory_check.c. */
void aub_inventory_check(struct aub_inventory_draft *draft);

/*
 * Returns an empty list of struct aub_at_most_once_rule that owns its strings.
 */
GArray *aub_at_most_once_rules_new(void);

G_END_DECLS

#endif

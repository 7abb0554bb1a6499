/*
 * Reads the keys of one inventory item: types, ranges, names and references,
 * each problem reported with its line.
 */
#include <auburnstile/internal/inventory_draft.h>
#include <auburnstile/internal/request_path.h>

#include <stdarg.h>
#include <string.h>

/*
 * Fits into AUB_EVENT_NAME_BYTES bytes with the terminating zero, so that names
 * are not truncated in events, logs and metrics.
 */
#define NAME_BYTES_MAX 23

/* Handles have 16 bits, and AUB_NO_HANDLE is reserved. */
#define TABLE_ROWS_MAX (G_MAXUINT16 - 1)

void aub_draft_add_problem(struct aub_inventory_draft *draft,
			   const struct aub_draft_origin *origin,
			   const char *key, const char *rule,
			   const char *format, ...)
{
	const struct aub_toml_node *node = origin->node;
	const struct aub_toml_node *member =
		key && aub_toml_type(node) == AUB_TOML_TABLE ?
			aub_toml_member(node, key) :
			NULL;
	char *field = key ? g_strconcat(origin->label, ".", key, NULL) :
			    g_strdup(origin->label);
	va_list arguments;
	char *text;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	aub_problems_add(draft->problems, aub_toml_line(member ? member : node),
			 field, rule, "%s", text);
	g_free(text);
	g_free(field);
}

void aub_draft_add_type_problem(struct aub_inventory_draft *draft,
				const struct aub_draft_origin *origin,
				const char *key, const char *expected,
				const struct aub_toml_node *node)
{
	aub_draft_add_problem(draft, origin, key, "type", "must be %s, not %s",
			      expected,
			      aub_toml_type_name(aub_toml_type(node)));
}

bool aub_name_is_valid(const char *name)
{
	gsize length = strlen(name);

	return length >= 1 && length <= NAME_BYTES_MAX &&
	       g_ascii_isalnum(*name) &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyz"
			    "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			    "0123456789._-") == length;
}

static void path_read(struct aub_inventory_draft *draft,
		      const struct aub_draft_origin *origin, const char *key,
		      const char *value, char **out)
{
	char *canonical = aub_path_canonicalize(value);
	gsize length = strlen(canonical);

	/*
	 * A trailing slash is accepted; any other difference from the canonical
	 * form is not.
	 */
	if (*value != '/' || strncmp(canonical, value, length) != 0 ||
	    (value[length] && strcmp(value + length, "/") != 0))
		aub_draft_add_problem(
			draft, origin, key, "path",
			"\"%s\" is not a plain path such as \"/fees\"", value);
	*out = canonical;
}

static void string_read(struct aub_inventory_draft *draft,
			const struct aub_draft_origin *origin,
			const struct aub_field *field,
			const struct aub_toml_node *node, char **out)
{
	const char *value;

	if (!aub_toml_string(node, &value)) {
		aub_draft_add_type_problem(draft, origin, field->key,
					   "a string", node);
		return;
	}
	if (field->type == AUB_FIELD_PATH) {
		path_read(draft, origin, field->key, value, out);
		return;
	}
	if (field->type == AUB_FIELD_NAME && !aub_name_is_valid(value))
		aub_draft_add_problem(
			draft, origin, field->key, "name",
			"\"%s\" must be 1 to %d of a-z A-Z 0-9 . _ -, "
			"the first a letter or digit",
			value, NAME_BYTES_MAX);
	*out = g_strdup(value);
}

static void integer_read(struct aub_inventory_draft *draft,
			 const struct aub_draft_origin *origin,
			 const struct aub_field *field,
			 const struct aub_toml_node *node, void *out)
{
	gint64 value;

	if (!aub_toml_integer(node, &value))
		aub_draft_add_type_problem(draft, origin, field->key,
					   "an integer", node);
	else if (value < field->minimum || value > field->maximum)
		aub_draft_add_problem(draft, origin, field->key, "range",
				      "%" G_GINT64_FORMAT
				      " is out of range: %" G_GINT64_FORMAT
				      " to %" G_GINT64_FORMAT,
				      value, field->minimum, field->maximum);
	else if (field->type == AUB_FIELD_U16)
		*(guint16 *)out = (guint16)value;
	else
		*(guint32 *)out = (guint32)value;
}

struct check_known_key {
	struct aub_inventory_draft *draft;
	const struct aub_draft_origin *origin;
	const struct aub_field *fields;
};

static void check_known_key(const char *key, const struct aub_toml_node *node,
			    void *context)
{
	const struct check_known_key *check = context;
	const struct aub_field *field = check->fields;

	while (field->key && strcmp(field->key, key) != 0)
		field++;
	if (!field->key)
		aub_draft_add_problem(check->draft, check->origin, key,
				      "unknown-key", "unknown key");
}

void aub_fields_read(struct aub_inventory_draft *draft,
		     const struct aub_draft_origin *origin,
		     const struct aub_field *fields, void *out)
{
	struct check_known_key check = { draft, origin, fields };

	aub_toml_visit(origin->node, check_known_key, &check);
	for (const struct aub_field *field = fields; field->key; field++) {
		const struct aub_toml_node *node =
			aub_toml_member(origin->node, field->key);
		void *target = (guint8 *)out + field->offset;

		if (!node) {
			if (field->required)
				aub_draft_add_problem(
					draft, origin, field->key, "missing",
					"required key is missing");
			continue;
		}
		switch (field->type) {
		case AUB_FIELD_NAME:
		case AUB_FIELD_PATH:
		case AUB_FIELD_STRING:
			string_read(draft, origin, field, node, target);
			break;
		case AUB_FIELD_U16:
		case AUB_FIELD_U32:
			integer_read(draft, origin, field, node, target);
			break;
		case AUB_FIELD_BOOLEAN:
			if (!aub_toml_boolean(node, target))
				aub_draft_add_type_problem(draft, origin,
							   field->key,
							   "true or false",
							   node);
			break;
		case AUB_FIELD_CUSTOM:
			break;
		}
	}
}

bool aub_name_register(struct aub_inventory_draft *draft,
		       const struct aub_draft_origin *origin, GHashTable *names,
		       const char *name, guint handle)
{
	if (!name)
		return false;
	if (handle > TABLE_ROWS_MAX) {
		aub_draft_add_problem(draft, origin, NULL, "size",
				      "more than %u items of this kind",
				      TABLE_ROWS_MAX);
		return false;
	}
	if (g_hash_table_contains(names, name)) {
		aub_draft_add_problem(draft, origin, "name", "duplicate",
				      "\"%s\" is already defined", name);
		return false;
	}
	g_hash_table_insert(names, g_strdup(name),
			    GUINT_TO_POINTER(handle + 1));
	return true;
}

guint16 aub_reference_resolve(struct aub_inventory_draft *draft,
			      const struct aub_draft_origin *origin,
			      const char *key, const struct aub_toml_node *node,
			      GHashTable *names, const char *kind)
{
	const char *name;
	guint handle;

	if (!node)
		return AUB_NO_HANDLE;
	if (!aub_toml_string(node, &name)) {
		aub_draft_add_type_problem(draft, origin, key, "a string",
					   node);
		return AUB_NO_HANDLE;
	}
	handle = GPOINTER_TO_UINT(g_hash_table_lookup(names, name));
	if (!handle) {
		aub_draft_add_problem(draft, origin, key, "reference",
				      "there is no %s \"%s\"", kind, name);
		return AUB_NO_HANDLE;
	}
	return (guint16)(handle - 1);
}

void aub_items_read(struct aub_inventory_draft *draft,
		    const struct aub_draft_origin *parent, const char *key,
		    const char *label, aub_item_reader *read, void *context)
{
	const struct aub_toml_node *list = aub_toml_member(parent->node, key);

	if (!list)
		return;
	if (aub_toml_type(list) != AUB_TOML_ARRAY) {
		aub_draft_add_type_problem(draft, parent, key,
					   "a list of tables", list);
		return;
	}
	for (guint i = 0; i < aub_toml_size(list); i++) {
		const struct aub_toml_node *node = aub_toml_item(list, i);
		const struct aub_toml_node *name_node;
		struct aub_draft_origin origin = { .node = node };
		const char *name;

		if (aub_toml_type(node) != AUB_TOML_TABLE) {
			aub_draft_add_type_problem(draft, parent, key,
						   "a list of tables", node);
			continue;
		}
		name_node = aub_toml_member(node, "name");
		if (name_node && aub_toml_string(name_node, &name))
			origin.label = g_strdup_printf("%s[%s]", label, name);
		else
			origin.label = g_strdup_printf("%s[#%u]", label, i + 1);
		read(draft, &origin, context);
		g_free(origin.label);
	}
}

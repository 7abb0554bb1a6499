/*
 * C interface to the TOML parser toml++.
 *
 * A document owns its nodes; every returned pointer is borrowed from it. Each
 * node has the line and column (from 1) at which its value begins.
 */
#ifndef AUBURNSTILE_INTERNAL_TOML_READER_H
#define AUBURNSTILE_INTERNAL_TOML_READER_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_toml;
struct aub_toml_node;

enum aub_toml_type {
	AUB_TOML_TABLE,
	AUB_TOML_ARRAY,
	AUB_TOML_STRING,
	AUB_TOML_INTEGER,
	AUB_TOML_BOOLEAN,
	AUB_TOML_OTHER /* floating point, dates and times */
};

/*
 * Parses `length` bytes. Returns the document, owned by the caller, or NULL
 * with AUB_ERROR_INVALID set, whose message has one line
 * "source:LINE: syntax: text".
 */
struct aub_toml *aub_toml_parse(const char *text, gsize length,
				const char *source, GError **error);
void aub_toml_free(struct aub_toml *document);

const struct aub_toml_node *aub_toml_root(const struct aub_toml *document);

enum aub_toml_type aub_toml_type(const struct aub_toml_node *node);
guint aub_toml_line(const struct aub_toml_node *node);
guint aub_toml_column(const struct aub_toml_node *node);

/* Returns the number of members of a table or array; 0 for other nodes. */
guint aub_toml_size(const struct aub_toml_node *node);
/* Returns an element of an array; `index` must be in range. */
const struct aub_toml_node *aub_toml_item(const struct aub_toml_node *array,
					  guint index);
/* Returns a member of a table; NULL if there is none. */
const struct aub_toml_node *aub_toml_member(const struct aub_toml_node *table,
					    const char *key);

/* Calls `visit` for each member of a table, in the order of the keys. */
typedef void aub_toml_visitor(const char *key, const struct aub_toml_node *node,
			      void *context);
void aub_toml_visit(const struct aub_toml_node *table, aub_toml_visitor *visit,
		    void *context);

/*
 * Store the value of a node in `*value`; return false if it has another type.
 * A string that contains a NUL byte is rejected as well.
 */
bool aub_toml_string(const struct aub_toml_node *node, const char **value);
bool aub_toml_integer(const struct aub_toml_node *node, gint64 *value);
/* Also accepts an integer. */
bool aub_toml_real(const struct aub_toml_node *node, double *value);
bool aub_toml_boolean(const struct aub_toml_node *node, bool *value);

/* Returns a noun with its article for error messages ("a table"). */
const char *aub_toml_type_name(enum aub_toml_type type);

G_END_DECLS

#endif

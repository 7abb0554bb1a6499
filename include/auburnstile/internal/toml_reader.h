/*
 * TOML documents, read by toml++ behind a C interface.
 *
 * A document owns its nodes; every pointer handed out is borrowed from it.
 * Each node knows the line and column (from 1) at which its value begins.
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
 * Parse `length` bytes. Owned by the caller. NULL with AUB_ERROR_INVALID,
 * whose message holds one line "source:LINE: syntax: text".
 */
struct aub_toml *aub_toml_parse(const char *text, gsize length,
				const char *source, GError **error);
void aub_toml_free(struct aub_toml *document);

const struct aub_toml_node *aub_toml_root(const struct aub_toml *document);

enum aub_toml_type aub_toml_type(const struct aub_toml_node *node);
guint aub_toml_line(const struct aub_toml_node *node);
guint aub_toml_column(const struct aub_toml_node *node);

/* Members of a table or an array; 0 for every other node. */
guint aub_toml_size(const struct aub_toml_node *node);
const struct aub_toml_node *aub_toml_item(const struct aub_toml_node *array,
					  guint index);
const struct aub_toml_node *aub_toml_member(const struct aub_toml_node *table,
					    const char *key);

/* Visit the members of a table in the order of their keys. */
typedef void aub_toml_visitor(const char *key, const struct aub_toml_node *node,
			      void *context);
void aub_toml_visit(const struct aub_toml_node *table, aub_toml_visitor *visit,
		    void *context);

/*
 * The value of a node; false where it has another type. A string that holds
 * a NUL byte is no string here.
 */
bool aub_toml_string(const struct aub_toml_node *node, const char **value);
bool aub_toml_integer(const struct aub_toml_node *node, gint64 *value);
/* An integer is read as a real number, too. */
bool aub_toml_real(const struct aub_toml_node *node, double *value);
bool aub_toml_boolean(const struct aub_toml_node *node, bool *value);

/* "a table", "an integer": for error messages. */
const char *aub_toml_type_name(enum aub_toml_type type);

G_END_DECLS

#endif

/*
 * Msgpack documents from external sources, accessed by member name and
 * validated before they are decoded. The counterpart of json.h where parsing
 * has to be fast.
 *
 * Every getter accepts NULL and then returns its empty value, so that a chain
 * of lookups has to be checked at its end only.
 */
#ifndef AUBURNSTILE_INTERNAL_DOCUMENT_H
#define AUBURNSTILE_INTERNAL_DOCUMENT_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_document;

/*
 * Parses a document whose root is a map; the caller frees it with
 * aub_document_free(). `data` must outlive the document, whose strings point
 * into it. `step` and `peer` are used in errors. Returns NULL and sets
 * AUB_ERROR_INVALID on failure.
 */
struct aub_document *aub_document_parse(const void *data, gsize length,
					const char *step, const char *peer,
					GError **error);
void aub_document_free(struct aub_document *document);
/*
 * Returns the root map, borrowed from the document like everything that the
 * getters below return.
 */
const msgpack_object *aub_document_root(const struct aub_document *document);

/* Returns a member of any type; NULL if there is none. */
const msgpack_object *aub_map_get(const msgpack_object *map, const char *name);
/* Return a member; NULL, 0 or false if it is missing or of another type. */
const msgpack_object *aub_map_map(const msgpack_object *map, const char *name);
const msgpack_object *aub_map_list(const msgpack_object *map, const char *name);
bool aub_map_has_integer(const msgpack_object *map, const char *name);
gint64 aub_map_integer(const msgpack_object *map, const char *name);
bool aub_map_boolean(const msgpack_object *map, const char *name);

/*
 * Return the length of a list (0 if `list` is not a list) and an element (NULL
 * if there is none).
 */
guint aub_list_length(const msgpack_object *list);
const msgpack_object *aub_list_get(const msgpack_object *list, guint index);

/*
 * Returns a copy of a string, which the caller frees with g_free(). NULL if
 * the value is not a string, is not UTF-8 or contains a NUL.
 */
char *aub_value_text(const msgpack_object *value);
bool aub_value_text_is(const msgpack_object *value, const char *text);
/* Reads an integer or floating-point value; false if it is neither. */
bool aub_value_number(const msgpack_object *value, double *number);

G_END_DECLS

#endif

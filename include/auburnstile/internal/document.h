/*
 * Documents from outside in msgpack: maps by name, checked before they are
 * read. The counterpart of json.h for bodies that have to be read fast.
 *
 * Every getter takes NULL for a map and says "nothing" of it, so that a path
 * into a document needs one check at its end.
 */
#ifndef AUBURNSTILE_INTERNAL_DOCUMENT_H
#define AUBURNSTILE_INTERNAL_DOCUMENT_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_document;

/*
 * Parse one map. `step` and `peer` go into errors. `data` has to outlive the
 * document, whose texts point into it. NULL with AUB_ERROR_INVALID.
 */
struct aub_document *aub_document_parse(const void *data, gsize length,
					const char *step, const char *peer,
					GError **error);
void aub_document_free(struct aub_document *document);
/* The map itself; borrowed, as all that the getters below return. */
const msgpack_object *aub_document_root(const struct aub_document *document);

/* Any member; NULL where there is none. */
const msgpack_object *aub_map_get(const msgpack_object *map, const char *name);
/* Members of one type; NULL, 0 or false where there is none. */
const msgpack_object *aub_map_map(const msgpack_object *map, const char *name);
const msgpack_object *aub_map_list(const msgpack_object *map, const char *name);
bool aub_map_has_integer(const msgpack_object *map, const char *name);
gint64 aub_map_integer(const msgpack_object *map, const char *name);
bool aub_map_boolean(const msgpack_object *map, const char *name);

/* Length of a list, and its elements. */
guint aub_list_length(const msgpack_object *list);
const msgpack_object *aub_list_get(const msgpack_object *list, guint index);

/* Text in UTF-8 without a NUL; g_free; NULL where it is something else. */
char *aub_value_text(const msgpack_object *value);
bool aub_value_text_is(const msgpack_object *value, const char *text);
/* An integer or a real number. */
bool aub_value_number(const msgpack_object *value, double *number);

G_END_DECLS

#endif

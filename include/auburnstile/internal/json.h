/*
 * JSON parsing and printing with json-glib, and the checks that json-glib
 * leaves to its users: nesting depth and encoding.
 */
#ifndef AUBURNSTILE_INTERNAL_JSON_H
#define AUBURNSTILE_INTERNAL_JSON_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Parses a text whose root is an object. Returns the object, which the caller
 * releases with json_object_unref(), or NULL with AUB_ERROR_INVALID set.
 * `step` and `peer` are used in errors.
 */
JsonObject *aub_json_parse(const char *text, gsize length, const char *step,
			   const char *peer, GError **error);

/*
 * Returns the compact text of `object`, which the caller frees with g_free().
 * Takes ownership of `object`.
 */
char *aub_json_print(JsonObject *object);
/* Returns the indented text of `node`; `node` is borrowed. */
char *aub_json_pretty(JsonNode *node);

/*
 * Return a member, borrowed from `object`; NULL, 0 or false if it is missing
 * or of another type.
 */
const char *aub_json_string(JsonObject *object, const char *name);
gint64 aub_json_integer(JsonObject *object, const char *name);
bool aub_json_boolean(JsonObject *object, const char *name);
JsonObject *aub_json_object(JsonObject *object, const char *name);
JsonArray *aub_json_array(JsonObject *object, const char *name);
/* Returns an element of an array; NULL if it is not an object. */
JsonObject *aub_json_element(JsonArray *array, guint index);

/*
 * Appends a quoted and escaped string. Used to print long lists without
 * building objects. Bytes that are not valid UTF-8 are replaced.
 */
void aub_json_append_string(GString *out, const char *text);

G_END_DECLS

#endif

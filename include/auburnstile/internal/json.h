/*
 * JSON by json-glib, with the checks that it leaves to its users: size of
 * nesting and encoding. Every getter says what is missing or of another type.
 */
#ifndef AUBURNSTILE_INTERNAL_JSON_H
#define AUBURNSTILE_INTERNAL_JSON_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Parse an object. `step` and `peer` go into errors. The result is owned by
 * the caller (json_object_unref); NULL with AUB_ERROR_INVALID.
 */
JsonObject *aub_json_parse(const char *text, gsize length, const char *step,
			   const char *peer, GError **error);

/* Text of an object, which is taken over; owned by the caller. */
char *aub_json_print(JsonObject *object);
/* The same, indented for people. `node` is borrowed. */
char *aub_json_pretty(JsonNode *node);

/*
 * Members, borrowed; the fallback (NULL, 0, false) where there is none of
 * that type.
 */
const char *aub_json_string(JsonObject *object, const char *name);
gint64 aub_json_integer(JsonObject *object, const char *name);
bool aub_json_boolean(JsonObject *object, const char *name);
JsonObject *aub_json_object(JsonObject *object, const char *name);
JsonArray *aub_json_array(JsonObject *object, const char *name);
/* Element of an array as an object; NULL where it is something else. */
JsonObject *aub_json_element(JsonArray *array, guint index);

/*
 * Append a quoted string: for lists too long to be built as objects. Bytes
 * that are no UTF-8 are replaced.
 */
void aub_json_append_string(GString *out, const char *text);

G_END_DECLS

#endif

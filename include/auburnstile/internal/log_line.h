/* Parses one line of a gateway's log, which is JSON. */
#ifndef AUBURNSTILE_INTERNAL_LOG_LINE_H
#define AUBURNSTILE_INTERNAL_LOG_LINE_H

#include <json-glib/json-glib.h>

G_BEGIN_DECLS

/*
 * Returns the JSON object of a line, ignoring any text before the first brace,
 * or NULL if the line is not one of a gateway's log (invalid, of another
 * program, or truncated). Free with json_object_unref().
 */
JsonObject *aub_log_line_parse(const char *text);

/*
 * Returns all fields except time, node, event and id, as " name=value ...".
 * Free with g_free().
 */
char *aub_log_line_fields(JsonObject *object);

G_END_DECLS

#endif

/*
 * One line of a gateway's log, as JSON.
 */
#ifndef AUBURNSTILE_INTERNAL_LOG_LINE_H
#define AUBURNSTILE_INTERNAL_LOG_LINE_H

#include <json-glib/json-glib.h>

G_BEGIN_DECLS

/*
 * The object of a line; what stands before its first brace is ignored. NULL
 * where it is no line of a log: broken, foreign or cut off. json_object_unref.
 */
JsonObject *aub_log_line_parse(const char *text);

/* Fields other than time, node, event and id, as " name=value ..."; g_free. */
char *aub_log_line_fields(JsonObject *object);

G_END_DECLS

#endif

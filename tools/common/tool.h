/*
 * What the helper programs share: listening, JSON in and out, and the ways
 * of treating a connection badly. Single-threaded, on the default context.
 */
#ifndef TOOL_H
#define TOOL_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Parse "ip:port"; `*port` may be 0. The result is owned by the caller. */
GSocketAddress *tool_address_parse(const char *text, GError **error);

/* Listen on "ip:port"; sets `*port` (may be NULL) to the one in use. */
bool tool_listen(SoupServer *server, const char *text, guint16 *port,
		 GError **error);

/* Answer with JSON; `root` is taken over. */
void tool_answer_json(SoupServerMessage *message, guint status, JsonNode *root);

/* Answer with a status and a short text. */
void tool_answer_text(SoupServerMessage *message, guint status,
		      const char *text);

/* Serialize and free `root`; the text is owned by the caller. */
char *tool_json_serialize(JsonNode *root);

/* The body of a request as a JSON object, owned by the caller, or NULL. */
JsonObject *tool_request_json(SoupServerMessage *message);

/* Members of an object, or `otherwise` where absent or of another type. */
gint64 tool_json_int(JsonObject *object, const char *name, gint64 fallback);
double tool_json_double(JsonObject *object, const char *name, double fallback);
const char *tool_json_string(JsonObject *object, const char *name,
			     const char *fallback);

/*
 * End the connection of a message whose answer will never be sent, in order
 * or (`reset`) with an RST.
 */
void tool_close_connection(SoupServerMessage *message, bool reset);

/* End a connection of one's own in the same two ways. */
void tool_socket_reset_on_close(GSocket *socket);

/* Run until SIGINT or SIGTERM, or until `*done` when `done` is not NULL. */
void tool_run_until_signal(const bool *done);

G_END_DECLS

#endif

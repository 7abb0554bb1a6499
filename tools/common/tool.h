/*
 * Functions shared by the helper programs: listening on an address, JSON
 * requests and responses, and closing connections abruptly. Single-threaded;
 * uses the default main context.
 */
#ifndef TOOL_H
#define TOOL_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Parses "ip:port"; the port may be 0. Returns an address that the caller
 * unreferences, or NULL with AUB_ERROR_INVALID set.
 */
GSocketAddress *tool_address_parse(const char *text, GError **error);

/*
 * Makes the server listen on "ip:port". Sets `*port` (may be NULL) to the port
 * that is in use. Returns false and sets `error` on failure.
 */
bool tool_listen(SoupServer *server, const char *text, guint16 *port,
		 GError **error);

/* Sets a JSON response; takes ownership of `root`. */
void tool_answer_json(SoupServerMessage *message, guint status, JsonNode *root);

/* Sets a plain text response. */
void tool_answer_text(SoupServerMessage *message, guint status,
		      const char *text);

/* Serializes `root` and frees it. The caller frees the text. */
char *tool_json_serialize(JsonNode *root);

/*
 * Returns a request's body as a JSON object, which the caller unreferences, or
 * NULL if it is not a JSON object.
 */
JsonObject *tool_request_json(SoupServerMessage *message);

/*
 * These return a member of an object, or `fallback` if `object` is NULL, or the
 * member is absent or not a scalar. A string is borrowed from the object.
 */
gint64 tool_json_int(JsonObject *object, const char *name, gint64 fallback);
double tool_json_double(JsonObject *object, const char *name, double fallback);
const char *tool_json_string(JsonObject *object, const char *name,
			     const char *fallback);

/*
 * Closes the connection of a message that gets no response, normally or, if
 * `reset` is true, with an RST.
 */
void tool_close_connection(SoupServerMessage *message, bool reset);

/* Makes the close of a socket send an RST (SO_LINGER with a timeout of 0). */
void tool_socket_reset_on_close(GSocket *socket);

/*
 * Runs the default main loop until SIGINT or SIGTERM arrives, or until `*done`
 * is true if `done` is not NULL.
 */
void tool_run_until_signal(const bool *done);

G_END_DECLS

#endif

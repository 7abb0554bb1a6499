/* Functions shared by the helper programs; see tool.h. */
#include "tool.h"

#include <auburnstile/error.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>

GSocketAddress *tool_address_parse(const char *text, GError **error)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	GSocketAddress *address = NULL;
	char *host;
	char *end = NULL;
	unsigned long port;

	if (!colon) {
		aub_error_set(error, AUB_ERROR_INVALID, "parse address", text,
			      "expected ip:port");
		return NULL;
	}
	host = g_strndup(text, colon - text);
	port = strtoul(colon + 1, &end, 10);
	if (!*end && colon[1] && port <= G_MAXUINT16)
		address = g_inet_socket_address_new_from_string(host, port);
	if (!address)
		aub_error_set(error, AUB_ERROR_INVALID, "parse address", text,
			      "expected ip:port");
	g_free(host);
	return address;
}

bool tool_listen(SoupServer *server, const char *text, guint16 *port,
		 GError **error)
{
	GSocketAddress *address = tool_address_parse(text, error);
	GSList *uris;
	bool ok;

	if (!address)
		return false;
	ok = soup_server_listen(server, address, 0, error);
	g_object_unref(address);
	if (!ok || !port)
		return ok;
	uris = soup_server_get_uris(server);
	*port = uris ? g_uri_get_port(uris->data) : 0;
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return true;
}

char *tool_json_serialize(JsonNode *root)
{
	char *text = json_to_string(root, FALSE);

	json_node_unref(root);
	return text;
}

void tool_answer_json(SoupServerMessage *message, guint status, JsonNode *root)
{
	char *text = tool_json_serialize(root);

	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE, text, strlen(text));
}

void tool_answer_text(SoupServerMessage *message, guint status,
		      const char *text)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "text/plain",
					 SOUP_MEMORY_COPY, text, strlen(text));
}

JsonObject *tool_request_json(SoupServerMessage *message)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	JsonParser *parser = json_parser_new();
	JsonObject *object = NULL;
	JsonNode *root;

	if (json_parser_load_from_data(parser, body->data ? body->data : "",
				       body->length, NULL)) {
		root = json_parser_get_root(parser);
		if (root && JSON_NODE_HOLDS_OBJECT(root))
			object = json_object_ref(json_node_get_object(root));
	}
	g_object_unref(parser);
	return object;
}

static JsonNode *find_scalar(JsonObject *object, const char *name)
{
	JsonNode *node = NULL;

	if (object && json_object_has_member(object, name))
		node = json_object_get_member(object, name);
	return node && JSON_NODE_HOLDS_VALUE(node) ? node : NULL;
}

gint64 tool_json_int(JsonObject *object, const char *name, gint64 fallback)
{
	JsonNode *node = find_scalar(object, name);

	return node ? json_node_get_int(node) : fallback;
}

double tool_json_double(JsonObject *object, const char *name, double fallback)
{
	JsonNode *node = find_scalar(object, name);

	return node ? json_node_get_double(node) : fallback;
}

const char *tool_json_string(JsonObject *object, const char *name,
			     const char *fallback)
{
	JsonNode *node = find_scalar(object, name);
	const char *text = node ? json_node_get_string(node) : NULL;

	return text ? text : fallback;
}

void tool_socket_reset_on_close(GSocket *socket)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
}

void tool_close_connection(SoupServerMessage *message, bool reset)
{
	GSocket *socket = soup_server_message_get_socket(message);
	GIOStream *stream;

	if (socket && reset)
		tool_socket_reset_on_close(socket);
	stream = soup_server_message_steal_connection(message);
	if (!stream)
		return;
	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(stream);
}

static gboolean on_signal(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_CONTINUE;
}

void tool_run_until_signal(const bool *done)
{
	bool stop = false;
	guint interrupt = g_unix_signal_add(SIGINT, on_signal, &stop);
	guint terminate = g_unix_signal_add(SIGTERM, on_signal, &stop);

	while (!stop && !(done && *done))
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(interrupt);
	g_source_remove(terminate);
}

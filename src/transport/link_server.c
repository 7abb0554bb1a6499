/*
 * The listening side of links.
 *
 * The server owns accepted links until the peer's hello is received. Their
 * number is limited, so that unknown peers that connect and send nothing use
 * few resources.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/link_socket.h>
#include <auburnstile/link.h>
#include <auburnstile/log.h>

#include <stdlib.h>
#include <string.h>

#define HANDSHAKES_MAX 256 /* concurrent links without a hello */

struct aub_link_server {
	GSocket *socket;
	GSource *readable;
	struct aub_hello *hello; /* of this process */
	GHashTable *handshaking; /* set of struct aub_link, owned */
	aub_link_accept_callback *accepted;
	void *context;
};

GSocketAddress *aubi_socket_address_parse(const char *text, GError **error)
{
	const char *colon = strrchr(text, ':');
	GSocketAddress *address = NULL;
	char *host;
	char *end;
	unsigned long port;

	if (!colon)
		goto invalid;
	port = strtoul(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port > G_MAXUINT16)
		goto invalid;
	host = g_strndup(text, (gsize)(colon - text));
	address = g_inet_socket_address_new_from_string(host, (guint)port);
	g_free(host);
	if (address)
		return address;
invalid:
	aub_error_set(error, AUB_ERROR_INVALID, "parse address", text,
		      "expected \"ip:port\"");
	return NULL;
}

char *aubi_socket_address_text(GSocketAddress *address)
{
	GInetSocketAddress *inet = G_INET_SOCKET_ADDRESS(address);
	char *host = g_inet_address_to_string(
		g_inet_socket_address_get_address(inet));
	char *text = g_strdup_printf("%s:%u", host,
				     g_inet_socket_address_get_port(inet));

	g_free(host);
	return text;
}

GSource *aubi_socket_watch(GSocket *socket, GIOCondition condition,
			   GSocketSourceFunc function, void *data)
{
	GSource *source = g_socket_create_source(socket, condition, NULL);

	g_source_set_callback(source, G_SOURCE_FUNC(function), data, NULL);
	g_source_attach(source, g_main_context_get_thread_default());
	return source;
}

static const struct aub_link_callbacks *on_hello_received(
	struct aub_link *link, const struct aub_hello *hello, void *context,
	void **link_context)
{
	struct aub_link_server *server = context;

	g_hash_table_steal(server->handshaking, link);
	return server->accepted(link, hello, server->context, link_context);
}

static void on_handshake_failed(struct aub_link *link, const GError *error,
				void *context)
{
	struct aub_link_server *server = context;

	aub_log_info("link rejected: %s", error->message);
	g_hash_table_remove(server->handshaking, link);
}

static void accept_link(struct aub_link_server *server, GSocket *socket)
{
	struct aubi_link_accept_callbacks acceptor = {
		.hello_received = on_hello_received,
		.handshake_failed = on_handshake_failed,
		.context = server,
	};
	GSocketAddress *address = g_socket_get_remote_address(socket, NULL);
	char *peer;

	if (!address)
		return;
	peer = aubi_socket_address_text(address);
	g_hash_table_add(server->handshaking,
			 aubi_link_new_accepted(socket, peer, server->hello,
						&acceptor));
	g_free(peer);
	g_object_unref(address);
}

static gboolean on_connection(GSocket *listener, GIOCondition condition,
			      void *data)
{
	struct aub_link_server *server = data;
	GSocket *socket = g_socket_accept(listener, NULL, NULL);

	if (!socket)
		return G_SOURCE_CONTINUE;
	if (g_hash_table_size(server->handshaking) < HANDSHAKES_MAX)
		accept_link(server, socket);
	g_object_unref(socket);
	return G_SOURCE_CONTINUE;
}

static GSocket *listen_on(const char *text, GError **error)
{
	GSocketAddress *address = aubi_socket_address_parse(text, error);
	GSocket *socket = NULL;
	GError *cause = NULL;

	if (!address)
		return NULL;
	socket = g_socket_new(g_socket_address_get_family(address),
			      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
			      &cause);
	if (!socket)
		goto failed;
	g_socket_set_blocking(socket, FALSE);
	if (!g_socket_bind(socket, address, TRUE, &cause) ||
	    !g_socket_listen(socket, &cause))
		goto failed;
	g_object_unref(address);
	return socket;
failed:
	aub_error_set(error, AUB_ERROR_UNAVAILABLE, "listen", text, "%s",
		      cause->message);
	g_error_free(cause);
	g_clear_object(&socket);
	g_object_unref(address);
	return NULL;
}

static struct aub_hello *hello_copy(const struct aub_hello *from)
{
	struct aub_message *base = aub_message_new(AUB_MESSAGE_HELLO);
	struct aub_hello *to = (struct aub_hello *)base;

	to->role = from->role;
	to->incarnation = from->incarnation;
	aub_string_set(&to->name, from->name);
	aub_string_set(&to->zone, from->zone);
	aub_string_set(&to->address, from->address);
	aub_string_set(&to->callers_address, from->callers_address);
	aub_string_set(&to->admin_address, from->admin_address);
	return to;
}

static void free_link(void *link)
{
	aub_link_free(link);
}

struct aub_link_server *aub_link_server_new(const char *address,
					    const struct aub_hello *hello,
					    aub_link_accept_callback *accepted,
					    void *server_context,
					    GError **error)
{
	GSocket *socket = listen_on(address, error);
	struct aub_link_server *server;

	if (!socket)
		return NULL;
	server = g_new0(struct aub_link_server, 1);
	server->socket = socket;
	server->hello = hello_copy(hello);
	server->accepted = accepted;
	server->context = server_context;
	server->handshaking =
		g_hash_table_new_full(NULL, NULL, free_link, NULL);
	server->readable =
		aubi_socket_watch(socket, G_IO_IN, on_connection, server);
	return server;
}

void aub_link_server_free(struct aub_link_server *server)
{
	if (!server)
		return;
	g_source_destroy(server->readable);
	g_source_unref(server->readable);
	g_socket_close(server->socket, NULL);
	g_object_unref(server->socket);
	g_hash_table_destroy(server->handshaking);
	aub_message_free(&server->hello->base);
	g_free(server);
}

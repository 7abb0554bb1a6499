/*
 * An HTTP server in the test process whose answers are scripted, including
 * malformed ones.
 */
#ifndef AUBURNSTILE_TESTS_SCRIPTED_SERVER_H
#define AUBURNSTILE_TESTS_SCRIPTED_SERVER_H

#include <gio/gio.h>

#include <functional>
#include <string>
#include <vector>

struct ScriptedReply {
	std::string bytes;
	bool close = false; /* after the bytes */
};

class ScriptedServer
{
      public:
	std::function<ScriptedReply(const std::string &request)> script;
	std::vector<std::string> requests;
	int connections = 0;
	int closed = 0; /* connections closed by the other end */

	ScriptedServer()
	{
		GSocketListener *listener = g_socket_listener_new();
		port = g_socket_listener_add_any_inet_port(listener, nullptr,
							   nullptr);
		g_object_unref(listener);
		service = g_socket_service_new();
		GInetAddress *loopback =
			g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
		GSocketAddress *address =
			g_inet_socket_address_new(loopback, port);
		g_socket_listener_add_address(G_SOCKET_LISTENER(service),
					      address, G_SOCKET_TYPE_STREAM,
					      G_SOCKET_PROTOCOL_TCP, nullptr,
					      nullptr, nullptr);
		g_object_unref(address);
		g_object_unref(loopback);
		g_signal_connect(service, "incoming", G_CALLBACK(on_incoming),
				 this);
	}

	~ScriptedServer()
	{
		g_socket_service_stop(service);
		g_socket_listener_close(G_SOCKET_LISTENER(service));
		g_object_unref(service);
		for (Connection *state : open_connections)
			close_connection(state);
	}

	/* Writes bytes on the newest connection, independent of requests. */
	void write(const std::string &bytes)
	{
		GSocket *socket = g_socket_connection_get_socket(
			open_connections.back()->connection);

		g_socket_send(socket, bytes.data(), bytes.size(), nullptr,
			      nullptr);
	}

	guint16 port;

      private:
	struct Connection {
		ScriptedServer *server;
		GSocketConnection *connection;
		GSource *source;
		std::string input;
	};

	GSocketService *service;
	std::vector<Connection *> open_connections;

	static void close_connection(Connection *state)
	{
		g_source_destroy(state->source);
		g_source_unref(state->source);
		g_io_stream_close(G_IO_STREAM(state->connection), nullptr,
				  nullptr);
		g_object_unref(state->connection);
		delete state;
	}

	static gboolean on_incoming(GSocketService *,
				    GSocketConnection *incoming, GObject *,
				    void *data)
	{
		ScriptedServer *server = static_cast<ScriptedServer *>(data);
		Connection *state =
			new Connection{ server, incoming, nullptr, "" };
		GSocket *socket = g_socket_connection_get_socket(incoming);

		g_object_ref(incoming);
		g_socket_set_blocking(socket, FALSE);
		state->source =
			g_socket_create_source(socket, G_IO_IN, nullptr);
		g_source_set_callback(state->source, G_SOURCE_FUNC(on_readable),
				      state, nullptr);
		g_source_attach(state->source, nullptr);
		server->open_connections.push_back(state);
		server->connections++;
		return TRUE;
	}

	/*
	 * Removes and returns the first complete request of `input`; "" if
	 * there is none.
	 */
	static std::string take_request(std::string &input)
	{
		size_t end = input.find("\r\n\r\n");
		if (end == std::string::npos)
			return "";
		size_t length = end + 4;
		size_t at = input.find("Content-Length: ");
		if (at != std::string::npos && at < end)
			length += std::stoul(input.substr(at + 16));
		if (input.size() < length)
			return "";
		std::string request = input.substr(0, length);
		input.erase(0, length);
		return request;
	}

	static gboolean on_readable(GSocket *socket, GIOCondition, void *data)
	{
		Connection *state = static_cast<Connection *>(data);
		ScriptedServer *server = state->server;
		char bytes[4096];
		gssize count = g_socket_receive(socket, bytes, sizeof(bytes),
						nullptr, nullptr);
		bool closing = count <= 0;

		if (closing)
			server->closed++;
		else
			state->input.append(bytes, count);
		std::string request = closing ? "" : take_request(state->input);
		if (!request.empty()) {
			server->requests.push_back(request);
			ScriptedReply reply = server->script(request);
			g_socket_send(socket, reply.bytes.data(),
				      reply.bytes.size(), nullptr, nullptr);
			closing = reply.close;
		}
		if (closing) {
			std::erase(server->open_connections, state);
			close_connection(state);
		}
		return closing ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
	}
};

#endif

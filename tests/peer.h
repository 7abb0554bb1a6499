/*
 * A scripted HTTP peer in this process, for tests of clients: reads whole
 * requests off its connections and writes bytes as told, broken ones too.
 */
#ifndef AUBURNSTILE_TESTS_PEER_H
#define AUBURNSTILE_TESTS_PEER_H

#include <gio/gio.h>

#include <functional>
#include <string>
#include <vector>

struct PeerReply {
	std::string bytes;
	bool close = false; /* after the bytes */
};

class Peer
{
      public:
	std::function<PeerReply(const std::string &request)> script;
	std::vector<std::string> requests;
	int connections = 0;
	int closed = 0; /* connections that the other end closed */

	Peer()
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

	~Peer()
	{
		g_socket_service_stop(service);
		g_socket_listener_close(G_SOCKET_LISTENER(service));
		g_object_unref(service);
		for (Line *line : lines)
			drop(line);
	}

	/* Write late, on the newest connection. */
	void write(const std::string &bytes)
	{
		GSocket *socket = g_socket_connection_get_socket(
			lines.back()->connection);

		g_socket_send(socket, bytes.data(), bytes.size(), nullptr,
			      nullptr);
	}

	guint16 port;

      private:
	struct Line {
		Peer *peer;
		GSocketConnection *connection;
		GSource *source;
		std::string input;
	};

	GSocketService *service;
	std::vector<Line *> lines;

	static void drop(Line *line)
	{
		g_source_destroy(line->source);
		g_source_unref(line->source);
		g_io_stream_close(G_IO_STREAM(line->connection), nullptr,
				  nullptr);
		g_object_unref(line->connection);
		delete line;
	}

	static gboolean on_incoming(GSocketService *, GSocketConnection *c,
				    GObject *, void *data)
	{
		Peer *peer = static_cast<Peer *>(data);
		Line *line = new Line{ peer, c, nullptr, "" };
		GSocket *socket = g_socket_connection_get_socket(c);

		g_object_ref(c);
		g_socket_set_blocking(socket, FALSE);
		line->source = g_socket_create_source(socket, G_IO_IN, nullptr);
		g_source_set_callback(line->source, G_SOURCE_FUNC(on_readable),
				      line, nullptr);
		g_source_attach(line->source, nullptr);
		peer->lines.push_back(line);
		peer->connections++;
		return TRUE;
	}

	/* One whole request off the front of `input`; "" if there is none. */
	static std::string take(std::string &input)
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
		Line *line = static_cast<Line *>(data);
		Peer *peer = line->peer;
		char bytes[4096];
		gssize count = g_socket_receive(socket, bytes, sizeof(bytes),
						nullptr, nullptr);
		bool over = count <= 0;

		if (over)
			peer->closed++;
		else
			line->input.append(bytes, count);
		std::string request = over ? "" : take(line->input);
		if (!request.empty()) {
			peer->requests.push_back(request);
			PeerReply reply = peer->script(request);
			g_socket_send(socket, reply.bytes.data(),
				      reply.bytes.size(), nullptr, nullptr);
			over = reply.close;
		}
		if (over) {
			std::erase(peer->lines, line);
			drop(line);
		}
		return over ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
	}
};

#endif

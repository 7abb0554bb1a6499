/* An HTTP client in the test process that sends and receives raw bytes. */
#ifndef AUBURNSTILE_TESTS_CALLER_H
#define AUBURNSTILE_TESTS_CALLER_H

#include <gio/gio.h>

#include <string>

class Caller
{
      public:
	explicit Caller(guint port)
	{
		GSocketClient *client = g_socket_client_new();
		connection =
			g_socket_client_connect_to_host(client, "127.0.0.1",
							port, nullptr, nullptr);
		g_object_unref(client);
		socket = g_socket_connection_get_socket(connection);
		g_socket_set_blocking(socket, FALSE);
	}

	~Caller()
	{
		g_object_unref(connection);
	}

	void send(const std::string &bytes)
	{
		g_socket_send(socket, bytes.data(), bytes.size(), nullptr,
			      nullptr);
	}

	/*
	 * Appends the bytes received so far to `input`, without waiting.
	 * Returns true if the other end has closed the connection.
	 */
	bool poll_closed()
	{
		char bytes[4096];
		gssize count;

		while ((count = g_socket_receive(socket, bytes, sizeof(bytes),
						 nullptr, nullptr)) > 0)
			input.append(bytes, count);
		return !count;
	}

	/*
	 * Runs the main loop until a complete answer or the end of the
	 * connection has arrived; gives up after 5 s.
	 */
	std::string read_answer()
	{
		gint64 end = g_get_monotonic_time() + 5000000;

		input.clear();
		while (g_get_monotonic_time() < end) {
			if (poll_closed() || has_complete_answer())
				break;
			g_main_context_iteration(nullptr, FALSE);
		}
		return input;
	}

	std::string input;

	/*
	 * Returns whether the head and as much body as it announces have
	 * arrived.
	 */
	bool has_complete_answer() const
	{
		size_t end = input.find("\r\n\r\n");
		if (end == std::string::npos)
			return false;
		size_t at = input.find("Content-Length: ");
		size_t body = at < end ? std::stoul(input.substr(at + 16)) : 0;
		return input.size() >= end + 4 + body;
	}

      private:
	GSocketConnection *connection;
	GSocket *socket;
};

#endif

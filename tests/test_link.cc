/*
 * Tests of links: hellos precede all other messages, messages arrive complete
 * and in order, and errors name the peer.
 */
#include "addresses.h"

#include <gtest/gtest.h>

#include <auburnstile/error.h>
#include <auburnstile/link.h>
#include <gio/gio.h>

#include <string>
#include <vector>

struct endpoint {
	struct aub_link *link = NULL;
	std::string peer_name;
	std::vector<guint64>
		received_ids; /* numbers of pongs, ids of cancels */
	std::string error;
	bool down = false;
};

static void on_up(struct aub_link *link, const struct aub_hello *hello,
		  void *context)
{
	struct endpoint *endpoint = (struct endpoint *)context;

	endpoint->link = link;
	endpoint->peer_name = hello->name;
}

static void on_message(struct aub_link *link, struct aub_message *message,
		       void *context)
{
	struct endpoint *endpoint = (struct endpoint *)context;

	if (message->type == AUB_MESSAGE_PONG)
		endpoint->received_ids.push_back(
			((struct aub_ping *)message)->number);
	if (message->type == AUB_MESSAGE_CANCEL)
		endpoint->received_ids.push_back(
			((struct aub_cancel *)message)->id);
	aub_message_free(message);
}

static void on_down(struct aub_link *link, const GError *error, void *context)
{
	struct endpoint *endpoint = (struct endpoint *)context;

	endpoint->down = true;
	endpoint->error = error->message;
	aub_link_free(link);
	endpoint->link = NULL;
}

static const struct aub_link_callbacks callbacks = {
	.up = on_up,
	.message = on_message,
	.down = on_down,
};

static const struct aub_link_callbacks *on_accepted(
	struct aub_link *link, const struct aub_hello *hello,
	void *server_context, void **context)
{
	if (!strcmp(hello->name, "stranger"))
		return NULL;
	*context = server_context;
	return &callbacks;
}

static struct aub_hello *make_hello(const char *name)
{
	struct aub_hello *hello =
		(struct aub_hello *)aub_message_new(AUB_MESSAGE_HELLO);

	aub_string_set(&hello->name, name);
	return hello;
}

class Link : public testing::Test
{
      protected:
	void SetUp() override
	{
		GError *error = NULL;

		address = free_address();
		server_hello = make_hello("server");
		server = aub_link_server_new(address.c_str(), server_hello,
					     on_accepted, &server_side, &error);
		ASSERT_NE(server, nullptr) << error->message;
	}
	void TearDown() override
	{
		aub_link_free(client_side.link);
		aub_link_free(server_side.link);
		aub_link_server_free(server);
		aub_message_free(&server_hello->base);
	}
	void connect_as(const char *name)
	{
		struct aub_hello *hello = make_hello(name);

		client_side.link =
			aub_link_connect(address.c_str(), hello, 2000,
					 &callbacks, &client_side);
		aub_message_free(&hello->base);
	}
	template <class Condition> void run_until(Condition condition)
	{
		while (!condition())
			g_main_context_iteration(NULL, TRUE);
	}

	std::string address;
	struct aub_hello *server_hello = NULL;
	struct aub_link_server *server = NULL;
	struct endpoint client_side, server_side;
};

TEST_F(Link, DeliversMessagesInOrderAfterHellos)
{
	struct aub_cancel *cancel =
		(struct aub_cancel *)aub_message_new(AUB_MESSAGE_CANCEL);

	connect_as("client");
	for (cancel->id = 1; cancel->id <= 1000; cancel->id++)
		EXPECT_TRUE(aub_link_send(client_side.link, &cancel->base));
	run_until([&] { return server_side.received_ids.size() == 1000; });
	EXPECT_EQ(client_side.peer_name, "server");
	EXPECT_EQ(server_side.peer_name, "client");
	for (guint64 i = 0; i < 1000; i++)
		EXPECT_EQ(server_side.received_ids[i], i + 1);
	aub_message_free(&cancel->base);
}

TEST_F(Link, DeliversBodiesLargerThanTheSocketBuffer)
{
	struct aub_answer *answer =
		(struct aub_answer *)aub_message_new(AUB_MESSAGE_ANSWER);
	struct aub_ping *ping =
		(struct aub_ping *)aub_message_new(AUB_MESSAGE_PING);
	std::string body(6 << 20, 'x');

	aub_bytes_set(&answer->body, body.data(), body.size());
	ping->number = 7;
	connect_as("client");
	EXPECT_TRUE(aub_link_send(client_side.link, &answer->base));
	EXPECT_TRUE(aub_link_send(client_side.link, &ping->base));
	run_until([&] { return client_side.received_ids.size() == 1; });
	EXPECT_EQ(client_side.received_ids[0], 7u);
	aub_message_free(&answer->base);
	aub_message_free(&ping->base);
}

/*
 * An unknown client connects to the internal port and sends HTTP. It is
 * disconnected; other links are not affected.
 */
TEST_F(Link, InvalidHandshakeClosesOnlyItsOwnConnection)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection =
		g_socket_client_connect_to_host(client, address.c_str(), 0,
						NULL, NULL);
	const char *request = "GET /v1/status HTTP/1.1\r\n\r\n";
	GOutputStream *out =
		g_io_stream_get_output_stream(G_IO_STREAM(connection));

	g_output_stream_write_all(out, request, strlen(request), NULL, NULL,
				  NULL);
	connect_as("client");
	run_until([&] { return server_side.link && client_side.link; });
	GInputStream *in =
		g_io_stream_get_input_stream(G_IO_STREAM(connection));
	g_socket_set_blocking(g_socket_connection_get_socket(connection),
			      FALSE);
	run_until([&] {
		char byte[512];
		gssize length =
			g_input_stream_read(in, byte, sizeof(byte), NULL, NULL);
		return length == 0;
	});
	EXPECT_TRUE(aub_link_is_up(client_side.link));
	g_object_unref(connection);
	g_object_unref(client);
}

TEST_F(Link, RejectedPeerReceivesDownCallback)
{
	connect_as("stranger");
	run_until([&] { return client_side.down; });
	EXPECT_NE(client_side.error.find(address), std::string::npos);
	EXPECT_FALSE(server_side.down);
}

TEST_F(Link, ConnectErrorNamesStepAndPeer)
{
	std::string unused_address = free_address();
	struct aub_hello *hello = make_hello("client");

	client_side.link = aub_link_connect(unused_address.c_str(), hello, 2000,
					    &callbacks, &client_side);
	run_until([&] { return client_side.down; });
	EXPECT_EQ(client_side.error.find("connect: " + unused_address), 0u)
		<< client_side.error;
	aub_message_free(&hello->base);
}

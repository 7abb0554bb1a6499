/* Exchanges as a client, seen from the server's socket. */
#include "gateway_fixture.h"

#include <auburnstile/internal/http_client.h>

#include <arpa/inet.h>
#include <sys/socket.h>

class HttpClientTest : public ::testing::Test
{
      protected:
	struct aub_timer_service *timers;
	struct aub_poller *poller;
	struct aub_http_client *client;
	int listener;
	int connection = -1;
	char *address = NULL;

	void SetUp() override
	{
		timers = aub_timer_service_new(NULL);
		poller = aub_poller_new();
		client = aub_http_client_new(poller, timers);
		listener = aub_tcp_listen_loopback(&address);
	}
	void TearDown() override
	{
		close(connection);
		close(listener);
		g_free(address);
		aub_http_client_free(client);
		aub_poller_free(poller);
		aub_timer_service_free(timers);
	}
	struct aub_exchange *send(const std::string &text)
	{
		static const struct aub_exchange_callbacks callbacks = {
			.head = [](const struct aub_http_head *, void *) {},
			.body = [](const char *, gsize, void *) {},
			.drained = NULL,
			.ended = [](enum aub_exchange_result, void *) {},
		};
		struct aub_exchange_options options = {};

		options.address = address;
		options.pool_name = "p";
		options.patient = true;
		struct aub_exchange *exchange =
			aub_exchange_new(client, &options, &callbacks, this);

		aub_exchange_write(exchange, text.data(), text.size());
		aub_exchange_flush(exchange);
		EXPECT_TRUE(run_until(
			[&] {
				if (connection < 0)
					connection = aub_tcp_accept(listener);
				return connection >= 0;
			},
			1000));
		run_for(100);
		return exchange;
	}
	/* Reads until the connection ends; returns the error, 0 if none. */
	int read_to_end(gsize *bytes)
	{
		static char buffer[65536];
		gint64 end = g_get_monotonic_time() + 2000 * 1000;

		*bytes = 0;
		while (g_get_monotonic_time() < end) {
			ssize_t count =
				recv(connection, buffer, sizeof(buffer), 0);

			if (count > 0)
				*bytes += (gsize)count;
			else if (!count || errno != EAGAIN)
				return count ? errno : 0;
			else
				run_for(1);
		}
		return ETIMEDOUT;
	}
};

/*
 * Guards against a request that begins after its caller was told that it has
 * failed, since the network delivers it late.
 */
TEST_F(HttpClientTest, CancelledRequestIsNotDeliveredLater)
{
	const gsize sent = 64u << 20; /* more than the buffers hold */
	gsize received;

	struct aub_exchange *exchange = send(std::string(sent, 'x'));
	aub_exchange_cancel(exchange);
	run_for(100);
	EXPECT_EQ(read_to_end(&received), ECONNRESET);
	/* Only what the server's own buffer held at the time. */
	int buffer = 0;
	socklen_t length = sizeof(buffer);
	getsockopt(connection, SOL_SOCKET, SO_RCVBUF, &buffer, &length);
	EXPECT_LE(received, (gsize)buffer);
}

/*
 * Tests that each fault of the proxy is visible to the client, and that
 * requests succeed again after it has been cleared.
 */
#include <gtest/gtest.h>

#include <string>

#include "common/child.h"
#include "common/tool.h"
#include "proxy/proxy.h"

class Proxy : public ::testing::Test
{
      public:
	void SetUp() override
	{
		guint16 port = 0;

		server = soup_server_new(NULL, NULL);
		soup_server_add_handler(server, NULL, on_request, this, NULL);
		ASSERT_TRUE(tool_listen(server, "127.0.0.1:0", &port, NULL));
		std::string target = "127.0.0.1:" + std::to_string(port);
		std::string listen =
			"127.0.0.1:" + std::to_string(child_pick_free_port());
		route = proxy_route_new(listen.c_str(), target.c_str(), NULL);
		ASSERT_NE(route, nullptr);
	}

	void TearDown() override
	{
		proxy_route_free(route);
		soup_server_disconnect(server);
		g_object_unref(server);
		while (g_main_context_iteration(NULL, FALSE))
			;
	}

	static void on_request(SoupServer *, SoupServerMessage *message,
			       const char *, GHashTable *, gpointer data)
	{
		Proxy *proxy = static_cast<Proxy *>(data);

		proxy->requests_received++;
		tool_answer_text(message, 200, proxy->body.c_str());
	}

	void apply_fault(const char *json)
	{
		JsonNode *root = json_from_string(json, NULL);

		proxy_route_apply(route, json_node_get_object(root));
		json_node_unref(root);
	}

	/* Returns the body, or "" if no complete response arrived in time. */
	std::string send_request(guint timeout_ms = 5000)
	{
		std::string url =
			"http://127.0.0.1:" + std::to_string(route->port);
		char *text = child_http("GET", url.c_str(), NULL, NULL,
					timeout_ms, NULL, NULL);
		std::string result = text ? text : "";

		g_free(text);
		return result;
	}

	SoupServer *server = NULL;
	struct proxy_route *route = NULL;
	std::string body = std::string(400000, 'x');
	int requests_received = 0;
};

TEST_F(Proxy, ForwardsCompleteAnswersAndCountsBytes)
{
	EXPECT_EQ(send_request(), body);
	EXPECT_EQ(route->accepted, 1u);
	EXPECT_GT(route->bytes[PROXY_DOWN], body.size());
}

TEST_F(Proxy, TruncatesAndRefusesUntilTheFaultsAreCleared)
{
	apply_fault("{\"truncate_down\":1000}");
	EXPECT_EQ(send_request(), "");
	apply_fault("{\"truncate_down\":-1,\"refuse\":1}");
	EXPECT_EQ(send_request(), "");
	EXPECT_EQ(requests_received, 1);
	apply_fault("{\"refuse\":0}");
	EXPECT_EQ(send_request(), body);
}

TEST_F(Proxy, DiscardsBytesInEitherDirection)
{
	apply_fault("{\"silence\":\"up\"}");
	EXPECT_EQ(send_request(200), "");
	EXPECT_EQ(requests_received, 0);
	apply_fault("{\"silence\":\"down\"}");
	EXPECT_EQ(send_request(200), "");
	EXPECT_EQ(requests_received, 1);
	apply_fault("{\"clear\":1}");
	EXPECT_EQ(send_request(), body);
}

TEST_F(Proxy, DelaysAndThrottles)
{
	gint64 start_us = g_get_monotonic_time();

	apply_fault("{\"delay_ms\":60}");
	EXPECT_EQ(send_request(), body);
	EXPECT_GE(g_get_monotonic_time() - start_us, 120000);
	start_us = g_get_monotonic_time();
	apply_fault("{\"delay_ms\":0,\"throttle\":2000000}");
	EXPECT_EQ(send_request(), body);
	EXPECT_GE(g_get_monotonic_time() - start_us, 190000);
}

TEST_F(Proxy, ResetsOpenConnections)
{
	apply_fault("{\"throttle\":100000}");
	guint timer = g_timeout_add(
		100,
		[](gpointer data) -> gboolean {
			static_cast<Proxy *>(data)->apply_fault(
				"{\"reset\":1}");
			return G_SOURCE_REMOVE;
		},
		this);
	EXPECT_GT(timer, 0u);
	EXPECT_EQ(send_request(), "");
	EXPECT_EQ(route->pairs->len, 0u);
}

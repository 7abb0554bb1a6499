/* The admin listener: who may ask, for what, and how faults are answered. */
#include <gtest/gtest.h>

#include <auburnstile/admin.h>
#include <auburnstile/error.h>

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <string>

static void echo(struct aub_admin_request *request, void *context)
{
	gsize length;
	const char *body = aub_admin_body(request, &length);
	const char *name = aub_admin_query(request, "name");

	(void)body;
	aub_admin_answer(request, 200,
			 g_strdup_printf("{\"path\":\"%s\",\"length\":%zu,"
					 "\"name\":\"%s\"}",
					 aub_admin_path(request), length,
					 name ? name : ""));
}

static void fail(struct aub_admin_request *request, void *context)
{
	GError *error = nullptr;

	aub_error_set(&error, AUB_ERROR_CONFLICT, "apply", "store",
		      "it is \"newer\"");
	aub_admin_fail(request, error);
	g_error_free(error);
}

static void hold(struct aub_admin_request *request, void *context)
{
	*static_cast<struct aub_admin_request **>(context) = request;
}

class Admin : public testing::Test
{
      protected:
	void SetUp() override
	{
		g_log_set_always_fatal((GLogLevelFlags)(G_LOG_LEVEL_CRITICAL |
							G_LOG_FATAL_MASK));
		int fd = g_file_open_tmp(nullptr, &token_file, nullptr);
		g_close(fd, nullptr);
		g_file_set_contents(token_file, "correct-token\n", -1, nullptr);
		events = aub_event_ring_new(8);
		metrics = aub_metrics_new();
		struct aub_admin_options options = {
			.address = "127.0.0.1:0",
			.token_file = token_file,
			.process = "entry-a1",
			.incarnation = 77,
			.metrics = metrics,
			.events = events,
			.ready = [](void *c) { return *(bool *)c; },
			.context = &ready,
		};
		admin = aub_admin_new(&options, nullptr);
		ASSERT_NE(admin, nullptr);
		aub_admin_handle(admin, "POST", "/v1/echo/", echo, nullptr);
		aub_admin_handle(admin, "GET", "/v1/fail", fail, nullptr);
		aub_admin_handle(admin, "GET", "/v1/hold", hold, &held);
	}

	void TearDown() override
	{
		aub_admin_free(admin);
		while (g_main_context_iteration(nullptr, FALSE))
			;
		aub_event_ring_free(events);
		aub_metrics_free(metrics);
		g_unlink(token_file);
		g_free(token_file);
	}

	/* Open a connection and send; what comes back is read by finish(). */
	GSocketConnection *send(const std::string &text)
	{
		GSocketClient *client = g_socket_client_new();
		GSocketConnection *connection = g_socket_client_connect_to_host(
			client, "127.0.0.1", (guint16)aub_admin_port(admin),
			nullptr, nullptr);
		g_object_unref(client);
		g_output_stream_write_all(g_io_stream_get_output_stream(
						  G_IO_STREAM(connection)),
					  text.data(), text.size(), nullptr,
					  nullptr, nullptr);
		return connection;
	}

	std::string finish(GSocketConnection *connection)
	{
		GSocket *socket = g_socket_connection_get_socket(connection);
		std::string result;
		char buffer[4096];

		g_socket_set_blocking(socket, FALSE);
		for (;;) {
			g_main_context_iteration(nullptr, FALSE);
			gssize n =
				g_socket_receive(socket, buffer, sizeof(buffer),
						 nullptr, nullptr);
			if (n == 0)
				break;
			if (n > 0)
				result.append(buffer, (size_t)n);
		}
		g_object_unref(connection);
		return result;
	}

	std::string ask(const std::string &line, const std::string &token,
			const std::string &body = "")
	{
		std::string text = line + " HTTP/1.1\r\nHost: x\r\n"
					  "Connection: close\r\n";

		if (!token.empty())
			text += "Authorization: Bearer " + token + "\r\n";
		if (!body.empty())
			text += "Content-Length: " +
				std::to_string(body.size()) + "\r\n";
		return finish(send(text + "\r\n" + body));
	}

	static bool has(const std::string &text, const std::string &part)
	{
		return text.find(part) != std::string::npos;
	}

	char *token_file = nullptr;
	struct aub_event_ring *events = nullptr;
	struct aub_metrics *metrics = nullptr;
	struct aub_admin *admin = nullptr;
	struct aub_admin_request *held = nullptr;
	bool ready = true;
};

static const char good[] = "correct-token";

TEST_F(Admin, OpenPathsNeedNoToken)
{
	aub_metrics_add(metrics,
			aub_metrics_counter(metrics, "auburnstile_x_total",
					    nullptr, "help"),
			3);
	EXPECT_TRUE(has(ask("GET /metrics", ""), "auburnstile_x_total 3"));
	EXPECT_TRUE(has(ask("GET /healthz", ""), "200 OK"));
	EXPECT_TRUE(has(ask("GET /readyz", ""), "200 OK"));
	ready = false;
	EXPECT_TRUE(has(ask("GET /readyz", ""), " 503 "));
}

TEST_F(Admin, EverythingElseNeedsTheToken)
{
	const char *wrong[] = { "", "correct-toke", "correct-tokem",
				"correct-token2", "x" };

	for (const char *token : wrong) {
		std::string answer = ask("GET /v1/events", token);

		EXPECT_TRUE(has(answer, " 401 ")) << token;
		EXPECT_TRUE(has(answer, "\"code\":\"refused\"")) << answer;
		EXPECT_TRUE(has(ask("GET /nothing", token), " 401 "));
	}
	EXPECT_TRUE(has(ask("GET /v1/events", good), " 200 "));
}

TEST_F(Admin, ATokenChangedOnDiskIsTakenOnReload)
{
	g_file_set_contents(token_file, "another-token", -1, nullptr);
	EXPECT_TRUE(has(ask("GET /v1/events", good), " 200 "));
	EXPECT_TRUE(aub_admin_reload(admin, nullptr));
	EXPECT_TRUE(has(ask("GET /v1/events", good), " 401 "));
	EXPECT_TRUE(has(ask("GET /v1/events", "another-token"), " 200 "));
	g_file_set_contents(token_file, "short", -1, nullptr);
	EXPECT_FALSE(aub_admin_reload(admin, nullptr));
	EXPECT_TRUE(has(ask("GET /v1/events", "another-token"), " 200 "));
}

TEST_F(Admin, RoutesByPathAndMethod)
{
	std::string answer =
		ask("POST /v1/echo/a%20b?name=n%2F", good, "12345");

	EXPECT_TRUE(has(answer, "{\"path\":\"/v1/echo/a b\",\"length\":5,"
				"\"name\":\"n/\"}"))
		<< answer;
	EXPECT_TRUE(has(ask("GET /v1/echo/a", good), " 405 "));
	EXPECT_TRUE(has(ask("GET /v1/fails", good), " 404 "));
	answer = ask("GET /v1/fail", good);
	EXPECT_TRUE(has(answer, " 409 "));
	EXPECT_TRUE(has(answer, "{\"error\":{\"code\":\"conflict\",\"step\":"
				"\"apply\",\"peer\":\"store\",\"message\":"
				"\"apply: store: it is \\\"newer\\\"\"}}"))
		<< answer;
}

TEST_F(Admin, BodiesPastTheLimitAreRefused)
{
	std::string head = "POST /v1/echo/a HTTP/1.1\r\nHost: x\r\n"
			   "Connection: close\r\n"
			   "Authorization: Bearer correct-token\r\n";
	std::string chunk(1 << 16, 'x');
	std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";

	EXPECT_TRUE(has(ask("POST /v1/echo/a", good,
			    std::string(AUB_ADMIN_BODY_LIMIT, 'x')),
			"\"length\":2097152"));
	EXPECT_TRUE(has(ask("POST /v1/echo/a", good,
			    std::string(AUB_ADMIN_BODY_LIMIT + 1, 'x')),
			" 413 "));
	for (int i = 0; i < 40; i++)
		chunked += "10000\r\n" + chunk + "\r\n";
	EXPECT_TRUE(has(finish(send(chunked + "0\r\n\r\n")), " 413 "));
}

TEST_F(Admin, EventsComeInOrderAfterASequence)
{
	for (int i = 1; i <= 10; i++)
		aub_event_record_simple(events, AUB_EVENT_ARRIVED, (guint64)i << 60, i,
			       "cal-1", "a\"b\n");
	std::string answer = ask("GET /v1/events?after=8", good);

	EXPECT_TRUE(has(answer, "\"process\":\"entry-a1\",\"incarnation\":"
				"77"))
		<< answer;
	EXPECT_TRUE(has(answer, "\"lost\":2"));
	EXPECT_TRUE(has(answer, "\"events\":[{\"sequence\":9,"));
	EXPECT_TRUE(has(answer, "\"request\":\"a000000000000000\",\"number\":"
				"10,\"upstream\":\"cal-1\",\"text\":"
				"\"a\\\"b\\u000a\"}]}"))
		<< answer;
	EXPECT_TRUE(has(ask("GET /v1/events?after=x", good), " 400 "));
}

/*
 * The operator's command is stopped while the control still works on it.
 * The answer then has nowhere to go; it must not touch what is gone.
 */
TEST_F(Admin, AnAnswerAfterTheCallerLeftIsDropped)
{
	GSocketConnection *connection =
		send("GET /v1/hold HTTP/1.1\r\nHost: x\r\n"
		     "Authorization: Bearer correct-token\r\n\r\n");

	while (!held)
		g_main_context_iteration(nullptr, TRUE);
	g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
	g_object_unref(connection);
	for (int i = 0; i < 10; i++)
		g_main_context_iteration(nullptr, FALSE);
	aub_admin_answer(held, 200, g_strdup("{}"));
	EXPECT_TRUE(has(ask("GET /healthz", ""), "200 OK"));
}

TEST_F(Admin, AnAnswerAfterTheListenerWasFreedIsDropped)
{
	GSocketConnection *connection =
		send("GET /v1/hold HTTP/1.1\r\nHost: x\r\n"
		     "Authorization: Bearer correct-token\r\n\r\n");

	while (!held)
		g_main_context_iteration(nullptr, TRUE);
	aub_admin_free(admin);
	admin = nullptr;
	aub_admin_answer(held, 200, g_strdup("{}"));
	g_object_unref(connection);
}

TEST(AdminStart, FaultsAreNamed)
{
	struct aub_admin_options options = {};
	GError *error = nullptr;

	options.address = "localhost:1";
	EXPECT_EQ(aub_admin_new(&options, &error), nullptr);
	EXPECT_STREQ(aub_error_peer(error), "localhost:1");
	g_clear_error(&error);
	options.address = "127.0.0.1:0";
	options.token_file = "/nonexistent/token";
	EXPECT_EQ(aub_admin_new(&options, &error), nullptr);
	EXPECT_STREQ(aub_error_peer(error), "/nonexistent/token");
	g_clear_error(&error);
}

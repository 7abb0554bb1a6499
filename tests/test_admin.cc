/* Tests of the admin listener: authorization, routing and error responses. */
#include <gtest/gtest.h>

#include <auburnstile/admin.h>
#include <auburnstile/error.h>

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <string>

static void respond_with_echo(struct aub_admin_request *request, void *context)
{
	gsize length;
	const char *body = aub_admin_body(request, &length);
	const char *name = aub_admin_query(request, "name");

	(void)body;
	aub_admin_respond(request, 200,
			  g_strdup_printf("{\"path\":\"%s\",\"length\":%zu,"
					  "\"name\":\"%s\"}",
					  aub_admin_path(request), length,
					  name ? name : ""));
}

static void respond_with_conflict(struct aub_admin_request *request,
				  void *context)
{
	GError *error = nullptr;

	aub_error_set(&error, AUB_ERROR_CONFLICT, "apply", "store",
		      "it is \"newer\"");
	aub_admin_respond_error(request, error);
	g_error_free(error);
}

static void leave_pending(struct aub_admin_request *request, void *context)
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
		aub_admin_handle(admin, "POST", "/v1/echo/", respond_with_echo,
				 nullptr);
		aub_admin_handle(admin, "GET", "/v1/fail",
				 respond_with_conflict, nullptr);
		aub_admin_handle(admin, "GET", "/v1/hold", leave_pending,
				 &pending_request);
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

	/*
	 * Opens a connection and sends `text`; read_response() reads the
	 * response.
	 */
	GSocketConnection *open_and_send(const std::string &text)
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

	std::string read_response(GSocketConnection *connection)
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

	std::string send_request(const std::string &line,
				 const std::string &token,
				 const std::string &body = "")
	{
		std::string text = line + " HTTP/1.1\r\nHost: x\r\n"
					  "Connection: close\r\n";

		if (!token.empty())
			text += "Authorization: Bearer " + token + "\r\n";
		if (!body.empty())
			text += "Content-Length: " +
				std::to_string(body.size()) + "\r\n";
		return read_response(open_and_send(text + "\r\n" + body));
	}

	static bool contains(const std::string &text, const std::string &part)
	{
		return text.find(part) != std::string::npos;
	}

	char *token_file = nullptr;
	struct aub_event_ring *events = nullptr;
	struct aub_metrics *metrics = nullptr;
	struct aub_admin *admin = nullptr;
	struct aub_admin_request *pending_request = nullptr;
	bool ready = true;
};

static const char correct_token[] = "correct-token";

TEST_F(Admin, PublicPathsNeedNoToken)
{
	aub_metrics_add(metrics,
			aub_metrics_counter(metrics, "auburnstile_x_total",
					    nullptr, "help"),
			3);
	EXPECT_TRUE(contains(send_request("GET /metrics", ""),
			     "auburnstile_x_total 3"));
	EXPECT_TRUE(contains(send_request("GET /healthz", ""), "200 OK"));
	EXPECT_TRUE(contains(send_request("GET /readyz", ""), "200 OK"));
	ready = false;
	EXPECT_TRUE(contains(send_request("GET /readyz", ""), " 503 "));
}

TEST_F(Admin, OtherPathsRequireTheToken)
{
	const char *wrong[] = { "", "correct-toke", "correct-tokem",
				"correct-token2", "x" };

	for (const char *token : wrong) {
		std::string response = send_request("GET /v1/events", token);

		EXPECT_TRUE(contains(response, " 401 ")) << token;
		EXPECT_TRUE(contains(response, "\"code\":\"refused\""))
			<< response;
		EXPECT_TRUE(
			contains(send_request("GET /nothing", token), " 401 "));
	}
	EXPECT_TRUE(contains(send_request("GET /v1/events", correct_token),
			     " 200 "));
}

TEST_F(Admin, ReloadReadsTheChangedTokenFile)
{
	g_file_set_contents(token_file, "another-token", -1, nullptr);
	EXPECT_TRUE(contains(send_request("GET /v1/events", correct_token),
			     " 200 "));
	EXPECT_TRUE(aub_admin_reload(admin, nullptr));
	EXPECT_TRUE(contains(send_request("GET /v1/events", correct_token),
			     " 401 "));
	EXPECT_TRUE(contains(send_request("GET /v1/events", "another-token"),
			     " 200 "));
	g_file_set_contents(token_file, "short", -1, nullptr);
	EXPECT_FALSE(aub_admin_reload(admin, nullptr));
	EXPECT_TRUE(contains(send_request("GET /v1/events", "another-token"),
			     " 200 "));
}

TEST_F(Admin, RoutesByPathAndMethod)
{
	std::string response = send_request("POST /v1/echo/a%20b?name=n%2F",
					    correct_token, "12345");

	EXPECT_TRUE(contains(response,
			     "{\"path\":\"/v1/echo/a b\",\"length\":5,"
			     "\"name\":\"n/\"}"))
		<< response;
	EXPECT_TRUE(contains(send_request("GET /v1/echo/a", correct_token),
			     " 405 "));
	EXPECT_TRUE(contains(send_request("GET /v1/fails", correct_token),
			     " 404 "));
	response = send_request("GET /v1/fail", correct_token);
	EXPECT_TRUE(contains(response, " 409 "));
	EXPECT_TRUE(contains(response,
			     "{\"error\":{\"code\":\"conflict\",\"step\":"
			     "\"apply\",\"peer\":\"store\",\"message\":"
			     "\"apply: store: it is \\\"newer\\\"\"}}"))
		<< response;
}

TEST_F(Admin, BodiesOverTheLimitAreRejected)
{
	std::string head = "POST /v1/echo/a HTTP/1.1\r\nHost: x\r\n"
			   "Connection: close\r\n"
			   "Authorization: Bearer correct-token\r\n";
	std::string chunk(1 << 16, 'x');
	std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";

	EXPECT_TRUE(contains(send_request("POST /v1/echo/a", correct_token,
					  std::string(AUB_ADMIN_BODY_MAX_BYTES,
						      'x')),
			     "\"length\":2097152"));
	EXPECT_TRUE(contains(
		send_request("POST /v1/echo/a", correct_token,
			     std::string(AUB_ADMIN_BODY_MAX_BYTES + 1, 'x')),
		" 413 "));
	for (int i = 0; i < 40; i++)
		chunked += "10000\r\n" + chunk + "\r\n";
	EXPECT_TRUE(
		contains(read_response(open_and_send(chunked + "0\r\n\r\n")),
			 " 413 "));
}

TEST_F(Admin, EventsAfterASequenceAreReturnedInOrder)
{
	for (int i = 1; i <= 10; i++)
		aub_event_record_simple(events, AUB_EVENT_ARRIVED,
					(guint64)i << 60, i, "cal-1", "a\"b\n");
	std::string response =
		send_request("GET /v1/events?after=8", correct_token);

	EXPECT_TRUE(contains(response,
			     "\"process\":\"entry-a1\",\"incarnation\":"
			     "77"))
		<< response;
	EXPECT_TRUE(contains(response, "\"lost\":2"));
	EXPECT_TRUE(contains(response, "\"events\":[{\"sequence\":9,"));
	EXPECT_TRUE(contains(response,
			     "\"request\":\"a000000000000000\",\"number\":"
			     "10,\"upstream\":\"cal-1\",\"text\":"
			     "\"a\\\"b\\u000a\"}]}"))
		<< response;
	EXPECT_TRUE(
		contains(send_request("GET /v1/events?after=x", correct_token),
			 " 400 "));
}

/*
 * An operator's command is interrupted while the control still processes the
 * request. The response is then discarded without access to the closed
 * connection.
 */
TEST_F(Admin, ResponseAfterClientDisconnectIsDropped)
{
	GSocketConnection *connection =
		open_and_send("GET /v1/hold HTTP/1.1\r\nHost: x\r\n"
			      "Authorization: Bearer correct-token\r\n\r\n");

	while (!pending_request)
		g_main_context_iteration(nullptr, TRUE);
	g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
	g_object_unref(connection);
	for (int i = 0; i < 10; i++)
		g_main_context_iteration(nullptr, FALSE);
	aub_admin_respond(pending_request, 200, g_strdup("{}"));
	EXPECT_TRUE(contains(send_request("GET /healthz", ""), "200 OK"));
}

TEST_F(Admin, ResponseAfterListenerIsFreedIsDropped)
{
	GSocketConnection *connection =
		open_and_send("GET /v1/hold HTTP/1.1\r\nHost: x\r\n"
			      "Authorization: Bearer correct-token\r\n\r\n");

	while (!pending_request)
		g_main_context_iteration(nullptr, TRUE);
	aub_admin_free(admin);
	admin = nullptr;
	aub_admin_respond(pending_request, 200, g_strdup("{}"));
	g_object_unref(connection);
}

TEST(AdminStart, ErrorsNameTheInvalidOption)
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

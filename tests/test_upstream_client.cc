/*
 * Tests of the upstream client: a result never claims more than is known of
 * the attempt. A response is complete or reported as lost, "not connected" is
 * reported only for requests that were never sent, and a non-idempotent
 * request reaches the upstream at most once.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/headers.h>
#include <auburnstile/internal/upstream_client.h>

#include "scripted_server.h"

struct Result {
	bool done = false;
	enum aub_attempt_result result = AUB_ATTEMPT_CANCELLED;
	struct aub_upstream_signals signals = {};
	int status = 0;
	std::string body;
	std::string encoding;
	guint headers = 0; /* that are passed on */
	std::string error;
};

static void on_done(enum aub_attempt_result result,
		    const struct aub_upstream_signals *signals,
		    struct aub_answer *answer, const GError *error,
		    void *context)
{
	Result *outcome = static_cast<Result *>(context);

	outcome->done = true;
	outcome->result = result;
	outcome->signals = *signals;
	if (error)
		outcome->error = error->message;
	if (!answer)
		return;
	outcome->status = (int)answer->status;
	if (answer->body.length)
		outcome->body.assign((char *)answer->body.data,
				     answer->body.length);
	outcome->headers = answer->headers->len;
	const char *encoding =
		aub_headers_find(answer->headers, "Content-Encoding");
	if (encoding)
		outcome->encoding = encoding;
	aub_message_free(&answer->base);
}

class UpstreamClient : public testing::Test
{
      protected:
	struct aub_timer_service *timers = aub_timer_service_new(nullptr);
	ScriptedServer peer;
	struct aub_upstream_client *client = nullptr;

	void open(guint16 port, guint32 limit = 100000)
	{
		struct aub_upstream_client_options options = {};
		options.host = "127.0.0.1";
		options.port = port;
		options.connections_max = 4;
		options.body_limit = limit;
		options.timers = timers;
		client = aub_upstream_client_new(&options);
	}

	void SetUp() override
	{
		open(peer.port);
	}

	void TearDown() override
	{
		aub_upstream_client_free(client);
		while (g_main_context_iteration(nullptr, FALSE))
			;
		aub_timer_service_free(timers);
	}

	static struct aub_call *make_call(const char *method, bool at_most_once,
					  const char *body = "")
	{
		struct aub_call *call =
			(struct aub_call *)aub_message_new(AUB_MESSAGE_CALL);
		aub_string_set(&call->method, method);
		aub_string_set(&call->path, "/a%20b?q=%2F");
		aub_bytes_set(&call->body, body, strlen(body));
		call->at_most_once = at_most_once;
		call->id = 0xab;
		call->retry_budget = 100;
		return call;
	}

	Result send_and_wait(const char *method, bool at_most_once,
			     gint64 ms = 2000, const char *body = "")
	{
		Result result;
		struct aub_call *call = make_call(method, at_most_once, body);

		aub_upstream_send(client, call, false,
				  g_get_monotonic_time() + ms * 1000, on_done,
				  &result);
		aub_message_free(&call->base);
		while (!result.done)
			g_main_context_iteration(nullptr, TRUE);
		return result;
	}

	void set_reply(const std::string &bytes, bool close = false)
	{
		peer.script = [bytes, close](const std::string &) {
			return ScriptedReply{ bytes, close };
		};
	}
};

TEST_F(UpstreamClient, ReturnsCompleteResponseAndHealthSignals)
{
	set_reply(
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Boot-Id: 7\r\n"
		"X-Upstream-State: cold\r\nContent-Encoding: gzip\r\n\r\nabc");
	Result result = send_and_wait("POST", false, 2000, "xyz");

	EXPECT_EQ(result.result, AUB_ATTEMPT_ANSWERED);
	EXPECT_EQ(result.body, "abc");
	EXPECT_EQ(result.encoding, "gzip");
	EXPECT_EQ(result.signals.boot_id, 7u);
	EXPECT_TRUE(result.signals.cold);
	const std::string &request = peer.requests.at(0);
	EXPECT_EQ(request.rfind("POST /a%20b?q=%2F HTTP/1.1\r\n", 0), 0u);
	EXPECT_NE(request.find("X-Deadline-Ms: "), std::string::npos);
	EXPECT_NE(request.find("Auburnstile-Retry-Budget: 50"),
		  std::string::npos);
	EXPECT_NE(request.find("\r\n\r\nxyz"), std::string::npos);
}

TEST_F(UpstreamClient, ReturnsResponsesWithoutBody)
{
	set_reply("HTTP/1.1 204 No Content\r\n\r\n");
	EXPECT_EQ(send_and_wait("GET", false).result, AUB_ATTEMPT_ANSWERED);
	set_reply("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
	EXPECT_EQ(send_and_wait("HEAD", false).result, AUB_ATTEMPT_ANSWERED);
	set_reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "3\r\nabc\r\n0\r\n\r\n");
	EXPECT_EQ(send_and_wait("GET", false).body, "abc");
	set_reply(
		"HTTP/1.1 302 Found\r\nLocation: /else\r\nContent-Length: 0\r\n"
		"\r\n");
	EXPECT_EQ(send_and_wait("GET", false).status, 302);
	EXPECT_EQ(peer.requests.size(), 4u);
}

/*
 * An upstream fails in the middle of its response, e.g. to a booking. The
 * caller must not receive a truncated response as a complete one. Each form is
 * reported as lost, whatever was received before.
 */
TEST_F(UpstreamClient, ReportsTruncatedResponsesAsLost)
{
	const char *truncated[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"HTTP/1.1 200 OK\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
		"Content-Length: 4\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"nonsense\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcdef",
		"",
	};

	for (const char *bytes : truncated) {
		set_reply(bytes, true);
		Result result = send_and_wait("POST", true);
		EXPECT_EQ(result.result, AUB_ATTEMPT_CONNECTION_LOST) << bytes;
		EXPECT_NE(result.error, "") << bytes;
	}
	EXPECT_EQ(peer.requests.size(), G_N_ELEMENTS(truncated));
}

/* Guards against a malformed head that is passed on to a caller. */
TEST_F(UpstreamClient, ReportsMalformedResponsesAsLost)
{
	static const std::string body = "Content-Length: 2\r\n\r\nok";
	static const std::string malformed[] = {
		"HTTP/1.1 000 X\r\n" + body,
		"HTTP/1.1 099 X\r\n" + body,
		"HTTP/1.1 101 X\r\n" + body,
		"HTTP/1.1 600 X\r\n" + body,
		"HTTP/1.1 1000 X\r\n" + body,
		"HTTP/1.1 0200 X\r\n" + body,
		"HTTP/1.1 200 X\r\nX\001A: b\r\n" + body,
		"HTTP/1.1 200 X\r\nX(A: b\r\n" + body,
		"HTTP/1.1 200 X\r\nX\xc3\xa9: b\r\n" + body,
		"HTTP/1.1 200 X\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 X\r\nTransfer-Encoding : chunked\r\n\r\n"
		"2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 103 X\r\nContent-Length: 3\r\n\r\nabc"
		"HTTP/1.1 200 X\r\n" +
			body,
	};

	for (const std::string &bytes : malformed) {
		set_reply(bytes, true);
		Result result = send_and_wait("POST", true);
		EXPECT_EQ(result.result, AUB_ATTEMPT_CONNECTION_LOST) << bytes;
		EXPECT_NE(result.error, "") << bytes;
	}
}

/* Guards against a field with a blank in its name that is passed on. */
TEST_F(UpstreamClient, RemovesFieldsWithBlanksInTheirNames)
{
	for (const char *line : { "X A: b", "X-A : b", " X-A: b" }) {
		set_reply("HTTP/1.1 200 X\r\n" + std::string(line) +
				  "\r\nContent-Length: 2\r\n\r\nok",
			  true);
		Result result = send_and_wait("POST", true);
		EXPECT_EQ(result.result, AUB_ATTEMPT_ANSWERED) << line;
		EXPECT_EQ(result.body, "ok");
		EXPECT_EQ(result.headers, 0u) << line;
	}
}

TEST_F(UpstreamClient, ReportsNotConnectedOnlyForUnsentRequests)
{
	ScriptedServer *closed_peer = new ScriptedServer;
	guint16 port = closed_peer->port;

	delete closed_peer;
	aub_upstream_client_free(client);
	open(port);
	EXPECT_EQ(send_and_wait("POST", true).result,
		  AUB_ATTEMPT_NOT_CONNECTED);
	EXPECT_EQ(send_and_wait("GET", false).result,
		  AUB_ATTEMPT_NOT_CONNECTED);
}

TEST_F(UpstreamClient, ReportsUpstreamRefusalAsShed)
{
	set_reply(
		"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
	EXPECT_EQ(send_and_wait("POST", true).result, AUB_ATTEMPT_SHED);
	set_reply("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
	Result result = send_and_wait("POST", true);
	EXPECT_EQ(result.result, AUB_ATTEMPT_ANSWERED);
	EXPECT_TRUE(result.signals.failed);
}

/*
 * The upstream executes a request on a keep-alive connection and closes it
 * without a response. libsoup would resend a GET by itself, unknown to the
 * dispatcher. The attempt is reported as lost and the upstream has received it
 * once.
 */
TEST_F(UpstreamClient, NeverResendsOnAStaleConnection)
{
	set_reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	EXPECT_EQ(send_and_wait("GET", false).result, AUB_ATTEMPT_ANSWERED);
	set_reply("", true);
	EXPECT_EQ(send_and_wait("GET", false).result,
		  AUB_ATTEMPT_CONNECTION_LOST);
	EXPECT_EQ(peer.requests.size(), 2u);
	EXPECT_EQ(peer.connections, 1);
}

TEST_F(UpstreamClient, SendsAtMostOnceRequestsOverNewConnections)
{
	set_reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(send_and_wait("POST", true).result,
			  AUB_ATTEMPT_ANSWERED);
	EXPECT_EQ(peer.connections, 3);
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(send_and_wait("POST", false).result,
			  AUB_ATTEMPT_ANSWERED);
	EXPECT_EQ(peer.connections, 3);
}

/*
 * An upstream sends a second response after the first. It must not be taken for
 * the response to the next request, and since it is unknown which of the two
 * belongs to this request, neither is delivered.
 */
TEST_F(UpstreamClient, DiscardsExcessResponses)
{
	set_reply("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
		  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale");
	EXPECT_EQ(send_and_wait("GET", false).result,
		  AUB_ATTEMPT_CONNECTION_LOST);
	set_reply("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
	EXPECT_EQ(send_and_wait("GET", false).body, "second");
}

/*
 * A request on an unresponsive pooled connection times out. The next request
 * must not use another connection of the pool, which may be unresponsive too.
 */
TEST_F(UpstreamClient, ReplacesThePoolAfterAnUnresponsiveConnection)
{
	set_reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	EXPECT_EQ(send_and_wait("GET", false).result, AUB_ATTEMPT_ANSWERED);
	set_reply("");
	EXPECT_EQ(send_and_wait("GET", false, 100).result, AUB_ATTEMPT_TIMEOUT);
	set_reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	EXPECT_EQ(send_and_wait("GET", false).result, AUB_ATTEMPT_ANSWERED);
	EXPECT_EQ(peer.connections, 2);
}

TEST_F(UpstreamClient, ReportsOversizedResponseAsLost)
{
	std::string body(200000, 'x');
	set_reply("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + body);
	EXPECT_EQ(send_and_wait("GET", false).result,
		  AUB_ATTEMPT_CONNECTION_LOST);
}

TEST_F(UpstreamClient, CancelClosesTheConnection)
{
	Result result;
	struct aub_call *call = make_call("POST", true);
	struct aub_attempt *attempt;

	set_reply("");
	attempt = aub_upstream_send(client, call, false,
				    g_get_monotonic_time() + 5000000, on_done,
				    &result);
	aub_message_free(&call->base);
	while (peer.requests.empty())
		g_main_context_iteration(nullptr, TRUE);
	aub_attempt_cancel(attempt);
	while (!result.done || !peer.closed)
		g_main_context_iteration(nullptr, TRUE);
	EXPECT_EQ(result.result, AUB_ATTEMPT_CANCELLED);
}

struct ProbeResult {
	bool done = false;
	bool answered = false;
	struct aub_upstream_signals signals = {};
	guint32 busy = 0;
};

static void on_load(bool answered, const struct aub_upstream_signals *signals,
		    guint32 busy, void *context)
{
	*static_cast<ProbeResult *>(context) = { true, answered, *signals,
						 busy };
}

TEST_F(UpstreamClient, ProbeParsesTheLoadObject)
{
	const char *bodies[] = {
		"{\"boot_id\":5,\"state\":\"draining\",\"busy\":2}", "{}x",
		"[]", "{\"boot_id\":[],\"state\":{},\"busy\":\"\"}"
	};

	for (int i = 0; i < 4; i++) {
		ProbeResult probe_result;
		set_reply("HTTP/1.1 200 OK\r\nContent-Length: " +
			  std::to_string(strlen(bodies[i])) + "\r\n\r\n" +
			  bodies[i]);
		aub_upstream_probe(client, g_get_monotonic_time() + 2000000,
				   on_load, &probe_result);
		while (!probe_result.done)
			g_main_context_iteration(nullptr, TRUE);
		EXPECT_EQ(probe_result.answered, i == 0 || i == 3) << bodies[i];
		if (i)
			continue;
		EXPECT_EQ(probe_result.signals.boot_id, 5u);
		EXPECT_TRUE(probe_result.signals.draining);
		EXPECT_EQ(probe_result.busy, 2u);
	}
}

/*
 * Tests of the callers' listener: requests are delivered complete or rejected
 * as "not-run"; slow, idle, disconnected and malformed callers do not affect
 * others.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/caller_server.h>
#include <auburnstile/internal/headers.h>

#include "caller.h"

#include <functional>
#include <string>
#include <vector>

/* libsoup 3.2 leaks the path of a request whose framing it rejects itself. */
extern "C" const char *__asan_default_options()
{
	return "fast_unwind_on_malloc=0"; /* the suppression needs the full
					     stack */
}

extern "C" const char *__lsan_default_suppressions()
{
	return "leak:soup_headers_parse_request";
}

class CallerServer : public testing::Test
{
      protected:
	struct aub_timer_service *timers = aub_timer_service_new(nullptr);
	struct aub_caller_server *server = nullptr;
	std::vector<struct aub_caller_request *> pending;
	std::vector<struct aub_call *> calls;
	int disconnected_count = 0;
	bool respond_immediately = true;

	static void on_request_received(struct aub_caller_request *request,
					struct aub_call *call, void *context)
	{
		CallerServer *test = static_cast<CallerServer *>(context);

		test->calls.push_back(call);
		test->pending.push_back(request);
		if (test->respond_immediately)
			test->answer(200, "hello");
	}

	static void on_caller_disconnected(struct aub_caller_request *request,
					   void *context)
	{
		CallerServer *test = static_cast<CallerServer *>(context);

		std::erase(test->pending, request);
		test->disconnected_count++;
	}

	static guint32 body_limit(const char *, void *)
	{
		return 100;
	}

	static char *addresses(const char *service, const char *path,
			       guint *status, void *)
	{
		*status = 404;
		if (!service || strcmp(service, "calendar") != 0)
			return nullptr;
		return g_strdup("{\"service\":\"calendar\"}");
	}

	void answer(guint status, const std::string &body)
	{
		ASSERT_FALSE(pending.empty());
		struct aub_answer *answer =
			(struct aub_answer *)aub_message_new(
				AUB_MESSAGE_ANSWER);
		answer->outcome = AUB_OUTCOME_RUN;
		answer->status = status;
		answer->id = 0x1f;
		aub_bytes_set(&answer->body, body.data(), body.size());
		g_ptr_array_add(answer->headers, aub_header_new("X-A", "b"));
		aub_caller_respond(pending.back(), answer, true);
		pending.pop_back();
	}

	void open(guint connections, guint limit_ms)
	{
		struct aub_caller_server_options options = {};
		options.address = "127.0.0.1:0";
		options.connections_max = connections;
		options.header_timeout_ms = limit_ms;
		options.idle_timeout_ms = limit_ms;
		options.body_timeout_ms = limit_ms;
		options.write_timeout_ms = limit_ms;
		options.timers = timers;
		options.arrived = on_request_received;
		options.disconnected = on_caller_disconnected;
		options.body_limit = body_limit;
		options.addresses = addresses;
		options.context = this;
		server = aub_caller_server_new(&options, nullptr);
		ASSERT_NE(server, nullptr);
	}

	guint port()
	{
		return aub_caller_server_port(server);
	}

	static void run_until(const std::function<bool()> &done)
	{
		gint64 end = g_get_monotonic_time() + 5000000;

		while (!done() && g_get_monotonic_time() < end)
			g_main_context_iteration(nullptr, FALSE);
		ASSERT_TRUE(done());
	}

	void SetUp() override
	{
		open(8, 10000);
	}

	void TearDown() override
	{
		for (struct aub_call *call : calls)
			aub_message_free(&call->base);
		aub_caller_server_free(server);
		while (g_main_context_iteration(nullptr, FALSE))
			;
		aub_timer_service_free(timers);
	}
};

TEST_F(CallerServer, DeliversRequestsWithoutHopByHopFields)
{
	Caller caller(port());

	caller.send("POST /fees/pay%20x?a=b HTTP/1.1\r\nHost: h\r\n"
		    "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
		    "Keep-Alive: 5\r\nX-Mine: 2\r\nAuburnstile-Key: g/k\r\n"
		    "Auburnstile-Deadline-Ms: 1500\r\n"
		    "Auburnstile-Retry-Budget: 900\r\n"
		    "Content-Length: 3\r\n\r\nabc");
	std::string answer = caller.read_answer();

	ASSERT_EQ(calls.size(), 1u);
	EXPECT_STREQ(calls[0]->method, "POST");
	EXPECT_STREQ(calls[0]->path, "/fees/pay%20x?a=b");
	EXPECT_STREQ(calls[0]->key, "g/k");
	EXPECT_EQ(calls[0]->deadline_ms, 1500u);
	EXPECT_EQ(calls[0]->retry_budget, AUB_RETRY_BUDGET_MAX_PERCENT);
	EXPECT_EQ(calls[0]->body.length, 3u);
	EXPECT_NE(aub_headers_find(calls[0]->headers, "X-Mine"), nullptr);
	for (const char *name : { "X-Hop", "Keep-Alive", "Connection",
				  "Content-Length", "Auburnstile-Key" })
		EXPECT_EQ(aub_headers_find(calls[0]->headers, name), nullptr);
	for (const char *line :
	     { "HTTP/1.1 200", "Auburnstile-Outcome: run", "X-A: b",
	       "Auburnstile-Request: 000000000000001f",
	       "Auburnstile-Addresses-Stale: 1", "Content-Length: 5",
	       "\r\n\r\nhello" })
		EXPECT_NE(answer.find(line), std::string::npos) << line;
}

TEST_F(CallerServer, SendsResponsesWithoutBodyAndToHead)
{
	Caller caller(port());

	respond_immediately = false;
	caller.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_until([&] { return !pending.empty(); });
	answer(200, "");
	EXPECT_NE(caller.read_answer().find("HTTP/1.1 200"), std::string::npos);
	caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_until([&] { return !pending.empty(); });
	answer(204, "");
	std::string no_content = caller.read_answer();
	EXPECT_NE(no_content.find("HTTP/1.1 204"), std::string::npos);
	EXPECT_NE(no_content.find("Connection: close"), std::string::npos);
	Caller another(port());
	another.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_until([&] { return !pending.empty(); });
	answer(200, "");
	EXPECT_NE(another.read_answer().find("Content-Length: 0"),
		  std::string::npos);
}

TEST_F(CallerServer, ServesAddressesOfAService)
{
	Caller caller(port());

	caller.send("GET /.auburnstile/addresses?service=calendar HTTP/1.1\r\n"
		    "Host: h\r\n\r\n");
	EXPECT_NE(caller.read_answer().find("{\"service\":\"calendar\"}"),
		  std::string::npos);
	caller.send("GET /.auburnstile/addresses?service=none HTTP/1.1\r\n"
		    "Host: h\r\n\r\n");
	EXPECT_NE(caller.read_answer().find("HTTP/1.1 404"), std::string::npos);
	EXPECT_TRUE(calls.empty());
}

/*
 * Requests that are oversized, malformed or have ambiguous framing are rejected
 * as "not-run" and not delivered.
 */
TEST_F(CallerServer, RejectsAmbiguousAndOversizedRequests)
{
	std::string large(101, 'x');
	std::vector<std::pair<std::string, std::string>> cases = {
		{ "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400" },
		{ "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "3\r\nabc\r\n0\r\n\r\n",
		  "400" },
		{ "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501" },
		{ "Content-Length: -1\r\n\r\n", "400" },
		{ "Content-Length: 101\r\n\r\n" + large, "413" },
		{ "Transfer-Encoding: chunked\r\n\r\n65\r\n" + large +
			  "\r\n0\r\n\r\n",
		  "413" },
		{ "Auburnstile-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n",
		  "400" },
	};

	for (auto &[rest, status] : cases) {
		Caller caller(port());
		caller.send("POST /fees HTTP/1.1\r\nHost: h\r\n" + rest);
		std::string answer = caller.read_answer();
		EXPECT_EQ(answer.rfind("HTTP/1.1 " + status, 0), 0u)
			<< rest << answer;
		EXPECT_NE(answer.find("Auburnstile-Outcome: not-run"),
			  std::string::npos)
			<< rest;
	}
	EXPECT_TRUE(calls.empty());
}

/*
 * A caller disconnects while it waits for a response: its request is aborted.
 */
TEST_F(CallerServer, DetectsDisconnectedCaller)
{
	respond_immediately = false;
	{
		Caller caller(port());
		caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		run_until([&] { return !pending.empty(); });
	}
	run_until([&] { return disconnected_count == 1; });
	EXPECT_TRUE(pending.empty());
	run_until([&] { return !aub_caller_server_connections(server); });
}

TEST_F(CallerServer, RemovesClosedConnections)
{
	{
		Caller keep_alive(port());
		keep_alive.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		EXPECT_NE(keep_alive.read_answer(), "");
		Caller closing(port());
		closing.send("GET / HTTP/1.1\r\nHost: h\r\n"
			     "Connection: close\r\n\r\n");
		EXPECT_NE(closing.read_answer(), "");
		run_until([&] { return closing.poll_closed(); });
		EXPECT_EQ(aub_caller_server_active(server), 0u);
	}
	run_until([&] { return !aub_caller_server_connections(server); });
}

/*
 * Ten times as many idle connections as allowed: the oldest are closed, and a
 * new caller still receives its response.
 */
TEST_F(CallerServer, ClosesOldestIdleConnectionsOverTheLimit)
{
	std::vector<std::unique_ptr<Caller>> idle;

	for (int i = 0; i < 80; i++) {
		idle.push_back(std::make_unique<Caller>(port()));
		g_main_context_iteration(nullptr, FALSE);
	}
	Caller caller(port());
	caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	EXPECT_NE(caller.read_answer().find("hello"), std::string::npos);
	run_until([&] { return aub_caller_server_connections(server) <= 8; });
}

/*
 * Callers that send a byte occasionally, in header or body, are disconnected.
 */
TEST_F(CallerServer, DisconnectsSlowCallers)
{
	aub_caller_server_free(server);
	open(8, 150);
	Caller header(port());
	Caller body(port());

	header.send("GET / HTTP");
	body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\na");
	run_until([&] { return header.poll_closed() && body.poll_closed(); });
	EXPECT_TRUE(calls.empty());
}

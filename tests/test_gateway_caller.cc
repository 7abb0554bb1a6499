/* A caller's connection with pipelined requests. */
#include "gateway_fixture.h"

static std::string request(const std::string &line, const std::string &id,
			   const std::string &extra = "")
{
	return line + " HTTP/1.1\r\nHost: site\r\nRequest-Id: " + id +
	       "\r\nDeadline-Remaining-Ms: 3000\r\n" + extra + "\r\n";
}

static std::vector<std::string> names(std::initializer_list<const char *> list)
{
	return std::vector<std::string>(list.begin(), list.end());
}

class CallerTest : public GatewayTest
{
      protected:
	/*
	 * Starts a ready gateway and `count` upstreams with the given service
	 * time.
	 */
	void start_with_upstreams(int count, guint service_ms)
	{
		for (int i = 1; i <= count; i++)
			platform_upstream_set_service_time(
				add_upstream("u" + std::to_string(i)),
				service_ms);
		configure();
		start_and_wait_until_ready();
	}
	/*
	 * Occupies both slots of an upstream: one by request "p1" of `caller`,
	 * for 1500 ms, and one by another caller's, for 250 ms.
	 */
	void occupy_slots(Caller &caller)
	{
		caller.send(request("GET /safe/a", "p1"));
		ASSERT_TRUE(run_until([&] { return runs() == 1; }, 1000));
		platform_upstream_set_service_time(upstreams[0], 250);
		other_caller = send_request("GET", "/safe/other", "other");
		ASSERT_TRUE(run_until([&] { return runs() == 2; }, 1000));
		platform_upstream_set_service_time(upstreams[0], 20);
	}
	void TearDown() override
	{
		other_caller.reset();
		GatewayTest::TearDown();
	}
	std::unique_ptr<Caller> other_caller;
	guint runs() const
	{
		guint sum = 0;

		for (const struct platform_upstream *upstream : upstreams)
			sum += platform_upstream_runs(upstream);
		return sum;
	}
};

TEST_F(CallerTest, ServesIdempotentPipelinedRequestsConcurrently)
{
	/*
	 * Four pipelined requests must be answered in the time of one. Served
	 * in sequence, the last would wait for three others before it is
	 * forwarded.
	 */
	start_with_upstreams(2, 300);
	Caller caller(poller, listen_addresses[0]);
	gint64 start_us = g_get_monotonic_time();
	for (const char *id : { "p1", "p2", "p3", "p4" })
		caller.send(request("GET /safe/a", id));
	ASSERT_TRUE(run_until([&] { return caller.answers == 4; }, 3000));
	EXPECT_LT(g_get_monotonic_time() - start_us, 600 * 1000);
	EXPECT_EQ(caller.request_ids, names({ "p1", "p2", "p3", "p4" }));
}

TEST_F(CallerTest, BuffersEarlyAnswerUntilItsTurn)
{
	start_with_upstreams(1, 300);
	Caller caller(poller, listen_addresses[0]);
	caller.send(request("GET /safe/a", "slow") +
		    request("GET /none/", "quick") +
		    request("GET /safe/b", "last"));
	run_for(100);
	EXPECT_EQ(caller.answers, 0u);
	ASSERT_TRUE(run_until([&] { return caller.answers == 3; }, 3000));
	EXPECT_EQ(caller.request_ids, names({ "slow", "quick", "last" }));
	EXPECT_EQ(runs(), 2u);
}

TEST_F(CallerTest, DefersNonIdempotentRequestUntilItsTurn)
{
	/*
	 * If a non-idempotent request were forwarded early and the answer
	 * before it ended the connection, the request would run and the caller
	 * would send it again.
	 */
	start_with_upstreams(2, 300);
	Caller caller(poller, listen_addresses[0]);
	caller.send(request("GET /safe/a", "p1") +
		    request("POST /once/pay", "p2"));
	run_for(200);
	EXPECT_EQ(runs(), 1u);
	ASSERT_TRUE(run_until([&] { return caller.answers == 2; }, 3000));
	EXPECT_EQ(caller.status, 200u);
	EXPECT_EQ(caller.request_ids, names({ "p1", "p2" }));
	EXPECT_EQ(runs(), 2u);
}

TEST_F(CallerTest, ForwardsLargePipelinedAnswersInOrder)
{
	struct platform_upstream *first_upstream = add_upstream("u1");
	struct platform_upstream *second_upstream = add_upstream("u2");

	platform_upstream_set_body_bytes(first_upstream, 300000);
	platform_upstream_set_body_bytes(second_upstream, 300000);
	configure();
	start_and_wait_until_ready();
	Caller caller(poller, listen_addresses[0]);
	for (const char *id : { "p1", "p2", "p3", "p4" })
		caller.send(request("GET /safe/a", id));
	ASSERT_TRUE(run_until([&] { return caller.answers == 4; }, 5000));
	EXPECT_EQ(caller.request_ids, names({ "p1", "p2", "p3", "p4" }));
	for (size_t length : caller.body_lengths)
		EXPECT_EQ(length, 300000u);
}

TEST_F(CallerTest, CancelsAllPipelinedRequestsOnDisconnect)
{
	timeout_ms = 5000;
	start_with_upstreams(1, 2000);
	Caller caller(poller, listen_addresses[0]);
	caller.send(request("GET /safe/a", "p1") +
		    request("GET /safe/b", "p2"));
	ASSERT_TRUE(run_until([&] { return runs() == 2; }, 2000));
	caller.disconnect();
	EXPECT_TRUE(run_until(
		[&] { return platform_upstream_cancelled(upstreams[0]) == 2; },
		400));
}

TEST_F(CallerTest, PlannedStopAnswersAllForwardedRequests)
{
	/*
	 * If the connection ended with the first answer, the second would be
	 * lost although its upstream is working on it. Both must arrive.
	 */
	start_with_upstreams(1, 400);
	Caller caller(poller, listen_addresses[0]);
	caller.send(request("GET /safe/a", "p1") +
		    request("GET /safe/b", "p2"));
	ASSERT_TRUE(run_until([&] { return runs() == 2; }, 2000));
	aub_node_stop(
		node, [](void *) {}, NULL);
	ASSERT_TRUE(run_until([&] { return caller.ended; }, 3000));
	EXPECT_EQ(caller.request_ids, names({ "p1", "p2" }));
	EXPECT_EQ(caller.status, 200u);
	EXPECT_FALSE(caller.keep_alive);
	EXPECT_EQ(caller.end, AUB_STREAM_EOF);
}

TEST_F(CallerTest, AnswersRequestsBeforeMalformedInput)
{
	start_with_upstreams(1, 200);
	Caller caller(poller, listen_addresses[0]);
	caller.send(request("GET /safe/a", "p1") + "no request at all\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return caller.ended; }, 3000));
	EXPECT_EQ(caller.answers, 2u);
	EXPECT_EQ(caller.request_ids[0], "p1");
	EXPECT_EQ(caller.status, 400u);
	EXPECT_FALSE(caller.keep_alive);
}

TEST_F(CallerTest, AnswersLongPipelineInOrder)
{
	add_upstream("u1");
	add_upstream("u2");
	configure();
	start_and_wait_until_ready();
	Caller caller(poller, listen_addresses[0]);
	std::vector<std::string> expected;
	std::string text;

	for (int i = 0; i < 60; i++) {
		expected.push_back("n" + std::to_string(i));
		text += request(i % 7 ? "GET /safe/a" : "POST /once/b",
				expected.back());
	}
	caller.send(text);
	ASSERT_TRUE(run_until([&] { return caller.answers == 60; }, 5000));
	EXPECT_EQ(caller.request_ids, expected);
}

/* Guards against a second answer when a slot is granted after the deadline. */
TEST_F(CallerTest, AnswersRequestOnceWhoseDeadlineEndsBeforeItsGrant)
{
	timeout_ms = 3000;
	start_with_upstreams(1, 1500);
	Caller caller(poller, listen_addresses[0]);
	occupy_slots(caller);
	caller.send(request("GET /brief/b", "late") +
		    request("GET /safe/c", "p3"));
	ASSERT_TRUE(run_until([&] { return caller.answers == 3; }, 3000));
	run_for(200);
	EXPECT_EQ(caller.request_ids, names({ "p1", "late", "p3" }));
}

/* Guards against a slot in use, and a second answer, for a denied request. */
TEST_F(CallerTest, TakesNoSlotForRequestThatIsDeniedBeforeItsGrant)
{
	timeout_ms = 3000;
	max_body_bytes = 100000;
	start_with_upstreams(1, 1500);
	Caller caller(poller, listen_addresses[0]);
	occupy_slots(caller);
	caller.send(request("POST /safe/b", "large",
			    "Transfer-Encoding: chunked\r\n") +
		    "1d4c0\r\n" + std::string(120000, 'x') + "\r\n0\r\n\r\n");
	ASSERT_TRUE(wait_for_answer(other_caller));
	other_caller = send_request("GET", "/safe/c", "next");
	ASSERT_TRUE(wait_for_answer(other_caller));
	EXPECT_EQ(other_caller->status, 200u);
	EXPECT_EQ(caller.answers, 0u);
	ASSERT_TRUE(run_until([&] { return caller.ended; }, 3000));
	EXPECT_EQ(caller.request_ids, names({ "p1", "large" }));
	EXPECT_EQ(caller.status, 413u);
}

/* Guards against a wait for a slot that lasts longer than the request. */
TEST_F(CallerTest, WaitsForSlotNoLongerThanItsTimeout)
{
	timeout_ms = 3000;
	start_with_upstreams(1, 1500);
	Caller caller(poller, listen_addresses[0]);
	occupy_slots(caller);
	auto brief = send_request("GET", "/brief/b", "brief");
	ASSERT_TRUE(wait_for_answer(brief));
	EXPECT_EQ(brief->status, 503u);
	EXPECT_NE(brief->body.find("overload"), std::string::npos)
		<< brief->body;
}

/* Guards against an answer that is lost for what is sent ahead of it. */
TEST_F(CallerTest, AnswersRequestsWithMuchSentAheadOfThem)
{
	const std::string body(40000, 'x');
	std::vector<std::string> expected;
	std::string text;

	start_with_upstreams(2, 100);
	Caller caller(poller, listen_addresses[0]);
	for (int i = 0; i < 8; i++) {
		expected.push_back("n" + std::to_string(i));
		text += request("POST /safe/a", expected.back(),
				"Content-Length: 40000\r\n") +
			body;
	}
	caller.send(text);
	run_until([&] { return caller.answers == 8 || caller.ended; }, 5000);
	EXPECT_EQ(caller.request_ids, expected);
	EXPECT_EQ(caller.status, 200u);
	EXPECT_EQ(runs(), 8u);
}

/* Guards against a connection that is never read again after an upload. */
TEST_F(CallerTest, ReadsNextRequestAfterUploadThatWaitedForSlot)
{
	const std::string half(50000, 'x');

	timeout_ms = 3000;
	start_with_upstreams(1, 1500);
	Caller first(poller, listen_addresses[0]);
	occupy_slots(first);
	Caller caller(poller, listen_addresses[0]);
	caller.send(request("POST /safe/b", "upload",
			    "Content-Length: 100000\r\n") +
		    half);
	run_for(20);
	caller.send(half);
	ASSERT_TRUE(run_until([&] { return caller.answers == 1; }, 3000));
	EXPECT_EQ(caller.status, 200u);
	caller.send(request("GET /safe/c", "next"));
	ASSERT_TRUE(run_until([&] { return caller.answers == 2; }, 3000));
	EXPECT_EQ(caller.request_ids, names({ "upload", "next" }));
}

/* Guards against a request that is freed while its own end is in progress. */
TEST_F(CallerTest, EndsRequestWhileEarlierOneIsRefused)
{
	timeout_ms = 3000;
	start_with_upstreams(1, 5);
	/* Slots are in use for a short time, so that requests are queued. */
	for (int i = 0; i < 3; i++) {
		other_caller = send_request("GET", "/safe/quick", "quick");
		ASSERT_TRUE(wait_for_answer(other_caller));
	}
	platform_upstream_set_service_time(upstreams[0], 1500);
	Caller first(poller, listen_addresses[0]);
	first.send(request("GET /safe/a", "s1") + request("GET /safe/b", "s2"));
	ASSERT_TRUE(run_until([&] { return runs() == 5; }, 1000));
	Caller caller(poller, listen_addresses[0]);
	caller.send(request("GET /safe/c", "waits") +
		    request("GET /brief/d", "ends"));
	run_for(30);
	EXPECT_EQ(caller.answers, 0u);
	/* Meanwhile both the wait of one and the time of the other end. */
	g_usleep(600 * 1000);
	ASSERT_TRUE(run_until([&] { return caller.answers == 2; }, 1000));
	EXPECT_EQ(caller.request_ids, names({ "waits", "ends" }));
	EXPECT_EQ(caller.status, 503u);
}

/* Guards against open connections that keep the limits of their start. */
TEST_F(CallerTest, NewHeaderLimitAppliesToOpenConnections)
{
	auto large = [](const std::string &id) {
		return "GET /safe/a HTTP/1.1\r\nHost: site\r\nRequest-Id: " +
		       id + "\r\nDeadline-Remaining-Ms: 3000\r\nX: " +
		       std::string(6000, 'x') + "\r\n\r\n";
	};
	auto limit_to = [this](int bytes) {
		max_header_bytes = bytes;
		configure();
		run_for(500);
	};

	start_with_upstreams(1, 10);
	Caller raised(poller, listen_addresses[0]);
	raised.send(request("GET /safe/a", "a1"));
	ASSERT_TRUE(run_until([&] { return raised.answers == 1; }, 1000));
	limit_to(8192);
	raised.send(large("a2"));
	ASSERT_TRUE(run_until([&] { return raised.answers == 2; }, 1000));
	EXPECT_EQ(raised.status, 200u);

	/* A head that is being read keeps the larger limit. */
	Caller reading(poller, listen_addresses[0]);
	reading.send(large("b1").substr(0, 3000));
	run_for(50);
	limit_to(4096);
	reading.send(large("b1").substr(3000));
	ASSERT_TRUE(run_until([&] { return reading.answers == 1; }, 1000));
	EXPECT_EQ(reading.status, 200u);
	raised.send(large("a3"));
	ASSERT_TRUE(run_until([&] { return raised.answers == 3; }, 1000));
	EXPECT_EQ(raised.status, 431u);
}

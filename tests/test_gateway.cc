/*
 * The data path: complete answers, at-most-once execution, correct refusals,
 * deadlines, disconnected callers and streamed bodies.
 */
#include "gateway_fixture.h"

TEST_F(GatewayTest, ForwardsRequestAndAnswer)
{
	struct platform_upstream *upstream = add_upstream("u1");

	configure();
	start_and_wait_until_ready();
	auto caller = send_request("POST", "/once/pay?x=1", "id1",
				   "Content-Length: 5\r\nX-Own: kept\r\n"
				   "Connection: x-hop\r\nX-Hop: dropped\r\n");
	caller->send("hello");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 200u);
	EXPECT_EQ(caller->body, std::string(20, 'x'));
	EXPECT_EQ(caller->last_request_id, "id1");
	EXPECT_TRUE(caller->keep_alive);
	EXPECT_EQ(platform_upstream_runs(upstream), 1u);
	EXPECT_STREQ(platform_upstream_header(upstream, "X-Own"), "kept");
	EXPECT_EQ(platform_upstream_header(upstream, "X-Hop"), nullptr);
	EXPECT_STREQ(platform_upstream_header(upstream, "Target-Instance"),
		     "u1");
	EXPECT_LE(atoi(platform_upstream_header(upstream,
						"Deadline-Remaining-Ms")),
		  1000);
}

TEST_F(GatewayTest, RejectsUnknownPathsAndAbsoluteTargets)
{
	add_upstream("u1");
	configure();
	start_and_wait_until_ready();
	auto unknown = send_request("GET", "/other/", "id1");
	auto absolute = send_request("GET", "http://site/safe/", "id2");
	ASSERT_TRUE(wait_for_answer(unknown));
	ASSERT_TRUE(wait_for_answer(absolute));
	EXPECT_EQ(unknown->status, 404u);
	EXPECT_EQ(absolute->status, 400u);
}

TEST_F(GatewayTest, Answers503BeforeConfigurationIsKnown)
{
	/*
	 * A new process accepts connections before it has read the
	 * configuration. A 404 would tell callers that the path does not exist;
	 * they must get a 503 with Retry-After instead.
	 */
	platform_store_set_fault(store, PLATFORM_STORE_UNAVAILABLE);
	start_node();
	run_for(50);
	auto caller = send_request("GET", "/safe/a", "id1");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 503u);
	EXPECT_NE(caller->retry_after, "");
	EXPECT_EQ(http_get(listen_addresses[2], "/ready"), 503u);
}

TEST_F(GatewayTest, RejectsAmbiguousRequests)
{
	/*
	 * Request smuggling: with two lengths, with a length and chunked
	 * encoding, or with two hosts, the gateway and the upstream could read
	 * different requests, and the upstream would run one that nobody sent.
	 */
	struct platform_upstream *upstream = add_upstream("u1");
	const char *const bad[] = {
		"POST /safe/ HTTP/1.1\r\nHost: site\r\nContent-Length: 5\r\n"
		"Content-Length: 6\r\n\r\nhello!",
		"POST /safe/ HTTP/1.1\r\nHost: site\r\nContent-Length: 5\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /safe/ HTTP/1.1\r\nHost: site\r\nHost: other\r\n\r\n",
		"GET /safe/ HTTP/1.1\r\nHost : site\r\n\r\n",
		"GET /safe/ HTTP/1.1\r\n\r\n",
	};

	configure();
	start_and_wait_until_ready();
	for (const char *text : bad) {
		Caller caller(poller, listen_addresses[0]);

		caller.send(text);
		EXPECT_TRUE(run_until([&] { return caller.done(); }, 2000))
			<< text;
		EXPECT_EQ(caller.status, 400u) << text;
	}
	EXPECT_EQ(platform_upstream_runs(upstream), 0u);
}

TEST_F(GatewayTest, RejectsOversizedRequestHead)
{
	add_upstream("u1");
	configure();
	start_and_wait_until_ready();
	auto caller =
		send_request("GET", "/safe/a", "id1",
			     "X-Long: " + std::string(6000, 'y') + "\r\n");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 431u);
}

TEST_F(GatewayTest, DoesNotRetryNonIdempotentRequestAfterLostAnswer)
{
	/*
	 * The upstream runs the request and resets the connection. A retry
	 * would run it twice, and a 503 would state that it has not run; the
	 * caller must get a 502.
	 */
	struct platform_upstream *first_upstream = add_upstream("u1");
	struct platform_upstream *second_upstream = add_upstream("u2");

	platform_upstream_set_answer(first_upstream, PLATFORM_ANSWER_RESET);
	platform_upstream_set_answer(second_upstream, PLATFORM_ANSWER_RESET);
	configure();
	start_and_wait_until_ready();
	auto caller = send_request("POST", "/once/pay", "id1",
				   "Content-Length: 0\r\n");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 502u);
	EXPECT_EQ(platform_upstream_runs(first_upstream) +
			  platform_upstream_runs(second_upstream),
		  1u);
}

TEST_F(GatewayTest, RetriesIdempotentRequestOnAnotherUpstream)
{
	struct platform_upstream *first_upstream = add_upstream("u1");
	struct platform_upstream *second_upstream = add_upstream("u2");

	configure();
	start_and_wait_until_ready();
	for (auto answer : { PLATFORM_ANSWER_RESET, PLATFORM_ANSWER_TRUNCATED,
			     PLATFORM_ANSWER_GARBAGE, PLATFORM_ANSWER_UNSTAMPED,
			     PLATFORM_ANSWER_FAILED }) {
		guint before = platform_upstream_runs(first_upstream) +
			       platform_upstream_runs(second_upstream);

		platform_upstream_set_next_answer(first_upstream, answer);
		platform_upstream_set_next_answer(second_upstream, answer);
		auto caller = send_request("GET", "/safe/a", "id1");
		ASSERT_TRUE(wait_for_answer(caller)) << answer;
		/* Both upstreams fail once, so the retry fails as well. */
		EXPECT_GE(caller->status, 500u) << answer;
		EXPECT_EQ(platform_upstream_runs(first_upstream) +
				  platform_upstream_runs(second_upstream),
			  before + 2)
			<< answer;
		run_for(400); /* until probes find both healthy again */
		auto again = send_request("GET", "/safe/a", "id2");
		ASSERT_TRUE(wait_for_answer(again)) << answer;
		EXPECT_EQ(again->status, 200u) << answer;
	}
}

TEST_F(GatewayTest, RetriesRequestThatUpstreamDidNotRun)
{
	/*
	 * The first upstream states that it is full and did not run the
	 * request, which may therefore be sent to another upstream even though
	 * it must not run twice.
	 */
	struct platform_upstream *first_upstream = add_upstream("u1");
	struct platform_upstream *second_upstream = add_upstream("u2");

	configure();
	start_and_wait_until_ready();
	for (auto answer :
	     { PLATFORM_ANSWER_OVERLOADED, PLATFORM_ANSWER_MISDIRECTED }) {
		platform_upstream_set_answer(first_upstream, answer);
		guint before = platform_upstream_runs(second_upstream);
		auto caller = send_request("POST", "/once/pay", "id1",
					   "Content-Length: 0\r\n");
		ASSERT_TRUE(wait_for_answer(caller));
		EXPECT_EQ(caller->status, 200u);
		EXPECT_EQ(platform_upstream_runs(second_upstream), before + 1);
		EXPECT_EQ(platform_upstream_runs(first_upstream), 0u);
	}
}

TEST_F(GatewayTest, Answers503WhenNoUpstreamRanTheRequest)
{
	struct platform_upstream *first_upstream = add_upstream("u1");

	platform_upstream_set_answer(first_upstream,
				     PLATFORM_ANSWER_OVERLOADED);
	configure();
	start_and_wait_until_ready();
	auto caller = send_request("POST", "/once/pay", "id1",
				   "Content-Length: 0\r\n");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 503u);
	EXPECT_NE(caller->retry_after, "");
	EXPECT_EQ(platform_upstream_runs(first_upstream), 0u);
}

TEST_F(GatewayTest, LimitsAttemptsToRouteMaximum)
{
	for (int i = 0; i < 5; i++)
		platform_upstream_set_answer(add_upstream("u" +
							  std::to_string(i)),
					     PLATFORM_ANSWER_FAILED);
	max_attempts = 3;
	configure();
	start_and_wait_until_ready();
	auto caller = send_request("GET", "/safe/a", "id1");
	ASSERT_TRUE(wait_for_answer(caller));
	guint runs = 0;
	for (auto upstream : upstreams)
		runs += platform_upstream_runs(upstream);
	EXPECT_EQ(caller->status, 500u);
	EXPECT_EQ(runs, 3u);
}

TEST_F(GatewayTest, ForwardsUpstreamFailureWhenNoRetryIsPossible)
{
	/*
	 * The request may be retried but there is no other upstream. The caller
	 * must get the upstream's error answer, not a 502 without content.
	 */
	platform_upstream_set_answer(add_upstream("u1"),
				     PLATFORM_ANSWER_FAILED);
	configure();
	start_and_wait_until_ready();
	auto caller = send_request("GET", "/safe/a", "id1");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 500u);
	EXPECT_EQ(caller->last_request_id, "id1");
	EXPECT_FALSE(caller->body.empty());
	EXPECT_EQ(caller->answers, 1);
}

TEST_F(GatewayTest, ForwardsFirstFailureWhenRetryTimesOut)
{
	/*
	 * The first upstream fails and the second one never answers. At the
	 * route's timeout the caller must get the first upstream's error
	 * answer.
	 */
	struct platform_upstream *first_upstream = add_upstream("u1");
	struct platform_upstream *second_upstream = add_upstream("u2");

	configure();
	start_and_wait_until_ready();
	platform_upstream_set_answer(first_upstream, PLATFORM_ANSWER_NONE);
	platform_upstream_set_answer(second_upstream, PLATFORM_ANSWER_NONE);
	platform_upstream_set_next_answer(first_upstream,
					  PLATFORM_ANSWER_FAILED);
	platform_upstream_set_next_answer(second_upstream,
					  PLATFORM_ANSWER_FAILED);
	/* The upstream that is tried first fails; the other never answers. */
	platform_upstream_set_run_callback(
		first_upstream,
		[](const char *, void *other) {
			platform_upstream_set_next_answer(
				(struct platform_upstream *)other,
				PLATFORM_ANSWER_NONE);
		},
		second_upstream);
	platform_upstream_set_run_callback(
		second_upstream,
		[](const char *, void *other) {
			platform_upstream_set_next_answer(
				(struct platform_upstream *)other,
				PLATFORM_ANSWER_NONE);
		},
		first_upstream);
	auto caller = send_request("GET", "/safe/a", "id1");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 500u);
	EXPECT_EQ(platform_upstream_runs(first_upstream) +
			  platform_upstream_runs(second_upstream),
		  2u);
}

TEST_F(GatewayTest, Answers504AtRouteTimeout)
{
	/*
	 * The upstream runs the request and never answers. The caller must get
	 * a 504 at the route's timeout, not at its own later deadline, and not
	 * an answer which states that the request did not run.
	 */
	struct platform_upstream *first_upstream = add_upstream("u1");

	platform_upstream_set_answer(first_upstream, PLATFORM_ANSWER_NONE);
	timeout_ms = 300;
	configure();
	start_and_wait_until_ready();
	gint64 start_us = g_get_monotonic_time();
	auto caller = send_request("POST", "/once/pay", "id1",
				   "Content-Length: 0\r\n");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 504u);
	EXPECT_LT(g_get_monotonic_time() - start_us, 500 * 1000);
	EXPECT_EQ(platform_upstream_runs(first_upstream), 1u);
}

TEST_F(GatewayTest, CancelsUpstreamRequestWhenCallerDisconnects)
{
	struct platform_upstream *first_upstream = add_upstream("u1");

	platform_upstream_set_service_time(first_upstream, 2000);
	timeout_ms = 5000;
	configure();
	start_and_wait_until_ready();
	auto caller = send_request("GET", "/safe/a", "id1");
	ASSERT_TRUE(run_until(
		[&] { return platform_upstream_runs(first_upstream) == 1; },
		2000));
	caller->disconnect();
	EXPECT_TRUE(run_until(
		[&] {
			return platform_upstream_cancelled(first_upstream) == 1;
		},
		400));
}

/* Guards against stray bytes that tell callers of a run that it wasn't one. */
TEST_F(GatewayTest, DoesNotTakeStrayRefusalForAnswerToRequestThatRunsOnce)
{
	add_upstream("u1");
	configure();
	start_and_wait_until_ready();
	auto first = send_request("POST", "/once/a", "id1");
	ASSERT_TRUE(wait_for_answer(first));
	platform_upstream_set_next_answer(upstreams[0],
					  PLATFORM_ANSWER_STRAY_REFUSAL_FIRST);
	auto second = send_request("POST", "/once/a", "id2");
	ASSERT_TRUE(wait_for_answer(second));
	EXPECT_EQ(second->status, 200u);
	EXPECT_EQ(second->last_request_id, "id2");
	EXPECT_EQ(platform_upstream_runs(upstreams[0]), 2u);
}

/* Guards against requests that are lost where a refusal can be believed. */
TEST_F(GatewayTest, BelievesRefusalWithoutIdOnNewConnection)
{
	add_upstream("u1");
	configure();
	start_and_wait_until_ready();
	platform_upstream_set_answer(upstreams[0],
				     PLATFORM_ANSWER_UNIDENTIFIED_REFUSAL);
	auto once = send_request("POST", "/once/a", "id1");
	ASSERT_TRUE(wait_for_answer(once));
	EXPECT_EQ(once->status, 503u);
	/* On any connection if the request may run twice. */
	for (int i = 0; i < 3; i++) {
		auto safe = send_request("GET", "/safe/a", "id2");
		ASSERT_TRUE(wait_for_answer(safe));
		EXPECT_EQ(safe->status, 503u);
	}
}

TEST_F(GatewayTest, DiscardsAnswersToOtherRequests)
{
	/*
	 * On a pooled connection the upstream sends another request's answer
	 * first, or a second answer afterwards. The caller must get its own
	 * complete answer.
	 */
	struct platform_upstream *first_upstream = add_upstream("u1");

	configure();
	start_and_wait_until_ready();
	platform_upstream_set_next_answer(first_upstream,
					  PLATFORM_ANSWER_MISMATCHED_FIRST);
	auto first = send_request("GET", "/safe/a", "id1");
	ASSERT_TRUE(wait_for_answer(first));
	EXPECT_EQ(first->status, 200u);
	EXPECT_EQ(first->last_request_id, "id1");
	EXPECT_EQ(first->body.size(), 20u);
	platform_upstream_set_next_answer(first_upstream,
					  PLATFORM_ANSWER_DUPLICATED);
	auto second = send_request("GET", "/safe/a", "id2");
	ASSERT_TRUE(wait_for_answer(second));
	auto third = send_request("GET", "/safe/a", "id3");
	ASSERT_TRUE(wait_for_answer(third));
	EXPECT_EQ(third->last_request_id, "id3");
	EXPECT_EQ(third->body.size(), 20u);
}

TEST_F(GatewayTest, ForwardsAnswersOfEveryFraming)
{
	struct platform_upstream *first_upstream = add_upstream("u1");

	configure();
	start_and_wait_until_ready();
	for (gsize bytes : { (gsize)0, (gsize)50, (gsize)300000 })
		for (auto answer :
		     { PLATFORM_ANSWER_COMPLETE, PLATFORM_ANSWER_CHUNKED,
		       PLATFORM_ANSWER_UNFRAMED }) {
			if (!bytes && answer == PLATFORM_ANSWER_CHUNKED)
				/* an empty chunk would end the body */
				continue;
			platform_upstream_set_body_bytes(first_upstream, bytes);
			platform_upstream_set_answer(first_upstream, answer);
			auto caller = send_request("GET", "/safe/a", "id1");
			ASSERT_TRUE(wait_for_answer(caller))
				<< answer << " " << bytes;
			EXPECT_EQ(caller->status, 200u);
			EXPECT_EQ(caller->body.size(), bytes) << answer;
		}
}

TEST_F(GatewayTest, ResetsCallerConnectionWhenAnswerIsTruncated)
{
	/*
	 * A large answer is streamed and then ends early. What was sent must
	 * not look complete, whatever its framing.
	 */
	struct platform_upstream *first_upstream = add_upstream("u1");

	configure();
	start_and_wait_until_ready();
	platform_upstream_set_body_bytes(first_upstream, 200000);
	platform_upstream_set_answer(first_upstream, PLATFORM_ANSWER_TRUNCATED);
	auto caller = send_request("GET", "/safe/a", "id1");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->answers, 0u);
	EXPECT_TRUE(caller->ended);
	EXPECT_TRUE(caller->truncated);
}

/* Guards against answers that are cut off because their caller reads slowly. */
TEST_F(GatewayTest, SendsWholeAnswerToSlowCaller)
{
	configure();
	auto upstream = add_upstream("u1");
	const size_t bytes = 12 << 20; /* more than socket buffers hold */
	platform_upstream_set_body_bytes(upstream, bytes);
	start_and_wait_until_ready();
	auto caller = send_request("GET", "/safe/a", "r1",
				   "Connection: close\r\n", 8000);
	ASSERT_TRUE(run_until([&] { return caller->status == 200; }, 3000));
	caller->set_reading_paused(true);
	run_for(2700);
	caller->set_reading_paused(false);
	ASSERT_TRUE(wait_for_answer(caller, 5000));
	ASSERT_EQ(caller->answers, 1u);
	EXPECT_EQ(caller->body.size(), bytes);
}

TEST_F(GatewayTest, StreamsLargeRequestBodyWithBackPressure)
{
	/*
	 * 900 KB of body pass while the gateway buffers only a part of them: it
	 * stops reading when the upstream doesn't accept more.
	 */
	struct platform_upstream *first_upstream = add_upstream("u1");
	std::string body(900000, 'b');

	timeout_ms = 5000;
	configure();
	start_and_wait_until_ready();
	auto caller = send_request("POST", "/once/pay", "id1",
				   "Content-Length: 900000\r\n");
	caller->send(body);
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 200u);
	EXPECT_EQ(platform_upstream_body_bytes_read(first_upstream), 900000u);
	auto chunked = send_request("POST", "/once/pay", "id2",
				    "Transfer-Encoding: chunked\r\n");
	chunked->send("4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n");
	ASSERT_TRUE(wait_for_answer(chunked));
	EXPECT_EQ(chunked->status, 200u);
}

TEST_F(GatewayTest, RejectsOversizedRequestBody)
{
	add_upstream("u1");
	configure();
	start_and_wait_until_ready();
	auto caller = send_request("POST", "/once/pay", "id1",
				   "Content-Length: 2000000\r\n");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 413u);
}

TEST_F(GatewayTest, ForwardsEarlyAnswerAndDoesNotReuseConnections)
{
	/*
	 * The upstream answers before the complete body has arrived. The rest
	 * of the body would be read as the next request, so neither connection
	 * may be reused.
	 */
	struct platform_upstream *first_upstream = add_upstream("u1");

	configure();
	start_and_wait_until_ready();
	platform_upstream_set_answer(first_upstream,
				     PLATFORM_ANSWER_EARLY_ERROR);
	guint before = platform_upstream_connections(first_upstream);
	auto caller = send_request("POST", "/once/pay", "id1",
				   "Content-Length: 50000\r\n");
	caller->send(std::string(100, 'b'));
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 400u);
	EXPECT_FALSE(caller->keep_alive);
	platform_upstream_set_answer(first_upstream, PLATFORM_ANSWER_COMPLETE);
	auto next = send_request("GET", "/safe/a", "id2");
	ASSERT_TRUE(wait_for_answer(next));
	EXPECT_EQ(next->status, 200u);
	EXPECT_EQ(platform_upstream_connections(first_upstream), before + 2);
}

TEST_F(GatewayTest, AnswersPipelinedRequestsInOrder)
{
	add_upstream("u1");
	configure();
	start_and_wait_until_ready();
	Caller caller(poller, listen_addresses[0]);
	std::string head = " HTTP/1.1\r\nHost: site\r\nRequest-Id: ";

	caller.send("GET /safe/a" + head + "p1\r\n\r\nGET /safe/b" + head +
		    "p2\r\n\r\nGET /none/" + head + "p3\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return caller.answers == 3; }, 3000));
	EXPECT_EQ(caller.last_request_id, "p3");
	EXPECT_EQ(caller.status, 404u);
}

TEST_F(GatewayTest, ReusesUpstreamConnection)
{
	struct platform_upstream *first_upstream = add_upstream("u1");

	configure();
	start_and_wait_until_ready();
	guint before = platform_upstream_connections(first_upstream);
	for (int i = 0; i < 5; i++) {
		auto caller = send_request("GET", "/safe/a",
					   "id" + std::to_string(i));
		ASSERT_TRUE(wait_for_answer(caller));
		EXPECT_EQ(caller->status, 200u);
	}
	EXPECT_EQ(platform_upstream_connections(first_upstream), before + 1);
}

TEST_F(GatewayTest, RetriesOnAnotherUpstreamWhenConnectFails)
{
	/*
	 * The upstream's process has exited but its entry is still in the
	 * store. A connection that failed to open ran nothing, so a request
	 * that must not run twice may also be sent to another upstream.
	 */
	struct platform_upstream *first_upstream = add_upstream("u1");
	struct platform_upstream *second_upstream = add_upstream("u2");

	configure();
	start_and_wait_until_ready();
	platform_upstream_set_down(first_upstream, true);
	for (int i = 0; i < 6; i++) {
		auto caller = send_request("POST", "/once/pay",
					   "id" + std::to_string(i),
					   "Content-Length: 0\r\n");
		ASSERT_TRUE(wait_for_answer(caller));
		EXPECT_EQ(caller->status, 200u);
	}
	EXPECT_EQ(platform_upstream_runs(second_upstream), 6u);
}

TEST_F(GatewayTest, RefusesRequestAfterThreeUpstreamCrashes)
{
	/*
	 * A caller keeps sending a request that crashes upstreams. It is
	 * refused after the third crash, while other requests are served.
	 */
	guint runs = 0;
	std::unique_ptr<Caller> caller;

	for (int i = 0; i < 6; i++)
		add_upstream("u" + std::to_string(i));
	configure();
	start_and_wait_until_ready();
	for (int i = 0; i < 8; i++) {
		for (auto upstream : upstreams)
			platform_upstream_set_answer(upstream,
						     PLATFORM_ANSWER_RESET);
		caller = send_request("POST", "/once/poison",
				      "id" + std::to_string(i),
				      "Content-Length: 2\r\n");
		caller->send("xx");
		ASSERT_TRUE(wait_for_answer(caller));
		run_for(300);
	}
	for (auto upstream : upstreams) {
		runs += platform_upstream_runs(upstream);
		platform_upstream_set_answer(upstream,
					     PLATFORM_ANSWER_COMPLETE);
	}
	EXPECT_EQ(runs, 3u);
	EXPECT_EQ(caller->status, 503u);
	run_for(400);
	auto other = send_request("POST", "/once/other", "id",
				  "Content-Length: 0\r\n");
	ASSERT_TRUE(wait_for_answer(other));
	EXPECT_EQ(other->status, 200u);
}

TEST_F(GatewayTest, SimulatedUpstreamDoesNotRefuseStartedRequest)
{
	/*
	 * Guards the simulated upstream itself: when switched to refusing while
	 * it runs a request, it must not state that it did not run it, since
	 * the gateway would send it to another upstream.
	 */
	struct platform_upstream *first_upstream = add_upstream("u1");
	struct platform_upstream *second_upstream = add_upstream("u2");

	platform_upstream_set_service_time(first_upstream, 100);
	platform_upstream_set_service_time(second_upstream, 100);
	configure();
	start_and_wait_until_ready();
	auto caller = send_request("POST", "/once/pay", "id1",
				   "Content-Length: 0\r\n");
	run_for(50);
	platform_upstream_set_answer(first_upstream,
				     PLATFORM_ANSWER_OVERLOADED);
	platform_upstream_set_answer(second_upstream,
				     PLATFORM_ANSWER_OVERLOADED);
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 200u);
	EXPECT_EQ(platform_upstream_runs(first_upstream) +
			  platform_upstream_runs(second_upstream),
		  1u);
}

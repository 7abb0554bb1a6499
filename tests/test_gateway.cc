/*
 * The data path: whole answers, at most once, true refusals, deadlines,
 * callers that leave, bodies that stream.
 */
#include "gateway_rig.h"

TEST_F(GatewayTest, CarriesARequestAndItsAnswer)
{
	struct platform_upstream *upstream = add_upstream("u1");

	configure();
	start_ready();
	auto caller = call("POST", "/once/pay?x=1", "id1",
			   "Content-Length: 5\r\nX-Own: kept\r\n"
			   "Connection: x-hop\r\nX-Hop: dropped\r\n");
	caller->send("hello");
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->status, 200u);
	EXPECT_EQ(caller->body, std::string(20, 'x'));
	EXPECT_EQ(caller->last_id, "id1");
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

TEST_F(GatewayTest, RefusesWhatNoConfigurationAllows)
{
	add_upstream("u1");
	configure();
	start_ready();
	auto unknown = call("GET", "/other/", "id1");
	auto absolute = call("GET", "http://site/safe/", "id2");
	ASSERT_TRUE(answered(unknown));
	ASSERT_TRUE(answered(absolute));
	EXPECT_EQ(unknown->status, 404u);
	EXPECT_EQ(absolute->status, 400u);
}

TEST_F(GatewayTest, AnswersNotRunBeforeItKnowsAConfiguration)
{
	/*
	 * The caller sees 503 with a time to come back. A fresh process takes
	 * connections before it has read the configuration; a 404 would tell
	 * callers for good that the path does not exist.
	 */
	platform_store_set_fault(store, PLATFORM_STORE_UNAVAILABLE);
	start();
	run_for(50);
	auto caller = call("GET", "/safe/a", "id1");
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->status, 503u);
	EXPECT_NE(caller->retry_after, "");
	EXPECT_EQ(get(addresses[2], "/ready"), 503u);
}

TEST_F(GatewayTest, RefusesMessagesThatTwoReadersWouldReadDifferently)
{
	/*
	 * The caller sees 400. A request with two lengths, with a length and
	 * chunks, or with two hosts means one thing here and another at the
	 * upstream, which would run a request that nobody sent.
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
	start_ready();
	for (const char *text : bad) {
		Caller caller(poller, addresses[0]);

		caller.send(text);
		EXPECT_TRUE(run_until([&] { return caller.done(); }, 2000))
			<< text;
		EXPECT_EQ(caller.status, 400u) << text;
	}
	EXPECT_EQ(platform_upstream_runs(upstream), 0u);
}

TEST_F(GatewayTest, RefusesAHeadPastItsLimit)
{
	add_upstream("u1");
	configure();
	start_ready();
	auto caller = call("GET", "/safe/a", "id1",
			   "X-Long: " + std::string(6000, 'y') + "\r\n");
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->status, 431u);
}

TEST_F(GatewayTest, RunsOnceWhatMayRunOnceWhenItsAnswerIsLost)
{
	/*
	 * The caller sees 502: its fate is not known. The upstream runs the
	 * request and resets the connection. A second try would run it twice,
	 * and a 503 would promise that it had not run.
	 */
	struct platform_upstream *one = add_upstream("u1");
	struct platform_upstream *two = add_upstream("u2");

	platform_upstream_set_answer(one, PLATFORM_ANSWER_RESET);
	platform_upstream_set_answer(two, PLATFORM_ANSWER_RESET);
	configure();
	start_ready();
	auto caller = call("POST", "/once/pay", "id1", "Content-Length: 0\r\n");
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->status, 502u);
	EXPECT_EQ(platform_upstream_runs(one) + platform_upstream_runs(two),
		  1u);
}

TEST_F(GatewayTest, TriesAgainElsewhereWhatMayBeRepeated)
{
	struct platform_upstream *one = add_upstream("u1");
	struct platform_upstream *two = add_upstream("u2");

	configure();
	start_ready();
	for (auto answer : { PLATFORM_ANSWER_RESET, PLATFORM_ANSWER_TRUNCATED,
			     PLATFORM_ANSWER_GARBAGE, PLATFORM_ANSWER_UNSTAMPED,
			     PLATFORM_ANSWER_FAILED }) {
		guint before = platform_upstream_runs(one) +
			       platform_upstream_runs(two);

		platform_upstream_set_next_answer(one, answer);
		platform_upstream_set_next_answer(two, answer);
		auto caller = call("GET", "/safe/a", "id1");
		ASSERT_TRUE(answered(caller)) << answer;
		/* Both are broken once: the second try fails as well. */
		EXPECT_GE(caller->status, 500u) << answer;
		EXPECT_EQ(platform_upstream_runs(one) +
				  platform_upstream_runs(two),
			  before + 2)
			<< answer;
		run_for(400); /* probes find both well again */
		auto again = call("GET", "/safe/a", "id2");
		ASSERT_TRUE(answered(again)) << answer;
		EXPECT_EQ(again->status, 200u) << answer;
	}
}

TEST_F(GatewayTest, SendsElsewhereWhatAnUpstreamDidNotRun)
{
	/*
	 * The caller sees the answer. The first upstream says that it is full
	 * and did not run the request, so it may go to another one, also when
	 * it must not run twice.
	 */
	struct platform_upstream *one = add_upstream("u1");
	struct platform_upstream *two = add_upstream("u2");

	configure();
	start_ready();
	for (auto answer :
	     { PLATFORM_ANSWER_OVERLOADED, PLATFORM_ANSWER_MISDIRECTED }) {
		platform_upstream_set_answer(one, answer);
		guint before = platform_upstream_runs(two);
		auto caller = call("POST", "/once/pay", "id1",
				   "Content-Length: 0\r\n");
		ASSERT_TRUE(answered(caller));
		EXPECT_EQ(caller->status, 200u);
		EXPECT_EQ(platform_upstream_runs(two), before + 1);
		EXPECT_EQ(platform_upstream_runs(one), 0u);
	}
}

TEST_F(GatewayTest, SaysNotRunWhereNothingRan)
{
	struct platform_upstream *one = add_upstream("u1");

	platform_upstream_set_answer(one, PLATFORM_ANSWER_OVERLOADED);
	configure();
	start_ready();
	auto caller = call("POST", "/once/pay", "id1", "Content-Length: 0\r\n");
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->status, 503u);
	EXPECT_NE(caller->retry_after, "");
	EXPECT_EQ(platform_upstream_runs(one), 0u);
}

TEST_F(GatewayTest, SendsToNoMoreUpstreamsThanItsRouteAllows)
{
	for (int i = 0; i < 5; i++)
		platform_upstream_set_answer(add_upstream("u" +
							  std::to_string(i)),
					     PLATFORM_ANSWER_FAILED);
	max_attempts = 3;
	configure();
	start_ready();
	auto caller = call("GET", "/safe/a", "id1");
	ASSERT_TRUE(answered(caller));
	guint runs = 0;
	for (auto upstream : upstreams)
		runs += platform_upstream_runs(upstream);
	EXPECT_EQ(caller->status, 500u);
	EXPECT_EQ(runs, 3u);
}

TEST_F(GatewayTest, PassesOnAFailureWhereNoOtherUpstreamCanBeTried)
{
	/*
	 * The caller sees the upstream's own failure, not a 502 that says
	 * nothing. The request may be repeated, but there is no other upstream.
	 */
	platform_upstream_set_answer(add_upstream("u1"),
				     PLATFORM_ANSWER_FAILED);
	configure();
	start_ready();
	auto caller = call("GET", "/safe/a", "id1");
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->status, 500u);
	EXPECT_EQ(caller->last_id, "id1");
	EXPECT_FALSE(caller->body.empty());
	EXPECT_EQ(caller->answers, 1);
}

TEST_F(GatewayTest, PassesOnAFailureWhereTheNextUpstreamIsSilent)
{
	/*
	 * The caller sees the first upstream's own failure when the route's
	 * time is up. The second one never answers.
	 */
	struct platform_upstream *one = add_upstream("u1");
	struct platform_upstream *two = add_upstream("u2");

	configure();
	start_ready();
	platform_upstream_set_answer(one, PLATFORM_ANSWER_NONE);
	platform_upstream_set_answer(two, PLATFORM_ANSWER_NONE);
	platform_upstream_set_next_answer(one, PLATFORM_ANSWER_FAILED);
	platform_upstream_set_next_answer(two, PLATFORM_ANSWER_FAILED);
	/* Whichever is tried first fails; the other falls silent. */
	platform_upstream_set_run_callback(
		one,
		[](const char *, void *other) {
			platform_upstream_set_next_answer(
				(struct platform_upstream *)other,
				PLATFORM_ANSWER_NONE);
		},
		two);
	platform_upstream_set_run_callback(
		two,
		[](const char *, void *other) {
			platform_upstream_set_next_answer(
				(struct platform_upstream *)other,
				PLATFORM_ANSWER_NONE);
		},
		one);
	auto caller = call("GET", "/safe/a", "id1");
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->status, 500u);
	EXPECT_EQ(platform_upstream_runs(one) + platform_upstream_runs(two),
		  2u);
}

TEST_F(GatewayTest, AnswersWhenItsRoutesTimeIsUp)
{
	/*
	 * The caller sees 504 when its route's time is up, not when its own
	 * longer deadline is. The upstream runs the request and never answers;
	 * "not run" would be a lie.
	 */
	struct platform_upstream *one = add_upstream("u1");

	platform_upstream_set_answer(one, PLATFORM_ANSWER_NONE);
	timeout_ms = 300;
	configure();
	start_ready();
	gint64 begun = g_get_monotonic_time();
	auto caller = call("POST", "/once/pay", "id1", "Content-Length: 0\r\n");
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->status, 504u);
	EXPECT_LT(g_get_monotonic_time() - begun, 500 * 1000);
	EXPECT_EQ(platform_upstream_runs(one), 1u);
}

TEST_F(GatewayTest, CancelsAtTheUpstreamWhenTheCallerLeaves)
{
	struct platform_upstream *one = add_upstream("u1");

	platform_upstream_set_service_time(one, 2000);
	timeout_ms = 5000;
	configure();
	start_ready();
	auto caller = call("GET", "/safe/a", "id1");
	ASSERT_TRUE(run_until([&] { return platform_upstream_runs(one) == 1; },
			      2000));
	caller->leave();
	EXPECT_TRUE(
		run_until([&] { return platform_upstream_cancelled(one) == 1; },
			  400));
}

TEST_F(GatewayTest, GivesEachCallerItsOwnAnswer)
{
	/*
	 * The caller sees its own answer, whole. The upstream sends another
	 * request's answer first, or a second one after it, on a connection
	 * that is kept.
	 */
	struct platform_upstream *one = add_upstream("u1");

	configure();
	start_ready();
	platform_upstream_set_next_answer(one, PLATFORM_ANSWER_MISMATCHED_FIRST);
	auto first = call("GET", "/safe/a", "id1");
	ASSERT_TRUE(answered(first));
	EXPECT_EQ(first->status, 200u);
	EXPECT_EQ(first->last_id, "id1");
	EXPECT_EQ(first->body.size(), 20u);
	platform_upstream_set_next_answer(one, PLATFORM_ANSWER_DUPLICATED);
	auto second = call("GET", "/safe/a", "id2");
	ASSERT_TRUE(answered(second));
	auto third = call("GET", "/safe/a", "id3");
	ASSERT_TRUE(answered(third));
	EXPECT_EQ(third->last_id, "id3");
	EXPECT_EQ(third->body.size(), 20u);
}

TEST_F(GatewayTest, PassesOnAnswersOfEveryFraming)
{
	struct platform_upstream *one = add_upstream("u1");

	configure();
	start_ready();
	for (gsize bytes : { (gsize)0, (gsize)50, (gsize)300000 })
		for (auto answer :
		     { PLATFORM_ANSWER_COMPLETE, PLATFORM_ANSWER_CHUNKED,
		       PLATFORM_ANSWER_UNFRAMED }) {
			if (!bytes && answer == PLATFORM_ANSWER_CHUNKED)
				continue; /* an empty chunk is the end */
			platform_upstream_set_body_bytes(one, bytes);
			platform_upstream_set_answer(one, answer);
			auto caller = call("GET", "/safe/a", "id1");
			ASSERT_TRUE(answered(caller)) << answer << " " << bytes;
			EXPECT_EQ(caller->status, 200u);
			EXPECT_EQ(caller->body.size(), bytes) << answer;
		}
}

TEST_F(GatewayTest, BreaksOffAnAnswerThatBreaksOff)
{
	/*
	 * The caller sees its connection end midway. A large answer is passed
	 * on as it comes and then ends early: what was sent must not look
	 * whole, whatever its framing.
	 */
	struct platform_upstream *one = add_upstream("u1");

	configure();
	start_ready();
	platform_upstream_set_body_bytes(one, 200000);
	platform_upstream_set_answer(one, PLATFORM_ANSWER_TRUNCATED);
	auto caller = call("GET", "/safe/a", "id1");
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->answers, 0u);
	EXPECT_TRUE(caller->ended);
	EXPECT_TRUE(caller->midway);
}

TEST_F(GatewayTest, StreamsALargeBodyWithBackPressure)
{
	/*
	 * The caller's 900 KB go through while the gateway holds a fraction:
	 * it stops reading when the upstream does not take them.
	 */
	struct platform_upstream *one = add_upstream("u1");
	std::string body(900000, 'b');

	timeout_ms = 5000;
	configure();
	start_ready();
	auto caller =
		call("POST", "/once/pay", "id1", "Content-Length: 900000\r\n");
	caller->send(body);
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->status, 200u);
	EXPECT_EQ(platform_upstream_body_bytes_read(one), 900000u);
	auto chunked = call("POST", "/once/pay", "id2",
			    "Transfer-Encoding: chunked\r\n");
	chunked->send("4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n");
	ASSERT_TRUE(answered(chunked));
	EXPECT_EQ(chunked->status, 200u);
}

TEST_F(GatewayTest, DeniesABodyPastItsLimit)
{
	add_upstream("u1");
	configure();
	start_ready();
	auto caller =
		call("POST", "/once/pay", "id1", "Content-Length: 2000000\r\n");
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->status, 413u);
}

TEST_F(GatewayTest, PassesOnAnAnswerThatComesBeforeTheBodyIsIn)
{
	/*
	 * The caller sees the upstream's early answer. The rest of the body
	 * would be taken for the next request on that connection, so neither
	 * side's connection is used again.
	 */
	struct platform_upstream *one = add_upstream("u1");

	configure();
	start_ready();
	platform_upstream_set_answer(one, PLATFORM_ANSWER_EARLY_ERROR);
	guint before = platform_upstream_connections(one);
	auto caller =
		call("POST", "/once/pay", "id1", "Content-Length: 50000\r\n");
	caller->send(std::string(100, 'b'));
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->status, 400u);
	EXPECT_FALSE(caller->keep_alive);
	platform_upstream_set_answer(one, PLATFORM_ANSWER_COMPLETE);
	auto next = call("GET", "/safe/a", "id2");
	ASSERT_TRUE(answered(next));
	EXPECT_EQ(next->status, 200u);
	EXPECT_EQ(platform_upstream_connections(one), before + 2);
}

TEST_F(GatewayTest, AnswersRequestsThatCameTogetherInOrder)
{
	add_upstream("u1");
	configure();
	start_ready();
	Caller caller(poller, addresses[0]);
	std::string head = " HTTP/1.1\r\nHost: site\r\nRequest-Id: ";

	caller.send("GET /safe/a" + head + "p1\r\n\r\nGET /safe/b" + head +
		    "p2\r\n\r\nGET /none/" + head + "p3\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return caller.answers == 3; }, 3000));
	EXPECT_EQ(caller.last_id, "p3");
	EXPECT_EQ(caller.status, 404u);
}

TEST_F(GatewayTest, UsesAnUpstreamsConnectionAgain)
{
	struct platform_upstream *one = add_upstream("u1");

	configure();
	start_ready();
	guint before = platform_upstream_connections(one);
	for (int i = 0; i < 5; i++) {
		auto caller = call("GET", "/safe/a", "id" + std::to_string(i));
		ASSERT_TRUE(answered(caller));
		EXPECT_EQ(caller->status, 200u);
	}
	EXPECT_EQ(platform_upstream_connections(one), before + 1);
}

TEST_F(GatewayTest, FindsTheNextOneWhenAnUpstreamIsGone)
{
	/*
	 * The caller sees an answer. The upstream's process is gone and its
	 * entry still there: a connection that was never made ran nothing, so
	 * even what must not run twice goes on to the next.
	 */
	struct platform_upstream *one = add_upstream("u1");
	struct platform_upstream *two = add_upstream("u2");

	configure();
	start_ready();
	platform_upstream_set_down(one, true);
	for (int i = 0; i < 6; i++) {
		auto caller =
			call("POST", "/once/pay", "id" + std::to_string(i),
			     "Content-Length: 0\r\n");
		ASSERT_TRUE(answered(caller));
		EXPECT_EQ(caller->status, 200u);
	}
	EXPECT_EQ(platform_upstream_runs(two), 6u);
}

TEST_F(GatewayTest, StopsARequestThatCrashesUpstreams)
{
	/*
	 * The caller that sends it again and again is refused after the third
	 * upstream that died under it; others are served.
	 */
	guint runs = 0;
	std::unique_ptr<Caller> caller;

	for (int i = 0; i < 6; i++)
		add_upstream("u" + std::to_string(i));
	configure();
	start_ready();
	for (int i = 0; i < 8; i++) {
		for (auto upstream : upstreams)
			platform_upstream_set_answer(upstream,
						     PLATFORM_ANSWER_RESET);
		caller = call("POST", "/once/poison", "id" + std::to_string(i),
			      "Content-Length: 2\r\n");
		caller->send("xx");
		ASSERT_TRUE(answered(caller));
		run_for(300);
	}
	for (auto upstream : upstreams) {
		runs += platform_upstream_runs(upstream);
		platform_upstream_set_answer(upstream, PLATFORM_ANSWER_COMPLETE);
	}
	EXPECT_EQ(runs, 3u);
	EXPECT_EQ(caller->status, 503u);
	run_for(400);
	auto other = call("POST", "/once/other", "id", "Content-Length: 0\r\n");
	ASSERT_TRUE(answered(other));
	EXPECT_EQ(other->status, 200u);
}

TEST_F(GatewayTest, StandInKeepsItsWordOnWhatItBeganToRun)
{
	/*
	 * The stand-in upstream begins to run a request and is told, while it
	 * works, to refuse. It must not say then that it did not run it: the
	 * gateway would rightly send it elsewhere.
	 */
	struct platform_upstream *one = add_upstream("u1");
	struct platform_upstream *two = add_upstream("u2");

	platform_upstream_set_service_time(one, 100);
	platform_upstream_set_service_time(two, 100);
	configure();
	start_ready();
	auto caller = call("POST", "/once/pay", "id1", "Content-Length: 0\r\n");
	run_for(50);
	platform_upstream_set_answer(one, PLATFORM_ANSWER_OVERLOADED);
	platform_upstream_set_answer(two, PLATFORM_ANSWER_OVERLOADED);
	ASSERT_TRUE(answered(caller));
	EXPECT_EQ(caller->status, 200u);
	EXPECT_EQ(platform_upstream_runs(one) + platform_upstream_runs(two),
		  1u);
}

/*
 * Requests that a gateway sends to an upstream for another one, which has lost
 * its links. The other gateway is played by the test.
 */
#include "gateway_fixture.h"

class GatewayRelayTest : public GatewayTest
{
      protected:
	struct platform_upstream *upstream = NULL;

	void SetUp() override
	{
		GatewayTest::SetUp();
		configure();
		upstream = add_upstream("u1");
	}
	/* Sends a request as another gateway does. */
	std::unique_ptr<Caller> relay(const std::string &method,
				      const std::string &to,
				      const std::string &extra = "",
				      int deadline_ms = 3000)
	{
		std::unique_ptr<Caller> peer(
			new Caller(poller, listen_addresses[3]));

		peer->send(method +
			   " /safe/a HTTP/1.1\r\nHost: site\r\n"
			   "Request-Id: r1\r\nTarget-Instance: " +
			   to + "\r\nDeadline-Remaining-Ms: " +
			   std::to_string(deadline_ms) + "\r\n" + extra +
			   "\r\n");
		return peer;
	}
};

TEST_F(GatewayRelayTest, SendsRequestToTheUpstreamThatIsNamed)
{
	auto other = add_upstream("u2");
	start_and_wait_until_ready();
	for (int i = 0; i < 4; i++) {
		auto peer = relay("GET", "u1", "Workspace: w1\r\n");
		ASSERT_TRUE(wait_for_answer(peer));
		EXPECT_EQ(peer->status, 200u);
		EXPECT_EQ(peer->relay_failure, "");
	}
	EXPECT_EQ(platform_upstream_runs(upstream), 4u);
	EXPECT_EQ(platform_upstream_runs(other), 0u);
	EXPECT_STREQ(platform_upstream_header(upstream, "Target-Instance"),
		     "u1");
	EXPECT_STREQ(platform_upstream_header(upstream, "Workspace"), "w1");
	gint64 left = g_ascii_strtoll(
		platform_upstream_header(upstream, "Deadline-Remaining-Ms"),
		NULL, 10);
	EXPECT_GT(left, 2000);
	EXPECT_LE(left, 3000);
}

/* Guards against requests that go round among gateways without links. */
TEST_F(GatewayRelayTest, DoesNotPassRequestsOnToFurtherGateways)
{
	start_and_wait_until_ready();
	platform_upstream_set_down(upstream, true);
	auto peer = relay("GET", "u1");
	ASSERT_TRUE(wait_for_answer(peer));
	EXPECT_EQ(peer->status, 502u);
	EXPECT_NE(peer->relay_failure, "");
}

/* Guards against requests to upstreams that this gateway must not use. */
TEST_F(GatewayRelayTest, SendsNothingToUnknownOrDrainingUpstream)
{
	start_and_wait_until_ready();
	auto peer = relay("GET", "u9");
	ASSERT_TRUE(wait_for_answer(peer));
	EXPECT_EQ(peer->relay_failure, "no-path");
	register_upstream(upstream, "draining");
	run_for(300);
	peer = relay("GET", "u1");
	ASSERT_TRUE(wait_for_answer(peer));
	EXPECT_EQ(peer->relay_failure, "no-path");
	EXPECT_EQ(platform_upstream_arrivals(upstream), 0u);
}

/* Guards against "not run" that is lost on the way. */
TEST_F(GatewayRelayTest, PassesRefusalsOnUnchanged)
{
	start_and_wait_until_ready();
	for (auto answer :
	     { PLATFORM_ANSWER_OVERLOADED, PLATFORM_ANSWER_MISDIRECTED }) {
		platform_upstream_set_answer(upstream, answer);
		auto peer = relay("GET", "u1");
		ASSERT_TRUE(wait_for_answer(peer));
		EXPECT_EQ(peer->status,
			  answer == PLATFORM_ANSWER_OVERLOADED ? 503u : 421u);
		EXPECT_EQ(peer->relay_failure, "");
		EXPECT_TRUE(peer->not_run);
	}
}

/* Guards against incomplete answers that look complete. */
TEST_F(GatewayRelayTest, PassesAnswersOfEveryFramingOnWhole)
{
	platform_upstream_set_body_bytes(upstream, 300000);
	start_and_wait_until_ready();
	for (auto answer : { PLATFORM_ANSWER_COMPLETE, PLATFORM_ANSWER_CHUNKED,
			     PLATFORM_ANSWER_UNFRAMED }) {
		platform_upstream_set_next_answer(upstream, answer);
		auto peer = relay("GET", "u1");
		ASSERT_TRUE(wait_for_answer(peer));
		EXPECT_EQ(peer->answers, 1u);
		EXPECT_EQ(peer->body.size(), 300000u);
	}
	platform_upstream_set_next_answer(upstream, PLATFORM_ANSWER_TRUNCATED);
	auto peer = relay("GET", "u1");
	ASSERT_TRUE(wait_for_answer(peer));
	EXPECT_EQ(peer->answers, 0u);
	EXPECT_TRUE(peer->truncated);
}

TEST_F(GatewayRelayTest, NamesLostAnswers)
{
	start_and_wait_until_ready();
	for (auto answer : { PLATFORM_ANSWER_RESET, PLATFORM_ANSWER_GARBAGE,
			     PLATFORM_ANSWER_UNSTAMPED }) {
		platform_upstream_set_next_answer(upstream, answer);
		auto peer = relay("GET", "u1");
		ASSERT_TRUE(wait_for_answer(peer));
		EXPECT_EQ(peer->relay_failure, "lost") << answer;
	}
	platform_upstream_set_next_answer(upstream, PLATFORM_ANSWER_NONE);
	auto peer = relay("GET", "u1", "", 300);
	ASSERT_TRUE(wait_for_answer(peer));
	EXPECT_EQ(peer->relay_failure, "timeout");
}

/* Guards against work that goes on after its caller has left. */
TEST_F(GatewayRelayTest, CancelsRequestWhenTheOtherGatewayCloses)
{
	platform_upstream_set_service_time(upstream, 500);
	start_and_wait_until_ready();
	auto peer = relay("GET", "u1");
	ASSERT_TRUE(
		run_until([&] { return platform_upstream_runs(upstream) == 1; },
			  1000));
	peer->disconnect();
	EXPECT_TRUE(run_until(
		[&] { return platform_upstream_cancelled(upstream) == 1; },
		300));
}

TEST_F(GatewayRelayTest, SendsLongBodiesOn)
{
	const size_t bytes = 200000;
	start_and_wait_until_ready();
	auto peer = relay("POST", "u1",
			  "Content-Length: " + std::to_string(bytes) + "\r\n");
	peer->send(std::string(bytes, 'b'));
	ASSERT_TRUE(wait_for_answer(peer));
	EXPECT_EQ(peer->status, 200u);
	EXPECT_EQ(platform_upstream_body_bytes_read(upstream), bytes);
}

/* Guards against a planned stop that cuts off requests of other gateways. */
TEST_F(GatewayRelayTest, PlannedStopFinishesRelayedRequests)
{
	bool stopped = false;

	platform_upstream_set_service_time(upstream, 600);
	start_and_wait_until_ready();
	auto peer = relay("GET", "u1");
	ASSERT_TRUE(
		run_until([&] { return platform_upstream_runs(upstream) == 1; },
			  1000));
	aub_node_stop(
		node, [](void *context) { *(bool *)context = true; }, &stopped);
	ASSERT_TRUE(wait_for_answer(peer));
	EXPECT_EQ(peer->status, 200u);
	EXPECT_FALSE(peer->keep_alive);
	EXPECT_TRUE(run_until([&] { return stopped; }, 3000));
}

/* Guards against callers or upstreams that pass for another gateway. */
TEST_F(GatewayRelayTest, IgnoresItsHeadersFromCallers)
{
	auto other = add_upstream("u2");
	start_and_wait_until_ready();
	platform_upstream_set_answer(other, PLATFORM_ANSWER_OVERLOADED);
	auto caller = send_request("GET", "/safe/a", "r1",
				   "Target-Instance: u2\r\n"
				   "Auburnstile-Relay-Failure: lost\r\n");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 200u);
	EXPECT_STREQ(platform_upstream_header(upstream, "Target-Instance"),
		     "u1");
}

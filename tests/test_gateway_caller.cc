/*
 * One caller's connection: requests sent before the first is answered.
 */
#include "gateway_rig.h"

static std::string request(const std::string &line, const std::string &id)
{
	return line + " HTTP/1.1\r\nHost: site\r\nRequest-Id: " + id +
	       "\r\nDeadline-Remaining-Ms: 3000\r\n\r\n";
}

static std::vector<std::string> names(std::initializer_list<const char *> list)
{
	return std::vector<std::string>(list.begin(), list.end());
}

class CallerTest : public GatewayTest
{
      protected:
	/* A ready gateway before `count` upstreams of so long a work. */
	void serve(int count, guint work_ms)
	{
		for (int i = 1; i <= count; i++)
			platform_upstream_set_service_time(
				add_upstream("u" + std::to_string(i)), work_ms);
		configure();
		start_ready();
	}
	guint runs() const
	{
		guint sum = 0;

		for (const struct platform_upstream *upstream : upstreams)
			sum += platform_upstream_runs(upstream);
		return sum;
	}
};

TEST_F(CallerTest, ServesSafeRequestsOfOneCallerSideBySide)
{
	/*
	 * The caller has its answers in the time of one. It sends four
	 * requests at once on one connection; served one after the other, the
	 * last would wait for the work of three before it is sent anywhere.
	 */
	serve(2, 300);
	Caller caller(poller, addresses[0]);
	gint64 begun = g_get_monotonic_time();
	for (const char *id : { "p1", "p2", "p3", "p4" })
		caller.send(request("GET /safe/a", id));
	ASSERT_TRUE(run_until([&] { return caller.answers == 4; }, 3000));
	EXPECT_LT(g_get_monotonic_time() - begun, 600 * 1000);
	EXPECT_EQ(caller.ids, names({ "p1", "p2", "p3", "p4" }));
}

TEST_F(CallerTest, HoldsAQuickAnswerUntilItsTurn)
{
	serve(1, 300);
	Caller caller(poller, addresses[0]);
	caller.send(request("GET /safe/a", "slow") +
		    request("GET /none/", "quick") +
		    request("GET /safe/b", "last"));
	run_for(100);
	EXPECT_EQ(caller.answers, 0u);
	ASSERT_TRUE(run_until([&] { return caller.answers == 3; }, 3000));
	EXPECT_EQ(caller.ids, names({ "slow", "quick", "last" }));
	EXPECT_EQ(runs(), 2u);
}

TEST_F(CallerTest, SendsWhatRunsOnceOnlyInItsTurn)
{
	/*
	 * The caller sends what may run once behind another request. Were it
	 * passed on at once and the answer before it ended the connection, it
	 * would have run and the caller would send it again.
	 */
	serve(2, 300);
	Caller caller(poller, addresses[0]);
	caller.send(request("GET /safe/a", "p1") +
		    request("POST /once/pay", "p2"));
	run_for(200);
	EXPECT_EQ(runs(), 1u);
	ASSERT_TRUE(run_until([&] { return caller.answers == 2; }, 3000));
	EXPECT_EQ(caller.status, 200u);
	EXPECT_EQ(caller.ids, names({ "p1", "p2" }));
	EXPECT_EQ(runs(), 2u);
}

TEST_F(CallerTest, PassesOnLargeAnswersInOrder)
{
	struct platform_upstream *one = add_upstream("u1");
	struct platform_upstream *two = add_upstream("u2");

	platform_upstream_set_body_bytes(one, 300000);
	platform_upstream_set_body_bytes(two, 300000);
	configure();
	start_ready();
	Caller caller(poller, addresses[0]);
	for (const char *id : { "p1", "p2", "p3", "p4" })
		caller.send(request("GET /safe/a", id));
	ASSERT_TRUE(run_until([&] { return caller.answers == 4; }, 5000));
	EXPECT_EQ(caller.ids, names({ "p1", "p2", "p3", "p4" }));
	for (size_t length : caller.lengths)
		EXPECT_EQ(length, 300000u);
}

TEST_F(CallerTest, CancelsAllThatACallerSentWhenItLeaves)
{
	timeout_ms = 5000;
	serve(1, 2000);
	Caller caller(poller, addresses[0]);
	caller.send(request("GET /safe/a", "p1") +
		    request("GET /safe/b", "p2"));
	ASSERT_TRUE(run_until([&] { return runs() == 2; }, 2000));
	caller.leave();
	EXPECT_TRUE(run_until(
		[&] { return platform_upstream_cancelled(upstreams[0]) == 2; },
		400));
}

TEST_F(CallerTest, APlannedStopAnswersAllThatWasSentOn)
{
	/*
	 * The caller gets both answers, the last of which ends the connection.
	 * Were it to end with the first, the second would be cut off though
	 * its upstream is at work.
	 */
	serve(1, 400);
	Caller caller(poller, addresses[0]);
	caller.send(request("GET /safe/a", "p1") +
		    request("GET /safe/b", "p2"));
	ASSERT_TRUE(run_until([&] { return runs() == 2; }, 2000));
	aub_node_stop(
		node, [](void *) {}, NULL);
	ASSERT_TRUE(run_until([&] { return caller.ended; }, 3000));
	EXPECT_EQ(caller.ids, names({ "p1", "p2" }));
	EXPECT_EQ(caller.status, 200u);
	EXPECT_FALSE(caller.keep_alive);
	EXPECT_EQ(caller.end, AUB_STREAM_EOF);
}

TEST_F(CallerTest, AnswersWhatCameBeforeNonsense)
{
	serve(1, 200);
	Caller caller(poller, addresses[0]);
	caller.send(request("GET /safe/a", "p1") + "no request at all\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return caller.ended; }, 3000));
	EXPECT_EQ(caller.answers, 2u);
	EXPECT_EQ(caller.ids[0], "p1");
	EXPECT_EQ(caller.status, 400u);
	EXPECT_FALSE(caller.keep_alive);
}

TEST_F(CallerTest, TakesAsManyAtOnceAsACallerLikes)
{
	add_upstream("u1");
	add_upstream("u2");
	configure();
	start_ready();
	Caller caller(poller, addresses[0]);
	std::vector<std::string> expected;
	std::string text;

	for (int i = 0; i < 60; i++) {
		expected.push_back("n" + std::to_string(i));
		text += request(i % 7 ? "GET /safe/a" : "POST /once/b",
				expected.back());
	}
	caller.send(text);
	ASSERT_TRUE(run_until([&] { return caller.answers == 60; }, 5000));
	EXPECT_EQ(caller.ids, expected);
}

/*
 * Orders to change versions, by a whole gateway process against the stand-in
 * store: what upstreams get and what the store holds at the end.
 */
#include "gateway_rig.h"

class RolloutTest : public GatewayTest
{
      protected:
	/* Of the old version, and of the new one. */
	std::vector<struct platform_upstream *> before, after;
	int serial = 0;

	void SetUp() override
	{
		GatewayTest::SetUp();
		rollout_share = 0.1;
		for (int i = 0; i < 6; i++)
			before.push_back(add_upstream("a" + std::to_string(i)));
		for (int i = 0; i < 3; i++) {
			std::string id = "b" + std::to_string(i);

			after.push_back(platform_upstream_new(poller, timers,
							      id.c_str()));
		}
		configure();
	}
	void TearDown() override
	{
		for (auto upstream : after)
			upstreams.push_back(upstream);
		GatewayTest::TearDown();
	}
	void enter_new(const std::string &state = "ready")
	{
		for (auto upstream : after)
			enter(upstream, state, "z1", 0, "v2", 900);
	}
	void answer_new(enum platform_answer answer)
	{
		for (auto upstream : after)
			platform_upstream_set_answer(upstream, answer);
	}
	static guint runs(const std::vector<struct platform_upstream *> &which)
	{
		guint runs = 0;

		for (auto upstream : which)
			runs += platform_upstream_runs(upstream);
		return runs;
	}
	void order(double duration_s = 3, const std::string &target = "v2")
	{
		char *text = g_strdup_printf(
			"{\"service\":\"svc\",\"target_version\":\"%s\","
			"\"duration_s\":%g}",
			target.c_str(), duration_s);

		platform_store_put(store, "rollouts", "svc", text);
		g_free(text);
	}
	std::string stored()
	{
		const char *status =
			platform_store_status(store, "rollouts", "svc");

		return status ? status : "";
	}
	bool holds(const std::string &state)
	{
		return stored().find("\"" + state + "\"") != std::string::npos;
	}
	/* Starts with the old version alone, then lets the new one in. */
	void start_both()
	{
		start_ready();
		enter_new();
		ASSERT_TRUE(run_until(
			[&] {
				for (auto upstream : after)
					if (!platform_upstream_probes(upstream))
						return false;
				return true;
			},
			3000));
		run_for(50);
	}
	/* Six at once; all are answered well. */
	void serve()
	{
		std::vector<std::unique_ptr<Caller>> callers;

		for (int i = 0; i < 6; i++)
			callers.push_back(
				call("GET", "/safe/a",
				     "id" + std::to_string(++serial)));
		for (auto &caller : callers) {
			ASSERT_TRUE(answered(caller));
			EXPECT_EQ(caller->status, 200u);
		}
	}
	bool serve_until(const std::function<bool()> &done, int ms)
	{
		gint64 end = g_get_monotonic_time() + ms * 1000;

		while (!done() && g_get_monotonic_time() < end)
			serve();
		return done();
	}
};

/* Guards against requests to a version before its order. */
TEST_F(RolloutTest, SendsNothingToAVersionThatWaitsForItsOrder)
{
	start_both();
	for (int i = 0; i < 10; i++)
		serve();
	EXPECT_EQ(runs(after), 0u);
}

/* Guards against a bad version that gets its full share of requests. */
TEST_F(RolloutTest, KeepsABadVersionWithinItsExposure)
{
	start_both();
	answer_new(PLATFORM_ANSWER_FAILED);
	order();
	ASSERT_TRUE(serve_until([&] { return holds("rolled_back"); }, 5000))
		<< stored();
	guint sent = runs(after);
	EXPECT_GT(sent, 0u);
	EXPECT_LE(sent, 0.1 * serial + 50);
	for (int i = 0; i < 10; i++)
		serve();
	EXPECT_EQ(runs(after), sent);
}

TEST_F(RolloutTest, MovesToAGoodVersionInTime)
{
	gint64 began;

	start_both();
	began = g_get_monotonic_time();
	order();
	ASSERT_TRUE(serve_until([&] { return holds("completed"); }, 5000))
		<< stored();
	EXPECT_LE(g_get_monotonic_time() - began, 3 * 1000 * 1000);
	guint sent = runs(before);
	for (int i = 0; i < 10; i++)
		serve();
	EXPECT_EQ(runs(before), sent);
}

TEST_F(RolloutTest, SaysThatAnOrderIsUnderWay)
{
	start_both();
	order(30);
	EXPECT_TRUE(run_until([&] { return holds("running"); }, 2000))
		<< stored();
}

/* Guards against a lost answer of the store that leaves an order open. */
TEST_F(RolloutTest, FindsOutWhatBecameOfAWriteWithoutAnAnswer)
{
	start_both();
	answer_new(PLATFORM_ANSWER_FAILED);
	order(20);
	ASSERT_TRUE(run_until([&] { return holds("running"); }, 2000));
	run_for(300);
	platform_store_set_fault(store, PLATFORM_STORE_LOSE_ANSWERS);
	ASSERT_TRUE(serve_until([&] { return holds("rolled_back"); }, 6000))
		<< stored() << " " << runs(after) << " of " << serial;
	guint sent = runs(after);
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	run_for(2500);
	EXPECT_TRUE(holds("rolled_back"));
	for (int i = 0; i < 10; i++)
		serve();
	EXPECT_EQ(runs(after), sent);
}

TEST_F(RolloutTest, StoresItsVerdictOnceTheStoreIsBack)
{
	start_both();
	order(20);
	ASSERT_TRUE(run_until([&] { return holds("running"); }, 2000));
	platform_store_set_fault(store, PLATFORM_STORE_UNAVAILABLE);
	answer_new(PLATFORM_ANSWER_FAILED);
	serve_until([] { return false; }, 2500);
	guint sent = runs(after);
	EXPECT_LT(sent, 50u);
	for (int i = 0; i < 10; i++)
		serve();
	EXPECT_EQ(runs(after), sent);
	EXPECT_FALSE(holds("rolled_back"));
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	EXPECT_TRUE(serve_until([&] { return holds("rolled_back"); }, 5000));
}

/* Guards against an operator's change that an old verdict is written over. */
TEST_F(RolloutTest, AnOrderThatIsReplacedMeanwhileIsJudgedAnew)
{
	start_both();
	answer_new(PLATFORM_ANSWER_FAILED);
	order(3);
	ASSERT_TRUE(serve_until([&] { return holds("rolled_back"); }, 4000));
	answer_new(PLATFORM_ANSWER_COMPLETE);
	order(4);
	ASSERT_TRUE(run_until([&] { return holds("running"); }, 2000))
		<< stored();
	EXPECT_TRUE(serve_until([&] { return holds("completed"); }, 6000))
		<< stored();
}

TEST_F(RolloutTest, ADeletedOrderLeavesTheOldVersion)
{
	start_both();
	order(20);
	ASSERT_TRUE(serve_until([&] { return runs(after) > 0; }, 3000));
	platform_store_remove(store, "rollouts", "svc");
	run_for(400);
	guint sent = runs(after);
	for (int i = 0; i < 20; i++)
		serve();
	EXPECT_EQ(runs(after), sent);
}

/* Guards against an order nobody can read that lets a version take part. */
TEST_F(RolloutTest, AnOrderThatMakesNoSenseMovesNothing)
{
	std::string metrics;

	start_both();
	platform_store_put(store, "rollouts", "svc",
			   "{\"service\":\"svc\",\"target_version\":7}");
	run_for(400);
	for (int i = 0; i < 10; i++)
		serve();
	EXPECT_EQ(runs(after), 0u);
	EXPECT_EQ(get(addresses[4], "/metrics", &metrics), 200u);
	EXPECT_NE(metrics.find("auburnstile_records_refused_total 1\n"),
		  std::string::npos)
		<< metrics;
}

/* Guards against a process that starts in the middle of a rolled-back order. */
TEST_F(RolloutTest, GoesByTheStoredStateFromItsStart)
{
	enter_new();
	order(20);
	platform_store_put_status(store, "rollouts", "svc",
				  "{\"state\":\"rolled_back\","
				  "\"target_version\":\"v2\"}");
	start_ready();
	for (int i = 0; i < 10; i++)
		serve();
	EXPECT_EQ(runs(after), 0u);
}

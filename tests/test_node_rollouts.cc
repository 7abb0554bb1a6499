/*
 * Rollout orders in a complete gateway process with a simulated store: the
 * requests that upstreams get and the state stored at the end.
 */
#include "gateway_fixture.h"

class NodeRolloutTest : public GatewayTest
{
      protected:
	/* Upstreams of the old and of the new version. */
	std::vector<struct platform_upstream *> old_upstreams, new_upstreams;
	int serial = 0;

	void SetUp() override
	{
		GatewayTest::SetUp();
		rollout_share = 0.1;
		for (int i = 0; i < 6; i++)
			old_upstreams.push_back(
				add_upstream("a" + std::to_string(i)));
		for (int i = 0; i < 3; i++) {
			std::string id = "b" + std::to_string(i);

			new_upstreams.push_back(
				platform_upstream_new(poller, timers,
						      id.c_str()));
		}
		configure();
	}
	void TearDown() override
	{
		for (auto upstream : new_upstreams)
			upstreams.push_back(upstream);
		GatewayTest::TearDown();
	}
	void register_new_version(const std::string &state = "ready")
	{
		for (auto upstream : new_upstreams)
			register_upstream(upstream, state, "z1", 0, "v2", 900);
	}
	void set_new_version_answer(enum platform_answer answer)
	{
		for (auto upstream : new_upstreams)
			platform_upstream_set_answer(upstream, answer);
	}
	static guint runs(const std::vector<struct platform_upstream *> &list)
	{
		guint sum = 0;

		for (auto upstream : list)
			sum += platform_upstream_runs(upstream);
		return sum;
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
	std::string stored_status()
	{
		const char *status =
			platform_store_status(store, "rollouts", "svc");

		return status ? status : "";
	}
	bool stored_state_is(const std::string &state)
	{
		return stored_status().find("\"" + state + "\"") !=
		       std::string::npos;
	}
	/* Starts with the old version only, then registers the new one. */
	void start_with_both_versions()
	{
		start_and_wait_until_ready();
		register_new_version();
		ASSERT_TRUE(run_until(
			[&] {
				for (auto upstream : new_upstreams)
					if (!platform_upstream_probes(upstream))
						return false;
				return true;
			},
			3000));
		run_for(50);
	}
	/* Sends six requests concurrently and expects status 200 for all. */
	void serve_requests()
	{
		std::vector<std::unique_ptr<Caller>> callers;

		for (int i = 0; i < 6; i++)
			callers.push_back(
				send_request("GET", "/safe/a",
					     "id" + std::to_string(++serial)));
		for (auto &caller : callers) {
			ASSERT_TRUE(wait_for_answer(caller));
			EXPECT_EQ(caller->status, 200u);
		}
	}
	bool serve_requests_until(const std::function<bool()> &done, int ms)
	{
		gint64 end = g_get_monotonic_time() + ms * 1000;

		while (!done() && g_get_monotonic_time() < end)
			serve_requests();
		return done();
	}
};

/* Guards against requests to a version before its order. */
TEST_F(NodeRolloutTest, SendsNothingToVersionWithoutRolloutOrder)
{
	start_with_both_versions();
	for (int i = 0; i < 10; i++)
		serve_requests();
	EXPECT_EQ(runs(new_upstreams), 0u);
}

/* Guards against a bad version that gets its full share of requests. */
TEST_F(NodeRolloutTest, LimitsRequestsToBadVersion)
{
	start_with_both_versions();
	set_new_version_answer(PLATFORM_ANSWER_FAILED);
	order();
	ASSERT_TRUE(serve_requests_until(
		[&] { return stored_state_is("rolled_back"); }, 5000))
		<< stored_status();
	guint new_version_runs = runs(new_upstreams);
	EXPECT_GT(new_version_runs, 0u);
	EXPECT_LE(new_version_runs, 0.1 * serial + 50);
	for (int i = 0; i < 10; i++)
		serve_requests();
	EXPECT_EQ(runs(new_upstreams), new_version_runs);
}

TEST_F(NodeRolloutTest, CompletesRolloutOfGoodVersionInTime)
{
	gint64 start_us;

	start_with_both_versions();
	start_us = g_get_monotonic_time();
	order();
	ASSERT_TRUE(serve_requests_until(
		[&] { return stored_state_is("completed"); }, 5000))
		<< stored_status();
	EXPECT_LE(g_get_monotonic_time() - start_us, 3 * 1000 * 1000);
	guint old_version_runs = runs(old_upstreams);
	for (int i = 0; i < 10; i++)
		serve_requests();
	EXPECT_EQ(runs(old_upstreams), old_version_runs);
}

TEST_F(NodeRolloutTest, StoresRunningState)
{
	start_with_both_versions();
	order(30);
	EXPECT_TRUE(run_until([&] { return stored_state_is("running"); }, 2000))
		<< stored_status();
}

/* Guards against an order that stays open after a lost answer of the store. */
TEST_F(NodeRolloutTest, RetriesStateWriteWithoutAnswer)
{
	start_with_both_versions();
	set_new_version_answer(PLATFORM_ANSWER_FAILED);
	order(20);
	ASSERT_TRUE(
		run_until([&] { return stored_state_is("running"); }, 2000));
	run_for(300);
	platform_store_set_fault(store, PLATFORM_STORE_LOSE_ANSWERS);
	ASSERT_TRUE(serve_requests_until(
		[&] { return stored_state_is("rolled_back"); }, 6000))
		<< stored_status() << " " << runs(new_upstreams) << " of "
		<< serial;
	guint new_version_runs = runs(new_upstreams);
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	run_for(2500);
	EXPECT_TRUE(stored_state_is("rolled_back"));
	for (int i = 0; i < 10; i++)
		serve_requests();
	EXPECT_EQ(runs(new_upstreams), new_version_runs);
}

TEST_F(NodeRolloutTest, StoresDecisionAfterStoreOutage)
{
	start_with_both_versions();
	order(20);
	ASSERT_TRUE(
		run_until([&] { return stored_state_is("running"); }, 2000));
	platform_store_set_fault(store, PLATFORM_STORE_UNAVAILABLE);
	set_new_version_answer(PLATFORM_ANSWER_FAILED);
	serve_requests_until([] { return false; }, 2500);
	guint new_version_runs = runs(new_upstreams);
	EXPECT_LT(new_version_runs, 50u);
	for (int i = 0; i < 10; i++)
		serve_requests();
	EXPECT_EQ(runs(new_upstreams), new_version_runs);
	EXPECT_FALSE(stored_state_is("rolled_back"));
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	EXPECT_TRUE(serve_requests_until(
		[&] { return stored_state_is("rolled_back"); }, 5000));
}

/* Guards against an earlier decision that overwrites an operator's change. */
TEST_F(NodeRolloutTest, ReplacedOrderIsJudgedAnew)
{
	start_with_both_versions();
	set_new_version_answer(PLATFORM_ANSWER_FAILED);
	order(3);
	ASSERT_TRUE(serve_requests_until(
		[&] { return stored_state_is("rolled_back"); }, 4000));
	set_new_version_answer(PLATFORM_ANSWER_COMPLETE);
	order(4);
	ASSERT_TRUE(run_until([&] { return stored_state_is("running"); }, 2000))
		<< stored_status();
	EXPECT_TRUE(serve_requests_until(
		[&] { return stored_state_is("completed"); }, 6000))
		<< stored_status();
}

TEST_F(NodeRolloutTest, DeletedOrderReturnsToOldVersion)
{
	start_with_both_versions();
	order(20);
	ASSERT_TRUE(
		serve_requests_until([&] { return runs(new_upstreams) > 0; },
				     3000));
	platform_store_remove(store, "rollouts", "svc");
	run_for(400);
	guint new_version_runs = runs(new_upstreams);
	for (int i = 0; i < 20; i++)
		serve_requests();
	EXPECT_EQ(runs(new_upstreams), new_version_runs);
}

/* Guards against an unreadable order that lets its version get requests. */
TEST_F(NodeRolloutTest, InvalidOrderMovesNoTraffic)
{
	std::string metrics;

	start_with_both_versions();
	platform_store_put(store, "rollouts", "svc",
			   "{\"service\":\"svc\",\"target_version\":7}");
	run_for(400);
	for (int i = 0; i < 10; i++)
		serve_requests();
	EXPECT_EQ(runs(new_upstreams), 0u);
	EXPECT_EQ(http_get(listen_addresses[4], "/metrics", &metrics), 200u);
	EXPECT_NE(metrics.find("auburnstile_records_refused_total 1\n"),
		  std::string::npos)
		<< metrics;
}

/*
 * Guards against a process that starts while an order is rolled back and sends
 * requests to its version.
 */
TEST_F(NodeRolloutTest, AppliesStoredStateAtStart)
{
	register_new_version();
	order(20);
	platform_store_put_status(store, "rollouts", "svc",
				  "{\"state\":\"rolled_back\","
				  "\"target_version\":\"v2\"}");
	start_and_wait_until_ready();
	for (int i = 0; i < 10; i++)
		serve_requests();
	EXPECT_EQ(runs(new_upstreams), 0u);
}

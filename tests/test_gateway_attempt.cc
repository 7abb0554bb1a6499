/* What the head of an upstream's answer says of the upstream. */
#include "gateway_fixture.h"

/* Guards against more requests than an upstream's answers allow. */
TEST_F(GatewayTest, KeepsLimitThatUpstreamNames)
{
	guint served = 0;

	configure();
	auto limited = add_upstream("u1");
	platform_upstream_set_limit(limited, "2", false);
	start_and_wait_until_ready();
	gint64 start_us = g_get_monotonic_time();
	while (g_get_monotonic_time() - start_us < 4 * AUB_SECOND) {
		auto caller = send_request("GET", "/safe/a", "r");

		ASSERT_TRUE(wait_for_answer(caller));
		served += caller->status == 200;
		if (caller->status != 200) {
			EXPECT_EQ(caller->status, 503u);
			EXPECT_GE(g_ascii_strtod(caller->retry_after.c_str(),
						 NULL),
				  0.1);
		}
		run_for(15);
	}
	EXPECT_EQ(served, platform_upstream_arrivals(limited));
	EXPECT_GE(served, 4u);
	/* 2 requests a second for 4 s, times 1.5, and 5 */
	EXPECT_LE(served, 17u);
}

/* Guards against requests and probes in the time that an upstream wants none.
 */
TEST_F(GatewayTest, SendsNothingToUpstreamThatAsksForRest)
{
	configure();
	auto tired = add_upstream("u1");
	auto other = add_upstream("u2");
	platform_upstream_set_answer(tired, PLATFORM_ANSWER_OVERLOADED);
	platform_upstream_set_retry_after(tired, "1.5");
	start_and_wait_until_ready();
	while (!platform_upstream_arrivals(tired)) {
		platform_upstream_set_next_answer(other,
						  PLATFORM_ANSWER_OVERLOADED);
		auto caller = send_request("GET", "/safe/a", "r");
		ASSERT_TRUE(wait_for_answer(caller));
	}
	run_for(20);
	guint arrivals = platform_upstream_arrivals(tired);
	guint probes = platform_upstream_probes(tired);
	platform_upstream_set_answer(tired, PLATFORM_ANSWER_COMPLETE);
	gint64 start_us = g_get_monotonic_time();
	while (g_get_monotonic_time() - start_us < 1300 * AUB_MS) {
		auto first = send_request("GET", "/safe/a", "r");
		auto second = send_request("GET", "/safe/b", "s");
		ASSERT_TRUE(wait_for_answer(first));
		ASSERT_TRUE(wait_for_answer(second));
		EXPECT_EQ(first->status, 200u);
	}
	EXPECT_EQ(platform_upstream_arrivals(tired), arrivals);
	EXPECT_EQ(platform_upstream_probes(tired), probes);
	run_for(700);
	EXPECT_GT(platform_upstream_probes(tired), probes);
}

/* Guards against callers who return while every upstream still wants rest. */
TEST_F(GatewayTest, TellsCallersWhenRestEnds)
{
	configure();
	auto tired = add_upstream("u1");
	platform_upstream_set_answer(tired, PLATFORM_ANSWER_OVERLOADED);
	platform_upstream_set_retry_after(tired, "3");
	start_and_wait_until_ready();
	auto caller = send_request("GET", "/safe/a", "r1");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 503u);
	gint64 start_us = g_get_monotonic_time();
	caller = send_request("GET", "/safe/a", "r2");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_LT(g_get_monotonic_time() - start_us, 200 * AUB_MS);
	EXPECT_EQ(caller->status, 503u);
	double seconds = g_ascii_strtod(caller->retry_after.c_str(), NULL);
	EXPECT_GT(seconds, 2.0);
	EXPECT_LE(seconds, 3.0);
	EXPECT_EQ(platform_upstream_arrivals(tired), 1u);
}

/* Guards against requests to an upstream whose answer said that it leaves. */
TEST_F(GatewayTest, SendsNothingNewToUpstreamThatSaysItLeaves)
{
	configure();
	auto leaving = add_upstream("u1");
	platform_upstream_set_leaving(leaving, "1");
	start_and_wait_until_ready();
	auto caller = send_request("GET", "/safe/a", "r1");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 200u);
	add_upstream("u2");
	run_for(300);
	for (int i = 0; i < 20; i++) {
		auto next = send_request("GET", "/safe/a", "r");
		ASSERT_TRUE(wait_for_answer(next));
		run_for(10);
	}
	EXPECT_EQ(platform_upstream_arrivals(leaving), 1u);
	/* The next incarnation under the same id is another upstream. */
	platform_upstream_set_leaving(leaving, NULL);
	register_upstream(leaving, "ready", "z1", 0, "v1", 8);
	EXPECT_TRUE(run_until(
		[&] {
			auto next = send_request("GET", "/safe/a", "r");
			auto other = send_request("GET", "/safe/b", "s");
			wait_for_answer(next);
			wait_for_answer(other);
			return platform_upstream_arrivals(leaving) > 1;
		},
		5000));
}

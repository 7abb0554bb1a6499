/* Attempts that are replaced because their upstream does not answer. */
#include "gateway_fixture.h"

class GatewayReplacementTest : public GatewayTest
{
      protected:
	struct platform_upstream *silent = NULL;
	struct platform_upstream *other = NULL;

	/* One upstream does not answer, of two. */
	void start_with_silent_upstream()
	{
		timeout_ms = 3000;
		configure();
		silent = add_upstream("u1");
		other = add_upstream("u2");
		start_and_wait_until_ready();
		platform_upstream_set_answer(silent, PLATFORM_ANSWER_NONE);
	}
	/* Sends requests until one has arrived at the silent upstream. */
	std::unique_ptr<Caller> send_until_silent(const std::string &method,
						  const std::string &path)
	{
		for (int i = 0; i < 50; i++) {
			guint before = platform_upstream_arrivals(silent);
			auto caller = send_request(method, path,
						   "r" + std::to_string(i));

			run_until(
				[&] {
					return caller->done() ||
					       platform_upstream_arrivals(
						       silent) > before;
				},
				1000);
			if (platform_upstream_arrivals(silent) > before)
				return caller;
		}
		return NULL;
	}
};

/* Guards against callers that wait for a stuck upstream until their deadline.
 */
TEST_F(GatewayReplacementTest, SendsIdempotentRequestToAnotherUpstream)
{
	start_with_silent_upstream();
	gint64 start_us = g_get_monotonic_time();
	auto caller = send_until_silent("GET", "/safe/a");

	ASSERT_NE(caller, nullptr);
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 200u);
	EXPECT_LT(g_get_monotonic_time() - start_us, 2500 * AUB_MS);
	EXPECT_EQ(platform_upstream_arrivals(silent), 1u);
}

/* Guards against a request that runs twice although it must not. */
TEST_F(GatewayReplacementTest, NeverReplacesOtherRequests)
{
	start_with_silent_upstream();
	auto caller = send_until_silent("POST", "/once/a");

	ASSERT_NE(caller, nullptr);
	guint others = platform_upstream_arrivals(other);

	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 504u);
	EXPECT_EQ(platform_upstream_arrivals(other), others);
	EXPECT_EQ(platform_upstream_arrivals(silent), 1u);
}

/* Guards against a replacement of an attempt that is being answered. */
TEST_F(GatewayReplacementTest, LetsSlowAnswerFinishWhereNoUpstreamIsLeft)
{
	timeout_ms = 3000;
	configure();
	silent = add_upstream("u1");
	start_and_wait_until_ready();
	platform_upstream_set_service_time(silent, 1500);
	auto caller = send_request("GET", "/safe/a", "r1");

	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 200u);
	EXPECT_EQ(platform_upstream_arrivals(silent), 1u);
}

/* Guards against work for a caller that has left during a replacement. */
TEST_F(GatewayReplacementTest, EndsWithItsCaller)
{
	start_with_silent_upstream();
	auto caller = send_until_silent("GET", "/safe/a");

	ASSERT_NE(caller, nullptr);
	guint others = platform_upstream_arrivals(other);

	run_for(100);
	caller->disconnect();
	run_for(1500);
	EXPECT_EQ(platform_upstream_arrivals(other), others);
}

/*
 * Two upstreams, of which one answers requests, or probes, with bytes that the
 * test names.
 */
#ifndef TESTS_FAULTY_UPSTREAM_FIXTURE_H
#define TESTS_FAULTY_UPSTREAM_FIXTURE_H

#include "gateway_fixture.h"

/* The begin of the answer to a request; see platform_upstream_set_endless(). */
#define STAMPED                                  \
	"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\n" \
	"Response-Stamp: stamp\r\n"

/* Bytes that are sent once, and bytes that are then sent without end. */
struct FaultyAnswer {
	const char *name;
	const char *start;
	const char *unit;
};

class FaultyUpstreamTest : public GatewayTest
{
      protected:
	struct platform_upstream *faulty;
	struct platform_upstream *sound;

	void start()
	{
		max_attempts = 3;
		timeout_ms = 2000;
		faulty = add_upstream("faulty");
		sound = add_upstream("sound");
		configure();
		start_and_wait_until_ready();
	}
	void set_endless(const struct FaultyAnswer &bytes,
			 bool in_probes = false)
	{
		platform_upstream_set_endless(faulty, bytes.start, bytes.unit,
					      in_probes);
	}
	/* Sends requests until one has reached the faulty upstream. */
	std::unique_ptr<Caller> send_to_faulty(const std::string &method,
					       const std::string &target)
	{
		guint arrivals = platform_upstream_arrivals(faulty);
		std::unique_ptr<Caller> caller;

		for (int i = 0; i < 50; i++) {
			caller = send_request(method, target, "r");
			run_until(
				[&] {
					return caller->done() ||
					       platform_upstream_arrivals(
						       faulty) > arrivals;
				},
				2000);
			if (platform_upstream_arrivals(faulty) > arrivals)
				break;
			run_for(10);
		}
		EXPECT_GT(platform_upstream_arrivals(faulty), arrivals);
		return caller;
	}
	/* Expects that the sound upstream answers, long before the request's
	 * end. */
	void expect_answer_of_other(const struct FaultyAnswer &bytes)
	{
		SCOPED_TRACE(bytes.name);
		set_endless(bytes);
		auto caller = send_to_faulty("GET", "/safe/a");
		gint64 start_us = g_get_monotonic_time();
		ASSERT_TRUE(wait_for_answer(caller));
		EXPECT_EQ(caller->status, 200u);
		EXPECT_EQ(caller->body, std::string(20, 'x'));
		EXPECT_LT(g_get_monotonic_time() - start_us, 1000 * AUB_MS);
		wait_until_up();
	}
	/* Expects that a request that runs at most once fails long before its
	 * end. */
	void expect_early_failure(const struct FaultyAnswer &bytes,
				  const std::string &target = "/once/a")
	{
		SCOPED_TRACE(bytes.name);
		set_endless(bytes);
		auto caller = send_to_faulty("POST", target);
		gint64 start_us = g_get_monotonic_time();
		ASSERT_TRUE(wait_for_answer(caller));
		EXPECT_EQ(caller->status, 502u);
		EXPECT_EQ(caller->answers, 1u);
		EXPECT_LT(g_get_monotonic_time() - start_us, 1000 * AUB_MS);
		wait_until_up();
	}
	/* Waits until the faulty upstream is sound and gets requests again. */
	void wait_until_up()
	{
		guint arrivals = platform_upstream_arrivals(faulty);
		gint64 end_us = g_get_monotonic_time() + 8 * AUB_SECOND;

		platform_upstream_set_endless(faulty, NULL, NULL, false);
		while (platform_upstream_arrivals(faulty) == arrivals &&
		       g_get_monotonic_time() < end_us) {
			auto first = send_request("GET", "/safe/", "a");
			auto second = send_request("GET", "/safe/", "b");

			wait_for_answer(first);
			wait_for_answer(second);
		}
		EXPECT_GT(platform_upstream_arrivals(faulty), arrivals);
	}
};

#endif

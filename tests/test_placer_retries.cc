/*
 * The retry budget over all placers: what a takeover and slow placers add to
 * it, and what gateways spend that reach no placer.
 */
#include "placer_fixture.h"

#include <auburnstile/internal/placement_internal.h>

class PlacerRetriesTest : public PlacerTest
{
      protected:
	void start_connected(std::initializer_list<const char *> names)
	{
		start_with_upstreams(names);
		connect_all();
	}
	bool ask(TestGateway &gateway, bool retry, guint64 fingerprint = 0)
	{
		struct aub_placement_request request = {};
		PlacementResult result;

		request.target_ms = 600;
		request.on_time_wait_ms = 500;
		request.max_wait_ms = 500;
		request.first = !retry;
		request.retry = retry;
		request.fingerprint = fingerprint;
		result.ticket = aub_placer_new_ticket(gateway.placer);
		aub_placer_request(gateway.placer, "svc", &request,
				   result.ticket, on_placed, &result);
		EXPECT_TRUE(run_until([&] { return result.done; }, 2000));
		if (result.verdict != AUB_VERDICT_GRANTED)
			return false;
		aub_placer_report(gateway.placer, result.ticket, AUB_GRANT_OK,
				  1000, NULL);
		return true;
	}
	/* Returns how many of `count` retries are granted. */
	guint retries_granted(TestGateway &gateway, guint count)
	{
		guint granted = 0;

		for (guint i = 0; i < count; i++)
			granted += ask(gateway, true);
		return granted;
	}
};

/* Guards against a takeover that spends the whole slack once more. */
TEST_F(PlacerRetriesTest, TakeoverSpendsNoSlackTwice)
{
	gint64 start_us = aub_timer_now(timers);
	guint granted = 0;
	guint requests = 0;

	start_connected({ "a", "b", "c" });
	for (auto &gateway : gateways) {
		struct aub_placement_limits limits = { 0.2, 400,
						       10 * AUB_SECOND };

		aub_placer_set_limits(gateway->placer, &limits);
	}
	TestGateway *placer = find_placer();
	TestGateway *other = other_gateway(placer);

	/* Upstreams are probed with the first request. */
	ASSERT_TRUE(run_until([&] { return requests++, ask(*placer, false); },
			      2000));
	(void)run_until([] { return false; }, 1000);
	granted += retries_granted(*placer, 100);
	EXPECT_GE(granted, 5u);
	stop_gateway(*placer);
	ASSERT_TRUE(run_until([&] { return requests++, ask(*other, false); },
			      4000));
	granted += retries_granted(*other, 100);
	/* What a window allows, for the time that has passed. */
	double windows =
		(double)(aub_timer_now(timers) - start_us) / (10 * AUB_SECOND);
	EXPECT_LE(granted, 0.2 * requests + 400 * windows);
}

/* Guards against a request that each slow placer counts when it reads it. */
TEST_F(PlacerRetriesTest, RequestAskedOfSeveralPlacersEarnsOnce)
{
	const guint asked = 100;
	guint64 issued = 0;
	guint64 received = 0;
	std::vector<PlacementResult> results(asked);
	struct aub_placement_request request = {};

	start_connected({ "a", "b", "c", "d" });
	TestGateway *placer = find_placer();
	TestGateway *requester = other_gateway(placer);

	for (auto &gateway : gateways) {
		struct aub_placement_limits limits = { 0.2, 0,
						       10 * AUB_SECOND };

		aub_placer_set_limits(gateway->placer, &limits);
		gateway->holds_messages = gateway.get() != requester;
	}
	request.target_ms = 600;
	request.on_time_wait_ms = 500;
	request.max_wait_ms = 500;
	request.first = true;
	for (auto &result : results) {
		result.ticket = aub_placer_new_ticket(requester->placer);
		aub_placer_request(requester->placer, "svc", &request,
				   result.ticket, on_placed, &result);
	}
	/* Two placers are asked in vain, then it places itself. */
	(void)run_until([] { return false; }, 300);
	for (auto &gateway : gateways)
		deliver_held(*gateway);
	(void)run_until([] { return false; }, 300);
	for (auto &gateway : gateways) {
		struct aub_placement_stats stats;

		aub_placement_get_stats(aub_placer_placement(gateway->placer,
							     "svc"),
					aub_timer_now(timers), &stats);
		issued += stats.retry_counts.issued;
		received += stats.retry_counts.received;
	}
	EXPECT_EQ(issued, asked * 200);
	EXPECT_LE(received, issued);
	EXPECT_GT(received, issued / 2);
}

/* Guards against gateways in local fallback that each spend the whole slack. */
TEST_F(PlacerRetriesTest, LocalFallbackSpendsOneGatewaysPart)
{
	start_connected({ "a", "b", "c", "d", "e" });
	TestGateway *placer = find_placer();

	for (auto &gateway : gateways)
		if (gateway.get() != placer)
			gateway->drops_messages = true;
	guint granted = 0;

	for (auto &gateway : gateways) {
		if (gateway.get() == placer)
			continue;
		/* The placers don't answer it, until it places locally. */
		(void)ask(*gateway, false);
		granted += retries_granted(*gateway, 10);
	}
	/* A fifth of the slack, and a fifth of its requests, for each. */
	EXPECT_LE(granted, 4u * 3);
}

/* The placer's view of a caller must not depend on the gateway it uses. */
TEST_F(PlacerRetriesTest, RecognizesCallerThatReturnsThroughAnotherGateway)
{
	start_connected({ "a", "b" });
	TestGateway *placer = find_placer();
	TestGateway *other = other_gateway(placer);
	struct aub_placement *placement =
		aub_placer_placement(placer->placer, "svc");

	aub_caller_returns_refused(placement->returns, 77, 20,
				   aub_timer_now(timers));
	EXPECT_EQ(aub_caller_returns_count(placement->returns), 1u);
	EXPECT_TRUE(ask(*other, false, 77));
	EXPECT_TRUE(run_until(
		[&] { return !aub_caller_returns_count(placement->returns); },
		1000));
}

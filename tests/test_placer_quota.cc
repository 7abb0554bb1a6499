/*
 * Quotas over all placers: what they tell each other, and what happens when one
 * fails or can't reach the others.
 */
#include "placer_fixture.h"

class PlacerQuotaTest : public PlacerTest
{
      protected:
	struct aub_routing *routing = NULL;

	void TearDown() override
	{
		PlacerTest::TearDown();
		aub_routing_unref(routing);
	}
	/* Gives workspace "w" a quota at all gateways. */
	void configure_quota(double rate, double burst)
	{
		const struct aub_workspace workspace = {
			.name = (char *)"w",
			.priority = 0,
			.rate_per_s = rate,
			.burst = burst,
		};

		aub_routing_unref(routing);
		routing = aub_routing_new();
		routing->workspaces = aub_workspaces_new(NULL);
		aub_workspaces_add(routing->workspaces, &workspace, NULL);
		for (auto &gateway : gateways)
			if (gateway->placer)
				aub_placer_configure(gateway->placer, routing);
	}
	/* Gateways with four warm upstreams of "svc" and a quota for "w". */
	void start_with_quota(std::initializer_list<const char *> names,
			      double rate, double burst)
	{
		start_with_upstreams(names);
		configure_quota(rate, burst);
		connect_all();
	}
	/* The same, with credit for the whole burst at the placer. */
	void start_with_full_quota(std::initializer_list<const char *> names,
				   double rate, double burst)
	{
		start_with_quota(names, 10 * burst, burst);
		ASSERT_TRUE(wait_for_credit(*find_placer(), burst));
		configure_quota(rate, burst);
	}
	void ask(TestGateway &gateway, PlacementResult *result,
		 const char *workspace = "w")
	{
		struct aub_placement_request request = {};

		request.target_ms = 600;
		request.on_time_wait_ms = 500;
		request.max_wait_ms = 500;
		request.workspace = workspace;
		*result = PlacementResult();
		result->ticket = aub_placer_new_ticket(gateway.placer);
		aub_placer_request(gateway.placer, "svc", &request,
				   result->ticket, on_placed, result);
	}
	/* Asks `count` times, one after the other; returns the grants. */
	guint granted_of(TestGateway &gateway, guint count,
			 const char *workspace = "w")
	{
		guint granted = 0;
		PlacementResult result;

		for (guint i = 0; i < count; i++) {
			ask(gateway, &result, workspace);
			EXPECT_TRUE(
				run_until([&] { return result.done; }, 2000));
			if (result.verdict != AUB_VERDICT_GRANTED)
				continue;
			granted++;
			aub_placer_report(gateway.placer, result.ticket,
					  AUB_GRANT_OK, 1000, NULL);
		}
		return granted;
	}
	/* Waits until `gateway` has a credit of `credit` for "w", or more. */
	bool wait_for_credit(TestGateway &gateway, double credit)
	{
		return run_until([&] { return credit_of(gateway) >= credit; },
				 5000);
	}
	double credit_of(TestGateway &gateway)
	{
		struct aub_quotas *quotas = gateway.placer->quotas;
		struct aub_quota_stats stats;

		if (!aub_quota_get_stats(quotas, aub_quotas_find(quotas, "w"),
					 aub_timer_now(timers), &stats))
			return 0;
		return stats.credit;
	}
};

TEST_F(PlacerQuotaTest, RefusesBeyondQuotaWhicheverGatewayAsks)
{
	start_with_quota({ "a", "b" }, 2, 6);
	ASSERT_TRUE(wait_for_credit(*find_placer(), 6));
	guint granted =
		granted_of(*gateways[0], 8) + granted_of(*gateways[1], 8);

	EXPECT_GE(granted, 6u);
	EXPECT_LE(granted, 8u);
	EXPECT_EQ(granted_of(*gateways[0], 5, "other"), 5u);
	EXPECT_EQ(granted_of(*gateways[0], 5, ""), 5u);
}

/* Failure: the gateway that takes over grants the burst once more. */
TEST_F(PlacerQuotaTest, GatewayThatTakesOverKnowsWhatWasGranted)
{
	start_with_full_quota({ "a", "b", "c" }, 0.5, 4);
	TestGateway *placer = find_placer();
	TestGateway *asker = other_gateway(placer);

	EXPECT_EQ(granted_of(*asker, 4), 4u);
	run_for(250);
	placer->drops_messages = true;
	EXPECT_LE(granted_of(*asker, 6), 2u);
}

/* Failure: a gateway that was told of no grants takes over with the burst. */
TEST_F(PlacerQuotaTest, GatewayThatWasToldNothingStartsWithoutCredit)
{
	start_with_full_quota({ "a", "b", "c", "d" }, 0.5, 4);
	/* the third and the fourth are told nothing */
	const GPtrArray *ranked = aub_peers_ranked(gateways[0]->peers, "svc");
	std::string third =
		((const struct aub_peer *)g_ptr_array_index(ranked, 2))->name;
	for (auto &gateway : gateways)
		if (gateway->name != third)
			gateway->drops_messages = true;
	for (auto &gateway : gateways) {
		if (gateway->name != third)
			continue;
		struct aub_placement_request request = {};

		request.workspace = "w";
		aub_placer_set_quota(gateway->placer, &request, false);
		EXPECT_LE(credit_of(*gateway), 0.5);
	}
}

/* Failure: gateways that reach no placer grant more than their part. */
TEST_F(PlacerQuotaTest, LocalFallbackGrantsItsPartOnly)
{
	start_with_quota({ "a", "b", "c", "d" }, 4, 8);
	TestGateway *placer = find_placer();
	TestGateway *asker = other_gateway(placer);

	ASSERT_TRUE(wait_for_credit(*placer, 8));
	run_for(1100); /* the shares are set every second */
	for (auto &gateway : gateways)
		if (gateway.get() != asker)
			gateway->drops_messages = true;
	guint granted = granted_of(*asker, 20);

	EXPECT_LE(granted, 2u + 4u); /* a quarter of 8, and of 4 a second */
}

/*
 * Failure: a gateway that is cut off from the store and the others grants the
 * whole quota beside them.
 */
TEST_F(PlacerQuotaTest, IsolatedGatewayGrantsItsShareOnly)
{
	start_with_quota({ "a", "b", "c", "d" }, 4, 8);
	TestGateway *placer = find_placer();

	ASSERT_TRUE(wait_for_credit(*placer, 8));
	for (auto &gateway : gateways)
		if (gateway.get() != placer)
			stop_gateway(*gateway);
	publish_state(*placer, false);
	ASSERT_TRUE(run_until([&] { return credit_of(*placer) <= 2.0; }, 5000));
}

/* Failure: a request that no upstream ran uses up credit. */
TEST_F(PlacerQuotaTest, UnusedGrantGivesCreditBack)
{
	start_with_quota({ "a", "b" }, 0.5, 2);
	TestGateway *placer = find_placer();
	TestGateway *asker = other_gateway(placer);
	PlacementResult result;

	ASSERT_TRUE(wait_for_credit(*placer, 2));
	for (int i = 0; i < 6; i++) {
		ask(*asker, &result);
		ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
		ASSERT_EQ(result.verdict, AUB_VERDICT_GRANTED) << i;
		aub_placer_report(asker->placer, result.ticket,
				  AUB_GRANT_UNUSED, 0, NULL);
		run_for(20);
	}
}

TEST_F(PlacerQuotaTest, RefusedCallerIsToldWhenToReturn)
{
	start_with_quota({ "a", "b" }, 2, 1);
	TestGateway *placer = find_placer();
	PlacementResult result;

	ASSERT_TRUE(wait_for_credit(*placer, 1));
	granted_of(*gateways[0], 2);
	ask(*gateways[0], &result);
	ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
	EXPECT_EQ(result.verdict, AUB_VERDICT_OVER_QUOTA);
	EXPECT_GE(result.retry_after_ms, 50u);
	EXPECT_LE(result.retry_after_ms, 5000u);
}

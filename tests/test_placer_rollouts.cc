/* Rollout orders across gateways that know different parts of the state. */
#include "placer_fixture.h"

#include <auburnstile/internal/placement_internal.h>

class PlacerRolloutTest : public PlacerTest
{
      protected:
	struct platform_upstream *old_upstream = NULL;
	struct platform_upstream *new_upstream = NULL;

	void start_with_both_versions(std::initializer_list<const char *> names)
	{
		rollout_share = 0.1;
		old_upstream = add_upstream("u1");
		new_upstream = add_upstream("u2");
		for (auto name : names)
			start_gateway(name);
		for (auto &gateway : gateways) {
			register_upstream(*gateway, old_upstream, false, "v1",
					  1);
			register_upstream(*gateway, new_upstream, false, "v2",
					  900);
			aub_placer_set_orders_known(gateway->placer);
		}
		connect_all();
		ASSERT_TRUE(
			run_until([&] { return is_up("u1") && is_up("u2"); },
				  3000));
	}
	bool is_up(const char *id)
	{
		return !strcmp(aub_placement_health_name(
				       placement(*find_placer()), id),
			       "up");
	}
	struct aub_rollout_record record(
		enum aub_rollout_state state = AUB_ROLLOUT_NONE)
	{
		struct aub_rollout_record record = {};

		record.order.version = (char *)"v2";
		record.order.duration_ms = 30000;
		record.order.created = 7;
		record.state = state;
		return record;
	}
	void order(TestGateway &gateway,
		   enum aub_rollout_state state = AUB_ROLLOUT_NONE)
	{
		const struct aub_rollout_record given = record(state);

		aub_placer_update_order(gateway.placer, "svc", &given, false);
	}
	struct aub_placement *placement(TestGateway &gateway)
	{
		return aub_placer_placement(gateway.placer, "svc");
	}
	bool may_send(TestGateway &gateway, const char *id)
	{
		return aub_placement_may_send(placement(gateway), id,
					      aub_timer_now(timers));
	}
};

/* Guards against a gateway that keeps using a version another found bad. */
TEST_F(PlacerRolloutTest, RollbackReachesAllGateways)
{
	start_with_both_versions({ "g1", "g2", "g3" });
	for (auto &gateway : gateways)
		order(*gateway);
	TestGateway *placer = find_placer();
	for (auto &gateway : gateways)
		EXPECT_TRUE(may_send(*gateway, "u2"));
	placement(*placer)->rollout.judge.alarmed = true;
	EXPECT_TRUE(run_until(
		[&] {
			for (auto &gateway : gateways)
				if (may_send(*gateway, "u2"))
					return false;
			return true;
		},
		500));
	EXPECT_EQ(placer->requested_states["svc"], AUB_ROLLOUT_ROLLED_BACK);
}

/*
 * Guards against a placer that doesn't know the state known to the asking
 * gateway.
 */
TEST_F(PlacerRolloutTest, ReturnsGrantOfLocallyWithheldVersion)
{
	start_with_both_versions({ "g1", "g2" });
	TestGateway *placer = find_placer();
	TestGateway *requester = other_gateway(placer);
	order(*placer, AUB_ROLLOUT_COMPLETED);
	EXPECT_FALSE(may_send(*requester, "u2"));
	PlacementResult result;
	request_placement(*requester, &result, 400);
	ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
	EXPECT_NE(result.upstream, "u2");
}

/* Guards against a second placer that starts without any evidence. */
TEST_F(PlacerRolloutTest, PublishesRolloutEvidence)
{
	start_with_both_versions({ "g1", "g2" });
	for (auto &gateway : gateways)
		order(*gateway);
	TestGateway *placer = find_placer();
	TestGateway *other = other_gateway(placer);
	struct aub_rollout *rollout = &placement(*placer)->rollout;
	rollout->reached = 500;
	rollout->exposed = 30;
	aub_placement_grant_slack(placement(*placer));
	struct aub_judge_evidence evidence = {};
	const struct aub_judge_answer answer = {
		.route = 5,
		.failed = true,
		.ms = 0,
		.full = false,
	};
	aub_judge_add_canary(&rollout->judge, &answer, &evidence, 3.0);
	const struct aub_rollout *other_rollout = &placement(*other)->rollout;
	EXPECT_TRUE(run_until(
		[&] {
			return aub_rollout_total_reached(other_rollout) ==
				       500 &&
			       aub_rollout_total_exposed(other_rollout) == 30 &&
			       other_rollout->judge.answers == 1;
		},
		1500));
	EXPECT_GT(other_rollout->judge.pooled[AUB_JUDGE_FAILURES].sums[3], 1.0);
	EXPECT_GT(other_rollout->allowance, 0);
	EXPECT_LE(other_rollout->allowance, rollout->allowance / 2);
}

/*
 * Guards against a placer that starts in the middle of an order and treats it
 * as new.
 */
TEST_F(PlacerRolloutTest, NewPlacerInheritsRolloutProgress)
{
	start_with_both_versions({ "g1", "g2" });
	TestGateway *placer = find_placer();
	TestGateway *other = other_gateway(placer);
	order(*other);
	run_for(1200);
	placement(*other)->rollout.reached = 400;
	placement(*other)->rollout.exposed = 25;
	order(*placer);
	const struct aub_rollout *placer_rollout = &placement(*placer)->rollout;
	gint64 began_us = placer_rollout->started_us;
	EXPECT_TRUE(run_until(
		[&] {
			return placer_rollout->started_us <=
				       began_us - 1000 * 1000 &&
			       aub_rollout_total_reached(placer_rollout) ==
				       400 &&
			       aub_rollout_total_exposed(placer_rollout) == 25;
		},
		1000));
}

/* Guards against an order that seems to start again with each new placer. */
TEST_F(PlacerRolloutTest, AdoptsOrderAgeFromPlacer)
{
	start_with_both_versions({ "g1", "g2" });
	TestGateway *placer = find_placer();
	TestGateway *other = other_gateway(placer);
	order(*placer);
	run_for(700);
	order(*other);
	gint64 start_before_us = placement(*other)->rollout.started_us;
	EXPECT_TRUE(run_until(
		[&] {
			return placement(*other)->rollout.started_us <=
			       start_before_us - 600 * 1000;
		},
		1500));
}

TEST_F(PlacerRolloutTest, IgnoresProgressOfUnknownOrder)
{
	start_with_both_versions({ "g1", "g2" });
	TestGateway *placer = find_placer();
	TestGateway *other = other_gateway(placer);
	order(*placer);
	run_for(600);
	EXPECT_EQ(aub_placement_rollout(placement(*other)), nullptr);
	EXPECT_FALSE(may_send(*other, "u2"));
}

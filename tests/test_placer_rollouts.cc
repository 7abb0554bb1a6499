/*
 * Orders to change versions between gateways: what one knows that another
 * does not.
 */
#include "placer_rig.h"

#include <auburnstile/internal/placement_internal.h>

class PlacerRolloutTest : public PlacerTest
{
      protected:
	struct platform_upstream *before = NULL;
	struct platform_upstream *after = NULL;

	void start_both(std::initializer_list<const char *> names)
	{
		rollout_share = 0.1;
		before = add_upstream("u1");
		after = add_upstream("u2");
		for (auto name : names)
			start(name);
		for (auto &gate : gates) {
			enter(*gate, before, false, "v1", 1);
			enter(*gate, after, false, "v2", 900);
			aub_placer_orders_known(gate->placer);
		}
		join();
		ASSERT_TRUE(
			run_until([&] { return is_up("u1") && is_up("u2"); },
				  3000));
	}
	bool is_up(const char *id)
	{
		return !strcmp(aub_placement_health_name(
				       placement(*placer_of_all()), id),
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
	void order(Gate &gate, enum aub_rollout_state state = AUB_ROLLOUT_NONE)
	{
		const struct aub_rollout_record given = record(state);

		aub_placer_order(gate.placer, "svc", &given, false);
	}
	struct aub_placement *placement(Gate &gate)
	{
		return aub_placer_placement(gate.placer, "svc");
	}
	bool may_send(Gate &gate, const char *id)
	{
		return aub_placement_may_send(placement(gate), id);
	}
};

/* Guards against a gateway that goes on with a version another found bad. */
TEST_F(PlacerRolloutTest, AVerdictReachesAllGateways)
{
	start_both({ "g1", "g2", "g3" });
	for (auto &gate : gates)
		order(*gate);
	Gate *placer = placer_of_all();
	for (auto &gate : gates)
		EXPECT_TRUE(may_send(*gate, "u2"));
	placement(*placer)->rollout.judge.alarmed = true;
	EXPECT_TRUE(run_until(
		[&] {
			for (auto &gate : gates)
				if (may_send(*gate, "u2"))
					return false;
			return true;
		},
		500));
	EXPECT_EQ(placer->wanted["svc"], AUB_ROLLOUT_ROLLED_BACK);
}

/* Guards against a placer that has not heard of what this one knows. */
TEST_F(PlacerRolloutTest, SendsBackAGrantOfAVersionThatIsHeldHere)
{
	start_both({ "g1", "g2" });
	Gate *placer = placer_of_all();
	Gate *asking = other_than(placer);
	order(*placer, AUB_ROLLOUT_COMPLETED);
	EXPECT_FALSE(may_send(*asking, "u2"));
	Placed result;
	ask(*asking, &result, 400);
	ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
	EXPECT_NE(result.upstream, "u2");
}

/* Guards against a second placer that begins with no evidence at all. */
TEST_F(PlacerRolloutTest, TheOthersGoOnFromThePlacersEvidence)
{
	start_both({ "g1", "g2" });
	for (auto &gate : gates)
		order(*gate);
	Gate *placer = placer_of_all();
	Gate *other = other_than(placer);
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
	const struct aub_rollout *heard = &placement(*other)->rollout;
	EXPECT_TRUE(run_until(
		[&] {
			return aub_rollout_total_reached(heard) == 500 &&
			       aub_rollout_total_exposed(heard) == 30 &&
			       heard->judge.answers == 1;
		},
		1500));
	EXPECT_GT(heard->judge.pooled[AUB_JUDGE_FAILURES].sums[3], 1.0);
	EXPECT_GT(heard->allowance, 0);
	EXPECT_LE(heard->allowance, rollout->allowance / 2);
}

/* Guards against a placer that starts in the middle and takes it for new. */
TEST_F(PlacerRolloutTest, APlacerThatStartsInTheMiddleIsToldByTheOthers)
{
	start_both({ "g1", "g2" });
	Gate *placer = placer_of_all();
	Gate *other = other_than(placer);
	order(*other);
	run_for(1200);
	placement(*other)->rollout.reached = 400;
	placement(*other)->rollout.exposed = 25;
	order(*placer);
	const struct aub_rollout *its = &placement(*placer)->rollout;
	gint64 began_us = its->started_us;
	EXPECT_TRUE(run_until(
		[&] {
			return its->started_us <= began_us - 1000 * 1000 &&
			       aub_rollout_total_reached(its) == 400 &&
			       aub_rollout_total_exposed(its) == 25;
		},
		1000));
}

/* Guards against an order that seems to begin anew at each new placer. */
TEST_F(PlacerRolloutTest, LearnsHowOldAnOrderIs)
{
	start_both({ "g1", "g2" });
	Gate *placer = placer_of_all();
	Gate *other = other_than(placer);
	order(*placer);
	run_for(700);
	order(*other);
	gint64 heard_us = placement(*other)->rollout.started_us;
	EXPECT_TRUE(run_until(
		[&] {
			return placement(*other)->rollout.started_us <=
			       heard_us - 600 * 1000;
		},
		1500));
}

TEST_F(PlacerRolloutTest, IgnoresWhatIsToldOfAnOrderItDoesNotKnow)
{
	start_both({ "g1", "g2" });
	Gate *placer = placer_of_all();
	Gate *other = other_than(placer);
	order(*placer);
	run_for(600);
	EXPECT_EQ(aub_placement_rollout(placement(*other)), nullptr);
	EXPECT_FALSE(may_send(*other, "u2"));
}

/*
 * Rollout orders as a placement executes them: the requests that each version
 * gets before, during and after.
 */
#include "placement_fixture.h"

#include <map>

#define SECOND (1000 * US_PER_MS)

/* A service with warm, probed upstreams of two versions. */
class RolloutFixture
{
      public:
	PlacementFixture fixture{ 0.2, 10 };
	std::map<std::string, int> sent; /* by version */
	gint64 created = 7;

	explicit RolloutFixture(int upstreams = 4)
	{
		const struct aub_rollout_limits limits = { 0.1, 50 };

		aub_placement_enable_rollouts(fixture.placement, &limits);
		aub_placement_set_rollouts_loaded(fixture.placement,
						  fixture.now_us);
		for (int i = 0; i < upstreams; i++)
			add_upstream("a" + std::to_string(i), "v1", 1);
	}
	void add_upstream(const std::string &id, const std::string &version,
			  gint64 started_ms)
	{
		fixture.register_upstream(id, 4, "z1", false, started_ms, 0,
					  version);
		fixture.finish_probe(id);
	}
	void add_new_version(int upstreams = 4)
	{
		for (int i = 0; i < upstreams; i++)
			add_upstream("b" + std::to_string(i), "v2", 100 + i);
	}
	struct aub_rollout_record record(
		enum aub_rollout_state state = AUB_ROLLOUT_NONE,
		guint duration_ms = 12000, const char *version = "v2")
	{
		struct aub_rollout_record record = {};

		record.order.version = (char *)version;
		record.order.duration_ms = duration_ms;
		record.order.created = created;
		record.state = state;
		return record;
	}
	void order(enum aub_rollout_state state = AUB_ROLLOUT_NONE,
		   guint duration_ms = 12000, const char *version = "v2")
	{
		const struct aub_rollout_record order_record =
			record(state, duration_ms, version);

		aub_placement_set_rollout(fixture.placement, &order_record,
					  false, fixture.now_us);
	}
	/*
	 * Sends requests one after the other. Those at the new version end with
	 * `new_version_result`.
	 */
	void serve(int count, gint64 gap_us = 10 * US_PER_MS,
		   enum aub_grant_result new_version_result = AUB_GRANT_OK)
	{
		for (int i = 0; i < count; i++) {
			struct aub_placement_request request =
				fixture.new_request();
			request.route = 1;
			struct aub_placement_decision decision =
				fixture.submit(request);

			fixture.now_us += gap_us;
			(void)aub_placement_rollout_step(fixture.placement,
							 fixture.now_us);
			if (decision.verdict != AUB_VERDICT_GRANTED)
				continue;
			bool is_new = decision.upstream[0] == 'b';
			sent[is_new ? "v2" : "v1"]++;
			fixture.report(decision.ticket,
				       is_new ? new_version_result :
						AUB_GRANT_OK,
				       200 * US_PER_MS);
		}
	}
	/*
	 * Sends requests modified by `change` and expects them at the old
	 * version.
	 */
	void expect_old_version(
		int count,
		void (*change)(struct aub_placement_request *request))
	{
		for (int i = 0; i < count; i++) {
			struct aub_placement_request request =
				fixture.new_request();

			change(&request);
			struct aub_placement_decision decision =
				fixture.submit(request);
			ASSERT_EQ(decision.verdict, AUB_VERDICT_GRANTED);
			EXPECT_EQ(decision.upstream[0], 'a');
			fixture.report(decision.ticket);
		}
	}
	enum aub_rollout_state state()
	{
		return fixture.placement->rollout.state;
	}
};

/* Guards against a new version that gets requests before any are allowed. */
TEST(Rollout, SendsNothingToVersionWithoutOrder)
{
	RolloutFixture rollout;

	rollout.add_new_version();
	rollout.serve(200);
	EXPECT_EQ(rollout.sent["v2"], 0);
	EXPECT_EQ(rollout.sent["v1"], 200);
}

/* Guards against a bad version that gets more requests than operators allow. */
TEST(Rollout, StaysWithinTheExposureLimit)
{
	RolloutFixture rollout;

	rollout.add_new_version();
	rollout.order();
	rollout.serve(900);
	EXPECT_GT(rollout.sent["v2"], 10);
	EXPECT_LE(rollout.sent["v2"], 0.1 * 900);
}

TEST(Rollout, SendsNothingBeforeOrdersAreLoaded)
{
	PlacementFixture fixture;
	const struct aub_rollout_limits limits = { 0.1, 50 };

	aub_placement_enable_rollouts(fixture.placement, &limits);
	fixture.add_healthy("u1");
	EXPECT_EQ(fixture.submit().verdict, AUB_VERDICT_NO_UPSTREAM);
	EXPECT_FALSE(aub_placement_may_send(fixture.placement, "u1",
					    fixture.now_us));
	aub_placement_set_rollouts_loaded(fixture.placement, fixture.now_us);
	EXPECT_EQ(fixture.submit().verdict, AUB_VERDICT_GRANTED);
}

/* Guards against an upstream count that drifts as upstreams come and go. */
TEST(Rollout, CountsUpstreamsAsTheyComeAndGo)
{
	RolloutFixture rollout(0);
	auto upstreams = [&](const char *version) {
		gint i = aub_service_versions_index(
			&rollout.fixture.placement->versions, version);

		return rollout.fixture.placement->versions.list[i].upstreams;
	};

	for (int i = 0; i < 50; i++)
		rollout.add_upstream("a" + std::to_string(i), "v1", 1);
	EXPECT_EQ(upstreams("v1"), 50u);
	rollout.add_upstream("a0", "v1", 7);
	rollout.fixture.unregister_upstream("a1");
	rollout.fixture.unregister_upstream("a1");
	EXPECT_EQ(upstreams("v1"), 49u);
	rollout.add_new_version(3);
	rollout.add_upstream("a2", "v2", 9);
	EXPECT_EQ(upstreams("v1"), 48u);
	EXPECT_EQ(upstreams("v2"), 4u);
	rollout.fixture.unregister_upstream("b0");
	EXPECT_EQ(upstreams("v2"), 3u);
	EXPECT_TRUE(aub_placement_may_send(rollout.fixture.placement, "a0",
					   rollout.fixture.now_us));
	EXPECT_FALSE(aub_placement_may_send(rollout.fixture.placement, "a2",
					    rollout.fixture.now_us));
}

TEST(Rollout, IgnoresVersionsIfRolloutsAreDisabled)
{
	PlacementFixture fixture;

	fixture.register_upstream("u1", 2, "z1", false, 1, 0, "v1");
	fixture.register_upstream("u2", 2, "z1", false, 9, 0, "v2");
	fixture.finish_probe("u1");
	fixture.finish_probe("u2");
	EXPECT_TRUE(aub_placement_may_send(fixture.placement, "u1",
					   fixture.now_us));
	EXPECT_TRUE(aub_placement_may_send(fixture.placement, "u2",
					   fixture.now_us));
}

TEST(Rollout, RollsBackBadVersionAndSendsItNothingMore)
{
	RolloutFixture rollout;

	rollout.add_new_version();
	rollout.order();
	rollout.serve(900, 10 * US_PER_MS, AUB_GRANT_FAILED);
	EXPECT_EQ(rollout.state(), AUB_ROLLOUT_ROLLED_BACK);
	int sent = rollout.sent["v2"];
	EXPECT_LT(sent, 20);
	rollout.serve(300);
	EXPECT_EQ(rollout.sent["v2"], sent);
	EXPECT_FALSE(aub_placement_may_send(rollout.fixture.placement, "b0",
					    rollout.fixture.now_us));
	EXPECT_EQ(aub_placement_rollout_step(rollout.fixture.placement,
					     rollout.fixture.now_us),
		  AUB_ROLLOUT_ROLLED_BACK);
}

/* Guards against stopping old upstreams with requests in progress. */
TEST(Rollout, CompletesOnlyAfterOldVersionIsDrained)
{
	RolloutFixture rollout;

	rollout.add_new_version();
	rollout.order();
	rollout.serve(1000);
	struct aub_placement_decision last = rollout.fixture.submit();
	ASSERT_EQ(last.verdict, AUB_VERDICT_GRANTED);
	ASSERT_EQ(last.upstream[0], 'a');
	guint64 ticket = last.ticket;
	rollout.serve(180);
	ASSERT_EQ(rollout.state(), AUB_ROLLOUT_SWITCHING);
	EXPECT_EQ(aub_placement_rollout_step(rollout.fixture.placement,
					     rollout.fixture.now_us),
		  AUB_ROLLOUT_RUNNING);
	rollout.fixture.report(ticket);
	EXPECT_EQ(aub_placement_rollout_step(rollout.fixture.placement,
					     rollout.fixture.now_us),
		  AUB_ROLLOUT_COMPLETED);
	rollout.order(AUB_ROLLOUT_COMPLETED);
	rollout.sent.clear();
	rollout.serve(50);
	EXPECT_EQ(rollout.sent["v1"], 0);
	EXPECT_EQ(rollout.sent["v2"], 50);
}

TEST(Rollout, CompletesGoodVersionInTime)
{
	RolloutFixture rollout;
	enum aub_rollout_state wanted = AUB_ROLLOUT_NONE;
	gint64 started_us = rollout.fixture.now_us;

	rollout.add_new_version();
	rollout.order();
	while (wanted != AUB_ROLLOUT_COMPLETED &&
	       rollout.fixture.now_us < started_us + 12 * SECOND) {
		rollout.serve(1);
		wanted = aub_placement_rollout_step(rollout.fixture.placement,
						    rollout.fixture.now_us);
	}
	EXPECT_EQ(wanted, AUB_ROLLOUT_COMPLETED);
	EXPECT_LE(rollout.sent["v2"],
		  0.1 * (rollout.sent["v1"] + rollout.sent["v2"]) + 50);
}

/* Guards against a switch to upstreams that cannot handle all requests. */
TEST(Rollout, DoesNotSwitchToFewerSlotsThanNeeded)
{
	RolloutFixture rollout(8);

	rollout.add_new_version(1);
	rollout.order();
	std::vector<guint64> outstanding;
	for (int i = 0; i < 12; i++) {
		struct aub_placement_decision decision =
			rollout.fixture.submit();

		if (decision.verdict == AUB_VERDICT_GRANTED)
			outstanding.push_back(decision.ticket);
	}
	rollout.serve(1300);
	EXPECT_EQ(rollout.state(), AUB_ROLLOUT_ROLLED_BACK);
	EXPECT_STREQ(rollout.fixture.placement->rollout.reason, "no-room");
}

TEST(Rollout, RollsBackVersionWithoutUpstreams)
{
	RolloutFixture rollout;

	rollout.order();
	rollout.serve(1300);
	EXPECT_EQ(rollout.state(), AUB_ROLLOUT_ROLLED_BACK);
	EXPECT_STREQ(rollout.fixture.placement->rollout.reason, "no-upstreams");
}

TEST(Rollout, SendsNoRetriesToCanaries)
{
	RolloutFixture rollout;

	rollout.add_new_version();
	rollout.order();
	rollout.serve(300);
	int sent = rollout.sent["v2"];
	rollout.expect_old_version(10,
				   [](struct aub_placement_request *request) {
					   request->retry = true;
				   });
	EXPECT_EQ(rollout.sent["v2"], sent);
}

/* Guards against each of several placers using the full share by itself. */
TEST(Rollout, SuccessivePlacersStayWithinOneShare)
{
	std::map<std::string, int> sent;
	guint64 reached = 0;
	guint64 exposed = 0;

	for (int placer = 0; placer < 6; placer++) {
		RolloutFixture rollout;

		rollout.add_new_version();
		rollout.order(AUB_ROLLOUT_RUNNING);
		aub_placement_import_evidence(rollout.fixture.placement, NULL,
					      0, reached, exposed, 0);
		rollout.serve(150);
		for (auto &entry : rollout.sent)
			sent[entry.first] += entry.second;
		reached = aub_rollout_total_reached(
			&rollout.fixture.placement->rollout);
		exposed = aub_rollout_total_exposed(
			&rollout.fixture.placement->rollout);
	}
	EXPECT_GT(sent["v2"], 0);
	EXPECT_LE(sent["v2"], 0.1 * (sent["v1"] + sent["v2"]));
}

TEST(Rollout, OnlyTheGranteeSpendsTheSlack)
{
	RolloutFixture with;
	RolloutFixture without;

	for (RolloutFixture *rollout : { &with, &without }) {
		rollout->add_new_version();
		rollout->order();
	}
	aub_placement_grant_slack(with.fixture.placement);
	with.serve(60, 100 * US_PER_MS);
	without.serve(60, 100 * US_PER_MS);
	EXPECT_GT(with.sent["v2"], without.sent["v2"] + 5);
	EXPECT_LE(with.sent["v2"], 0.1 * 60 + 50);
	EXPECT_LE(without.sent["v2"], 0.1 * 60 + 1);
}

TEST(Rollout, AppliesDecisionOfAnotherProcessImmediately)
{
	RolloutFixture rollout;

	rollout.add_new_version();
	rollout.order();
	const struct aub_rollout_record order_record = rollout.record();
	EXPECT_TRUE(aub_placement_merge_rollout(rollout.fixture.placement,
						&order_record.order,
						AUB_ROLLOUT_ROLLED_BACK, 0,
						rollout.fixture.now_us));
	EXPECT_FALSE(aub_placement_may_send(rollout.fixture.placement, "b0",
					    rollout.fixture.now_us));
	/* It is final, whatever other state is received. */
	(void)aub_placement_merge_rollout(rollout.fixture.placement,
					  &order_record.order,
					  AUB_ROLLOUT_SWITCHING, 0,
					  rollout.fixture.now_us);
	EXPECT_FALSE(aub_placement_may_send(rollout.fixture.placement, "b0",
					    rollout.fixture.now_us));
}

/* Guards against applying the decision on one order to the next one. */
TEST(Rollout, NewOrderForSameVersionStartsOver)
{
	RolloutFixture rollout;

	rollout.add_new_version();
	rollout.order();
	rollout.serve(900, 10 * US_PER_MS, AUB_GRANT_FAILED);
	ASSERT_EQ(rollout.state(), AUB_ROLLOUT_ROLLED_BACK);
	const struct aub_rollout_record before = rollout.record();
	rollout.created = 99;
	rollout.order();
	EXPECT_EQ(rollout.state(), AUB_ROLLOUT_RUNNING);
	EXPECT_FALSE(aub_placement_merge_rollout(rollout.fixture.placement,
						 &before.order,
						 AUB_ROLLOUT_ROLLED_BACK, 0,
						 rollout.fixture.now_us));
	EXPECT_EQ(rollout.state(), AUB_ROLLOUT_RUNNING);
}

TEST(Rollout, OrderForThirdVersionWithholdsTheSecond)
{
	RolloutFixture rollout;

	rollout.add_new_version();
	rollout.order();
	rollout.serve(100);
	rollout.add_upstream("c0", "v3", 500);
	rollout.order(AUB_ROLLOUT_NONE, 12000, "v3");
	rollout.sent.clear();
	rollout.serve(500);
	EXPECT_EQ(rollout.sent["v2"], 0);
}

TEST(Rollout, DeletedOrderKeepsTheOldVersion)
{
	RolloutFixture rollout;

	rollout.add_new_version();
	rollout.order();
	rollout.serve(300);
	aub_placement_set_rollout(rollout.fixture.placement, NULL, false,
				  rollout.fixture.now_us);
	rollout.sent.clear();
	rollout.fixture.now_us += 60 * SECOND;
	aub_placement_admit_versions(rollout.fixture.placement,
				     rollout.fixture.now_us);
	rollout.serve(200);
	EXPECT_EQ(rollout.sent["v2"], 0);
	EXPECT_EQ(rollout.sent["v1"], 200);
}

/* Guards against admitting the version of an order that cannot be parsed. */
TEST(Rollout, UnreadableOrderAdmitsNoVersion)
{
	RolloutFixture rollout;

	rollout.add_new_version();
	aub_placement_set_rollout(rollout.fixture.placement, NULL, true,
				  rollout.fixture.now_us);
	rollout.fixture.now_us += 60 * SECOND;
	aub_placement_admit_versions(rollout.fixture.placement,
				     rollout.fixture.now_us);
	rollout.serve(100);
	EXPECT_EQ(rollout.sent["v2"], 0);
	aub_placement_set_rollout(rollout.fixture.placement, NULL, false,
				  rollout.fixture.now_us);
	aub_placement_admit_versions(rollout.fixture.placement,
				     rollout.fixture.now_us);
	rollout.serve(100);
	EXPECT_GT(rollout.sent["v2"], 0);
}

TEST(Rollout, LateStartingGatewayAppliesTheStoredState)
{
	RolloutFixture back;
	RolloutFixture done;

	back.add_new_version();
	back.order(AUB_ROLLOUT_ROLLED_BACK);
	back.serve(100);
	EXPECT_EQ(back.sent["v2"], 0);
	done.add_new_version();
	done.order(AUB_ROLLOUT_COMPLETED);
	done.serve(100);
	EXPECT_EQ(done.sent["v1"], 0);
	EXPECT_EQ(done.sent["v2"], 100);
}

TEST(Rollout, LocalFallbackSendsNothingToCanaries)
{
	RolloutFixture rollout;

	rollout.add_new_version();
	rollout.order();
	rollout.serve(300);
	rollout.expect_old_version(50,
				   [](struct aub_placement_request *request) {
					   request->local_fallback = true;
				   });
}

/* Guards against crashes of upstreams that count against their version. */
TEST(Rollout, CrashesDoNotCountAgainstTheVersion)
{
	RolloutFixture rollout;

	rollout.add_new_version();
	rollout.order();
	for (int i = 0; i < 900; i++) {
		rollout.serve(1, 10 * US_PER_MS, AUB_GRANT_LOST);
		for (int j = 0; j < 4; j++)
			rollout.fixture.finish_probe("b" + std::to_string(j));
	}
	EXPECT_EQ(rollout.state(), AUB_ROLLOUT_RUNNING);
}

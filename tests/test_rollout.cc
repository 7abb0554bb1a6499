/*
 * Orders to change versions, as a placement carries them out: who gets what
 * before, during and after.
 */
#include "placement_rig.h"

#include <map>

#define SECOND (1000 * MS)

/* A service with upstreams of two versions, warm and probed. */
class Rollout
{
      public:
	Placement p{ 0.2, 10 };
	std::map<std::string, int> sent; /* by version */
	gint64 created = 7;

	explicit Rollout(int upstreams = 4)
	{
		const struct aub_rollout_limits limits = { 0.1, 50 };

		aub_placement_take_orders(p.it, &limits);
		aub_placement_orders_known(p.it, p.now);
		for (int i = 0; i < upstreams; i++)
			add("a" + std::to_string(i), "v1", 1);
	}
	void add(const std::string &id, const std::string &version, gint64 born)
	{
		p.enter(id, 4, "z1", false, born, 0, version);
		p.probed(id);
	}
	void add_new(int upstreams = 4)
	{
		for (int i = 0; i < upstreams; i++)
			add("b" + std::to_string(i), "v2", 100 + i);
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
		const struct aub_rollout_record given =
			record(state, duration_ms, version);

		aub_placement_order(p.it, &given, false, p.now);
	}
	/* Requests one after the other, each answered by `end`. */
	void serve(int count, gint64 gap_us = 10 * MS,
		   enum aub_attempt_end bad_end = AUB_END_OK)
	{
		for (int i = 0; i < count; i++) {
			struct aub_ask ask = p.ask_of();
			ask.route = 1;
			struct aub_decision decision = p.ask(ask);

			p.now += gap_us;
			(void)aub_placement_rollout_step(p.it, p.now);
			if (decision.verdict != AUB_VERDICT_GRANTED)
				continue;
			bool is_new = decision.upstream[0] == 'b';
			sent[is_new ? "v2" : "v1"]++;
			p.report(decision.ticket, is_new ? bad_end : AUB_END_OK,
				 200 * MS);
		}
	}
	/* Requests that differ by `change`; all go to the old version. */
	void expect_old(int count, void (*change)(struct aub_ask *ask))
	{
		for (int i = 0; i < count; i++) {
			struct aub_ask ask = p.ask_of();

			change(&ask);
			struct aub_decision decision = p.ask(ask);
			ASSERT_EQ(decision.verdict, AUB_VERDICT_GRANTED);
			EXPECT_EQ(decision.upstream[0], 'a');
			p.report(decision.ticket);
		}
	}
	enum aub_rollout_state state()
	{
		return p.it->rollout.state;
	}
};

/* Guards against a new version that gets requests before it is allowed any. */
TEST(Rollout, SendsNothingToAVersionThatWaitsForItsOrder)
{
	Rollout it;

	it.add_new();
	it.serve(200);
	EXPECT_EQ(it.sent["v2"], 0);
	EXPECT_EQ(it.sent["v1"], 200);
}

/* Guards against a bad version that gets more than operators allow. */
TEST(Rollout, StaysWithinTheExposure)
{
	Rollout it;

	it.add_new();
	it.order();
	it.serve(900);
	EXPECT_GT(it.sent["v2"], 10);
	EXPECT_LE(it.sent["v2"], 0.1 * 900);
}

TEST(Rollout, SendsNothingBeforeOrdersAreKnown)
{
	Placement p;
	const struct aub_rollout_limits limits = { 0.1, 50 };

	aub_placement_take_orders(p.it, &limits);
	p.add("u1");
	EXPECT_EQ(p.ask().verdict, AUB_VERDICT_NO_UPSTREAM);
	EXPECT_FALSE(aub_placement_may_send(p.it, "u1"));
	aub_placement_orders_known(p.it, p.now);
	EXPECT_EQ(p.ask().verdict, AUB_VERDICT_GRANTED);
}

/* Guards against a count of upstreams that drifts as they come and go. */
TEST(Rollout, CountsUpstreamsAsTheyComeAndGo)
{
	Rollout it(0);
	auto upstreams = [&](const char *version) {
		gint i =
			aub_service_versions_index(&it.p.it->versions, version);

		return it.p.it->versions.list[i].upstreams;
	};

	for (int i = 0; i < 50; i++)
		it.add("a" + std::to_string(i), "v1", 1);
	EXPECT_EQ(upstreams("v1"), 50u);
	it.add("a0", "v1", 7);
	it.p.leave("a1");
	it.p.leave("a1");
	EXPECT_EQ(upstreams("v1"), 49u);
	it.add_new(3);
	it.add("a2", "v2", 9);
	EXPECT_EQ(upstreams("v1"), 48u);
	EXPECT_EQ(upstreams("v2"), 4u);
	it.p.leave("b0");
	EXPECT_EQ(upstreams("v2"), 3u);
	EXPECT_TRUE(aub_placement_may_send(it.p.it, "a0"));
	EXPECT_FALSE(aub_placement_may_send(it.p.it, "a2"));
}

TEST(Rollout, VersionsDontMatterWhereNoOrdersAreTaken)
{
	Placement p;

	p.enter("u1", 2, "z1", false, 1, 0, "v1");
	p.enter("u2", 2, "z1", false, 9, 0, "v2");
	p.probed("u1");
	p.probed("u2");
	EXPECT_TRUE(aub_placement_may_send(p.it, "u1"));
	EXPECT_TRUE(aub_placement_may_send(p.it, "u2"));
}

TEST(Rollout, RollsABadVersionBackAndSendsItNothingMore)
{
	Rollout it;

	it.add_new();
	it.order();
	it.serve(900, 10 * MS, AUB_END_FAILED);
	EXPECT_EQ(it.state(), AUB_ROLLOUT_ROLLED_BACK);
	int sent = it.sent["v2"];
	EXPECT_LT(sent, 20);
	it.serve(300);
	EXPECT_EQ(it.sent["v2"], sent);
	EXPECT_FALSE(aub_placement_may_send(it.p.it, "b0"));
	EXPECT_EQ(aub_placement_rollout_step(it.p.it, it.p.now),
		  AUB_ROLLOUT_ROLLED_BACK);
}

/* Guards against old upstreams that are stopped with requests under way. */
TEST(Rollout, CompletesOnlyOnceTheOldVersionHasAnswered)
{
	Rollout it;

	it.add_new();
	it.order();
	it.serve(1000);
	struct aub_decision last = it.p.ask();
	ASSERT_EQ(last.verdict, AUB_VERDICT_GRANTED);
	ASSERT_EQ(last.upstream[0], 'a');
	guint64 ticket = last.ticket;
	it.serve(180);
	ASSERT_EQ(it.state(), AUB_ROLLOUT_SWITCHING);
	EXPECT_EQ(aub_placement_rollout_step(it.p.it, it.p.now),
		  AUB_ROLLOUT_RUNNING);
	it.p.report(ticket);
	EXPECT_EQ(aub_placement_rollout_step(it.p.it, it.p.now),
		  AUB_ROLLOUT_COMPLETED);
	it.order(AUB_ROLLOUT_COMPLETED);
	it.sent.clear();
	it.serve(50);
	EXPECT_EQ(it.sent["v1"], 0);
	EXPECT_EQ(it.sent["v2"], 50);
}

TEST(Rollout, CompletesAGoodVersionInTime)
{
	Rollout it;
	enum aub_rollout_state wanted = AUB_ROLLOUT_NONE;
	gint64 began = it.p.now;

	it.add_new();
	it.order();
	while (wanted != AUB_ROLLOUT_COMPLETED &&
	       it.p.now < began + 12 * SECOND) {
		it.serve(1);
		wanted = aub_placement_rollout_step(it.p.it, it.p.now);
	}
	EXPECT_EQ(wanted, AUB_ROLLOUT_COMPLETED);
	EXPECT_LE(it.sent["v2"], 0.1 * (it.sent["v1"] + it.sent["v2"]) + 50);
}

/* Guards against a move to upstreams that can't bear all requests. */
TEST(Rollout, DoesNotMoveToFewerSlotsThanAreNeeded)
{
	Rollout it(8);

	it.add_new(1);
	it.order();
	std::vector<guint64> held;
	for (int i = 0; i < 12; i++) {
		struct aub_decision decision = it.p.ask();

		if (decision.verdict == AUB_VERDICT_GRANTED)
			held.push_back(decision.ticket);
	}
	it.serve(1300);
	EXPECT_EQ(it.state(), AUB_ROLLOUT_ROLLED_BACK);
	EXPECT_STREQ(it.p.it->rollout.reason, "no-room");
}

TEST(Rollout, RollsBackWhatHasNoUpstreams)
{
	Rollout it;

	it.order();
	it.serve(1300);
	EXPECT_EQ(it.state(), AUB_ROLLOUT_ROLLED_BACK);
	EXPECT_STREQ(it.p.it->rollout.reason, "no-upstreams");
}

TEST(Rollout, SendsNoRetryToACanary)
{
	Rollout it;

	it.add_new();
	it.order();
	it.serve(300);
	int sent = it.sent["v2"];
	it.expect_old(10, [](struct aub_ask *ask) { ask->retry = true; });
	EXPECT_EQ(it.sent["v2"], sent);
}

/* Guards against two requests a share from each of several placers. */
TEST(Rollout, PlacersThatFollowEachOtherStayWithinOneShare)
{
	std::map<std::string, int> sent;
	guint64 reached = 0;
	guint64 exposed = 0;

	for (int placer = 0; placer < 6; placer++) {
		Rollout it;

		it.add_new();
		it.order(AUB_ROLLOUT_RUNNING);
		aub_placement_inherit(it.p.it, NULL, 0, reached, exposed, 0);
		it.serve(150);
		for (auto &entry : it.sent)
			sent[entry.first] += entry.second;
		reached = aub_rollout_total_reached(&it.p.it->rollout);
		exposed = aub_rollout_total_exposed(&it.p.it->rollout);
	}
	EXPECT_GT(sent["v2"], 0);
	EXPECT_LE(sent["v2"], 0.1 * (sent["v1"] + sent["v2"]));
}

TEST(Rollout, TheSlackIsSpentByWhoeverWasGivenIt)
{
	Rollout with;
	Rollout without;

	for (Rollout *it : { &with, &without }) {
		it->add_new();
		it->order();
	}
	aub_placement_grant_slack(with.p.it);
	with.serve(60, 100 * MS);
	without.serve(60, 100 * MS);
	EXPECT_GT(with.sent["v2"], without.sent["v2"] + 5);
	EXPECT_LE(with.sent["v2"], 0.1 * 60 + 50);
	EXPECT_LE(without.sent["v2"], 0.1 * 60 + 1);
}

TEST(Rollout, AVerdictOfAnotherHoldsAtOnce)
{
	Rollout it;

	it.add_new();
	it.order();
	const struct aub_rollout_record given = it.record();
	EXPECT_TRUE(aub_placement_order_told(it.p.it, &given.order,
					     AUB_ROLLOUT_ROLLED_BACK, 0,
					     it.p.now));
	EXPECT_FALSE(aub_placement_may_send(it.p.it, "b0"));
	/* It stays, whatever else is told. */
	(void)aub_placement_order_told(it.p.it, &given.order,
				       AUB_ROLLOUT_SWITCHING, 0, it.p.now);
	EXPECT_FALSE(aub_placement_may_send(it.p.it, "b0"));
}

/* Guards against a verdict on one order that is taken for the next one's. */
TEST(Rollout, AnotherOrderForTheSameVersionBeginsAnew)
{
	Rollout it;

	it.add_new();
	it.order();
	it.serve(900, 10 * MS, AUB_END_FAILED);
	ASSERT_EQ(it.state(), AUB_ROLLOUT_ROLLED_BACK);
	const struct aub_rollout_record before = it.record();
	it.created = 99;
	it.order();
	EXPECT_EQ(it.state(), AUB_ROLLOUT_RUNNING);
	EXPECT_FALSE(aub_placement_order_told(it.p.it, &before.order,
					      AUB_ROLLOUT_ROLLED_BACK, 0,
					      it.p.now));
	EXPECT_EQ(it.state(), AUB_ROLLOUT_RUNNING);
}

TEST(Rollout, AnOrderForAThirdVersionHoldsTheSecond)
{
	Rollout it;

	it.add_new();
	it.order();
	it.serve(100);
	it.add("c0", "v3", 500);
	it.order(AUB_ROLLOUT_NONE, 12000, "v3");
	it.sent.clear();
	it.serve(500);
	EXPECT_EQ(it.sent["v2"], 0);
}

TEST(Rollout, ADeletedOrderLeavesTheOldVersion)
{
	Rollout it;

	it.add_new();
	it.order();
	it.serve(300);
	aub_placement_order(it.p.it, NULL, false, it.p.now);
	it.sent.clear();
	it.p.now += 60 * SECOND;
	aub_placement_admit(it.p.it, it.p.now);
	it.serve(200);
	EXPECT_EQ(it.sent["v2"], 0);
	EXPECT_EQ(it.sent["v1"], 200);
}

/* Guards against an order nobody can read, whose version takes part. */
TEST(Rollout, AnUnreadableOrderAdmitsNoVersion)
{
	Rollout it;

	it.add_new();
	aub_placement_order(it.p.it, NULL, true, it.p.now);
	it.p.now += 60 * SECOND;
	aub_placement_admit(it.p.it, it.p.now);
	it.serve(100);
	EXPECT_EQ(it.sent["v2"], 0);
	aub_placement_order(it.p.it, NULL, false, it.p.now);
	aub_placement_admit(it.p.it, it.p.now);
	it.serve(100);
	EXPECT_GT(it.sent["v2"], 0);
}

TEST(Rollout, AGatewayThatStartsLaterGoesByTheStoredState)
{
	Rollout back;
	Rollout done;

	back.add_new();
	back.order(AUB_ROLLOUT_ROLLED_BACK);
	back.serve(100);
	EXPECT_EQ(back.sent["v2"], 0);
	done.add_new();
	done.order(AUB_ROLLOUT_COMPLETED);
	done.serve(100);
	EXPECT_EQ(done.sent["v1"], 0);
	EXPECT_EQ(done.sent["v2"], 100);
}

TEST(Rollout, WhoPlacesForWantOfAPlacerSendsNothingToACanary)
{
	Rollout it;

	it.add_new();
	it.order();
	it.serve(300);
	it.expect_old(50, [](struct aub_ask *ask) { ask->alone = true; });
}

/* Guards against crashes of either version's upstreams taken for a verdict. */
TEST(Rollout, CrashesAreNoVerdict)
{
	Rollout it;

	it.add_new();
	it.order();
	for (int i = 0; i < 900; i++) {
		it.serve(1, 10 * MS, AUB_END_LOST);
		for (int j = 0; j < 4; j++)
			it.p.probed("b" + std::to_string(j));
	}
	EXPECT_EQ(it.state(), AUB_ROLLOUT_RUNNING);
}

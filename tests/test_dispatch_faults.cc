/* What the dispatcher does about upstreams and requests that do harm. */
#include <gtest/gtest.h>

#include "dispatch_rig.h"

#include <map>

/*
 * One upstream answers each request with an error, at once. Being always
 * idle it would take most of the traffic; after a few it gets none.
 */
TEST(DispatchFaults, FailingFastIsEjected)
{
	DispatchRig rig;
	std::map<guint16, guint> failures;
	rig.warm();
	for (guint64 id = 1; id <= 600; id++) {
		rig.arrive(id);
		if (id % 6)
			continue;
		for (const auto &action : rig.take()) {
			bool bad = action.upstream == 0;

			if (action.type != AUB_ACTION_SEND)
				continue;
			failures[action.upstream]++;
			rig.now += bad ? 100 : 400;
			rig.done(action, AUB_ATTEMPT_ANSWERED, 1, false, bad);
		}
	}
	EXPECT_LT(failures[0], 20u);
	EXPECT_TRUE(status(rig, 0).suspect);
}

TEST(DispatchFaults, FailuresOfAllEjectNone)
{
	DispatchRig rig;
	struct aub_dispatch_counts counts;
	rig.warm();
	for (guint64 id = 1; id <= 300; id++) {
		rig.arrive(id);
		rig.now += 1000;
		rig.done(rig.one(), AUB_ATTEMPT_ANSWERED, 1, false, true);
		rig.take();
	}
	aub_dispatcher_counts(rig.d, &counts);
	EXPECT_EQ(counts.ejections, 0u);
}

TEST(DispatchFaults, OverrunningUpstreamIsTakenLast)
{
	DispatchRig rig;
	rig.warm(10 * AUB_MS);
	rig.arrive(1);
	auto slow = rig.one();
	rig.now += 100 * AUB_MS;
	for (guint64 id = 2; id <= 5; id++)
		rig.arrive(id);
	for (const auto &action : rig.take())
		EXPECT_NE(action.upstream, slow.upstream);
	EXPECT_TRUE(status(rig, slow.upstream).suspect);
}

TEST(DispatchFaults, HedgesALateRepeatableAndCancelsTheLoser)
{
	rig_options options;
	options.hedge_percent = 20;
	DispatchRig rig(options);
	rig.warm(10 * AUB_MS);
	rig.arrive(1);
	auto first = rig.one();
	ASSERT_LT(aub_dispatcher_wake_us(rig.d), rig.now + 100 * AUB_MS);
	rig.now = aub_dispatcher_wake_us(rig.d);
	aub_dispatcher_tick(rig.d, rig.now);
	auto hedge = rig.one();
	ASSERT_EQ(hedge.type, AUB_ACTION_SEND);
	EXPECT_TRUE(hedge.hedge);
	EXPECT_NE(hedge.upstream, first.upstream);
	rig.done(hedge);
	auto list = rig.take();
	ASSERT_EQ(list.size(), 2u);
	EXPECT_EQ(list[0].type, AUB_ACTION_DELIVER);
	EXPECT_EQ(list[0].attempt, hedge.attempt);
	EXPECT_EQ(list[1].type, AUB_ACTION_CANCEL);
	rig.done(first, AUB_ATTEMPT_CANCELLED);
	EXPECT_EQ(aub_dispatcher_pending(rig.d), 0u);
}

TEST(DispatchFaults, NeverHedgesWhatMayNotBeRepeated)
{
	rig_options options;
	options.hedge_percent = 20;
	DispatchRig rig(options);
	rig.warm(10 * AUB_MS);
	rig.arrive(1, true);
	rig.one();
	rig.pass(AUB_SECOND);
	EXPECT_TRUE(rig.take().empty());
}

/*
 * A request brings down each upstream that runs it, and its caller sends it
 * again. Two deaths are the most; then it is refused at once, "not run",
 * while a request that ran beside it both times goes on.
 */
TEST(DispatchFaults, CrashRequestIsStoppedAfterTwoDeaths)
{
	DispatchRig rig;
	rig.warm();
	guint deaths = 0;
	rig.arrive(50, false, 0, 5 * AUB_SECOND, 77);
	rig.done(rig.one());
	rig.take();
	for (guint64 id = 1; id <= 10; id++) {
		rig.arrive(id, false, 100, 5 * AUB_SECOND, 666);
		for (auto list = rig.take(); !list.empty(); list = rig.take())
			for (const auto &action : list)
				if (action.type == AUB_ACTION_SEND) {
					deaths++;
					rig.done(action, AUB_ATTEMPT_LOST);
				}
	}
	EXPECT_EQ(deaths, 2u);
	rig.arrive(20, false, 100, 5 * AUB_SECOND, 666);
	auto action = rig.one();
	EXPECT_EQ(action.type, AUB_ACTION_REFUSE);
	EXPECT_EQ(action.refusal, AUB_REFUSAL_CRASHES);
	rig.arrive(21, false, 100, 5 * AUB_SECOND, 77);
	EXPECT_EQ(rig.one().type, AUB_ACTION_SEND);
}

/* Deaths are confirmed by a new boot id, and other entries can learn them. */
TEST(DispatchFaults, CrashMarksAreConfirmedAndLearnt)
{
	DispatchRig rig;
	DispatchRig other;
	std::map<guint16, guint64> boots = { { 0, 1 }, { 1, 1 }, { 2, 1 } };
	rig.warm();
	for (guint64 id = 1; id <= 2; id++) {
		rig.arrive(id, true, 0, 5 * AUB_SECOND, 666);
		auto sent = rig.one();
		rig.done(sent, AUB_ATTEMPT_LOST);
		rig.take();
		rig.now += 3 * AUB_SECOND;
		boots[sent.upstream]++;
		for (guint64 n = 0; n < 6; n++)
			rig.arrive(100 * id + n);
		rig.serve(boots);
	}
	struct aub_crash_mark marks[4];
	ASSERT_EQ(aub_dispatcher_crashes(rig.d, marks, 4, rig.now), 1u);
	EXPECT_EQ(marks[0].fingerprint, 666u);
	EXPECT_EQ(marks[0].deaths, 2u);
	aub_dispatcher_learn_crash(other.d, &marks[0], other.now);
	other.arrive(1, true, 0, 5 * AUB_SECOND, 666);
	EXPECT_EQ(other.one().refusal, AUB_REFUSAL_CRASHES);
}

TEST(DispatchFaults, LostConnectionsOfALivingUpstreamBlameNobody)
{
	DispatchRig rig;
	rig.warm();
	for (guint64 id = 1; id <= 6; id++) {
		rig.arrive(id, true, 0, 5 * AUB_SECOND, 88);
		rig.done(rig.one(), AUB_ATTEMPT_LOST);
		rig.take();
		rig.now += AUB_MS;
		for (guint64 n = 0; n < 6; n++)
			rig.arrive(100 * id + n);
		rig.serve();
	}
	struct aub_crash_mark marks[4];
	EXPECT_EQ(aub_dispatcher_crashes(rig.d, marks, 4, rig.now), 0u);
}

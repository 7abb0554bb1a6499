/* The dispatcher's single decisions; mixes are in test_dispatch_state.cc. */
#include <gtest/gtest.h>

#include "dispatch_rig.h"

#include <set>

TEST(Dispatch, SendsToFreeSlotsOnlyAndInOrder)
{
	DispatchRig rig;
	rig.warm();
	for (guint64 id = 1; id <= 8; id++)
		rig.arrive(id);
	auto sent = rig.take();
	ASSERT_EQ(sent.size(), 6u);
	EXPECT_EQ(aub_dispatcher_queued(rig.d), 2u);
	rig.done(sent[0]);
	auto next = rig.take();
	ASSERT_EQ(next.size(), 2u);
	EXPECT_EQ(next[0].type, AUB_ACTION_DELIVER);
	EXPECT_EQ(next[0].request, 1u);
	EXPECT_EQ(next[1].type, AUB_ACTION_SEND);
	EXPECT_EQ(next[1].request, 7u);
	EXPECT_EQ(next[1].upstream, sent[0].upstream);
}

TEST(Dispatch, SpreadsOverTheLeastBusy)
{
	DispatchRig rig;
	std::set<guint16> used;
	rig.warm();
	for (guint64 id = 1; id <= 3; id++)
		rig.arrive(id);
	for (const auto &action : rig.take())
		used.insert(action.upstream);
	EXPECT_EQ(used.size(), 3u);
}

TEST(Dispatch, FullQueueRefusesAtOnceWithAReturnTime)
{
	rig_options options;
	options.queue_limit = 2;
	DispatchRig rig(options);
	rig.warm();
	for (guint64 id = 1; id <= 8; id++)
		rig.arrive(id);
	rig.take();
	rig.arrive(9);
	auto action = rig.one();
	EXPECT_EQ(action.type, AUB_ACTION_REFUSE);
	EXPECT_EQ(action.refusal, AUB_REFUSAL_QUEUE_FULL);
	EXPECT_GE(action.retry_after_ms, 1u);
}

TEST(Dispatch, DeadlineThatCannotBeMetIsRefusedOnArrival)
{
	DispatchRig rig;
	rig.warm(20 * AUB_MS);
	for (guint64 id = 1; id <= 20; id++)
		rig.arrive(id);
	rig.take();
	rig.arrive(21, false, 0, 50 * AUB_MS);
	auto action = rig.one();
	EXPECT_EQ(action.type, AUB_ACTION_REFUSE);
	EXPECT_EQ(action.refusal, AUB_REFUSAL_DEADLINE);
}

TEST(Dispatch, DeadlineThatLapsesWaitingIsRefusedNotRun)
{
	DispatchRig rig;
	rig.warm();
	for (guint64 id = 1; id <= 7; id++)
		rig.arrive(id, false, 0, AUB_SECOND);
	rig.take();
	EXPECT_LE(aub_dispatcher_wake_us(rig.d), rig.now + AUB_SECOND);
	rig.pass(AUB_SECOND);
	auto action = rig.one();
	EXPECT_EQ(action.type, AUB_ACTION_REFUSE);
	EXPECT_EQ(action.request, 7u);
	EXPECT_EQ(action.refusal, AUB_REFUSAL_DEADLINE);
}

/*
 * A reservation's connection dies before the answer. It may have run, so it
 * is neither sent again nor called "not run".
 */
TEST(Dispatch, LostOnceIsUnknownAndNeverSentAgain)
{
	DispatchRig rig;
	rig.warm();
	rig.arrive(1, true, 500);
	rig.done(rig.one(), AUB_ATTEMPT_LOST);
	EXPECT_EQ(rig.one().type, AUB_ACTION_UNKNOWN);
	EXPECT_EQ(aub_dispatcher_pending(rig.d), 0u);
}

TEST(Dispatch, OnceIsSentAgainWhereItProvablyDidNotRun)
{
	DispatchRig rig;
	rig.warm();
	rig.arrive(1, true, 100);
	auto first = rig.one();
	rig.done(first, AUB_ATTEMPT_NOT_CONNECTED);
	auto second = rig.one();
	EXPECT_EQ(second.type, AUB_ACTION_SEND);
	EXPECT_NE(second.upstream, first.upstream);
	rig.done(second, AUB_ATTEMPT_SHED);
	EXPECT_EQ(rig.one().type, AUB_ACTION_SEND);
}

TEST(Dispatch, RepeatableIsSentAgainWithinItsBudget)
{
	DispatchRig rig;
	rig.warm();
	rig.arrive(1, false, 100);
	auto first = rig.one();
	rig.done(first, AUB_ATTEMPT_LOST);
	auto second = rig.one();
	ASSERT_EQ(second.type, AUB_ACTION_SEND);
	EXPECT_NE(second.upstream, first.upstream);
	rig.done(second, AUB_ATTEMPT_LOST);
	EXPECT_EQ(rig.one().type, AUB_ACTION_UNKNOWN);
}

/*
 * Everything sheds. Retries are a share of calls, so that a service in
 * trouble isn't buried under them.
 */
TEST(Dispatch, RetriesAreAShareOfCalls)
{
	rig_options options;
	options.upstreams = 10;
	DispatchRig rig(options);
	struct aub_dispatch_counts before;
	struct aub_dispatch_counts counts;
	rig.warm();
	aub_dispatcher_counts(rig.d, &before);
	for (guint64 id = 1; id <= 1000; id++) {
		rig.arrive(id, false, 500);
		for (auto list = rig.take(); !list.empty(); list = rig.take())
			for (const auto &action : list)
				if (action.type == AUB_ACTION_SEND)
					rig.done(action, AUB_ATTEMPT_SHED);
		rig.pass(AUB_SECOND);
	}
	aub_dispatcher_counts(rig.d, &counts);
	EXPECT_LE(counts.sent - before.sent, 1200u);
	EXPECT_EQ(counts.refused - before.refused, 1000u);
}

TEST(Dispatch, AbandonedIsCancelledAndItsSlotKeptUntilReported)
{
	rig_options options;
	options.upstreams = 1;
	DispatchRig rig(options);
	rig.warm();
	rig.arrive(1);
	rig.arrive(2);
	auto sent = rig.take();
	aub_dispatcher_abandon(rig.d, 1, rig.now);
	EXPECT_EQ(rig.one().type, AUB_ACTION_CANCEL);
	rig.arrive(3);
	EXPECT_TRUE(rig.take().empty());
	rig.done(sent[0], AUB_ATTEMPT_CANCELLED);
	EXPECT_EQ(rig.one().request, 3u);
}

/*
 * An upstream comes back under another boot id: it gets its cold share until
 * cold_ms are over, although it says "warm" at once.
 */
TEST(Dispatch, ColdStartGetsItsShareUntilWarmedUp)
{
	rig_options options;
	options.upstreams = 1;
	options.slots = 6;
	options.cold_slots = 2;
	DispatchRig rig(options);
	rig.warm();
	for (guint64 id = 1; id <= 12; id++)
		rig.arrive(id);
	auto sent = rig.take();
	ASSERT_EQ(sent.size(), 6u);
	for (guint i = 0; i < 4; i++) {
		rig.done(sent[i], AUB_ATTEMPT_ANSWERED, 2);
		EXPECT_EQ(count(rig.take(), AUB_ACTION_SEND), 0u);
	}
	EXPECT_TRUE(status(rig, 0).cold);
	rig.done(sent[4], AUB_ATTEMPT_ANSWERED, 2);
	auto next = rig.take();
	EXPECT_EQ(count(next, AUB_ACTION_SEND), 1u);
	EXPECT_EQ(status(rig, 0).in_flight, 2u);
	rig.pass(999 * AUB_MS);
	EXPECT_EQ(status(rig, 0).allowed, 2u);
	rig.pass(AUB_MS);
	for (guint i = 0; i < 4; i++) {
		for (const auto &action : next)
			if (action.type == AUB_ACTION_SEND)
				rig.done(action, AUB_ATTEMPT_ANSWERED, 2);
		next = rig.take();
	}
	rig.arrive(30);
	EXPECT_GE(status(rig, 0).allowed, 4u);
}

TEST(Dispatch, ColdByItsOwnWordStaysSmallAndOpensOnItsWord)
{
	rig_options options;
	options.upstreams = 1;
	options.slots = 4;
	DispatchRig rig(options);
	rig.arrive(1);
	rig.done(rig.one(), AUB_ATTEMPT_ANSWERED, 1, true);
	rig.take();
	rig.now += 5 * AUB_SECOND;
	rig.arrive(2);
	rig.done(rig.one(), AUB_ATTEMPT_ANSWERED, 1, true);
	rig.take();
	EXPECT_EQ(status(rig, 0).allowed, 1u);
	for (guint64 id = 3; id < 6; id++) {
		rig.arrive(id);
		rig.done(rig.one(), AUB_ATTEMPT_ANSWERED, 1, false);
		rig.take();
	}
	EXPECT_EQ(status(rig, 0).allowed, 4u);
	EXPECT_FALSE(status(rig, 0).cold);
}

/*
 * A caller leaves, its attempt on a cold upstream is cancelled, and another
 * request waits. Sent at once, it would arrive before the upstream has seen
 * the cancelled one end, and push it over.
 */
TEST(Dispatch, ColdGetsNothingNewUntilItMustHaveSeenACancel)
{
	rig_options options;
	options.upstreams = 1;
	options.slots = 4;
	DispatchRig rig(options);
	rig.arrive(1);
	rig.done(rig.one(), AUB_ATTEMPT_ANSWERED, 1, true);
	rig.take();
	rig.arrive(2);
	auto sent = rig.one();
	ASSERT_EQ(sent.type, AUB_ACTION_SEND);
	aub_dispatcher_abandon(rig.d, 2, rig.now);
	rig.take();
	rig.done(sent, AUB_ATTEMPT_CANCELLED);
	rig.arrive(3);
	EXPECT_EQ(count(rig.take(), AUB_ACTION_SEND), 0u);
	EXPECT_LE(aub_dispatcher_wake_us(rig.d), rig.now + 100 * AUB_MS);
	rig.pass(100 * AUB_MS);
	EXPECT_EQ(count(rig.take(), AUB_ACTION_SEND), 1u);
}

TEST(Dispatch, LostConnectionPutsItsUpstreamInDoubt)
{
	rig_options options;
	options.upstreams = 1;
	options.slots = 6;
	DispatchRig rig(options);
	rig.warm();
	rig.arrive(1, true);
	rig.done(rig.one(), AUB_ATTEMPT_LOST);
	rig.take();
	EXPECT_EQ(status(rig, 0).allowed, 1u);
	rig.arrive(2);
	rig.done(rig.one());
	rig.take();
	EXPECT_EQ(status(rig, 0).allowed, 6u);
}

/*
 * A new owner doesn't know what its predecessor still has in flight: half of
 * the warm slots, nothing cold or unknown, until the settling time is over.
 */
TEST(Dispatch, NewOwnerWaitsForItsPredecessor)
{
	rig_options options;
	options.slots = 6;
	options.probe_budget_us = 1000000;
	DispatchRig rig(options, false);
	aub_dispatcher_set_role(rig.d, AUB_DISPATCH_OWNER, 500 * AUB_MS,
				rig.now);
	for (guint64 id = 1; id <= 30; id++)
		rig.arrive(id);
	EXPECT_EQ(count(rig.take(), AUB_ACTION_SEND), 0u);
	rig.pass(10 * AUB_MS);
	auto probes = rig.take();
	ASSERT_EQ(count(probes, AUB_ACTION_PROBE), 3u);
	rig.probed(probes[0]);
	EXPECT_EQ(count(rig.take(), AUB_ACTION_SEND), 1u);
	EXPECT_LE(aub_dispatcher_wake_us(rig.d), rig.now + 500 * AUB_MS);
	rig.pass(500 * AUB_MS);
	EXPECT_EQ(count(rig.take(), AUB_ACTION_SEND), 2u);
}

/*
 * An owner dies. Its stand-by heard of the upstreams a moment ago and sends
 * at once, half to the warm and nothing to the cold; what it heard longer
 * ago than a second it doesn't trust.
 */
TEST(Dispatch, StandbyActsOnWhatItHeardAMomentAgo)
{
	rig_options options;
	options.slots = 4;
	DispatchRig owner(options);
	DispatchRig rig(options, false);
	struct aub_upstream_knowledge list[8];
	owner.warm();
	owner.arrive(1);
	auto sent = owner.one();
	owner.done(sent, AUB_ATTEMPT_ANSWERED, 9);
	guint known = aub_dispatcher_knowledge(owner.d, list, 8, owner.now);
	ASSERT_EQ(known, 3u);
	for (guint i = 0; i < known; i++)
		aub_dispatcher_learn(rig.d, &list[i], rig.now);
	rig.now += 250 * AUB_MS;
	aub_dispatcher_set_role(rig.d, AUB_DISPATCH_STANDBY, 0, rig.now);
	for (guint64 id = 1; id <= 20; id++)
		rig.arrive(id);
	auto list_sent = rig.take();
	EXPECT_EQ(count(list_sent, AUB_ACTION_SEND), 4u);
	for (const auto &action : list_sent)
		EXPECT_NE(action.upstream, sent.upstream);

	DispatchRig late(options, false);
	for (guint i = 0; i < known; i++)
		aub_dispatcher_learn(late.d, &list[i], late.now);
	late.now += 2 * AUB_SECOND;
	aub_dispatcher_set_role(late.d, AUB_DISPATCH_STANDBY, 0, late.now);
	late.arrive(1);
	EXPECT_EQ(count(late.take(), AUB_ACTION_SEND), 0u);
}

TEST(Dispatch, StandbySendsHalfAndNothingCold)
{
	rig_options options;
	options.upstreams = 2;
	options.slots = 4;
	DispatchRig rig(options);
	rig.warm();
	aub_dispatcher_set_role(rig.d, AUB_DISPATCH_STANDBY, 0, rig.now);
	rig.arrive(100);
	auto sent = rig.one();
	rig.done(sent, AUB_ATTEMPT_ANSWERED, 9);
	rig.take();
	for (guint64 id = 1; id <= 20; id++)
		rig.arrive(id);
	auto list = rig.take();
	EXPECT_EQ(count(list, AUB_ACTION_SEND), 2u);
	for (const auto &action : list)
		EXPECT_NE(action.upstream, sent.upstream);
}

TEST(Dispatch, LosingTheRoleRefusesWhatWaits)
{
	DispatchRig rig;
	rig.warm();
	for (guint64 id = 1; id <= 8; id++)
		rig.arrive(id);
	rig.take();
	aub_dispatcher_set_role(rig.d, AUB_DISPATCH_NONE, 0, rig.now);
	auto list = rig.take();
	ASSERT_EQ(list.size(), 2u);
	EXPECT_EQ(list[0].refusal, AUB_REFUSAL_NOT_OWNER);
	EXPECT_EQ(aub_dispatcher_pending(rig.d), 6u);
}

TEST(Dispatch, ZoneOutGetsNothingNewAndFinishesWhatItHas)
{
	DispatchRig rig;
	rig.warm();
	for (guint64 id = 1; id <= 6; id++)
		rig.arrive(id);
	auto sent = rig.take();
	rig.options.out = 7 - 1;
	rig.configure();
	for (guint64 id = 7; id <= 12; id++)
		rig.arrive(id);
	for (const auto &action : sent)
		rig.done(action);
	auto list = rig.take();
	EXPECT_EQ(count(list, AUB_ACTION_DELIVER), 6u);
	for (const auto &action : list)
		if (action.type == AUB_ACTION_SEND) {
			EXPECT_EQ(action.upstream, 0u);
		}
	rig.options.out = 0;
	rig.configure();
	EXPECT_EQ(status(rig, 1).allowed, 1u);
}

TEST(Dispatch, UpstreamTakenFromTheInventoryFinishesWhatItHas)
{
	DispatchRig rig;
	rig.warm();
	for (guint64 id = 1; id <= 6; id++)
		rig.arrive(id);
	auto sent = rig.take();
	rig.options.upstreams = 1;
	rig.configure();
	rig.take();
	for (const auto &action : sent)
		rig.done(action);
	EXPECT_EQ(count(rig.take(), AUB_ACTION_DELIVER), 6u);
	rig.configure();
	EXPECT_EQ(status(rig, 0).in_flight, 0u);
}

TEST(Dispatch, DrainingGetsNothingNewAndIsRetriedElsewhere)
{
	DispatchRig rig;
	rig.warm();
	rig.arrive(1, true, 0);
	auto first = rig.one();
	rig.done(first, AUB_ATTEMPT_SHED, 1, false, false, true);
	auto second = rig.one();
	ASSERT_EQ(second.type, AUB_ACTION_SEND);
	for (guint64 id = 2; id <= 9; id++)
		rig.arrive(id);
	for (const auto &action : rig.take())
		EXPECT_NE(action.upstream, first.upstream);
}

TEST(Dispatch, ProbesOnlyWhereTrafficSaysNothingAndWithinBudget)
{
	rig_options options;
	options.upstreams = 12;
	options.probe_budget_us = 60000;
	options.probe_cost_us = 6000;
	DispatchRig rig(options);
	struct aub_dispatch_counts counts;
	guint64 before = 0;
	for (int second = 0; second < 20; second++) {
		for (int tick = 0; tick < 1000; tick++) {
			rig.pass(AUB_MS);
			for (const auto &action : rig.take())
				if (action.type == AUB_ACTION_PROBE)
					rig.probed(action, second % 3 != 0);
		}
		aub_dispatcher_counts(rig.d, &counts);
		EXPECT_LE(counts.probe_us - before, 30000u);
		before = counts.probe_us;
	}
	EXPECT_GT(counts.probes, 12u);
	rig.warm();
	rig.warm();
	aub_dispatcher_counts(rig.d, &counts);
	before = counts.probes;
	for (int round = 0; round < 200; round++)
		rig.warm();
	aub_dispatcher_counts(rig.d, &counts);
	EXPECT_EQ(counts.probes, before);
}

TEST(Dispatch, StoppingRefusesTheNewAndFinishesTheRest)
{
	DispatchRig rig;
	rig.warm();
	for (guint64 id = 1; id <= 7; id++)
		rig.arrive(id);
	auto sent = rig.take();
	aub_dispatcher_stop(rig.d, rig.now);
	rig.arrive(8);
	EXPECT_EQ(rig.one().refusal, AUB_REFUSAL_STOPPING);
	rig.done(sent[0]);
	EXPECT_EQ(count(rig.take(), AUB_ACTION_SEND), 1u);
}

TEST(Dispatch, BaselinesSendAtOnce)
{
	for (int policy = AUB_POLICY_RANDOM; policy <= AUB_POLICY_TWO_CHOICES;
	     policy++) {
		rig_options options;
		options.policy = (enum aub_policy)policy;
		DispatchRig rig(options, false);
		for (guint64 id = 1; id <= 50; id++)
			rig.arrive(id);
		EXPECT_EQ(count(rig.take(), AUB_ACTION_SEND), 50u);
		EXPECT_EQ(aub_policy_parse(aub_policy_name(options.policy)),
			  policy);
	}
}

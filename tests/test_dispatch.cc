/*
 * Single decisions of the dispatcher; random sequences are in
 * test_dispatch_state.cc.
 */
#include <gtest/gtest.h>

#include "dispatch_fixture.h"

#include <set>

TEST(Dispatch, SendsInOrderAndOnlyToFreeSlots)
{
	DispatchFixture fixture;
	fixture.warm();
	for (guint64 id = 1; id <= 8; id++)
		fixture.arrive(id);
	auto sent = fixture.take();
	ASSERT_EQ(sent.size(), 6u);
	EXPECT_EQ(aub_dispatcher_queued(fixture.d), 2u);
	fixture.done(sent[0]);
	auto next = fixture.take();
	ASSERT_EQ(next.size(), 2u);
	EXPECT_EQ(next[0].type, AUB_ACTION_DELIVER);
	EXPECT_EQ(next[0].request, 1u);
	EXPECT_EQ(next[1].type, AUB_ACTION_SEND);
	EXPECT_EQ(next[1].request, 7u);
	EXPECT_EQ(next[1].upstream, sent[0].upstream);
}

TEST(Dispatch, SpreadsRequestsOverLeastBusyUpstreams)
{
	DispatchFixture fixture;
	std::set<guint16> used;
	fixture.warm();
	for (guint64 id = 1; id <= 3; id++)
		fixture.arrive(id);
	for (const auto &action : fixture.take())
		used.insert(action.upstream);
	EXPECT_EQ(used.size(), 3u);
}

TEST(Dispatch, RefusesWithRetryAfterWhenQueueIsFull)
{
	fixture_options options;
	options.queue_limit = 2;
	DispatchFixture fixture(options);
	fixture.warm();
	for (guint64 id = 1; id <= 8; id++)
		fixture.arrive(id);
	fixture.take();
	fixture.arrive(9);
	auto action = fixture.take_one();
	EXPECT_EQ(action.type, AUB_ACTION_REFUSE);
	EXPECT_EQ(action.refusal, AUB_REFUSAL_QUEUE_FULL);
	EXPECT_GE(action.retry_after_ms, 1u);
}

TEST(Dispatch, RefusesOnArrivalWhenDeadlineCannotBeMet)
{
	DispatchFixture fixture;
	fixture.warm(20 * AUB_MS);
	for (guint64 id = 1; id <= 20; id++)
		fixture.arrive(id);
	fixture.take();
	fixture.arrive(21, false, 0, 50 * AUB_MS);
	auto action = fixture.take_one();
	EXPECT_EQ(action.type, AUB_ACTION_REFUSE);
	EXPECT_EQ(action.refusal, AUB_REFUSAL_DEADLINE_UNREACHABLE);
}

TEST(Dispatch, RefusesQueuedRequestWhenDeadlineExpires)
{
	DispatchFixture fixture;
	fixture.warm();
	for (guint64 id = 1; id <= 7; id++)
		fixture.arrive(id, false, 0, AUB_SECOND);
	fixture.take();
	EXPECT_LE(aub_dispatcher_next_wakeup_us(fixture.d),
		  fixture.now + AUB_SECOND);
	fixture.advance_time(AUB_SECOND);
	auto action = fixture.take_one();
	EXPECT_EQ(action.type, AUB_ACTION_REFUSE);
	EXPECT_EQ(action.request, 7u);
	EXPECT_EQ(action.refusal, AUB_REFUSAL_DEADLINE_UNREACHABLE);
}

/*
 * The connection of a non-idempotent request is lost before the answer. The
 * request may have run, so it is neither retried nor reported as not run.
 */
TEST(Dispatch, ReportsLostNonIdempotentRequestAsUnknown)
{
	DispatchFixture fixture;
	fixture.warm();
	fixture.arrive(1, true, 500);
	fixture.done(fixture.take_one(), AUB_ATTEMPT_CONNECTION_LOST);
	EXPECT_EQ(fixture.take_one().type, AUB_ACTION_UNKNOWN);
	EXPECT_EQ(aub_dispatcher_pending(fixture.d), 0u);
}

TEST(Dispatch, RetriesNonIdempotentRequestThatProvablyDidNotRun)
{
	DispatchFixture fixture;
	fixture.warm();
	fixture.arrive(1, true, 100);
	auto first = fixture.take_one();
	fixture.done(first, AUB_ATTEMPT_NOT_CONNECTED);
	auto second = fixture.take_one();
	EXPECT_EQ(second.type, AUB_ACTION_SEND);
	EXPECT_NE(second.upstream, first.upstream);
	fixture.done(second, AUB_ATTEMPT_SHED);
	EXPECT_EQ(fixture.take_one().type, AUB_ACTION_SEND);
}

TEST(Dispatch, RetriesIdempotentRequestWithinItsBudget)
{
	DispatchFixture fixture;
	fixture.warm();
	fixture.arrive(1, false, 100);
	auto first = fixture.take_one();
	fixture.done(first, AUB_ATTEMPT_CONNECTION_LOST);
	auto second = fixture.take_one();
	ASSERT_EQ(second.type, AUB_ACTION_SEND);
	EXPECT_NE(second.upstream, first.upstream);
	fixture.done(second, AUB_ATTEMPT_CONNECTION_LOST);
	EXPECT_EQ(fixture.take_one().type, AUB_ACTION_UNKNOWN);
}

/*
 * All upstreams shed. Retries are limited to a share of the requests, so that
 * they do not add to the overload of a service.
 */
TEST(Dispatch, LimitsRetriesToShareOfRequests)
{
	fixture_options options;
	options.upstreams = 10;
	DispatchFixture fixture(options);
	struct aub_dispatch_counts before;
	struct aub_dispatch_counts counts;
	fixture.warm();
	aub_dispatcher_counts(fixture.d, &before);
	for (guint64 id = 1; id <= 1000; id++) {
		fixture.arrive(id, false, 500);
		for (auto list = fixture.take(); !list.empty();
		     list = fixture.take())
			for (const auto &action : list)
				if (action.type == AUB_ACTION_SEND)
					fixture.done(action, AUB_ATTEMPT_SHED);
		fixture.advance_time(AUB_SECOND);
	}
	aub_dispatcher_counts(fixture.d, &counts);
	EXPECT_LE(counts.sent - before.sent, 1200u);
	EXPECT_EQ(counts.refused - before.refused, 1000u);
}

TEST(Dispatch, KeepsSlotOfAbandonedRequestUntilCancellationIsReported)
{
	fixture_options options;
	options.upstreams = 1;
	DispatchFixture fixture(options);
	fixture.warm();
	fixture.arrive(1);
	fixture.arrive(2);
	auto sent = fixture.take();
	aub_dispatcher_abandon(fixture.d, 1, fixture.now);
	EXPECT_EQ(fixture.take_one().type, AUB_ACTION_CANCEL);
	fixture.arrive(3);
	EXPECT_TRUE(fixture.take().empty());
	fixture.done(sent[0], AUB_ATTEMPT_CANCELLED);
	EXPECT_EQ(fixture.take_one().request, 3u);
}

/*
 * An upstream restarts, which its new boot id shows. It gets its cold share
 * until cold_ms have passed, although it reports that it is warm immediately.
 */
TEST(Dispatch, LimitsRestartedUpstreamToColdShareUntilWarm)
{
	fixture_options options;
	options.upstreams = 1;
	options.slots = 6;
	options.cold_slots = 2;
	DispatchFixture fixture(options);
	fixture.warm();
	for (guint64 id = 1; id <= 12; id++)
		fixture.arrive(id);
	auto sent = fixture.take();
	ASSERT_EQ(sent.size(), 6u);
	for (guint i = 0; i < 4; i++) {
		fixture.done(sent[i], AUB_ATTEMPT_ANSWERED, 2);
		EXPECT_EQ(count(fixture.take(), AUB_ACTION_SEND), 0u);
	}
	EXPECT_TRUE(status(fixture, 0).cold);
	fixture.done(sent[4], AUB_ATTEMPT_ANSWERED, 2);
	auto next = fixture.take();
	EXPECT_EQ(count(next, AUB_ACTION_SEND), 1u);
	EXPECT_EQ(status(fixture, 0).in_flight, 2u);
	fixture.advance_time(999 * AUB_MS);
	EXPECT_EQ(status(fixture, 0).allowed, 2u);
	fixture.advance_time(AUB_MS);
	for (guint i = 0; i < 4; i++) {
		for (const auto &action : next)
			if (action.type == AUB_ACTION_SEND)
				fixture.done(action, AUB_ATTEMPT_ANSWERED, 2);
		next = fixture.take();
	}
	fixture.arrive(30);
	EXPECT_GE(status(fixture, 0).allowed, 4u);
}

TEST(Dispatch, LimitsUpstreamWhileItReportsCold)
{
	fixture_options options;
	options.upstreams = 1;
	options.slots = 4;
	DispatchFixture fixture(options);
	fixture.arrive(1);
	fixture.done(fixture.take_one(), AUB_ATTEMPT_ANSWERED, 1, true);
	fixture.take();
	fixture.now += 5 * AUB_SECOND;
	fixture.arrive(2);
	fixture.done(fixture.take_one(), AUB_ATTEMPT_ANSWERED, 1, true);
	fixture.take();
	EXPECT_EQ(status(fixture, 0).allowed, 1u);
	for (guint64 id = 3; id < 6; id++) {
		fixture.arrive(id);
		fixture.done(fixture.take_one(), AUB_ATTEMPT_ANSWERED, 1,
			     false);
		fixture.take();
	}
	EXPECT_EQ(status(fixture, 0).allowed, 4u);
	EXPECT_FALSE(status(fixture, 0).cold);
}

/*
 * A caller disconnects, its attempt on a cold upstream is cancelled, and
 * another request is queued. If that were sent immediately, it would arrive
 * before the upstream has noticed the cancellation, and overload it.
 */
TEST(Dispatch, DelaysNextAttemptOnColdUpstreamAfterCancellation)
{
	fixture_options options;
	options.upstreams = 1;
	options.slots = 4;
	DispatchFixture fixture(options);
	fixture.arrive(1);
	fixture.done(fixture.take_one(), AUB_ATTEMPT_ANSWERED, 1, true);
	fixture.take();
	fixture.arrive(2);
	auto sent = fixture.take_one();
	ASSERT_EQ(sent.type, AUB_ACTION_SEND);
	aub_dispatcher_abandon(fixture.d, 2, fixture.now);
	fixture.take();
	fixture.done(sent, AUB_ATTEMPT_CANCELLED);
	fixture.arrive(3);
	EXPECT_EQ(count(fixture.take(), AUB_ACTION_SEND), 0u);
	EXPECT_LE(aub_dispatcher_next_wakeup_us(fixture.d),
		  fixture.now + 100 * AUB_MS);
	fixture.advance_time(100 * AUB_MS);
	EXPECT_EQ(count(fixture.take(), AUB_ACTION_SEND), 1u);
}

TEST(Dispatch, LimitsUpstreamAfterLostConnectionUntilNextAnswer)
{
	fixture_options options;
	options.upstreams = 1;
	options.slots = 6;
	DispatchFixture fixture(options);
	fixture.warm();
	fixture.arrive(1, true);
	fixture.done(fixture.take_one(), AUB_ATTEMPT_CONNECTION_LOST);
	fixture.take();
	EXPECT_EQ(status(fixture, 0).allowed, 1u);
	fixture.arrive(2);
	fixture.done(fixture.take_one());
	fixture.take();
	EXPECT_EQ(status(fixture, 0).allowed, 6u);
}

/*
 * A new owner does not know which requests of the previous owner are in flight.
 * During the takeover grace it uses half of the warm slots and no cold or
 * unknown upstreams.
 */
TEST(Dispatch, NewOwnerUsesHalfOfWarmSlotsDuringTakeoverGrace)
{
	fixture_options options;
	options.slots = 6;
	options.probe_budget_us = 1000000;
	DispatchFixture fixture(options, false);
	aub_dispatcher_set_role(fixture.d, AUB_DISPATCH_OWNER, 500 * AUB_MS,
				fixture.now);
	for (guint64 id = 1; id <= 30; id++)
		fixture.arrive(id);
	EXPECT_EQ(count(fixture.take(), AUB_ACTION_SEND), 0u);
	fixture.advance_time(10 * AUB_MS);
	auto probes = fixture.take();
	ASSERT_EQ(count(probes, AUB_ACTION_PROBE), 3u);
	fixture.probe_done(probes[0]);
	EXPECT_EQ(count(fixture.take(), AUB_ACTION_SEND), 1u);
	EXPECT_LE(aub_dispatcher_next_wakeup_us(fixture.d),
		  fixture.now + 500 * AUB_MS);
	fixture.advance_time(500 * AUB_MS);
	EXPECT_EQ(count(fixture.take(), AUB_ACTION_SEND), 2u);
}

/*
 * An owner fails. Its stand-by received the state of the upstreams a moment ago
 * and sends immediately: to half of the slots of warm upstreams, and nothing to
 * cold ones. State older than one second is not used.
 */
TEST(Dispatch, StandbyUsesRecentlyImportedUpstreamState)
{
	fixture_options options;
	options.slots = 4;
	DispatchFixture owner(options);
	DispatchFixture fixture(options, false);
	struct aub_upstream_snapshot list[8];
	owner.warm();
	owner.arrive(1);
	auto sent = owner.take_one();
	owner.done(sent, AUB_ATTEMPT_ANSWERED, 9);
	guint known =
		aub_dispatcher_export_upstreams(owner.d, list, 8, owner.now);
	ASSERT_EQ(known, 3u);
	for (guint i = 0; i < known; i++)
		aub_dispatcher_import_upstream(fixture.d, &list[i],
					       fixture.now);
	fixture.now += 250 * AUB_MS;
	aub_dispatcher_set_role(fixture.d, AUB_DISPATCH_STANDBY, 0,
				fixture.now);
	for (guint64 id = 1; id <= 20; id++)
		fixture.arrive(id);
	auto list_sent = fixture.take();
	EXPECT_EQ(count(list_sent, AUB_ACTION_SEND), 4u);
	for (const auto &action : list_sent)
		EXPECT_NE(action.upstream, sent.upstream);

	DispatchFixture late(options, false);
	for (guint i = 0; i < known; i++)
		aub_dispatcher_import_upstream(late.d, &list[i], late.now);
	late.now += 2 * AUB_SECOND;
	aub_dispatcher_set_role(late.d, AUB_DISPATCH_STANDBY, 0, late.now);
	late.arrive(1);
	EXPECT_EQ(count(late.take(), AUB_ACTION_SEND), 0u);
}

TEST(Dispatch, StandbyUsesHalfOfWarmSlotsAndNoColdUpstreams)
{
	fixture_options options;
	options.upstreams = 2;
	options.slots = 4;
	DispatchFixture fixture(options);
	fixture.warm();
	aub_dispatcher_set_role(fixture.d, AUB_DISPATCH_STANDBY, 0,
				fixture.now);
	fixture.arrive(100);
	auto sent = fixture.take_one();
	fixture.done(sent, AUB_ATTEMPT_ANSWERED, 9);
	fixture.take();
	for (guint64 id = 1; id <= 20; id++)
		fixture.arrive(id);
	auto list = fixture.take();
	EXPECT_EQ(count(list, AUB_ACTION_SEND), 2u);
	for (const auto &action : list)
		EXPECT_NE(action.upstream, sent.upstream);
}

TEST(Dispatch, RefusesQueuedRequestsWhenRoleIsLost)
{
	DispatchFixture fixture;
	fixture.warm();
	for (guint64 id = 1; id <= 8; id++)
		fixture.arrive(id);
	fixture.take();
	aub_dispatcher_set_role(fixture.d, AUB_DISPATCH_NONE, 0, fixture.now);
	auto list = fixture.take();
	ASSERT_EQ(list.size(), 2u);
	EXPECT_EQ(list[0].refusal, AUB_REFUSAL_NOT_OWNER);
	EXPECT_EQ(aub_dispatcher_pending(fixture.d), 6u);
}

TEST(Dispatch, ZoneThatIsOutGetsNoNewRequestsAndFinishesRunningOnes)
{
	DispatchFixture fixture;
	fixture.warm();
	for (guint64 id = 1; id <= 6; id++)
		fixture.arrive(id);
	auto sent = fixture.take();
	fixture.options.out = 7 - 1;
	fixture.configure();
	for (guint64 id = 7; id <= 12; id++)
		fixture.arrive(id);
	for (const auto &action : sent)
		fixture.done(action);
	auto list = fixture.take();
	EXPECT_EQ(count(list, AUB_ACTION_DELIVER), 6u);
	for (const auto &action : list)
		if (action.type == AUB_ACTION_SEND) {
			EXPECT_EQ(action.upstream, 0u);
		}
	fixture.options.out = 0;
	fixture.configure();
	EXPECT_EQ(status(fixture, 1).allowed, 1u);
}

TEST(Dispatch, RemovedUpstreamFinishesRunningRequests)
{
	DispatchFixture fixture;
	fixture.warm();
	for (guint64 id = 1; id <= 6; id++)
		fixture.arrive(id);
	auto sent = fixture.take();
	fixture.options.upstreams = 1;
	fixture.configure();
	fixture.take();
	for (const auto &action : sent)
		fixture.done(action);
	EXPECT_EQ(count(fixture.take(), AUB_ACTION_DELIVER), 6u);
	fixture.configure();
	EXPECT_EQ(status(fixture, 0).in_flight, 0u);
}

TEST(Dispatch, DrainingUpstreamGetsNoNewRequestsAndRefusalIsRetriedElsewhere)
{
	DispatchFixture fixture;
	fixture.warm();
	fixture.arrive(1, true, 0);
	auto first = fixture.take_one();
	fixture.done(first, AUB_ATTEMPT_SHED, 1, false, false, true);
	auto second = fixture.take_one();
	ASSERT_EQ(second.type, AUB_ACTION_SEND);
	for (guint64 id = 2; id <= 9; id++)
		fixture.arrive(id);
	for (const auto &action : fixture.take())
		EXPECT_NE(action.upstream, first.upstream);
}

TEST(Dispatch, ProbesOnlyUpstreamsWithoutTrafficAndWithinBudget)
{
	fixture_options options;
	options.upstreams = 12;
	options.probe_budget_us = 60000;
	options.probe_cost_us = 6000;
	DispatchFixture fixture(options);
	struct aub_dispatch_counts counts;
	guint64 before = 0;
	for (int second = 0; second < 20; second++) {
		for (int tick = 0; tick < 1000; tick++) {
			fixture.advance_time(AUB_MS);
			for (const auto &action : fixture.take())
				if (action.type == AUB_ACTION_PROBE)
					fixture.probe_done(action,
							   second % 3 != 0);
		}
		aub_dispatcher_counts(fixture.d, &counts);
		EXPECT_LE(counts.probe_us - before, 30000u);
		before = counts.probe_us;
	}
	EXPECT_GT(counts.probes, 12u);
	fixture.warm();
	fixture.warm();
	aub_dispatcher_counts(fixture.d, &counts);
	before = counts.probes;
	for (int round = 0; round < 200; round++)
		fixture.warm();
	aub_dispatcher_counts(fixture.d, &counts);
	EXPECT_EQ(counts.probes, before);
}

TEST(Dispatch, StoppingRefusesNewRequestsAndFinishesQueuedOnes)
{
	DispatchFixture fixture;
	fixture.warm();
	for (guint64 id = 1; id <= 7; id++)
		fixture.arrive(id);
	auto sent = fixture.take();
	aub_dispatcher_stop(fixture.d, fixture.now);
	fixture.arrive(8);
	EXPECT_EQ(fixture.take_one().refusal, AUB_REFUSAL_STOPPING);
	fixture.done(sent[0]);
	EXPECT_EQ(count(fixture.take(), AUB_ACTION_SEND), 1u);
}

TEST(Dispatch, BaselinesSendImmediately)
{
	for (int policy = AUB_POLICY_RANDOM; policy <= AUB_POLICY_TWO_CHOICES;
	     policy++) {
		fixture_options options;
		options.policy = (enum aub_policy)policy;
		DispatchFixture fixture(options, false);
		for (guint64 id = 1; id <= 50; id++)
			fixture.arrive(id);
		EXPECT_EQ(count(fixture.take(), AUB_ACTION_SEND), 50u);
		EXPECT_EQ(aub_policy_parse(aub_policy_name(options.policy)),
			  policy);
	}
}

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
	fixture.warm_up();
	for (guint64 id = 1; id <= 8; id++)
		fixture.submit(id);
	auto sent = fixture.take_actions();
	ASSERT_EQ(sent.size(), 6u);
	EXPECT_EQ(aub_dispatcher_queued(fixture.dispatcher), 2u);
	fixture.attempt_done(sent[0]);
	auto next = fixture.take_actions();
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
	fixture.warm_up();
	for (guint64 id = 1; id <= 3; id++)
		fixture.submit(id);
	for (const auto &action : fixture.take_actions())
		used.insert(action.upstream);
	EXPECT_EQ(used.size(), 3u);
}

TEST(Dispatch, RefusesWithRetryAfterWhenQueueIsFull)
{
	fixture_options options;
	options.queue_limit = 2;
	DispatchFixture fixture(options);
	fixture.warm_up();
	for (guint64 id = 1; id <= 8; id++)
		fixture.submit(id);
	fixture.take_actions();
	fixture.submit(9);
	auto action = fixture.take_one();
	EXPECT_EQ(action.type, AUB_ACTION_REFUSE);
	EXPECT_EQ(action.refusal, AUB_REFUSAL_QUEUE_FULL);
	EXPECT_GE(action.retry_after_ms, 1u);
}

TEST(Dispatch, RefusesOnArrivalWhenDeadlineCannotBeMet)
{
	DispatchFixture fixture;
	fixture.warm_up(20 * AUB_MS);
	for (guint64 id = 1; id <= 20; id++)
		fixture.submit(id);
	fixture.take_actions();
	fixture.submit(21, false, 0, 50 * AUB_MS);
	auto action = fixture.take_one();
	EXPECT_EQ(action.type, AUB_ACTION_REFUSE);
	EXPECT_EQ(action.refusal, AUB_REFUSAL_DEADLINE_UNREACHABLE);
}

TEST(Dispatch, RefusesQueuedRequestWhenDeadlineExpires)
{
	DispatchFixture fixture;
	fixture.warm_up();
	for (guint64 id = 1; id <= 7; id++)
		fixture.submit(id, false, 0, AUB_SECOND);
	fixture.take_actions();
	EXPECT_LE(aub_dispatcher_next_wakeup_us(fixture.dispatcher),
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
	fixture.warm_up();
	fixture.submit(1, true, 500);
	fixture.attempt_done(fixture.take_one(), AUB_ATTEMPT_CONNECTION_LOST);
	EXPECT_EQ(fixture.take_one().type, AUB_ACTION_UNKNOWN);
	EXPECT_EQ(aub_dispatcher_pending(fixture.dispatcher), 0u);
}

TEST(Dispatch, RetriesNonIdempotentRequestThatProvablyDidNotRun)
{
	DispatchFixture fixture;
	fixture.warm_up();
	fixture.submit(1, true, 100);
	auto first = fixture.take_one();
	fixture.attempt_done(first, AUB_ATTEMPT_NOT_CONNECTED);
	auto second = fixture.take_one();
	EXPECT_EQ(second.type, AUB_ACTION_SEND);
	EXPECT_NE(second.upstream, first.upstream);
	fixture.attempt_done(second, AUB_ATTEMPT_SHED);
	EXPECT_EQ(fixture.take_one().type, AUB_ACTION_SEND);
}

TEST(Dispatch, RetriesIdempotentRequestWithinItsBudget)
{
	DispatchFixture fixture;
	fixture.warm_up();
	fixture.submit(1, false, 100);
	auto first = fixture.take_one();
	fixture.attempt_done(first, AUB_ATTEMPT_CONNECTION_LOST);
	auto second = fixture.take_one();
	ASSERT_EQ(second.type, AUB_ACTION_SEND);
	EXPECT_NE(second.upstream, first.upstream);
	fixture.attempt_done(second, AUB_ATTEMPT_CONNECTION_LOST);
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
	fixture.warm_up();
	aub_dispatcher_counts(fixture.dispatcher, &before);
	for (guint64 id = 1; id <= 1000; id++) {
		fixture.submit(id, false, 500);
		for (auto list = fixture.take_actions(); !list.empty();
		     list = fixture.take_actions())
			for (const auto &action : list)
				if (action.type == AUB_ACTION_SEND)
					fixture.attempt_done(action,
							     AUB_ATTEMPT_SHED);
		fixture.advance_time(AUB_SECOND);
	}
	aub_dispatcher_counts(fixture.dispatcher, &counts);
	EXPECT_LE(counts.sent - before.sent, 1200u);
	EXPECT_EQ(counts.refused - before.refused, 1000u);
}

TEST(Dispatch, KeepsSlotOfAbandonedRequestUntilCancellationIsReported)
{
	fixture_options options;
	options.upstreams = 1;
	DispatchFixture fixture(options);
	fixture.warm_up();
	fixture.submit(1);
	fixture.submit(2);
	auto sent = fixture.take_actions();
	aub_dispatcher_abandon(fixture.dispatcher, 1, fixture.now);
	EXPECT_EQ(fixture.take_one().type, AUB_ACTION_CANCEL);
	fixture.submit(3);
	EXPECT_TRUE(fixture.take_actions().empty());
	fixture.attempt_done(sent[0], AUB_ATTEMPT_CANCELLED);
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
	fixture.warm_up();
	for (guint64 id = 1; id <= 12; id++)
		fixture.submit(id);
	auto sent = fixture.take_actions();
	ASSERT_EQ(sent.size(), 6u);
	for (guint i = 0; i < 4; i++) {
		fixture.attempt_done(sent[i], AUB_ATTEMPT_ANSWERED, 2);
		EXPECT_EQ(count(fixture.take_actions(), AUB_ACTION_SEND), 0u);
	}
	EXPECT_TRUE(status(fixture, 0).cold);
	fixture.attempt_done(sent[4], AUB_ATTEMPT_ANSWERED, 2);
	auto next = fixture.take_actions();
	EXPECT_EQ(count(next, AUB_ACTION_SEND), 1u);
	EXPECT_EQ(status(fixture, 0).in_flight, 2u);
	fixture.advance_time(999 * AUB_MS);
	EXPECT_EQ(status(fixture, 0).allowed, 2u);
	fixture.advance_time(AUB_MS);
	for (guint i = 0; i < 4; i++) {
		for (const auto &action : next)
			if (action.type == AUB_ACTION_SEND)
				fixture.attempt_done(action,
						     AUB_ATTEMPT_ANSWERED, 2);
		next = fixture.take_actions();
	}
	fixture.submit(30);
	EXPECT_GE(status(fixture, 0).allowed, 4u);
}

TEST(Dispatch, LimitsUpstreamWhileItReportsCold)
{
	fixture_options options;
	options.upstreams = 1;
	options.slots = 4;
	DispatchFixture fixture(options);
	fixture.submit(1);
	fixture.attempt_done(fixture.take_one(), AUB_ATTEMPT_ANSWERED, 1, true);
	fixture.take_actions();
	fixture.now += 5 * AUB_SECOND;
	fixture.submit(2);
	fixture.attempt_done(fixture.take_one(), AUB_ATTEMPT_ANSWERED, 1, true);
	fixture.take_actions();
	EXPECT_EQ(status(fixture, 0).allowed, 1u);
	for (guint64 id = 3; id < 6; id++) {
		fixture.submit(id);
		fixture.attempt_done(fixture.take_one(), AUB_ATTEMPT_ANSWERED,
				     1, false);
		fixture.take_actions();
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
	fixture.submit(1);
	fixture.attempt_done(fixture.take_one(), AUB_ATTEMPT_ANSWERED, 1, true);
	fixture.take_actions();
	fixture.submit(2);
	auto sent = fixture.take_one();
	ASSERT_EQ(sent.type, AUB_ACTION_SEND);
	aub_dispatcher_abandon(fixture.dispatcher, 2, fixture.now);
	fixture.take_actions();
	fixture.attempt_done(sent, AUB_ATTEMPT_CANCELLED);
	fixture.submit(3);
	EXPECT_EQ(count(fixture.take_actions(), AUB_ACTION_SEND), 0u);
	EXPECT_LE(aub_dispatcher_next_wakeup_us(fixture.dispatcher),
		  fixture.now + 100 * AUB_MS);
	fixture.advance_time(100 * AUB_MS);
	EXPECT_EQ(count(fixture.take_actions(), AUB_ACTION_SEND), 1u);
}

TEST(Dispatch, LimitsUpstreamAfterLostConnectionUntilNextAnswer)
{
	fixture_options options;
	options.upstreams = 1;
	options.slots = 6;
	DispatchFixture fixture(options);
	fixture.warm_up();
	fixture.submit(1, true);
	fixture.attempt_done(fixture.take_one(), AUB_ATTEMPT_CONNECTION_LOST);
	fixture.take_actions();
	EXPECT_EQ(status(fixture, 0).allowed, 1u);
	fixture.submit(2);
	fixture.attempt_done(fixture.take_one());
	fixture.take_actions();
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
	aub_dispatcher_set_role(fixture.dispatcher, AUB_DISPATCH_OWNER,
				500 * AUB_MS, fixture.now);
	for (guint64 id = 1; id <= 30; id++)
		fixture.submit(id);
	EXPECT_EQ(count(fixture.take_actions(), AUB_ACTION_SEND), 0u);
	fixture.advance_time(10 * AUB_MS);
	auto probes = fixture.take_actions();
	ASSERT_EQ(count(probes, AUB_ACTION_PROBE), 3u);
	fixture.probe_done(probes[0]);
	EXPECT_EQ(count(fixture.take_actions(), AUB_ACTION_SEND), 1u);
	EXPECT_LE(aub_dispatcher_next_wakeup_us(fixture.dispatcher),
		  fixture.now + 500 * AUB_MS);
	fixture.advance_time(500 * AUB_MS);
	EXPECT_EQ(count(fixture.take_actions(), AUB_ACTION_SEND), 2u);
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
	owner.warm_up();
	owner.submit(1);
	auto sent = owner.take_one();
	owner.attempt_done(sent, AUB_ATTEMPT_ANSWERED, 9);
	guint exported = aub_dispatcher_export_upstreams(owner.dispatcher, list,
							 8, owner.now);
	ASSERT_EQ(exported, 3u);
	for (guint i = 0; i < exported; i++)
		aub_dispatcher_import_upstream(fixture.dispatcher, &list[i],
					       fixture.now);
	fixture.now += 250 * AUB_MS;
	aub_dispatcher_set_role(fixture.dispatcher, AUB_DISPATCH_STANDBY, 0,
				fixture.now);
	for (guint64 id = 1; id <= 20; id++)
		fixture.submit(id);
	auto list_sent = fixture.take_actions();
	EXPECT_EQ(count(list_sent, AUB_ACTION_SEND), 4u);
	for (const auto &action : list_sent)
		EXPECT_NE(action.upstream, sent.upstream);

	DispatchFixture late(options, false);
	for (guint i = 0; i < exported; i++)
		aub_dispatcher_import_upstream(late.dispatcher, &list[i],
					       late.now);
	late.now += 2 * AUB_SECOND;
	aub_dispatcher_set_role(late.dispatcher, AUB_DISPATCH_STANDBY, 0,
				late.now);
	late.submit(1);
	EXPECT_EQ(count(late.take_actions(), AUB_ACTION_SEND), 0u);
}

TEST(Dispatch, StandbyUsesHalfOfWarmSlotsAndNoColdUpstreams)
{
	fixture_options options;
	options.upstreams = 2;
	options.slots = 4;
	DispatchFixture fixture(options);
	fixture.warm_up();
	aub_dispatcher_set_role(fixture.dispatcher, AUB_DISPATCH_STANDBY, 0,
				fixture.now);
	fixture.submit(100);
	auto sent = fixture.take_one();
	fixture.attempt_done(sent, AUB_ATTEMPT_ANSWERED, 9);
	fixture.take_actions();
	for (guint64 id = 1; id <= 20; id++)
		fixture.submit(id);
	auto list = fixture.take_actions();
	EXPECT_EQ(count(list, AUB_ACTION_SEND), 2u);
	for (const auto &action : list)
		EXPECT_NE(action.upstream, sent.upstream);
}

TEST(Dispatch, RefusesQueuedRequestsWhenRoleIsLost)
{
	DispatchFixture fixture;
	fixture.warm_up();
	for (guint64 id = 1; id <= 8; id++)
		fixture.submit(id);
	fixture.take_actions();
	aub_dispatcher_set_role(fixture.dispatcher, AUB_DISPATCH_NONE, 0,
				fixture.now);
	auto list = fixture.take_actions();
	ASSERT_EQ(list.size(), 2u);
	EXPECT_EQ(list[0].refusal, AUB_REFUSAL_NOT_OWNER);
	EXPECT_EQ(aub_dispatcher_pending(fixture.dispatcher), 6u);
}

TEST(Dispatch, ZoneThatIsOutGetsNoNewRequestsAndFinishesRunningOnes)
{
	DispatchFixture fixture;
	fixture.warm_up();
	for (guint64 id = 1; id <= 6; id++)
		fixture.submit(id);
	auto sent = fixture.take_actions();
	fixture.options.out = 7 - 1;
	fixture.configure();
	for (guint64 id = 7; id <= 12; id++)
		fixture.submit(id);
	for (const auto &action : sent)
		fixture.attempt_done(action);
	auto list = fixture.take_actions();
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
	fixture.warm_up();
	for (guint64 id = 1; id <= 6; id++)
		fixture.submit(id);
	auto sent = fixture.take_actions();
	fixture.options.upstreams = 1;
	fixture.configure();
	fixture.take_actions();
	for (const auto &action : sent)
		fixture.attempt_done(action);
	EXPECT_EQ(count(fixture.take_actions(), AUB_ACTION_DELIVER), 6u);
	fixture.configure();
	EXPECT_EQ(status(fixture, 0).in_flight, 0u);
}

TEST(Dispatch, DrainingUpstreamGetsNoNewRequestsAndRefusalIsRetriedElsewhere)
{
	DispatchFixture fixture;
	fixture.warm_up();
	fixture.submit(1, true, 0);
	auto first = fixture.take_one();
	fixture.attempt_done(first, AUB_ATTEMPT_SHED, 1, false, false, true);
	auto second = fixture.take_one();
	ASSERT_EQ(second.type, AUB_ACTION_SEND);
	for (guint64 id = 2; id <= 9; id++)
		fixture.submit(id);
	for (const auto &action : fixture.take_actions())
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
			for (const auto &action : fixture.take_actions())
				if (action.type == AUB_ACTION_PROBE)
					fixture.probe_done(action,
							   second % 3 != 0);
		}
		aub_dispatcher_counts(fixture.dispatcher, &counts);
		EXPECT_LE(counts.probe_us - before, 30000u);
		before = counts.probe_us;
	}
	EXPECT_GT(counts.probes, 12u);
	fixture.warm_up();
	fixture.warm_up();
	aub_dispatcher_counts(fixture.dispatcher, &counts);
	before = counts.probes;
	for (int round = 0; round < 200; round++)
		fixture.warm_up();
	aub_dispatcher_counts(fixture.dispatcher, &counts);
	EXPECT_EQ(counts.probes, before);
}

TEST(Dispatch, StoppingRefusesNewRequestsAndFinishesQueuedOnes)
{
	DispatchFixture fixture;
	fixture.warm_up();
	for (guint64 id = 1; id <= 7; id++)
		fixture.submit(id);
	auto sent = fixture.take_actions();
	aub_dispatcher_stop(fixture.dispatcher, fixture.now);
	fixture.submit(8);
	EXPECT_EQ(fixture.take_one().refusal, AUB_REFUSAL_STOPPING);
	fixture.attempt_done(sent[0]);
	EXPECT_EQ(count(fixture.take_actions(), AUB_ACTION_SEND), 1u);
}

TEST(Dispatch, BaselinesSendImmediately)
{
	for (int policy = AUB_POLICY_RANDOM; policy <= AUB_POLICY_TWO_CHOICES;
	     policy++) {
		fixture_options options;
		options.policy = (enum aub_policy)policy;
		DispatchFixture fixture(options, false);
		for (guint64 id = 1; id <= 50; id++)
			fixture.submit(id);
		EXPECT_EQ(count(fixture.take_actions(), AUB_ACTION_SEND), 50u);
		EXPECT_EQ(aub_policy_parse(aub_policy_name(options.policy)),
			  policy);
	}
}

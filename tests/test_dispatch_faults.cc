/*
 * Reactions of the dispatcher to faulty upstreams and to requests that crash
 * them.
 */
#include <gtest/gtest.h>

#include "dispatch_fixture.h"

#include <map>

/*
 * One upstream answers every request with an immediate error. Since it is
 * always idle, it would attract most of the traffic; it has to be ejected after
 * a few errors.
 */
TEST(DispatchFaults, EjectsUpstreamThatFailsFast)
{
	DispatchFixture fixture;
	std::map<guint16, guint> failures;
	fixture.warm_up();
	for (guint64 id = 1; id <= 600; id++) {
		fixture.submit(id);
		if (id % 6)
			continue;
		for (const auto &action : fixture.take_actions()) {
			bool bad = action.upstream == 0;

			if (action.type != AUB_ACTION_SEND)
				continue;
			failures[action.upstream]++;
			fixture.now += bad ? 100 : 400;
			fixture.attempt_done(action, AUB_ATTEMPT_ANSWERED, 1,
					     false, bad);
		}
	}
	EXPECT_LT(failures[0], 20u);
	EXPECT_TRUE(status(fixture, 0).suspect);
}

TEST(DispatchFaults, EjectsNoneWhenAllUpstreamsFail)
{
	DispatchFixture fixture;
	struct aub_dispatch_counts counts;
	fixture.warm_up();
	for (guint64 id = 1; id <= 300; id++) {
		fixture.submit(id);
		fixture.now += 1000;
		fixture.attempt_done(fixture.take_one(), AUB_ATTEMPT_ANSWERED,
				     1, false, true);
		fixture.take_actions();
	}
	aub_dispatcher_counts(fixture.dispatcher, &counts);
	EXPECT_EQ(counts.ejections, 0u);
}

TEST(DispatchFaults, SelectsOverdueUpstreamLast)
{
	DispatchFixture fixture;
	fixture.warm_up(10 * AUB_MS);
	fixture.submit(1);
	auto slow = fixture.take_one();
	fixture.now += 100 * AUB_MS;
	for (guint64 id = 2; id <= 5; id++)
		fixture.submit(id);
	for (const auto &action : fixture.take_actions())
		EXPECT_NE(action.upstream, slow.upstream);
	EXPECT_TRUE(status(fixture, slow.upstream).suspect);
}

TEST(DispatchFaults, HedgesLateIdempotentRequestAndCancelsSlowerAttempt)
{
	fixture_options options;
	options.hedge_percent = 20;
	DispatchFixture fixture(options);
	fixture.warm_up(10 * AUB_MS);
	fixture.submit(1);
	auto first = fixture.take_one();
	ASSERT_LT(aub_dispatcher_next_wakeup_us(fixture.dispatcher),
		  fixture.now + 100 * AUB_MS);
	fixture.now = aub_dispatcher_next_wakeup_us(fixture.dispatcher);
	aub_dispatcher_tick(fixture.dispatcher, fixture.now);
	auto hedge = fixture.take_one();
	ASSERT_EQ(hedge.type, AUB_ACTION_SEND);
	EXPECT_TRUE(hedge.hedge);
	EXPECT_NE(hedge.upstream, first.upstream);
	fixture.attempt_done(hedge);
	auto list = fixture.take_actions();
	ASSERT_EQ(list.size(), 2u);
	EXPECT_EQ(list[0].type, AUB_ACTION_DELIVER);
	EXPECT_EQ(list[0].attempt, hedge.attempt);
	EXPECT_EQ(list[1].type, AUB_ACTION_CANCEL);
	fixture.attempt_done(first, AUB_ATTEMPT_CANCELLED);
	EXPECT_EQ(aub_dispatcher_pending(fixture.dispatcher), 0u);
}

TEST(DispatchFaults, NeverHedgesNonIdempotentRequest)
{
	fixture_options options;
	options.hedge_percent = 20;
	DispatchFixture fixture(options);
	fixture.warm_up(10 * AUB_MS);
	fixture.submit(1, true);
	fixture.take_one();
	fixture.advance_time(AUB_SECOND);
	EXPECT_TRUE(fixture.take_actions().empty());
}

/*
 * A request crashes every upstream that runs it, and its caller repeats it.
 * After two crashes it is refused immediately as not run, while a request that
 * ran concurrently both times is still accepted.
 */
TEST(DispatchFaults, RefusesRequestAfterTwoUpstreamCrashes)
{
	DispatchFixture fixture;
	fixture.warm_up();
	guint crashes = 0;
	fixture.submit(50, false, 0, 5 * AUB_SECOND, 77);
	fixture.attempt_done(fixture.take_one());
	fixture.take_actions();
	for (guint64 id = 1; id <= 10; id++) {
		fixture.submit(id, false, 100, 5 * AUB_SECOND, 666);
		for (auto list = fixture.take_actions(); !list.empty();
		     list = fixture.take_actions())
			for (const auto &action : list)
				if (action.type == AUB_ACTION_SEND) {
					crashes++;
					fixture.attempt_done(
						action,
						AUB_ATTEMPT_CONNECTION_LOST);
				}
	}
	EXPECT_EQ(crashes, 2u);
	fixture.submit(20, false, 100, 5 * AUB_SECOND, 666);
	auto action = fixture.take_one();
	EXPECT_EQ(action.type, AUB_ACTION_REFUSE);
	EXPECT_EQ(action.refusal, AUB_REFUSAL_CRASHES_UPSTREAMS);
	fixture.submit(21, false, 100, 5 * AUB_SECOND, 77);
	EXPECT_EQ(fixture.take_one().type, AUB_ACTION_SEND);
}

/*
 * Crashes are confirmed by a new boot id and can be imported by other entries.
 */
TEST(DispatchFaults, ConfirmsCrashMarksByBootIdAndImportsThem)
{
	DispatchFixture fixture;
	DispatchFixture other;
	std::map<guint16, guint64> boots = { { 0, 1 }, { 1, 1 }, { 2, 1 } };
	fixture.warm_up();
	for (guint64 id = 1; id <= 2; id++) {
		fixture.submit(id, true, 0, 5 * AUB_SECOND, 666);
		auto sent = fixture.take_one();
		fixture.attempt_done(sent, AUB_ATTEMPT_CONNECTION_LOST);
		fixture.take_actions();
		fixture.now += 3 * AUB_SECOND;
		boots[sent.upstream]++;
		for (guint64 n = 0; n < 6; n++)
			fixture.submit(100 * id + n);
		fixture.answer_all(boots);
	}
	struct aub_crash_mark marks[4];
	ASSERT_EQ(aub_dispatcher_export_crash_marks(fixture.dispatcher, marks,
						    4, fixture.now),
		  1u);
	EXPECT_EQ(marks[0].fingerprint, 666u);
	EXPECT_EQ(marks[0].crash_count, 2u);
	aub_dispatcher_import_crash_mark(other.dispatcher, &marks[0],
					 other.now);
	other.submit(1, true, 0, 5 * AUB_SECOND, 666);
	EXPECT_EQ(other.take_one().refusal, AUB_REFUSAL_CRASHES_UPSTREAMS);
}

TEST(DispatchFaults, LostConnectionsOfRunningUpstreamMarkNoRequest)
{
	DispatchFixture fixture;
	fixture.warm_up();
	for (guint64 id = 1; id <= 6; id++) {
		fixture.submit(id, true, 0, 5 * AUB_SECOND, 88);
		fixture.attempt_done(fixture.take_one(),
				     AUB_ATTEMPT_CONNECTION_LOST);
		fixture.take_actions();
		fixture.now += AUB_MS;
		for (guint64 n = 0; n < 6; n++)
			fixture.submit(100 * id + n);
		fixture.answer_all();
	}
	struct aub_crash_mark marks[4];
	EXPECT_EQ(aub_dispatcher_export_crash_marks(fixture.dispatcher, marks,
						    4, fixture.now),
		  0u);
}

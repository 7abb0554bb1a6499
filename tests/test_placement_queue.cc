/*
 * The queue of requests that wait for a slot: order of service and refusals.
 */
#include "placement_fixture.h"

TEST(Placement, ServesHighestPriorityFirst)
{
	PlacementFixture fixture;
	struct aub_placement_decision decision;

	fixture.add_healthy("u1");
	guint64 outstanding = fixture.submit().ticket;
	fixture.submit();
	struct aub_placement_request low_priority = fixture.new_request(2);
	struct aub_placement_request high_priority = fixture.new_request(0);
	fixture.submit(low_priority);
	fixture.submit(high_priority);
	fixture.report(outstanding);
	ASSERT_TRUE(fixture.next_decision(&decision));
	EXPECT_EQ(decision.ticket, high_priority.ticket);
}

TEST(Placement, ServesNewestOnceOldestHasWaitedLong)
{
	PlacementFixture fixture;
	struct aub_placement_decision decision;

	fixture.add_healthy("u1");
	guint64 outstanding[] = { fixture.submit().ticket,
				  fixture.submit().ticket };
	struct aub_placement_request old = fixture.new_request();
	fixture.submit(old);
	fixture.now_us += 60 * US_PER_MS;
	struct aub_placement_request middle = fixture.new_request();
	fixture.submit(middle);
	fixture.report(outstanding[0]);
	ASSERT_TRUE(fixture.next_decision(&decision));
	EXPECT_EQ(decision.ticket, old.ticket);
	fixture.now_us += 150 * US_PER_MS;
	struct aub_placement_request fresh = fixture.new_request();
	fixture.submit(fresh);
	fixture.report(outstanding[1]);
	ASSERT_TRUE(fixture.next_decision(&decision));
	EXPECT_EQ(decision.ticket, fresh.ticket);
}

TEST(Placement, OrdersRequestsByShareOfTheirOwnWaitLimit)
{
	/*
	 * Guards against starving requests with a short target behind others
	 * with a long one. In order of arrival, only those with a long target
	 * would be served in an overload. After 70 ms one request has used up a
	 * third of its time, the other a seventh.
	 */
	PlacementFixture fixture;
	struct aub_placement_decision decision;

	fixture.add_healthy("u1", 1);
	guint64 outstanding = fixture.submit().ticket;
	struct aub_placement_request long_target = fixture.new_request();
	long_target.target_ms = 1000;
	long_target.on_time_wait_ms = 600;
	long_target.max_wait_ms = 600;
	fixture.submit(long_target);
	fixture.now_us += 20 * US_PER_MS;
	struct aub_placement_request short_target = fixture.new_request();
	short_target.on_time_wait_ms = 240;
	short_target.max_wait_ms = 3000;
	fixture.submit(short_target);
	fixture.now_us += 70 * US_PER_MS;
	fixture.report(outstanding);
	ASSERT_TRUE(fixture.next_decision(&decision));
	EXPECT_EQ(decision.ticket, short_target.ticket);
}

TEST(Placement, QueuesNewRequestThatWouldBeServedFirst)
{
	/*
	 * Guards against refusing a request that would be served in time: many
	 * are queued, but they have waited long, so the newest goes first.
	 */
	PlacementFixture fixture;
	struct aub_placement_decision decision;

	fixture.add_healthy("u1", 1);
	guint64 outstanding = fixture.submit().ticket;
	for (int i = 0; i < 5; i++) {
		struct aub_placement_request request = fixture.new_request();

		request.max_wait_ms = 5000;
		EXPECT_EQ(fixture.submit(request).verdict, AUB_VERDICT_QUEUED);
	}
	fixture.now_us += 200 * US_PER_MS;
	struct aub_placement_request fresh = fixture.new_request();
	EXPECT_EQ(fixture.submit(fresh).verdict, AUB_VERDICT_QUEUED);
	fixture.report(outstanding);
	ASSERT_TRUE(fixture.next_decision(&decision));
	EXPECT_EQ(decision.ticket, fresh.ticket);
}

TEST(Placement, RefusesOnArrivalIfWaitExceedsLimit)
{
	PlacementFixture fixture;
	int refused = 0;

	fixture.add_healthy("u1");
	for (int i = 0; i < 20; i++) {
		struct aub_placement_decision decision = fixture.submit();

		if (decision.verdict != AUB_VERDICT_OVERLOAD)
			continue;
		refused++;
		EXPECT_GE(decision.retry_after_ms, 700u);
	}
	EXPECT_GE(refused, 10);
}

/* Guards against requests that wait in vain behind an absurdly high limit. */
TEST(Placement, LimitBeyondItsSlotsIsNoRoom)
{
	PlacementFixture fixture;
	int refused = 0;

	fixture.add_healthy("u1");
	fixture.name_limit("u1", 1e6);
	for (int i = 0; i < 20; i++) {
		struct aub_placement_decision decision = fixture.submit();

		fixture.now_us += US_PER_MS;
		refused += decision.verdict == AUB_VERDICT_OVERLOAD;
	}
	EXPECT_GE(refused, 10);
}

TEST(Placement, RefusesQueuedRequestAfterItsMaxWait)
{
	PlacementFixture fixture;
	struct aub_placement_decision decision;

	fixture.add_healthy("u1");
	fixture.submit();
	fixture.submit();
	guint64 waiting = fixture.submit().ticket;
	fixture.now_us += 301 * US_PER_MS;
	ASSERT_TRUE(fixture.next_decision(&decision));
	EXPECT_EQ(decision.ticket, waiting);
	EXPECT_EQ(decision.verdict, AUB_VERDICT_OVERLOAD);
	EXPECT_FALSE(fixture.next_decision(&decision));
}

TEST(Placement, ReservesSlotsForRequestsThatCanBeOnTime)
{
	PlacementFixture fixture;
	int granted = 0;

	fixture.add_healthy("u1", 6);
	for (int i = 0; i < 6; i++) {
		struct aub_placement_request late = fixture.new_request();

		late.on_time_wait_ms = 0;
		granted += fixture.submit(late).verdict == AUB_VERDICT_GRANTED;
	}
	EXPECT_EQ(granted, 3);
	EXPECT_EQ(fixture.submit().verdict, AUB_VERDICT_GRANTED);
}

/* Guards against long retry times while upstreams have room. */
TEST(PlacementQueue, AllowsEarlyRetryIfThereIsRoom)
{
	PlacementFixture fixture(0.0, 0);
	struct aub_placement_request retry = fixture.new_request();

	fixture.add_healthy("u1");
	retry.retry = true;
	struct aub_placement_decision decision = fixture.submit(retry);
	EXPECT_EQ(decision.verdict, AUB_VERDICT_NO_BUDGET);
	EXPECT_LE(decision.retry_after_ms, 100u);
	/* Without room the retry time is the normal one. */
	fixture.submit();
	fixture.submit();
	retry.ticket = ++fixture.last_ticket;
	decision = fixture.submit(retry);
	EXPECT_EQ(decision.verdict, AUB_VERDICT_NO_BUDGET);
	EXPECT_GE(decision.retry_after_ms, 700u);
}

/*
 * Guards against a placer that repeats a grant its requester has rejected, when
 * the report that returns it is lost or late.
 */
TEST(Placement, RequestThatAvoidsItsGrantReturnsIt)
{
	const char *const avoid[] = { "u1" };
	PlacementFixture fixture;

	fixture.add_healthy("u1", 1);
	struct aub_placement_request request = fixture.new_request();
	ASSERT_EQ(fixture.submit(request).verdict, AUB_VERDICT_GRANTED);
	EXPECT_STREQ(fixture.submit(request).upstream, "u1");
	fixture.add_healthy("u2", 1);
	request.avoid = avoid;
	request.avoid_count = 1;
	EXPECT_STREQ(fixture.submit(request).upstream, "u2");
	EXPECT_EQ(fixture.upstream("u1")->granted, 0u);
	EXPECT_EQ(fixture.upstream("u2")->granted, 1u);
}

/*
 * Who waits for a slot, in which order they get one, and who is refused.
 */
#include "placement_fixture.h"

TEST(Placement, ServesTheMostUrgentFirst)
{
	PlacementFixture fixture;
	struct aub_placement_decision decision;

	fixture.add_healthy("u1");
	guint64 outstanding = fixture.submit().ticket;
	fixture.submit();
	struct aub_placement_request late = fixture.new_request(2);
	struct aub_placement_request urgent = fixture.new_request(0);
	fixture.submit(late);
	fixture.submit(urgent);
	fixture.report(outstanding);
	ASSERT_TRUE(fixture.next_decision(&decision));
	EXPECT_EQ(decision.ticket, urgent.ticket);
}

TEST(Placement, ServesTheNewestOnceTheOldestHasWaitedLong)
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

TEST(Placement, ServesKindsOfRequestsByTheirOwnMeasure)
{
	/*
	 * A caller that must have its answer soon stands behind others that
	 * have time. Served in the order they came, only those that have time
	 * are served in an overload; a third of its time is gone after 70 ms,
	 * of theirs a seventh.
	 */
	PlacementFixture fixture;
	struct aub_placement_decision decision;

	fixture.add_healthy("u1", 1);
	guint64 outstanding = fixture.submit().ticket;
	struct aub_placement_request patient = fixture.new_request();
	patient.target_ms = 1000;
	patient.on_time_wait_ms = 600;
	patient.max_wait_ms = 600;
	fixture.submit(patient);
	fixture.now_us += 20 * US_PER_MS;
	struct aub_placement_request hasty = fixture.new_request();
	hasty.on_time_wait_ms = 240;
	hasty.max_wait_ms = 3000;
	fixture.submit(hasty);
	fixture.now_us += 70 * US_PER_MS;
	fixture.report(outstanding);
	ASSERT_TRUE(fixture.next_decision(&decision));
	EXPECT_EQ(decision.ticket, hasty.ticket);
}

TEST(Placement, TakesANewcomerThatWouldBeServedFirst)
{
	/*
	 * The caller is refused though it would have its answer in time: many
	 * wait, but they have waited long, and the newest is served first.
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

TEST(Placement, RefusesOnArrivalWhatWouldWaitInVain)
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

TEST(Placement, TellsThoseWhosePatienceEnds)
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

TEST(Placement, KeepsSlotsFreeOfLateRequests)
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

/* Guards against callers sent away for long while upstreams have room. */
TEST(PlacementQueue, SendsRetriesBackSoonWhereThereIsRoom)
{
	PlacementFixture fixture(0.0, 0);
	struct aub_placement_request again = fixture.new_request();

	fixture.add_healthy("u1");
	again.retry = true;
	struct aub_placement_decision decision = fixture.submit(again);
	EXPECT_EQ(decision.verdict, AUB_VERDICT_NO_BUDGET);
	EXPECT_LE(decision.retry_after_ms, 100u);
	/* Without room it is as long as for all others. */
	fixture.submit();
	fixture.submit();
	again.ticket = ++fixture.last_ticket;
	decision = fixture.submit(again);
	EXPECT_EQ(decision.verdict, AUB_VERDICT_NO_BUDGET);
	EXPECT_GE(decision.retry_after_ms, 700u);
}

/*
 * Who waits for a slot, in which order they get one, and who is refused.
 */
#include "placement_rig.h"

TEST(Placement, ServesTheMostUrgentFirst)
{
	Placement p;
	struct aub_decision decision;

	p.add("u1");
	guint64 held = p.ask().ticket;
	p.ask();
	struct aub_ask late = p.ask_of(2);
	struct aub_ask urgent = p.ask_of(0);
	p.ask(late);
	p.ask(urgent);
	p.report(held);
	ASSERT_TRUE(p.next(&decision));
	EXPECT_EQ(decision.ticket, urgent.ticket);
}

TEST(Placement, ServesTheNewestOnceTheOldestHasWaitedLong)
{
	Placement p;
	struct aub_decision decision;

	p.add("u1");
	guint64 held[] = { p.ask().ticket, p.ask().ticket };
	struct aub_ask old = p.ask_of();
	p.ask(old);
	p.now += 60 * MS;
	struct aub_ask middle = p.ask_of();
	p.ask(middle);
	p.report(held[0]);
	ASSERT_TRUE(p.next(&decision));
	EXPECT_EQ(decision.ticket, old.ticket);
	p.now += 150 * MS;
	struct aub_ask fresh = p.ask_of();
	p.ask(fresh);
	p.report(held[1]);
	ASSERT_TRUE(p.next(&decision));
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
	Placement p;
	struct aub_decision decision;

	p.add("u1", 1);
	guint64 held = p.ask().ticket;
	struct aub_ask patient = p.ask_of();
	patient.target_ms = 1000;
	patient.on_time_ms = 600;
	patient.max_wait_ms = 600;
	p.ask(patient);
	p.now += 20 * MS;
	struct aub_ask hasty = p.ask_of();
	hasty.on_time_ms = 240;
	hasty.max_wait_ms = 3000;
	p.ask(hasty);
	p.now += 70 * MS;
	p.report(held);
	ASSERT_TRUE(p.next(&decision));
	EXPECT_EQ(decision.ticket, hasty.ticket);
}

TEST(Placement, TakesANewcomerThatWouldBeServedFirst)
{
	/*
	 * The caller is refused though it would have its answer in time: many
	 * wait, but they have waited long, and the newest is served first.
	 */
	Placement p;
	struct aub_decision decision;

	p.add("u1", 1);
	guint64 held = p.ask().ticket;
	for (int i = 0; i < 5; i++) {
		struct aub_ask ask = p.ask_of();

		ask.max_wait_ms = 5000;
		EXPECT_EQ(p.ask(ask).verdict, AUB_VERDICT_QUEUED);
	}
	p.now += 200 * MS;
	struct aub_ask fresh = p.ask_of();
	EXPECT_EQ(p.ask(fresh).verdict, AUB_VERDICT_QUEUED);
	p.report(held);
	ASSERT_TRUE(p.next(&decision));
	EXPECT_EQ(decision.ticket, fresh.ticket);
}

TEST(Placement, RefusesOnArrivalWhatWouldWaitInVain)
{
	Placement p;
	int refused = 0;

	p.add("u1");
	for (int i = 0; i < 20; i++) {
		struct aub_decision decision = p.ask();

		if (decision.verdict != AUB_VERDICT_OVERLOAD)
			continue;
		refused++;
		EXPECT_GE(decision.retry_after_ms, 700u);
	}
	EXPECT_GE(refused, 10);
}

TEST(Placement, TellsThoseWhosePatienceEnds)
{
	Placement p;
	struct aub_decision decision;

	p.add("u1");
	p.ask();
	p.ask();
	guint64 waiting = p.ask().ticket;
	p.now += 301 * MS;
	ASSERT_TRUE(p.next(&decision));
	EXPECT_EQ(decision.ticket, waiting);
	EXPECT_EQ(decision.verdict, AUB_VERDICT_OVERLOAD);
	EXPECT_FALSE(p.next(&decision));
}

TEST(Placement, KeepsSlotsFreeOfLateRequests)
{
	Placement p;
	int granted = 0;

	p.add("u1", 6);
	for (int i = 0; i < 6; i++) {
		struct aub_ask late = p.ask_of();

		late.on_time_ms = 0;
		granted += p.ask(late).verdict == AUB_VERDICT_GRANTED;
	}
	EXPECT_EQ(granted, 3);
	EXPECT_EQ(p.ask().verdict, AUB_VERDICT_GRANTED);
}

/* Guards against callers sent away for long while upstreams have room. */
TEST(PlacementQueue, SendsRetriesBackSoonWhereThereIsRoom)
{
	Placement p(0.0, 0);
	struct aub_ask again = p.ask_of();

	p.add("u1");
	again.retry = true;
	struct aub_decision decision = p.ask(again);
	EXPECT_EQ(decision.verdict, AUB_VERDICT_NO_BUDGET);
	EXPECT_LE(decision.retry_after_ms, 100u);
	/* Without room it is as long as for all others. */
	p.ask();
	p.ask();
	again.ticket = ++p.serial;
	decision = p.ask(again);
	EXPECT_EQ(decision.verdict, AUB_VERDICT_NO_BUDGET);
	EXPECT_GE(decision.retry_after_ms, 700u);
}

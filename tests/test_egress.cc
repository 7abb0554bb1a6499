/* When a gateway concludes that its own links to the upstreams are lost. */
#include <auburnstile/internal/egress.h>
#include <auburnstile/timer.h>

#include <gtest/gtest.h>

class EgressTest : public ::testing::Test
{
      protected:
	struct aub_egress egress;
	gint64 now = 100 * AUB_SECOND;

	void SetUp() override
	{
		aub_egress_init(&egress);
	}
	void TearDown() override
	{
		aub_egress_clear(&egress);
	}
	void fail(const char *upstream,
		  enum aub_egress_failure failure = AUB_EGRESS_UNREACHABLE)
	{
		now += AUB_MS;
		aub_egress_on_failure(&egress, upstream, failure, now);
	}
	void answer()
	{
		now += AUB_MS;
		aub_egress_on_answer(&egress, now);
	}
	/* Starts the round that is due; `answered` of its checks are. */
	guint run_round(guint answered)
	{
		guint due = aub_egress_checks_due(&egress, now);
		char id[] = "c0";

		if (!due)
			return 0;
		aub_egress_begin_round(&egress, due, now);
		now += 2 * AUB_MS;
		for (guint i = 0; i < due; i++) {
			id[1] = (char)('0' + i);
			aub_egress_on_check_ended(&egress, id, i < answered,
						  true, now);
		}
		return due;
	}
	void lose_links()
	{
		fail("u1");
		fail("u2");
		run_round(0);
		ASSERT_EQ(egress.state, AUB_EGRESS_DOWN);
	}
};

TEST_F(EgressTest, ChecksNothingWhileUpstreamsAnswer)
{
	for (int i = 0; i < 20; i++) {
		aub_egress_on_sent(&egress, now);
		answer();
		aub_egress_on_ended(&egress);
		now += 100 * AUB_MS;
		EXPECT_EQ(aub_egress_checks_due(&egress, now), 0u);
	}
	EXPECT_EQ(aub_egress_next_due_us(&egress), G_MAXINT64);
}

/* Guards against a gateway that blames its links for one dead upstream. */
TEST_F(EgressTest, BlamesUpstreamThatFailsAlone)
{
	fail("u1");
	EXPECT_TRUE(aub_egress_is_in_doubt(&egress));
	EXPECT_EQ(run_round(1), 1u);
	EXPECT_EQ(egress.state, AUB_EGRESS_UP);
	EXPECT_FALSE(aub_egress_is_in_doubt(&egress));
	EXPECT_TRUE(aub_egress_needs_relay(&egress, "u1", now));
	EXPECT_FALSE(aub_egress_needs_relay(&egress, "u2", now));
}

TEST_F(EgressTest, FindsLinksDownAfterFailuresAtSeveralUpstreams)
{
	fail("u1");
	fail("u2");
	EXPECT_EQ(run_round(0), 3u);
	EXPECT_EQ(egress.state, AUB_EGRESS_DOWN);
	EXPECT_TRUE(aub_egress_needs_relay(&egress, "u3", now));
}

/* Guards against false alarms: one answer out of a round is enough. */
TEST_F(EgressTest, KeepsLinksUpIfOneCheckIsAnswered)
{
	fail("u1");
	fail("u2");
	EXPECT_EQ(run_round(1), 3u);
	EXPECT_EQ(egress.state, AUB_EGRESS_UP);
	EXPECT_FALSE(aub_egress_is_in_doubt(&egress));
	EXPECT_EQ(aub_egress_checks_due(&egress, now + 100 * AUB_MS), 0u);
}

/*
 * Guards against a cut in silence, in which nothing fails. The time-outs of the
 * checks come on top.
 */
TEST_F(EgressTest, FindsLinksDownInSilence)
{
	gint64 start_us = now;

	aub_egress_on_sent(&egress, now);
	EXPECT_EQ(aub_egress_checks_due(&egress, now + 200 * AUB_MS), 0u);
	while (egress.state != AUB_EGRESS_DOWN && now - start_us < AUB_SECOND) {
		now += 5 * AUB_MS;
		run_round(0);
	}
	EXPECT_EQ(egress.state, AUB_EGRESS_DOWN);
	EXPECT_LT(now - start_us, 300 * AUB_MS);
	EXPECT_TRUE(aub_egress_is_silent(&egress, now));
}

/* Guards against checks that cost as much as the requests they watch over. */
TEST_F(EgressTest, ChecksLongRequestsRarely)
{
	guint checks = 0;

	aub_egress_on_sent(&egress, now);
	for (int i = 0; i < 1000; i++) {
		checks += run_round(1);
		now += 10 * AUB_MS;
	}
	EXPECT_GE(checks, 5u);
	EXPECT_LE(checks, 11u);
}

/* Guards against answers on old connections that hide that new ones fail. */
TEST_F(EgressTest, AnswersOnOpenConnectionsDoNotEndSuspicion)
{
	fail("u1");
	answer();
	fail("u3");
	guint due = aub_egress_checks_due(&egress, now);
	ASSERT_EQ(due, 1u);
	aub_egress_begin_round(&egress, due, now);
	aub_egress_on_check_ended(&egress, "u4", false, true, now);
	EXPECT_EQ(egress.state, AUB_EGRESS_SUSPECT);
	answer();
	EXPECT_EQ(egress.state, AUB_EGRESS_SUSPECT);
	run_round(0);
	EXPECT_EQ(egress.state, AUB_EGRESS_DOWN);
}

TEST_F(EgressTest, FindsLinksUpWhenAllChecksOfARoundAreAnswered)
{
	lose_links();
	now += 200 * AUB_MS;
	run_round(1);
	EXPECT_EQ(egress.state, AUB_EGRESS_DOWN);
	EXPECT_FALSE(aub_egress_needs_relay(&egress, "c0", now));
	EXPECT_TRUE(aub_egress_needs_relay(&egress, "c1", now));
	now += 200 * AUB_MS;
	run_round(2);
	EXPECT_EQ(egress.state, AUB_EGRESS_UP);
	EXPECT_FALSE(aub_egress_needs_relay(&egress, "u1", now));
}

/* Guards against requests that go on being relayed after the links are back. */
TEST_F(EgressTest, ChecksFiveTimesASecondWhileDown)
{
	guint rounds = 0;

	lose_links();
	for (int i = 0; i < 100; i++) {
		rounds += run_round(0) > 0;
		now += 10 * AUB_MS;
	}
	EXPECT_GE(rounds, 4u);
	EXPECT_LE(rounds, 6u);
}

/* Guards against one dead upstream that keeps the links in doubt for ever. */
TEST_F(EgressTest, RechecksUpstreamThatAloneIsNotReached)
{
	guint rechecks = 0;

	fail("u1");
	run_round(1);
	for (int i = 0; i < 500; i++) {
		if (aub_egress_recheck_due(&egress, now)) {
			rechecks++;
			aub_egress_on_check_ended(&egress, "u1", false, false,
						  now);
		}
		EXPECT_FALSE(aub_egress_is_in_doubt(&egress));
		now += 10 * AUB_MS;
	}
	EXPECT_GE(rechecks, 4u);
	EXPECT_LE(rechecks, 5u);
	EXPECT_TRUE(aub_egress_needs_relay(&egress, "u1", now));
	aub_egress_on_check_ended(&egress, "u1", true, false, now);
	EXPECT_FALSE(aub_egress_needs_relay(&egress, "u1", now));
}

TEST_F(EgressTest, ForgetsUpstreamsThatAreGone)
{
	fail("u1");
	run_round(1);
	for (int i = 0; i < 40; i++) {
		now += AUB_SECOND;
		(void)aub_egress_recheck_due(&egress, now);
	}
	EXPECT_FALSE(aub_egress_needs_relay(&egress, "u1", now));
	EXPECT_EQ(aub_egress_next_due_us(&egress), G_MAXINT64);
}

/* A reset is no reason to avoid the way to one upstream: it may have crashed.
 */
TEST_F(EgressTest, SendsDirectlyToUpstreamThatResetAConnection)
{
	fail("u1", AUB_EGRESS_RESET);
	run_round(1);
	EXPECT_FALSE(aub_egress_needs_relay(&egress, "u1", now));
}

/* Guards against a gateway that knows no upstream and waits for ever. */
TEST_F(EgressTest, DecidesWithoutAnyUpstreamToCheck)
{
	fail("u1");
	fail("u2");
	ASSERT_GT(aub_egress_checks_due(&egress, now), 0u);
	aub_egress_begin_round(&egress, 0, now);
	EXPECT_EQ(egress.state, AUB_EGRESS_DOWN);
}

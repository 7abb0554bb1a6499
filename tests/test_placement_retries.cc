/*
 * What a placement says to requests that are retried or refused: when their
 * callers may return, and what is replaced.
 */
#include "placement_fixture.h"

#include <map>

/* Refusals of full upstreams must not bring callers back at once. */
TEST(PlacementRetries, CallersOfFullUpstreamsWaitForLonger)
{
	PlacementFixture fixture(0.2, 0);
	struct aub_placement_decision granted;

	fixture.add_healthy("u1", 4);
	for (int i = 0; i < 3; i++)
		granted = fixture.submit();
	EXPECT_EQ(granted.verdict, AUB_VERDICT_GRANTED);
	EXPECT_EQ(granted.retry_after_ms, 0u);
	struct aub_placement_request retry = fixture.new_request();

	retry.retry = true;
	struct aub_placement_decision refused = fixture.submit(retry);
	EXPECT_EQ(refused.verdict, AUB_VERDICT_NO_BUDGET);
	EXPECT_GE(refused.retry_after_ms, 700u);
}

/* Callers that are refused in the same instant must not return together. */
TEST(PlacementRetries, CallersRefusedTogetherReturnApart)
{
	PlacementFixture fixture(0, 0);
	std::map<guint, int> told;

	fixture.add_healthy("u1", 40);
	for (int i = 0; i < 40; i++) {
		struct aub_placement_request retry = fixture.new_request();

		retry.retry = true;
		told[fixture.submit(retry).retry_after_ms]++;
	}
	EXPECT_GE(told.size(), 10u);
	EXPECT_LE(told.rbegin()->first, 50u);
}

/* Guards against callers that count as refused though their request goes on. */
TEST(PlacementRetries, RefusedReplacementIsNoRefusalOfItsCaller)
{
	PlacementFixture fixture;

	for (int i = 0; i < 2; i++) {
		struct aub_placement_request request = fixture.new_request();

		request.retry = true;
		request.replaces = true;
		request.fingerprint = 5;
		EXPECT_NE(fixture.submit(request).verdict, AUB_VERDICT_GRANTED);
	}
	EXPECT_EQ(aub_caller_returns_count(fixture.placement->returns), 0u);
}

/* Guards against requests that run twice while their upstreams are busy. */
TEST(PlacementRetries, NothingIsReplacedWhileMostSlotsAreInUse)
{
	PlacementFixture fixture;
	struct aub_placement_request replacement = fixture.new_request();

	fixture.add_healthy("u1", 4);
	replacement.retry = true;
	replacement.replaces = true;
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(fixture.submit().verdict, AUB_VERDICT_GRANTED);
	EXPECT_EQ(fixture.submit(replacement).verdict,
		  AUB_VERDICT_RETRY_RESERVED);
	fixture.add_healthy("u2", 4);
	EXPECT_EQ(fixture.submit(replacement).verdict, AUB_VERDICT_GRANTED);
}

/* Guards against a lost decision after which a gateway knows less. */
TEST(PlacementRetries, RepeatedDecisionSaysTheSame)
{
	PlacementFixture fixture;
	struct aub_placement_request request = fixture.new_request();

	fixture.add_healthy("u1", 4);
	struct aub_placement_decision first = fixture.submit(request);
	struct aub_placement_decision second = fixture.submit(request);

	EXPECT_EQ(second.verdict, AUB_VERDICT_GRANTED);
	EXPECT_GT(first.silent_after_ms, 0u);
	EXPECT_EQ(second.silent_after_ms, first.silent_after_ms);
	EXPECT_GT(first.retry_after_ms, 0u);
	EXPECT_EQ(second.retry_after_ms, first.retry_after_ms);
}

/* Guards against a budget spent on retries that no upstream receives. */
TEST(PlacementRetries, RetriesWithoutUpstreamCostNoBudget)
{
	PlacementFixture fixture(0, 3);

	for (int i = 0; i < 20; i++) {
		struct aub_placement_request retry = fixture.new_request();

		retry.retry = true;
		EXPECT_EQ(fixture.submit(retry).verdict,
			  AUB_VERDICT_NO_UPSTREAM);
	}
	fixture.add_healthy("u1", 4);
	struct aub_placement_request retry = fixture.new_request();

	retry.retry = true;
	EXPECT_EQ(fixture.submit(retry).verdict, AUB_VERDICT_GRANTED);
}

/* A placement whose only slot is in use, and a retry that waits for it. */
struct WaitingRetry {
	PlacementFixture fixture{ 0, 3 };
	guint64 running;
	struct aub_placement_request retry;

	WaitingRetry()
	{
		fixture.add_healthy("u1", 1);
		running = fixture.submit().ticket;
		retry = fixture.new_request();
		retry.retry = true;
		EXPECT_EQ(fixture.submit(retry).verdict, AUB_VERDICT_QUEUED);
		EXPECT_EQ(retries_in_window(), 1u);
	}
	guint retries_in_window()
	{
		struct aub_retry_budget *budget =
			&fixture.placement->retries.budget;
		guint count = 0;

		/* Drops what is older than the window. */
		(void)aub_retry_budget_size(budget, fixture.now_us);
		for (guint retries : budget->retries)
			count += retries;
		return count;
	}
};

/* Guards against retries that arrive when their charge has nearly expired. */
TEST(PlacementRetries, RetryThatWaitedCountsFromItsGrant)
{
	WaitingRetry waiting;
	struct aub_placement_decision decision;

	waiting.fixture.now_us += 290 * US_PER_MS;
	waiting.fixture.report(waiting.running);
	ASSERT_TRUE(waiting.fixture.next_decision(&decision));
	ASSERT_EQ(decision.verdict, AUB_VERDICT_GRANTED);
	waiting.fixture.now_us += 9990 * US_PER_MS;
	EXPECT_EQ(waiting.retries_in_window(), 1u);
	waiting.fixture.now_us += 300 * US_PER_MS;
	EXPECT_EQ(waiting.retries_in_window(), 0u);
}

/* Guards against a budget that is used up by retries that nobody sent. */
TEST(PlacementRetries, RetryThatIsNotSentCostsNoBudget)
{
	WaitingRetry expired;
	WaitingRetry cancelled;
	WaitingRetry returned;
	struct aub_placement_decision decision;

	expired.fixture.now_us += 400 * US_PER_MS;
	ASSERT_TRUE(expired.fixture.next_decision(&decision));
	ASSERT_NE(decision.verdict, AUB_VERDICT_GRANTED);
	EXPECT_EQ(expired.retries_in_window(), 0u);

	cancelled.fixture.report(cancelled.retry.ticket, AUB_GRANT_UNUSED);
	EXPECT_EQ(cancelled.retries_in_window(), 0u);

	returned.fixture.report(returned.running);
	ASSERT_TRUE(returned.fixture.next_decision(&decision));
	EXPECT_EQ(returned.retries_in_window(), 1u);
	returned.fixture.report(returned.retry.ticket, AUB_GRANT_UNUSED);
	EXPECT_EQ(returned.retries_in_window(), 0u);
}

/* Guards against gateways on their own whose few requests never earn a retry.
 */
TEST(PlacementRetries, SingleRetryIsAdmittedOnceItIsEarned)
{
	PlacementFixture fixture(0.2, 0);

	fixture.add_healthy("u1", 10);
	for (int i = 0; i < 6; i++)
		(void)fixture.submit();
	struct aub_placement_request retry = fixture.new_request();

	retry.retry = true;
	EXPECT_EQ(fixture.submit(retry).verdict, AUB_VERDICT_GRANTED);
}

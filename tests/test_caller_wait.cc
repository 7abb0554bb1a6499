/*
 * Estimates of the time that a caller has been waiting.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/caller_wait.h>

#include <random>

/*
 * Returns an estimator that has seen `count` callers; `retry_share` of them
 * retry after a refusal, with 1 s less.
 */
static struct aub_caller_wait learned(double min_ms, double max_ms,
				      double retry_share, int count = 500)
{
	struct aub_caller_wait wait = {};
	std::mt19937 random(5);
	std::uniform_real_distribution<double> remaining_ms(min_ms, max_ms);
	std::uniform_real_distribution<double> chance(0, 1);

	for (int i = 0; i < count; i++)
		aub_caller_wait_observe(
			&wait,
			(gint64)(remaining_ms(random) -
				 (chance(random) < retry_share ? 1000 : 0)));
	return wait;
}

TEST(CallerWait, ReturnsZeroForNewCallersWithShorterTimeouts)
{
	/*
	 * Guards against taking a caller with a timeout of 2.2 s, where others
	 * have 2.5 s, for one that has waited: it would be queued behind all
	 * others as late, and then be late.
	 */
	struct aub_caller_wait wait = learned(2125, 2500, 0);

	for (gint64 remaining_ms = 2125; remaining_ms <= 2500;
	     remaining_ms += 25)
		EXPECT_EQ(aub_caller_wait_estimate(&wait, remaining_ms), 0)
			<< remaining_ms;
}

TEST(CallerWait, DetectsCallersThatRetry)
{
	for (double retry_share : { 0.0, 0.1, 0.3 }) {
		struct aub_caller_wait wait = learned(2125, 2500, retry_share);

		EXPECT_EQ(aub_caller_wait_estimate(&wait, 2200), 0)
			<< retry_share;
		EXPECT_GT(aub_caller_wait_estimate(&wait, 1300), 700)
			<< retry_share;
		EXPECT_GT(aub_caller_wait_estimate(&wait, 700), 1300)
			<< retry_share;
	}
}

TEST(CallerWait, IsExactIfAllTimeoutsAreEqual)
{
	struct aub_caller_wait wait = learned(4000, 4000, 0);

	EXPECT_EQ(aub_caller_wait_estimate(&wait, 4000), 0);
	EXPECT_NEAR(aub_caller_wait_estimate(&wait, 3500), 500, 100);
}

TEST(CallerWait, TreatsTheFirstCallerAsNew)
{
	struct aub_caller_wait wait = {};

	aub_caller_wait_observe(&wait, 3000);
	EXPECT_EQ(aub_caller_wait_estimate(&wait, 3000), 0);
	EXPECT_EQ(aub_caller_wait_estimate(&wait, 2600), 0);
	EXPECT_GT(aub_caller_wait_estimate(&wait, 1500), 1000);
}

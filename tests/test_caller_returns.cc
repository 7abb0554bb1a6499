/* Refused requests that their callers send again. */
#include <gtest/gtest.h>

#include <auburnstile/internal/caller_returns.h>

#define US_PER_MS ((gint64)1000)

class CallerReturns : public ::testing::Test
{
      protected:
	struct aub_caller_returns *returns = aub_caller_returns_new();
	gint64 now_us = 1000 * US_PER_MS;

	void TearDown() override
	{
		aub_caller_returns_free(returns);
	}
	void refuse(guint64 fingerprint)
	{
		aub_caller_returns_refused(returns, fingerprint, 20, now_us);
	}
	bool arrive(guint64 fingerprint)
	{
		return aub_caller_returns_arrived(returns, fingerprint, now_us);
	}
	double probability(guint64 fingerprint)
	{
		return aub_caller_returns_probability(returns, fingerprint,
						      now_us);
	}
};

TEST_F(CallerReturns, RecognizesRequestThatWasRefused)
{
	EXPECT_FALSE(arrive(5));
	refuse(5);
	EXPECT_TRUE(arrive(5));
	EXPECT_FALSE(arrive(5));
	EXPECT_FALSE(arrive(6));
}

/* Guards against callers that gain by sending a request others send too. */
TEST_F(CallerReturns, RecognizesNoMoreRequestsThanWereRefused)
{
	int recognized = 0;

	for (int i = 0; i < 3; i++)
		refuse(5);
	for (int i = 0; i < 10; i++)
		recognized += arrive(5);
	EXPECT_EQ(recognized, 3);
}

TEST_F(CallerReturns, ForgetsRequestThatIsRetriedOrServed)
{
	refuse(5);
	aub_caller_returns_retried(returns, 5);
	EXPECT_FALSE(arrive(5));
	aub_caller_returns_served(returns, 5);
	EXPECT_EQ(aub_caller_returns_count(returns), 0u);
}

TEST_F(CallerReturns, ForgetsCallersThatDoNotReturnInTime)
{
	refuse(5);
	now_us += 2000 * US_PER_MS;
	EXPECT_FALSE(arrive(5));
	EXPECT_EQ(aub_caller_returns_count(returns), 0u);
}

TEST_F(CallerReturns, IgnoresUnknownFingerprint)
{
	refuse(0);
	EXPECT_FALSE(arrive(0));
	EXPECT_EQ(aub_caller_returns_count(returns), 0u);
}

TEST_F(CallerReturns, LearnsThatCallersReturnOnce)
{
	for (guint64 i = 1; i <= 400; i++) {
		refuse(i);
		now_us += 30 * US_PER_MS;
		if (i > 1)
			arrive(i - 1);
		/* Each returns, and is refused for good. */
		if (i > 1)
			refuse(i - 1);
	}
	EXPECT_GT(probability(9999), 0.9);
	arrive(400);
	EXPECT_LT(probability(400), 0.1);
}

TEST_F(CallerReturns, ExpectsOneReturnBeforeItHasLearned)
{
	EXPECT_GT(probability(1), 0.5);
	refuse(1);
	arrive(1);
	EXPECT_LT(probability(1), 0.5);
}

TEST_F(CallerReturns, LearnsAnewWhenCallersStopReturning)
{
	for (guint64 i = 1; i <= 200; i++) {
		refuse(i);
		now_us += 20 * US_PER_MS;
		arrive(i);
		aub_caller_returns_served(returns, i);
	}
	EXPECT_GT(probability(9999), 0.9);
	for (guint64 i = 1000; i < 1400; i++) {
		refuse(i);
		now_us += 20 * US_PER_MS;
		arrive(5000 + i);
	}
	EXPECT_LT(probability(9999), 0.3);
}

TEST_F(CallerReturns, BoundsItsSize)
{
	for (guint64 i = 1; i <= 100000; i++)
		refuse(i);
	EXPECT_LE(aub_caller_returns_count(returns), 8192u);
	now_us += 2000 * US_PER_MS;
	refuse(200000);
	EXPECT_EQ(aub_caller_returns_count(returns), 1u);
}

/*
 * The retry budget in a sliding window.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/retry_budget.h>

#include <deque>

TEST(RetryBudget, AllowsSlackPlusShareOfRequests)
{
	struct aub_retry_budget budget;
	int taken = 0;

	aub_retry_budget_init(&budget, 10000000);
	aub_retry_budget_add_credit(&budget, 5, 1000000);
	for (int i = 0; i < 20; i++)
		taken += aub_retry_budget_take_retry(&budget, 1000000);
	EXPECT_EQ(taken, 5);
	for (int i = 0; i < 100; i++)
		aub_retry_budget_add_credit(&budget, 0.2001, 1000000);
	for (int i = 0; i < 100; i++)
		taken += aub_retry_budget_take_retry(&budget, 1000000);
	EXPECT_EQ(taken, 25);
}

TEST(RetryBudget, DropsEntriesOlderThanItsWindow)
{
	struct aub_retry_budget budget;

	aub_retry_budget_init(&budget, 10000000);
	aub_retry_budget_add_credit(&budget, 1, 1000000);
	EXPECT_TRUE(aub_retry_budget_take_retry(&budget, 1000000));
	EXPECT_FALSE(aub_retry_budget_take_retry(&budget, 9000000));
	aub_retry_budget_add_credit(&budget, 1, 13000000);
	EXPECT_TRUE(aub_retry_budget_take_retry(&budget, 13000000));
	/* Also after a long time without requests. */
	aub_retry_budget_add_credit(&budget, 1, 900000000);
	EXPECT_TRUE(aub_retry_budget_take_retry(&budget, 900000000));
}

/* Guards against credit of a higher load that is spent when it has gone. */
TEST(RetryBudget, CreditExpiresWithTheWindow)
{
	struct aub_retry_budget budget;

	aub_retry_budget_init(&budget, 10000000);
	aub_retry_budget_add_credit(&budget, 1, 1000000);
	EXPECT_TRUE(aub_retry_budget_size(&budget, 9000000) == 1);
	EXPECT_FALSE(aub_retry_budget_take_retry(&budget, 11000000));
}

TEST(RetryBudget, IsNotExceededInAnyIntervalOfItsWindow)
{
	struct aub_retry_budget budget;
	std::deque<gint64> taken;
	GRand *random = g_rand_new_with_seed(5);

	aub_retry_budget_init(&budget, 10000000);
	for (gint64 now = 0; now < 100000000; now += 20000) {
		aub_retry_budget_add_credit(&budget, 30 * 0.002, now);
		if (g_rand_int_range(random, 0, 3))
			continue;
		if (aub_retry_budget_take_retry(&budget, now))
			taken.push_back(now);
		while (!taken.empty() && now - taken.front() >= 10000000)
			taken.pop_front();
		ASSERT_LE(taken.size(), 30u);
	}
	g_rand_free(random);
}

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
	for (int i = 0; i < 20; i++)
		taken += aub_retry_budget_take_retry(&budget, 0.2, 5, 1000000);
	EXPECT_EQ(taken, 5);
	for (int i = 0; i < 100; i++)
		aub_retry_budget_add_request(&budget, 1000000);
	for (int i = 0; i < 100; i++)
		taken += aub_retry_budget_take_retry(&budget, 0.2, 5, 1000000);
	EXPECT_EQ(taken, 25);
}

TEST(RetryBudget, DropsEntriesOlderThanItsWindow)
{
	struct aub_retry_budget budget;

	aub_retry_budget_init(&budget, 10000000);
	EXPECT_TRUE(aub_retry_budget_take_retry(&budget, 0, 1, 1000000));
	EXPECT_FALSE(aub_retry_budget_take_retry(&budget, 0, 1, 9000000));
	EXPECT_TRUE(aub_retry_budget_take_retry(&budget, 0, 1, 13000000));
	/* Also after a long time without requests. */
	EXPECT_TRUE(aub_retry_budget_take_retry(&budget, 0, 1, 900000000));
}

TEST(RetryBudget, IsNotExceededInAnyIntervalOfItsWindow)
{
	struct aub_retry_budget budget;
	std::deque<gint64> taken;
	GRand *random = g_rand_new_with_seed(5);

	aub_retry_budget_init(&budget, 10000000);
	for (gint64 now = 0; now < 100000000; now += 20000) {
		if (g_rand_int_range(random, 0, 3))
			continue;
		if (aub_retry_budget_take_retry(&budget, 0, 30, now))
			taken.push_back(now);
		while (!taken.empty() && now - taken.front() >= 10000000)
			taken.pop_front();
		ASSERT_LE(taken.size(), 30u);
	}
	g_rand_free(random);
}

/*
 * How long a caller has been waiting, told by how much of its time is left.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/caller_wait.h>

#include <random>

/* `count` callers; a share `back` of them comes back after a refusal. */
static struct aub_caller_wait learned(double least, double most, double back,
				      int count = 500)
{
	struct aub_caller_wait wait = {};
	std::mt19937 random(5);
	std::uniform_real_distribution<double> left(least, most);
	std::uniform_real_distribution<double> chance(0, 1);

	for (int i = 0; i < count; i++)
		aub_caller_wait_observe(&wait,
					(gint64)(left(random) -
						 (chance(random) < back ? 1000 :
									  0)));
	return wait;
}

TEST(CallerAge, TakesNewCallersThatGiveLessForNew)
{
	/*
	 * A caller that gives 2.2 s where others give 2.5 has not waited: taken
	 * for late, it would stand behind all others, and be late.
	 */
	struct aub_caller_wait wait = learned(2125, 2500, 0);

	for (gint64 left = 2125; left <= 2500; left += 25)
		EXPECT_EQ(aub_caller_wait_estimate(&wait, left), 0) << left;
}

TEST(CallerAge, KnowsThoseThatComeBack)
{
	for (double back : { 0.0, 0.1, 0.3 }) {
		struct aub_caller_wait wait = learned(2125, 2500, back);

		EXPECT_EQ(aub_caller_wait_estimate(&wait, 2200), 0) << back;
		EXPECT_GT(aub_caller_wait_estimate(&wait, 1300), 700) << back;
		EXPECT_GT(aub_caller_wait_estimate(&wait, 700), 1300) << back;
	}
}

TEST(CallerAge, IsExactWhereAllGiveTheSame)
{
	struct aub_caller_wait wait = learned(4000, 4000, 0);

	EXPECT_EQ(aub_caller_wait_estimate(&wait, 4000), 0);
	EXPECT_NEAR(aub_caller_wait_estimate(&wait, 3500), 500, 100);
}

TEST(CallerAge, TakesTheFirstForNew)
{
	struct aub_caller_wait wait = {};

	aub_caller_wait_observe(&wait, 3000);
	EXPECT_EQ(aub_caller_wait_estimate(&wait, 3000), 0);
	EXPECT_EQ(aub_caller_wait_estimate(&wait, 2600), 0);
	EXPECT_GT(aub_caller_wait_estimate(&wait, 1500), 1000);
}

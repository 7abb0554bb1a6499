/*
 * The tests that tell a bad version from a good one by its answers.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/rollout_judge.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

/* An old version that fails one answer in 250, beside a new one. */
class Judge
{
      public:
	struct aub_judge it = {};
	std::mt19937 random{ 7 };
	std::vector<struct aub_judge_evidence> evidence;

	explicit Judge(guint upstreams = 10) : evidence(upstreams)
	{
	}
	double time(double usual = 200)
	{
		return usual *
		       std::lognormal_distribution<double>(0, 0.3)(random);
	}
	bool chance(double share)
	{
		return std::uniform_real_distribution<double>(0, 1)(random) <
		       share;
	}
	void base(int answers, guint32 route = 1)
	{
		for (int i = 0; i < answers; i++) {
			const struct aub_judge_answer answer = {
				.route = route,
				.failed = chance(0.004),
				.ms = time(),
			};

			aub_judge_add_baseline(&it, &answer);
		}
	}
	/* Until it is found to be bad; the answers that took, or -1. */
	int take(int answers, double fails, double slower, guint32 route = 1,
		 bool full = false, int only_upstream = -1)
	{
		for (int i = 0; i < answers && !it.alarmed; i++) {
			size_t at = only_upstream >= 0 ?
					    (size_t)only_upstream :
					    random() % evidence.size();
			const struct aub_judge_answer answer = {
				.route = route,
				.failed = chance(fails),
				.ms = time() * slower,
				.full = full,
			};

			aub_judge_add_canary(&it, &answer, &evidence[at],
					     aub_judge_evidence_max(
						     (guint)evidence.size()));
			if (it.alarmed)
				return i + 1;
		}
		return -1;
	}
};

TEST(RolloutJudge, TrustsAVersionLikeTheOldOne)
{
	for (unsigned seed = 1; seed <= 200; seed++) {
		Judge judge;

		judge.random.seed(seed);
		judge.base(2000);
		EXPECT_EQ(judge.take(1000, 0.004, 1), -1) << seed;
	}
}

/* Guards against a version whose failures are seen only after hundreds. */
TEST(RolloutJudge, FindsFailuresWithinFewAnswers)
{
	for (unsigned seed = 1; seed <= 50; seed++) {
		Judge judge;

		judge.random.seed(seed);
		judge.base(500);
		int half = judge.take(1000, 0.5, 1);
		EXPECT_GT(half, 0);
		EXPECT_LT(half, 40);
	}
}

TEST(RolloutJudge, FindsWhatIsSeveralTimesSlower)
{
	for (unsigned seed = 1; seed <= 50; seed++) {
		Judge judge;

		judge.random.seed(seed);
		judge.base(500);
		int taken = judge.take(1000, 0.004, 3);
		EXPECT_GT(taken, 0);
		EXPECT_LT(taken, 60);
	}
}

/* Guards against good answers that hide a fault which begins late. */
TEST(RolloutJudge, FindsAFaultThatBeginsLateAsFast)
{
	Judge judge;

	judge.base(2000);
	ASSERT_EQ(judge.take(3000, 0.004, 1), -1);
	int taken = judge.take(1000, 0.5, 1);
	EXPECT_GT(taken, 0);
	EXPECT_LT(taken, 40);
}

/* Guards against a fault of one rare route that drowns in the others. */
TEST(RolloutJudge, FindsAFaultOfOneRoute)
{
	Judge judge;

	judge.base(2000, 1);
	judge.base(50, 2);
	int rare = 0;
	for (int i = 0; i < 40 && !judge.it.alarmed; i++) {
		judge.take(49, 0.004, 1, 1);
		judge.take(1, 0.9, 1, 2);
		rare++;
	}
	EXPECT_TRUE(judge.it.alarmed);
	EXPECT_EQ(judge.it.route, 2u);
	EXPECT_LT(rare, 20);
}

TEST(RolloutJudge, FindsAFaultOfFullUpstreams)
{
	Judge judge;

	judge.base(2000);
	for (int i = 0; i < 40 && !judge.it.alarmed; i++) {
		judge.take(20, 0.004, 1);
		judge.take(4, 0.5, 1, 1, true);
	}
	EXPECT_TRUE(judge.it.alarmed);
}

/* Guards against one ill upstream that is taken for a bad version. */
TEST(RolloutJudge, IsNotConvincedByOneIllUpstream)
{
	for (unsigned seed = 1; seed <= 50; seed++) {
		Judge judge;

		judge.random.seed(seed);
		judge.base(2000);
		for (int i = 0; i < 200; i++) {
			judge.take(9, 0.004, 1);
			judge.take(1, 0.45, 1, 1, false, 3);
		}
		EXPECT_FALSE(judge.it.alarmed) << seed;
	}
}

/* Guards against a whole service that fails being blamed on a version. */
TEST(RolloutJudge, MeasuresByTheOldVersionBesideIt)
{
	Judge judge;

	for (int i = 0; i < 400; i++) {
		const struct aub_judge_answer answer = {
			.route = 1,
			.failed = judge.chance(0.3),
			.ms = judge.time(),
		};

		aub_judge_add_baseline(&judge.it, &answer);
	}
	EXPECT_EQ(judge.take(300, 0.3, 1), -1);
}

TEST(RolloutJudge, KeepsTheOldVersionsMeasureForTheNextOrder)
{
	Judge judge;

	judge.base(500);
	ASSERT_GT(judge.take(1000, 0.5, 1), 0);
	aub_judge_reset_canary(&judge.it);
	EXPECT_FALSE(judge.it.alarmed);
	EXPECT_EQ(judge.it.answers, 0u);
	EXPECT_GT(aub_judge_slow_ms(&judge.it, 1, false), 0);
}

TEST(RolloutJudge, GoesOnFromAnothersEvidence)
{
	Judge first;
	Judge second;

	first.base(500);
	second.base(500);
	while (!aub_judge_is_suspicious(&first.it))
		first.take(1, 0.5, 1);
	ASSERT_FALSE(first.it.alarmed);
	EXPECT_FALSE(aub_judge_is_suspicious(&second.it));
	struct aub_judge_route routes[AUB_JUDGE_ROUTES_MAX + 1];
	guint count = aub_judge_export(&first.it, routes);
	aub_judge_import(&second.it, routes, count);
	EXPECT_TRUE(aub_judge_is_suspicious(&second.it));
	EXPECT_EQ(second.it.answers, first.it.answers);
}

TEST(RolloutJudge, ManyRoutesShareTheLastPlace)
{
	Judge judge;

	for (guint32 route = 1; route <= 100; route++)
		judge.base(1, route);
	EXPECT_EQ(judge.it.count, (guint)AUB_JUDGE_ROUTES_MAX);
	EXPECT_GT(judge.take(1000, 0.5, 1, 99), 0);
}

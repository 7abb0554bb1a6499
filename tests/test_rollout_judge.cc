/*
 * Detection of a bad version by its responses.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/rollout_judge.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

/* An old version that fails one response in 250, and a new one. */
class JudgeFixture
{
      public:
	struct aub_judge judge = {};
	std::mt19937 random{ 7 };
	std::vector<struct aub_judge_evidence> evidence;

	explicit JudgeFixture(guint upstreams = 10) : evidence(upstreams)
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

			aub_judge_add_baseline(&judge, &answer);
		}
	}
	/*
	 * Adds responses of the new version until it is rejected. Returns how
	 * many that took, or -1.
	 */
	int take(int answers, double fails, double slower, guint32 route = 1,
		 bool full = false, int only_upstream = -1)
	{
		for (int i = 0; i < answers && !judge.alarmed; i++) {
			size_t at = only_upstream >= 0 ?
					    (size_t)only_upstream :
					    random() % evidence.size();
			const struct aub_judge_answer answer = {
				.route = route,
				.failed = chance(fails),
				.ms = time() * slower,
				.full = full,
			};

			aub_judge_add_canary(&judge, &answer, &evidence[at],
					     aub_judge_evidence_max(
						     (guint)evidence.size()));
			if (judge.alarmed)
				return i + 1;
		}
		return -1;
	}
};

TEST(RolloutJudge, AcceptsVersionLikeTheOldOne)
{
	for (unsigned seed = 1; seed <= 200; seed++) {
		JudgeFixture fixture;

		fixture.random.seed(seed);
		fixture.base(2000);
		EXPECT_EQ(fixture.take(1000, 0.004, 1), -1) << seed;
	}
}

/*
 * Guards against failures that are detected only after hundreds of responses.
 */
TEST(RolloutJudge, DetectsFailuresWithinFewResponses)
{
	for (unsigned seed = 1; seed <= 50; seed++) {
		JudgeFixture fixture;

		fixture.random.seed(seed);
		fixture.base(500);
		int half = fixture.take(1000, 0.5, 1);
		EXPECT_GT(half, 0);
		EXPECT_LT(half, 40);
	}
}

TEST(RolloutJudge, DetectsVersionThatIsSeveralTimesSlower)
{
	for (unsigned seed = 1; seed <= 50; seed++) {
		JudgeFixture fixture;

		fixture.random.seed(seed);
		fixture.base(500);
		int taken = fixture.take(1000, 0.004, 3);
		EXPECT_GT(taken, 0);
		EXPECT_LT(taken, 60);
	}
}

/* Guards against good responses that mask a fault which starts late. */
TEST(RolloutJudge, DetectsLateRegressionAsFast)
{
	JudgeFixture fixture;

	fixture.base(2000);
	ASSERT_EQ(fixture.take(3000, 0.004, 1), -1);
	int taken = fixture.take(1000, 0.5, 1);
	EXPECT_GT(taken, 0);
	EXPECT_LT(taken, 40);
}

/* Guards against a fault of one rare route that is masked by the others. */
TEST(RolloutJudge, DetectsFaultOfOneRoute)
{
	JudgeFixture fixture;

	fixture.base(2000, 1);
	fixture.base(50, 2);
	int rare = 0;
	for (int i = 0; i < 40 && !fixture.judge.alarmed; i++) {
		fixture.take(49, 0.004, 1, 1);
		fixture.take(1, 0.9, 1, 2);
		rare++;
	}
	EXPECT_TRUE(fixture.judge.alarmed);
	EXPECT_EQ(fixture.judge.route, 2u);
	EXPECT_LT(rare, 20);
}

TEST(RolloutJudge, DetectsFaultOfFullUpstreams)
{
	JudgeFixture fixture;

	fixture.base(2000);
	for (int i = 0; i < 40 && !fixture.judge.alarmed; i++) {
		fixture.take(20, 0.004, 1);
		fixture.take(4, 0.5, 1, 1, true);
	}
	EXPECT_TRUE(fixture.judge.alarmed);
}

/* Guards against rejecting a version because of one unhealthy upstream. */
TEST(RolloutJudge, AcceptsVersionWithOneUnhealthyUpstream)
{
	for (unsigned seed = 1; seed <= 50; seed++) {
		JudgeFixture fixture;

		fixture.random.seed(seed);
		fixture.base(2000);
		for (int i = 0; i < 200; i++) {
			fixture.take(9, 0.004, 1);
			fixture.take(1, 0.45, 1, 1, false, 3);
		}
		EXPECT_FALSE(fixture.judge.alarmed) << seed;
	}
}

/* Guards against blaming a version for failures of the whole service. */
TEST(RolloutJudge, ComparesWithConcurrentOldVersion)
{
	JudgeFixture fixture;

	for (int i = 0; i < 400; i++) {
		const struct aub_judge_answer answer = {
			.route = 1,
			.failed = fixture.chance(0.3),
			.ms = fixture.time(),
		};

		aub_judge_add_baseline(&fixture.judge, &answer);
	}
	EXPECT_EQ(fixture.take(300, 0.3, 1), -1);
}

TEST(RolloutJudge, KeepsBaselineForTheNextOrder)
{
	JudgeFixture fixture;

	fixture.base(500);
	ASSERT_GT(fixture.take(1000, 0.5, 1), 0);
	aub_judge_reset_canary(&fixture.judge.judge);
	EXPECT_FALSE(fixture.judge.alarmed);
	EXPECT_EQ(fixture.judge.answers, 0u);
	EXPECT_GT(aub_judge_slow_ms(&fixture.judge, 1, false), 0);
}

TEST(RolloutJudge, ImportsEvidenceOfAnotherProcess)
{
	JudgeFixture first;
	JudgeFixture second;

	first.base(500);
	second.base(500);
	while (!aub_judge_is_suspicious(&first.judge))
		first.take(1, 0.5, 1);
	ASSERT_FALSE(first.judge.alarmed);
	EXPECT_FALSE(aub_judge_is_suspicious(&second.judge));
	struct aub_judge_route routes[AUB_JUDGE_ROUTES_MAX + 1];
	guint count = aub_judge_export(&first.judge, routes);
	aub_judge_import(&second.judge, routes, count);
	EXPECT_TRUE(aub_judge_is_suspicious(&second.judge));
	EXPECT_EQ(second.judge.answers, first.judge.answers);
}

TEST(RolloutJudge, FurtherRoutesShareTheLastEntry)
{
	JudgeFixture fixture;

	for (guint32 route = 1; route <= 100; route++)
		fixture.base(1, route);
	EXPECT_EQ(fixture.judge.count, (guint)AUB_JUDGE_ROUTES_MAX);
	EXPECT_GT(fixture.take(1000, 0.5, 1, 99), 0);
}

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
	double time(double mean_ms = 200)
	{
		return mean_ms *
		       std::lognormal_distribution<double>(0, 0.3)(random);
	}
	bool chance(double share)
	{
		return std::uniform_real_distribution<double>(0, 1)(random) <
		       share;
	}
	void add_baseline(int answers, guint32 route = 1)
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
	int add_canary(int answers, double failure_rate, double slowdown,
		       guint32 route = 1, bool full = false,
		       int only_upstream = -1)
	{
		for (int i = 0; i < answers && !judge.alarmed; i++) {
			size_t index = only_upstream >= 0 ?
					       (size_t)only_upstream :
					       random() % evidence.size();
			const struct aub_judge_answer answer = {
				.route = route,
				.failed = chance(failure_rate),
				.ms = time() * slowdown,
				.full = full,
			};

			aub_judge_add_canary(&judge, &answer, &evidence[index],
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
		fixture.add_baseline(2000);
		EXPECT_EQ(fixture.add_canary(1000, 0.004, 1), -1) << seed;
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
		fixture.add_baseline(500);
		int detected_after = fixture.add_canary(1000, 0.5, 1);
		EXPECT_GT(detected_after, 0);
		EXPECT_LT(detected_after, 40);
	}
}

TEST(RolloutJudge, DetectsVersionThatIsSeveralTimesSlower)
{
	for (unsigned seed = 1; seed <= 50; seed++) {
		JudgeFixture fixture;

		fixture.random.seed(seed);
		fixture.add_baseline(500);
		int detected_after = fixture.add_canary(1000, 0.004, 3);
		EXPECT_GT(detected_after, 0);
		EXPECT_LT(detected_after, 60);
	}
}

/* Guards against good responses that mask a fault which starts late. */
TEST(RolloutJudge, DetectsLateRegressionAsFast)
{
	JudgeFixture fixture;

	fixture.add_baseline(2000);
	ASSERT_EQ(fixture.add_canary(3000, 0.004, 1), -1);
	int detected_after = fixture.add_canary(1000, 0.5, 1);
	EXPECT_GT(detected_after, 0);
	EXPECT_LT(detected_after, 40);
}

/* Guards against a fault of one rare route that is masked by the others. */
TEST(RolloutJudge, DetectsFaultOfOneRoute)
{
	JudgeFixture fixture;

	fixture.add_baseline(2000, 1);
	fixture.add_baseline(50, 2);
	int rounds = 0;
	for (int i = 0; i < 40 && !fixture.judge.alarmed; i++) {
		fixture.add_canary(49, 0.004, 1, 1);
		fixture.add_canary(1, 0.9, 1, 2);
		rounds++;
	}
	EXPECT_TRUE(fixture.judge.alarmed);
	EXPECT_EQ(fixture.judge.route, 2u);
	EXPECT_LT(rounds, 20);
}

TEST(RolloutJudge, DetectsFaultOfFullUpstreams)
{
	JudgeFixture fixture;

	fixture.add_baseline(2000);
	for (int i = 0; i < 40 && !fixture.judge.alarmed; i++) {
		fixture.add_canary(20, 0.004, 1);
		fixture.add_canary(4, 0.5, 1, 1, true);
	}
	EXPECT_TRUE(fixture.judge.alarmed);
}

/* Guards against rejecting a version because of one unhealthy upstream. */
TEST(RolloutJudge, AcceptsVersionWithOneUnhealthyUpstream)
{
	for (unsigned seed = 1; seed <= 50; seed++) {
		JudgeFixture fixture;

		fixture.random.seed(seed);
		fixture.add_baseline(2000);
		for (int i = 0; i < 200; i++) {
			fixture.add_canary(9, 0.004, 1);
			fixture.add_canary(1, 0.45, 1, 1, false, 3);
		}
		EXPECT_FALSE(fixture.judge.alarmed) << seed;
	}
}

/* Guards against blaming a version for failures of both versions. */
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
	EXPECT_EQ(fixture.add_canary(300, 0.3, 1), -1);
}

TEST(RolloutJudge, KeepsBaselineForTheNextOrder)
{
	JudgeFixture fixture;

	fixture.add_baseline(500);
	ASSERT_GT(fixture.add_canary(1000, 0.5, 1), 0);
	aub_judge_reset_canary(&fixture.judge);
	EXPECT_FALSE(fixture.judge.alarmed);
	EXPECT_EQ(fixture.judge.answers, 0u);
	EXPECT_GT(aub_judge_slow_ms(&fixture.judge, 1, false), 0);
}

TEST(RolloutJudge, ImportsEvidenceOfAnotherProcess)
{
	JudgeFixture first;
	JudgeFixture second;

	first.add_baseline(500);
	second.add_baseline(500);
	while (!aub_judge_is_suspicious(&first.judge))
		first.add_canary(1, 0.5, 1);
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
		fixture.add_baseline(1, route);
	EXPECT_EQ(fixture.judge.count, (guint)AUB_JUDGE_ROUTES_MAX);
	EXPECT_GT(fixture.add_canary(1000, 0.5, 1, 99), 0);
}

/*
 * Predictions of slowdowns from load reports.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/load_trend.h>

#include <random>

#define US_PER_MS ((gint64)1000)

/*
 * Returns a trend that has seen a report per `interval_ms` of interference that
 * changes every `phase_ms`.
 */
static struct aub_load_trend learned(double share, double factor, int phase_ms,
				     int interval_ms)
{
	struct aub_load_trend trend;
	std::mt19937 random(3);
	double before = 1;
	double now = 1;

	aub_load_trend_init(&trend);
	for (int ms = 0; ms < 600000; ms++) {
		if (ms % phase_ms == 0)
			now = random() % 1000 < share * 1000 ? factor : 1;
		if (ms % interval_ms)
			continue;
		aub_load_trend_observe(&trend, before, now,
				       interval_ms * US_PER_MS);
		before = now;
	}
	return trend;
}

TEST(LoadTrend, TrustsFreshReports)
{
	struct aub_load_trend trend;

	aub_load_trend_init(&trend);
	EXPECT_NEAR(aub_load_trend_predict(&trend, 4, 0), 4, 0.01);
	EXPECT_NEAR(aub_load_trend_predict(&trend, 1, 0), 1, 0.01);
}

TEST(LoadTrend, LearnsDurationOfInterference)
{
	struct aub_load_trend brief = learned(0.25, 4, 300, 60);
	struct aub_load_trend lasting = learned(0.25, 4, 2000, 60);

	EXPECT_NEAR(aub_load_trend_correlation_ms(&brief), 300, 100);
	EXPECT_NEAR(aub_load_trend_correlation_ms(&lasting), 2000, 700);
}

TEST(LoadTrend, DecaysTowardsTheMean)
{
	struct aub_load_trend trend = learned(0.25, 4, 300, 60);
	double mean = aub_load_trend_mean(&trend);

	EXPECT_NEAR(mean, 1.75, 0.3);
	EXPECT_LT(aub_load_trend_predict(&trend, 4, 300 * US_PER_MS), 3);
	EXPECT_GT(aub_load_trend_predict(&trend, 1, 300 * US_PER_MS), 1.3);
	EXPECT_NEAR(aub_load_trend_predict(&trend, 4, 10000 * US_PER_MS), mean,
		    0.01);
}

TEST(LoadTrend, PredictsNoChangeAfterConstantReports)
{
	struct aub_load_trend trend;

	aub_load_trend_init(&trend);
	for (int i = 0; i < 20000; i++)
		aub_load_trend_observe(&trend, 1, 1, 100 * US_PER_MS);
	EXPECT_NEAR(aub_load_trend_mean(&trend), 1, 0.01);
	EXPECT_NEAR(aub_load_trend_predict(&trend, 1, 1000 * US_PER_MS), 1,
		    0.01);
}

TEST(LoadTrend, IgnoresImplausibleReports)
{
	struct aub_load_trend trend;

	aub_load_trend_init(&trend);
	aub_load_trend_observe(&trend, 1, 1e9, 100 * US_PER_MS);
	aub_load_trend_observe(&trend, 1, 4, -5 * US_PER_MS);
	aub_load_trend_observe(&trend, 1, 4, 3600 * 1000 * US_PER_MS);
	EXPECT_LT(aub_load_trend_mean(&trend), 2);
	EXPECT_GT(aub_load_trend_correlation_ms(&trend), 0);
}

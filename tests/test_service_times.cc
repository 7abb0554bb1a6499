/*
 * Service times of a service's requests, by class.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/service_times.h>

TEST(ServiceTimes, LearnsEachClassSeparately)
{
	/*
	 * Guards against requests of 3 ms among those of 400 ms making an
	 * upstream look twice as fast as the others, so that all requests would
	 * go there.
	 */
	struct aub_service_times times = {};

	for (int i = 0; i < 100; i++) {
		aub_service_times_observe(&times, 1000, 3);
		aub_service_times_observe(&times, 800, 400);
	}
	EXPECT_LT(aub_service_times_mean_ms(&times, 1000), 20);
	EXPECT_FALSE(aub_service_times_is_informative(&times, 1000));
	EXPECT_TRUE(aub_service_times_is_informative(&times, 800));
	EXPECT_FALSE(aub_service_times_is_informative(&times, 600));
	EXPECT_NEAR(aub_service_times_mean_ms(&times, 800), 400, 10);
}

TEST(ServiceTimes, UsesPriorForUnknownClass)
{
	struct aub_service_times times = {};

	EXPECT_GT(aub_service_times_mean_ms(&times, 1000), 100);
	EXPECT_LT(aub_service_times_mean_ms(&times, 1000), 1000);
	EXPECT_GT(aub_service_times_mean_ms(&times, 0), 0);
	aub_service_times_observe(&times, 0, 5);
	aub_service_times_observe(&times, 1000, -5);
	EXPECT_GT(aub_service_times_mean_ms(&times, 1000), 100);
}

TEST(ServiceTimes, IgnoresAFewOutliers)
{
	struct aub_service_times times = {};

	for (int i = 0; i < 200; i++)
		aub_service_times_observe(&times, 300, i % 20 ? 100 : 2500);
	EXPECT_LT(aub_service_times_mean_ms(&times, 300), 130);
}

TEST(ServiceTimes, KeepsClassesInUse)
{
	struct aub_service_times times = {};

	for (guint i = 0; i < 2000; i++) {
		aub_service_times_observe(&times, 300, 100);
		aub_service_times_observe(&times, 10000 + i, 100);
	}
	EXPECT_NEAR(aub_service_times_mean_ms(&times, 300), 100, 1);
}

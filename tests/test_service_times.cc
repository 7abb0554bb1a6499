/*
 * How long a service's requests usually take, by kind.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/service_times.h>

TEST(WorkTimes, LearnsEachKindByItself)
{
	/*
	 * Requests of 3 ms beside those of 400 ms must not make an upstream
	 * look twice as fast as the others, so that all callers are sent there.
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

TEST(WorkTimes, GuessesWhatItHasNotSeen)
{
	struct aub_service_times times = {};

	EXPECT_GT(aub_service_times_mean_ms(&times, 1000), 100);
	EXPECT_LT(aub_service_times_mean_ms(&times, 1000), 1000);
	EXPECT_GT(aub_service_times_mean_ms(&times, 0), 0);
	aub_service_times_observe(&times, 0, 5);
	aub_service_times_observe(&times, 1000, -5);
	EXPECT_GT(aub_service_times_mean_ms(&times, 1000), 100);
}

TEST(WorkTimes, IsNotLedAstrayByAFewLongOnes)
{
	struct aub_service_times times = {};

	for (int i = 0; i < 200; i++)
		aub_service_times_observe(&times, 300, i % 20 ? 100 : 2500);
	EXPECT_LT(aub_service_times_mean_ms(&times, 300), 130);
}

TEST(WorkTimes, KeepsTheKindsInUse)
{
	struct aub_service_times times = {};

	for (guint i = 0; i < 2000; i++) {
		aub_service_times_observe(&times, 300, 100);
		aub_service_times_observe(&times, 10000 + i, 100);
	}
	EXPECT_NEAR(aub_service_times_mean_ms(&times, 300), 100, 1);
}

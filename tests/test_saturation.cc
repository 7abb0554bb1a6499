/*
 * How work slows down as an upstream fills, and how full it is best kept.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/saturation.h>

/* Answers at each number of running requests, so many times as long. */
static struct aub_saturation learned(guint slots, double at,
				     double smoothed_slowdown,
				     int answers = 100)
{
	struct aub_saturation saturation;

	aub_saturation_init(&saturation);
	for (int i = 0; i < answers; i++)
		for (guint n = 1; n <= slots; n++)
			aub_saturation_observe(&saturation, n, slots,
					       n >= at * slots ?
						       smoothed_slowdown :
						       1);
	return saturation;
}

TEST(Knee, LearnsWhereUpstreamsSlowDown)
{
	struct aub_saturation saturation = learned(6, 0.8, 1.7);

	EXPECT_NEAR(aub_saturation_slowdown(&saturation, 4, 6), 1, 0.1);
	EXPECT_NEAR(aub_saturation_slowdown(&saturation, 5, 6), 1.7, 0.1);
	EXPECT_EQ(aub_saturation_limit(&saturation, 6), 4u);
}

TEST(Knee, UsesAllSlotsWhereNothingSlowsDown)
{
	for (guint slots : { 1u, 2u, 6u, 16u }) {
		struct aub_saturation saturation = learned(slots, 1, 1);

		EXPECT_EQ(aub_saturation_limit(&saturation, slots), slots)
			<< slots;
	}
}

TEST(Knee, UsesTheLastSlotsWhereTheyGainMoreThanTheyCost)
{
	/* Both of two slots do 2 / 1.7 as much as one. */
	struct aub_saturation two = learned(2, 0.8, 1.7);
	struct aub_saturation many = learned(16, 0.5, 3);

	EXPECT_EQ(aub_saturation_limit(&two, 2), 2u);
	EXPECT_EQ(aub_saturation_limit(&many, 16), 7u);
}

TEST(Knee, HoldsItsPriorAgainstAFewAnswers)
{
	struct aub_saturation saturation;

	aub_saturation_init(&saturation);
	EXPECT_EQ(aub_saturation_limit(&saturation, 6), 5u);
	aub_saturation_observe(&saturation, 1, 6, 1);
	aub_saturation_observe(&saturation, 5, 6, 100);
	EXPECT_GE(aub_saturation_limit(&saturation, 6), 4u);
	aub_saturation_observe(&saturation, 5, 6, -1);
	aub_saturation_observe(&saturation, 9, 6, 1);
	EXPECT_GE(aub_saturation_limit(&saturation, 6), 4u);
	EXPECT_GE(aub_saturation_limit(&saturation, 0), 1u);
}

TEST(Knee, IsNotLedAstrayByBursts)
{
	/* One answer in ten takes four times as long, however full it is. */
	struct aub_saturation saturation;

	aub_saturation_init(&saturation);
	for (int i = 0; i < 600; i++)
		aub_saturation_observe(&saturation, 1 + i % 6, 6,
				       i / 6 % 10 ? 1 : 4);
	EXPECT_EQ(aub_saturation_limit(&saturation, 6), 6u);
}

TEST(Knee, TriesAgainWhatItGaveUp)
{
	/*
	 * Upstreams were slow for a while for another reason. Callers would
	 * wait for slots that stand empty for good, were they not tried again.
	 */
	struct aub_saturation saturation = learned(6, 0.8, 3);

	EXPECT_EQ(aub_saturation_limit(&saturation, 6), 4u);
	for (int i = 0; i < 20000; i++)
		aub_saturation_observe(&saturation, 1 + i % 4, 6, 1);
	EXPECT_EQ(aub_saturation_limit(&saturation, 6), 5u);
}

/*
 * The slowdown by utilization, and the concurrency limit derived from it.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/saturation.h>

/*
 * Returns an estimator that has seen responses at each concurrency, slower by
 * `saturated_slowdown` from `saturation_share` of the slots on.
 */
static struct aub_saturation learned(guint slots, double saturation_share,
				     double saturated_slowdown,
				     int rounds = 100)
{
	struct aub_saturation saturation;

	aub_saturation_init(&saturation);
	for (int i = 0; i < rounds; i++)
		for (guint n = 1; n <= slots; n++)
			aub_saturation_observe(&saturation, n, slots,
					       n >= saturation_share * slots ?
						       saturated_slowdown :
						       1);
	return saturation;
}

TEST(Saturation, LearnsTheSaturationPoint)
{
	struct aub_saturation saturation = learned(6, 0.8, 1.7);

	EXPECT_NEAR(aub_saturation_slowdown(&saturation, 4, 6), 1, 0.1);
	EXPECT_NEAR(aub_saturation_slowdown(&saturation, 5, 6), 1.7, 0.1);
	EXPECT_EQ(aub_saturation_limit(&saturation, 6), 4u);
}

TEST(Saturation, UsesAllSlotsIfNothingSlowsDown)
{
	for (guint slots : { 1u, 2u, 6u, 16u }) {
		struct aub_saturation saturation = learned(slots, 1, 1);

		EXPECT_EQ(aub_saturation_limit(&saturation, slots), slots)
			<< slots;
	}
}

TEST(Saturation, UsesLastSlotsIfTheyIncreaseThroughput)
{
	/* Two requests at two slots complete 2 / 1.7 as much as one. */
	struct aub_saturation two = learned(2, 0.8, 1.7);
	struct aub_saturation many = learned(16, 0.5, 3);

	EXPECT_EQ(aub_saturation_limit(&two, 2), 2u);
	EXPECT_EQ(aub_saturation_limit(&many, 16), 7u);
}

TEST(Saturation, KeepsPriorDespiteAFewSamples)
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

TEST(Saturation, IgnoresInterferenceBursts)
{
	/* One response in ten takes four times as long at any utilization. */
	struct aub_saturation saturation;

	aub_saturation_init(&saturation);
	for (int i = 0; i < 600; i++)
		aub_saturation_observe(&saturation, 1 + i % 6, 6,
				       i / 6 % 10 ? 1 : 4);
	EXPECT_EQ(aub_saturation_limit(&saturation, 6), 6u);
}

TEST(Saturation, TriesAvoidedUtilizationAgain)
{
	/*
	 * Guards against slots that stay unused forever while callers wait:
	 * upstreams were slow for a while for another reason, so a
	 * utilization that was given up has to be tried again.
	 */
	struct aub_saturation saturation = learned(6, 0.8, 3);

	EXPECT_EQ(aub_saturation_limit(&saturation, 6), 4u);
	for (int i = 0; i < 20000; i++)
		aub_saturation_observe(&saturation, 1 + i % 4, 6, 1);
	EXPECT_EQ(aub_saturation_limit(&saturation, 6), 5u);
}

/* Counts with exponential decay, and shares with a prior. */
#include <gtest/gtest.h>

#include <auburnstile/internal/decayed_share.h>

static const gint64 HALF_LIFE_US = 1000;

TEST(DecayedShare, EventsCountHalfAfterHalfLife)
{
	EXPECT_DOUBLE_EQ(aub_decay(0, HALF_LIFE_US), 1);
	EXPECT_DOUBLE_EQ(aub_decay(1000, HALF_LIFE_US), 0.5);
	EXPECT_DOUBLE_EQ(aub_decay(3000, HALF_LIFE_US), 0.125);
	EXPECT_DOUBLE_EQ(aub_decay(-5, HALF_LIFE_US), 1);
}

TEST(DecayedShare, IsThePriorWithoutEvents)
{
	struct aub_decayed_share share = {};

	EXPECT_DOUBLE_EQ(aub_decayed_share_value(&share, 0.75, 4, HALF_LIFE_US,
						 10),
			 0.75);
}

TEST(DecayedShare, ReturnsToThePriorAsEventsDecay)
{
	struct aub_decayed_share share = {};

	aub_decayed_share_observe(&share, 12, 12, HALF_LIFE_US, 10);
	EXPECT_DOUBLE_EQ(aub_decayed_share_value(&share, 0, 4, HALF_LIFE_US,
						 10),
			 0.75);
	EXPECT_DOUBLE_EQ(aub_decayed_share_events(&share, HALF_LIFE_US, 1010),
			 6);
	EXPECT_DOUBLE_EQ(aub_decayed_share_value(&share, 0, 4, HALF_LIFE_US,
						 1010),
			 0.6);
}

TEST(DecayedShare, NewEventsOutweighOldOnes)
{
	struct aub_decayed_share share = {};

	aub_decayed_share_observe(&share, 8, 8, HALF_LIFE_US, 0);
	aub_decayed_share_observe(&share, 0, 8, HALF_LIFE_US, 2000);
	EXPECT_DOUBLE_EQ(aub_decayed_share_value(&share, 0, 0, HALF_LIFE_US,
						 2000),
			 0.2);
}

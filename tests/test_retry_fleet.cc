/*
 * The retry budget over the sum of all gateways, whatever happens to them.
 */
#include "placement_fleet.h"

#include <functional>

/* Calls `check` for fleets whose gateways are paused for ever more of the time.
 */
static void with_slow_placers(
	const std::function<void(const PlacementFleet &fleet)> &check)
{
	for (guint seed = 1; seed <= 10; seed++) {
		PlacementFleetSpec spec;

		spec.seed = seed;
		spec.paused_share = 0.05 * (seed + 1);
		PlacementFleet fleet(spec);
		fleet.run(25 * US_PER_S);
		check(fleet);
	}
}

/* Guards against requests that several placers count after a slow one. */
TEST(RetryFleet, KeepsBudgetWhilePlacersAreSlow)
{
	with_slow_placers([](const PlacementFleet &fleet) {
		EXPECT_LE(fleet.largest_share, 1.0)
			<< "seed " << fleet.spec.seed;
	});
}

/* Guards against credit that is lost with the placers that are asked in vain.
 */
TEST(RetryFleet, SpendsMostOfItsBudgetWhilePlacersAreSlow)
{
	with_slow_placers([](const PlacementFleet &fleet) {
		EXPECT_GE(fleet.further_in_all,
			  0.8 * PlacementFleet::RATIO * fleet.requests_in_all)
			<< "seed " << fleet.spec.seed;
	});
}

/* Guards against a slack that each new placer spends once more. */
TEST(RetryFleet, KeepsBudgetWhilePlacersAreKilled)
{
	for (guint seed = 1; seed <= 10; seed++) {
		PlacementFleetSpec spec;

		spec.seed = seed;
		spec.slack = 200;
		spec.requests_per_s = 100;
		spec.kill_period_us = (200 + 100 * seed) * US_PER_MS;
		PlacementFleet fleet(spec);
		fleet.run(25 * US_PER_S);
		EXPECT_LE(fleet.largest_share, 1.0) << "seed " << seed;
	}
}

/* Guards against earnings of a higher load that are spent when it has gone. */
TEST(RetryFleet, KeepsBudgetWhenLoadFalls)
{
	for (guint seed = 1; seed <= 5; seed++) {
		PlacementFleetSpec spec;

		spec.seed = seed;
		spec.load_falls_us = 15 * US_PER_S;
		spec.paused_share = seed % 2 ? 0.4 : 0;
		PlacementFleet fleet(spec);
		fleet.run(30 * US_PER_S);
		EXPECT_LE(fleet.largest_share, 1.0) << "seed " << seed;
	}
}

/* All of it at once, at random, in small and large fleets. */
TEST(RetryFleet, KeepsBudgetWhateverHappens)
{
	for (guint seed = 1; seed <= 25; seed++) {
		GRand *random = g_rand_new_with_seed(1000 + seed);
		PlacementFleetSpec spec;

		spec.seed = seed;
		spec.gateways = g_rand_int_range(random, 4, 40);
		spec.requests_per_s = g_rand_double_range(random, 20, 400);
		spec.refused = g_rand_double_range(random, 0.4, 0.85);
		spec.slack = g_rand_double_range(random, 10, 250);
		spec.paused_share = g_rand_double_range(random, 0, 0.7);
		spec.pause_period_us =
			g_rand_int_range(random, 100, 3000) * US_PER_MS;
		spec.kill_period_us =
			g_rand_int_range(random, 200, 4000) * US_PER_MS;
		PlacementFleet fleet(spec);
		fleet.run(25 * US_PER_S);
		EXPECT_LE(fleet.largest_share, 1.0) << "seed " << seed;
		g_rand_free(random);
	}
}

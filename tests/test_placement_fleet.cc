/*
 * What cold upstreams get from all placers together.
 */
#include "placement_fleet.h"

/* As the fixture configures the service, and the platform's bounds. */
#define WARMUP_PER_S 2.0
#define WARMUP_OVERAGE 1.5
#define WARMUP_SLACK 5

/* Guards against a rate that each of several placers grants for itself. */
TEST(PlacementFleet, ColdUpstreamGetsNoMoreThanItBearsWhilePlacersAreSlow)
{
	for (guint seed = 1; seed <= 10; seed++) {
		PlacementFleetSpec spec;

		spec.seed = seed;
		spec.requests_per_s = 400;
		spec.refused = 0.1;
		spec.slots = 4;
		spec.cold_upstream = true;
		spec.paused_share = 0.07 * seed;
		spec.pause_period_us = 400 * US_PER_MS;
		spec.kill_period_us = seed % 2 ? 300 * US_PER_MS : 0;
		PlacementFleet fleet(spec);
		fleet.run(15 * US_PER_S);
		EXPECT_LE(fleet.cold_arrivals_most,
			  WARMUP_PER_S * WARMUP_OVERAGE + WARMUP_SLACK)
			<< "seed " << seed;
	}
}

/* When upstreams are probed, and what the end of a probe says of them. */
#include "placement_fixture.h"

#include <set>

TEST(PlacementProbe, ProbesEachUpstreamInTurnAndNoneTwiceAtOnce)
{
	PlacementFixture fixture;
	struct aub_probe probe;
	std::set<std::string> seen;

	for (int i = 0; i < 5; i++)
		fixture.register_upstream("u" + std::to_string(i));
	while (aub_placement_probe_next(fixture.placement, NULL, fixture.now_us,
					&probe))
		EXPECT_TRUE(seen.insert(probe.upstream).second);
	EXPECT_EQ(seen.size(), 5u);
	fixture.now_us += 1000 * US_PER_MS;
	EXPECT_FALSE(aub_placement_probe_next(fixture.placement, NULL,
					      fixture.now_us, &probe));
	for (int i = 0; i < 5; i++)
		fixture.finish_probe("u" + std::to_string(i));
	EXPECT_TRUE(aub_placement_probe_next(fixture.placement, NULL,
					     fixture.now_us, &probe));
}

TEST(PlacementProbe, LeavesAZonesProbesToItsProber)
{
	PlacementFixture fixture;
	struct aub_probe probe;
	struct aub_load load = { 0, 0, 2, 100, -1 };

	fixture.register_upstream("far", 2, "z2");
	fixture.register_upstream("near", 2, "z1");
	ASSERT_TRUE(aub_placement_probe_next(fixture.placement, "z1",
					     fixture.now_us, &probe));
	EXPECT_STREQ(probe.upstream, "near");
	EXPECT_FALSE(aub_placement_probe_next(fixture.placement, "z1",
					      fixture.now_us, &probe));
	aub_placement_probe_received(fixture.placement, "far",
				     AUB_PROBE_HEALTHY, &load, fixture.now_us);
	EXPECT_EQ(fixture.endpoint("far")->state, AUB_ENDPOINT_UP);
	fixture.now_us += 200 * US_PER_MS;
	EXPECT_FALSE(aub_placement_probe_next(fixture.placement, NULL,
					      fixture.now_us, &probe));
	/* Its prober is silent: it is probed from here. */
	fixture.now_us += 200 * US_PER_MS;
	ASSERT_TRUE(aub_placement_probe_next(fixture.placement, NULL,
					     fixture.now_us, &probe));
	EXPECT_STREQ(probe.upstream, "far");
}

TEST(PlacementProbe, ProbesStayWithinTheirBudget)
{
	PlacementFixture fixture;
	struct aub_probe probe;
	int probes = 0;

	fixture.add_healthy("u1");
	for (int ms = 0; ms < 10000; ms++) {
		while (aub_placement_probe_next(fixture.placement, NULL,
						fixture.now_us, &probe)) {
			probes++;
			fixture.finish_probe("u1");
		}
		fixture.now_us += US_PER_MS;
	}
	EXPECT_LE(probes, 101);
	EXPECT_GE(probes, 90);
}

TEST(PlacementProbe, OneLostProbeIsNoDeath)
{
	PlacementFixture fixture;

	fixture.add_healthy("u1");
	fixture.finish_probe("u1", -1, -1, AUB_PROBE_NO_RESPONSE);
	EXPECT_EQ(fixture.endpoint("u1")->state, AUB_ENDPOINT_UP);
	fixture.finish_probe("u1", -1, -1, AUB_PROBE_NO_RESPONSE);
	EXPECT_EQ(fixture.endpoint("u1")->state, AUB_ENDPOINT_DOWN);
	fixture.finish_probe("u1");
	EXPECT_EQ(fixture.endpoint("u1")->state, AUB_ENDPOINT_UP);
	fixture.finish_probe("u1", -1, -1, AUB_PROBE_WRONG_UPSTREAM);
	EXPECT_EQ(fixture.endpoint("u1")->state, AUB_ENDPOINT_DOWN);
}

TEST(PlacementProbe, ProbesALargeServiceLessOften)
{
	/*
	 * Callers at 3,000 upstreams would wait behind probes: whoever sends
	 * them has a fifth of a core. A usual service is probed ten times a
	 * second, one of a thousand upstreams some 1,700 times in all.
	 */
	for (guint count : { 100u, 1000u }) {
		PlacementFixture fixture;
		struct aub_probe due;
		guint probes = 0;

		for (guint i = 0; i < count; i++)
			fixture.add_healthy("u" + std::to_string(i));
		for (int ms = 0; ms < 6000; ms += 20) {
			fixture.now_us += 20 * US_PER_MS;
			while (aub_placement_probe_next(fixture.placement, NULL,
							fixture.now_us, &due)) {
				probes++;
				fixture.finish_probe(due.upstream);
			}
		}
		EXPECT_LE(probes, count == 100 ? 6100u : 11000u);
		EXPECT_GE(probes, count == 100 ? 5900u : 9000u);
	}
}

TEST(PlacementProbe, ProbesTheOthersWhereManyAreSilent)
{
	/*
	 * Callers wait for upstreams that are back and that nobody has probed.
	 * Two thirds of a service are silent: each probe there takes its whole
	 * time limit, and another one is due as soon as it is over.
	 */
	PlacementFixture fixture;
	struct aub_probe due;
	std::vector<std::string> silent;
	guint well = 0;

	for (guint i = 0; i < 300; i++)
		fixture.register_upstream("u" + std::to_string(i));
	for (int round = 0; round < 12; round++) {
		while (aub_placement_probe_next(fixture.placement, NULL,
						fixture.now_us, &due)) {
			std::string id = due.upstream;

			if (std::stoi(id.substr(1)) < 200) {
				silent.push_back(id);
				continue;
			}
			well++;
			fixture.finish_probe(id);
		}
		EXPECT_LE(silent.size(), 64u);
		fixture.now_us += 400 * US_PER_MS;
		for (auto &id : silent)
			fixture.finish_probe(id, -1, 100,
					     AUB_PROBE_NO_RESPONSE);
		silent.clear();
		aub_placement_check_invariants(fixture.placement);
	}
	EXPECT_GE(well, 200u);
}

TEST(PlacementProbe, TellsWhatIsBelievedByName)
{
	PlacementFixture fixture;

	EXPECT_STREQ(aub_placement_health_name(fixture.placement, "u1"),
		     "gone");
	fixture.register_upstream("u1");
	EXPECT_STREQ(aub_placement_health_name(fixture.placement, "u1"),
		     "unknown");
	fixture.finish_probe("u1");
	EXPECT_STREQ(aub_placement_health_name(fixture.placement, "u1"), "up");
	fixture.finish_probe("u1", -1, 100, AUB_PROBE_UNHEALTHY);
	EXPECT_STREQ(aub_placement_health_name(fixture.placement, "u1"), "ill");
	fixture.finish_probe("u1", -1, 100, AUB_PROBE_NO_RESPONSE);
	EXPECT_STREQ(aub_placement_health_name(fixture.placement, "u1"), "ill");
	fixture.finish_probe("u1", -1, 100, AUB_PROBE_NO_RESPONSE);
	EXPECT_STREQ(aub_placement_health_name(fixture.placement, "u1"),
		     "down");
}

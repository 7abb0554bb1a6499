/*
 * The schedule of probes, and the effect of their results.
 */
#include "placement_fixture.h"

#include <set>

TEST(PlacementProbe, ProbesRoundRobinAndNoneConcurrently)
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

TEST(PlacementProbe, LeavesZoneToItsProberWhileThatReports)
{
	PlacementFixture fixture;
	struct aub_probe probe;
	struct aub_load load = {
		0, 0, 2, 100, -1, AUB_LIMIT_UNKNOWN, 0, false
	};

	fixture.register_upstream("far", 2, "z2");
	fixture.register_upstream("near", 2, "z1");
	ASSERT_TRUE(aub_placement_probe_next(fixture.placement, "z1",
					     fixture.now_us, &probe));
	EXPECT_STREQ(probe.upstream, "near");
	EXPECT_FALSE(aub_placement_probe_next(fixture.placement, "z1",
					      fixture.now_us, &probe));
	aub_placement_probe_received(fixture.placement, "far",
				     AUB_PROBE_HEALTHY, &load, fixture.now_us);
	EXPECT_EQ(fixture.upstream("far")->state, AUB_PLACEMENT_UPSTREAM_UP);
	fixture.now_us += 200 * US_PER_MS;
	EXPECT_FALSE(aub_placement_probe_next(fixture.placement, NULL,
					      fixture.now_us, &probe));
	/* Without results from its zone's prober it is probed locally. */
	fixture.now_us += 200 * US_PER_MS;
	ASSERT_TRUE(aub_placement_probe_next(fixture.placement, NULL,
					     fixture.now_us, &probe));
	EXPECT_STREQ(probe.upstream, "far");
}

TEST(PlacementProbe, ProbesEveryInterval)
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

TEST(PlacementProbe, MarksDownAfterTwoProbesWithoutResponse)
{
	PlacementFixture fixture;

	fixture.add_healthy("u1");
	fixture.finish_probe("u1", -1, -1, AUB_PROBE_NO_RESPONSE);
	EXPECT_EQ(fixture.upstream("u1")->state, AUB_PLACEMENT_UPSTREAM_UP);
	fixture.finish_probe("u1", -1, -1, AUB_PROBE_NO_RESPONSE);
	EXPECT_EQ(fixture.upstream("u1")->state, AUB_PLACEMENT_UPSTREAM_DOWN);
	fixture.finish_probe("u1");
	EXPECT_EQ(fixture.upstream("u1")->state, AUB_PLACEMENT_UPSTREAM_UP);
	fixture.finish_probe("u1", -1, -1, AUB_PROBE_WRONG_UPSTREAM);
	EXPECT_EQ(fixture.upstream("u1")->state, AUB_PLACEMENT_UPSTREAM_DOWN);
}

TEST(PlacementProbe, ProbesLargeServiceLessOften)
{
	/*
	 * Guards against probes that starve requests: at 3,000 upstreams, the
	 * process that probes them has a fifth of a core. An upstream of a
	 * service of normal size is probed ten times a second; a service of a
	 * thousand upstreams gets some 1,700 probes a second in total.
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

/* Guards against probes that an upstream in need has no room for. */
TEST(PlacementProbe, ProbesLimitedUpstreamLessOften)
{
	PlacementFixture fixture;
	struct aub_probe probe;
	int probes = 0;

	fixture.add_healthy("u1");
	fixture.name_limit("u1", 1);
	for (int ms = 0; ms < 16000; ms += 25) {
		fixture.now_us += 25 * US_PER_MS;
		if (!aub_placement_probe_next(fixture.placement, NULL,
					      fixture.now_us, &probe))
			continue;
		probes++;
		fixture.finish_probe("u1");
	}
	EXPECT_GE(probes, 4);
	EXPECT_LE(probes, 16);
}

/* Guards against full load on an upstream that turned cold while limited. */
TEST(PlacementProbe, ProbesAtOnceWhenLimitIsLifted)
{
	PlacementFixture fixture;
	struct aub_load load = AUB_LOAD_UNKNOWN;
	struct aub_probe probe;
	gint64 longest_us = 0;
	gint64 last_us;

	fixture.add_healthy("u1");
	fixture.name_limit("u1", 0);
	last_us = fixture.now_us;
	for (int ms = 0; ms < 20000; ms += 25) {
		fixture.now_us += 25 * US_PER_MS;
		if (!aub_placement_probe_next(fixture.placement, NULL,
					      fixture.now_us, &probe))
			continue;
		longest_us = MAX(longest_us, fixture.now_us - last_us);
		last_us = fixture.now_us;
		fixture.finish_probe("u1");
	}
	EXPECT_LE(longest_us, 2100 * US_PER_MS);
	ASSERT_FALSE(aub_placement_probe_next(fixture.placement, NULL,
					      last_us + 1000 * US_PER_MS,
					      &probe));
	load.limit = AUB_LIMIT_NOT_NAMED;
	fixture.now_us = last_us + 1000 * US_PER_MS;
	aub_placement_observe_answer(fixture.placement, "u1", &load,
				     fixture.now_us, fixture.now_us);
	EXPECT_TRUE(aub_placement_probe_next(fixture.placement, NULL,
					     fixture.now_us, &probe));
}

TEST(PlacementProbe, ProbesHealthyUpstreamsWhenManyAreUnresponsive)
{
	/*
	 * Guards against upstreams that are back but not probed. Two thirds of
	 * a service do not respond: each probe there takes its full timeout,
	 * and the next one is due as soon as it ends.
	 */
	PlacementFixture fixture;
	struct aub_probe due;
	std::vector<std::string> unresponsive;
	guint healthy = 0;

	for (guint i = 0; i < 300; i++)
		fixture.register_upstream("u" + std::to_string(i));
	for (int round = 0; round < 12; round++) {
		while (aub_placement_probe_next(fixture.placement, NULL,
						fixture.now_us, &due)) {
			std::string id = due.upstream;

			if (std::stoi(id.substr(1)) < 200) {
				unresponsive.push_back(id);
				continue;
			}
			healthy++;
			fixture.finish_probe(id);
		}
		EXPECT_LE(unresponsive.size(), 64u);
		fixture.now_us += 400 * US_PER_MS;
		for (auto &id : unresponsive)
			fixture.finish_probe(id, -1, 100,
					     AUB_PROBE_NO_RESPONSE);
		unresponsive.clear();
		aub_placement_check_invariants(fixture.placement);
	}
	EXPECT_GE(healthy, 200u);
}

TEST(PlacementProbe, ReturnsHealthName)
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

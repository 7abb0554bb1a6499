/* When upstreams are probed, and what the end of a probe says of them. */
#include "placement_rig.h"

#include <set>

TEST(PlacementProbe, ProbesEachUpstreamInTurnAndNoneTwiceAtOnce)
{
	Placement p;
	struct aub_probe probe;
	std::set<std::string> seen;

	for (int i = 0; i < 5; i++)
		p.enter("u" + std::to_string(i));
	while (aub_placement_probe_next(p.it, NULL, p.now, &probe))
		EXPECT_TRUE(seen.insert(probe.upstream).second);
	EXPECT_EQ(seen.size(), 5u);
	p.now += 1000 * MS;
	EXPECT_FALSE(aub_placement_probe_next(p.it, NULL, p.now, &probe));
	for (int i = 0; i < 5; i++)
		p.probed("u" + std::to_string(i));
	EXPECT_TRUE(aub_placement_probe_next(p.it, NULL, p.now, &probe));
}

TEST(PlacementProbe, LeavesAZonesProbesToItsProber)
{
	Placement p;
	struct aub_probe probe;
	struct aub_load load = { 0, 0, 2, 100, -1 };

	p.enter("far", 2, "z2");
	p.enter("near", 2, "z1");
	ASSERT_TRUE(aub_placement_probe_next(p.it, "z1", p.now, &probe));
	EXPECT_STREQ(probe.upstream, "near");
	EXPECT_FALSE(aub_placement_probe_next(p.it, "z1", p.now, &probe));
	aub_placement_probe_told(p.it, "far", AUB_PROBE_WELL, &load, p.now);
	EXPECT_EQ(p.row("far")->state, AUB_ROW_UP);
	p.now += 200 * MS;
	EXPECT_FALSE(aub_placement_probe_next(p.it, NULL, p.now, &probe));
	/* Its prober is silent: it is probed from here. */
	p.now += 200 * MS;
	ASSERT_TRUE(aub_placement_probe_next(p.it, NULL, p.now, &probe));
	EXPECT_STREQ(probe.upstream, "far");
}

TEST(PlacementProbe, ProbesStayWithinTheirBudget)
{
	Placement p;
	struct aub_probe probe;
	int probes = 0;

	p.add("u1");
	for (int ms = 0; ms < 10000; ms++) {
		while (aub_placement_probe_next(p.it, NULL, p.now, &probe)) {
			probes++;
			p.probed("u1");
		}
		p.now += MS;
	}
	EXPECT_LE(probes, 101);
	EXPECT_GE(probes, 90);
}

TEST(PlacementProbe, OneLostProbeIsNoDeath)
{
	Placement p;

	p.add("u1");
	p.probed("u1", -1, -1, AUB_PROBE_SILENT);
	EXPECT_EQ(p.row("u1")->state, AUB_ROW_UP);
	p.probed("u1", -1, -1, AUB_PROBE_SILENT);
	EXPECT_EQ(p.row("u1")->state, AUB_ROW_DOWN);
	p.probed("u1");
	EXPECT_EQ(p.row("u1")->state, AUB_ROW_UP);
	p.probed("u1", -1, -1, AUB_PROBE_OTHER);
	EXPECT_EQ(p.row("u1")->state, AUB_ROW_DOWN);
}

TEST(PlacementProbe, ProbesALargeServiceLessOften)
{
	/*
	 * Callers at 3,000 upstreams would wait behind probes: whoever sends
	 * them has a fifth of a core. A usual service is probed ten times a
	 * second, one of a thousand upstreams some 1,700 times in all.
	 */
	for (guint count : { 100u, 1000u }) {
		Placement place;
		struct aub_probe due;
		guint probes = 0;

		for (guint i = 0; i < count; i++)
			place.add("u" + std::to_string(i));
		for (int ms = 0; ms < 6000; ms += 20) {
			place.now += 20 * MS;
			while (aub_placement_probe_next(place.it, NULL,
							place.now, &due)) {
				probes++;
				place.probed(due.upstream);
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
	Placement place;
	struct aub_probe due;
	std::vector<std::string> silent;
	guint well = 0;

	for (guint i = 0; i < 300; i++)
		place.enter("u" + std::to_string(i));
	for (int round = 0; round < 12; round++) {
		while (aub_placement_probe_next(place.it, NULL, place.now,
						&due)) {
			std::string id = due.upstream;

			if (std::stoi(id.substr(1)) < 200) {
				silent.push_back(id);
				continue;
			}
			well++;
			place.probed(id);
		}
		EXPECT_LE(silent.size(), 64u);
		place.now += 400 * MS;
		for (auto &id : silent)
			place.probed(id, -1, 100, AUB_PROBE_SILENT);
		silent.clear();
		aub_placement_check(place.it);
	}
	EXPECT_GE(well, 200u);
}

TEST(PlacementProbe, TellsWhatIsBelievedByName)
{
	Placement place;

	EXPECT_STREQ(aub_placement_health_name(place.it, "u1"), "gone");
	place.enter("u1");
	EXPECT_STREQ(aub_placement_health_name(place.it, "u1"), "unknown");
	place.probed("u1");
	EXPECT_STREQ(aub_placement_health_name(place.it, "u1"), "up");
	place.probed("u1", -1, 100, AUB_PROBE_ILL);
	EXPECT_STREQ(aub_placement_health_name(place.it, "u1"), "ill");
	place.probed("u1", -1, 100, AUB_PROBE_SILENT);
	EXPECT_STREQ(aub_placement_health_name(place.it, "u1"), "ill");
	place.probed("u1", -1, 100, AUB_PROBE_SILENT);
	EXPECT_STREQ(aub_placement_health_name(place.it, "u1"), "down");
}

/* What upstreams say of themselves, and how a placement keeps to it. */
#include "placement_fixture.h"

/* Returns the largest number of `times_us` within 4 s. */
static size_t max_in_4_s(const std::vector<gint64> &times_us)
{
	size_t max = 0;

	for (size_t i = 0; i < times_us.size(); i++)
		for (size_t k = i; k < times_us.size(); k++)
			if (times_us[k] - times_us[i] <= 4000 * US_PER_MS)
				max = MAX(max, k - i + 1);
	return max;
}

TEST(Placement, LocalFallbackSendsNothingToLimitedUpstream)
{
	PlacementFixture fixture;

	fixture.add_healthy("u1");
	fixture.name_limit("u1", 1);
	struct aub_placement_request request = fixture.new_request();
	request.local_fallback = true;
	EXPECT_EQ(fixture.submit(request).verdict, AUB_VERDICT_NO_UPSTREAM);
}

/* Guards against two placers that each grant a limit in full. */
TEST(Placement, TwoPlacersTogetherKeepLimit)
{
	for (double per_s : { 0.0, 0.3, 1.0, 2.5, 20.0 }) {
		PlacementFixture placers[2];
		std::vector<gint64> grants;

		for (PlacementFixture &placer : placers) {
			placer.add_healthy("u1", 6);
			placer.name_limit("u1", per_s);
		}
		for (int ms = 0; ms < 12000; ms += 10)
			for (PlacementFixture &placer : placers) {
				struct aub_placement_request request =
					placer.new_request();

				placer.now_us = (1000 + ms) * US_PER_MS;
				request.max_wait_ms = 0;
				if (placer.submit(request).verdict !=
				    AUB_VERDICT_GRANTED)
					continue;
				grants.push_back(placer.now_us);
				placer.report(request.ticket);
			}
		EXPECT_LE(max_in_4_s(grants), (size_t)(6 * per_s + 5)) << per_s;
		EXPECT_GE(max_in_4_s(grants), (size_t)(3 * per_s)) << per_s;
	}
}

/* Guards against full load on an upstream that turns cold unseen. */
TEST(Placement, GrantsNothingAtRestingUpstreamWithoutRecentProbe)
{
	PlacementFixture fixture;

	fixture.add_healthy("u1");
	aub_placement_begin_rest(fixture.placement, "u1", 3000 * US_PER_MS,
				 fixture.now_us);
	EXPECT_EQ(fixture.submit().verdict, AUB_VERDICT_GRANTED);
	fixture.now_us += 1000 * US_PER_MS;
	EXPECT_NE(fixture.submit().verdict, AUB_VERDICT_GRANTED);
	struct aub_load load = {
		0, 0, 2, 100, -1, AUB_LIMIT_UNKNOWN, 0, false
	};
	aub_placement_probe_received(fixture.placement, "u1", AUB_PROBE_HEALTHY,
				     &load, fixture.now_us);
	EXPECT_EQ(fixture.submit().verdict, AUB_VERDICT_GRANTED);
}

/* Guards against a gateway on a VM that has just booted and knows no limits. */
TEST(Placement, AppliesLimitNamedBeforeItsClockStarted)
{
	PlacementFixture fixture;

	fixture.now_us = 1000 * US_PER_MS;
	fixture.add_healthy("u1");
	const struct aub_named_limit named = {
		.upstream = "u1",
		.statement = { .per_1000_s = 0, .age_ms = 30000 },
	};
	aub_placement_merge_limit(fixture.placement, &named, fixture.now_us);
	EXPECT_EQ(fixture.upstream("u1")->limit.per_1000_s, 0u);
	/* It says nothing about an upstream that started after it. */
	fixture.register_upstream("u1", 2, "z1", false, 2);
	aub_placement_merge_limit(fixture.placement, &named, fixture.now_us);
	EXPECT_FALSE(aub_upstream_limit_is_set(&fixture.upstream("u1")->limit));
}

TEST(Placement, NewStartEndsLimitRestAndLeaving)
{
	PlacementFixture fixture;
	struct aub_load load = AUB_LOAD_UNKNOWN;

	fixture.add_healthy("u1");
	fixture.name_limit("u1", 0);
	aub_placement_begin_rest(fixture.placement, "u1", 9000 * US_PER_MS,
				 fixture.now_us);
	load.leaving = true;
	aub_placement_observe_answer(fixture.placement, "u1", &load,
				     fixture.now_us, fixture.now_us);
	EXPECT_FALSE(aub_placement_may_send(fixture.placement, "u1",
					    fixture.now_us));
	gint64 sent_us = fixture.now_us;
	fixture.now_us += 100 * US_PER_MS;
	fixture.register_upstream("u1", 2, "z1", false, 2);
	fixture.now_us += 1000 * US_PER_MS;
	fixture.finish_probe("u1");
	/* The answer to a request that the one before it had got. */
	aub_placement_observe_answer(fixture.placement, "u1", &load, sent_us,
				     fixture.now_us);
	EXPECT_TRUE(aub_placement_may_send(fixture.placement, "u1",
					   fixture.now_us));
	EXPECT_EQ(fixture.submit().verdict, AUB_VERDICT_GRANTED);
	EXPECT_EQ(fixture.submit().verdict, AUB_VERDICT_GRANTED);
}

/*
 * The choice of an upstream: slots, cold starts, health signals.
 */
#include "placement_fixture.h"

#include <map>
#include <set>

TEST(Placement, GrantsEachSlotOnce)
{
	PlacementFixture fixture;
	std::map<std::string, int> granted;

	fixture.add_healthy("u1");
	fixture.add_healthy("u2");
	for (int i = 0; i < 4; i++) {
		struct aub_placement_decision decision = fixture.submit();

		ASSERT_EQ(decision.verdict, AUB_VERDICT_GRANTED);
		granted[decision.upstream]++;
	}
	EXPECT_EQ(granted["u1"], 2);
	EXPECT_EQ(granted["u2"], 2);
	EXPECT_EQ(fixture.submit().verdict, AUB_VERDICT_QUEUED);
}

TEST(Placement, RepeatedTicketGetsSameDecision)
{
	PlacementFixture fixture;

	fixture.add_healthy("u1");
	struct aub_placement_request request = fixture.new_request();
	std::string first = fixture.submit(request).upstream;
	EXPECT_EQ(fixture.submit(request).upstream, first);
	EXPECT_EQ(fixture.upstream("u1")->granted, 1u);
}

TEST(Placement, PrefersZoneOfRequest)
{
	PlacementFixture fixture;

	fixture.add_healthy("far", 6, "z2");
	fixture.add_healthy("near", 6, "z1");
	for (int i = 0; i < 4; i++)
		EXPECT_STREQ(fixture.submit().upstream, "near");
}

TEST(Placement, AvoidsUpstreamWithInterference)
{
	PlacementFixture fixture;

	fixture.add_healthy("u1", 6);
	fixture.add_healthy("u2", 6);
	fixture.finish_probe("u1", -1, 400);
	for (int i = 0; i < 4; i++)
		EXPECT_STREQ(fixture.submit().upstream, "u2");
}

TEST(Placement, QueuesRequestForFastUpstreamIfItCanBeOnTime)
{
	/*
	 * Guards against a late response where a short wait avoids it: service
	 * times at the only free upstream are fourfold, and another one frees a
	 * slot within some ms.
	 */
	PlacementFixture fixture;
	struct aub_placement_decision decision;

	fixture.add_healthy("slow");
	fixture.add_healthy("fast");
	fixture.finish_probe("slow", -1, 400);
	guint64 outstanding = fixture.submit().ticket;
	fixture.submit();
	struct aub_placement_decision waiting = fixture.submit();
	EXPECT_EQ(waiting.verdict, AUB_VERDICT_QUEUED);
	fixture.now_us += 10 * US_PER_MS;
	fixture.report(outstanding);
	ASSERT_TRUE(fixture.next_decision(&decision));
	EXPECT_EQ(decision.ticket, waiting.ticket);
	EXPECT_STREQ(decision.upstream, "fast");
}

/* Reports interference bursts that last for seconds. */
static void report_long_bursts(PlacementFixture &fixture)
{
	for (int i = 0; i < 600; i++) {
		fixture.now_us += 100 * US_PER_MS;
		fixture.finish_probe("slow", -1, i / 100 % 2 ? 100 : 400);
		fixture.finish_probe("fast", -1, 100);
	}
	fixture.finish_probe("slow", -1, 400);
}

TEST(Placement, StartsLateRequestDuringInterferenceOnlyIfItLasts)
{
	/*
	 * Guards against slots that are occupied for four times as long by
	 * requests started in an interference burst. A late request waits for
	 * the end of a burst of some hundred ms, but not of seconds.
	 */
	PlacementFixture brief;
	PlacementFixture lasting;
	struct aub_placement_request late = brief.new_request();

	late.on_time_wait_ms = 0;
	late.max_wait_ms = 5000;
	brief.add_healthy("slow");
	brief.finish_probe("slow", -1, 400);
	EXPECT_EQ(brief.submit(late).verdict, AUB_VERDICT_QUEUED);

	lasting.add_healthy("slow");
	lasting.add_healthy("fast");
	report_long_bursts(lasting);
	while (lasting.submit().verdict == AUB_VERDICT_GRANTED)
		;
	late.ticket = ++lasting.last_ticket;
	lasting.submit(late);
	struct aub_placement_decision decision;
	ASSERT_TRUE(lasting.next_decision(&decision));
	EXPECT_EQ(decision.ticket, late.ticket);
	EXPECT_STREQ(decision.upstream, "slow");
}

TEST(Placement, DoesNotExceedTheSaturationPoint)
{
	PlacementFixture fixture;
	int granted = 0;

	fixture.add_healthy("u1", 6);
	while (fixture.submit().verdict == AUB_VERDICT_GRANTED)
		granted++;
	EXPECT_EQ(granted, 5);
}

TEST(Placement, SendsNothingToUnknownOrDownUpstreams)
{
	PlacementFixture fixture;

	fixture.register_upstream("u1");
	struct aub_placement_decision waiting = fixture.submit();
	struct aub_placement_decision decision;
	EXPECT_EQ(waiting.verdict, AUB_VERDICT_QUEUED);
	fixture.finish_probe("u1");
	ASSERT_TRUE(fixture.next_decision(&decision));
	EXPECT_EQ(decision.verdict, AUB_VERDICT_GRANTED);
	fixture.report(waiting.ticket, AUB_GRANT_LOST);
	EXPECT_NE(fixture.submit().verdict, AUB_VERDICT_GRANTED);
}

TEST(Placement, RefusesImmediatelyIfAllUpstreamsAreDown)
{
	/*
	 * Guards against callers that use up their time in the queue while all
	 * upstreams are down. The retry time is returned immediately.
	 */
	PlacementFixture fixture;

	fixture.add_healthy("u1");
	fixture.report(fixture.submit().ticket, AUB_GRANT_UNREACHABLE);
	struct aub_placement_decision decision = fixture.submit();
	EXPECT_EQ(decision.verdict, AUB_VERDICT_NO_UPSTREAM);
	EXPECT_GT(decision.retry_after_ms, 0u);
}

TEST(Placement, SendsNothingNewToDrainingOrDepartedUpstreams)
{
	PlacementFixture fixture;

	fixture.add_healthy("u1");
	fixture.register_upstream("u1", 2, "z1", true);
	EXPECT_NE(fixture.submit().verdict, AUB_VERDICT_GRANTED);
	EXPECT_FALSE(aub_placement_may_send(fixture.placement, "u1",
					    fixture.now_us));
	EXPECT_FALSE(aub_placement_may_send(fixture.placement, "unregistered",
					    fixture.now_us));
	fixture.add_healthy("u2");
	fixture.unregister_upstream("u2");
	EXPECT_NE(fixture.submit().verdict, AUB_VERDICT_GRANTED);
}

TEST(Placement, SendsNothingToZoneThatIsOut)
{
	PlacementFixture fixture;

	fixture.add_healthy("u1");
	aub_placement_set_zone_out(fixture.placement, "z1", true,
				   fixture.now_us);
	EXPECT_NE(fixture.submit().verdict, AUB_VERDICT_GRANTED);
	/* After its return, a probe has to report how cold it is. */
	aub_placement_set_zone_out(fixture.placement, "z1", false,
				   fixture.now_us);
	EXPECT_NE(fixture.submit().verdict, AUB_VERDICT_GRANTED);
	fixture.finish_probe("u1", 0);
	struct aub_placement_decision decision;
	ASSERT_TRUE(fixture.next_decision(&decision));
	EXPECT_EQ(decision.verdict, AUB_VERDICT_GRANTED);
}

/*
 * Returns the grants of a cold upstream in steps of 50 ms, with a request per
 * step to each of `placers`.
 */
static std::vector<int> cold_grants(std::vector<PlacementFixture *> placers,
				    int seconds)
{
	std::vector<int> counts(seconds * 1000 / 50);

	for (size_t step = 0; step < counts.size(); step++)
		for (PlacementFixture *fixture : placers) {
			struct aub_placement_request request =
				fixture->new_request();
			struct aub_placement_decision decision;

			request.max_wait_ms = 5000;
			decision = fixture->submit(request);
			do {
				if (decision.verdict != AUB_VERDICT_GRANTED)
					continue;
				counts[step]++;
				fixture->report(decision.ticket);
			} while (fixture->next_decision(&decision));
			fixture->now_us += 50 * US_PER_MS;
		}
	return counts;
}

static int max_per_second(const std::vector<int> &counts)
{
	int max = 0;

	for (size_t i = 0; i + 20 <= counts.size(); i++) {
		int sum = 0;

		for (size_t k = i; k < i + 20; k++)
			sum += counts[k];
		max = std::max(max, sum);
	}
	return max;
}

TEST(Placement, LimitsRateOfColdUpstream)
{
	PlacementFixture fixture;

	fixture.register_upstream("u1", 2, "z1", false, 1, 60000);
	fixture.finish_probe("u1", 60000);
	int max = max_per_second(cold_grants({ &fixture }, 10));
	EXPECT_LE(max, 2);
	EXPECT_GE(max, 1);
}

TEST(Placement, TwoPlacersTogetherLimitRateOfColdUpstream)
{
	/*
	 * Guards against overloading a cold upstream while two gateways act as
	 * placer, as after a network partition. The upper limit is 2 per
	 * second, times 1.5, and 5.
	 */
	PlacementFixture one;
	PlacementFixture two;

	for (PlacementFixture *fixture : { &one, &two }) {
		fixture->register_upstream("u1", 2, "z1", false, 1, 60000);
		fixture->finish_probe("u1", 60000);
	}
	EXPECT_LE(max_per_second(cold_grants({ &one, &two }, 10)), 4);
}

TEST(Placement, LocalFallbackSendsNothingToColdUpstreams)
{
	PlacementFixture fixture;

	fixture.register_upstream("u1", 2, "z1", false, 1, 3000);
	fixture.finish_probe("u1", 3000);
	struct aub_placement_request request = fixture.new_request();
	request.local_fallback = true;
	EXPECT_EQ(fixture.submit(request).verdict, AUB_VERDICT_NO_UPSTREAM);
}

TEST(Placement, RestartedUpstreamIsUnknownAgain)
{
	PlacementFixture fixture;

	fixture.add_healthy("u1");
	fixture.register_upstream("u1", 2, "z1", false, 2, 3000);
	EXPECT_NE(fixture.submit().verdict, AUB_VERDICT_GRANTED);
}

TEST(Placement, AvoidsFailingUpstreamAndTriesItAgain)
{
	PlacementFixture fixture;

	fixture.add_healthy("bad", 6);
	fixture.add_healthy("good", 6);
	for (int i = 0; i < 30; i++) {
		struct aub_placement_decision decision = fixture.submit();

		fixture.report(decision.ticket,
			       std::string(decision.upstream) == "bad" ?
				       AUB_GRANT_FAILED :
				       AUB_GRANT_OK);
		fixture.now_us += 20 * US_PER_MS;
	}
	for (int i = 0; i < 4; i++)
		EXPECT_STREQ(fixture.submit().upstream, "good");
	/* It is tried again after a while. */
	std::set<std::string> seen;
	fixture.now_us += 20000 * US_PER_MS;
	for (int i = 0; i < 4; i++)
		seen.insert(fixture.submit().upstream ? "granted" : "");
	EXPECT_TRUE(seen.count("granted"));
}

TEST(Placement, AvoidsUnresponsiveUpstreamWithHealthyProbes)
{
	/*
	 * Guards against sending more requests to an unresponsive upstream than
	 * it has slots. It accepts requests and answers none, while its probes
	 * succeed.
	 */
	PlacementFixture fixture;
	std::map<std::string, int> granted;

	fixture.add_healthy("unresponsive", 6);
	fixture.add_healthy("healthy", 6);
	for (int i = 0; i < 200; i++) {
		struct aub_placement_decision decision = fixture.submit();

		fixture.now_us += 20 * US_PER_MS;
		fixture.finish_probe("unresponsive");
		fixture.finish_probe("healthy");
		if (decision.verdict != AUB_VERDICT_GRANTED)
			continue;
		granted[decision.upstream]++;
		if (std::string(decision.upstream) == "healthy")
			fixture.report(decision.ticket);
	}
	EXPECT_LE(granted["unresponsive"], 5);
	EXPECT_GE(granted["healthy"], 150);
}

TEST(Placement, SendsFewRequestsToSlowUpstream)
{
	PlacementFixture fixture;
	int slow = 0;

	fixture.add_healthy("slow", 6);
	fixture.add_healthy("fast", 6);
	for (int i = 0; i < 100; i++) {
		struct aub_placement_decision decision = fixture.submit();
		bool is_slow = std::string(decision.upstream) == "slow";

		slow += is_slow;
		fixture.report(decision.ticket, AUB_GRANT_OK,
			       (is_slow ? 1000 : 200) * US_PER_MS);
		fixture.now_us += 50 * US_PER_MS;
	}
	EXPECT_LT(slow, 15);
}

TEST(Placement, StaysInZoneDespiteAFewLongResponses)
{
	/*
	 * Guards against leaving the zone because of the normal spread of
	 * service times: three long responses in a row do not make an upstream
	 * slow.
	 */
	PlacementFixture fixture;

	fixture.add_healthy("far", 6, "z2");
	fixture.add_healthy("near", 6, "z1");
	for (int i = 0; i < 20; i++) {
		struct aub_placement_decision decision = fixture.submit();

		EXPECT_STREQ(decision.upstream, "near") << i;
		fixture.report(decision.ticket, AUB_GRANT_OK,
			       (i > 12 && i < 16 ? 280 : 200) * US_PER_MS);
		fixture.now_us += 50 * US_PER_MS;
		fixture.finish_probe("far");
		fixture.finish_probe("near");
	}
}

TEST(Placement, LimitsRetriesToTheFleetBudget)
{
	PlacementFixture fixture(0.2, 3);
	int granted = 0;

	fixture.add_healthy("u1", 6);
	for (int i = 0; i < 100; i++) {
		fixture.report(fixture.submit().ticket);
		struct aub_placement_request retry = fixture.new_request();

		retry.retry = true;
		struct aub_placement_decision decision = fixture.submit(retry);
		if (decision.verdict == AUB_VERDICT_GRANTED) {
			granted++;
			fixture.report(decision.ticket);
		} else {
			EXPECT_EQ(decision.verdict, AUB_VERDICT_NO_BUDGET);
		}
		fixture.now_us += 20 * US_PER_MS;
	}
	EXPECT_LE(granted, 23);
	EXPECT_GE(granted, 20);
}

TEST(Placement, ReleasesGrantsWithLostReports)
{
	PlacementFixture fixture;
	guint64 tickets[2];

	fixture.add_healthy("u1");
	tickets[0] = fixture.submit().ticket;
	tickets[1] = fixture.submit().ticket;
	fixture.now_us += 2000 * US_PER_MS;
	aub_placement_reconcile(fixture.placement, 7, &tickets[1], 1,
				fixture.now_us);
	aub_placement_check_invariants(fixture.placement);
	EXPECT_EQ(fixture.upstream("u1")->granted, 1u);
	aub_placement_drop_holder(fixture.placement, 7, fixture.now_us);
	aub_placement_check_invariants(fixture.placement);
	EXPECT_EQ(fixture.upstream("u1")->granted, 0u);
}

TEST(Placement, AdoptsGrantsOfAnotherPlacer)
{
	PlacementFixture fixture;

	fixture.add_healthy("u1");
	aub_placement_adopt(fixture.placement, 9, 77, "u1", 600,
			    fixture.now_us);
	aub_placement_adopt(fixture.placement, 9, 77, "u1", 600,
			    fixture.now_us);
	aub_placement_adopt(fixture.placement, 9, 78, "unregistered", 600,
			    fixture.now_us);
	aub_placement_check_invariants(fixture.placement);
	EXPECT_EQ(fixture.upstream("u1")->granted, 1u);
	fixture.report(77);
	EXPECT_EQ(fixture.upstream("u1")->granted, 0u);
}

/* Random operations; the invariants have to hold after each. */
class PlacementSequences : public ::testing::TestWithParam<guint32>
{
};

TEST_P(PlacementSequences, MaintainInvariants)
{
	GRand *random = g_rand_new_with_seed(GetParam());
	PlacementFixture fixture;
	std::vector<guint64> open;
	struct aub_placement_decision decision;

	for (int step = 0; step < 3000; step++) {
		std::string id =
			"u" + std::to_string(g_rand_int_range(random, 0, 8));
		guint position =
			open.empty() ?
				0 :
				(guint)g_rand_int_range(random, 0,
							(gint)open.size());

		fixture.now_us += g_rand_int_range(random, 0, 20) * US_PER_MS;
		switch (g_rand_int_range(random, 0, 10)) {
		case 0:
			fixture.register_upstream(
				id, (guint)g_rand_int_range(random, 1, 7),
				g_rand_boolean(random) ? "z1" : "z2",
				g_rand_int_range(random, 0, 5) == 0,
				g_rand_int_range(random, 1, 3),
				(guint)g_rand_int_range(random, 0, 2000));
			break;
		case 1:
			fixture.unregister_upstream(id);
			break;
		case 2:
			fixture.finish_probe(
				id, g_rand_int_range(random, -1, 1000),
				g_rand_int_range(random, 50, 500),
				(enum aub_probe_result)g_rand_int_range(random,
									0, 4));
			break;
		case 3:
			aub_placement_set_zone_out(fixture.placement, "z2",
						   g_rand_boolean(random),
						   fixture.now_us);
			break;
		case 4:
			if (!open.empty())
				fixture.report(open[position],
					       (enum aub_grant_result)
						       g_rand_int_range(random,
									0, 9));
			break;
		case 5:
			aub_placement_reconcile(fixture.placement, 7,
						open.data(),
						(guint)open.size() / 2,
						fixture.now_us);
			break;
		default: {
			struct aub_placement_request request =
				fixture.new_request(
					(guint)g_rand_int_range(random, 0, 3));

			request.retry = g_rand_int_range(random, 0, 5) == 0;
			request.on_time_wait_ms =
				(guint)g_rand_int_range(random, 0, 300);
			decision = fixture.submit(request);
			open.push_back(request.ticket);
			if (decision.verdict == AUB_VERDICT_GRANTED) {
				const struct aub_placement_upstream *upstream =
					fixture.upstream(decision.upstream);

				ASSERT_TRUE(upstream->registered);
				ASSERT_FALSE(upstream->draining);
				ASSERT_FALSE(upstream->zone_out);
				ASSERT_EQ(upstream->state,
					  AUB_PLACEMENT_UPSTREAM_UP);
			}
			break;
		}
		}
		while (fixture.next_decision(&decision))
			;
	}
	g_rand_free(random);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PlacementSequences,
			 ::testing::Range<guint32>(1, 21));

TEST(Placement, LocalFallbackGrantsQueuedRequestsNoColdUpstream)
{
	/*
	 * Guards against overloading a cold upstream when every gateway that
	 * finds no placer sends it requests. The request waits for a slot of a
	 * warm upstream although the cold one is free.
	 */
	PlacementFixture fixture;
	struct aub_placement_decision decision;

	fixture.add_healthy("warm");
	fixture.register_upstream("cold", 2, "z1", false, 1, 60000);
	fixture.finish_probe("cold", 60000);
	for (int i = 0; i < 3; i++) {
		struct aub_placement_request request = fixture.new_request();

		request.local_fallback = true;
		fixture.submit(request);
	}
	fixture.now_us += 50 * US_PER_MS;
	EXPECT_FALSE(fixture.next_decision(&decision));
	EXPECT_EQ(fixture.upstream("cold")->granted, 0u);
}

TEST(Placement, ReusesIndexOfDepartedUpstream)
{
	/*
	 * Guards against unbounded growth of the list of upstreams. A service's
	 * upstreams are replaced one after the other, each with a new id; a
	 * departed one is retained while it has open grants.
	 */
	PlacementFixture fixture;

	fixture.add_healthy("outstanding");
	struct aub_placement_decision decision = fixture.submit();
	ASSERT_EQ(decision.verdict, AUB_VERDICT_GRANTED);
	fixture.unregister_upstream("outstanding");
	for (int i = 0; i < 300; i++) {
		std::string id = "u" + std::to_string(i);

		fixture.add_healthy(id);
		fixture.unregister_upstream(id);
		fixture.now_us += 1000 * US_PER_MS;
	}
	aub_placement_check_invariants(fixture.placement);
	/* Those of one minute, and the one with a grant. */
	EXPECT_LE(fixture.placement->upstreams->len, 63u);
	EXPECT_EQ(aub_placement_find_upstream(fixture.placement, "u0"), -1);
	EXPECT_EQ(aub_placement_find_upstream(fixture.placement, "outstanding"),
		  0);
	fixture.report(decision.ticket, AUB_GRANT_OK);
	fixture.add_healthy("last");
	aub_placement_check_invariants(fixture.placement);
	EXPECT_EQ(aub_placement_find_upstream(fixture.placement, "outstanding"),
		  -1);
}

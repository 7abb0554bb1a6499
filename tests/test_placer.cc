/*
 * Placement across gateways: shared slot counts, and operation without a
 * placer.
 */
#include "placer_fixture.h"

#include <auburnstile/internal/peers_internal.h>
#include <auburnstile/internal/placer_internal.h>

TEST_F(PlacerTest, CountsSlotsAcrossGateways)
{
	/*
	 * With two slots and two gateways, the third request must wait until a
	 * slot is released, so that no caller meets a full upstream.
	 */
	PlacementResult results[3];

	start_all({ "a", "b" });
	request_placement(*gateways[0], &results[0], 2000);
	request_placement(*gateways[1], &results[1], 2000);
	ASSERT_TRUE(
		run_until([&] { return results[0].done && results[1].done; },
			  2000));
	EXPECT_EQ(results[0].verdict, AUB_VERDICT_GRANTED);
	EXPECT_EQ(results[1].verdict, AUB_VERDICT_GRANTED);
	request_placement(*gateways[0], &results[2], 2000);
	run_for(100);
	EXPECT_FALSE(results[2].done);
	aub_placer_report(gateways[1]->placer, results[1].ticket, AUB_GRANT_OK,
			  50000, NULL);
	ASSERT_TRUE(run_until([&] { return results[2].done; }, 500));
	EXPECT_EQ(results[2].verdict, AUB_VERDICT_GRANTED);
}

TEST_F(PlacerTest, DefersLocalPlacementWhilePeersAppear)
{
	/*
	 * After a power failure VMs start over half a second. A gateway that
	 * placed for itself meanwhile would probe every upstream, as would the
	 * others. The asking gateway ranks first among its known peers and must
	 * wait until no more appear, which costs callers a quarter of a second.
	 */
	PlacementResult result;

	start_gateway("a");
	auto upstream = add_upstream("u1");
	register_upstream(*gateways[0], upstream);
	publish_state(*gateways[0], true);
	request_placement(*gateways[0], &result, 2000);
	/* More often than the quiet time, which a busy machine may stretch. */
	for (int i = 0; i < 24; i++) {
		run_for(20);
		TestGateway *late = start_gateway("g" + std::to_string(i));
		register_upstream(*late, upstream);
		/* ranks after the asking gateway */
		publish_state(*late, false);
		aub_peers_add(late->peers, gateways[0]->address.c_str());
	}
	EXPECT_FALSE(aub_placer_startup_is_over(gateways[0]->placer));
	EXPECT_FALSE(result.done);
	EXPECT_EQ(platform_upstream_probes(upstream), 0u);
	EXPECT_TRUE(run_until([&] { return result.done; }, 1000));
	EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
}

TEST_F(PlacerTest, AsksKnownPlacerWhilePeersAppear)
{
	/*
	 * After a power failure, callers wait no longer than the replies to
	 * first heartbeats take if a placer is known, even though other
	 * gateways still appear.
	 */
	PlacementResult result;

	auto upstream = start_all({ "a", "b" });
	TestGateway *newcomer = start_gateway("fresh");
	register_upstream(*newcomer, upstream);
	/* It ranks last, since it has not reached the store yet. */
	publish_state(*newcomer, false);
	aub_peers_add(newcomer->peers, gateways[0]->address.c_str());
	request_placement(*newcomer, &result, 2000);
	/* More often than the quiet time, which a busy machine may stretch. */
	for (int i = 0; i < 18 && !result.done; i++) {
		run_for(20);
		TestGateway *late = start_gateway("g" + std::to_string(i));
		register_upstream(*late, upstream);
		publish_state(*late, false);
		aub_peers_add(late->peers, newcomer->address.c_str());
	}
	EXPECT_FALSE(aub_placer_startup_is_over(newcomer->placer));
	EXPECT_TRUE(result.done);
	EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
}

/*
 * Guards against a second placer that probes and grants concurrently with the
 * first.
 */
TEST_F(PlacerTest, ForwardsRequestToFirstRankedGateway)
{
	PlacementResult result;

	auto upstream = start_all({ "a", "b", "c" });
	TestGateway *placer = find_placer();
	TestGateway *other = other_gateway(placer);
	TestGateway *newcomer = start_gateway("fresh");
	register_upstream(*newcomer, upstream);
	publish_state(*newcomer, false);
	aub_peers_add(newcomer->peers, other->address.c_str());
	ASSERT_TRUE(run_until(
		[&] {
			return aub_peers_count_alive(newcomer->peers) == 3 &&
			       aub_placer_first_replies_are_due(
				       newcomer->placer,
				       g_get_monotonic_time());
		},
		1000));
	/* As if it knew only one gateway to be ready. */
	for (guint i = 1; i < aub_peers_all(newcomer->peers)->len; i++) {
		struct aub_peer *peer = (struct aub_peer *)
			g_ptr_array_index(aub_peers_all(newcomer->peers), i);

		peer->ready = peer->name == other->name;
	}
	aub_peers_invalidate_ranks(newcomer->peers);
	request_placement(*newcomer, &result, 2000);
	ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
	EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
	EXPECT_EQ(aub_placer_get_counts(other->placer)->placed_here, 0u);
	EXPECT_GE(aub_placer_get_counts(other->placer)->forwarded, 1u);
	EXPECT_EQ(aub_placer_get_counts(placer->placer)->placed_here, 1u);
	aub_placer_report(newcomer->placer, result.ticket, AUB_GRANT_OK, 1000,
			  NULL);
	ASSERT_TRUE(run_until(
		[&] {
			struct aub_placement_stats state;

			aub_placement_get_stats(
				aub_placer_placement(placer->placer, "svc"),
				g_get_monotonic_time(), &state);
			return state.granted == 0;
		},
		500));
}

/* Guards against slots granted to a gateway that no decision can reach. */
TEST_F(PlacerTest, GrantsNothingToUnknownGateway)
{
	struct aub_placement_stats state;

	start_all({ "a", "b" });
	TestGateway *unknown_gateway = start_gateway("stranger");
	struct aub_place_request *request =
		(struct aub_place_request *)aub_message_new(
			AUB_MESSAGE_PLACE_REQUEST);
	request->holder = unknown_gateway->incarnation;
	request->ticket = 1;
	request->max_wait_ms = 500;
	aub_string_set(&request->service, "svc");
	aub_string_set(&request->address, unknown_gateway->address.c_str());
	aub_placer_handle_message(gateways[0]->placer, &request->base);
	aub_placement_get_stats(aub_placer_placement(gateways[0]->placer,
						     "svc"),
				g_get_monotonic_time(), &state);
	EXPECT_EQ(state.granted, 0u);
	EXPECT_EQ(state.queued, 0u);
	/* It is added as a peer, so that its next request is accepted. */
	EXPECT_TRUE(run_until(
		[&] {
			return aub_peers_by_incarnation(
				       gateways[0]->peers,
				       unknown_gateway->incarnation) != NULL;
		},
		500));
}

TEST_F(PlacerTest, AsksNextPlacerWhenOneDoesNotAnswer)
{
	/*
	 * The placer sends heartbeats but doesn't answer requests, as when its
	 * CPU share is used up. The caller waits about 50 ms more.
	 */
	PlacementResult result;

	start_all({ "a", "b", "c" });
	TestGateway *placer = find_placer();
	placer->drops_messages = true;
	gint64 start_us = g_get_monotonic_time();
	request_placement(*other_gateway(placer), &result);
	ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
	EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
	EXPECT_LT(g_get_monotonic_time() - start_us, 300 * 1000);
}

/* Guards against decisions that are delivered inside another request's call. */
TEST_F(PlacerTest, DeliversDecisionsFromMainLoopAfterOwnReport)
{
	PlacementResult running[2];
	PlacementResult queued;

	start_all({ "a" });
	TestGateway &gateway = *gateways[0];
	for (PlacementResult &result : running) {
		request_placement(gateway, &result);
		ASSERT_TRUE(run_until([&] { return result.done; }, 1000));
	}
	request_placement(gateway, &queued, 5000);
	ASSERT_FALSE(queued.done);
	aub_placer_report(gateway.placer, running[0].ticket, AUB_GRANT_OK, 1000,
			  NULL);
	EXPECT_FALSE(queued.done);
	ASSERT_TRUE(run_until([&] { return queued.done; }, 1000));
	EXPECT_EQ(queued.verdict, AUB_VERDICT_GRANTED);
	/* A request that is withdrawn reports as well. */
	request_placement(gateway, &running[0], 5000);
	ASSERT_FALSE(running[0].done);
	aub_placer_cancel(gateway.placer, running[1].ticket);
	EXPECT_FALSE(running[0].done);
	ASSERT_TRUE(run_until([&] { return running[0].done; }, 1000));
}

/* Guards against a cold upstream's rate that several placers grant. */
TEST_F(PlacerTest, OnlyFirstPlacerGrantsColdUpstreams)
{
	PlacementResult result;
	struct aub_service_spec spec = {};

	spec.name = (char *)"svc";
	spec.health_path = (char *)"/health";
	spec.warmup_ms = 3000;
	spec.warmup_per_s = 2.0;
	platform_upstream_set_warmup(add_upstream("u1"), 20000);
	for (auto name : { "a", "b", "c" }) {
		TestGateway *gateway = start_gateway(name);

		register_upstream(*gateway, upstreams[0]);
		aub_placement_configure(aub_placer_placement(gateway->placer,
							     "svc"),
					&spec);
	}
	connect_all();
	TestGateway *first = find_placer();
	TestGateway *other = other_gateway(first);
	request_placement(*other, &result);
	ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
	EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
	aub_placer_report(other->placer, result.ticket, AUB_GRANT_OK, 1000,
			  NULL);
	/* The first placer is slow, and the next one is asked. */
	first->drops_messages = true;
	for (int i = 0; i < 5; i++) {
		request_placement(*other, &result);
		ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
		EXPECT_NE(result.verdict, AUB_VERDICT_GRANTED);
		run_for(200);
	}
}

/* Guards against requests that wait for a dead placer in another zone. */
TEST_F(PlacerTest, BacksOffFromDeadPlacer)
{
	PlacementResult result;

	for (auto name : { "a", "b", "c", "d" })
		start_gateway(name, "z1");
	auto upstream = add_upstream("u1");
	for (auto &gateway : gateways)
		register_upstream(*gateway, upstream);
	connect_all();
	TestGateway *placer = find_placer();
	/*
	 * The asking gateway is the only one of its zone, so heartbeats arrive
	 * once a second.
	 */
	TestGateway *far = start_gateway("far", "z2");
	register_upstream(*far, upstream);
	publish_state(*far, false);
	aub_peers_add(far->peers, gateways[0]->address.c_str());
	ASSERT_TRUE(run_until(
		[&] { return aub_placer_startup_is_over(far->placer); }, 2000));
	stop_gateway(*placer);
	gint64 end = g_get_monotonic_time() + 2800 * AUB_MS;
	while (g_get_monotonic_time() < end) {
		request_placement(*far, &result);
		ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
		aub_placer_report(far->placer, result.ticket, AUB_GRANT_OK,
				  1000, NULL);
		run_for(20);
	}
	EXPECT_LE(aub_placer_get_counts(far->placer)->placers_suspected, 2u);
}

/* Guards against a long suspicion after one unresponsive period. */
TEST_F(PlacerTest, SuspectsOncePerUnresponsivePeriod)
{
	PlacementResult results[6];

	start_all({ "a", "b", "c" });
	TestGateway *placer = find_placer();
	TestGateway *requester = other_gateway(placer);
	placer->drops_messages = true;
	gint64 start_us = g_get_monotonic_time();
	for (auto &result : results)
		request_placement(*requester, &result, 2000);
	ASSERT_TRUE(run_until(
		[&] {
			return aub_placer_get_counts(requester->placer)
				       ->placers_suspected >=
			       G_N_ELEMENTS(results);
		},
		2000));
	struct aub_peer *peer =
		aub_peers_by_incarnation(requester->peers, placer->incarnation);
	ASSERT_NE(peer, nullptr);
	EXPECT_LT(peer->suspected_until_us, start_us + 1500 * AUB_MS);
}

/* Guards against a placer whose network and CPU load grows with the fleet. */
TEST_F(PlacerTest, SendsHealthToTwoRelaysPerZone)
{
	auto upstream = add_upstream("u1");

	for (int i = 0; i < 12; i++) {
		start_gateway("g" + std::to_string(i),
			      "z" + std::to_string(i % 2 + 1));
		register_upstream(*gateways[i], upstream);
	}
	connect_all();
	TestGateway *placer = find_placer();
	const struct aub_peers_counts *counts =
		aub_peers_get_counts(placer->peers);
	aub_placer_probe_service(placer->placer, "svc");
	struct aub_upstream_health down = {};
	down.upstream = "u1";
	down.down = true;
	aub_placement_set_health(aub_placer_placement(placer->placer, "svc"),
				 &down, g_get_monotonic_time());
	guint64 far = counts->cross_zone_datagrams;
	guint64 near = counts->own_zone_datagrams;
	aub_placer_on_round(placer->placer, g_get_monotonic_time());
	EXPECT_EQ(counts->cross_zone_datagrams - far, 2u);
	EXPECT_EQ(counts->own_zone_datagrams - near, 5u);
	EXPECT_TRUE(run_until(
		[&] {
			for (auto &gateway : gateways)
				if (strcmp(aub_placement_health_name(
						   aub_placer_placement(
							   gateway->placer,
							   "svc"),
						   "u1"),
					   "down") != 0)
					return false;
			return true;
		},
		300));
}

TEST_F(PlacerTest, PlacesLocallyWhenNoPlacerAnswers)
{
	PlacementResult result;

	start_all({ "a", "b", "c" });
	TestGateway *requester = gateways[0].get();
	for (auto &gateway : gateways)
		if (gateway.get() != requester)
			gateway->drops_messages = true;
	request_placement(*requester, &result);
	ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
	EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
}

TEST_F(PlacerTest, ReturnsGrantOfLocallyDrainingUpstream)
{
	/*
	 * The placer doesn't know yet that the first upstream is draining; the
	 * asking gateway does. The request must be answered by the other one.
	 */
	start_gateway("a");
	start_gateway("b");
	auto first_upstream = add_upstream("u1");
	auto second_upstream = add_upstream("u2");
	for (auto &gateway : gateways) {
		register_upstream(*gateway, first_upstream);
		register_upstream(*gateway, second_upstream);
	}
	connect_all();
	TestGateway *requester = other_gateway(find_placer());
	register_upstream(*requester, first_upstream, true);
	expect_all_granted_to(*requester, "u2");
}

TEST_F(PlacerTest, ReturnsGrantOfLocallyUnknownUpstream)
{
	/*
	 * The placer was partitioned from the store while the first upstream
	 * left. The asking gateway has restarted since and never knew it. The
	 * request must be answered by the other upstream.
	 */
	start_gateway("a");
	start_gateway("b");
	auto first_upstream = add_upstream("u1");
	auto second_upstream = add_upstream("u2");
	for (auto &gateway : gateways)
		register_upstream(*gateway, second_upstream);
	connect_all();
	TestGateway *placer = find_placer();
	TestGateway *requester = other_gateway(placer);
	register_upstream(*placer, first_upstream);
	expect_all_granted_to(*requester, "u2");
}

TEST_F(PlacerTest, ReleasesGrantsOfDeadGateway)
{
	/*
	 * A gateway dies with both slots of the only upstream granted to it and
	 * reports nothing. The next request must get a slot.
	 */
	PlacementResult results[3];

	start_all({ "a", "b", "c" });
	TestGateway *placer = find_placer();
	TestGateway *dead_gateway = other_gateway(placer);
	TestGateway *third = NULL;
	for (auto &gateway : gateways)
		if (gateway.get() != placer && gateway.get() != dead_gateway)
			third = gateway.get();
	request_placement(*dead_gateway, &results[0], 3000);
	request_placement(*dead_gateway, &results[1], 3000);
	ASSERT_TRUE(
		run_until([&] { return results[0].done && results[1].done; },
			  2000));
	stop_gateway(*dead_gateway);
	for (size_t i = 0; i < gateways.size(); i++)
		if (gateways[i].get() == dead_gateway)
			gateways.erase(gateways.begin() + (long)i);
	request_placement(*third, &results[2], 4000);
	ASSERT_TRUE(run_until([&] { return results[2].done; }, 4000));
	EXPECT_EQ(results[2].verdict, AUB_VERDICT_GRANTED);
}

TEST_F(PlacerTest, PublishesUpstreamHealth)
{
	/*
	 * The placer publishes the health of upstreams, so that no request is
	 * sent to a dead one while no placer answers.
	 */
	start_gateway("a");
	start_gateway("b");
	auto first_upstream = add_upstream("u1");
	auto second_upstream = add_upstream("u2");
	for (auto &gateway : gateways) {
		register_upstream(*gateway, first_upstream);
		register_upstream(*gateway, second_upstream);
	}
	connect_all();
	TestGateway *placer = find_placer();
	TestGateway *requester = other_gateway(placer);
	platform_upstream_set_down(first_upstream, true);
	run_for(2500);
	placer->drops_messages = true;
	expect_all_granted_to(*requester, "u2");
}

TEST_F(PlacerTest, ProbesThroughGatewayInUpstreamZone)
{
	/*
	 * The placer must learn the health of an upstream in another zone
	 * without sending probes across zones.
	 */
	start_gateway("a", "z1");
	start_gateway("b", "z2");
	auto upstream = add_upstream("u1"); /* in z1 */
	for (auto &gateway : gateways)
		register_upstream(*gateway, upstream);
	connect_all();
	run_for(1500);
	guint64 counts[2];
	for (int i = 0; i < 2; i++)
		counts[i] = aub_placer_get_counts(gateways[(size_t)i]->placer)
				    ->probes_sent;
	run_for(1000);
	for (int i = 0; i < 2; i++)
		counts[i] = aub_placer_get_counts(gateways[(size_t)i]->placer)
				    ->probes_sent -
			    counts[i];
	EXPECT_GE(counts[0], 7u);
	EXPECT_LE(counts[1], 2u);
	EXPECT_STREQ(aub_placement_health_name(
			     aub_placer_placement(find_placer()->placer, "svc"),
			     "u1"),
		     "up");
}

/*
 * Placing between gateways: one counts for all, and each goes on without it.
 */
#include "placer_rig.h"

#include <auburnstile/internal/peers_parts.h>
#include <auburnstile/internal/placer_parts.h>

TEST_F(PlacerTest, CountsSlotsForAllGateways)
{
	/*
	 * Callers of either gateway never meet a full upstream: with two slots
	 * and two gateways, the third request waits until one is released.
	 */
	Placed results[3];

	start_all({ "a", "b" });
	ask(*gates[0], &results[0], 2000);
	ask(*gates[1], &results[1], 2000);
	ASSERT_TRUE(
		run_until([&] { return results[0].done && results[1].done; },
			  2000));
	EXPECT_EQ(results[0].verdict, AUB_VERDICT_GRANTED);
	EXPECT_EQ(results[1].verdict, AUB_VERDICT_GRANTED);
	ask(*gates[0], &results[2], 2000);
	run_for(100);
	EXPECT_FALSE(results[2].done);
	aub_placer_report(gates[1]->placer, results[1].ticket, AUB_END_OK,
			  50000, NULL);
	ASSERT_TRUE(run_until([&] { return results[2].done; }, 500));
	EXPECT_EQ(results[2].verdict, AUB_VERDICT_GRANTED);
}

TEST_F(PlacerTest, WaitsWhileOthersStillAppear)
{
	/*
	 * Callers wait a quarter of a second more after the whole fleet was
	 * without power. VMs start over half a second; one that placed for
	 * itself meanwhile would probe every upstream, as would the others.
	 * The one that asks ranks first among those that it has heard.
	 */
	Placed result;

	start("a");
	auto upstream = add_upstream("u1");
	enter(*gates[0], upstream);
	say(*gates[0], true);
	ask(*gates[0], &result, 2000);
	for (int i = 0; i < 8; i++) {
		run_for(60);
		Gate *late = start("g" + std::to_string(i));
		enter(*late, upstream);
		say(*late, false); /* ranks after the one that asks */
		aub_peers_add(late->peers, gates[0]->address.c_str());
	}
	EXPECT_FALSE(aub_placer_is_settled(gates[0]->placer));
	EXPECT_FALSE(result.done);
	EXPECT_EQ(platform_upstream_probes(upstream), 0u);
	EXPECT_TRUE(run_until([&] { return result.done; }, 1000));
	EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
}

TEST_F(PlacerTest, AsksAnotherWhileOthersStillAppear)
{
	/*
	 * Callers who come back after a loss of power wait for no more than
	 * first heartbeats take. Others still appear, but a placer is known.
	 */
	Placed result;

	auto upstream = start_all({ "a", "b" });
	Gate *fresh = start("fresh");
	enter(*fresh, upstream);
	say(*fresh, false); /* it ranks last: it has not heard the store */
	aub_peers_add(fresh->peers, gates[0]->address.c_str());
	ask(*fresh, &result, 2000);
	for (int i = 0; i < 6 && !result.done; i++) {
		run_for(60);
		Gate *late = start("g" + std::to_string(i));
		enter(*late, upstream);
		say(*late, false);
		aub_peers_add(late->peers, fresh->address.c_str());
	}
	EXPECT_FALSE(aub_placer_is_settled(fresh->placer));
	EXPECT_TRUE(result.done);
	EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
}

/* Guards against a second placer that probes and grants beside the first. */
TEST_F(PlacerTest, PassesAnAskOnToTheGatewayThatRanksFirst)
{
	Placed result;

	auto upstream = start_all({ "a", "b", "c" });
	Gate *placer = placer_of_all();
	Gate *other = other_than(placer);
	Gate *fresh = start("fresh");
	enter(*fresh, upstream);
	say(*fresh, false);
	aub_peers_add(fresh->peers, other->address.c_str());
	ASSERT_TRUE(run_until(
		[&] {
			return aub_peers_count_alive(fresh->peers) == 3 &&
			       aub_placer_hears(fresh->placer,
						g_get_monotonic_time());
		},
		1000));
	/* As if it had not yet heard that any but one is ready. */
	for (guint i = 1; i < aub_peers_all(fresh->peers)->len; i++) {
		struct aub_peer *peer = (struct aub_peer *)
			g_ptr_array_index(aub_peers_all(fresh->peers), i);

		peer->ready = peer->name == other->name;
	}
	aub_peers_rank_again(fresh->peers);
	ask(*fresh, &result, 2000);
	ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
	EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
	EXPECT_EQ(aub_placer_get_counts(other->placer)->placed_here, 0u);
	EXPECT_GE(aub_placer_get_counts(other->placer)->forwarded, 1u);
	EXPECT_EQ(aub_placer_get_counts(placer->placer)->placed_here, 1u);
	aub_placer_report(fresh->placer, result.ticket, AUB_END_OK, 1000, NULL);
	ASSERT_TRUE(run_until(
		[&] {
			struct aub_placement_state state;

			aub_placement_get_state(
				aub_placer_placement(placer->placer, "svc"),
				g_get_monotonic_time(), &state);
			return state.granted == 0;
		},
		500));
}

/* Guards against slots granted to a gateway that no decision can reach. */
TEST_F(PlacerTest, GrantsNothingToAGatewayThatItDoesNotKnow)
{
	struct aub_placement_state state;

	start_all({ "a", "b" });
	Gate *stranger = start("stranger");
	struct aub_place_request *ask =
		(struct aub_place_request *)aub_message_new(AUB_MESSAGE_PLACE_REQUEST);
	ask->holder = stranger->incarnation;
	ask->ticket = 1;
	ask->max_wait_ms = 500;
	aub_string_set(&ask->service, "svc");
	aub_string_set(&ask->address, stranger->address.c_str());
	aub_placer_message(gates[0]->placer, &ask->base);
	aub_placement_get_state(aub_placer_placement(gates[0]->placer, "svc"),
				g_get_monotonic_time(), &state);
	EXPECT_EQ(state.granted, 0u);
	EXPECT_EQ(state.queued, 0u);
	/* It is met, so that its next ask finds it known. */
	EXPECT_TRUE(run_until(
		[&] {
			return aub_peers_by_incarnation(
				       gates[0]->peers,
				       stranger->incarnation) != NULL;
		},
		500));
}

TEST_F(PlacerTest, GoesToTheNextWhenAPlacerDoesNotAnswer)
{
	/*
	 * The caller waits some 50 ms more. The placer is alive by its
	 * heartbeats but does not answer (its processor share is used up).
	 */
	Placed result;

	start_all({ "a", "b", "c" });
	Gate *placer = placer_of_all();
	placer->deaf = true;
	gint64 begun = g_get_monotonic_time();
	ask(*other_than(placer), &result);
	ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
	EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
	EXPECT_LT(g_get_monotonic_time() - begun, 300 * 1000);
}

/* Guards against requests that wait for a dead placer of another zone. */
TEST_F(PlacerTest, AsksADeadPlacerLessAndLessOften)
{
	Placed result;

	for (auto name : { "a", "b", "c", "d" })
		start(name, "z1");
	auto upstream = add_upstream("u1");
	for (auto &gate : gates)
		enter(*gate, upstream);
	join();
	Gate *placer = placer_of_all();
	/* The one that asks is alone in its zone: heartbeats come once a
	 * second.
	 */
	Gate *far = start("far", "z2");
	enter(*far, upstream);
	say(*far, false);
	aub_peers_add(far->peers, gates[0]->address.c_str());
	ASSERT_TRUE(
		run_until([&] { return aub_placer_is_settled(far->placer); },
			  2000));
	stop(*placer);
	gint64 end = g_get_monotonic_time() + 2800 * AUB_MS;
	while (g_get_monotonic_time() < end) {
		ask(*far, &result);
		ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
		aub_placer_report(far->placer, result.ticket, AUB_END_OK, 1000,
				  NULL);
		run_for(20);
	}
	EXPECT_LE(aub_placer_get_counts(far->placer)->suspected, 2u);
}

/* Guards against a long suspicion of a placer that was slow once. */
TEST_F(PlacerTest, SuspectsOnceForRequestsThatWaitTogether)
{
	Placed results[6];

	start_all({ "a", "b", "c" });
	Gate *placer = placer_of_all();
	Gate *asking = other_than(placer);
	placer->deaf = true;
	gint64 begun = g_get_monotonic_time();
	for (auto &result : results)
		ask(*asking, &result, 2000);
	ASSERT_TRUE(run_until(
		[&] {
			return aub_placer_get_counts(asking->placer)
				       ->suspected >= G_N_ELEMENTS(results);
		},
		2000));
	struct aub_peer *peer =
		aub_peers_by_incarnation(asking->peers, placer->incarnation);
	ASSERT_NE(peer, nullptr);
	EXPECT_LT(peer->suspect_until_us, begun + 1500 * AUB_MS);
}

/* Guards against a placer whose link and processor grow with the fleet. */
TEST_F(PlacerTest, TellsOtherZonesOfItsUpstreamsByTwoGateways)
{
	auto upstream = add_upstream("u1");

	for (int i = 0; i < 12; i++) {
		start("g" + std::to_string(i), "z" + std::to_string(i % 2 + 1));
		enter(*gates[i], upstream);
	}
	join();
	Gate *placer = placer_of_all();
	const struct aub_peers_counts *counts =
		aub_peers_get_counts(placer->peers);
	aub_placer_wake_service(placer->placer, "svc");
	struct aub_upstream_health down = {};
	down.upstream = "u1";
	down.down = true;
	aub_placement_set_health(aub_placer_placement(placer->placer, "svc"),
				 &down, g_get_monotonic_time());
	guint64 far = counts->far_datagrams;
	guint64 near = counts->near_datagrams;
	aub_placer_on_round(placer->placer, g_get_monotonic_time());
	EXPECT_EQ(counts->far_datagrams - far, 2u);
	EXPECT_EQ(counts->near_datagrams - near, 5u);
	EXPECT_TRUE(run_until(
		[&] {
			for (auto &gate : gates)
				if (strcmp(aub_placement_health_name(
						   aub_placer_placement(
							   gate->placer, "svc"),
						   "u1"),
					   "down") != 0)
					return false;
			return true;
		},
		300));
}

TEST_F(PlacerTest, PlacesAloneWhenNobodyAnswers)
{
	Placed result;

	start_all({ "a", "b", "c" });
	Gate *asking = gates[0].get();
	for (auto &gate : gates)
		if (gate.get() != asking)
			gate->deaf = true;
	ask(*asking, &result);
	ASSERT_TRUE(run_until([&] { return result.done; }, 2000));
	EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
}

TEST_F(PlacerTest, SendsBackAGrantOfWhatDrainsHere)
{
	/*
	 * The caller is answered by another upstream. The placer has not heard
	 * that the first one drains; the gateway that asks has.
	 */
	start("a");
	start("b");
	auto one = add_upstream("u1");
	auto two = add_upstream("u2");
	for (auto &gate : gates) {
		enter(*gate, one);
		enter(*gate, two);
	}
	join();
	Gate *asking = other_than(placer_of_all());
	enter(*asking, one, true);
	expect_only(*asking, "u2");
}

TEST_F(PlacerTest, SendsBackAGrantOfWhatIsNotRegisteredHere)
{
	/*
	 * The caller is answered by another upstream. The placer was cut off
	 * while the first one left; the gateway that asks was restarted since
	 * and has never heard of it.
	 */
	start("a");
	start("b");
	auto one = add_upstream("u1");
	auto two = add_upstream("u2");
	for (auto &gate : gates)
		enter(*gate, two);
	join();
	Gate *placer = placer_of_all();
	Gate *asking = other_than(placer);
	enter(*placer, one);
	expect_only(*asking, "u2");
}

TEST_F(PlacerTest, ReleasesTheGrantsOfAGatewayThatDied)
{
	/*
	 * The next caller finds a slot. A gateway dies with both slots of the
	 * only upstream granted to it, and reports nothing.
	 */
	Placed results[3];

	start_all({ "a", "b", "c" });
	Gate *placer = placer_of_all();
	Gate *dying = other_than(placer);
	Gate *third = NULL;
	for (auto &gate : gates)
		if (gate.get() != placer && gate.get() != dying)
			third = gate.get();
	ask(*dying, &results[0], 3000);
	ask(*dying, &results[1], 3000);
	ASSERT_TRUE(
		run_until([&] { return results[0].done && results[1].done; },
			  2000));
	stop(*dying);
	for (size_t i = 0; i < gates.size(); i++)
		if (gates[i].get() == dying)
			gates.erase(gates.begin() + (long)i);
	ask(*third, &results[2], 4000);
	ASSERT_TRUE(run_until([&] { return results[2].done; }, 4000));
	EXPECT_EQ(results[2].verdict, AUB_VERDICT_GRANTED);
}

TEST_F(PlacerTest, TellsTheOthersWhatIsDown)
{
	/*
	 * The caller is not sent to a dead upstream while no placer answers:
	 * what the placer knows is known to the others.
	 */
	start("a");
	start("b");
	auto one = add_upstream("u1");
	auto two = add_upstream("u2");
	for (auto &gate : gates) {
		enter(*gate, one);
		enter(*gate, two);
	}
	join();
	Gate *placer = placer_of_all();
	Gate *asking = other_than(placer);
	platform_upstream_set_down(one, true);
	run_for(2500);
	placer->deaf = true;
	expect_only(*asking, "u2");
}

TEST_F(PlacerTest, AZonesOwnGatewayProbesForThePlacer)
{
	/*
	 * The placer learns how an upstream of another zone is without a probe
	 * of its own crossing zones.
	 */
	start("a", "z1");
	start("b", "z2");
	auto upstream = add_upstream("u1"); /* of z1 */
	for (auto &gate : gates)
		enter(*gate, upstream);
	join();
	run_for(1500);
	guint64 counts[2];
	for (int i = 0; i < 2; i++)
		counts[i] =
			aub_placer_get_counts(gates[(size_t)i]->placer)->probes;
	run_for(1000);
	for (int i = 0; i < 2; i++)
		counts[i] = aub_placer_get_counts(gates[(size_t)i]->placer)
				    ->probes -
			    counts[i];
	EXPECT_GE(counts[0], 7u);
	EXPECT_LE(counts[1], 2u);
	EXPECT_STREQ(aub_placement_health_name(
			     aub_placer_placement(placer_of_all()->placer,
						  "svc"),
			     "u1"),
		     "up");
}

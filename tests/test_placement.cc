/*
 * Which upstream gets the next request: slots, cold starts, signs of trouble.
 */
#include "placement_rig.h"

#include <map>
#include <set>

TEST(Placement, PromisesNoSlotTwice)
{
	Placement p;
	std::map<std::string, int> granted;

	p.add("u1");
	p.add("u2");
	for (int i = 0; i < 4; i++) {
		struct aub_decision decision = p.ask();

		ASSERT_EQ(decision.verdict, AUB_VERDICT_GRANTED);
		granted[decision.upstream]++;
	}
	EXPECT_EQ(granted["u1"], 2);
	EXPECT_EQ(granted["u2"], 2);
	EXPECT_EQ(p.ask().verdict, AUB_VERDICT_QUEUED);
}

TEST(Placement, AnswersARepeatedAskAlike)
{
	Placement p;

	p.add("u1");
	struct aub_ask ask = p.ask_of();
	std::string first = p.ask(ask).upstream;
	EXPECT_EQ(p.ask(ask).upstream, first);
	EXPECT_EQ(p.row("u1")->granted, 1u);
}

TEST(Placement, PrefersItsOwnZone)
{
	Placement p;

	p.add("far", 6, "z2");
	p.add("near", 6, "z1");
	for (int i = 0; i < 4; i++)
		EXPECT_STREQ(p.ask().upstream, "near");
}

TEST(Placement, AvoidsANeighboursBurst)
{
	Placement p;

	p.add("u1", 6);
	p.add("u2", 6);
	p.probed("u1", -1, 400);
	for (int i = 0; i < 4; i++)
		EXPECT_STREQ(p.ask().upstream, "u2");
}

TEST(Placement, WaitsForOneWithoutABurstWhileItCanBeOnTime)
{
	/*
	 * The caller is on time rather than served at once and late: work at
	 * the only free upstream takes four times as long, and another one
	 * frees a slot within some ms.
	 */
	Placement p;
	struct aub_decision decision;

	p.add("slow");
	p.add("fast");
	p.probed("slow", -1, 400);
	guint64 held = p.ask().ticket;
	p.ask();
	struct aub_decision waiting = p.ask();
	EXPECT_EQ(waiting.verdict, AUB_VERDICT_QUEUED);
	p.now += 10 * MS;
	p.report(held);
	ASSERT_TRUE(p.next(&decision));
	EXPECT_EQ(decision.ticket, waiting.ticket);
	EXPECT_STREQ(decision.upstream, "fast");
}

/* Bursts that last for seconds, as all upstreams tell. */
static void tell_long_bursts(Placement &p)
{
	for (int i = 0; i < 600; i++) {
		p.now += 100 * MS;
		p.probed("slow", -1, i / 100 % 2 ? 100 : 400);
		p.probed("fast", -1, 100);
	}
	p.probed("slow", -1, 400);
}

TEST(Placement, BeginsWorkInABurstOnlyIfThatOutlastsIt)
{
	/*
	 * The caller is late in any case. Work that begins in a burst takes
	 * four times as long and keeps its slot for all of it; a burst of some
	 * hundred ms is waited for, one of seconds is not.
	 */
	Placement brief;
	Placement lasting;
	struct aub_ask late = brief.ask_of();

	late.on_time_ms = 0;
	late.max_wait_ms = 5000;
	brief.add("slow");
	brief.probed("slow", -1, 400);
	EXPECT_EQ(brief.ask(late).verdict, AUB_VERDICT_QUEUED);

	lasting.add("slow");
	lasting.add("fast");
	tell_long_bursts(lasting);
	while (lasting.ask().verdict == AUB_VERDICT_GRANTED)
		;
	late.ticket = ++lasting.serial;
	lasting.ask(late);
	struct aub_decision decision;
	ASSERT_TRUE(lasting.next(&decision));
	EXPECT_EQ(decision.ticket, late.ticket);
	EXPECT_STREQ(decision.upstream, "slow");
}

TEST(Placement, NeverFillsAnUpstreamPastItsKnee)
{
	Placement p;
	int granted = 0;

	p.add("u1", 6);
	while (p.ask().verdict == AUB_VERDICT_GRANTED)
		granted++;
	EXPECT_EQ(granted, 5);
}

TEST(Placement, SendsNothingToWhatIsUnknownOrDown)
{
	Placement p;

	p.enter("u1");
	struct aub_decision waiting = p.ask();
	struct aub_decision decision;
	EXPECT_EQ(waiting.verdict, AUB_VERDICT_QUEUED);
	p.probed("u1");
	ASSERT_TRUE(p.next(&decision));
	EXPECT_EQ(decision.verdict, AUB_VERDICT_GRANTED);
	p.report(waiting.ticket, AUB_END_LOST);
	EXPECT_NE(p.ask().verdict, AUB_VERDICT_GRANTED);
}

TEST(Placement, RefusesAtOnceWhereEverythingIsDown)
{
	/*
	 * The caller is told at once when to come back. All upstreams have
	 * died; waiting for a slot would use up its time for nothing.
	 */
	Placement p;

	p.add("u1");
	p.report(p.ask().ticket, AUB_END_UNREACHABLE);
	struct aub_decision decision = p.ask();
	EXPECT_EQ(decision.verdict, AUB_VERDICT_NO_UPSTREAM);
	EXPECT_GT(decision.retry_after_ms, 0u);
}

TEST(Placement, SendsNothingNewToWhatLeaves)
{
	Placement p;

	p.add("u1");
	p.enter("u1", 2, "z1", true);
	EXPECT_NE(p.ask().verdict, AUB_VERDICT_GRANTED);
	EXPECT_FALSE(aub_placement_may_send(p.it, "u1"));
	EXPECT_FALSE(aub_placement_may_send(p.it, "never-heard-of"));
	p.add("u2");
	p.leave("u2");
	EXPECT_NE(p.ask().verdict, AUB_VERDICT_GRANTED);
}

TEST(Placement, SendsNothingToAZoneThatIsOut)
{
	Placement p;

	p.add("u1");
	aub_placement_zone_out(p.it, "z1", true, p.now);
	EXPECT_NE(p.ask().verdict, AUB_VERDICT_GRANTED);
	/* Back: nothing before a probe has told how cold it is. */
	aub_placement_zone_out(p.it, "z1", false, p.now);
	EXPECT_NE(p.ask().verdict, AUB_VERDICT_GRANTED);
	p.probed("u1", 0);
	struct aub_decision decision;
	ASSERT_TRUE(p.next(&decision));
	EXPECT_EQ(decision.verdict, AUB_VERDICT_GRANTED);
}

/* Requests that a cold upstream gets in each of `seconds`. */
static std::vector<int> cold_grants(std::vector<Placement *> placers,
				    int seconds)
{
	std::vector<int> counts(seconds * 1000 / 50);

	for (size_t step = 0; step < counts.size(); step++)
		for (Placement *p : placers) {
			struct aub_ask ask = p->ask_of();
			struct aub_decision decision;

			ask.max_wait_ms = 5000;
			decision = p->ask(ask);
			do {
				if (decision.verdict != AUB_VERDICT_GRANTED)
					continue;
				counts[step]++;
				p->report(decision.ticket);
			} while (p->next(&decision));
			p->now += 50 * MS;
		}
	return counts;
}

static int most_in_a_second(const std::vector<int> &counts)
{
	int most = 0;

	for (size_t i = 0; i + 20 <= counts.size(); i++) {
		int sum = 0;

		for (size_t k = i; k < i + 20; k++)
			sum += counts[k];
		most = std::max(most, sum);
	}
	return most;
}

TEST(Placement, KeepsAColdUpstreamWithinItsRate)
{
	Placement p;

	p.enter("u1", 2, "z1", false, 1, 60000);
	p.probed("u1", 60000);
	int most = most_in_a_second(cold_grants({ &p }, 10));
	EXPECT_LE(most, 2);
	EXPECT_GE(most, 1);
}

TEST(Placement, TwoPlacersKeepAColdUpstreamWithinItsBound)
{
	/*
	 * A cold upstream falls over when two gateways believe that they place
	 * for it, as after a cut. Its bound is 2 a second, times 1.5, and 5.
	 */
	Placement one;
	Placement two;

	for (Placement *p : { &one, &two }) {
		p->enter("u1", 2, "z1", false, 1, 60000);
		p->probed("u1", 60000);
	}
	EXPECT_LE(most_in_a_second(cold_grants({ &one, &two }, 10)), 4);
}

TEST(Placement, APlacerOfNecessitySendsNothingCold)
{
	Placement p;

	p.enter("u1", 2, "z1", false, 1, 3000);
	p.probed("u1", 3000);
	struct aub_ask ask = p.ask_of();
	ask.alone = true;
	EXPECT_EQ(p.ask(ask).verdict, AUB_VERDICT_NO_UPSTREAM);
}

TEST(Placement, ANewIncarnationIsUnknownAgain)
{
	Placement p;

	p.add("u1");
	p.enter("u1", 2, "z1", false, 2, 3000);
	EXPECT_NE(p.ask().verdict, AUB_VERDICT_GRANTED);
}

TEST(Placement, AvoidsWhatFails)
{
	Placement p;

	p.add("bad", 6);
	p.add("good", 6);
	for (int i = 0; i < 30; i++) {
		struct aub_decision decision = p.ask();

		p.report(decision.ticket,
			 std::string(decision.upstream) == "bad" ?
				 AUB_END_FAILED :
				 AUB_END_OK);
		p.now += 20 * MS;
	}
	for (int i = 0; i < 4; i++)
		EXPECT_STREQ(p.ask().upstream, "good");
	/* It is tried again after a while. */
	std::set<std::string> seen;
	p.now += 20000 * MS;
	for (int i = 0; i < 4; i++)
		seen.insert(p.ask().upstream ? "granted" : "");
	EXPECT_TRUE(seen.count("granted"));
}

TEST(Placement, AvoidsWhatAnswersNothing)
{
	/*
	 * Callers meet a silent upstream at most as often as it has slots.
	 * It accepts requests and answers none, while its probes are well.
	 */
	Placement p;
	std::map<std::string, int> granted;

	p.add("mute", 6);
	p.add("well", 6);
	for (int i = 0; i < 200; i++) {
		struct aub_decision decision = p.ask();

		p.now += 20 * MS;
		p.probed("mute");
		p.probed("well");
		if (decision.verdict != AUB_VERDICT_GRANTED)
			continue;
		granted[decision.upstream]++;
		if (std::string(decision.upstream) == "well")
			p.report(decision.ticket);
	}
	EXPECT_LE(granted["mute"], 5);
	EXPECT_GE(granted["well"], 150);
}

TEST(Placement, LearnsWhoIsSlow)
{
	Placement p;
	int slow = 0;

	p.add("slow", 6);
	p.add("fast", 6);
	for (int i = 0; i < 100; i++) {
		struct aub_decision decision = p.ask();
		bool is_slow = std::string(decision.upstream) == "slow";

		slow += is_slow;
		p.report(decision.ticket, AUB_END_OK,
			 (is_slow ? 1000 : 200) * MS);
		p.now += 50 * MS;
	}
	EXPECT_LT(slow, 15);
}

TEST(Placement, StaysInItsZoneThoughAnswersThereHappenToBeLong)
{
	/*
	 * Callers get their answers from their own zone: work differs from
	 * request to request, and three long answers in a row don't make an
	 * upstream slow.
	 */
	Placement p;

	p.add("far", 6, "z2");
	p.add("near", 6, "z1");
	for (int i = 0; i < 20; i++) {
		struct aub_decision decision = p.ask();

		EXPECT_STREQ(decision.upstream, "near") << i;
		p.report(decision.ticket, AUB_END_OK,
			 (i > 12 && i < 16 ? 280 : 200) * MS);
		p.now += 50 * MS;
		p.probed("far");
		p.probed("near");
	}
}

TEST(Placement, KeepsRetriesWithinTheFleetsBudget)
{
	Placement p(0.2, 3);
	int granted = 0;

	p.add("u1", 6);
	for (int i = 0; i < 100; i++) {
		p.report(p.ask().ticket);
		struct aub_ask again = p.ask_of();

		again.retry = true;
		struct aub_decision decision = p.ask(again);
		if (decision.verdict == AUB_VERDICT_GRANTED) {
			granted++;
			p.report(decision.ticket);
		} else {
			EXPECT_EQ(decision.verdict, AUB_VERDICT_NO_BUDGET);
		}
		p.now += 20 * MS;
	}
	EXPECT_LE(granted, 23);
	EXPECT_GE(granted, 20);
}

TEST(Placement, ReleasesGrantsWhoseReportsWereLost)
{
	Placement p;
	guint64 tickets[2];

	p.add("u1");
	tickets[0] = p.ask().ticket;
	tickets[1] = p.ask().ticket;
	p.now += 2000 * MS;
	aub_placement_reconcile(p.it, 7, &tickets[1], 1, p.now);
	aub_placement_check(p.it);
	EXPECT_EQ(p.row("u1")->granted, 1u);
	aub_placement_forget(p.it, 7, p.now);
	aub_placement_check(p.it);
	EXPECT_EQ(p.row("u1")->granted, 0u);
}

TEST(Placement, AdoptsWhatAnotherPlacerGranted)
{
	Placement p;

	p.add("u1");
	aub_placement_adopt(p.it, 9, 77, "u1", 600, p.now);
	aub_placement_adopt(p.it, 9, 77, "u1", 600, p.now);
	aub_placement_adopt(p.it, 9, 78, "unheard-of", 600, p.now);
	aub_placement_check(p.it);
	EXPECT_EQ(p.row("u1")->granted, 1u);
	p.report(77);
	EXPECT_EQ(p.row("u1")->granted, 0u);
}

/* Random operations; the invariants hold after each. */
class PlacementSequences : public ::testing::TestWithParam<guint32>
{
};

TEST_P(PlacementSequences, KeepTheInvariants)
{
	GRand *random = g_rand_new_with_seed(GetParam());
	Placement p;
	std::vector<guint64> open;
	struct aub_decision decision;

	for (int step = 0; step < 3000; step++) {
		std::string id =
			"u" + std::to_string(g_rand_int_range(random, 0, 8));
		guint at = open.empty() ?
				   0 :
				   (guint)g_rand_int_range(random, 0,
							   (gint)open.size());

		p.now += g_rand_int_range(random, 0, 20) * MS;
		switch (g_rand_int_range(random, 0, 10)) {
		case 0:
			p.enter(id, (guint)g_rand_int_range(random, 1, 7),
				g_rand_boolean(random) ? "z1" : "z2",
				g_rand_int_range(random, 0, 5) == 0,
				g_rand_int_range(random, 1, 3),
				(guint)g_rand_int_range(random, 0, 2000));
			break;
		case 1:
			p.leave(id);
			break;
		case 2:
			p.probed(id, g_rand_int_range(random, -1, 1000),
				 g_rand_int_range(random, 50, 500),
				 (enum aub_probe_end)g_rand_int_range(random, 0,
								      4));
			break;
		case 3:
			aub_placement_zone_out(p.it, "z2",
					       g_rand_boolean(random), p.now);
			break;
		case 4:
			if (!open.empty())
				p.report(open[at],
					 (enum aub_attempt_end)g_rand_int_range(
						 random, 0, 9));
			break;
		case 5:
			aub_placement_reconcile(p.it, 7, open.data(),
						(guint)open.size() / 2, p.now);
			break;
		default: {
			struct aub_ask ask =
				p.ask_of((guint)g_rand_int_range(random, 0, 3));

			ask.retry = g_rand_int_range(random, 0, 5) == 0;
			ask.on_time_ms =
				(guint)g_rand_int_range(random, 0, 300);
			decision = p.ask(ask);
			open.push_back(ask.ticket);
			if (decision.verdict == AUB_VERDICT_GRANTED) {
				const struct aub_row *row =
					p.row(decision.upstream);

				ASSERT_TRUE(row->registered);
				ASSERT_FALSE(row->draining);
				ASSERT_FALSE(row->zone_out);
				ASSERT_EQ(row->state, AUB_ROW_UP);
			}
			break;
		}
		}
		while (p.next(&decision))
			;
	}
	g_rand_free(random);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PlacementSequences,
			 ::testing::Range<guint32>(1, 21));

TEST(Placement, APlacerOfNecessityGivesTheQueueNothingCold)
{
	/*
	 * A cold upstream falls over when each gateway that finds no placer
	 * sends it something. The request waits here for a slot of a warm
	 * upstream; the cold one is free all the while.
	 */
	Placement p;
	struct aub_decision decision;

	p.add("warm");
	p.enter("cold", 2, "z1", false, 1, 60000);
	p.probed("cold", 60000);
	for (int i = 0; i < 3; i++) {
		struct aub_ask ask = p.ask_of();

		ask.alone = true;
		p.ask(ask);
	}
	p.now += 50 * MS;
	EXPECT_FALSE(p.next(&decision));
	EXPECT_EQ(p.row("cold")->granted, 0u);
}

TEST(Placement, UsesTheRowsOfThoseThatLeft)
{
	/*
	 * Callers notice nothing. A service's upstreams are replaced one after
	 * the other, each with a new id; one that left keeps its row for as
	 * long as a request is out there.
	 */
	Placement place;

	place.add("held");
	struct aub_decision decision = place.ask();
	ASSERT_EQ(decision.verdict, AUB_VERDICT_GRANTED);
	place.leave("held");
	for (int i = 0; i < 300; i++) {
		std::string id = "u" + std::to_string(i);

		place.add(id);
		place.leave(id);
		place.now += 1000 * MS;
	}
	aub_placement_check(place.it);
	/* A minute's worth, and the one that is held. */
	EXPECT_LE(place.it->rows->len, 63u);
	EXPECT_EQ(aub_placement_find(place.it, "u0"), -1);
	EXPECT_EQ(aub_placement_find(place.it, "held"), 0);
	place.report(decision.ticket, AUB_END_OK);
	place.add("last");
	aub_placement_check(place.it);
	EXPECT_EQ(aub_placement_find(place.it, "held"), -1);
}

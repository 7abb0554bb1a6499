/* Members learnt by gossip: who is known, live, replaced, left. */
#include <gtest/gtest.h>

#include "fleet_of_memberships.h"

static std::string state_of(Fleet &fleet, int at, const std::string &name)
{
	GPtrArray *list =
		aubi_membership_list(fleet.nodes[at].membership, fleet.now_us);
	std::string found = "unknown";

	for (guint i = 0; i < list->len; i++) {
		auto *member = (struct aub_member *)list->pdata[i];

		if (name == member->name)
			found = aub_member_state_name(member->state);
	}
	g_ptr_array_unref(list);
	return found;
}

static void grow(Fleet &fleet, int nodes)
{
	for (int i = 0; i < nodes; i++)
		fleet.add("n" + std::to_string(i),
			  std::string(1, (char)('a' + i % 3)), 100 + i);
}

TEST(Membership, FleetFindsItselfFromTwoSeeds)
{
	Fleet fleet;

	grow(fleet, 19);
	fleet.run(3);
	for (int i = 0; i < 19; i++)
		EXPECT_EQ(fleet.live(i), 19u) << i;
}

/* Nobody may look dead in a fleet where all live: owners would move. */
TEST(Membership, NobodyLooksDeadWhileAllLive)
{
	for (int nodes : { 3, 19, 100 }) {
		Fleet fleet;

		grow(fleet, nodes);
		fleet.run(10);
		for (int i = 0; i < 60; i++) {
			fleet.round();
			for (int at = 0; at < nodes; at++)
				ASSERT_EQ(fleet.live(at), (guint)nodes)
					<< nodes << " nodes, round " << i;
		}
	}
}

TEST(Membership, SilentMemberIsDeadInFourSecondsAndBackWhenHeard)
{
	Fleet fleet;
	bool cut = true;

	grow(fleet, 7);
	fleet.run(4);
	fleet.reaches = [&](int a, int b) {
		return !cut || (a != 3 && b != 3);
	};
	fleet.run(4);
	for (int i = 0; i < 7; i++)
		EXPECT_EQ(state_of(fleet, i, "n3"), i == 3 ? "live" : "dead");
	cut = false;
	fleet.run(8);
	for (int i = 0; i < 7; i++)
		EXPECT_EQ(state_of(fleet, i, "n3"), "live") << i;
}

TEST(Membership, DeadMemberStopsCountingAfterFifteenMinutes)
{
	Fleet fleet;

	grow(fleet, 5);
	fleet.run(4);
	fleet.reaches = [](int a, int b) { return a != 4 && b != 4; };
	fleet.run(60);
	EXPECT_EQ(aubi_membership_known(fleet.nodes[0].membership), 5u);
	fleet.run(900);
	EXPECT_EQ(aubi_membership_known(fleet.nodes[0].membership), 4u);
}

/*
 * A caller's keys were granted by an entry that stopped in order. Its VM
 * comes back at once under the same name. A repeat must still find the heir,
 * so the old incarnation has to be known beside the new one, everywhere.
 */
TEST(Membership, HeirIsFoundAfterReplacementUnderTheSameName)
{
	Fleet fleet;
	struct aub_member *self;

	grow(fleet, 5);
	fleet.run(4);
	self = aub_member_copy(aubi_membership_self(fleet.nodes[2].membership));
	self->state = AUB_MEMBER_STOPPED;
	self->successor = 104;
	aubi_membership_update_self(fleet.nodes[2].membership, self,
				    fleet.now_us);
	aub_member_free(self);
	fleet.run(2);
	EXPECT_EQ(state_of(fleet, 0, "n2"), "stopped");
	EXPECT_EQ(aubi_membership_known(fleet.nodes[0].membership), 4u);

	aubi_membership_free(fleet.nodes[2].membership);
	fleet.nodes[2] = fleet.nodes[fleet.add("n2", "c", 500)];
	fleet.nodes.pop_back();
	fleet.run(4);
	for (auto &node : fleet.nodes) {
		GPtrArray *list =
			aubi_membership_list(node.membership, fleet.now_us);
		guint64 successor = 0;
		guint64 now = 0;

		for (guint i = 0; i < list->len; i++) {
			auto *member = (struct aub_member *)list->pdata[i];

			if (member->incarnation == 102)
				successor = member->successor;
			if (member->incarnation == 500)
				now = member->incarnation;
		}
		EXPECT_EQ(successor, 104u) << node.name;
		EXPECT_EQ(now, 500u) << node.name;
		g_ptr_array_unref(list);
	}
}

TEST(Membership, OlderStartNeverReplacesANewerOne)
{
	Fleet fleet;
	int old;

	grow(fleet, 3);
	old = fleet.add("n2", "c", 50);
	fleet.exchange(0, 2);
	fleet.exchange(0, old);
	EXPECT_EQ(state_of(fleet, 0, "n2"), "live");
	fleet.run(2);
	EXPECT_TRUE(aubi_membership_superseded(fleet.nodes[old].membership));
	EXPECT_FALSE(aubi_membership_superseded(fleet.nodes[2].membership));
}

/*
 * A VM is replaced by one whose clock is a minute behind. Its number is lower
 * than the dead one's; taken for the older process it would serve nobody
 * until the dead one is forgotten, a quarter of an hour later.
 */
TEST(Membership, ReplacementWithItsClockBehindTakesItsPlace)
{
	Fleet fleet;

	grow(fleet, 4);
	fleet.run(4);
	aubi_membership_free(fleet.nodes[3].membership);
	fleet.nodes[3] = fleet.nodes[fleet.add("n3", "a", 60)];
	fleet.nodes.pop_back();
	fleet.run(8);
	EXPECT_FALSE(aubi_membership_superseded(fleet.nodes[3].membership));
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(fleet.live(i), 4u) << i;
	EXPECT_GT(aubi_membership_self(fleet.nodes[3].membership)
			  ->control_incarnation,
		  103u);
}

/*
 * A control is paused for ten seconds. When it wakes, its sockets are full of
 * old gossip saying that all is well. It must not believe that it hears a
 * majority: it would give its entry leave to serve by an old configuration.
 */
TEST(Membership, AnswerReadLateProvesNothing)
{
	Fleet fleet;
	struct aub_gossip *ask;
	struct aub_gossip *answer;

	grow(fleet, 3);
	fleet.run(4);
	ask = fleet.blank(0);
	aubi_membership_ask(fleet.nodes[0].membership, ask, fleet.now_us);
	answer = fleet.blank(1);
	ASSERT_TRUE(aubi_membership_answer(fleet.nodes[1].membership, ask,
					   false, answer, fleet.now_us));
	fleet.now_us += 10 * 1000000LL;
	aubi_membership_hear(fleet.nodes[0].membership, "n1", 101, answer,
			     fleet.now_us);
	EXPECT_GE(aubi_membership_heard_us(fleet.nodes[0].membership, 2,
					   fleet.now_us),
		  10 * 1000000LL);
	aub_message_free(&ask->base);
	aub_message_free(&answer->base);
}

/* The letter's budget: 4 KB a second a node. Frames only, both ways. */
TEST(Membership, GossipStaysInItsBudget)
{
	for (int nodes : { 19, 38, 76 }) {
		Fleet fleet;
		double a_second;

		grow(fleet, nodes);
		fleet.run(10);
		fleet.bytes = 0;
		fleet.run(10);
		a_second = 2.0 * (double)fleet.bytes / nodes / 10;
		printf("%d nodes: %.0f bytes a second a node\n", nodes,
		       a_second);
		EXPECT_LT(a_second, 4096);
	}
}

/* Members learnt by gossip: known, live, replaced and stopped ones. */
#include <gtest/gtest.h>

#include "simulated_fleet.h"

static std::string state_of(SimulatedFleet &fleet, int at,
			    const std::string &name)
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

static void add_nodes(SimulatedFleet &fleet, int nodes)
{
	for (int i = 0; i < nodes; i++)
		fleet.add("n" + std::to_string(i),
			  std::string(1, (char)('a' + i % 3)), 100 + i);
}

TEST(Membership, DiscoversAllMembersFromTwoSeeds)
{
	SimulatedFleet fleet;

	add_nodes(fleet, 19);
	fleet.run(3);
	for (int i = 0; i < 19; i++)
		EXPECT_EQ(fleet.live(i), 19u) << i;
}

/* Live members must never appear dead, because owners would move. */
TEST(Membership, NeverMarksLiveMembersDead)
{
	for (int nodes : { 3, 19, 100 }) {
		SimulatedFleet fleet;

		add_nodes(fleet, nodes);
		fleet.run(10);
		for (int i = 0; i < 60; i++) {
			fleet.round();
			for (int at = 0; at < nodes; at++)
				ASSERT_EQ(fleet.live(at), (guint)nodes)
					<< nodes << " nodes, round " << i;
		}
	}
}

TEST(Membership, UnreachableMemberIsDeadWithinFourSecondsAndRecovers)
{
	SimulatedFleet fleet;
	bool partitioned = true;

	add_nodes(fleet, 7);
	fleet.run(4);
	fleet.reaches = [&](int a, int b) {
		return !partitioned || (a != 3 && b != 3);
	};
	fleet.run(4);
	for (int i = 0; i < 7; i++)
		EXPECT_EQ(state_of(fleet, i, "n3"), i == 3 ? "live" : "dead");
	partitioned = false;
	fleet.run(8);
	for (int i = 0; i < 7; i++)
		EXPECT_EQ(state_of(fleet, i, "n3"), "live") << i;
}

TEST(Membership, DeadMemberIsForgottenAfterFifteenMinutes)
{
	SimulatedFleet fleet;

	add_nodes(fleet, 5);
	fleet.run(4);
	fleet.reaches = [](int a, int b) { return a != 4 && b != 4; };
	fleet.run(60);
	EXPECT_EQ(aubi_membership_count(fleet.nodes[0].membership), 5u);
	fleet.run(900);
	EXPECT_EQ(aubi_membership_count(fleet.nodes[0].membership), 4u);
}

/*
 * Keys were granted by an entry that then stopped as planned, and its VM
 * returns immediately under the same name. Repeated requests must still find
 * the successor, so every member has to know the old incarnation as well as the
 * new one.
 */
TEST(Membership, SuccessorIsKnownAfterReplacementUnderTheSameName)
{
	SimulatedFleet fleet;
	struct aub_member *self;

	add_nodes(fleet, 5);
	fleet.run(4);
	self = aub_member_copy(aubi_membership_self(fleet.nodes[2].membership));
	self->state = AUB_MEMBER_STOPPED;
	self->successor = 104;
	aubi_membership_update_self(fleet.nodes[2].membership, self,
				    fleet.now_us);
	aub_member_free(self);
	fleet.run(2);
	EXPECT_EQ(state_of(fleet, 0, "n2"), "stopped");
	EXPECT_EQ(aubi_membership_count(fleet.nodes[0].membership), 4u);

	aubi_membership_free(fleet.nodes[2].membership);
	fleet.nodes[2] = fleet.nodes[fleet.add("n2", "c", 500)];
	fleet.nodes.pop_back();
	fleet.run(4);
	for (auto &node : fleet.nodes) {
		GPtrArray *list =
			aubi_membership_list(node.membership, fleet.now_us);
		guint64 successor = 0;
		guint64 replacement = 0;

		for (guint i = 0; i < list->len; i++) {
			auto *member = (struct aub_member *)list->pdata[i];

			if (member->incarnation == 102)
				successor = member->successor;
			if (member->incarnation == 500)
				replacement = member->incarnation;
		}
		EXPECT_EQ(successor, 104u) << node.name;
		EXPECT_EQ(replacement, 500u) << node.name;
		g_ptr_array_unref(list);
	}
}

TEST(Membership, OlderProcessNeverReplacesANewerOne)
{
	SimulatedFleet fleet;
	int old;

	add_nodes(fleet, 3);
	old = fleet.add("n2", "c", 50);
	fleet.exchange(0, 2);
	fleet.exchange(0, old);
	EXPECT_EQ(state_of(fleet, 0, "n2"), "live");
	fleet.run(2);
	EXPECT_TRUE(aubi_membership_superseded(fleet.nodes[old].membership));
	EXPECT_FALSE(aubi_membership_superseded(fleet.nodes[2].membership));
}

/*
 * A VM is replaced by one whose clock is a minute behind, so its incarnation is
 * lower than that of the dead process. If it were taken for the older process,
 * it would not serve until the dead one is forgotten after 15 minutes.
 */
TEST(Membership, ReplacementWithSlowClockTakesOver)
{
	SimulatedFleet fleet;

	add_nodes(fleet, 4);
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
 * A control is paused for ten seconds and resumes with sockets full of old
 * gossip. It must not conclude that a majority is reachable, or it would grant
 * its entry a serving lease for an old configuration.
 */
TEST(Membership, DelayedAnswerIsNoProofOfLife)
{
	SimulatedFleet fleet;
	struct aub_gossip *request;
	struct aub_gossip *answer;

	add_nodes(fleet, 3);
	fleet.run(4);
	request = fleet.new_gossip(0);
	aubi_membership_begin_exchange(fleet.nodes[0].membership, request,
				       fleet.now_us);
	answer = fleet.new_gossip(1);
	ASSERT_TRUE(aubi_membership_reply(fleet.nodes[1].membership, request,
					  false, answer, fleet.now_us));
	fleet.now_us += 10 * 1000000LL;
	aubi_membership_receive(fleet.nodes[0].membership, "n1", 101, answer,
				fleet.now_us);
	EXPECT_GE(aubi_membership_proof_age_us(fleet.nodes[0].membership, 2,
					       fleet.now_us),
		  10 * 1000000LL);
	aub_message_free(&request->base);
	aub_message_free(&answer->base);
}

/* The brief allows 4 KB/s per node. Frames only, sent and received. */
TEST(Membership, GossipStaysWithinBandwidthBudget)
{
	for (int nodes : { 19, 38, 76 }) {
		SimulatedFleet fleet;
		double bytes_per_second;

		add_nodes(fleet, nodes);
		fleet.run(10);
		fleet.bytes = 0;
		fleet.run(10);
		bytes_per_second = 2.0 * (double)fleet.bytes / nodes / 10;
		printf("%d nodes: %.0f bytes a second a node\n", nodes,
		       bytes_per_second);
		EXPECT_LT(bytes_per_second, 4096);
	}
}

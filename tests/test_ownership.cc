/* Placement of services on members, and what moves when members change. */
#include <gtest/gtest.h>

#include <auburnstile/error.h>
#include <auburnstile/internal/ownership.h>

#include <map>
#include <set>
#include <string>
#include <vector>

class Placement : public ::testing::Test
{
      protected:
	struct aub_inventory *inventory = nullptr;
	struct aubi_assignments *current = aubi_assignments_new();
	GPtrArray *members =
		g_ptr_array_new_with_free_func((GDestroyNotify)aub_member_free);
	std::set<std::string> zones_out;

	void build_inventory(int services)
	{
		std::string text;
		GError *error = nullptr;

		for (const char *zone : { "a", "b", "c", "x" }) {
			text += std::string("[[zone]]\nname = \"") + zone +
				"\"\nregion = \"" +
				(*zone == 'x' ? "south" : "north") +
				"\"\nvms = [\"u" + zone + "\"]\n";
		}
		for (int i = 0; i < services; i++) {
			std::string n = std::to_string(i);

			text += "[[service]]\nname = \"s" + n +
				"\"\npath = \"/" + n + "\"\n[[upstream]]\n" +
				"name = \"u" + n + "\"\nservice = \"s" + n +
				"\"\nvm = \"u" + (i % 4 == 3 ? "x" : "a") +
				"\"\naddress = \"127.0.0.1:" +
				std::to_string(20000 + i) + "\"\nslots = 2\n" +
				"connections = 10\n";
		}
		inventory = aub_inventory_parse(text.data(), text.size(), "t",
						&error);
		ASSERT_TRUE(inventory) << error->message;
		for (guint i = 0; i < inventory->zones->len; i++)
			aub_zone_at(inventory, i)->out =
				zones_out.count(
					aub_zone_at(inventory, i)->name) > 0;
	}

	void TearDown() override
	{
		if (inventory)
			aub_inventory_unref(inventory);
		aubi_assignments_free(current);
		g_ptr_array_unref(members);
	}

	struct aub_member *add_member(const char *name, const char *zone,
				      guint64 incarnation)
	{
		struct aub_member *member = aub_member_new();

		aub_string_set(&member->name, name);
		aub_string_set(&member->zone, zone);
		member->incarnation = incarnation;
		member->state = AUB_MEMBER_LIVE;
		g_ptr_array_add(members, member);
		return member;
	}

	/*
	 * Applies proposals until none is made; returns how many owners
	 * changed.
	 */
	int converge(bool rebalance = false)
	{
		int moved = 0;

		for (;;) {
			struct aubi_assignments *next =
				aubi_ownership_propose(current, inventory,
						       nullptr, members,
						       rebalance);

			if (!next)
				return moved;
			next->epoch = current->epoch + 1;
			for (guint i = 0; i < next->list->len; i++) {
				auto *assignment = (struct aub_assignment *)
							   next->list->pdata[i];
				auto *old = aubi_assignments_find(
					current, assignment->service);

				moved += old &&
					 strcmp(old->owner, assignment->owner);
			}
			aubi_assignments_free(current);
			current = next;
			if (moved > 1000)
				return moved;
		}
	}

	std::map<std::string, int> count_owned()
	{
		std::map<std::string, int> count;

		for (guint i = 0; i < current->list->len; i++)
			count[((struct aub_assignment *)current->list->pdata[i])
				      ->owner]++;
		return count;
	}

	std::string zone_of(const char *name)
	{
		for (guint i = 0; i < members->len; i++) {
			auto *member = (struct aub_member *)members->pdata[i];

			if (!strcmp(member->name, name))
				return member->zone;
		}
		return "";
	}

	void check_invariants()
	{
		for (guint i = 0; i < current->list->len; i++) {
			auto *assignment = (struct aub_assignment *)
						   current->list->pdata[i];

			EXPECT_STRNE(assignment->owner, "")
				<< assignment->service;
			EXPECT_STRNE(assignment->owner, assignment->standby);
			EXPECT_EQ(zones_out.count(zone_of(assignment->owner)),
				  0u);
			if (*assignment->standby) {
				EXPECT_NE(zone_of(assignment->owner),
					  zone_of(assignment->standby))
					<< assignment->service;
			}
		}
	}

	void add_six_members()
	{
		const char *names[] = { "a1", "a2", "b1", "b2", "c1", "c2" };

		for (guint64 i = 0; i < 6; i++)
			add_member(names[i],
				   std::string(1, names[i][0]).c_str(), 10 + i);
	}
};

TEST_F(Placement, SpreadsEvenlyWithStandbyInAnotherZone)
{
	build_inventory(24);
	add_six_members();
	converge();
	check_invariants();
	for (auto &it : count_owned())
		EXPECT_EQ(it.second, 4) << it.first;
	EXPECT_EQ(converge(), 0);
}

TEST_F(Placement, StandbyReplacesDeadOwnerAndNothingElseMoves)
{
	build_inventory(24);
	add_six_members();
	converge();
	std::map<std::string, std::string> standby;
	int owned_before = count_owned()["b1"];
	for (guint i = 0; i < current->list->len; i++) {
		auto *assignment =
			(struct aub_assignment *)current->list->pdata[i];

		if (!strcmp(assignment->owner, "b1"))
			standby[assignment->service] = assignment->standby;
	}
	((struct aub_member *)members->pdata[2])->state = AUB_MEMBER_DEAD;
	EXPECT_EQ(converge(), owned_before);
	for (auto &it : standby)
		EXPECT_EQ(
			aubi_assignments_find(current, it.first.c_str())->owner,
			it.second);
	check_invariants();
}

/*
 * A restarted entry has lost the state of its queue, so it no longer is the
 * owner.
 */
TEST_F(Placement, RestartedOwnerLosesOwnership)
{
	build_inventory(8);
	add_six_members();
	converge();
	auto *assignment = (struct aub_assignment *)current->list->pdata[0];
	std::string owner = assignment->owner;
	std::string standby = assignment->standby;

	for (guint i = 0; i < members->len; i++) {
		auto *member = (struct aub_member *)members->pdata[i];

		if (owner == member->name)
			member->incarnation += 100;
	}
	converge();
	EXPECT_EQ(((struct aub_assignment *)current->list->pdata[0])->owner,
		  standby);
	check_invariants();
}

TEST_F(Placement, ZoneOutMovesOnlyItsOwners)
{
	build_inventory(24);
	add_six_members();
	converge();
	int in_a = count_owned()["a1"] + count_owned()["a2"];

	zones_out.insert("a");
	aub_zone_at(inventory, aub_inventory_zone(inventory, "a"))->out = true;
	EXPECT_EQ(converge(), in_a);
	check_invariants();
}

TEST_F(Placement, OwnerIsInTheRegionOfItsUpstreams)
{
	build_inventory(8);
	add_six_members();
	add_member("x1", "x", 50);
	converge();
	EXPECT_STREQ(aubi_assignments_find(current, "s3")->owner, "x1");
	EXPECT_STREQ(aubi_assignments_find(current, "s7")->owner, "x1");
	EXPECT_EQ(count_owned()["x1"], 2);
}

TEST_F(Placement, RebalancesToANewMemberOneServiceAtATime)
{
	build_inventory(24);
	add_six_members();
	converge();
	add_member("c3", "c", 90);
	EXPECT_EQ(converge(), 0) << "nothing needs to move";
	int moved = converge(true);
	EXPECT_LE(moved, 4);
	EXPECT_GE(count_owned()["c3"], 3);
	check_invariants();
}

TEST_F(Placement, KeepsAssignmentsWhenNoMemberIsAvailable)
{
	build_inventory(4);
	add_six_members();
	converge();
	for (guint i = 0; i < members->len; i++)
		((struct aub_member *)members->pdata[i])->state =
			AUB_MEMBER_DEAD;
	EXPECT_EQ(aubi_ownership_propose(current, inventory, nullptr, members,
					 true),
		  nullptr);
}

TEST_F(Placement, SerializesAndParsesAssignments)
{
	GError *error = nullptr;

	build_inventory(4);
	add_six_members();
	converge();
	char *json = aubi_assignments_serialize(current, "id1");
	struct aubi_assignments *back =
		aubi_assignments_parse(json, strlen(json), 12, &error);

	ASSERT_TRUE(back);
	EXPECT_NE(strstr(json, "id1"), nullptr);
	EXPECT_EQ(back->epoch, 12u);
	ASSERT_EQ(back->list->len, 4u);
	EXPECT_STREQ(aubi_assignments_find(back, "s1")->owner,
		     aubi_assignments_find(current, "s1")->owner);
	EXPECT_EQ(aubi_assignments_parse("[]", 2, 1, &error), nullptr);
	EXPECT_EQ(error->code, AUB_ERROR_INVALID);
	g_error_free(error);
	aubi_assignments_free(back);
	g_free(json);
}

/*
 * Controls propose in order of rank, which needs no election and avoids
 * concurrent writes to the store.
 */
TEST_F(Placement, ProposalTurnsFollowRank)
{
	EXPECT_FALSE(aubi_ownership_is_turn(0, 0, 100));
	EXPECT_TRUE(aubi_ownership_is_turn(0, 100, 100));
	EXPECT_FALSE(aubi_ownership_is_turn(1, 100, 100));
	EXPECT_TRUE(aubi_ownership_is_turn(1, 100, 100 + 2000000));
	EXPECT_FALSE(aubi_ownership_is_turn(2, 100, 100 + 2000000));
}

/*
 * Several memberships and agreements in one test, with a simulated clock and a
 * configurable reachability between nodes. Messages are passed without sockets.
 */
#ifndef TESTS_SIMULATED_FLEET_H
#define TESTS_SIMULATED_FLEET_H

#include <auburnstile/internal/agreement.h>

#include <functional>
#include <string>
#include <vector>

struct Node {
	std::string name;
	struct aubi_membership *membership;
	struct aubi_agreement agreement;
};

class SimulatedFleet
{
      public:
	gint64 now_us = 1000 * 1000000LL;
	std::vector<Node> nodes;
	std::function<bool(int, int)> reaches = [](int, int) { return true; };
	std::function<bool(int)> store_reachable = [](int) { return true; };
	guint64 store_version = 0;
	std::vector<std::pair<int, guint64>> pulls;
	gsize bytes = 0; /* of encoded gossip, sent by all nodes */

	~SimulatedFleet()
	{
		for (auto &node : nodes)
			aubi_membership_free(node.membership);
	}

	int add(const std::string &name, const std::string &zone,
		guint64 incarnation)
	{
		struct aub_member *self = aub_member_new();
		std::string address = name + ":1";
		const char *seeds[] = { "n0:1", "n1:1", nullptr };

		self->state = AUB_MEMBER_LIVE;
		self->incarnation = incarnation;
		self->control_incarnation = incarnation;
		aub_string_set(&self->name, name.c_str());
		aub_string_set(&self->zone, zone.c_str());
		aub_string_set(&self->control_address, address.c_str());
		nodes.push_back(
			{ name,
			  aubi_membership_new(self, seeds,
					      (guint32)nodes.size() + 1),
			  aubi_agreement_start(now_us) });
		aub_member_free(self);
		return (int)nodes.size() - 1;
	}

	int find(const char *address)
	{
		for (size_t i = 0; i < nodes.size(); i++)
			if (address && nodes[i].name + ":1" == address)
				return (int)i;
		return -1;
	}

	struct aub_gossip *new_gossip(int i)
	{
		auto *gossip = (struct aub_gossip *)aub_message_new(
			AUB_MESSAGE_GOSSIP);
		gint64 fresh = aubi_agreement_config_age_us(&nodes[i].agreement,
							    now_us);

		gossip->config_version = nodes[i].agreement.config_version;
		gossip->fresh_ms = fresh == AUBI_AGE_UNKNOWN_US ?
					   G_MAXUINT32 :
					   (guint32)(fresh / 1000 + 1);
		return gossip;
	}

	/* Delivers one message; returns true if it arrived. */
	bool deliver(int from, int to, const struct aub_gossip *gossip)
	{
		GBytes *payload = aub_message_encode(&gossip->base, nullptr);

		bytes += g_bytes_get_size(payload);
		g_bytes_unref(payload);
		if (!reaches(from, to))
			return false;
		aubi_membership_receive(nodes[to].membership,
					nodes[from].name.c_str(),
					aubi_membership_self(
						nodes[from].membership)
						->control_incarnation,
					gossip, now_us);
		aubi_agreement_receive_gossip(&nodes[to].agreement, gossip,
					      now_us);
		/* A pull transfers the sender's version by the next round. */
		if (reaches(to, from))
			pulls.push_back({ to, gossip->config_version });
		return true;
	}

	void exchange(int a, int b)
	{
		struct aub_gossip *message = new_gossip(a);
		int from = a;
		int to = b;

		aubi_membership_begin_exchange(nodes[a].membership, message,
					       now_us);
		while (deliver(from, to, message)) {
			struct aub_gossip *answer = new_gossip(to);
			bool wanted = aubi_membership_reply(
				nodes[to].membership, message,
				aubi_agreement_is_behind(&nodes[to].agreement),
				answer, now_us);

			aub_message_free(&message->base);
			message = answer;
			std::swap(from, to);
			if (!wanted)
				break;
		}
		aub_message_free(&message->base);
	}

	/*
	 * Advances the clock by one gossip interval, a third of a second: each
	 * node starts one exchange, and some read the store.
	 */
	void round()
	{
		now_us += AUBI_GOSSIP_INTERVAL_US;
		for (auto &pull : pulls)
			aubi_agreement_adopt_config(
				&nodes[pull.first].agreement, pull.second);
		pulls.clear();
		for (size_t i = 0; i < nodes.size(); i++) {
			Node &node = nodes[i];
			int to = find(aubi_membership_pick_peer(node.membership,
								now_us));
			guint rank =
				aubi_membership_rank(node.membership, nullptr,
						     nullptr, now_us);

			aubi_membership_tick(node.membership, now_us);
			aubi_agreement_tick(&node.agreement, node.membership,
					    now_us);
			if (to >= 0 && to != (int)i)
				exchange((int)i, to);
			if (store_reachable((int)i) &&
			    aubi_agreement_should_watch_store(&node.agreement,
							      node.membership,
							      rank, now_us)) {
				aubi_agreement_adopt_config(&node.agreement,
							    store_version);
				aubi_agreement_confirm(&node.agreement,
						       store_version, now_us);
			}
		}
	}

	void run(double seconds)
	{
		gint64 end_us = now_us + (gint64)(seconds * 1e6);

		while (now_us < end_us)
			round();
	}

	bool serves(int i)
	{
		return aubi_agreement_serve_lease_us(&nodes[i].agreement,
						     nodes[i].membership,
						     now_us) > 0;
	}

	bool accepts(int i)
	{
		return aubi_agreement_can_accept_changes(nodes[i].membership,
							 now_us);
	}

	guint live(int i)
	{
		return aubi_membership_count_live(nodes[i].membership, now_us);
	}
};

#endif

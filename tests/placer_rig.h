/*
 * Several gateways' peers and placers in one process, over loopback, with
 * stand-in upstreams that all of them know or not.
 */
#ifndef TESTS_PLACER_RIG_H
#define TESTS_PLACER_RIG_H

#include "gateway_rig.h"

#include <auburnstile/incarnation.h>
#include <auburnstile/internal/placer_parts.h>

struct Gate {
	std::string name;
	std::string zone;
	std::string address;
	struct aub_peers *peers = NULL;
	struct aub_placer *placer = NULL;
	guint64 incarnation = 0;
	std::map<int, gint64> revisions; /* by kind */
	std::vector<guint64> lost;
	std::map<std::string, enum aub_rollout_state> wanted;
	bool deaf = false; /* drops messages of the others' placers */
};

class PlacerTest : public ::testing::Test
{
      protected:
	struct aub_timer_service *timers;
	struct aub_poller *poller;
	struct aub_http_client *client;
	std::vector<std::unique_ptr<Gate>> gates;
	std::vector<struct platform_upstream *> upstreams;
	double rollout_share = 0; /* of requests to a new version */

	void SetUp() override
	{
		timers = aub_timer_service_new(NULL);
		poller = aub_poller_new();
		client = aub_http_client_new(poller, timers);
	}
	void TearDown() override
	{
		for (auto &gate : gates)
			stop(*gate);
		for (auto upstream : upstreams)
			platform_upstream_free(upstream);
		aub_http_client_free(client);
		aub_poller_free(poller);
		aub_timer_service_free(timers);
	}
	static void on_message(struct aub_message *message, void *context)
	{
		Gate *gate = (Gate *)context;

		if (gate->placer && !gate->deaf)
			aub_placer_message(gate->placer, message);
		else
			aub_message_free(message);
	}
	static void on_announced(enum aub_store_kind kind, gint64 revision,
				 void *context)
	{
		Gate *gate = (Gate *)context;

		gate->revisions[kind] = MAX(gate->revisions[kind], revision);
	}
	static void on_lost(guint64 incarnation, void *context)
	{
		Gate *gate = (Gate *)context;

		gate->lost.push_back(incarnation);
		if (gate->placer)
			aub_placer_peer_lost(gate->placer, incarnation);
	}
	static bool on_wanted(const char *service, enum aub_rollout_state state,
			      bool placer, void *context)
	{
		((Gate *)context)->wanted[service] = state;
		return false;
	}
	Gate *start(const std::string &name, const std::string &zone = "z1",
		    const std::string &address = "", guint32 capacity = 1000)
	{
		gates.emplace_back(new Gate);
		Gate *gate = gates.back().get();
		gate->name = name;
		gate->zone = zone;
		gate->address = address.empty() ? free_address() : address;
		gate->incarnation = aub_incarnation_new();
		const struct aub_peers_options peers = {
			.name = gate->name.c_str(),
			.zone = gate->zone.c_str(),
			.address = gate->address.c_str(),
			.callers_address = "127.0.0.1:1",
			.capacity = capacity,
			.incarnation = gate->incarnation,
			.poller = poller,
			.timers = timers,
			.message = on_message,
			.announced = on_announced,
			.lost = on_lost,
			.context = gate,
		};
		gate->peers = aub_peers_new(&peers, NULL);
		EXPECT_NE(gate->peers, nullptr);
		const struct aub_placer_options placer = {
			.platform = &aub_platform,
			.peers = gate->peers,
			.client = client,
			.timers = timers,
			.incarnation = gate->incarnation,
			.zone = gate->zone.c_str(),
			.limits = { .retry_ratio = 0.2,
				    .retry_slack = 10,
				    .window_us = 10 * AUB_SECOND },
			.rollouts = { .share = rollout_share, .slack = 50 },
			.rollout_wanted = on_wanted,
			.context = gate,
		};
		gate->placer = aub_placer_new(&placer);
		return gate;
	}
	void stop(Gate &gate)
	{
		aub_placer_free(gate.placer);
		aub_peers_free(gate.peers);
		gate.placer = NULL;
		gate.peers = NULL;
	}
	/* Gates that all know the upstream "u1", and each other. */
	struct platform_upstream *start_all(
		std::initializer_list<const char *> names)
	{
		struct platform_upstream *upstream = add_upstream("u1");

		for (auto name : names)
			start(name);
		for (auto &gate : gates)
			enter(*gate, upstream);
		join();
		return upstream;
	}
	/* All know each other and are ready. */
	void join()
	{
		for (auto &gate : gates)
			for (auto &other : gates)
				if (gate != other)
					aub_peers_add(gate->peers,
						      other->address.c_str());
		for (auto &gate : gates)
			say(*gate, true);
		ASSERT_TRUE(run_until(
			[&] {
				for (auto &gate : gates)
					if (!aub_placer_is_settled(
						    gate->placer) ||
					    aub_peers_ranked(gate->peers, "svc")
							    ->len !=
						    gates.size())
						return false;
				return true;
			},
			3000));
	}
	void say(Gate &gate, bool current, gint64 revision = 0)
	{
		struct aub_peer_state state = {};

		state.ready = true;
		state.current = current;
		state.hears = current;
		state.revisions[AUB_STORE_UPSTREAMS] = revision;
		aub_peers_set_self(gate.peers, &state);
	}
	struct platform_upstream *add_upstream(const std::string &id)
	{
		upstreams.push_back(
			platform_upstream_new(poller, timers, id.c_str()));
		return upstreams.back();
	}
	void enter(Gate &gate, struct platform_upstream *upstream,
		   bool draining = false, const std::string &version = "v1",
		   gint64 born_ms = 0)
	{
		struct aub_upstream_record record = {};

		record.service = (char *)"svc";
		record.address = (char *)platform_upstream_address(upstream);
		record.zone = (char *)"z1";
		record.version = (char *)version.c_str();
		record.born_ms = born_ms;
		record.slots = 2;
		record.draining = draining;
		aub_placer_upstream(gate.placer, platform_upstream_id(upstream),
				    &record);
	}
	/* The gateway that places for "svc", and one that asks it. */
	Gate *placer_of_all()
	{
		const struct aub_peer *first =
			(const struct aub_peer *)g_ptr_array_index(
				aub_peers_ranked(gates[0]->peers, "svc"), 0);

		for (auto &gate : gates)
			if (gate->name == first->name)
				return gate.get();
		return NULL;
	}
	Gate *other_than(Gate *gate)
	{
		for (auto &other : gates)
			if (other.get() != gate)
				return other.get();
		return NULL;
	}
	struct Placed {
		bool done = false;
		enum aub_verdict verdict = AUB_VERDICT_QUEUED;
		std::string upstream;
		guint64 ticket = 0;
		guint retry_after_ms = 0;
	};
	static void on_placed(const struct aub_placed *placed, void *context)
	{
		Placed *result = (Placed *)context;

		result->done = true;
		result->verdict = placed->verdict;
		result->upstream = placed->upstream ? placed->upstream : "";
		result->retry_after_ms = placed->retry_after_ms;
	}
	void ask(Gate &gate, Placed *result, guint max_wait_ms = 500)
	{
		struct aub_ask ask = {};

		ask.target_ms = 600;
		ask.on_time_ms = max_wait_ms;
		ask.max_wait_ms = max_wait_ms;
		*result = Placed();
		result->ticket = aub_placer_ticket(gate.placer);
		aub_placer_ask(gate.placer, "svc", &ask, result->ticket,
			       on_placed, result);
	}

	/* Of four requests one after the other, each gets `upstream`. */
	void expect_only(Gate &asking, const std::string &upstream)
	{
		Placed result;

		for (int i = 0; i < 4; i++) {
			ask(asking, &result);
			ASSERT_TRUE(
				run_until([&] { return result.done; }, 2000));
			EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
			EXPECT_EQ(result.upstream, upstream);
			aub_placer_report(asking.placer, result.ticket,
					  AUB_END_OK, 1000, NULL);
		}
	}
};

#endif

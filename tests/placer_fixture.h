/*
 * The peers and placers of several gateways in one process, connected over
 * loopback, and simulated upstreams registered with any of them.
 */
#ifndef TESTS_PLACER_FIXTURE_H
#define TESTS_PLACER_FIXTURE_H

#include "gateway_fixture.h"

#include <auburnstile/incarnation.h>
#include <auburnstile/internal/placer_internal.h>

struct TestGateway {
	std::string name;
	std::string zone;
	std::string address;
	struct aub_peers *peers = NULL;
	struct aub_placer *placer = NULL;
	guint64 incarnation = 0;
	std::map<int, gint64> revisions; /* by kind */
	std::vector<guint64> lost_incarnations;
	std::map<std::string, enum aub_rollout_state> requested_states;
	/* drops placement messages of other gateways */
	bool drops_messages = false;
	/* keeps them, as a process that does not run */
	bool holds_messages = false;
	std::vector<struct aub_message *> held;
};

class PlacerTest : public ::testing::Test
{
      protected:
	struct aub_timer_service *timers;
	struct aub_poller *poller;
	struct aub_http_client *client;
	std::vector<std::unique_ptr<TestGateway>> gateways;
	std::vector<struct platform_upstream *> upstreams;
	double rollout_share = 0; /* share of requests to a new version */

	void SetUp() override
	{
		timers = aub_timer_service_new(NULL);
		poller = aub_poller_new();
		client = aub_http_client_new(poller, timers);
	}
	void TearDown() override
	{
		for (auto &gateway : gateways)
			stop_gateway(*gateway);
		for (auto upstream : upstreams)
			platform_upstream_free(upstream);
		aub_http_client_free(client);
		aub_poller_free(poller);
		aub_timer_service_free(timers);
	}
	static void on_message(struct aub_message *message, void *context)
	{
		TestGateway *gateway = (TestGateway *)context;

		if (gateway->holds_messages)
			gateway->held.push_back(message);
		else if (gateway->placer && !gateway->drops_messages)
			aub_placer_handle_message(gateway->placer, message);
		else
			aub_message_free(message);
	}
	static void on_announced(enum aub_store_kind kind, gint64 revision,
				 void *context)
	{
		TestGateway *gateway = (TestGateway *)context;

		gateway->revisions[kind] =
			MAX(gateway->revisions[kind], revision);
	}
	static void on_lost(guint64 incarnation, void *context)
	{
		TestGateway *gateway = (TestGateway *)context;

		gateway->lost_incarnations.push_back(incarnation);
		if (gateway->placer)
			aub_placer_on_peer_lost(gateway->placer, incarnation);
	}
	static bool on_store_rollout_state(const char *service,
					   enum aub_rollout_state state,
					   bool placer, void *context)
	{
		((TestGateway *)context)->requested_states[service] = state;
		return false;
	}
	TestGateway *start_gateway(const std::string &name,
				   const std::string &zone = "z1",
				   const std::string &address = "",
				   guint32 capacity = 1000)
	{
		gateways.emplace_back(new TestGateway);
		TestGateway *gateway = gateways.back().get();
		gateway->name = name;
		gateway->zone = zone;
		gateway->address = address.empty() ? free_address() : address;
		gateway->incarnation = aub_incarnation_new();
		const struct aub_peers_options peers = {
			.name = gateway->name.c_str(),
			.zone = gateway->zone.c_str(),
			.address = gateway->address.c_str(),
			.callers_address = "127.0.0.1:1",
			.capacity = capacity,
			.incarnation = gateway->incarnation,
			.poller = poller,
			.timers = timers,
			.on_message = on_message,
			.on_revision = on_announced,
			.on_lost = on_lost,
			.context = gateway,
		};
		gateway->peers = aub_peers_new(&peers, NULL);
		EXPECT_NE(gateway->peers, nullptr);
		const struct aub_placer_options placer = {
			.platform = &aub_platform,
			.peers = gateway->peers,
			.client = client,
			.timers = timers,
			.incarnation = gateway->incarnation,
			.zone = gateway->zone.c_str(),
			.limits = { .retry_ratio = 0.2,
				    .retry_slack = 10,
				    .window_us = 10 * AUB_SECOND },
			.rollouts = { .share = rollout_share, .slack = 50 },
			.store_rollout_state = on_store_rollout_state,
			.context = gateway,
		};
		gateway->placer = aub_placer_new(&placer);
		return gateway;
	}
	void stop_gateway(TestGateway &gateway)
	{
		aub_placer_free(gateway.placer);
		aub_peers_free(gateway.peers);
		gateway.placer = NULL;
		gateway.peers = NULL;
	}
	void deliver_held(TestGateway &gateway)
	{
		gateway.holds_messages = false;
		for (auto message : gateway.held)
			aub_placer_handle_message(gateway.placer, message);
		gateway.held.clear();
	}
	/* Starts connected gateways that all know the upstream "u1". */
	struct platform_upstream *start_all(
		std::initializer_list<const char *> names)
	{
		struct platform_upstream *upstream = add_upstream("u1");

		for (auto name : names)
			start_gateway(name);
		for (auto &gateway : gateways)
			register_upstream(*gateway, upstream);
		connect_all();
		return upstream;
	}
	/* Starts gateways that know four upstreams, not yet connected. */
	void start_with_upstreams(std::initializer_list<const char *> names)
	{
		for (const char *id : { "u1", "u2", "u3", "u4" })
			add_upstream(id);
		for (auto name : names)
			start_gateway(name);
		for (auto &gateway : gateways)
			for (auto upstream : upstreams)
				register_upstream(*gateway, upstream);
	}
	/* Waits until all gateways are ready and know each other. */
	void connect_all()
	{
		for (auto &gateway : gateways)
			for (auto &other : gateways)
				if (gateway != other)
					aub_peers_add(gateway->peers,
						      other->address.c_str());
		for (auto &gateway : gateways)
			publish_state(*gateway, true);
		ASSERT_TRUE(run_until(
			[&] {
				for (auto &gateway : gateways)
					if (!aub_placer_startup_is_over(
						    gateway->placer) ||
					    aub_peers_ranked(gateway->peers,
							     "svc")
							    ->len !=
						    gateways.size())
						return false;
				return true;
			},
			3000));
	}
	void publish_state(TestGateway &gateway, bool current,
			   gint64 revision = 0)
	{
		struct aub_peers_self_state state = {};

		state.ready = true;
		state.store_current = current;
		state.store_reachable = current;
		state.revisions[AUB_STORE_UPSTREAMS] = revision;
		aub_peers_publish_state(gateway.peers, &state);
	}
	struct platform_upstream *add_upstream(const std::string &id)
	{
		upstreams.push_back(
			platform_upstream_new(poller, timers, id.c_str()));
		return upstreams.back();
	}
	void register_upstream(TestGateway &gateway,
			       struct platform_upstream *upstream,
			       bool draining = false,
			       const std::string &version = "v1",
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
		aub_placer_update_upstream(gateway.placer,
					   platform_upstream_id(upstream),
					   &record);
	}
	/* Returns the gateway that places for "svc". */
	TestGateway *find_placer()
	{
		const struct aub_peer *first =
			(const struct aub_peer *)g_ptr_array_index(
				aub_peers_ranked(gateways[0]->peers, "svc"), 0);

		for (auto &gateway : gateways)
			if (gateway->name == first->name)
				return gateway.get();
		return NULL;
	}
	TestGateway *other_gateway(TestGateway *gateway)
	{
		for (auto &other : gateways)
			if (other.get() != gateway)
				return other.get();
		return NULL;
	}
	struct PlacementResult {
		bool done = false;
		enum aub_verdict verdict = AUB_VERDICT_QUEUED;
		std::string upstream;
		guint64 ticket = 0;
		guint retry_after_ms = 0;
	};
	static void on_placed(const struct aub_placement_result *placed,
			      void *context)
	{
		PlacementResult *result = (PlacementResult *)context;

		result->done = true;
		result->verdict = placed->verdict;
		result->upstream = placed->upstream ? placed->upstream : "";
		result->retry_after_ms = placed->retry_after_ms;
	}
	void request_placement(TestGateway &gateway, PlacementResult *result,
			       guint max_wait_ms = 500)
	{
		struct aub_placement_request request = {};

		request.target_ms = 600;
		request.on_time_wait_ms = max_wait_ms;
		request.max_wait_ms = max_wait_ms;
		*result = PlacementResult();
		result->ticket = aub_placer_new_ticket(gateway.placer);
		aub_placer_request(gateway.placer, "svc", &request,
				   result->ticket, on_placed, result);
	}

	/*
	 * Sends four requests in sequence and expects a grant of `upstream` for
	 * each.
	 */
	void expect_all_granted_to(TestGateway &requester,
				   const std::string &upstream)
	{
		PlacementResult result;

		for (int i = 0; i < 4; i++) {
			request_placement(requester, &result);
			ASSERT_TRUE(
				run_until([&] { return result.done; }, 2000));
			EXPECT_EQ(result.verdict, AUB_VERDICT_GRANTED);
			EXPECT_EQ(result.upstream, upstream);
			aub_placer_report(requester.placer, result.ticket,
					  AUB_GRANT_OK, 1000, NULL);
		}
	}
};

#endif

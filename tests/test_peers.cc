/*
 * Membership by heartbeats: discovery, failure detection, ranking and store
 * watchers.
 */
#include "placer_fixture.h"

#include <auburnstile/internal/peers_internal.h>

using PeersTest = PlacerTest;

TEST_F(PeersTest, DiscoverEachOtherThroughOneSeed)
{
	for (auto name : { "a", "b", "c" })
		start_gateway(name);
	for (auto &gateway : gateways)
		if (gateway->name != "a")
			aub_peers_add(gateway->peers,
				      gateways[0]->address.c_str());
	for (auto &gateway : gateways)
		publish_state(*gateway, true);
	EXPECT_TRUE(run_until(
		[&] {
			return aub_peers_ranked(gateways[0]->peers, "svc")
				       ->len == 3;
		},
		2000));
}

TEST_F(PeersTest, DiscoverSeedThatStartsLater)
{
	/*
	 * After a power failure a gateway may start before its seed, which
	 * loses its first heartbeat and knows no peers. They must find each
	 * other soon, since callers wait for it.
	 */
	std::string address = free_address();
	TestGateway *early = start_gateway("a");

	aub_peers_add(early->peers, address.c_str());
	run_for(70);
	TestGateway *seed = start_gateway("b", "z1", address);
	gint64 start_us = g_get_monotonic_time();
	ASSERT_TRUE(run_until(
		[&] { return aub_peers_count_alive(seed->peers) == 1; }, 2000));
	EXPECT_LT(g_get_monotonic_time() - start_us, 120 * 1000);
}

TEST_F(PeersTest, ReportAddressInUse)
{
	/*
	 * Two gateways are configured with the same datagram address by
	 * mistake. One of them would never receive the placers' answers, and
	 * its callers would wait.
	 */
	GError *error = NULL;
	TestGateway *gateway = start_gateway("a");
	struct aub_peers_options options = {};

	options.name = "b";
	options.zone = "z1";
	options.address = gateway->address.c_str();
	options.callers_address = "127.0.0.1:1";
	options.poller = poller;
	options.timers = timers;
	EXPECT_EQ(aub_peers_new(&options, &error), nullptr);
	ASSERT_NE(error, nullptr);
	EXPECT_NE(strstr(error->message, gateway->address.c_str()), nullptr)
		<< error->message;
	g_error_free(error);
}

TEST_F(PeersTest, AgreeOnRanking)
{
	for (auto name : { "a", "b", "c", "d" })
		start_gateway(name);
	connect_all();
	for (auto service : { "one", "two", "three" }) {
		std::string first;

		for (auto &gateway : gateways) {
			const struct aub_peer *peer =
				(const struct aub_peer *)g_ptr_array_index(
					aub_peers_ranked(gateway->peers,
							 service),
					0);

			if (first.empty())
				first = peer->name;
			EXPECT_EQ(first, peer->name);
		}
	}
}

/*
 * Guards against a small VM that spends all its CPU on ranking while a fleet
 * starts.
 */
TEST_F(PeersTest, ComputeRankHashOncePerPeerAndService)
{
	const guint services = 3;
	TestGateway *gateway = start_gateway("g0");

	publish_state(*gateway, true);
	for (int i = 1; i <= 12; i++) {
		publish_state(*start_gateway("g" + std::to_string(i)), true);
		aub_peers_add(gateways.back()->peers, gateway->address.c_str());
		ASSERT_TRUE(run_until(
			[&] {
				return aub_peers_ranked(gateway->peers, "one")
					       ->len == (guint)i + 1;
			},
			1000));
		aub_peers_ranked(gateway->peers, "two");
		aub_peers_ranked(gateway->peers, "three");
	}
	EXPECT_EQ(gateway->peers->rank_hashes_computed, 13u * services);
}

TEST_F(PeersTest, DetectDeadPeer)
{
	start_gateway("a");
	start_gateway("b");
	connect_all();
	guint64 incarnation = gateways[1]->incarnation;
	stop_gateway(*gateways[1]);
	gateways.pop_back();
	EXPECT_TRUE(run_until(
		[&] { return !gateways[0]->lost_incarnations.empty(); }, 2500));
	EXPECT_EQ(gateways[0]->lost_incarnations[0], incarnation);
	EXPECT_EQ(aub_peers_ranked(gateways[0]->peers, "svc")->len, 1u);
}

TEST_F(PeersTest, RankPeersWithoutStoreLast)
{
	for (auto name : { "a", "b", "c" })
		start_gateway(name);
	connect_all();
	TestGateway *first = find_placer();
	publish_state(*first, false);
	EXPECT_TRUE(run_until([&] { return find_placer() != first; }, 1000));
}

/* Guards against small VMs that place for all while large ones are idle. */
TEST_F(PeersTest, RankLargeVmsFirst)
{
	for (int i = 0; i < 8; i++)
		start_gateway("small" + std::to_string(i), "z1", "", 100);
	for (auto name : { "large1", "large2" })
		start_gateway(name, "z1", "", 500);
	connect_all();
	for (auto service : { "one", "two", "three", "four" }) {
		const GPtrArray *ranked =
			aub_peers_ranked(gateways[0]->peers, service);

		for (guint i = 0; i < 2; i++)
			EXPECT_EQ(((const struct aub_peer *)
					   g_ptr_array_index(ranked, i))
					  ->capacity,
				  500u)
				<< service;
	}
}

/* Guards against a large VM that places by outdated objects of the store. */
TEST_F(PeersTest, RankLargeVmWithoutStoreLast)
{
	for (int i = 0; i < 3; i++)
		start_gateway("small" + std::to_string(i), "z1", "", 100);
	TestGateway *large = start_gateway("large", "z1", "", 500);
	connect_all();
	EXPECT_EQ(find_placer(), large);
	publish_state(*large, false);
	EXPECT_TRUE(run_until([&] { return find_placer() != large; }, 1000));
}

TEST_F(PeersTest, AnnounceStoreRevisions)
{
	start_gateway("a");
	start_gateway("b");
	connect_all();
	publish_state(*gateways[0], true, 77);
	EXPECT_TRUE(run_until(
		[&] {
			return gateways[1]->revisions[AUB_STORE_UPSTREAMS] ==
			       77;
		},
		500));
}

TEST_F(PeersTest, TwoPeersPerZoneWatchTheStore)
{
	int watching[2] = { 0, 0 };

	for (int i = 0; i < 8; i++)
		start_gateway("g" + std::to_string(i), i % 2 ? "z1" : "z2");
	connect_all();
	for (auto &gateway : gateways)
		watching[gateway->zone == "z1"] +=
			aub_peers_self_is_watcher(gateway->peers);
	EXPECT_EQ(watching[0], 2);
	EXPECT_EQ(watching[1], 2);
}

/* Watches that end at the same time miss the same changes. */
TEST_F(PeersTest, WatchersHaveDistinctPositions)
{
	std::vector<guint> primaries;
	std::vector<guint> standbys;

	for (int i = 0; i < 9; i++)
		start_gateway("g" + std::to_string(i),
			      "z" + std::to_string(i % 3));
	connect_all();
	for (auto &gateway : gateways) {
		struct aub_watch_role role =
			aub_peers_watch_role(gateway->peers);

		EXPECT_EQ(role.count, 6u);
		EXPECT_EQ(role.primary_count, 3u);
		if (role.duty == AUB_WATCH_PRIMARY)
			primaries.push_back(role.index);
		else if (role.duty == AUB_WATCH_STANDBY)
			standbys.push_back(role.index);
	}
	std::sort(primaries.begin(), primaries.end());
	std::sort(standbys.begin(), standbys.end());
	EXPECT_EQ(primaries, (std::vector<guint>{ 0, 1, 2 }));
	EXPECT_EQ(standbys, (std::vector<guint>{ 3, 4, 5 }));
}

/* A gateway that lost the store tries to reach it, in no other's position. */
TEST_F(PeersTest, WatcherWithoutStoreComesAfterTheOthers)
{
	for (int i = 0; i < 3; i++)
		start_gateway("g" + std::to_string(i));
	connect_all();
	struct aub_peers_self_state state = {};
	state.ready = true;
	state.store_reachable = false;
	aub_peers_publish_state(gateways[0]->peers, &state);

	struct aub_watch_role role = aub_peers_watch_role(gateways[0]->peers);
	EXPECT_EQ(role.duty, AUB_WATCH_PRIMARY);
	EXPECT_EQ(role.index, 1u);
	EXPECT_EQ(role.primary_count, 2u);
	EXPECT_EQ(role.count, 3u);
}

TEST_F(PeersTest, ReplaceWatcherThatLosesTheStore)
{
	/*
	 * The store refuses the watchers and serves the other gateways. These
	 * must start to watch within a second, although the former watchers
	 * still place; else callers would meet an outdated configuration.
	 */
	for (int i = 0; i < 5; i++)
		start_gateway("g" + std::to_string(i));
	connect_all();
	std::vector<TestGateway *> before;
	for (auto &gateway : gateways)
		if (aub_peers_self_is_watcher(gateway->peers))
			before.push_back(gateway.get());
	for (auto gateway : before) {
		struct aub_peers_self_state state = {};

		state.ready = true;
		/* The store was lost only recently, so it may still place. */
		state.store_current = true;
		state.store_reachable = false;
		aub_peers_publish_state(gateway->peers, &state);
	}
	EXPECT_TRUE(run_until(
		[&] {
			int watching = 0;

			for (auto &gateway : gateways)
				if (aub_peers_self_is_watcher(gateway->peers) &&
				    std::find(before.begin(), before.end(),
					      gateway.get()) == before.end())
					watching++;
			return watching == 2;
		},
		500));
}

TEST_F(PeersTest, AnnounceRevisionsAcrossZonesToWatchersOnly)
{
	/*
	 * Traffic between zones is expensive. Watchers notify their own zone of
	 * a change and the watchers of the other zone, and all gateways know of
	 * it within a second.
	 */
	for (int i = 0; i < 16; i++)
		start_gateway("g" + std::to_string(i), i % 2 ? "z1" : "z2");
	connect_all();
	run_for(300);
	guint64 before = 0;
	guint64 after = 0;
	for (auto &gateway : gateways)
		before += aub_peers_get_counts(gateway->peers)
				  ->cross_zone_datagrams;
	for (int change = 1; change <= 20; change++)
		for (auto &gateway : gateways)
			publish_state(*gateway, true, change);
	for (auto &gateway : gateways)
		after += aub_peers_get_counts(gateway->peers)
				 ->cross_zone_datagrams;
	/* Two watchers in each zone notify two in the other. */
	EXPECT_EQ(after - before, 20u * 8u);
	EXPECT_TRUE(run_until(
		[&] {
			for (auto &gateway : gateways)
				if (gateway->revisions[AUB_STORE_UPSTREAMS] <
				    20)
					return false;
			return true;
		},
		1000));
}

static guint64 datagrams_of(const struct aub_peers *peers)
{
	const struct aub_peers_counts *counts = aub_peers_get_counts(peers);

	return counts->own_zone_datagrams + counts->cross_zone_datagrams;
}

/* Guards against heartbeats that use all CPU of a VM while a fleet starts. */
TEST_F(PeersTest, DiscoverWithOneHeartbeatEachWay)
{
	start_gateway("a");
	start_gateway("b");
	for (auto &gateway : gateways)
		publish_state(*gateway, true);
	guint64 before = datagrams_of(gateways[0]->peers) +
			 datagrams_of(gateways[1]->peers);
	aub_peers_add(gateways[0]->peers, gateways[1]->address.c_str());
	ASSERT_TRUE(run_until(
		[&] {
			return aub_peers_count_alive(gateways[0]->peers) &&
			       aub_peers_count_alive(gateways[1]->peers);
		},
		1000));
	run_for(20);
	EXPECT_EQ(datagrams_of(gateways[0]->peers) +
			  datagrams_of(gateways[1]->peers) - before,
		  2u);
}

/* Guards against a peer that stays unknown for long after a lost reply. */
TEST_F(PeersTest, AnswerEveryHeartbeatThatRequestsReply)
{
	TestGateway *gateway = start_gateway("a");
	std::string address = free_address();
	int fd = aub_udp_bind(address.c_str(), NULL);
	struct sockaddr_in to;
	struct aub_heartbeat *heartbeat =
		(struct aub_heartbeat *)aub_message_new(AUB_MESSAGE_HEARTBEAT);

	ASSERT_TRUE(aub_socket_address_parse(gateway->address.c_str(), &to));
	aub_string_set(&heartbeat->address, address.c_str());
	heartbeat->incarnation = 7;
	heartbeat->reply_requested = true;
	heartbeat->peers = 1;
	GBytes *bytes = aub_message_encode(&heartbeat->base, NULL);
	gsize length;
	const void *data = g_bytes_get_data(bytes, &length);
	for (guint attempt = 1; attempt <= 2; attempt++) {
		char answer[1000];
		guint64 before = datagrams_of(gateway->peers);

		sendto(fd, data, length, 0, (struct sockaddr *)&to, sizeof(to));
		EXPECT_TRUE(run_until(
			[&] { return datagrams_of(gateway->peers) > before; },
			100))
			<< attempt;
		EXPECT_GT(recv(fd, answer, sizeof(answer), MSG_DONTWAIT), 0);
	}
	g_bytes_unref(bytes);
	aub_message_free(&heartbeat->base);
	close(fd);
}

/*
 * Guards against malformed datagrams that are dropped without a count or a log
 * line naming the sender.
 */
TEST_F(PeersTest, CountMalformedDatagrams)
{
	TestGateway *gateway = start_gateway("a");
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	struct sockaddr_in to;
	struct aub_introduction *malformed =
		(struct aub_introduction *)aub_message_new(
			AUB_MESSAGE_INTRODUCTION);

	ASSERT_TRUE(aub_socket_address_parse(gateway->address.c_str(), &to));
	aub_bytes_set(&malformed->addresses, "1234567", 7);
	GBytes *bytes = aub_message_encode(&malformed->base, NULL);
	gsize length;
	const void *data = g_bytes_get_data(bytes, &length);
	sendto(fd, "nonsense", 8, 0, (struct sockaddr *)&to, sizeof(to));
	sendto(fd, data, length, 0, (struct sockaddr *)&to, sizeof(to));
	EXPECT_TRUE(run_until(
		[&] {
			return aub_peers_get_counts(gateway->peers)
				       ->rejected_datagrams == 2;
		},
		1000));
	EXPECT_EQ(aub_peers_all(gateway->peers)->len, 1u);
	g_bytes_unref(bytes);
	aub_message_free(&malformed->base);
	close(fd);
}

TEST_F(PeersTest, IntroduceNewGatewayOnce)
{
	/*
	 * A starting gateway knows a single seed. If all peers introduced it, a
	 * start of the fleet would cost the square of its size in
	 * introductions.
	 */
	for (int i = 0; i < 12; i++)
		start_gateway("g" + std::to_string(i));
	connect_all();
	guint64 before = 0;
	guint64 after = 0;
	for (auto &gateway : gateways)
		before += aub_peers_get_counts(gateway->peers)->introductions;
	TestGateway *newcomer = start_gateway("fresh");
	aub_peers_add(newcomer->peers, gateways[0]->address.c_str());
	publish_state(*newcomer, true);
	EXPECT_TRUE(run_until(
		[&] { return aub_peers_count_alive(newcomer->peers) == 12; },
		1000));
	run_for(20);
	for (auto &gateway : gateways)
		after += aub_peers_get_counts(gateway->peers)->introductions;
	EXPECT_EQ(after - before, 1u);
}

/* Membership by heartbeats: who is there, who is gone, who does what. */
#include "placer_rig.h"

#include <auburnstile/internal/peers_parts.h>

using PeersTest = PlacerTest;

TEST_F(PeersTest, KnowEachOtherThroughOneSeed)
{
	for (auto name : { "a", "b", "c" })
		start(name);
	for (auto &gate : gates)
		if (gate->name != "a")
			aub_peers_add(gate->peers, gates[0]->address.c_str());
	for (auto &gate : gates)
		say(*gate, true);
	EXPECT_TRUE(run_until(
		[&] {
			return aub_peers_ranked(gates[0]->peers, "svc")->len ==
			       3;
		},
		2000));
}

TEST_F(PeersTest, FindASeedThatStartsALittleLater)
{
	/*
	 * Callers wait until gateways have found each other. Power returns to
	 * all of them at once, and a gateway is up before its seed: the
	 * heartbeat that it sends at its start is lost, and the seed knows
	 * nobody.
	 */
	std::string address = free_address();
	Gate *early = start("a");

	aub_peers_add(early->peers, address.c_str());
	run_for(70);
	Gate *seed = start("b", "z1", address);
	gint64 begun = g_get_monotonic_time();
	ASSERT_TRUE(run_until(
		[&] { return aub_peers_count_alive(seed->peers) == 1; }, 2000));
	EXPECT_LT(g_get_monotonic_time() - begun, 120 * 1000);
}

TEST_F(PeersTest, RefuseAnAddressThatIsInUse)
{
	/*
	 * Callers of one of two gateways would wait for placers that it never
	 * hears. Both are given the same address for datagrams by mistake.
	 */
	GError *error = NULL;
	Gate *gate = start("a");
	struct aub_peers_options options = {};

	options.name = "b";
	options.zone = "z1";
	options.address = gate->address.c_str();
	options.callers_address = "127.0.0.1:1";
	options.poller = poller;
	options.timers = timers;
	EXPECT_EQ(aub_peers_new(&options, &error), nullptr);
	ASSERT_NE(error, nullptr);
	EXPECT_NE(strstr(error->message, gate->address.c_str()), nullptr)
		<< error->message;
	g_error_free(error);
}

TEST_F(PeersTest, AgreeOnTheOrder)
{
	for (auto name : { "a", "b", "c", "d" })
		start(name);
	join();
	for (auto service : { "one", "two", "three" }) {
		std::string first;

		for (auto &gate : gates) {
			const struct aub_peer *peer =
				(const struct aub_peer *)g_ptr_array_index(
					aub_peers_ranked(gate->peers, service),
					0);

			if (first.empty())
				first = peer->name;
			EXPECT_EQ(first, peer->name);
		}
	}
}

/* Guards against a fleet's start in which ranking takes all of a small VM. */
TEST_F(PeersTest, HashAPeerOnceForEachService)
{
	const guint services = 3;
	Gate *gate = start("g0");

	say(*gate, true);
	for (int i = 1; i <= 12; i++) {
		say(*start("g" + std::to_string(i)), true);
		aub_peers_add(gates.back()->peers, gate->address.c_str());
		ASSERT_TRUE(run_until(
			[&] {
				return aub_peers_ranked(gate->peers, "one")
					       ->len == (guint)i + 1;
			},
			1000));
		aub_peers_ranked(gate->peers, "two");
		aub_peers_ranked(gate->peers, "three");
	}
	EXPECT_EQ(gate->peers->rank_hashes, 13u * services);
}

TEST_F(PeersTest, NoticeADeath)
{
	start("a");
	start("b");
	join();
	guint64 incarnation = gates[1]->incarnation;
	stop(*gates[1]);
	gates.pop_back();
	EXPECT_TRUE(run_until([&] { return !gates[0]->lost.empty(); }, 2500));
	EXPECT_EQ(gates[0]->lost[0], incarnation);
	EXPECT_EQ(aub_peers_ranked(gates[0]->peers, "svc")->len, 1u);
}

TEST_F(PeersTest, PutThoseWithoutTheStoreLast)
{
	for (auto name : { "a", "b", "c" })
		start(name);
	join();
	Gate *first = placer_of_all();
	say(*first, false);
	EXPECT_TRUE(run_until([&] { return placer_of_all() != first; }, 1000));
}

/* Guards against small VMs that place for all while large ones stand idle. */
TEST_F(PeersTest, PutVmsWithTheMostProcessorFirst)
{
	for (int i = 0; i < 8; i++)
		start("small" + std::to_string(i), "z1", "", 100);
	for (auto name : { "large1", "large2" })
		start(name, "z1", "", 500);
	join();
	for (auto service : { "one", "two", "three", "four" }) {
		const GPtrArray *ranked =
			aub_peers_ranked(gates[0]->peers, service);

		for (guint i = 0; i < 2; i++)
			EXPECT_EQ(((const struct aub_peer *)
					   g_ptr_array_index(ranked, i))
					  ->capacity,
				  500u)
				<< service;
	}
}

/* Guards against a VM without the store that places by what it last heard. */
TEST_F(PeersTest, PutALargeVmWithoutTheStoreLast)
{
	for (int i = 0; i < 3; i++)
		start("small" + std::to_string(i), "z1", "", 100);
	Gate *large = start("large", "z1", "", 500);
	join();
	EXPECT_EQ(placer_of_all(), large);
	say(*large, false);
	EXPECT_TRUE(run_until([&] { return placer_of_all() != large; }, 1000));
}

TEST_F(PeersTest, TellEachOtherOfNews)
{
	start("a");
	start("b");
	join();
	say(*gates[0], true, 77);
	EXPECT_TRUE(run_until(
		[&] { return gates[1]->revisions[AUB_STORE_UPSTREAMS] == 77; },
		500));
}

TEST_F(PeersTest, SomeOfEachZoneWatchTheStore)
{
	int watching[2] = { 0, 0 };

	for (int i = 0; i < 8; i++)
		start("g" + std::to_string(i), i % 2 ? "z1" : "z2");
	join();
	for (auto &gate : gates)
		watching[gate->zone == "z1"] +=
			aub_peers_self_watches(gate->peers);
	EXPECT_EQ(watching[0], 2);
	EXPECT_EQ(watching[1], 2);
}

TEST_F(PeersTest, AnotherWatchesAtOnceWhenAWatcherLosesTheStore)
{
	/*
	 * A caller must not meet an old configuration. The store turns the
	 * watching gateways away and serves the others; these have to watch
	 * within the second, though the former still place.
	 */
	for (int i = 0; i < 5; i++)
		start("g" + std::to_string(i));
	join();
	std::vector<Gate *> before;
	for (auto &gate : gates)
		if (aub_peers_self_watches(gate->peers))
			before.push_back(gate.get());
	for (auto gate : before) {
		struct aub_peer_state state = {};

		state.ready = true;
		state.current = true; /* not for long, so it may still place */
		state.hears = false;
		aub_peers_set_self(gate->peers, &state);
	}
	EXPECT_TRUE(run_until(
		[&] {
			int watching = 0;

			for (auto &gate : gates)
				if (aub_peers_self_watches(gate->peers) &&
				    std::find(before.begin(), before.end(),
					      gate.get()) == before.end())
					watching++;
			return watching == 2;
		},
		500));
}

TEST_F(PeersTest, TellOtherZonesOfNewsOnlyOnceAZone)
{
	/*
	 * Callers notice nothing; bytes between zones are dear. A change of the
	 * store reaches all gateways of a zone, and those that watch tell the
	 * ones that watch for the other zone. All know of it within a second.
	 */
	for (int i = 0; i < 16; i++)
		start("g" + std::to_string(i), i % 2 ? "z1" : "z2");
	join();
	run_for(300);
	guint64 before = 0;
	guint64 after = 0;
	for (auto &gate : gates)
		before += aub_peers_get_counts(gate->peers)->far_datagrams;
	for (int change = 1; change <= 20; change++)
		for (auto &gate : gates)
			say(*gate, true, change);
	for (auto &gate : gates)
		after += aub_peers_get_counts(gate->peers)->far_datagrams;
	/* Two that watch in each zone tell two of the other. */
	EXPECT_EQ(after - before, 20u * 8u);
	EXPECT_TRUE(run_until(
		[&] {
			for (auto &gate : gates)
				if (gate->revisions[AUB_STORE_UPSTREAMS] < 20)
					return false;
			return true;
		},
		1000));
}

static guint64 datagrams_of(const struct aub_peers *peers)
{
	const struct aub_peers_counts *counts = aub_peers_get_counts(peers);

	return counts->near_datagrams + counts->far_datagrams;
}

/* Guards against a start of the fleet in which heartbeats take all of a VM. */
TEST_F(PeersTest, MeetWithOneHeartbeatEachWay)
{
	start("a");
	start("b");
	for (auto &gate : gates)
		say(*gate, true);
	guint64 before =
		datagrams_of(gates[0]->peers) + datagrams_of(gates[1]->peers);
	aub_peers_add(gates[0]->peers, gates[1]->address.c_str());
	ASSERT_TRUE(run_until(
		[&] {
			return aub_peers_count_alive(gates[0]->peers) &&
			       aub_peers_count_alive(gates[1]->peers);
		},
		1000));
	run_for(20);
	EXPECT_EQ(datagrams_of(gates[0]->peers) +
			  datagrams_of(gates[1]->peers) - before,
		  2u);
}

/* Guards against a lost answer, after which one of two is unknown for long. */
TEST_F(PeersTest, AnswerAsOftenAsTheyAreAsked)
{
	Gate *gate = start("a");
	std::string address = free_address();
	int fd = aub_udp_bind(address.c_str(), NULL);
	struct sockaddr_in to;
	struct aub_heartbeat *heartbeat =
		(struct aub_heartbeat *)aub_message_new(AUB_MESSAGE_HEARTBEAT);

	ASSERT_TRUE(aub_socket_address(gate->address.c_str(), &to));
	aub_string_set(&heartbeat->address, address.c_str());
	heartbeat->incarnation = 7;
	heartbeat->reply_requested = true;
	heartbeat->peers = 1;
	GBytes *bytes = aub_message_encode(&heartbeat->base, NULL);
	gsize length;
	const void *data = g_bytes_get_data(bytes, &length);
	for (guint asked = 1; asked <= 2; asked++) {
		char answer[1000];
		guint64 before = datagrams_of(gate->peers);

		sendto(fd, data, length, 0, (struct sockaddr *)&to, sizeof(to));
		EXPECT_TRUE(run_until(
			[&] { return datagrams_of(gate->peers) > before; },
			100))
			<< asked;
		EXPECT_GT(recv(fd, answer, sizeof(answer), MSG_DONTWAIT), 0);
	}
	g_bytes_unref(bytes);
	aub_message_free(&heartbeat->base);
	close(fd);
}

/* Guards against a damaged datagram that is swallowed, or names no sender. */
TEST_F(PeersTest, CountADatagramThatMakesNoSense)
{
	Gate *gate = start("a");
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	struct sockaddr_in to;
	struct aub_introduction *half =
		(struct aub_introduction *)aub_message_new(
			AUB_MESSAGE_INTRODUCTION);

	ASSERT_TRUE(aub_socket_address(gate->address.c_str(), &to));
	aub_bytes_set(&half->addresses, "1234567", 7);
	GBytes *bytes = aub_message_encode(&half->base, NULL);
	gsize length;
	const void *data = g_bytes_get_data(bytes, &length);
	sendto(fd, "nonsense", 8, 0, (struct sockaddr *)&to, sizeof(to));
	sendto(fd, data, length, 0, (struct sockaddr *)&to, sizeof(to));
	EXPECT_TRUE(run_until(
		[&] { return aub_peers_get_counts(gate->peers)->refused == 2; },
		1000));
	EXPECT_EQ(aub_peers_all(gate->peers)->len, 1u);
	g_bytes_unref(bytes);
	aub_message_free(&half->base);
	close(fd);
}

TEST_F(PeersTest, IntroduceANewOneOnce)
{
	/*
	 * Callers notice nothing; a start of the whole fleet costs the square
	 * of its size in introductions. One that starts knows a single seed.
	 */
	for (int i = 0; i < 12; i++)
		start("g" + std::to_string(i));
	join();
	guint64 before = 0;
	guint64 after = 0;
	for (auto &gate : gates)
		before += aub_peers_get_counts(gate->peers)->introductions;
	Gate *fresh = start("fresh");
	aub_peers_add(fresh->peers, gates[0]->address.c_str());
	say(*fresh, true);
	EXPECT_TRUE(run_until(
		[&] { return aub_peers_count_alive(fresh->peers) == 12; },
		1000));
	run_for(20);
	for (auto &gate : gates)
		after += aub_peers_get_counts(gate->peers)->introductions;
	EXPECT_EQ(after - before, 1u);
}

/*
 * Gateways that are cut off from all upstreams while callers, the store and
 * the other gateways still reach them.
 */
#include "gateway_fixture.h"

#define GATEWAYS 5
#define CUT_OFF 2 /* of them */
#define UPSTREAMS 6
/* A gateway without links has to be served by others within this time. */
#define DETECTION_MS 1000

/* Callers' first tries at one group of gateways. */
struct Tries {
	int sent = 0;
	int served = 0;
	int open = 0; /* not answered yet */
	double slowest_refusal_ms = 0;

	double share() const
	{
		return sent ? (double)served / sent : 0;
	}
};

class PartitionTest : public GatewayTest
{
      protected:
	struct Gateway {
		std::string ip;
		struct aub_node_settings settings = {};
		struct aub_node *node = NULL;
		bool cut_off = false;
	};
	struct Try {
		std::unique_ptr<Caller> caller;
		Tries *tries = NULL;
		gint64 sent_us = 0;
		std::string id;
		bool counted = false;
	};
	std::vector<Gateway> gateways;
	std::vector<std::unique_ptr<Try>> tries;
	std::map<std::string, int> runs; /* by request id */
	std::vector<std::string> at_most_once_ids;
	std::vector<std::string> refused_ids; /* told that it was not run */
	int next_id = 0;

	void TearDown() override
	{
		tries.clear();
		for (auto &gateway : gateways) {
			aub_node_free(gateway.node);
			aub_settings_clear(aub_node_settings_table,
					   &gateway.settings);
		}
		GatewayTest::TearDown();
	}
	static void on_run(const char *id, void *context)
	{
		((PartitionTest *)context)->runs[id]++;
	}
	std::string address(const Gateway &gateway, size_t port) const
	{
		return gateway.ip + listen_addresses[port].substr(
					    listen_addresses[port].find(':'));
	}
	void start_gateway(Gateway &gateway, int number)
	{
		struct aub_node_settings &own = gateway.settings;
		GError *error = NULL;

		std::vector<std::string> addresses;

		gateway.ip = "127.0.3." + std::to_string(10 + number);
		for (size_t i = 0; i < listen_addresses.size(); i++)
			addresses.push_back(address(gateway, i));
		fill_settings(own, "g" + std::to_string(number),
			      "z" + std::to_string(number % 2 + 1), addresses);
		own.source_ip = g_strdup(gateway.ip.c_str());
		own.processor_share = 1;
		own.processor_cores = 1;
		gateway.node =
			aub_node_new(&own, &aub_platform, timers, &error);
		ASSERT_NE(gateway.node, nullptr) << error->message;
	}
	void start_fleet()
	{
		for (int i = 0; i < 5; i++)
			listen_addresses.push_back(free_address());
		seed = "127.0.3.10:1";
		timeout_ms = 2000;
		configure();
		for (int i = 0; i < UPSTREAMS; i++) {
			auto upstream =
				add_upstream("u" + std::to_string(i),
					     "z" + std::to_string(i % 2 + 1));

			platform_upstream_set_service_time(upstream, 20);
			platform_upstream_set_run_callback(upstream, on_run,
							   this);
		}
		gateways.resize(GATEWAYS);
		for (int i = 0; i < GATEWAYS; i++)
			start_gateway(gateways[i], i);
		for (auto &gateway : gateways)
			ASSERT_TRUE(run_until(
				[&] {
					return http_get(address(gateway, 2),
							"/ready") == 200;
				},
				5000));
		run_for(1500);
		wait_for_detection(); /* some requests for the placer */
	}
	/* Returns the gateway that has placed most requests. */
	int find_placer()
	{
		const std::string name = "\nauburnstile_placer_decided_total ";
		int most_placed = -1;
		int placer = 0;

		for (int i = 0; i < GATEWAYS; i++) {
			std::string body;

			http_get(address(gateways[i], 4), "/metrics", &body);
			size_t at = body.find(name);
			if (at == std::string::npos)
				continue;
			int placed = atoi(body.c_str() + at + name.size());
			if (placed > most_placed) {
				most_placed = placed;
				placer = i;
			}
		}
		return placer;
	}

	void partition(Gateway &gateway, enum platform_partition kind)
	{
		gateway.cut_off = kind != PLATFORM_PARTITION_NONE;
		for (auto upstream : upstreams)
			platform_upstream_partition(upstream,
						    gateway.ip.c_str(), kind);
	}
	/* Cuts off `count` gateways, the placer among them or not. */
	void cut_off(int count, bool with_placer, enum platform_partition kind)
	{
		int placer = find_placer();

		for (int i = 0; i < GATEWAYS && count > with_placer; i++)
			if (i != placer) {
				partition(gateways[i], kind);
				count--;
			}
		if (with_placer)
			partition(gateways[placer], kind);
	}
	void heal()
	{
		for (auto &gateway : gateways)
			partition(gateway, PLATFORM_PARTITION_NONE);
	}
	void send_try(Gateway &gateway, Tries &to)
	{
		bool at_most_once = next_id % 2;
		std::unique_ptr<Try> one(new Try);

		one->id = "r" + std::to_string(next_id++);
		one->tries = &to;
		one->sent_us = g_get_monotonic_time();
		one->caller.reset(new Caller(poller, address(gateway, 0)));
		one->caller->send(
			std::string(at_most_once ? "POST /once/" :
						   "GET /safe/") +
			one->id + " HTTP/1.1\r\nHost: site\r\nRequest-Id: " +
			one->id + "\r\nDeadline-Remaining-Ms: 2000\r\n" +
			(at_most_once ? "Content-Length: 0\r\n" : "") + "\r\n");
		if (at_most_once)
			at_most_once_ids.push_back(one->id);
		to.sent++;
		to.open++;
		tries.push_back(std::move(one));
	}
	void count_answer(Try &one)
	{
		double ms =
			(double)(g_get_monotonic_time() - one.sent_us) / 1000;

		one.counted = true;
		one.tries->open--;
		if (one.caller->answers && one.caller->status == 200)
			one.tries->served++;
		else
			one.tries->slowest_refusal_ms =
				MAX(one.tries->slowest_refusal_ms, ms);
		if (one.caller->status == 503)
			refused_ids.push_back(one.id);
		one.caller->disconnect();
	}
	void collect()
	{
		for (auto &one : tries)
			if (!one->counted && one->caller->done())
				count_answer(*one);
	}
	/* One try every 8 ms, at one gateway after the other. */
	void send_tries(int ms, Tries &cut, Tries &others)
	{
		gint64 end_us = g_get_monotonic_time() + ms * 1000;
		int turn = 0;

		while (g_get_monotonic_time() < end_us) {
			Gateway &gateway = gateways[turn++ % GATEWAYS];

			send_try(gateway, gateway.cut_off ? cut : others);
			run_for(8);
			collect();
		}
		run_until(
			[&] {
				collect();
				return !cut.open && !others.open;
			},
			2500);
	}
	/* Sends tries whose answers don't matter while the cut is detected. */
	void wait_for_detection()
	{
		Tries cut, others;

		send_tries(DETECTION_MS, cut, others);
	}
	void expect_rules_kept()
	{
		for (auto &id : at_most_once_ids)
			EXPECT_LE(runs[id], 1) << id;
		for (auto &id : refused_ids)
			if (std::count(at_most_once_ids.begin(),
				       at_most_once_ids.end(), id))
				EXPECT_EQ(runs[id], 0) << id;
	}
	void expect_served_as_others(int cut_off_count, bool with_placer,
				     enum platform_partition kind)
	{
		Tries cut, others, cut_after, others_after;

		start_fleet();
		cut_off(cut_off_count, with_placer, kind);
		wait_for_detection();
		send_tries(2000, cut, others);
		EXPECT_GE(others.share(), 0.95);
		EXPECT_GE(cut.share(), 0.95 * others.share());
		heal();
		wait_for_detection();
		send_tries(1000, cut_after, others_after);
		EXPECT_GE(others_after.share(), 0.98);
		expect_rules_kept();
	}
};

/* Guards against unserved callers where connections to upstreams are reset. */
TEST_F(PartitionTest, ServesCallersWhileLinksToUpstreamsAreReset)
{
	expect_served_as_others(CUT_OFF, false, PLATFORM_PARTITION_RESET);
}

/* Guards against unserved callers where connections to upstreams hang. */
TEST_F(PartitionTest, ServesCallersWhileLinksToUpstreamsAreSilent)
{
	expect_served_as_others(CUT_OFF, false, PLATFORM_PARTITION_SILENT);
}

/* Guards against unserved callers where only new connections fail. */
TEST_F(PartitionTest, ServesCallersWhileNewConnectionsAreRefused)
{
	expect_served_as_others(CUT_OFF, false, PLATFORM_PARTITION_REFUSE_NEW);
}

/* Guards against a placer that takes its own lost links for dead upstreams. */
TEST_F(PartitionTest, ServesCallersWhilePlacerIsCutOffByResets)
{
	expect_served_as_others(CUT_OFF, true, PLATFORM_PARTITION_RESET);
}

/* Guards against a silent placer that takes its lost links for dead upstreams.
 */
TEST_F(PartitionTest, ServesCallersWhilePlacerIsCutOffInSilence)
{
	expect_served_as_others(CUT_OFF, true, PLATFORM_PARTITION_SILENT);
}

/* Guards against callers who are not served while one gateway has links. */
TEST_F(PartitionTest, ServesCallersWhileNearlyAllGatewaysAreCutOff)
{
	expect_served_as_others(GATEWAYS - 1, true, PLATFORM_PARTITION_RESET);
}

/* Guards against a placer that is cut off from a part of the upstreams. */
TEST_F(PartitionTest, ServesCallersWhilePartOfTheUpstreamsIsCutOff)
{
	Tries cut, others;

	start_fleet();
	int placer = find_placer();
	for (int i : { placer, (placer + 1) % GATEWAYS }) {
		gateways[i].cut_off = true;
		for (int j = 0; j < UPSTREAMS / 2; j++)
			platform_upstream_partition(upstreams[j],
						    gateways[i].ip.c_str(),
						    PLATFORM_PARTITION_RESET);
	}
	wait_for_detection();
	send_tries(2000, cut, others);
	EXPECT_GE(others.share(), 0.98);
	EXPECT_GE(cut.share(), 0.95 * others.share());
	expect_rules_kept();
}

/* Guards against a cut whose end and return are not noticed in time. */
TEST_F(PartitionTest, ServesCallersWhileLinksAreLostTwiceWithinSeconds)
{
	Tries cut, others;

	start_fleet();
	for (int i = 0; i < 2; i++) {
		cut_off(CUT_OFF, true,
			i ? PLATFORM_PARTITION_SILENT :
			    PLATFORM_PARTITION_RESET);
		wait_for_detection();
		send_tries(500, cut, others);
		heal();
		run_for(300);
	}
	EXPECT_GE(others.share(), 0.95);
	EXPECT_GE(cut.share(), 0.95 * others.share());
	expect_rules_kept();
}

/*
 * Guards against a popular request that is refused everywhere, because the
 * connections on which it was sent broke together.
 */
TEST_F(PartitionTest, RequestsOnConnectionsThatBreakTogetherAreNotCrashes)
{
	start_fleet();
	for (auto upstream : upstreams)
		platform_upstream_set_service_time(upstream, 200);
	std::vector<std::unique_ptr<Caller>> callers;
	for (int i = 0; i < 6; i++) {
		callers.emplace_back(
			new Caller(poller, address(gateways[1], 0)));
		callers.back()->send("GET /safe/popular HTTP/1.1\r\nHost: site"
				     "\r\nRequest-Id: p" +
				     std::to_string(i) +
				     "\r\nDeadline-Remaining-Ms: 2000\r\n\r\n");
	}
	run_for(100);
	partition(gateways[1], PLATFORM_PARTITION_RESET);
	run_until(
		[&] {
			for (auto &caller : callers)
				if (!caller->done())
					return false;
			return true;
		},
		2500);
	for (auto &gateway : gateways) {
		Caller caller(poller, address(gateway, 0));

		caller.send("GET /safe/popular HTTP/1.1\r\nHost: site\r\n"
			    "Request-Id: q\r\nDeadline-Remaining-Ms: 2000"
			    "\r\n\r\n");
		run_until([&] { return caller.done(); }, 2500);
		EXPECT_EQ(caller.status, 200u) << gateway.ip;
	}
}

/* Guards against requests that wait although no gateway reaches an upstream. */
TEST_F(PartitionTest, RefusesAtOnceWhileAllGatewaysAreCutOff)
{
	Tries cut, others, after;

	start_fleet();
	cut_off(GATEWAYS, true, PLATFORM_PARTITION_SILENT);
	wait_for_detection();
	send_tries(1000, cut, others);
	EXPECT_EQ(cut.served, 0);
	EXPECT_LT(cut.slowest_refusal_ms, 300);
	heal();
	wait_for_detection();
	send_tries(1000, others, after);
	EXPECT_GE(after.share(), 0.98);
	expect_rules_kept();
}

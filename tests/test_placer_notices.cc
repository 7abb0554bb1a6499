/*
 * What upstreams say of themselves, kept by several gateways: limits on their
 * requests, rest, and leaving.
 */
#include "placer_fixture.h"

#include <random>

/* An upstream that leaves serves requests for so long. */
#define DRAIN_MS 2000
#define LIMIT_WINDOW_US (4 * AUB_SECOND)

/* The requests that reached one upstream. */
struct Arrivals {
	std::vector<gint64> times_us;
	std::vector<TestGateway *> senders;

	/* Returns the number from `sender` since `after_us`. */
	int count_from(const TestGateway *sender, gint64 after_us) const
	{
		int count = 0;

		for (size_t i = 0; i < times_us.size(); i++)
			count +=
				senders[i] == sender && times_us[i] >= after_us;
		return count;
	}

	/* Returns the largest number within a window of `LIMIT_WINDOW_US`. */
	size_t max_in_window(gint64 after_us) const
	{
		size_t max = 0;

		for (size_t first = 0; first < times_us.size(); first++) {
			size_t last = first;

			if (times_us[first] < after_us)
				continue;
			while (last < times_us.size() &&
			       times_us[last] - times_us[first] <=
				       LIMIT_WINDOW_US)
				last++;
			max = MAX(max, last - first);
		}
		return max;
	}
};

class PlacerNoticesTest : public PlacerTest
{
      protected:
	struct Attempt {
		PlacementResult result;
		TestGateway *gateway;
		gint64 sent_us = 0;
	};
	std::map<std::string, Arrivals> arrivals;
	/* what the answers of an upstream say of it */
	std::map<std::string, struct aub_load> loads;
	/* the rest that an upstream asks a gateway for */
	std::map<std::pair<std::string, TestGateway *>, gint64> rests_us;
	std::vector<std::unique_ptr<Attempt>> attempts;
	std::mt19937 random;
	std::map<TestGateway *, int> sent; /* requests, by gateway */
	std::map<enum aub_verdict, guint> refused;

	static struct aub_load load_with_limit(double per_s)
	{
		struct aub_load load = AUB_LOAD_UNKNOWN;

		load.limit = AUB_LIMIT_NAMED;
		load.limit_per_1000_s = (guint32)(1000 * per_s);
		return load;
	}
	static struct aub_load load_without_limit()
	{
		struct aub_load load = AUB_LOAD_UNKNOWN;

		load.limit = AUB_LIMIT_NOT_NAMED;
		return load;
	}
	/* A probe by `gateway` finds the upstream idle. */
	void report_idle(TestGateway *gateway, const char *id)
	{
		struct aub_load load = AUB_LOAD_UNKNOWN;

		load.running = 0;
		load.waiting = 0;
		load.slots = 2;
		aub_placement_probe_received(
			aub_placer_placement(gateway->placer, "svc"), id,
			AUB_PROBE_HEALTHY, &load, aub_timer_now(timers));
	}
	/* Upstream u1 asks `gateway` for rest, in an answer. */
	void observe_rest(TestGateway *gateway, gint64 rest_us)
	{
		const struct aub_upstream_answer answer = {
			.upstream = "u1",
			.request_id = "r",
			.load = AUB_LOAD_UNKNOWN,
			.sent_us = aub_timer_now(timers),
			.rest_us = rest_us,
		};

		aub_placer_observe_answer(gateway->placer, "svc", &answer);
	}
	/* Requests slots until a request is queued, which is the last one. */
	std::vector<std::unique_ptr<PlacementResult>> request_until_queued(
		TestGateway *gateway)
	{
		std::vector<std::unique_ptr<PlacementResult>> results;

		do {
			results.emplace_back(new PlacementResult);
			request_placement(*gateway, results.back().get(), 5000);
		} while (results.back()->done);
		return results;
	}
	/* Starts gateways that all know two upstreams, u1 and u2. */
	void start_with_two_upstreams(std::initializer_list<const char *> names)
	{
		for (auto name : names)
			start_gateway(name);
		for (auto id : { "u1", "u2" }) {
			auto upstream = add_upstream(id);

			for (auto &gateway : gateways)
				register_upstream(*gateway, upstream);
			loads[id] = load_without_limit();
		}
		connect_all();
	}
	void answer(Attempt &attempt)
	{
		const struct aub_upstream_answer answer = {
			.upstream = attempt.result.upstream.c_str(),
			.request_id = "r",
			.load = loads[attempt.result.upstream],
			.sent_us = attempt.sent_us,
			.rest_us = rests_us[{ attempt.result.upstream,
					      attempt.gateway }],
		};
		struct aub_placer *placer = attempt.gateway->placer;

		aub_placer_observe_answer(placer, "svc", &answer);
		aub_placer_report(placer, attempt.result.ticket, AUB_GRANT_OK,
				  5000, &answer.load);
	}
	/* Sends what was granted; answers what was sent 5 ms ago. */
	void advance_attempts()
	{
		gint64 now = aub_timer_now(timers);

		for (size_t i = 0; i < attempts.size();) {
			Attempt &attempt = *attempts[i];
			bool ended = false;

			if (attempt.result.done && !attempt.sent_us) {
				attempt.sent_us = now;
				if (attempt.result.verdict ==
				    AUB_VERDICT_GRANTED) {
					Arrivals &seen =
						arrivals[attempt.result
								 .upstream];
					seen.times_us.push_back(now);
					seen.senders.push_back(attempt.gateway);
				} else {
					refused[attempt.result.verdict]++;
					ended = true;
				}
			} else if (attempt.sent_us &&
				   now - attempt.sent_us > 5 * AUB_MS) {
				answer(attempt);
				ended = true;
			}
			if (ended)
				attempts.erase(attempts.begin() + (gint64)i);
			else
				i++;
		}
	}
	void send_request(TestGateway *gateway)
	{
		sent[gateway]++;
		attempts.emplace_back(new Attempt);
		attempts.back()->gateway = gateway;
		request_placement(*gateway, &attempts.back()->result, 200);
	}
	/* Each gateway sends up to two requests every 20 ms, for `ms`. */
	void send_requests(int ms)
	{
		gint64 end_us = aub_timer_now(timers) + ms * AUB_MS;
		gint64 next_us = 0;

		while (aub_timer_now(timers) < end_us) {
			if (aub_timer_now(timers) >= next_us) {
				next_us = aub_timer_now(timers) + 20 * AUB_MS;
				for (auto &gateway : gateways)
					for (guint n = random() % 3; n; n--)
						send_request(gateway.get());
			}
			advance_attempts();
			run_for(2);
		}
	}
	/* Upstream u1 asks `gateway` for rest at its next answer, once. */
	void ask_for_rest(TestGateway *gateway, gint64 rest_us)
	{
		size_t before = (size_t)arrivals["u1"].count_from(gateway, 0);

		rests_us[{ "u1", gateway }] = rest_us;
		ASSERT_TRUE(run_until(
			[&] {
				send_requests(20);
				return (size_t)arrivals["u1"].count_from(
					       gateway, 0) > before;
			},
			3000));
		send_requests(30);
		rests_us.clear();
	}
	void TearDown() override
	{
		run_for(300);
		PlacerTest::TearDown();
	}
	/*
	 * Expects that a request was refused for overload only, as on a machine
	 * that stalls the test itself.
	 */
	void expect_refused_for_overload_only()
	{
		for (auto &[verdict, count] : refused)
			EXPECT_EQ(verdict, AUB_VERDICT_OVERLOAD)
				<< count << " " << aub_verdict_name(verdict);
	}
	/* The most requests in a window that the rule allows. */
	static size_t allowed(double per_s)
	{
		return (size_t)(1.5 * per_s * 4 + 5);
	}
};

/* Guards against more requests than an upstream's limit, over all gateways. */
TEST_F(PlacerNoticesTest, KeepsLimitOverAllGateways)
{
	start_with_two_upstreams({ "a", "b", "c" });
	loads["u1"] = load_with_limit(1);
	send_requests(500);
	gint64 told_us = aub_timer_now(timers);
	send_requests(5000);
	EXPECT_LE(arrivals["u1"].max_in_window(told_us), allowed(1));
	EXPECT_GE(arrivals["u1"].max_in_window(told_us), 2u);
	expect_refused_for_overload_only();
}

/* Guards against a limit that is forgotten when another gateway places. */
TEST_F(PlacerNoticesTest, KeepsLimitWhilePlacersChange)
{
	start_with_two_upstreams({ "a", "b", "c", "d" });
	loads["u1"] = load_with_limit(1);
	send_requests(500);
	gint64 told_us = aub_timer_now(timers);
	TestGateway *first = find_placer();
	for (int i = 0; i < 3; i++) {
		first->drops_messages = true;
		send_requests(900);
		first->drops_messages = false;
		send_requests(900);
	}
	EXPECT_LE(arrivals["u1"].max_in_window(told_us), allowed(1));
}

/* Guards against requests that wait in vain for a limited upstream. */
TEST_F(PlacerNoticesTest, RefusesAtOnceWhatLimitLeavesUnserved)
{
	PlacementResult result;
	PlacementResult later;

	start_all({ "a", "b" });
	loads["u1"] = load_with_limit(0.4);
	send_requests(300);
	gint64 start_us = aub_timer_now(timers);
	request_placement(*gateways[0], &result, 500);
	ASSERT_TRUE(run_until([&] { return result.done; }, 1000));
	EXPECT_LT(aub_timer_now(timers) - start_us, 200 * AUB_MS);
	ASSERT_NE(result.verdict, AUB_VERDICT_GRANTED);
	/* One request is accepted each 2.5 s, or a little less often. */
	EXPECT_GE(result.retry_after_ms, 1500u);
	EXPECT_LE(result.retry_after_ms, 4000u);
	run_for((int)result.retry_after_ms);
	request_placement(*gateways[0], &later, 500);
	ASSERT_TRUE(run_until([&] { return later.done; }, 1000));
	EXPECT_EQ(later.verdict, AUB_VERDICT_GRANTED);
}

/* Guards against an upstream that stays limited without an answer saying so. */
TEST_F(PlacerNoticesTest, TriesUpstreamWithLimitNearZeroUntilItIsLifted)
{
	start_with_two_upstreams({ "a", "b" });
	loads["u1"] = load_with_limit(0);
	send_requests(500);
	loads["u1"] = load_without_limit();
	send_requests(5000);
	size_t before = arrivals["u1"].times_us.size();
	/* A limit of 0 allows two in this time. */
	EXPECT_TRUE(run_until(
		[&] {
			send_requests(20);
			return arrivals["u1"].times_us.size() >= before + 5;
		},
		4000));
}

/* Guards against requests in the time that an upstream wants none. */
TEST_F(PlacerNoticesTest, LeavesUpstreamAloneThatAskedForRest)
{
	start_with_two_upstreams({ "a", "b", "c" });
	TestGateway *placer = find_placer();
	TestGateway *told = other_gateway(placer);

	for (TestGateway *gateway : { told, placer }) {
		ask_for_rest(gateway, 2 * AUB_SECOND);
		gint64 told_us = aub_timer_now(timers);
		send_requests(1800);
		EXPECT_EQ(arrivals["u1"].count_from(gateway, told_us), 0);
		expect_refused_for_overload_only();
		gint64 rested_us = aub_timer_now(timers);
		send_requests(2000);
		EXPECT_GE(arrivals["u1"].count_from(gateway, rested_us), 5);
	}
}

/* Guards against a rest that only the placer knew, or only the gateway. */
TEST_F(PlacerNoticesTest, LeavesRestingUpstreamAloneWhilePlacersChange)
{
	start_with_two_upstreams({ "a", "b", "c" });
	TestGateway *placer = find_placer();
	TestGateway *told = other_gateway(placer);

	ask_for_rest(told, 5 * AUB_SECOND);
	gint64 told_us = aub_timer_now(timers);
	int sent_before = sent[told];
	for (auto &gateway : gateways) {
		gateway->drops_messages = true;
		send_requests(700);
		gateway->drops_messages = false;
		send_requests(700);
	}
	EXPECT_EQ(arrivals["u1"].count_from(told, told_us), 0);
	EXPECT_GE(arrivals["u2"].count_from(told, told_us),
		  (sent[told] - sent_before) / 5);
}

/* Guards against a grant to a queued request after its gateway was told. */
TEST_F(PlacerNoticesTest, ReturnsGrantOfUpstreamThatAskedForRestMeanwhile)
{
	PlacementResult running[2];
	PlacementResult queued;

	start_all({ "a", "b" });
	TestGateway *placer = find_placer();
	TestGateway *told = other_gateway(placer);
	for (PlacementResult &result : running) {
		request_placement(*told, &result, 2000);
		ASSERT_TRUE(run_until([&] { return result.done; }, 1000));
	}
	request_placement(*told, &queued, 2000);
	run_for(100);
	ASSERT_FALSE(queued.done);
	const struct aub_upstream_answer answer = {
		.upstream = "u1",
		.request_id = "r",
		.load = AUB_LOAD_UNKNOWN,
		.sent_us = aub_timer_now(timers),
		.rest_us = 3 * AUB_SECOND,
	};
	aub_placer_observe_answer(told->placer, "svc", &answer);
	for (PlacementResult &result : running)
		aub_placer_report(told->placer, result.ticket,
				  AUB_GRANT_REFUSED, 5000, NULL);
	ASSERT_TRUE(run_until([&] { return queued.done; }, 3000));
	EXPECT_EQ(queued.verdict, AUB_VERDICT_NO_UPSTREAM);
	EXPECT_GE(queued.retry_after_ms, 1500u);
	EXPECT_LE(queued.retry_after_ms, 3000u);
}

/*
 * Guards against endless recursion when a gateway rejects a grant of its own
 * placer.
 */
TEST_F(PlacerNoticesTest, PlacerReturnsItsOwnGrantOfUpstreamThatAskedForRest)
{
	std::vector<PlacementResult> others(20);

	start_all({ "a" });
	TestGateway *gateway = gateways[0].get();
	report_idle(gateway, "u1");
	auto results = request_until_queued(gateway);
	ASSERT_GE(results.size(), 2u);
	for (PlacementResult &other : others)
		request_placement(*gateway, &other, 5000);
	/* Other gateways may use the upstream in its rest: it was probed. */
	report_idle(gateway, "u1");
	observe_rest(gateway, 3 * AUB_SECOND);
	aub_placer_report(gateway->placer, results[0]->ticket, AUB_GRANT_OK,
			  5000, NULL);
	ASSERT_TRUE(run_until([&] { return others.back().done; }, 1000));
	EXPECT_EQ(results.back()->verdict, AUB_VERDICT_NO_UPSTREAM);
	EXPECT_GE(results.back()->retry_after_ms, 2000u);
	for (PlacementResult &other : others)
		EXPECT_EQ(other.verdict, AUB_VERDICT_NO_UPSTREAM);
	struct aub_placement_stats stats;
	aub_placement_get_stats(aub_placer_placement(gateway->placer, "svc"),
				aub_timer_now(timers), &stats);
	EXPECT_EQ(stats.granted, results.size() - 2);
	EXPECT_EQ(stats.queued, 0u);
}

/*
 * Guards against decisions of another placer that are ignored after a grant of
 * the own placer was returned.
 */
TEST_F(PlacerNoticesTest, AcceptsOtherPlacersDecisionAfterItsOwnStaleGrant)
{
	start_with_two_upstreams({ "a", "b" });
	TestGateway *first = find_placer();
	TestGateway *second = other_gateway(first);
	/* The gateway places for itself while it suspects the other one. */
	struct aub_peer *peer =
		aub_peers_by_incarnation(second->peers, first->incarnation);
	peer->suspected_until_us = G_MAXINT64;
	report_idle(second, "u1");
	report_idle(second, "u2");
	auto results = request_until_queued(second);
	peer->suspected_until_us = 0;
	report_idle(second, "u1");
	observe_rest(second, 3 * AUB_SECOND);
	for (auto &result : results)
		if (result->upstream == "u1")
			aub_placer_report(second->placer, result->ticket,
					  AUB_GRANT_OK, 5000, NULL);
	ASSERT_TRUE(run_until([&] { return results.back()->done; }, 1000));
	EXPECT_EQ(aub_placer_get_counts(second->placer)->grants_rejected, 1u);
	EXPECT_EQ(results.back()->verdict, AUB_VERDICT_GRANTED);
	EXPECT_EQ(results.back()->upstream, "u2");
}

/* Guards against a gateway that learns of a leaving upstream from the store. */
TEST_F(PlacerNoticesTest, NoGatewayUsesUpstreamThatSaysItLeaves)
{
	start_with_two_upstreams({ "a", "b", "c" });
	TestGateway *placer = find_placer();

	loads["u1"].leaving = true;
	send_requests(DRAIN_MS);
	gint64 told_us = aub_timer_now(timers);
	placer->drops_messages = true;
	send_requests(1500);
	placer->drops_messages = false;
	send_requests(1500);
	for (auto &gateway : gateways)
		EXPECT_EQ(arrivals["u1"].count_from(gateway.get(), told_us), 0);
	EXPECT_GE((int)arrivals["u2"].times_us.size(), sent[placer] / 5);
}

/* Guards against a placer that excludes the next incarnation as well. */
TEST_F(PlacerNoticesTest, NewIncarnationOfLeavingUpstreamGetsRequests)
{
	start_with_two_upstreams({ "a", "b" });

	loads["u1"].leaving = true;
	send_requests(400);
	loads["u1"] = load_without_limit();
	/* The placer learns of the new incarnation after the other gateway. */
	TestGateway *placer = find_placer();
	register_upstream(*other_gateway(placer), upstreams[0], false, "v1", 2);
	send_requests(1500);
	register_upstream(*placer, upstreams[0], false, "v1", 2);
	gint64 started_us = aub_timer_now(timers);
	send_requests(2000);
	for (auto &gateway : gateways)
		EXPECT_GE(arrivals["u1"].count_from(gateway.get(), started_us),
			  5);
}

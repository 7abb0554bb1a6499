/* What a gateway still accepts during its planned stop, and by when it ends. */
#include "gateway_fixture.h"

class GatewayStopTest : public GatewayTest
{
      protected:
	bool stopped = false;
	gint64 stop_us = 0;

	/* One upstream; the grace time is 2 s. */
	void start(guint service_ms)
	{
		timeout_ms = 3000;
		add_upstream("u1");
		platform_upstream_set_service_time(upstreams[0], service_ms);
		configure();
		start_and_wait_until_ready();
	}
	void stop()
	{
		stop_us = g_get_monotonic_time();
		aub_node_stop(
			node, [](void *context) { *(bool *)context = true; },
			&stopped);
	}
	int ms_since_stop() const
	{
		return (int)((g_get_monotonic_time() - stop_us) / 1000);
	}
	guint runs() const
	{
		return platform_upstream_runs(upstreams[0]);
	}
	bool wait_until_stopped()
	{
		return run_until([&] { return stopped; }, 3000);
	}
	void expect_refused(const std::unique_ptr<Caller> &caller, int within)
	{
		gint64 start_us = g_get_monotonic_time();

		ASSERT_TRUE(wait_for_answer(caller));
		EXPECT_EQ(caller->status, 503u) << caller->body;
		EXPECT_NE(caller->body.find("stopping"), std::string::npos);
		EXPECT_FALSE(caller->keep_alive);
		EXPECT_EQ(caller->retry_after, "0.001");
		EXPECT_LT(g_get_monotonic_time() - start_us, within * 1000);
	}
	/* Makes the duration of the route's requests known. */
	void send_requests(const std::string &method, const std::string &path,
			   int count)
	{
		for (int i = 0; i < count; i++) {
			auto caller = send_request(method, path,
						   "s" + std::to_string(i));
			ASSERT_TRUE(wait_for_answer(caller));
			ASSERT_EQ(caller->status, 200u);
		}
	}
	/* Returns a connection that was opened and used before. */
	std::unique_ptr<Caller> kept_connection()
	{
		auto caller = send_request("GET", "/safe/a", "kept");

		EXPECT_TRUE(wait_for_answer(caller));
		EXPECT_TRUE(caller->keep_alive);
		return caller;
	}
	/*
	 * Sends requests that run at most once from the begin of a stop to its
	 * end, in calm, on new and on kept connections, and expects that each
	 * is answered or not accepted.
	 */
	void expect_answers_through_stop(int grace_s)
	{
		const int service_ms = MIN(grace_s * 250, 400);
		/* Not a divisor of the time at which listeners close. */
		const int interval_ms = service_ms / 2 - 13;
		std::vector<std::unique_ptr<Caller>> callers;
		std::vector<std::unique_ptr<Caller>> kept;
		size_t used = 0; /* of those kept */
		guint served = 0;

		start((guint)service_ms);
		settings.grace_s = grace_s;
		aub_node_reload(node, &settings);
		send_requests("POST", "/once/a", 8);
		platform_upstream_set_service_time(upstreams[0], 10);
		for (int i = 0; i < 40; i++)
			kept.push_back(kept_connection());
		platform_upstream_set_service_time(upstreams[0],
						   (guint)service_ms);
		guint runs_before = runs();
		stop();
		while (!stopped && ms_since_stop() < grace_s * 1000) {
			callers.push_back(send_request(
				"POST", "/once/a",
				"r" + std::to_string(callers.size()), "",
				4 * service_ms));
			if (used < kept.size() && !kept[used]->ended)
				kept[used]->send(
					"POST /once/a HTTP/1.1\r\nHost: site\r\n"
					"Request-Id: k" +
					std::to_string(used) + "\r\n\r\n");
			used++;
			run_until([&] { return stopped; }, interval_ms);
		}
		EXPECT_TRUE(stopped);
		EXPECT_LE(ms_since_stop(), grace_s * 1000);
		run_for(50);
		for (const auto &caller : callers) {
			if (!caller->answers)
				/* Refused, or closed before it was read. */
				EXPECT_TRUE(caller->end ==
						    AUB_STREAM_CONNECT_FAILED ||
					    caller->end == AUB_STREAM_EOF);
			else if (caller->status == 200)
				served++;
			else
				EXPECT_EQ(caller->status, 503u);
		}
		for (const auto &caller : kept)
			served += caller->answers == 2 && caller->status == 200;
		EXPECT_GE(served, 1u);
		EXPECT_EQ(runs() - runs_before, served);
	}
};

/* Guards against requests that are accepted during a stop and outlast it. */
TEST_F(GatewayStopTest, RefusesRequestsThatMayOutlastTheProcess)
{
	start(2000);
	stop();
	run_for(700);
	for (const char *path : { "/safe/a", "/once/a" }) {
		auto caller = send_request("POST", path, "late");
		expect_refused(caller, 100);
	}
	EXPECT_EQ(runs(), 0u);
	EXPECT_TRUE(wait_until_stopped());
}

/* Guards against a stop that refuses what would end in time. */
TEST_F(GatewayStopTest, ServesRequestsThatEndBeforeTheProcess)
{
	start(200);
	send_requests("POST", "/once/a", 8);
	stop();
	run_for(700);
	/* Its route's requests are known to be short. */
	auto known = send_request("POST", "/once/a", "known");
	/* Its deadline is before the end of the process. */
	auto brief = send_request("GET", "/safe/a", "brief", "", 700);
	ASSERT_TRUE(wait_for_answer(known));
	EXPECT_EQ(known->status, 200u) << known->body;
	ASSERT_TRUE(wait_for_answer(brief));
	EXPECT_EQ(brief->status, 200u) << brief->body;
	EXPECT_TRUE(wait_until_stopped());
}

/* Guards against taking an upstream that has become stuck for a fast one. */
TEST_F(GatewayStopTest, CountsRequestsThatTimedOutAsLong)
{
	start(20);
	send_requests("POST", "/once/a", 8);
	platform_upstream_set_service_time(upstreams[0], 2500);
	auto stuck = send_request("POST", "/once/a", "stuck", "", 1000);
	ASSERT_TRUE(wait_for_answer(stuck));
	ASSERT_EQ(stuck->status, 504u);
	stop();
	auto late = send_request("POST", "/once/a", "late");
	expect_refused(late, 100);
}

/* Guards against a request that begins its work when its body is complete. */
TEST_F(GatewayStopTest, RefusesRequestWhoseBodyEndsTooLate)
{
	start(200);
	auto caller = send_request("POST", "/once/a", "slow",
				   "Content-Length: 4\r\n");
	run_for(50);
	stop();
	run_for(700);
	caller->send("body");
	expect_refused(caller, 100);
	EXPECT_EQ(runs(), 0u);
}

/* Guards against a second attempt that outlasts the process. */
TEST_F(GatewayStopTest, MakesNoAttemptThatMayOutlastTheProcess)
{
	start(700);
	platform_upstream_set_answer(upstreams[0], PLATFORM_ANSWER_FAILED);
	auto caller = send_request("GET", "/safe/a", "again");
	ASSERT_TRUE(run_until([&] { return runs() == 1; }, 1000));
	/* The second attempt would go there. */
	auto second = add_upstream("u2");
	run_for(300);
	stop();
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 500u);
	EXPECT_LT(ms_since_stop(), 700);
	run_for(200);
	EXPECT_EQ(platform_upstream_runs(second), 0u);
}

/* Guards against a request that waits for a slot until the process ends. */
TEST_F(GatewayStopTest, RefusesRequestThatIsGrantedTooLate)
{
	start(250);
	auto first = send_request("POST", "/once/a", "r1");
	auto second = send_request("POST", "/once/a", "r2");
	ASSERT_TRUE(run_until([&] { return runs() == 2; }, 1000));
	/* Both slots are in use. */
	auto waiting = send_request("POST", "/once/a", "r3");
	run_for(50);
	stop();
	expect_refused(waiting, 1000);
	ASSERT_TRUE(wait_for_answer(first));
	ASSERT_TRUE(wait_for_answer(second));
	EXPECT_EQ(first->status, 200u);
	EXPECT_EQ(second->status, 200u);
	EXPECT_EQ(runs(), 2u);
}

/* Guards against a connection that ends without an answer. */
TEST_F(GatewayStopTest, AnswersRequestsThatAreStillRunningAtTheEnd)
{
	start(2500);
	auto caller = send_request("POST", "/once/a", "long");
	ASSERT_TRUE(run_until([&] { return runs() == 1; }, 1000));
	stop();
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 504u);
	EXPECT_GT(ms_since_stop(), 1600);
	EXPECT_LT(ms_since_stop(), 1800);
	EXPECT_TRUE(wait_until_stopped());
}

/* Guards against an upstream that works on when its gateway has ended. */
TEST_F(GatewayStopTest, HandsOutNoMoreTimeThanTheProcessHas)
{
	start(100);
	send_requests("POST", "/once/a", 8);
	stop();
	run_for(500);
	auto caller = send_request("POST", "/once/a", "late");
	ASSERT_TRUE(wait_for_answer(caller));
	const char *left =
		platform_upstream_header(upstreams[0], "Deadline-Remaining-Ms");
	ASSERT_NE(left, nullptr);
	EXPECT_LE(atoi(left), 1300);
	EXPECT_GT(atoi(left), 500);
}

/* Guards against a grace time that is lowered while the process stops. */
TEST_F(GatewayStopTest, EndsByAGraceTimeThatWasShortened)
{
	start(2500);
	auto caller = send_request("POST", "/once/a", "long");
	ASSERT_TRUE(run_until([&] { return runs() == 1; }, 1000));
	stop();
	settings.grace_s = 1;
	aub_node_reload(node, &settings);
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 504u);
	EXPECT_LT(ms_since_stop(), 1000);
	/* The platform doesn't learn of a longer one in time. */
	settings.grace_s = 60;
	aub_node_reload(node, &settings);
	EXPECT_TRUE(run_until([&] { return stopped; }, 1000));
	EXPECT_LT(ms_since_stop(), 1100);
}

/* Guards against requests of other gateways that outlast the process. */
TEST_F(GatewayStopTest, RelaysNothingThatMayOutlastTheProcess)
{
	start(100);
	stop();
	run_for(300);
	Caller peer(poller, listen_addresses[3]);
	peer.send("GET /safe/a HTTP/1.1\r\nHost: site\r\nRequest-Id: p1\r\n"
		  "Target-Instance: u1\r\nDeadline-Remaining-Ms: 3000\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return peer.done(); }, 1000));
	EXPECT_EQ(peer.status, 502u);
	EXPECT_EQ(peer.relay_failure,
		  aub_relay_failure_name(AUB_RELAY_NO_PATH));
	EXPECT_EQ(runs(), 0u);
}

/* Guards against requests that were sent ahead and get no answer. */
TEST_F(GatewayStopTest, AnswersRequestsThatWereSentAhead)
{
	start(2500);
	Caller caller(poller, listen_addresses[0]);
	auto request = [](const std::string &id) {
		return "GET /safe/a HTTP/1.1\r\nHost: site\r\nRequest-Id: " +
		       id + "\r\nDeadline-Remaining-Ms: 3000\r\n\r\n";
	};
	caller.send(request("p1") + request("p2"));
	ASSERT_TRUE(run_until([&] { return runs() == 2; }, 1000));
	stop();
	run_for(100);
	caller.send(request("p3"));
	ASSERT_TRUE(run_until([&] { return caller.ended; }, 3000));
	EXPECT_EQ(caller.request_ids.size(), 3u);
	EXPECT_EQ(caller.status, 503u);
	EXPECT_FALSE(caller.keep_alive);
	EXPECT_EQ(runs(), 2u);
}

/* Guards against requests late in the grace time that are cut off. */
TEST_F(GatewayStopTest, AnswersRequestsThroughoutTheShortestGraceTime)
{
	expect_answers_through_stop(1);
}

/* The same where callers keep their addresses for a small part of the time. */
TEST_F(GatewayStopTest, AnswersRequestsThroughoutALongGraceTime)
{
	expect_answers_through_stop(8);
}

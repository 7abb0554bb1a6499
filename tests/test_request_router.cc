/*
 * Requests routed through real entries in this process: each caller gets the
 * correct outcome run, not-run or unknown. The tests supply the views, and the
 * upstream records the requests it runs.
 */
#include <gtest/gtest.h>

#include <auburnstile/config.h>
#include <auburnstile/internal/entry_internal.h>

#include <memory>

#include "caller.h"
#include "common/child.h"
#include "scripted_server.h"

static std::string loopback_address(guint port)
{
	return "127.0.0.1:" + std::to_string(port);
}

struct EntryNode {
	std::string name, callers, inner, admin, control;
	guint port = child_pick_free_port();
	struct aub_entry_settings settings = {};
	struct aub_entry *entry;

	explicit EntryNode(const std::string &name_) : name(name_)
	{
		callers = loopback_address(port);
		inner = loopback_address(child_pick_free_port());
		admin = loopback_address(child_pick_free_port());
		control = loopback_address(child_pick_free_port());
		settings.name = (char *)name.c_str();
		settings.zone = (char *)"z";
		settings.callers = (char *)callers.c_str();
		settings.inner = (char *)inner.c_str();
		settings.admin = (char *)admin.c_str();
		settings.control = (char *)control.c_str();
		settings.policy = (char *)"auburnstile";
		settings.stop_ms = 8000;
		settings.event_capacity = 1000;
		settings.key_mb = 4;
		settings.key_keep_s = 60;
		settings.connections = 50;
		settings.seed = 1;
		entry = aub_entry_new(&settings, nullptr);
		g_assert(entry);
	}

	~EntryNode()
	{
		aub_entry_free(entry);
	}

	guint64 incarnation() const
	{
		return entry->hello->incarnation;
	}
};

class RequestRouter : public testing::Test
{
      protected:
	ScriptedServer upstream;
	std::vector<std::unique_ptr<EntryNode>> nodes;
	guint64 config_version = 1;
	guint64 epoch = 1;
	bool serve = true;
	int owner = 0;
	int standby = 1;
	std::vector<guint64> successors = { 0, 0, 0 };
	/* Overrides the relay address of entry c if set. */
	std::string node_c_address;

	void SetUp() override
	{
		for (const char *name : { "a", "b", "c" })
			nodes.push_back(std::make_unique<EntryNode>(name));
		reply("HTTP/1.1 200 OK\r\nX-Boot-Id: 1\r\n"
		      "Content-Length: 4\r\n\r\npaid");
		apply_views();
		/* A new owner warms up for a second. */
		wait_until([&] {
			return send_request(owner, "GET /pay/x", "")
				       .find(" 200") != std::string::npos;
		});
		upstream.requests.clear();
	}

	void TearDown() override
	{
		nodes.clear();
		while (g_main_context_iteration(nullptr, FALSE))
			;
	}

	template <typename Done> static void wait_until(Done done)
	{
		gint64 end = g_get_monotonic_time() + 10000000;

		while (!done() && g_get_monotonic_time() < end)
			g_main_context_iteration(nullptr, FALSE);
		ASSERT_TRUE(done());
	}

	static void run_for(gint64 ms)
	{
		gint64 end = g_get_monotonic_time() + ms * 1000;

		while (g_get_monotonic_time() < end)
			g_main_context_iteration(nullptr, FALSE);
	}

	void reply(const std::string &bytes, bool close = false)
	{
		upstream.script = [bytes, close](const std::string &request) {
			std::string load = "{\"boot_id\":1,\"state\":\"warm\","
					   "\"busy\":0,\"slots\":4}";
			if (request.rfind("GET /load", 0) == 0)
				return ScriptedReply{
					"HTTP/1.1 200 OK\r\nContent-Length: " +
						std::to_string(load.size()) +
						"\r\n\r\n" + load,
					false
				};
			return ScriptedReply{ bytes, close };
		};
	}

	std::string inventory_toml() const
	{
		return "[[zone]]\nname = \"z\"\nregion = \"r\"\nvms = [\"v\"]\n"
		       "[[service]]\nname = \"pay\"\npath = \"/pay\"\n"
		       "deadline_ms = 3000\ncold_ms = 10\n"
		       "probe_budget_us = 1000\nslots = 4\n"
		       "once = [{ method = \"POST\", path = \"/pay/key\", "
		       "key_required = true }, "
		       "{ method = \"POST\", path = \"/pay\" }]\n"
		       "upstreams = [{ name = \"u\", vm = \"v\", address = "
		       "\"" +
		       loopback_address(upstream.port) + "\" }]\n";
	}

	void apply_view(EntryNode &node)
	{
		struct aub_view *view =
			(struct aub_view *)aub_message_new(AUB_MESSAGE_VIEW);
		struct aub_config *config = aub_config_new();
		struct aub_assignment *assignment = aub_assignment_new();

		aub_string_set(&config->inventory_text,
			       inventory_toml().c_str());
		aub_string_set(&config->change, "c");
		aub_string_set(&config->author, "t");
		char *json = aub_config_serialize(config);
		aub_bytes_set(&view->config, json, strlen(json));
		g_free(json);
		aub_config_free(config);
		view->config_version = config_version;
		view->epoch = epoch;
		view->serve = serve;
		view->serve_ms = 60000;
		view->echo = (guint64)(g_get_monotonic_time() / 1000);
		aub_string_set(&assignment->service, "pay");
		aub_string_set(&assignment->owner, nodes[owner]->name.c_str());
		assignment->owner_incarnation = nodes[owner]->incarnation();
		aub_string_set(&assignment->standby,
			       nodes[standby]->name.c_str());
		assignment->standby_incarnation = nodes[standby]->incarnation();
		g_ptr_array_add(view->assignments, assignment);
		for (size_t i = 0; i < nodes.size(); i++) {
			struct aub_member *member = aub_member_new();
			const struct aub_hello *hello = nodes[i]->entry->hello;

			aub_string_set(&member->name, hello->name);
			aub_string_set(&member->zone, hello->zone);
			aub_string_set(&member->inner_address,
				       i == 2 && !node_c_address.empty() ?
					       node_c_address.c_str() :
					       hello->address);
			aub_string_set(&member->callers_address,
				       hello->callers_address);
			member->incarnation = hello->incarnation;
			member->successor = successors[i];
			member->state = successors[i] ? AUB_MEMBER_STOPPED :
							AUB_MEMBER_LIVE;
			g_ptr_array_add(view->members, member);
		}
		aub_entry_view_apply(node.entry->view, view);
		aub_message_free(&view->base);
	}

	void apply_views()
	{
		for (auto &node : nodes)
			apply_view(*node);
	}

	static std::string request(const std::string &line,
				   const std::string &key,
				   const std::string &body,
				   const std::string &headers = "")
	{
		return line + " HTTP/1.1\r\nHost: h\r\n" +
		       (key.empty() ? "" : "Auburnstile-Key: " + key + "\r\n") +
		       headers +
		       "Content-Length: " + std::to_string(body.size()) +
		       "\r\n\r\n" + body;
	}

	std::string send_request(int node, const std::string &line,
				 const std::string &key,
				 const std::string &body = "",
				 const std::string &headers = "")
	{
		Caller caller(nodes[node]->port);
		caller.send(request(line, key, body, headers));
		return caller.read_answer();
	}

	const gint64 issued_s = g_get_real_time() / AUB_SECOND;

	/* Returns a key owned by this node. */
	std::string key(int node, const std::string &text = "k")
	{
		char *grant =
			aub_grant_make(nodes[node]->name.c_str(),
				       nodes[node]->incarnation(), issued_s, 7);
		std::string made = std::string(grant) + "/" + text;
		g_free(grant);
		return made;
	}

	size_t run_count() const
	{
		size_t count = 0;
		for (const std::string &request : upstream.requests)
			count += request.rfind("POST", 0) == 0;
		return count;
	}

	static bool matches(const std::string &answer,
			    const std::string &status,
			    const std::string &outcome,
			    const std::string &reason = "")
	{
		return answer.rfind("HTTP/1.1 " + status, 0) == 0 &&
		       answer.find("Auburnstile-Outcome: " + outcome +
				   "\r\n") != std::string::npos &&
		       (reason.empty() ||
			answer.find("Auburnstile-Reason: " + reason + "\r\n") !=
				std::string::npos);
	}
};

/*
 * A payment is repeated at the same entry, at another entry, with another
 * amount, and by another user. It runs once; the first two repeats get the
 * cached answer and the last two are refused.
 */
TEST_F(RequestRouter, RepeatGetsTheCachedAnswerAtEveryEntry)
{
	for (int node : { 0, 0, 1, 2 }) {
		std::string answer =
			send_request(node, "POST /pay", key(0), "10");
		EXPECT_TRUE(matches(answer, "200", "run")) << answer;
		EXPECT_NE(answer.find("\r\n\r\npaid"), std::string::npos);
	}
	for (int node : { 0, 2 }) {
		EXPECT_TRUE(
			matches(send_request(node, "POST /pay", key(0), "99"),
				"422", "not-run", "key-of-another-request"));
		EXPECT_TRUE(
			matches(send_request(node, "POST /pay", key(0), "10",
					     "Authorization: other\r\n"),
				"422", "not-run"));
	}
	EXPECT_EQ(run_count(), 1u);
}

/*
 * A request is repeated while the first one still runs. It runs once, and both
 * callers get the same outcome.
 */
TEST_F(RequestRouter, RepeatsWaitForTheRunningRequest)
{
	Caller first(nodes[0]->port);
	Caller second(nodes[1]->port);

	reply("");
	first.send(request("POST /pay", key(0), "10"));
	wait_until([&] { return run_count() == 1; });
	second.send(request("POST /pay", key(0), "10"));
	run_for(100);
	EXPECT_EQ(run_count(), 1u);
	EXPECT_TRUE(matches(first.read_answer(), "504", "unknown"));
	EXPECT_TRUE(matches(second.read_answer(), "504", "unknown"));
	EXPECT_EQ(run_count(), 1u);
}

/*
 * The upstream runs a payment and fails before it answers: the request must
 * never be run again.
 */
TEST_F(RequestRouter, RequestThatMayHaveRunIsUnknownAndNotRetried)
{
	reply("", true);
	EXPECT_TRUE(matches(send_request(0, "POST /pay", key(0), "1"), "504",
			    "unknown"));
	reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	for (int node : { 0, 1, 2 })
		EXPECT_TRUE(
			matches(send_request(node, "POST /pay", key(0), "1"),
				"504", "unknown", node ? "" : "kept-unknown"));
	EXPECT_EQ(run_count(), 1u);
	EXPECT_TRUE(matches(send_request(2, "POST /pay", ""), "200", "run"));
}

/*
 * A request that the upstream refused did not run, so the same key may run
 * later.
 */
TEST_F(RequestRouter, RefusedRequestMayRunLaterUnderItsKey)
{
	reply("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
	std::string answer = send_request(2, "POST /pay", key(0), "1",
					  "Auburnstile-Deadline-Ms: 300\r\n");
	EXPECT_NE(answer.find("Outcome: not-run"), std::string::npos) << answer;
	reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	wait_until([&] {
		return matches(send_request(2, "POST /pay", key(0), "1"), "200",
			       "run");
	});
}

/*
 * The caller disconnects during a keyed request. The request continues, and the
 * repeat gets its answer instead of "unknown".
 */
TEST_F(RequestRouter, KeyedRequestContinuesAfterCallerDisconnects)
{
	reply("");
	{
		Caller caller(nodes[0]->port);
		caller.send(request("POST /pay", key(0), "1"));
		wait_until([&] { return run_count() == 1; });
	}
	run_for(200);
	EXPECT_EQ(upstream.closed, 0);
	upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	wait_until([&] {
		return matches(send_request(2, "POST /pay", key(0), "1"), "200",
			       "run");
	});
	EXPECT_EQ(run_count(), 1u);
}

/*
 * A request without a key is cancelled with its caller, which frees its slot.
 */
TEST_F(RequestRouter, UnkeyedRequestIsCancelledWhenCallerDisconnects)
{
	reply("");
	for (int node : { 0, 2 }) {
		int closed = upstream.closed;
		{
			Caller caller(nodes[node]->port);
			caller.send(request("POST /pay", "", "1"));
			wait_until([&] { return !upstream.requests.empty(); });
		}
		wait_until([&] { return upstream.closed > closed; });
		upstream.requests.clear();
	}
}

/*
 * The owner of the key is gone, never existed, or the key names no entry.
 * Nothing runs, and "not-run" is only answered if no entry can have run the
 * request.
 */
TEST_F(RequestRouter, RequestWithUnavailableKeyOwnerNeverRuns)
{
	std::string departed_key = key(2);

	nodes.pop_back();
	apply_views();
	EXPECT_TRUE(matches(send_request(0, "POST /pay", departed_key, "1"),
			    "504", "unknown"));
	EXPECT_TRUE(matches(send_request(0, "POST /pay", "a.1234.0.5/k"), "504",
			    "unknown", "keeper-gone"));
	/*
	 * The grant is outdated: the caller must request a new one, or every
	 * further request would fail.
	 */
	EXPECT_NE(send_request(0, "POST /pay", "a.1234.0.5/k")
			  .find("Auburnstile-Addresses-Stale: 1"),
		  std::string::npos);
	EXPECT_TRUE(matches(send_request(0, "POST /pay", "mine"), "400",
			    "not-run", "key-without-grant"));
	EXPECT_TRUE(matches(send_request(0, "POST /pay/key", ""), "428",
			    "not-run", "key-required"));
	EXPECT_TRUE(
		matches(send_request(0, "GET /none", ""), "404", "not-run"));
	EXPECT_EQ(run_count(), 0u);
}

/*
 * The owner fails: its stand-by dispatches requests, also those from other
 * entries.
 */
TEST_F(RequestRouter, StandbyTakesOverWhenOwnerIsUnavailable)
{
	owner = 2;
	standby = 1;
	epoch++;
	apply_views();
	wait_until([&] {
		return matches(send_request(0, "GET /pay/x", ""), "200", "run");
	});
	nodes.pop_back();
	wait_until([&] {
		return matches(send_request(0, "GET /pay/x", ""), "200", "run");
	});
	wait_until([&] {
		return matches(send_request(1, "GET /pay/x", ""), "200", "run");
	});
}

/*
 * The link to an entry can be opened, but the entry never answers. Requests
 * that it did not receive are dispatched by the stand-by. A request that only
 * this entry may run ends as unknown within seconds and does not run elsewhere.
 */
TEST_F(RequestRouter, UnresponsiveEntryIsBypassed)
{
	ScriptedServer unresponsive;

	unresponsive.script = [](const std::string &) {
		return ScriptedReply{};
	};
	node_c_address = loopback_address(unresponsive.port);
	owner = 2;
	standby = 1;
	epoch++;
	apply_views();
	wait_until([&] {
		return matches(send_request(0, "GET /pay/x", ""), "200", "run");
	});
	EXPECT_TRUE(
		matches(send_request(0, "POST /pay", "", "1"), "200", "run"));
	EXPECT_TRUE(matches(send_request(0, "POST /pay", key(0), "1"), "200",
			    "run"));
	EXPECT_EQ(run_count(), 2u);
	EXPECT_TRUE(matches(send_request(0, "POST /pay", key(2), "1"), "504",
			    "unknown", "keeper-unreachable"));
	EXPECT_EQ(run_count(), 2u);
	EXPECT_GT(unresponsive.connections, 0);
}

/*
 * Views may arrive late or be stale: versions never decrease and such a view
 * does not renew the lease.
 */
TEST_F(RequestRouter, OnlyCurrentViewsRenewTheServingLease)
{
	struct aub_entry_view *entry_view = nodes[0]->entry->view;

	config_version = 5;
	epoch = 5;
	apply_view(*nodes[0]);
	config_version = 3;
	epoch = 4;
	apply_view(*nodes[0]);
	EXPECT_EQ(aub_entry_view_config_version(entry_view), 5u);
	EXPECT_EQ(aub_entry_view_epoch(entry_view), 5u);
	serve = false;
	apply_view(*nodes[0]);
	EXPECT_TRUE(matches(send_request(0, "GET /pay/x", ""), "503", "not-run",
			    "not-serving"));
	/*
	 * By its view it owns the service, yet it directs callers to other
	 * entries.
	 */
	std::string addresses =
		send_request(0, "GET /.auburnstile/addresses?service=pay", "");
	EXPECT_EQ(addresses.find(loopback_address(nodes[0]->port)),
		  std::string::npos);
	EXPECT_NE(addresses.find(loopback_address(nodes[1]->port)),
		  std::string::npos);
	EXPECT_NE(send_request(0, "GET /pay/x", "").find("Addresses-Stale: 1"),
		  std::string::npos);
	serve = true;
	apply_view(*nodes[0]);
	EXPECT_FALSE(aub_entry_view_serving(entry_view));
	config_version = epoch = 5;
	apply_view(*nodes[0]);
	EXPECT_TRUE(aub_entry_view_serving(entry_view));
}

static void on_stopped(void *context)
{
	*static_cast<bool *>(context) = true;
}

/*
 * The key owner stops as planned and its keys are transferred to a successor. A
 * repeat at any entry still gets the cached answer, and a key that was granted
 * but never used can still run.
 */
TEST_F(RequestRouter, PlannedStopTransfersKeysToSuccessor)
{
	bool stopped = false;

	EXPECT_TRUE(matches(send_request(2, "POST /pay", key(2), "1"), "200",
			    "run"));
	aub_entry_stop(nodes[2]->entry, on_stopped, &stopped);
	EXPECT_NE(send_request(2, "GET /pay/x", "").find("Addresses-Stale: 1"),
		  std::string::npos);
	wait_until([&] { return stopped; });
	EXPECT_NE(nodes[2]->entry->successor, 0u);
	successors[2] = nodes[2]->entry->successor;
	std::string unused_key = key(2, "unseen");
	std::string used_key = key(2);
	apply_views();
	for (int node : { 0, 1 })
		EXPECT_TRUE(
			matches(send_request(node, "POST /pay", used_key, "1"),
				"200", "run"));
	EXPECT_EQ(run_count(), 1u);
	for (int node : { 0, 1 })
		EXPECT_TRUE(matches(send_request(node, "POST /pay", unused_key,
						 "1"),
				    "200", "run"));
	EXPECT_EQ(run_count(), 2u);
}

/*
 * Callers are directed to the owner, and no admin endpoint is reachable by
 * them.
 */
TEST_F(RequestRouter, AddressesListTheOwnerFirst)
{
	std::string answer =
		send_request(2, "GET /.auburnstile/addresses?service=pay", "");
	size_t a = answer.find(nodes[0]->callers);
	size_t b = answer.find(nodes[1]->callers);

	EXPECT_LT(a, b);
	EXPECT_NE(answer.find("\"grant\":\"a."), std::string::npos);
	EXPECT_NE(send_request(2, "GET /.auburnstile/addresses?path=/pay/x", "")
			  .find("\"service\":\"pay\""),
		  std::string::npos);
	EXPECT_TRUE(
		matches(send_request(0, "GET /.auburnstile/addresses?service=q",
				     ""),
			"404", "not-run"));
	EXPECT_TRUE(matches(send_request(0, "GET /v1/dispatch", ""), "404",
			    "not-run"));
	EXPECT_TRUE(
		matches(send_request(0, "GET /metrics", ""), "404", "not-run"));
}

/*
 * The way of a request through entries: each caller hears run, not-run or
 * unknown, and it is true. Whole entries in this process, views given by
 * hand, upstreams that write down what they ran.
 */
#include <gtest/gtest.h>

#include <auburnstile/config.h>
#include <auburnstile/internal/entry_parts.h>

#include <memory>

#include "caller.h"
#include "common/child.h"
#include "peer.h"

static std::string at(guint port)
{
	return "127.0.0.1:" + std::to_string(port);
}

struct Node {
	std::string name, callers, inner, admin, control;
	guint port = child_pick_free_port();
	struct aub_entry_settings settings = {};
	struct aub_entry *entry;

	explicit Node(const std::string &name_) : name(name_)
	{
		callers = at(port);
		inner = at(child_pick_free_port());
		admin = at(child_pick_free_port());
		control = at(child_pick_free_port());
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

	~Node()
	{
		aub_entry_free(entry);
	}

	guint64 incarnation() const
	{
		return entry->hello->incarnation;
	}
};

class Front : public testing::Test
{
      protected:
	Peer upstream;
	std::vector<std::unique_ptr<Node>> nodes;
	guint64 config_version = 1;
	guint64 epoch = 1;
	bool serve = true;
	int owner = 0;
	int standby = 1;
	std::vector<guint64> heirs = { 0, 0, 0 };
	std::string c_inner; /* in place of c's real address, if set */

	void SetUp() override
	{
		for (const char *name : { "a", "b", "c" })
			nodes.push_back(std::make_unique<Node>(name));
		reply("HTTP/1.1 200 OK\r\nX-Boot-Id: 1\r\n"
		      "Content-Length: 4\r\n\r\npaid");
		views();
		/* A new owner settles for a second. */
		until([&] {
			return ask(owner, "GET /pay/x", "").find(" 200") !=
			       std::string::npos;
		});
		upstream.requests.clear();
	}

	void TearDown() override
	{
		nodes.clear();
		while (g_main_context_iteration(nullptr, FALSE))
			;
	}

	template <typename Done> static void until(Done done)
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
				return PeerReply{
					"HTTP/1.1 200 OK\r\nContent-Length: " +
						std::to_string(load.size()) +
						"\r\n\r\n" + load,
					false
				};
			return PeerReply{ bytes, close };
		};
	}

	std::string toml() const
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
		       at(upstream.port) + "\" }]\n";
	}

	void view(Node &node)
	{
		struct aub_view *view =
			(struct aub_view *)aub_message_new(AUB_MESSAGE_VIEW);
		struct aub_config *config = aub_config_new();
		struct aub_assignment *assignment = aub_assignment_new();

		aub_string_set(&config->text, toml().c_str());
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
				       i == 2 && !c_inner.empty() ?
					       c_inner.c_str() :
					       hello->address);
			aub_string_set(&member->callers_address,
				       hello->callers_address);
			member->incarnation = hello->incarnation;
			member->heir = heirs[i];
			member->state =
				heirs[i] ? AUB_MEMBER_STOPPED : AUB_MEMBER_LIVE;
			g_ptr_array_add(view->members, member);
		}
		aub_entry_view_apply(node.entry->view, view);
		aub_message_free(&view->base);
	}

	void views()
	{
		for (auto &node : nodes)
			view(*node);
	}

	static std::string request(const std::string &line,
				   const std::string &key,
				   const std::string &body,
				   const std::string &more = "")
	{
		return line + " HTTP/1.1\r\nHost: h\r\n" +
		       (key.empty() ? "" : "Auburnstile-Key: " + key + "\r\n") +
		       more + "Content-Length: " + std::to_string(body.size()) +
		       "\r\n\r\n" + body;
	}

	std::string ask(int node, const std::string &line,
			const std::string &key, const std::string &body = "",
			const std::string &more = "")
	{
		Caller caller(nodes[node]->port);
		caller.send(request(line, key, body, more));
		return caller.answer();
	}

	const gint64 issued_s = g_get_real_time() / AUB_SECOND;

	/* A key kept by this node. */
	std::string key(int node, const std::string &text = "k")
	{
		char *grant =
			aub_grant_make(nodes[node]->name.c_str(),
				       nodes[node]->incarnation(), issued_s, 7);
		std::string made = std::string(grant) + "/" + text;
		g_free(grant);
		return made;
	}

	size_t ran() const
	{
		size_t count = 0;
		for (const std::string &request : upstream.requests)
			count += request.rfind("POST", 0) == 0;
		return count;
	}

	static bool says(const std::string &answer, const std::string &status,
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
 * A parent pays and sends it again: through the same entry, through another,
 * with another amount, as somebody else. It ran once; the first two repeats
 * get the kept answer, the last two nothing.
 */
TEST_F(Front, ARepeatGetsTheKeptAnswerWhereverItArrives)
{
	for (int node : { 0, 0, 1, 2 }) {
		std::string answer = ask(node, "POST /pay", key(0), "10");
		EXPECT_TRUE(says(answer, "200", "run")) << answer;
		EXPECT_NE(answer.find("\r\n\r\npaid"), std::string::npos);
	}
	for (int node : { 0, 2 }) {
		EXPECT_TRUE(says(ask(node, "POST /pay", key(0), "99"), "422",
				 "not-run", "key-of-another-request"));
		EXPECT_TRUE(says(ask(node, "POST /pay", key(0), "10",
				     "Authorization: other\r\n"),
				 "422", "not-run"));
	}
	EXPECT_EQ(ran(), 1u);
}

/*
 * The caller repeats while the first still runs, then both connections and a
 * third wait for one end. It runs once, and all get its answer.
 */
TEST_F(Front, RepeatsOfARunningRequestWaitForItsEnd)
{
	Caller first(nodes[0]->port);
	Caller second(nodes[1]->port);

	reply("");
	first.send(request("POST /pay", key(0), "10"));
	until([&] { return ran() == 1; });
	second.send(request("POST /pay", key(0), "10"));
	run_for(100);
	EXPECT_EQ(ran(), 1u);
	EXPECT_TRUE(says(first.answer(), "504", "unknown"));
	EXPECT_TRUE(says(second.answer(), "504", "unknown"));
	EXPECT_EQ(ran(), 1u);
}

/* The upstream runs a payment and dies before it answers: never again. */
TEST_F(Front, WhatMayHaveRunIsUnknownAndNotRunAgain)
{
	reply("", true);
	EXPECT_TRUE(says(ask(0, "POST /pay", key(0), "1"), "504", "unknown"));
	reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	for (int node : { 0, 1, 2 })
		EXPECT_TRUE(says(ask(node, "POST /pay", key(0), "1"), "504",
				 "unknown", node ? "" : "kept-unknown"));
	EXPECT_EQ(ran(), 1u);
	EXPECT_TRUE(says(ask(2, "POST /pay", ""), "200", "run"));
}

/* The upstream's own refusals are not runs: the same key may run later. */
TEST_F(Front, ARefusedRequestMayRunLaterUnderItsKey)
{
	reply("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
	std::string answer = ask(2, "POST /pay", key(0), "1",
				 "Auburnstile-Deadline-Ms: 300\r\n");
	EXPECT_NE(answer.find("Outcome: not-run"), std::string::npos) << answer;
	reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	until([&] {
		return says(ask(2, "POST /pay", key(0), "1"), "200", "run");
	});
}

/*
 * The caller leaves in the middle of a keyed request. It runs on, and the
 * repeat gets its answer instead of "unknown".
 */
TEST_F(Front, AKeyedRequestRunsOnWithoutItsCaller)
{
	reply("");
	{
		Caller caller(nodes[0]->port);
		caller.send(request("POST /pay", key(0), "1"));
		until([&] { return ran() == 1; });
	}
	run_for(200);
	EXPECT_EQ(upstream.closed, 0);
	upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	until([&] {
		return says(ask(2, "POST /pay", key(0), "1"), "200", "run");
	});
	EXPECT_EQ(ran(), 1u);
}

/* Any other request is given up with its caller: its slot is free again. */
TEST_F(Front, OtherRequestsAreCancelledWithTheirCaller)
{
	reply("");
	for (int node : { 0, 2 }) {
		int closed = upstream.closed;
		{
			Caller caller(nodes[node]->port);
			caller.send(request("POST /pay", "", "1"));
			until([&] { return !upstream.requests.empty(); });
		}
		until([&] { return upstream.closed > closed; });
		upstream.requests.clear();
	}
}

/*
 * Keys whose keeper is gone, never was, or is no entry at all. Nothing runs,
 * and only what no entry can have run is called not run.
 */
TEST_F(Front, KeysWithoutTheirKeeperNeverRun)
{
	std::string gone = key(2);

	nodes.pop_back();
	views();
	EXPECT_TRUE(says(ask(0, "POST /pay", gone, "1"), "504", "unknown"));
	EXPECT_TRUE(says(ask(0, "POST /pay", "a.1234.0.5/k"), "504", "unknown",
			 "keeper-gone"));
	/* The caller's grant is old: it must ask anew, or lose every request.
	 */
	EXPECT_NE(ask(0, "POST /pay", "a.1234.0.5/k")
			  .find("Auburnstile-Addresses-Stale: 1"),
		  std::string::npos);
	EXPECT_TRUE(says(ask(0, "POST /pay", "mine"), "400", "not-run",
			 "key-without-grant"));
	EXPECT_TRUE(says(ask(0, "POST /pay/key", ""), "428", "not-run",
			 "key-required"));
	EXPECT_TRUE(says(ask(0, "GET /none", ""), "404", "not-run"));
	EXPECT_EQ(ran(), 0u);
}

/* The owner dies: its stand-by takes requests, also from other entries. */
TEST_F(Front, TheStandbyActsWhenTheOwnerIsGone)
{
	owner = 2;
	standby = 1;
	epoch++;
	views();
	until([&] { return says(ask(0, "GET /pay/x", ""), "200", "run"); });
	nodes.pop_back();
	until([&] { return says(ask(0, "GET /pay/x", ""), "200", "run"); });
	until([&] { return says(ask(1, "GET /pay/x", ""), "200", "run"); });
}

/*
 * The link to the owner swallows bytes: it opens, and nothing ever comes
 * back. What was never taken goes to the stand-by; what only the silent one
 * may run is unknown, within seconds, and runs nowhere else.
 */
TEST_F(Front, ASilentEntryIsPassedBy)
{
	Peer silent;

	silent.script = [](const std::string &) { return PeerReply{}; };
	c_inner = at(silent.port);
	owner = 2;
	standby = 1;
	epoch++;
	views();
	until([&] { return says(ask(0, "GET /pay/x", ""), "200", "run"); });
	EXPECT_TRUE(says(ask(0, "POST /pay", "", "1"), "200", "run"));
	EXPECT_TRUE(says(ask(0, "POST /pay", key(0), "1"), "200", "run"));
	EXPECT_EQ(ran(), 2u);
	EXPECT_TRUE(says(ask(0, "POST /pay", key(2), "1"), "504", "unknown",
			 "keeper-unreachable"));
	EXPECT_EQ(ran(), 2u);
	EXPECT_GT(silent.connections, 0);
}

/* Views may be late or stale: versions never go back, leave isn't renewed. */
TEST_F(Front, OnlyCurrentViewsGiveLeaveToServe)
{
	struct aub_entry_view *held = nodes[0]->entry->view;

	config_version = 5;
	epoch = 5;
	view(*nodes[0]);
	config_version = 3;
	epoch = 4;
	view(*nodes[0]);
	EXPECT_EQ(aub_entry_view_config_version(held), 5u);
	EXPECT_EQ(aub_entry_view_epoch(held), 5u);
	serve = false;
	view(*nodes[0]);
	EXPECT_TRUE(says(ask(0, "GET /pay/x", ""), "503", "not-run",
			 "not-serving"));
	/* It owns the service by its picture, yet sends callers elsewhere. */
	std::string where =
		ask(0, "GET /.auburnstile/addresses?service=pay", "");
	EXPECT_EQ(where.find(at(nodes[0]->port)), std::string::npos);
	EXPECT_NE(where.find(at(nodes[1]->port)), std::string::npos);
	EXPECT_NE(ask(0, "GET /pay/x", "").find("Addresses-Stale: 1"),
		  std::string::npos);
	serve = true;
	view(*nodes[0]);
	EXPECT_FALSE(aub_entry_view_serving(held));
	config_version = epoch = 5;
	view(*nodes[0]);
	EXPECT_TRUE(aub_entry_view_serving(held));
}

static void note_stop(void *context)
{
	*static_cast<bool *>(context) = true;
}

/*
 * The keeper stops in order. Its keys go to an heir: a repeat still gets the
 * kept answer, through any entry, also under a key it never saw.
 */
TEST_F(Front, APlannedStopHandsTheKeysOver)
{
	bool stopped = false;

	EXPECT_TRUE(says(ask(2, "POST /pay", key(2), "1"), "200", "run"));
	aub_entry_stop(nodes[2]->entry, note_stop, &stopped);
	EXPECT_NE(ask(2, "GET /pay/x", "").find("Addresses-Stale: 1"),
		  std::string::npos);
	until([&] { return stopped; });
	EXPECT_NE(nodes[2]->entry->heir, 0u);
	heirs[2] = nodes[2]->entry->heir;
	std::string unseen = key(2, "unseen");
	std::string seen = key(2);
	views();
	for (int node : { 0, 1 })
		EXPECT_TRUE(
			says(ask(node, "POST /pay", seen, "1"), "200", "run"));
	EXPECT_EQ(ran(), 1u);
	for (int node : { 0, 1 })
		EXPECT_TRUE(says(ask(node, "POST /pay", unseen, "1"), "200",
				 "run"));
	EXPECT_EQ(ran(), 2u);
}

/* Callers are sent to the owner; nothing else of the project is served. */
TEST_F(Front, AddressesNameTheOwnerFirst)
{
	std::string answer =
		ask(2, "GET /.auburnstile/addresses?service=pay", "");
	size_t a = answer.find(nodes[0]->callers);
	size_t b = answer.find(nodes[1]->callers);

	EXPECT_LT(a, b);
	EXPECT_NE(answer.find("\"grant\":\"a."), std::string::npos);
	EXPECT_NE(ask(2, "GET /.auburnstile/addresses?path=/pay/x", "")
			  .find("\"service\":\"pay\""),
		  std::string::npos);
	EXPECT_TRUE(says(ask(0, "GET /.auburnstile/addresses?service=q", ""),
			 "404", "not-run"));
	EXPECT_TRUE(says(ask(0, "GET /v1/dispatch", ""), "404", "not-run"));
	EXPECT_TRUE(says(ask(0, "GET /metrics", ""), "404", "not-run"));
}

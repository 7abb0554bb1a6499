/*
 * A gateway process with a simulated store, simulated upstreams and raw
 * callers, all in the test's main loop.
 */
#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H

#include "addresses.h"

#include <gtest/gtest.h>

#include <auburnstile/internal/node.h>
#include <auburnstile/internal/peer_relay.h>
#include <auburnstile/internal/tcp.h>
#include <platform/body.h>
#include <platform/store.h>
#include <platform/upstream.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

/* Runs the main loop until `done` returns true, for at most `ms`. */
static inline bool run_until(const std::function<bool()> &done, int ms)
{
	gint64 end = g_get_monotonic_time() + ms * 1000;
	guint wake = g_timeout_add(
		1, [](void *) -> gboolean { return G_SOURCE_CONTINUE; }, NULL);

	while (!done() && g_get_monotonic_time() < end)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(wake);
	return done();
}

static inline void run_for(int ms)
{
	run_until([] { return false; }, ms);
}

/* A caller's connection and the answers received on it. */
class Caller
{
      public:
	guint status = 0;
	guint answers = 0;
	std::string body;
	std::string last_request_id;
	std::vector<std::string> request_ids; /* of all answers, in order */
	std::vector<size_t> body_lengths; /* of all answers, in order */
	std::string retry_after;
	std::string relay_failure; /* of a gateway that relays */
	bool not_run = false;
	bool keep_alive = false;
	bool ended = false;
	bool truncated = false;
	enum aub_stream_end_reason end = AUB_STREAM_EOF;

	Caller(struct aub_poller *poller, const std::string &address)
	{
		static const struct aub_http_callbacks callbacks = {
			.connected = NULL,
			.head = on_head,
			.body = on_body,
			.complete = on_complete,
			.drained = NULL,
			.rejected = NULL,
			.ended = on_ended,
		};

		stream_ = aub_http_stream_new(
			poller, aub_tcp_connect(address.c_str(), NULL),
			HTTP_RESPONSE, true, 65536, &callbacks, this);
	}
	~Caller()
	{
		disconnect();
	}
	void send(const std::string &text)
	{
		aub_http_stream_write(stream_, text.data(), text.size());
		aub_http_stream_flush(stream_);
	}
	void disconnect()
	{
		if (stream_)
			aub_http_stream_free(stream_);
		stream_ = NULL;
	}
	void set_reading_paused(bool paused)
	{
		aub_http_stream_pause_reading(stream_, paused);
	}
	/* Returns whether an answer or the end of the connection arrived. */
	bool done() const
	{
		return answers > 0 || ended;
	}

      private:
	static const size_t KEPT_BODY_BYTES = 16u << 20;

	struct aub_http_stream *stream_;
	size_t body_length = 0; /* of the current answer */

	static void on_head(const struct aub_http_head *head, void *context)
	{
		Caller *self = (Caller *)context;
		const char *id = aub_http_head_find(head, "Request-Id");
		const char *after = aub_http_head_find(head, "Retry-After");

		self->status = head->status;
		self->keep_alive = head->keep_alive;
		self->last_request_id = id ? id : "";
		self->request_ids.push_back(self->last_request_id);
		self->retry_after = after ? after : "";
		const char *failure =
			aub_http_head_find(head, AUB_RELAY_FAILURE_HEADER);
		self->relay_failure = failure ? failure : "";
		self->not_run = aub_http_head_find(head, "Not-Executed");
		self->body.clear();
		self->body_length = 0;
	}
	/*
	 * Keeps the begin of an endless body only: the time that a long string
	 * takes to grow would count as the gateway's.
	 */
	static void on_body(const char *data, gsize length, void *context)
	{
		Caller *self = (Caller *)context;

		self->body_length += length;
		if (self->body.size() < KEPT_BODY_BYTES)
			self->body.append(data, length);
	}
	static void on_complete(void *context)
	{
		Caller *self = (Caller *)context;

		self->answers++;
		self->body_lengths.push_back(self->body_length);
		aub_http_stream_resume(self->stream_);
	}
	static void on_ended(enum aub_stream_end_reason end, bool midway,
			     void *context)
	{
		Caller *self = (Caller *)context;

		self->ended = true;
		self->end = end;
		self->truncated = midway;
	}
};

class GatewayTest : public ::testing::Test
{
      protected:
	struct aub_timer_service *timers;
	struct aub_poller *poller;
	struct platform_store *store;
	std::vector<struct platform_upstream *> upstreams;
	struct aub_node *node = NULL;
	struct aub_node_settings settings = {};
	std::vector<std::string> listen_addresses;
	int max_attempts = 2;
	int timeout_ms = 1000;
	int brief_timeout_ms = 150;
	int max_body_bytes = 1048576;
	int max_header_bytes = 4096;
	int version = 1;
	double rollout_share = 0; /* share of requests to a new version */
	std::string seed; /* another gateway's address; empty: none */

	void SetUp() override
	{
		timers = aub_timer_service_new(NULL);
		poller = aub_poller_new();
		store = platform_store_new(poller, timers);
	}
	void TearDown() override
	{
		aub_node_free(node);
		aub_settings_clear(aub_node_settings_table, &settings);
		for (struct platform_upstream *upstream : upstreams)
			platform_upstream_free(upstream);
		platform_store_free(store);
		aub_poller_free(poller);
		aub_timer_service_free(timers);
	}
	/*
	 * Routes /safe/, /once/ and /brief/, with a timeout below its target,
	 * of host "site" to service "svc".
	 */
	void configure()
	{
		char *text = g_strdup_printf(
			"{\"version\":%d,\"routes\":{\"columns\":[\"name\","
			"\"host\",\"path_prefix\",\"kind\",\"timeout_ms\","
			"\"target_latency_ms\",\"priority\",\"traffic_split\","
			"\"max_attempts\",\"service\"],\"rows\":["
			"[\"r1\",\"site\",\"/safe/\",\"safe\",%d,600,2,null,%d,"
			"\"svc\"],[\"r2\",\"site\",\"/once/\",\"unsafe\",%d,600,"
			"1,null,%d,\"svc\"],[\"r3\",\"site\",\"/brief/\",\"safe\","
			"%d,600,2,null,%d,\"svc\"]]},\"services\":{\"columns\":["
			"\"name\",\"health_path\",\"max_conns\",\"protocol\","
			"\"tls\",\"warmup_s\",\"warmup_per_s\"],\"rows\":[["
			"\"svc\",\"/health\",220,\"h1\",false,3.0,2.1]]},"
			"\"limits\":{\"max_header_bytes\":%d,"
			"\"max_body_bytes\":%d,\"header_timeout_ms\":1000,"
			"\"idle_timeout_ms\":3000}}",
			version++, timeout_ms, max_attempts, timeout_ms,
			max_attempts, brief_timeout_ms, max_attempts,
			max_header_bytes, max_body_bytes);

		platform_store_put(store, "config", "main", text);
		g_free(text);
	}
	struct platform_upstream *add_upstream(const std::string &id,
					       const std::string &zone = "z1")
	{
		struct platform_upstream *upstream =
			platform_upstream_new(poller, timers, id.c_str());

		upstreams.push_back(upstream);
		register_upstream(upstream, "ready", zone);
		return upstream;
	}
	void register_upstream(struct platform_upstream *upstream,
			       const std::string &state,
			       const std::string &zone = "z1",
			       int warmup_ms = 0,
			       const std::string &release = "v1", int born = 7)
	{
		char *text = g_strdup_printf(
			"{\"address\":\"%s\",\"details\":{\"service\":\"svc\","
			"\"version\":\"%s\",\"zone\":\"%s\",\"slots\":2},"
			"\"status\":{\"state\":\"%s\",\"sequence\":1,"
			"\"warmup_left_ms\":%d},\"born\":%d}",
			platform_upstream_address(upstream), release.c_str(),
			zone.c_str(), state.c_str(), warmup_ms, born);

		platform_store_put(store, "servers",
				   platform_upstream_id(upstream), text);
		g_free(text);
	}
	/* `addresses` are its listeners, in the order of the settings. */
	void fill_settings(struct aub_node_settings &own,
			   const std::string &name, const std::string &zone,
			   const std::vector<std::string> &addresses)
	{
		own.name = g_strdup(name.c_str());
		own.zone = g_strdup(zone.c_str());
		own.callers = g_strdup(addresses[0].c_str());
		own.directory = g_strdup(addresses[1].c_str());
		own.readiness = g_strdup(addresses[2].c_str());
		own.peers = g_strdup(addresses[3].c_str());
		own.metrics = g_strdup(addresses[4].c_str());
		own.store = g_strdup(platform_store_address(store));
		if (!seed.empty()) {
			own.seeds = g_new0(char *, 2);
			own.seeds[0] = g_strdup(seed.c_str());
		}
		own.bootstrap = true;
		own.grace_s = 2;
		own.retry_percent = 20;
		own.retry_ratio = -1;
		own.retry_slack = 50;
		own.retry_window_s = 10;
		own.address_ms = 300;
		own.rollout_share = rollout_share;
		own.rollout_slack = 50;
	}
	void start_node()
	{
		GError *error = NULL;

		for (int i = 0; i < 5; i++)
			listen_addresses.push_back(free_address());
		fill_settings(settings, "g1", "z1", listen_addresses);
		node = aub_node_new(&settings, &aub_platform, timers, &error);
		ASSERT_NE(node, nullptr) << error->message;
	}
	/* Returns the message body that encodes `json`. */
	static std::string pack_json(const std::string &json)
	{
		GBytes *bytes = platform_body_pack(json.data(), json.size());
		gsize length;
		const char *data =
			(const char *)g_bytes_get_data(bytes, &length);
		std::string body(data, length);

		g_bytes_unref(bytes);
		return body;
	}
	/* Sends a GET request and returns the status. */
	guint http_get(const std::string &address, const std::string &target,
		       std::string *body = NULL)
	{
		Caller caller(poller, address);

		caller.send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
		run_until([&] { return caller.done(); }, 2000);
		if (body)
			*body = caller.body;
		return caller.status;
	}
	void start_and_wait_until_ready()
	{
		start_node();
		ASSERT_TRUE(run_until(
			[&] {
				return http_get(listen_addresses[2],
						"/ready") == 200;
			},
			5000));
		/* Wait until the placer has probed all upstreams. */
		ASSERT_TRUE(run_until(
			[&] {
				for (auto upstream : upstreams)
					if (!platform_upstream_probes(upstream))
						return false;
				return true;
			},
			3000));
		run_for(20);
	}
	std::unique_ptr<Caller> send_request(const std::string &method,
					     const std::string &target,
					     const std::string &id,
					     const std::string &extra = "",
					     int deadline_ms = 3000)
	{
		std::unique_ptr<Caller> caller(
			new Caller(poller, listen_addresses[0]));

		caller->send(method + " " + target +
			     " HTTP/1.1\r\nHost: site\r\nRequest-Id: " + id +
			     "\r\nDeadline-Remaining-Ms: " +
			     std::to_string(deadline_ms) + "\r\n" + extra +
			     "\r\n");
		return caller;
	}
	bool wait_for_answer(const std::unique_ptr<Caller> &caller,
			     int ms = 4000)
	{
		return run_until([&] { return caller->done(); }, ms);
	}
};

#endif

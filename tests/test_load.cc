/*
 * Tests that the load generator detects invalid responses (of another request,
 * with a corrupt body, or without a valid outcome) and outcomes that contradict
 * the oracle.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "common/tool.h"
#include "load/load.h"

namespace
{

using Handler = std::function<void(SoupServerMessage *, const std::string &)>;

/* An entry whose responses are set by the test. */
class FakeEntry
{
      public:
	explicit FakeEntry(Handler handle) : handler(handle)
	{
		guint16 port = 0;

		server = soup_server_new(NULL, NULL);
		soup_server_add_handler(server, "/.auburnstile/addresses",
					on_addresses, this, NULL);
		soup_server_add_handler(server, NULL, on_request, this, NULL);
		EXPECT_TRUE(tool_listen(server, "127.0.0.1:0", &port, NULL));
		address = "127.0.0.1:" + std::to_string(port);
	}

	~FakeEntry()
	{
		soup_server_disconnect(server);
		g_object_unref(server);
	}

	std::string address;
	std::vector<std::string> keys;
	int lookups = 0;

      private:
	static void on_addresses(SoupServer *, SoupServerMessage *message,
				 const char *, GHashTable *, gpointer data)
	{
		FakeEntry *entry = static_cast<FakeEntry *>(data);
		std::string text = "{\"addresses\":[{\"address\":\"" +
				   entry->address +
				   "\"}],\"valid_ms\":60000,\"grant\":\"G\"}";

		entry->lookups++;
		tool_answer_text(message, 200, text.c_str());
	}

	static void on_request(SoupServer *, SoupServerMessage *message,
			       const char *, GHashTable *, gpointer data)
	{
		FakeEntry *entry = static_cast<FakeEntry *>(data);
		SoupMessageHeaders *headers =
			soup_server_message_get_request_headers(message);
		const char *key =
			soup_message_headers_get_one(headers,
						     "Auburnstile-Key");

		if (key)
			entry->keys.push_back(key);
		entry->handler(message,
			       soup_message_headers_get_one(headers,
							    "X-Nonce"));
	}

	SoupServer *server;
	Handler handler;
};

void set_header(SoupServerMessage *message, const char *name, const char *value)
{
	soup_message_headers_replace(soup_server_message_get_response_headers(
					     message),
				     name, value);
}

void answer_correctly(SoupServerMessage *message, const std::string &nonce)
{
	SoupMessageBody *got = soup_server_message_get_request_body(message);
	std::string body = "nonce=" + nonce + "\nrest";
	char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
						  body.c_str(), -1);
	char *sent = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
						 (const guchar *)got->data,
						 got->length);

	tool_answer_text(message, 200, body.c_str());
	set_header(message, "Auburnstile-Outcome", "run");
	set_header(message, "X-Nonce", nonce.c_str());
	set_header(message, "X-Body-Sha256", sum);
	set_header(message, "X-Request-Sha256", sent);
	g_free(sum);
	g_free(sent);
}

struct Outcome {
	struct load_stats stats;
	struct load_comparison comparison;
	std::vector<std::string> keys;
	int lookups;
};

Outcome run_load(Handler handler, bool keyed = false, const char *oracle = "{}",
		 guint deadline_ms = 600)
{
	FakeEntry entry(handler);
	const char *entries[] = { entry.address.c_str(), NULL };
	struct load_service service = { "calendar", "/calendar", 1, keyed };
	struct load_options options = {};
	JsonNode *root = json_from_string(oracle, NULL);
	Outcome result;

	options.entries = entries;
	options.services = &service;
	options.service_count = 1;
	options.rate = 500;
	options.requests = 2;
	options.deadline_ms = deadline_ms;
	options.retry = true;
	options.seed = 1;
	struct load *load = load_new(&options);
	load_run(load);
	load_get_stats(load, &result.stats);
	load_compare(load, json_node_get_object(root), &result.comparison);
	load_free(load);
	json_node_unref(root);
	result.keys = entry.keys;
	result.lookups = entry.lookups;
	return result;
}

} // namespace

TEST(Load, AcceptsCompleteAnswersAndCachesAddresses)
{
	Outcome result = run_load(answer_correctly, true);

	EXPECT_EQ(result.stats.outcomes[LOAD_RUN], 2u);
	EXPECT_EQ(result.lookups, 1);
	std::sort(result.keys.begin(), result.keys.end());
	EXPECT_EQ(result.keys,
		  std::vector<std::string>({ "G/k-1-0", "G/k-1-1" }));
	EXPECT_EQ(result.comparison.false_run, 2u);
}

TEST(Load, ReportsEachKindOfInvalidAnswer)
{
	std::vector<Handler> handlers = {
		[](SoupServerMessage *m, const std::string &n) {
			answer_correctly(m, n + "x");
		},
		[](SoupServerMessage *m, const std::string &n) {
			answer_correctly(m, n + "x");
			set_header(m, "X-Nonce", n.c_str());
		},
		[](SoupServerMessage *m, const std::string &n) {
			answer_correctly(m, n);
			set_header(m, "X-Body-Sha256", "0");
		},
		[](SoupServerMessage *m, const std::string &n) {
			answer_correctly(m, n);
			set_header(m, "X-Request-Sha256", "0");
		},
		[](SoupServerMessage *m, const std::string &n) {
			answer_correctly(m, n);
			set_header(m, "Auburnstile-Outcome", "maybe");
		},
	};

	for (const Handler &handler : handlers)
		EXPECT_EQ(run_load(handler).stats.outcomes[LOAD_INVALID], 2u);
}

TEST(Load, RetriesLostAttemptsWithTheSameKey)
{
	int attempts = 0;
	Outcome result = run_load(
		[&](SoupServerMessage *m, const std::string &n) {
			if (attempts++ < 2)
				tool_close_connection(m, true);
			else
				answer_correctly(m, n);
		},
		true, "{}", 3000);

	EXPECT_EQ(result.stats.outcomes[LOAD_RUN], 2u);
	EXPECT_EQ(result.stats.retries, 2u);
	for (const std::string &key : result.keys)
		EXPECT_TRUE(key == "G/k-1-0" || key == "G/k-1-1");
}

TEST(Load, ReportsOutcomesThatContradictTheOracle)
{
	auto refuse = [](SoupServerMessage *m, const std::string &) {
		tool_answer_text(m, 503, "");
		set_header(m, "Auburnstile-Outcome", "not-run");
		set_header(m, "Auburnstile-Retry-After-Ms", "1000");
	};
	auto unknown_answer = [](SoupServerMessage *m, const std::string &) {
		tool_answer_text(m, 504, "");
		set_header(m, "Auburnstile-Outcome", "unknown");
	};
	/*
	 * Attempts at 0, 1 and 2 s of 2.5 s: none is in flight when the
	 * deadline passes, even if the machine is slow.
	 */
	Outcome refused = run_load(refuse, true, "{\"k-1-0\":[1,0,1]}", 2500);
	Outcome unknown = run_load(unknown_answer, true, "{\"k-1-0\":[2,2,0]}");

	EXPECT_EQ(refused.stats.outcomes[LOAD_NOT_RUN], 2u);
	EXPECT_GT(refused.stats.retries, 2u);
	EXPECT_EQ(refused.comparison.false_not_run, 1u);
	EXPECT_EQ(unknown.stats.outcomes[LOAD_UNKNOWN], 2u);
	EXPECT_EQ(unknown.comparison.executed_more_than_once, 1u);
	EXPECT_EQ(unknown.comparison.unknown_not_started, 1u);
}

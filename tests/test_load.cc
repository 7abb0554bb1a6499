/*
 * The callers' load must see what it is there to see: answers of another
 * request, broken bodies, missing outcomes, and lies against the oracle.
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

/* An entry that answers as the test says. */
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
	int asked = 0;

      private:
	static void on_addresses(SoupServer *, SoupServerMessage *message,
				 const char *, GHashTable *, gpointer data)
	{
		FakeEntry *entry = static_cast<FakeEntry *>(data);
		std::string text = "{\"addresses\":[{\"address\":\"" +
				   entry->address +
				   "\"}],\"valid_ms\":60000,\"grant\":\"G\"}";

		entry->asked++;
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

void header(SoupServerMessage *message, const char *name, const char *value)
{
	soup_message_headers_replace(soup_server_message_get_response_headers(
					     message),
				     name, value);
}

void whole(SoupServerMessage *message, const std::string &nonce)
{
	SoupMessageBody *got = soup_server_message_get_request_body(message);
	std::string body = "nonce=" + nonce + "\nrest";
	char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
						  body.c_str(), -1);
	char *sent = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
						 (const guchar *)got->data,
						 got->length);

	tool_answer_text(message, 200, body.c_str());
	header(message, "Auburnstile-Outcome", "run");
	header(message, "X-Nonce", nonce.c_str());
	header(message, "X-Body-Sha256", sum);
	header(message, "X-Request-Sha256", sent);
	g_free(sum);
	g_free(sent);
}

struct Outcome {
	struct load_figures figures;
	struct load_verdict verdict;
	std::vector<std::string> keys;
	int asked;
};

Outcome run(Handler handler, bool keyed = false, const char *oracle = "{}",
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
	options.repeat = true;
	options.seed = 1;
	struct load *load = load_new(&options);
	load_run(load);
	load_get_figures(load, &result.figures);
	load_compare(load, json_node_get_object(root), &result.verdict);
	load_free(load);
	json_node_unref(root);
	result.keys = entry.keys;
	result.asked = entry.asked;
	return result;
}

} // namespace

TEST(Load, WholeAnswersPassAndAddressesAreKept)
{
	Outcome result = run(whole, true);

	EXPECT_EQ(result.figures.told[LOAD_RUN], 2u);
	EXPECT_EQ(result.asked, 1);
	std::sort(result.keys.begin(), result.keys.end());
	EXPECT_EQ(result.keys,
		  std::vector<std::string>({ "G/k-1-0", "G/k-1-1" }));
	EXPECT_EQ(result.verdict.false_run, 2u);
}

TEST(Load, EachWayOfBeingWrongIsSeen)
{
	std::vector<Handler> handlers = {
		[](SoupServerMessage *m, const std::string &n) {
			whole(m, n + "x");
		},
		[](SoupServerMessage *m, const std::string &n) {
			whole(m, n + "x");
			header(m, "X-Nonce", n.c_str());
		},
		[](SoupServerMessage *m, const std::string &n) {
			whole(m, n);
			header(m, "X-Body-Sha256", "0");
		},
		[](SoupServerMessage *m, const std::string &n) {
			whole(m, n);
			header(m, "X-Request-Sha256", "0");
		},
		[](SoupServerMessage *m, const std::string &n) {
			whole(m, n);
			header(m, "Auburnstile-Outcome", "maybe");
		},
	};

	for (const Handler &handler : handlers)
		EXPECT_EQ(run(handler).figures.told[LOAD_WRONG], 2u);
}

TEST(Load, LostTriesAreRepeatedUnderTheSameKey)
{
	int tries = 0;
	Outcome result = run(
		[&](SoupServerMessage *m, const std::string &n) {
			if (tries++ < 2)
				tool_drop(m, true);
			else
				whole(m, n);
		},
		true, "{}", 3000);

	EXPECT_EQ(result.figures.told[LOAD_RUN], 2u);
	EXPECT_EQ(result.figures.repeats, 2u);
	for (const std::string &key : result.keys)
		EXPECT_TRUE(key == "G/k-1-0" || key == "G/k-1-1");
}

TEST(Load, RefusalsAndUnknownsAreHeldAgainstTheOracle)
{
	auto refuse = [](SoupServerMessage *m, const std::string &) {
		tool_answer_text(m, 503, "");
		header(m, "Auburnstile-Outcome", "not-run");
		header(m, "Auburnstile-Retry-After-Ms", "1000");
	};
	auto doubt = [](SoupServerMessage *m, const std::string &) {
		tool_answer_text(m, 504, "");
		header(m, "Auburnstile-Outcome", "unknown");
	};
	/*
	 * Tries at 0, 1 and 2 s of 2.5: no try is in the air when time is up,
	 * however busy the machine.
	 */
	Outcome refused = run(refuse, true, "{\"k-1-0\":[1,0,1]}", 2500);
	Outcome unknown = run(doubt, true, "{\"k-1-0\":[2,2,0]}");

	EXPECT_EQ(refused.figures.told[LOAD_NOT_RUN], 2u);
	EXPECT_GT(refused.figures.repeats, 2u);
	EXPECT_EQ(refused.verdict.false_not_run, 1u);
	EXPECT_EQ(unknown.figures.told[LOAD_UNKNOWN], 2u);
	EXPECT_EQ(unknown.verdict.twice, 1u);
	EXPECT_EQ(unknown.verdict.unknown_not_started, 1u);
}

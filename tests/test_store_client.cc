/*
 * Tests of the store client with the stand-in store as a separate process:
 * outages, lost responses, stale reads, call budget, and resumption of the
 * watch.
 */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include <auburnstile/error.h>
#include <auburnstile/store_client.h>
#include <libsoup/soup.h>
#include <signal.h>

#include "common/child.h"

namespace
{

struct Result {
	bool done = false;
	guint64 version = 0;
	std::string value;
	int code = -1; /* -1: no error */
	guint count = 0;
};

void on_put(guint64 version, const GError *error, void *context)
{
	Result *result = static_cast<Result *>(context);

	EXPECT_FALSE(result->done);
	result->done = true;
	result->version = version;
	result->code = error ? error->code : -1;
}

void on_get(const struct aub_store_object *object, const GError *error,
	    void *context)
{
	Result *result = static_cast<Result *>(context);

	EXPECT_FALSE(result->done);
	result->done = true;
	result->code = error ? error->code : -1;
	if (object) {
		result->version = object->version;
		result->value.assign(object->value, object->length);
	}
}

void on_list(const struct aub_store_object *objects, guint count,
	     const GError *error, void *context)
{
	Result *result = static_cast<Result *>(context);

	result->done = true;
	result->code = error ? error->code : -1;
	result->count = count;
	if (count)
		result->value.assign(objects[count - 1].value,
				     objects[count - 1].length);
}

struct WatchLog {
	std::vector<guint64> versions;
	std::string value;
	guint confirmations = 0;
	guint failures = 0;
};

void on_watch(const struct aub_store_object *object, guint64 version,
	      const GError *error, void *context)
{
	WatchLog *watch_log = static_cast<WatchLog *>(context);

	if (error) {
		watch_log->failures++;
	} else if (object) {
		watch_log->versions.push_back(version);
		watch_log->value.assign(object->value, object->length);
	} else {
		watch_log->confirmations++;
	}
}

class Store : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		const char *none[] = { NULL };
		GError *error = NULL;

		store = child_start("standin-store", none, true, NULL, &error);
		ASSERT_NE(store, nullptr) << error->message;
		url = std::string("http://") + store->address;
		client = open(200);
	}

	void TearDown() override
	{
		aub_store_client_free(client);
		while (g_main_context_iteration(NULL, FALSE))
			;
		child_free(store);
	}

	struct aub_store_client *open(guint calls_per_s)
	{
		struct aub_store_client_options options = {};

		options.url = url.c_str();
		options.timeout_ms = 300;
		options.watch_wait_ms = 200;
		options.calls_per_s = calls_per_s;
		options.seed = 7;
		return aub_store_client_new(&options);
	}

	void fault(const char *json)
	{
		guint status = 0;

		g_free(child_http("POST", (url + "/fault").c_str(), NULL, json,
				  5000, &status, NULL));
		ASSERT_EQ(status, 200u);
	}

	template <typename Condition> bool run_until(Condition condition)
	{
		gint64 end_us = g_get_monotonic_time() + 20 * G_USEC_PER_SEC;
		guint tick = g_timeout_add(5, G_SOURCE_FUNC(on_tick), NULL);

		while (!condition() && g_get_monotonic_time() < end_us)
			g_main_context_iteration(NULL, TRUE);
		g_source_remove(tick);
		return condition();
	}

	static gboolean on_tick(gpointer data)
	{
		return G_SOURCE_CONTINUE;
	}

	Result put(const char *value, guint64 expected, const char *change)
	{
		Result result;

		aub_store_put(client, "a/one", value, strlen(value), expected,
			      change, on_put, &result);
		EXPECT_FALSE(result.done);
		EXPECT_TRUE(run_until([&] { return result.done; }));
		return result;
	}

	Result get()
	{
		Result result;

		aub_store_get(client, "a/one", on_get, &result);
		EXPECT_TRUE(run_until([&] { return result.done; }));
		return result;
	}

	struct child *store = NULL;
	struct aub_store_client *client = NULL;
	std::string url;
};

} // namespace

TEST_F(Store, ConditionalWritesConflictAndReadsReturnNewestVersion)
{
	EXPECT_EQ(get().code, AUB_ERROR_NOT_FOUND);
	EXPECT_EQ(put("first c1", 0, "c1").version, 1u);
	Result conflict = put("second c2", 0, "c2");
	EXPECT_EQ(conflict.code, AUB_ERROR_CONFLICT);
	EXPECT_EQ(conflict.version, 1u);
	EXPECT_EQ(put("second c2", 1, "c2").version, 2u);
	EXPECT_EQ(get().value, "second c2");

	Result list;
	aub_store_list(client, "a/", on_list, &list);
	EXPECT_TRUE(run_until([&] { return list.done; }));
	EXPECT_EQ(list.count, 1u);
	EXPECT_EQ(list.value, "second c2");
}

/*
 * The store writes a configuration and its response is lost. If the client
 * reported a failure, the operator would apply it again and conflict with
 * their own change. The client reads the object back, finds the change and
 * reports its version. The callback is called once.
 */
TEST_F(Store, LostWriteResponseIsResolvedByReadBack)
{
	fault("{\"lose_answers\":1}");
	Result result = put("value c1", 0, "c1");
	EXPECT_EQ(result.code, -1);
	EXPECT_EQ(result.version, 1u);

	/* The read-back is stale at first: it must not cause a second write. */
	fault("{\"lose_answers\":1,\"stale\":1}");
	Result second;
	aub_store_put(client, "a/one", "value c2", 8, 1, "c2", on_put, &second);
	guint timer_id = g_timeout_add(
		150,
		[](gpointer data) -> gboolean {
			std::string *address = static_cast<std::string *>(data);
			g_free(child_http("POST", (*address + "/fault").c_str(),
					  NULL, "{\"clear\":1}", 5000, NULL,
					  NULL));
			return G_SOURCE_REMOVE;
		},
		&url);
	EXPECT_TRUE(run_until([&] { return second.done; }));
	EXPECT_GT(timer_id, 0u);
	EXPECT_EQ(second.code, -1);
	EXPECT_EQ(second.version, 2u);
	EXPECT_EQ(get().value, "value c2");
}

/*
 * After a write is sent, the store hangs during all attempts. The client
 * reports AUB_ERROR_AMBIGUOUS once within four timeouts and no definite
 * failure, because the write may have taken effect. If the store refuses
 * connections, nothing was sent and the result is not ambiguous.
 */
TEST_F(Store, UnresolvedWriteIsAmbiguousAndUnsentWriteIsNot)
{
	fault("{\"down\":\"hang\"}");
	gint64 start_us = g_get_monotonic_time();
	EXPECT_EQ(put("value c1", 0, "c1").code, AUB_ERROR_AMBIGUOUS);
	EXPECT_LT(g_get_monotonic_time() - start_us, 10 * G_USEC_PER_SEC);

	child_signal(store, SIGKILL);
	child_wait(store, 5000);
	Result unsent = put("value c2", 0, "c2");
	EXPECT_NE(unsent.code, AUB_ERROR_AMBIGUOUS);
	EXPECT_NE(unsent.code, -1);
}

/*
 * Another operator's write follows between the lost response and the
 * read-back. Whether our write took effect before it is unknown, so no
 * conflict is reported.
 */
TEST_F(Store, OverwrittenUncertainWriteIsNotReportedAsConflict)
{
	guint status = 0;
	Result result;

	fault("{\"lose_answers\":1,\"delay_ms\":100}");
	aub_store_put(client, "a/one", "value c1", 8, 0, "c1", on_put, &result);
	WatchLog watch_log;
	aub_store_watch_start(client, "a/", 0, on_watch, &watch_log);
	EXPECT_TRUE(run_until([&] { return !watch_log.versions.empty(); }));
	std::string command = url + "/v1/objects/a/one";
	SoupSession *session = soup_session_new();
	SoupMessage *message = soup_message_new("PUT", command.c_str());
	GBytes *body = g_bytes_new("other", 5);
	soup_message_headers_replace(soup_message_get_request_headers(message),
				     "If-Match", "1");
	soup_message_set_request_body_from_bytes(message, "text/plain", body);
	GBytes *response =
		soup_session_send_and_read(session, message, NULL, NULL);
	status = soup_message_get_status(message);
	g_bytes_unref(response);
	g_bytes_unref(body);
	g_object_unref(message);
	g_object_unref(session);
	ASSERT_EQ(status, 200u);
	EXPECT_TRUE(run_until([&] { return result.done; }));
	/* If the read-back came first, the write was successful. */
	EXPECT_NE(result.code, AUB_ERROR_CONFLICT);
}

/*
 * A replica that lags behind returns an older object. If it were taken for the
 * newest, a configuration would be reverted, so it is rejected.
 */
TEST_F(Store, StaleReadIsNeverDelivered)
{
	put("old c1", 0, "c1");
	put("new c2", 1, "c2");
	EXPECT_EQ(get().value, "new c2");
	fault("{\"stale\":1}");
	EXPECT_EQ(get().code, AUB_ERROR_UNAVAILABLE);
	fault("{\"clear\":1}");
	EXPECT_EQ(get().value, "new c2");
}

/*
 * The store is unavailable for a while. The watch reports failed attempts,
 * resumes from the last version, and delivers each change once.
 */
TEST_F(Store, WatchResumesAfterAnOutageAndDeliversEachChangeOnce)
{
	WatchLog watch_log;

	put("v1 c1", 0, "c1");
	aub_store_watch_start(client, "a/", 0, on_watch, &watch_log);
	EXPECT_TRUE(run_until([&] { return watch_log.confirmations > 0; }));
	EXPECT_EQ(watch_log.versions, std::vector<guint64>({ 1 }));
	fault("{\"down\":\"refuse\"}");
	EXPECT_TRUE(run_until([&] { return watch_log.failures > 1; }));
	fault("{\"down\":\"hang\"}");
	guint failures = watch_log.failures;
	EXPECT_TRUE(run_until([&] { return watch_log.failures > failures; }));
	fault("{\"clear\":1}");
	put("v2 c2", 1, "c2");
	put("v3 c3", 2, "c3");
	EXPECT_TRUE(run_until([&] { return watch_log.value == "v3 c3"; }));
	EXPECT_TRUE(run_until([&] { return watch_log.confirmations > 2; }));
	for (size_t i = 1; i < watch_log.versions.size(); i++)
		EXPECT_GT(watch_log.versions[i], watch_log.versions[i - 1]);
	aub_store_watch_stop(client);
}

/* The platform limits calls per second: calls over the budget are queued. */
TEST_F(Store, CallBudgetIsEnforced)
{
	struct aub_store_client *slow = open(20);
	Result results[50];
	gint64 start_us = g_get_monotonic_time();

	for (Result &result : results)
		aub_store_get(slow, "a/one", on_get, &result);
	EXPECT_TRUE(run_until([&] {
		for (Result &result : results)
			if (!result.done)
				return false;
		return true;
	}));
	double elapsed_s = (g_get_monotonic_time() - start_us) / 1e6;
	EXPECT_LE(aub_store_client_calls(slow), 20 + elapsed_s * 20 + 1);
	aub_store_client_free(slow);
}

TEST_F(Store, FreeingCancelsWithoutCallbacks)
{
	Result result;
	WatchLog watch_log;

	aub_store_get(client, "a/one", on_get, &result);
	aub_store_put(client, "a/one", "v", 1, 0, "v", on_put, &result);
	aub_store_watch_start(client, "a/", 0, on_watch, &watch_log);
	g_main_context_iteration(NULL, FALSE);
	aub_store_client_free(client);
	client = NULL;
	for (int i = 0; i < 20; i++)
		g_main_context_iteration(NULL, FALSE);
	EXPECT_FALSE(result.done);
	EXPECT_EQ(watch_log.failures, 0u);
}

TEST(StoreClient, InvalidUrlReportsAnError)
{
	struct aub_store_client_options options = {};
	Result result;

	options.url = "not a url";
	options.timeout_ms = 10;
	options.calls_per_s = 10;
	struct aub_store_client *client = aub_store_client_new(&options);
	aub_store_get(client, "a", on_get, &result);
	while (!result.done)
		g_main_context_iteration(NULL, TRUE);
	EXPECT_NE(result.code, -1);
	aub_store_client_free(client);
}

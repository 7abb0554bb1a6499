/*
 * Idempotency keys: binding to requests, retained answers, hand-over, retention
 * time.
 */
#include <gtest/gtest.h>

#include <auburnstile/key_table.h>
#include <auburnstile/timer.h>

#include <string>

static const gint64 RETENTION_US = 60 * AUB_SECOND;

class KeyTable : public testing::Test
{
      protected:
	struct aub_key_table *table = aub_key_table_new(64 << 10, RETENTION_US);
	guint8 own_fingerprint[AUB_FINGERPRINT_BYTES];
	guint8 other_fingerprint[AUB_FINGERPRINT_BYTES];
	const struct aub_key_record *record = NULL;

	void SetUp() override
	{
		aub_request_fingerprint("POST", "/fees", NULL, "me", NULL,
					own_fingerprint);
		aub_request_fingerprint("POST", "/fees", NULL, "you", NULL,
					other_fingerprint);
	}
	void TearDown() override
	{
		aub_key_table_free(table);
	}
	enum aub_key_decision begin(const std::string &key, gint64 now_us,
				    gint64 grant_age_us = 0)
	{
		return aub_key_table_begin(table, key.c_str(), own_fingerprint,
					   grant_age_us, now_us, &record);
	}
	void finish(const std::string &key, enum aub_outcome outcome,
		    gsize length, gint64 now_us)
	{
		auto *answer = (struct aub_answer *)aub_message_new(
			AUB_MESSAGE_ANSWER);
		std::string body(length, 'x');

		answer->outcome = outcome;
		answer->status = 201;
		aub_bytes_set(&answer->body, body.data(), body.size());
		g_ptr_array_add(answer->headers,
				aub_header_new("Content-Type", "text/plain"));
		aub_key_table_finish(table, key.c_str(), answer, now_us);
		aub_message_free(&answer->base);
	}
};

TEST_F(KeyTable, RepeatedRequestGetsRetainedAnswerUntilItExpires)
{
	EXPECT_EQ(begin("k", 0), AUB_KEY_NEW);
	EXPECT_EQ(begin("k", 1), AUB_KEY_RUNNING);
	finish("k", AUB_OUTCOME_RUN, 5, 10);
	ASSERT_EQ(begin("k", 10 + RETENTION_US - 1), AUB_KEY_RECORDED);
	EXPECT_EQ(record->outcome, AUB_OUTCOME_RUN);
	EXPECT_EQ(record->status, 201u);
	EXPECT_EQ(record->body.length, 5u);
	EXPECT_EQ(record->headers->len, 1u);
	EXPECT_EQ(begin("k", 10 + RETENTION_US), AUB_KEY_NEW);
}

/*
 * A caller who guesses another caller's key must learn neither its answer nor
 * whether it is still running: a key is bound to credentials and content from
 * the start.
 */
TEST_F(KeyTable, KeyOfAnotherCallerIsAMismatch)
{
	EXPECT_EQ(begin("k", 0), AUB_KEY_NEW);
	EXPECT_EQ(aub_key_table_begin(table, "k", other_fingerprint, 0, 1,
				      &record),
		  AUB_KEY_MISMATCH);
	finish("k", AUB_OUTCOME_RUN, 5, 10);
	EXPECT_EQ(aub_key_table_begin(table, "k", other_fingerprint, 0, 11,
				      &record),
		  AUB_KEY_MISMATCH);
	EXPECT_EQ(record, nullptr);
}

TEST_F(KeyTable, NotRunMayBeRepeatedAndUnknownMayNot)
{
	EXPECT_EQ(begin("a", 0), AUB_KEY_NEW);
	finish("a", AUB_OUTCOME_NOT_RUN, 0, 1);
	EXPECT_EQ(begin("a", 2), AUB_KEY_NEW);
	finish("a", AUB_OUTCOME_UNKNOWN, 0, 3);
	ASSERT_EQ(begin("a", 4), AUB_KEY_RECORDED);
	EXPECT_EQ(record->outcome, AUB_OUTCOME_UNKNOWN);
}

/*
 * The table is filled with keys of running requests. New keys are refused and
 * their requests not run. If an old key were dropped instead, a repeated
 * request would be executed more than once.
 */
TEST_F(KeyTable, FullTableRefusesNewKeysAndKeepsAllOthers)
{
	guint count = 0;

	while (begin("key-" + std::to_string(count), 0) == AUB_KEY_NEW)
		count++;
	EXPECT_GT(count, 200u);
	EXPECT_EQ(begin("key-" + std::to_string(count), RETENTION_US * 9),
		  AUB_KEY_FULL);
	for (guint i = 0; i < count; i++)
		EXPECT_EQ(begin("key-" + std::to_string(i), RETENTION_US * 9),
			  AUB_KEY_RUNNING);
	EXPECT_LE(aub_key_table_bytes(table), 64u << 10);
}

TEST_F(KeyTable, KeepsOnlyOutcomeOfAnswerThatDoesNotFit)
{
	EXPECT_EQ(begin("a", 0), AUB_KEY_NEW);
	finish("a", AUB_OUTCOME_RUN, 64 << 10, 1);
	ASSERT_EQ(begin("a", 2), AUB_KEY_RECORDED);
	EXPECT_EQ(record->outcome, AUB_OUTCOME_RUN);
	EXPECT_EQ(record->status, 201u);
	EXPECT_EQ(record->body.length, 0u);
	EXPECT_TRUE(record->payload_discarded);
}

/*
 * Requests arrive faster than their answers expire. Without room, all new ones
 * would have to be refused; instead the bodies of the oldest answers are
 * dropped, and the outcome of those requests remains known.
 */
TEST_F(KeyTable, DropsOldestAnswersForNewKeys)
{
	for (int i = 0; i < 150; i++) {
		std::string key = "key-" + std::to_string(i);

		ASSERT_EQ(begin(key, i), AUB_KEY_NEW);
		finish(key, AUB_OUTCOME_RUN, 1000, i);
	}
	ASSERT_EQ(begin("key-0", 200), AUB_KEY_RECORDED);
	EXPECT_EQ(record->outcome, AUB_OUTCOME_RUN);
	EXPECT_TRUE(record->payload_discarded);
	ASSERT_EQ(begin("key-149", 200), AUB_KEY_RECORDED);
	EXPECT_FALSE(record->payload_discarded);
	EXPECT_EQ(record->body.length, 1000u);
	EXPECT_LE(aub_key_table_bytes(table), 64u << 10);
}

/*
 * A request ran, and its key was removed after the retention time. When the
 * caller repeats the request, only the age of the key's grant prevents a second
 * execution.
 */
TEST_F(KeyTable, ExpiredKeyDoesNotRunAgain)
{
	gint64 later_us = RETENTION_US + 10;

	EXPECT_EQ(begin("k", 0), AUB_KEY_NEW);
	finish("k", AUB_OUTCOME_RUN, 5, 1);
	EXPECT_EQ(begin("k", later_us, later_us), AUB_KEY_FORGOTTEN);
	EXPECT_EQ(begin("never", 0, RETENTION_US / 2 + 1),
		  AUB_KEY_GRANT_EXPIRED);
	EXPECT_EQ(begin("never", 0, -RETENTION_US), AUB_KEY_GRANT_EXPIRED);
	EXPECT_EQ(begin("never", 0, RETENTION_US / 2), AUB_KEY_NEW);
}

/*
 * An entry shuts down gracefully and hands its keys over. Requests that were
 * still running are unknown to the successor; the remaining retention time is
 * preserved.
 */
TEST_F(KeyTable, HandOverPreservesAnswersAndRetentionTimes)
{
	struct aub_key_table *successor =
		aub_key_table_new(64 << 10, RETENTION_US);

	begin("ran", 0);
	finish("ran", AUB_OUTCOME_RUN, 7, 0);
	begin("runs", 0);
	GPtrArray *list = aub_key_table_export(table, RETENTION_US / 2);
	ASSERT_EQ(list->len, 2u);
	for (guint i = 0; i < list->len; i++)
		aub_key_table_import(successor,
				     (struct aub_key_record *)list->pdata[i],
				     1000);
	ASSERT_EQ(aub_key_table_begin(successor, "ran", own_fingerprint, 0,
				      1001, &record),
		  AUB_KEY_RECORDED);
	EXPECT_EQ(record->body.length, 7u);
	ASSERT_EQ(aub_key_table_begin(successor, "runs", own_fingerprint, 0,
				      1001, &record),
		  AUB_KEY_RECORDED);
	EXPECT_EQ(record->outcome, AUB_OUTCOME_UNKNOWN);
	EXPECT_EQ(aub_key_table_begin(successor, "ran", own_fingerprint, 0,
				      1000 + RETENTION_US / 2, &record),
		  AUB_KEY_NEW);
	g_ptr_array_unref(list);
	aub_key_table_free(successor);
}

TEST_F(KeyTable, FreesMemoryOfExpiredKeys)
{
	for (int i = 0; i < 1000; i++) {
		std::string key = "key-" + std::to_string(i);
		gint64 now_us = i * RETENTION_US;

		ASSERT_EQ(begin(key, now_us), AUB_KEY_NEW);
		finish(key, AUB_OUTCOME_RUN, 1000, now_us);
		ASSERT_EQ(aub_key_table_count(table), 1u);
	}
	EXPECT_LT(aub_key_table_bytes(table), 2000u);
}

TEST(Key, ParsesKeyWithGrant)
{
	char *grant = aub_grant_make("e.1", 0xabc, 99, 7);
	char *key = g_strconcat(grant, "/order/9", NULL);
	char *entry = NULL;
	guint64 incarnation = 0;
	gint64 issued_s = 0;
	GError *error = NULL;

	ASSERT_TRUE(
		aub_key_parse(key, &entry, &incarnation, &issued_s, &error));
	EXPECT_STREQ(entry, "e.1");
	EXPECT_EQ(issued_s, 99);
	EXPECT_EQ(incarnation, 0xabcu);
	g_free(entry);
	g_free(key);
	g_free(grant);
}

TEST(Key, RejectsMalformedKeys)
{
	const std::string long_text(300, 'x');
	const std::string bad[] = { "",
				    "text",
				    "/text",
				    "a.1/t",
				    "a.1.2",
				    "a.1.2/",
				    ".1.2/t",
				    "a.x.2/t",
				    "a.1.-2/t",
				    "a.1.2/a b",
				    "a.1.2/t\n",
				    "a..2/t",
				    "a.1.2/" + long_text,
				    "a.1.2/t",
				    ".1.2.3/t",
				    "a.x.2.3/t",
				    "a.1.x.3/t",
				    "a.1.fffffffff.3/t",
				    "a.1.2.-3/t",
				    "a.1.2.3/a b",
				    "a.1..3/t",
				    "a.1.2.3/" + long_text };

	for (const std::string &key : bad) {
		char *entry = NULL;
		guint64 incarnation;
		gint64 issued_s;
		GError *error = NULL;

		EXPECT_FALSE(aub_key_parse(key.c_str(), &entry, &incarnation,
					   &issued_s, &error))
			<< key;
		EXPECT_NE(error, nullptr);
		g_clear_error(&error);
	}
}

TEST(Key, FingerprintDistinguishesPartBoundaries)
{
	guint8 a[AUB_FINGERPRINT_BYTES];
	guint8 b[AUB_FINGERPRINT_BYTES];

	aub_request_fingerprint("POST", "/a", NULL, "bc", "", a);
	aub_request_fingerprint("POST", "/a", NULL, "b", "c", b);
	EXPECT_NE(memcmp(a, b, sizeof(a)), 0);
	aub_request_fingerprint("POST", "/a", NULL, "bc", NULL, b);
	EXPECT_EQ(memcmp(a, b, sizeof(a)), 0);
}

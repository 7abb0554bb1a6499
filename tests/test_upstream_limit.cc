/* The limit that an upstream names: naming, changing and lifting it. */
#include <gtest/gtest.h>

#include <auburnstile/internal/upstream_limit.h>

#define SECOND G_GINT64_CONSTANT(1000000)

class UpstreamLimitTest : public ::testing::Test
{
      protected:
	struct aub_upstream_limit limit;

	void SetUp() override
	{
		aub_upstream_limit_init(&limit);
	}
	static struct aub_load load(enum aub_limit_header header,
				    guint32 per_1000_s = 0)
	{
		struct aub_load load = AUB_LOAD_UNKNOWN;

		load.limit = header;
		load.limit_per_1000_s = per_1000_s;
		return load;
	}
	void name(guint32 per_1000_s, gint64 sent_s, gint64 now_s)
	{
		struct aub_load answer = load(AUB_LIMIT_NAMED, per_1000_s);

		aub_upstream_limit_observe_answer(&limit, &answer,
						  sent_s * SECOND,
						  now_s * SECOND);
	}
	void name_none(gint64 sent_s, gint64 now_s)
	{
		struct aub_load answer = load(AUB_LIMIT_NOT_NAMED);

		aub_upstream_limit_observe_answer(&limit, &answer,
						  sent_s * SECOND,
						  now_s * SECOND);
	}
};

TEST_F(UpstreamLimitTest, IsLiftedOnlyByRequestSentAfterItWasNamed)
{
	EXPECT_FALSE(aub_upstream_limit_is_set(&limit));
	name(1500, 1, 3);
	EXPECT_EQ(limit.per_1000_s, 1500u);
	name_none(2, 4);
	EXPECT_TRUE(aub_upstream_limit_is_set(&limit));
	name_none(4, 5);
	EXPECT_FALSE(aub_upstream_limit_is_set(&limit));
}

TEST_F(UpstreamLimitTest, IsLoweredAtOnceAndRaisedByLaterRequests)
{
	name(5000, 1, 2);
	name(1000, 1, 3);
	EXPECT_EQ(limit.per_1000_s, 1000u);
	name(5000, 2, 4);
	EXPECT_EQ(limit.per_1000_s, 1000u);
	name(5000, 4, 5);
	EXPECT_EQ(limit.per_1000_s, 5000u);
}

TEST_F(UpstreamLimitTest, IsKeptWithoutReadableAnswers)
{
	struct aub_load unknown = AUB_LOAD_UNKNOWN;

	name(0, 1, 2);
	aub_upstream_limit_observe_answer(&limit, &unknown, 9 * SECOND,
					  10 * SECOND);
	EXPECT_EQ(limit.per_1000_s, 0u);
}

TEST_F(UpstreamLimitTest, IsLiftedByProbeOnlyIfProbesNamedIt)
{
	struct aub_load none = load(AUB_LIMIT_NOT_NAMED);
	struct aub_load named = load(AUB_LIMIT_NAMED, 1000);

	name(1000, 1, 2);
	aub_upstream_limit_observe_probe(&limit, &none, 3 * SECOND, 3 * SECOND);
	EXPECT_TRUE(aub_upstream_limit_is_set(&limit));
	aub_upstream_limit_observe_probe(&limit, &named, 4 * SECOND,
					 4 * SECOND);
	aub_upstream_limit_observe_probe(&limit, &none, 5 * SECOND, 5 * SECOND);
	EXPECT_FALSE(aub_upstream_limit_is_set(&limit));
}

TEST_F(UpstreamLimitTest, ReportsNotableChangesOnce)
{
	guint32 was;

	EXPECT_FALSE(aub_upstream_limit_take_change(&limit, &was));
	name(1000, 1, 2);
	ASSERT_TRUE(aub_upstream_limit_take_change(&limit, &was));
	EXPECT_EQ(was, AUB_LIMIT_NONE);
	name(900, 2, 3);
	EXPECT_FALSE(aub_upstream_limit_take_change(&limit, &was));
	name(700, 3, 4);
	ASSERT_TRUE(aub_upstream_limit_take_change(&limit, &was));
	EXPECT_EQ(was, 1000u);
	name_none(5, 6);
	ASSERT_TRUE(aub_upstream_limit_take_change(&limit, &was));
	EXPECT_FALSE(aub_upstream_limit_take_change(&limit, &was));
}

TEST_F(UpstreamLimitTest, NewerStatementApplies)
{
	struct aub_limit_statement statement = { 1000, 3000 };
	gint64 now = 10 * SECOND;

	/* Older than this process: its clock may have started later. */
	aub_upstream_limit_merge(&limit, &statement, 2 * SECOND);
	EXPECT_EQ(limit.per_1000_s, 1000u);
	statement = { AUB_LIMIT_NONE, 9000 };
	aub_upstream_limit_merge(&limit, &statement, 2 * SECOND);
	EXPECT_EQ(limit.per_1000_s, 1000u);
	statement = { AUB_LIMIT_NONE, 1000 };
	aub_upstream_limit_merge(&limit, &statement, now);
	EXPECT_FALSE(aub_upstream_limit_is_set(&limit));
	statement = { 500, 4000 };
	aub_upstream_limit_merge(&limit, &statement, now);
	EXPECT_FALSE(aub_upstream_limit_is_set(&limit));
	statement = { 500, 100 };
	aub_upstream_limit_merge(&limit, &statement, now);
	EXPECT_EQ(limit.per_1000_s, 500u);
	statement = { 500, G_MAXUINT32 };
	aub_upstream_limit_merge(&limit, &statement, now);
	EXPECT_EQ(limit.named_us, now - SECOND / 10);
}

TEST_F(UpstreamLimitTest, TellsLimitsAndThoseLiftedRecently)
{
	struct aub_limit_statement statement;

	EXPECT_FALSE(
		aub_upstream_limit_get_statement(&limit, SECOND, &statement));
	name(1000, 1, 2);
	ASSERT_TRUE(aub_upstream_limit_get_statement(&limit, 90 * SECOND,
						     &statement));
	EXPECT_EQ(statement.per_1000_s, 1000u);
	EXPECT_EQ(statement.age_ms, 88000u);
	name_none(100, 101);
	ASSERT_TRUE(aub_upstream_limit_get_statement(&limit, 102 * SECOND,
						     &statement));
	EXPECT_EQ(statement.per_1000_s, AUB_LIMIT_NONE);
	EXPECT_EQ(statement.age_ms, 2000u);
	EXPECT_FALSE(aub_upstream_limit_get_statement(&limit, 110 * SECOND,
						      &statement));
}

TEST_F(UpstreamLimitTest, SpreadsGrantsOverTime)
{
	aub_upstream_limit_count_grant(&limit, 10 * SECOND);
	EXPECT_LT(aub_upstream_limit_next_grant_us(&limit), 10 * SECOND);
	name(2000, 1, 2);
	EXPECT_EQ(aub_upstream_limit_next_grant_us(&limit),
		  10 * SECOND + 666666);
	name(0, 1, 2);
	EXPECT_EQ(aub_upstream_limit_next_grant_us(&limit), 14 * SECOND);
	EXPECT_DOUBLE_EQ(aub_upstream_limit_grants_per_s(&limit), 0.25);
	name(1, 3, 4);
	EXPECT_EQ(aub_upstream_limit_next_grant_us(&limit), 14 * SECOND);
	name(1000000000, 5, 6);
	EXPECT_EQ(aub_upstream_limit_next_grant_us(&limit), 10 * SECOND + 1);
}

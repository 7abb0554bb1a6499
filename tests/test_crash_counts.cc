/*
 * Counts of lost upstreams by request: added, merged, reset, expired.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/crash_counts.h>

#define SECOND G_GINT64_CONSTANT(1000000)

TEST(CrashCounts, BlocksAfterThreeLosses)
{
	struct aub_crash_counts *counts = aub_crash_counts_new();

	for (int i = 0; i < 3; i++) {
		EXPECT_FALSE(aub_crash_counts_is_blocked(counts, 7, SECOND));
		aub_crash_counts_add(counts, 7, SECOND);
	}
	EXPECT_TRUE(aub_crash_counts_is_blocked(counts, 7, 2 * SECOND));
	EXPECT_FALSE(aub_crash_counts_is_blocked(counts, 8, 2 * SECOND));
	EXPECT_FALSE(aub_crash_counts_is_blocked(counts, 7, 100 * SECOND));
	aub_crash_counts_free(counts);
}

TEST(CrashCounts, ResponseResetsTheCount)
{
	struct aub_crash_counts *counts = aub_crash_counts_new();

	for (int i = 0; i < 9; i++) {
		aub_crash_counts_add(counts, 7, SECOND);
		aub_crash_counts_add(counts, 7, SECOND);
		aub_crash_counts_reset(counts, 7);
	}
	EXPECT_FALSE(aub_crash_counts_is_blocked(counts, 7, SECOND));
	aub_crash_counts_free(counts);
}

TEST(CrashCounts, MergesCountsOfOthers)
{
	struct aub_crash_counts *counts = aub_crash_counts_new();

	aub_crash_counts_merge(counts, 7, 2, SECOND);
	EXPECT_FALSE(aub_crash_counts_is_blocked(counts, 7, SECOND));
	aub_crash_counts_add(counts, 7, SECOND);
	EXPECT_TRUE(aub_crash_counts_is_blocked(counts, 7, SECOND));
	aub_crash_counts_free(counts);
}

TEST(CrashCounts, ReplacesExpiredCountsIfFull)
{
	struct aub_crash_counts *counts = aub_crash_counts_new();

	for (guint64 i = 1; i < 100000; i++)
		aub_crash_counts_add(counts, i, SECOND);
	/* By now all of them have expired. */
	for (int i = 0; i < 3; i++)
		aub_crash_counts_add(counts, 999999, 200 * SECOND);
	EXPECT_TRUE(aub_crash_counts_is_blocked(counts, 999999, 200 * SECOND));
	aub_crash_counts_free(counts);
}

TEST(CrashCounts, FingerprintsDifferByRequest)
{
	const guint8 body[] = { 1, 2 };
	guint64 one = aub_crash_fingerprint("GET /a HTTP/1.1", "h", body, 2);

	EXPECT_EQ(one, aub_crash_fingerprint("GET /a HTTP/1.1", "h", body, 2));
	EXPECT_NE(one, aub_crash_fingerprint("GET /b HTTP/1.1", "h", body, 2));
	EXPECT_NE(one, aub_crash_fingerprint("GET /a HTTP/1.1", "i", body, 2));
	EXPECT_NE(one, aub_crash_fingerprint("GET /a HTTP/1.1", "h", body, 1));
}

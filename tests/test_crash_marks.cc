/* Requests that crash upstreams: counted, learned, forgotten. */
#include <gtest/gtest.h>

#include <auburnstile/internal/crash_marks.h>

#define SECOND G_GINT64_CONSTANT(1000000)

TEST(CrashMarks, RefuseAfterTheThirdDeath)
{
	struct aub_crash_marks *marks = aub_crash_marks_new();

	for (int i = 0; i < 3; i++) {
		EXPECT_FALSE(aub_crash_marks_refuse(marks, 7, SECOND));
		aub_crash_marks_lost(marks, 7, SECOND);
	}
	EXPECT_TRUE(aub_crash_marks_refuse(marks, 7, 2 * SECOND));
	EXPECT_FALSE(aub_crash_marks_refuse(marks, 8, 2 * SECOND));
	EXPECT_FALSE(aub_crash_marks_refuse(marks, 7, 100 * SECOND));
	aub_crash_marks_free(marks);
}

TEST(CrashMarks, AnAnswerClearsTheMark)
{
	struct aub_crash_marks *marks = aub_crash_marks_new();

	for (int i = 0; i < 9; i++) {
		aub_crash_marks_lost(marks, 7, SECOND);
		aub_crash_marks_lost(marks, 7, SECOND);
		aub_crash_marks_answered(marks, 7);
	}
	EXPECT_FALSE(aub_crash_marks_refuse(marks, 7, SECOND));
	aub_crash_marks_free(marks);
}

TEST(CrashMarks, AreLearnedFromOthers)
{
	struct aub_crash_marks *marks = aub_crash_marks_new();

	aub_crash_marks_learn(marks, 7, 2, SECOND);
	EXPECT_FALSE(aub_crash_marks_refuse(marks, 7, SECOND));
	aub_crash_marks_lost(marks, 7, SECOND);
	EXPECT_TRUE(aub_crash_marks_refuse(marks, 7, SECOND));
	aub_crash_marks_free(marks);
}

TEST(CrashMarks, StayBounded)
{
	struct aub_crash_marks *marks = aub_crash_marks_new();

	for (guint64 i = 1; i < 100000; i++)
		aub_crash_marks_lost(marks, i, SECOND);
	/* Old ones give way. */
	for (int i = 0; i < 3; i++)
		aub_crash_marks_lost(marks, 999999, 200 * SECOND);
	EXPECT_TRUE(aub_crash_marks_refuse(marks, 999999, 200 * SECOND));
	aub_crash_marks_free(marks);
}

TEST(CrashMarks, FingerprintsTellRequestsApart)
{
	const guint8 body[] = { 1, 2 };
	guint64 one = aub_crash_fingerprint("GET /a HTTP/1.1", "h", body, 2);

	EXPECT_EQ(one, aub_crash_fingerprint("GET /a HTTP/1.1", "h", body, 2));
	EXPECT_NE(one, aub_crash_fingerprint("GET /b HTTP/1.1", "h", body, 2));
	EXPECT_NE(one, aub_crash_fingerprint("GET /a HTTP/1.1", "i", body, 2));
	EXPECT_NE(one, aub_crash_fingerprint("GET /a HTTP/1.1", "h", body, 1));
}

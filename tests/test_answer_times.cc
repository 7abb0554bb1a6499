/* Upper estimate of how long requests take. */
#include <gtest/gtest.h>

#include <auburnstile/internal/answer_times.h>
#include <auburnstile/timer.h>

static void observe(struct aub_answer_times *times, int count, gint64 ms,
		    gint64 now_us)
{
	for (int i = 0; i < count; i++)
		aub_answer_times_observe(times, ms * AUB_MS, now_us);
}

/* Guards against an estimate that rests on a few quick answers. */
TEST(AnswerTimes, KnowsNothingFromFewSamples)
{
	struct aub_answer_times times = {};

	EXPECT_EQ(aub_answer_times_bound_us(&times, AUB_SECOND), 0);
	observe(&times, 7, 50, AUB_SECOND);
	EXPECT_EQ(aub_answer_times_bound_us(&times, AUB_SECOND), 0);
	observe(&times, 1, 50, AUB_SECOND);
	EXPECT_GT(aub_answer_times_bound_us(&times, AUB_SECOND), 50 * AUB_MS);
}

/* Guards against a mean, which slow requests exceed. */
TEST(AnswerTimes, CoversTheSlowestRecentRequest)
{
	struct aub_answer_times times = {};

	observe(&times, 100, 20, AUB_SECOND);
	observe(&times, 1, 900, 2 * AUB_SECOND);
	observe(&times, 100, 20, 3 * AUB_SECOND);
	EXPECT_GE(aub_answer_times_bound_us(&times, 3 * AUB_SECOND),
		  900 * AUB_MS);
}

/* Guards against a slow time that is remembered for good, or for too short. */
TEST(AnswerTimes, ForgetsSamplesAfterTwoWindows)
{
	struct aub_answer_times times = {};

	observe(&times, 20, 900, AUB_SECOND);
	observe(&times, 20, 20, 70 * AUB_SECOND);
	EXPECT_GE(aub_answer_times_bound_us(&times, 71 * AUB_SECOND),
		  900 * AUB_MS);
	observe(&times, 20, 20, 140 * AUB_SECOND);
	EXPECT_LT(aub_answer_times_bound_us(&times, 140 * AUB_SECOND),
		  900 * AUB_MS);
	EXPECT_EQ(aub_answer_times_bound_us(&times, 400 * AUB_SECOND), 0);
}

/* Admission of requests during a planned stop. */
#include <gtest/gtest.h>

#include <auburnstile/internal/stop_admission.h>
#include <auburnstile/timer.h>

static const struct aub_stop_plan PLAN = {
	.answers_until_us = 100 * AUB_SECOND,
	.addresses_until_us = 96 * AUB_SECOND,
};

/* Of a request that may run at most once, and of which nothing is known. */
static struct aub_stop_candidate candidate_at(gint64 now_us, gint64 deadline_us)
{
	struct aub_stop_candidate candidate = {};

	candidate.now_us = now_us;
	candidate.deadline_us = deadline_us;
	return candidate;
}

static bool admits(const struct aub_stop_candidate &candidate)
{
	return aub_stop_admits(&PLAN, &candidate);
}

TEST(StopAdmission, AdmitsEverythingWhileNoStopIsPlanned)
{
	const struct aub_stop_plan none = {};
	const struct aub_stop_candidate candidate =
		candidate_at(1, 1000 * AUB_SECOND);

	EXPECT_TRUE(aub_stop_admits(&none, &candidate));
}

/* Guards against refusing requests that end in time whatever happens. */
TEST(StopAdmission, AdmitsRequestsWhoseDeadlineIsBeforeTheEnd)
{
	struct aub_stop_candidate candidate =
		candidate_at(99 * AUB_SECOND, 100 * AUB_SECOND);

	EXPECT_TRUE(admits(candidate));
	candidate.deadline_us++;
	EXPECT_FALSE(admits(candidate));
}

/* Guards against a stop that turns short requests away with the long ones. */
TEST(StopAdmission, AdmitsLongTimeoutsOfRequestsThatAreKnownToBeShort)
{
	struct aub_stop_candidate candidate =
		candidate_at(99 * AUB_SECOND, 105 * AUB_SECOND);

	candidate.expected_us = AUB_SECOND;

	EXPECT_TRUE(admits(candidate));
	candidate.expected_us++;
	EXPECT_FALSE(admits(candidate));
}

/* Guards against losing a request that may run at most once on a guess. */
TEST(StopAdmission, GuessesDurationsOnlyForIdempotentRequests)
{
	struct aub_stop_candidate candidate =
		candidate_at(95 * AUB_SECOND, 105 * AUB_SECOND);

	candidate.target_us = AUB_SECOND;
	candidate.idempotent = true;

	EXPECT_TRUE(admits(candidate));
	candidate.idempotent = false;
	EXPECT_FALSE(admits(candidate));
}

/* Guards against guessing where it would cost callers nothing to go on. */
TEST(StopAdmission, GuessesOnlyUntilCallersKnowOfTheStop)
{
	struct aub_stop_candidate candidate =
		candidate_at(PLAN.addresses_until_us - 1, 105 * AUB_SECOND);

	candidate.target_us = AUB_SECOND;
	candidate.idempotent = true;

	EXPECT_TRUE(admits(candidate));
	candidate.now_us++;
	EXPECT_FALSE(admits(candidate));
	candidate.now_us = 95 * AUB_SECOND;
	candidate.target_us = 3 * AUB_SECOND; /* would end too late */
	EXPECT_FALSE(admits(candidate));
	candidate.target_us = 0;
	EXPECT_FALSE(admits(candidate));
}

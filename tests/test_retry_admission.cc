/*
 * Who gets the fleet's retries while more requests need one than the budget
 * allows.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/retry_admission.h>
#include <auburnstile/internal/retry_earnings.h>

#include <deque>
#include <vector>

#define US_PER_MS ((gint64)1000)
#define US_PER_S (1000 * US_PER_MS)
#define WINDOW_US (10 * US_PER_S)

/* The account of a fleet that has one gateway, which starts with its reserve.
 */
struct Admission {
	struct aub_retry_admission admission;
	struct aub_retry_earnings earnings;
	struct aub_retry_terms terms;

	explicit Admission(double ratio = 0.2, double slack = 60)
	    : terms({ ratio, slack, WINDOW_US })
	{
		aub_retry_admission_init(&admission, WINDOW_US);
		aub_retry_earnings_init(&earnings, US_PER_S - WINDOW_US);
	}
	~Admission()
	{
		aub_retry_admission_clear(&admission);
	}
	Admission(const Admission &) = delete;
	void hand_over(bool first, gint64 now_us)
	{
		guint32 thousandths =
			aub_retry_earnings_hand_over(&earnings, &terms, first,
						     !first, now_us);

		aub_retry_admission_add_credit(&admission, thousandths / 1000.0,
					       now_us);
	}
	void add_request(gint64 now_us)
	{
		hand_over(true, now_us);
	}
	bool claim(const struct aub_retry_claim &claim, gint64 now_us)
	{
		hand_over(false, now_us);
		return aub_retry_admission_decide(&admission, &claim, now_us) ==
		       AUB_RETRY_ADMITTED;
	}
};

static struct aub_retry_claim likely_claim()
{
	struct aub_retry_claim claim = {};

	claim.success = 0.5;
	return claim;
}

/* 200 requests a second, of which every second one needs a retry. */
class Outage
{
      public:
	static constexpr gint64 STEP_US = 5 * US_PER_MS;
	Admission admission;
	std::vector<int> by_second;
	int claims = 0;
	int admitted = 0;

	/* Runs without failures until the window is full, then the outage. */
	void run(int seconds)
	{
		gint64 now_us = US_PER_S;

		for (; now_us < 2 * WINDOW_US; now_us += STEP_US)
			admission.add_request(now_us);
		by_second.assign(seconds, 0);
		for (gint64 us = 0; us < seconds * US_PER_S; us += STEP_US) {
			admission.add_request(now_us + us);
			if (us / STEP_US % 2)
				continue;
			claims++;
			bool granted =
				admission.claim(likely_claim(), now_us + us);
			admitted += granted;
			by_second[us / US_PER_S] += granted;
		}
	}
};

/* Guards against an outage that uses up the budget in its first second. */
TEST(RetryAdmission, SpreadsRetriesOverAnOutage)
{
	Outage outage;

	outage.run(10);
	for (int admitted : outage.by_second)
		EXPECT_GE(admitted, 30);
	/* Nearly the whole budget is used: 0.2 of 2,000 requests, and 60. */
	EXPECT_GE(outage.admitted, 400);
	EXPECT_LE(outage.admitted, 460);
}

TEST(RetryAdmission, AdmitsBurstOfFailuresAtOnce)
{
	Admission admission;
	int admitted = 0;

	for (gint64 us = US_PER_S; us < 2 * WINDOW_US; us += 50 * US_PER_MS)
		admission.add_request(us);
	for (int i = 0; i < 25; i++)
		admitted += admission.claim(likely_claim(), 2 * WINDOW_US);
	EXPECT_EQ(admitted, 25);
}

/* Guards against callers refused when one upstream of a small fleet ends. */
TEST(RetryAdmission, AdmitsBurstOfFailuresInSmallFleet)
{
	Admission admission(0.2, 10);
	int admitted = 0;

	for (int i = 0; i < 300; i++)
		admission.add_request(US_PER_S + i * US_PER_MS);
	for (int i = 0; i < 15; i++)
		admitted += admission.claim(likely_claim(), 2 * US_PER_S);
	EXPECT_EQ(admitted, 15);
}

/*
 * Two kinds of claims compete for 45 retries a second: 40 claims a second of
 * the first kind, and 80 of the second. Returns the shares admitted.
 */
static std::pair<double, double> compete(const struct aub_retry_claim &first,
					 const struct aub_retry_claim &second)
{
	Admission admission(0.2, 50);
	int admitted[2] = { 0, 0 };
	int claims[2] = { 0, 0 };

	for (int step = 0; step < 6000; step++) {
		gint64 now_us = US_PER_S + step * 5 * US_PER_MS;
		int kind = step % 15 == 0 || step % 15 == 5 || step % 15 == 10 ?
				   0 :
				   1;

		admission.add_request(now_us);
		if (step < 2000 || step % 5 == 3 || step % 5 == 4)
			continue;
		claims[kind]++;
		admitted[kind] +=
			admission.claim(kind ? second : first, now_us);
	}
	return { (double)admitted[0] / claims[0],
		 (double)admitted[1] / claims[1] };
}

TEST(RetryAdmission, PrefersRequestsThatCanBeOnTime)
{
	struct aub_retry_claim late = likely_claim();

	late.late = true;
	auto [on_time_share, late_share] = compete(likely_claim(), late);
	EXPECT_GT(on_time_share, 0.9);
	EXPECT_LT(late_share, 0.2);
}

TEST(RetryAdmission, PrefersHigherPriority)
{
	struct aub_retry_claim low = likely_claim();

	low.priority = 3;
	auto [high_share, low_share] = compete(likely_claim(), low);
	EXPECT_GT(high_share, 0.9);
	EXPECT_LT(low_share, 0.2);
}

/* A caller that returns gets another attempt without the budget. */
TEST(RetryAdmission, PrefersCallersThatWillNotReturn)
{
	struct aub_retry_claim returns = likely_claim();

	returns.returns = true;
	auto [final_share, returning_share] = compete(likely_claim(), returns);
	EXPECT_GT(final_share, 0.9);
	EXPECT_LT(returning_share, 0.2);
}

/* Guards against one workspace that uses up the retries of all others. */
TEST(RetryAdmission, PrefersWorkspaceWithFewRetries)
{
	struct aub_retry_claim quiet = likely_claim();
	struct aub_retry_claim busy = likely_claim();

	quiet.workspace = 1;
	quiet.weight = 1;
	busy.workspace = 2;
	busy.weight = 1;
	auto [quiet_share, busy_share] = compete(quiet, busy);
	EXPECT_GT(quiet_share, 0.45);
	EXPECT_GT(quiet_share, 1.5 * busy_share);
}

TEST(RetryAdmission, GivesWhatIsLeftToLowerRanks)
{
	struct aub_retry_claim late = likely_claim();
	Admission admission;
	int admitted = 0;

	late.late = true;
	for (int step = 0; step < 4000; step++) {
		gint64 now_us = US_PER_S + step * 5 * US_PER_MS;

		admission.add_request(now_us);
		if (step % 10 == 0)
			admitted += admission.claim(late, now_us);
	}
	EXPECT_GT(admitted, 380);
}

/* Guards against spending the budget while all upstreams refuse everything. */
TEST(RetryAdmission, KeepsBudgetWhileAttemptsAreFutile)
{
	struct aub_retry_claim futile = likely_claim();
	Admission admission;

	futile.success = 0.02;
	for (int i = 0; i < 100; i++)
		EXPECT_FALSE(admission.claim(futile, US_PER_S));
	EXPECT_TRUE(admission.claim(likely_claim(), US_PER_S));
}

/* The gateway hands its credit to the placer that it asks. */
static void hand_over(Admission &gateway, Admission &placer, bool first,
		      gint64 now_us)
{
	guint32 thousandths =
		aub_retry_earnings_hand_over(&gateway.earnings, &gateway.terms,
					     first, !first, now_us);

	aub_retry_admission_add_credit(&placer.admission, thousandths / 1000.0,
				       now_us);
}

static bool claim(Admission &gateway, Admission &placer, gint64 now_us)
{
	const struct aub_retry_claim likely = likely_claim();

	hand_over(gateway, placer, false, now_us);
	return aub_retry_admission_decide(&placer.admission, &likely, now_us) ==
	       AUB_RETRY_ADMITTED;
}

/*
 * Runs an outage in virtual time in which the placer dies or is paused, so that
 * another one takes over, and in which both may place for a while. Returns the
 * most retries that any window had beyond its bound.
 */
static double largest_excess(guint seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	Admission gateway(0.95 * 0.2, 0.9 * 60); /* all earnings are its own */
	Admission deputy(0, 0);
	Admission *accounts[] = { &gateway, &deputy };
	std::deque<gint64> requests;
	std::deque<gint64> retries;
	double largest = -1e9;
	gint64 takeover_us = g_rand_int_range(random, 8, 16) * US_PER_S;
	gint64 both_us = g_rand_int_range(random, 0, 4000) * US_PER_MS;
	gint64 outage_us =
		takeover_us - g_rand_int_range(random, 0, 6000) * US_PER_MS;
	guint per_s = (guint)g_rand_int_range(random, 20, 600);
	double failing = g_rand_double_range(random, 0.1, 0.9);

	for (gint64 now = US_PER_S; now < 30 * US_PER_S;
	     now += US_PER_S / per_s) {
		bool after = now >= takeover_us;
		bool both = after && now < takeover_us + both_us;
		guint placer = !after ? 0 :
			       both   ? g_rand_int_range(random, 0, 2) :
					1;
		Admission &account = *accounts[placer];

		hand_over(gateway, account, true, now);
		requests.push_back(now);
		if (now >= outage_us && g_rand_double(random) < failing &&
		    claim(gateway, account, now))
			retries.push_back(now);
		while (requests.front() <= now - WINDOW_US)
			requests.pop_front();
		while (!retries.empty() && retries.front() <= now - WINDOW_US)
			retries.pop_front();
		largest = MAX(largest, (double)retries.size() -
					       0.2 * requests.size() - 60);
	}
	g_rand_free(random);
	return largest;
}

/* Guards against placers that together exceed the bound of the fleet. */
TEST(RetryAdmission, PlacersTogetherKeepTheBudgetThroughTakeovers)
{
	for (guint seed = 1; seed <= 1000; seed++)
		ASSERT_LE(largest_excess(seed), 0) << "seed " << seed;
}

/*
 * An oracle that knows the whole outage gives all of the budget to claims of
 * the first rank, as long as there are any.
 */
TEST(RetryAdmission, ComesCloseToAnOracleThatKnowsTheOutage)
{
	for (guint seed = 1; seed <= 20; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		Admission admission(0.2, 60);
		double best = 0;
		int served = 0;
		int urgent = 0;
		gint64 start = 2 * WINDOW_US;

		for (gint64 us = US_PER_S; us < start; us += 5 * US_PER_MS)
			admission.add_request(us);
		for (gint64 us = 0; us < WINDOW_US; us += 5 * US_PER_MS) {
			struct aub_retry_claim claim = likely_claim();

			admission.add_request(start + us);
			if (g_rand_double(random) > 0.7)
				continue;
			claim.returns = g_rand_double(random) < 0.7;
			urgent += !claim.returns;
			if (admission.claim(claim, start + us))
				served += !claim.returns;
		}
		best = MIN(urgent, 0.2 * 2000 + 60);
		EXPECT_GT(served, 0.85 * best) << "seed " << seed;
		g_rand_free(random);
	}
}

/*
 * The quotas of workspaces: credit, what processes tell each other, and the
 * bound over all processes in any window.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/quota.h>

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#define SECOND_US ((gint64)G_USEC_PER_SEC)

/* One process's copy of the quota of workspace "w". */
class Process
{
      public:
	struct aub_quotas *quotas = aub_quotas_new();
	guint64 incarnation;
	guint quota;

	Process(guint64 own_incarnation, double rate, double burst,
		gint64 now_us)
	    : incarnation(own_incarnation)
	{
		configure(rate, burst, now_us);
		quota = aub_quotas_find(quotas, "w");
	}
	~Process()
	{
		aub_quotas_free(quotas);
	}
	void configure(double rate, double burst, gint64 now_us)
	{
		struct aub_workspaces *workspaces = aub_workspaces_new(NULL);
		const struct aub_workspace workspace = {
			.name = (char *)"w",
			.priority = 0,
			.rate_per_s = rate,
			.burst = burst,
		};

		aub_workspaces_add(workspaces, &workspace, NULL);
		aub_quotas_configure(quotas, workspaces, now_us);
		aub_workspaces_free(workspaces);
	}
	bool has_credit(gint64 now_us, guint waiting = 0, bool late = false)
	{
		const struct aub_quota_claim claim = { .waiting = waiting,
						       .late = late };

		return aub_quota_has_credit(quotas, quota, &claim, now_us);
	}
	bool admit(gint64 now_us, bool late = false)
	{
		if (!has_credit(now_us, 0, late))
			return false;
		aub_quota_take(quotas, quota, now_us);
		return true;
	}
	guint admit_all(guint count, gint64 now_us)
	{
		guint admitted = 0;

		for (guint i = 0; i < count; i++)
			admitted += admit(now_us);
		return admitted;
	}
	void tell(Process &other, gint64 now_us)
	{
		struct aub_quota_use list[4];
		guint count = aub_quotas_take_unsent(quotas, list, 4);

		for (guint i = 0; i < count; i++)
			aub_quotas_apply_use(other.quotas, incarnation,
					     &list[i], now_us);
	}
	double credit(gint64 now_us)
	{
		struct aub_quota_stats stats;

		EXPECT_TRUE(aub_quota_get_stats(quotas, quota, now_us, &stats));
		return stats.credit;
	}
};

TEST(Quota, StartsWithoutCreditAndFillsUpToTheBurst)
{
	Process process(1, 10, 5, 0);

	EXPECT_EQ(process.admit_all(10, 0), 0u);
	EXPECT_EQ(process.admit_all(10, SECOND_US / 5), 2u);
	EXPECT_EQ(process.admit_all(100, 100 * SECOND_US), 5u);
}

TEST(Quota, UnlimitedAndUnknownWorkspacesAlwaysHaveCredit)
{
	Process process(1, 0, 0, 0);

	EXPECT_EQ(process.admit_all(1000, 0), 1000u);
	EXPECT_EQ(aub_quotas_count_unsent(process.quotas), 0u);
	EXPECT_EQ(aub_quotas_find(process.quotas, ""), 0u);
	EXPECT_EQ(aub_quotas_find(process.quotas, NULL), 0u);
	process.quota = 0;
	EXPECT_TRUE(process.has_credit(0, 9));
}

TEST(Quota, ReservesCreditForRequestsThatWait)
{
	Process process(1, 10, 5, 0);
	gint64 now = 10 * SECOND_US;

	EXPECT_TRUE(process.has_credit(now, 4));
	EXPECT_FALSE(process.has_credit(now, 5));
}

TEST(Quota, GivesCreditBack)
{
	Process process(1, 1, 1, 0);
	gint64 now = 10 * SECOND_US;

	EXPECT_TRUE(process.admit(now));
	EXPECT_FALSE(process.admit(now));
	aub_quota_give_back(process.quotas, process.quota, now);
	EXPECT_TRUE(process.admit(now));
}

/* Failure: requests refused together come back together. */
TEST(Quota, SpreadsReturnOverTheCreditToCome)
{
	Process process(1, 10, 1, 0);
	gint64 now = 10 * SECOND_US;
	guint previous = 0;

	EXPECT_TRUE(process.admit(now));
	for (guint i = 0; i < 10; i++) {
		guint after = aub_quota_retry_after_ms(process.quotas,
						       process.quota, now);

		EXPECT_GE(after, previous + 99);
		previous = after;
	}
	EXPECT_LE(previous, 1100u);
	for (guint i = 0; i < 1000; i++)
		previous = aub_quota_retry_after_ms(process.quotas,
						    process.quota, now);
	EXPECT_LE(previous, 5000u);
}

/*
 * Failure: callers that were refused return while others keep arriving, and
 * each of them takes the place of one who would be served on time.
 */
TEST(Quota, AsksNobodyBackSoonWhileDemandExceedsTheRate)
{
	Process process(1, 10, 1, 0);
	guint after = 0;

	for (gint64 now = 10 * SECOND_US; now < 20 * SECOND_US;
	     now += SECOND_US / 20)
		if (!process.admit(now))
			after = aub_quota_retry_after_ms(process.quotas,
							 process.quota, now);
	EXPECT_GE(after, 4000u);
	EXPECT_TRUE(process.admit(30 * SECOND_US));
	EXPECT_FALSE(process.admit(30 * SECOND_US));
	EXPECT_LE(aub_quota_retry_after_ms(process.quotas, process.quota,
					   30 * SECOND_US),
		  100u);
}

TEST(Quota, LateRequestsGetCreditThatOthersLeave)
{
	Process process(1, 10, 41, 0);
	gint64 now = 10 * SECOND_US;

	for (guint i = 0; i < 31; i++)
		EXPECT_TRUE(process.admit(now, true)) << i;
	EXPECT_FALSE(process.admit(now, true));
	EXPECT_EQ(process.admit_all(100, now), 10u);
}

/*
 * Failure: callers that return take the credit of those that could be served on
 * time. Plays a workspace that asks for twice its rate; who is refused returns
 * once after 400 ms, when it is too late.
 */
TEST(Quota, CreditGoesToThoseWhoCanBeServedOnTime)
{
	Process process(1, 40, 40, 0);
	std::deque<gint64> returning;
	guint on_time = 0;
	guint late = 0;

	for (gint64 now = 10 * SECOND_US; now < 30 * SECOND_US;
	     now += SECOND_US / 80) {
		while (!returning.empty() && returning.front() <= now) {
			late += process.admit(now, true);
			returning.pop_front();
		}
		if (process.admit(now))
			on_time++;
		else
			returning.push_back(now + 2 * SECOND_US / 5);
	}
	EXPECT_GE(on_time, 0.95 * 40 * 20);
	EXPECT_LE(late, 0.05 * 40 * 20);
}

TEST(Quota, LowerLimitAppliesAtOnceHigherOneWithoutCredit)
{
	Process process(1, 10, 50, 0);
	gint64 now = 100 * SECOND_US;

	process.configure(10, 5, now);
	EXPECT_EQ(process.admit_all(100, now), 5u);
	process.configure(10, 50, now);
	EXPECT_EQ(process.admit_all(100, now), 0u);
	EXPECT_EQ(process.admit_all(100, now + SECOND_US), 10u);
}

TEST(Quota, NewLimitInRunningProcessHasItsBurst)
{
	Process process(1, 0, 0, 0);

	process.configure(10, 5, SECOND_US);
	EXPECT_EQ(process.admit_all(100, SECOND_US), 5u);
}

TEST(Quota, TakesOutWhatOthersGranted)
{
	gint64 now = 100 * SECOND_US;
	Process one(1, 10, 50, 0);
	Process two(2, 10, 50, 0);

	EXPECT_EQ(one.admit_all(30, now), 30u);
	one.tell(two, now);
	EXPECT_NEAR(two.credit(now), 20, 1e-6);
	EXPECT_EQ(two.admit_all(100, now), 20u);
	two.tell(one, now);
	EXPECT_NEAR(one.credit(now), 0, 1e-6);
}

/* Failure: a lost datagram leaves another process with credit for good. */
TEST(Quota, NextMessageRepairsLostOne)
{
	gint64 now = 100 * SECOND_US;
	Process one(1, 10, 50, 0);
	Process two(2, 10, 50, 0);
	struct aub_quota_use lost[4];

	one.admit_all(5, now);
	one.tell(two, now);
	one.admit_all(10, now);
	EXPECT_EQ(aub_quotas_take_unsent(one.quotas, lost, 4), 1u);
	one.tell(two, now); /* each count is sent more than once */
	EXPECT_NEAR(two.credit(now), 35, 1e-6);
	EXPECT_EQ(aub_quotas_count_unsent(one.quotas), 0u);
}

/* Failure: with many workspaces, some are never told of. */
TEST(Quota, TellsOfEachWorkspaceBeforeItRepeatsAny)
{
	struct aub_quotas *quotas = aub_quotas_new();
	struct aub_workspaces *workspaces = aub_workspaces_new(NULL);
	struct aub_quota_use list[30];

	for (int i = 0; i < 100; i++) {
		std::string name = "w" + std::to_string(i);
		const struct aub_workspace workspace = {
			.name = (char *)name.c_str(),
			.priority = 0,
			.rate_per_s = 1,
			.burst = 1,
		};

		aub_workspaces_add(workspaces, &workspace, NULL);
	}
	aub_quotas_configure(quotas, workspaces, 0);
	for (guint i = 1; i <= 100; i++)
		aub_quota_take(quotas, i, 0);
	std::map<std::string, int> told;
	for (int batch = 0; batch < 4; batch++) {
		guint count = aub_quotas_take_unsent(quotas, list, 30);

		for (guint i = 0; i < count; i++)
			told[list[i].workspace]++;
	}
	EXPECT_EQ(told.size(), 100u);
	EXPECT_EQ(aub_quotas_count_unsent(quotas), 80u);
	aub_workspaces_free(workspaces);
	aub_quotas_free(quotas);
}

TEST(Quota, RepeatedMessageCountsOnce)
{
	gint64 now = 100 * SECOND_US;
	Process one(1, 10, 50, 0);
	Process two(2, 10, 50, 0);
	const struct aub_quota_use use = { .workspace = "w",
					   .used = 12,
					   .recent = 12 };

	for (int i = 0; i < 3; i++)
		aub_quotas_apply_use(two.quotas, 1, &use, now);
	EXPECT_NEAR(two.credit(now), 38, 1e-6);
}

/* Failure: a process that takes over grants the burst once more. */
TEST(Quota, EmptiedQuotaRefillsByItsRateOnly)
{
	gint64 now = 100 * SECOND_US;
	Process process(1, 10, 50, 0);

	aub_quotas_empty(process.quotas, now);
	EXPECT_EQ(process.admit_all(100, now), 0u);
	EXPECT_EQ(process.admit_all(100, now + SECOND_US), 10u);
}

/* Failure: both sides of a partition grant the whole quota. */
TEST(Quota, ShareBoundsRateAndBurst)
{
	Process process(1, 10, 50, 0);
	gint64 now = 100 * SECOND_US;

	aub_quotas_set_share(process.quotas, 0.2, now);
	EXPECT_EQ(process.admit_all(100, now), 10u);
	EXPECT_EQ(process.admit_all(100, now + SECOND_US), 2u);
	EXPECT_EQ(process.admit_all(100, now + 100 * SECOND_US), 10u);
}

/* Failure: more is owed than callers could ever make up for. */
TEST(Quota, DebtIsBounded)
{
	Process process(1, 10, 50, 0);
	gint64 now = 100 * SECOND_US;
	const struct aub_quota_use use = { .workspace = "w",
					   .used = G_MAXINT,
					   .recent = G_MAXINT };

	aub_quotas_apply_use(process.quotas, 9, &use, now);
	EXPECT_EQ(process.admit_all(100, now + 5 * SECOND_US), 0u);
	EXPECT_GT(process.admit_all(100, now + 10 * SECOND_US), 0u);
}

/*
 * Plays a load on several processes that tell each other what they granted,
 * with a delay, after at most 100 ms or at once when it is urgent.
 */
class QuotaPlay
{
      public:
	double rate;
	double burst;
	std::vector<gint64> granted_us;
	guint asked = 0;

	QuotaPlay(double own_rate, double own_burst)
	    : rate(own_rate), burst(own_burst)
	{
	}
	void play(guint processes, double per_s, gint64 delay_us, guint seed,
		  double loss = 0)
	{
		std::vector<std::unique_ptr<Process>> all;
		GRand *random = g_rand_new_with_seed(seed);
		gint64 now = 0;
		gint64 next_send_us = 0;

		for (guint i = 0; i < processes; i++)
			all.emplace_back(new Process(i + 1, rate, burst, 0));
		while (now < 30 * SECOND_US) {
			guint i = (guint)g_rand_int_range(random, 0,
							  (gint32)processes);

			now += (gint64)(-log(1 - g_rand_double(random)) /
					per_s * SECOND_US);
			deliver(all, now);
			if (now > 5 * SECOND_US) {
				asked++;
				if (all[i]->admit(now))
					granted_us.push_back(now);
			}
			for (auto &process : all)
				if (now >= next_send_us ||
				    aub_quotas_is_send_urgent(process->quotas))
					send(*process, all, now + delay_us,
					     random, loss);
			if (now >= next_send_us)
				next_send_us = now + SECOND_US / 10;
		}
		g_rand_free(random);
	}
	/* Returns the most that was granted in any window, over the quota. */
	double overrun(gint64 window_us) const
	{
		double most = 0;
		size_t first = 0;

		for (size_t i = 0; i < granted_us.size(); i++) {
			while (granted_us[i] - granted_us[first] > window_us)
				first++;
			most = MAX(most, (double)(i - first + 1));
		}
		return most - (rate * (double)window_us / SECOND_US + burst);
	}

      private:
	struct Sent {
		gint64 at_us;
		size_t to;
		guint64 origin;
		struct aub_quota_use use;
	};
	std::deque<Sent> sent_;

	void send(Process &from, std::vector<std::unique_ptr<Process>> &all,
		  gint64 at_us, GRand *random, double loss)
	{
		struct aub_quota_use use;

		if (!aub_quotas_take_unsent(from.quotas, &use, 1))
			return;
		for (size_t i = 0; i < all.size(); i++)
			if (all[i].get() != &from &&
			    g_rand_double(random) >= loss)
				sent_.push_back(
					{ at_us, i, from.incarnation, use });
	}
	void deliver(std::vector<std::unique_ptr<Process>> &all, gint64 now_us)
	{
		while (!sent_.empty() && sent_.front().at_us <= now_us) {
			Sent &sent = sent_.front();

			sent.use.workspace = "w";
			aub_quotas_apply_use(all[sent.to]->quotas, sent.origin,
					     &sent.use, now_us);
			sent_.pop_front();
		}
	}
};

/*
 * Failure: placers of several services grant more together than the quota. The
 * bound is that of the users: a tenth more, and twenty requests.
 */
TEST(Quota, PlacersTogetherKeepQuotaUnderManyTimesItsLoad)
{
	for (double rate : { 2.5, 20.0, 271.0, 2000.0 })
		for (guint processes : { 2u, 4u, 8u })
			for (guint seed = 1; seed <= 4; seed++) {
				QuotaPlay play(rate, rate);
				double allowed = 0.1 * (5 * rate + rate) + 20;

				play.play(processes, 7.5 * rate, 3000, seed,
					  0.05);
				EXPECT_LE(play.overrun(5 * SECOND_US), allowed)
					<< rate << " by " << processes;
				EXPECT_GE((double)play.granted_us.size(),
					  0.95 * rate * 25)
					<< rate << " by " << processes;
			}
}

/* Failure: a workspace within its quota is refused because it is split. */
TEST(Quota, LoadWithinQuotaIsHardlyEverRefused)
{
	for (double rate : { 20.0, 271.0, 2000.0 }) {
		QuotaPlay play(rate, rate);

		play.play(4, rate / 1.6, 3000, 7);
		EXPECT_GE((double)play.granted_us.size(), 0.999 * play.asked)
			<< rate;
	}
}

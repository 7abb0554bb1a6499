/*
 * The order of the queue by workspace: plays overloads and checks what the
 * callers of each workspace get.
 */
#include "placement_fixture.h"

#include <deque>
#include <map>

/* A workspace of the play: callers a second, and its quota's rate. */
struct PlayedWorkspace {
	const char *name;
	double calls_per_s;
	double rate_per_s; /* 0: no limit */
	guint calls = 0;
	guint on_time = 0;

	double on_time_share() const
	{
		return (double)on_time / calls;
	}
};

/*
 * Four upstreams with two slots each and 100 ms of work serve 80 requests a
 * second. A request is on time if it gets a slot within 300 ms.
 */
class WorkspaceLoad
{
      public:
	static constexpr gint64 WORK_MS = 100;
	static constexpr gint64 MAX_WAIT_MS = 300;
	static constexpr gint64 DURATION_MS = 20000;
	static constexpr guint32 SEED = 5;
	std::vector<PlayedWorkspace> workspaces;
	guint served = 0;

	explicit WorkspaceLoad(std::vector<PlayedWorkspace> played)
	    : workspaces(std::move(played))
	{
		struct aub_workspaces *table = aub_workspaces_new(NULL);

		for (const PlayedWorkspace &played_workspace : workspaces) {
			const struct aub_workspace workspace = {
				.name = (char *)played_workspace.name,
				.priority = 0,
				.rate_per_s = played_workspace.rate_per_s,
				.burst = played_workspace.rate_per_s,
			};

			aub_workspaces_add(table, &workspace, NULL);
		}
		aub_quotas_configure(quotas_, table, 0);
		aub_workspaces_free(table);
		for (const char *id : { "u1", "u2", "u3", "u4" })
			fixture_.add_healthy(id);
	}
	~WorkspaceLoad()
	{
		aub_quotas_free(quotas_);
		g_rand_free(random_);
	}
	void run()
	{
		gint64 start_us = fixture_.now_us;

		for (gint64 ms = 0; ms < DURATION_MS; ms++) {
			fixture_.now_us = start_us + ms * US_PER_MS;
			finish_due(ms);
			for (size_t i = 0; i < workspaces.size(); i++)
				if (g_rand_double(random_) <
				    workspaces[i].calls_per_s / 1000)
					call(i, ms);
			grant_queued(ms);
		}
	}

      private:
	PlacementFixture fixture_;
	struct aub_quotas *quotas_ = aub_quotas_new();
	GRand *random_ = g_rand_new_with_seed(SEED);
	std::map<guint64, size_t> caller_of_;
	std::deque<std::pair<gint64, guint64>> running_;

	void call(size_t i, gint64 ms)
	{
		struct aub_placement_request request = fixture_.new_request();

		request.quotas = quotas_;
		request.quota = aub_quotas_find(quotas_, workspaces[i].name);
		request.on_time_wait_ms = MAX_WAIT_MS;
		request.max_wait_ms = MAX_WAIT_MS;
		caller_of_[request.ticket] = i;
		workspaces[i].calls++;
		if (fixture_.submit(request).verdict == AUB_VERDICT_GRANTED)
			start(request.ticket, ms);
	}
	void start(guint64 ticket, gint64 ms)
	{
		workspaces[caller_of_[ticket]].on_time++;
		served++;
		running_.push_back({ ms + WORK_MS, ticket });
	}
	void finish_due(gint64 ms)
	{
		while (!running_.empty() && running_.front().first <= ms) {
			fixture_.report(running_.front().second, AUB_GRANT_OK,
					WORK_MS * US_PER_MS);
			running_.pop_front();
			grant_queued(ms);
		}
	}
	void grant_queued(gint64 ms)
	{
		struct aub_placement_decision decision;

		while (fixture_.next_decision(&decision))
			if (decision.verdict == AUB_VERDICT_GRANTED)
				start(decision.ticket, ms);
	}
};

/* Failure: one workspace fills the queue, and the others are refused with it.
 */
TEST(PlacementOrder, WorkspaceWithManyTimesItsUsualLeavesOthersAsTheyWere)
{
	WorkspaceLoad load({ { "hot", 400, 0 },
			     { "a", 4, 0 },
			     { "b", 4, 0 },
			     { "c", 4, 0 },
			     { "d", 4, 0 } });

	load.run();
	for (size_t i = 1; i < load.workspaces.size(); i++)
		EXPECT_GE(load.workspaces[i].on_time_share(), 0.97)
			<< load.workspaces[i].name;
	EXPECT_GE(load.served, 0.95 * 80 * 20);
}

/* The same within a quota that allows as much as the upstreams can serve. */
TEST(PlacementOrder, WorkspaceWithinLargeQuotaTakesItsShareOnly)
{
	WorkspaceLoad load({ { "hot", 400, 60 },
			     { "a", 8, 12 },
			     { "b", 8, 12 },
			     { "c", 8, 12 } });

	load.run();
	for (size_t i = 1; i < load.workspaces.size(); i++)
		EXPECT_GE(load.workspaces[i].on_time_share(), 0.95)
			<< load.workspaces[i].name;
}

/*
 * Failure: if all workspaces ask for more, the largest one alone is refused.
 * Slots are shared by quota, so that each gets the same part of what it asks.
 */
TEST(PlacementOrder, OverloadByAllIsSharedByQuota)
{
	WorkspaceLoad load({ { "large", 100, 100 },
			     { "middle", 40, 40 },
			     { "small", 20, 20 } });

	load.run();
	for (const PlayedWorkspace &workspace : load.workspaces) {
		EXPECT_GE(workspace.on_time_share(), 0.4) << workspace.name;
		EXPECT_LE(workspace.on_time_share(), 0.7) << workspace.name;
	}
	EXPECT_GE(load.served, 0.95 * 80 * 20);
}

TEST(PlacementOrder, ServesWorkspaceWithFewestRecentGrantsForItsWeight)
{
	PlacementFixture fixture;
	struct aub_quotas *quotas = aub_quotas_new();
	struct aub_placement_decision decision;
	std::vector<guint64> granted;

	fixture.add_healthy("u1");
	for (int i = 0; i < 4; i++) {
		struct aub_placement_request request = fixture.new_request();

		request.quotas = quotas;
		request.quota = aub_quotas_find(quotas, i < 3 ? "a" : "b");
		if (fixture.submit(request).verdict == AUB_VERDICT_GRANTED)
			granted.push_back(request.ticket);
	}
	ASSERT_EQ(granted.size(), 2u); /* both for "a" */
	fixture.now_us += 10 * US_PER_MS;
	fixture.report(granted[0]);
	ASSERT_TRUE(fixture.next_decision(&decision));
	EXPECT_EQ(decision.ticket, 4u); /* of "b", though it came last */
	aub_quotas_free(quotas);
}

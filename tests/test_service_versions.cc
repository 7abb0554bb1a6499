/*
 * Tracking of a service's versions.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/service_versions.h>

#include <string>
#include <vector>

#define SECOND ((gint64)1000000)

class Versions : public ::testing::Test
{
      protected:
	struct aub_service_versions versions;
	struct Upstream {
		std::string version;
		gint64 started_ms;
	};
	std::vector<Upstream> upstreams;
	gint64 now_us = SECOND;

	void SetUp() override
	{
		aub_service_versions_init(&versions);
	}
	void TearDown() override
	{
		aub_service_versions_clear(&versions);
	}
	gint index(const std::string &name)
	{
		return aub_service_versions_index(&versions, name.c_str());
	}
	void count()
	{
		aub_service_versions_begin_count(&versions);
		for (auto &upstream : upstreams)
			aub_service_versions_add(&versions,
						 index(upstream.version),
						 upstream.started_ms);
		aub_service_versions_finish_count(&versions, now_us);
	}
	bool is_active(const std::string &name)
	{
		return aub_service_versions_is_active(&versions, index(name));
	}
	void order(const std::string &name)
	{
		aub_service_versions_set_target(&versions, index(name), now_us);
		count();
	}
};

TEST_F(Versions, OnlyVersionIsActive)
{
	upstreams = { { "v1", 5 }, { "v1", 9 } };
	count();
	EXPECT_TRUE(is_active("v1"));
}

/*
 * Guards against requests to a version whose order has not been received yet.
 */
TEST_F(Versions, WithholdsVersionThatAppearsLater)
{
	upstreams = { { "v1", 5 } };
	count();
	upstreams.push_back({ "v2", 9 });
	count();
	EXPECT_TRUE(is_active("v1"));
	EXPECT_FALSE(is_active("v2"));
}

/*
 * Guards against a gateway that starts during a rollout and activates the new
 * version.
 */
TEST_F(Versions, OldestVersionIsCurrentWhicheverIsReadFirst)
{
	upstreams = { { "v2", 900 } };
	count();
	upstreams = { { "v2", 900 }, { "v1", 5 } };
	count();
	EXPECT_TRUE(is_active("v1"));
	EXPECT_FALSE(is_active("v2"));
}

TEST_F(Versions, KeepsCurrentVersionWhileItsUpstreamsRestart)
{
	upstreams = { { "v1", 5 } };
	count();
	now_us += 11 * SECOND;
	upstreams = { { "v1", 5 }, { "v2", 900 } };
	count();
	upstreams = { { "v1", 1000 }, { "v2", 900 } };
	count();
	EXPECT_TRUE(is_active("v1"));
	EXPECT_FALSE(is_active("v2"));
}

/*
 * Guards against upstreams without requests where versions change without
 * orders.
 */
TEST_F(Versions, AdmitsVersionWithoutOrderAfterADelay)
{
	upstreams = { { "v1", 5 }, { "v2", 900 } };
	count();
	now_us += 9 * SECOND;
	EXPECT_FALSE(aub_service_versions_admit(&versions, now_us));
	now_us += 2 * SECOND;
	EXPECT_TRUE(aub_service_versions_admit(&versions, now_us));
	EXPECT_TRUE(is_active("v1"));
	EXPECT_TRUE(is_active("v2"));
}

TEST_F(Versions, ActivatesOtherVersionImmediatelyIfOldOneHasNoUpstreams)
{
	upstreams = { { "v1", 5 }, { "v2", 900 } };
	count();
	upstreams = { { "v2", 900 } };
	count();
	EXPECT_TRUE(is_active("v2"));
}

TEST_F(Versions, OrderWithholdsItsVersionEvenIfAdmitted)
{
	upstreams = { { "v1", 5 }, { "v2", 900 } };
	count();
	now_us += 11 * SECOND;
	aub_service_versions_admit(&versions, now_us);
	order("v2");
	EXPECT_FALSE(is_active("v2"));
	now_us += 30 * SECOND;
	EXPECT_FALSE(aub_service_versions_admit(&versions, now_us));
	EXPECT_TRUE(is_active("v1"));
}

/* Guards against activating a rolled-back version without an order. */
TEST_F(Versions, WithholdsVersionOfUncompletedOrder)
{
	upstreams = { { "v1", 5 }, { "v2", 900 } };
	count();
	order("v2");
	aub_service_versions_set_target(&versions, AUB_VERSION_NONE, now_us);
	now_us += 60 * SECOND;
	EXPECT_FALSE(aub_service_versions_admit(&versions, now_us));
	upstreams = { { "v2", 900 } };
	count();
	EXPECT_FALSE(is_active("v2"));
}

TEST_F(Versions, CompletedOrderLeavesOnlyItsVersionActive)
{
	upstreams = { { "v1", 5 }, { "v2", 900 } };
	count();
	order("v2");
	aub_service_versions_complete(&versions, index("v2"), now_us);
	count();
	EXPECT_TRUE(is_active("v2"));
	EXPECT_FALSE(is_active("v1"));
	EXPECT_FALSE(aub_service_versions_admit(&versions, now_us + SECOND));
}

TEST_F(Versions, ReplacesUnusedNamesIfTheListIsFull)
{
	upstreams = { { "v1", 5 } };
	count();
	for (int i = 0; i < 500; i++) {
		upstreams = { { "v1", 5 }, { "w" + std::to_string(i), 9 } };
		count();
	}
	EXPECT_TRUE(is_active("v1"));
	EXPECT_FALSE(is_active("w499"));
}

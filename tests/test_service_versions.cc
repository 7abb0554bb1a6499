/*
 * Which versions of a service's upstreams may take requests.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/service_versions.h>

#include <string>
#include <vector>

#define SECOND ((gint64)1000000)

class Versions : public ::testing::Test
{
      protected:
	struct aub_service_versions it;
	struct Upstream {
		std::string version;
		gint64 born;
	};
	std::vector<Upstream> upstreams;
	gint64 now = SECOND;

	void SetUp() override
	{
		aub_service_versions_init(&it);
	}
	void TearDown() override
	{
		aub_service_versions_clear(&it);
	}
	gint index(const std::string &name)
	{
		return aub_service_versions_index(&it, name.c_str());
	}
	void count()
	{
		aub_service_versions_begin_count(&it);
		for (auto &upstream : upstreams)
			aub_service_versions_add(&it, index(upstream.version),
						 upstream.born);
		aub_service_versions_finish_count(&it, now);
	}
	bool is_free(const std::string &name)
	{
		return aub_service_versions_is_active(&it, index(name));
	}
	void order(const std::string &name)
	{
		aub_service_versions_set_target(&it, index(name), now);
		count();
	}
};

TEST_F(Versions, TheOnlyOneIsInForce)
{
	upstreams = { { "v1", 5 }, { "v1", 9 } };
	count();
	EXPECT_TRUE(is_free("v1"));
}

/* Guards against requests to a version whose order is not heard of yet. */
TEST_F(Versions, HoldsOneThatAppearsBesideIt)
{
	upstreams = { { "v1", 5 } };
	count();
	upstreams.push_back({ "v2", 9 });
	count();
	EXPECT_TRUE(is_free("v1"));
	EXPECT_FALSE(is_free("v2"));
}

/* Guards against a gateway that starts in the middle and takes the new one. */
TEST_F(Versions, TakesTheOldestForTheOneInForceWhicheverIsReadFirst)
{
	upstreams = { { "v2", 900 } };
	count();
	upstreams = { { "v2", 900 }, { "v1", 5 } };
	count();
	EXPECT_TRUE(is_free("v1"));
	EXPECT_FALSE(is_free("v2"));
}

TEST_F(Versions, KeepsItWhileItsUpstreamsRestart)
{
	upstreams = { { "v1", 5 } };
	count();
	now += 11 * SECOND;
	upstreams = { { "v1", 5 }, { "v2", 900 } };
	count();
	upstreams = { { "v1", 1000 }, { "v2", 900 } };
	count();
	EXPECT_TRUE(is_free("v1"));
	EXPECT_FALSE(is_free("v2"));
}

/* Guards against upstreams that starve where versions come without orders. */
TEST_F(Versions, AdmitsWhatWaitsForNoOrder)
{
	upstreams = { { "v1", 5 }, { "v2", 900 } };
	count();
	now += 9 * SECOND;
	EXPECT_FALSE(aub_service_versions_admit(&it, now));
	now += 2 * SECOND;
	EXPECT_TRUE(aub_service_versions_admit(&it, now));
	EXPECT_TRUE(is_free("v1"));
	EXPECT_TRUE(is_free("v2"));
}

TEST_F(Versions, TakesTheOtherAtOnceWhereTheOldOneIsGone)
{
	upstreams = { { "v1", 5 }, { "v2", 900 } };
	count();
	upstreams = { { "v2", 900 } };
	count();
	EXPECT_TRUE(is_free("v2"));
}

TEST_F(Versions, AnOrderHoldsItsVersionAlsoWhereItWasAdmitted)
{
	upstreams = { { "v1", 5 }, { "v2", 900 } };
	count();
	now += 11 * SECOND;
	aub_service_versions_admit(&it, now);
	order("v2");
	EXPECT_FALSE(is_free("v2"));
	now += 30 * SECOND;
	EXPECT_FALSE(aub_service_versions_admit(&it, now));
	EXPECT_TRUE(is_free("v1"));
}

/* Guards against a rolled-back version that comes back without an order. */
TEST_F(Versions, HoldsForGoodWhatAnOrderDidNotComplete)
{
	upstreams = { { "v1", 5 }, { "v2", 900 } };
	count();
	order("v2");
	aub_service_versions_set_target(&it, AUB_VERSION_NONE, now);
	now += 60 * SECOND;
	EXPECT_FALSE(aub_service_versions_admit(&it, now));
	upstreams = { { "v2", 900 } };
	count();
	EXPECT_FALSE(is_free("v2"));
}

TEST_F(Versions, ACompletedOrderLeavesOnlyItsVersion)
{
	upstreams = { { "v1", 5 }, { "v2", 900 } };
	count();
	order("v2");
	aub_service_versions_complete(&it, index("v2"), now);
	count();
	EXPECT_TRUE(is_free("v2"));
	EXPECT_FALSE(is_free("v1"));
	EXPECT_FALSE(aub_service_versions_admit(&it, now + SECOND));
}

TEST_F(Versions, ForgetsOldNamesWhenThereAreMany)
{
	upstreams = { { "v1", 5 } };
	count();
	for (int i = 0; i < 500; i++) {
		upstreams = { { "v1", 5 }, { "w" + std::to_string(i), 9 } };
		count();
	}
	EXPECT_TRUE(is_free("v1"));
	EXPECT_FALSE(is_free("w499"));
}

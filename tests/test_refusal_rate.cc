/* Refusal rates of upstreams, compared with those of their service. */
#include <gtest/gtest.h>

#include <auburnstile/internal/refusal_rate.h>

#define US_PER_MS ((gint64)1000)

static double excess(const struct aub_refusal_rate *upstream,
		     const struct aub_refusal_rate *service)
{
	return aub_refusal_rate_excess(upstream,
				       aub_refusal_rate_share(service, 1000),
				       1000);
}

static void observe(struct aub_refusal_rate *rate, int refused, int accepted,
		    gint64 now_us)
{
	for (int i = 0; i < refused; i++)
		aub_refusal_rate_observe(rate, true, now_us);
	for (int i = 0; i < accepted; i++)
		aub_refusal_rate_observe(rate, false, now_us);
}

TEST(RefusalRate, IsNoWorseThanPeersThatRefuseAlike)
{
	struct aub_refusal_rate upstream = {};
	struct aub_refusal_rate service = {};

	observe(&service, 110, 90, 1000);
	observe(&upstream, 6, 4, 1000);
	EXPECT_NEAR(aub_refusal_rate_share(&service, 1000), 0.55, 0.02);
	EXPECT_EQ(excess(&upstream, &service), 0);
}

/* Guards against sending on to one upstream that refuses everything. */
TEST(RefusalRate, ExceedsPeersIfItAlwaysRefuses)
{
	struct aub_refusal_rate upstream = {};
	struct aub_refusal_rate service = {};

	observe(&service, 10, 190, 1000);
	observe(&upstream, 8, 0, 1000);
	EXPECT_GT(excess(&upstream, &service), 0.5);
}

TEST(RefusalRate, OneRefusalSaysLittle)
{
	struct aub_refusal_rate upstream = {};
	struct aub_refusal_rate service = {};

	observe(&service, 2, 198, 1000);
	observe(&upstream, 1, 3, 1000);
	EXPECT_LT(excess(&upstream, &service), 0.15);
}

TEST(RefusalRate, DecaysWithinSeconds)
{
	struct aub_refusal_rate rate = {};

	observe(&rate, 20, 0, 1000);
	EXPECT_GT(aub_refusal_rate_share(&rate, 1000), 0.8);
	EXPECT_LT(aub_refusal_rate_share(&rate, 10000 * US_PER_MS), 0.2);
}

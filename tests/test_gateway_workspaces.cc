/*
 * API keys and workspaces on the data path: who may call, what upstreams are
 * told, and what callers get beyond their workspace's quota.
 */
#include "gateway_fixture.h"

class GatewayWorkspacesTest : public GatewayTest
{
      protected:
	struct platform_upstream *upstream = NULL;

	/* Routes /safe/, /once/ and, without a key, /open/ to "svc". */
	void configure_workspaces(const std::string &rows)
	{
		std::string route =
			",600,1,null,2,"; /* target, priority, split, tries */
		std::string text =
			"{\"version\":" + std::to_string(version++) +
			",\"routes\":{\"columns\":[\"name\",\"host\","
			"\"path_prefix\",\"kind\",\"timeout_ms\","
			"\"target_latency_ms\",\"priority\",\"traffic_split\","
			"\"max_attempts\",\"allow_anonymous\",\"service\"],"
			"\"rows\":["
			"[\"r1\",\"site\",\"/safe/\",\"safe\",1000" +
			route +
			"false,\"svc\"],"
			"[\"r2\",\"site\",\"/once/\",\"unsafe\",1000" +
			route +
			"null,\"svc\"],"
			"[\"r3\",\"site\",\"/open/\",\"safe\",1000" +
			route +
			"true,\"svc\"]]},\"services\":{\"columns\":["
			"\"name\",\"health_path\",\"max_conns\",\"protocol\","
			"\"tls\",\"warmup_s\",\"warmup_per_s\"],\"rows\":[["
			"\"svc\",\"/health\",220,\"h1\",false,3.0,2.1]]},"
			"\"limits\":{\"max_header_bytes\":4096,"
			"\"max_body_bytes\":1048576,\"header_timeout_ms\":1000,"
			"\"idle_timeout_ms\":3000},\"tenants\":{\"columns\":["
			"\"name\",\"api_keys\",\"priority\",\"rate_per_s\","
			"\"burst\"],\"rows\":[" +
			rows + "]}}";

		platform_store_put(store, "config", "main", text.c_str());
	}
	/* Workspace "w1" has the keys k1 and k2, "w2" has k3. */
	void start_with_two_workspaces()
	{
		upstream = add_upstream("u1");
		configure_workspaces("[\"w1\",[\"k1\",\"k2\"],1,null,null],"
				     "[\"w2\",[\"k3\"],0,0,0]");
		start_and_wait_until_ready();
	}
	static std::string key(const std::string &value)
	{
		return "Authorization: Token " + value + "\r\n";
	}
	guint status_of(const std::string &target, const std::string &extra)
	{
		auto caller = send_request("GET", target, "id", extra);

		EXPECT_TRUE(wait_for_answer(caller));
		return caller->status;
	}
	/* Waits until a request with `extra` gets `status`. */
	bool wait_for_status(const std::string &extra, guint status)
	{
		gint64 end = g_get_monotonic_time() + 2000 * 1000;

		while (g_get_monotonic_time() < end)
			if (status_of("/safe/a", extra) == status)
				return true;
		return false;
	}
};

TEST_F(GatewayWorkspacesTest, NamesWorkspaceToUpstreamInPlaceOfKey)
{
	start_with_two_workspaces();
	EXPECT_EQ(status_of("/safe/a", key("k2")), 200u);
	EXPECT_STREQ(platform_upstream_header(upstream, "Tenant"), "w1");
	EXPECT_EQ(platform_upstream_header(upstream, "Authorization"), nullptr);
	EXPECT_EQ(status_of("/safe/a", "authorization: tOKEN   k3\r\n"), 200u);
	EXPECT_STREQ(platform_upstream_header(upstream, "Tenant"), "w2");
}

/* Failure: a caller names another workspace and acts in its name. */
TEST_F(GatewayWorkspacesTest, DropsWorkspaceThatCallerNames)
{
	start_with_two_workspaces();
	for (const char *name : { "Tenant", "tenant", "TENANT" }) {
		std::string forged = std::string(name) + ": w2\r\n";

		EXPECT_EQ(status_of("/safe/a", forged + key("k1") + forged),
			  200u);
		EXPECT_STREQ(platform_upstream_header(upstream, "Tenant"),
			     "w1");
		EXPECT_EQ(status_of("/open/a", forged), 200u);
		EXPECT_EQ(platform_upstream_header(upstream, "Tenant"),
			  nullptr);
	}
	auto caller = send_request("POST", "/once/a", "id9",
				   key("k1") + "Transfer-Encoding: chunked\r\n"
					       "Trailer: Tenant\r\n");
	caller->send("1\r\nx\r\n0\r\nTenant: w2\r\n\r\n");
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 200u);
	EXPECT_STREQ(platform_upstream_header(upstream, "Tenant"), "w1");
}

/* Failure: a request without a valid key reaches an upstream. */
TEST_F(GatewayWorkspacesTest, Answers401WithoutValidKey)
{
	const std::string invalid[] = {
		"",
		key("k9"),
		key("K1"),
		key("k1 k2"),
		key("k"),
		key("k11"),
		key(std::string(2000, 'k')),
		key("k1") + key("k1"),
		key("k1") + key("k3"),
		"Authorization: k1\r\n",
		"Authorization: Token\r\n",
		"Authorization: Token \r\n",
		"Authorization: Tokenk1\r\n",
		"Authorization: Token\tk1\r\n",
		"Authorization: Bearer k1\r\n",
		"Authorization: Basic azE6\r\n",
		"Authorization: Token k1,Token k3\r\n",
		"Authorization:\r\n",
		"Authorization: Token \"k1\"\r\n",
		"Authorization: Token k1\xc2\xa0\r\n",
		"Proxy-Authorization: Token k1\r\n",
		"X-Authorization: Token k1\r\n",
		"Connection: Authorization\r\n",
	};

	start_with_two_workspaces();
	for (const std::string &headers : invalid)
		EXPECT_EQ(status_of("/safe/a", headers), 401u) << headers;
	EXPECT_EQ(platform_upstream_arrivals(upstream), 0u);
}

/*
 * Failure: an upstream that ignores the space reads a workspace that the caller
 * named, or a key.
 */
TEST_F(GatewayWorkspacesTest, PassesOnNoNameWithSpaceBeforeColon)
{
	start_with_two_workspaces();
	for (const char *line :
	     { "Tenant : w2", "Tenant\t: w2", " Tenant: w2", "\tTenant: w2",
	       "X-Own: a\r\n Tenant: w2", "Authorization : Token k3" }) {
		guint arrivals = platform_upstream_arrivals(upstream);
		guint status = status_of("/safe/a", key("k1") + line + "\r\n");

		if (platform_upstream_arrivals(upstream) == arrivals) {
			/* A folded line is part of the key before it. */
			EXPECT_TRUE(status == 400 || status == 401) << line;
			continue;
		}
		EXPECT_STREQ(platform_upstream_header(upstream, "Tenant"), "w1")
			<< line;
		for (const char *name :
		     { "Tenant ", "Tenant\t", " Tenant", "\tTenant",
		       "Authorization ", "Authorization" })
			EXPECT_EQ(platform_upstream_header(upstream, name),
				  nullptr)
				<< line;
	}
}

TEST_F(GatewayWorkspacesTest, OpenRouteNeedsNoKeyButNoWrongOneEither)
{
	start_with_two_workspaces();
	EXPECT_EQ(status_of("/open/a", ""), 200u);
	EXPECT_EQ(platform_upstream_header(upstream, "Tenant"), nullptr);
	EXPECT_EQ(status_of("/open/a", key("k3")), 200u);
	EXPECT_STREQ(platform_upstream_header(upstream, "Tenant"), "w2");
	EXPECT_EQ(status_of("/open/a", key("k9")), 401u);
	EXPECT_EQ(status_of("/open/a", "Authorization: Basic x\r\n"), 401u);
	EXPECT_EQ(platform_upstream_arrivals(upstream), 2u);
}

TEST_F(GatewayWorkspacesTest, UnknownRouteIs404WhoeverAsks)
{
	start_with_two_workspaces();
	EXPECT_EQ(status_of("/other/a", ""), 404u);
	EXPECT_EQ(status_of("/other/a", key("k9")), 404u);
	EXPECT_EQ(status_of("/other/a", key("k1")), 404u);
}

/* Failure: a connection that was opened with a key outlives the key. */
TEST_F(GatewayWorkspacesTest, RemovedKeyIsRefusedOnOpenConnection)
{
	start_with_two_workspaces();
	auto caller = send_request("GET", "/safe/a", "id1", key("k1"));

	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 200u);
	configure_workspaces("[\"w1\",[\"k2\"],1,null,null],"
			     "[\"w2\",[\"k3\",\"k4\"],0,0,0]");
	ASSERT_TRUE(wait_for_status(key("k4"), 200));
	caller->send("GET /safe/a HTTP/1.1\r\nHost: site\r\nRequest-Id: id2\r\n"
		     "Deadline-Remaining-Ms: 1000\r\n" +
		     key("k1") + "\r\n");
	ASSERT_TRUE(run_until([&] { return caller->answers == 2; }, 2000));
	EXPECT_EQ(caller->status, 401u);
	EXPECT_TRUE(caller->keep_alive);
	EXPECT_EQ(status_of("/safe/a", key("k2")), 200u);
}

/* Failure: a key that moves to another workspace acts for the old one. */
TEST_F(GatewayWorkspacesTest, MovedKeyActsForItsNewWorkspace)
{
	start_with_two_workspaces();
	EXPECT_EQ(status_of("/safe/a", key("k1")), 200u);
	EXPECT_STREQ(platform_upstream_header(upstream, "Tenant"), "w1");
	configure_workspaces("[\"w1\",[\"k2\"],1,null,null],"
			     "[\"w2\",[\"k3\",\"k1\"],0,0,0]");
	ASSERT_TRUE(run_until(
		[&] {
			status_of("/safe/a", key("k1"));
			return !strcmp(platform_upstream_header(upstream,
								"Tenant"),
				       "w2");
		},
		2000));
}

/* Failure: a configuration whose keys have two holders is applied in part. */
TEST_F(GatewayWorkspacesTest, RefusesConfigurationWithSharedKeyAsAWhole)
{
	start_with_two_workspaces();
	configure_workspaces("[\"w1\",[\"k5\"],1,null,null],"
			     "[\"w2\",[\"k3\",\"k5\"],0,0,0]");
	run_for(300);
	EXPECT_EQ(status_of("/safe/a", key("k1")), 200u);
	EXPECT_EQ(status_of("/safe/a", key("k5")), 401u);
}

TEST_F(GatewayWorkspacesTest, PassesKeyThroughWhereNoWorkspacesAreNamed)
{
	upstream = add_upstream("u1");
	configure();
	start_and_wait_until_ready();
	EXPECT_EQ(status_of("/safe/a", key("k1") + "Tenant: own\r\n"), 200u);
	EXPECT_STREQ(platform_upstream_header(upstream, "Authorization"),
		     "Token k1");
	EXPECT_STREQ(platform_upstream_header(upstream, "Tenant"), "own");
}

/* Failure: more requests of a workspace run than its quota allows. */
TEST_F(GatewayWorkspacesTest, Answers429BeyondQuota)
{
	guint served = 0;
	guint over_quota = 0;

	upstream = add_upstream("u1");
	configure_workspaces("[\"w1\",[\"k1\"],1,2.0,3.0],"
			     "[\"w2\",[\"k2\"],1,0,0]");
	start_and_wait_until_ready();
	run_for(1600); /* the burst of three is there */
	for (int i = 0; i < 10; i++) {
		auto caller = send_request("GET", "/safe/a", "id", key("k1"));

		ASSERT_TRUE(wait_for_answer(caller));
		if (caller->status == 200)
			served++;
		if (caller->status != 429)
			continue;
		over_quota++;
		EXPECT_GT(atof(caller->retry_after.c_str()), 0);
	}
	EXPECT_GE(served, 3u);
	EXPECT_LE(served, 5u);
	EXPECT_EQ(served + over_quota, 10u);
	EXPECT_EQ(platform_upstream_runs(upstream), served);
	EXPECT_EQ(status_of("/safe/a", key("k2")), 200u);
}

/* Failure: requests that no upstream ran use up the quota. */
TEST_F(GatewayWorkspacesTest, GivesCreditBackForRequestsThatDidNotRun)
{
	upstream = add_upstream("u1");
	configure_workspaces("[\"w1\",[\"k1\"],1,0.5,1.0]");
	start_and_wait_until_ready();
	run_for(2100);
	platform_upstream_set_answer(upstream, PLATFORM_ANSWER_OVERLOADED);
	EXPECT_EQ(status_of("/safe/a", key("k1")), 503u);
	platform_upstream_set_answer(upstream, PLATFORM_ANSWER_COMPLETE);
	run_for(100);
	EXPECT_EQ(status_of("/safe/a", key("k1")), 200u);
	EXPECT_EQ(status_of("/safe/a", key("k1")), 429u);
}

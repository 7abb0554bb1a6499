/*
 * Routing: lookup by host and longest prefix, splits, invalid routes.
 */
#include <gtest/gtest.h>

#include <auburnstile/error.h>
#include <auburnstile/internal/routing.h>

#include <map>
#include <string>

static struct aub_route *add_route(struct aub_routing *routing,
				   const char *name, const char *host,
				   const char *prefix)
{
	struct aub_route *route = aub_route_new();

	route->name = g_strdup(name);
	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	g_ptr_array_add(routing->routes, route);
	return route;
}

static void add_service(struct aub_routing *routing, const char *name)
{
	struct aub_service_spec *spec = g_new0(struct aub_service_spec, 1);

	spec->name = g_strdup(name);
	spec->health_path = g_strdup("/health");
	g_hash_table_replace(routing->services, spec->name, spec);
}

static struct aub_routing *example(void)
{
	struct aub_routing *routing = aub_routing_new();

	add_service(routing, "a");
	add_service(routing, "b");
	aub_route_add_split(add_route(routing, "short", "one", "/x/"), "a", 1);
	aub_route_add_split(add_route(routing, "long", "one", "/x/y/"), "b", 1);
	aub_route_add_split(add_route(routing, "root", "two", "/"), "a", 1);
	return routing;
}

TEST(Routing, FindsLongestPrefixOfHost)
{
	struct aub_routing *routing = example();

	ASSERT_TRUE(aub_routing_build_index(routing, NULL));
	EXPECT_STREQ(aub_routing_find(routing, "one", "/x/1")->name, "short");
	EXPECT_STREQ(aub_routing_find(routing, "one", "/x/y/1")->name, "long");
	EXPECT_STREQ(aub_routing_find(routing, "ONE:80", "/x/y/")->name,
		     "long");
	EXPECT_STREQ(aub_routing_find(routing, "two", "/any?x/y/")->name,
		     "root");
	EXPECT_EQ(aub_routing_find(routing, "one", "/x"), nullptr);
	EXPECT_EQ(aub_routing_find(routing, "one", "/x?/y/"), nullptr);
	EXPECT_EQ(aub_routing_find(routing, "three", "/x/"), nullptr);
	aub_routing_unref(routing);
}

TEST(Routing, ErrorNamesTheInvalidRoute)
{
	struct aub_routing *routing = example();
	GError *error = NULL;

	aub_route_add_split(add_route(routing, "bad", "one", "/z/"), "none", 1);
	EXPECT_FALSE(aub_routing_build_index(routing, &error));
	EXPECT_NE(strstr(error->message, "bad"), nullptr);
	EXPECT_NE(strstr(error->message, "none"), nullptr);
	g_error_free(error);
	aub_routing_unref(routing);
}

TEST(Routing, RejectsPrefixWithoutTrailingSlash)
{
	struct aub_routing *routing = example();

	aub_route_add_split(add_route(routing, "bad", "one", "/z"), "a", 1);
	EXPECT_FALSE(aub_routing_build_index(routing, NULL));
	aub_routing_unref(routing);
}

TEST(Routing, DistributesSplitByWeight)
{
	struct aub_route *route = aub_route_new();
	std::map<std::string, int> counts;

	aub_route_add_split(route, "a", 70);
	aub_route_add_split(route, "b", 20);
	aub_route_add_split(route, "c", 10);
	for (int i = 0; i < 300; i++)
		counts[aub_route_pick_service(route)]++;
	EXPECT_NEAR(counts["a"], 210, 6);
	EXPECT_NEAR(counts["b"], 60, 6);
	EXPECT_NEAR(counts["c"], 30, 6);
	aub_route_free(route);
}

TEST(Routing, SendsNothingToSplitWithoutWeight)
{
	struct aub_route *route = aub_route_new();

	aub_route_add_split(route, "a", 0);
	aub_route_add_split(route, "b", 5);
	for (int i = 0; i < 100; i++)
		EXPECT_STREQ(aub_route_pick_service(route), "b");
	aub_route_free(route);
}

TEST(Routing, CopiesCallerWaitsOfKnownRoutes)
{
	/*
	 * Guards against taking callers that retry for new ones right after a
	 * configuration change: the wait statistics of a route follow its host
	 * and prefix.
	 */
	struct aub_routing *before = example();
	struct aub_routing *after = example();

	ASSERT_TRUE(aub_routing_build_index(before, NULL));
	ASSERT_TRUE(aub_routing_build_index(after, NULL));
	aub_caller_wait_observe(
		&aub_routing_find(before, "one", "/x/y/z")->caller_wait, 4000);
	aub_routing_copy_statistics(after, before);
	EXPECT_EQ(aub_routing_find(after, "one", "/x/y/z")
			  ->caller_wait.max_timeout_ms,
		  4000);
	EXPECT_EQ(aub_routing_find(after, "one", "/x/z")
			  ->caller_wait.max_timeout_ms,
		  0);
	aub_routing_copy_statistics(after, NULL);
	aub_routing_unref(before);
	aub_routing_unref(after);
}

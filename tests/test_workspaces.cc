/* The table of workspaces and their API keys. */
#include <gtest/gtest.h>

#include <auburnstile/internal/workspaces.h>

#include <string>

class WorkspacesTest : public ::testing::Test
{
      protected:
	struct aub_workspaces *workspaces = aub_workspaces_new(NULL);

	~WorkspacesTest() override
	{
		aub_workspaces_free(workspaces);
	}
	gint add(const std::string &name, GError **error = NULL)
	{
		const struct aub_workspace workspace = {
			.name = (char *)name.c_str(),
			.priority = 2,
			.rate_per_s = 5,
			.burst = 7,
		};

		return aub_workspaces_add(workspaces, &workspace, error);
	}
	std::string holder(const std::string &key)
	{
		const struct aub_workspace *workspace =
			aub_workspaces_find(workspaces, key.c_str());

		return workspace ? workspace->name : "";
	}
};

TEST_F(WorkspacesTest, FindsHolderOfKey)
{
	ASSERT_EQ(add("w1"), 0);
	ASSERT_EQ(add("w2"), 1);
	ASSERT_TRUE(aub_workspaces_add_key(workspaces, 0, "a", NULL));
	ASSERT_TRUE(aub_workspaces_add_key(workspaces, 1, "b", NULL));
	ASSERT_TRUE(aub_workspaces_add_key(workspaces, 1, "b", NULL));
	EXPECT_EQ(holder("a"), "w1");
	EXPECT_EQ(holder("b"), "w2");
	EXPECT_EQ(holder("c"), "");
	EXPECT_EQ(holder(""), "");
	EXPECT_EQ(holder(std::string(AUB_KEY_BYTES_MAX + 1, 'a')), "");
	EXPECT_EQ(aub_workspaces_get(workspaces, 1)->priority, 2u);
	EXPECT_EQ(aub_workspaces_count(workspaces), 2u);
}

TEST_F(WorkspacesTest, NamesBothHoldersOfSharedKeyButNotTheKey)
{
	GError *error = NULL;

	add("w1");
	add("w2");
	ASSERT_TRUE(aub_workspaces_add_key(workspaces, 0, "secret", NULL));
	EXPECT_FALSE(aub_workspaces_add_key(workspaces, 1, "secret", &error));
	ASSERT_NE(error, nullptr);
	EXPECT_NE(std::string(error->message).find("w1"), std::string::npos);
	EXPECT_NE(std::string(error->message).find("w2"), std::string::npos);
	EXPECT_EQ(std::string(error->message).find("secret"),
		  std::string::npos);
	g_error_free(error);
	EXPECT_EQ(holder("secret"), "w1");
}

/* Failure: a workspace's name adds a header to the requests of its callers. */
TEST_F(WorkspacesTest, RefusesNamesThatCantStandInHeaders)
{
	for (const std::string &name :
	     { std::string(), std::string("a\r\nX: y"), std::string("a\n"),
	       std::string("\t"), std::string(" a"), std::string("a "),
	       std::string(AUB_WORKSPACE_BYTES_MAX + 1, 'a') }) {
		GError *error = NULL;

		EXPECT_EQ(add(name, &error), -1) << name;
		EXPECT_NE(error, nullptr);
		g_clear_error(&error);
	}
	EXPECT_EQ(add("a b"), 0);
	EXPECT_EQ(add("a b"), -1);
}

TEST_F(WorkspacesTest, RefusesEmptyAndOversizedKeys)
{
	std::string longest(AUB_KEY_BYTES_MAX, 'a');

	add("w1");
	EXPECT_FALSE(aub_workspaces_add_key(workspaces, 0, "", NULL));
	EXPECT_TRUE(
		aub_workspaces_add_key(workspaces, 0, longest.c_str(), NULL));
	EXPECT_FALSE(aub_workspaces_add_key(workspaces, 0,
					    (longest + "a").c_str(), NULL));
	EXPECT_EQ(holder(longest), "w1");
}

TEST_F(WorkspacesTest, DigestsOfOneSecretAreInterchangeable)
{
	guint8 secret[AUB_KEY_SECRET_BYTES] = { 1, 2, 3 };
	guint8 digest[AUB_KEY_DIGEST_BYTES];
	struct aub_workspaces *copy = aub_workspaces_new(secret);
	const struct aub_workspace workspace = {
		.name = (char *)"w1",
		.priority = 0,
		.rate_per_s = 0,
		.burst = 0,
	};

	aub_key_digest(secret, "key", 3, digest);
	aub_workspaces_add(copy, &workspace, NULL);
	ASSERT_TRUE(aub_workspaces_add_digest(copy, 0, digest, NULL));
	EXPECT_NE(aub_workspaces_find(copy, "key"), nullptr);
	EXPECT_EQ(aub_workspaces_find(copy, "kez"), nullptr);
	aub_workspaces_free(copy);
}

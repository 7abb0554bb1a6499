/*
 * The configuration object: conversion from and to JSON, marks, and
 * differences.
 */
#include <gtest/gtest.h>

#include <auburnstile/config.h>
#include <auburnstile/error.h>

#include <cstring>
#include <string>

static const std::string toml = R"([[zone]]
name = "a"
region = "r"
vms = ["a1"]
[[service]]
name = "s"
path = "/s"
upstreams = [{ name = "u1", vm = "a1", address = "127.0.0.1:1" }]
)";

static struct aub_config *make(const std::string &text)
{
	struct aub_config *config = aub_config_new();

	g_free(config->inventory_text);
	config->inventory_text = g_strdup(text.c_str());
	return config;
}

static std::string diff(const struct aub_config *from,
			const struct aub_config *to)
{
	GError *error = nullptr;
	char *text = aub_config_diff(from, to, &error);
	std::string result = text ? text : error->message;

	g_free(text);
	g_clear_error(&error);
	return result;
}

TEST(Config, SurvivesRoundTripThroughJson)
{
	struct aub_config *config = make("a \"quoted\"\nline \xc3\xa9");
	GError *error = nullptr;

	g_free(config->change);
	config->change = g_strdup("c-1");
	g_ptr_array_add(config->zones_out, g_strdup("b"));
	g_ptr_array_add(config->vms_leaving, g_strdup("a1"));
	struct aub_config *copy = aub_config_copy(config);
	char *json = aub_config_serialize(copy);
	struct aub_config *back =
		aub_config_parse(json, strlen(json), 9, &error);

	ASSERT_NE(back, nullptr) << error->message;
	EXPECT_EQ(back->version, 9u);
	EXPECT_STREQ(back->inventory_text, config->inventory_text);
	EXPECT_STREQ(back->change, "c-1");
	EXPECT_STREQ((char *)back->zones_out->pdata[0], "b");
	EXPECT_STREQ((char *)back->vms_leaving->pdata[0], "a1");
	EXPECT_EQ(back->upstreams_leaving->len, 0u);
	aub_config_free(config);
	aub_config_free(copy);
	aub_config_free(back);
	g_free(json);
}

TEST(Config, RemembersRecentChangesByDigest)
{
	struct aub_config *config = make("");
	GError *error = nullptr;

	for (int i = 0; i < AUB_CONFIG_RECENT_CHANGES_MAX + 3; i++)
		aub_config_set_change(config,
				      ("change-" + std::to_string(i)).c_str());
	char *json = aub_config_serialize(config);
	struct aub_config *back =
		aub_config_parse(json, strlen(json), 1, &error);

	ASSERT_NE(back, nullptr);
	EXPECT_EQ(strstr(json, "change-33"), nullptr);
	EXPECT_TRUE(aub_config_has_change(back, "change-34"));
	EXPECT_TRUE(aub_config_has_change(back, "change-33"));
	EXPECT_TRUE(aub_config_has_change(back, "change-2"));
	EXPECT_FALSE(aub_config_has_change(back, "change-1"));
	EXPECT_FALSE(aub_config_has_change(back, ""));
	aub_config_free(config);
	aub_config_free(back);
	g_free(json);
}

TEST(Config, RejectsInvalidJson)
{
	std::string deep_nesting(100000, '[');
	std::string valid_start = R"({"change":"c","author":"","inventory":"")";
	const std::string bad[] = {
		"",
		"[]",
		"{",
		"{}",
		"null",
		"{\"change\":1,\"author\":\"\",\"inventory\":\"\"}",
		valid_start + ",\"zones_out\":\"b\"}",
		valid_start + ",\"zones_out\":[1]}",
		valid_start + ",\"zones_out\":[null]}",
		"{\"change\":\"\xff\"}",
		"{\"a\":" + deep_nesting,
		"{/*\"*/\"a\":" + deep_nesting,
		valid_start + ",\"zones_out\":[\"\\377\"]}",
	};

	for (const std::string &json : bad) {
		GError *error = nullptr;

		EXPECT_EQ(aub_config_parse(json.data(), json.size(), 1, &error),
			  nullptr)
			<< json.substr(0, 60);
		EXPECT_EQ(error->code, AUB_ERROR_INVALID);
		g_error_free(error);
	}
}

TEST(Config, IgnoresUnknownMembers)
{
	const std::string json =
		R"({"change":"c","author":"","inventory":"",)"
		R"("later":[true,false,null,-1.5E+3,1e2,{"a":"\u00e9\n"}]})";
	struct aub_config *config =
		aub_config_parse(json.data(), json.size(), 1, nullptr);

	ASSERT_NE(config, nullptr);
	aub_config_free(config);
}

TEST(Config, AppliesMarksAndSkipsUnknownNames)
{
	struct aub_config *config = make(toml);
	GError *error = nullptr;

	config->version = 5;
	g_ptr_array_add(config->zones_out, g_strdup("a"));
	g_ptr_array_add(config->zones_out, g_strdup("gone"));
	g_ptr_array_add(config->upstreams_leaving, g_strdup("u1"));
	struct aub_inventory *inventory = aub_config_inventory(config, &error);

	ASSERT_NE(inventory, nullptr) << error->message;
	EXPECT_EQ(inventory->version, 5u);
	EXPECT_TRUE(aub_zone_at(inventory, 0)->out);
	EXPECT_FALSE(aub_vm_at(inventory, 0)->leaving);
	EXPECT_TRUE(aub_upstream_at(inventory, 0)->leaving);
	aub_inventory_unref(inventory);
	aub_config_free(config);
}

TEST(Config, EmptyConfigurationGivesEmptyInventory)
{
	struct aub_config *config = aub_config_new();
	struct aub_inventory *inventory = aub_config_inventory(config, nullptr);

	ASSERT_NE(inventory, nullptr);
	EXPECT_EQ(inventory->services->len, 0u);
	aub_inventory_unref(inventory);
	aub_config_free(config);
}

TEST(Config, DescribesDifferencesByItemAndKey)
{
	struct aub_config *one = make(toml);
	struct aub_config *two =
		make(toml + "slots = 4\nonce = [{ method = \"POST\", "
			    "path = \"/s/pay\" }]\n"
			    "[[vm]]\nname = \"a2\"\nzone = \"a\"\n");
	struct aub_config *three = make("# a comment\n" + toml);
	struct aub_config *four = make(toml);

	g_ptr_array_add(four->zones_out, g_strdup("a"));
	EXPECT_EQ(diff(one, one), "");
	EXPECT_EQ(diff(one, two), "vm a2: added: zone a, state in\n"
				  "service s: once none -> POST /s/pay\n"
				  "upstream u1: slots 1 -> 4\n");
	EXPECT_EQ(diff(one, three), "inventory: comments or layout only\n");
	EXPECT_EQ(diff(one, four), "zone a: state in -> out\n");
	EXPECT_EQ(diff(one, nullptr),
		  "zone a: removed\nvm a1: removed\nservice s: removed\n"
		  "upstream u1: removed\n");
	EXPECT_NE(diff(nullptr, one)
			  .find("upstream u1: added: service s, vm "
				"a1, address 127.0.0.1:1, slots 1"),
		  std::string::npos);
	aub_config_free(one);
	aub_config_free(two);
	aub_config_free(three);
	aub_config_free(four);
}

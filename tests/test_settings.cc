/* Tests of reading settings from TOML and of the reported problems. */
#include <gtest/gtest.h>

#include <auburnstile/error.h>
#include <auburnstile/settings.h>

#include <cstring>

struct sample {
	char *name;
	gint64 stop_ms;
	bool json;
	char *inner;
	char **peers;
	gint64 size;
};

static const struct aub_setting sample_table[] = {
	{ "name", AUB_SETTING_STRING, offsetof(struct sample, name), true, 0, 0,
	  nullptr, "name of this VM" },
	{ "stop_ms", AUB_SETTING_INTEGER, offsetof(struct sample, stop_ms),
	  false, 1, 60000, "10000", "time for a graceful stop" },
	{ "log.json", AUB_SETTING_BOOLEAN, offsetof(struct sample, json), false,
	  0, 0, "false", "JSON lines" },
	{ "inner", AUB_SETTING_ADDRESS, offsetof(struct sample, inner), true, 0,
	  0, nullptr, "address for peers" },
	{ "peers", AUB_SETTING_STRINGS, offsetof(struct sample, peers), false,
	  0, 0, "", "seeds" },
	{ "size", AUB_SETTING_INTEGER, offsetof(struct sample, size), false, 0,
	  10, nullptr, "a number" },
	{ nullptr, AUB_SETTING_STRING, 0, false, 0, 0, nullptr, nullptr },
};

static bool parse(const char *text, struct sample *sample, GError **error)
{
	memset(sample, 0, sizeof(*sample));
	return aub_settings_parse(text, strlen(text), "a.toml", sample_table,
				  sample, error);
}

TEST(Settings, ReadsEveryTypeAndDefaults)
{
	struct sample sample;
	GError *error = nullptr;

	ASSERT_TRUE(parse("name = \"a1\"\ninner = \"127.0.0.1:80\"\n"
			  "peers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n"
			  "[log]\njson = true\n",
			  &sample, &error));
	EXPECT_STREQ(sample.name, "a1");
	EXPECT_EQ(sample.stop_ms, 10000);
	EXPECT_TRUE(sample.json);
	EXPECT_STREQ(sample.inner, "127.0.0.1:80");
	EXPECT_STREQ(sample.peers[1], "127.0.0.1:2");
	EXPECT_EQ(sample.peers[2], nullptr);
	aub_settings_clear(sample_table, &sample);
	EXPECT_EQ(sample.name, nullptr);
	ASSERT_TRUE(parse("name = \"a1\"\ninner = \"[::1]:80\"\n", &sample,
			  &error));
	EXPECT_EQ(sample.peers[0], nullptr);
	aub_settings_clear(sample_table, &sample);
}

TEST(Settings, ReportsEveryProblemWithItsLineAndReturnsNothing)
{
	struct sample sample;
	GError *error = nullptr;

	ASSERT_FALSE(parse("name = 5\nstop_ms = 0\ncolour = \"red\"\n"
			   "peers = [1]\nsize = 11\n[log]\njson = 1\nx = 2\n"
			   "[other]\ny = 1\n",
			   &sample, &error));
	EXPECT_EQ(error->code, AUB_ERROR_INVALID);
	EXPECT_STREQ(
		error->message,
		"read settings: a.toml: 9 problems\n"
		"a.toml: inner: missing; it must be an address \"ip:port\" "
		"(address for peers)\n"
		"a.toml:1: name: must be a string, not an integer\n"
		"a.toml:2: stop_ms: 0 is out of range: 1 to 60000\n"
		"a.toml:3: colour: unknown key\n"
		"a.toml:4: peers: must be a list of strings, not a list\n"
		"a.toml:5: size: 11 is out of range: 0 to 10\n"
		"a.toml:7: log.json: must be true or false, not an integer\n"
		"a.toml:8: log.x: unknown key\n"
		"a.toml:9: other: unknown key");
	EXPECT_EQ(sample.name, nullptr);
	EXPECT_EQ(sample.peers, nullptr);
	EXPECT_EQ(sample.size, 0);
	g_error_free(error);
}

TEST(Settings, ReadsRealNumbersAndChecksTheirRange)
{
	static const struct aub_setting table[] = {
		{ .key = "share",
		  .type = AUB_SETTING_REAL,
		  .offset = 0,
		  .minimum = 0,
		  .maximum = 1,
		  .default_value = "0.5",
		  .help = "a share" },
		{},
	};
	double share = 0;
	GError *error = nullptr;
	const auto read = [&](const char *text) {
		return aub_settings_parse(text, strlen(text), "a.toml", table,
					  &share, &error);
	};

	ASSERT_TRUE(read("share = 0.25\n"));
	EXPECT_EQ(share, 0.25);
	ASSERT_TRUE(read("share = 1\n"));
	EXPECT_EQ(share, 1.0);
	ASSERT_TRUE(read(""));
	EXPECT_EQ(share, 0.5);
	for (const char *bad :
	     { "share = 1.5\n", "share = nan\n", "share = -1\n" }) {
		ASSERT_FALSE(read(bad));
		EXPECT_NE(strstr(error->message, "a.toml:1: share: "), nullptr)
			<< error->message;
		EXPECT_NE(strstr(error->message, "out of range: 0 to 1"),
			  nullptr)
			<< error->message;
		g_clear_error(&error);
	}
	ASSERT_FALSE(read("share = \"much\"\n"));
	EXPECT_NE(strstr(error->message, "must be a number, not a string"),
		  nullptr)
		<< error->message;
	g_clear_error(&error);
}

TEST(Settings, ReportsLineOfSyntaxError)
{
	struct sample sample;
	GError *error = nullptr;

	ASSERT_FALSE(parse("name = \"a\"\ninner = \n", &sample, &error));
	EXPECT_NE(strstr(error->message, "a.toml:2: syntax:"), nullptr)
		<< error->message;
	g_error_free(error);
}

TEST(Settings, RejectsAddressesOtherThanIpAndPort)
{
	const char *bad[] = { "localhost:80",	 "127.0.0.1",	 "127.0.0.1:",
			      "127.0.0.1:65536", "127.0.0.1:-1", "::1:80",
			      "[127.0.0.1]:80",	 ":80",		 "a b:1" };

	for (const char *address : bad) {
		std::string text = "name = \"a\"\ninner = \"";
		struct sample sample;
		GError *error = nullptr;

		text += address;
		text += "\"\n";
		EXPECT_FALSE(parse(text.c_str(), &sample, &error)) << address;
		g_clear_error(&error);
	}
}

TEST(Settings, NamesUnreadableFile)
{
	struct sample sample = {};
	GError *error = nullptr;

	ASSERT_FALSE(aub_settings_load("/nonexistent/a.toml", sample_table,
				       &sample, &error));
	EXPECT_STREQ(aub_error_peer(error), "/nonexistent/a.toml");
	g_error_free(error);
}

/* The inventory: parsing, and the rule, line and field of each problem. */
#include <gtest/gtest.h>

#include <auburnstile/error.h>
#include <auburnstile/inventory.h>

#include <cstring>
#include <string>

static const char base_toml[] = R"(version = 7
[[zone]]
name = "a"
region = "north"
vms = ["a1", "a2"]

[[zone]]
name = "b"
region = "north"

[[vm]]
name = "b1"
zone = "b"

[[service]]
name = "fees"
path = "/fees"
zones = ["a"]
slots = 2
connections = 200
once = [{ method = "POST", path = "/fees/pay", key_required = true }]
upstreams = [
  { name = "fees-1", vm = "a1", address = "127.0.0.1:20001" },
  { name = "fees-2", vm = "a2", address = "[::1]:20002", slots = 4 },
]

[[service]]
name = "site"
path = "/"

[[upstream]]
name = "site-1"
service = "site"
vm = "b1"
address = "127.0.0.1:20003"
)";

static struct aub_inventory *parse(const std::string &toml,
				   std::string *message)
{
	GError *error = nullptr;
	struct aub_inventory *inventory =
		aub_inventory_parse(toml.data(), toml.size(), "x.toml", &error);

	if (error) {
		*message = error->message;
		EXPECT_EQ(error->code, AUB_ERROR_INVALID);
		g_error_free(error);
	}
	return inventory;
}

/* Returns the base text with one occurrence of `from` replaced. */
static std::string base_with_replaced(const std::string &from,
				      const std::string &to)
{
	std::string toml = base_toml;
	size_t at = toml.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return toml.replace(at, from.size(), to);
}

TEST(Inventory, ReadsTablesDefaultsAndOverrides)
{
	std::string message;
	struct aub_inventory *inventory = parse(base_toml, &message);

	ASSERT_NE(inventory, nullptr) << message;
	EXPECT_EQ(inventory->base_version, 7u);
	EXPECT_EQ(inventory->upstreams->len, 3u);
	guint16 two = aub_inventory_upstream(inventory, "fees-2");
	EXPECT_EQ(aub_upstream_at(inventory, two)->slots, 4);
	EXPECT_EQ(aub_upstream_at(inventory, two)->connections, 200);
	EXPECT_STREQ(aub_upstream_at(inventory, two)->host, "::1");
	EXPECT_EQ(aub_upstream_at(inventory, two)->port, 20002);
	EXPECT_EQ(aub_upstream_at(inventory, two)->zone,
		  aub_inventory_zone(inventory, "a"));
	EXPECT_EQ(aub_vm_at(inventory, aub_inventory_vm(inventory, "b1"))->zone,
		  aub_inventory_zone(inventory, "b"));
	EXPECT_EQ(aub_inventory_upstream(inventory, "nothing"), AUB_NO_HANDLE);
	EXPECT_TRUE(aub_upstream_accepts_new(inventory, two));
	aub_zone_at(inventory, 0)->out = true;
	EXPECT_FALSE(aub_upstream_accepts_new(inventory, two));
	aub_inventory_unref(inventory);
}

TEST(Inventory, RoutesByLongestPrefixOfCompleteSegments)
{
	std::string message;
	struct aub_inventory *inventory = parse(base_toml, &message);
	guint16 fees = aub_inventory_service(inventory, "fees");
	guint16 site = aub_inventory_service(inventory, "site");

	EXPECT_EQ(aub_inventory_route(inventory, "/fees"), fees);
	EXPECT_EQ(aub_inventory_route(inventory, "/fees/7?x=/y"), fees);
	EXPECT_EQ(aub_inventory_route(inventory, "/feesible"), site);
	EXPECT_EQ(aub_inventory_route(inventory, "/"), site);
	aub_inventory_unref(inventory);
}

/*
 * A caller may spell a path differently while the upstream treats it as the
 * same. If the at-most-once rule did not match, the request would be considered
 * idempotent, and a retry would execute a payment more than once.
 */
TEST(Inventory, AtMostOnceRulesMatchEquivalentPaths)
{
	std::string message;
	struct aub_inventory *inventory = parse(base_toml, &message);
	const struct aub_service *fees =
		aub_service_at(inventory,
			       aub_inventory_service(inventory, "fees"));
	const char *equivalent[] = { "/fees/pay",	"/fees/pay/",
				     "/fees/pay?a=1",	"/fees//pay",
				     "/fees/./pay",	"/fees/x/../pay",
				     "/fees/%70ay",	"/fees%2fpay",
				     "/fees\\pay",	"/FEES/Pay",
				     "/fees;s=1/pay;x", "/fees/pay/3",
				     "/../fees/pay",	"/%66ees/pay#f" };
	const char *different[] = { "/fees", "/fees/payment", "/pay" };

	for (const char *path : equivalent)
		EXPECT_NE(aub_service_at_most_once_rule(fees, "POST", path),
			  nullptr)
			<< path;
	for (const char *path : different)
		EXPECT_EQ(aub_service_at_most_once_rule(fees, "POST", path),
			  nullptr)
			<< path;
	EXPECT_NE(aub_service_at_most_once_rule(fees, "post", "/fees/pay"),
		  nullptr);
	EXPECT_EQ(aub_service_at_most_once_rule(fees, "GET", "/fees/pay"),
		  nullptr);
	aub_inventory_unref(inventory);
}

struct expected_problem {
	const char *from;
	const char *to;
	const char *expected; /* line of the first problem */
};

static const struct expected_problem expected_problems[] = {
	{ "region = \"north\"\nvms", "region = \"n\"\nregoin = 1\nvms",
	  "x.toml:5: zone[a].regoin: unknown key "
	  "(rule unknown-key)" },
	{ "name = \"b\"", "name = \"a\"",
	  "x.toml:8: zone[a].name: \"a\" is already defined (rule duplicate)" },
	{ "name = \"a\"", "name = \"a b\"",
	  "x.toml:3: zone[a b].name: \"a b\" must be 1 to 23 of a-z A-Z 0-9 . "
	  "_ -, the first a letter or digit (rule name)" },
	{ "zone = \"b\"", "zone = \"c\"",
	  "x.toml:13: vm[b1].zone: there is no zone \"c\" (rule reference)" },
	{ "zone = \"b\"\n", "",
	  "x.toml:11: vm[b1].zone: required key is missing (rule missing)" },
	{ "vm = \"a2\"", "vm = \"z9\"",
	  "x.toml:24: upstream[fees-2].vm: there is no VM \"z9\" "
	  "(rule reference)" },
	{ "vm = \"a2\"", "vm = \"b1\"",
	  "x.toml:24: upstream[fees-2].vm: its zone \"b\" is not among the "
	  "zones of service \"fees\" (rule zone-restriction)" },
	{ "127.0.0.1:20003", "127.0.0.1:20001",
	  "x.toml:35: upstream[site-1].address: \"127.0.0.1:20001\" already "
	  "belongs to upstream \"fees-1\" (rule address-twice)" },
	{ "127.0.0.1:20003", "host:20001",
	  "x.toml:35: upstream[site-1].address: \"host:20001\" is not "
	  "\"ip:port\" with an IP number (rule address)" },
	{ "path = \"/\"", "path = \"/fees/\"",
	  "x.toml:29: service[site].path: \"/fees\" is already routed to "
	  "service \"fees\" (rule path-twice)" },
	{ "path = \"/\"", "path = \"/a/../b\"",
	  "x.toml:29: service[site].path: \"/a/../b\" is not a plain path such "
	  "as \"/fees\" (rule path)" },
	{ "path = \"/\"", "path = \"/.auburnstile/x\"",
	  "x.toml:29: service[site].path: paths below \"/.auburnstile\" are "
	  "reserved (rule path-reserved)" },
	{ "path = \"/fees/pay\"", "path = \"/pay\"",
	  "x.toml:21: service[fees].once[#1].path: no request to service \"fees\" (path "
	  "\"/fees\") has a path below \"/pay\" (rule once-unmatched)" },
	{ "\"POST\"", "\"post\"",
	  "x.toml:21: service[fees].once[#1].method: \"post\" is neither a method such "
	  "as POST nor \"*\" (rule method)" },
	{ "slots = 2", "slots = 0",
	  "x.toml:19: service[fees].slots: 0 is out of range: 1 to 4096 "
	  "(rule range)" },
	{ "slots = 2", "slots = \"2\"",
	  "x.toml:19: service[fees].slots: must be an integer, not a string "
	  "(rule type)" },
	{ "slots = 2", "slots = 2\ncold_slots = 3",
	  "x.toml:24: upstream[fees-1].cold_slots: 3 slots when cold exceed "
	  "its 2 slots (rule cold-slots)" },
	{ "slots = 2", "slots = 2\nprobe_cost_us = 30000",
	  "x.toml:24: upstream[fees-1].probe_cost_us: one probe of 30000 us "
	  "exceeds the 20000 us per second that service \"fees\" allows "
	  "(rule probe-budget)" },
	{ "service = \"site\"", "service = \"sites\"",
	  "x.toml:27: service[site]: the service has no upstream "
	  "(rule no-upstream)" },
	{ "version = 7", "version = \"7\"",
	  "x.toml:1: version: must be an integer, 0 or more (rule type)" },
	{ "[[vm]]", "[vm]",
	  "x.toml:11: inventory.vm: must be a list of tables, not a table "
	  "(rule type)" },
};

TEST(Inventory, ReportsRuleLineAndFieldOfEachProblem)
{
	for (const struct expected_problem &problem : expected_problems) {
		std::string message;
		struct aub_inventory *inventory =
			parse(base_with_replaced(problem.from, problem.to),
			      &message);

		EXPECT_EQ(inventory, nullptr) << problem.to;
		size_t first = message.find('\n') + 1;
		EXPECT_EQ(message.substr(first,
					 message.find('\n', first) - first),
			  problem.expected);
	}
}

TEST(Inventory, EachRuleIsDocumented)
{
	char *page = nullptr;

	ASSERT_TRUE(g_file_get_contents("docs/OPERATIONS.md", &page, nullptr,
					nullptr));
	for (const struct expected_problem &problem : expected_problems) {
		std::string line = problem.expected;
		size_t at = line.rfind("(rule ") + strlen("(rule ");
		std::string rule = line.substr(at, line.size() - at - 1);

		EXPECT_NE(std::string(page).find("`" + rule + "`"),
			  std::string::npos)
			<< rule;
	}
	g_free(page);
}

TEST(Inventory, RejectsTruncatedFile)
{
	std::string message;

	EXPECT_EQ(parse("", &message), nullptr);
	EXPECT_NE(message.find("(rule empty)"), std::string::npos) << message;
	EXPECT_EQ(parse("[[zone]]\nname = \"a\"\nregion = \"r\"\n", &message),
		  nullptr);
}

TEST(Inventory, ReportsAllProblemsTogether)
{
	std::string message;

	EXPECT_EQ(parse(base_with_replaced("slots = 2",
					   "slots = 0\nspeed = 3") +
				"[[upstream]]\nname = \"x\"\n",
			&message),
		  nullptr);
	EXPECT_EQ(message.substr(0, message.find('\n')),
		  "check inventory: x.toml: 5 problems");
}

TEST(Inventory, SetsAndRemovesVersionLine)
{
	char *toml = aub_inventory_text_set_version(base_toml, 12);

	EXPECT_EQ(std::string(toml).substr(0, 24),
		  "version = 12\n[[zone]]\nna");
	char *none = aub_inventory_text_set_version(toml, 0);
	EXPECT_EQ(std::string(none), std::string(base_toml).substr(12));
	g_free(toml);
	g_free(none);
}

/* The design size: 910 upstreams in 88 services and 8 zones. */
TEST(Inventory, ReadsInventoryOfDesignSize)
{
	std::string toml;
	std::string message;

	for (int zone = 0; zone < 8; zone++)
		toml += "[[zone]]\nname = \"z" + std::to_string(zone) +
			"\"\nregion = \"r\"\nvms = [\"v" +
			std::to_string(zone) + "\"]\n";
	for (int service = 0; service < 88; service++)
		toml += "[[service]]\nname = \"s" + std::to_string(service) +
			"\"\npath = \"/s" + std::to_string(service) + "\"\n";
	for (int i = 0; i < 910; i++)
		toml += "[[upstream]]\nname = \"u" + std::to_string(i) +
			"\"\nservice = \"s" + std::to_string(i % 88) +
			"\"\nvm = \"v" + std::to_string(i % 8) +
			"\"\naddress = \"10.0.0.1:" + std::to_string(i + 1) +
			"\"\n";
	gint64 start = g_get_monotonic_time();
	struct aub_inventory *inventory = parse(toml, &message);
	gint64 took_us = g_get_monotonic_time() - start;

	ASSERT_NE(inventory, nullptr) << message;
	EXPECT_EQ(inventory->upstreams->len, 910u);
	RecordProperty("parse_us", std::to_string(took_us));
	printf("parsed %zu bytes in %ld us\n", toml.size(), (long)took_us);
	aub_inventory_unref(inventory);
}

TEST(Inventory, ReadsExampleFiles)
{
	const struct {
		const char *file;
		guint zones;
		guint upstreams;
		guint slots;
	} examples[] = { { "examples/nidito.toml", 3, 28, 2 },
			 { "examples/cedarline.toml", 4, 36, 6 } };

	for (const auto &example : examples) {
		char *toml = nullptr;
		std::string message;

		ASSERT_TRUE(g_file_get_contents(example.file, &toml, nullptr,
						nullptr));
		struct aub_inventory *inventory = parse(toml, &message);
		g_free(toml);
		ASSERT_NE(inventory, nullptr) << message;
		EXPECT_EQ(inventory->zones->len, example.zones);
		EXPECT_EQ(inventory->upstreams->len, example.upstreams);
		EXPECT_EQ(aub_upstream_at(inventory, 0)->slots, example.slots);
		aub_inventory_unref(inventory);
	}
}

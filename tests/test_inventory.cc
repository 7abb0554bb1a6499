/* The inventory: what it reads, and the rule, line and field of each fault. */
#include <gtest/gtest.h>

#include <auburnstile/error.h>
#include <auburnstile/inventory.h>

#include <cstring>
#include <string>

static const char base[] = R"(version = 7
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

static struct aub_inventory *parse(const std::string &text, std::string *why)
{
	GError *error = nullptr;
	struct aub_inventory *inventory =
		aub_inventory_parse(text.data(), text.size(), "x.toml", &error);

	if (error) {
		*why = error->message;
		EXPECT_EQ(error->code, AUB_ERROR_INVALID);
		g_error_free(error);
	}
	return inventory;
}

/* The base with one line or piece of it replaced. */
static std::string with(const std::string &from, const std::string &to)
{
	std::string text = base;
	size_t at = text.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, from.size(), to);
}

TEST(Inventory, ReadsTablesDefaultsAndOverrides)
{
	std::string why;
	struct aub_inventory *it = parse(base, &why);

	ASSERT_NE(it, nullptr) << why;
	EXPECT_EQ(it->base_version, 7u);
	EXPECT_EQ(it->upstreams->len, 3u);
	guint16 two = aub_inventory_upstream(it, "fees-2");
	EXPECT_EQ(aub_upstream_at(it, two)->slots, 4);
	EXPECT_EQ(aub_upstream_at(it, two)->connections, 200);
	EXPECT_STREQ(aub_upstream_at(it, two)->host, "::1");
	EXPECT_EQ(aub_upstream_at(it, two)->port, 20002);
	EXPECT_EQ(aub_upstream_at(it, two)->zone, aub_inventory_zone(it, "a"));
	EXPECT_EQ(aub_vm_at(it, aub_inventory_vm(it, "b1"))->zone,
		  aub_inventory_zone(it, "b"));
	EXPECT_EQ(aub_inventory_upstream(it, "nothing"), AUB_NO_HANDLE);
	EXPECT_TRUE(aub_upstream_accepts_new(it, two));
	aub_zone_at(it, 0)->out = true;
	EXPECT_FALSE(aub_upstream_accepts_new(it, two));
	aub_inventory_unref(it);
}

TEST(Inventory, RoutesByLongestPathOfWholeSegments)
{
	std::string why;
	struct aub_inventory *it = parse(base, &why);
	guint16 fees = aub_inventory_service(it, "fees");
	guint16 site = aub_inventory_service(it, "site");

	EXPECT_EQ(aub_inventory_route(it, "/fees"), fees);
	EXPECT_EQ(aub_inventory_route(it, "/fees/7?x=/y"), fees);
	EXPECT_EQ(aub_inventory_route(it, "/feesible"), site);
	EXPECT_EQ(aub_inventory_route(it, "/"), site);
	aub_inventory_unref(it);
}

/*
 * The caller pays once and is charged twice. It wrote the path in another
 * way that the upstream reads as the same; the request passed as one that
 * may be repeated, and a retry ran it again.
 */
TEST(Inventory, OnceRulesSeeThroughOtherSpellingsOfAPath)
{
	std::string why;
	struct aub_inventory *it = parse(base, &why);
	const struct aub_service *fees =
		aub_service_at(it, aub_inventory_service(it, "fees"));
	const char *same[] = { "/fees/pay",	  "/fees/pay/",
			       "/fees/pay?a=1",	  "/fees//pay",
			       "/fees/./pay",	  "/fees/x/../pay",
			       "/fees/%70ay",	  "/fees%2fpay",
			       "/fees\\pay",	  "/FEES/Pay",
			       "/fees;s=1/pay;x", "/fees/pay/3",
			       "/../fees/pay",	  "/%66ees/pay#f" };
	const char *other[] = { "/fees", "/fees/payment", "/pay" };

	for (const char *path : same)
		EXPECT_NE(aub_service_at_most_once_rule(fees, "POST", path), nullptr)
			<< path;
	for (const char *path : other)
		EXPECT_EQ(aub_service_at_most_once_rule(fees, "POST", path), nullptr)
			<< path;
	EXPECT_NE(aub_service_at_most_once_rule(fees, "post", "/fees/pay"), nullptr);
	EXPECT_EQ(aub_service_at_most_once_rule(fees, "GET", "/fees/pay"), nullptr);
	aub_inventory_unref(it);
}

struct fault {
	const char *from;
	const char *to;
	const char *expected; /* the first problem's line */
};

static const struct fault faults[] = {
	{ "region = \"north\"\nvms", "region = \"n\"\nregoin = 1\nvms",
	  "x.toml:5: zone[a].regoin: there is no such key here "
	  "(rule unknown-key)" },
	{ "name = \"b\"", "name = \"a\"",
	  "x.toml:8: zone[a].name: \"a\" is there twice (rule duplicate)" },
	{ "name = \"a\"", "name = \"a b\"",
	  "x.toml:3: zone[a b].name: \"a b\" must be 1 to 23 of a-z A-Z 0-9 . "
	  "_ -, the first a letter or digit (rule name)" },
	{ "zone = \"b\"", "zone = \"c\"",
	  "x.toml:13: vm[b1].zone: there is no zone \"c\" (rule reference)" },
	{ "zone = \"b\"\n", "",
	  "x.toml:11: vm[b1].zone: this key is needed (rule missing)" },
	{ "vm = \"a2\"", "vm = \"z9\"",
	  "x.toml:24: upstream[fees-2].vm: there is no VM \"z9\" "
	  "(rule reference)" },
	{ "vm = \"a2\"", "vm = \"b1\"",
	  "x.toml:24: upstream[fees-2].vm: its zone \"b\" is none of those "
	  "that service \"fees\" may run in (rule zone-restriction)" },
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
	  "the system's own (rule path-reserved)" },
	{ "path = \"/fees/pay\"", "path = \"/pay\"",
	  "x.toml:21: service[fees].once[#1].path: no request to service \"fees\" (path "
	  "\"/fees\") has a path below \"/pay\" (rule once-unmatched)" },
	{ "\"POST\"", "\"post\"",
	  "x.toml:21: service[fees].once[#1].method: \"post\" is no method such as "
	  "POST, nor \"*\" (rule method)" },
	{ "slots = 2", "slots = 0",
	  "x.toml:19: service[fees].slots: 0 is out of range: 1 to 4096 "
	  "(rule range)" },
	{ "slots = 2", "slots = \"2\"",
	  "x.toml:19: service[fees].slots: must be an integer, not a string "
	  "(rule type)" },
	{ "slots = 2", "slots = 2\ncold_slots = 3",
	  "x.toml:24: upstream[fees-1].cold_slots: 3 when cold is more than "
	  "its 2 slots (rule cold-slots)" },
	{ "slots = 2", "slots = 2\nprobe_cost_us = 30000",
	  "x.toml:24: upstream[fees-1].probe_cost_us: one probe of 30000 us is "
	  "more than the 20000 us a second that service \"fees\" allows "
	  "(rule probe-budget)" },
	{ "service = \"site\"", "service = \"sites\"",
	  "x.toml:27: service[site]: no upstream serves it "
	  "(rule no-upstream)" },
	{ "version = 7", "version = \"7\"",
	  "x.toml:1: version: must be an integer, 0 or more (rule type)" },
	{ "[[vm]]", "[vm]",
	  "x.toml:11: inventory.vm: must be a list of tables, not a table "
	  "(rule type)" },
};

TEST(Inventory, EachRuleNamesItsLineAndField)
{
	for (const struct fault &fault : faults) {
		std::string why;
		struct aub_inventory *it =
			parse(with(fault.from, fault.to), &why);

		EXPECT_EQ(it, nullptr) << fault.to;
		size_t first = why.find('\n') + 1;
		EXPECT_EQ(why.substr(first, why.find('\n', first) - first),
			  fault.expected);
	}
}

TEST(Inventory, OperatorsCanLookUpEachRule)
{
	char *page = nullptr;

	ASSERT_TRUE(g_file_get_contents("docs/OPERATIONS.md", &page, nullptr,
					nullptr));
	for (const struct fault &fault : faults) {
		std::string line = fault.expected;
		size_t at = line.rfind("(rule ") + strlen("(rule ");
		std::string rule = line.substr(at, line.size() - at - 1);

		EXPECT_NE(std::string(page).find("`" + rule + "`"),
			  std::string::npos)
			<< rule;
	}
	g_free(page);
}

TEST(Inventory, AFileCutShortIsNoEmptyFleet)
{
	std::string why;

	EXPECT_EQ(parse("", &why), nullptr);
	EXPECT_NE(why.find("(rule empty)"), std::string::npos) << why;
	EXPECT_EQ(parse("[[zone]]\nname = \"a\"\nregion = \"r\"\n", &why),
		  nullptr);
}

TEST(Inventory, ReportsEveryProblemAtOnce)
{
	std::string why;

	EXPECT_EQ(parse(with("slots = 2", "slots = 0\nspeed = 3") +
				"[[upstream]]\nname = \"x\"\n",
			&why),
		  nullptr);
	EXPECT_EQ(why.substr(0, why.find('\n')),
		  "check inventory: x.toml: 5 problems");
}

TEST(Inventory, VersionLineIsSetAndTakenAway)
{
	char *text = aub_inventory_text_set_version(base, 12);

	EXPECT_EQ(std::string(text).substr(0, 24),
		  "version = 12\n[[zone]]\nna");
	char *none = aub_inventory_text_set_version(text, 0);
	EXPECT_EQ(std::string(none), std::string(base).substr(12));
	g_free(text);
	g_free(none);
}

/* The size to design for: 910 upstreams in 88 services, 8 zones. */
TEST(Inventory, ReadsTheSizeToDesignFor)
{
	std::string text;
	std::string why;

	for (int zone = 0; zone < 8; zone++)
		text += "[[zone]]\nname = \"z" + std::to_string(zone) +
			"\"\nregion = \"r\"\nvms = [\"v" +
			std::to_string(zone) + "\"]\n";
	for (int service = 0; service < 88; service++)
		text += "[[service]]\nname = \"s" + std::to_string(service) +
			"\"\npath = \"/s" + std::to_string(service) + "\"\n";
	for (int i = 0; i < 910; i++)
		text += "[[upstream]]\nname = \"u" + std::to_string(i) +
			"\"\nservice = \"s" + std::to_string(i % 88) +
			"\"\nvm = \"v" + std::to_string(i % 8) +
			"\"\naddress = \"10.0.0.1:" + std::to_string(i + 1) +
			"\"\n";
	gint64 start = g_get_monotonic_time();
	struct aub_inventory *it = parse(text, &why);
	gint64 took = g_get_monotonic_time() - start;

	ASSERT_NE(it, nullptr) << why;
	EXPECT_EQ(it->upstreams->len, 910u);
	RecordProperty("parse_us", std::to_string(took));
	printf("parsed %zu bytes in %ld us\n", text.size(), (long)took);
	aub_inventory_unref(it);
}

TEST(Inventory, ExamplesHaveTheSizesOfToday)
{
	const struct {
		const char *file;
		guint zones;
		guint upstreams;
		guint slots;
	} examples[] = { { "examples/nidito.toml", 3, 28, 2 },
			 { "examples/cedarline.toml", 4, 36, 6 } };

	for (const auto &example : examples) {
		char *text = nullptr;
		std::string why;

		ASSERT_TRUE(g_file_get_contents(example.file, &text, nullptr,
						nullptr));
		struct aub_inventory *it = parse(text, &why);
		g_free(text);
		ASSERT_NE(it, nullptr) << why;
		EXPECT_EQ(it->zones->len, example.zones);
		EXPECT_EQ(it->upstreams->len, example.upstreams);
		EXPECT_EQ(aub_upstream_at(it, 0)->slots, example.slots);
		aub_inventory_unref(it);
	}
}

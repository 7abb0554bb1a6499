/* Decoding and encoding of the platform's objects and headers. */
#include <gtest/gtest.h>

#include <auburnstile/internal/platform.h>

#include "platform/body.h"

#include <string>
#include <vector>

static struct aub_store_page *decode(enum aub_store_kind kind,
				     const std::string &text,
				     GError **error = NULL)
{
	GBytes *body = platform_body_pack(text.data(), text.size());
	gsize length;
	const void *data = g_bytes_get_data(body, &length);
	struct aub_store_page *page =
		aub_platform.decode_page(kind, data, length, error);

	g_bytes_unref(body);
	return page;
}

static std::string item(const std::string &name, const std::string &spec)
{
	return "{\"metadata\":{\"name\":\"" + name +
	       "\",\"revision\":5,\"created\":1,\"finalizers\":[],"
	       "\"deleting\":false},\"spec\":" +
	       spec + ",\"status\":null}";
}

static std::string list(const std::string &items)
{
	return "{\"items\":[" + items + "],\"more\":true,\"store_revision\":9}";
}

static const struct aub_record *record_at(const struct aub_store_page *page,
					  guint i)
{
	return (const struct aub_record *)g_ptr_array_index(page->records, i);
}

/* Returns the name that a listing goes on after; "" if there is none. */
static std::string last_name(const struct aub_store_page *page)
{
	gsize length = 0;
	const char *name =
		page->last ?
			(const char *)g_bytes_get_data(page->last, &length) :
			"";

	return std::string(name, length);
}

static const char valid_entry[] =
	"{\"address\":\"10.0.0.9:80\",\"details\":{\"service\":\"s\",\"version\""
	":\"v1\",\"zone\":\"z\",\"slots\":2},\"status\":{\"state\":\"ready\","
	"\"sequence\":4,\"warmup_left_ms\":1200},\"born\":99}";

TEST(PlatformCodec, DecodesUpstreamEntry)
{
	struct aub_store_page *page =
		decode(AUB_STORE_UPSTREAMS, list(item("u1", valid_entry)));

	ASSERT_NE(page, nullptr);
	EXPECT_EQ(page->revision, 9);
	EXPECT_TRUE(page->more);
	EXPECT_EQ(last_name(page), "u1");
	ASSERT_EQ(page->records->len, 1u);
	const struct aub_upstream_record *upstream =
		record_at(page, 0)->upstream;
	ASSERT_NE(upstream, nullptr);
	EXPECT_STREQ(upstream->service, "s");
	EXPECT_STREQ(upstream->address, "10.0.0.9:80");
	EXPECT_STREQ(upstream->zone, "z");
	EXPECT_EQ(upstream->slots, 2u);
	EXPECT_EQ(upstream->warmup_left_ms, 1200u);
	EXPECT_EQ(upstream->born_ms, 99);
	EXPECT_FALSE(upstream->draining);
	aub_store_page_free(page);
}

TEST(PlatformCodec, ReportsInvalidEntryAndKeepsOthers)
{
	const char *const invalid[] = {
		"7",
		"[]",
		"{}",
		"{\"address\":\"nowhere\"}",
		"{\"address\":\"10.0.0.9:80\",\"details\":[],\"status\":{}}",
		"{\"address\":\"10.0.0.9:80\",\"details\":{\"service\":5},"
		"\"status\":{}}",
		"{\"address\":\"10.0.0.9:80\",\"details\":{\"service\":\"s\","
		"\"zone\":\"z\",\"slots\":2.5},\"status\":{\"state\":"
		"\"ready\"}}",
		"{\"address\":\"10.0.0.9:80\",\"details\":{\"service\":\"s\","
		"\"zone\":\"z\",\"slots\":-1},\"status\":{\"state\":\"ready\"}"
		"}",
		"{\"address\":\"10.0.0.9:80\",\"details\":{\"service\":\"s\","
		"\"zone\":\"z\",\"slots\":2},\"status\":{\"state\":\"odd\"}}",
	};

	for (const char *spec : invalid) {
		struct aub_store_page *page =
			decode(AUB_STORE_UPSTREAMS,
			       list(item("bad", spec) + "," +
				    item("u1", valid_entry)));

		ASSERT_NE(page, nullptr) << spec;
		ASSERT_EQ(page->records->len, 2u);
		EXPECT_EQ(record_at(page, 0)->upstream, nullptr) << spec;
		EXPECT_NE(record_at(page, 0)->problem, nullptr) << spec;
		EXPECT_NE(record_at(page, 1)->upstream, nullptr);
		aub_store_page_free(page);
	}
}

/* Guards against a name of an entry that writes header fields of its own. */
TEST(PlatformCodec, RefusesUpstreamWhoseNameIsNoHeaderValue)
{
	for (const char *name : { "", " u", "u ", "u\\r\\nX-A: b", "u\\nX",
				  "u\\u0001", "u\\u007f", "u\\tv" }) {
		struct aub_store_page *page =
			decode(AUB_STORE_UPSTREAMS,
			       list(item(name, valid_entry)));

		ASSERT_NE(page, nullptr) << name;
		ASSERT_EQ(page->records->len, 1u) << name;
		EXPECT_EQ(record_at(page, 0)->upstream, nullptr) << name;
		EXPECT_NE(record_at(page, 0)->problem, nullptr) << name;
		aub_store_page_free(page);
	}
	for (const char *name : { "u v", "u&v", "u:v", "\xc3\xa9" }) {
		struct aub_store_page *page =
			decode(AUB_STORE_UPSTREAMS,
			       list(item(name, valid_entry)));

		ASSERT_NE(page, nullptr) << name;
		EXPECT_NE(record_at(page, 0)->upstream, nullptr) << name;
		aub_store_page_free(page);
	}
}

TEST(PlatformCodec, DecodesWatchEvents)
{
	struct aub_store_page *page =
		decode(AUB_STORE_UPSTREAMS,
		       "{\"events\":[{\"removed\":true,\"object\":" +
			       item("u1", "null") +
			       "},{\"removed\":false,\"object\":" +
			       item("u2", valid_entry) +
			       "}],\"store_revision\":12}");

	ASSERT_NE(page, nullptr);
	EXPECT_TRUE(record_at(page, 0)->removed);
	EXPECT_FALSE(record_at(page, 1)->removed);
	EXPECT_EQ(page->revision, 12);
	aub_store_page_free(page);
}

/* Values that make the whole document undecodable. */
static std::vector<std::string> undecodable_values()
{
	std::string many("\xdd\x00\x05\x00\x00", 5);

	many.append(0x50000, '\xc0'); /* more elements than are accepted */
	return {
		"\xd6\xff\x6a\x0f\x52\x01", /* a timestamp */
		"\xc7\x03\x05zzz", /* an extension type */
		std::string(40, '\x91') + "\xc0", /* nested too deeply */
		many,
	};
}

/* Returns the page with `value` in place of the text "PLACEHOLDER". */
static std::string page_with(const std::string &text, const std::string &value)
{
	const std::string placeholder = "\xabPLACEHOLDER";
	GBytes *body = platform_body_pack(text.data(), text.size());
	gsize length;
	const char *data = (const char *)g_bytes_get_data(body, &length);
	std::string page(data, length);

	g_bytes_unref(body);
	return page.replace(page.find(placeholder), placeholder.size(), value);
}

static struct aub_store_page *decode_raw(const std::string &data)
{
	return aub_platform.decode_page(AUB_STORE_UPSTREAMS, data.data(),
					data.size(), NULL);
}

/* Guards against an entry of another writer that hides all others. */
TEST(PlatformCodec, KeepsOtherEntriesBesideOneThatCannotBeDecoded)
{
	const std::string foreign =
		item("foreign", "{\"updated\":\"PLACEHOLDER\"}");
	const std::string text = list(item("u1", valid_entry) + "," + foreign +
				      "," + item("u2", valid_entry));

	for (const std::string &value : undecodable_values()) {
		struct aub_store_page *page =
			decode_raw(page_with(text, value));

		ASSERT_NE(page, nullptr);
		EXPECT_EQ(page->revision, 9);
		EXPECT_TRUE(page->more);
		EXPECT_EQ(last_name(page), "u2");
		ASSERT_EQ(page->records->len, 3u);
		EXPECT_NE(record_at(page, 0)->upstream, nullptr);
		EXPECT_STREQ(record_at(page, 1)->name, "foreign");
		EXPECT_EQ(record_at(page, 1)->revision, 5);
		EXPECT_EQ(record_at(page, 1)->upstream, nullptr);
		EXPECT_NE(record_at(page, 1)->problem, nullptr);
		EXPECT_NE(record_at(page, 2)->upstream, nullptr);
		aub_store_page_free(page);
	}
}

/* The same where the field that can't be decoded stands beside the name. */
TEST(PlatformCodec, KeepsNameOfEntryWhoseMetadataCannotBeDecoded)
{
	const std::string text =
		list(item("u1", valid_entry) +
		     ",{\"metadata\":{\"finalizers\":\"PLACEHOLDER\","
		     "\"name\":\"foreign\",\"revision\":6},\"spec\":" +
		     valid_entry + "}");

	for (const std::string &value : undecodable_values()) {
		struct aub_store_page *page =
			decode_raw(page_with(text, value));

		ASSERT_NE(page, nullptr);
		EXPECT_EQ(last_name(page), "foreign");
		ASSERT_EQ(page->records->len, 2u);
		EXPECT_NE(record_at(page, 0)->upstream, nullptr);
		EXPECT_STREQ(record_at(page, 1)->name, "foreign");
		EXPECT_EQ(record_at(page, 1)->revision, 6);
		EXPECT_EQ(record_at(page, 1)->upstream, nullptr);
		EXPECT_NE(record_at(page, 1)->problem, nullptr);
		aub_store_page_free(page);
	}
}

/* Guards against a listing that ends at a name which is no text. */
TEST(PlatformCodec, ContinuesListingAfterNameThatIsNoText)
{
	const std::string text = list(item("u1", valid_entry) + "," +
				      item("PLACEHOLDER", valid_entry));
	static const struct {
		std::string encoded;
		std::string name;
	} cases[] = {
		{ "\xa2\xff\xfe", "\xff\xfe" },
		{ std::string("\xa3m\0n", 4), std::string("m\0n", 3) },
		{ "\xc4\x02mn", "mn" },
		{ "\x07", "u1" },
		{ std::string("\xc4\0", 2), "u1" },
		{ undecodable_values()[0], "u1" },
		{ undecodable_values()[2], "u1" },
	};

	for (const auto &odd : cases) {
		struct aub_store_page *page =
			decode_raw(page_with(text, odd.encoded));

		ASSERT_NE(page, nullptr);
		EXPECT_TRUE(page->more);
		EXPECT_EQ(last_name(page), odd.name);
		EXPECT_EQ(page->unnamed, 1u);
		ASSERT_EQ(page->records->len, 1u);
		EXPECT_NE(record_at(page, 0)->upstream, nullptr);
		aub_store_page_free(page);
	}
}

/* Guards against a listing that goes on after an empty name: from its start. */
TEST(PlatformCodec, DoesNotContinueListingAfterEmptyName)
{
	const std::string items =
		item("u1", valid_entry) + "," + item("", valid_entry);
	struct aub_store_page *page = decode(AUB_STORE_UPSTREAMS, list(items));

	ASSERT_NE(page, nullptr);
	EXPECT_EQ(last_name(page), "u1");
	aub_store_page_free(page);
	page = decode_raw(
		page_with(list(items + "," + item("PLACEHOLDER", "{}")),
			  undecodable_values()[0]));
	ASSERT_NE(page, nullptr);
	EXPECT_EQ(last_name(page), "u1");
	aub_store_page_free(page);
}

/* The same for changes, of which one removes such an entry. */
TEST(PlatformCodec, KeepsOtherChangesBesideOneThatCannotBeDecoded)
{
	const std::string foreign =
		item("foreign", "{\"updated\":\"PLACEHOLDER\"}");

	for (const char *removed : { "false", "true" })
		for (const std::string &value : undecodable_values()) {
			struct aub_store_page *page = decode_raw(page_with(
				"{\"events\":[{\"removed\":" +
					std::string(removed) +
					",\"object\":" + foreign +
					"},{\"removed\":false,\"object\":" +
					item("u2", valid_entry) +
					"}],\"store_revision\":12}",
				value));

			ASSERT_NE(page, nullptr);
			EXPECT_EQ(page->revision, 12);
			ASSERT_EQ(page->records->len, 2u);
			EXPECT_EQ(record_at(page, 0)->removed,
				  removed == std::string("true"));
			EXPECT_EQ(!record_at(page, 0)->problem,
				  record_at(page, 0)->removed);
			EXPECT_NE(record_at(page, 1)->upstream, nullptr);
			aub_store_page_free(page);
		}
}

/* Guards against a page that was cut off and is taken for a short one. */
TEST(PlatformCodec, RefusesTruncatedPageWithAnEntryThatCannotBeDecoded)
{
	const std::string data =
		page_with(list(item("u1", valid_entry) + "," +
			       item("foreign",
				    "{\"updated\":\"PLACEHOLDER\"}")),
			  undecodable_values()[0]);

	for (gsize cut = 0; cut < data.size(); cut++)
		EXPECT_EQ(decode_raw(data.substr(0, cut)), nullptr) << cut;
}

TEST(PlatformCodec, RejectsMalformedStoreAnswers)
{
	for (const char *text :
	     { "", "[]", "{}", "{\"items\":[]}", "{\"items\":7}",
	       "{\"items\":[],\"store_revision\":\"x\"}", "{\"items\":[" }) {
		GError *error = NULL;

		EXPECT_EQ(decode(AUB_STORE_UPSTREAMS, text, &error), nullptr)
			<< text;
		EXPECT_NE(error, nullptr);
		g_clear_error(&error);
	}
}

static std::string config(const std::string &route,
			  const std::string &limits = "16384")
{
	return "{\"version\":7,\"routes\":{\"columns\":[\"name\",\"host\","
	       "\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\","
	       "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],"
	       "\"rows\":[" +
	       route +
	       "]},\"services\":{\"columns\":[\"name\",\"health_path\","
	       "\"max_conns\",\"protocol\",\"tls\",\"warmup_s\","
	       "\"warmup_per_s\"],\"rows\":[[\"a\",\"/h\",220,\"h1\",false,3.0,"
	       "2.1],[\"b\",\"/h\",220,\"h1\",false,3.0,2.1]]},\"limits\":{"
	       "\"max_header_bytes\":" +
	       limits +
	       ",\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
	       "\"idle_timeout_ms\":15000}}";
}

TEST(PlatformCodec, DecodesConfiguration)
{
	struct aub_store_page *page = decode(
		AUB_STORE_ROUTING,
		list(item("main",
			  config("[\"r\",\"H.example\",\"/x/\",\"safe\",2000,"
				 "600,2,[{\"service\":\"a\",\"weight\":90},{"
				 "\"service\":\"b\",\"weight\":10}],2,null],"
				 "[\"q\",\"h.example\",\"/y/\",\"unsafe\","
				 "2500.0,800,1,null,3,\"b\"]"))));

	ASSERT_NE(page, nullptr);
	const struct aub_routing *routing = record_at(page, 0)->routing;
	ASSERT_NE(routing, nullptr) << record_at(page, 0)->problem;
	EXPECT_EQ(routing->version, 7);
	EXPECT_EQ(routing->limits.body_bytes, 67108864u);
	const struct aub_route *route =
		aub_routing_find(routing, "h.example", "/x/1");
	ASSERT_NE(route, nullptr);
	EXPECT_TRUE(route->idempotent);
	EXPECT_EQ(route->timeout_ms, 2000u);
	EXPECT_EQ(route->splits->len, 2u);
	route = aub_routing_find(routing, "h.example", "/y/1");
	EXPECT_FALSE(route->idempotent);
	EXPECT_EQ(route->timeout_ms, 2500u);
	EXPECT_EQ(route->max_attempts, 3u);
	aub_store_page_free(page);
}

TEST(PlatformCodec, ReportsInvalidConfigurationField)
{
	const struct {
		const char *route;
		const char *limits;
		const char *expected;
	} invalid[] = {
		{ "[\"r\",\"h\",\"/x/\",\"safe\",-1,600,2,null,2,\"a\"]",
		  "16384", "routes[0].timeout_ms" },
		{ "[\"r\",\"h\",\"/x/\",\"safe\",\"1\",600,2,null,2,\"a\"]",
		  "16384", "routes[0].timeout_ms" },
		{ "[\"r\",\"h\",\"/x/\",7,10,600,2,null,2,\"a\"]", "16384",
		  "routes[0].kind" },
		{ "[\"r\",\"h\",\"/x/\",\"safe\",10,600,2,null,2,null]",
		  "16384", "routes[0].service" },
		{ "[\"r\",\"h\",\"/x/\",\"safe\",10,600,2,[{\"weight\":1}],2,"
		  "null]",
		  "16384", "routes[0].traffic_split" },
		{ "[\"r\",\"h\",\"/x/\",\"safe\",10,600,2,null,2,\"none\"]",
		  "16384", "none" },
		{ "[\"r\",\"h\",\"x\",\"safe\",10,600,2,null,2,\"a\"]", "16384",
		  "slash" },
		{ "[\"r\"]", "16384", "routes[0]" },
		{ "7", "16384", "routes[0]" },
		{ "[\"r\",\"h\",\"/x/\",\"safe\",10,600,2,null,2,\"a\"]", "0",
		  "max_header_bytes" },
	};

	for (const auto &invalid_case : invalid) {
		struct aub_store_page *page =
			decode(AUB_STORE_ROUTING,
			       list(item("main", config(invalid_case.route,
							invalid_case.limits))));

		ASSERT_NE(page, nullptr);
		EXPECT_EQ(record_at(page, 0)->routing, nullptr)
			<< invalid_case.route;
		ASSERT_NE(record_at(page, 0)->problem, nullptr);
		EXPECT_NE(strstr(record_at(page, 0)->problem,
				 invalid_case.expected),
			  nullptr)
			<< record_at(page, 0)->problem;
		aub_store_page_free(page);
	}
}

static struct aub_load load_of(const char *value, const char *warmup = NULL)
{
	struct aub_http_head head = {};
	struct aub_http_header header = { "instance-load", value };
	struct aub_load load;

	head.headers =
		g_array_new(FALSE, FALSE, sizeof(struct aub_http_header));
	g_array_append_val(head.headers, header);
	if (warmup) {
		header = { "Warmup-Remaining-Ms", warmup };
		g_array_append_val(head.headers, header);
	}
	aub_platform.decode_load(&head, &load);
	g_array_unref(head.headers);
	return load;
}

TEST(PlatformCodec, DecodesLoadHeaders)
{
	struct aub_load load = load_of("3, 0,8,250", "1500");

	EXPECT_EQ(load.running, 3);
	EXPECT_EQ(load.waiting, 0);
	EXPECT_EQ(load.slots, 8);
	EXPECT_EQ(load.slowdown, 250);
	EXPECT_EQ(load.warmup_ms, 1500);
	EXPECT_EQ(load_of("3,0,8").slowdown, -1);
	EXPECT_EQ(load_of("3,0,8").slots, 8);
	for (const char *invalid : { "", "3,0", "a,b,c", "-1,0,8", "3,,8" })
		EXPECT_EQ(load_of(invalid).slots, -1) << invalid;
	EXPECT_EQ(load_of("1,1,1", "soon").warmup_ms, -1);
}

static struct aub_load load_with_limits(std::vector<const char *> values)
{
	struct aub_http_head head = {};
	struct aub_load load;

	head.headers =
		g_array_new(FALSE, FALSE, sizeof(struct aub_http_header));
	for (const char *value : values) {
		struct aub_http_header header = { "Server-Limit", value };

		g_array_append_val(head.headers, header);
	}
	aub_platform.decode_load(&head, &load);
	g_array_unref(head.headers);
	return load;
}

TEST(PlatformCodec, DecodesLimitOnRequests)
{
	EXPECT_EQ(load_with_limits({}).limit, AUB_LIMIT_NOT_NAMED);
	EXPECT_EQ(load_with_limits({ "2.5" }).limit, AUB_LIMIT_NAMED);
	EXPECT_EQ(load_with_limits({ "2.5" }).limit_per_1000_s, 2500u);
	EXPECT_EQ(load_with_limits({ "0" }).limit_per_1000_s, 0u);
	EXPECT_EQ(load_with_limits({ "0.0004" }).limit_per_1000_s, 0u);
	EXPECT_EQ(load_with_limits({ std::string(400, '9').c_str() })
			  .limit_per_1000_s,
		  1000000000u);
	for (const char *unreadable :
	     { "", " ", "soon", "-1", "+1", "1e3", "0x10", "1,5", "1.", ".5",
	       "1.2.3", "nan", "inf", "1 2" })
		EXPECT_EQ(load_with_limits({ unreadable }).limit,
			  AUB_LIMIT_UNKNOWN)
			<< unreadable;
	EXPECT_EQ(load_with_limits({ "1", "2" }).limit, AUB_LIMIT_UNKNOWN);
}

TEST(PlatformCodec, DecodesLeaving)
{
	for (const char *value : { "1", "0", "", "yes", "11", "-1" }) {
		struct aub_http_head head = {};
		struct aub_http_header header = { "server-leaving", value };
		struct aub_load load;

		head.headers = g_array_new(FALSE, FALSE,
					   sizeof(struct aub_http_header));
		g_array_append_val(head.headers, header);
		aub_platform.decode_load(&head, &load);
		g_array_unref(head.headers);
		EXPECT_EQ(load.leaving, !strcmp(value, "1")) << value;
	}
}

TEST(PlatformCodec, DecodesRolloutOrder)
{
	struct aub_store_page *page = decode(
		AUB_STORE_ROLLOUTS,
		list(item("svc",
			  "{\"service\":\"svc\",\"target_version\":\"v2\","
			  "\"duration_s\":12.5}")));

	ASSERT_NE(page, nullptr);
	const struct aub_rollout_record *rollout = record_at(page, 0)->rollout;
	ASSERT_NE(rollout, nullptr);
	EXPECT_STREQ(rollout->order.version, "v2");
	EXPECT_EQ(rollout->order.duration_ms, 12500u);
	EXPECT_EQ(rollout->order.created, 1);
	EXPECT_EQ(rollout->state, AUB_ROLLOUT_NONE);
	aub_store_page_free(page);
}

TEST(PlatformCodec, ReportsInvalidOrderAndKeepsOthers)
{
	const char *const invalid[][2] = {
		{ "7", "spec" },
		{ "{}", "spec.service" },
		{ "{\"service\":\"other\",\"target_version\":\"v2\","
		  "\"duration_s\":12}",
		  "spec.service" },
		{ "{\"service\":\"svc\",\"duration_s\":12}",
		  "spec.target_version" },
		{ "{\"service\":\"svc\",\"target_version\":2,\"duration_s\":12}",
		  "spec.target_version" },
		{ "{\"service\":\"svc\",\"target_version\":\"\","
		  "\"duration_s\":12}",
		  "spec.target_version" },
		{ "{\"service\":\"svc\",\"target_version\":\"v2\"}",
		  "spec.duration_s" },
		{ "{\"service\":\"svc\",\"target_version\":\"v2\","
		  "\"duration_s\":\"12\"}",
		  "spec.duration_s" },
		{ "{\"service\":\"svc\",\"target_version\":\"v2\","
		  "\"duration_s\":0}",
		  "spec.duration_s" },
		{ "{\"service\":\"svc\",\"target_version\":\"v2\","
		  "\"duration_s\":-3}",
		  "spec.duration_s" },
		{ "{\"service\":\"svc\",\"target_version\":\"v2\","
		  "\"duration_s\":1e300}",
		  "spec.duration_s" },
	};
	const std::string valid =
		"{\"service\":\"zz\",\"target_version\":\"v2\","
		"\"duration_s\":12}";

	for (auto &order : invalid) {
		struct aub_store_page *page =
			decode(AUB_STORE_ROLLOUTS,
			       list(item("svc", order[0]) + "," +
				    item("zz", valid)));

		ASSERT_NE(page, nullptr) << order[0];
		EXPECT_EQ(record_at(page, 0)->rollout, nullptr) << order[0];
		ASSERT_NE(record_at(page, 0)->problem, nullptr) << order[0];
		EXPECT_NE(strstr(record_at(page, 0)->problem, order[1]),
			  nullptr)
			<< record_at(page, 0)->problem;
		EXPECT_NE(record_at(page, 1)->rollout, nullptr);
		aub_store_page_free(page);
	}
}

static enum aub_rollout_state stored_state(const std::string &status)
{
	struct aub_store_page *page = decode(
		AUB_STORE_ROLLOUTS,
		"{\"items\":[{\"metadata\":{\"name\":\"svc\",\"revision\":5,"
		"\"created\":1},\"spec\":{\"service\":\"svc\","
		"\"target_version\":\"v2\",\"duration_s\":12},\"status\":" +
			status + "}],\"more\":false,\"store_revision\":9}");
	enum aub_rollout_state state = record_at(page, 0)->rollout->state;

	aub_store_page_free(page);
	return state;
}

/* Guards against using the state of one order for another. */
TEST(PlatformCodec, DecodesStateOnlyForMatchingOrder)
{
	EXPECT_EQ(stored_state("null"), AUB_ROLLOUT_NONE);
	EXPECT_EQ(stored_state("{\"state\":\"running\",\"target_version\":"
			       "\"v2\"}"),
		  AUB_ROLLOUT_RUNNING);
	EXPECT_EQ(stored_state("{\"state\":\"completed\",\"target_version\":"
			       "\"v2\"}"),
		  AUB_ROLLOUT_COMPLETED);
	EXPECT_EQ(stored_state("{\"state\":\"rolled_back\",\"target_version\":"
			       "\"v2\",\"duration_s\":12.0}"),
		  AUB_ROLLOUT_ROLLED_BACK);
	EXPECT_EQ(stored_state("{\"state\":\"rolled_back\",\"target_version\":"
			       "\"v2\",\"duration_s\":30.0}"),
		  AUB_ROLLOUT_NONE);
	EXPECT_EQ(stored_state("{\"state\":\"completed\",\"target_version\":"
			       "\"v1\"}"),
		  AUB_ROLLOUT_NONE);
	EXPECT_EQ(stored_state("{\"state\":\"odd\",\"target_version\":\"v2\"}"),
		  AUB_ROLLOUT_NONE);
}

TEST(PlatformCodec, EncodesRolloutState)
{
	struct aub_rollout_record record = {};
	gsize length;

	record.order.version = (char *)"v2";
	record.order.duration_ms = 12000;
	record.state = AUB_ROLLOUT_ROLLED_BACK;
	GBytes *body = aub_platform.rollout_body("svc", 42, &record);
	const void *data = g_bytes_get_data(body, &length);
	char *text = platform_body_text(data, length);
	EXPECT_NE(strstr(text, "\"revision\":42"), nullptr) << text;
	EXPECT_NE(strstr(text, "\"state\":\"rolled_back\""), nullptr) << text;
	EXPECT_NE(strstr(text, "\"target_version\":\"v2\""), nullptr) << text;
	g_free(text);
	g_bytes_unref(body);
	char *path = aub_platform.state_path(AUB_STORE_ROLLOUTS, "svc");
	EXPECT_STREQ(path, "/objects/rollouts/svc/status");
	g_free(path);
}

/* Guards against a name of an object that becomes a part of a URL's syntax. */
TEST(PlatformCodec, EncodesNamesInPathsOfAllKinds)
{
	static const char *const kinds[AUB_STORE_KINDS] = {
		[AUB_STORE_ROUTING] = "config",
		[AUB_STORE_UPSTREAMS] = "servers",
		[AUB_STORE_EVACUATIONS] = "evacuations",
		[AUB_STORE_ROLLOUTS] = "rollouts",
		[AUB_STORE_MEMBERS] = "entries",
	};
	const std::string name = "a&b+c#d%41 /?\r\n\xc3\xa9-._~Z9";
	const std::string encoded =
		"a%26b%2Bc%23d%2541%20%2F%3F%0D%0A%C3%A9-._~Z9";

	for (guint i = 0; i < AUB_STORE_KINDS; i++) {
		enum aub_store_kind kind = (enum aub_store_kind)i;
		const std::string path = std::string("/objects/") + kinds[i];
		GBytes *after = g_bytes_new(name.data(), name.size());
		char *listing = aub_platform.list_path(kind, after, true);
		char *object = aub_platform.object_path(kind, name.c_str());
		char *state = aub_platform.state_path(kind, name.c_str());

		EXPECT_EQ(path + "?after=" + encoded + "&stale_ok=1", listing);
		EXPECT_EQ(path + "/" + encoded, object);
		EXPECT_EQ(path + "/" + encoded + "/status", state);
		g_bytes_unref(after);
		g_free(listing);
		g_free(object);
		g_free(state);
	}
}

/* Guards against an upstream whose version is unknown. */
TEST(PlatformCodec, RejectsUpstreamWithoutVersion)
{
	struct aub_store_page *page = decode(
		AUB_STORE_UPSTREAMS,
		list(item("u1", "{\"address\":\"10.0.0.9:80\",\"details\":{"
				"\"service\":\"s\",\"zone\":\"z\",\"slots\":2},"
				"\"status\":{\"state\":\"ready\"}}")));

	EXPECT_EQ(record_at(page, 0)->upstream, nullptr);
	EXPECT_STREQ(record_at(page, 0)->problem,
		     "details.version must be a string");
	aub_store_page_free(page);
}

/* A configuration with `rows` as its table of workspaces. */
static std::string config_with_workspaces(const std::string &rows)
{
	std::string text = config(
		"[\"r\",\"h\",\"/x/\",\"safe\",2000,600,2,null,2,\"a\"]");

	text.pop_back();
	return text +
	       ",\"tenants\":{\"columns\":[\"name\",\"api_keys\","
	       "\"priority\",\"rate_per_s\",\"burst\"],\"rows\":[" +
	       rows + "]}}";
}

static const char *holder_name(const struct aub_routing *routing,
			       const char *key)
{
	const struct aub_workspace *holder =
		aub_workspaces_find(routing->workspaces, key);

	return holder ? holder->name : "";
}

TEST(PlatformCodec, DecodesWorkspaces)
{
	struct aub_store_page *page =
		decode(AUB_STORE_ROUTING,
		       list(item("main",
				 config_with_workspaces(
					 "[\"w1\",[\"k1\",\"k2\"],1,2.5,7],"
					 "[\"w2\",[],null,null,null]"))));
	const struct aub_routing *routing = record_at(page, 0)->routing;

	ASSERT_NE(routing, nullptr) << record_at(page, 0)->problem;
	ASSERT_NE(routing->workspaces, nullptr);
	ASSERT_EQ(aub_workspaces_count(routing->workspaces), 2u);
	const struct aub_workspace *first =
		aub_workspaces_get(routing->workspaces, 0);
	EXPECT_EQ(first->priority, 1u);
	EXPECT_EQ(first->rate_per_s, 2.5);
	EXPECT_EQ(first->burst, 7.0);
	EXPECT_EQ(aub_workspaces_get(routing->workspaces, 1)->rate_per_s, 0.0);
	EXPECT_STREQ(holder_name(routing, "k2"), "w1");
	EXPECT_STREQ(holder_name(routing, "k3"), "");
	aub_store_page_free(page);
}

/* Failure: a configuration is applied without some of its keys or limits. */
TEST(PlatformCodec, RefusesInvalidWorkspacesWithoutPrintingKeys)
{
	const std::pair<const char *, const char *> invalid[] = {
		{ "[7,[],1,1,1]", "tenants[0].name" },
		{ "[\"w\",\"hidden\",1,1,1]", "tenants[0].api_keys" },
		{ "[\"w\",[\"hidden\",7],1,1,1]", "tenants[0].api_keys" },
		{ "[\"w\",[\"\"],1,1,1]", "w" },
		{ "[\"w\",[],-1,1,1]", "tenants[0].priority" },
		{ "[\"w\",[],1,\"many\",1]", "tenants[0].rate_per_s" },
		{ "[\"w\",[],1,-0.5,1]", "tenants[0].rate_per_s" },
		{ "[\"w\",[],1,1,1e300]", "tenants[0].burst" },
		{ "[\"w\",[],1,1,1],[\"w\",[],1,1,1]", "w" },
		{ "[\"v\",[\"hidden\"],1,1,1],[\"w\",[\"hidden\"],1,1,1]",
		  "w: has a key that workspace v has too" },
		{ "[\"a\\r\\nb\",[],1,1,1]", "workspaces" },
		{ "7", "tenants[0]" },
	};

	for (const auto &entry : invalid) {
		struct aub_store_page *page =
			decode(AUB_STORE_ROUTING,
			       list(item("main",
					 config_with_workspaces(entry.first))));
		const struct aub_record *record = record_at(page, 0);

		EXPECT_EQ(record->routing, nullptr) << entry.first;
		ASSERT_NE(record->problem, nullptr) << entry.first;
		EXPECT_NE(std::string(record->problem).find(entry.second),
			  std::string::npos)
			<< record->problem;
		EXPECT_EQ(std::string(record->problem).find("hidden"),
			  std::string::npos);
		aub_store_page_free(page);
	}
}

/* Failure: a datagram between gateways shows the keys of callers. */
TEST(PlatformCodec, SharedConfigurationHasDigestsInPlaceOfKeys)
{
	std::string text =
		list(item("main", config_with_workspaces(
					  "[\"w1\",[\"hidden1\"],1,2.5,7],"
					  "[\"w2\",[\"hidden2\"],0,0,0]")));
	GBytes *body = platform_body_pack(text.data(), text.size());
	gsize length;
	const void *data = g_bytes_get_data(body, &length);
	GBytes *shared = aub_platform.without_keys(data, length);
	const void *shared_data = g_bytes_get_data(shared, &length);

	EXPECT_EQ(memmem(shared_data, length, "hidden", 6), nullptr);
	struct aub_store_page *page =
		aub_platform.decode_page(AUB_STORE_ROUTING, shared_data, length,
					 NULL);
	ASSERT_NE(page, nullptr);
	const struct aub_routing *routing = record_at(page, 0)->routing;
	ASSERT_NE(routing, nullptr) << record_at(page, 0)->problem;
	EXPECT_EQ(routing->version, 7);
	EXPECT_EQ(routing->routes->len, 1u);
	EXPECT_STREQ(holder_name(routing, "hidden1"), "w1");
	EXPECT_STREQ(holder_name(routing, "hidden2"), "w2");
	EXPECT_STREQ(holder_name(routing, "hidden3"), "");
	aub_store_page_free(page);
	g_bytes_unref(shared);
	g_bytes_unref(body);
}

TEST(PlatformCodec, SharedConfigurationWithoutWorkspacesIsUnchanged)
{
	std::string text = list(
		item("main",
		     config("[\"r\",\"h\",\"/x/\",\"safe\",2000,600,2,null,"
			    "2,\"a\"]")));
	GBytes *body = platform_body_pack(text.data(), text.size());
	gsize length;
	const void *data = g_bytes_get_data(body, &length);
	GBytes *shared = aub_platform.without_keys(data, length);

	EXPECT_TRUE(g_bytes_equal(shared, body));
	EXPECT_EQ(aub_platform.without_keys("garbage", 7), nullptr);
	g_bytes_unref(shared);
	g_bytes_unref(body);
}

/* Failure: gateways that get an invalid table from others need no keys. */
TEST(PlatformCodec, SharedInvalidTableOfWorkspacesRemainsInvalid)
{
	for (const char *table :
	     { "7", "{}", "{\"columns\":[\"name\"]}", "{\"rows\":[]}", "[]",
	       "{\"columns\":[\"name\",\"api_keys\"],\"rows\":[[\"w\",1]]}",
	       "{\"columns\":[\"name\",\"api_keys\"],\"rows\":[[\"w\",[1]]]}" }) {
		std::string spec = config("[\"r\",\"h\",\"/x/\",\"safe\",2000,"
					  "600,2,null,2,\"a\"]");

		spec.pop_back();
		std::string text = list(
			item("main", spec + ",\"tenants\":" + table + "}"));
		GBytes *body = platform_body_pack(text.data(), text.size());
		gsize length;
		const void *data = g_bytes_get_data(body, &length);
		GBytes *shared = aub_platform.without_keys(data, length);
		const void *shared_data = g_bytes_get_data(shared, &length);
		struct aub_store_page *page =
			aub_platform.decode_page(AUB_STORE_ROUTING, shared_data,
						 length, NULL);

		ASSERT_NE(page, nullptr) << table;
		EXPECT_EQ(record_at(page, 0)->routing, nullptr) << table;
		aub_store_page_free(page);
		g_bytes_unref(shared);
		g_bytes_unref(body);
	}
}

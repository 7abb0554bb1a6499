/* Splitting encoded msgpack into its values. */
#include <gtest/gtest.h>

#include <auburnstile/internal/document_span.h>

#include "platform/body.h"

#include <string>

static struct aub_span span_of(const std::string &data)
{
	return { (const guint8 *)data.data(), data.size() };
}

static std::string text_of(const struct aub_span &span)
{
	return std::string((const char *)span.data, span.length);
}

static std::string packed(const std::string &json)
{
	GBytes *bytes = platform_body_pack(json.data(), json.size());
	gsize length;
	const char *data = (const char *)g_bytes_get_data(bytes, &length);
	std::string body(data, length);

	g_bytes_unref(bytes);
	return body;
}

/* One value of each type and size class. */
static const std::string VALUES[] = {
	std::string("\x00", 1),
	"\x7f",
	"\xff",
	"\xc0",
	"\xc2",
	"\xc3",
	"\xcc\xff",
	std::string("\xcd\x01\x00", 3),
	std::string("\xce\x01\x00\x00\x00", 5),
	std::string("\xcf\0\0\0\0\0\0\0\x01", 9),
	"\xd0\x80",
	std::string("\xd1\x80\x00", 3),
	std::string("\xd2\x80\x00\x00\x00", 5),
	std::string("\xd3\x80\0\0\0\0\0\0\0", 9),
	std::string("\xca\0\0\0\0", 5),
	std::string("\xcb\0\0\0\0\0\0\0\0", 9),
	"\xa3"
	"abc",
	"\xd9\x02"
	"ab",
	std::string("\xda\x00\x02"
		    "ab",
		    5),
	std::string("\xdb\x00\x00\x00\x02"
		    "ab",
		    7),
	"\xc4\x01z",
	std::string("\xc5\x00\x01z", 4),
	std::string("\xc6\x00\x00\x00\x01z", 6),
	"\xd4\x01z",
	"\xd5\x01zz",
	"\xd6\x01zzzz",
	"\xd7\x01zzzzzzzz",
	"\xd8\x01zzzzzzzzzzzzzzzz",
	"\xc7\x01\x05z",
	std::string("\xc8\x00\x01\x05z", 5),
	std::string("\xc9\x00\x00\x00\x01\x05z", 7),
	"\x92\x01\x91\x02",
	std::string("\xdc\x00\x01\xc0", 4),
	std::string("\xdd\x00\x00\x00\x01\xc0", 6),
	"\x81\x01\x81\x02\x03",
	std::string("\xde\x00\x01\x01\x02", 5),
	std::string("\xdf\x00\x00\x00\x01\x01\x02", 7),
	std::string("\x90"),
	std::string("\x80"),
};

TEST(DocumentSpan, TakesValuesOfEachType)
{
	for (const std::string &value : VALUES) {
		const std::string data = value + "\xc2rest";
		struct aub_span rest = span_of(data);
		struct aub_span taken;

		ASSERT_TRUE(aub_span_take(&rest, &taken))
			<< (int)(guint8)value[0];
		EXPECT_EQ(text_of(taken), value);
		EXPECT_EQ(text_of(rest), "\xc2rest");
	}
}

/* Guards against reading beyond the end of an answer that was cut off. */
TEST(DocumentSpan, RefusesTruncatedValues)
{
	for (const std::string &value : VALUES)
		for (gsize cut = 0; cut < value.size(); cut++) {
			const std::string data = value.substr(0, cut);
			struct aub_span rest = span_of(data);
			struct aub_span taken;

			EXPECT_FALSE(aub_span_take(&rest, &taken))
				<< (int)(guint8)value[0] << " at " << cut;
			EXPECT_EQ(rest.length, cut);
		}
}

/* Guards against nesting that exhausts the stack, and against huge counts. */
TEST(DocumentSpan, TakesDeepValuesAndRefusesAbsurdCounts)
{
	std::string deep(100000, '\x91');
	struct aub_span taken;
	struct aub_span rest;

	deep += '\xc0';
	rest = span_of(deep);
	EXPECT_TRUE(aub_span_take(&rest, &taken));
	EXPECT_EQ(taken.length, deep.size());
	for (const std::string &bad :
	     { std::string("\xc1"), std::string("\xdf\xff\xff\xff\xff\xc0"),
	       std::string("\xdd\xff\xff\xff\xff\xc0"),
	       std::string("\xdb\xff\xff\xff\xff\xc0") }) {
		rest = span_of(bad);
		EXPECT_FALSE(aub_span_take(&rest, &taken));
	}
}

TEST(DocumentSpan, FindsMembersByName)
{
	const std::string data =
		packed("{\"a\":{\"b\":70000},\"bb\":[1],\"b\":-1}");
	struct aub_span map = span_of(data);
	struct aub_span value;
	gint64 number = 0;

	ASSERT_TRUE(aub_span_find(&map, "a", &value));
	ASSERT_TRUE(aub_span_find(&value, "b", &value));
	EXPECT_TRUE(aub_span_integer(&value, &number));
	EXPECT_EQ(number, 70000);
	ASSERT_TRUE(aub_span_find(&map, "b", &value));
	EXPECT_FALSE(aub_span_integer(&value, &number));
	ASSERT_TRUE(aub_span_find(&map, "bb", &value));
	EXPECT_FALSE(aub_span_find(&value, "b", &value));
	EXPECT_FALSE(aub_span_find(&map, "c", &value));
}

TEST(DocumentSpan, FindsBytesOfStrings)
{
	static const struct {
		std::string value;
		bool is_string;
	} cases[] = {
		{ "\xa2mn", true },	 { "\xd9\x02mn", true },
		{ "\xc4\x02mn", true },	 { "\xc7\x02\x05mn", false },
		{ "\xd5\x05mn", false }, { "\x92mn", false },
		{ "\x07", false },
	};

	for (const auto &item : cases) {
		struct aub_span value = span_of(item.value);
		struct aub_span bytes = {};

		EXPECT_EQ(aub_span_bytes(&value, &bytes), item.is_string);
		if (item.is_string)
			EXPECT_EQ(text_of(bytes), "mn");
	}
}

/* Tests of the msgpack document reader. */
#include <gtest/gtest.h>

#include <auburnstile/error.h>
#include <auburnstile/internal/document.h>

#include "platform/body.h"

#include <string>

static struct aub_document *parse(const std::string &data,
				  GError **error = nullptr)
{
	return aub_document_parse(data.data(), data.size(), "read", "peer",
				  error);
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

TEST(Document, ReadsMembersByNameAndType)
{
	const std::string data = packed(
		"{\"text\":\"a\",\"number\":-7,\"real\":1.5,\"yes\":true,"
		"\"list\":[1,\"b\"],\"map\":{\"in\":3},\"nil\":null}");
	struct aub_document *document = parse(data);
	double number = 0;

	ASSERT_NE(document, nullptr);
	const msgpack_object *root = aub_document_root(document);
	char *text = aub_value_text(aub_map_get(root, "text"));
	EXPECT_STREQ(text, "a");
	g_free(text);
	EXPECT_TRUE(aub_value_text_is(aub_map_get(root, "text"), "a"));
	EXPECT_FALSE(aub_value_text_is(aub_map_get(root, "text"), "ab"));
	EXPECT_EQ(aub_map_integer(root, "number"), -7);
	EXPECT_FALSE(aub_map_has_integer(root, "real"));
	EXPECT_TRUE(aub_value_number(aub_map_get(root, "real"), &number));
	EXPECT_EQ(number, 1.5);
	EXPECT_TRUE(aub_map_boolean(root, "yes"));
	EXPECT_EQ(aub_list_length(aub_map_list(root, "list")), 2u);
	EXPECT_EQ(aub_map_integer(aub_map_map(root, "map"), "in"), 3);
	EXPECT_NE(aub_map_get(root, "nil"), nullptr);
	aub_document_free(document);
}

TEST(Document, ReturnsEmptyValuesForMissingMembers)
{
	const std::string data = packed("{\"text\":\"a\",\"list\":[1]}");
	struct aub_document *document = parse(data);
	double number = 0;

	ASSERT_NE(document, nullptr);
	const msgpack_object *root = aub_document_root(document);
	EXPECT_EQ(aub_map_map(root, "text"), nullptr);
	EXPECT_EQ(aub_map_get(aub_map_map(root, "no"), "way"), nullptr);
	EXPECT_EQ(aub_map_integer(NULL, "x"), 0);
	EXPECT_EQ(aub_list_length(NULL), 0u);
	EXPECT_EQ(aub_list_get(aub_map_list(root, "list"), 1), nullptr);
	EXPECT_EQ(aub_value_text(aub_map_get(root, "list")), nullptr);
	EXPECT_FALSE(aub_value_number(aub_map_get(root, "text"), &number));
	aub_document_free(document);
}

TEST(Document, RejectsTextThatIsNotUtf8OrContainsNul)
{
	const std::string data("\x82\xa1"
			       "a\xa2\xff\xfe\xa1"
			       "b\xa2x\0",
			       11);
	struct aub_document *document = parse(data);

	ASSERT_NE(document, nullptr);
	const msgpack_object *root = aub_document_root(document);
	EXPECT_EQ(aub_value_text(aub_map_get(root, "a")), nullptr);
	EXPECT_EQ(aub_value_text(aub_map_get(root, "b")), nullptr);
	aub_document_free(document);
}

/*
 * Guards against a corrupt response that terminates the process or exhausts its
 * memory.
 */
TEST(Document, RejectsCorruptDocuments)
{
	const std::string good = packed("{\"items\":[{\"a\":1},{\"b\":2}]}");
	std::string deep;

	for (int i = 0; i < 5000; i++)
		deep += '\x91';
	deep += '\xc0';
	for (gsize cut = 0; cut < good.size(); cut++)
		EXPECT_EQ(parse(good.substr(0, cut)), nullptr) << cut;
	for (const std::string &bad :
	     { std::string("\x90"), std::string("\xc1"), good + "\xc0",
	       std::string("\xdf\xff\xff\xff\xff\xc0"),
	       std::string("\x81\xa1x\xdd\xff\xff\xff\xff"),
	       std::string("\x81\xa1x\xd4\x01\x02"), "\x81\xa1x" + deep }) {
		GError *error = nullptr;

		EXPECT_EQ(parse(bad, &error), nullptr);
		ASSERT_NE(error, nullptr);
		EXPECT_NE(strstr(error->message, "read: peer"), nullptr)
			<< error->message;
		g_clear_error(&error);
	}
}

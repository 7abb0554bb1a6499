/* Tests of message encoding and of the rejection of malformed frames. */
#include <gtest/gtest.h>

#include <auburnstile/error.h>
#include <auburnstile/message.h>
#include <msgpack.h>

#include <functional>
#include <string>

static GBytes *encode(const struct aub_message *message)
{
	GError *error = NULL;
	GBytes *bytes = aub_message_encode(message, &error);

	EXPECT_EQ(error, nullptr);
	return bytes;
}

static struct aub_message *decode(GBytes *bytes, GError **error)
{
	gsize length;
	const void *data = g_bytes_get_data(bytes, &length);

	return aub_message_decode(data, length, "127.0.0.1:9", error);
}

TEST(Message, EmptyMessageOfEveryTypeRoundTrips)
{
	for (int type = 1; type < AUB_MESSAGE_TYPE_COUNT; type++) {
		struct aub_message *message =
			aub_message_new((enum aub_message_type)type);
		GBytes *bytes = encode(message);
		GError *error = NULL;
		struct aub_message *decoded = decode(bytes, &error);

		ASSERT_NE(decoded, nullptr) << error->message;
		EXPECT_EQ(decoded->type, type);
		aub_message_free(decoded);
		aub_message_free(message);
		g_bytes_unref(bytes);
	}
}

static struct aub_call *example_call(void)
{
	struct aub_call *call =
		(struct aub_call *)aub_message_new(AUB_MESSAGE_CALL);

	call->id = G_MAXUINT64;
	call->purpose = AUB_CALL_OWNER;
	call->at_most_once = true;
	aub_string_set(&call->service, "fees");
	aub_string_set(&call->method, "POST");
	aub_string_set(&call->path, "/fees/7?x=1");
	aub_bytes_set(&call->body, "a\0b", 3);
	g_ptr_array_add(call->headers, aub_header_new("X-Name", "\xe9t\xe9"));
	return call;
}

TEST(Message, CallKeepsFieldsHeadersAndBinaryBody)
{
	struct aub_call *call = example_call();
	GBytes *bytes = encode(&call->base);
	struct aub_call *decoded = (struct aub_call *)decode(bytes, NULL);

	ASSERT_NE(decoded, nullptr);
	EXPECT_EQ(decoded->id, G_MAXUINT64);
	EXPECT_TRUE(decoded->at_most_once);
	EXPECT_STREQ(decoded->path, "/fees/7?x=1");
	ASSERT_EQ(decoded->headers->len, 1u);
	const struct aub_header *header =
		(struct aub_header *)g_ptr_array_index(decoded->headers, 0);
	EXPECT_STREQ(header->value, "\xe9t\xe9");
	ASSERT_EQ(decoded->body.length, 3u);
	EXPECT_EQ(memcmp(decoded->body.data, "a\0b", 3), 0);
	aub_message_free(&decoded->base);
	aub_message_free(&call->base);
	g_bytes_unref(bytes);
}

/*
 * A frame is truncated or has a flipped bit. The decoder must reject it or
 * return some valid message, and must not read beyond the frame, which the
 * sanitizers check.
 */
TEST(Message, TruncatedOrCorruptFrameIsRejectedOrValid)
{
	struct aub_call *call = example_call();
	GBytes *bytes = encode(&call->base);
	gsize length;
	const char *data = (const char *)g_bytes_get_data(bytes, &length);

	for (gsize cut = 0; cut < length; cut++) {
		std::string part(data, cut);
		GError *error = NULL;

		EXPECT_EQ(aub_message_decode(part.data(), cut, "p", &error),
			  nullptr);
		EXPECT_STREQ(aub_error_peer(error), "p");
		g_clear_error(&error);
	}
	for (gsize bit = 0; bit < length * 8; bit++) {
		std::string corrupt(data, length);
		GError *error = NULL;

		corrupt[bit / 8] = (char)(corrupt[bit / 8] ^ (1 << (bit % 8)));
		aub_message_free(aub_message_decode(corrupt.data(), length, "p",
						    &error));
		g_clear_error(&error);
	}
	aub_message_free(&call->base);
	g_bytes_unref(bytes);
}

/*
 * A peer sends five bytes that announce a list of 4,000 million elements. The
 * decoder would allocate 100 GB and the process would terminate; the frame must
 * be rejected before that.
 */
TEST(Message, ListLongerThanFrameIsRejected)
{
	const char frame[] = "\xdd\xff\xff\xff\xff";
	GError *error = NULL;

	EXPECT_EQ(aub_message_decode(frame, 5, "p", &error), nullptr);
	EXPECT_EQ(error->code, AUB_ERROR_INVALID);
	g_clear_error(&error);
}

static std::string packed(const std::function<void(msgpack_packer *)> &fill)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	fill(&packer);
	std::string text(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return text;
}

TEST(Message, ErrorsNameMessageAndField)
{
	struct {
		std::string frame;
		const char *text;
	} cases[] = {
		{ packed([](msgpack_packer *p) {
			  msgpack_pack_array(p, 3);
			  msgpack_pack_int(p, 9);
			  msgpack_pack_int(p, AUB_MESSAGE_PING);
			  msgpack_pack_int(p, 1);
		  }),
		  "message: version" },
		{ packed([](msgpack_packer *p) {
			  msgpack_pack_array(p, 2);
			  msgpack_pack_int(p, AUB_PROTOCOL_VERSION);
			  msgpack_pack_int(p, 99);
		  }),
		  "message: type" },
		{ packed([](msgpack_packer *p) {
			  msgpack_pack_array(p, 2);
			  msgpack_pack_int(p, AUB_PROTOCOL_VERSION);
			  msgpack_pack_int(p, AUB_MESSAGE_PING);
		  }),
		  "ping: wrong number of fields" },
		{ packed([](msgpack_packer *p) {
			  msgpack_pack_array(p, 3);
			  msgpack_pack_int(p, AUB_PROTOCOL_VERSION);
			  msgpack_pack_int(p, AUB_MESSAGE_PING);
			  msgpack_pack_int(p, -1);
		  }),
		  "ping: number: not a number" },
	};

	for (const auto &test_case : cases) {
		GError *error = NULL;

		EXPECT_EQ(aub_message_decode(test_case.frame.data(),
					     test_case.frame.size(), "p",
					     &error),
			  nullptr);
		ASSERT_NE(error, nullptr) << test_case.text;
		EXPECT_NE(strstr(error->message, test_case.text), nullptr)
			<< error->message;
		g_clear_error(&error);
	}
}

/* Compressed byte strings: whole, or refused. */
#include <gtest/gtest.h>

#include <auburnstile/error.h>
#include <auburnstile/internal/compression.h>

#include <string>

static std::string unpack(const std::string &packed, gsize limit, int *code)
{
	GError *error = nullptr;
	GBytes *bytes =
		aubi_decompress(packed.data(), packed.size(), limit, "p", &error);
	std::string text;

	*code = error ? error->code : -1;
	if (error)
		g_error_free(error);
	if (!bytes)
		return "";
	gsize length;
	auto *data = (const char *)g_bytes_get_data(bytes, &length);
	text.assign(data, length);
	g_bytes_unref(bytes);
	return text;
}

static std::string pack(const std::string &text)
{
	GBytes *bytes = aubi_compress(text.data(), text.size());
	gsize length;
	auto *data = (const char *)g_bytes_get_data(bytes, &length);
	std::string packed(data, length);

	g_bytes_unref(bytes);
	return packed;
}

TEST(Pack, ComesBackWhole)
{
	std::string text;
	int code;

	for (int i = 0; i < 5000; i++)
		text += "[[upstream]]\nname = \"u" + std::to_string(i) + "\"\n";
	EXPECT_LT(pack(text).size(), text.size() / 5);
	EXPECT_EQ(unpack(pack(text), 1 << 20, &code), text);
	EXPECT_EQ(unpack(pack(""), 1 << 20, &code), "");
	EXPECT_EQ(code, -1);
}

TEST(Pack, CutShortOrDamagedIsRefused)
{
	std::string packed = pack(std::string(3000, 'x') + "end");
	int code;

	unpack(packed.substr(0, packed.size() - 3), 1 << 20, &code);
	EXPECT_EQ(code, AUB_ERROR_INVALID);
	unpack("not packed", 1 << 20, &code);
	EXPECT_EQ(code, AUB_ERROR_INVALID);
	unpack("", 1 << 20, &code);
	EXPECT_EQ(code, AUB_ERROR_INVALID);
}

/* A few kilobytes can unpack to gigabytes: stopped at the limit. */
TEST(Pack, MoreThanTheLimitIsRefused)
{
	int code;

	unpack(pack(std::string(64 << 20, '\0')), 1 << 20, &code);
	EXPECT_EQ(code, AUB_ERROR_TOO_LARGE);
}

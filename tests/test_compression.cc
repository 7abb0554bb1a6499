/* Tests of compression: data round-trips, or is rejected. */
#include <gtest/gtest.h>

#include <auburnstile/error.h>
#include <auburnstile/internal/compression.h>

#include <string>

static std::string decompress(const std::string &compressed, gsize limit,
			      int *code)
{
	GError *error = nullptr;
	GBytes *bytes = aubi_decompress(compressed.data(), compressed.size(),
					limit, "p", &error);
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

static std::string compress(const std::string &text)
{
	GBytes *bytes = aubi_compress(text.data(), text.size());
	gsize length;
	auto *data = (const char *)g_bytes_get_data(bytes, &length);
	std::string compressed(data, length);

	g_bytes_unref(bytes);
	return compressed;
}

TEST(Compression, RoundTrips)
{
	std::string text;
	int code;

	for (int i = 0; i < 5000; i++)
		text += "[[upstream]]\nname = \"u" + std::to_string(i) + "\"\n";
	EXPECT_LT(compress(text).size(), text.size() / 5);
	EXPECT_EQ(decompress(compress(text), 1 << 20, &code), text);
	EXPECT_EQ(decompress(compress(""), 1 << 20, &code), "");
	EXPECT_EQ(code, -1);
}

TEST(Compression, RejectsTruncatedOrCorruptData)
{
	std::string compressed = compress(std::string(3000, 'x') + "end");
	int code;

	decompress(compressed.substr(0, compressed.size() - 3), 1 << 20, &code);
	EXPECT_EQ(code, AUB_ERROR_INVALID);
	decompress("not packed", 1 << 20, &code);
	EXPECT_EQ(code, AUB_ERROR_INVALID);
	decompress("", 1 << 20, &code);
	EXPECT_EQ(code, AUB_ERROR_INVALID);
}

/* A few kilobytes can expand to gigabytes; decompression must stop. */
TEST(Compression, RejectsResultLargerThanLimit)
{
	int code;

	decompress(compress(std::string(64 << 20, '\0')), 1 << 20, &code);
	EXPECT_EQ(code, AUB_ERROR_TOO_LARGE);
}

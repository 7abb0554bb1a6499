/*
 * Compression of byte strings.
 *
 * Decompression stops at a limit, so that a small frame can't exhaust memory.
 */
#include <auburnstile/internal/compression.h>

#include <auburnstile/error.h>

#define STEP "unpack"
#define CHUNK_BYTES 16384
#define COMPRESSION_LEVEL 6 /* 1 to 9; zlib's default */

/*
 * Runs `converter` over all of `data` and appends the result to `out`. Stops
 * once `out` is longer than `limit`. Returns false and sets `error` if the
 * converter fails.
 */
static bool convert(GConverter *converter, const guint8 *data, gsize length,
		    gsize limit, GByteArray *out, GError **error)
{
	GConverterResult result = G_CONVERTER_CONVERTED;
	guint8 chunk[CHUNK_BYTES];

	while (result != G_CONVERTER_FINISHED) {
		gsize consumed = 0;
		gsize produced = 0;

		result = g_converter_convert(converter, data, length, chunk,
					     sizeof(chunk),
					     G_CONVERTER_INPUT_AT_END,
					     &consumed, &produced, error);
		if (result == G_CONVERTER_ERROR)
			return false;
		data += consumed;
		length -= consumed;
		g_byte_array_append(out, chunk, (guint)produced);
		if (out->len > limit)
			return true;
	}
	return true;
}

GBytes *aubi_compress(const void *data, gsize length)
{
	GZlibCompressor *compressor =
		g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB,
				      COMPRESSION_LEVEL);
	GByteArray *out = g_byte_array_new();

	convert(G_CONVERTER(compressor), data, length, G_MAXSIZE, out, NULL);
	g_object_unref(compressor);
	return g_byte_array_free_to_bytes(out);
}

GBytes *aubi_decompress(const void *data, gsize length, gsize limit,
			const char *peer, GError **error)
{
	GZlibDecompressor *decompressor =
		g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
	GByteArray *out = g_byte_array_new();
	GError *cause = NULL;
	bool converted;

	converted = convert(G_CONVERTER(decompressor), data, length, limit, out,
			    &cause);
	g_object_unref(decompressor);
	if (converted && out->len <= limit)
		return g_byte_array_free_to_bytes(out);
	if (converted)
		aub_error_set(error, AUB_ERROR_TOO_LARGE, STEP, peer,
			      "more than %zu bytes", limit);
	else
		aub_error_set(error, AUB_ERROR_INVALID, STEP, peer, "%s",
			      cause->message);
	g_clear_error(&cause);
	g_byte_array_unref(out);
	return NULL;
}

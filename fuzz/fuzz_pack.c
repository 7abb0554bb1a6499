/*
 * Fuzzes the compression of byte strings: decompressed data never exceeds the
 * limit, and data is unchanged by compression and decompression.
 */
#include "fuzz.h"

#include <auburnstile/internal/compression.h>

#define DECOMPRESSED_BYTES_MAX 65536

static void check_round_trip(const guint8 *data, gsize size)
{
	GBytes *compressed = aubi_compress(data, size);
	GBytes *decompressed =
		aubi_decompress(g_bytes_get_data(compressed, NULL),
				g_bytes_get_size(compressed), size, "fuzz",
				NULL);

	g_assert(decompressed);
	g_assert(g_bytes_get_size(decompressed) == size);
	for (gsize i = 0; i < size; i++)
		g_assert(((const guint8 *)g_bytes_get_data(decompressed,
							   NULL))[i] ==
			 data[i]);
	g_bytes_unref(compressed);
	g_bytes_unref(decompressed);
}

#ifdef FUZZ_REPLAY
int fuzz_pack(const guint8 *data, gsize size)
#else
int LLVMFuzzerTestOneInput(const guint8 *data, gsize size)
#endif
{
	GError *error = NULL;
	GBytes *bytes = aubi_decompress(data, size, DECOMPRESSED_BYTES_MAX,
					"fuzz", &error);

	g_assert((bytes == NULL) == (error != NULL));
	if (bytes) {
		g_assert(g_bytes_get_size(bytes) <= DECOMPRESSED_BYTES_MAX);
		g_bytes_unref(bytes);
	}
	g_clear_error(&error);
	check_round_trip(data, size);
	return 0;
}

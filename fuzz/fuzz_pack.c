/*
 * Fuzzes the compression of byte strings: unpacked data never exceeds the
 * limit, and packed data is unchanged by a round trip.
 */
#include "fuzz.h"

#include <auburnstile/internal/compression.h>

#define LIMIT 65536

static void check_there_and_back(const guint8 *data, gsize size)
{
	GBytes *packed = aubi_compress(data, size);
	GBytes *back =
		aubi_decompress(g_bytes_get_data(packed, NULL),
				g_bytes_get_size(packed), size, "fuzz", NULL);

	g_assert(back);
	g_assert(g_bytes_get_size(back) == size);
	for (gsize i = 0; i < size; i++)
		g_assert(((const guint8 *)g_bytes_get_data(back, NULL))[i] ==
			 data[i]);
	g_bytes_unref(packed);
	g_bytes_unref(back);
}

#ifdef FUZZ_REPLAY
int fuzz_pack(const guint8 *data, gsize size)
#else
int LLVMFuzzerTestOneInput(const guint8 *data, gsize size)
#endif
{
	GError *error = NULL;
	GBytes *bytes = aubi_decompress(data, size, LIMIT, "fuzz", &error);

	g_assert((bytes == NULL) == (error != NULL));
	if (bytes) {
		g_assert(g_bytes_get_size(bytes) <= LIMIT);
		g_bytes_unref(bytes);
	}
	g_clear_error(&error);
	check_there_and_back(data, size);
	return 0;
}

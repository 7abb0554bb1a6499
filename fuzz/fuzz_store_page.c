/*
 * Fuzzes the decoding of the store's answers. The first byte selects the kind
 * of object. What is shared with other gateways has no API keys: it is accepted
 * in the same way as the original, and replacing its keys once more is an
 * error or changes nothing that is decoded.
 */
#include "fuzz.h"

#include <auburnstile/internal/platform.h>

static guint count_routings(const void *data, gsize size)
{
	struct aub_store_page *page =
		aub_platform.decode_page(AUB_STORE_ROUTING, data, size, NULL);
	guint count = 0;

	for (guint i = 0; page && i < page->records->len; i++) {
		const struct aub_record *record =
			g_ptr_array_index(page->records, i);

		g_assert(!record->routing || !record->problem);
		count += record->routing != NULL;
	}
	aub_store_page_free(page);
	return count;
}

static void check_shared(const guint8 *data, gsize size)
{
	GBytes *shared = aub_platform.without_keys(data, size);
	gsize shared_size;
	const void *shared_data;

	if (!shared)
		return;
	shared_data = g_bytes_get_data(shared, &shared_size);
	g_assert(count_routings(shared_data, shared_size) <=
		 count_routings(data, size));
	g_bytes_unref(shared);
}

static void check_page(enum aub_store_kind kind, const guint8 *data, gsize size)
{
	GError *error = NULL;
	struct aub_store_page *page =
		aub_platform.decode_page(kind, data, size, &error);

	g_assert((page == NULL) == (error != NULL));
	aub_store_page_free(page);
	g_clear_error(&error);
}

#ifdef FUZZ_REPLAY
int fuzz_store_page(const guint8 *data, gsize size)
#else
int LLVMFuzzerTestOneInput(const guint8 *data, gsize size)
#endif
{
	if (!size)
		return 0;
	check_page((enum aub_store_kind)(data[0] % AUB_STORE_KINDS), data + 1,
		   size - 1);
	check_shared(data + 1, size - 1);
	return 0;
}

/*
 * Fuzzes the decoder of messages between the system's processes: accepted input
 * is unchanged by a round trip.
 */
#include "fuzz.h"

#include <auburnstile/message.h>

static GBytes *encode(const struct aub_message *message)
{
	GError *error = NULL;
	GBytes *bytes = aub_message_encode(message, &error);

	g_assert(bytes && !error);
	return bytes;
}

#ifdef FUZZ_REPLAY
int fuzz_message(const guint8 *data, gsize size)
#else
int LLVMFuzzerTestOneInput(const guint8 *data, gsize size)
#endif
{
	GError *error = NULL;
	struct aub_message *message =
		aub_message_decode(data, size, "fuzz", &error);
	struct aub_message *again;
	GBytes *first;
	GBytes *second;

	g_assert((message == NULL) == (error != NULL));
	g_clear_error(&error);
	if (!message)
		return 0;
	first = encode(message);
	again = aub_message_decode(g_bytes_get_data(first, NULL),
				   g_bytes_get_size(first), "fuzz", NULL);
	g_assert(again);
	second = encode(again);
	g_assert(g_bytes_equal(first, second));
	g_bytes_unref(first);
	g_bytes_unref(second);
	aub_message_free(message);
	aub_message_free(again);
	return 0;
}

/*
 * Fuzzes the JSON of assignments, as read from the store or a peer: accepted
 * input is unchanged by a round trip.
 */
#include "fuzz.h"

#include <auburnstile/internal/ownership.h>

#include <string.h>

#ifdef FUZZ_REPLAY
int fuzz_assignments(const guint8 *data, gsize size)
#else
int LLVMFuzzerTestOneInput(const guint8 *data, gsize size)
#endif
{
	GError *error = NULL;
	struct aubi_assignments *first =
		aubi_assignments_parse(size ? (const char *)data : "", size, 1,
				       &error);
	struct aubi_assignments *second;
	char *text;
	char *again;

	g_assert((first == NULL) == (error != NULL));
	g_clear_error(&error);
	if (!first)
		return 0;
	text = aubi_assignments_serialize(first, "change-1");
	second = aubi_assignments_parse(text, strlen(text), 1, NULL);
	g_assert(second);
	again = aubi_assignments_serialize(second, "change-1");
	g_assert_cmpstr(text, ==, again);
	aubi_assignments_find(first, "calendar");
	aubi_assignments_free(first);
	aubi_assignments_free(second);
	g_free(text);
	g_free(again);
	return 0;
}

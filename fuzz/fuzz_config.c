/*
 * Fuzzes the JSON of the configuration object: accepted input is unchanged by a
 * round trip and has no differences from itself.
 */
#include "fuzz.h"

#include <auburnstile/config.h>

#include <string.h>

static void check(const struct aub_config *config)
{
	char *first = aub_config_serialize(config);
	struct aub_config *again =
		aub_config_parse(first, strlen(first), 1, NULL);
	char *second;
	char *diff;

	g_assert(again);
	second = aub_config_serialize(again);
	g_assert_cmpstr(first, ==, second);
	diff = aub_config_diff(config, again, NULL);
	g_assert(!diff || !*diff);
	aub_config_free(again);
	g_free(diff);
	g_free(first);
	g_free(second);
}

#ifdef FUZZ_REPLAY
int fuzz_config(const guint8 *data, gsize size)
#else
int LLVMFuzzerTestOneInput(const guint8 *data, gsize size)
#endif
{
	GError *error = NULL;
	struct aub_config *config =
		aub_config_parse(size ? (const char *)data : "", size, 1,
				 &error);

	g_assert((config == NULL) == (error != NULL));
	g_clear_error(&error);
	if (config)
		check(config);
	aub_config_free(config);
	return 0;
}

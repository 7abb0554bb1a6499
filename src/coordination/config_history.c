/*
 * Recent configurations, so that a conflict can show the one on which an
 * operator's edit was based. The last of them is the current one.
 */
#include <auburnstile/internal/control.h>
#include <auburnstile/internal/compression.h>

#define CONFIG_HISTORY_MAX 32 /* each about 0.1 MB for a large inventory */

struct aubi_config_history {
	/* Of struct aub_config, in ascending order of version. */
	GPtrArray *configs;
	char *json; /* the current one, as stored */
	gsize length;
	GBytes *compressed; /* compressed json; NULL until it is requested */
};

struct aubi_config_history *aubi_config_history_new(void)
{
	struct aubi_config_history *history =
		g_new0(struct aubi_config_history, 1);

	history->configs =
		g_ptr_array_new_with_free_func((GDestroyNotify)aub_config_free);
	return history;
}

void aubi_config_history_free(struct aubi_config_history *history)
{
	if (!history)
		return;
	g_ptr_array_unref(history->configs);
	g_clear_pointer(&history->compressed, g_bytes_unref);
	g_free(history->json);
	g_free(history);
}

void aubi_config_history_add(struct aubi_config_history *history,
			     struct aub_config *config, const char *json,
			     gsize length)
{
	g_ptr_array_add(history->configs, config);
	if (history->configs->len > CONFIG_HISTORY_MAX)
		g_ptr_array_remove_index(history->configs, 0);
	g_clear_pointer(&history->compressed, g_bytes_unref);
	g_free(history->json);
	history->json = g_strndup(json, length);
	history->length = length;
}

const struct aub_config *aubi_config_history_current(
	const struct aubi_config_history *history)
{
	if (!history->configs->len)
		return NULL;
	return history->configs->pdata[history->configs->len - 1];
}

const struct aub_config *aubi_config_history_find(
	const struct aubi_config_history *history, guint64 version)
{
	guint i;

	for (i = 0; i < history->configs->len; i++) {
		const struct aub_config *config = history->configs->pdata[i];

		if (config->version == version)
			return config;
	}
	return NULL;
}

const char *aubi_config_history_json(const struct aubi_config_history *history,
				     gsize *length)
{
	*length = history->length;
	return history->json;
}

GBytes *aubi_config_history_compressed(struct aubi_config_history *history)
{
	if (!history->compressed)
		history->compressed =
			aubi_compress(history->json, history->length);
	return history->compressed;
}

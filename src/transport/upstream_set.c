/*
 * Upstream clients by name. A client is retained while address and limits of
 * its upstream stay the same, so that its connections survive configuration
 * changes.
 */
#include <auburnstile/internal/upstream_set.h>

struct client_entry {
	struct aub_upstream_client *client;
	char *settings_key; /* address and limits of the client, as text */
};

struct aub_upstream_set {
	struct aub_timer_service *timers;
	GHashTable *entries; /* name -> struct client_entry */
};

static void entry_free(void *data)
{
	struct client_entry *entry = data;

	aub_upstream_client_free(entry->client);
	g_free(entry->settings_key);
	g_free(entry);
}

struct aub_upstream_set *aub_upstream_set_new(struct aub_timer_service *timers)
{
	struct aub_upstream_set *set = g_new0(struct aub_upstream_set, 1);

	set->timers = timers;
	set->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     entry_free);
	return set;
}

void aub_upstream_set_free(struct aub_upstream_set *set)
{
	g_hash_table_unref(set->entries);
	g_free(set);
}

static void update_entry(struct aub_upstream_set *set,
			 const struct aub_upstream *upstream,
			 guint32 body_limit)
{
	struct aub_upstream_client_options options = {
		.host = upstream->host,
		.port = upstream->port,
		.connections_max = upstream->connections,
		.body_limit = body_limit,
		.timers = set->timers,
	};
	struct client_entry *entry =
		g_hash_table_lookup(set->entries, upstream->name);
	char *settings_key;

	settings_key =
		g_strdup_printf("%s:%u %u %u", upstream->host, upstream->port,
				upstream->connections, body_limit);
	if (entry && !g_strcmp0(entry->settings_key, settings_key)) {
		g_free(settings_key);
		return;
	}
	entry = g_new0(struct client_entry, 1);
	entry->settings_key = settings_key;
	entry->client = aub_upstream_client_new(&options);
	g_hash_table_replace(set->entries, g_strdup(upstream->name), entry);
}

void aub_upstream_set_configure(struct aub_upstream_set *set,
				const struct aub_inventory *inventory)
{
	GHashTableIter iterator;
	void *name;

	g_hash_table_iter_init(&iterator, set->entries);
	while (g_hash_table_iter_next(&iterator, &name, NULL))
		if (aub_inventory_upstream(inventory, name) == AUB_NO_HANDLE)
			g_hash_table_iter_remove(&iterator);
	for (guint i = 0; i < inventory->upstreams->len; i++) {
		const struct aub_upstream *upstream =
			aub_upstream_at(inventory, i);

		update_entry(set, upstream,
			     aub_service_at(inventory, upstream->service)
				     ->body_limit);
	}
}

struct aub_upstream_client *aub_upstream_set_find(
	const struct aub_upstream_set *set, const char *name)
{
	struct client_entry *entry = g_hash_table_lookup(set->entries, name);

	return entry ? entry->client : NULL;
}

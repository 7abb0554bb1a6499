/*
 * Clients by upstream name. A client lives as long as address and limits of
 * its upstream stay the same, so that connections outlast a configuration.
 */
#include <auburnstile/internal/upstream_set.h>

struct row {
	struct aub_upstream_client *client;
	char *endpoint; /* all that its client depends on, as text */
};

struct aub_upstream_set {
	struct aub_timer_service *timers;
	GHashTable *rows; /* name -> struct row */
};

static void row_free(void *data)
{
	struct row *row = data;

	aub_upstream_client_free(row->client);
	g_free(row->endpoint);
	g_free(row);
}

struct aub_upstream_set *aub_upstream_set_new(struct aub_timer_service *timers)
{
	struct aub_upstream_set *set = g_new0(struct aub_upstream_set, 1);

	set->timers = timers;
	set->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  row_free);
	return set;
}

void aub_upstream_set_free(struct aub_upstream_set *set)
{
	g_hash_table_unref(set->rows);
	g_free(set);
}

static void update_row(struct aub_upstream_set *set,
		       const struct aub_upstream *upstream, guint32 body_limit)
{
	struct aub_upstream_client_options options = {
		.host = upstream->host,
		.port = upstream->port,
		.connections = upstream->connections,
		.body_limit = body_limit,
		.timers = set->timers,
	};
	struct row *row = g_hash_table_lookup(set->rows, upstream->name);
	char *endpoint;

	endpoint =
		g_strdup_printf("%s:%u %u %u", upstream->host, upstream->port,
				upstream->connections, body_limit);
	if (row && !g_strcmp0(row->endpoint, endpoint)) {
		g_free(endpoint);
		return;
	}
	row = g_new0(struct row, 1);
	row->endpoint = endpoint;
	row->client = aub_upstream_client_new(&options);
	g_hash_table_replace(set->rows, g_strdup(upstream->name), row);
}

void aub_upstream_set_configure(struct aub_upstream_set *set,
				const struct aub_inventory *inventory)
{
	GHashTableIter iterator;
	void *name;

	g_hash_table_iter_init(&iterator, set->rows);
	while (g_hash_table_iter_next(&iterator, &name, NULL))
		if (aub_inventory_upstream(inventory, name) == AUB_NO_HANDLE)
			g_hash_table_iter_remove(&iterator);
	for (guint i = 0; i < inventory->upstreams->len; i++) {
		const struct aub_upstream *upstream =
			aub_upstream_at(inventory, i);

		update_row(set, upstream,
			   aub_service_at(inventory, upstream->service)
				   ->body_limit);
	}
}

struct aub_upstream_client *aub_upstream_set_find(
	const struct aub_upstream_set *set, const char *name)
{
	struct row *row = g_hash_table_lookup(set->rows, name);

	return row ? row->client : NULL;
}

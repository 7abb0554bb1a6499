/*
 * Open probes. A probe holds a reference to the inventory it was sent under, so
 * that its result is never attributed to an upstream of another inventory.
 */
#include <auburnstile/internal/dispatch_probes.h>

struct aub_probes {
	struct aub_upstream_set *upstreams;
	aub_probe_report_callback *callback;
	void *context;
	GHashTable *open; /* set of struct probe, owned */
};

struct probe {
	struct aub_probes *probes;
	struct aub_attempt *handle;
	struct aub_inventory *inventory; /* owned reference */
	char *service;
	char *upstream;
};

static void probe_free(void *data)
{
	struct probe *probe = data;

	aub_inventory_unref(probe->inventory);
	g_free(probe->service);
	g_free(probe->upstream);
	g_free(probe);
}

struct aub_probes *aub_probes_new(struct aub_upstream_set *upstreams,
				  aub_probe_report_callback *callback,
				  void *context)
{
	struct aub_probes *probes = g_new0(struct aub_probes, 1);

	probes->upstreams = upstreams;
	probes->callback = callback;
	probes->context = context;
	probes->open = g_hash_table_new_full(NULL, NULL, probe_free, NULL);
	return probes;
}

void aub_probes_free(struct aub_probes *probes)
{
	GHashTableIter iterator;
	void *key;

	g_hash_table_iter_init(&iterator, probes->open);
	while (g_hash_table_iter_next(&iterator, &key, NULL))
		aub_attempt_abandon(((struct probe *)key)->handle);
	g_hash_table_unref(probes->open);
	g_free(probes);
}

static void on_done(bool answered, const struct aub_upstream_signals *signals,
		    guint32 busy, void *context)
{
	struct probe *probe = context;
	struct aub_probes *probes = probe->probes;
	struct aub_probe_report report = {
		.service = probe->service,
		.upstream = probe->upstream,
		.inventory = probe->inventory,
		.answered = answered,
		.signals = signals,
		.busy = busy,
	};

	g_hash_table_steal(probes->open, probe);
	probes->callback(&report, probes->context);
	probe_free(probe);
}

void aub_probes_send(struct aub_probes *probes, const char *service,
		     struct aub_inventory *inventory, guint16 upstream,
		     gint64 timeout_us)
{
	const char *name = aub_upstream_at(inventory, upstream)->name;
	struct probe *probe = g_new0(struct probe, 1);

	probe->probes = probes;
	probe->inventory = aub_inventory_ref(inventory);
	probe->service = g_strdup(service);
	probe->upstream = g_strdup(name);
	g_hash_table_add(probes->open, probe);
	probe->handle =
		aub_upstream_probe(aub_upstream_set_find(probes->upstreams,
							 name),
				   timeout_us, on_done, probe);
}

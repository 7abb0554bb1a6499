/*
 * A parsed inventory: creation and reference counting, look-ups, routes, and
 * at-most-once rules.
 */
#include <auburnstile/inventory.h>
#include <auburnstile/internal/inventory_draft.h>
#include <auburnstile/internal/request_path.h>

#include <string.h>

static void zone_clear(gpointer data)
{
	struct aub_zone *zone = data;

	g_free(zone->name);
	g_free(zone->region);
}

static void vm_clear(gpointer data)
{
	struct aub_vm *vm = data;

	g_free(vm->name);
}

static void at_most_once_clear(gpointer data)
{
	struct aub_at_most_once_rule *rule = data;

	g_free(rule->method);
	g_free(rule->path);
}

static void service_clear(gpointer data)
{
	struct aub_service *service = data;

	g_free(service->name);
	g_free(service->path);
	if (service->at_most_once)
		g_array_unref(service->at_most_once);
	if (service->zones)
		g_array_unref(service->zones);
}

static void upstream_clear(gpointer data)
{
	struct aub_upstream *upstream = data;

	g_free(upstream->name);
	g_free(upstream->host);
}

static GArray *table_new(guint size, GDestroyNotify clear)
{
	GArray *table = g_array_new(FALSE, TRUE, size);

	g_array_set_clear_func(table, clear);
	return table;
}

GArray *aub_at_most_once_rules_new(void)
{
	return table_new(sizeof(struct aub_at_most_once_rule),
			 at_most_once_clear);
}

static GHashTable *names_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct aub_inventory *aub_inventory_new(void)
{
	struct aub_inventory *inventory = g_new0(struct aub_inventory, 1);

	inventory->reference_count = 1;
	inventory->text = g_strdup("");
	inventory->zones = table_new(sizeof(struct aub_zone), zone_clear);
	inventory->vms = table_new(sizeof(struct aub_vm), vm_clear);
	inventory->services =
		table_new(sizeof(struct aub_service), service_clear);
	inventory->upstreams =
		table_new(sizeof(struct aub_upstream), upstream_clear);
	inventory->zone_names = names_new();
	inventory->vm_names = names_new();
	inventory->service_names = names_new();
	inventory->upstream_names = names_new();
	return inventory;
}

struct aub_inventory *aub_inventory_ref(struct aub_inventory *inventory)
{
	g_atomic_int_inc(&inventory->reference_count);
	return inventory;
}

void aub_inventory_unref(struct aub_inventory *inventory)
{
	if (!inventory ||
	    !g_atomic_int_dec_and_test(&inventory->reference_count))
		return;
	g_array_unref(inventory->zones);
	g_array_unref(inventory->vms);
	g_array_unref(inventory->services);
	g_array_unref(inventory->upstreams);
	g_hash_table_unref(inventory->zone_names);
	g_hash_table_unref(inventory->vm_names);
	g_hash_table_unref(inventory->service_names);
	g_hash_table_unref(inventory->upstream_names);
	g_free(inventory->text);
	g_free(inventory);
}

static guint16 find_handle(GHashTable *names, const char *name)
{
	guint handle = GPOINTER_TO_UINT(g_hash_table_lookup(names, name));

	return handle ? (guint16)(handle - 1) : AUB_NO_HANDLE;
}

guint16 aub_inventory_zone(const struct aub_inventory *inventory,
			   const char *name)
{
	return find_handle(inventory->zone_names, name);
}

guint16 aub_inventory_vm(const struct aub_inventory *inventory,
			 const char *name)
{
	return find_handle(inventory->vm_names, name);
}

guint16 aub_inventory_service(const struct aub_inventory *inventory,
			      const char *name)
{
	return find_handle(inventory->service_names, name);
}

guint16 aub_inventory_upstream(const struct aub_inventory *inventory,
			       const char *name)
{
	return find_handle(inventory->upstream_names, name);
}

guint16 aub_inventory_route(const struct aub_inventory *inventory,
			    const char *path)
{
	char *canonical = aub_path_canonicalize(path);
	guint16 best = AUB_NO_HANDLE;
	gsize longest = 0;

	for (guint i = 0; i < inventory->services->len; i++) {
		const char *prefix = aub_service_at(inventory, i)->path;
		gsize length = strlen(prefix);

		if (length > longest &&
		    aub_path_has_prefix(canonical, prefix)) {
			longest = length;
			best = (guint16)i;
		}
	}
	g_free(canonical);
	return best;
}

const struct aub_at_most_once_rule *aub_service_at_most_once_rule(
	const struct aub_service *service, const char *method, const char *path)
{
	const struct aub_at_most_once_rule *found = NULL;
	char *canonical;

	if (!service->at_most_once->len)
		return NULL;
	canonical = aub_path_canonicalize(path);
	for (guint i = 0; i < service->at_most_once->len && !found; i++) {
		const struct aub_at_most_once_rule *rule =
			&g_array_index(service->at_most_once,
				       struct aub_at_most_once_rule, i);

		if (strcmp(rule->method, "*") != 0 &&
		    g_ascii_strcasecmp(rule->method, method) != 0)
			continue;
		if (aub_path_has_prefix(canonical, rule->path))
			found = rule;
	}
	g_free(canonical);
	return found;
}

bool aub_upstream_accepts_new(const struct aub_inventory *inventory,
			      guint16 upstream)
{
	const struct aub_upstream *upstream_row =
		aub_upstream_at(inventory, upstream);

	return !upstream_row->leaving &&
	       !aub_vm_at(inventory, upstream_row->vm)->leaving &&
	       !aub_zone_at(inventory, upstream_row->zone)->out;
}

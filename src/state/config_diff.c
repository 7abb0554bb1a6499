/*
 * Describes the differences of two configurations, one per line.
 *
 * The items of both sides are converted to lists of (key, value) and matched by
 * name, so that the order and the layout of the file do not matter.
 */
#include <auburnstile/config.h>

#include <string.h>

/* One kind of inventory item, and how to enumerate and describe its items. */
struct item_kind {
	const char *name;
	const char *const *keys; /* NULL-terminated */
	guint (*count)(const struct aub_inventory *inventory);
	const char *(*item)(const struct aub_inventory *inventory, guint index);
	guint16 (*find)(const struct aub_inventory *inventory,
			const char *name);
	/* Returns the value of each key, in order; owned by the caller. */
	char **(*describe)(const struct aub_inventory *inventory, guint index);
};

static char *number_text(guint value)
{
	return g_strdup_printf("%u", value);
}

static char **values_new(guint count)
{
	return g_new0(char *, count + 1);
}

static const char *const zone_keys[] = { "region", "state", NULL };

static guint zone_count(const struct aub_inventory *inventory)
{
	return inventory->zones->len;
}

static const char *zone_item(const struct aub_inventory *inventory, guint index)
{
	return aub_zone_at(inventory, index)->name;
}

static char **zone_describe(const struct aub_inventory *inventory, guint index)
{
	const struct aub_zone *zone = aub_zone_at(inventory, index);
	char **values = values_new(2);

	values[0] = g_strdup(zone->region);
	values[1] = g_strdup(zone->out ? "out" : "in");
	return values;
}

static const char *const vm_keys[] = { "zone", "state", NULL };

static guint vm_count(const struct aub_inventory *inventory)
{
	return inventory->vms->len;
}

static const char *vm_item(const struct aub_inventory *inventory, guint index)
{
	return aub_vm_at(inventory, index)->name;
}

static char **vm_describe(const struct aub_inventory *inventory, guint index)
{
	const struct aub_vm *vm = aub_vm_at(inventory, index);
	char **values = values_new(2);

	values[0] = g_strdup(aub_zone_at(inventory, vm->zone)->name);
	values[1] = g_strdup(vm->leaving ? "leaving" : "in");
	return values;
}

static const char *const service_keys[] = { "path",	     "zones",
					    "once",	     "queue_limit",
					    "deadline_ms",   "body_limit",
					    "cold_ms",	     "probe_budget_us",
					    "hedge_percent", NULL };

static guint service_count(const struct aub_inventory *inventory)
{
	return inventory->services->len;
}

static const char *service_item(const struct aub_inventory *inventory,
				guint index)
{
	return aub_service_at(inventory, index)->name;
}

static gint compare_text(gconstpointer left, gconstpointer right)
{
	return strcmp(*(char *const *)left, *(char *const *)right);
}

/*
 * Returns the list sorted and joined, or `none` if it is empty. Frees the list.
 */
static char *join_sorted(GPtrArray *list, const char *none)
{
	char *text;

	g_ptr_array_sort(list, compare_text);
	if (!list->len)
		g_ptr_array_add(list, g_strdup(none));
	g_ptr_array_add(list, NULL);
	text = g_strjoinv(" + ", (char **)list->pdata);
	g_ptr_array_unref(list);
	return text;
}

static char *zones_text(const struct aub_inventory *inventory,
			const struct aub_service *service)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < service->zones->len; i++) {
		guint16 zone = g_array_index(service->zones, guint16, i);

		g_ptr_array_add(list,
				g_strdup(aub_zone_at(inventory, zone)->name));
	}
	return join_sorted(list, "all");
}

static char *at_most_once_text(const struct aub_service *service)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < service->at_most_once->len; i++) {
		const struct aub_at_most_once_rule *rule =
			&g_array_index(service->at_most_once,
				       struct aub_at_most_once_rule, i);

		g_ptr_array_add(list, g_strconcat(rule->method, " ", rule->path,
						  rule->key_required ?
							  " (key required)" :
							  "",
						  NULL));
	}
	return join_sorted(list, "none");
}

static char **service_describe(const struct aub_inventory *inventory,
			       guint index)
{
	const struct aub_service *service = aub_service_at(inventory, index);
	char **values = values_new(9);

	values[0] = g_strdup(service->path);
	values[1] = zones_text(inventory, service);
	values[2] = at_most_once_text(service);
	values[3] = number_text(service->queue_limit);
	values[4] = number_text(service->deadline_ms);
	values[5] = number_text(service->body_limit);
	values[6] = number_text(service->cold_ms);
	values[7] = number_text(service->probe_budget_us);
	values[8] = number_text(service->hedge_percent);
	return values;
}

static const char *const upstream_keys[] = {
	"service",	 "vm",	       "address",
	"slots",	 "cold_slots", "connections",
	"probe_cost_us", "state",      NULL
};

static guint upstream_count(const struct aub_inventory *inventory)
{
	return inventory->upstreams->len;
}

static const char *upstream_item(const struct aub_inventory *inventory,
				 guint index)
{
	return aub_upstream_at(inventory, index)->name;
}

static char **upstream_describe(const struct aub_inventory *inventory,
				guint index)
{
	const struct aub_upstream *upstream = aub_upstream_at(inventory, index);
	char **values = values_new(8);

	values[0] =
		g_strdup(aub_service_at(inventory, upstream->service)->name);
	values[1] = g_strdup(aub_vm_at(inventory, upstream->vm)->name);
	values[2] = g_strdup_printf(strchr(upstream->host, ':') ? "[%s]:%u" :
								  "%s:%u",
				    upstream->host, upstream->port);
	values[3] = number_text(upstream->slots);
	values[4] = number_text(upstream->cold_slots);
	values[5] = number_text(upstream->connections);
	values[6] = number_text(upstream->probe_cost_us);
	values[7] = g_strdup(upstream->leaving ? "leaving" : "in");
	return values;
}

static const struct item_kind item_kinds[] = {
	{ "zone", zone_keys, zone_count, zone_item, aub_inventory_zone,
	  zone_describe },
	{ "vm", vm_keys, vm_count, vm_item, aub_inventory_vm, vm_describe },
	{ "service", service_keys, service_count, service_item,
	  aub_inventory_service, service_describe },
	{ "upstream", upstream_keys, upstream_count, upstream_item,
	  aub_inventory_upstream, upstream_describe },
};

static void append_added(const struct item_kind *kind,
			 const struct aub_inventory *to, guint index,
			 GString *lines)
{
	char **values = kind->describe(to, index);

	g_string_append_printf(lines, "%s %s: added:", kind->name,
			       kind->item(to, index));
	for (guint i = 0; kind->keys[i]; i++)
		g_string_append_printf(lines, "%s %s %s", i ? "," : "",
				       kind->keys[i], values[i]);
	g_string_append_c(lines, '\n');
	g_strfreev(values);
}

static void append_changed(const struct item_kind *kind,
			   const struct aub_inventory *from, guint old,
			   const struct aub_inventory *to, guint new,
			   GString *lines)
{
	char **before = kind->describe(from, old);
	char **after = kind->describe(to, new);

	for (guint i = 0; kind->keys[i]; i++)
		if (strcmp(before[i], after[i]) != 0)
			g_string_append_printf(lines, "%s %s: %s %s -> %s\n",
					       kind->name, kind->item(to, new),
					       kind->keys[i], before[i],
					       after[i]);
	g_strfreev(before);
	g_strfreev(after);
}

static void append_kind_diff(const struct item_kind *kind,
			     const struct aub_inventory *from,
			     const struct aub_inventory *to, GString *lines)
{
	for (guint i = 0; i < kind->count(from); i++) {
		const char *name = kind->item(from, i);

		if (kind->find(to, name) == AUB_NO_HANDLE)
			g_string_append_printf(lines, "%s %s: removed\n",
					       kind->name, name);
	}
	for (guint i = 0; i < kind->count(to); i++) {
		guint16 old = kind->find(from, kind->item(to, i));

		if (old == AUB_NO_HANDLE)
			append_added(kind, to, i, lines);
		else
			append_changed(kind, from, old, to, i, lines);
	}
}

static struct aub_inventory *inventory_or_empty(const struct aub_config *config,
						GError **error)
{
	return config ? aub_config_inventory(config, error) :
			aub_inventory_new();
}

char *aub_config_diff(const struct aub_config *from,
		      const struct aub_config *to, GError **error)
{
	struct aub_inventory *before = inventory_or_empty(from, error);
	struct aub_inventory *after;
	GString *lines;

	if (!before)
		return NULL;
	after = inventory_or_empty(to, error);
	if (!after) {
		aub_inventory_unref(before);
		return NULL;
	}
	lines = g_string_new(NULL);
	for (guint i = 0; i < G_N_ELEMENTS(item_kinds); i++)
		append_kind_diff(&item_kinds[i], before, after, lines);
	if (!lines->len && strcmp(before->text, after->text) != 0)
		g_string_append(lines, "inventory: comments or layout only\n");
	aub_inventory_unref(before);
	aub_inventory_unref(after);
	return g_string_free(lines, FALSE);
}

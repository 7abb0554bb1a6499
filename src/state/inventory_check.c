/*
 * Checks the rules of an inventory that involve several items. Each rule has a
 * name, which is part of the message and is explained in docs/OPERATIONS.md.
 */
#include <auburnstile/internal/inventory_draft.h>
#include <auburnstile/internal/request_path.h>

#include <string.h>

static const struct aub_draft_origin *service_origin(
	const struct aub_inventory_draft *draft, guint service)
{
	return &g_array_index(draft->services, struct aub_draft_origin,
			      service);
}

static const struct aub_draft_origin *upstream_origin(
	const struct aub_inventory_draft *draft, guint upstream)
{
	return &g_array_index(draft->upstreams, struct aub_draft_origin,
			      upstream);
}

static void check_paths(struct aub_inventory_draft *draft)
{
	GHashTable *paths = g_hash_table_new(g_str_hash, g_str_equal);
	GArray *services = draft->inventory->services;

	for (guint i = 0; i < services->len; i++) {
		struct aub_service *service =
			aub_service_at(draft->inventory, i);
		const char *previous =
			g_hash_table_lookup(paths, service->path);

		if (!*service->path)
			continue;
		if (previous)
			aub_draft_add_problem(
				draft, service_origin(draft, i), "path",
				"path-twice",
				"\"%s\" is already routed to service "
				"\"%s\"",
				service->path, previous);
		else
			g_hash_table_insert(paths, service->path,
					    service->name);
		if (aub_path_has_prefix(service->path,
					AUB_RESERVED_PATH_PREFIX))
			aub_draft_add_problem(draft, service_origin(draft, i),
					      "path", "path-reserved",
					      "paths below \"%s\" are reserved",
					      AUB_RESERVED_PATH_PREFIX);
	}
	g_hash_table_unref(paths);
}

/*
 * Returns true if the rule can apply to a request: one below both the rule's
 * and the service's path, and not routed to another service by a longer path.
 */
static bool rule_can_match(const struct aub_inventory *inventory, guint service,
			   const struct aub_at_most_once_rule *rule)
{
	const char *path = aub_service_at(inventory, service)->path;

	if (aub_path_has_prefix(path, rule->path))
		return true;
	return aub_inventory_route(inventory, rule->path) == service;
}

static bool method_is_valid(const char *method)
{
	gsize length = strlen(method);

	if (strcmp(method, "*") == 0)
		return true;
	return length > 0 && length <= 16 &&
	       strspn(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == length;
}

static void check_at_most_once_rules(struct aub_inventory_draft *draft,
				     guint handle)
{
	const struct aub_draft_origin *origin = service_origin(draft, handle);
	struct aub_service *service = aub_service_at(draft->inventory, handle);

	for (guint i = 0; i < service->at_most_once->len; i++) {
		const struct aub_at_most_once_rule *rule =
			&g_array_index(service->at_most_once,
				       struct aub_at_most_once_rule, i);
		const struct aub_toml_node *list =
			aub_toml_member(origin->node, "once");
		struct aub_draft_origin rule_origin = { .node = origin->node };

		rule_origin.label =
			g_strdup_printf("%s.once[#%u]", origin->label, i + 1);
		if (i < aub_toml_size(list))
			rule_origin.node = aub_toml_item(list, i);
		if (!method_is_valid(rule->method))
			aub_draft_add_problem(
				draft, &rule_origin, "method", "method",
				"\"%s\" is neither a method such as "
				"POST nor \"*\"",
				rule->method);
		if (!rule_can_match(draft->inventory, handle, rule))
			aub_draft_add_problem(
				draft, &rule_origin, "path", "once-unmatched",
				"no request to service \"%s\" (path "
				"\"%s\") has a path below \"%s\"",
				service->name, service->path, rule->path);
		g_free(rule_origin.label);
	}
}

static bool has_zone(const struct aub_service *service, guint16 zone)
{
	for (guint i = 0; i < service->zones->len; i++)
		if (g_array_index(service->zones, guint16, i) == zone)
			return true;
	return service->zones->len == 0;
}

static void check_upstream(struct aub_inventory_draft *draft, guint handle)
{
	const struct aub_inventory *inventory = draft->inventory;
	const struct aub_draft_origin *origin = upstream_origin(draft, handle);
	const struct aub_upstream *upstream =
		aub_upstream_at(inventory, handle);
	const struct aub_service *service;

	if (upstream->cold_slots > upstream->slots)
		aub_draft_add_problem(draft, origin, "cold_slots", "cold-slots",
				      "%u slots when cold exceed its %u slots",
				      upstream->cold_slots, upstream->slots);
	if (upstream->connections < upstream->slots)
		aub_draft_add_problem(
			draft, origin, "connections", "connections",
			"%u connections are fewer than its %u slots",
			upstream->connections, upstream->slots);
	if (upstream->service == AUB_NO_HANDLE)
		return;
	service = aub_service_at(inventory, upstream->service);
	if (service->probe_budget_us &&
	    upstream->probe_cost_us > service->probe_budget_us)
		aub_draft_add_problem(
			draft, origin, "probe_cost_us", "probe-budget",
			"one probe of %u us exceeds the %u us per "
			"second that service \"%s\" allows",
			upstream->probe_cost_us, service->probe_budget_us,
			service->name);
	if (upstream->zone != AUB_NO_HANDLE &&
	    !has_zone(service, upstream->zone))
		aub_draft_add_problem(
			draft, origin, "vm", "zone-restriction",
			"its zone \"%s\" is not among the zones of "
			"service \"%s\"",
			aub_zone_at(inventory, upstream->zone)->name,
			service->name);
}

static void check_addresses(struct aub_inventory_draft *draft)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < draft->inventory->upstreams->len; i++) {
		const struct aub_upstream *upstream =
			aub_upstream_at(draft->inventory, i);
		const char *previous;
		char *address;

		if (!upstream->host)
			continue;
		address = g_strdup_printf("%s:%u", upstream->host,
					  upstream->port);
		previous = g_hash_table_lookup(seen, address);
		if (previous) {
			aub_draft_add_problem(
				draft, upstream_origin(draft, i), "address",
				"address-twice",
				"\"%s\" already belongs to upstream "
				"\"%s\"",
				address, previous);
			g_free(address);
			continue;
		}
		g_hash_table_insert(seen, address, upstream->name);
	}
	g_hash_table_unref(seen);
}

static void check_services_have_upstreams(struct aub_inventory_draft *draft)
{
	const struct aub_inventory *inventory = draft->inventory;
	guint *counts = g_new0(guint, inventory->services->len + 1);

	for (guint i = 0; i < inventory->upstreams->len; i++) {
		guint16 service = aub_upstream_at(inventory, i)->service;

		if (service != AUB_NO_HANDLE)
			counts[service]++;
	}
	for (guint i = 0; i < inventory->services->len; i++)
		if (!counts[i])
			aub_draft_add_problem(draft, service_origin(draft, i),
					      NULL, "no-upstream",
					      "the service has no upstream");
	g_free(counts);
}

void aub_inventory_check(struct aub_inventory_draft *draft)
{
	/*
	 * A truncated file may be valid TOML without any service. If it were
	 * applied, all requests would be refused. At least one service is
	 * therefore required.
	 */
	if (!draft->services->len && !aub_problems_count(draft->problems))
		aub_problems_add(draft->problems, 0, "service", "empty",
				 "no service is defined");
	check_paths(draft);
	for (guint i = 0; i < draft->services->len; i++)
		check_at_most_once_rules(draft, i);
	for (guint i = 0; i < draft->upstreams->len; i++)
		check_upstream(draft, i);
	check_addresses(draft);
	check_services_have_upstreams(draft);
}

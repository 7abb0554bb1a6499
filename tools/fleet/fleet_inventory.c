/* Inventories generated for tests: free ports, one VM for each upstream. */
#include "fleet/fleet_inventory.h"

#include "common/child.h"

static void add_zones(GString *text, guint zones, guint vms)
{
	guint zone;
	guint vm;

	for (zone = 0; zone < zones; zone++) {
		g_string_append_printf(text,
				       "[[zone]]\nname = \"z%u\"\n"
				       "region = \"r\"\nvms = [",
				       zone + 1);
		for (vm = zone; vm < vms; vm += zones)
			g_string_append_printf(text, "%s\"vm-%u\"",
					       vm == zone ? "" : ", ", vm + 1);
		g_string_append(text, "]\n\n");
	}
}

static void add_service(GString *text, const struct fleet_service *service,
			guint *vm)
{
	guint i;

	g_string_append_printf(
		text,
		"[[service]]\nname = \"%s\"\npath = \"%s\"\n"
		"deadline_ms = %u\nqueue_limit = %u\ncold_ms = %u\n"
		"probe_budget_us = %u\nhedge_percent = %u\nslots = %u\n"
		"cold_slots = %u\nconnections = 200\nprobe_cost_us = %u\n",
		service->name, service->path,
		service->deadline_ms ? service->deadline_ms : 2000,
		service->queue_limit ? service->queue_limit : 200,
		service->cold_ms ? service->cold_ms : 2000,
		service->probe_budget_us ? service->probe_budget_us : 10000,
		service->hedge_percent, service->slots ? service->slots : 2,
		service->cold_slots ? service->cold_slots : 1,
		service->probe_cost_us ? service->probe_cost_us : 1000);
	if (service->at_most_once)
		g_string_append_printf(
			text,
			"once = [{ method = \"POST\", path = \"%s\", "
			"key_required = true }]\n",
			service->path);
	g_string_append(text, "upstreams = [\n");
	for (i = 0; i < service->upstreams; i++)
		g_string_append_printf(text,
				       "  { name = \"%s-%u\", vm = \"vm-%u\", "
				       "address = \"127.0.0.1:%u\" },\n",
				       service->name, i + 1, ++*vm,
				       child_pick_free_port());
	g_string_append(text, "]\n\n");
}

char *fleet_inventory_text(const struct fleet_service *services, guint count,
			   guint zones)
{
	GString *text = g_string_new(NULL);
	guint vms = 0;
	guint vm = 0;
	guint i;

	for (i = 0; i < count; i++)
		vms += services[i].upstreams;
	add_zones(text, zones, vms);
	for (i = 0; i < count; i++)
		add_service(text, &services[i], &vm);
	return g_string_free(text, FALSE);
}

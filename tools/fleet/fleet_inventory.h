/* Inventories generated for tests; see fleet_inventory_text(). */
#ifndef TOOL_FLEET_INVENTORY_H
#define TOOL_FLEET_INVENTORY_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * A service of the inventory. Except for `upstreams` and `hedge_percent`, 0
 * stands for the default: 2 slots, 1 slot while cold, cold for 2 s, a deadline
 * of 2 s, a queue limit of 200, a probe budget of 10000 us and a probe cost of
 * 1000 us.
 */
struct fleet_service {
	const char *name;
	const char *path;
	guint upstreams; /* how many; assigned to the zones in rotation */
	bool at_most_once; /* its POSTs are non-idempotent and need a key */
	guint slots;
	guint cold_slots;
	guint cold_ms;
	guint deadline_ms;
	guint queue_limit;
	guint hedge_percent;
	guint probe_budget_us;
	guint probe_cost_us;
};

/*
 * Returns the inventory as TOML, with zones "z1", "z2"... and free ports. The
 * caller frees it.
 */
char *fleet_inventory_text(const struct fleet_service *services, guint count,
			   guint zones);

G_END_DECLS

#endif

/* Inventories made for a test; see fleet_inventory_text(). */
#ifndef TOOL_FLEET_INVENTORY_H
#define TOOL_FLEET_INVENTORY_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Zeros stand for defaults: 2 slots, 1 while cold for 2 s, 2 s deadline. */
struct fleet_service {
	const char *name;
	const char *path;
	guint upstreams; /* dealt out over the zones in turn */
	bool at_most_once; /* its POSTs run at most once, under a key */
	guint slots;
	guint cold_slots;
	guint cold_ms;
	guint deadline_ms;
	guint queue_limit;
	guint hedge_percent;
	guint probe_budget_us;
	guint probe_cost_us;
};

/* TOML with zones "z1", "z2"... and free ports. Owned by the caller. */
char *fleet_inventory_text(const struct fleet_service *services, guint count,
			   guint zones);

G_END_DECLS

#endif

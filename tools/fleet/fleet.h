/*
 * A whole fleet of real processes on loopback: the stand-in store, stand-in
 * upstreams, and members (an entry and its control each) in zones.
 *
 * Settings, logs and the token file are in a temporary folder that goes with
 * the fleet. Every child ends with this process (see common/child.h).
 */
#ifndef TOOL_FLEET_H
#define TOOL_FLEET_H

#include "common/child.h"

#include <auburnstile/inventory.h>
#include <json-glib/json-glib.h>

G_BEGIN_DECLS

struct fleet_member {
	char *name;
	char *zone;
	char *callers; /* addresses, "ip:port" */
	char *inner;
	char *admin;
	char *control_inner;
	char *control_admin;
	char *callers_proxy; /* the proxy before `callers`, or the same */
	char *store_url; /* through the proxy, when there is one */
	struct child *entry; /* NULL when not running */
	struct child *control;
};

struct fleet_options {
	const char *inventory; /* TOML; its addresses get upstreams */
	guint members; /* spread over the zones in turn */
	guint32 seed;
	double mean_us; /* of upstreams' service time; 0: 20 ms */
	bool proxies; /* before store, upstreams, and entries' callers */
	const char *const *upstream_options; /* more of them, NULL at end */
	const char *policy; /* of the entries; NULL: the product's own */
};

struct fleet {
	struct fleet_options options;
	char *folder;
	char *token;
	char *token_file;
	char *inventory_file;
	struct aub_inventory *inventory;
	struct child *store;
	struct child *upstreams; /* its address is the control's */
	struct child *proxy; /* NULL without proxies */
	GPtrArray *members; /* of struct fleet_member, owned */
	GArray *upstream_ports; /* guint16, of the stand-ins, by handle */
};

/* Starts store, upstreams and proxies; members are made but not started. */
struct fleet *fleet_new(const struct fleet_options *options, GError **error);

/* Ends every process and removes the folder; logs stay if `keep_logs`. */
void fleet_free(struct fleet *fleet, bool keep_logs);

/* Start one member's processes that don't run, or all members'. */
bool fleet_start_member(struct fleet *fleet, struct fleet_member *member,
			GError **error);
bool fleet_start(struct fleet *fleet, GError **error);
/* The control alone. */
bool fleet_start_control(struct fleet *fleet, struct fleet_member *member,
			 GError **error);

/* Wait until the entries that run say that they are ready. */
bool fleet_wait_ready(struct fleet *fleet, guint timeout_ms, GError **error);
/* Wait until a member's control answers operators. */
bool fleet_wait_control(const struct fleet_member *member, guint timeout_ms,
			GError **error);
bool fleet_member_ready(const struct fleet_member *member);

/* In C a function and a struct may share a name; the C++ tests warn of it. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
struct fleet_member *fleet_member(const struct fleet *fleet, guint index);
#pragma GCC diagnostic pop

/* Which of a member's two processes is meant. */
enum fleet_process { FLEET_ENTRY = 1, FLEET_CONTROL = 2, FLEET_BOTH = 3 };

/* Send a signal. SIGKILL is waited for; the part can be started again. */
void fleet_signal(struct fleet_member *member, enum fleet_process process,
		  int number);
/* SIGTERM, then wait; true when all ended in time with status 0. */
bool fleet_stop(struct fleet_member *member, enum fleet_process process,
		guint timeout_ms);

/*
 * Run auburnstilectl against a member's control. `arguments` ends with
 * NULL. The output is owned by the caller; NULL when it can't be run.
 * `status` is its exit code.
 */
char *fleet_ctl(struct fleet *fleet, const struct fleet_member *member,
		const char *const *arguments, int *status, GError **error);

/* Admin API of a member's control, as JSON; NULL on error. */
JsonNode *fleet_admin(struct fleet *fleet, const struct fleet_member *member,
		      const char *method, const char *path, const char *body,
		      guint *status, GError **error);

/* Apply an inventory by the admin API. False when it was not accepted. */
bool fleet_apply(struct fleet *fleet, const struct fleet_member *member,
		 const char *inventory, GError **error);

/* The same through the first member, repeated while it is refused. */
bool fleet_apply_with_retry(struct fleet *fleet, const char *inventory,
			    guint timeout_ms, GError **error);

/* The member that owns a service, as a control says; NULL if unknown. */
struct fleet_member *fleet_owner(struct fleet *fleet, const char *service);
/* Wait until every service of the inventory has an owner. */
bool fleet_wait_owners(struct fleet *fleet, guint timeout_ms, GError **error);

/* Post a fault, JSON, to a stand-in. False when it was not taken. */
bool fleet_store_fault(struct fleet *fleet, const char *json);
bool fleet_upstream_fault(struct fleet *fleet, const char *json);
bool fleet_proxy_fault(struct fleet *fleet, const char *json);

/* The same, for one upstream's stand-in or for the proxy before it. */
bool fleet_single_upstream_fault(struct fleet *fleet, guint16 upstream,
				 const char *json);
bool fleet_single_proxy_fault(struct fleet *fleet, guint16 upstream,
			      const char *json);

/* The same for the proxy between callers and a member's entry. */
bool fleet_callers_proxy_fault(struct fleet *fleet,
			       const struct fleet_member *member,
			       const char *json);
/* For the load: the proxy's address for an entry's. `context`: the fleet. */
const char *fleet_connect_address(const char *address, void *context);

/* What really ran. Owned by the caller; ends the program if unreachable. */
JsonNode *fleet_oracle(struct fleet *fleet);
JsonObject *fleet_oracle_upstream(JsonNode *oracle, const struct fleet *fleet,
				  guint16 upstream);

/* NULL-terminated callers' addresses of all members; free with g_free(). */
const char **fleet_entry_addresses(const struct fleet *fleet);

/* Run the main loop for a while. */
void fleet_run_main_loop_ms(guint ms);

G_END_DECLS

#endif

/*
 * A complete fleet of processes on the loopback interface: the stand-in store,
 * stand-in upstreams, and members (one entry and one control each) in zones.
 *
 * Settings, logs and the token file are kept in a temporary folder, which is
 * removed together with the fleet. Every child process ends with this process
 * (see common/child.h).
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
	/* Addresses "ip:port"; callers connect to `callers`. */
	char *callers;
	char *inner;
	char *admin;
	char *control_inner;
	char *control_admin;
	/* Of the proxy in front of `callers`; without one, the same address. */
	char *callers_proxy;
	char *store_url; /* leads through the proxy if there is one */
	struct child *entry; /* NULL while it is not running */
	struct child *control;
};

struct fleet_options {
	/* TOML; an upstream is started at each of its addresses. */
	const char *inventory;
	guint members; /* how many; assigned to the zones in rotation */
	guint32 seed;
	double mean_us; /* mean service time of the upstreams; 0: 20 ms */
	/*
	 * Whether the fault proxy is put in front of the store, the upstreams
	 * and the entries' callers.
	 */
	bool proxies;
	/* Additional command line options; NULL at the end. */
	const char *const *upstream_options;
	/* Balancing policy of the entries; NULL: the default, auburnstile. */
	const char *policy;
};

struct fleet {
	struct fleet_options options;
	char *folder;
	char *token;
	char *token_file;
	char *inventory_file;
	struct aub_inventory *inventory;
	struct child *store;
	/* One process; its address is that of its fault control. */
	struct child *upstreams;
	struct child *proxy; /* NULL if options.proxies is false */
	GPtrArray *members; /* of struct fleet_member, owned */
	/* Port of each stand-in (guint16), indexed by upstream handle. */
	GArray *upstream_ports;
};

/*
 * Starts the store, the upstreams and the proxy. Members are created but not
 * started. The strings and arrays of `options` must outlive the fleet. Returns
 * NULL and sets `error` on failure; the caller frees the result with
 * fleet_free().
 */
struct fleet *fleet_new(const struct fleet_options *options, GError **error);

/*
 * Ends every process and frees the fleet. The temporary folder with the logs is
 * removed unless `keep_logs` is true.
 */
void fleet_free(struct fleet *fleet, bool keep_logs);

/*
 * Start those processes of one member, or of all members, that are not running.
 * Return false and set `error` on failure.
 */
bool fleet_start_member(struct fleet *fleet, struct fleet_member *member,
			GError **error);
bool fleet_start(struct fleet *fleet, GError **error);
/* Starts the member's control only. */
bool fleet_start_control(struct fleet *fleet, struct fleet_member *member,
			 GError **error);

/*
 * Waits until all running entries report that they are ready. Returns false and
 * sets AUB_ERROR_TIMEOUT if one is not ready in time or exits.
 */
bool fleet_wait_ready(struct fleet *fleet, guint timeout_ms, GError **error);
/*
 * Waits until a member's control answers on its admin address. Returns false
 * and sets AUB_ERROR_TIMEOUT if it does not in time.
 */
bool fleet_wait_control(const struct fleet_member *member, guint timeout_ms,
			GError **error);
/* Returns whether the entry reports that it is ready. */
bool fleet_member_ready(const struct fleet_member *member);

/*
 * In C a function and a struct may have the same name; the C++ compiler of the
 * tests warns about it (-Wshadow).
 */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
struct fleet_member *fleet_member(const struct fleet *fleet, guint index);
#pragma GCC diagnostic pop

/* One or both of a member's two processes. */
enum fleet_process { FLEET_ENTRY = 1, FLEET_CONTROL = 2, FLEET_BOTH = 3 };

/*
 * Sends a signal. After SIGKILL it also reaps the process, which can then be
 * started again.
 */
void fleet_signal(struct fleet_member *member, enum fleet_process process,
		  int signal_number);
/*
 * Sends SIGTERM and waits. Returns true if all processes exited in time with
 * status 0.
 */
bool fleet_stop(struct fleet_member *member, enum fleet_process process,
		guint timeout_ms);

/*
 * Runs auburnstilectl against a member's control while the main loop runs.
 * `arguments` ends with NULL. Sets `status` to the exit code, or -1 if the
 * program did not exit normally. Returns the output, which the caller frees, or
 * NULL with `error` set if the program cannot be run.
 */
char *fleet_ctl(struct fleet *fleet, const struct fleet_member *member,
		const char *const *arguments, int *status, GError **error);

/*
 * Calls the admin API of a member's control. Returns the response as JSON,
 * owned by the caller, or NULL with `error` set. `status` may be NULL.
 */
JsonNode *fleet_admin(struct fleet *fleet, const struct fleet_member *member,
		      const char *method, const char *path, const char *body,
		      guint *status, GError **error);

/*
 * Applies an inventory through the admin API. Returns false and sets `error` if
 * it is not accepted.
 */
bool fleet_apply(struct fleet *fleet, const struct fleet_member *member,
		 const char *inventory, GError **error);

/*
 * Applies an inventory through the first member, and retries until it is
 * accepted or `timeout_ms` has passed.
 */
bool fleet_apply_with_retry(struct fleet *fleet, const char *inventory,
			    guint timeout_ms, GError **error);

/*
 * Returns the member that owns a service according to the first control that
 * answers, or NULL if the service has no owner or no control answers.
 */
struct fleet_member *fleet_owner(struct fleet *fleet, const char *service);
/*
 * Waits until every service of the inventory has an owner. Returns false and
 * sets AUB_ERROR_TIMEOUT if one has none in time.
 */
bool fleet_wait_owners(struct fleet *fleet, guint timeout_ms, GError **error);

/*
 * Post a fault, a JSON object, to a stand-in; it applies to all upstreams or
 * all routes. Return false if it is not accepted.
 */
bool fleet_store_fault(struct fleet *fleet, const char *json);
bool fleet_upstream_fault(struct fleet *fleet, const char *json);
bool fleet_proxy_fault(struct fleet *fleet, const char *json);

/*
 * Post a fault to the stand-in of a single upstream, or to the proxy in front
 * of it.
 */
bool fleet_single_upstream_fault(struct fleet *fleet, guint16 upstream,
				 const char *json);
bool fleet_single_proxy_fault(struct fleet *fleet, guint16 upstream,
			      const char *json);

/* Posts a fault to the proxy between callers and a member's entry. */
bool fleet_callers_proxy_fault(struct fleet *fleet,
			       const struct fleet_member *member,
			       const char *json);
/*
 * A callback for load_options.connect_address: returns the proxy's address for
 * an entry's address, or `address` itself if it belongs to no member. `context`
 * is the fleet; the result is borrowed.
 */
const char *fleet_connect_address(const char *address, void *context);

/*
 * Returns what the upstreams executed (see tools/standin-upstream.c), owned by
 * the caller. Ends the program if the stand-in cannot be reached.
 */
JsonNode *fleet_oracle(struct fleet *fleet);
/* Returns the counters of one upstream; borrowed from `oracle`. */
JsonObject *fleet_oracle_upstream(JsonNode *oracle, const struct fleet *fleet,
				  guint16 upstream);

/*
 * Returns the addresses for callers of all members, NULL at the end. The
 * strings are borrowed; the array is freed with g_free().
 */
const char **fleet_entry_addresses(const struct fleet *fleet);

/* Runs the default main loop for `ms` milliseconds. */
void fleet_run_main_loop_ms(guint ms);

G_END_DECLS

#endif

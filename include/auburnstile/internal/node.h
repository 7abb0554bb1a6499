/*
 * A gateway process put together from its parts.
 */
#ifndef AUBURNSTILE_INTERNAL_NODE_H
#define AUBURNSTILE_INTERNAL_NODE_H

#include <auburnstile/internal/platform.h>
#include <auburnstile/settings.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct aub_node;

struct aub_node_settings {
	char *name;
	char *zone;
	char *callers; /* "ip:port" where callers connect */
	char *directory; /* where they ask which addresses to use */
	char *readiness; /* where the platform asks whether it is ready */
	char *peers; /* datagrams of other gateways */
	char *metrics;
	char *store;
	char **seeds; /* gateways that may be there; their IPs count */
	double grace_s; /* from SIGTERM to SIGKILL */
	gint64 retry_percent; /* second attempts a hundred first ones */
	double retry_slack;
	double retry_window_s;
	double rollout_share; /* of requests to a new version; 0: no orders */
	double rollout_slack; /* requests beyond that, for each order */
	gint64 address_ms; /* for how long callers may keep an answer */
	double processor_share; /* of each core, 0 to 1 */
	double processor_cores;
	char *log_level;
};

extern const struct aub_setting aub_node_settings_table[];

/*
 * `timers` stays the caller's and outlives the node. NULL with an error that
 * names the address or setting.
 */
struct aub_node *aub_node_new(const struct aub_node_settings *settings,
			      const struct aub_platform *platform,
			      struct aub_timer_service *timers, GError **error);
void aub_node_free(struct aub_node *node);

/* Settings that may change while it runs have been read anew. */
void aub_node_reload(struct aub_node *node,
		     const struct aub_node_settings *settings);

/* Begin a planned stop; `stopped` is called when the process may end. */
void aub_node_stop(struct aub_node *node, void (*stopped)(void *context),
		   void *context);

G_END_DECLS

#endif

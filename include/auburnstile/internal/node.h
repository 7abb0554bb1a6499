/* A complete gateway process. */
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
	char *callers; /* listening address for callers, "ip:port" */
	char *directory; /* listening address of the address directory */
	char *readiness; /* listening address of the readiness check */
	char *peers; /* address for datagrams of other gateways */
	char *metrics; /* listening address of the metrics export */
	char *store; /* address of the platform's store */
	char *source_ip; /* local IP of connections it opens; "": any */
	char **seeds; /* possible gateways; only their IPs are used */
	bool bootstrap; /* the whole fleet starts for the first time */
	double grace_s; /* seconds from SIGTERM to SIGKILL */
	gint64 retry_percent; /* retries per hundred first attempts */
	double retry_ratio; /* the same per first attempt; -1: not set */
	double retry_slack; /* retries beyond that percentage, per window */
	double retry_window_s;
	/* share of requests to a new version; 0: rollouts are off */
	double rollout_share;
	double rollout_slack; /* requests beyond that share, per order */
	gint64 address_ms; /* how long callers may cache an address list */
	/* how long a change in the store may take until it is in force */
	double apply_ms;
	double processor_share; /* usable share of each core, 0 to 1 */
	double processor_cores;
	char *log_level; /* least severe level that is logged */
};

extern const struct aub_setting aub_node_settings_table[];

/* Returns the retries per first attempt that the settings allow. */
double aub_node_settings_retry_ratio(const struct aub_node_settings *settings);

/*
 * Returns a new gateway process. `timers` is borrowed and must outlive it.
 * Returns NULL and sets an error that names the address or setting.
 */
struct aub_node *aub_node_new(const struct aub_node_settings *settings,
			      const struct aub_platform *platform,
			      struct aub_timer_service *timers, GError **error);
void aub_node_free(struct aub_node *node);

/* Applies the settings that may change at run time. */
void aub_node_reload(struct aub_node *node,
		     const struct aub_node_settings *settings);

/* Begins a planned stop; `stopped` is called when the process may exit. */
void aub_node_stop(struct aub_node *node, void (*stopped)(void *context),
		   void *context);

G_END_DECLS

#endif

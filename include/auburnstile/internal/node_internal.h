/* Internals of a gateway process, shared by its source files. */
#ifndef AUBURNSTILE_INTERNAL_NODE_INTERNAL_H
#define AUBURNSTILE_INTERNAL_NODE_INTERNAL_H

#include <auburnstile/internal/gateway.h>
#include <auburnstile/internal/http_listener.h>
#include <auburnstile/internal/node.h>
#include <auburnstile/internal/store_sync.h>
#include <auburnstile/message.h>

G_BEGIN_DECLS

struct aub_node {
	const struct aub_platform *platform;
	struct aub_timer_service *timers;
	struct aub_poller *poller;
	struct aub_http_client *client;
	struct aub_metrics *metrics;
	struct aub_peers *peers;
	struct aub_placer *placer;
	struct aub_egress_monitor *egress;
	struct aub_store_sync *store;
	struct aub_gateway *gateway;
	GHashTable *exported_quotas; /* set of handles with series of their own
				      */
	struct aub_http_listener *directory;
	struct aub_http_listener *readiness;
	struct aub_http_listener *metrics_service;
	char *zone;
	char *peers_port; /* ":port" */
	/* service -> struct stored_order (node_rollouts.c) */
	GHashTable *rollout_orders;
	bool rollouts_enabled;
	guint64 unreadable_records; /* store objects that could not be read */
	guint address_ms; /* how long callers may cache an address list */
	guint grace_ms; /* maximum duration of a planned stop */
	gint64 config_version; /* of the active configuration */
	bool upstreams_listed; /* the first listing is complete */
	/* heartbeats of the other gateways have had time to arrive */
	bool startup_grace_over;
	bool stopping;
	gint64 stop_start_us; /* start of the planned stop */
	guint store_check_timer;
	/* member records of other gateways in the store */
	guint members_listed;
	/* of char *: listed addresses not yet contacted */
	GPtrArray *pending_contacts;
	guint isolation_timer;
	guint startup_grace_timer;
	char *ip; /* IP of the peers' address */
	guint stop_timer;
	void (*on_stopped)(void *context);
	void *on_stopped_context;
};

/*
 * Returns true if callers may connect: the configuration and the upstreams are
 * known and the process is not stopping.
 */
bool aub_node_is_ready(const struct aub_node *node);

/* Publishes the known store revisions and the readiness to the peers. */
void aub_node_publish_state(struct aub_node *node);

/* Starts to read the store. */
void aub_node_start_store(struct aub_node *node,
			  const struct aub_node_settings *settings);
/* Called when another gateway announces a change; `context` is the node. */
void aub_node_on_revision_announced(enum aub_store_kind kind, gint64 revision,
				    void *context);
/* Applies changes that a watcher of this zone has shared. */
void aub_node_apply_shared_changes(struct aub_node *node,
				   const struct aub_store_changes *message);

/* Rollout orders. */
void aub_node_rollouts_init(struct aub_node *node);
void aub_node_rollouts_clear(struct aub_node *node);
/* Applies an order as read from the store, or its removal. */
void aub_node_apply_rollout_order(struct aub_node *node,
				  const struct aub_record *record);
/* See struct aub_placer_options; `context` is the node. */
bool aub_node_store_rollout_state(const char *service,
				  enum aub_rollout_state state, bool placer,
				  void *context);

/* Handlers of the auxiliary HTTP listeners; `context` is the node. */
aub_http_listener_handler aub_node_on_directory;
aub_http_listener_handler aub_node_on_readiness;
aub_http_listener_handler aub_node_on_metrics;

G_END_DECLS

#endif

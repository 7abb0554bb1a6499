/*
 * The inside of a gateway process, shared by its files.
 */
#ifndef AUBURNSTILE_INTERNAL_NODE_PARTS_H
#define AUBURNSTILE_INTERNAL_NODE_PARTS_H

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
	struct aub_store_sync *store;
	struct aub_gateway *gateway;
	struct aub_http_listener *directory;
	struct aub_http_listener *readiness;
	struct aub_http_listener *exporter;
	char *zone;
	char *peers_port; /* ":port" */
	GHashTable *orders; /* service -> struct order, in node_rollouts.c */
	bool takes_orders;
	guint64 records_refused; /* objects of the store that made no sense */
	guint address_ms;
	guint grace_ms;
	gint64 version; /* of the configuration in force */
	bool upstreams_known;
	bool acquainted; /* has had the time to hear the other gateways */
	bool stopping;
	gint64 stop_us; /* when the stop began */
	guint current_timer;
	guint members_listed; /* others' records in the store */
	GPtrArray *contacts; /* of char *: listed, not yet contacted */
	guint lonely_timer;
	guint enrol_timer;
	char *ip; /* of the peers' address */
	guint stop_timer;
	void (*stopped)(void *context);
	void *stopped_context;
};

/* Callers may be sent here: configuration and upstreams are known. */
bool aub_node_is_ready(const struct aub_node *node);

/* The peers are told what this process knows and whether it is ready. */
void aub_node_update_self(struct aub_node *node);

/* Begin to read the store. */
void aub_node_start_store(struct aub_node *node,
			  const struct aub_node_settings *settings);
/* Another gateway knows of a change; `context` is the node. */
void aub_node_on_announced(enum aub_store_kind kind, gint64 revision,
			   void *context);
/* Changes that a watcher of this zone was told. */
void aub_node_take_shared(struct aub_node *node,
			  const struct aub_store_changes *message);

/* Orders to move services to other versions. */
void aub_node_rollouts_init(struct aub_node *node);
void aub_node_rollouts_clear(struct aub_node *node);
void aub_node_take_order(struct aub_node *node,
			 const struct aub_record *record);
/* As struct aub_placer_options says; `context` is the node. */
bool aub_node_on_rollout_wanted(const char *service,
				enum aub_rollout_state state, bool placer,
				void *context);

/* Handlers of the small listeners; `context` is the node. */
aub_http_listener_handler aub_node_on_directory;
aub_http_listener_handler aub_node_on_readiness;
aub_http_listener_handler aub_node_on_export;

G_END_DECLS

#endif

/*
 * The data path of a gateway: callers' connections, requests, and their
 * attempts at upstreams.
 */
#ifndef AUBURNSTILE_INTERNAL_GATEWAY_H
#define AUBURNSTILE_INTERNAL_GATEWAY_H

#include <auburnstile/internal/http_client.h>
#include <auburnstile/internal/placer.h>
#include <auburnstile/metrics.h>

G_BEGIN_DECLS

struct aub_gateway;

struct aub_gateway_options {
	const char *address; /* where callers connect */
	const struct aub_platform *platform;
	struct aub_poller *poller;
	struct aub_timer_service *timers;
	struct aub_http_client *client;
	struct aub_placer *placer;
	struct aub_metrics *metrics;
	/* Upstreams have died under a request, for the other gateways. */
	void (*on_crash)(guint64 fingerprint, guint crash_count, void *context);
	void *context;
};

struct aub_gateway *aub_gateway_new(const struct aub_gateway_options *options,
				    GError **error);
void aub_gateway_free(struct aub_gateway *gateway);

/* The configuration from now on; a reference is taken. */
void aub_gateway_configure(struct aub_gateway *gateway,
			   struct aub_routing *routing);

/* Another gateway counts so many deaths under a request. */
void aub_gateway_add_reported_crashes(struct aub_gateway *gateway,
				      guint64 fingerprint, guint crash_count);

/* A planned stop: answers end their connections, new ones are still taken. */
void aub_gateway_begin_drain(struct aub_gateway *gateway);
/* Take no more connections, and end the idle ones in order. */
void aub_gateway_stop_accepting(struct aub_gateway *gateway);

/* Requests under way, and connections open. */
guint aub_gateway_active_requests(const struct aub_gateway *gateway);
guint aub_gateway_open_connections(const struct aub_gateway *gateway);

G_END_DECLS

#endif

/*
 * The data path of a gateway: callers' connections, their requests, and the
 * attempts to send these to upstreams.
 */
#ifndef AUBURNSTILE_INTERNAL_GATEWAY_H
#define AUBURNSTILE_INTERNAL_GATEWAY_H

#include <auburnstile/internal/http_client.h>
#include <auburnstile/internal/placer.h>
#include <auburnstile/internal/stop_admission.h>
#include <auburnstile/metrics.h>

G_BEGIN_DECLS

struct aub_gateway;

struct aub_gateway_options {
	const char *address; /* listening address for callers, "ip:port" */
	const struct aub_platform *platform;
	struct aub_poller *poller;
	struct aub_timer_service *timers;
	struct aub_http_client *client;
	struct aub_placer *placer;
	struct aub_peers *peers;
	struct aub_egress_monitor *egress; /* this gateway's own links */
	const char *relay_address; /* listening address for other gateways */
	struct aub_metrics *metrics;
	/*
	 * Called when upstreams have crashed while running a request, so that
	 * the other gateways can be notified. `crash_count` is the number of
	 * crashes in a row.
	 */
	void (*on_crash)(guint64 fingerprint, guint crash_count, void *context);
	void *context;
};

/* Returns NULL and sets an error if it can't listen at the address. */
struct aub_gateway *aub_gateway_new(const struct aub_gateway_options *options,
				    GError **error);
/* Requests in progress end as if their callers had disconnected. */
void aub_gateway_free(struct aub_gateway *gateway);

/* Activates `routing` as the configuration and takes a reference to it. */
void aub_gateway_configure(struct aub_gateway *gateway,
			   struct aub_routing *routing);

/* Adds crashes that another gateway has counted for a request. */
void aub_gateway_add_reported_crashes(struct aub_gateway *gateway,
				      guint64 fingerprint, guint crash_count);

/* Called when the state of this gateway's own links has changed. */
void aub_gateway_on_egress_state(struct aub_gateway *gateway,
				 enum aub_egress_state state);
/* Called when recent failures are not due to this gateway's own links. */
void aub_gateway_on_links_cleared(struct aub_gateway *gateway);

/*
 * Begins a planned stop: answers close their connections, but new connections
 * are still accepted. Requests that `plan` leaves too little time are refused,
 * and those in progress end by then. May be called again with another plan.
 */
void aub_gateway_begin_drain(struct aub_gateway *gateway,
			     const struct aub_stop_plan *plan);
/* Stops accepting connections and shuts down the idle ones gracefully. */
void aub_gateway_stop_accepting(struct aub_gateway *gateway);

/* Return the number of requests in progress and of open connections. */
guint aub_gateway_active_requests(const struct aub_gateway *gateway);
guint aub_gateway_open_connections(const struct aub_gateway *gateway);

G_END_DECLS

#endif

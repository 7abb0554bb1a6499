/*
 * Routes a request through an entry: to the owner of its idempotency key, to
 * the owner of its service's queue, to an upstream, and back to the caller with
 * exactly one answer. Both owners may be this entry or another one, to which
 * the request is then relayed.
 */
#ifndef AUBURNSTILE_INTERNAL_REQUEST_ROUTER_H
#define AUBURNSTILE_INTERNAL_REQUEST_ROUTER_H

#include <auburnstile/internal/caller_server.h>
#include <auburnstile/internal/dispatch_task.h>
#include <auburnstile/internal/idempotency.h>

G_BEGIN_DECLS

struct aub_request_router;

struct aub_request_router_options {
	/* Of this entry; all pointers are borrowed. */
	const struct aub_hello *hello;
	struct aub_entry_view *view;
	struct aub_idempotency *idempotency;
	struct aub_dispatch_task *dispatch;
	struct aub_timer_service *timers;
	struct aub_event_ring *events;
	struct aub_metrics *metrics;
	guint64 first_id; /* first request id; ids are consecutive */
	/* For baseline policies: each entry dispatches its own requests. */
	bool local_only;
};

struct aub_request_router *aub_request_router_new(
	const struct aub_request_router_options *options);
/* Must be called before the first request; `relay` is borrowed. */
void aub_request_router_set_relay(struct aub_request_router *router,
				  struct aub_relay *relay);
void aub_request_router_free(struct aub_request_router *router);

/* Callbacks for the caller server and the relay; the context is the router. */
void aub_request_router_caller_arrived(struct aub_caller_request *caller,
				       struct aub_call *call, void *context);
void aub_request_router_caller_disconnected(struct aub_caller_request *caller,
					    void *context);
void aub_request_router_relay_arrived(struct aub_relay_inbound *inbound,
				      struct aub_call *call, void *context);
void aub_request_router_relay_cancelled(struct aub_relay_inbound *inbound,
					void *context);

/*
 * Updates the dispatcher roles; must be called when the view or a link changed.
 */
void aub_request_router_update_roles(struct aub_request_router *router);

/* Sends the upstream states of owned services to their stand-bys. */
void aub_request_router_send_states(struct aub_request_router *router);
/*
 * Processes upstream states from another entry; ignored unless the sender owns
 * the service.
 */
void aub_request_router_receive_states(struct aub_request_router *router,
				       const struct aub_upstream_states *states,
				       guint64 incarnation);

/*
 * Marks the beginning of a planned stop: callers are directed to other entries.
 */
void aub_request_router_stop(struct aub_request_router *router);

/*
 * Refuses new requests of callers near the end of a planned stop; open ones
 * finish.
 */
void aub_request_router_close(struct aub_request_router *router);

/* Returns the number of open requests, whether or not a caller still waits. */
guint aub_request_router_pending(const struct aub_request_router *router);

/* Returns the number of keyed requests that run at this entry. */
guint aub_request_router_running_keys(const struct aub_request_router *router);

/* Returns the number of services that this entry owns according to the view. */
guint aub_request_router_owned_services(
	const struct aub_request_router *router);

G_END_DECLS

#endif

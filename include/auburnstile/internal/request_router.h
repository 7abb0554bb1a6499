/*
 * The way of a request through an entry: to the keeper of its key, to the
 * owner of its service's queue, to an upstream, and back with one answer.
 */
#ifndef AUBURNSTILE_INTERNAL_REQUEST_ROUTER_H
#define AUBURNSTILE_INTERNAL_REQUEST_ROUTER_H

#include <auburnstile/internal/caller_server.h>
#include <auburnstile/internal/dispatch_task.h>
#include <auburnstile/internal/idempotency.h>

G_BEGIN_DECLS

struct aub_request_router;

struct aub_request_router_options {
	const struct aub_hello *hello; /* this entry's; all borrowed */
	struct aub_entry_view *view;
	struct aub_idempotency *idempotency;
	struct aub_dispatch_task *dispatch;
	struct aub_timer_service *timers;
	struct aub_event_ring *events;
	struct aub_metrics *metrics;
	guint64 first_id; /* request ids count up from here */
	bool local_only; /* a baseline: each entry sends for itself */
};

struct aub_request_router *aub_request_router_new(const struct aub_request_router_options *options);
/* To be set before the first request; borrowed. */
void aub_request_router_set_relay(struct aub_request_router *router, struct aub_relay *relay);
void aub_request_router_free(struct aub_request_router *router);

/* Callbacks of the caller server and the relay, with the front as context. */
void aub_request_router_caller_arrived(struct aub_caller_request *caller,
			      struct aub_call *call, void *context);
void aub_request_router_caller_gone(struct aub_caller_request *caller, void *context);
void aub_request_router_relay_arrived(struct aub_relay_inbound *inbound,
			     struct aub_call *call, void *context);
void aub_request_router_relay_cancelled(struct aub_relay_inbound *inbound, void *context);

/* Take the roles that the view gives; call when view or links changed. */
void aub_request_router_update_roles(struct aub_request_router *router);

/* Tell the stand-bys of owned services what is known of their upstreams. */
void aub_request_router_send_states(struct aub_request_router *router);
/* An entry told it; taken only from the service's owner. */
void aub_request_router_receive_states(struct aub_request_router *router,
			    const struct aub_states *states,
			    guint64 incarnation);

/* A planned stop began: callers are turned to other entries. */
void aub_request_router_stop(struct aub_request_router *router);

/* Its end nears: callers' requests are refused, those inside finish. */
void aub_request_router_close(struct aub_request_router *router);

/* Requests inside, whoever waits for them. */
guint aub_request_router_pending(const struct aub_request_router *router);

/* Keyed requests running here. */
guint aub_request_router_running_keys(const struct aub_request_router *router);

/* Services that this entry owns by the view. */
guint aub_request_router_owned(const struct aub_request_router *router);

G_END_DECLS

#endif

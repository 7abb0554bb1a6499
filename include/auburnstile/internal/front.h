/*
 * The way of a request through an entry: to the keeper of its key, to the
 * owner of its service's queue, to an upstream, and back with one answer.
 */
#ifndef AUBURNSTILE_INTERNAL_FRONT_H
#define AUBURNSTILE_INTERNAL_FRONT_H

#include <auburnstile/internal/caller_server.h>
#include <auburnstile/internal/dispatch_task.h>
#include <auburnstile/internal/keeper.h>

G_BEGIN_DECLS

struct aub_front;

struct aub_front_options {
	const struct aub_hello *hello; /* this entry's; all borrowed */
	struct aub_entry_view *view;
	struct aub_keeper *keeper;
	struct aub_dispatch_task *dispatch;
	struct aub_timer_service *timers;
	struct aub_event_ring *events;
	struct aub_metrics *metrics;
	guint64 first_id; /* request ids count up from here */
	bool local_only; /* a baseline: each entry sends for itself */
};

struct aub_front *aub_front_new(const struct aub_front_options *options);
/* To be set before the first request; borrowed. */
void aub_front_set_relay(struct aub_front *front, struct aub_relay *relay);
void aub_front_free(struct aub_front *front);

/* Callbacks of the caller server and the relay, with the front as context. */
void aub_front_caller_arrived(struct aub_caller_request *caller,
			      struct aub_call *call, void *context);
void aub_front_caller_gone(struct aub_caller_request *caller, void *context);
void aub_front_relay_arrived(struct aub_relay_inbound *inbound,
			     struct aub_call *call, void *context);
void aub_front_relay_gone(struct aub_relay_inbound *inbound, void *context);

/* Take the roles that the view gives; call when view or links changed. */
void aub_front_update_roles(struct aub_front *front);

/* Tell the stand-bys of owned services what is known of their upstreams. */
void aub_front_tell_states(struct aub_front *front);
/* An entry told it; taken only from the service's owner. */
void aub_front_learn_states(struct aub_front *front,
			    const struct aub_upstream_states *states,
			    guint64 incarnation);

/* A planned stop began: callers are turned to other entries. */
void aub_front_stop(struct aub_front *front);

/* Its end nears: callers' requests are refused, those inside finish. */
void aub_front_close(struct aub_front *front);

/* Requests inside, whoever waits for them. */
guint aub_front_pending(const struct aub_front *front);

/* Keyed requests running here. */
guint aub_front_keeping(const struct aub_front *front);

/* Services that this entry owns by the view. */
guint aub_front_owned(const struct aub_front *front);

G_END_DECLS

#endif

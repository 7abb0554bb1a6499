/*
 * A routed request: one request from its arrival at this entry, from a caller
 * or another entry, to its answer. Also request statistics. Shared only by the
 * files of the request router.
 */
#ifndef AUBURNSTILE_INTERNAL_ROUTED_REQUEST_H
#define AUBURNSTILE_INTERNAL_ROUTED_REQUEST_H

#include <auburnstile/internal/request_router.h>

G_BEGIN_DECLS

/*
 * Reason sent by an entry that has transferred the key to its successor: the
 * sender should look up the owner again.
 */
#define REASON_KEY_OWNER_MOVED "keeper-moved"

enum routed_request_stage {
	ROUTED_IDLE,
	ROUTED_WAITING_FOR_KEY, /* for the running request with the same key */
	ROUTED_DISPATCHED, /* in this entry's dispatcher */
	ROUTED_RELAYED, /* sent to another entry */
	ROUTED_DELAYED /* will be routed again after a short delay */
};

struct routed_request {
	struct aub_request_router *router;
	struct aub_call *call; /* owned */
	/*
	 * One of these two is set, or neither once the caller has
	 * disconnected.
	 */
	struct aub_caller_request *caller;
	struct aub_relay_inbound *inbound;
	enum routed_request_stage stage;
	bool holds_key; /* its key is marked as running at this entry */
	bool may_have_run; /* the outcome of an earlier attempt is unknown */
	bool forwarded; /* received from another entry */
	/* Sent to this entry because it is the service's owner. */
	bool addressed_to_owner;
	bool standby_tried;
	bool key_owner_lost; /* its grant names an entry that is unavailable */
	guint reroutes; /* number of times it was rerouted */
	struct aub_relay_call *relayed;
	gint64 arrived_us;
	gint64 deadline_us;
	guint timer;
	char *zone; /* zone of the entry that relayed it, or NULL */
};

struct request_stats;

struct aub_request_router {
	struct aub_request_router_options options;
	struct aub_relay *relay;
	struct request_stats *stats;
	GHashTable *requests; /* set of struct routed_request */
	guint64 next_id;
	guint owned_services;
	guint running_keys; /* keyed requests that run here */
	bool stopping;
	bool closed;
};

/* Counters by service and outcome, registered on first use. */
struct request_stats *request_stats_new(struct aub_metrics *metrics);
void request_stats_free(struct request_stats *stats);
void request_stats_count_answer(struct request_stats *stats,
				const char *service, enum aub_outcome outcome,
				gint64 took_us);
void request_stats_count_relayed(struct request_stats *stats);
void request_stats_set_keys(struct request_stats *stats, guint count,
			    gsize bytes);
void request_stats_set_pending(struct request_stats *stats, guint pending);

/* End a request: these take ownership of `answer` and free `request`. */
void routed_request_finish(struct routed_request *request,
			   struct aub_answer *answer);
void routed_request_refuse(struct routed_request *request, guint status,
			   const char *reason, guint32 retry_after_ms);

/* Sends the request to the owner of its service's queue, or refuses it. */
void routed_request_send_to_owner(struct routed_request *request);

/*
 * Looks up the owner of the request's key, then starts the request here, sends
 * it to the owner, or answers that its outcome is unknown.
 */
void routed_request_start_keyed(struct routed_request *request);

/* Sends the request to the owner of its key. */
void routed_request_send_to_key_owner(struct routed_request *request,
				      const struct aub_member *member);

/* Returns the milliseconds until the request's deadline, at least 0. */
guint32 routed_request_remaining_ms(const struct routed_request *request);

G_END_DECLS

#endif

/*
 * One request inside the front, and the figures kept about requests. Shared
 * by the files of the front only.
 */
#ifndef AUBURNSTILE_INTERNAL_ROUTED_REQUEST_H
#define AUBURNSTILE_INTERNAL_ROUTED_REQUEST_H

#include <auburnstile/internal/request_router.h>

G_BEGIN_DECLS

/* Reason of an entry that has handed the key to its heir: ask again. */
#define REASON_KEY_OWNER_MOVED "keeper-moved"

enum routed_request_stage {
	ROUTED_IDLE,
	ROUTED_WAITING_FOR_KEY, /* for the end of the same key's first run */
	ROUTED_DISPATCHED, /* in this entry's dispatcher */
	ROUTED_RELAYED, /* at another entry */
	ROUTED_DELAYED /* will be routed again soon */
};

struct routed_request {
	struct aub_request_router *router;
	struct aub_call *call; /* owned */
	struct aub_caller_request *caller; /* one of the two, or none: */
	struct aub_relay_inbound *inbound; /* nobody waits any more */
	enum routed_request_stage stage;
	bool holds_key; /* its key is marked as running here */
	bool may_have_run; /* an earlier try's fate is unknown */
	bool forwarded; /* came from another entry */
	bool addressed_to_owner; /* and means this one as its service's owner */
	bool standby_tried;
	bool key_owner_lost; /* its grant names an entry that isn't there */
	guint reroutes; /* times it was routed anew */
	struct aub_relay_call *relayed;
	gint64 arrived_us;
	gint64 deadline_us;
	guint timer;
	char *zone; /* of the entry that relayed it, or NULL */
};

struct request_stats;

struct aub_request_router {
	struct aub_request_router_options options;
	struct aub_relay *relay;
	struct request_stats *stats;
	GHashTable *requests; /* set of struct routed_request */
	guint64 next_id;
	guint owned;
	guint running_keys; /* keyed requests running here */
	bool stopping;
	bool closed;
};

/* Counters by service and outcome, registered when first needed. */
struct request_stats *request_stats_new(struct aub_metrics *metrics);
void request_stats_free(struct request_stats *stats);
void request_stats_count_answer(struct request_stats *stats, const char *service,
			  enum aub_outcome outcome, gint64 took_us);
void request_stats_count_relayed(struct request_stats *stats);
void request_stats_set_keys(struct request_stats *stats, guint count,
			gsize bytes);
void request_stats_set_pending(struct request_stats *stats, guint pending);

/* End a request: `answer` is taken over, `request` is freed. */
void routed_request_finish(struct routed_request *request, struct aub_answer *answer);
void routed_request_refuse(struct routed_request *request, guint status,
		  const char *reason, guint32 retry_after_ms);

/* Send it to whoever owns its service's queue, or refuse it. */
void routed_request_send_to_owner(struct routed_request *request);

/* Find the keeper of its key: begin here, send it there, or say unknown. */
void routed_request_start_keyed(struct routed_request *request);

/* Send it to the keeper of its key. */
void routed_request_send_to_key_owner(struct routed_request *request,
			   const struct aub_member *member);

/* Milliseconds until its deadline, at least 0. */
guint32 routed_request_remaining_ms(const struct routed_request *request);

G_END_DECLS

#endif

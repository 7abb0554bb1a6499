/*
 * One request inside the front, and the figures kept about requests. Shared
 * by the files of the front only.
 */
#ifndef AUBURNSTILE_INTERNAL_FRONT_REQUEST_H
#define AUBURNSTILE_INTERNAL_FRONT_REQUEST_H

#include <auburnstile/internal/front.h>

G_BEGIN_DECLS

/* Reason of an entry that has handed the key to its heir: ask again. */
#define FRONT_KEEPER_MOVED "keeper-moved"

enum front_place {
	FRONT_NOWHERE,
	FRONT_WAITING, /* for the end of the same key's first run */
	FRONT_DISPATCHED, /* in this entry's dispatcher */
	FRONT_RELAYED, /* at another entry */
	FRONT_DELAYED /* will be routed again soon */
};

struct front_request {
	struct aub_front *front;
	struct aub_call *call; /* owned */
	struct aub_caller_request *caller; /* one of the two, or none: */
	struct aub_relay_inbound *inbound; /* nobody waits any more */
	enum front_place place;
	bool keeping; /* its key is marked as running here */
	bool may_have_run; /* an earlier try's fate is unknown */
	bool forwarded; /* came from another entry */
	bool as_owner; /* and means this one as its service's owner */
	bool tried_standby;
	bool keeper_lost; /* its grant names an entry that isn't there */
	guint hops; /* times it was routed anew */
	struct aub_relay_call *relayed;
	gint64 arrived_us;
	gint64 deadline_us;
	guint timer;
	char *zone; /* of the entry that relayed it, or NULL */
};

struct front_figures;

struct aub_front {
	struct aub_front_options options;
	struct aub_relay *relay;
	struct front_figures *figures;
	GHashTable *requests; /* set of struct front_request */
	guint64 next_id;
	guint owned;
	guint keeping; /* keyed requests running here */
	bool stopping;
	bool closed;
};

/* Counters by service and outcome, registered when first needed. */
struct front_figures *front_figures_new(struct aub_metrics *metrics);
void front_figures_free(struct front_figures *figures);
void front_figures_answer(struct front_figures *figures, const char *service,
			  enum aub_outcome outcome, gint64 took_us);
void front_figures_relayed(struct front_figures *figures);
void front_figures_keys(struct front_figures *figures, guint count,
			gsize bytes);
void front_figures_pending(struct front_figures *figures, guint pending);

/* End a request: `answer` is taken over, `request` is freed. */
void front_finish(struct front_request *request, struct aub_answer *answer);
void front_refuse(struct front_request *request, guint status,
		  const char *reason, guint32 retry_after_ms);

/* Send it to whoever owns its service's queue, or refuse it. */
void front_route(struct front_request *request);

/* Find the keeper of its key: begin here, send it there, or say unknown. */
void front_start_keyed(struct front_request *request);

/* Send it to the keeper of its key. */
void front_route_to_keeper(struct front_request *request,
			   const struct aub_member *member);

/* Milliseconds until its deadline, at least 0. */
guint32 front_left_ms(const struct front_request *request);

G_END_DECLS

#endif

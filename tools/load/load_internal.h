/* Internals of the load generator; see load.h. */
#ifndef TOOL_LOAD_INTERNAL_H
#define TOOL_LOAD_INTERNAL_H

#include "load/load.h"

G_BEGIN_DECLS

struct load {
	struct load_options options;
	struct aub_timer_service *timers;
	GRand *random;
	GPtrArray *requests; /* of struct load_request, owned */
	GPtrArray *callers; /* of struct load_caller, owned */
	GPtrArray *samples; /* of char *, descriptions of failed requests */
	GHashTable *reasons; /* "OUTCOME/REASON" of responses -> count */
	guint total_weight;
	guint pending; /* requests without a final outcome */
	guint retries;
	gint64 started_us;
	gint64 next_arrival_us;
	guint arrival_timer; /* timer handle; 0 once the arrivals have ended */
};

/* The addresses that one caller uses for one service. */
struct load_lookup {
	struct load_caller *caller;
	const struct load_service *service;
	GPtrArray *addresses; /* of char *, the owner first */
	char *grant;
	gint64 valid_until_us; /* 0: a new lookup is needed */
	/* Of struct load_request, borrowed: wait for the addresses. */
	GPtrArray *waiting;
	guint next_entry_index; /* in the rotation of entries to query */
	bool query_in_flight;
	guint retry_timer; /* timer handle of the next query */
	guint query_timer; /* timer handle: timeout of the query in flight */
	GCancellable *cancellable;
};

/*
 * Each caller has a session of its own: a session walks through all its
 * requests at every event, which takes too much CPU time if all callers share
 * one.
 */
struct load_caller {
	struct load *load;
	SoupSession *session;
	struct load_lookup *lookups; /* one for each service */
};

/* `first_entry_index` is the position of the first query in the rotation. */
void load_lookup_init(struct load_lookup *lookup, struct load_caller *caller,
		      const struct load_service *service,
		      guint first_entry_index);
void load_lookup_clear(struct load_lookup *lookup);
/* Returns the lookup of the request's caller and service; borrowed. */
struct load_lookup *load_request_lookup(const struct load_request *request);

/* Calls load_request_send() immediately or when the addresses are known. */
void load_lookup_resolve(struct load_lookup *lookup,
			 struct load_request *request);
/* Removes a request from those that wait for the addresses. */
void load_lookup_remove(struct load_lookup *lookup,
			struct load_request *request);
/* Makes the next request look the addresses up again. */
void load_lookup_invalidate(struct load_lookup *lookup);

/* Returns the address to connect to for an entry's address; borrowed. */
const char *load_connect_address(const struct load *load, const char *address);

struct load_request *load_request_new(struct load *load, guint number);
void load_request_start(struct load_request *request);
void load_request_send(struct load_request *request);
void load_request_free(void *data);

G_END_DECLS

#endif

/* Inside the callers' load: see load.h. */
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
	GPtrArray *samples; /* of char *, what was wrong */
	GHashTable *reasons; /* of refusals and unknowns -> how often */
	guint total_weight;
	guint pending;
	guint retries;
	gint64 started_us;
	gint64 next_arrival_us;
	guint arrival_timer; /* timer handle, 0 when arrivals ended */
};

/* Which addresses one caller uses for one service. */
struct load_lookup {
	struct load_caller *caller;
	const struct load_service *service;
	GPtrArray *addresses; /* of char *, owner first */
	char *grant;
	gint64 valid_until_us; /* 0: ask */
	GPtrArray *waiting; /* of struct load_request, borrowed */
	guint next_entry_index; /* rotates over those that can be asked */
	bool query_in_flight;
	guint retry_timer; /* timer handle of the next attempt to ask */
	guint query_timer; /* timer handle that ends the one in flight */
	GCancellable *cancellable;
};

/*
 * Each has a session of its own: a session looks through all its requests at
 * every event, and one for all callers would spend the machine on that.
 */
struct load_caller {
	struct load *load;
	SoupSession *session;
	struct load_lookup *lookups; /* one a service */
};

void load_lookup_init(struct load_lookup *lookup, struct load_caller *caller,
		      const struct load_service *service, guint first);
void load_lookup_clear(struct load_lookup *lookup);
struct load_lookup *load_request_lookup(const struct load_request *request);

/* Calls load_request_send() now or when the addresses are known. */
void load_lookup_resolve(struct load_lookup *lookup,
			 struct load_request *request);
void load_lookup_remove(struct load_lookup *lookup,
			struct load_request *request);
void load_lookup_invalidate(struct load_lookup *lookup);

/* Where to connect for an entry's address; borrowed. */
const char *load_connect_address(const struct load *load, const char *address);

struct load_request *load_request_new(struct load *load, guint number);
void load_request_start(struct load_request *request);
void load_request_send(struct load_request *request);
void load_request_free(void *data);

G_END_DECLS

#endif

/*
 * A stand-in for the platform's store that runs in the process that uses it:
 * objects by kind and name, revisions, conditional updates, finalizers, watches
 * with a history, and faults. Uses the poller and timers that it is given.
 */
#ifndef TOOLS_PLATFORM_STORE_H
#define TOOLS_PLATFORM_STORE_H

#include <auburnstile/internal/http_stream.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct platform_store;

enum platform_store_fault {
	PLATFORM_STORE_NO_FAULT,
	PLATFORM_STORE_UNAVAILABLE, /* 503 to every call */
	PLATFORM_STORE_RATE_LIMITED, /* 429 to every call */
	PLATFORM_STORE_RESET, /* connections are reset */
	/* Calls are read, not executed and never answered. */
	PLATFORM_STORE_UNRESPONSIVE,
	PLATFORM_STORE_LOSE_ANSWERS, /* calls are executed but never answered */
	/* Responses whose body is neither valid msgpack nor JSON. */
	PLATFORM_STORE_MALFORMED
};

struct platform_store *platform_store_new(struct aub_poller *poller,
					  struct aub_timer_service *timers);
void platform_store_free(struct platform_store *store);
const char *platform_store_address(const struct platform_store *store);

/*
 * Writes the spec of an object, as an operator or an upstream does, and creates
 * the object if needed. `spec` is JSON. Returns the revision of the store.
 */
gint64 platform_store_put(struct platform_store *store, const char *kind,
			  const char *name, const char *spec);
/*
 * Writes the status of an object, JSON; does nothing if there is no such
 * object. Returns the revision of the store.
 */
gint64 platform_store_put_status(struct platform_store *store, const char *kind,
				 const char *name, const char *status);
/*
 * Returns the status of an object, borrowed, or NULL if there is no such
 * object.
 */
const char *platform_store_status(struct platform_store *store,
				  const char *kind, const char *name);
/* Deletes an object, or marks it as deleting while it has finalizers. */
void platform_store_remove(struct platform_store *store, const char *kind,
			   const char *name);
/*
 * Returns the spec of an object, borrowed, or NULL if there is no such object.
 */
const char *platform_store_get(struct platform_store *store, const char *kind,
			       const char *name);
/* Returns the number of objects of a kind. */
guint platform_store_count(struct platform_store *store, const char *kind);

void platform_store_set_fault(struct platform_store *store,
			      enum platform_store_fault fault);
/* Delays every response by `ms`. */
void platform_store_set_delay(struct platform_store *store, guint ms);
/*
 * While set, waiting watches are not sent any changes, as before a compaction.
 */
void platform_store_suppress_watch_events(struct platform_store *store,
					  bool suppress);
/*
 * Compacts the history: watches from an earlier revision get 410, and the
 * connections of waiting ones are closed.
 */
void platform_store_compact(struct platform_store *store);
/* Drops the history likewise, and answers waiting watches with 410. */
void platform_store_drop_history(struct platform_store *store);
/*
 * From now on, listings that may come from a cache show the present objects and
 * revision, whatever changes, until the cache is updated. The first page of
 * such a listing may be exempt.
 */
void platform_store_freeze_cache(struct platform_store *store,
				 bool first_page_is_fresh);
void platform_store_update_cache(struct platform_store *store);
/* Sets the maximum number of objects in a page of a listing. */
void platform_store_set_page_size(struct platform_store *store, guint objects);

/* Returns the number of calls so far, including those that a fault affected. */
guint64 platform_store_call_count(const struct platform_store *store);

G_END_DECLS

#endif

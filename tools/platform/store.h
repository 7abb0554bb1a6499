/*
 * A stand-in for the platform's store, in the process that uses it: objects
 * by kind and name, revisions, conditional updates, finalizers, watches with
 * history, and the ways in which it fails. Runs on the default main context.
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
	PLATFORM_STORE_UNRESPONSIVE, /* calls are read and never answered */
	PLATFORM_STORE_LOSE_ANSWERS, /* calls are done and never answered */
	PLATFORM_STORE_MALFORMED /* answers that are no JSON */
};

struct platform_store *platform_store_new(struct aub_poller *poller,
					  struct aub_timer_service *timers);
void platform_store_free(struct platform_store *store);
const char *platform_store_address(const struct platform_store *store);

/* What an operator or an upstream writes; returns the new revision. */
gint64 platform_store_put(struct platform_store *store, const char *kind,
			  const char *name, const char *spec);
/* The same of its status, which has to be there. */
gint64 platform_store_put_status(struct platform_store *store, const char *kind,
				 const char *name, const char *status);
const char *platform_store_status(struct platform_store *store,
				  const char *kind, const char *name);
void platform_store_remove(struct platform_store *store, const char *kind,
			   const char *name);
/* The spec of an object; borrowed; NULL if there is none. */
const char *platform_store_get(struct platform_store *store, const char *kind,
			       const char *name);
guint platform_store_count(struct platform_store *store, const char *kind);

void platform_store_set_fault(struct platform_store *store,
			      enum platform_store_fault fault);
/* Answers take this long. */
void platform_store_set_delay(struct platform_store *store, guint ms);
/* Watches that wait hear nothing of changes, as before a compaction. */
void platform_store_suppress_watch_events(struct platform_store *store,
					  bool suppress);
/* Watches from before now get 410; those that wait are cut. */
void platform_store_compact(struct platform_store *store);
/* Objects a listing's page. */
void platform_store_set_page_size(struct platform_store *store, guint objects);

guint64 platform_store_call_count(const struct platform_store *store);

G_END_DECLS

#endif

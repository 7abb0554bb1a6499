/*
 * A copy of what the platform's store holds for this process, kept current
 * by listing once and watching.
 */
#ifndef AUBURNSTILE_INTERNAL_STORE_SYNC_H
#define AUBURNSTILE_INTERNAL_STORE_SYNC_H

#include <auburnstile/internal/http_client.h>
#include <auburnstile/internal/platform.h>

G_BEGIN_DECLS

struct aub_store_sync;

struct aub_store_sync_options {
	const struct aub_platform *platform;
	struct aub_http_client *client;
	struct aub_timer_service *timers;
	const char *address; /* of the store */
	bool follows_rollouts; /* orders to change versions are read, too */
	/*
	 * An object is there, has changed, or is gone; `record` is borrowed.
	 * Contents may be taken out of it (set to NULL).
	 */
	void (*changed)(enum aub_store_kind kind, struct aub_record *record,
			void *context);
	/* All changes of an answer have been told. */
	void (*batch_done)(void *context);
	/* The store's answer to a watch, for others who do not watch. */
	void (*share)(enum aub_store_kind kind, gint64 after, gint64 until,
		      const char *body, gsize length, void *context);
	/* Does this process watch, or wait to be told of changes? */
	enum aub_watch_duty (*duty)(void *context);
	/* Processes that share the store, this one not counted. */
	guint (*fleet)(void *context);
	/* The first full listing of a kind was read. */
	void (*listed)(enum aub_store_kind kind, void *context);
	void *context;
};

struct aub_store_sync *aub_store_sync_new(
	const struct aub_store_sync_options *options);
void aub_store_sync_free(struct aub_store_sync *sync);

/* Record this gateway for the others to find; repeated until it is there. */
void aub_store_sync_register(struct aub_store_sync *sync, const char *name,
			  const struct aub_member_record *member);
/* Ask the store where other gateways are, now. */
void aub_store_sync_list_members(struct aub_store_sync *sync);
/* Take the record back: a planned stop. Told once, not repeated. */
void aub_store_sync_deregister(struct aub_store_sync *sync);

/* Another gateway knows of a change of `kind` at `revision`. */
void aub_store_sync_announce(struct aub_store_sync *sync,
			     enum aub_store_kind kind, gint64 revision);
/*
 * What a watching gateway was told: the changes after `after` up to `until`.
 * Taken if nothing before them is missing here; else the store is asked.
 */
void aub_store_sync_apply_shared(struct aub_store_sync *sync, enum aub_store_kind kind,
			 gint64 after, gint64 until, const char *body,
			 gsize length);
/* Who watches may have changed: begin, if it is this process now. */
void aub_store_sync_check_watch_duty(struct aub_store_sync *sync);
/* Revision of the store at the last change that is known here. */
gint64 aub_store_sync_known_revision(const struct aub_store_sync *sync,
			    enum aub_store_kind kind);
/* For how long the store has failed to answer about some kind; 0: it does. */
gint64 aub_store_sync_unavailable_us(const struct aub_store_sync *sync);

/* When the store last answered about `kind`; 0: never. */
gint64 aub_store_sync_answered_us(const struct aub_store_sync *sync,
			       enum aub_store_kind kind);

/* How calls of the store ended, by the kind of object they were about. */
enum aub_store_result {
	AUB_STORE_ANSWERED,
	AUB_STORE_NO_HISTORY, /* what came after a revision is forgotten */
	AUB_STORE_REFUSED, /* any other status */
	AUB_STORE_NO_ANSWER, /* no connection, a reset or a timeout */
	AUB_STORE_UNREADABLE, /* an answer that makes no sense */
	AUB_STORE_RESULTS
};
/*
 * Write `body` as the state of an object. `written` comes once, unless the
 * returned call is cancelled first; with AUB_STORE_REFUSED and conflict where
 * the object is at another revision than the body names.
 */
typedef void aub_store_write_callback(enum aub_store_result result, bool conflict,
			       void *context);
struct aub_store_write;
struct aub_store_write *aub_store_sync_write_state(
	struct aub_store_sync *sync, enum aub_store_kind kind, const char *name,
	GBytes *body, aub_store_write_callback *written, void *context);
void aub_store_write_cancel(struct aub_store_write *write);

guint64 aub_store_sync_calls(const struct aub_store_sync *sync,
			     enum aub_store_kind kind,
			     enum aub_store_result result);
const char *aub_store_kind_name(enum aub_store_kind kind);
const char *aub_store_result_name(enum aub_store_result result);

G_END_DECLS

#endif

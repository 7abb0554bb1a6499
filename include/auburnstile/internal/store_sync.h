/*
 * A local copy of the objects in the platform's store that this process needs,
 * kept current by listing once and then watching.
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
	bool follows_rollouts; /* also reads rollout orders */
	/*
	 * Called when an object exists, has changed, or was removed. `record`
	 * is borrowed; its contents may be taken (set to NULL).
	 */
	void (*changed)(enum aub_store_kind kind, struct aub_record *record,
			void *context);
	/* Called after all changes of one answer have been reported. */
	void (*batch_done)(void *context);
	/*
	 * Called with the store's answer to a watch, to be forwarded to
	 * gateways that do not watch.
	 */
	void (*share)(enum aub_store_kind kind, gint64 after, gint64 until,
		      const char *body, gsize length, void *context);
	/*
	 * Returns whether this process watches the store or receives changes
	 * from gateways that do, and its position among those that watch.
	 */
	struct aub_watch_role (*watch_role)(void *context);
	/* How long a change may take until it is in force, ms. */
	guint apply_ms;
	/* Returns the number of other processes that share the store. */
	guint (*fleet_size)(void *context);
	/*
	 * Called when the first listing of a kind has been read, as far as the
	 * store shows it.
	 */
	void (*listed)(enum aub_store_kind kind, void *context);
	void *context;
};

struct aub_store_sync *aub_store_sync_new(
	const struct aub_store_sync_options *options);
void aub_store_sync_free(struct aub_store_sync *sync);

/*
 * Records this gateway in the store so that others can find it; repeated until
 * it succeeds.
 */
void aub_store_sync_register(struct aub_store_sync *sync, const char *name,
			     const struct aub_member_record *member);
/* Lists the other gateways in the store immediately. */
void aub_store_sync_list_members(struct aub_store_sync *sync);
/* Removes the record at a planned stop. Attempted once, not repeated. */
void aub_store_sync_deregister(struct aub_store_sync *sync);

/* Reports that another gateway knows of a change of `kind` at `revision`. */
void aub_store_sync_announce(struct aub_store_sync *sync,
			     enum aub_store_kind kind, gint64 revision);
/*
 * Applies changes received from a watching gateway: those after revision
 * `after` up to `until`. They are ignored if earlier changes are missing here;
 * in that case the store is queried.
 */
void aub_store_sync_apply_shared(struct aub_store_sync *sync,
				 enum aub_store_kind kind, gint64 after,
				 gint64 until, const char *body, gsize length);
/*
 * Must be called when the watch role may have changed; starts watching if this
 * process has the duty now.
 */
void aub_store_sync_check_watch_role(struct aub_store_sync *sync);
/* Returns the store's revision at the last change known here. */
gint64 aub_store_sync_known_revision(const struct aub_store_sync *sync,
				     enum aub_store_kind kind);
/*
 * Returns how long the store has failed to answer for some kind, in us; 0 if it
 * answers.
 */
gint64 aub_store_sync_unavailable_us(const struct aub_store_sync *sync);

/* Returns when the store last answered for `kind`; 0: never. */
gint64 aub_store_sync_answered_us(const struct aub_store_sync *sync,
				  enum aub_store_kind kind);

/* Results of calls to the store, counted by kind of object. */
enum aub_store_result {
	AUB_STORE_ANSWERED,
	/* Changes after the requested revision are no longer available. */
	AUB_STORE_NO_HISTORY,
	AUB_STORE_REFUSED, /* any other status */
	AUB_STORE_NO_ANSWER, /* no connection, reset or timeout */
	AUB_STORE_UNREADABLE, /* an answer that cannot be decoded */
	AUB_STORE_OUTDATED, /* an answer that is older than the copy */
	/* A page with which a listing can't go on, though there are more. */
	AUB_STORE_NO_PROGRESS,
	AUB_STORE_RESULTS
};
/*
 * Writes `body` as the state of an object. The callback is called exactly once
 * unless the returned handle is cancelled first; with AUB_STORE_REFUSED and
 * `conflict` set if the object is at another revision than the body names.
 */
typedef void aub_store_write_callback(enum aub_store_result result,
				      bool conflict, void *context);
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

/* Internals of the store copy, shared by its files. */
#ifndef AUBURNSTILE_INTERNAL_STORE_SYNC_INTERNAL_H
#define AUBURNSTILE_INTERNAL_STORE_SYNC_INTERNAL_H

#include <auburnstile/internal/store_sync.h>

G_BEGIN_DECLS

/* A slow store needs about 300 ms per call. */
#define AUB_STORE_CALL_TIMEOUT_MS 1200
/* Doubled after each further failure. */
#define AUB_STORE_RETRY_MIN_US (250 * AUB_MS)
#define AUB_STORE_RETRY_MAX_US (1000 * AUB_MS)

enum aub_store_step { AUB_STORE_LIST, AUB_STORE_WATCH };

struct aub_store_sync_task {
	struct aub_store_sync *sync;
	enum aub_store_kind kind;
	enum aub_store_step step;
	struct aub_http_call *call;
	guint timer; /* of the next call; 0: none */
	gint64 timer_due_us;
	/* All changes up to it were received: where the next watch begins. */
	gint64 revision;
	/* The listing goes on after this name; NULL: from its start. */
	GBytes *next_page;
	/* Names that the current listing has gone on after, as GBytes. */
	GHashTable *cursors;
	guint relist_timer; /* repeats an incomplete listing */
	gint64 relist_us; /* delay before the next repetition */
	gint64 listing_revision; /* of the oldest page of the listing */
	gint64 listing_changed; /* revision of the last change in the listing */
	/* name -> gint64 *: the objects that exist, and their revisions */
	GHashTable *existing_names;
	GHashTable *listed_names; /* names in the current listing */
	/* Names reported as removed, withheld from users. */
	GHashTable *withheld_removals;
	guint removal_timer;
	gint64 answered_us; /* last answer of the store; 0: none */
	gint64 recovered_us; /* when the store answered again after an outage */
	gint64 retry_us; /* delay before the next retry */
	gint64 changed_revision; /* revision of the last change known here */
	/*
	 * The same, or a later one up to which no change of this kind is known
	 * to exist.
	 */
	gint64 known_revision;
	gint64 announced_revision; /* highest revision that others announced */
	/*
	 * Announced, expected as a shared change until announced_timer fires.
	 */
	gint64 awaited_revision;
	gint64 overdue_revision; /* did not arrive in time: must be fetched */
	bool listed;
	/*
	 * A cached listing was older than the copy, or the changes since it
	 * were no longer available: list without cached results.
	 */
	bool consistent_listing;
	/* No changes received since a cached listing. */
	bool listing_unconfirmed;
	guint announced_timer;
	bool fetching; /* the open call does not wait for changes */
	/*
	 * The last watch waited without receiving changes: its end is spaced
	 * from those of the other watchers, and the next one keeps the
	 * distance.
	 */
	bool staggered;
	bool failing;
	gint64 failing_since_us; /* start of the current failure */
	gint64 call_started_us; /* start of the last call */
};

struct aub_store_sync {
	struct aub_store_sync_options options;
	char *address;
	struct aub_store_sync_task tasks[AUB_STORE_KINDS];
	char *name; /* of the own record; NULL: none */
	GBytes *record; /* body of the own record */
	struct aub_http_call *registration_call;
	guint registration_timer;
	guint64 results[AUB_STORE_KINDS][AUB_STORE_RESULTS];
};

/*
 * Apply an answer: a page of a listing, or a page of changes. Return
 * AUB_STORE_OUTDATED and apply nothing if it is older than the copy, and
 * AUB_STORE_NO_PROGRESS if the listing has ended at a page that isn't its last.
 */
enum aub_store_result aub_store_apply_listing(struct aub_store_sync_task *task,
					      const struct aub_store_page *page,
					      gint64 now_us);
enum aub_store_result aub_store_apply_changes(struct aub_store_sync_task *task,
					      const struct aub_store_page *page,
					      gint64 now_us);
/* Logs the objects of an answer that have no readable name. */
void aub_store_log_unnamed(const struct aub_store_sync_task *task,
			   const struct aub_store_page *page);
/* Logs an answer that was refused as older than the copy. */
void aub_store_log_outdated(const struct aub_store_sync_task *task,
			    const struct aub_store_page *page,
			    const char *source);

/*
 * Restarts the listing; the caller runs the task. `consistent`: no page may
 * come from a cache.
 */
void aub_store_relist(struct aub_store_sync_task *task, bool consistent);

/* Returns the result of a call as far as the response head shows it. */
enum aub_store_result aub_store_result_from_head(
	enum aub_exchange_result end, const struct aub_http_head *head);
void aub_store_count_result(struct aub_store_sync *sync,
			    enum aub_store_kind kind,
			    enum aub_store_result result);

G_END_DECLS

#endif

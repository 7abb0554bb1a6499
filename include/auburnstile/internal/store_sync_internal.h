/*
 * The inside of the copy of the store, shared by its files.
 */
#ifndef AUBURNSTILE_INTERNAL_STORE_SYNC_INTERNAL_H
#define AUBURNSTILE_INTERNAL_STORE_SYNC_INTERNAL_H

#include <auburnstile/internal/store_sync.h>

G_BEGIN_DECLS

#define AUB_STORE_CALL_TIMEOUT_MS 1200 /* a slow store takes some 300 ms a call */
#define AUB_STORE_RETRY_MIN_US (250 * AUB_MS) /* then twice that, and so on */
#define AUB_STORE_RETRY_MAX_US (1000 * AUB_MS)

enum aub_store_step { AUB_STORE_LIST, AUB_STORE_WATCH };

struct aub_store_task {
	struct aub_store_sync *sync;
	enum aub_store_kind kind;
	enum aub_store_step step;
	struct aub_http_call *call;
	guint timer;
	gint64 revision;
	char *next_page; /* page to go on with */
	GHashTable *present; /* names that are there */
	GHashTable *listed_names; /* names of the listing under way */
	GHashTable *withheld_removals; /* names said to be gone, held back */
	guint removal_timer;
	gint64 answered_us;
	gint64 recovered_us; /* when the store was heard again after an absence */
	gint64 retry_us;
	gint64 changed_revision; /* revision of the last change known here */
	gint64 known_revision; /* the same, or later where others announced no change of
			 this kind */
	gint64 announced_revision; /* the highest that others told of */
	gint64 awaited_revision; /* has until `announced_timer` to come by itself */
	gint64 overdue_revision; /* did not: to be asked for */
	bool listed;
	bool consistent_listing; /* an old listing had no history left: list anew */
	bool listing_unconfirmed; /* nothing was heard since an old listing */
	guint announced_timer;
	bool fetching; /* the call under way waits for nothing */
	bool failing;
	gint64 failing_since_us; /* since when */
	gint64 call_started_us; /* when the last call began */
};

struct aub_store_sync {
	struct aub_store_sync_options options;
	char *address;
	struct aub_store_task tasks[AUB_STORE_KINDS];
	char *name; /* of the own record; NULL: none */
	GBytes *record; /* its body */
	struct aub_http_call *registration_call;
	guint registration_timer;
	guint64 results[AUB_STORE_KINDS][AUB_STORE_RESULTS];
};

/* What an answer tells: a page of a listing, or changes. */
void aub_store_apply_listing(struct aub_store_task *task,
			    const struct aub_store_page *page, gint64 now_us);
void aub_store_apply_changes(struct aub_store_task *task,
			    const struct aub_store_page *page, gint64 now_us);

/* Begin the listing anew; the caller runs the task. */
void aub_store_relist(struct aub_store_task *task);

/* How a call ended, as far as its head tells. */
enum aub_store_result aub_store_result_of(enum aub_exchange_end end,
					  const struct aub_http_head *head);
void aub_store_count(struct aub_store_sync *sync, enum aub_store_kind kind,
		     enum aub_store_result result);

G_END_DECLS

#endif

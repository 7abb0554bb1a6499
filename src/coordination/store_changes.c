/*
 * Applies the store's answers to the local copy: objects that exist, that were
 * removed, or that only appear to be removed.
 *
 * The copy never goes back. Cached listings, later pages of a listing, answers
 * that were overtaken by shared changes, and shared changes that were delayed
 * may all be older than the copy. The copy is complete up to a revision: an
 * answer from before it is refused as a whole, and what an answer says of an
 * object at or before that revision is ignored.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/store_sync_internal.h>

/*
 * After an outage of the store the records of live upstreams have expired, and
 * its first answers lack them, which would leave no upstream. The records are
 * back within two seconds after the store recovers; until then the previous
 * ones stay in use. If only a few records are missing, those upstreams have
 * departed, and a process that was partitioned from the store must not send
 * requests to them.
 */
#define MASS_EXPIRY_HOLD_US (2200 * AUB_MS)
/* More than 1/3 removed together: mass expiry. */
#define MASS_EXPIRY_DIVISOR 3

static void report_removed(struct aub_store_sync_task *task, const char *name)
{
	const struct aub_store_sync_options *options = &task->sync->options;
	struct aub_record *record = aub_record_new(name);

	record->removed = true;
	g_hash_table_remove(task->existing_names, name);
	options->changed(task->kind, record, options->context);
	aub_record_free(record);
}

static void report_withheld_removals(void *context, gint64 now_us)
{
	struct aub_store_sync_task *task = context;
	GList *names = g_hash_table_get_keys(task->withheld_removals);

	task->removal_timer = 0;
	for (GList *link = names; link; link = link->next) {
		char *name = g_strdup(link->data);

		g_hash_table_remove(task->withheld_removals, name);
		report_removed(task, name);
		g_free(name);
	}
	g_list_free(names);
}

/*
 * Returns true if `removed` simultaneous removals indicate a mass expiry rather
 * than upstreams that departed.
 */
static bool is_mass_expiry(const struct aub_store_sync_task *task,
			   guint removed)
{
	return task->kind == AUB_STORE_UPSTREAMS &&
	       removed * MASS_EXPIRY_DIVISOR >
		       g_hash_table_size(task->existing_names);
}

static void apply_removal(struct aub_store_sync_task *task, const char *name,
			  bool mass_expiry, gint64 now_us)
{
	struct aub_timer_service *timers = task->sync->options.timers;
	gint64 until_us = task->recovered_us + MASS_EXPIRY_HOLD_US;

	if (!g_hash_table_contains(task->existing_names, name))
		return;
	if (!mass_expiry || !task->recovered_us || now_us >= until_us) {
		report_removed(task, name);
		return;
	}
	g_hash_table_add(task->withheld_removals, g_strdup(name));
	if (!task->removal_timer)
		task->removal_timer =
			aub_timer_at(timers, "lapsed", until_us,
				     report_withheld_removals, task);
}

/* Returns the revision up to which the copy contains all changes. */
static gint64 complete_revision(const struct aub_store_sync_task *task)
{
	return MAX(task->revision, task->known_revision);
}

/*
 * Returns whether the copy contains the object as in `record`, or as it was
 * later. A removed object has no revision of its own: its last one, or that of
 * the removal, is compared with a successor of the same name.
 */
static bool is_known(const struct aub_store_sync_task *task,
		     const struct aub_record *record, gint64 complete)
{
	const gint64 *known =
		g_hash_table_lookup(task->existing_names, record->name);

	if (record->revision <= 0)
		return false;
	if (record->removed)
		return known && record->revision < *known;
	return record->revision <= (known ? *known : complete);
}

static void apply_record(struct aub_store_sync_task *task,
			 struct aub_record *record, bool mass_expiry,
			 gint64 now_us)
{
	const struct aub_store_sync_options *options = &task->sync->options;

	if (record->removed) {
		apply_removal(task, record->name, mass_expiry, now_us);
		return;
	}
	g_hash_table_remove(task->withheld_removals, record->name);
	g_hash_table_replace(task->existing_names, g_strdup(record->name),
			     g_memdup2(&record->revision,
				       sizeof(record->revision)));
	options->changed(task->kind, record, options->context);
}

static void report_listed(struct aub_store_sync_task *task)
{
	const struct aub_store_sync_options *options = &task->sync->options;

	if (task->listed)
		return;
	task->listed = true;
	options->listed(task->kind, options->context);
}

static void mark_changed(struct aub_store_sync_task *task, gint64 revision)
{
	task->changed_revision = MAX(task->changed_revision, revision);
	task->known_revision =
		MAX(task->known_revision, task->changed_revision);
}

/*
 * Objects that have gone while the history was lost are only missing from the
 * listing. Its revision is announced for them, or the gateways that still have
 * the history would never ask for the change.
 */
static void apply_missing(struct aub_store_sync_task *task, gint64 now_us)
{
	GList *names = g_hash_table_get_keys(task->existing_names);
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);

	for (GList *link = names; link; link = link->next)
		if (!g_hash_table_contains(task->listed_names, link->data))
			g_ptr_array_add(missing, g_strdup(link->data));
	g_list_free(names);
	for (guint i = 0; i < missing->len; i++)
		apply_removal(task, g_ptr_array_index(missing, i),
			      is_mass_expiry(task, missing->len), now_us);
	if (missing->len)
		mark_changed(task, task->listing_revision);
	g_ptr_array_unref(missing);
}

/*
 * Cached listings cost a tenth of a call. They contain the revision they are
 * from: processes that watch receive all later changes, and the others learn
 * from heartbeats that they are behind.
 */
static void finish_listing(struct aub_store_sync_task *task)
{
	task->revision = task->listing_revision;
	mark_changed(task, MIN(task->listing_changed, task->revision));
	g_hash_table_remove_all(task->listed_names);
	g_hash_table_remove_all(task->cursors);
	g_clear_pointer(&task->next_page, g_bytes_unref);
	task->step = AUB_STORE_WATCH;
	task->listing_unconfirmed = !task->consistent_listing;
	task->consistent_listing = false;
	report_listed(task);
}

/*
 * All gateways have to identify a change by the same revision, the one of the
 * changed object; otherwise each would take the others' revisions for newer
 * ones and query the store. A removed object has no revision of its own, so the
 * answer's revision is used.
 */
static gint64 last_change(const struct aub_store_page *page)
{
	gint64 last = 0;

	for (guint i = 0; i < page->records->len; i++) {
		const struct aub_record *record =
			g_ptr_array_index(page->records, i);

		last = MAX(last,
			   record->removed ? page->revision : record->revision);
	}
	return MIN(last, page->revision);
}

/* Members are read for their addresses only, and an old one does no harm. */
static bool is_outdated(const struct aub_store_sync_task *task,
			const struct aub_store_page *page)
{
	return task->kind != AUB_STORE_MEMBERS &&
	       page->revision < complete_revision(task);
}

/*
 * The pages of a listing may be of different age, the later ones also older
 * than the first. The listing contains all changes up to the oldest one's
 * revision; the watch from there receives the later changes.
 */
static void begin_page(struct aub_store_sync_task *task,
		       const struct aub_store_page *page)
{
	bool is_first = !task->next_page;

	task->listing_revision =
		is_first ? page->revision :
			   MIN(task->listing_revision, page->revision);
	task->listing_changed =
		MAX(is_first ? 0 : task->listing_changed, last_change(page));
}

/*
 * Moves the listing on to the next page. Returns false if that would not be
 * another one: a store that takes the name for a different one sends the same
 * pages without end.
 */
static bool advance_cursor(struct aub_store_sync_task *task,
			   const struct aub_store_page *page)
{
	if (!page->last ||
	    !g_hash_table_add(task->cursors, g_bytes_ref(page->last)))
		return false;
	g_clear_pointer(&task->next_page, g_bytes_unref);
	task->next_page = g_bytes_ref(page->last);
	return true;
}

enum aub_store_result aub_store_apply_listing(struct aub_store_sync_task *task,
					      const struct aub_store_page *page,
					      gint64 now_us)
{
	if (is_outdated(task, page))
		return AUB_STORE_OUTDATED;
	begin_page(task, page);
	for (guint i = 0; i < page->records->len; i++) {
		struct aub_record *record = g_ptr_array_index(page->records, i);

		g_hash_table_add(task->listed_names, g_strdup(record->name));
		/* The page is no older than the copy: what it has exists. */
		if (!is_known(task, record, 0))
			apply_record(task, record, false, now_us);
	}
	if (page->more && advance_cursor(task, page))
		return AUB_STORE_ANSWERED;
	/* What an incomplete listing did not show may still exist. */
	if (!page->more)
		apply_missing(task, now_us);
	finish_listing(task);
	return page->more ? AUB_STORE_NO_PROGRESS : AUB_STORE_ANSWERED;
}

static guint count_removed(const struct aub_store_page *page)
{
	guint count = 0;

	for (guint i = 0; i < page->records->len; i++)
		if (((struct aub_record *)g_ptr_array_index(page->records, i))
			    ->removed)
			count++;
	return count;
}

enum aub_store_result aub_store_apply_changes(struct aub_store_sync_task *task,
					      const struct aub_store_page *page,
					      gint64 now_us)
{
	bool mass_expiry = is_mass_expiry(task, count_removed(page));
	gint64 complete = complete_revision(task);

	if (is_outdated(task, page))
		return AUB_STORE_OUTDATED;
	for (guint i = 0; i < page->records->len; i++) {
		struct aub_record *record = g_ptr_array_index(page->records, i);

		if (!is_known(task, record, complete))
			apply_record(task, record, mass_expiry, now_us);
	}
	task->revision = MAX(task->revision, page->revision);
	mark_changed(task, last_change(page));
	if (task->announced_revision > task->known_revision &&
	    page->revision >= task->announced_revision)
		task->known_revision =
			/* The change was of another kind. */
			task->announced_revision;
	return AUB_STORE_ANSWERED;
}

void aub_store_relist(struct aub_store_sync_task *task, bool consistent)
{
	task->step = AUB_STORE_LIST;
	task->consistent_listing = consistent;
	task->listing_unconfirmed = false;
	g_clear_pointer(&task->next_page, g_bytes_unref);
	g_hash_table_remove_all(task->listed_names);
	g_hash_table_remove_all(task->cursors);
}

void aub_store_log_unnamed(const struct aub_store_sync_task *task,
			   const struct aub_store_page *page)
{
	char *problem = g_strdup_printf(
		"metadata.name must be UTF-8 text without NUL: %s, %u objects",
		aub_store_kind_name(task->kind), page->unnamed);

	aub_log_begin(AUB_LOG_RECORD_REFUSED);
	aub_log_text("name", "");
	aub_log_text("problem", problem);
	aub_log_number("revision", page->revision);
	aub_log_end();
	g_free(problem);
}

void aub_store_log_outdated(const struct aub_store_sync_task *task,
			    const struct aub_store_page *page,
			    const char *source)
{
	aub_log_begin(AUB_LOG_STORE_OUTDATED);
	aub_log_text("kind", aub_store_kind_name(task->kind));
	aub_log_text("source", source);
	aub_log_number("answer_revision", page->revision);
	aub_log_number("revision", complete_revision(task));
	aub_log_end();
}

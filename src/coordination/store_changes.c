/*
 * What the store's answers change in the copy of it: entries that are there,
 * that are gone, or that only seem to be.
 */
#include <auburnstile/internal/store_sync_parts.h>

/*
 * Failure: the store was away, entries of upstreams that live have lapsed,
 * and its first answers miss them. Symptom: no upstream is left. Enough: they
 * are back within two seconds of its return; until then the old ones hold.
 * A few that are gone have left: a process that was cut off from the store
 * must not send to them.
 */
#define LAPSE_US (2200 * AUB_MS)
#define LAPSE_PART 3 /* more than a third of all at once */

static void tell_removed(struct aub_store_task *task, const char *name)
{
	const struct aub_store_sync_options *options = &task->sync->options;
	struct aub_record *record = aub_record_new(name);

	record->removed = true;
	g_hash_table_remove(task->present, name);
	options->changed(task->kind, record, options->context);
	aub_record_free(record);
}

static void on_gone(void *context, gint64 now_us)
{
	struct aub_store_task *task = context;
	GList *names = g_hash_table_get_keys(task->gone);

	task->gone_timer = 0;
	for (GList *link = names; link; link = link->next) {
		char *name = g_strdup(link->data);

		g_hash_table_remove(task->gone, name);
		tell_removed(task, name);
		g_free(name);
	}
	g_list_free(names);
}

/* Do `removed` entries at once look like a lapse, not like upstreams leaving?
 */
static bool is_lapse(const struct aub_store_task *task, guint removed)
{
	return task->kind == AUB_STORE_UPSTREAMS &&
	       removed * LAPSE_PART > g_hash_table_size(task->present);
}

static void take_removal(struct aub_store_task *task, const char *name,
			 bool lapse, gint64 now_us)
{
	struct aub_timer_service *timers = task->sync->options.timers;
	gint64 until = task->back_us + LAPSE_US;

	if (!g_hash_table_contains(task->present, name))
		return;
	if (!lapse || !task->back_us || now_us >= until) {
		tell_removed(task, name);
		return;
	}
	g_hash_table_add(task->gone, g_strdup(name));
	if (!task->gone_timer)
		task->gone_timer =
			aub_timer_at(timers, "lapsed", until, on_gone, task);
}

static void take_record(struct aub_store_task *task, struct aub_record *record,
			bool lapse, gint64 now_us)
{
	const struct aub_store_sync_options *options = &task->sync->options;

	if (record->removed) {
		take_removal(task, record->name, lapse, now_us);
		return;
	}
	g_hash_table_remove(task->gone, record->name);
	g_hash_table_add(task->present, g_strdup(record->name));
	options->changed(task->kind, record, options->context);
}

static void tell_listed(struct aub_store_task *task)
{
	const struct aub_store_sync_options *options = &task->sync->options;

	if (task->listed)
		return;
	task->listed = true;
	options->listed(task->kind, options->context);
}

/*
 * Old listings cost a tenth of a call. They tell the revision they are from:
 * who watches gets what came after it, and the others hear by heartbeats that
 * they are behind.
 */
static void list_ended(struct aub_store_task *task, gint64 now_us)
{
	GList *names = g_hash_table_get_keys(task->present);
	GPtrArray *lost = g_ptr_array_new_with_free_func(g_free);

	for (GList *link = names; link; link = link->next)
		if (!g_hash_table_contains(task->seen, link->data))
			g_ptr_array_add(lost, g_strdup(link->data));
	g_list_free(names);
	for (guint i = 0; i < lost->len; i++)
		take_removal(task, g_ptr_array_index(lost, i),
			     is_lapse(task, lost->len), now_us);
	g_ptr_array_unref(lost);
	g_hash_table_remove_all(task->seen);
	task->step = AUB_STORE_WATCH;
	task->unproved = !task->strict;
	task->strict = false;
	tell_listed(task);
}

/*
 * All gateways have to name a change by the same revision, or each takes the
 * others' for newer ones and asks the store: the change's own. A removal has
 * none of its own; the answer's stands for it. Nothing past `most` counts:
 * later pages of a listing may hold changes that its first page is too old for.
 */
static void note_changes(struct aub_store_task *task,
			 const struct aub_store_page *page, gint64 most)
{
	for (guint i = 0; i < page->records->len; i++) {
		const struct aub_record *record =
			g_ptr_array_index(page->records, i);

		gint64 revision =
			record->removed ? page->revision : record->revision;

		task->changed = MAX(task->changed, MIN(revision, most));
	}
	task->known = MAX(task->known, task->changed);
}

/* A listing's revision is that of its first page: later changes are watched. */
void aub_store_take_listing(struct aub_store_task *task,
			    const struct aub_store_page *page, gint64 now_us)
{
	if (!task->after)
		task->revision = page->revision;
	note_changes(task, page, task->revision);
	for (guint i = 0; i < page->records->len; i++) {
		struct aub_record *record = g_ptr_array_index(page->records, i);

		g_hash_table_add(task->seen, g_strdup(record->name));
		take_record(task, record, false, now_us);
	}
	g_free(task->after);
	task->after = page->more ? g_strdup(page->last) : NULL;
	if (!task->after)
		list_ended(task, now_us);
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

void aub_store_take_changes(struct aub_store_task *task,
			    const struct aub_store_page *page, gint64 now_us)
{
	bool lapse = is_lapse(task, count_removed(page));

	for (guint i = 0; i < page->records->len; i++)
		take_record(task, g_ptr_array_index(page->records, i), lapse,
			    now_us);
	task->revision = MAX(task->revision, page->revision);
	note_changes(task, page, page->revision);
	if (task->announced > task->known && page->revision >= task->announced)
		task->known =
			task->announced; /* it was no change of this kind */
}

void aub_store_relist(struct aub_store_task *task)
{
	task->step = AUB_STORE_LIST;
	task->strict = task->unproved;
	task->unproved = false;
	g_clear_pointer(&task->after, g_free);
	g_hash_table_remove_all(task->seen);
}

/*
 * One task per kind of object: it lists, then watches, and lists again when the
 * watch has missed changes.
 *
 * A watch is one call that stays open until something changes; each change ends
 * it. Changes that occur close together are collected by a short pause.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/store_sync_internal.h>

#include <string.h>

/*
 * A watch whose connection became half-open ends by this time limit at the
 * latest; heartbeats of other gateways report earlier what it missed.
 */
#define WATCH_WAIT_MAX_MS 8000
#define WATCH_TIMEOUT_MARGIN_MS 500
#define WATCH_INTERVAL_MIN_MS 100
#define FETCH_WAIT_MS 1 /* returns what is available immediately */
/* Pause before the next call, which collects changes that occur together. */
#define BATCH_PAUSE_US (250 * AUB_MS)

/*
 * If both watchers of a zone fetched each change, most calls to the store
 * during a replacement of upstreams would return what the other watcher has
 * just shared. The second watcher therefore calls a quarter as often, and
 * becomes the first one as soon as the other no longer reaches the store.
 */
#define STANDBY_BATCH_PAUSE_US (1000 * AUB_MS)
/*
 * A process that learns of a later revision waits this long for the changes to
 * be shared, because the watchers of its zone may be pausing while those of
 * another zone are not.
 */
#define SHARED_CHANGES_WAIT_US (700 * AUB_MS)
#define CONNECTION_IDLE_US (20 * AUB_SECOND)

/*
 * Rollout orders are rare. One that is noticed late loses that part of its
 * time.
 */
#define ROLLOUTS_WATCH_INTERVAL_MS 2000

#define RETRY_PER_GATEWAY_US (10 * AUB_MS) /* per gateway of the fleet */
#define RETRY_LARGE_FLEET_MAX_US (3000 * AUB_MS)

/* Delay before an incomplete listing is repeated, doubled each time. */
#define RELIST_MIN_US (1 * AUB_SECOND)
#define RELIST_MAX_US (30 * AUB_SECOND)

const char *aub_store_kind_name(enum aub_store_kind kind)
{
	static const char *const names[AUB_STORE_KINDS] = {
		[AUB_STORE_ROUTING] = "configuration",
		[AUB_STORE_UPSTREAMS] = "upstreams",
		[AUB_STORE_EVACUATIONS] = "zones-out",
		[AUB_STORE_ROLLOUTS] = "rollouts",
		[AUB_STORE_MEMBERS] = "members",
	};

	return names[kind];
}

const char *aub_store_result_name(enum aub_store_result result)
{
	static const char *const names[AUB_STORE_RESULTS] = {
		[AUB_STORE_ANSWERED] = "answered",
		[AUB_STORE_NO_HISTORY] = "no-history",
		[AUB_STORE_REFUSED] = "refused",
		[AUB_STORE_NO_ANSWER] = "no-answer",
		[AUB_STORE_UNREADABLE] = "unreadable",
		[AUB_STORE_OUTDATED] = "outdated",
		[AUB_STORE_NO_PROGRESS] = "no-progress",
	};

	return names[result];
}

/* Returns the result of a call as far as the response head shows it. */
enum aub_store_result aub_store_result_from_head(
	enum aub_exchange_result end, const struct aub_http_head *head)
{
	if (end != AUB_EXCHANGE_COMPLETE)
		return AUB_STORE_NO_ANSWER;
	if (head->status == HTTP_STATUS_GONE)
		return AUB_STORE_NO_HISTORY;
	return head->status / 100 == 2 ? AUB_STORE_ANSWERED : AUB_STORE_REFUSED;
}

void aub_store_count_result(struct aub_store_sync *sync,
			    enum aub_store_kind kind,
			    enum aub_store_result result)
{
	sync->results[kind][result]++;
}

static void run_task(struct aub_store_sync_task *task);

static void on_task_timer(void *context, gint64 now_us)
{
	struct aub_store_sync_task *task = context;

	task->timer = 0;
	run_task(task);
}

static void schedule_task(struct aub_store_sync_task *task, gint64 in_us)
{
	struct aub_timer_service *timers = task->sync->options.timers;

	aub_timer_cancel(timers, task->timer);
	task->timer_due_us = aub_timer_now(timers) + in_us;
	task->timer = aub_timer_at(timers, "store", task->timer_due_us,
				   on_task_timer, task);
}

static void log_store_event(const struct aub_store_sync_task *task,
			    enum aub_log_event event, const char *why,
			    gint64 age_us)
{
	aub_log_begin(event);
	aub_log_text("kind", aub_store_kind_name(task->kind));
	aub_log_text("why", why);
	aub_log_number("age_ms", age_us / AUB_MS);
	aub_log_number("revision", task->revision);
	aub_log_end();
}

/*
 * Returns true for the one kind that checks whether a failing store has
 * recovered, because calls are costly.
 */
static bool is_recovery_probe(const struct aub_store_sync_task *task)
{
	for (guint i = 0; i < (guint)task->kind; i++)
		if (task->sync->tasks[i].failing)
			return false;
	return true;
}

/* Retries all kinds that were waiting for the store to recover. */
static void retry_failing_tasks(struct aub_store_sync *sync)
{
	for (guint i = 0; i < AUB_STORE_KINDS; i++) {
		struct aub_store_sync_task *task = &sync->tasks[i];

		if (task->failing && !task->call && !task->timer)
			schedule_task(task, 0);
	}
}

static void store_answered(struct aub_store_sync_task *task, gint64 now_us)
{
	if (task->failing) {
		task->recovered_us = now_us;
		log_store_event(task, AUB_LOG_STORE_RECOVERED, "",
				now_us - task->answered_us);
		task->failing = false;
		retry_failing_tasks(task->sync);
	}
	task->answered_us = now_us;
	task->retry_us = AUB_STORE_RETRY_MIN_US;
}

/*
 * If each gateway retried a failing store once a second, an outage would cost
 * calls in proportion to the fleet, and the store would have to recover under
 * that load. The interval grows with the fleet, but is limited so that a
 * gateway that was refused has retried before it stops counting as current. A
 * revision announced by others is fetched immediately nevertheless.
 */
static gint64 retry_max_us(const struct aub_store_sync_task *task)
{
	const struct aub_store_sync_options *options = &task->sync->options;
	gint64 interval_us =
		options->fleet_size(options->context) * RETRY_PER_GATEWAY_US;

	return CLAMP(interval_us, AUB_STORE_RETRY_MAX_US,
		     RETRY_LARGE_FLEET_MAX_US);
}

static void store_failed(struct aub_store_sync_task *task, const char *why)
{
	gint64 now_us = aub_timer_now(task->sync->options.timers);

	if (!task->failing) {
		log_store_event(task, AUB_LOG_STORE_LOST, why,
				now_us - task->answered_us);
		task->failing_since_us = now_us;
	}
	task->failing = true;
	if (!is_recovery_probe(task))
		return;
	schedule_task(task,
		      task->retry_us +
			      g_random_int_range(0, AUB_STORE_RETRY_MIN_US));
	task->retry_us = MIN(task->retry_us * 2, retry_max_us(task));
}

static void await_announced(struct aub_store_sync_task *task);

static struct aub_watch_role watch_role(const struct aub_store_sync_task *task)
{
	const struct aub_store_sync_options *options = &task->sync->options;

	return options->watch_role(options->context);
}

/* Changes that occur close together are collected before the next call. */
static void schedule_next_watch(struct aub_store_sync_task *task, guint changes)
{
	bool behind = task->overdue_revision > task->known_revision;
	bool standby = watch_role(task).duty == AUB_WATCH_STANDBY;
	gint64 pause_us =
		standby && !behind ? STANDBY_BATCH_PAUSE_US : BATCH_PAUSE_US;

	await_announced(task);
	schedule_task(task, changes || behind ? pause_us : 0);
}

/* Members are read once; later changes are learnt from heartbeats. */
static bool is_followed(const struct aub_store_sync_task *task)
{
	return task->kind != AUB_STORE_MEMBERS &&
	       (task->kind != AUB_STORE_ROLLOUTS ||
		task->sync->options.follows_rollouts);
}

static void schedule_relist(struct aub_store_sync_task *task);

static void on_relist_due(void *context, gint64 now_us)
{
	struct aub_store_sync_task *task = context;

	task->relist_timer = 0;
	if (task->step == AUB_STORE_LIST)
		return;
	if (task->failing) {
		schedule_relist(task);
		return;
	}
	aub_timer_cancel(task->sync->options.timers, task->timer);
	task->timer = 0;
	aub_http_call_cancel(task->call);
	task->call = NULL;
	aub_store_relist(task, false);
	run_task(task);
}

/* Spreads the repetitions of a fleet, whose listings end together. */
static void schedule_relist(struct aub_store_sync_task *task)
{
	struct aub_timer_service *timers = task->sync->options.timers;

	if (!is_followed(task))
		return;
	aub_timer_cancel(timers, task->relist_timer);
	task->relist_timer = aub_timer_at(
		timers, "relist",
		aub_timer_now(timers) + task->relist_us +
			g_random_int_range(0, (gint32)(task->relist_us / 2)),
		on_relist_due, task);
	task->relist_us = MIN(task->relist_us * 2, RELIST_MAX_US);
}

/*
 * A listing that can't go on is no reason to do without what it has shown, or
 * without the changes to come: the watch goes on, and the listing is repeated.
 */
static void on_listing_stuck(struct aub_store_sync_task *task,
			     const struct aub_store_page *page)
{
	aub_log_begin(AUB_LOG_STORE_INCOMPLETE);
	aub_log_text("kind", aub_store_kind_name(task->kind));
	aub_log_number("revision", page->revision);
	aub_log_number("known", g_hash_table_size(task->existing_names));
	aub_log_number("retry_ms",
		       is_followed(task) ? task->relist_us / AUB_MS : -1);
	aub_log_end();
	schedule_relist(task);
}

static void on_listing_complete(struct aub_store_sync_task *task)
{
	aub_timer_cancel(task->sync->options.timers, task->relist_timer);
	task->relist_timer = 0;
	task->relist_us = RELIST_MIN_US;
}

/*
 * A cached listing that is older than the copy would undo changes, and a
 * process that does not watch might never learn of them again. It is restarted.
 */
static enum aub_store_result apply_listing(struct aub_store_sync_task *task,
					   const struct aub_store_page *page,
					   gint64 now_us)
{
	bool consistent = task->consistent_listing;
	enum aub_store_result result =
		aub_store_apply_listing(task, page, now_us);

	if (result == AUB_STORE_OUTDATED) {
		aub_store_log_outdated(task, page, "listing");
		aub_store_relist(task, true);
	} else if (result == AUB_STORE_NO_PROGRESS) {
		on_listing_stuck(task, page);
	} else if (task->step == AUB_STORE_WATCH) {
		on_listing_complete(task);
	}
	if (result == AUB_STORE_OUTDATED && consistent)
		store_failed(task, "outdated");
	else
		run_task(task);
	return result;
}

/* An answer that shared changes have overtaken is outdated. */
static enum aub_store_result apply_changes(struct aub_store_sync_task *task,
					   const struct aub_store_page *page,
					   bool watched, const char *body,
					   gsize length)
{
	const struct aub_store_sync_options *options = &task->sync->options;
	gint64 before = task->changed_revision;
	enum aub_store_result result =
		aub_store_apply_changes(task, page,
					aub_timer_now(options->timers));

	if (result == AUB_STORE_OUTDATED)
		aub_store_log_outdated(task, page, "watch");
	else if (page->records->len)
		options->share(task->kind, before, task->changed_revision, body,
			       length, options->context);
	task->listing_unconfirmed = false;
	task->staggered = watched && !page->records->len;
	schedule_next_watch(task, page->records->len);
	return result;
}

/* `watched` tells that the call was a watch, which waits for changes. */
static void apply_page(struct aub_store_sync_task *task, bool watched,
		       const char *body, gsize length)
{
	const struct aub_store_sync_options *options = &task->sync->options;
	gint64 now_us = aub_timer_now(options->timers);
	GError *error = NULL;
	struct aub_store_page *page =
		options->platform->decode_page(task->kind, body, length,
					       &error);
	enum aub_store_result result;

	if (!page) {
		aub_store_count_result(task->sync, task->kind,
				       AUB_STORE_UNREADABLE);
		store_failed(task, error->message);
		g_error_free(error);
		return;
	}
	store_answered(task, now_us);
	if (page->unnamed)
		aub_store_log_unnamed(task, page);
	if (task->step == AUB_STORE_LIST)
		result = apply_listing(task, page, now_us);
	else
		result = apply_changes(task, page, watched, body, length);
	aub_store_count_result(task->sync, task->kind, result);
	options->batch_done(options->context);
	aub_store_page_free(page);
}

static void on_answer(enum aub_exchange_result end,
		      const struct aub_http_head *head, const char *body,
		      gsize length, void *context)
{
	struct aub_store_sync_task *task = context;
	enum aub_store_result result = aub_store_result_from_head(end, head);
	bool watched = !task->fetching;

	task->call = NULL;
	task->fetching = false;
	task->staggered = false;
	if (result == AUB_STORE_ANSWERED) {
		/* counts the result as well */
		apply_page(task, watched, body, length);
		return;
	}
	aub_store_count_result(task->sync, task->kind, result);
	if (result == AUB_STORE_NO_ANSWER) {
		store_failed(task, end == AUB_EXCHANGE_TIMEOUT ? "timeout" :
								 "connection");
		/* It was lost when it began: the store may be back already. */
		if (watched && end == AUB_EXCHANGE_TIMEOUT &&
		    is_recovery_probe(task))
			schedule_task(task, 0);
	} else if (result == AUB_STORE_NO_HISTORY) {
		log_store_event(task, AUB_LOG_STORE_HISTORY_LOST, "", 0);
		aub_store_relist(task, task->listing_unconfirmed);
		run_task(task);
	} else {
		char *why = g_strdup_printf("status %u", head->status);

		store_failed(task, why);
		g_free(why);
	}
}

/*
 * For rollout orders one watcher per zone suffices, because heartbeats report
 * them as well.
 */
static bool may_watch(const struct aub_store_sync_task *task)
{
	enum aub_watch_duty duty = watch_role(task).duty;

	if (task->kind == AUB_STORE_ROLLOUTS)
		return is_followed(task) && duty == AUB_WATCH_PRIMARY;
	return is_followed(task) && duty != AUB_WATCH_NONE;
}

/*
 * Returns the time in which one of all watchers should begin a call. Even if
 * one such call is lost, the next one ends within the time that a change may
 * take.
 */
static guint watch_interval_ms(const struct aub_store_sync_task *task,
			       guint watchers)
{
	guint apply_ms = task->sync->options.apply_ms;
	guint interval_ms = WATCH_INTERVAL_MIN_MS;

	if (task->kind == AUB_STORE_ROLLOUTS)
		interval_ms = ROLLOUTS_WATCH_INTERVAL_MS;
	else if (apply_ms > WATCH_TIMEOUT_MARGIN_MS)
		interval_ms = MAX((apply_ms - WATCH_TIMEOUT_MARGIN_MS) / 2,
				  WATCH_INTERVAL_MIN_MS);
	return MIN(interval_ms, WATCH_WAIT_MAX_MS / watchers);
}

/*
 * A watch that the store has accepted and never answers can't be told from one
 * without changes until it times out. Each change ends the watches of all
 * gateways, so a short outage after it can hit all those that follow, and the
 * whole fleet would miss changes until they time out. The watches therefore end
 * one after the other: the first one after a change by the position of its
 * process among the watchers, the later ones with the same distance. What one
 * of them receives is announced to the others.
 */
static guint watch_ms(const struct aub_store_sync_task *task)
{
	struct aub_watch_role role = watch_role(task);
	bool primaries_only = task->kind == AUB_STORE_ROLLOUTS;
	guint watchers =
		MAX(primaries_only ? role.primary_count : role.count, 1);
	guint interval_ms = watch_interval_ms(task, watchers);
	gint64 paused_us =
		aub_timer_now(task->sync->options.timers) - task->answered_us;
	gint64 wait_ms = (gint64)interval_ms * (role.index + 1);

	if (task->staggered)
		return interval_ms * watchers;
	/* Standbys pause longer before they call, but keep their positions. */
	wait_ms -= (paused_us - BATCH_PAUSE_US) / AUB_MS;
	return (guint)CLAMP(wait_ms, interval_ms, WATCH_WAIT_MAX_MS);
}

static void run_task(struct aub_store_sync_task *task)
{
	struct aub_store_sync *sync = task->sync;
	const struct aub_platform *platform = sync->options.platform;
	bool watch = task->step == AUB_STORE_WATCH;
	/*
	 * If a store accepts a waiting call and then becomes unresponsive, the
	 * call would hang for seconds after the store has recovered. While the
	 * store fails, calls fetch the available changes and do not wait.
	 */
	bool fetch = watch && (task->failing ||
			       task->overdue_revision > task->known_revision);
	guint wait_ms = fetch ? FETCH_WAIT_MS : watch_ms(task);
	char *path;
	struct aub_http_call_options options = {
		.method = "GET",
		.address = sync->address,
		.pool_name = aub_store_kind_name(task->kind),
		.timeout_ms = watch && !fetch ?
				      wait_ms + WATCH_TIMEOUT_MARGIN_MS :
				      AUB_STORE_CALL_TIMEOUT_MS,
		/* After a failure a pooled connection may be half-open. */
		.idle_max_us = task->failing ? 0 : CONNECTION_IDLE_US,
	};

	if (task->call || (watch && !fetch && !may_watch(task)))
		return;
	path = watch ? platform->watch_path(task->kind, task->revision,
					    wait_ms) :
		       platform->list_path(task->kind, task->next_page,
					   !task->consistent_listing);
	options.path = path;
	task->fetching = !watch || fetch;
	task->call_started_us = aub_timer_now(sync->options.timers);
	task->call = aub_http_call_new(sync->options.client, &options,
				       on_answer, task);
	g_free(path);
}

struct aub_store_sync *aub_store_sync_new(
	const struct aub_store_sync_options *options)
{
	struct aub_store_sync *sync = g_new0(struct aub_store_sync, 1);

	sync->options = *options;
	sync->address = g_strdup(options->address);
	for (guint i = 0; i < AUB_STORE_KINDS; i++) {
		struct aub_store_sync_task *task = &sync->tasks[i];

		task->sync = sync;
		task->kind = (enum aub_store_kind)i;
		task->retry_us = AUB_STORE_RETRY_MIN_US;
		task->relist_us = RELIST_MIN_US;
		task->cursors =
			g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
					      (GDestroyNotify)g_bytes_unref,
					      NULL);
		task->existing_names =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      g_free);
		task->listed_names =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      NULL);
		task->withheld_removals =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      NULL);
		if (is_followed(task))
			run_task(task);
	}
	return sync;
}

void aub_store_sync_free(struct aub_store_sync *sync)
{
	if (!sync)
		return;
	for (guint i = 0; i < AUB_STORE_KINDS; i++) {
		struct aub_store_sync_task *task = &sync->tasks[i];

		aub_http_call_cancel(task->call);
		aub_timer_cancel(sync->options.timers, task->timer);
		aub_timer_cancel(sync->options.timers, task->removal_timer);
		aub_timer_cancel(sync->options.timers, task->announced_timer);
		aub_timer_cancel(sync->options.timers, task->relist_timer);
		g_hash_table_unref(task->cursors);
		g_hash_table_unref(task->existing_names);
		g_hash_table_unref(task->listed_names);
		g_hash_table_unref(task->withheld_removals);
		g_clear_pointer(&task->next_page, g_bytes_unref);
	}
	aub_http_call_cancel(sync->registration_call);
	aub_timer_cancel(sync->options.timers, sync->registration_timer);
	g_free(sync->name);
	g_clear_pointer(&sync->record, g_bytes_unref);
	g_free(sync->address);
	g_free(sync);
}

void aub_store_sync_list_members(struct aub_store_sync *sync)
{
	struct aub_store_sync_task *task = &sync->tasks[AUB_STORE_MEMBERS];

	if (task->call || task->timer)
		return;
	/*
	 * A cached listing always suffices: heartbeats report which members
	 * exist.
	 */
	aub_store_relist(task, false);
	run_task(task);
}

/*
 * The store may no longer feed an open watch, for instance shortly before it
 * drops its history, while others have received a change. This process would
 * use the old configuration until the watch ends. An announced revision that is
 * not received in time is fetched and the watch is abandoned. Each revision
 * gets its own waiting time; otherwise changes about to be shared would be
 * fetched by the whole fleet.
 */
static void on_announced_overdue(void *context, gint64 now_us)
{
	struct aub_store_sync_task *task = context;
	gint64 retry_us = task->call_started_us + AUB_STORE_RETRY_MAX_US;

	task->announced_timer = 0;
	if (task->awaited_revision <= task->known_revision) {
		await_announced(task);
		return;
	}
	task->overdue_revision = task->awaited_revision;
	if (!task->listed || task->step != AUB_STORE_WATCH || task->fetching)
		return;
	if (task->timer && !task->failing)
		return;
	/* A retry that is due soon suffices; one that is far off does not. */
	if (task->timer && now_us < retry_us) {
		if (retry_us < task->timer_due_us)
			schedule_task(task, retry_us - now_us);
		return;
	}
	aub_timer_cancel(task->sync->options.timers, task->timer);
	task->timer = 0;
	aub_http_call_cancel(task->call);
	task->call = NULL;
	run_task(task);
}

static void await_announced(struct aub_store_sync_task *task)
{
	struct aub_timer_service *timers = task->sync->options.timers;

	if (task->announced_revision <= task->known_revision ||
	    task->announced_timer)
		return;
	task->awaited_revision = task->announced_revision;
	task->announced_timer =
		aub_timer_at(timers, "store changes",
			     aub_timer_now(timers) + SHARED_CHANGES_WAIT_US,
			     on_announced_overdue, task);
}

void aub_store_sync_announce(struct aub_store_sync *sync,
			     enum aub_store_kind kind, gint64 revision)
{
	struct aub_store_sync_task *task = &sync->tasks[kind];

	if (revision <= task->announced_revision)
		return;
	task->announced_revision = revision;
	await_announced(task);
}

void aub_store_sync_apply_shared(struct aub_store_sync *sync,
				 enum aub_store_kind kind, gint64 after,
				 gint64 until, const char *body, gsize length)
{
	struct aub_store_sync_task *task = &sync->tasks[kind];
	struct aub_store_page *page;

	if (!task->listed || task->step != AUB_STORE_WATCH ||
	    task->known_revision < after || task->known_revision >= until)
		return;
	page = sync->options.platform->decode_page(kind, body, length, NULL);
	if (!page)
		return;
	if (aub_store_apply_changes(task, page,
				    aub_timer_now(sync->options.timers)) ==
	    AUB_STORE_ANSWERED) {
		task->announced_revision = MAX(task->announced_revision, until);
		task->changed_revision = MAX(task->changed_revision, until);
		task->known_revision = MAX(task->known_revision, until);
		sync->options.batch_done(sync->options.context);
	} else {
		aub_store_log_outdated(task, page, "shared");
	}
	aub_store_page_free(page);
}

void aub_store_sync_check_watch_role(struct aub_store_sync *sync)
{
	for (guint i = 0; i < AUB_STORE_KINDS; i++) {
		struct aub_store_sync_task *task = &sync->tasks[i];

		if (is_followed(task) && !task->call && !task->timer &&
		    (!task->failing || is_recovery_probe(task)))
			run_task(task);
	}
}

gint64 aub_store_sync_known_revision(const struct aub_store_sync *sync,
				     enum aub_store_kind kind)
{
	return sync->tasks[kind].known_revision;
}

gint64 aub_store_sync_unavailable_us(const struct aub_store_sync *sync)
{
	gint64 now_us = aub_timer_now(sync->options.timers);
	gint64 longest = 0;

	for (guint i = 0; i < AUB_STORE_KINDS; i++) {
		const struct aub_store_sync_task *task = &sync->tasks[i];

		if (i != AUB_STORE_MEMBERS && task->failing)
			longest = MAX(longest, now_us - task->failing_since_us);
	}
	return longest;
}

gint64 aub_store_sync_answered_us(const struct aub_store_sync *sync,
				  enum aub_store_kind kind)
{
	return sync->tasks[kind].answered_us;
}

guint64 aub_store_sync_calls(const struct aub_store_sync *sync,
			     enum aub_store_kind kind,
			     enum aub_store_result result)
{
	return sync->results[kind][result];
}

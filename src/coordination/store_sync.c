/*
 * One task a kind: list, watch, and list anew when the watch has a gap.
 *
 * A watch is one call for as long as nothing happens, and each event ends
 * it: events that come together are collected by a short pause.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/store_sync_parts.h>

#include <string.h>

/*
 * A watch whose connection went silent is found out by its time limit at the
 * latest; other gateways' heartbeats tell sooner what it missed.
 */
#define WATCH_MS 4000
#define WATCH_SLACK_MS 500
#define FETCH_MS 1 /* what there is, at once */
#define PAUSE_US (250 * AUB_MS) /* collects events that come together */

/*
 * Failure: both of a zone's watchers ask for each change. Symptom: while
 * upstreams are replaced, most calls of the store tell what the other one has
 * just passed on. Enough: the second one asks a quarter as often, and as soon
 * as the first no longer hears the store it is the first.
 */
#define STANDBY_WATCH_MS 8000
#define STANDBY_PAUSE_US (1000 * AUB_MS)
/*
 * Whoever hears of a later revision waits this long for the changes
 * themselves: its zone's watchers may be in a pause while another zone's are
 * not.
 */
#define SHARE_US (700 * AUB_MS)
#define IDLE_US (20 * AUB_SECOND)

/* Orders are rare, and one that is heard of late loses some of its time. */
#define ORDERS_WATCH_MS 16000

#define RETRY_EACH_US (10 * AUB_MS) /* for each gateway of the fleet */
#define RETRY_LARGE_US (3000 * AUB_MS)

const char *aub_store_kind_name(enum aub_store_kind kind)
{
	static const char *const names[AUB_STORE_KINDS] = {
		[AUB_STORE_ROUTING] = "configuration",
		[AUB_STORE_UPSTREAMS] = "upstreams",
		[AUB_STORE_ZONES_OUT] = "zones-out",
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
	};

	return names[result];
}

/* How a call ended, as far as its head tells. */
enum aub_store_result aub_store_result_of(enum aub_exchange_end end,
					  const struct aub_http_head *head)
{
	if (end != AUB_EXCHANGE_WHOLE)
		return AUB_STORE_NO_ANSWER;
	if (head->status == HTTP_STATUS_GONE)
		return AUB_STORE_NO_HISTORY;
	return head->status / 100 == 2 ? AUB_STORE_ANSWERED : AUB_STORE_REFUSED;
}

void aub_store_count(struct aub_store_sync *sync, enum aub_store_kind kind,
		     enum aub_store_result result)
{
	sync->results[kind][result]++;
}

static void task_run(struct aub_store_task *task);

static void on_task_timer(void *context, gint64 now_us)
{
	struct aub_store_task *task = context;

	task->timer = 0;
	task_run(task);
}

static void task_later(struct aub_store_task *task, gint64 in_us)
{
	struct aub_timer_service *timers = task->sync->options.timers;

	aub_timer_cancel(timers, task->timer);
	task->timer =
		aub_timer_at(timers, "store", aub_timer_now(timers) + in_us,
			     on_task_timer, task);
}

static void log_store(const struct aub_store_task *task,
		      enum aub_log_event event, const char *why, gint64 age_us)
{
	aub_log_begin(event);
	aub_log_text("kind", aub_store_kind_name(task->kind));
	aub_log_text("why", why);
	aub_log_number("age_ms", age_us / AUB_MS);
	aub_log_number("revision", task->revision);
	aub_log_end();
}

/* While the store fails, one kind asks whether it is back: calls cost. */
static bool is_scout(const struct aub_store_task *task)
{
	for (guint i = 0; i < (guint)task->kind; i++)
		if (task->sync->tasks[i].failing)
			return false;
	return true;
}

/* The store is back: the kinds that waited for it ask again. */
static void wake_failed(struct aub_store_sync *sync)
{
	for (guint i = 0; i < AUB_STORE_KINDS; i++) {
		struct aub_store_task *task = &sync->tasks[i];

		if (task->failing && !task->call && !task->timer)
			task_later(task, 0);
	}
}

static void heard(struct aub_store_task *task, gint64 now_us)
{
	if (task->failing) {
		task->back_us = now_us;
		log_store(task, AUB_LOG_STORE_RECOVERED, "",
			  now_us - task->heard_us);
		task->failing = false;
		wake_failed(task->sync);
	}
	task->heard_us = now_us;
	task->retry_us = AUB_STORE_RETRY_US;
}

/*
 * Failure: the store fails, and each gateway asks once a second whether it is
 * back. Symptom: an outage costs calls by the fleet's size, and the store
 * returns under their load. Enough: the interval grows with the fleet, so far
 * that a gateway that was turned away is back before it counts as reachable.
 * A revision that others announce is asked for at once all the same.
 */
static gint64 retry_most_us(const struct aub_store_task *task)
{
	const struct aub_store_sync_options *options = &task->sync->options;
	gint64 us = options->fleet(options->context) * RETRY_EACH_US;

	return CLAMP(us, AUB_STORE_RETRY_MOST_US, RETRY_LARGE_US);
}

static void failed(struct aub_store_task *task, const char *why)
{
	gint64 now = aub_timer_now(task->sync->options.timers);

	if (!task->failing) {
		log_store(task, AUB_LOG_STORE_LOST, why, now - task->heard_us);
		task->failing_us = now;
	}
	task->failing = true;
	if (!is_scout(task))
		return;
	task_later(task,
		   task->retry_us + g_random_int_range(0, AUB_STORE_RETRY_US));
	task->retry_us = MIN(task->retry_us * 2, retry_most_us(task));
}

static void wait_for_changes(struct aub_store_task *task);

static enum aub_watch_duty duty(const struct aub_store_task *task)
{
	const struct aub_store_sync_options *options = &task->sync->options;

	return options->duty(options->context);
}

/* Changes that come together are collected before the next call. */
static void run_after_changes(struct aub_store_task *task, guint changes)
{
	bool behind = task->overdue > task->known;
	bool standby = duty(task) == AUB_WATCH_STANDBY;
	gint64 pause_us = standby && !behind ? STANDBY_PAUSE_US : PAUSE_US;

	wait_for_changes(task);
	task_later(task, changes || behind ? pause_us : 0);
}

static void take_page(struct aub_store_task *task, const char *body,
		      gsize length)
{
	const struct aub_store_sync_options *options = &task->sync->options;
	gint64 now = aub_timer_now(options->timers);
	GError *error = NULL;
	struct aub_store_page *page =
		options->platform->decode_page(task->kind, body, length,
					       &error);

	if (!page) {
		aub_store_count(task->sync, task->kind, AUB_STORE_UNREADABLE);
		failed(task, error->message);
		g_error_free(error);
		return;
	}
	aub_store_count(task->sync, task->kind, AUB_STORE_ANSWERED);
	heard(task, now);
	if (task->step == AUB_STORE_LIST) {
		aub_store_take_listing(task, page, now);
		task_run(task);
	} else {
		gint64 before = task->changed;

		aub_store_take_changes(task, page, now);
		if (page->records->len)
			options->share(task->kind, before, task->changed, body,
				       length, options->context);
		task->unproved = false;
		run_after_changes(task, page->records->len);
	}
	options->told(options->context);
	aub_store_page_free(page);
}

static void on_answer(enum aub_exchange_end end,
		      const struct aub_http_head *head, const char *body,
		      gsize length, void *context)
{
	struct aub_store_task *task = context;
	enum aub_store_result result = aub_store_result_of(end, head);

	task->call = NULL;
	task->fetching = false;
	if (result == AUB_STORE_ANSWERED) {
		take_page(task, body, length); /* counts it, too */
		return;
	}
	aub_store_count(task->sync, task->kind, result);
	if (result == AUB_STORE_NO_ANSWER) {
		failed(task,
		       end == AUB_EXCHANGE_TIMEOUT ? "timeout" : "connection");
	} else if (result == AUB_STORE_NO_HISTORY) {
		log_store(task, AUB_LOG_STORE_HISTORY_LOST, "", 0);
		aub_store_relist(task);
		task_run(task);
	} else {
		char *why = g_strdup_printf("status %u", head->status);

		failed(task, why);
		g_free(why);
	}
}

/* Members are read once; from then on heartbeats tell. */
static bool is_followed(const struct aub_store_task *task)
{
	return task->kind != AUB_STORE_MEMBERS &&
	       (task->kind != AUB_STORE_ROLLOUTS ||
		task->sync->options.takes_orders);
}

/* For orders one watcher a zone will do: the others' heartbeats tell, too. */
static bool may_watch(const struct aub_store_task *task)
{
	enum aub_watch_duty now = duty(task);

	if (task->kind == AUB_STORE_ROLLOUTS)
		return is_followed(task) && now == AUB_WATCH_FIRST;
	return is_followed(task) && now != AUB_WATCH_NONE;
}

static guint watch_ms(const struct aub_store_task *task)
{
	if (task->kind == AUB_STORE_ROLLOUTS)
		return ORDERS_WATCH_MS;
	return duty(task) == AUB_WATCH_STANDBY ? STANDBY_WATCH_MS : WATCH_MS;
}

static void task_run(struct aub_store_task *task)
{
	struct aub_store_sync *sync = task->sync;
	const struct aub_platform *platform = sync->options.platform;
	bool watch = task->step == AUB_STORE_WATCH;
	/*
	 * Failure: a call that waits is read by a store that then falls silent.
	 * Symptom: it hangs for seconds after the store is back. Enough: while
	 * the store fails, calls ask for what there is and wait for nothing.
	 */
	bool fetch = watch && (task->failing || task->overdue > task->known);
	guint wait_ms = fetch ? FETCH_MS : watch_ms(task);
	char *path;
	struct aub_http_call_options options = {
		.method = "GET",
		.address = sync->address,
		.peer = aub_store_kind_name(task->kind),
		.timeout_ms = watch && !fetch ? wait_ms + WATCH_SLACK_MS :
						AUB_STORE_CALL_MS,
		/* After a failure a kept connection may be a silent one. */
		.idle_us = task->failing ? 0 : IDLE_US,
	};

	if (task->call || (watch && !fetch && !may_watch(task)))
		return;
	path = watch ? platform->watch_path(task->kind, task->revision,
					    wait_ms) :
		       platform->list_path(task->kind, task->after,
					   !task->strict);
	options.path = path;
	task->fetching = !watch || fetch;
	task->called_us = aub_timer_now(sync->options.timers);
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
		struct aub_store_task *task = &sync->tasks[i];

		task->sync = sync;
		task->kind = (enum aub_store_kind)i;
		task->retry_us = AUB_STORE_RETRY_US;
		task->present = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, NULL);
		task->seen = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, NULL);
		task->gone = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, NULL);
		if (is_followed(task))
			task_run(task);
	}
	return sync;
}

void aub_store_sync_free(struct aub_store_sync *sync)
{
	if (!sync)
		return;
	for (guint i = 0; i < AUB_STORE_KINDS; i++) {
		struct aub_store_task *task = &sync->tasks[i];

		aub_http_call_cancel(task->call);
		aub_timer_cancel(sync->options.timers, task->timer);
		aub_timer_cancel(sync->options.timers, task->gone_timer);
		aub_timer_cancel(sync->options.timers, task->announced_timer);
		g_hash_table_unref(task->present);
		g_hash_table_unref(task->seen);
		g_hash_table_unref(task->gone);
		g_free(task->after);
	}
	aub_http_call_cancel(sync->enrol_call);
	aub_timer_cancel(sync->options.timers, sync->enrol_timer);
	g_free(sync->name);
	g_clear_pointer(&sync->record, g_bytes_unref);
	g_free(sync->address);
	g_free(sync);
}

void aub_store_sync_list_members(struct aub_store_sync *sync)
{
	struct aub_store_task *task = &sync->tasks[AUB_STORE_MEMBERS];

	if (task->call || task->timer)
		return;
	aub_store_relist(task);
	/* Old ones will do, again and again: heartbeats tell who is there. */
	task->strict = false;
	task_run(task);
}

/*
 * Failure: the store no longer feeds a watch that waits (it is about to drop
 * its history), and others have heard of a change. Symptom: this process goes
 * by the old configuration for as long as the watch waits. Enough: a revision
 * that has not come by itself is asked for, and the watch is given up. Each
 * has its own time to come, or changes that are about to be passed on would be
 * asked for by the whole fleet.
 */
static void on_announced(void *context, gint64 now_us)
{
	struct aub_store_task *task = context;

	task->announced_timer = 0;
	if (task->awaited <= task->known) {
		wait_for_changes(task);
		return;
	}
	task->overdue = task->awaited;
	if (!task->listed || task->step != AUB_STORE_WATCH || task->fetching)
		return;
	/* A retry that is due soon will do; one that is far off will not. */
	if (task->timer && (!task->failing ||
			    now_us - task->called_us < AUB_STORE_RETRY_MOST_US))
		return;
	aub_timer_cancel(task->sync->options.timers, task->timer);
	task->timer = 0;
	aub_http_call_cancel(task->call);
	task->call = NULL;
	task_run(task);
}

static void wait_for_changes(struct aub_store_task *task)
{
	struct aub_timer_service *timers = task->sync->options.timers;

	if (task->announced <= task->known || task->announced_timer)
		return;
	task->awaited = task->announced;
	task->announced_timer = aub_timer_at(timers, "store changes",
					     aub_timer_now(timers) + SHARE_US,
					     on_announced, task);
}

void aub_store_sync_announce(struct aub_store_sync *sync,
			     enum aub_store_kind kind, gint64 revision)
{
	struct aub_store_task *task = &sync->tasks[kind];

	if (revision <= task->announced)
		return;
	task->announced = revision;
	wait_for_changes(task);
}

void aub_store_sync_take(struct aub_store_sync *sync, enum aub_store_kind kind,
			 gint64 after, gint64 until, const char *body,
			 gsize length)
{
	struct aub_store_task *task = &sync->tasks[kind];
	struct aub_store_page *page;

	if (!task->listed || task->step != AUB_STORE_WATCH ||
	    task->known < after || task->known >= until)
		return;
	page = sync->options.platform->decode_page(kind, body, length, NULL);
	if (!page)
		return;
	task->announced = MAX(task->announced, until);
	aub_store_take_changes(task, page, aub_timer_now(sync->options.timers));
	task->changed = MAX(task->changed, until);
	task->known = MAX(task->known, until);
	aub_store_page_free(page);
	sync->options.told(sync->options.context);
}

void aub_store_sync_check(struct aub_store_sync *sync)
{
	for (guint i = 0; i < AUB_STORE_KINDS; i++) {
		struct aub_store_task *task = &sync->tasks[i];

		if (is_followed(task) && !task->call && !task->timer &&
		    (!task->failing || is_scout(task)))
			task_run(task);
	}
}

gint64 aub_store_sync_known(const struct aub_store_sync *sync,
			    enum aub_store_kind kind)
{
	return sync->tasks[kind].known;
}

gint64 aub_store_sync_lost_us(const struct aub_store_sync *sync)
{
	gint64 now = aub_timer_now(sync->options.timers);
	gint64 longest = 0;

	for (guint i = 0; i < AUB_STORE_KINDS; i++) {
		const struct aub_store_task *task = &sync->tasks[i];

		if (i != AUB_STORE_MEMBERS && task->failing)
			longest = MAX(longest, now - task->failing_us);
	}
	return longest;
}

gint64 aub_store_sync_heard_us(const struct aub_store_sync *sync,
			       enum aub_store_kind kind)
{
	return sync->tasks[kind].heard_us;
}

guint64 aub_store_sync_calls(const struct aub_store_sync *sync,
			     enum aub_store_kind kind,
			     enum aub_store_result result)
{
	return sync->results[kind][result];
}

/* Checks of this gateway's own links to the upstreams. */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/egress_monitor.h>

/* A health endpoint answers immediately; two round trips take 20 ms. */
#define CHECK_TIMEOUT_MS 150
/*
 * Links that flap would move the placer of a service at each turn, and each
 * move loses the placer's slot counts.
 */
#define DEMOTED_AFTER_US (1000 * AUB_MS)

struct aub_egress_monitor {
	struct aub_egress_monitor_options options;
	struct aub_egress egress;
	GPtrArray *checks; /* of struct check, in progress */
	guint timer;
	gint64 timer_due_us;
	gint64 down_end_us; /* when the links were down last */
	bool in_doubt; /* failures are not explained yet */
	struct aub_egress_counts counts;
};

struct check {
	struct aub_egress_monitor *monitor;
	struct aub_http_call *call;
	struct aub_check_target target;
	bool in_round;
};

void aub_check_target_clear(struct aub_check_target *target)
{
	g_free(target->service);
	g_free(target->upstream);
	g_free(target->address);
	g_free(target->path);
	*target = (struct aub_check_target){ 0 };
}

static void check_free(struct check *check)
{
	g_ptr_array_remove_fast(check->monitor->checks, check);
	aub_check_target_clear(&check->target);
	g_free(check);
}

static void arm_timer(struct aub_egress_monitor *monitor);

static void log_state(const struct aub_egress_monitor *monitor,
		      enum aub_egress_state was, gint64 now_us)
{
	const struct aub_egress *egress = &monitor->egress;

	aub_log_begin(AUB_LOG_EGRESS);
	aub_log_text("was", aub_egress_state_name(was));
	aub_log_text("now", aub_egress_state_name(egress->state));
	aub_log_number("failed", g_hash_table_size(egress->failed));
	aub_log_number("outstanding", egress->outstanding);
	aub_log_number("heard_ms",
		       egress->heard_us ? (now_us - egress->heard_us) / AUB_MS :
					  -1);
	aub_log_end();
}

/* Reports what has changed since the state was `was`. */
static void report(struct aub_egress_monitor *monitor,
		   enum aub_egress_state was, gint64 now_us)
{
	const struct aub_egress_monitor_options *options = &monitor->options;
	const struct aub_egress *egress = &monitor->egress;

	if (egress->state != was) {
		log_state(monitor, was, now_us);
		if (was == AUB_EGRESS_DOWN)
			monitor->down_end_us = now_us;
		monitor->counts.outages += egress->state == AUB_EGRESS_DOWN;
		options->on_state(egress->state, options->context);
	}
	if (egress->state == AUB_EGRESS_DOWN) {
		monitor->in_doubt = false;
	} else if (monitor->in_doubt && !aub_egress_is_in_doubt(egress)) {
		monitor->in_doubt = false;
		options->on_links_cleared(options->context);
	}
	arm_timer(monitor);
}

static void on_checked(enum aub_exchange_result result,
		       const struct aub_http_head *head, const char *body,
		       gsize length, void *context)
{
	struct check *check = context;
	struct aub_egress_monitor *monitor = check->monitor;
	enum aub_egress_state was = monitor->egress.state;
	gint64 now = aub_timer_now(monitor->options.timers);

	if (head)
		monitor->options.on_check_answer(&check->target, head,
						 monitor->options.context);
	aub_egress_on_check_ended(&monitor->egress, check->target.upstream,
				  head != NULL, check->in_round, now);
	check_free(check);
	report(monitor, was, now);
}

/* Takes over the strings of `target`. */
static void start_check(struct aub_egress_monitor *monitor,
			const struct aub_check_target *target, bool in_round)
{
	struct check *check = g_new0(struct check, 1);
	/* An open connection may live on while new ones fail. */
	const struct aub_http_call_options options = {
		.method = "GET",
		.address = target->address,
		.pool_name = "check",
		.path = target->path,
		.headers = "Connection: close\r\n",
		.timeout_ms = CHECK_TIMEOUT_MS,
		.body_max_bytes = AUB_HEALTH_BODY_MAX_BYTES,
		.idle_max_us = 0,
	};

	check->monitor = monitor;
	check->target = *target;
	check->in_round = in_round;
	g_ptr_array_add(monitor->checks, check);
	monitor->counts.checks++;
	check->call = aub_http_call_new(monitor->options.client, &options,
					on_checked, check);
}

static void start_round(struct aub_egress_monitor *monitor, guint wanted,
			gint64 now_us)
{
	const struct aub_egress_monitor_options *options = &monitor->options;
	struct aub_check_target *targets =
		g_new0(struct aub_check_target, wanted);
	GPtrArray *used = g_ptr_array_new();

	while (used->len < wanted &&
	       options->pick_target(NULL, used, &targets[used->len],
				    options->context))
		g_ptr_array_add(used, targets[used->len].upstream);
	aub_egress_begin_round(&monitor->egress, used->len, now_us);
	for (guint i = 0; i < used->len; i++)
		start_check(monitor, &targets[i], true);
	g_ptr_array_unref(used);
	g_free(targets);
}

static void start_rechecks(struct aub_egress_monitor *monitor, gint64 now_us)
{
	const struct aub_egress_monitor_options *options = &monitor->options;
	struct aub_check_target target;
	const char *id;

	while ((id = aub_egress_recheck_due(&monitor->egress, now_us)))
		if (options->pick_target(id, NULL, &target, options->context))
			start_check(monitor, &target, false);
}

/* Starts the checks that are due. */
static void advance(struct aub_egress_monitor *monitor)
{
	gint64 now = aub_timer_now(monitor->options.timers);
	enum aub_egress_state was = monitor->egress.state;
	guint wanted = aub_egress_checks_due(&monitor->egress, now);

	if (wanted)
		start_round(monitor, wanted, now);
	start_rechecks(monitor, now);
	report(monitor, was, now);
}

static void on_timer(void *context, gint64 now_us)
{
	struct aub_egress_monitor *monitor = context;

	monitor->timer = 0;
	advance(monitor);
}

/*
 * The time that is due moves with each answer. A timer that expires early is
 * cheaper than one that is moved as often.
 */
static void arm_timer(struct aub_egress_monitor *monitor)
{
	gint64 due_us = aub_egress_next_due_us(&monitor->egress);

	if (due_us == G_MAXINT64 ||
	    (monitor->timer && monitor->timer_due_us <= due_us))
		return;
	aub_timer_cancel(monitor->options.timers, monitor->timer);
	monitor->timer_due_us = due_us;
	monitor->timer = aub_timer_at(monitor->options.timers, "egress", due_us,
				      on_timer, monitor);
}

struct aub_egress_monitor *aub_egress_monitor_new(
	const struct aub_egress_monitor_options *options)
{
	struct aub_egress_monitor *monitor =
		g_new0(struct aub_egress_monitor, 1);

	monitor->options = *options;
	monitor->checks = g_ptr_array_new();
	aub_egress_init(&monitor->egress);
	return monitor;
}

void aub_egress_monitor_free(struct aub_egress_monitor *monitor)
{
	if (!monitor)
		return;
	aub_timer_cancel(monitor->options.timers, monitor->timer);
	/* Freeing a check moves the last one into its place. */
	for (guint i = monitor->checks->len; i > 0; i--) {
		struct check *check = g_ptr_array_index(monitor->checks, i - 1);

		aub_http_call_cancel(check->call);
		check_free(check);
	}
	g_ptr_array_unref(monitor->checks);
	aub_egress_clear(&monitor->egress);
	g_free(monitor);
}

const struct aub_egress *aub_egress_monitor_state(
	const struct aub_egress_monitor *monitor)
{
	return &monitor->egress;
}

bool aub_egress_monitor_is_demoted(const struct aub_egress_monitor *monitor)
{
	gint64 now = aub_timer_now(monitor->options.timers);

	return monitor->egress.state == AUB_EGRESS_DOWN ||
	       (monitor->down_end_us &&
		now - monitor->down_end_us < DEMOTED_AFTER_US);
}

bool aub_egress_monitor_needs_relay(const struct aub_egress_monitor *monitor,
				    const char *upstream)
{
	return aub_egress_needs_relay(&monitor->egress, upstream,
				      aub_timer_now(monitor->options.timers));
}

void aub_egress_monitor_on_sent(struct aub_egress_monitor *monitor)
{
	aub_egress_on_sent(&monitor->egress,
			   aub_timer_now(monitor->options.timers));
	arm_timer(monitor);
}

void aub_egress_monitor_on_ended(struct aub_egress_monitor *monitor)
{
	aub_egress_on_ended(&monitor->egress);
}

void aub_egress_monitor_on_answer(struct aub_egress_monitor *monitor)
{
	gint64 now = aub_timer_now(monitor->options.timers);

	aub_egress_on_answer(&monitor->egress, now);
	if (monitor->in_doubt)
		report(monitor, monitor->egress.state, now);
}

void aub_egress_monitor_on_failure(struct aub_egress_monitor *monitor,
				   const char *upstream,
				   enum aub_egress_failure failure)
{
	aub_egress_on_failure(&monitor->egress, upstream, failure,
			      aub_timer_now(monitor->options.timers));
	monitor->in_doubt = monitor->egress.state != AUB_EGRESS_DOWN;
	/* Not here: a change of state may end the request that has failed. */
	arm_timer(monitor);
}

const struct aub_egress_counts *aub_egress_monitor_counts(
	const struct aub_egress_monitor *monitor)
{
	return &monitor->counts;
}

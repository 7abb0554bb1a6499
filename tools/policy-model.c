/*
 * Simulates the dispatcher in virtual time against modelled upstreams of one
 * service, in order to choose constants. It models queueing only, without
 * network and processes, and makes no statement about a real fleet; fleet-bench
 * measures real processes.
 *
 * `limit` is an ideal FIFO queue in front of all slots: the first request takes
 * the slot that becomes free first. The baseline policies run as `entries`
 * independent dispatchers, each with its own counters; upstreams queue requests
 * beyond their slots.
 */
#include <auburnstile/dispatch.h>
#include <auburnstile/timer.h>

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define MEAN_SERVICE_US 20000.0
#define SLOW_FACTOR 5
#define SLOW_PERIOD_US (2 * AUB_SECOND)
#define SLOW_DURATION_US (400 * AUB_MS)
#define DEADLINE_US (5 * AUB_SECOND)
#define WARM_UP_US (2 * AUB_SECOND) /* excluded from the results */
#define POLICY_IDEAL_QUEUE (-1)

struct model_options {
	int policy;
	guint upstreams;
	guint slots; /* of each upstream */
	guint entries; /* number of dispatchers; for baselines */
	double load; /* offered load as a share of all slots */
	double sigma; /* of the lognormal service time */
	guint hedge_percent;
	gint64 duration_us;
	guint32 seed;
	bool slow; /* slows down one upstream at a time */
};

enum event_type {
	EVENT_ARRIVAL,
	EVENT_JOB_DONE,
	EVENT_TIMER,
	EVENT_PROBE_DONE
};

struct event {
	gint64 at_us;
	/* Breaks ties: events at the same time run in order of creation. */
	guint64 sequence;
	enum event_type type;
	guint entry;
	struct job *job;
	guint16 upstream;
};

struct job {
	guint entry;
	guint64 request;
	guint32 attempt;
	guint16 upstream;
	gint64 started_us; /* -1 while queued at the upstream */
	bool cancelled;
	struct event *done_event; /* NULL unless running */
};

struct model_upstream {
	guint busy; /* number of slots in use */
	GQueue waiting; /* of struct job, borrowed */
};

struct model {
	struct model_options options;
	GRand *arrivals;
	GRand *services;
	GSequence *events;
	guint64 sequence;
	gint64 now_us;
	struct aub_dispatcher **entries;
	/* Time of the pending timer event of each entry. */
	gint64 *wake_us;
	struct model_upstream *upstreams;
	GHashTable *jobs; /* struct job, owned */
	/* Request id to time of arrival, owned. */
	GHashTable *arrived;
	GArray *times; /* latencies, gint64 in us */
	guint64 next_request;
	gint64 busy_us; /* total service time at the upstreams */
	guint64 offered;
	guint64 refused;
};

static gint compare_events(gconstpointer a, gconstpointer b, gpointer context)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static struct event *schedule(struct model *model, gint64 at_us,
			      enum event_type type, guint entry,
			      struct job *job)
{
	struct event *event = g_new0(struct event, 1);

	event->at_us = at_us;
	event->sequence = model->sequence++;
	event->type = type;
	event->entry = entry;
	event->job = job;
	g_sequence_insert_sorted(model->events, event, compare_events, NULL);
	return event;
}

static double draw_standard_normal(GRand *random)
{
	double uniform = 1.0 - g_rand_double(random);

	return sqrt(-2 * log(uniform)) * cos(2 * G_PI * g_rand_double(random));
}

/* A different upstream is slow in each period. */
static bool is_slow(const struct model *model, guint16 upstream)
{
	gint64 period = model->now_us / SLOW_PERIOD_US;

	return model->options.slow &&
	       model->now_us % SLOW_PERIOD_US < SLOW_DURATION_US &&
	       period % model->options.upstreams == upstream;
}

static gint64 draw_service_time_us(struct model *model, guint16 upstream)
{
	double sigma = model->options.sigma;
	double mu = log(MEAN_SERVICE_US) - sigma * sigma / 2;
	double service_us =
		exp(mu + sigma * draw_standard_normal(model->services));

	return (gint64)(is_slow(model, upstream) ? service_us * SLOW_FACTOR :
						   service_us) +
	       1;
}

static void job_start(struct model *model, struct job *job)
{
	gint64 service_us = draw_service_time_us(model, job->upstream);

	model->upstreams[job->upstream].busy++;
	job->started_us = model->now_us;
	job->done_event = schedule(model, model->now_us + service_us,
				   EVENT_JOB_DONE, job->entry, job);
}

static void job_free_slot(struct model *model, struct job *job)
{
	struct model_upstream *upstream = &model->upstreams[job->upstream];
	struct job *next;

	model->busy_us += model->now_us - job->started_us;
	upstream->busy--;
	next = g_queue_pop_head(&upstream->waiting);
	if (next)
		job_start(model, next);
}

static void job_send(struct model *model, guint entry,
		     const struct aub_action *action)
{
	struct model_upstream *upstream = &model->upstreams[action->upstream];
	struct job *job = g_new0(struct job, 1);

	job->entry = entry;
	job->request = action->request;
	job->attempt = action->attempt;
	job->upstream = action->upstream;
	job->started_us = -1;
	g_hash_table_add(model->jobs, job);
	if (upstream->busy < model->options.slots)
		job_start(model, job);
	else
		g_queue_push_tail(&upstream->waiting, job);
}

static struct job *job_find(struct model *model,
			    const struct aub_action *action)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, model->jobs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct job *job = key;

		if (job->request == action->request &&
		    job->attempt == action->attempt)
			return job;
	}
	return NULL;
}

static void report_attempt(struct model *model, struct job *job,
			   enum aub_attempt_result result)
{
	struct aub_upstream_signals signals = { .boot_id = 1 };

	aub_dispatcher_attempt_done(model->entries[job->entry], job->request,
				    job->attempt, result, &signals,
				    model->now_us);
	g_hash_table_remove(model->jobs, job);
}

static void job_cancel(struct model *model, const struct aub_action *action)
{
	struct job *job = job_find(model, action);

	if (!job)
		return;
	if (job->done_event) {
		job->done_event->job = NULL;
		job_free_slot(model, job);
	} else {
		g_queue_remove(&model->upstreams[job->upstream].waiting, job);
	}
	report_attempt(model, job, AUB_ATTEMPT_CANCELLED);
}

static void record_outcome(struct model *model, const struct aub_action *action)
{
	gint64 *arrived = g_hash_table_lookup(model->arrived, &action->request);
	gint64 latency_us = model->now_us - *arrived;

	if (*arrived >= WARM_UP_US && action->type == AUB_ACTION_DELIVER)
		g_array_append_val(model->times, latency_us);
	else if (*arrived >= WARM_UP_US)
		model->refused++;
	g_hash_table_remove(model->arrived, &action->request);
}

static void apply_actions(struct model *model, guint entry)
{
	struct aub_dispatcher *dispatcher = model->entries[entry];
	struct aub_action action;
	gint64 wake_us;

	while (aub_dispatcher_next_action(dispatcher, &action)) {
		switch (action.type) {
		case AUB_ACTION_SEND:
			job_send(model, entry, &action);
			break;
		case AUB_ACTION_CANCEL:
			job_cancel(model, &action);
			break;
		case AUB_ACTION_PROBE:
			schedule(model, model->now_us + AUB_MS,
				 EVENT_PROBE_DONE, entry, NULL)
				->upstream = action.upstream;
			break;
		default:
			record_outcome(model, &action);
			break;
		}
	}
	wake_us = aub_dispatcher_next_wakeup_us(dispatcher);
	if (wake_us < model->wake_us[entry]) {
		model->wake_us[entry] = wake_us;
		schedule(model, MAX(wake_us, model->now_us + 1), EVENT_TIMER,
			 entry, NULL);
	}
}

static void on_arrival(struct model *model)
{
	double rate = model->options.load * model->options.upstreams *
		      model->options.slots / MEAN_SERVICE_US;
	double gap = -log(1.0 - g_rand_double(model->arrivals)) / rate;
	guint entry =
		g_rand_int_range(model->arrivals, 0, model->options.entries);
	struct aub_dispatch_request request = {
		.id = model->next_request++,
		.deadline_us = model->now_us + DEADLINE_US,
		.retry_budget = 100,
	};
	/* The time of arrival, followed by the request id as the key. */
	gint64 *arrival = g_new(gint64, 2);

	if (model->options.policy == AUB_POLICY_AUBURNSTILE)
		entry = 0;
	if (model->now_us + (gint64)gap < model->options.duration_us)
		schedule(model, model->now_us + (gint64)gap, EVENT_ARRIVAL, 0,
			 NULL);
	arrival[0] = model->now_us;
	arrival[1] = (gint64)request.id;
	if (model->now_us >= WARM_UP_US)
		model->offered++;
	g_hash_table_insert(model->arrived, &arrival[1], arrival);
	aub_dispatcher_submit(model->entries[entry], &request, model->now_us);
	apply_actions(model, entry);
}

static void on_probe_done(struct model *model, const struct event *event)
{
	struct aub_upstream_signals signals = { .boot_id = 1 };
	const struct model_upstream *upstream =
		&model->upstreams[event->upstream];

	aub_dispatcher_probe_done(model->entries[event->entry], event->upstream,
				  true, &signals,
				  upstream->busy + upstream->waiting.length,
				  model->now_us);
	apply_actions(model, event->entry);
}

static void on_event(struct model *model, const struct event *event)
{
	struct job *job = event->job;

	switch (event->type) {
	case EVENT_ARRIVAL:
		on_arrival(model);
		break;
	case EVENT_JOB_DONE:
		if (!job)
			break;
		job_free_slot(model, job);
		report_attempt(model, job, AUB_ATTEMPT_ANSWERED);
		apply_actions(model, event->entry);
		break;
	case EVENT_PROBE_DONE:
		on_probe_done(model, event);
		break;
	default:
		model->wake_us[event->entry] = G_MAXINT64;
		aub_dispatcher_tick(model->entries[event->entry],
				    model->now_us);
		apply_actions(model, event->entry);
		break;
	}
}

static struct aub_inventory *make_inventory(const struct model_options *options)
{
	GString *text = g_string_new("version = 1\n[[zone]]\nname = \"a\"\n"
				     "region = \"r\"\nvms = [\"v\"]\n");
	struct aub_inventory *inventory;
	GError *error = NULL;

	g_string_append_printf(text,
			       "[[service]]\nname = \"s\"\npath = \"/\"\n"
			       "slots = %u\nqueue_limit = 1000\n"
			       "hedge_percent = %u\nprobe_budget_us = %d\n"
			       "probe_cost_us = 1000\nupstreams = [\n",
			       options->slots, options->hedge_percent,
			       options->policy == AUB_POLICY_LEAST_REPORTED ?
				       1000000 :
				       10000);
	for (guint i = 0; i < options->upstreams; i++)
		g_string_append_printf(text,
				       "{ name = \"u%u\", vm = \"v\", "
				       "address = \"127.0.0.1:%u\" },\n",
				       i, 20000 + i);
	g_string_append(text, "]\n");
	inventory = aub_inventory_parse(text->str, text->len, "model", &error);
	if (!inventory)
		g_error("%s", error->message);
	g_string_free(text, TRUE);
	return inventory;
}

static void run_dispatchers(struct model *model)
{
	struct aub_inventory *inventory = make_inventory(&model->options);
	struct aub_dispatcher_options dispatcher_options = {
		.policy = (enum aub_policy)model->options.policy,
	};

	for (guint i = 0; i < model->options.entries; i++) {
		dispatcher_options.seed = model->options.seed * 100 + i + 1;
		model->entries[i] = aub_dispatcher_new(&dispatcher_options);
		model->wake_us[i] = G_MAXINT64;
		aub_dispatcher_configure(model->entries[i], inventory, 0, 0);
		aub_dispatcher_set_role(model->entries[i], AUB_DISPATCH_OWNER,
					0, 0);
	}
	aub_inventory_unref(inventory);
	schedule(model, 1, EVENT_ARRIVAL, 0, NULL);
	while (g_sequence_get_length(model->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(model->events);
		struct event *event = g_sequence_get(first);

		if (event->type == EVENT_TIMER &&
		    event->at_us > model->options.duration_us + DEADLINE_US)
			break;
		g_sequence_remove(first);
		model->now_us = event->at_us;
		on_event(model, event);
		g_free(event);
	}
	for (guint i = 0; i < model->options.entries; i++)
		aub_dispatcher_free(model->entries[i]);
}

/*
 * Simulates an ideal queue: first come, first served, on the slot that becomes
 * free first.
 */
static void run_ideal_queue(struct model *model)
{
	guint slots = model->options.upstreams * model->options.slots;
	gint64 *free_us = g_new0(gint64, slots);
	double rate = model->options.load * slots / MEAN_SERVICE_US;
	double arrival_us = 1;

	while (arrival_us < (double)model->options.duration_us) {
		guint earliest = 0;
		gint64 arrived = (gint64)arrival_us;
		gint64 duration_us;

		for (guint i = 1; i < slots; i++)
			if (MAX(free_us[i], arrived) <
			    MAX(free_us[earliest], arrived))
				earliest = i;
		model->now_us = MAX(free_us[earliest], arrived);
		duration_us = draw_service_time_us(
			model, (guint16)(earliest / model->options.slots));
		model->busy_us += duration_us;
		free_us[earliest] = model->now_us + duration_us;
		duration_us = free_us[earliest] - arrived;
		if (arrived >= WARM_UP_US) {
			model->offered++;
			g_array_append_val(model->times, duration_us);
		}
		arrival_us -= log(1.0 - g_rand_double(model->arrivals)) / rate;
		g_rand_int_range(model->arrivals, 0, model->options.entries);
	}
	g_free(free_us);
}

static int compare_times(const void *a, const void *b)
{
	gint64 x = *(const gint64 *)a;
	gint64 y = *(const gint64 *)b;

	return x < y ? -1 : x > y;
}

static double quantile_ms(const GArray *times, double share)
{
	guint index = (guint)(share * (times->len - 1));

	return times->len ? g_array_index(times, gint64, index) / 1000.0 : 0;
}

static void print_row(struct model *model)
{
	const struct model_options *options = &model->options;
	const char *name =
		options->policy == POLICY_IDEAL_QUEUE ?
			"limit" :
			aub_policy_name((enum aub_policy)options->policy);

	qsort(model->times->data, model->times->len, sizeof(gint64),
	      compare_times);
	printf("%s\t%u\t%.2f\t%u\t%u\t%.1f\t%.1f\t%.1f\t%" G_GUINT64_FORMAT
	       "\t%.4f\n",
	       name, options->slots, options->load, options->hedge_percent,
	       options->seed, quantile_ms(model->times, 0.5),
	       quantile_ms(model->times, 0.99),
	       quantile_ms(model->times, 0.999), model->refused,
	       (double)model->busy_us / (double)MAX(model->times->len, 1));
}

static void run_model(const struct model_options *options)
{
	struct model model = { .options = *options };

	model.arrivals = g_rand_new_with_seed(options->seed);
	model.services = g_rand_new_with_seed(options->seed + 1000);
	model.events = g_sequence_new(NULL);
	model.entries = g_new0(struct aub_dispatcher *, options->entries);
	model.wake_us = g_new0(gint64, options->entries);
	model.upstreams = g_new0(struct model_upstream, options->upstreams);
	model.jobs = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	model.arrived = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	model.times = g_array_new(FALSE, FALSE, sizeof(gint64));
	model.next_request = 1;
	if (options->policy == POLICY_IDEAL_QUEUE)
		run_ideal_queue(&model);
	else
		run_dispatchers(&model);
	print_row(&model);
	while (g_sequence_get_length(model.events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(model.events);

		g_free(g_sequence_get(first));
		g_sequence_remove(first);
	}
	g_sequence_free(model.events);
	g_hash_table_unref(model.jobs);
	g_hash_table_unref(model.arrived);
	g_array_free(model.times, TRUE);
	g_free(model.entries);
	g_free(model.wake_us);
	g_free(model.upstreams);
	g_rand_free(model.arrivals);
	g_rand_free(model.services);
}

static void usage(void)
{
	fputs("usage: policy-model [POLICY|limit|all] [SECONDS] [SEEDS]\n"
	      "a row per run: policy slots load hedge seed p50 p99 p999 (ms) "
	      "refused work (us / call)\n",
	      stderr);
	exit(2);
}

int main(int argc, char **argv)
{
	static const double loads[] = { 0.5, 0.7, 0.85 };
	const char *name = argc > 1 ? argv[1] : "all";
	double seconds = argc > 2 ? g_ascii_strtod(argv[2], NULL) : 60;
	guint seeds = argc > 3 ? (guint)strtoul(argv[3], NULL, 10) : 1;
	bool all = g_str_equal(name, "all");
	bool limit = all || g_str_equal(name, "limit");

	if (!limit && aub_policy_parse(name) < 0)
		usage();
	for (guint i = 0; i < 3 * 2 * seeds; i++) {
		struct model_options options = {
			.slots = i % 2 ? 6 : 2,
			.upstreams = i % 2 ? 14 : 12,
			.entries = 17,
			.load = loads[i / 2 % 3],
			.sigma = 0.5,
			.duration_us = (gint64)(seconds * 1e6),
			.seed = i / 6 + 1,
			.slow = true,
		};

		for (int policy = POLICY_IDEAL_QUEUE;
		     policy <= AUB_POLICY_TWO_CHOICES; policy++) {
			bool is_selected =
				policy == POLICY_IDEAL_QUEUE ?
					limit :
					policy == aub_policy_parse(name);

			options.policy = policy;
			options.hedge_percent = 0;
			if (all || is_selected)
				run_model(&options);
			options.hedge_percent = 3;
			if (policy == AUB_POLICY_AUBURNSTILE &&
			    (all || is_selected))
				run_model(&options);
		}
	}
	return 0;
}

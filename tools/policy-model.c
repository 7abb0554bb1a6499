/*
 * The dispatcher in virtual time against modelled upstreams: one service, to
 * choose constants by. Queueing alone; no network, no processes, no claim
 * about a fleet. Figures for users come from the bench with real processes.
 *
 * `limit` is one perfect queue over all slots: the first request takes the
 * first slot that is free, whichever it is. Baselines run as `entries`
 * dispatchers, each with its own counts; upstreams queue what they get.
 */
#include <auburnstile/dispatch.h>
#include <auburnstile/timer.h>

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define MEAN_US 20000.0
#define SLOW_FACTOR 5
#define SLOW_EVERY_US (2 * AUB_SECOND)
#define SLOW_US (400 * AUB_MS)
#define DEADLINE_US (5 * AUB_SECOND)
#define WARM_UP_US (2 * AUB_SECOND) /* not measured */
#define POLICY_LIMIT (-1)

struct model_options {
	int policy;
	guint upstreams;
	guint slots;
	guint entries; /* of the baselines */
	double load; /* share of all slots */
	double sigma;
	guint hedge_percent;
	gint64 length_us;
	guint32 seed;
	bool slow; /* one upstream at a time turns slow */
};

enum event_type { EVENT_ARRIVAL, EVENT_DONE, EVENT_WAKE, EVENT_PROBED };

struct event {
	gint64 at_us;
	guint64 order; /* ties: first made, first served */
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
	gint64 started_us; /* -1: waits at its upstream */
	bool cancelled;
	struct event *end; /* while it runs */
};

struct model_upstream {
	guint busy;
	GQueue waiting; /* of struct job */
};

struct model {
	struct model_options options;
	GRand *arrivals;
	GRand *services;
	GSequence *events;
	guint64 order;
	gint64 now_us;
	struct aub_dispatcher **entries;
	gint64 *wake_us; /* of each entry's pending wake event */
	struct model_upstream *upstreams;
	GHashTable *jobs; /* struct job, owned */
	GHashTable *arrived; /* request -> moment, owned */
	GArray *times; /* of gint64: answered after */
	guint64 next_request;
	gint64 work_us; /* done by upstreams */
	guint64 offered;
	guint64 refused;
};

static gint compare_events(gconstpointer a, gconstpointer b, gpointer context)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static struct event *schedule(struct model *m, gint64 at_us,
			      enum event_type type, guint entry,
			      struct job *job)
{
	struct event *event = g_new0(struct event, 1);

	event->at_us = at_us;
	event->order = m->order++;
	event->type = type;
	event->entry = entry;
	event->job = job;
	g_sequence_insert_sorted(m->events, event, compare_events, NULL);
	return event;
}

static double normal(GRand *random)
{
	double u = 1.0 - g_rand_double(random);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(random));
}

/* Each period another upstream is the slow one. */
static bool is_slow(const struct model *m, guint16 upstream)
{
	gint64 period = m->now_us / SLOW_EVERY_US;

	return m->options.slow && m->now_us % SLOW_EVERY_US < SLOW_US &&
	       period % m->options.upstreams == upstream;
}

static gint64 service_us(struct model *m, guint16 upstream)
{
	double sigma = m->options.sigma;
	double mu = log(MEAN_US) - sigma * sigma / 2;
	double took = exp(mu + sigma * normal(m->services));

	return (gint64)(is_slow(m, upstream) ? took * SLOW_FACTOR : took) + 1;
}

static void job_start(struct model *m, struct job *job)
{
	gint64 took_us = service_us(m, job->upstream);

	m->upstreams[job->upstream].busy++;
	job->started_us = m->now_us;
	job->end =
		schedule(m, m->now_us + took_us, EVENT_DONE, job->entry, job);
}

static void job_release(struct model *m, struct job *job)
{
	struct model_upstream *u = &m->upstreams[job->upstream];
	struct job *next;

	m->work_us += m->now_us - job->started_us;
	u->busy--;
	next = g_queue_pop_head(&u->waiting);
	if (next)
		job_start(m, next);
}

static void job_send(struct model *m, guint entry,
		     const struct aub_action *action)
{
	struct model_upstream *u = &m->upstreams[action->upstream];
	struct job *job = g_new0(struct job, 1);

	job->entry = entry;
	job->request = action->request;
	job->attempt = action->attempt;
	job->upstream = action->upstream;
	job->started_us = -1;
	g_hash_table_add(m->jobs, job);
	if (u->busy < m->options.slots)
		job_start(m, job);
	else
		g_queue_push_tail(&u->waiting, job);
}

static struct job *job_find(struct model *m, const struct aub_action *action)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, m->jobs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct job *job = key;

		if (job->request == action->request &&
		    job->attempt == action->attempt)
			return job;
	}
	return NULL;
}

static void report(struct model *m, struct job *job,
		   enum aub_attempt_result result)
{
	struct aub_upstream_signals signs = { .boot_id = 1 };

	aub_dispatcher_attempt_done(m->entries[job->entry], job->request,
				    job->attempt, result, &signs, m->now_us);
	g_hash_table_remove(m->jobs, job);
}

static void job_cancel(struct model *m, const struct aub_action *action)
{
	struct job *job = job_find(m, action);

	if (!job)
		return;
	if (job->end) {
		job->end->job = NULL;
		job_release(m, job);
	} else {
		g_queue_remove(&m->upstreams[job->upstream].waiting, job);
	}
	report(m, job, AUB_ATTEMPT_CANCELLED);
}

static void note_final(struct model *m, const struct aub_action *action)
{
	gint64 *arrived = g_hash_table_lookup(m->arrived, &action->request);
	gint64 took = m->now_us - *arrived;

	if (*arrived >= WARM_UP_US && action->type == AUB_ACTION_DELIVER)
		g_array_append_val(m->times, took);
	else if (*arrived >= WARM_UP_US)
		m->refused++;
	g_hash_table_remove(m->arrived, &action->request);
}

static void settle(struct model *m, guint entry)
{
	struct aub_dispatcher *d = m->entries[entry];
	struct aub_action action;
	gint64 wake_us;

	while (aub_dispatcher_next_action(d, &action)) {
		switch (action.type) {
		case AUB_ACTION_SEND:
			job_send(m, entry, &action);
			break;
		case AUB_ACTION_CANCEL:
			job_cancel(m, &action);
			break;
		case AUB_ACTION_PROBE:
			schedule(m, m->now_us + AUB_MS, EVENT_PROBED, entry,
				 NULL)
				->upstream = action.upstream;
			break;
		default:
			note_final(m, &action);
			break;
		}
	}
	wake_us = aub_dispatcher_next_wakeup_us(d);
	if (wake_us < m->wake_us[entry]) {
		m->wake_us[entry] = wake_us;
		schedule(m, MAX(wake_us, m->now_us + 1), EVENT_WAKE, entry,
			 NULL);
	}
}

static void on_arrival(struct model *m)
{
	double rate = m->options.load * m->options.upstreams *
		      m->options.slots / MEAN_US;
	double gap = -log(1.0 - g_rand_double(m->arrivals)) / rate;
	guint entry = g_rand_int_range(m->arrivals, 0, m->options.entries);
	struct aub_dispatch_request request = {
		.id = m->next_request++,
		.deadline_us = m->now_us + DEADLINE_US,
		.retry_budget = 100,
	};
	gint64 *moment = g_new(gint64, 2);

	if (m->options.policy == AUB_POLICY_AUBURNSTILE)
		entry = 0;
	if (m->now_us + (gint64)gap < m->options.length_us)
		schedule(m, m->now_us + (gint64)gap, EVENT_ARRIVAL, 0, NULL);
	moment[0] = m->now_us;
	moment[1] = (gint64)request.id;
	if (m->now_us >= WARM_UP_US)
		m->offered++;
	g_hash_table_insert(m->arrived, &moment[1], moment);
	aub_dispatcher_submit(m->entries[entry], &request, m->now_us);
	settle(m, entry);
}

static void on_probed(struct model *m, const struct event *event)
{
	struct aub_upstream_signals signs = { .boot_id = 1 };
	const struct model_upstream *u = &m->upstreams[event->upstream];

	aub_dispatcher_probe_done(m->entries[event->entry], event->upstream,
				  true, &signs, u->busy + u->waiting.length,
				  m->now_us);
	settle(m, event->entry);
}

static void on_event(struct model *m, const struct event *event)
{
	struct job *job = event->job;

	switch (event->type) {
	case EVENT_ARRIVAL:
		on_arrival(m);
		break;
	case EVENT_DONE:
		if (!job)
			break;
		job_release(m, job);
		report(m, job, AUB_ATTEMPT_ANSWERED);
		settle(m, event->entry);
		break;
	case EVENT_PROBED:
		on_probed(m, event);
		break;
	default:
		m->wake_us[event->entry] = G_MAXINT64;
		aub_dispatcher_tick(m->entries[event->entry], m->now_us);
		settle(m, event->entry);
		break;
	}
}

static struct aub_inventory *make_inventory(const struct model_options *o)
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
			       o->slots, o->hedge_percent,
			       o->policy == AUB_POLICY_LEAST_REPORTED ?
				       1000000 :
				       10000);
	for (guint i = 0; i < o->upstreams; i++)
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

static void run_dispatchers(struct model *m)
{
	struct aub_inventory *inventory = make_inventory(&m->options);
	struct aub_dispatcher_options made = {
		.policy = (enum aub_policy)m->options.policy,
	};

	for (guint i = 0; i < m->options.entries; i++) {
		made.seed = m->options.seed * 100 + i + 1;
		m->entries[i] = aub_dispatcher_new(&made);
		m->wake_us[i] = G_MAXINT64;
		aub_dispatcher_configure(m->entries[i], inventory, 0, 0);
		aub_dispatcher_set_role(m->entries[i], AUB_DISPATCH_OWNER, 0,
					0);
	}
	aub_inventory_unref(inventory);
	schedule(m, 1, EVENT_ARRIVAL, 0, NULL);
	while (g_sequence_get_length(m->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(m->events);
		struct event *event = g_sequence_get(first);

		if (event->type == EVENT_WAKE &&
		    event->at_us > m->options.length_us + DEADLINE_US)
			break;
		g_sequence_remove(first);
		m->now_us = event->at_us;
		on_event(m, event);
		g_free(event);
	}
	for (guint i = 0; i < m->options.entries; i++)
		aub_dispatcher_free(m->entries[i]);
}

/* One perfect queue: first come, first served, on the first free slot. */
static void run_limit(struct model *m)
{
	guint slots = m->options.upstreams * m->options.slots;
	gint64 *free_us = g_new0(gint64, slots);
	double rate = m->options.load * slots / MEAN_US;
	double at = 1;

	while (at < (double)m->options.length_us) {
		guint best = 0;
		gint64 arrived = (gint64)at;
		gint64 took;

		for (guint i = 1; i < slots; i++)
			if (MAX(free_us[i], arrived) <
			    MAX(free_us[best], arrived))
				best = i;
		m->now_us = MAX(free_us[best], arrived);
		took = service_us(m, (guint16)(best / m->options.slots));
		m->work_us += took;
		free_us[best] = m->now_us + took;
		took = free_us[best] - arrived;
		if (arrived >= WARM_UP_US) {
			m->offered++;
			g_array_append_val(m->times, took);
		}
		at -= log(1.0 - g_rand_double(m->arrivals)) / rate;
		g_rand_int_range(m->arrivals, 0, m->options.entries);
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
	guint at = (guint)(share * (times->len - 1));

	return times->len ? g_array_index(times, gint64, at) / 1000.0 : 0;
}

static void print_row(struct model *m)
{
	const struct model_options *o = &m->options;
	const char *name = o->policy == POLICY_LIMIT ?
				   "limit" :
				   aub_policy_name((enum aub_policy)o->policy);

	qsort(m->times->data, m->times->len, sizeof(gint64), compare_times);
	printf("%s\t%u\t%.2f\t%u\t%u\t%.1f\t%.1f\t%.1f\t%" G_GUINT64_FORMAT
	       "\t%.4f\n",
	       name, o->slots, o->load, o->hedge_percent, o->seed,
	       quantile_ms(m->times, 0.5), quantile_ms(m->times, 0.99),
	       quantile_ms(m->times, 0.999), m->refused,
	       (double)m->work_us / (double)MAX(m->times->len, 1));
}

static void run(const struct model_options *options)
{
	struct model m = { .options = *options };

	m.arrivals = g_rand_new_with_seed(options->seed);
	m.services = g_rand_new_with_seed(options->seed + 1000);
	m.events = g_sequence_new(NULL);
	m.entries = g_new0(struct aub_dispatcher *, options->entries);
	m.wake_us = g_new0(gint64, options->entries);
	m.upstreams = g_new0(struct model_upstream, options->upstreams);
	m.jobs = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	m.arrived = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	m.times = g_array_new(FALSE, FALSE, sizeof(gint64));
	m.next_request = 1;
	if (options->policy == POLICY_LIMIT)
		run_limit(&m);
	else
		run_dispatchers(&m);
	print_row(&m);
	while (g_sequence_get_length(m.events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(m.events);

		g_free(g_sequence_get(first));
		g_sequence_remove(first);
	}
	g_sequence_free(m.events);
	g_hash_table_unref(m.jobs);
	g_hash_table_unref(m.arrived);
	g_array_free(m.times, TRUE);
	g_free(m.entries);
	g_free(m.wake_us);
	g_free(m.upstreams);
	g_rand_free(m.arrivals);
	g_rand_free(m.services);
}

static void usage(void)
{
	fputs("usage: policy-model [POLICY|limit|all] [SECONDS] [SEEDS]\n"
	      "one row a run: policy slots load hedge seed p50 p99 p999 (ms) "
	      "refused work (us a call)\n",
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
		struct model_options o = {
			.slots = i % 2 ? 6 : 2,
			.upstreams = i % 2 ? 14 : 12,
			.entries = 17,
			.load = loads[i / 2 % 3],
			.sigma = 0.5,
			.length_us = (gint64)(seconds * 1e6),
			.seed = i / 6 + 1,
			.slow = true,
		};

		for (int p = POLICY_LIMIT; p <= AUB_POLICY_TWO_CHOICES; p++) {
			bool wanted = p == POLICY_LIMIT ?
					      limit :
					      p == aub_policy_parse(name);

			o.policy = p;
			o.hedge_percent = 0;
			if (all || wanted)
				run(&o);
			o.hedge_percent = 3;
			if (p == AUB_POLICY_AUBURNSTILE && (all || wanted))
				run(&o);
		}
	}
	return 0;
}

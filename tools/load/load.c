/*
 * Arrivals, statistics, and the comparison with what the upstreams executed;
 * see load.h.
 */
#include "load/load_internal.h"

#include <math.h>
#include <stdlib.h>

#define CONNECTIONS_PER_ENTRY_MAX 128

static const char *const outcome_names[LOAD_OUTCOME_COUNT] = {
	[LOAD_PENDING] = "open",    [LOAD_RUN] = "run",
	[LOAD_NOT_RUN] = "not-run", [LOAD_UNKNOWN] = "unknown",
	[LOAD_ERROR] = "error",	    [LOAD_INVALID] = "wrong",
};

const char *load_outcome_name(enum load_outcome outcome)
{
	return outcome_names[outcome];
}

const char *load_connect_address(const struct load *load, const char *address)
{
	const struct load_options *options = &load->options;

	return options->connect_address ?
		       options->connect_address(address,
						options->connect_context) :
		       address;
}

const GPtrArray *load_requests(const struct load *load)
{
	return load->requests;
}

const GPtrArray *load_failure_samples(const struct load *load)
{
	return load->samples;
}

static void free_caller(void *data)
{
	struct load_caller *caller = data;
	guint i;

	for (i = 0; i < caller->load->options.service_count; i++)
		load_lookup_clear(&caller->lookups[i]);
	g_object_unref(caller->session);
	g_free(caller->lookups);
	g_free(caller);
}

static struct load_caller *make_caller(struct load *load, guint number)
{
	struct load_caller *caller = g_new0(struct load_caller, 1);
	guint connections = load->options.connections;
	guint count = load->options.service_count;
	guint i;

	caller->load = load;
	caller->session = soup_session_new_with_options(
		"max-conns", 4096, "max-conns-per-host",
		connections ? connections : CONNECTIONS_PER_ENTRY_MAX,
		"idle-timeout", 60, "timeout", 0, NULL);
	caller->lookups = g_new0(struct load_lookup, count);
	for (i = 0; i < count; i++)
		load_lookup_init(&caller->lookups[i], caller,
				 &load->options.services[i], number + i);
	return caller;
}

struct load *load_new(const struct load_options *options)
{
	struct load *load = g_new0(struct load, 1);
	guint i;

	load->options = *options;
	load->options.callers = MAX(options->callers, 1);
	load->timers = aub_timer_service_new(NULL);
	load->random = g_rand_new_with_seed(options->seed);
	load->requests = g_ptr_array_new_with_free_func(load_request_free);
	load->callers = g_ptr_array_new_with_free_func(free_caller);
	load->samples = g_ptr_array_new_with_free_func(g_free);
	load->reasons =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < options->service_count; i++)
		load->total_weight += options->services[i].weight;
	for (i = 0; i < load->options.callers; i++)
		g_ptr_array_add(load->callers, make_caller(load, i));
	return load;
}

static void abort_caller(struct load_caller *caller)
{
	soup_session_abort(caller->session);
}

void load_free(struct load *load)
{
	guint i;

	aub_timer_cancel(load->timers, load->arrival_timer);
	for (i = 0; i < load->callers->len; i++)
		abort_caller(load->callers->pdata[i]);
	/*
	 * The callbacks of cancelled calls run in the main loop and access the
	 * objects that are freed below.
	 */
	for (i = 0; i < 1000 && g_main_context_iteration(NULL, FALSE); i++)
		;
	g_ptr_array_unref(load->requests);
	g_ptr_array_unref(load->callers);
	g_ptr_array_unref(load->samples);
	g_hash_table_unref(load->reasons);
	g_rand_free(load->random);
	aub_timer_service_free(load->timers);
	g_free(load);
}

static void schedule_arrival(struct load *load);

static bool arrivals_over(const struct load *load)
{
	const struct load_options *options = &load->options;

	if (options->requests && load->requests->len >= options->requests)
		return true;
	return options->seconds > 0 &&
	       load->next_arrival_us - load->started_us >=
		       options->seconds * 1e6;
}

static void on_arrival(void *context, gint64 now_us)
{
	struct load *load = context;
	struct load_request *request;

	load->arrival_timer = 0;
	request = load_request_new(load, load->requests->len);
	g_ptr_array_add(load->requests, request);
	load->pending++;
	load_request_start(request);
	schedule_arrival(load);
}

/*
 * Schedules the next arrival after an exponentially distributed gap; arrivals
 * do not wait for responses (open loop).
 */
static void schedule_arrival(struct load *load)
{
	double gap_s =
		-log(1 - g_rand_double(load->random)) / load->options.rate;

	load->next_arrival_us += (gint64)(gap_s * 1e6);
	if (arrivals_over(load))
		return;
	load->arrival_timer =
		aub_timer_at(load->timers, "arrival", load->next_arrival_us,
			     on_arrival, load);
}

void load_start(struct load *load)
{
	load->started_us = g_get_monotonic_time();
	load->next_arrival_us = load->started_us;
	schedule_arrival(load);
}

void load_stop_arrivals(struct load *load)
{
	aub_timer_cancel(load->timers, load->arrival_timer);
	load->arrival_timer = 0;
}

bool load_done(const struct load *load)
{
	return !load->arrival_timer && !load->pending;
}

void load_run(struct load *load)
{
	load_start(load);
	while (!load_done(load))
		g_main_context_iteration(NULL, TRUE);
}

static int compare_times(const void *a, const void *b)
{
	gint64 first = *(const gint64 *)a;
	gint64 second = *(const gint64 *)b;

	return (first > second) - (first < second);
}

static double quantile_ms(const GArray *sorted, double quantile)
{
	guint index;

	if (!sorted->len)
		return 0;
	index = MIN((guint)(quantile * sorted->len), sorted->len - 1);
	return g_array_index(sorted, gint64, index) / 1000.0;
}

void load_get_stats(const struct load *load, struct load_stats *stats)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(gint64));
	const struct load_request *request;
	guint i;

	*stats = (struct load_stats){ .requests = load->requests->len,
				      .retries = load->retries };
	for (i = 0; i < load->requests->len; i++) {
		request = load->requests->pdata[i];
		stats->outcomes[request->outcome]++;
		if (request->outcome != LOAD_RUN)
			continue;
		stats->failed += request->status >= 500;
		g_array_append_val(times, request->latency_us);
	}
	g_array_sort(times, compare_times);
	stats->p50_ms = quantile_ms(times, 0.5);
	stats->p99_ms = quantile_ms(times, 0.99);
	stats->p999_ms = quantile_ms(times, 0.999);
	stats->max_ms = quantile_ms(times, 1);
	g_array_unref(times);
}

static void compare_request(const struct load_request *request, JsonArray *runs,
			    struct load_comparison *comparison)
{
	gint64 started = runs ? json_array_get_int_element(runs, 0) : 0;
	gint64 completed = runs ? json_array_get_int_element(runs, 1) : 0;

	comparison->executed_more_than_once +=
		request->service->keyed && started > 1;
	comparison->false_not_run +=
		request->outcome == LOAD_NOT_RUN && started;
	comparison->false_run += request->outcome == LOAD_RUN &&
				 request->status < 500 && !completed;
	comparison->unknown_not_started +=
		request->outcome == LOAD_UNKNOWN && !started;
}

void load_compare(const struct load *load, JsonObject *nonces,
		  struct load_comparison *comparison)
{
	const struct load_request *request;
	JsonArray *runs;
	guint i;

	*comparison = (struct load_comparison){ 0 };
	for (i = 0; i < load->requests->len; i++) {
		request = load->requests->pdata[i];
		runs = NULL;
		if (json_object_has_member(nonces, request->nonce))
			runs = json_object_get_array_member(nonces,
							    request->nonce);
		compare_request(request, runs, comparison);
	}
}

char *load_reasons_text(const struct load *load)
{
	GString *text = g_string_new(NULL);
	GHashTableIter iter;
	const char *reason;
	void *count;

	g_hash_table_iter_init(&iter, load->reasons);
	while (g_hash_table_iter_next(&iter, (void **)&reason, &count))
		g_string_append_printf(text, "%s%s %u", text->len ? ", " : "",
				       reason, GPOINTER_TO_UINT(count));
	return g_string_free(text, FALSE);
}

static void add_number(JsonBuilder *builder, const char *name, double value)
{
	json_builder_set_member_name(builder, name);
	if (value == floor(value))
		json_builder_add_int_value(builder, (gint64)value);
	else
		json_builder_add_double_value(builder, value);
}

static void add_outcomes(const struct load *load, JsonBuilder *builder)
{
	const struct load_request *request;
	guint i;

	json_builder_set_member_name(builder, "told");
	json_builder_begin_object(builder);
	for (i = 0; i < load->requests->len; i++) {
		request = load->requests->pdata[i];
		json_builder_set_member_name(builder, request->nonce);
		json_builder_add_string_value(builder,
					      outcome_names[request->outcome]);
	}
	json_builder_end_object(builder);
	json_builder_set_member_name(builder, "samples");
	json_builder_begin_array(builder);
	for (i = 0; i < load->samples->len; i++)
		json_builder_add_string_value(builder, load->samples->pdata[i]);
	json_builder_end_array(builder);
}

JsonNode *load_result(const struct load *load)
{
	JsonBuilder *builder = json_builder_new();
	struct load_stats stats;
	JsonNode *root;

	load_get_stats(load, &stats);
	json_builder_begin_object(builder);
	add_number(builder, "requests", stats.requests);
	add_number(builder, "whole", stats.outcomes[LOAD_RUN]);
	add_number(builder, "wrong", stats.outcomes[LOAD_INVALID]);
	add_number(builder, "not_run", stats.outcomes[LOAD_NOT_RUN]);
	add_number(builder, "unknown", stats.outcomes[LOAD_UNKNOWN]);
	add_number(builder, "errors", stats.outcomes[LOAD_ERROR]);
	add_number(builder, "failed", stats.failed);
	add_number(builder, "repeats", stats.retries);
	add_number(builder, "p50_ms", stats.p50_ms);
	add_number(builder, "p99_ms", stats.p99_ms);
	add_number(builder, "p999_ms", stats.p999_ms);
	add_number(builder, "max_ms", stats.max_ms);
	add_outcomes(load, builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	g_object_unref(builder);
	return root;
}

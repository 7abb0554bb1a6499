/*
 * Runs one case: a fleet with one policy under a load and faults, which yields
 * one row of results.
 */
#include "bench/bench.h"

#include "fleet/fleet_inventory.h"

#define WARM_UP_MS 1500 /* load before the measured one */
#define READY_TIMEOUT_MS 20000

struct slow_schedule {
	struct fleet *fleet;
	const struct bench_params *params;
	GArray *slow; /* of struct bench_slow_phase */
	guint next_upstream;
};

struct fleet *bench_start_fleet(const struct bench_params *params,
				GError **error)
{
	const struct bench_shape *shape = params->shape;
	struct fleet_service service = {
		.name = shape->service,
		.path = "/work",
		.upstreams = shape->upstreams,
		.slots = shape->slots,
		.cold_ms = 500,
		.deadline_ms = BENCH_DEADLINE_MS,
		.queue_limit = 500,
		.hedge_percent = params->hedge_percent,
		.probe_budget_us = params->probe_budget_us,
		.probe_cost_us = shape->probe_cost_us,
	};
	char *text = fleet_inventory_text(&service, 1, shape->zones);
	char *sigma = g_strdup_printf("--sigma=%.2f", BENCH_SERVICE_TIME_SIGMA);
	const char *upstream_options[] = { sigma, NULL };
	struct fleet_options options = {
		.inventory = text,
		.members = params->members,
		.seed = params->run,
		.mean_us = shape->mean_us,
		.upstream_options = upstream_options,
		.policy = params->policy,
	};
	struct fleet *fleet = fleet_new(&options, error);
	bool good =
		fleet && fleet_start(fleet, error) &&
		fleet_apply_with_retry(fleet, text, READY_TIMEOUT_MS, error) &&
		fleet_wait_ready(fleet, READY_TIMEOUT_MS, error) &&
		fleet_wait_owners(fleet, READY_TIMEOUT_MS, error);

	g_free(sigma);
	g_free(text);
	if (good)
		return fleet;
	if (fleet)
		fleet_free(fleet, false);
	return NULL;
}

struct load *bench_new_load(const struct bench_params *params,
			    struct fleet *fleet, double seconds, guint seed)
{
	const struct bench_shape *shape = params->shape;
	struct load_service *service = g_new0(struct load_service, 1);
	double capacity = shape->upstreams * shape->slots / shape->mean_us;
	struct load_options options = {
		.entries = fleet_entry_addresses(fleet),
		.services = service,
		.service_count = 1,
		.rate = params->load * capacity * 1e6,
		.seconds = seconds,
		.connections = 256,
		.callers = 4 * params->members,
		.deadline_ms = BENCH_DEADLINE_MS,
		.retry = params->retry,
		.seed = seed,
	};

	service->name = shape->service;
	service->path = "/work";
	service->weight = 1;
	return load_new(&options);
}

static gboolean on_slow_phase(gpointer data)
{
	struct slow_schedule *schedule = data;
	guint16 upstream = (guint16)(schedule->next_upstream++ %
				     schedule->params->shape->upstreams);
	struct bench_slow_phase phase = { .upstream = upstream };
	char *json = g_strdup_printf("{\"slow_factor\":%d,\"slow_ms\":%d}",
				     BENCH_SLOW_FACTOR, BENCH_SLOW_DURATION_MS);

	phase.start_us = g_get_monotonic_time();
	phase.end_us = phase.start_us + BENCH_SLOW_DURATION_MS * AUB_MS;
	fleet_single_upstream_fault(schedule->fleet, upstream, json);
	g_array_append_val(schedule->slow, phase);
	g_free(json);
	return G_SOURCE_CONTINUE;
}

/* Returns the sum of one counter over all upstreams. */
static gint64 sum_over_upstreams(struct fleet *fleet, const char *name)
{
	JsonNode *oracle = fleet_oracle(fleet);
	gint64 sum = 0;

	for (guint i = 0; i < fleet->inventory->upstreams->len; i++)
		sum += tool_json_int(fleet_oracle_upstream(oracle, fleet,
							   (guint16)i),
				     name, 0);
	json_node_unref(oracle);
	return sum;
}

static void collect_results(const struct load *load,
			    const struct bench_params *params,
			    const GArray *slow, struct bench_row *row)
{
	const GPtrArray *requests = load_requests(load);
	GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(gint64));
	GArray *refused = g_array_new(FALSE, FALSE, sizeof(gint64));
	struct load_stats stats;

	load_get_stats(load, &stats);
	for (guint i = 0; i < requests->len; i++) {
		const struct load_request *request = requests->pdata[i];

		g_array_append_val(arrivals, request->arrived_us);
		if (request->outcome == LOAD_NOT_RUN)
			g_array_append_val(refused, request->latency_us);
	}
	row->requests = stats.requests;
	row->refused = stats.outcomes[LOAD_NOT_RUN];
	row->unknown = stats.outcomes[LOAD_UNKNOWN];
	row->wrong = stats.outcomes[LOAD_INVALID] + stats.outcomes[LOAD_ERROR];
	row->failed = stats.failed;
	row->p50_ms = stats.p50_ms;
	row->p99_ms = stats.p99_ms;
	row->p999_ms = stats.p999_ms;
	row->refused_p99_ms = bench_quantile_ms(refused, 0.99);
	row->limit_p99_ms = bench_limit_p99_ms(params, arrivals, slow);
	g_array_unref(arrivals);
	g_array_unref(refused);
}

void bench_warm_up(const struct bench_params *params, struct fleet *fleet)
{
	struct bench_params warm_up = *params;
	struct load *load;

	warm_up.load = MIN(params->load, 0.5);
	load = bench_new_load(&warm_up, fleet, WARM_UP_MS / 1000.0,
			      params->run + 500);
	load_run(load);
	load_free(load);
}

/*
 * Returns the share of successful answers in all requests, or in what the slots
 * could serve during `elapsed_s` if that is less.
 */
static double goodput_of(const struct bench_row *row, double elapsed_s)
{
	const struct bench_shape *shape = row->params.shape;
	double capacity = shape->upstreams * shape->slots * elapsed_s * 1e6 /
			  shape->mean_us;
	guint good = row->requests - row->refused - row->unknown - row->wrong -
		     row->failed;

	return good / MIN(capacity, (double)MAX(row->requests, 1));
}

static void measure(const struct bench_params *params, struct fleet *fleet,
		    struct bench_row *row)
{
	struct slow_schedule schedule = { fleet, params, NULL, params->run };
	gint64 probes = sum_over_upstreams(fleet, "probes");
	gint64 started = sum_over_upstreams(fleet, "started");
	gint64 busy_us = sum_over_upstreams(fleet, "busy_us");
	gint64 start_us = g_get_monotonic_time();
	struct load *load =
		bench_new_load(params, fleet, params->seconds, params->run);
	guint timer = 0;
	double answered;
	double elapsed_s;

	schedule.slow =
		g_array_new(FALSE, FALSE, sizeof(struct bench_slow_phase));
	if (params->slow) {
		on_slow_phase(&schedule);
		timer = g_timeout_add(BENCH_SLOW_PERIOD_MS, on_slow_phase,
				      &schedule);
	}
	load_run(load);
	if (timer)
		g_source_remove(timer);
	elapsed_s = (double)(g_get_monotonic_time() - start_us) / 1e6;
	collect_results(load, params, schedule.slow, row);
	row->goodput_ratio = goodput_of(row, elapsed_s);
	row->probes_per_s =
		(double)(sum_over_upstreams(fleet, "probes") - probes) /
		elapsed_s;
	answered = MAX(row->requests - row->refused, 1);
	row->started_ratio =
		(double)(sum_over_upstreams(fleet, "started") - started) /
		answered;
	row->total_work_ratio =
		(double)(sum_over_upstreams(fleet, "busy_us") - busy_us) /
		(params->shape->mean_us * answered);
	g_array_unref(schedule.slow);
	load_free(load);
}

bool bench_run(const struct bench_params *params, struct bench_row *row,
	       GError **error)
{
	struct fleet *fleet = bench_start_fleet(params, error);

	*row = (struct bench_row){ .params = *params };
	if (!fleet)
		return false;
	bench_warm_up(params, fleet);
	for (guint i = 0; i < params->fail_fast; i++)
		fleet_single_upstream_fault(fleet, (guint16)i,
					    "{\"fail_fast\":-1}");
	measure(params, fleet, row);
	fleet_free(fleet, false);
	return true;
}

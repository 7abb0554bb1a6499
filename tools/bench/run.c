/* One case: a fleet with one policy, a load, faults, a row of figures. */
#include "bench/bench.h"

#include "fleet/fleet_inventory.h"

#define SETTLE_MS 1500 /* load before the measured one */
#define READY_MS 20000

struct fault_plan {
	struct fleet *fleet;
	const struct bench_case *what;
	GArray *slow; /* of struct bench_slow */
	guint next;
};

struct fleet *bench_fleet(const struct bench_case *what, GError **error)
{
	const struct bench_shape *shape = what->shape;
	struct fleet_service service = {
		.name = shape->service,
		.path = "/work",
		.upstreams = shape->upstreams,
		.slots = shape->slots,
		.cold_ms = 500,
		.deadline_ms = BENCH_DEADLINE_MS,
		.queue_limit = 500,
		.hedge_percent = what->hedge_percent,
		.probe_budget_us = what->probe_budget_us,
		.probe_cost_us = shape->probe_cost_us,
	};
	char *text = fleet_inventory_text(&service, 1, shape->zones);
	char *sigma = g_strdup_printf("--sigma=%.2f", BENCH_SIGMA);
	const char *upstream_options[] = { sigma, NULL };
	struct fleet_options options = {
		.inventory = text,
		.members = what->members,
		.seed = what->run,
		.mean_us = shape->mean_us,
		.upstream_options = upstream_options,
		.policy = what->policy,
	};
	struct fleet *fleet = fleet_new(&options, error);
	bool good = fleet && fleet_start(fleet, error) &&
		    fleet_apply_with_retry(fleet, text, READY_MS, error) &&
		    fleet_wait_ready(fleet, READY_MS, error) &&
		    fleet_wait_owners(fleet, READY_MS, error);

	g_free(sigma);
	g_free(text);
	if (good)
		return fleet;
	if (fleet)
		fleet_free(fleet, false);
	return NULL;
}

struct load *bench_load(const struct bench_case *what, struct fleet *fleet,
			double seconds, guint seed)
{
	const struct bench_shape *shape = what->shape;
	struct load_service *service = g_new0(struct load_service, 1);
	double capacity = shape->upstreams * shape->slots / shape->mean_us;
	struct load_options options = {
		.entries = fleet_entry_addresses(fleet),
		.services = service,
		.service_count = 1,
		.rate = what->load * capacity * 1e6,
		.seconds = seconds,
		.connections = 256,
		.callers = 4 * what->members,
		.deadline_ms = BENCH_DEADLINE_MS,
		.retry = what->repeat,
		.seed = seed,
	};

	service->name = shape->service;
	service->path = "/work";
	service->weight = 1;
	return load_new(&options);
}

static gboolean on_slow(gpointer data)
{
	struct fault_plan *plan = data;
	guint16 upstream =
		(guint16)(plan->next++ % plan->what->shape->upstreams);
	struct bench_slow phase = { .upstream = upstream };
	char *json = g_strdup_printf("{\"slow_factor\":%d,\"slow_ms\":%d}",
				     BENCH_SLOW_FACTOR, BENCH_SLOW_MS);

	phase.from_us = g_get_monotonic_time();
	phase.to_us = phase.from_us + BENCH_SLOW_MS * AUB_MS;
	fleet_single_upstream_fault(plan->fleet, upstream, json);
	g_array_append_val(plan->slow, phase);
	g_free(json);
	return G_SOURCE_CONTINUE;
}

/* Sums of one figure over all upstreams. */
static gint64 oracle_sum(struct fleet *fleet, const char *name)
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

static void gather(const struct load *load, const struct bench_case *what,
		   const GArray *slow, struct bench_row *row)
{
	const GPtrArray *requests = load_requests(load);
	GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(gint64));
	GArray *refused = g_array_new(FALSE, FALSE, sizeof(gint64));
	struct load_stats figures;

	load_get_stats(load, &figures);
	for (guint i = 0; i < requests->len; i++) {
		const struct load_request *request = requests->pdata[i];

		g_array_append_val(arrivals, request->arrived_us);
		if (request->outcome == LOAD_NOT_RUN)
			g_array_append_val(refused, request->latency_us);
	}
	row->requests = figures.requests;
	row->refused = figures.outcomes[LOAD_NOT_RUN];
	row->unknown = figures.outcomes[LOAD_UNKNOWN];
	row->wrong = figures.outcomes[LOAD_INVALID] + figures.outcomes[LOAD_ERROR];
	row->failed = figures.failed;
	row->p50_ms = figures.p50_ms;
	row->p99_ms = figures.p99_ms;
	row->p999_ms = figures.p999_ms;
	row->refused_p99_ms = bench_quantile_ms(refused, 0.99);
	row->limit_p99_ms = bench_limit_ms(what, arrivals, slow);
	g_array_unref(arrivals);
	g_array_unref(refused);
}

void bench_warm_up(const struct bench_case *what, struct fleet *fleet)
{
	struct bench_case mild = *what;
	struct load *load;

	mild.load = MIN(what->load, 0.5);
	load = bench_load(&mild, fleet, SETTLE_MS / 1000.0, what->run + 500);
	load_run(load);
	load_free(load);
}

/* Good answers to all requests, or to what the slots can do if that is less. */
static double goodput(const struct bench_row *row, double took_s)
{
	const struct bench_shape *shape = row->what.shape;
	double capacity =
		shape->upstreams * shape->slots * took_s * 1e6 / shape->mean_us;
	guint good = row->requests - row->refused - row->unknown - row->wrong -
		     row->failed;

	return good / MIN(capacity, (double)MAX(row->requests, 1));
}

static void measure(const struct bench_case *what, struct fleet *fleet,
		    struct bench_row *row)
{
	struct fault_plan plan = { fleet, what, NULL, what->run };
	gint64 probes = oracle_sum(fleet, "probes");
	gint64 started = oracle_sum(fleet, "started");
	gint64 busy_us = oracle_sum(fleet, "busy_us");
	gint64 from_us = g_get_monotonic_time();
	struct load *load = bench_load(what, fleet, what->seconds, what->run);
	guint timer = 0;
	double answered;
	double took;

	plan.slow = g_array_new(FALSE, FALSE, sizeof(struct bench_slow));
	if (what->slow) {
		on_slow(&plan);
		timer = g_timeout_add(BENCH_SLOW_EVERY_MS, on_slow, &plan);
	}
	load_run(load);
	if (timer)
		g_source_remove(timer);
	took = (double)(g_get_monotonic_time() - from_us) / 1e6;
	gather(load, what, plan.slow, row);
	row->goodput_ratio = goodput(row, took);
	row->probes_per_s =
		(double)(oracle_sum(fleet, "probes") - probes) / took;
	answered = MAX(row->requests - row->refused, 1);
	row->started_ratio =
		(double)(oracle_sum(fleet, "started") - started) / answered;
	row->total_work_ratio =
		(double)(oracle_sum(fleet, "busy_us") - busy_us) /
		(what->shape->mean_us * answered);
	g_array_unref(plan.slow);
	load_free(load);
}

bool bench_run(const struct bench_case *what, struct bench_row *row,
	       GError **error)
{
	struct fleet *fleet = bench_fleet(what, error);

	*row = (struct bench_row){ .what = *what };
	if (!fleet)
		return false;
	bench_warm_up(what, fleet);
	for (guint i = 0; i < what->fail_fast; i++)
		fleet_single_upstream_fault(fleet, (guint16)i,
					 "{\"fail_fast\":-1}");
	measure(what, fleet, row);
	fleet_free(fleet, false);
	return true;
}

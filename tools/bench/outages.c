/*
 * Measures the service while a zone is out and returns, and while the owner of
 * the service is killed.
 */
#include "bench/bench.h"

#include <signal.h>
#include <stdio.h>

#define TIME_SLICE_US (100 * AUB_MS)

/* Requests that arrived within one interval of 100 ms, and their outcomes. */
struct time_slice {
	guint arrived;
	guint good;
	GArray *times; /* latencies, gint64 in us */
};

static struct time_slice *make_slices(guint count)
{
	struct time_slice *slices = g_new0(struct time_slice, count);

	for (guint i = 0; i < count; i++)
		slices[i].times = g_array_new(FALSE, FALSE, sizeof(gint64));
	return slices;
}

static void free_slices(struct time_slice *slices, guint count)
{
	for (guint i = 0; i < count; i++)
		g_array_unref(slices[i].times);
	g_free(slices);
}

static bool write_slices(const struct load *load, gint64 start_us, guint count,
			 const char *file, GError **error)
{
	const GPtrArray *requests = load_requests(load);
	struct time_slice *slices = make_slices(count);
	GString *text = g_string_new("ms\tarrived\tgood\tp99_ms\n");
	bool good;

	for (guint i = 0; i < requests->len; i++) {
		const struct load_request *request = requests->pdata[i];
		gint64 index = (request->arrived_us - start_us) / TIME_SLICE_US;
		struct time_slice *slice = &slices[CLAMP(index, 0, count - 1)];

		slice->arrived++;
		if (request->outcome != LOAD_RUN || request->status >= 500)
			continue;
		slice->good++;
		g_array_append_val(slice->times, request->latency_us);
	}
	for (guint i = 0; i < count; i++)
		g_string_append_printf(text, "%u\t%u\t%u\t%.1f\n", i * 100,
				       slices[i].arrived, slices[i].good,
				       bench_quantile_ms(slices[i].times,
							 0.99));
	good = g_file_set_contents(file, text->str, -1, error);
	g_string_free(text, TRUE);
	free_slices(slices, count);
	return good;
}

/*
 * Returns the longest time in which no request got a complete answer, in ms.
 */
static double longest_gap_ms(const struct load *load)
{
	const GPtrArray *requests = load_requests(load);
	GArray *ends = g_array_new(FALSE, FALSE, sizeof(gint64));
	gint64 longest = 0;

	for (guint i = 0; i < requests->len; i++) {
		const struct load_request *request = requests->pdata[i];
		gint64 end = request->arrived_us + request->latency_us;

		if (request->outcome == LOAD_RUN)
			g_array_append_val(ends, end);
	}
	bench_quantile_ms(ends, 0); /* sorts `ends` */
	for (guint i = 1; i < ends->len; i++)
		longest = MAX(longest,
			      g_array_index(ends, gint64, i) -
				      g_array_index(ends, gint64, i - 1));
	g_array_unref(ends);
	return (double)longest / 1000.0;
}

static void print_summary(const char *name, const struct load *load)
{
	struct load_stats stats;

	load_get_stats(load, &stats);
	printf("%s: requests=%u good=%u not_run=%u unknown=%u errors=%u "
	       "wrong=%u p99_ms=%.1f longest_gap_ms=%.0f\n",
	       name, stats.requests, stats.outcomes[LOAD_RUN] - stats.failed,
	       stats.outcomes[LOAD_NOT_RUN], stats.outcomes[LOAD_UNKNOWN],
	       stats.outcomes[LOAD_ERROR], stats.outcomes[LOAD_INVALID],
	       stats.p99_ms, longest_gap_ms(load));
}

static void run_load_until(const struct load *load, gint64 until_us)
{
	while (!load_done(load) && g_get_monotonic_time() < until_us)
		fleet_run_main_loop_ms(10);
}

/*
 * A command to control. It is sent from a separate thread so that the load
 * generator keeps running.
 */
struct zone_command {
	struct fleet *fleet;
	const char *path;
	bool accepted;
};

static gpointer send_zone_command(gpointer data)
{
	struct zone_command *command = data;
	guint status = 0;
	JsonNode *answer =
		fleet_admin(command->fleet, fleet_member(command->fleet, 1),
			    "POST", command->path, "{\"author\":\"bench\"}",
			    &status, NULL);

	if (answer)
		json_node_unref(answer);
	command->accepted = status == 200;
	return NULL;
}

/* Returns the thread, which the caller has to join. */
static GThread *start_zone_command(struct zone_command *command)
{
	return g_thread_new("zone", send_zone_command, command);
}

/*
 * Returns the time from the command to the last new request in zone z1 in ms,
 * or 0 if there was none after the command.
 */
static double last_new_request_after_ms(struct fleet *fleet, gint64 command_us)
{
	JsonNode *oracle = fleet_oracle(fleet);
	gint64 last = command_us;

	for (guint i = 0; i < fleet->inventory->upstreams->len; i++) {
		const struct aub_upstream *upstream =
			aub_upstream_at(fleet->inventory, i);

		if (upstream->zone == 0)
			last = MAX(last, tool_json_int(fleet_oracle_upstream(
							       oracle, fleet,
							       (guint16)i),
						       "last_new_us", 0));
	}
	json_node_unref(oracle);
	return (double)(last - command_us) / 1000.0;
}

static gint64 count_overload_crashes(struct fleet *fleet)
{
	JsonNode *oracle = fleet_oracle(fleet);
	gint64 sum = 0;

	for (guint i = 0; i < fleet->inventory->upstreams->len; i++)
		sum += tool_json_int(fleet_oracle_upstream(oracle, fleet,
							   (guint16)i),
				     "fell_over", 0);
	json_node_unref(oracle);
	return sum;
}

/*
 * Makes the upstreams of the zone cold, as after a restart, while the zone is
 * out.
 */
static void make_zone_cold(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->inventory->upstreams->len; i++)
		if (aub_upstream_at(fleet->inventory, i)->zone == 0)
			fleet_single_upstream_fault(fleet, (guint16)i,
						    "{\"cold\":1}");
}

bool bench_zone_outage(const struct bench_shape *shape, guint members,
		       double seconds, const char *file, GError **error)
{
	struct bench_params params = {
		.scenario = "zone",
		.shape = shape,
		.policy = "auburnstile",
		.load = 0.5,
		.retry = true,
		.members = members,
		.run = 1,
	};
	struct fleet *fleet = bench_start_fleet(&params, error);
	struct zone_command out_command = { fleet, "/v1/zones/z1/out", false };
	struct zone_command in_command = { fleet, "/v1/zones/z1/in", false };
	GThread *threads[2];
	gint64 zone_out_us;
	gint64 start_us;
	double last_new_request_ms;
	struct load *load;
	bool good;

	if (!fleet)
		return false;
	bench_warm_up(&params, fleet);
	load = bench_new_load(&params, fleet, seconds, 1);
	start_us = g_get_monotonic_time();
	load_start(load);
	run_load_until(load, start_us + (gint64)(seconds * 1e6 / 6));
	zone_out_us = g_get_monotonic_time();
	threads[0] = start_zone_command(&out_command);
	run_load_until(load, start_us + (gint64)(seconds * 1e6 / 2));
	last_new_request_ms = last_new_request_after_ms(fleet, zone_out_us);
	make_zone_cold(fleet);
	threads[1] = start_zone_command(&in_command);
	run_load_until(load, G_MAXINT64);
	g_thread_join(threads[0]);
	g_thread_join(threads[1]);
	good = write_slices(load, start_us, (guint)(seconds * 10), file, error);
	if (good && !(out_command.accepted && in_command.accepted)) {
		g_set_error(error, G_IO_ERROR, G_IO_ERROR_FAILED,
			    "a command for a zone was not accepted");
		good = false;
	}
	print_summary("zone-out-and-back", load);
	printf("zone-out-and-back: last_new_in_zone_ms=%.0f fell_over=%" G_GINT64_FORMAT
	       "\n",
	       last_new_request_ms, count_overload_crashes(fleet));
	load_free(load);
	fleet_free(fleet, false);
	return good;
}

bool bench_owner_crash(const struct bench_shape *shape, guint members,
		       double seconds, const char *file, GError **error)
{
	struct bench_params params = {
		.scenario = "owner-killed",
		.shape = shape,
		.policy = "auburnstile",
		.load = 0.5,
		.retry = true,
		.members = members,
		.run = 1,
	};
	struct fleet *fleet = bench_start_fleet(&params, error);
	struct fleet_member *owner;
	gint64 start_us;
	struct load *load;
	bool good;

	if (!fleet)
		return false;
	bench_warm_up(&params, fleet);
	load = bench_new_load(&params, fleet, seconds, 1);
	start_us = g_get_monotonic_time();
	load_start(load);
	run_load_until(load, start_us + (gint64)(seconds * 1e6 / 3));
	owner = fleet_owner(fleet, shape->service);
	if (owner)
		fleet_signal(owner, FLEET_BOTH, SIGKILL);
	run_load_until(load, G_MAXINT64);
	good = write_slices(load, start_us, (guint)(seconds * 10), file, error);
	print_summary("owner-killed", load);
	load_free(load);
	fleet_free(fleet, false);
	return good;
}

/*
 * Measures how the cost of an entry grows with calls, retained idempotency keys
 * and connections.
 */
#include "slopes/slopes.h"

#include "fleet/fleet_inventory.h"
#include "load/load.h"

#include <gio/gio.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define WARM_UP_S 8
#define MEASURE_S 6
#define UPSTREAM_COUNT 16
#define SLOTS_PER_UPSTREAM 16
#define MEAN_SERVICE_US 4000

struct usage {
	double processor_s;
	double resident_mb;
};

/* Returns the processor time and memory of a process, from /proc. */
static struct usage read_usage(GPid pid)
{
	char *file = g_strdup_printf("/proc/%d/stat", (int)pid);
	struct usage usage = { 0 };
	unsigned long user = 0;
	unsigned long kernel = 0;
	char *text = NULL;
	char *rest;
	long pages = 0;

	if (g_file_get_contents(file, &text, NULL, NULL)) {
		rest = strrchr(text, ')');
		if (rest &&
		    sscanf(rest + 1,
			   " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu "
			   "%lu %*d %*d %*d %*d %*d %*d %*u %*u %ld",
			   &user, &kernel, &pages) == 3) {
			usage.processor_s = (double)(user + kernel) /
					    (double)sysconf(_SC_CLK_TCK);
			usage.resident_mb = (double)pages *
					    (double)sysconf(_SC_PAGESIZE) /
					    (1 << 20);
		}
	}
	g_free(text);
	g_free(file);
	return usage;
}

static struct load_stats run_load(struct fleet *fleet, bool keyed, double rate,
				  double seconds)
{
	const char **entries = fleet_entry_addresses(fleet);
	struct load_service service = {
		.name = "calls", .path = "/calls/", .weight = 1, .keyed = keyed
	};
	char *prefix = g_strdup_printf("%x-", g_random_int());
	struct load_options options = {
		.entries = entries,
		.services = &service,
		.service_count = 1,
		.rate = rate,
		.seconds = seconds,
		.connections = 64,
		.callers = 8,
		.deadline_ms = 4000,
		.retry = true,
		.body_bytes = 200,
		.seed = 1,
		.prefix = prefix,
	};
	struct load_stats stats;
	struct load *load = load_new(&options);

	load_run(load);
	load_get_stats(load, &stats);
	load_free(load);
	g_free(prefix);
	g_free(entries);
	return stats;
}

static void measure_calls(struct fleet *fleet, bool keyed, FILE *out)
{
	static const double rates[] = { 250, 500, 1000, 1500 };
	GPid pid = fleet_member(fleet, 0)->entry->pid;
	double x[G_N_ELEMENTS(rates)];
	double y[G_N_ELEMENTS(rates)];
	double calls = 0;
	double initial_mb = read_usage(pid).resident_mb;
	struct slopes_line line;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rates); i++) {
		struct usage before = read_usage(pid);
		gint64 start_us = g_get_monotonic_time();
		struct load_stats stats =
			run_load(fleet, keyed, rates[i], MEASURE_S);
		double seconds =
			(double)(g_get_monotonic_time() - start_us) / 1e6;
		struct usage after = read_usage(pid);

		x[i] = stats.requests / seconds;
		y[i] = 100 * (after.processor_s - before.processor_s) / seconds;
		calls += stats.requests;
		fprintf(out,
			"entry\t%s\t%.0f\t%u\t%u\t%.1f\t%.1f\t%.2f\t%.2f\n",
			keyed ? "keyed" : "plain", x[i], stats.requests,
			stats.outcomes[LOAD_RUN], y[i], after.resident_mb,
			stats.p50_ms, stats.p99_ms);
	}
	line = slopes_fit(x, y, G_N_ELEMENTS(rates));
	fprintf(out,
		"fit\tentry %s\t%.3g%% + %.4g%% a call a second, largest "
		"residual %.3g%%; memory grew by %.2f kB a call\n",
		keyed ? "keyed" : "plain", line.base, line.slope, line.residual,
		(read_usage(pid).resident_mb - initial_mb) * 1024 / calls);
}

/* Measures the memory for connections of callers that send no requests. */
static void measure_idle_connections(struct fleet *fleet, FILE *out)
{
	const struct fleet_member *member = fleet_member(fleet, 0);
	GPtrArray *connections = g_ptr_array_new_with_free_func(g_object_unref);
	GSocketClient *client = g_socket_client_new();
	double before = read_usage(member->entry->pid).resident_mb;
	guint i;

	for (i = 0; i < 1000; i++) {
		GSocketConnection *connection =
			g_socket_client_connect_to_host(client, member->callers,
							0, NULL, NULL);

		if (connection)
			g_ptr_array_add(connections, connection);
	}
	fleet_run_main_loop_ms(1000);
	fprintf(out, "entry\tidle connections\t%u\t%.2f kB each\n",
		connections->len,
		(read_usage(member->entry->pid).resident_mb - before) * 1024 /
			MAX(connections->len, 1));
	g_ptr_array_unref(connections);
	g_object_unref(client);
}

bool slopes_measure_entry(FILE *out)
{
	struct fleet_service service = { .name = "calls",
					 .path = "/calls",
					 .upstreams = UPSTREAM_COUNT,
					 .at_most_once = true,
					 .slots = SLOTS_PER_UPSTREAM,
					 .cold_slots = SLOTS_PER_UPSTREAM,
					 .cold_ms = 500,
					 .queue_limit = 2000 };
	char *inventory = fleet_inventory_text(&service, 1, 1);
	struct fleet_options options = { .inventory = inventory,
					 .members = 1,
					 .mean_us = MEAN_SERVICE_US };
	GError *error = NULL;
	struct fleet *fleet = fleet_new(&options, &error);
	bool is_ready = fleet && fleet_start(fleet, &error);

	if (is_ready)
		fleet_run_main_loop_ms(1500);
	is_ready =
		is_ready &&
		fleet_apply(fleet, fleet_member(fleet, 0), inventory, &error) &&
		fleet_wait_ready(fleet, 15000, &error);
	if (is_ready) {
		fleet_run_main_loop_ms(3000);
		run_load(fleet, false, 100, WARM_UP_S);
		measure_calls(fleet, false, out);
		measure_calls(fleet, true, out);
		measure_idle_connections(fleet, out);
	} else {
		fprintf(stderr, "slopes: %s\n",
			error ? error->message :
				"the entry did not become ready");
	}
	g_clear_error(&error);
	fleet_free(fleet, false);
	g_free(inventory);
	return is_ready;
}

/*
 * Demonstration: a complete fleet on loopback serves the traffic mix of the
 * Nidito deployment while a zone is taken out and brought back.
 *
 * Exits with 0 only if no answer was wrong, no at-most-once request was
 * executed more than once, the zone received no new requests later than 3 s
 * after the command to take it out, and the zone received requests again after
 * its return. Which requests were executed is read from the upstreams.
 */
#include "common/child.h"
#include "common/tool.h"
#include "fleet/fleet.h"
#include "load/load.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define FLEET_MEMBERS 6
#define READY_TIMEOUT_MS 20000
/* Times of the commands, relative to the start of the load. */
#define ZONE_OUT_AT_MS 3000
#define ZONE_IN_AT_MS 9000
#define LOAD_END_MS 14000
/* Maximum delay from the command to the last new request in the zone. */
#define ZONE_DRAIN_LIMIT_MS 3000
#define STOP_TIMEOUT_MS 12000
#define REQUESTS_PER_S 200

static const struct load_service services[] = {
	{ "calendar", "/calendar/page", 65, false },
	{ "schedules", "/schedules/list", 10, false },
	{ "schedules", "/schedules/reservations", 15, true },
	{ "fees", "/fees/payments", 10, true },
};

struct demo {
	const char *inventory_file;
	const char *zone; /* the zone that is taken out and brought back */
	bool keep_logs;
	struct fleet *fleet;
	const char **entries;
	struct load *load;
	gint64 start_us; /* start of the load */
	gint64 zone_out_us; /* time of the command to take the zone out */
	/*
	 * Last new request in the zone relative to the command; negative if it
	 * arrived before the command.
	 */
	gint64 last_new_us;
	/* Requests that the upstreams of the zone received. */
	guint64 requests_before_return;
	guint64 requests_after_return;
};

static const struct argp_option option_table[] = {
	{ "inventory", 'i', "FILE", 0,
	  "inventory to apply (default: examples/nidito.toml)", 0 },
	{ "zone", 'z', "NAME", 0, "zone to take out (default: occidente-b)",
	  0 },
	{ "keep-logs", 'k', NULL, 0, "keep the log files of the processes", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	struct demo *demo = state->input;

	if (key == 'i')
		demo->inventory_file = argument;
	else if (key == 'z')
		demo->zone = argument;
	else if (key == 'k')
		demo->keep_logs = true;
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static const struct argp parser = {
	.options = option_table,
	.parser = parse_option,
	.doc = "Run a fleet on loopback under load while a zone is taken out "
	       "and brought back.",
};

static void print_progress(const struct demo *demo, const char *phase)
{
	struct load_stats stats = { 0 };
	double seconds = 0;

	if (demo->load) {
		load_get_stats(demo->load, &stats);
		seconds = (g_get_monotonic_time() - demo->start_us) / 1e6;
	}
	printf("%6.1f s  %-28s sent %5u  whole %5u  not run %3u  unknown %3u\n",
	       seconds, phase, stats.requests, stats.outcomes[LOAD_RUN],
	       stats.outcomes[LOAD_NOT_RUN], stats.outcomes[LOAD_UNKNOWN]);
	fflush(stdout);
}

/*
 * Runs auburnstilectl. Returns false if it cannot be run or exits with an
 * error.
 */
static bool run_ctl(struct demo *demo, const char *const *arguments)
{
	GError *error = NULL;
	int status = -1;
	char *output = fleet_ctl(demo->fleet, fleet_member(demo->fleet, 0),
				 arguments, &status, &error);
	char *line = g_strjoinv(" ", (char **)arguments);

	printf("          auburnstilectl %s: exit %d\n", line, status);
	if (status != 0)
		printf("%s\n", error ? error->message : output);
	g_free(line);
	g_free(output);
	g_clear_error(&error);
	return status == 0;
}

static bool is_in_demo_zone(const struct demo *demo, guint16 upstream)
{
	const struct aub_inventory *inventory = demo->fleet->inventory;
	guint16 zone = aub_upstream_at(inventory, upstream)->zone;

	return !strcmp(aub_zone_at(inventory, zone)->name, demo->zone);
}

/*
 * Returns the number of requests that the upstreams of the zone have received,
 * and sets `last_new_us` to the time of the last one.
 */
static guint64 zone_requests(struct demo *demo, gint64 *last_new_us)
{
	JsonNode *oracle = fleet_oracle(demo->fleet);
	guint64 requests = 0;
	JsonObject *upstream;
	gint64 last_us;
	guint i;

	*last_new_us = 0;
	for (i = 0; i < demo->fleet->inventory->upstreams->len; i++) {
		if (!is_in_demo_zone(demo, i))
			continue;
		upstream = fleet_oracle_upstream(oracle, demo->fleet, i);
		requests += tool_json_int(upstream, "requests", 0);
		last_us = tool_json_int(upstream, "last_new_us", 0);
		*last_new_us = MAX(*last_new_us, last_us);
	}
	json_node_unref(oracle);
	return requests;
}

static bool start_fleet(struct demo *demo)
{
	struct fleet_options options = { .members = FLEET_MEMBERS, .seed = 1 };
	const char *apply[] = { "apply", demo->inventory_file, NULL };
	GError *error = NULL;
	char *text = NULL;
	bool ok = false;

	if (!g_file_get_contents(demo->inventory_file, &text, NULL, &error))
		goto done;
	options.inventory = text;
	demo->fleet = fleet_new(&options, &error);
	if (!demo->fleet || !fleet_start(demo->fleet, &error))
		goto done;
	print_progress(demo, "started");
	if (!fleet_wait_control(fleet_member(demo->fleet, 0), READY_TIMEOUT_MS,
				&error) ||
	    !run_ctl(demo, apply))
		goto done;
	ok = fleet_wait_ready(demo->fleet, READY_TIMEOUT_MS, &error) &&
	     fleet_wait_owners(demo->fleet, READY_TIMEOUT_MS, &error);
	print_progress(demo, ok ? "all entries ready" : "not ready");
done:
	if (error) {
		printf("demo: %s\n", error->message);
		g_error_free(error);
	}
	g_free(text);
	return ok;
}

static void run_load_until(const struct demo *demo, gint64 ms,
			   const char *phase)
{
	gint64 end_us = demo->start_us + ms * 1000;
	gint64 remaining_ms;

	for (;;) {
		remaining_ms = (end_us - g_get_monotonic_time()) / 1000;
		if (remaining_ms <= 0)
			return;
		fleet_run_main_loop_ms(MIN(remaining_ms, 1000));
		print_progress(demo, phase);
	}
}

static bool run_zone_command(struct demo *demo, const char *direction)
{
	const char *arguments[] = { "zone", direction, demo->zone, NULL };

	return run_ctl(demo, arguments);
}

static bool run_load(struct demo *demo)
{
	struct load_options options = {
		.entries = demo->entries,
		.services = services,
		.service_count = G_N_ELEMENTS(services),
		.rate = REQUESTS_PER_S,
		.seconds = LOAD_END_MS / 1000.0,
		.callers = 24,
		.deadline_ms = 5000,
		.retry = true,
		.body_bytes = 200,
		.seed = 1,
	};
	gint64 last_us;
	bool ok;

	demo->load = load_new(&options);
	demo->start_us = g_get_monotonic_time();
	load_start(demo->load);
	run_load_until(demo, ZONE_OUT_AT_MS, "three zones");
	demo->zone_out_us = g_get_monotonic_time();
	ok = run_zone_command(demo, "out");
	run_load_until(demo, ZONE_IN_AT_MS, "one zone out");
	demo->requests_before_return = zone_requests(demo, &last_us);
	demo->last_new_us = last_us - demo->zone_out_us;
	ok = ok && run_zone_command(demo, "in");
	run_load_until(demo, LOAD_END_MS, "zone back");
	while (!load_done(demo->load))
		fleet_run_main_loop_ms(20);
	demo->requests_after_return =
		zone_requests(demo, &last_us) - demo->requests_before_return;
	return ok;
}

static void print_service_row(const struct demo *demo,
			      const struct load_service *service)
{
	const GPtrArray *requests = load_requests(demo->load);
	guint counts[LOAD_OUTCOME_COUNT] = { 0 };
	guint count = 0;
	guint i;

	for (i = 0; i < requests->len; i++) {
		const struct load_request *request = requests->pdata[i];

		if (request->service != service)
			continue;
		counts[request->outcome]++;
		count++;
	}
	printf("  %-26s %-6s %8u %8u %8u %8u\n", service->path,
	       service->keyed ? "once" : "", count, counts[LOAD_RUN],
	       counts[LOAD_NOT_RUN], counts[LOAD_UNKNOWN] + counts[LOAD_ERROR]);
}

static void print_table(const struct demo *demo, const struct load_stats *stats)
{
	char *reasons = load_reasons_text(demo->load);
	guint i;

	printf("\n  %-26s %-6s %8s %8s %8s %8s\n", "path", "rule", "requests",
	       "whole", "not run", "unknown");
	for (i = 0; i < G_N_ELEMENTS(services); i++)
		print_service_row(demo, &services[i]);
	printf("\n  latency ms: p50 %.1f, p99 %.1f, p99.9 %.1f, max %.1f; "
	       "retries by callers: %u\n",
	       stats->p50_ms, stats->p99_ms, stats->p999_ms, stats->max_ms,
	       stats->retries);
	if (*reasons)
		printf("  attempts without a \"run\" result: %s\n", reasons);
	g_free(reasons);
	printf("  zone %s: last new request %.1f"
	       " ms after the command to take it out, %" G_GUINT64_FORMAT
	       " requests after its return\n\n",
	       demo->zone, demo->last_new_us / 1000.0,
	       demo->requests_after_return);
}

static bool report(struct demo *demo)
{
	JsonNode *oracle = fleet_oracle(demo->fleet);
	struct load_comparison comparison;
	struct load_stats stats;

	load_get_stats(demo->load, &stats);
	load_compare(demo->load,
		     json_object_get_object_member(json_node_get_object(oracle),
						   "nonces"),
		     &comparison);
	json_node_unref(oracle);
	print_table(demo, &stats);
	printf("demo: requests=%u whole=%u wrong=%u twice=%u not_run=%u "
	       "unknown=%u zone_out_last_new_ms=%" G_GINT64_FORMAT "\n",
	       stats.requests, stats.outcomes[LOAD_RUN],
	       stats.outcomes[LOAD_INVALID], comparison.executed_more_than_once,
	       stats.outcomes[LOAD_NOT_RUN],
	       stats.outcomes[LOAD_UNKNOWN] + stats.outcomes[LOAD_ERROR],
	       MAX(demo->last_new_us, 0) / 1000);
	return !stats.outcomes[LOAD_INVALID] &&
	       !comparison.executed_more_than_once &&
	       stats.outcomes[LOAD_RUN] &&
	       demo->last_new_us <= ZONE_DRAIN_LIMIT_MS * AUB_MS &&
	       demo->requests_after_return > 0;
}

static void stop_fleet(struct demo *demo, bool ok)
{
	bool keep = demo->keep_logs || !ok;
	guint clean_stops = 0;
	guint i;

	if (demo->load)
		load_free(demo->load);
	if (!demo->fleet)
		return;
	for (i = 0; i < demo->fleet->members->len; i++)
		fleet_signal(fleet_member(demo->fleet, i), FLEET_BOTH, SIGTERM);
	for (i = 0; i < demo->fleet->members->len; i++)
		clean_stops += fleet_stop(fleet_member(demo->fleet, i),
					  FLEET_BOTH, STOP_TIMEOUT_MS);
	printf("stopped cleanly: %u of %u members\n", clean_stops,
	       demo->fleet->members->len);
	if (keep)
		printf("logs: %s\n", demo->fleet->folder);
	fleet_free(demo->fleet, keep);
	g_free(demo->entries);
}

int main(int argc, char **argv)
{
	struct demo demo = { .inventory_file = "examples/nidito.toml",
			     .zone = "occidente-b" };
	bool ok;

	argp_parse(&parser, argc, argv, 0, NULL, &demo);
	child_install_exit_handlers();
	ok = start_fleet(&demo);
	if (ok) {
		demo.entries = fleet_entry_addresses(demo.fleet);
		ok = run_load(&demo);
		ok = report(&demo) && ok;
	}
	stop_fleet(&demo, ok);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

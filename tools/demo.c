/*
 * The demonstration: a whole fleet on loopback serves a Nidito-shaped load
 * while a zone is taken out and brought back.
 *
 * Ends with 0 only when no answer was wrong, no request that may run once
 * ran twice, the zone got nothing new from 3 s after the command on, and got
 * work again after its return. What ran is read from the upstreams.
 */
#include "common/child.h"
#include "common/tool.h"
#include "fleet/fleet.h"
#include "load/load.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define MEMBERS 6
#define READY_MS 20000
#define ZONE_OUT_MS 3000 /* from the load's start */
#define ZONE_IN_MS 9000
#define END_MS 14000
#define LAST_NEW_LIMIT_MS 3000 /* the promise */
#define STOP_MS 12000
#define RATE 200 /* requests a second */

static const struct load_service services[] = {
	{ "calendar", "/calendar/page", 65, false },
	{ "schedules", "/schedules/list", 10, false },
	{ "schedules", "/schedules/reservations", 15, true },
	{ "fees", "/fees/payments", 10, true },
};

struct demo {
	const char *inventory_file;
	const char *zone; /* that goes out and comes back */
	bool keep_logs;
	struct fleet *fleet;
	const char **entries;
	struct load *load;
	gint64 start_us; /* of the load */
	gint64 out_us; /* when the command was given */
	gint64 last_new_us; /* of the zone, since the command; < 0: before */
	guint64 zone_before_return; /* requests the zone's upstreams got */
	guint64 zone_after_return;
};

static const struct argp_option option_table[] = {
	{ "inventory", 'i', "FILE", 0, "default: examples/nidito.toml", 0 },
	{ "zone", 'z', "NAME", 0, "default: occidente-b", 0 },
	{ "keep-logs", 'k', NULL, 0, "leave the processes' logs", 0 },
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
	.doc = "A fleet on loopback, a load, and a zone out and back.",
};

static void show_progress(const struct demo *demo, const char *what)
{
	struct load_stats figures = { 0 };
	double seconds = 0;

	if (demo->load) {
		load_get_stats(demo->load, &figures);
		seconds = (g_get_monotonic_time() - demo->start_us) / 1e6;
	}
	printf("%6.1f s  %-28s sent %5u  whole %5u  not run %3u  unknown %3u\n",
	       seconds, what, figures.requests, figures.outcomes[LOAD_RUN],
	       figures.outcomes[LOAD_NOT_RUN], figures.outcomes[LOAD_UNKNOWN]);
	fflush(stdout);
}

/* Runs auburnstilectl; false when it can't be run or refuses. */
static bool command(struct demo *demo, const char *const *arguments)
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

static bool in_zone(const struct demo *demo, guint16 upstream)
{
	const struct aub_inventory *inventory = demo->fleet->inventory;
	guint16 zone = aub_upstream_at(inventory, upstream)->zone;

	return !strcmp(aub_zone_at(inventory, zone)->name, demo->zone);
}

/* Requests the zone's upstreams got so far, and when the last came. */
static guint64 zone_requests(struct demo *demo, gint64 *last_new_us)
{
	JsonNode *oracle = fleet_oracle(demo->fleet);
	guint64 requests = 0;
	JsonObject *upstream;
	gint64 last_us;
	guint i;

	*last_new_us = 0;
	for (i = 0; i < demo->fleet->inventory->upstreams->len; i++) {
		if (!in_zone(demo, i))
			continue;
		upstream = fleet_oracle_upstream(oracle, demo->fleet, i);
		requests += tool_json_int(upstream, "requests", 0);
		last_us = tool_json_int(upstream, "last_new_us", 0);
		*last_new_us = MAX(*last_new_us, last_us);
	}
	json_node_unref(oracle);
	return requests;
}

static bool start(struct demo *demo)
{
	struct fleet_options options = { .members = MEMBERS, .seed = 1 };
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
	show_progress(demo, "started");
	if (!fleet_wait_control(fleet_member(demo->fleet, 0), READY_MS,
				&error) ||
	    !command(demo, apply))
		goto done;
	ok = fleet_wait_ready(demo->fleet, READY_MS, &error) &&
	     fleet_wait_owners(demo->fleet, READY_MS, &error);
	show_progress(demo, ok ? "all entries ready" : "not ready");
done:
	if (error) {
		printf("demo: %s\n", error->message);
		g_error_free(error);
	}
	g_free(text);
	return ok;
}

static void run_until(const struct demo *demo, gint64 ms, const char *what)
{
	gint64 end_us = demo->start_us + ms * 1000;
	gint64 left_ms;

	for (;;) {
		left_ms = (end_us - g_get_monotonic_time()) / 1000;
		if (left_ms <= 0)
			return;
		fleet_run_main_loop_ms(MIN(left_ms, 1000));
		show_progress(demo, what);
	}
}

static bool zone_command(struct demo *demo, const char *way)
{
	const char *arguments[] = { "zone", way, demo->zone, NULL };

	return command(demo, arguments);
}

static bool run_load(struct demo *demo)
{
	struct load_options options = {
		.entries = demo->entries,
		.services = services,
		.service_count = G_N_ELEMENTS(services),
		.rate = RATE,
		.seconds = END_MS / 1000.0,
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
	run_until(demo, ZONE_OUT_MS, "three zones");
	demo->out_us = g_get_monotonic_time();
	ok = zone_command(demo, "out");
	run_until(demo, ZONE_IN_MS, "one zone out");
	demo->zone_before_return = zone_requests(demo, &last_us);
	demo->last_new_us = last_us - demo->out_us;
	ok = ok && zone_command(demo, "in");
	run_until(demo, END_MS, "zone back");
	while (!load_done(demo->load))
		fleet_run_main_loop_ms(20);
	demo->zone_after_return =
		zone_requests(demo, &last_us) - demo->zone_before_return;
	return ok;
}

static void service_row(const struct demo *demo,
			const struct load_service *service)
{
	const GPtrArray *requests = load_requests(demo->load);
	guint told[LOAD_OUTCOME_COUNT] = { 0 };
	guint count = 0;
	guint i;

	for (i = 0; i < requests->len; i++) {
		const struct load_request *request = requests->pdata[i];

		if (request->service != service)
			continue;
		told[request->outcome]++;
		count++;
	}
	printf("  %-26s %-6s %8u %8u %8u %8u\n", service->path,
	       service->keyed ? "once" : "", count, told[LOAD_RUN],
	       told[LOAD_NOT_RUN], told[LOAD_UNKNOWN] + told[LOAD_ERROR]);
}

static void print_table(const struct demo *demo,
			const struct load_stats *figures)
{
	char *reasons = load_reasons_text(demo->load);
	guint i;

	printf("\n  %-26s %-6s %8s %8s %8s %8s\n", "path", "rule", "requests",
	       "whole", "not run", "unknown");
	for (i = 0; i < G_N_ELEMENTS(services); i++)
		service_row(demo, &services[i]);
	printf("\n  latency ms: p50 %.1f, p99 %.1f, p99.9 %.1f, max %.1f; "
	       "repeats by callers: %u\n",
	       figures->p50_ms, figures->p99_ms, figures->p999_ms,
	       figures->max_ms, figures->retries);
	if (*reasons)
		printf("  tries told otherwise than run: %s\n", reasons);
	g_free(reasons);
	printf("  zone %s: last new request %.1f"
	       " ms after the command to take it out, %" G_GUINT64_FORMAT
	       " requests after its return\n\n",
	       demo->zone, demo->last_new_us / 1000.0, demo->zone_after_return);
}

static bool report(struct demo *demo)
{
	JsonNode *oracle = fleet_oracle(demo->fleet);
	struct load_comparison verdict;
	struct load_stats figures;

	load_get_stats(demo->load, &figures);
	load_compare(demo->load,
		     json_object_get_object_member(json_node_get_object(oracle),
						   "nonces"),
		     &verdict);
	json_node_unref(oracle);
	print_table(demo, &figures);
	printf("demo: requests=%u whole=%u wrong=%u twice=%u not_run=%u "
	       "unknown=%u zone_out_last_new_ms=%" G_GINT64_FORMAT "\n",
	       figures.requests, figures.outcomes[LOAD_RUN],
	       figures.outcomes[LOAD_INVALID], verdict.executed_more_than_once,
	       figures.outcomes[LOAD_NOT_RUN],
	       figures.outcomes[LOAD_UNKNOWN] + figures.outcomes[LOAD_ERROR],
	       MAX(demo->last_new_us, 0) / 1000);
	return !figures.outcomes[LOAD_INVALID] && !verdict.executed_more_than_once &&
	       figures.outcomes[LOAD_RUN] &&
	       demo->last_new_us <= LAST_NEW_LIMIT_MS * AUB_MS &&
	       demo->zone_after_return > 0;
}

static void stop(struct demo *demo, bool ok)
{
	bool keep = demo->keep_logs || !ok;
	guint in_order = 0;
	guint i;

	if (demo->load)
		load_free(demo->load);
	if (!demo->fleet)
		return;
	for (i = 0; i < demo->fleet->members->len; i++)
		fleet_signal(fleet_member(demo->fleet, i), FLEET_BOTH, SIGTERM);
	for (i = 0; i < demo->fleet->members->len; i++)
		in_order += fleet_stop(fleet_member(demo->fleet, i), FLEET_BOTH,
				       STOP_MS);
	printf("stopped in order: %u of %u members\n", in_order,
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
	ok = start(&demo);
	if (ok) {
		demo.entries = fleet_entry_addresses(demo.fleet);
		ok = run_load(&demo);
		ok = report(&demo) && ok;
	}
	stop(&demo, ok);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

/*
 * slopes: measures how the processor time, memory and network traffic of
 * control, and the number of calls to the store, grow with nodes, upstreams,
 * services and changes.
 *
 * Runs real controls on loopback with the stand-in store; their entries are
 * simulated in this process. Writes build/slopes.tsv and prints fitted lines
 * with their largest residuals, which are the basis of docs/CAPACITY.md.
 */
#include "fleet/fleet_inventory.h"
#include "slopes/slopes.h"

#include <auburnstile/error.h>
#include <argp.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FULL_SIZE_SERVICES 88
#define FULL_SIZE_UPSTREAMS 910
#define WARM_UP_MS 9000 /* start, gossip and first assignments */
#define TIMED_CHANGES 5 /* number of timed changes for each size */
#define JOIN_TIMEOUT_S 30

struct row {
	const char *scenario;
	guint nodes;
	guint upstreams;
	guint services;
	double changes_per_s;
	double processor_percent; /* of one core; mean over the nodes */
	double processor_max_percent;
	double memory_mb;
	double memory_max_mb;
	double bytes_per_s;
	double bytes_max_per_s;
	double messages_per_s;
	double store_calls_per_s;
	double in_effect_ms; /* median; -1 if not measured */
	double in_effect_max_ms;
};

struct run {
	struct fleet *fleet;
	GPtrArray *entries; /* of struct slopes_entry */
	struct row row;
	char *inventory;
	FILE *out;
	GArray *rows; /* of struct row */
	guint window_ms;
	bool entry_only;
	bool restarts_only;
	/* Changes so far; odd ones bring the zone back. */
	guint64 changes;
};

static struct fleet_member *member_at(struct run *run, guint i)
{
	return fleet_member(run->fleet, i);
}

static bool all_entries_have(struct run *run, guint64 version)
{
	guint i;

	for (i = 0; i < run->entries->len; i++) {
		struct slopes_entry *entry = run->entries->pdata[i];

		if (entry->config_version < version || !entry->serve)
			return false;
	}
	return true;
}

static bool wait_for_config(struct run *run, guint64 version, guint seconds)
{
	gint64 end_us =
		g_get_monotonic_time() + (gint64)seconds * G_USEC_PER_SEC;

	while (!all_entries_have(run, version)) {
		if (g_get_monotonic_time() > end_us)
			return false;
		fleet_run_main_loop_ms(10);
	}
	return true;
}

static char *apply_request(const char *inventory, guint64 base)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_init_object(json_node_alloc(), object);
	char *text;

	json_object_set_int_member(object, "base", (gint64)base);
	json_object_set_string_member(object, "inventory", inventory);
	json_object_set_string_member(object, "author", "slopes");
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	json_object_unref(object);
	return text;
}

/*
 * Takes a zone out or back in. Returns the time in ms until all entries have
 * the change, or -1 on failure.
 */
static double apply_change(struct run *run, guint node)
{
	const char *path =
		run->changes++ % 2 ? "/v1/zones/z8/in" : "/v1/zones/z8/out";
	gint64 start_us = g_get_monotonic_time();
	gint64 last_received_us = start_us;
	guint64 version = 0;
	guint i;

	if (!slopes_post_change(run->fleet, member_at(run, node), path, "{}",
				&version)) {
		fprintf(stderr, "slopes: %s was refused\n", path);
		return -1;
	}
	if (!wait_for_config(run, version, 20)) {
		fprintf(stderr,
			"slopes: version %" G_GUINT64_FORMAT
			" is not in effect everywhere after 20 s\n",
			version);
		return -1;
	}
	for (i = 0; i < run->entries->len; i++) {
		struct slopes_entry *entry = run->entries->pdata[i];

		last_received_us =
			MAX(last_received_us, entry->config_received_us);
	}
	return (double)(last_received_us - start_us) / 1000;
}

static bool start_fleet(struct run *run, guint nodes, guint services,
			guint upstreams)
{
	struct fleet_service first = { .name = "first",
				       .path = "/",
				       .upstreams = 8 };
	char *bootstrap = fleet_inventory_text(&first, 1, 8);
	struct fleet_options options = { .inventory = bootstrap,
					 .members = nodes };
	GError *error = NULL;
	guint64 version = 0;
	char *body;
	guint i;

	run->row = (struct row){ .nodes = nodes,
				 .services = services,
				 .upstreams = upstreams,
				 .in_effect_ms = -1,
				 .in_effect_max_ms = -1 };
	run->changes = 0;
	run->entries = g_ptr_array_new_with_free_func(
		(GDestroyNotify)slopes_entry_free);
	run->fleet = fleet_new(&options, &error);
	g_free(bootstrap);
	for (i = 0; run->fleet && i < nodes; i++)
		if (!fleet_start_control(run->fleet, member_at(run, i), &error))
			break;
	if (error) {
		fprintf(stderr, "slopes: %s\n", error->message);
		g_clear_error(&error);
		return false;
	}
	fleet_run_main_loop_ms(1500);
	for (i = 0; i < nodes; i++)
		g_ptr_array_add(run->entries,
				slopes_entry_new(member_at(run, i), 1000 + i));
	fleet_run_main_loop_ms(3000);
	run->inventory = slopes_inventory(services, upstreams);
	body = apply_request(run->inventory, 0);
	if (!slopes_post_change(run->fleet, member_at(run, 0),
				"/v1/config/apply", body, &version))
		fprintf(stderr, "slopes: the inventory was not applied\n");
	g_free(body);
	return version && wait_for_config(run, version, JOIN_TIMEOUT_S);
}

static void stop_fleet(struct run *run)
{
	g_ptr_array_unref(run->entries);
	fleet_free(run->fleet, false);
	g_clear_pointer(&run->inventory, g_free);
}

static struct slopes_sample *read_samples(struct run *run)
{
	guint nodes = run->row.nodes;
	struct slopes_sample *samples = g_new0(struct slopes_sample, nodes);
	guint i;

	for (i = 0; i < nodes; i++) {
		slopes_sample_read(member_at(run, i), &samples[i]);
		fleet_run_main_loop_ms(1);
	}
	return samples;
}

static void add_node_usage(struct row *row, const struct slopes_sample *before,
			   const struct slopes_sample *after)
{
	double seconds = (double)(after->taken_us - before->taken_us) / 1e6;
	double processor =
		(after->processor_us - before->processor_us) / seconds / 1e4;
	double bytes = (after->network_bytes - before->network_bytes) / seconds;
	double memory = after->resident_bytes / (1 << 20);

	row->processor_percent += processor / row->nodes;
	row->processor_max_percent =
		fmax(row->processor_max_percent, processor);
	row->bytes_per_s += bytes / row->nodes;
	row->bytes_max_per_s = fmax(row->bytes_max_per_s, bytes);
	row->memory_mb += memory / row->nodes;
	row->memory_max_mb = fmax(row->memory_max_mb, memory);
	row->messages_per_s +=
		(after->messages - before->messages) / seconds / row->nodes;
}

/* Measures for the window and applies `changes_per_s` changes meanwhile. */
static void measure(struct run *run, double changes_per_s)
{
	struct slopes_sample *before = read_samples(run);
	double calls = slopes_read_store_calls(run->fleet);
	gint64 start_us = g_get_monotonic_time();
	gint64 end_us = start_us + run->window_ms * (gint64)1000;
	struct slopes_sample *after;
	guint changes_done = 0;
	guint i;

	run->row.changes_per_s = changes_per_s;
	while (g_get_monotonic_time() < end_us) {
		double seconds =
			(double)(g_get_monotonic_time() - start_us) / 1e6;

		if (changes_done < seconds * changes_per_s) {
			apply_change(run, changes_done % run->row.nodes);
			changes_done++;
		}
		fleet_run_main_loop_ms(20);
	}
	run->row.store_calls_per_s =
		(slopes_read_store_calls(run->fleet) - calls) * 1e6 /
		(double)(g_get_monotonic_time() - start_us);
	after = read_samples(run);
	for (i = 0; i < run->row.nodes; i++)
		add_node_usage(&run->row, &before[i], &after[i]);
	g_free(before);
	g_free(after);
}

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static void time_changes(struct run *run)
{
	double times[TIMED_CHANGES];
	guint i;

	for (i = 0; i < TIMED_CHANGES; i++)
		times[i] = apply_change(run, (i * 7 + 1) % run->row.nodes);
	qsort(times, TIMED_CHANGES, sizeof(times[0]), compare_doubles);
	run->row.in_effect_ms = times[0] < 0 ? -1 : times[TIMED_CHANGES / 2];
	run->row.in_effect_max_ms =
		times[0] < 0 ? -1 : times[TIMED_CHANGES - 1];
}

static void write_row(struct run *run, const char *scenario)
{
	struct row *row = &run->row;
	char text[512];

	row->scenario = scenario;
	g_snprintf(text, sizeof(text),
		   "%s\t%u\t%u\t%u\t%.2f\t%.3f\t%.3f\t%.1f\t%.1f\t%.0f\t%.0f"
		   "\t%.1f\t%.1f\t%.0f\t%.0f\n",
		   scenario, row->nodes, row->upstreams, row->services,
		   row->changes_per_s, row->processor_percent,
		   row->processor_max_percent, row->memory_mb,
		   row->memory_max_mb, row->bytes_per_s, row->bytes_max_per_s,
		   row->messages_per_s, row->store_calls_per_s,
		   row->in_effect_ms, row->in_effect_max_ms);
	fputs(text, run->out);
	fflush(run->out);
	fputs(text, stdout);
	fflush(stdout);
	g_array_append_val(run->rows, *row);
}

static void measure_size(struct run *run, const char *scenario, guint nodes,
			 guint services, guint upstreams, double changes_per_s)
{
	if (start_fleet(run, nodes, services, upstreams)) {
		fleet_run_main_loop_ms(WARM_UP_MS);
		measure(run, changes_per_s);
		if (!strcmp(scenario, "nodes"))
			time_changes(run);
		write_row(run, scenario);
	} else {
		printf("%s %u %u %u: the fleet did not become ready\n",
		       scenario, nodes, services, upstreams);
	}
	stop_fleet(run);
}

/*
 * Kills `count` controls, every `step`th one from `first` on, and starts them
 * again.
 */
static void restart_controls(struct run *run, guint first, guint step,
			     guint count)
{
	guint i;

	for (i = 0; i < count; i++)
		fleet_signal(member_at(run, first + i * step), FLEET_CONTROL,
			     SIGKILL);
	fleet_run_main_loop_ms(200);
	for (i = 0; i < count; i++)
		fleet_start_control(run->fleet,
				    member_at(run, first + i * step), NULL);
}

/*
 * Measures the cost of restarts: all controls of a zone at the same time, then
 * a third of all controls while a change is distributed.
 */
static void measure_restarts(struct run *run, guint nodes)
{
	double calls;

	if (!start_fleet(run, nodes, FULL_SIZE_SERVICES, FULL_SIZE_UPSTREAMS))
		goto out;
	fleet_run_main_loop_ms(WARM_UP_MS);
	calls = slopes_read_store_calls(run->fleet);
	fleet_run_main_loop_ms(10000);
	printf("restart\tnone\t%u nodes\t%.0f store calls in 10 s\n", nodes,
	       slopes_read_store_calls(run->fleet) - calls);
	calls = slopes_read_store_calls(run->fleet);
	restart_controls(run, 0, 8, nodes / 8);
	fleet_run_main_loop_ms(10000);
	printf("restart\tzone\t%u nodes\t%.0f store calls in 10 s\n", nodes,
	       slopes_read_store_calls(run->fleet) - calls);
	fleet_run_main_loop_ms(5000);
	restart_controls(run, 1, 3, nodes / 3);
	printf("restart\tthird\t%u nodes\tin force after %.0f ms\n", nodes,
	       apply_change(run, 0));
out:
	stop_fleet(run);
}

static void print_fit(struct run *run, const char *scenario,
		      const char *quantity, size_t x_offset, bool x_is_double,
		      size_t y_offset)
{
	double x[16];
	double y[16];
	struct slopes_line line;
	guint count = 0;
	guint i;

	for (i = 0; i < run->rows->len && count < G_N_ELEMENTS(x); i++) {
		const struct row *row =
			&g_array_index(run->rows, struct row, i);
		const char *row_bytes = (const char *)row;

		if (strcmp(row->scenario, scenario) != 0)
			continue;
		x[count] = x_is_double ?
				   *(const double *)(row_bytes + x_offset) :
				   *(const guint *)(row_bytes + x_offset);
		y[count++] = *(const double *)(row_bytes + y_offset);
	}
	if (count < 2)
		return;
	line = slopes_fit(x, y, count);
	printf("fit\t%s\t%s\t%.4g + %.4g each, largest residual %.3g\n",
	       scenario, quantity, line.base, line.slope, line.residual);
}

static void print_fits(struct run *run)
{
	static const struct {
		const char *quantity;
		size_t offset;
	} outcomes[] = {
		{ "processor %", offsetof(struct row, processor_percent) },
		{ "memory MB", offsetof(struct row, memory_mb) },
		{ "bytes/s", offsetof(struct row, bytes_per_s) },
		{ "store calls/s", offsetof(struct row, store_calls_per_s) },
	};
	static const struct {
		const char *scenario;
		size_t offset;
		bool is_double;
	} inputs[] = {
		{ "nodes", offsetof(struct row, nodes), false },
		{ "upstreams", offsetof(struct row, upstreams), false },
		{ "services", offsetof(struct row, services), false },
		{ "changes", offsetof(struct row, changes_per_s), true },
	};
	guint i;
	guint j;

	for (i = 0; i < G_N_ELEMENTS(inputs); i++)
		for (j = 0; j < G_N_ELEMENTS(outcomes); j++)
			print_fit(run, inputs[i].scenario, outcomes[j].quantity,
				  inputs[i].offset, inputs[i].is_double,
				  outcomes[j].offset);
}

static void measure_all(struct run *run)
{
	static const guint nodes[] = { 8, 16, 32, 64, 104 };
	static const guint upstreams[] = { 114, 228, 455, 910 };
	static const guint services[] = { 11, 22, 44, 88 };
	static const double changes[] = { 0, 0.1, 0.25, 0.5 };
	char *text = slopes_inventory(FULL_SIZE_SERVICES, FULL_SIZE_UPSTREAMS);
	guint i;

	printf("full inventory: %zu bytes of TOML\n", strlen(text));
	g_free(text);
	for (i = 0; i < G_N_ELEMENTS(nodes); i++)
		measure_size(run, "nodes", nodes[i], FULL_SIZE_SERVICES,
			     FULL_SIZE_UPSTREAMS, 0);
	for (i = 0; i < G_N_ELEMENTS(upstreams); i++)
		measure_size(run, "upstreams", 8, FULL_SIZE_SERVICES,
			     upstreams[i], 0);
	for (i = 0; i < G_N_ELEMENTS(services); i++)
		measure_size(run, "services", 8, services[i],
			     FULL_SIZE_UPSTREAMS, 0);
	for (i = 0; i < G_N_ELEMENTS(changes); i++)
		measure_size(run, "changes", 16, FULL_SIZE_SERVICES,
			     FULL_SIZE_UPSTREAMS, changes[i]);
	measure_restarts(run, 40);
	print_fits(run);
	slopes_measure_entry(stdout);
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	struct run *run = state->input;

	switch (key) {
	case 'w':
		run->window_ms = (guint)atoi(argument);
		return 0;
	case 'e':
		run->entry_only = true;
		return 0;
	case 'r':
		run->restarts_only = true;
		return 0;
	case 'n':
		run->row.nodes = (guint)atoi(argument);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{ "window-ms", 'w', "MS", 0, "duration of each measurement", 0 },
	{ "entry", 'e', NULL, 0, "measure only the cost of an entry", 0 },
	{ "restarts", 'r', NULL, 0, "measure only the cost of restarts", 0 },
	{ "nodes", 'n', "N", 0, "measure only N nodes, at full size", 0 },
	{ NULL }
};

int main(int argc, char **argv)
{
	const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Measure how the cost of control grows.",
	};
	struct run run = { .window_ms = 10000 };
	guint nodes;

	argp_parse(&argp, argc, argv, 0, NULL, &run);
	nodes = run.row.nodes;
	child_install_exit_handlers();
	if (run.entry_only)
		return slopes_measure_entry(stdout) ? 0 : 1;
	run.out = fopen("build/slopes.tsv", "w");
	if (!run.out) {
		perror("build/slopes.tsv");
		return 1;
	}
	run.rows = g_array_new(FALSE, FALSE, sizeof(struct row));
	fputs("scenario\tnodes\tupstreams\tservices\tchanges_per_s\t"
	      "processor_percent\tprocessor_max\tmemory_mb\tmemory_max\t"
	      "bytes_per_s\tbytes_max\tmessages_per_s\tstore_calls_per_s\t"
	      "in_force_ms\tin_force_max\n",
	      run.out);
	if (run.restarts_only)
		measure_restarts(&run, 40);
	else if (nodes)
		measure_size(&run, "nodes", nodes, FULL_SIZE_SERVICES,
			     FULL_SIZE_UPSTREAMS, 0);
	else
		measure_all(&run);
	fclose(run.out);
	g_array_unref(run.rows);
	return 0;
}

/*
 * Measures a fleet of real processes; see bench/bench.h. Writes bench.tsv,
 * zone.tsv, owner.tsv and report.html to the given folder.
 */
#include "bench/bench.h"

#include <argp.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * The mean service times are longer than the 20 ms of the design, so that one
 * load generator process on one machine can keep up with the arrivals; see
 * docs/MEASUREMENTS.md.
 */
static const struct bench_shape nidito = {
	"nidito-calendar", "calendar", 12, 2, 3, 1000, 40000
};
static const struct bench_shape cedarline = {
	"cedarline-portal", "portal", 14, 6, 4, 6000, 120000
};

static const char *const baselines[] = { "random", "round-robin",
					 "least-reported", "two-choices" };

struct bench {
	const char *folder;
	const char *only_scenario; /* a scenario; NULL for all */
	const char *policy; /* a policy; NULL for all */
	/* Offered load of the slow scenario; 0 for all loads. */
	double load;
	bool is_short;
	guint runs;
	guint members;
	double seconds;
	GArray *rows; /* of struct bench_row */
	guint failures;
};

static const struct argp_option option_table[] = {
	{ "short", 's', NULL, 0, "one row of each scenario, in less than 55 s",
	  0 },
	{ "runs", 'r', "N", 0, "number of runs of each case (default: 5)", 0 },
	{ "members", 'm', "N", 0, "number of entry VMs (default: 15)", 0 },
	{ "seconds", 't', "N", 0, "duration of a run (default: 10)", 0 },
	{ "policy", 'p', "NAME", 0, "run only this policy", 0 },
	{ "load", 'l', "SHARE", 0, "run the slow scenario only with this load",
	  0 },
	{ "only", 'o', "SCENARIO", 0, "run only this scenario", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	struct bench *bench = state->input;

	switch (key) {
	case 's':
		bench->is_short = true;
		bench->runs = 1;
		bench->members = 6;
		bench->seconds = 3;
		return 0;
	case 'r':
		bench->runs = (guint)strtoul(argument, NULL, 10);
		return 0;
	case 'm':
		bench->members = (guint)strtoul(argument, NULL, 10);
		return 0;
	case 't':
		bench->seconds = g_ascii_strtod(argument, NULL);
		return 0;
	case 'p':
		bench->policy = argument;
		return 0;
	case 'l':
		bench->load = g_ascii_strtod(argument, NULL);
		return 0;
	case 'o':
		bench->only_scenario = argument;
		return 0;
	case ARGP_KEY_ARG:
		bench->folder = argument;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	option_table, parse_option,
	"FOLDER",     "Measure a fleet under load and faults.",
	NULL,	      NULL,
	NULL
};

static bool is_selected(const struct bench *bench, const char *scenario)
{
	return !bench->only_scenario ||
	       g_str_equal(bench->only_scenario, scenario);
}

static char *output_path(const struct bench *bench, const char *name)
{
	return g_build_filename(bench->folder, name, NULL);
}

static void report_error(struct bench *bench, const char *scenario,
			 GError *error)
{
	fprintf(stderr, "%s: %s\n", scenario,
		error ? error->message : "failed");
	g_clear_error(&error);
	bench->failures++;
}

static void write_files(const struct bench *bench)
{
	char *tsv = output_path(bench, "bench.tsv");
	char *page = output_path(bench, "report.html");

	bench_write_tsv(bench->rows, tsv);
	bench_write_page(bench->rows, page);
	g_free(tsv);
	g_free(page);
}

static void measure(struct bench *bench, struct bench_params params)
{
	if (bench->policy && !g_str_equal(params.policy, bench->policy))
		return;
	params.members = bench->members;
	params.seconds = bench->seconds;
	for (guint run = 1; run <= bench->runs; run++) {
		GError *error = NULL;
		struct bench_row row;

		params.run = run;
		if (!bench_run(&params, &row, &error)) {
			report_error(bench, params.scenario, error);
			continue;
		}
		bench_print_row(&row);
		g_array_append_val(bench->rows, row);
		write_files(bench);
	}
}

/*
 * Tail latency with one slow upstream at a time: all policies and loads, with
 * and without hedged requests.
 */
static void bench_tail_latency(struct bench *bench,
			       const struct bench_shape *shape)
{
	static const double loads[] = { 0.7, 0.85, 0.5 };
	guint count = bench->is_short ? 1 : G_N_ELEMENTS(loads);

	for (guint i = 0; i < count; i++) {
		struct bench_params params = {
			.scenario = "slow",
			.shape = shape,
			.policy = "auburnstile",
			.load = loads[i],
			.slow = true,
		};

		if (bench->load > 0 && fabs(bench->load - loads[i]) > 0.001)
			continue;
		measure(bench, params);
		params.scenario = "slow-hedged";
		params.hedge_percent = 3;
		measure(bench, params);
		params.scenario = "slow";
		params.hedge_percent = 0;
		for (guint b = 0; b < G_N_ELEMENTS(baselines); b++) {
			params.policy = baselines[b];
			if (!bench->is_short ||
			    g_str_equal(params.policy, "two-choices"))
				measure(bench, params);
		}
	}
}

static void bench_overload(struct bench *bench)
{
	struct bench_params params = {
		.scenario = "overload",
		.shape = &nidito,
		.policy = "auburnstile",
		.load = 1.3,
	};

	measure(bench, params);
	if (bench->is_short)
		return;
	params.policy = "two-choices";
	measure(bench, params);
}

static void bench_fail_fast(struct bench *bench)
{
	struct bench_params params = {
		.scenario = "fail-fast",
		.shape = &nidito,
		.policy = "auburnstile",
		.load = 0.7,
		.fail_fast = 1,
	};

	measure(bench, params);
	params.policy = "two-choices";
	measure(bench, params);
}

/* Compares the cost of probes with the benefit of a larger probe budget. */
static void bench_probes(struct bench *bench)
{
	static const guint budgets[] = { 1000, 10000, 50000, 200000 };

	for (guint i = 0; i < G_N_ELEMENTS(budgets); i++) {
		char name[32];
		struct bench_params params = {
			.scenario = g_intern_string(
				(g_snprintf(name, sizeof(name),
					    "probe-budget-%u", budgets[i]),
				 name)),
			.shape = &nidito,
			.policy = "auburnstile",
			.load = 0.7,
			.slow = true,
			.probe_budget_us = budgets[i],
		};

		measure(bench, params);
	}
}

typedef bool timeline_bench(const struct bench_shape *shape, guint members,
			    double seconds, const char *file, GError **error);

static void bench_timeline(struct bench *bench, const char *name,
			   timeline_bench *run, double seconds)
{
	char *file_name = g_strdup_printf("%s.tsv", name);
	char *file = output_path(bench, file_name);
	GError *error = NULL;

	if (!run(&nidito, bench->members, seconds, file, &error))
		report_error(bench, name, error);
	fflush(stdout);
	g_free(file);
	g_free(file_name);
}

int main(int argc, char **argv)
{
	struct bench bench = {
		.folder = ".",
		.runs = 5,
		.members = 15,
		.seconds = 10,
	};

	if (argp_parse(&argp, argc, argv, 0, NULL, &bench))
		return EXIT_FAILURE;
	bench.rows = g_array_new(FALSE, FALSE, sizeof(struct bench_row));
	g_mkdir_with_parents(bench.folder, 0755);
	bench_print_header();
	if (is_selected(&bench, "slow"))
		bench_tail_latency(&bench, &nidito);
	if (is_selected(&bench, "zone"))
		bench_timeline(&bench, "zone", bench_zone_outage,
			       bench.is_short ? 8 : 36);
	if (is_selected(&bench, "owner"))
		bench_timeline(&bench, "owner", bench_owner_crash,
			       bench.is_short ? 5 : 15);
	if (is_selected(&bench, "overload"))
		bench_overload(&bench);
	if (!bench.is_short && is_selected(&bench, "cedarline"))
		bench_tail_latency(&bench, &cedarline);
	if (!bench.is_short && is_selected(&bench, "fail-fast"))
		bench_fail_fast(&bench);
	if (!bench.is_short && is_selected(&bench, "probes"))
		bench_probes(&bench);
	write_files(&bench);
	g_array_unref(bench.rows);
	return bench.failures ? EXIT_FAILURE : EXIT_SUCCESS;
}

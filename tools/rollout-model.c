/*
 * rollout-model: simulates rollouts of good and faulty versions in a model of
 * one service and prints a table of the exposure, the decisions and the answers
 * that callers get.
 *
 * Runs are seeded, use virtual time and run on all cores. See tools/rollout/.
 */
#include "rollout/rollout_model.h"

#include <auburnstile/internal/rollout.h>

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct fleet_size {
	guint upstreams;
	double requests_per_s;
};

static const struct fleet_size sizes[] = {
	{ 4, 5 },
	{ 6, 20 },
	{ 40, 100 },
	{ 130, 400 },
};
static const double durations[] = { 5, 12, 30, 120 };

struct options {
	guint rollouts; /* for each fault */
	guint seed;
	guint jobs;
	const char *only_fault; /* name of a fault; NULL for all */
	const char *tsv; /* file for the outcome of each rollout, or NULL */
	bool verbose;
};

struct model_run {
	struct rollout_spec spec;
	struct rollout_outcome outcome;
	bool is_visible;
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;
	char *end = NULL;
	guint64 number = arg ? g_ascii_strtoull(arg, &end, 10) : 0;

	if (strchr("nsj", key) &&
	    (!arg || *end || end == arg || !number || number > G_MAXINT))
		argp_error(state, "-%c needs a positive number, not \"%s\"",
			   key, arg);
	switch (key) {
	case 'n':
		options->rollouts = (guint)number;
		return 0;
	case 's':
		options->seed = (guint)number;
		return 0;
	case 'j':
		options->jobs = (guint)number;
		return 0;
	case 'f':
		options->only_fault = arg;
		return 0;
	case 'o':
		options->tsv = arg;
		return 0;
	case 'v':
		options->verbose = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void run_one(void *data, void *context)
{
	struct model_run *run = data;

	rollout_model_run(&run->spec, &run->outcome);
}

/*
 * Combines sizes, durations and disturbances with different periods, so that
 * all combinations occur.
 */
static void fill_spec(struct rollout_spec *spec, guint i, guint seed,
		      const struct rollout_fault *fault)
{
	const struct fleet_size *size = &sizes[i % G_N_ELEMENTS(sizes)];

	*spec = (struct rollout_spec){
		.fault = fault,
		.upstreams = size->upstreams,
		.slots = 4,
		.requests_per_s = size->requests_per_s,
		.duration_s = durations[i / 4 % G_N_ELEMENTS(durations)],
		.share = 0.1,
		.slack = 50,
		.has_rollout = true,
		.load_wave = i % 2,
		.load_bursts = i / 3 % 3 == 1,
		.placer_crashes = i / 5 % 4 == 1,
		.two_placers = i / 5 % 4 == 2,
		.store_unavailable = i / 7 % 5 == 1,
		.unhealthy_upstreams = i / 2 % 3 == 1,
		.seed = seed + i,
	};
}

/*
 * Prints the row of one fault. `missed` counts the faulty versions that were
 * completed although a statistical test could have noticed the fault.
 */
static void print_row(const struct rollout_fault *fault,
		      const struct model_run *runs, guint count, bool verbose)
{
	guint visible = 0, completed = 0, rolled_back = 0, over_bound = 0;
	guint missed = 0, interrupted = 0;
	double worst_exposure = 0, after_50th_ms = 0, on_time = 0;

	for (guint i = 0; i < count; i++) {
		const struct model_run *run = &runs[i];
		const struct rollout_outcome *outcome = &run->outcome;
		bool is_completed = outcome->state == AUB_ROLLOUT_COMPLETED;
		bool is_bad = fault != rollout_faults;

		visible += run->is_visible;
		completed += is_completed;
		rolled_back += outcome->state == AUB_ROLLOUT_ROLLED_BACK;
		missed += is_bad && is_completed && run->is_visible;
		over_bound += is_bad && (double)outcome->exposed >
						outcome->exposure_bound;
		interrupted += outcome->interrupted > 0;
		if (is_bad)
			worst_exposure = MAX(worst_exposure,
					     (double)outcome->exposed /
						     outcome->exposure_bound);
		after_50th_ms = MAX(after_50th_ms, outcome->after_50th_bad_ms);
		on_time += (double)outcome->on_time /
			   MAX(outcome->placement_requests, 1) / count;
		if (verbose &&
		    (is_bad ? (double)outcome->exposed >
					      outcome->exposure_bound ||
				      (is_completed && run->is_visible) ||
				      outcome->after_50th_bad_ms > 500 :
			      !is_completed))
			fprintf(stderr,
				"%s: seed %" G_GUINT64_FORMAT
				" %u upstreams %.0f/s %.0f s kills=%d two=%d "
				"store=%d sick=%d bursts=%d: state %s (%s) at "
				"%.0f ms, %" G_GUINT64_FORMAT
				" of %.0f, %" G_GUINT64_FORMAT
				" bad, %.0f ms after the 50th\n",
				fault->name, run->spec.seed,
				run->spec.upstreams, run->spec.requests_per_s,
				run->spec.duration_s, run->spec.placer_crashes,
				run->spec.two_placers,
				run->spec.store_unavailable,
				run->spec.unhealthy_upstreams,
				run->spec.load_bursts,
				aub_rollout_state_name(
					(enum aub_rollout_state)outcome->state),
				outcome->reason, outcome->decision_ms,
				outcome->exposed, outcome->exposure_bound,
				outcome->bad_answers,
				outcome->after_50th_bad_ms);
	}
	printf("%-32s %6u %7u %9u %7u %6u %5u %8.2f %7.0f %7u %7.3f\n",
	       fault->name, count, visible, completed, rolled_back, missed,
	       over_bound, worst_exposure, after_50th_ms, interrupted, on_time);
}

static void write_tsv(const char *path, const struct model_run *runs,
		      guint count)
{
	FILE *out = fopen(path, "a");

	if (!out) {
		fprintf(stderr, "rollout-model: cannot write %s\n", path);
		exit(1);
	}
	for (guint i = 0; i < count; i++) {
		const struct model_run *run = &runs[i];
		const struct rollout_outcome *outcome = &run->outcome;

		fprintf(out,
			"%s\t%u\t%.0f\t%.0f\t%" G_GUINT64_FORMAT
			"\t%s\t%s\t%" G_GUINT64_FORMAT "\t%.0f\t%.0f\n",
			run->spec.fault->name, run->spec.upstreams,
			run->spec.requests_per_s, run->spec.duration_s,
			run->spec.seed,
			aub_rollout_state_name(
				(enum aub_rollout_state)outcome->state),
			outcome->reason, outcome->exposed,
			outcome->exposure_bound, outcome->decision_ms);
	}
	fclose(out);
}

static void run_fault(const struct options *options,
		      const struct rollout_fault *fault)
{
	struct model_run *runs = g_new0(struct model_run, options->rollouts);
	GThreadPool *pool = g_thread_pool_new(run_one, NULL,
					      (gint)options->jobs, TRUE, NULL);

	for (guint i = 0; i < options->rollouts; i++) {
		fill_spec(&runs[i].spec, i, options->seed, fault);
		runs[i].is_visible = rollout_model_is_visible(&runs[i].spec);
		g_thread_pool_push(pool, &runs[i], NULL);
	}
	g_thread_pool_free(pool, FALSE, TRUE);
	print_row(fault, runs, options->rollouts, options->verbose);
	fflush(stdout);
	if (options->tsv)
		write_tsv(options->tsv, runs, options->rollouts);
	g_free(runs);
}

int main(int argc, char **argv)
{
	static const struct argp_option table[] = {
		{ "orders", 'n', "N", 0, "rollouts for each fault (100)", 0 },
		{ "seed", 's', "N", 0, "first seed (1)", 0 },
		{ "jobs", 'j', "N", 0, "parallel jobs (all cores)", 0 },
		{ "fault", 'f', "NAME", 0, "simulate only this fault", 0 },
		{ "output", 'o', "FILE", 0, "append each outcome to FILE", 0 },
		{ "verbose", 'v', NULL, 0,
		  "print the rollouts with a wrong outcome", 0 },
		{ 0 },
	};
	const struct argp argp = {
		.options = table,
		.parser = parse_option,
		.doc = "Simulate rollouts in a model of one service.",
	};
	struct options options = {
		.rollouts = 100,
		.seed = 1,
		.jobs = g_get_num_processors(),
	};

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	printf("%-32s %6s %7s %9s %7s %6s %5s %8s %7s %7s %7s\n", "version",
	       "orders", "visible", "completed", "rolled", "missed", "over",
	       "exposure", "after50", "cut off", "on time");
	for (guint i = 0; i < rollout_fault_count; i++)
		if (!options.only_fault ||
		    !strcmp(options.only_fault, rollout_faults[i].name))
			run_fault(&options, &rollout_faults[i]);
	return 0;
}

/*
 * rollout-model: plays orders of every kind on a model of one service and
 * prints a table: exposure, verdicts, and what callers get.
 *
 * Seeded and in virtual time, on all cores. See tools/rollout/.
 */
#include "rollout/rollout_model.h"

#include <auburnstile/internal/rollout.h>

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct size {
	guint upstreams;
	double per_s;
};

static const struct size sizes[] = {
	{ 4, 5 },
	{ 6, 20 },
	{ 40, 100 },
	{ 130, 400 },
};
static const double durations[] = { 5, 12, 30, 120 };

struct options {
	guint orders; /* of each fault */
	guint seed;
	guint jobs;
	const char *only; /* a fault's name; NULL: all */
	const char *tsv; /* file for each order's outcome; NULL: none */
	bool verbose;
};

struct play {
	struct rollout_spec spec;
	struct rollout_outcome outcome;
	bool visible;
};

static error_t parse(int key, char *arg, struct argp_state *state)
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
		options->orders = (guint)number;
		return 0;
	case 's':
		options->seed = (guint)number;
		return 0;
	case 'j':
		options->jobs = (guint)number;
		return 0;
	case 'f':
		options->only = arg;
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

static void play_one(void *data, void *context)
{
	struct play *play = data;

	rollout_model_play(&play->spec, &play->outcome);
}

/* Sizes, durations and troubles in turn, so that each meets each. */
static void fill(struct rollout_spec *spec, guint i, guint seed,
		 const struct rollout_fault *fault)
{
	const struct size *size = &sizes[i % G_N_ELEMENTS(sizes)];

	*spec = (struct rollout_spec){
		.fault = fault,
		.upstreams = size->upstreams,
		.slots = 4,
		.per_s = size->per_s,
		.duration_s = durations[i / 4 % G_N_ELEMENTS(durations)],
		.share = 0.1,
		.slack = 50,
		.orders = true,
		.wave = i % 2,
		.bursts = i / 3 % 3 == 1,
		.kills = i / 5 % 4 == 1,
		.two_placers = i / 5 % 4 == 2,
		.store_away = i / 7 % 5 == 1,
		.sick = i / 2 % 3 == 1,
		.seed = seed + i,
	};
}

static void print_row(const struct rollout_fault *fault,
		      const struct play *plays, guint count, bool verbose)
{
	guint visible = 0, completed = 0, rolled_back = 0, over = 0;
	guint missed = 0, cut_off = 0;
	double worst = 0, after_50 = 0, on_time = 0;

	for (guint i = 0; i < count; i++) {
		const struct play *play = &plays[i];
		const struct rollout_outcome *it = &play->outcome;
		bool done = it->state == AUB_ROLLOUT_COMPLETED;
		bool bad = fault != rollout_faults;

		visible += play->visible;
		completed += done;
		rolled_back += it->state == AUB_ROLLOUT_ROLLED_BACK;
		missed += bad && done && play->visible;
		over += bad && (double)it->exposed > it->bound;
		cut_off += it->cut_off > 0;
		if (bad)
			worst = MAX(worst, (double)it->exposed / it->bound);
		after_50 = MAX(after_50, it->after_50_ms);
		on_time += (double)it->on_time / MAX(it->asked, 1) / count;
		if (verbose && (bad ? (double)it->exposed > it->bound ||
						(done && play->visible) ||
						it->after_50_ms > 500 :
				      !done))
			fprintf(stderr,
				"%s: seed %" G_GUINT64_FORMAT
				" %u upstreams %.0f/s %.0f s kills=%d two=%d "
				"store=%d sick=%d bursts=%d: state %s (%s) at "
				"%.0f ms, %" G_GUINT64_FORMAT
				" of %.0f, %" G_GUINT64_FORMAT
				" bad, %.0f ms after the 50th\n",
				fault->name, play->spec.seed,
				play->spec.upstreams, play->spec.per_s,
				play->spec.duration_s, play->spec.kills,
				play->spec.two_placers, play->spec.store_away,
				play->spec.sick, play->spec.bursts,
				aub_rollout_state_name(
					(enum aub_rollout_state)it->state),
				it->reason, it->verdict_ms, it->exposed,
				it->bound, it->bad_answers, it->after_50_ms);
	}
	printf("%-32s %6u %7u %9u %7u %6u %5u %8.2f %7.0f %7u %7.3f\n",
	       fault->name, count, visible, completed, rolled_back, missed,
	       over, worst, after_50, cut_off, on_time);
}

static void write_tsv(const char *path, const struct play *plays, guint count)
{
	FILE *out = fopen(path, "a");

	if (!out) {
		fprintf(stderr, "rollout-model: %s: can't be written\n", path);
		exit(1);
	}
	for (guint i = 0; i < count; i++) {
		const struct play *play = &plays[i];
		const struct rollout_outcome *it = &play->outcome;

		fprintf(out,
			"%s\t%u\t%.0f\t%.0f\t%" G_GUINT64_FORMAT
			"\t%s\t%s\t%" G_GUINT64_FORMAT "\t%.0f\t%.0f\n",
			play->spec.fault->name, play->spec.upstreams,
			play->spec.per_s, play->spec.duration_s,
			play->spec.seed,
			aub_rollout_state_name(
				(enum aub_rollout_state)it->state),
			it->reason, it->exposed, it->bound, it->verdict_ms);
	}
	fclose(out);
}

static void play_fault(const struct options *options,
		       const struct rollout_fault *fault)
{
	struct play *plays = g_new0(struct play, options->orders);
	GThreadPool *pool = g_thread_pool_new(play_one, NULL,
					      (gint)options->jobs, TRUE, NULL);

	for (guint i = 0; i < options->orders; i++) {
		fill(&plays[i].spec, i, options->seed, fault);
		plays[i].visible = rollout_model_is_visible(&plays[i].spec);
		g_thread_pool_push(pool, &plays[i], NULL);
	}
	g_thread_pool_free(pool, FALSE, TRUE);
	print_row(fault, plays, options->orders, options->verbose);
	fflush(stdout);
	if (options->tsv)
		write_tsv(options->tsv, plays, options->orders);
	g_free(plays);
}

int main(int argc, char **argv)
{
	static const struct argp_option table[] = {
		{ "orders", 'n', "N", 0, "orders of each fault (100)", 0 },
		{ "seed", 's', "N", 0, "first seed (1)", 0 },
		{ "jobs", 'j', "N", 0, "at once (all cores)", 0 },
		{ "fault", 'f', "NAME", 0, "only this one", 0 },
		{ "output", 'o', "FILE", 0, "append each outcome", 0 },
		{ "verbose", 'v', NULL, 0, "name the orders that went wrong",
		  0 },
		{ 0 },
	};
	const struct argp argp = {
		.options = table,
		.parser = parse,
		.doc = "Play orders to change versions on a model.",
	};
	struct options options = {
		.orders = 100,
		.seed = 1,
		.jobs = g_get_num_processors(),
	};

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	printf("%-32s %6s %7s %9s %7s %6s %5s %8s %7s %7s %7s\n", "version",
	       "orders", "visible", "completed", "rolled", "missed", "over",
	       "exposure", "after50", "cut off", "on time");
	for (guint i = 0; i < rollout_fault_count; i++)
		if (!options.only ||
		    !strcmp(options.only, rollout_faults[i].name))
			play_fault(&options, &rollout_faults[i]);
	return 0;
}

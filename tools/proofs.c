/*
 * Runs the checks of guaranteed behaviour; see proofs/proof.h. Prints "N
 * passed, N failed" at the end, and exits with 0 only if at least one passed
 * and none failed.
 */
#include "common/child.h"
#include "proofs/proof.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

static const struct proof *const tables[] = {
	proofs_not_run,
	proofs_at_most_once,
	proofs_complete_answer,
	proofs_cold_start,
	proofs_zone_evacuation,
	proofs_graceful_shutdown,
	proofs_config_propagation,
	proofs_crashing_request,
	proofs_retry_amplification,
	proofs_upstream_leaves,
	proofs_probe_budget,
	proofs_upstream_notices,
	proofs_links_lost,
};

struct options {
	const char *only;
	guint32 seed;
	bool in_ci;
	bool keep_logs;
};

static const struct argp_option option_table[] = {
	{ "only", 'o', "TEXT", 0,
	  "run only checks whose PROMISE/FAULT contains TEXT", 0 },
	{ "seed", 's', "N", 0, "seed of arrivals and service times (1)", 0 },
	{ "sure", 'c', NULL, 0, "run only the short selection for CI", 0 },
	{ "keep-logs", 'k', NULL, 0, "keep the logs of failed checks", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	struct options *options = state->input;

	if (key == 'o')
		options->only = argument;
	else if (key == 's')
		options->seed = strtoul(argument, NULL, 10);
	else if (key == 'c')
		options->in_ci = true;
	else if (key == 'k')
		options->keep_logs = true;
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static const struct argp parser = {
	.options = option_table,
	.parser = parse_option,
	.doc = "Check guaranteed behaviour with real processes and injected "
	       "faults.",
};

int main(int argc, char **argv)
{
	struct options options = { .seed = 1 };
	guint passed = 0;
	guint failed = 0;
	guint i;

	argp_parse(&parser, argc, argv, 0, NULL, &options);
	child_install_exit_handlers();
	for (i = 0; i < G_N_ELEMENTS(tables); i++)
		proof_run_table(tables[i], options.only, options.in_ci,
				options.seed, options.keep_logs, &passed,
				&failed);
	printf("%u passed, %u failed\n", passed, failed);
	return failed || !passed ? EXIT_FAILURE : EXIT_SUCCESS;
}

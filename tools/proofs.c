/*
 * Runs the proofs of what must always hold; see proofs/proof.h. Ends with
 * "N passed, N failed", and with 0 only when none failed.
 */
#include "common/child.h"
#include "proofs/proof.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

static const struct proof *const tables[] = {
	proofs_not_run, proofs_once,  proofs_whole,	proofs_cold,
	proofs_zone,	proofs_stop,  proofs_config,	proofs_crash,
	proofs_retries, proofs_leave, proofs_measuring,
};

struct options {
	const char *only;
	guint32 seed;
	bool sure;
	bool keep_logs;
};

static const struct argp_option option_table[] = {
	{ "only", 'o', "TEXT", 0, "those whose PROMISE/FAULT contains it", 0 },
	{ "seed", 's', "N", 0, "of arrivals and service times (1)", 0 },
	{ "sure", 'c', NULL, 0, "the short selection for CI", 0 },
	{ "keep-logs", 'k', NULL, 0, "leave logs of those that failed", 0 },
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
		options->sure = true;
	else if (key == 'k')
		options->keep_logs = true;
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static const struct argp parser = {
	.options = option_table,
	.parser = parse_option,
	.doc = "Proofs of what must always hold, with real processes.",
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
		proof_run_table(tables[i], options.only, options.sure,
				options.seed, options.keep_logs, &passed,
				&failed);
	printf("%u passed, %u failed\n", passed, failed);
	return failed || !passed ? EXIT_FAILURE : EXIT_SUCCESS;
}

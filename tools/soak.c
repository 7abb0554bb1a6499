/*
 * soak: runs real gateway processes under random external faults.
 *
 * The store, the upstreams and the callers are part of this process; gateways
 * are child processes. Signals kill, stop, pause and reload gateways, the store
 * and the upstreams fail, and a proxy in front of each upstream delays, drops
 * and refuses traffic. All faults are derived from one seed; they occur in
 * sequence and overlapping.
 *
 * These rules are checked during the run, from what callers and upstreams
 * observe; a violation is printed with its name:
 *
 *   TWICE    an at-most-once request was executed more than once
 *   REFUSED  a request was reported as "not run" but was executed,
 *            before or after the report
 *   MIXED    an answer belongs to another request or is incomplete
 *   DENIED   a valid request was rejected, or one within its quota
 *   DRAIN    an upstream got a new request seconds after it began to drain,
 *            or after it said so in an answer
 *   ROUTE    a version got requests without its rollout order, or after
 *            its roll-back; or a request without a valid API key was executed
 *   EXPOSURE a faulty version got more than its share of requests
 *   VERDICT  the rollout of a faulty version was completed
 *   LIMIT    an upstream got more than its limit from gateways that knew it
 *   QUOTA    more requests of a workspace were executed than its quota allows
 *   UNASKED  an upstream got a caller's API key or another workspace than
 *            that of the key
 *   CONFIG   a removed API key opened something, or a request had no answer
 *            half a second after its deadline
 *   BUDGET   an upstream got requests in the rest that it asked a gateway for,
 *            or the upstreams got more retries than the fleet may send
 *   LOST     a gateway without faults of its own closed a connection with
 *            requests that had no answer
 *   ENDED    a gateway ended by itself
 *   RECOVER  requests are not served after the faults have ended; or, with
 *            partitions and no other faults, gateways without links to the
 *            upstreams serve less than the others, or these serve less
 */
#include "common/child.h"
#include "soak/soak_run.h"

#include <argp.h>

struct options {
	struct soak_options soak;
	guint seed;
	guint runs;
};

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct options *options = state->input;
	guint *number_target = key == 's' ? &options->seed :
			       key == 't' ? &options->soak.seconds :
			       key == 'n' ? &options->runs :
			       key == 'g' ? &options->soak.gateways :
					    NULL;
	guint64 number;

	if (key == 'r') {
		options->soak.rollouts = true;
		return 0;
	}
	if (key == 'w') {
		options->soak.workspaces = true;
		return 0;
	}
	if (key == 'p') {
		options->soak.partitions = true;
		return 0;
	}
	if (key == 'q') {
		options->soak.workspaces = true;
		options->soak.silences = true;
		return 0;
	}
	if (key == 'f') {
		options->soak.refusals = true;
		return 0;
	}
	if (key == 'a') {
		options->soak.ahead = true;
		return 0;
	}
	if (key == 'z') {
		options->soak.pauses = true;
		return 0;
	}
	if (key == 'l') {
		options->soak.notices = SOAK_NOTICE_ALL;
		return 0;
	}
	if (key == ARGP_KEY_END && options->soak.rollouts &&
	    options->soak.notices)
		argp_error(state,
			   "--rollouts and --notices exclude each other");
	if (!number_target)
		return ARGP_ERR_UNKNOWN;
	if (!g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT32, &number,
					NULL))
		argp_error(state, "-%c needs a positive number", key);
	*number_target = (guint)number;
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp_option option_table[] = {
		{ "seed", 's', "N", 0, "first seed (1)", 0 },
		{ "seconds", 't', "S", 0,
		  "duration of the faults for each seed (20)", 0 },
		{ "runs", 'n', "N", 0, "number of consecutive seeds to run (1)",
		  0 },
		{ "rollouts", 'r', NULL, 0, "start a rollout in each run", 0 },
		{ "notices", 'l', NULL, 0,
		  "upstreams name limits, ask for rest or say that they leave",
		  0 },
		{ "workspaces", 'w', NULL, 0,
		  "callers have API keys, and their workspaces have quotas",
		  0 },
		{ "partitions", 'p', NULL, 0,
		  "gateways lose their links to all upstreams; other faults "
		  "only with odd seeds",
		  0 },
		{ "refusals", 'f', NULL, 0,
		  "upstreams refuse many requests although they have free "
		  "slots",
		  0 },
		{ "pauses", 'z', NULL, 0,
		  "gateways are paused for a part of each period, and killed",
		  0 },
		{ "ahead", 'a', NULL, 0,
		  "callers send requests ahead and uploads, upstreams refuse "
		  "with Retry-After, and time-outs are short",
		  0 },
		{ "gateways", 'g', "N", 0, "number of gateways (5; 60 at most)",
		  0 },
		{ "silences", 'q', NULL, 0,
		  "as --workspaces, but the only fault is that the store stops "
		  "answering right after changes",
		  0 },
		{ 0 },
	};
	const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.doc = "Run gateways under random faults; prints a line for "
		       "each seed.",
	};
	struct options options = {
		.soak = { .seconds = 20 },
		.seed = 1,
		.runs = 1,
	};
	struct soak_result result;
	guint failed = 0;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	child_install_exit_handlers();
	for (guint i = 0; i < options.runs; i++)
		failed += !soak_run(options.seed + i, &options.soak, &result);
	g_print("%u passed, %u failed\n", options.runs - failed, failed);
	return failed ? 1 : 0;
}

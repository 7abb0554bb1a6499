/*
 * auburnstilectl: command-line tool for operators.
 *
 * Options are parsed by argp; the first argument selects a command.
 */
#include "ctl/ctl.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

const char *argp_program_version = "auburnstilectl 0.1";

static const char doc[] =
	"Operate an auburnstile fleet.\v"
	"Commands (FILE may be - for standard input):\n"
	"  check FILE              validate an inventory file\n"
	"  diff FILE               show what applying FILE would change\n"
	"  diff OLD NEW            compare two files\n"
	"  apply FILE              make an inventory the active one\n"
	"  show                    print the active inventory\n"
	"  zone out|in NAME        take an availability zone out or back in\n"
	"  vm leave|return NAME    the same for the upstreams of a VM\n"
	"  upstream leave|return NAME\n"
	"  status                  show members, zones and owners of services\n"
	"  watch                   print changes of status as they occur\n"
	"  timeline                print events of all processes in order\n"
	"  timeline FILE...        the same from log files (- for standard\n"
	"                          input) of auburnstile-gateway\n"
	"  explain REQUEST         print the trace of a request (its hex id)\n"
	"  explain REQUEST FILE... the same from log files\n"
	"\n"
	"Exit codes:\n"
	"  0 success; 1 invalid or rejected; 2 usage error; 3 conflict with a\n"
	"  newer version; 4 accepted, not yet active everywhere; 5 no control\n"
	"  responded, nothing changed; 6 sent, but the outcome is unknown;\n"
	"  7 diff found differences\n"
	"\n"
	"Environment: AUBURNSTILE_CONTROL (addresses, separated by commas), "
	"AUBURNSTILE_TOKEN_FILE.";

enum {
	OPTION_JSON = 1000,
	OPTION_BASE,
	OPTION_AUTHOR,
	OPTION_OVERRIDE,
	OPTION_TIMEOUT,
	OPTION_REQUEST,
	OPTION_UPSTREAM,
	OPTION_ZONE,
	OPTION_PROCESS,
	OPTION_SINCE,
	OPTION_UNTIL,
	OPTION_LIMIT
};

static const struct argp_option option_table[] = {
	{ "control", 'c', "IP:PORT", 0,
	  "Admin address of a control; may be repeated; the next one is tried "
	  "if one doesn't respond",
	  1 },
	{ "token-file", 't', "FILE", 0, "File with the operators' token", 1 },
	{ "timeout", OPTION_TIMEOUT, "MS", 0,
	  "Timeout of a request (default 5000; for changes 20000, since a "
	  "control waits up to 9 s until a change is active)",
	  1 },
	{ "json", OPTION_JSON, NULL, 0, "Print JSON", 1 },
	{ "base", OPTION_BASE, "VERSION", 0,
	  "apply: version that the edit is based on (default: the `version` "
	  "in the file, or 0)",
	  2 },
	{ "author", OPTION_AUTHOR, "NAME", 0,
	  "Author of the change (default: $USER)", 2 },
	{ "override-majority", OPTION_OVERRIDE, NULL, 0,
	  "Accept a change although most members are unreachable", 2 },
	{ "format", 'f', "text|json|svg", 0, "timeline: output format", 3 },
	{ "output", 'o', "FILE", 0, "timeline, explain: write to FILE", 3 },
	{ "request", OPTION_REQUEST, "HEX", 0, "timeline: only this request",
	  3 },
	{ "upstream", OPTION_UPSTREAM, "NAME", 0,
	  "timeline: only this upstream", 3 },
	{ "zone", OPTION_ZONE, "NAME", 0, "timeline: only this zone", 3 },
	{ "process", OPTION_PROCESS, "NAME", 0, "timeline: only this process",
	  3 },
	{ "since", OPTION_SINCE, "TIME", 0,
	  "timeline: start time; ISO 8601 (2026-05-04T10:00:00Z), or -30 for "
	  "30 s ago",
	  3 },
	{ "until", OPTION_UNTIL, "TIME", 0, "timeline: end time", 3 },
	{ "limit", OPTION_LIMIT, "N", 0,
	  "timeline: at most the newest N events (0: all, the default; for svg "
	  "the default is 400)",
	  3 },
	{ 0 }
};

struct command {
	const char *name;
	ctl_command *run;
};

static const struct command commands[] = {
	{ "check", ctl_check },	      { "diff", ctl_diff },
	{ "apply", ctl_apply },	      { "show", ctl_show },
	{ "zone", ctl_zone },	      { "vm", ctl_vm },
	{ "upstream", ctl_upstream }, { "status", ctl_status },
	{ "watch", ctl_watch },	      { "timeline", ctl_timeline },
	{ "explain", ctl_explain },
};

#define SVG_EVENTS_MAX 400
#define REQUEST_TIMEOUT_MS 5000
#define CHANGE_TIMEOUT_MS 20000

struct command_line {
	struct ctl_options options;
	GPtrArray *args; /* of char *, borrowed from argv */
	bool limit_given;
};

/* Returns wall clock time in us; exits with a usage error if invalid. */
static gint64 parse_time(struct argp_state *state, const char *text)
{
	GTimeZone *utc;
	GDateTime *time;
	guint64 seconds;
	gint64 result;

	if (text[0] == '-' &&
	    g_ascii_string_to_unsigned(text + 1, 10, 0, G_MAXUINT32, &seconds,
				       NULL))
		return g_get_real_time() - (gint64)seconds * G_TIME_SPAN_SECOND;
	utc = g_time_zone_new_utc();
	time = g_date_time_new_from_iso8601(text, utc);
	g_time_zone_unref(utc);
	if (!time)
		argp_error(state, "invalid time: \"%s\"", text);
	result = g_date_time_to_unix(time) * G_TIME_SPAN_SECOND +
		 g_date_time_get_microsecond(time);
	g_date_time_unref(time);
	return result;
}

static guint64 parse_number(struct argp_state *state, const char *text,
			    guint base, guint64 maximum)
{
	guint64 value = 0;

	if (!g_ascii_string_to_unsigned(text, base, 0, maximum, &value, NULL))
		argp_error(state, "not a number, or out of range: \"%s\"",
			   text);
	return value;
}

static enum ctl_format parse_format(struct argp_state *state, const char *text)
{
	if (strcmp(text, "json") == 0)
		return CTL_JSON;
	if (strcmp(text, "svg") == 0)
		return CTL_SVG;
	if (strcmp(text, "text") != 0)
		argp_error(state, "unknown format: %s", text);
	return CTL_TEXT;
}

static error_t parse_filter_option(int key, char *value,
				   struct argp_state *state,
				   struct command_line *command_line)
{
	struct aub_timeline_filter *filter = &command_line->options.filter;

	switch (key) {
	case OPTION_REQUEST:
		filter->request = parse_number(state, value, 16, G_MAXUINT64);
		return 0;
	case OPTION_UPSTREAM:
		filter->upstream = value;
		return 0;
	case OPTION_ZONE:
		filter->zone = value;
		return 0;
	case OPTION_PROCESS:
		filter->process = value;
		return 0;
	case OPTION_SINCE:
		filter->since_us = parse_time(state, value);
		return 0;
	case OPTION_UNTIL:
		filter->until_us = parse_time(state, value);
		return 0;
	case OPTION_LIMIT:
		command_line->options.limit =
			(guint)parse_number(state, value, 10, G_MAXUINT32);
		command_line->limit_given = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	struct command_line *command_line = state->input;
	struct ctl_options *options = &command_line->options;

	switch (key) {
	case 'c':
		g_ptr_array_add(options->controls, value);
		return 0;
	case 't':
		options->token_file = value;
		return 0;
	case 'f':
		options->format = parse_format(state, value);
		return 0;
	case 'o':
		options->output = value;
		return 0;
	case OPTION_JSON:
		options->format = CTL_JSON;
		return 0;
	case OPTION_BASE:
		options->base =
			(gint64)parse_number(state, value, 10, G_MAXINT64);
		return 0;
	case OPTION_AUTHOR:
		options->author = value;
		return 0;
	case OPTION_OVERRIDE:
		options->override_majority = true;
		return 0;
	case OPTION_TIMEOUT:
		options->timeout_ms =
			(guint)parse_number(state, value, 10, 600000);
		options->change_timeout_ms = options->timeout_ms;
		return 0;
	case ARGP_KEY_ARG:
		g_ptr_array_add(command_line->args, value);
		return 0;
	default:
		return parse_filter_option(key, value, state, command_line);
	}
}

static const struct argp argp = {
	.options = option_table,
	.parser = parse_option,
	.args_doc = "COMMAND [WORD...]",
	.doc = doc,
};

/*
 * Adds the addresses of AUBURNSTILE_CONTROL if the command line has none.
 * Returns the list that owns their strings, or NULL.
 */
static char **environment_controls(struct ctl_options *options)
{
	const char *text = g_getenv("AUBURNSTILE_CONTROL");
	char **list;

	if (options->controls->len || !text)
		return NULL;
	list = g_strsplit_set(text, ", ", -1);
	for (guint i = 0; list[i]; i++)
		if (*list[i])
			g_ptr_array_add(options->controls, list[i]);
	return list;
}

static int run_command(struct command_line *command_line)
{
	struct ctl_options *options = &command_line->options;
	char **args = (char **)command_line->args->pdata;
	guint count = command_line->args->len;
	int code = CTL_BAD_ARGUMENTS;

	if (options->format == CTL_SVG && !command_line->limit_given)
		options->limit = SVG_EVENTS_MAX;
	for (guint i = 0; count && i < G_N_ELEMENTS(commands); i++)
		if (strcmp(commands[i].name, args[0]) == 0)
			code = commands[i].run(options, args + 1, count - 1);
	if (code != CTL_BAD_ARGUMENTS)
		return code;
	g_printerr("usage: auburnstilectl [OPTION...] COMMAND [WORD...]; "
		   "see --help\n");
	return CTL_USAGE;
}

int main(int argc, char **argv)
{
	struct command_line command_line = {
		.options = { .controls = g_ptr_array_new(),
			     .token_file = g_getenv("AUBURNSTILE_TOKEN_FILE"),
			     .author = g_get_user_name(),
			     .base = -1,
			     .timeout_ms = REQUEST_TIMEOUT_MS,
			     .change_timeout_ms = CHANGE_TIMEOUT_MS },
		.args = g_ptr_array_new(),
	};
	char **controls;
	int code;

	/* Line-buffered, so that `watch` can be piped. */
	setvbuf(stdout, NULL, _IOLBF, 0);
	argp_err_exit_status = CTL_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &command_line);
	controls = environment_controls(&command_line.options);
	code = run_command(&command_line);
	if (command_line.options.token)
		memset(command_line.options.token, 0,
		       strlen(command_line.options.token));
	g_free(command_line.options.token);
	g_strfreev(controls);
	g_ptr_array_unref(command_line.options.controls);
	g_ptr_array_unref(command_line.args);
	return code;
}

/*
 * Runs the load generator from the command line; see load/load.h. Exits with 0
 * if no response was invalid and the result was written.
 */
#include "common/tool.h"
#include "load/load.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

struct program {
	struct load_options options;
	GPtrArray *entries; /* of char *; NULL is appended after parsing */
	GArray *services; /* of struct load_service */
	const char *output_path;
};

/*
 * Parses NAME:/PATH:WEIGHT[:keyed]. The strings are interned and never freed.
 */
static bool add_service(struct program *program, const char *text)
{
	char **parts = g_strsplit(text, ":", 4);
	guint count = g_strv_length(parts);
	struct load_service service = { 0 };

	if (count >= 3) {
		service.name = g_intern_string(parts[0]);
		service.path = g_intern_string(parts[1]);
		service.weight = strtoul(parts[2], NULL, 10);
		service.keyed = count == 4 && !strcmp(parts[3], "keyed");
		g_array_append_val(program->services, service);
	}
	g_strfreev(parts);
	return service.weight > 0;
}

static const struct argp_option option_table[] = {
	{ "entry", 'e', "IP:PORT", 0,
	  "an entry for address lookups (repeatable)", 0 },
	{ "service", 's', "NAME:/PATH:WEIGHT[:keyed]", 0,
	  "service and its share (repeatable)", 0 },
	{ "rate", 'r', "N", 0, "mean arrivals per second", 0 },
	{ "seconds", 't', "N", 0, "duration of the load", 0 },
	{ "requests", 'n', "N", 0, "number of requests", 0 },
	{ "connections", 'c', "N", 0,
	  "maximum connections from a caller to one entry", 0 },
	{ "callers", 'k', "N", 0, "number of callers", 0 },
	{ "deadline-ms", 'd', "N", 0,
	  "deadline of a request, including its retries", 0 },
	{ "try-ms", 'y', "N", 0, "time limit of one attempt", 0 },
	{ "no-repeat", 'R', NULL, 0, "do not retry", 0 },
	{ "body-bytes", 'b', "N", 0, "minimum body size of a keyed request",
	  0 },
	{ "seed", 'S', "N", 0, "seed of the arrivals and the mix of services",
	  0 },
	{ "prefix", 'p', "TEXT", 0, "prefix of the nonces", 0 },
	{ "out", 'o', "FILE", 0, "result as JSON (default: stdout)", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	struct program *program = state->input;
	struct load_options *options = &program->options;

	switch (key) {
	case 'e':
		g_ptr_array_add(program->entries, argument);
		break;
	case 's':
		if (!add_service(program, argument))
			argp_error(state, "invalid --service %s", argument);
		break;
	case 'r':
		options->rate = g_ascii_strtod(argument, NULL);
		break;
	case 't':
		options->seconds = g_ascii_strtod(argument, NULL);
		break;
	case 'n':
		options->requests = strtoul(argument, NULL, 10);
		break;
	case 'c':
		options->connections = strtoul(argument, NULL, 10);
		break;
	case 'k':
		options->callers = strtoul(argument, NULL, 10);
		break;
	case 'd':
		options->deadline_ms = strtoul(argument, NULL, 10);
		break;
	case 'y':
		options->attempt_timeout_ms = strtoul(argument, NULL, 10);
		break;
	case 'R':
		options->retry = false;
		break;
	case 'b':
		options->body_bytes = strtoul(argument, NULL, 10);
		break;
	case 'S':
		options->seed = strtoul(argument, NULL, 10);
		break;
	case 'p':
		options->prefix = argument;
		break;
	case 'o':
		program->output_path = argument;
		break;
	case ARGP_KEY_END:
		if (!program->entries->len || !program->services->len)
			argp_error(state, "needs --entry and --service");
		if (options->rate <= 0 ||
		    (!options->requests && options->seconds <= 0))
			argp_error(state,
				   "needs --rate, and --requests or --seconds");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp parser = {
	.options = option_table,
	.parser = parse_option,
	.doc = "Load generator that validates every response.",
};

static bool write_result(const struct program *program, struct load *load)
{
	char *text = tool_json_serialize(load_result(load));
	GError *error = NULL;
	bool ok = true;

	if (program->output_path)
		ok = g_file_set_contents(program->output_path, text, -1,
					 &error);
	else
		puts(text);
	if (!ok) {
		fprintf(stderr, "caller-load: %s\n", error->message);
		g_error_free(error);
	}
	g_free(text);
	return ok;
}

int main(int argc, char **argv)
{
	struct program program = {
		.options = { .rate = 100,
			     .callers = 8,
			     .deadline_ms = 5000,
			     .retry = true,
			     .seed = 1 },
		.entries = g_ptr_array_new(),
		.services =
			g_array_new(FALSE, TRUE, sizeof(struct load_service)),
	};
	struct load_stats stats;
	struct load *load;
	bool ok;

	argp_parse(&parser, argc, argv, 0, NULL, &program);
	g_ptr_array_add(program.entries, NULL);
	program.options.entries = (const char *const *)program.entries->pdata;
	program.options.services =
		(const struct load_service *)program.services->data;
	program.options.service_count = program.services->len;
	load = load_new(&program.options);
	load_run(load);
	load_get_stats(load, &stats);
	ok = write_result(&program, load);
	load_free(load);
	g_ptr_array_unref(program.entries);
	g_array_unref(program.services);
	return ok && !stats.outcomes[LOAD_INVALID] ? 0 : 1;
}

/*
 * Stand-in upstreams, many in one process, for tests, the demonstration and
 * performance measurements.
 *
 * `--listen IP:PORT[,slots=N,...]` adds an upstream with its own options; the
 * other options set the defaults of the upstreams that follow. The control
 * address serves
 *   POST /fault   {"port": N (0 or absent: all), fault or state: value...}
 *   GET  /oracle  what was executed: counters of each upstream and nonce
 *   POST /forget  reset the counters of all nonces
 */
#include "upstream/upstream.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

enum option_type { OPTION_UINT, OPTION_DOUBLE, OPTION_BOOL };

/* An option of an upstream, on the command line or in --listen. */
struct option_row {
	const char *name;
	enum option_type type;
	gsize offset;
	const char *help;
};

#define OPTION_ROW(field, kind, text)                                          \
	{                                                                      \
#field, kind, G_STRUCT_OFFSET(struct upstream_options, field), \
			text                                                   \
	}

static const struct option_row option_rows[] = {
	OPTION_ROW(slots, OPTION_UINT, "requests executed concurrently"),
	OPTION_ROW(cold_slots, OPTION_UINT,
		   "running and queued requests tolerated while cold"),
	OPTION_ROW(connections, OPTION_UINT, "maximum of open connections"),
	OPTION_ROW(cold_ms, OPTION_UINT,
		   "how long it stays cold after a start"),
	OPTION_ROW(cold_factor, OPTION_DOUBLE,
		   "factor of the service time while cold"),
	OPTION_ROW(fall_ms, OPTION_UINT,
		   "how long it refuses connections after a crash"),
	OPTION_ROW(mean_us, OPTION_DOUBLE, "mean service time"),
	OPTION_ROW(sigma, OPTION_DOUBLE,
		   "standard deviation of the service time's logarithm"),
	OPTION_ROW(connect_us, OPTION_UINT, "cost of a new connection"),
	OPTION_ROW(probe_us, OPTION_UINT, "cost of a probe"),
	OPTION_ROW(body_bytes, OPTION_UINT, "minimum size of a response"),
	OPTION_ROW(shed, OPTION_BOOL,
		   "refuse requests beyond the slots, do not queue them"),
};

#define FIRST_OPTION_ROW_KEY 1000 /* argp keys of `option_rows` start here */

struct program {
	struct upstream_options defaults;
	struct upstream_shared *shared;
	GPtrArray *upstreams; /* of struct upstream, owned */
	GPtrArray *options_list; /* of struct upstream_options, owned */
	const char *control_address;
	const char *host;
	guint first_port;
	guint upstream_count;
	bool start_cold;
	guint32 seed;
};

static void set_option(struct upstream_options *options,
		       const struct option_row *row, const char *text)
{
	void *field = (char *)options + row->offset;

	if (row->type == OPTION_UINT)
		*(guint *)field = strtoul(text, NULL, 10);
	else if (row->type == OPTION_DOUBLE)
		*(double *)field = g_ascii_strtod(text, NULL);
	else
		*(bool *)field = strcmp(text, "0") != 0;
}

static bool set_by_name(struct upstream_options *options, const char *pair)
{
	const char *equals = strchr(pair, '=');
	gsize length = equals ? equals - pair : 0;
	guint i;

	for (i = 0; equals && i < G_N_ELEMENTS(option_rows); i++) {
		if (strlen(option_rows[i].name) != length ||
		    memcmp(option_rows[i].name, pair, length) != 0)
			continue;
		set_option(options, &option_rows[i], equals + 1);
		return true;
	}
	return false;
}

static void add_upstream_options(struct program *program, const char *host,
				 guint16 port)
{
	struct upstream_options *options;

	options = g_memdup2(&program->defaults, sizeof(*options));
	options->host = host;
	options->port = port;
	g_ptr_array_add(program->options_list, options);
}

/*
 * Parses IP:PORT[,name=value...]. Returns false if it is invalid. The host is
 * interned and never freed.
 */
static bool add_listen_argument(struct program *program, const char *text)
{
	char **parts = g_strsplit(text, ",", -1);
	char *colon = strrchr(parts[0], ':');
	struct upstream_options *options;
	bool ok = colon != NULL;
	guint i;

	if (ok) {
		add_upstream_options(
			program,
			g_intern_string(strndupa(parts[0], colon - parts[0])),
			strtoul(colon + 1, NULL, 10));
		options = program->options_list
				  ->pdata[program->options_list->len - 1];
		for (i = 1; ok && parts[i]; i++)
			ok = set_by_name(options, parts[i]);
	}
	g_strfreev(parts);
	return ok;
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	struct program *program = state->input;

	switch (key) {
	case 'l':
		if (!add_listen_argument(program, argument))
			argp_error(state, "bad --listen %s", argument);
		return 0;
	case 'c':
		program->control_address = argument;
		return 0;
	case 's':
		program->seed = strtoul(argument, NULL, 10);
		return 0;
	case 'h':
		program->host = argument;
		return 0;
	case 'p':
		program->first_port = strtoul(argument, NULL, 10);
		return 0;
	case 'n':
		program->upstream_count = strtoul(argument, NULL, 10);
		return 0;
	case 'C':
		program->start_cold = true;
		return 0;
	default:
		break;
	}
	if (key < FIRST_OPTION_ROW_KEY ||
	    key >= FIRST_OPTION_ROW_KEY + (int)G_N_ELEMENTS(option_rows))
		return ARGP_ERR_UNKNOWN;
	set_option(&program->defaults, &option_rows[key - FIRST_OPTION_ROW_KEY],
		   argument);
	return 0;
}

static const struct argp_option fixed_options[] = {
	{ "listen", 'l', "IP:PORT[,name=value...]", 0, "add an upstream", 0 },
	{ "control", 'c', "IP:PORT", 0,
	  "listen here for /fault, /oracle and /forget", 0 },
	{ "seed", 's', "N", 0, "seed of the service times", 0 },
	{ "host", 'h', "IP", 0, "address with --first-port", 0 },
	{ "first-port", 'p', "PORT", 0,
	  "add --count upstreams on ports from here", 0 },
	{ "count", 'n', "N", 0, "number of upstreams with --first-port", 0 },
	{ "cold", 'C', NULL, 0, "start all upstreams cold", 0 },
};

/*
 * Fills argp's table with the fixed options and one for each row. `names`
 * receives the names of the rows, which the caller frees.
 */
static void fill_options(struct argp_option *table, char **names)
{
	guint i;

	memcpy(table, fixed_options, sizeof(fixed_options));
	table += G_N_ELEMENTS(fixed_options);
	for (i = 0; i < G_N_ELEMENTS(option_rows); i++) {
		names[i] =
			g_strdelimit(g_strdup(option_rows[i].name), "_", '-');
		table[i] =
			(struct argp_option){ .name = names[i],
					      .key = FIRST_OPTION_ROW_KEY + i,
					      .arg = "N",
					      .doc = option_rows[i].help };
	}
}

static void on_fault(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	struct program *program = data;
	JsonObject *body = tool_request_json(message);
	guint found = 0;
	gint64 port;
	guint i;

	if (!body) {
		tool_answer_text(message, 400, "expected a JSON object\n");
		return;
	}
	port = tool_json_int(body, "port", 0);
	for (i = 0; i < program->upstreams->len; i++) {
		struct upstream *upstream = program->upstreams->pdata[i];

		if (port && upstream->options.port != port)
			continue;
		upstream_apply_faults(upstream, body);
		found++;
	}
	json_object_unref(body);
	tool_answer_text(message, found ? 200 : 404, "");
}

static void build_runs(struct upstream_shared *shared, JsonBuilder *builder)
{
	struct upstream_run *run;
	GHashTableIter iter;
	const char *nonce;

	json_builder_begin_object(builder);
	g_hash_table_iter_init(&iter, shared->runs);
	while (g_hash_table_iter_next(&iter, (void **)&nonce, (void **)&run)) {
		json_builder_set_member_name(builder, nonce);
		json_builder_begin_array(builder);
		json_builder_add_int_value(builder, run->started);
		json_builder_add_int_value(builder, run->completed);
		json_builder_add_int_value(builder, run->cancelled);
		json_builder_end_array(builder);
	}
	json_builder_end_object(builder);
}

/*
 * Writes the counters of all upstreams, and "nonces": {NONCE: [started,
 * completed, cancelled]} unless the query contains "short".
 */
static void on_oracle(SoupServer *server, SoupServerMessage *message,
		      const char *path, GHashTable *query, gpointer data)
{
	struct program *program = data;
	JsonBuilder *builder = json_builder_new();
	guint i;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "now_us");
	json_builder_add_int_value(builder, g_get_monotonic_time());
	json_builder_set_member_name(builder, "upstreams");
	json_builder_begin_array(builder);
	for (i = 0; i < program->upstreams->len; i++)
		upstream_build_stats(program->upstreams->pdata[i], builder);
	json_builder_end_array(builder);
	if (!query || !g_hash_table_contains(query, "short")) {
		json_builder_set_member_name(builder, "nonces");
		build_runs(program->shared, builder);
	}
	json_builder_end_object(builder);
	tool_answer_json(message, 200, json_builder_get_root(builder));
	g_object_unref(builder);
}

/*
 * Resets the counters of all nonces. Jobs in progress have pointers to their
 * counters, so the counters are zeroed and not removed.
 */
static void on_forget(SoupServer *server, SoupServerMessage *message,
		      const char *path, GHashTable *query, gpointer data)
{
	struct program *program = data;
	struct upstream_run *run;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, program->shared->runs);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&run))
		*run = (struct upstream_run){ 0 };
	tool_answer_text(message, 200, "");
}

static bool start_all(struct program *program, GError **error)
{
	struct upstream *upstream;
	guint i;

	for (i = 0; i < program->upstream_count; i++)
		add_upstream_options(program, program->host,
				     program->first_port + i);
	for (i = 0; i < program->options_list->len; i++) {
		upstream = upstream_new(program->options_list->pdata[i],
					program->shared, error);
		if (!upstream)
			return false;
		if (program->start_cold)
			upstream_start_cold(upstream);
		g_ptr_array_add(program->upstreams, upstream);
	}
	return true;
}

static void free_upstream(void *upstream)
{
	upstream_free(upstream);
}

static int serve(struct program *program)
{
	SoupServer *control = soup_server_new(NULL, NULL);
	GError *error = NULL;
	guint16 port = 0;
	int status = 1;

	soup_server_add_handler(control, "/fault", on_fault, program, NULL);
	soup_server_add_handler(control, "/oracle", on_oracle, program, NULL);
	soup_server_add_handler(control, "/forget", on_forget, program, NULL);
	program->shared = upstream_shared_new(program->seed);
	program->upstreams = g_ptr_array_new_with_free_func(free_upstream);
	if (start_all(program, &error) &&
	    tool_listen(control, program->control_address, &port, &error)) {
		printf("listening %.*s:%u\n",
		       (int)strcspn(program->control_address, ":"),
		       program->control_address, port);
		fflush(stdout);
		tool_run_until_signal(NULL);
		status = 0;
	} else {
		fprintf(stderr, "standin-upstream: %s\n", error->message);
		g_error_free(error);
	}
	g_ptr_array_unref(program->upstreams);
	g_object_unref(control);
	upstream_shared_free(program->shared);
	return status;
}

int main(int argc, char **argv)
{
	struct argp_option options[G_N_ELEMENTS(fixed_options) +
				   G_N_ELEMENTS(option_rows) + 1] = { { 0 } };
	char *names[G_N_ELEMENTS(option_rows)];
	const struct argp parser = {
		.options = options,
		.parser = parse_option,
		.doc = "Stand-in upstreams, many in one process.",
	};
	struct program program = {
		.defaults = { .slots = 2,
			      .cold_slots = 1,
			      .connections = 200,
			      .cold_ms = 3000,
			      .cold_factor = 3,
			      .fall_ms = 1000,
			      .mean_us = 20000,
			      .sigma = 0.5,
			      .connect_us = 1000,
			      .probe_us = 1000,
			      .body_bytes = 512 },
		.control_address = "127.0.0.1:0",
		.host = "127.0.0.1",
	};
	int status;
	guint i;

	program.options_list = g_ptr_array_new_with_free_func(g_free);
	fill_options(options, names);
	argp_parse(&parser, argc, argv, 0, NULL, &program);
	status = serve(&program);
	for (i = 0; i < G_N_ELEMENTS(option_rows); i++)
		g_free(names[i]);
	g_ptr_array_unref(program.options_list);
	return status;
}

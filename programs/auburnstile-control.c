/*
 * auburnstile-control: reads the configuration, agrees with the other
 * controls, and hands the local entry what it works by.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/control.h>
#include <auburnstile/log.h>
#include <auburnstile/settings.h>

#include <argp.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>

#define FIELD(member) offsetof(struct aubi_control_settings, member)
#define FINISHED_MS 50 /* between looks at the planned stop */

const char *argp_program_version = "auburnstile-control 0.1";

static const struct aub_setting table[] = {
	{ .key = "name",
	  .type = AUB_SETTING_STRING,
	  .offset = FIELD(name),
	  .required = true,
	  .help = "the VM's name" },
	{ .key = "zone",
	  .type = AUB_SETTING_STRING,
	  .offset = FIELD(zone),
	  .required = true,
	  .help = "the VM's availability zone" },
	{ .key = "inner",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(inner),
	  .required = true,
	  .help = "listens here for peers and the local entry" },
	{ .key = "admin",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(admin),
	  .required = true,
	  .help = "listens here for operators" },
	{ .key = "peers",
	  .type = AUB_SETTING_STRINGS,
	  .offset = FIELD(peers),
	  .help = "inner addresses of some other controls" },
	{ .key = "store",
	  .type = AUB_SETTING_STRING,
	  .offset = FIELD(store),
	  .required = true,
	  .help = "URL of the platform's store" },
	{ .key = "token_file",
	  .type = AUB_SETTING_STRING,
	  .offset = FIELD(token_file),
	  .help = "file with the operators' token" },
	{ .key = "log_level",
	  .type = AUB_SETTING_STRING,
	  .offset = FIELD(log_level),
	  .fallback = "info",
	  .help = "error, warning, message, info or debug" },
	{ .key = "log_json",
	  .type = AUB_SETTING_BOOLEAN,
	  .offset = FIELD(log_json),
	  .fallback = "false",
	  .help = "log lines as JSON" },
	{ .key = "stop_ms",
	  .type = AUB_SETTING_INTEGER,
	  .offset = FIELD(stop_ms),
	  .minimum = 100,
	  .maximum = 600000,
	  .fallback = "10000",
	  .help = "longest planned stop, ms" },
	{ .key = "event_capacity",
	  .type = AUB_SETTING_INTEGER,
	  .offset = FIELD(event_capacity),
	  .minimum = 16,
	  .maximum = 1 << 20,
	  .fallback = "16384",
	  .help = "events kept in memory" },
	{ .key = "seed",
	  .type = AUB_SETTING_INTEGER,
	  .offset = FIELD(seed),
	  .maximum = G_MAXUINT32,
	  .fallback = "0",
	  .help = "of the choice of peers; 0: from the clock" },
	{ .key = NULL },
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	const char **file = state->input;

	switch (key) {
	case 'c':
		*file = argument;
		return 0;
	case ARGP_KEY_ARG:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{ "settings", 'c', "FILE", 0, "read settings from FILE (TOML)", 0 },
	{ NULL }
};

static gboolean on_terminate(void *context)
{
	aubi_control_leave(context);
	return G_SOURCE_CONTINUE;
}

static gboolean on_hangup(void *context)
{
	aub_log_message("settings are read at the start only: restart to "
			"take a change in");
	return G_SOURCE_CONTINUE;
}

struct run {
	struct aubi_control *control;
	GMainLoop *loop;
};

static gboolean on_look(void *context)
{
	struct run *run = context;

	if (run->control->finished)
		g_main_loop_quit(run->loop);
	return G_SOURCE_CONTINUE;
}

static int run_control(const struct aubi_control_settings *settings)
{
	struct run run = { 0 };
	GError *error = NULL;

	run.control = aubi_control_new(settings, &error);
	if (!run.control) {
		aub_log_warning("not started: %s", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	run.loop = g_main_loop_new(NULL, FALSE);
	g_unix_signal_add(SIGTERM, on_terminate, run.control);
	g_unix_signal_add(SIGINT, on_terminate, run.control);
	g_unix_signal_add(SIGHUP, on_hangup, NULL);
	g_timeout_add(FINISHED_MS, on_look, &run);
	aub_log_message("control %s in zone %s on %s", settings->name,
			settings->zone, settings->inner);
	g_main_loop_run(run.loop);
	aub_log_message("stopped");
	aubi_control_free(run.control);
	g_main_loop_unref(run.loop);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Agrees with the other controls of the fleet and tells "
		       "the local entry what it works by.",
	};
	struct aubi_control_settings settings = { 0 };
	const char *file = NULL;
	GError *error = NULL;
	int status;

	argp_parse(&argp, argc, argv, 0, NULL, &file);
	if (!file) {
		fprintf(stderr, "%s: --settings is missing\n", argv[0]);
		return EXIT_FAILURE;
	}
	if (!aub_settings_load(file, table, &settings, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	if (!aub_log_setup(settings.name, settings.log_level,
			   settings.log_json)) {
		fprintf(stderr, "%s: log_level: unknown word\n", file);
		status = EXIT_FAILURE;
	} else {
		status = run_control(&settings);
	}
	aub_settings_clear(table, &settings);
	return status;
}

/*
 * Start-up code shared by the long-running programs.
 */
#include <auburnstile/internal/program.h>
#include <auburnstile/log.h>

#include <argp.h>
#include <glib-unix.h>
#include <signal.h>

static const struct argp_option options[] = {
	{ "settings", 'c', "FILE", 0, "read settings from FILE (TOML)", 0 },
	{ 0 },
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
	case ARGP_KEY_END:
		if (!*file)
			argp_error(state, "--settings FILE is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

const char *aubi_program_settings_file(int argc, char **argv, const char *doc)
{
	const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = doc,
	};
	const char *file = NULL;

	argp_parse(&argp, argc, argv, 0, NULL, &file);
	return file;
}

bool aubi_program_log(const char *file, const char *name, const char *level,
		      bool json)
{
	if (aub_log_setup(name, level, json))
		return true;
	g_printerr("%s: log_level: \"%s\" is not a log level\n", file, level);
	return false;
}

static gboolean on_hangup(void *context)
{
	aub_log_message("settings are read at start only; restart to apply "
			"changes");
	return G_SOURCE_CONTINUE;
}

void aubi_program_signals(GSourceFunc stop, void *context)
{
	g_unix_signal_add(SIGTERM, stop, context);
	g_unix_signal_add(SIGINT, stop, context);
	g_unix_signal_add(SIGHUP, on_hangup, NULL);
}

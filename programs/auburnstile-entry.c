/*
 * auburnstile-entry: takes callers' requests on one entry VM.
 *
 * SIGTERM and SIGINT begin a planned stop; SIGHUP only says that settings
 * are read at the start.
 */
#include <auburnstile/internal/entry.h>
#include <auburnstile/log.h>

#include <argp.h>
#include <glib-unix.h>
#include <signal.h>

const char *argp_program_version = "auburnstile-entry 0.1";

static const struct argp_option options[] = {
	{ "settings", 'c', "FILE", 0, "settings in TOML", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	const char **file = state->input;

	if (key == 'c')
		*file = argument;
	else if (key == ARGP_KEY_END && !*file)
		argp_error(state, "--settings FILE is needed");
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.doc = "Takes callers' requests and sends them to upstreams.",
};

struct process {
	struct aub_entry *entry;
	GMainLoop *loop;
};

static void on_stopped(void *context)
{
	struct process *process = context;

	g_main_loop_quit(process->loop);
}

static gboolean on_terminate(void *context)
{
	struct process *process = context;

	aub_entry_stop(process->entry, on_stopped, process);
	return G_SOURCE_CONTINUE;
}

static gboolean on_hangup(void *context)
{
	aub_log_message("settings are read at the start: restart to change");
	return G_SOURCE_CONTINUE;
}

int main(int argc, char **argv)
{
	struct aub_entry_settings settings = { 0 };
	struct process process = { 0 };
	const char *file = NULL;
	GError *error = NULL;
	int status = 1;

	argp_parse(&argp, argc, argv, 0, NULL, &file);
	if (!aub_settings_load(file, aub_entry_setting_table, &settings,
			       &error))
		goto out;
	if (!aub_log_setup(settings.name, settings.log_level,
			   settings.log_json)) {
		g_printerr("%s: log_level: \"%s\" is not a level\n", file,
			   settings.log_level);
		goto out;
	}
	process.entry = aub_entry_new(&settings, &error);
	if (!process.entry)
		goto out;
	process.loop = g_main_loop_new(NULL, FALSE);
	g_unix_signal_add(SIGTERM, on_terminate, &process);
	g_unix_signal_add(SIGINT, on_terminate, &process);
	g_unix_signal_add(SIGHUP, on_hangup, &process);
	aub_log_message("entry %s serves callers on %s", settings.name,
			settings.callers);
	g_main_loop_run(process.loop);
	aub_entry_free(process.entry);
	g_main_loop_unref(process.loop);
	aub_log_message("stopped");
	status = 0;
out:
	if (error) {
		g_printerr("%s\n", error->message);
		g_error_free(error);
	}
	aub_settings_clear(aub_entry_setting_table, &settings);
	return status;
}

/*
 * auburnstile-entry: serves callers' requests on one entry VM.
 *
 * SIGTERM and SIGINT start a planned stop; SIGHUP logs that settings are read
 * at start only.
 */
#include <auburnstile/internal/entry.h>
#include <auburnstile/internal/program.h>
#include <auburnstile/log.h>

const char *argp_program_version = "auburnstile-entry 0.1";

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

int main(int argc, char **argv)
{
	struct aub_entry_settings settings = { 0 };
	struct process process = { 0 };
	const char *file = aubi_program_settings_file(
		argc, argv,
		"Accepts callers' requests and sends them to upstreams.");
	GError *error = NULL;
	int status = 1;

	if (!aub_settings_load(file, aub_entry_setting_table, &settings,
			       &error))
		goto out;
	if (!aubi_program_log(file, settings.name, settings.log_level,
			      settings.log_json))
		goto out;
	process.entry = aub_entry_new(&settings, &error);
	if (!process.entry)
		goto out;
	process.loop = g_main_loop_new(NULL, FALSE);
	aubi_program_signals(on_terminate, &process);
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

/*
 * auburnstile-control: control plane process of an entry VM. It reads the
 * configuration, agrees with the other controls on members and assignments,
 * and sends the resulting state to the local entry.
 *
 * SIGTERM and SIGINT start a planned stop; SIGHUP logs that settings are read
 * at start only.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/control.h>
#include <auburnstile/internal/program.h>
#include <auburnstile/log.h>
#include <auburnstile/settings.h>

#include <stdlib.h>

#define FIELD(member) offsetof(struct aubi_control_settings, member)
#define STOP_POLL_MS 50 /* interval of checks for the end of a stop */

const char *argp_program_version = "auburnstile-control 0.1";

static const struct aub_setting table[] = {
	AUBI_PROGRAM_SETTINGS(struct aubi_control_settings),
	{ .key = "inner",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(inner),
	  .required = true,
	  .help = "listen address for peers and the local entry" },
	{ .key = "admin",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(admin),
	  .required = true,
	  .help = "listen address for operators" },
	{ .key = "peers",
	  .type = AUB_SETTING_STRINGS,
	  .offset = FIELD(peers),
	  .help = "`inner` addresses of some of the other controls" },
	{ .key = "store",
	  .type = AUB_SETTING_STRING,
	  .offset = FIELD(store),
	  .required = true,
	  .help = "URL of the platform's store" },
	{ .key = NULL },
};

static gboolean on_terminate(void *context)
{
	aubi_control_stop(context);
	return G_SOURCE_CONTINUE;
}

struct process {
	struct aubi_control *control;
	GMainLoop *loop;
};

static gboolean on_stop_poll(void *context)
{
	struct process *process = context;

	if (process->control->finished)
		g_main_loop_quit(process->loop);
	return G_SOURCE_CONTINUE;
}

static int run_control(const struct aubi_control_settings *settings)
{
	struct process process = { 0 };
	GError *error = NULL;

	process.control = aubi_control_new(settings, &error);
	if (!process.control) {
		aub_log_warning("failed to start: %s", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	process.loop = g_main_loop_new(NULL, FALSE);
	aubi_program_signals(on_terminate, process.control);
	g_timeout_add(STOP_POLL_MS, on_stop_poll, &process);
	aub_log_message("control %s in zone %s on %s", settings->name,
			settings->zone, settings->inner);
	g_main_loop_run(process.loop);
	aub_log_message("stopped");
	aubi_control_free(process.control);
	g_main_loop_unref(process.loop);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	const char *file = aubi_program_settings_file(
		argc, argv,
		"Agrees with the other controls of the fleet on its state "
		"and sends it to the local entry.");
	struct aubi_control_settings settings = { 0 };
	GError *error = NULL;
	int status = EXIT_FAILURE;

	if (!aub_settings_load(file, table, &settings, &error)) {
		g_printerr("%s\n", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	if (aubi_program_log(file, settings.name, settings.log_level,
			     settings.log_json))
		status = run_control(&settings);
	aub_settings_clear(table, &settings);
	return status;
}

/*
 * auburnstile-gateway: all of auburnstile in one process per VM, for a platform
 * that stores the configuration. It serves callers' requests, places them on
 * upstreams, and follows the platform's directory.
 *
 * SIGTERM and SIGINT start a planned stop. Settings are reloaded on SIGHUP and
 * when the file has changed.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/node.h>
#include <auburnstile/internal/program.h>
#include <auburnstile/log.h>

#include <glib-unix.h>
#include <malloc.h>
#include <signal.h>
#include <sys/stat.h>

const char *argp_program_version = "auburnstile-gateway 0.1";

#define SETTINGS_POLL_S 1 /* how often the file is checked for changes */

/*
 * Free memory at the top of the heap beyond this is returned to the system,
 * since VMs are small.
 */
#define MALLOC_TRIM_BYTES (1 << 20)

struct process {
	const char *file;
	struct timespec mtime; /* modification time of the file */
	struct aub_timer_service *timers;
	struct aub_node *node;
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

	aub_node_stop(process->node, on_stopped, process);
	return G_SOURCE_CONTINUE;
}

/* If the file is invalid, logs a warning and keeps the current settings. */
static void reload(struct process *process)
{
	struct aub_node_settings settings = { 0 };
	GError *error = NULL;

	if (aub_settings_load(process->file, aub_node_settings_table, &settings,
			      &error)) {
		aub_node_reload(process->node, &settings);
	} else {
		g_warning("settings not reloaded: %s", error->message);
		g_error_free(error);
	}
	aub_settings_clear(aub_node_settings_table, &settings);
}

/* Returns true if the file was modified since the last call. */
static bool file_changed(struct process *process)
{
	struct stat now;

	if (stat(process->file, &now) < 0)
		return false;
	if (now.st_mtim.tv_sec == process->mtime.tv_sec &&
	    now.st_mtim.tv_nsec == process->mtime.tv_nsec)
		return false;
	process->mtime = now.st_mtim;
	return true;
}

static gboolean on_settings_check(void *context)
{
	struct process *process = context;

	if (file_changed(process))
		reload(process);
	return G_SOURCE_CONTINUE;
}

static gboolean on_hangup(void *context)
{
	struct process *process = context;

	file_changed(process);
	reload(process);
	return G_SOURCE_CONTINUE;
}

int main(int argc, char **argv)
{
	struct aub_node_settings settings = { 0 };
	struct process process = { 0 };
	GError *error = NULL;
	int status = 1;

	/* Until it is handled: it would end a process that has just started. */
	signal(SIGHUP, SIG_IGN);
	mallopt(M_TRIM_THRESHOLD, MALLOC_TRIM_BYTES);
	process.file = aubi_program_settings_file(
		argc, argv, "Serves callers on one VM of a platform.");
	/* Before it is read: a change meanwhile is noticed by the next check.
	 */
	file_changed(&process);
	if (!aub_settings_load(process.file, aub_node_settings_table, &settings,
			       &error))
		goto out;
	if (!aubi_program_log(process.file, settings.name, settings.log_level,
			      true))
		goto out;
	process.timers = aub_timer_service_new(NULL);
	aub_decision_log_start(settings.name, process.timers);
	process.node =
		aub_node_new(&settings, &aub_platform, process.timers, &error);
	if (!process.node)
		goto out;
	process.loop = g_main_loop_new(NULL, FALSE);
	g_unix_signal_add(SIGTERM, on_terminate, &process);
	g_unix_signal_add(SIGINT, on_terminate, &process);
	g_unix_signal_add(SIGHUP, on_hangup, &process);
	g_timeout_add_seconds(SETTINGS_POLL_S, on_settings_check, &process);
	g_main_loop_run(process.loop);
	aub_node_free(process.node);
	g_main_loop_unref(process.loop);
	status = 0;
out:
	aub_decision_log_stop();
	aub_timer_service_free(process.timers);
	if (error) {
		g_printerr("%s\n", error->message);
		g_error_free(error);
	}
	aub_settings_clear(aub_node_settings_table, &settings);
	return status;
}

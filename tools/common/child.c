/* Child processes; see child.h. */
#include "common/child.h"

#include <auburnstile/error.h>
#include <errno.h>
#include <fcntl.h>
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <poll.h>
#include <signal.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#define CHILDREN_MAX 256 /* running; the signal handler walks them all */
#define FIRST_PORT 21000
#define PORTS_PER_BLOCK 500
#define PORT_BLOCK_COUNT 22
#define LISTENING_TIMEOUT_MS 10000
#define WAIT_POLL_INTERVAL_US 2000UL

/* Read by a signal handler, which must not allocate memory or take locks. */
static volatile pid_t running_pids[CHILDREN_MAX];

static void replace_running_pid(pid_t pid, pid_t old_pid)
{
	int i;

	for (i = 0; i < CHILDREN_MAX; i++) {
		if (running_pids[i] != old_pid)
			continue;
		running_pids[i] = pid;
		return;
	}
	g_error("more than %d children", CHILDREN_MAX);
}

char *child_program_path(const char *program)
{
	const char *build = g_getenv("BUILD");
	char *self;
	char *folder;
	char *path;

	if (build)
		return g_build_filename(build, program, NULL);
	self = g_file_read_link("/proc/self/exe", NULL);
	folder = g_path_get_dirname(self ? self : "./");
	if (g_str_has_suffix(folder, "/tests") ||
	    g_str_has_suffix(folder, "/proofs"))
		*strrchr(folder, '/') = '\0';
	path = g_build_filename(folder, program, NULL);
	g_free(self);
	g_free(folder);
	return path;
}

/*
 * A terminal sends Ctrl-C's SIGINT to the whole process group. Children ignore
 * it, since the parent ends them itself.
 */
void child_setup(void)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	signal(SIGINT, SIG_IGN);
}

static void on_child_setup(gpointer data)
{
	const char *log = data;
	int file;

	child_setup();
	if (!log)
		return;
	file = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	if (file >= 0)
		dup2(file, STDERR_FILENO);
}

static void on_child_setup_output(gpointer data)
{
	on_child_setup(data);
	dup2(STDERR_FILENO, STDOUT_FILENO);
}

/*
 * Returns the first line read from `file`, without its newline; the caller
 * frees it. Returns NULL on a timeout, an error or end of file.
 */
static char *read_line(int file, guint timeout_ms)
{
	gint64 deadline_us = g_get_monotonic_time() + timeout_ms * (gint64)1000;
	GString *line = g_string_new(NULL);
	struct pollfd poller = { .fd = file, .events = POLLIN };
	gint64 remaining_ms;
	char byte;

	for (;;) {
		remaining_ms = (deadline_us - g_get_monotonic_time()) / 1000;
		if (remaining_ms <= 0 || poll(&poller, 1, remaining_ms) <= 0 ||
		    read(file, &byte, 1) != 1) {
			g_string_free(line, TRUE);
			return NULL;
		}
		if (byte == '\n')
			return g_string_free(line, FALSE);
		g_string_append_c(line, byte);
	}
}

/*
 * Returns the log file's text for an error message, or NULL if it cannot be
 * read; the caller frees it.
 */
static char *read_log(const char *log)
{
	char *text = NULL;

	if (log && g_file_get_contents(log, &text, NULL, NULL))
		g_strchomp(text);
	return text;
}

static bool wait_listening(struct child *child, int output, const char *log,
			   GError **error)
{
	char *line = read_line(output, LISTENING_TIMEOUT_MS);
	bool ok = line && g_str_has_prefix(line, "listening ");
	char *log_output = ok ? NULL : read_log(log);

	if (ok)
		child->address = g_strdup(line + strlen("listening "));
	else
		aub_error_set(error, AUB_ERROR_UNAVAILABLE, "start program",
			      child->name, "did not start listening: %s",
			      log_output && *log_output ? log_output :
							  "no output");
	g_free(log_output);
	g_free(line);
	return ok;
}

static struct child *spawn_child(const char *program,
				 const char *const *arguments, bool listening,
				 const char *log, GSpawnChildSetupFunc setup,
				 GError **error)
{
	GPtrArray *command = g_ptr_array_new();
	char *path = child_program_path(program);
	struct child *child = g_new0(struct child, 1);
	int output = -1;
	bool ok;

	g_ptr_array_add(command, path);
	while (*arguments)
		g_ptr_array_add(command, (char *)*arguments++);
	g_ptr_array_add(command, NULL);
	child->name = g_strdup(program);
	ok = g_spawn_async_with_pipes(
		NULL, (char **)command->pdata, NULL,
		G_SPAWN_DO_NOT_REAP_CHILD |
			(listening ? 0 : G_SPAWN_STDOUT_TO_DEV_NULL),
		setup, (char *)log, &child->pid, NULL,
		listening ? &output : NULL, NULL, error);
	if (ok)
		replace_running_pid(child->pid, 0);
	if (ok && listening)
		ok = wait_listening(child, output, log, error);
	if (output >= 0)
		close(output);
	g_ptr_array_unref(command);
	g_free(path);
	if (ok)
		return child;
	child_free(child);
	return NULL;
}

struct child *child_start(const char *program, const char *const *arguments,
			  bool listening, const char *log, GError **error)
{
	return spawn_child(program, arguments, listening, log, on_child_setup,
			   error);
}

struct child *child_start_output(const char *program,
				 const char *const *arguments, const char *log,
				 GError **error)
{
	return spawn_child(program, arguments, false, log,
			   on_child_setup_output, error);
}

bool child_has_exited(struct child *child)
{
	if (!child->pid)
		return true;
	if (waitpid(child->pid, &child->status, WNOHANG) != child->pid)
		return false;
	replace_running_pid(0, child->pid);
	child->pid = 0;
	return true;
}

bool child_signal(struct child *child, int signal_number)
{
	return !child_has_exited(child) && kill(child->pid, signal_number) == 0;
}

bool child_wait(struct child *child, guint timeout_ms)
{
	gint64 deadline_us = g_get_monotonic_time() + timeout_ms * (gint64)1000;

	while (!child_has_exited(child)) {
		if (g_get_monotonic_time() >= deadline_us)
			return false;
		g_usleep(WAIT_POLL_INTERVAL_US);
	}
	return true;
}

void child_free(struct child *child)
{
	if (!child)
		return;
	if (child_signal(child, SIGKILL)) {
		waitpid(child->pid, &child->status, 0);
		replace_running_pid(0, child->pid);
	}
	g_free(child->name);
	g_free(child->address);
	g_free(child);
}

/* Called from a signal handler: uses async-signal-safe functions only. */
void child_kill_all(void)
{
	pid_t pid;
	int i;

	for (i = 0; i < CHILDREN_MAX; i++)
		if (running_pids[i])
			kill(running_pids[i], SIGKILL);
	for (i = 0; i < CHILDREN_MAX; i++) {
		pid = running_pids[i];
		if (!pid)
			continue;
		waitpid(pid, NULL, 0);
		running_pids[i] = 0;
	}
}

static void on_termination_signal(int signal_number)
{
	child_kill_all();
	_exit(128 + signal_number);
}

void child_install_exit_handlers(void)
{
	struct sigaction action = { .sa_handler = on_termination_signal };

	sigaction(SIGINT, &action, NULL);
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGHUP, &action, NULL);
	atexit(child_kill_all);
}

static bool port_is_free(guint16 port)
{
	GSocket *socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *address =
		g_inet_socket_address_new_from_string("127.0.0.1", port);
	bool is_free = socket && g_socket_bind(socket, address, TRUE, NULL) &&
		       g_socket_listen(socket, NULL);

	g_clear_object(&socket);
	g_object_unref(address);
	return is_free;
}

/*
 * Reserves a block of ports for this process and returns its index. Without
 * separate blocks, a port freed when one test program's entry is killed could
 * be taken by an upstream of another test program that runs concurrently, and
 * the callers of the first would reach that upstream. An abstract socket, which
 * the kernel removes when the process ends, marks the block as taken. If all
 * blocks are taken, a random one is shared.
 */
static guint reserve_port_block(void)
{
	struct sockaddr_un name = { .sun_family = AF_UNIX };
	guint first = g_random_int_range(0, PORT_BLOCK_COUNT);
	guint block;
	int length;
	int marker;
	guint i;

	for (i = 0; i < PORT_BLOCK_COUNT; i++) {
		block = (first + i) % PORT_BLOCK_COUNT;
		marker = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
		length =
			g_snprintf(name.sun_path + 1, sizeof(name.sun_path) - 1,
				   "auburnstile-ports-%u", block);
		if (!bind(marker, (struct sockaddr *)&name,
			  offsetof(struct sockaddr_un, sun_path) + 1 + length))
			return block;
		close(marker);
	}
	return first;
}

guint16 child_pick_free_port(void)
{
	static guint block = PORT_BLOCK_COUNT;
	static guint next_port_offset;
	guint16 port;

	if (block == PORT_BLOCK_COUNT)
		block = reserve_port_block();
	do {
		port = FIRST_PORT + block * PORTS_PER_BLOCK +
		       next_port_offset++ % PORTS_PER_BLOCK;
	} while (!port_is_free(port));
	return port;
}

static gboolean on_http_timeout(gpointer data)
{
	g_cancellable_cancel(data);
	return G_SOURCE_REMOVE;
}

struct http_result {
	GBytes *body;
	GError *error;
	bool done;
};

static void on_http_done(GObject *source, GAsyncResult *result, gpointer data)
{
	struct http_result *response = data;

	response->body =
		soup_session_send_and_read_finish(SOUP_SESSION(source), result,
						  &response->error);
	response->done = true;
}

/* Runs the default main loop, so that a load in progress continues. */
static void http_run_request(SoupMessage *message, guint timeout_ms,
			     struct http_result *response)
{
	GCancellable *cancellable = g_cancellable_new();
	SoupSession *session = soup_session_new();
	guint timer = g_timeout_add(timeout_ms, on_http_timeout, cancellable);

	soup_session_send_and_read_async(session, message, G_PRIORITY_DEFAULT,
					 cancellable, on_http_done, response);
	while (!response->done)
		g_main_context_iteration(NULL, TRUE);
	if (!g_cancellable_is_cancelled(cancellable))
		g_source_remove(timer);
	soup_session_abort(session);
	g_object_unref(session);
	g_object_unref(cancellable);
}

bool child_http_send(SoupMessage *message, guint timeout_ms, GError **error)
{
	struct http_result response = { 0 };

	http_run_request(message, timeout_ms, &response);
	if (response.body)
		g_bytes_unref(response.body);
	if (!response.error)
		return true;
	aub_error_set(error, AUB_ERROR_CLOSED, "http",
		      soup_message_get_method(message), "%s",
		      response.error->message);
	g_error_free(response.error);
	return false;
}

static char *http_read_text(SoupMessage *message, const char *url,
			    guint timeout_ms, guint *status, GError **error)
{
	struct http_result response = { 0 };
	char *text = NULL;

	http_run_request(message, timeout_ms, &response);
	if (response.error)
		aub_error_set(error, AUB_ERROR_CLOSED, "http", url, "%s",
			      response.error->message);
	else
		text = g_strndup(g_bytes_get_data(response.body, NULL),
				 g_bytes_get_size(response.body));
	if (status)
		*status = soup_message_get_status(message);
	if (response.body)
		g_bytes_unref(response.body);
	g_clear_error(&response.error);
	g_object_unref(message);
	return text;
}

char *child_http(const char *method, const char *url, const char *token,
		 const char *body, guint timeout_ms, guint *status,
		 GError **error)
{
	SoupMessage *message = soup_message_new(method, url);
	char *bearer;
	GBytes *sent;

	if (!message) {
		aub_error_set(error, AUB_ERROR_INVALID, "http", url, "bad URL");
		return NULL;
	}
	if (token) {
		bearer = g_strconcat("Bearer ", token, NULL);
		soup_message_headers_replace(soup_message_get_request_headers(
						     message),
					     "Authorization", bearer);
		g_free(bearer);
	}
	if (body) {
		sent = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(message,
							 "application/json",
							 sent);
		g_bytes_unref(sent);
	}
	return http_read_text(message, url, timeout_ms, status, error);
}

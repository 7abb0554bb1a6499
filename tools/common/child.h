/*
 * Child processes of tests, proofs and the demonstration.
 *
 * Every child ends with its parent: by PR_SET_PDEATHSIG if the parent dies,
 * and by child_kill_all() when it ends in order or on a signal. To be used
 * from the main thread only.
 */
#ifndef TOOL_CHILD_H
#define TOOL_CHILD_H

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct child {
	GPid pid; /* 0 once it has been waited for */
	char *name;
	char *address; /* of its "listening ip:port" line, or NULL */
	int status; /* as from waitpid(), once it ended */
};

/*
 * Start a program of the build folder (that of the running program, or the
 * environment's BUILD). `arguments` ends with NULL and leaves the program
 * out. With `listening`, waits up to 10 s for its line. `log` (may be NULL)
 * takes its standard error and is appended to. NULL on error.
 */
struct child *child_start(const char *program, const char *const *arguments,
			  bool listening, const char *log, GError **error);
/* The same; what it writes to standard output goes to `log`, too. */
struct child *child_start_output(const char *program,
				 const char *const *arguments, const char *log,
				 GError **error);

/* Send a signal; false when it has ended. */
bool child_signal(struct child *child, int number);

/* True once it has ended. Never waits. */
bool child_has_exited(struct child *child);

/* Wait up to `timeout_ms`; false when it still runs. */
bool child_wait(struct child *child, guint timeout_ms);

/* SIGKILL if it still runs, wait for it, and free. NULL is ignored. */
void child_free(struct child *child);

/* SIGKILL all that run and wait for them; they stay to be freed. */
void child_kill_all(void);

/* End all children, then this process, on SIGINT, SIGTERM and at exit. */
void child_install_exit_handlers(void);

/* Path of a program of the build folder; owned by the caller. */
char *child_program_path(const char *program);

/* For a child's setup function: it ends when its parent does. */
void child_setup(void);

/*
 * A loopback port that was free a moment ago, never the same twice. Below
 * the range from which the system takes ports for outgoing connections.
 */
guint16 child_pick_free_port(void);

/*
 * One HTTP request, waited for up to `timeout_ms` while the default main loop
 * turns. `token` and `body` may be NULL. The body of the answer is owned by the
 * caller; NULL on error.
 */
char *child_http(const char *method, const char *url, const char *token,
		 const char *body, guint timeout_ms, guint *status,
		 GError **error);

/* The same for a message of one's own; its answer's headers stay with it. */
bool child_http_send(SoupMessage *message, guint timeout_ms, GError **error);

G_END_DECLS

#endif

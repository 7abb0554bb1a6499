/*
 * Child processes of tests, proofs and the demonstration.
 *
 * Every child ends together with its parent: PR_SET_PDEATHSIG ends it if the
 * parent dies, and child_kill_all() ends it when the parent exits normally or
 * on a signal. These functions may be called from the main thread only.
 */
#ifndef TOOL_CHILD_H
#define TOOL_CHILD_H

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct child {
	GPid pid; /* 0 after the child has been reaped */
	char *name;
	char *address; /* from its "listening ip:port" line, or NULL */
	int status; /* as set by waitpid(); valid after it has exited */
};

/*
 * Starts a program of the build folder: the folder of the running program, or
 * the one named by the environment variable BUILD. `arguments` ends with NULL
 * and does not include the program's name. If `listening` is true, waits up to
 * 10 s for the child's "listening ip:port" line and sets its address. If `log`
 * is not NULL, standard error is appended to that file. Returns NULL and sets
 * `error` on failure; the caller frees the result with child_free().
 */
struct child *child_start(const char *program, const char *const *arguments,
			  bool listening, const char *log, GError **error);
/* Like child_start(), but standard output is appended to `log` as well. */
struct child *child_start_output(const char *program,
				 const char *const *arguments, const char *log,
				 GError **error);

/* Sends a signal. Returns false if the child has exited or on failure. */
bool child_signal(struct child *child, int signal_number);

/* Returns whether the child has exited. Does not block. */
bool child_has_exited(struct child *child);

/* Waits up to `timeout_ms`. Returns false if the child is still running. */
bool child_wait(struct child *child, guint timeout_ms);

/*
 * Kills the child if it is still running, reaps it and frees it. NULL is
 * allowed.
 */
void child_free(struct child *child);

/*
 * Kills and reaps all running children. The caller must still free them with
 * child_free().
 */
void child_kill_all(void);

/* Makes SIGINT, SIGTERM, SIGHUP and a normal exit kill all children first. */
void child_install_exit_handlers(void);

/* Returns the path of a program of the build folder; the caller frees it. */
char *child_program_path(const char *program);

/* Child setup: the child is killed when its parent dies, and ignores SIGINT. */
void child_setup(void);

/*
 * Returns a loopback port that was free when it was checked; a process gets
 * each port only once until its block of 500 is used up. The ports lie below
 * the range from which the kernel assigns ports to outgoing connections.
 */
guint16 child_pick_free_port(void);

/*
 * Sends an HTTP request and waits up to `timeout_ms` for the response while the
 * default main loop runs. `token` (sent as a bearer token) and `body` (JSON)
 * may be NULL. Returns the response's body, which the caller frees, or NULL
 * with `error` set. `status` may be NULL.
 */
char *child_http(const char *method, const char *url, const char *token,
		 const char *body, guint timeout_ms, guint *status,
		 GError **error);

/*
 * Sends a message that the caller has built, and waits in the same way. The
 * status and the headers of the response are read from `message`. Returns false
 * and sets `error` on failure.
 */
bool child_http_send(SoupMessage *message, guint timeout_ms, GError **error);

G_END_DECLS

#endif

/*
 * The listener for callers: whole requests in, whole answers out.
 *
 * Bounded on all sides: connections, time for header and body, size of a
 * body. Asynchronous, on the thread's default main context.
 */
#ifndef AUBURNSTILE_INTERNAL_CALLER_SERVER_H
#define AUBURNSTILE_INTERNAL_CALLER_SERVER_H

#include <auburnstile/message.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

/* Attempts beyond the first where the caller names none, in 1/100. */
#define AUB_RETRY_BUDGET_DEFAULT_PERCENT 100
#define AUB_RETRY_BUDGET_MAX_PERCENT 400

#define AUB_ADDRESSES_PATH "/.auburnstile/addresses"

struct aub_caller_server;
struct aub_caller_request; /* one request being answered */

struct aub_caller_server_options {
	const char *address; /* "ip:port" */
	guint connections_max; /* open at most */
	guint header_ms; /* from accept to the end of the first header */
	guint idle_ms; /* from an answer to the end of the next header */
	guint body_ms; /* from header to the end of the body */
	guint write_ms; /* from answer's start to its end */
	struct aub_timer_service *timers; /* borrowed */

	/*
	 * A whole request came. `call` is owned by the callee; its id, service
	 * and `once` are not set, and deadline_ms is 0 where the caller named
	 * none. Exactly one aub_caller_respond() follows, unless `gone` did.
	 */
	void (*arrived)(struct aub_caller_request *request,
			struct aub_call *call, void *context);

	/* The caller went away: `request` must not be used any more. */
	void (*gone)(struct aub_caller_request *request, void *context);

	/* Largest body for `path`, in bytes. */
	guint32 (*body_limit)(const char *path, void *context);

	/*
	 * Which addresses to use, as JSON (g_free), for a service or, where
	 * that is NULL, a path. NULL with `*status` where there is no answer.
	 */
	char *(*addresses)(const char *service, const char *path, guint *status,
			   void *context);
	void *context;
};

struct aub_caller_server *aub_caller_server_new(
	const struct aub_caller_server_options *options, GError **error);
void aub_caller_server_free(struct aub_caller_server *server);

/*
 * Send the final answer; `answer` is taken over. `stale` tells the caller to
 * ask anew which addresses to use.
 */
void aub_caller_respond(struct aub_caller_request *request,
			struct aub_answer *answer, bool stale);

/* Slot for the owner of the request's further state; NULL at first. */
void aub_caller_request_set_data(struct aub_caller_request *request,
				 void *data);
void *aub_caller_request_data(const struct aub_caller_request *request);

/* Connections with a request under way, answers being written included. */
guint aub_caller_server_active(const struct aub_caller_server *server);
guint aub_caller_server_connections(const struct aub_caller_server *server);
guint aub_caller_server_port(const struct aub_caller_server *server);

G_END_DECLS

#endif

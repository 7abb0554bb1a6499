/*
 * The HTTP listener for callers. It delivers complete requests and sends
 * complete responses.
 *
 * The number of connections, the time for header, body and response, and the
 * size of a body are limited. Asynchronous, on the thread's default main
 * context.
 */
#ifndef AUBURNSTILE_INTERNAL_CALLER_SERVER_H
#define AUBURNSTILE_INTERNAL_CALLER_SERVER_H

#include <auburnstile/message.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

/*
 * Retries allowed per request in percent (100: one retry): default if the
 * caller sends no budget, and maximum.
 */
#define AUB_RETRY_BUDGET_DEFAULT_PERCENT 100
#define AUB_RETRY_BUDGET_MAX_PERCENT 400

#define AUB_ADDRESSES_PATH "/.auburnstile/addresses"

struct aub_caller_server;
struct aub_caller_request; /* a request without a response yet */

struct aub_caller_server_options {
	const char *address; /* "ip:port" */
	guint connections_max; /* maximum number of open connections */
	guint header_timeout_ms; /* accept to end of first header */
	guint idle_timeout_ms; /* response to end of next header */
	guint body_timeout_ms; /* end of header to end of body */
	guint write_timeout_ms; /* start to end of the response */
	struct aub_timer_service *timers; /* not owned */

	/*
	 * Called when a complete request has been received. The callee owns
	 * `call`; its id, service and `at_most_once` are not set, and
	 * deadline_ms is 0 if the caller sent no deadline. The callee calls
	 * aub_caller_respond() exactly once unless `disconnected` is called
	 * first.
	 */
	void (*arrived)(struct aub_caller_request *request,
			struct aub_call *call, void *context);

	/*
	 * Called if the caller disconnects before the response is sent.
	 * `request` must not be used after this call.
	 */
	void (*disconnected)(struct aub_caller_request *request, void *context);

	/* Returns the maximum body in bytes for `path`. */
	guint32 (*body_limit)(const char *path, void *context);

	/*
	 * Returns the addresses to use as JSON (g_free), for a service or, if
	 * `service` is NULL, for a path. Returns NULL and sets `*status` to
	 * the HTTP status if there are none.
	 */
	char *(*addresses)(const char *service, const char *path, guint *status,
			   void *context);
	void *context;
};

struct aub_caller_server *aub_caller_server_new(
	const struct aub_caller_server_options *options, GError **error);
void aub_caller_server_free(struct aub_caller_server *server);

/*
 * Sends the response and takes ownership of `answer`. `stale` adds a header
 * that tells the caller to request its list of addresses again.
 */
void aub_caller_respond(struct aub_caller_request *request,
			struct aub_answer *answer, bool stale);

/* User data attached to the request by its owner; NULL initially. */
void aub_caller_request_set_data(struct aub_caller_request *request,
				 void *data);
void *aub_caller_request_data(const struct aub_caller_request *request);

/*
 * Returns the number of connections with a request in progress, including
 * those whose response is still being written.
 */
guint aub_caller_server_active(const struct aub_caller_server *server);
guint aub_caller_server_connections(const struct aub_caller_server *server);
guint aub_caller_server_port(const struct aub_caller_server *server);

G_END_DECLS

#endif

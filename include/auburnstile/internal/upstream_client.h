/*
 * The HTTP client of one upstream: sends single attempts and probes and
 * reports what is known about the execution of each.
 *
 * Asynchronous, on the thread's default main context. The client never
 * retries; retries are up to the dispatcher.
 */
#ifndef AUBURNSTILE_INTERNAL_UPSTREAM_CLIENT_H
#define AUBURNSTILE_INTERNAL_UPSTREAM_CLIENT_H

#include <auburnstile/dispatch.h>
#include <auburnstile/message.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct aub_upstream_client;
struct aub_attempt; /* a request in flight */

struct aub_upstream_client_options {
	const char *host; /* IP address; copied */
	guint16 port;
	guint connections_max; /* maximum number of open connections */
	guint32 body_limit; /* maximum response body in bytes */
	struct aub_timer_service *timers; /* not owned */
};

struct aub_upstream_client *aub_upstream_client_new(
	const struct aub_upstream_client_options *options);

/*
 * Releases the client. Attempts in flight continue and their callbacks are
 * called; aub_attempt_abandon() prevents that.
 */
void aub_upstream_client_free(struct aub_upstream_client *client);

/*
 * Called exactly once for each attempt, never from within aub_upstream_send().
 * `answer` is set only for AUB_ATTEMPT_ANSWERED and is owned by the callee;
 * `signals` is valid during the callback; `error` gives the reason for any
 * other result.
 */
typedef void aub_attempt_callback(enum aub_attempt_result result,
				  const struct aub_upstream_signals *signals,
				  struct aub_answer *answer,
				  const GError *error, void *context);

/*
 * Sends `call` and gives up at `deadline_us` (monotonic). `new_connection`
 * forces a new connection, for retries and hedges, because the first attempt
 * may have failed on an unresponsive pooled connection. Non-idempotent
 * requests always use a new connection. The handle is valid until the
 * callback.
 */
struct aub_attempt *aub_upstream_send(struct aub_upstream_client *client,
				      const struct aub_call *call,
				      bool new_connection, gint64 deadline_us,
				      aub_attempt_callback *callback,
				      void *context);

/*
 * Aborts the attempt and closes its connection. The callback follows with
 * AUB_ATTEMPT_CANCELLED.
 */
void aub_attempt_cancel(struct aub_attempt *attempt);

/* Aborts the attempt without calling its callback. */
void aub_attempt_abandon(struct aub_attempt *attempt);

/*
 * Result of a probe (GET /load). `busy` is the value of that name in the
 * response.
 * The handle has the same lifetime as that of aub_upstream_send().
 */
typedef void aub_probe_callback(bool answered,
				const struct aub_upstream_signals *signals,
				guint32 busy, void *context);
struct aub_attempt *aub_upstream_probe(struct aub_upstream_client *client,
				       gint64 deadline_us,
				       aub_probe_callback *callback,
				       void *context);

G_END_DECLS

#endif

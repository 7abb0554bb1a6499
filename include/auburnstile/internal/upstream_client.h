/*
 * One upstream's HTTP client: sends single attempts and probes, and says of
 * each what is known to have become of it.
 *
 * Asynchronous, on the thread's default main context. Never sends a request
 * twice on its own; retries belong to the dispatcher.
 */
#ifndef AUBURNSTILE_INTERNAL_UPSTREAM_CLIENT_H
#define AUBURNSTILE_INTERNAL_UPSTREAM_CLIENT_H

#include <auburnstile/dispatch.h>
#include <auburnstile/message.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct aub_upstream_client;
struct aub_attempt; /* one request on its way */

struct aub_upstream_client_options {
	const char *host; /* IP number; copied */
	guint16 port;
	guint connections_max; /* most open at once */
	guint32 body_limit; /* bytes of an answer's body */
	struct aub_timer_service *timers; /* borrowed */
};

struct aub_upstream_client *aub_upstream_client_new(
	const struct aub_upstream_client_options *options);

/*
 * Give the client up. What is in flight finishes, and its callbacks come;
 * aub_attempt_abandon() ends that.
 */
void aub_upstream_client_free(struct aub_upstream_client *client);

/*
 * Called exactly once, never from within aub_upstream_send(). `answer` is
 * set for ANSWERED alone and owned by the callee; `signs` is borrowed;
 * `error` says why a result is not ANSWERED.
 */
typedef void aub_attempt_callback(enum aub_attempt_result result,
				  const struct aub_upstream_signs *signals,
				  struct aub_answer *answer,
				  const GError *error, void *context);

/*
 * Send `call`, giving up at `timeout_us` (monotonic). `fresh` asks for a new
 * connection (retries and hedges, which may be there because a pooled one
 * went silent); requests that may not be repeated always get one. The handle
 * is borrowed and valid until the callback.
 */
struct aub_attempt *aub_upstream_send(struct aub_upstream_client *client,
				      const struct aub_call *call,
				      bool new_connection, gint64 timeout_us,
				      aub_attempt_callback *callback,
				      void *context);

/* Abort: closes its connection; the callback follows with CANCELLED. */
void aub_attempt_cancel(struct aub_attempt *attempt);

/* Abort, and never call back. */
void aub_attempt_abandon(struct aub_attempt *attempt);

/*
 * Result of a probe (GET /load). `busy` is as the upstream reports it. The
 * handle is as that of aub_upstream_send().
 */
typedef void aub_probe_callback(bool answered,
				const struct aub_upstream_signs *signals,
				guint32 busy, void *context);
struct aub_attempt *aub_upstream_probe(struct aub_upstream_client *client,
				       gint64 timeout_us,
				       aub_probe_callback *callback,
				       void *context);

G_END_DECLS

#endif

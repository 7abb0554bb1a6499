/*
 * The admin HTTP listener of each process, on its own address: metrics,
 * health, events and, on the control, the operators' API. It runs on libsoup.
 *
 *   GET /metrics             Prometheus text format
 *   GET /healthz, /readyz    health and readiness
 *   GET /v1/events?after=N   event log as JSON (requires the token)
 *
 * Paths under /v1 require "Authorization: Bearer TOKEN". The operators' token
 * is read from a file, compared in constant time and never logged.
 */
#ifndef AUBURNSTILE_ADMIN_H
#define AUBURNSTILE_ADMIN_H

#include <auburnstile/event.h>
#include <auburnstile/metrics.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_admin;
struct aub_admin_request; /* a request without a response yet */

struct aub_admin_options {
	const char *address; /* "ip:port" */
	const char *token_file; /* NULL: all paths under /v1 are refused */
	const char *process; /* process name in events, e.g. "entry-a1" */
	guint64 incarnation;
	struct aub_metrics *metrics; /* not owned */
	struct aub_event_ring *events; /* not owned */
	bool (*ready)(void *context); /* NULL: always ready */
	void *context;
};

struct aub_admin *aub_admin_new(const struct aub_admin_options *options,
				GError **error);
void aub_admin_free(struct aub_admin *admin);

/*
 * Registers a handler. The handler calls aub_admin_respond() or
 * aub_admin_respond_error() exactly once for each request, either before it
 * returns or later. `method` is matched exactly; `path` is matched exactly, or
 * as a prefix if it ends in "/".
 */
typedef void aub_admin_handler(struct aub_admin_request *request,
			       void *context);
void aub_admin_handle(struct aub_admin *admin, const char *method,
		      const char *path, aub_admin_handler *handler,
		      void *context);

const char *aub_admin_path(const struct aub_admin_request *request);
/* Returns a query parameter; NULL if it is missing. */
const char *aub_admin_query(const struct aub_admin_request *request,
			    const char *name);
const char *aub_admin_body(const struct aub_admin_request *request,
			   gsize *length);

/*
 * Sends a JSON response and frees `request`. Takes ownership of `json`
 * (g_free).
 */
void aub_admin_respond(struct aub_admin_request *request, guint status,
		       char *json);
/*
 * Sends {"error": {"code", "step", "peer", "message"}} with the HTTP status
 * that corresponds to the error code, and frees `request`.
 */
void aub_admin_respond_error(struct aub_admin_request *request,
			     const GError *error);

/* Returns the port of the listener, also if the configured port is 0. */
guint aub_admin_port(const struct aub_admin *admin);

/*
 * Rereads the token file (on SIGHUP). On failure, returns false, sets `error`
 * and keeps the previous token in effect.
 */
bool aub_admin_reload(struct aub_admin *admin, GError **error);

/* Maximum request body in bytes; a larger body gets status 413. */
#define AUB_ADMIN_BODY_MAX_BYTES (2u << 20)

G_END_DECLS

#endif

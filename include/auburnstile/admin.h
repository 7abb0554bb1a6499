/*
 * The admin listener every process has: metrics, health, events, and at the
 * control the operators' API. HTTP by libsoup, on its own address.
 *
 *   GET /metrics   common text format           GET /healthz, /readyz
 *   GET /v1/events?after=N   the time line, JSON (operators' token)
 *
 * Paths under /v1 need "Authorization: Bearer TOKEN"; the token is read from
 * a file, compared in constant time and never logged.
 */
#ifndef AUBURNSTILE_ADMIN_H
#define AUBURNSTILE_ADMIN_H

#include <auburnstile/event.h>
#include <auburnstile/metrics.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_admin;
struct aub_admin_request; /* one request being answered */

struct aub_admin_options {
	const char *address; /* "ip:port" */
	const char *token_file; /* NULL: paths under /v1 are refused */
	const char *process; /* name in events, "entry-a1" */
	guint64 incarnation;
	struct aub_metrics *metrics; /* borrowed */
	struct aub_event_ring *events; /* borrowed */
	bool (*ready)(void *context); /* NULL: always */
	void *context;
};

struct aub_admin *aub_admin_new(const struct aub_admin_options *options,
				GError **error);
void aub_admin_free(struct aub_admin *admin);

/*
 * A handler answers now or later, exactly once, by aub_admin_respond() or
 * aub_admin_respond_error(). `method` is exact; `path` is exact, or ends in "/"
 * to match what is below it.
 */
typedef void aub_admin_handler(struct aub_admin_request *request,
			       void *context);
void aub_admin_handle(struct aub_admin *admin, const char *method,
		      const char *path, aub_admin_handler *handler,
		      void *context);

const char *aub_admin_path(const struct aub_admin_request *request);
const char *aub_admin_query(const struct aub_admin_request *request,
			    const char *name); /* NULL if absent */
const char *aub_admin_body(const struct aub_admin_request *request,
			   gsize *length);

/* `json` is taken over (g_free). */
void aub_admin_respond(struct aub_admin_request *request, guint status,
		       char *json);
/* {"error": {"code", "step", "peer", "message"}} with a fitting status. */
void aub_admin_respond_error(struct aub_admin_request *request,
			     const GError *error);

/* The port listened on: of use where the address named port 0. */
guint aub_admin_port(const struct aub_admin *admin);

/*
 * Read the token file again (on SIGHUP). False leaves the old token in
 * force.
 */
bool aub_admin_reload(struct aub_admin *admin, GError **error);

/* Largest body of a request in bytes; a larger one gets 413. */
#define AUB_ADMIN_BODY_MAX_BYTES (2u << 20)

G_END_DECLS

#endif

/*
 * HTTP listener for small requests without a body: readiness, addresses,
 * metrics.
 */
#ifndef AUBURNSTILE_INTERNAL_HTTP_LISTENER_H
#define AUBURNSTILE_INTERNAL_HTTP_LISTENER_H

#include <auburnstile/internal/http_stream.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct aub_http_listener;

struct aub_http_response {
	guint status;
	const char *content_type; /* of the body */
	GBytes *body; /* NULL for none; freed by the listener */
};

/*
 * Must fill in the response to one request before it returns. `response` is
 * initialised with status 404 and no body.
 */
typedef void aub_http_listener_handler(const struct aub_http_head *head,
				       struct aub_http_response *response,
				       void *context);

struct aub_http_listener *aub_http_listener_new(
	struct aub_poller *poller, struct aub_timer_service *timers,
	const char *address, aub_http_listener_handler *handler, void *context,
	GError **error);
void aub_http_listener_free(struct aub_http_listener *listener);

/*
 * Returns the decoded value of a query parameter (g_free), or NULL if it is
 * missing.
 */
char *aub_http_query_parameter(const char *target, const char *name);
/* Returns true if `path` is the path component of `target`. */
bool aub_http_target_has_path(const char *target, const char *path);

G_END_DECLS

#endif

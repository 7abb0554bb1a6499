/*
 * A listener for small calls without a body: readiness, addresses, metrics.
 */
#ifndef AUBURNSTILE_INTERNAL_HTTP_SERVICE_H
#define AUBURNSTILE_INTERNAL_HTTP_SERVICE_H

#include <auburnstile/internal/http_stream.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct aub_http_service;

struct aub_http_reply {
	guint status;
	const char *type; /* of the body */
	GBytes *body; /* NULL for none; the service frees it */
};

/* Answer one call at once. `reply` is zeroed with status 404. */
typedef void aub_http_service_handler(const struct aub_http_head *head,
				      struct aub_http_reply *reply,
				      void *context);

struct aub_http_service *aub_http_service_new(struct aub_poller *poller,
					      struct aub_timer_service *timers,
					      const char *address,
					      aub_http_service_handler *handler,
					      void *context, GError **error);
void aub_http_service_free(struct aub_http_service *service);

/* Value of a query's parameter, decoded; g_free; NULL if it is not there. */
char *aub_http_query(const char *target, const char *name);
/* Is this the path of the target? */
bool aub_http_path_is(const char *target, const char *path);

G_END_DECLS

#endif

/*
 * Executes the decisions of the dispatchers. Owns one dispatcher per service
 * and the clients of the upstreams; each service has one timer.
 */
#ifndef AUBURNSTILE_INTERNAL_DISPATCH_TASK_H
#define AUBURNSTILE_INTERNAL_DISPATCH_TASK_H

#include <auburnstile/dispatch.h>
#include <auburnstile/event.h>
#include <auburnstile/message.h>
#include <auburnstile/metrics.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct aub_dispatch_task;

struct aub_dispatch_task_options {
	enum aub_policy policy;
	guint32 seed;
	struct aub_timer_service *timers; /* all pointers are borrowed */
	struct aub_event_ring *events;
	struct aub_metrics *metrics;
};

struct aub_dispatch_task *aub_dispatch_task_new(
	const struct aub_dispatch_task_options *options);

/* Cancels all requests without calling their callbacks. */
void aub_dispatch_task_free(struct aub_dispatch_task *task);

/*
 * Sets a new inventory. Services that it no longer contains finish their open
 * requests.
 */
void aub_dispatch_task_configure(struct aub_dispatch_task *task,
				 struct aub_inventory *inventory);

/*
 * Sets the role for a service; unknown services are ignored. See
 * aub_dispatcher_set_role().
 */
void aub_dispatch_task_set_role(struct aub_dispatch_task *task,
				const char *service,
				enum aub_dispatch_role role, gint64 warm_up_us);

/* Returns the dispatcher of a service, borrowed; NULL if there is none. */
struct aub_dispatcher *aub_dispatch_task_dispatcher(
	const struct aub_dispatch_task *task, const char *service);

/*
 * Receives the final answer and owns it. The answer's id is that of the
 * request. May be called from within aub_dispatch_task_submit().
 */
typedef void aub_dispatch_callback(struct aub_answer *answer, void *context);

/*
 * Dispatches `call`, which is borrowed until the callback or
 * aub_dispatch_task_abandon(). Its id must be unique and its deadline_ms set;
 * `zone` is that of the entry that received it.
 */
void aub_dispatch_task_submit(struct aub_dispatch_task *task,
			      const struct aub_call *call, const char *zone,
			      aub_dispatch_callback *callback, void *context);

/*
 * Cancels a request whose caller has disconnected. Returns true if it was open.
 */
bool aub_dispatch_task_abandon(struct aub_dispatch_task *task,
			       const char *service, guint64 id);

/* Refuses new requests; open ones finish. */
void aub_dispatch_task_stop(struct aub_dispatch_task *task);
guint aub_dispatch_task_pending(const struct aub_dispatch_task *task);

/*
 * Returns {"services":[{"service","role","queued","upstreams":[...]}]}; free
 * with g_free().
 */
char *aub_dispatch_task_status(const struct aub_dispatch_task *task);

G_END_DECLS

#endif

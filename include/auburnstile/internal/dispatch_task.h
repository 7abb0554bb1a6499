/*
 * Carries out what the dispatchers decide: one dispatcher a service, clients
 * of its upstreams, one timer.
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
	struct aub_timer_service *timers; /* all borrowed */
	struct aub_event_ring *events;
	struct aub_metrics *metrics;
};

struct aub_dispatch_task *aub_dispatch_task_new(
	const struct aub_dispatch_task_options *options);

/* Ends everything; callbacks of requests inside are not called. */
void aub_dispatch_task_free(struct aub_dispatch_task *task);

/* A new inventory; services it no longer has finish what they hold. */
void aub_dispatch_task_configure(struct aub_dispatch_task *task,
				 struct aub_inventory *inventory);

/* Unknown services are ignored. See aub_dispatcher_set_role(). */
void aub_dispatch_task_set_role(struct aub_dispatch_task *task,
				const char *service,
				enum aub_dispatch_role role, gint64 warm_up_us);

/* A service's dispatcher, borrowed; NULL where there is none. */
struct aub_dispatcher *aub_dispatch_task_dispatcher(
	const struct aub_dispatch_task *task, const char *service);

/*
 * The final answer; owned by the callee. Its id is the request's. May be
 * called from within aub_dispatch_task_submit().
 */
typedef void aub_dispatch_callback(struct aub_answer *answer, void *context);

/*
 * Dispatch `call`, borrowed until the callback or aub_dispatch_task_abandon().
 * Its id must be unique, its deadline_ms set; `zone` is that of the entry it
 * came from.
 */
void aub_dispatch_task_submit(struct aub_dispatch_task *task,
			      const struct aub_call *call, const char *zone,
			      aub_dispatch_callback *callback, void *context);

/* Nobody waits any more: cancel. Returns true if it was inside. */
bool aub_dispatch_task_abandon(struct aub_dispatch_task *task,
			       const char *service, guint64 id);

/* Refuse new requests; those inside finish. */
void aub_dispatch_task_stop(struct aub_dispatch_task *task);
guint aub_dispatch_task_pending(const struct aub_dispatch_task *task);

/* {"services":[{"service","role","queued","upstreams":[...]}]}; g_free. */
char *aub_dispatch_task_status(const struct aub_dispatch_task *task);

G_END_DECLS

#endif

/*
 * The timer service: parts of a task subscribe to moments, and the task has
 * one source of time.
 *
 * A service belongs to one thread, the one whose GMainContext it was made
 * for. Decisions (src/state, src/coordination) never ask for the time: it is
 * handed to them.
 */
#ifndef AUBURNSTILE_TIMER_H
#define AUBURNSTILE_TIMER_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_MS ((gint64)1000) /* microseconds in a millisecond */
#define AUB_SECOND ((gint64)1000000) /* microseconds in a second */

struct aub_timer_service;

/* Called at or after the moment asked for; `now_us` is aub_timer_now(). */
typedef void aub_timer_callback(void *context, gint64 now_us);

/* `context` NULL means the thread's default main context. Owned by caller. */
struct aub_timer_service *aub_timer_service_new(GMainContext *context);
void aub_timer_service_free(struct aub_timer_service *service);

/* Monotonic time in microseconds. */
gint64 aub_timer_now(const struct aub_timer_service *service);

/*
 * Subscribe to one moment, or to every `period_us`. Returns a handle, never
 * 0. `name` is borrowed and must outlive the subscription.
 */
guint aub_timer_at(struct aub_timer_service *service, const char *name,
		   gint64 at_us, aub_timer_callback *callback, void *context);
guint aub_timer_every(struct aub_timer_service *service, const char *name,
		      gint64 period_us, aub_timer_callback *callback,
		      void *context);

/* End a subscription. 0 and handles already spent are ignored. */
void aub_timer_cancel(struct aub_timer_service *service, guint handle);

G_END_DECLS

#endif

/*
 * Timer service: one-shot and periodic timers on a GMainContext.
 *
 * A service belongs to the thread that runs its GMainContext. Decision code
 * (src/state, src/coordination) doesn't read the clock; the time is passed in
 * as a parameter.
 */
#ifndef AUBURNSTILE_TIMER_H
#define AUBURNSTILE_TIMER_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_MS ((gint64)1000) /* microseconds in a millisecond */
#define AUB_SECOND ((gint64)1000000) /* microseconds in a second */

struct aub_timer_service;

/* Called when the timer expires; `now_us` is aub_timer_now(). */
typedef void aub_timer_callback(void *context, gint64 now_us);

/*
 * Returns a timer service, owned by the caller. If `context` is NULL, the
 * global default main context is used.
 */
struct aub_timer_service *aub_timer_service_new(GMainContext *context);
void aub_timer_service_free(struct aub_timer_service *service);

/* Returns the monotonic time in microseconds. */
gint64 aub_timer_now(const struct aub_timer_service *service);

/*
 * Start a timer that expires once at `at_us` (monotonic time), or every
 * `period_us`. Return its handle, which is never 0. `name` is borrowed and
 * must outlive the timer.
 */
guint aub_timer_at(struct aub_timer_service *service, const char *name,
		   gint64 at_us, aub_timer_callback *callback, void *context);
guint aub_timer_every(struct aub_timer_service *service, const char *name,
		      gint64 period_us, aub_timer_callback *callback,
		      void *context);

/* Cancels a timer. Ignores 0 and the handles of expired timers. */
void aub_timer_cancel(struct aub_timer_service *service, guint handle);

G_END_DECLS

#endif

/*
 * Timer service on top of GMainContext sources.
 *
 * A hash table maps handles to timers. An expired one-shot timer removes
 * itself, so that cancelling it later has no effect.
 */
#include <auburnstile/timer.h>

struct aub_timer_service {
	GMainContext *context; /* owned reference; NULL: the default context */
	GHashTable *timers; /* handle -> struct timer */
	guint last_handle;
};

struct timer {
	struct aub_timer_service *service; /* borrowed */
	aub_timer_callback *callback;
	void *context;
	guint handle;
	gint64 period_us; /* 0: one-shot */
	GSource *source; /* owned reference */
};

static void timer_free(void *data)
{
	struct timer *timer = data;

	g_source_destroy(timer->source);
	g_source_unref(timer->source);
	g_free(timer);
}

struct aub_timer_service *aub_timer_service_new(GMainContext *context)
{
	struct aub_timer_service *service;

	service = g_new0(struct aub_timer_service, 1);
	if (context)
		service->context = g_main_context_ref(context);
	service->timers = g_hash_table_new_full(NULL, NULL, NULL, timer_free);
	return service;
}

void aub_timer_service_free(struct aub_timer_service *service)
{
	if (!service)
		return;
	g_hash_table_destroy(service->timers);
	if (service->context)
		g_main_context_unref(service->context);
	g_free(service);
}

gint64 aub_timer_now(const struct aub_timer_service *service)
{
	return g_get_monotonic_time();
}

static gboolean on_expired(void *data)
{
	struct timer *timer = data;
	aub_timer_callback *callback = timer->callback;
	void *context = timer->context;
	gint64 now = aub_timer_now(timer->service);

	if (timer->period_us)
		g_source_set_ready_time(timer->source, now + timer->period_us);
	else
		g_hash_table_remove(timer->service->timers,
				    GUINT_TO_POINTER(timer->handle));
	callback(context, now);
	return G_SOURCE_CONTINUE;
}

static gboolean dispatch_source(GSource *source, GSourceFunc function,
				void *data)
{
	g_source_set_ready_time(source, -1);
	return function(data);
}

static GSourceFuncs source_functions = {
	.dispatch = dispatch_source,
};

static guint timer_new(struct aub_timer_service *service, const char *name,
		       gint64 at_us, gint64 period_us,
		       aub_timer_callback *callback, void *context)
{
	struct timer *timer;

	timer = g_new0(struct timer, 1);
	timer->service = service;
	timer->callback = callback;
	timer->context = context;
	timer->period_us = period_us;
	timer->handle = ++service->last_handle;
	if (!timer->handle)
		timer->handle = ++service->last_handle;
	timer->source = g_source_new(&source_functions, sizeof(GSource));
	g_source_set_static_name(timer->source, name);
	g_source_set_callback(timer->source, on_expired, timer, NULL);
	g_source_set_ready_time(timer->source, at_us);
	g_hash_table_insert(service->timers, GUINT_TO_POINTER(timer->handle),
			    timer);
	g_source_attach(timer->source, service->context);
	return timer->handle;
}

guint aub_timer_at(struct aub_timer_service *service, const char *name,
		   gint64 at_us, aub_timer_callback *callback, void *context)
{
	return timer_new(service, name, at_us, 0, callback, context);
}

guint aub_timer_every(struct aub_timer_service *service, const char *name,
		      gint64 period_us, aub_timer_callback *callback,
		      void *context)
{
	g_assert(period_us > 0);
	return timer_new(service, name, aub_timer_now(service) + period_us,
			 period_us, callback, context);
}

void aub_timer_cancel(struct aub_timer_service *service, guint handle)
{
	g_hash_table_remove(service->timers, GUINT_TO_POINTER(handle));
}

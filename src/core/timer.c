/*
 * The timer service over GMainContext sources.
 *
 * Subscriptions are rows of a hash table from handle to source; a spent
 * one-shot removes its own row, so cancelling it later does nothing.
 */
#include <auburnstile/timer.h>

struct aub_timer_service {
	GMainContext *context; /* owned reference, or NULL */
	GHashTable *subscriptions; /* handle -> struct subscription */
	guint next;
};

struct subscription {
	struct aub_timer_service *service; /* borrowed */
	aub_timer_callback *callback;
	void *context;
	guint handle;
	gint64 period_us; /* 0: once */
	GSource *source; /* owned reference */
};

static void subscription_free(void *data)
{
	struct subscription *subscription = data;

	g_source_destroy(subscription->source);
	g_source_unref(subscription->source);
	g_free(subscription);
}

struct aub_timer_service *aub_timer_service_new(GMainContext *context)
{
	struct aub_timer_service *service;

	service = g_new0(struct aub_timer_service, 1);
	if (context)
		service->context = g_main_context_ref(context);
	service->subscriptions =
		g_hash_table_new_full(NULL, NULL, NULL, subscription_free);
	return service;
}

void aub_timer_service_free(struct aub_timer_service *service)
{
	if (!service)
		return;
	g_hash_table_destroy(service->subscriptions);
	if (service->context)
		g_main_context_unref(service->context);
	g_free(service);
}

gint64 aub_timer_now(const struct aub_timer_service *service)
{
	return g_get_monotonic_time();
}

static gboolean on_due(void *data)
{
	struct subscription *subscription = data;
	aub_timer_callback *callback = subscription->callback;
	void *context = subscription->context;
	gint64 now = aub_timer_now(subscription->service);

	if (subscription->period_us)
		g_source_set_ready_time(subscription->source,
					now + subscription->period_us);
	else
		g_hash_table_remove(subscription->service->subscriptions,
				    GUINT_TO_POINTER(subscription->handle));
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

static guint subscribe(struct aub_timer_service *service, const char *name,
		       gint64 at_us, gint64 period_us,
		       aub_timer_callback *callback, void *context)
{
	struct subscription *subscription;

	subscription = g_new0(struct subscription, 1);
	subscription->service = service;
	subscription->callback = callback;
	subscription->context = context;
	subscription->period_us = period_us;
	subscription->handle = ++service->next;
	if (!subscription->handle)
		subscription->handle = ++service->next;
	subscription->source = g_source_new(&source_functions, sizeof(GSource));
	g_source_set_static_name(subscription->source, name);
	g_source_set_callback(subscription->source, on_due, subscription, NULL);
	g_source_set_ready_time(subscription->source, at_us);
	g_hash_table_insert(service->subscriptions,
			    GUINT_TO_POINTER(subscription->handle),
			    subscription);
	g_source_attach(subscription->source, service->context);
	return subscription->handle;
}

guint aub_timer_at(struct aub_timer_service *service, const char *name,
		   gint64 at_us, aub_timer_callback *callback, void *context)
{
	return subscribe(service, name, at_us, 0, callback, context);
}

guint aub_timer_every(struct aub_timer_service *service, const char *name,
		      gint64 period_us, aub_timer_callback *callback,
		      void *context)
{
	g_assert(period_us > 0);
	return subscribe(service, name, aub_timer_now(service) + period_us,
			 period_us, callback, context);
}

void aub_timer_cancel(struct aub_timer_service *service, guint handle)
{
	g_hash_table_remove(service->subscriptions, GUINT_TO_POINTER(handle));
}

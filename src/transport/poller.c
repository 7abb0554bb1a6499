/*
 * One epoll descriptor as one GSource.
 *
 * A watch removed by a callback may still be in the list of events of the
 * current iteration, so removed watches are freed only at its end.
 */
#include <auburnstile/internal/poller.h>

#include <errno.h>
#include <stdbool.h>
#include <unistd.h>

/* Limited, so that timers and other sources are not starved. */
#define EVENTS_PER_ITERATION 64

struct aub_poller {
	int epoll;
	GSource *source;
	GPtrArray *removed_watches; /* watches to free after the iteration */
	bool dispatching;
};

struct aub_poll_watch {
	struct aub_poller *poller;
	int fd;
	guint events;
	aub_poll_callback *callback; /* NULL if removed */
	void *context;
};

struct poll_source {
	GSource source;
	struct aub_poller *poller;
	void *tag;
};

static gboolean poll_check(GSource *source)
{
	struct poll_source *self = (struct poll_source *)source;

	return g_source_query_unix_fd(source, self->tag) != 0;
}

static gboolean poll_dispatch(GSource *source, GSourceFunc function, void *data)
{
	struct aub_poller *poller = ((struct poll_source *)source)->poller;
	struct epoll_event events[EVENTS_PER_ITERATION];
	int count = epoll_wait(poller->epoll, events, EVENTS_PER_ITERATION, 0);

	poller->dispatching = true;
	for (int i = 0; i < count; i++) {
		struct aub_poll_watch *watch = events[i].data.ptr;

		if (watch->callback)
			watch->callback(watch->context, events[i].events);
	}
	poller->dispatching = false;
	g_ptr_array_set_size(poller->removed_watches, 0);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs poll_functions = {
	.check = poll_check,
	.dispatch = poll_dispatch,
};

struct aub_poller *aub_poller_new(void)
{
	struct aub_poller *poller = g_new0(struct aub_poller, 1);
	struct poll_source *source;

	poller->epoll = epoll_create1(EPOLL_CLOEXEC);
	g_assert(poller->epoll >= 0);
	poller->removed_watches = g_ptr_array_new_with_free_func(g_free);
	poller->source =
		g_source_new(&poll_functions, sizeof(struct poll_source));
	source = (struct poll_source *)poller->source;
	source->poller = poller;
	source->tag =
		g_source_add_unix_fd(poller->source, poller->epoll, G_IO_IN);
	g_source_attach(poller->source, NULL);
	return poller;
}

void aub_poller_free(struct aub_poller *poller)
{
	if (!poller)
		return;
	g_source_destroy(poller->source);
	g_source_unref(poller->source);
	close(poller->epoll);
	g_ptr_array_unref(poller->removed_watches);
	g_free(poller);
}

struct aub_poll_watch *aub_poller_add(struct aub_poller *poller, int fd,
				      guint events, aub_poll_callback *callback,
				      void *context)
{
	struct aub_poll_watch *watch = g_new0(struct aub_poll_watch, 1);
	struct epoll_event event = { .events = events, .data.ptr = watch };

	watch->poller = poller;
	watch->fd = fd;
	watch->events = events;
	watch->callback = callback;
	watch->context = context;
	if (epoll_ctl(poller->epoll, EPOLL_CTL_ADD, fd, &event) < 0)
		g_error("epoll_ctl: %s", g_strerror(errno));
	return watch;
}

void aub_poll_watch_set_events(struct aub_poll_watch *watch, guint events)
{
	struct epoll_event event = { .events = events, .data.ptr = watch };

	if (watch->events == events)
		return;
	watch->events = events;
	epoll_ctl(watch->poller->epoll, EPOLL_CTL_MOD, watch->fd, &event);
}

void aub_poll_watch_remove(struct aub_poll_watch *watch)
{
	struct epoll_event event = { 0 };

	if (!watch)
		return;
	epoll_ctl(watch->poller->epoll, EPOLL_CTL_DEL, watch->fd, &event);
	watch->callback = NULL;
	if (watch->poller->dispatching)
		g_ptr_array_add(watch->poller->removed_watches, watch);
	else
		g_free(watch);
}

/*
 * Readiness notifications for many sockets on one main loop, with a single
 * epoll source.
 *
 * With one GSource per socket, GLib's main loop checks every source in each
 * iteration; with hundreds of keep-alive connections, these checks took most
 * of the processor time.
 */
#ifndef AUBURNSTILE_INTERNAL_POLLER_H
#define AUBURNSTILE_INTERNAL_POLLER_H

#include <glib.h>
#include <sys/epoll.h>

G_BEGIN_DECLS

struct aub_poller;
struct aub_poll_watch;

/* `events` is a mask of EPOLLIN, EPOLLOUT, EPOLLERR and EPOLLHUP. */
typedef void aub_poll_callback(void *context, guint events);

/* Creates a poller on the default main context. Owned by the caller. */
struct aub_poller *aub_poller_new(void);
void aub_poller_free(struct aub_poller *poller);

/*
 * Starts to watch `fd`; the caller still owns it. The handle is valid until
 * aub_poll_watch_remove().
 */
struct aub_poll_watch *aub_poller_add(struct aub_poller *poller, int fd,
				      guint events, aub_poll_callback *callback,
				      void *context);
void aub_poll_watch_set_events(struct aub_poll_watch *watch, guint events);

/*
 * Stops the watch and frees it; may be called in a callback. Must be called
 * before `fd` is closed.
 */
void aub_poll_watch_remove(struct aub_poll_watch *watch);

G_END_DECLS

#endif

/*
 * Readiness of many sockets for one main loop, by one epoll source.
 *
 * A GSource a socket makes each turn of GLib's loop walk all of them; with
 * hundreds of kept connections that walk was most of the processor time.
 */
#ifndef AUBURNSTILE_INTERNAL_POLLER_H
#define AUBURNSTILE_INTERNAL_POLLER_H

#include <glib.h>
#include <sys/epoll.h>

G_BEGIN_DECLS

struct aub_poller;
struct aub_poll_watch;

/* `events` are EPOLLIN, EPOLLOUT, EPOLLERR and EPOLLHUP. */
typedef void aub_poll_callback(void *context, guint events);

/* For the thread's default main context. Owned by the caller. */
struct aub_poller *aub_poller_new(void);
void aub_poller_free(struct aub_poller *poller);

/* Watch `fd`, which stays the caller's. The handle ends with _remove(). */
struct aub_poll_watch *aub_poller_add(struct aub_poller *poller, int fd,
				      guint events, aub_poll_callback *callback,
				      void *context);
void aub_poll_watch_set_events(struct aub_poll_watch *watch, guint events);

/* Ends the watch, also from within a callback. Call before close(). */
void aub_poll_watch_remove(struct aub_poll_watch *watch);

G_END_DECLS

#endif

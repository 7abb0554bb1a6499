/*
 * What links and their server share: addresses, sources, and the stage of an
 * accepted link before its peer has said who it is.
 */
#ifndef AUBURNSTILE_INTERNAL_LINK_SOCKET_H
#define AUBURNSTILE_INTERNAL_LINK_SOCKET_H

#include <auburnstile/link.h>
#include <gio/gio.h>

G_BEGIN_DECLS

#define AUBI_HANDSHAKE_TIMEOUT_MS \
	1000 /* an accepted peer's time to say hello */

/* "ip:port" as a socket address, owned by the caller; NULL and error. */
GSocketAddress *aubi_socket_address_parse(const char *text, GError **error);

/* "ip:port" of an address; owned by the caller. */
char *aubi_socket_address_text(GSocketAddress *address);

/* Attached source on the thread's default context; owned by the caller. */
GSource *aubi_socket_watch(GSocket *socket, GIOCondition condition,
			   GSocketSourceFunc function, void *data);

/* Exactly one of the two is called for an accepted link. */
struct aubi_link_accept_callbacks {
	/* The hello came; NULL refuses the link, which is then freed. */
	const struct aub_link_callbacks *(*hello_received)(
		struct aub_link *link, const struct aub_hello *hello,
		void *context, void **link_context);
	/* The link ended before that; the callee frees it. */
	void (*handshake_failed)(struct aub_link *link, const GError *error,
				 void *context);
	void *context;
};

/* A link over an accepted socket (referenced). Owned by the caller. */
struct aub_link *aubi_link_new_accepted(
	GSocket *socket, const char *peer, const struct aub_hello *hello,
	const struct aubi_link_accept_callbacks *acceptor);

G_END_DECLS

#endif

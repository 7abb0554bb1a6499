/*
 * Functions shared by links and the link server: addresses, socket sources,
 * and accepted links before the peer's hello.
 */
#ifndef AUBURNSTILE_INTERNAL_LINK_SOCKET_H
#define AUBURNSTILE_INTERNAL_LINK_SOCKET_H

#include <auburnstile/link.h>
#include <gio/gio.h>

G_BEGIN_DECLS

/* Maximum time until an accepted peer's hello. */
#define AUBI_HANDSHAKE_TIMEOUT_MS 1000

/*
 * Parses "ip:port". Returns a socket address owned by the caller; returns NULL
 * and sets `error` if the text is invalid.
 */
GSocketAddress *aubi_socket_address_parse(const char *text, GError **error);

/* Formats an address as "ip:port"; owned by the caller. */
char *aubi_socket_address_text(GSocketAddress *address);

/*
 * Attaches a source for the socket to the thread's default context. Returns
 * it, owned by the caller.
 */
GSource *aubi_socket_watch(GSocket *socket, GIOCondition condition,
			   GSocketSourceFunc function, void *data);

/* Exactly one of the two callbacks is called for an accepted link. */
struct aubi_link_accept_callbacks {
	/*
	 * Called when the peer's hello has been received. Returns the
	 * callbacks for the link, or NULL to reject it; a rejected link is
	 * freed.
	 */
	const struct aub_link_callbacks *(*hello_received)(
		struct aub_link *link, const struct aub_hello *hello,
		void *context, void **link_context);
	/* Called if the link ends before the hello. The callee frees it. */
	void (*handshake_failed)(struct aub_link *link, const GError *error,
				 void *context);
	void *context;
};

/*
 * Creates a link over an accepted socket, of which it takes a reference. Owned
 * by the caller.
 */
struct aub_link *aubi_link_new_accepted(
	GSocket *socket, const char *peer, const struct aub_hello *hello,
	const struct aubi_link_accept_callbacks *acceptor);

G_END_DECLS

#endif

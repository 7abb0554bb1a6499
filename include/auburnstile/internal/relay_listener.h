/* The receiving side of the relay. */
#ifndef AUBURNSTILE_INTERNAL_RELAY_LISTENER_H
#define AUBURNSTILE_INTERNAL_RELAY_LISTENER_H

#include <auburnstile/internal/relay.h>

G_BEGIN_DECLS

struct aub_relay_listener;

/*
 * Listens on the address in the hello; `options` is borrowed for the listener's
 * lifetime. Returns NULL and sets `error` on failure.
 */
struct aub_relay_listener *aub_relay_listener_new(
	const struct aub_relay_options *options, GError **error);
void aub_relay_listener_free(struct aub_relay_listener *listener);

G_END_DECLS

#endif

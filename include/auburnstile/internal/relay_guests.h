/*
 * The receiving side of the relay.
 */
#ifndef AUBURNSTILE_INTERNAL_RELAY_GUESTS_H
#define AUBURNSTILE_INTERNAL_RELAY_GUESTS_H

#include <auburnstile/internal/relay.h>

G_BEGIN_DECLS

struct aub_relay_guests;

/* Listens on the hello's address; `options` is borrowed for its life. */
struct aub_relay_guests *aub_relay_guests_new(
	const struct aub_relay_options *options, GError **error);
void aub_relay_guests_free(struct aub_relay_guests *guests);

G_END_DECLS

#endif

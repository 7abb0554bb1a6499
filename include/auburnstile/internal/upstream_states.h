/*
 * Message in which the owner of a service sends its upstream states to the
 * stand-by.
 */
#ifndef AUBURNSTILE_INTERNAL_UPSTREAM_STATES_H
#define AUBURNSTILE_INTERNAL_UPSTREAM_STATES_H

#include <auburnstile/dispatch.h>
#include <auburnstile/message.h>

G_BEGIN_DECLS

/* Returns the upstream states known to the dispatcher; owned by the caller. */
struct aub_upstream_states *aub_states_from_dispatcher(
	const struct aub_dispatcher *dispatcher, const char *service,
	gint64 now_us);

/*
 * Applies received states to a dispatcher that has no role; others ignore them.
 */
void aub_states_apply(struct aub_dispatcher *dispatcher,
		      const struct aub_upstream_states *states, gint64 now_us);

G_END_DECLS

#endif

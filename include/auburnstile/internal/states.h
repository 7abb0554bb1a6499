/*
 * What an owner tells its stand-by of its upstreams, as a message.
 */
#ifndef AUBURNSTILE_INTERNAL_STATES_H
#define AUBURNSTILE_INTERNAL_STATES_H

#include <auburnstile/dispatch.h>
#include <auburnstile/message.h>

G_BEGIN_DECLS

/* What the dispatcher knows; owned by the caller. */
struct aub_upstream_states *aub_states_make(const struct aub_dispatcher *dispatcher,
				   const char *service, gint64 now_us);

/* Let a dispatcher without a role know it; others ignore it. */
void aub_states_learn(struct aub_dispatcher *dispatcher,
		      const struct aub_upstream_states *states, gint64 now_us);

G_END_DECLS

#endif

/*
 * A page of events for GET /v1/events; its form is in docs/ADMIN.md.
 */
#ifndef AUBURNSTILE_INTERNAL_EVENTS_JSON_H
#define AUBURNSTILE_INTERNAL_EVENTS_JSON_H

#include <auburnstile/event.h>

G_BEGIN_DECLS

/*
 * Events with a sequence above `after`, a page at most. `ring` may be NULL.
 * Owned by the caller.
 */
char *aub_events_json(const struct aub_event_ring *ring, const char *process,
		      guint64 incarnation, guint64 after);

G_END_DECLS

#endif

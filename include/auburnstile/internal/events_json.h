/*
 * Formats one page of events for GET /v1/events; the format is described in
 * docs/ADMIN.md.
 */
#ifndef AUBURNSTILE_INTERNAL_EVENTS_JSON_H
#define AUBURNSTILE_INTERNAL_EVENTS_JSON_H

#include <auburnstile/event.h>

G_BEGIN_DECLS

/*
 * Returns up to one page of the events with a sequence number above `after` as
 * JSON, owned by the caller. `ring` may be NULL.
 */
char *aub_events_json(const struct aub_event_ring *ring, const char *process,
		      guint64 incarnation, guint64 after);

G_END_DECLS

#endif

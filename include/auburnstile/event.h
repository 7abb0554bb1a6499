/*
 * Events of one process: typed records in a bounded ring buffer.
 *
 * Recording is cheap (no allocation, no system call except reading the
 * clocks) and never fails: once the ring is full, the oldest events are
 * overwritten and counted. A ring is written by one thread only.
 */
#ifndef AUBURNSTILE_EVENT_H
#define AUBURNSTILE_EVENT_H

#include <glib.h>

G_BEGIN_DECLS

#define AUB_EVENT_TEXT_BYTES 96 /* of an event's text, with the NUL */
#define AUB_EVENT_NAME_BYTES 24 /* of a name, with the NUL */

enum aub_event_type {
	AUB_EVENT_STARTED,
	AUB_EVENT_STOPPING,
	AUB_EVENT_STOPPED,
	AUB_EVENT_VIEW, /* a view became active; number = version */
	AUB_EVENT_CONFIG, /* control received a configuration */
	AUB_EVENT_ASSIGNMENT, /* ownership changed; number = epoch */
	AUB_EVENT_MEMBER, /* a member's state changed */
	AUB_EVENT_STORE, /* the store became (un)reachable */
	AUB_EVENT_ARRIVED, /* a request was received */
	AUB_EVENT_RELAYED, /* forwarded to another entry */
	AUB_EVENT_DISPATCHED, /* sent to an upstream; number = attempt */
	AUB_EVENT_ANSWERED, /* an upstream responded; number = status */
	AUB_EVENT_RETRIED,
	AUB_EVENT_HEDGED,
	AUB_EVENT_CANCELLED,
	AUB_EVENT_REFUSED,
	AUB_EVENT_FINISHED, /* final response sent; number = status */
	AUB_EVENT_PROBED,
	AUB_EVENT_UPSTREAM, /* an upstream's state changed */
	AUB_EVENT_KEYS, /* idempotency keys were handed over */
	AUB_EVENT_FAILED, /* an error that operators should see */
	AUB_EVENT_TYPE_COUNT
};

struct aub_event {
	guint64 sequence; /* per process, increasing, starts at 1 */
	gint64 monotonic_us;
	gint64 wall_us; /* since the Unix epoch */
	enum aub_event_type type;
	guint64 request; /* request id; 0 for none */
	gint64 number; /* meaning depends on type */
	char upstream[AUB_EVENT_NAME_BYTES]; /* "" for none */
	char zone[AUB_EVENT_NAME_BYTES]; /* "" for none */
	char peer[AUB_EVENT_NAME_BYTES]; /* remote process, "" for none */
	char text[AUB_EVENT_TEXT_BYTES];
};

struct aub_event_ring;

/* Returns a ring of `capacity` (> 0) events, owned by the caller. */
struct aub_event_ring *aub_event_ring_new(guint capacity);
void aub_event_ring_free(struct aub_event_ring *ring);

/*
 * Records a copy of `event`, with `sequence`, `monotonic_us` and `wall_us` set
 * here. Does nothing if `ring` is NULL.
 */
void aub_event_record(struct aub_event_ring *ring,
		      const struct aub_event *event);

/*
 * Records an event that has only these fields. `upstream` and `text` may be
 * NULL; they are truncated to the size of their field.
 */
void aub_event_record_simple(struct aub_event_ring *ring,
			     enum aub_event_type type, guint64 request,
			     gint64 number, const char *upstream,
			     const char *text);

/*
 * Return the number of events recorded since the ring was created, and how
 * many of them have been overwritten.
 */
guint64 aub_event_ring_total(const struct aub_event_ring *ring);
guint64 aub_event_ring_overwritten(const struct aub_event_ring *ring);

/*
 * Calls `visit` for each event in the ring whose sequence is greater than
 * `after`, oldest first. The event is valid during the call only.
 */
typedef void aub_event_visitor(const struct aub_event *event, void *context);
void aub_event_ring_visit(const struct aub_event_ring *ring, guint64 after,
			  aub_event_visitor *visit, void *context);

/*
 * Convert an event type to its constant English name ("dispatched") and back.
 * Parsing returns -1 for an unknown name.
 */
const char *aub_event_type_name(enum aub_event_type type);
int aub_event_type_parse(const char *name);

G_END_DECLS

#endif

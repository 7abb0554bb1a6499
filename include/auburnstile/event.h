/*
 * The time line of one process: typed events in a bounded ring.
 *
 * Recording is cheap (no allocation, no system call beyond the clock) and
 * never fails; the oldest events give way and are counted. `aub_event_ring`
 * is filled by one thread. `cause` ties an event to one of another process,
 * so that the gathered time line keeps cause before effect although wall
 * clocks differ.
 */
#ifndef AUBURNSTILE_EVENT_H
#define AUBURNSTILE_EVENT_H

#include <glib.h>

G_BEGIN_DECLS

#define AUB_EVENT_TEXT_BYTES 96 /* bytes of a detail kept, with its NUL */
#define AUB_EVENT_NAME_BYTES 24 /* bytes of an upstream or zone name kept */

enum aub_event_type {
	AUB_EVENT_STARTED,
	AUB_EVENT_STOPPING,
	AUB_EVENT_STOPPED,
	AUB_EVENT_VIEW, /* a view came into force; number = version */
	AUB_EVENT_CONFIG, /* control learnt a configuration */
	AUB_EVENT_ASSIGNMENT, /* ownership changed; number = epoch */
	AUB_EVENT_MEMBER, /* a member's state changed */
	AUB_EVENT_STORE, /* the store went away or came back */
	AUB_EVENT_ARRIVED, /* a request came in */
	AUB_EVENT_RELAYED, /* sent on to another entry */
	AUB_EVENT_DISPATCHED, /* sent to an upstream; number = attempt */
	AUB_EVENT_ANSWERED, /* an upstream answered; number = status */
	AUB_EVENT_RETRIED,
	AUB_EVENT_HEDGED,
	AUB_EVENT_CANCELLED,
	AUB_EVENT_REFUSED,
	AUB_EVENT_FINISHED, /* the final answer went out; number = status */
	AUB_EVENT_PROBED,
	AUB_EVENT_UPSTREAM, /* an upstream's state changed */
	AUB_EVENT_KEYS, /* remembered keys handed over */
	AUB_EVENT_FAILED, /* an error worth a line */
	AUB_EVENT_TYPE_COUNT
};

struct aub_event {
	guint64 sequence; /* from 1, rising, in this process */
	gint64 monotonic_us;
	gint64 wall_us; /* since 1970 */
	enum aub_event_type type;
	guint64 request; /* request id, 0 for none */
	gint64 number; /* meaning depends on type */
	char upstream[AUB_EVENT_NAME_BYTES]; /* "" for none */
	char zone[AUB_EVENT_NAME_BYTES]; /* "" for none */
	char peer[AUB_EVENT_NAME_BYTES]; /* process spoken to, "" for none */
	char text[AUB_EVENT_TEXT_BYTES];
};

struct aub_event_ring;

/* `capacity` events at most. Owned by the caller. */
struct aub_event_ring *aub_event_ring_new(guint capacity);
void aub_event_ring_free(struct aub_event_ring *ring);

/*
 * Record a copy of `event`; sequence and both times are filled in here, and
 * names are cut to their bounds. A NULL ring ignores the call.
 */
void aub_event_record(struct aub_event_ring *ring,
		      const struct aub_event *event);

/* Short form: type, request, number, upstream (may be NULL), text (same). */
void aub_event_record_simple(struct aub_event_ring *ring, enum aub_event_type type,
		    guint64 request, gint64 number, const char *upstream,
		    const char *text);

/* Events ever recorded, and those that gave way to newer ones. */
guint64 aub_event_ring_total(const struct aub_event_ring *ring);
guint64 aub_event_ring_overwritten(const struct aub_event_ring *ring);

/*
 * Call `visit` for each kept event with sequence > `after`, oldest first.
 * The event is borrowed for the call.
 */
typedef void aub_event_visitor(const struct aub_event *event, void *context);
void aub_event_ring_visit(const struct aub_event_ring *ring, guint64 after,
			  aub_event_visitor *visit, void *context);

/* Fixed English name, such as "dispatched"; and back, -1 if unknown. */
const char *aub_event_type_name(enum aub_event_type type);
int aub_event_type_parse(const char *name);

G_END_DECLS

#endif

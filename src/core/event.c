/*
 * Event ring: a fixed array in which the oldest events are overwritten.
 */
#include <auburnstile/event.h>

#include <string.h>

struct aub_event_ring {
	struct aub_event *events;
	guint capacity;
	guint64 total; /* sequence of the newest event */
};

static const char *const type_names[AUB_EVENT_TYPE_COUNT] = {
	[AUB_EVENT_STARTED] = "started",
	[AUB_EVENT_STOPPING] = "stopping",
	[AUB_EVENT_STOPPED] = "stopped",
	[AUB_EVENT_VIEW] = "view",
	[AUB_EVENT_CONFIG] = "config",
	[AUB_EVENT_ASSIGNMENT] = "assignment",
	[AUB_EVENT_MEMBER] = "member",
	[AUB_EVENT_STORE] = "store",
	[AUB_EVENT_ARRIVED] = "arrived",
	[AUB_EVENT_RELAYED] = "relayed",
	[AUB_EVENT_DISPATCHED] = "dispatched",
	[AUB_EVENT_ANSWERED] = "answered",
	[AUB_EVENT_RETRIED] = "retried",
	[AUB_EVENT_HEDGED] = "hedged",
	[AUB_EVENT_CANCELLED] = "cancelled",
	[AUB_EVENT_REFUSED] = "refused",
	[AUB_EVENT_FINISHED] = "finished",
	[AUB_EVENT_PROBED] = "probed",
	[AUB_EVENT_UPSTREAM] = "upstream",
	[AUB_EVENT_KEYS] = "keys",
	[AUB_EVENT_FAILED] = "failed",
};

struct aub_event_ring *aub_event_ring_new(guint capacity)
{
	struct aub_event_ring *ring;

	g_assert(capacity > 0);
	ring = g_new0(struct aub_event_ring, 1);
	ring->events = g_new0(struct aub_event, capacity);
	ring->capacity = capacity;
	return ring;
}

void aub_event_ring_free(struct aub_event_ring *ring)
{
	if (!ring)
		return;
	g_free(ring->events);
	g_free(ring);
}

void aub_event_record(struct aub_event_ring *ring,
		      const struct aub_event *event)
{
	struct aub_event *slot;

	if (!ring)
		return;
	slot = &ring->events[ring->total % ring->capacity];
	*slot = *event;
	slot->sequence = ++ring->total;
	slot->monotonic_us = g_get_monotonic_time();
	slot->wall_us = g_get_real_time();
}

void aub_event_record_simple(struct aub_event_ring *ring,
			     enum aub_event_type type, guint64 request,
			     gint64 number, const char *upstream,
			     const char *text)
{
	struct aub_event event = {
		.type = type,
		.request = request,
		.number = number,
	};

	if (upstream)
		g_strlcpy(event.upstream, upstream, sizeof(event.upstream));
	if (text)
		g_strlcpy(event.text, text, sizeof(event.text));
	aub_event_record(ring, &event);
}

guint64 aub_event_ring_total(const struct aub_event_ring *ring)
{
	return ring->total;
}

guint64 aub_event_ring_overwritten(const struct aub_event_ring *ring)
{
	if (ring->total <= ring->capacity)
		return 0;
	return ring->total - ring->capacity;
}

void aub_event_ring_visit(const struct aub_event_ring *ring, guint64 after,
			  aub_event_visitor *visit, void *context)
{
	guint64 sequence = MAX(after, aub_event_ring_overwritten(ring));

	for (; sequence < ring->total; sequence++)
		visit(&ring->events[sequence % ring->capacity], context);
}

const char *aub_event_type_name(enum aub_event_type type)
{
	if ((guint)type >= AUB_EVENT_TYPE_COUNT)
		return "unrecognised";
	return type_names[type];
}

int aub_event_type_parse(const char *name)
{
	for (int i = 0; i < AUB_EVENT_TYPE_COUNT; i++)
		if (!strcmp(type_names[i], name))
			return i;
	return -1;
}

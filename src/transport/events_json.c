/*
 * Formats a page of a process's events as JSON.
 *
 * The text is written directly into one string: building thousands of JSON
 * objects with a library would block the thread for longer.
 */
#include <auburnstile/internal/events_json.h>
#include <auburnstile/internal/json.h>

/*
 * Maximum number of events per response. Formatting a full ring would block
 * the thread for tens of milliseconds and delay callers' requests. Clients
 * request the next page with the last sequence number they received.
 */
#define EVENTS_PER_PAGE 250

struct event_writer {
	GString *out;
	guint count;
};

static void write_event(const struct aub_event *event, void *context)
{
	struct event_writer *writer = context;
	GString *out = writer->out;
	const char *const text_fields[] = { "upstream", event->upstream,
					    "zone",	event->zone,
					    "peer",	event->peer,
					    "text",	event->text };

	if (writer->count >= EVENTS_PER_PAGE)
		return;
	g_string_append_printf(out,
			       "%s{\"sequence\":%" G_GUINT64_FORMAT
			       ",\"monotonic_us\":%" G_GINT64_FORMAT
			       ",\"wall_us\":%" G_GINT64_FORMAT
			       ",\"type\":\"%s\""
			       ",\"request\":\"%016" G_GINT64_MODIFIER "x\""
			       ",\"number\":%" G_GINT64_FORMAT,
			       writer->count++ ? "," : "", event->sequence,
			       event->monotonic_us, event->wall_us,
			       aub_event_type_name(event->type), event->request,
			       event->number);
	for (guint i = 0; i < G_N_ELEMENTS(text_fields); i += 2) {
		if (!*text_fields[i + 1])
			continue;
		g_string_append_printf(out, ",\"%s\":", text_fields[i]);
		aub_json_append_string(out, text_fields[i + 1]);
	}
	g_string_append_c(out, '}');
}

char *aub_events_json(const struct aub_event_ring *ring, const char *process,
		      guint64 incarnation, guint64 after)
{
	struct event_writer writer = { .out = g_string_new("{\"process\":") };

	aub_json_append_string(writer.out, process);
	g_string_append_printf(writer.out,
			       ",\"incarnation\":%" G_GUINT64_FORMAT
			       ",\"monotonic_us\":%" G_GINT64_FORMAT
			       ",\"wall_us\":%" G_GINT64_FORMAT
			       ",\"lost\":%" G_GUINT64_FORMAT ",\"events\":[",
			       incarnation, g_get_monotonic_time(),
			       g_get_real_time(),
			       ring ? aub_event_ring_overwritten(ring) : 0);
	if (ring)
		aub_event_ring_visit(ring, after, write_event, &writer);
	g_string_append(writer.out, "]}");
	return g_string_free(writer.out, FALSE);
}

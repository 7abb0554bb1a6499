/* Formats the timeline as text and JSON, and a request as sentences. */
#include <auburnstile/internal/json.h>
#include <auburnstile/internal/timeline_internal.h>

#include <string.h>

#define US_PER_SECOND 1000000

/*
 * Returns the UTC time as "23:59:59.000001"; with `with_date`, the date
 * precedes it.
 */
static char *time_text(gint64 time_us, bool with_date)
{
	GDateTime *moment =
		g_date_time_new_from_unix_utc(time_us / US_PER_SECOND);
	char *second = moment ? g_date_time_format(moment,
						   with_date ? "%F %T" : "%T") :
				g_strdup("?");
	char *text = g_strdup_printf("%s.%06d", second,
				     (int)(time_us % US_PER_SECOND));

	if (moment)
		g_date_time_unref(moment);
	g_free(second);
	return text;
}

static void append_event_text(const struct aub_timeline *timeline,
			      const struct aub_timeline_entry *entry,
			      GString *out)
{
	const struct aub_event *event = &entry->event;
	char *moment = time_text(entry->time_us, false);

	g_string_append_printf(out, "%s %-16s %-11s", moment,
			       aub_timeline_process_name(timeline,
							 entry->process),
			       aub_event_type_name(event->type));
	if (event->request)
		g_string_append_printf(out, " %016" G_GINT64_MODIFIER "x",
				       event->request);
	if (event->number)
		g_string_append_printf(out, " %" G_GINT64_FORMAT,
				       event->number);
	if (*event->upstream)
		g_string_append_printf(out, " upstream=%s", event->upstream);
	if (*event->zone)
		g_string_append_printf(out, " zone=%s", event->zone);
	if (*event->peer)
		g_string_append_printf(out, " peer=%s", event->peer);
	if (*event->text)
		g_string_append_printf(out, " %s", event->text);
	g_string_append_c(out, '\n');
	g_free(moment);
}

char *aub_timeline_text(const struct aub_timeline *timeline,
			const GPtrArray *entries)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < entries->len; i++)
		append_event_text(timeline, entries->pdata[i], out);
	return g_string_free(out, FALSE);
}

static void append_event_json(const struct aub_timeline *timeline,
			      const struct aub_timeline_entry *entry,
			      GString *out)
{
	const struct aub_event *event = &entry->event;
	const char *const texts[] = {
		"process",  aub_timeline_process_name(timeline, entry->process),
		"type",	    aub_event_type_name(event->type),
		"upstream", event->upstream,
		"zone",	    event->zone,
		"peer",	    event->peer,
		"text",	    event->text
	};

	g_string_append_printf(out,
			       "{\"time_us\":%" G_GINT64_FORMAT
			       ",\"sequence\":%" G_GUINT64_FORMAT
			       ",\"request\":\"%016" G_GINT64_MODIFIER
			       "x\",\"number\":%" G_GINT64_FORMAT,
			       entry->time_us, event->sequence, event->request,
			       event->number);
	for (guint i = 0; i < G_N_ELEMENTS(texts); i += 2) {
		if (!*texts[i + 1])
			continue;
		g_string_append_printf(out, ",\"%s\":", texts[i]);
		aub_json_append_string(out, texts[i + 1]);
	}
	g_string_append_c(out, '}');
}

char *aub_timeline_json(const struct aub_timeline *timeline,
			const GPtrArray *entries)
{
	GString *out = g_string_new("{\"processes\":[");

	for (guint i = 0; i < timeline->lanes->len; i++) {
		const struct aub_timeline_lane *lane =
			aub_timeline_lane_at(timeline, i);

		g_string_append(out, i ? ",{\"name\":" : "{\"name\":");
		aub_json_append_string(out, lane->name);
		g_string_append(out, ",\"zone\":");
		aub_json_append_string(out, lane->zone);
		g_string_append_printf(out,
				       ",\"incarnation\":%" G_GUINT64_FORMAT
				       ",\"offset_us\":%" G_GINT64_FORMAT "}",
				       lane->incarnation, lane->offset_us);
	}
	g_string_append(out, "],\"events\":[");
	for (guint i = 0; i < entries->len; i++) {
		g_string_append(out, i ? ",\n" : "\n");
		append_event_json(timeline, entries->pdata[i], out);
	}
	g_string_append(out, "]}\n");
	return g_string_free(out, FALSE);
}

/*
 * Sentences by event type: %U is the upstream, %N the number, %T the peer or
 * text.
 */
static const char *const sentence_templates[AUB_EVENT_TYPE_COUNT] = {
	[AUB_EVENT_ARRIVED] = "the request arrives: %T",
	[AUB_EVENT_RELAYED] = "it is relayed to entry %T",
	[AUB_EVENT_DISPATCHED] = "attempt %N goes to upstream %U",
	[AUB_EVENT_ANSWERED] = "upstream %U answers with status %N",
	[AUB_EVENT_RETRIED] = "it is retried: %T",
	[AUB_EVENT_HEDGED] =
		"the answer is slow: a hedge, a second attempt, is sent",
	[AUB_EVENT_CANCELLED] = "an attempt is cancelled",
	[AUB_EVENT_REFUSED] = "it is refused: %T",
	[AUB_EVENT_FINISHED] = "the final answer is sent: %T, status %N",
	[AUB_EVENT_FAILED] = "an attempt fails: %T",
};

static void append_sentence(const struct aub_event *event, GString *out)
{
	const char *template = sentence_templates[event->type] ?
				       sentence_templates[event->type] :
				       aub_event_type_name(event->type);

	for (const char *c = template; *c; c++) {
		if (*c != '%') {
			g_string_append_c(out, *c);
			continue;
		}
		c++;
		if (*c == 'U')
			g_string_append(out, *event->upstream ?
						     event->upstream :
						     "(unnamed)");
		else if (*c == 'N')
			g_string_append_printf(out, "%" G_GINT64_FORMAT,
					       event->number);
		else
			g_string_append(out, *event->peer ? event->peer :
							    event->text);
	}
}

/* Appends the outcome according to the last final answer. */
static void append_conclusion(const GPtrArray *entries, GString *out)
{
	const struct aub_timeline_entry *first = entries->pdata[0];
	const struct aub_timeline_entry *last = NULL;
	guint sent = 0;

	for (guint i = 0; i < entries->len; i++) {
		const struct aub_timeline_entry *entry = entries->pdata[i];

		if (entry->event.type == AUB_EVENT_DISPATCHED)
			sent++;
		if (entry->event.type == AUB_EVENT_FINISHED)
			last = entry;
	}
	if (!last) {
		g_string_append_printf(
			out,
			"No final answer is recorded; the request was "
			"sent to an upstream %u time%s.\n",
			sent, sent == 1 ? "" : "s");
		return;
	}
	g_string_append_printf(out,
			       "Answered after %.1f ms; sent to an upstream %u "
			       "time%s; outcome: %s.\n",
			       (double)(last->time_us - first->time_us) / 1000,
			       sent, sent == 1 ? "" : "s", last->event.text);
}

char *aub_timeline_describe_request(const struct aub_timeline *timeline,
				    guint64 request)
{
	struct aub_timeline_filter filter = { .request = request };
	GPtrArray *entries = aub_timeline_select(timeline, &filter);
	GString *out = g_string_new(NULL);
	char *moment;

	if (!entries->len) {
		g_ptr_array_unref(entries);
		return g_string_free(out, FALSE);
	}
	moment = time_text(
		((const struct aub_timeline_entry *)entries->pdata[0])->time_us,
		true);
	g_string_append_printf(out,
			       "Request %016" G_GINT64_MODIFIER
			       "x, first seen at %s UTC\n",
			       request, moment);
	g_free(moment);
	for (guint i = 0; i < entries->len; i++) {
		const struct aub_timeline_entry *entry = entries->pdata[i];
		const struct aub_timeline_entry *start = entries->pdata[0];

		g_string_append_printf(
			out, "%+10.3f ms  %-16s ",
			(double)(entry->time_us - start->time_us) / 1000,
			aub_timeline_process_name(timeline, entry->process));
		append_sentence(&entry->event, out);
		g_string_append_c(out, '\n');
	}
	append_conclusion(entries, out);
	g_ptr_array_unref(entries);
	return g_string_free(out, FALSE);
}

/*
 * Commands on events: collect them from all processes, then print the time line
 * or the trace of one request.
 */
#include "ctl.h"

#include <libsoup/soup.h>
#include <string.h>

/* Limit for a process that returns pages of events without end. */
#define EVENT_PAGES_MAX 8192

static void copy_text(JsonObject *object, const char *name, char *field,
		      gsize size)
{
	const char *text = aub_json_string(object, name);

	if (text)
		g_strlcpy(field, text, size);
}

/* Parses an event. Returns false if its type is unknown. */
static bool parse_event(JsonObject *object, struct aub_event *event)
{
	const char *type = aub_json_string(object, "type");
	const char *request = aub_json_string(object, "request");
	int parsed_type = type ? aub_event_type_parse(type) : -1;

	if (parsed_type < 0)
		return false;
	event->type = (enum aub_event_type)parsed_type;
	event->sequence = (guint64)aub_json_integer(object, "sequence");
	event->monotonic_us = aub_json_integer(object, "monotonic_us");
	event->wall_us = aub_json_integer(object, "wall_us");
	event->number = aub_json_integer(object, "number");
	if (request)
		event->request = g_ascii_strtoull(request, NULL, 16);
	copy_text(object, "upstream", event->upstream, sizeof(event->upstream));
	copy_text(object, "zone", event->zone, sizeof(event->zone));
	copy_text(object, "peer", event->peer, sizeof(event->peer));
	copy_text(object, "text", event->text, sizeof(event->text));
	return true;
}

/* Adds a page of events; returns the sequence of the last one, 0 if none. */
static guint64 add_page(struct aub_timeline *timeline, JsonObject *page,
			const char *zone)
{
	const char *process = aub_json_string(page, "process");
	JsonArray *events = aub_json_array(page, "events");
	guint64 last = 0;
	guint handle;

	if (!process || !events)
		return 0;
	handle = aub_timeline_add_process(
		timeline, process, zone,
		(guint64)aub_json_integer(page, "incarnation"));
	for (guint i = 0; i < json_array_get_length(events); i++) {
		JsonObject *object = aub_json_element(events, i);
		struct aub_event event = { 0 };

		if (!object)
			continue;
		last = (guint64)aub_json_integer(object, "sequence");
		if (parse_event(object, &event))
			aub_timeline_add_event(timeline, handle, &event);
	}
	return last;
}

static void collect_from(struct ctl_options *options,
			 struct aub_timeline *timeline, const char *address,
			 const char *zone)
{
	guint64 after = 0;

	for (guint i = 0; i < EVENT_PAGES_MAX; i++) {
		char *path =
			g_strdup_printf("/v1/events?after=%" G_GUINT64_FORMAT,
					after);
		struct ctl_response response = { 0 };
		GError *error = NULL;
		guint64 last = 0;

		if (!ctl_request_one(options, address, path, &response, &error))
			ctl_print_error(error, 0);
		else if (response.status != SOUP_STATUS_OK || !response.body)
			ctl_print_refusal(&response);
		else
			last = add_page(timeline, response.body, zone);
		ctl_response_clear(&response);
		g_free(path);
		if (last <= after)
			return;
		after = last;
	}
}

/*
 * Returns the merged events of all processes, or NULL with `*code` set to an
 * exit code. Processes that can't be reached are reported and skipped.
 */
static struct aub_timeline *collect_events(struct ctl_options *options,
					   int *code)
{
	JsonObject *status = ctl_get(options, "/v1/status", code);
	struct aub_timeline *timeline;
	JsonArray *members;

	if (!status)
		return NULL;
	timeline = aub_timeline_new();
	members = aub_json_array(status, "members");
	for (guint i = 0; members && i < json_array_get_length(members); i++) {
		JsonObject *member = aub_json_element(members, i);
		const char *const fields[] = { "entry_admin", "control_admin" };
		const char *state =
			member ? aub_json_string(member, "state") : NULL;

		if (!state || strcmp(state, "stopped") == 0)
			continue;
		if (strcmp(state, "dead") == 0) {
			g_printerr("auburnstilectl: %s is dead: its events "
				   "are missing\n",
				   aub_json_string(member, "name"));
			continue;
		}
		for (guint f = 0; f < G_N_ELEMENTS(fields); f++) {
			const char *address =
				aub_json_string(member, fields[f]);

			if (address && *address)
				collect_from(options, timeline, address,
					     aub_json_string(member, "zone"));
		}
	}
	json_object_unref(status);
	aub_timeline_merge(timeline);
	return timeline;
}

static int write_output(struct ctl_options *options, const char *text)
{
	GError *error = NULL;

	if (!options->output) {
		g_print("%s", text);
		return CTL_OK;
	}
	if (g_file_set_contents(options->output, text, -1, &error))
		return CTL_OK;
	return ctl_print_error(error, CTL_REFUSED);
}

int ctl_timeline(struct ctl_options *options, char **args, guint count)
{
	struct aub_timeline *timeline;
	GPtrArray *entries;
	int code = CTL_OK;
	char *text;

	if (count) {
		timeline = ctl_timeline_from_logs(options, args, count);
		code = timeline ? CTL_OK : CTL_REFUSED;
	} else {
		timeline = collect_events(options, &code);
	}
	if (!timeline)
		return code;
	entries = aub_timeline_select(timeline, &options->filter);
	if (options->limit && entries->len > options->limit) {
		g_printerr("auburnstilectl: showing the newest %u of %u "
			   "events (--limit)\n",
			   options->limit, entries->len);
		g_ptr_array_remove_range(entries, 0,
					 entries->len - options->limit);
	}
	if (options->format == CTL_SVG)
		text = aub_timeline_svg(timeline, entries);
	else if (options->format == CTL_JSON)
		text = aub_timeline_json(timeline, entries);
	else
		text = aub_timeline_text(timeline, entries);
	code = write_output(options, text);
	g_free(text);
	g_ptr_array_unref(entries);
	aub_timeline_free(timeline);
	return code;
}

static char *explain_json(const struct aub_timeline *timeline, guint64 request)
{
	struct aub_timeline_filter filter = { .request = request };
	GPtrArray *entries = aub_timeline_select(timeline, &filter);
	char *text = entries->len ? aub_timeline_json(timeline, entries) :
				    g_strdup("");

	g_ptr_array_unref(entries);
	return text;
}

int ctl_explain(struct ctl_options *options, char **args, guint count)
{
	struct aub_timeline *timeline;
	guint64 request;
	int code = CTL_OK;
	char *text;

	if (count > 1)
		return ctl_explain_logs(options, args[0], args + 1, count - 1);
	if (count != 1 ||
	    !g_ascii_string_to_unsigned(args[0], 16, 1, G_MAXUINT64, &request,
					NULL))
		return CTL_BAD_ARGUMENTS;
	timeline = collect_events(options, &code);
	if (!timeline)
		return code;
	text = options->format == CTL_JSON ?
		       explain_json(timeline, request) :
		       aub_timeline_describe_request(timeline, request);
	if (*text) {
		code = write_output(options, text);
	} else {
		g_printerr("auburnstilectl: no process has an event of request "
			   "%s; events are retained for a limited time\n",
			   args[0]);
		code = CTL_REFUSED;
	}
	g_free(text);
	aub_timeline_free(timeline);
	return code;
}

/* Converts log lines to timeline events, according to a table. */
#include <auburnstile/internal/json.h>
#include <auburnstile/internal/log_events.h>
#include <auburnstile/internal/log_line.h>

#include <string.h>

/* Maps the fields of a log line to those of an event; NULL: none. */
struct mapping {
	const char *event;
	enum aub_event_type type;
	const char *upstream;
	const char *zone;
	const char *peer;
	const char *number;
	bool per_request; /* included only if the filter selects a request */
};

static const struct mapping mappings[] = {
	{ "start", AUB_EVENT_STARTED, NULL, "zone", NULL, NULL, false },
	{ "stopping", AUB_EVENT_STOPPING, NULL, NULL, NULL, NULL, false },
	{ "stop", AUB_EVENT_STOPPED, NULL, NULL, NULL, "requests", false },
	{ "reload", AUB_EVENT_CONFIG, NULL, NULL, NULL, NULL, false },
	{ "configuration", AUB_EVENT_CONFIG, NULL, NULL, NULL, "version",
	  false },
	{ "upstream", AUB_EVENT_UPSTREAM, "id", "zone", NULL, "revision",
	  false },
	{ "zone", AUB_EVENT_CONFIG, NULL, "zone", NULL, "revision", false },
	{ "record-refused", AUB_EVENT_FAILED, NULL, NULL, NULL, "revision",
	  false },
	{ "store-lost", AUB_EVENT_STORE, NULL, NULL, NULL, "revision", false },
	{ "store-regained", AUB_EVENT_STORE, NULL, NULL, NULL, "revision",
	  false },
	{ "store-history-gone", AUB_EVENT_STORE, NULL, NULL, NULL, "revision",
	  false },
	{ "store-outdated", AUB_EVENT_STORE, NULL, NULL, NULL, "revision",
	  false },
	{ "store-incomplete", AUB_EVENT_STORE, NULL, NULL, NULL, "revision",
	  false },
	{ "peer-heard", AUB_EVENT_MEMBER, NULL, "zone", "peer", NULL, false },
	{ "peer-lost", AUB_EVENT_MEMBER, NULL, "zone", "peer", NULL, false },
	{ "datagram-refused", AUB_EVENT_FAILED, NULL, NULL, NULL, NULL, false },
	{ "placing", AUB_EVENT_ASSIGNMENT, NULL, NULL, NULL, NULL, false },
	{ "placer-suspected", AUB_EVENT_ASSIGNMENT, NULL, NULL, "peer", NULL,
	  false },
	{ "placement", AUB_EVENT_REFUSED, NULL, NULL, NULL, "refused", false },
	{ "health", AUB_EVENT_UPSTREAM, "upstream", NULL, NULL, NULL, false },
	{ "egress", AUB_EVENT_UPSTREAM, NULL, NULL, NULL, "failed", false },
	{ "upstream-limit", AUB_EVENT_UPSTREAM, "upstream", NULL, NULL, "now",
	  false },
	{ "upstream-rest", AUB_EVENT_UPSTREAM, "upstream", NULL, NULL, "ms",
	  false },
	{ "upstream-leaving", AUB_EVENT_UPSTREAM, "upstream", NULL, NULL, NULL,
	  false },
	{ "quota", AUB_EVENT_REFUSED, NULL, NULL, NULL, "refused", false },
	{ "retry-counts", AUB_EVENT_RETRIED, NULL, NULL, NULL, "admitted",
	  false },
	{ "rollout", AUB_EVENT_CONFIG, NULL, NULL, NULL, "exposed", false },
	{ "rollout-stored", AUB_EVENT_STORE, NULL, NULL, NULL, "revision",
	  false },
	{ "request", AUB_EVENT_FINISHED, "upstream", NULL, NULL, "status",
	  true },
	{ "not-placed", AUB_EVENT_REFUSED, NULL, NULL, "placer", NULL, true },
	{ "attempt", AUB_EVENT_ANSWERED, "upstream", NULL, NULL, "status",
	  true },
	{ "relayed", AUB_EVENT_ANSWERED, "upstream", NULL, NULL, "status",
	  true },
	{ "log-dropped", AUB_EVENT_FAILED, NULL, NULL, NULL, "lines", false },
};

struct aub_log_events {
	struct aub_timeline *timeline;
	const struct aub_timeline_filter *filter;
	GHashTable *processes; /* node -> handle of its latest start + 1 */
	guint64 last_sequence;
	guint64 retained_count;
	guint64 dropped_count;
};

struct aub_log_events *aub_log_events_new(
	struct aub_timeline *timeline, const struct aub_timeline_filter *filter)
{
	struct aub_log_events *events = g_new0(struct aub_log_events, 1);

	events->timeline = timeline;
	events->filter = filter;
	events->processes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return events;
}

void aub_log_events_free(struct aub_log_events *events)
{
	if (!events)
		return;
	g_hash_table_unref(events->processes);
	g_free(events);
}

static const struct mapping *find_mapping(const char *event)
{
	for (guint i = 0; i < G_N_ELEMENTS(mappings); i++)
		if (!strcmp(mappings[i].event, event))
			return &mappings[i];
	return NULL;
}

int aub_log_events_type(const char *event)
{
	const struct mapping *mapping = find_mapping(event);

	return mapping ? (int)mapping->type : -1;
}

static void copy_field(JsonObject *object, const char *name, char *field,
		       gsize size)
{
	const char *text = name ? aub_json_string(object, name) : NULL;

	if (text)
		g_strlcpy(field, text, size);
}

/*
 * Returns the numeric request id. Callers choose their own ids; only those in
 * hex can be selected by a filter.
 */
static guint64 request_id_of(JsonObject *object, const struct mapping *mapping)
{
	const char *id =
		mapping->per_request ? aub_json_string(object, "id") : NULL;
	guint64 request = 0;

	if (id)
		g_ascii_string_to_unsigned(id, 16, 0, G_MAXUINT64, &request,
					   NULL);
	return request;
}

static void fill_event(struct aub_log_events *events, JsonObject *object,
		       const struct mapping *mapping, struct aub_event *event)
{
	char *fields = aub_log_line_fields(object);
	char *text = g_strconcat(mapping->event, fields, NULL);

	event->type = mapping->type;
	event->sequence = ++events->last_sequence;
	event->wall_us = aub_json_integer(object, "t") * 1000;
	event->monotonic_us = event->wall_us;
	event->request = request_id_of(object, mapping);
	if (mapping->number)
		event->number = aub_json_integer(object, mapping->number);
	copy_field(object, mapping->upstream, event->upstream,
		   sizeof(event->upstream));
	copy_field(object, mapping->zone, event->zone, sizeof(event->zone));
	copy_field(object, mapping->peer, event->peer, sizeof(event->peer));
	g_strlcpy(event->text, text, sizeof(event->text));
	g_free(text);
	g_free(fields);
}

/* Returns the handle of a line's process. A restart is a new process. */
static guint process_handle_of(struct aub_log_events *events,
			       JsonObject *object)
{
	const char *node = aub_json_string(object, "node");
	guint known =
		GPOINTER_TO_UINT(g_hash_table_lookup(events->processes, node));
	const char *zone = "";
	guint handle;

	if (!strcmp(aub_json_string(object, "event"), "start"))
		zone = aub_json_string(object, "zone");
	else if (known)
		return known - 1;
	handle = aub_timeline_add_process(
		events->timeline, node, zone ? zone : "",
		(guint64)aub_json_integer(object, "incarnation"));
	g_hash_table_insert(events->processes, g_strdup(node),
			    GUINT_TO_POINTER(handle + 1));
	return handle;
}

static bool matches_filter(const struct aub_log_events *events,
			   const struct mapping *mapping, JsonObject *object,
			   const struct aub_event *event)
{
	const struct aub_timeline_filter *filter = events->filter;

	if (filter->request)
		return event->request == filter->request;
	if (mapping->per_request)
		return false;
	return (!filter->process ||
		!strcmp(filter->process, aub_json_string(object, "node"))) &&
	       (!filter->upstream ||
		!strcmp(filter->upstream, event->upstream)) &&
	       (!filter->since_us || event->wall_us >= filter->since_us) &&
	       (!filter->until_us || event->wall_us <= filter->until_us);
}

bool aub_log_events_add_line(struct aub_log_events *events, const char *line)
{
	JsonObject *object = aub_log_line_parse(line);
	const struct mapping *mapping;
	struct aub_event event = { 0 };

	if (!object)
		return false;
	mapping = find_mapping(aub_json_string(object, "event"));
	if (!mapping) {
		json_object_unref(object);
		return false;
	}
	fill_event(events, object, mapping, &event);
	if (matches_filter(events, mapping, object, &event)) {
		guint process = process_handle_of(events, object);

		if (events->retained_count < AUB_LOG_EVENTS_MAX) {
			events->retained_count++;
			aub_timeline_add_event(events->timeline, process,
					       &event);
		} else {
			events->dropped_count++;
		}
	}
	json_object_unref(object);
	return true;
}

guint64 aub_log_events_dropped(const struct aub_log_events *events)
{
	return events->dropped_count;
}

/*
 * Orders the log lines of a request by time. Lines of one process with equal
 * times have causes before their effects; other lines with equal times keep the
 * order of reading, which within a file is the order of its process.
 */
#include <auburnstile/internal/json.h>
#include <auburnstile/internal/log_line.h>
#include <auburnstile/internal/request_trace.h>

#include <string.h>

#define REQUEST_LINES_MAX 1000 /* a caller may use an id more than once */
#define CONTEXT_LINES_MAX 200
#define CONTEXT_BEFORE_MS 5000 /* before the request, for possible causes */

/* Events of a request in causal order. */
static const char *const causal_order[] = { "not-placed", "attempt",
					    "request" };

struct trace_line {
	gint64 time_ms; /* Unix time, ms */
	guint read_index; /* order of reading; in a file, of its process */
	guint causal_rank; /* index into causal_order */
	char *node;
	char *text; /* event name and fields */
};

struct aub_request_trace {
	char *id;
	GPtrArray *lines; /* of struct trace_line: the request's own */
	GPtrArray *context; /* of struct trace_line */
	GHashTable *names; /* gateways, upstreams and services of the trace */
	gint64 first_ms;
	gint64 last_ms;
	guint read_index;
};

static void line_free(void *data)
{
	struct trace_line *line = data;

	g_free(line->node);
	g_free(line->text);
	g_free(line);
}

struct aub_request_trace *aub_request_trace_new(const char *id)
{
	struct aub_request_trace *trace = g_new0(struct aub_request_trace, 1);

	trace->id = g_strdup(id);
	trace->lines = g_ptr_array_new_with_free_func(line_free);
	trace->context = g_ptr_array_new_with_free_func(line_free);
	trace->names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	trace->first_ms = G_MAXINT64;
	return trace;
}

void aub_request_trace_free(struct aub_request_trace *trace)
{
	if (!trace)
		return;
	g_ptr_array_unref(trace->lines);
	g_ptr_array_unref(trace->context);
	g_hash_table_unref(trace->names);
	g_free(trace->id);
	g_free(trace);
}

static guint causal_rank_of(const char *event)
{
	for (guint i = 0; i < G_N_ELEMENTS(causal_order); i++)
		if (!strcmp(event, causal_order[i]))
			return i;
	return 0;
}

static struct trace_line *line_new(struct aub_request_trace *trace,
				   JsonObject *object)
{
	struct trace_line *line = g_new0(struct trace_line, 1);
	char *fields = aub_log_line_fields(object);

	line->time_ms = aub_json_integer(object, "t");
	line->read_index = trace->read_index++;
	line->causal_rank = causal_rank_of(aub_json_string(object, "event"));
	line->node = g_strdup(aub_json_string(object, "node"));
	line->text =
		g_strconcat(aub_json_string(object, "event"), fields, NULL);
	g_free(fields);
	return line;
}

static void add_name(struct aub_request_trace *trace, JsonObject *object,
		     const char *field)
{
	const char *name = aub_json_string(object, field);

	if (name && *name)
		g_hash_table_add(trace->names, g_strdup(name));
}

bool aub_request_trace_add_line(struct aub_request_trace *trace,
				const char *text)
{
	JsonObject *object = aub_log_line_parse(text);
	const char *id;

	if (!object)
		return false;
	id = aub_json_string(object, "id");
	if (id && !strcmp(id, trace->id) &&
	    strcmp(aub_json_string(object, "event"), "upstream") != 0 &&
	    trace->lines->len < REQUEST_LINES_MAX) {
		struct trace_line *line = line_new(trace, object);

		g_ptr_array_add(trace->lines, line);
		trace->first_ms =
			MIN(trace->first_ms,
			    line->time_ms - aub_json_integer(object, "ms"));
		trace->last_ms = MAX(trace->last_ms, line->time_ms);
		add_name(trace, object, "node");
		add_name(trace, object, "upstream");
		add_name(trace, object, "placer");
		add_name(trace, object, "service");
	}
	json_object_unref(object);
	return true;
}

static bool field_is_in_trace(const struct aub_request_trace *trace,
			      JsonObject *object, const char *field)
{
	const char *name = aub_json_string(object, field);

	return name && g_hash_table_contains(trace->names, name);
}

/*
 * Returns true if the line is a state change of an upstream, gateway or service
 * of the trace.
 */
static bool is_context(const struct aub_request_trace *trace,
		       JsonObject *object)
{
	const char *event = aub_json_string(object, "event");
	gint64 time_ms = aub_json_integer(object, "t");

	if (time_ms < trace->first_ms - CONTEXT_BEFORE_MS ||
	    time_ms > trace->last_ms)
		return false;
	if (!strcmp(event, "request") || !strcmp(event, "attempt") ||
	    !strcmp(event, "not-placed"))
		return false;
	if (!strcmp(event, "upstream") || !strcmp(event, "health"))
		return field_is_in_trace(trace, object, "id") ||
		       field_is_in_trace(trace, object, "upstream");
	/* They concern requests of the service that reached no upstream, too.
	 */
	if (!strcmp(event, "placement") || !strcmp(event, "placing") ||
	    !strcmp(event, "placer-suspected") ||
	    !strcmp(event, "upstream-limit") ||
	    !strcmp(event, "upstream-rest") ||
	    !strcmp(event, "upstream-leaving"))
		return field_is_in_trace(trace, object, "service");
	if (!strcmp(event, "quota"))
		return field_is_in_trace(trace, object, "workspace");
	return field_is_in_trace(trace, object, "node") &&
	       strcmp(event, "peer-heard") != 0;
}

void aub_request_trace_add_context_line(struct aub_request_trace *trace,
					const char *text)
{
	JsonObject *object;

	if (trace->context->len >= CONTEXT_LINES_MAX)
		return;
	object = aub_log_line_parse(text);
	if (!object)
		return;
	if (is_context(trace, object))
		g_ptr_array_add(trace->context, line_new(trace, object));
	json_object_unref(object);
}

guint aub_request_trace_size(const struct aub_request_trace *trace)
{
	return trace->lines->len;
}

/*
 * Sorts by time, lines of one process with equal times in causal order, and
 * otherwise by the order of reading.
 */
static gint compare_lines(gconstpointer a, gconstpointer b)
{
	const struct trace_line *left = *(struct trace_line *const *)a;
	const struct trace_line *right = *(struct trace_line *const *)b;

	if (!strcmp(left->node, right->node) &&
	    left->causal_rank != right->causal_rank &&
	    left->time_ms == right->time_ms)
		return left->causal_rank < right->causal_rank ? -1 : 1;
	if (left->time_ms != right->time_ms)
		return left->time_ms < right->time_ms ? -1 : 1;
	return left->read_index < right->read_index ? -1 : 1;
}

static void append_lines(GString *text, GPtrArray *lines, gint64 from_ms)
{
	g_ptr_array_sort(lines, compare_lines);
	for (guint i = 0; i < lines->len; i++) {
		const struct trace_line *line = g_ptr_array_index(lines, i);

		g_string_append_printf(text,
				       "%+8" G_GINT64_FORMAT " ms  %s  %s\n",
				       line->time_ms - from_ms, line->node,
				       line->text);
	}
}

char *aub_request_trace_text(struct aub_request_trace *trace)
{
	GString *text = g_string_new(NULL);

	if (!trace->lines->len)
		return g_string_free(text, FALSE);
	g_string_append_printf(text, "request %s\n", trace->id);
	append_lines(text, trace->lines, trace->first_ms);
	if (trace->context->len) {
		g_string_append(text, "related events\n");
		append_lines(text, trace->context, trace->first_ms);
	}
	return g_string_free(text, FALSE);
}

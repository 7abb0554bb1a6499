/*
 * Log lines put in order: by each process's own order first, by time between
 * processes, and causes before what they brought about.
 */
#include <auburnstile/internal/json.h>
#include <auburnstile/internal/log_line.h>
#include <auburnstile/internal/log_story.h>

#include <string.h>

#define LINES_MOST 1000 /* of one request; a caller's id may be used again */
#define CONTEXT_MOST 200
#define CONTEXT_MS 5000 /* before the request: what may have caused it */

/* A request's lines in the order in which one follows from another. */
static const char *const causal[] = { "not-placed", "attempt", "request" };

struct story_line {
	gint64 t; /* Unix time, ms */
	guint serial; /* order of reading: that of the process within a file */
	guint cause; /* place in `causal` */
	char *node;
	char *text; /* what is shown */
};

struct aub_log_story {
	char *id;
	GPtrArray *lines; /* of struct story_line: the request's own */
	GPtrArray *context; /* of struct story_line */
	GHashTable *names; /* gateways and upstreams in the story */
	gint64 first_t;
	gint64 last_t;
	guint serial;
};

static void line_free(void *data)
{
	struct story_line *line = data;

	g_free(line->node);
	g_free(line->text);
	g_free(line);
}

struct aub_log_story *aub_log_story_new(const char *id)
{
	struct aub_log_story *story = g_new0(struct aub_log_story, 1);

	story->id = g_strdup(id);
	story->lines = g_ptr_array_new_with_free_func(line_free);
	story->context = g_ptr_array_new_with_free_func(line_free);
	story->names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	story->first_t = G_MAXINT64;
	return story;
}

void aub_log_story_free(struct aub_log_story *story)
{
	if (!story)
		return;
	g_ptr_array_unref(story->lines);
	g_ptr_array_unref(story->context);
	g_hash_table_unref(story->names);
	g_free(story->id);
	g_free(story);
}

static guint cause_of(const char *event)
{
	for (guint i = 0; i < G_N_ELEMENTS(causal); i++)
		if (!strcmp(event, causal[i]))
			return i;
	return 0;
}

static struct story_line *line_new(struct aub_log_story *story,
				   JsonObject *object)
{
	struct story_line *line = g_new0(struct story_line, 1);
	char *fields = aub_log_line_fields(object);

	line->t = aub_json_integer(object, "t");
	line->serial = story->serial++;
	line->cause = cause_of(aub_json_string(object, "event"));
	line->node = g_strdup(aub_json_string(object, "node"));
	line->text =
		g_strconcat(aub_json_string(object, "event"), fields, NULL);
	g_free(fields);
	return line;
}

static void remember(struct aub_log_story *story, JsonObject *object,
		     const char *field)
{
	const char *name = aub_json_string(object, field);

	if (name && *name)
		g_hash_table_add(story->names, g_strdup(name));
}

bool aub_log_story_take(struct aub_log_story *story, const char *text)
{
	JsonObject *object = aub_log_line_parse(text);
	const char *id;

	if (!object)
		return false;
	id = aub_json_string(object, "id");
	if (id && !strcmp(id, story->id) &&
	    strcmp(aub_json_string(object, "event"), "upstream") != 0 &&
	    story->lines->len < LINES_MOST) {
		struct story_line *line = line_new(story, object);

		g_ptr_array_add(story->lines, line);
		story->first_t = MIN(story->first_t,
				     line->t - aub_json_integer(object, "ms"));
		story->last_t = MAX(story->last_t, line->t);
		remember(story, object, "node");
		remember(story, object, "upstream");
		remember(story, object, "placer");
		remember(story, object, "service");
	}
	json_object_unref(object);
	return true;
}

static bool is_named(const struct aub_log_story *story, JsonObject *object,
		     const char *field)
{
	const char *name = aub_json_string(object, field);

	return name && g_hash_table_contains(story->names, name);
}

/* State lines about an upstream, a gateway or a service of the story. */
static bool is_context(const struct aub_log_story *story, JsonObject *object)
{
	const char *event = aub_json_string(object, "event");
	gint64 t = aub_json_integer(object, "t");

	if (t < story->first_t - CONTEXT_MS || t > story->last_t)
		return false;
	if (!strcmp(event, "request") || !strcmp(event, "attempt") ||
	    !strcmp(event, "not-placed"))
		return false;
	if (!strcmp(event, "upstream") || !strcmp(event, "health"))
		return is_named(story, object, "id") ||
		       is_named(story, object, "upstream");
	if (!strcmp(event, "placement") || !strcmp(event, "placing") ||
	    !strcmp(event, "placer-suspected"))
		return is_named(story, object, "service");
	return is_named(story, object, "node") &&
	       strcmp(event, "peer-heard") != 0;
}

void aub_log_story_take_context(struct aub_log_story *story, const char *text)
{
	JsonObject *object;

	if (story->context->len >= CONTEXT_MOST)
		return;
	object = aub_log_line_parse(text);
	if (!object)
		return;
	if (is_context(story, object))
		g_ptr_array_add(story->context, line_new(story, object));
	json_object_unref(object);
}

guint aub_log_story_size(const struct aub_log_story *story)
{
	return story->lines->len;
}

/* One process's lines keep their order, whatever its clock did. */
static gint by_order(gconstpointer a, gconstpointer b)
{
	const struct story_line *left = *(struct story_line *const *)a;
	const struct story_line *right = *(struct story_line *const *)b;

	if (!strcmp(left->node, right->node) && left->cause != right->cause &&
	    left->t == right->t)
		return left->cause < right->cause ? -1 : 1;
	if (left->t != right->t)
		return left->t < right->t ? -1 : 1;
	return left->serial < right->serial ? -1 : 1;
}

static void append_lines(GString *text, GPtrArray *lines, gint64 from_t)
{
	g_ptr_array_sort(lines, by_order);
	for (guint i = 0; i < lines->len; i++) {
		const struct story_line *line = g_ptr_array_index(lines, i);

		g_string_append_printf(text,
				       "%+8" G_GINT64_FORMAT " ms  %s  %s\n",
				       line->t - from_t, line->node,
				       line->text);
	}
}

char *aub_log_story_text(struct aub_log_story *story)
{
	GString *text = g_string_new(NULL);

	if (!story->lines->len)
		return g_string_free(text, FALSE);
	g_string_append_printf(text, "request %s\n", story->id);
	append_lines(text, story->lines, story->first_t);
	if (story->context->len) {
		g_string_append(text, "around it\n");
		append_lines(text, story->context, story->first_t);
	}
	return g_string_free(text, FALSE);
}

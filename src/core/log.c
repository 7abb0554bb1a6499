/*
 * Log writer: one line per record on standard error.
 *
 * Text:  2026-01-31T12:00:00.123456Z warning entry-a1: message key=value
 * JSON:  {"time": ..., "level": ..., "process": ..., "message": ...}
 * Fields of g_log_structured() other than GLib's standard ones are included.
 */
#include <auburnstile/log.h>

#include <json-glib/json-glib.h>
#include <string.h>
#include <unistd.h>

static struct {
	char *process;
	GLogLevelFlags max_level; /* least severe level that is written */
	bool json;
} writer;

struct level_name {
	GLogLevelFlags level;
	const char *name;
};

static const struct level_name level_names[] = {
	{ G_LOG_LEVEL_ERROR, "error" },
	{ G_LOG_LEVEL_CRITICAL, "critical" },
	{ G_LOG_LEVEL_WARNING, "warning" },
	{ G_LOG_LEVEL_MESSAGE, "message" },
	{ G_LOG_LEVEL_INFO, "info" },
	{ G_LOG_LEVEL_DEBUG, "debug" },
};

static const char *level_name(GLogLevelFlags level)
{
	for (guint i = 0; i < G_N_ELEMENTS(level_names); i++)
		if (level & level_names[i].level)
			return level_names[i].name;
	return "message";
}

static char *field_text(const GLogField *field)
{
	if (field->length < 0)
		return g_strdup(field->value);
	return g_strndup(field->value, (gsize)field->length);
}

static bool is_standard_field(const char *key)
{
	return !strcmp(key, "MESSAGE") || !strcmp(key, "PRIORITY") ||
	       !strcmp(key, "GLIB_DOMAIN") ||
	       !strcmp(key, "GLIB_OLD_LOG_API") ||
	       g_str_has_prefix(key, "CODE_");
}

static char *find_message(const GLogField *fields, gsize count)
{
	for (gsize i = 0; i < count; i++)
		if (!strcmp(fields[i].key, "MESSAGE"))
			return field_text(&fields[i]);
	return g_strdup("");
}

static char *format_time_now(void)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *text = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");

	g_date_time_unref(now);
	return text;
}

static void append_text(GString *line, const char *time, const char *level,
			const char *message, const GLogField *fields,
			gsize count)
{
	g_string_append_printf(line, "%s %s %s: %s", time, level,
			       writer.process, message);
	for (gsize i = 0; i < count; i++) {
		char *value;

		if (is_standard_field(fields[i].key))
			continue;
		value = field_text(&fields[i]);
		g_string_append_printf(line, " %s=%s", fields[i].key, value);
		g_free(value);
	}
	g_strdelimit(line->str, "\n\r", ' ');
	g_string_append_c(line, '\n');
}

static void append_json(GString *line, const char *time, const char *level,
			const char *message, const GLogField *fields,
			gsize count)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_init_object(json_node_alloc(), object);
	char *text;

	json_object_set_string_member(object, "time", time);
	json_object_set_string_member(object, "level", level);
	json_object_set_string_member(object, "process", writer.process);
	json_object_set_string_member(object, "message", message);
	for (gsize i = 0; i < count; i++) {
		char *value;

		if (is_standard_field(fields[i].key))
			continue;
		value = field_text(&fields[i]);
		json_object_set_string_member(object, fields[i].key, value);
		g_free(value);
	}
	text = json_to_string(node, FALSE);
	g_string_append_printf(line, "%s\n", text);
	g_free(text);
	json_node_free(node);
	json_object_unref(object);
}

static GLogWriterOutput write_record(GLogLevelFlags level,
				     const GLogField *fields, gsize count,
				     void *data)
{
	GString *line;
	char *message;
	char *time;
	ssize_t written;

	if ((level & G_LOG_LEVEL_MASK) > writer.max_level)
		return G_LOG_WRITER_HANDLED;
	line = g_string_new(NULL);
	message = find_message(fields, count);
	time = format_time_now();
	if (writer.json)
		append_json(line, time, level_name(level), message, fields,
			    count);
	else
		append_text(line, time, level_name(level), message, fields,
			    count);
	/* A line that can't be written is dropped; logging must not block. */
	written = write(STDERR_FILENO, line->str, line->len);
	(void)written;
	g_free(time);
	g_free(message);
	g_string_free(line, TRUE);
	return G_LOG_WRITER_HANDLED;
}

bool aub_log_setup(const char *process, const char *level, bool json)
{
	for (guint i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(level_names[i].name, level) != 0)
			continue;
		g_free(writer.process);
		writer.process = g_strdup(process);
		writer.max_level = level_names[i].level;
		writer.json = json;
		g_log_set_writer_func(write_record, NULL, NULL);
		return true;
	}
	return false;
}

/* Parses a line of a gateway's log and formats its fields. */
#include <auburnstile/internal/json.h>
#include <auburnstile/internal/log_line.h>

#include <string.h>

JsonObject *aub_log_line_parse(const char *text)
{
	const char *brace = strchr(text, '{');
	JsonObject *object;

	if (!brace)
		return NULL;
	object = aub_json_parse(brace, strlen(brace), "read log", "line", NULL);
	if (!object)
		return NULL;
	if (aub_json_string(object, "event") && aub_json_string(object, "node"))
		return object;
	json_object_unref(object);
	return NULL;
}

static void append_field(GString *text, JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);
	char *value;

	if (!strcmp(name, "t") || !strcmp(name, "node") ||
	    !strcmp(name, "event") || !strcmp(name, "id"))
		return;
	if (JSON_NODE_HOLDS_VALUE(node) &&
	    json_node_get_value_type(node) == G_TYPE_STRING)
		value = json_node_dup_string(node);
	else
		value = json_to_string(node, FALSE);
	if (*value)
		g_string_append_printf(text, " %s=%s", name, value);
	g_free(value);
}

char *aub_log_line_fields(JsonObject *object)
{
	GString *text = g_string_new(NULL);
	GList *names = json_object_get_members(object);

	for (GList *link = names; link; link = link->next)
		append_field(text, object, link->data);
	g_list_free(names);
	return g_string_free(text, FALSE);
}

/*
 * JSON from external sources, validated before it is passed to json-glib.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/json.h>

#include <string.h>

/*
 * json-glib is a recursive-descent parser. A body of "[[[[..." would overflow
 * the stack and terminate the process. Valid documents have a nesting depth of
 * at most 5.
 */
#define JSON_DEPTH_MAX 32

/*
 * Characters that JSON allows outside of strings. json-glib also accepts
 * comments; a quote inside a comment would hide brackets from the depth check.
 */
#define CHARS_OUTSIDE_STRINGS " \t\r\n{}[]:,+-.0123456789Etruefalsn"

/* Checks for a JSON escape; json-glib would also accept octal escapes. */
static bool is_valid_escape(const char *text, gsize length, gsize at)
{
	return at < length && text[at] && strchr("\"\\/bfnrtu", text[at]);
}

static bool is_strict_json(const char *text, gsize length)
{
	guint depth = 0;
	bool quoted = false;

	for (gsize i = 0; i < length; i++) {
		if (quoted) {
			if (text[i] == '"')
				quoted = false;
			else if (text[i] == '\\' &&
				 !is_valid_escape(text, length, ++i))
				return false;
		} else if (text[i] == '"') {
			quoted = true;
		} else if (!text[i] ||
			   !strchr(CHARS_OUTSIDE_STRINGS, text[i])) {
			return false;
		} else if (text[i] == '[' || text[i] == '{') {
			if (++depth > JSON_DEPTH_MAX)
				return false;
		} else if ((text[i] == ']' || text[i] == '}') && depth) {
			depth--;
		}
	}
	return true;
}

JsonObject *aub_json_parse(const char *text, gsize length, const char *step,
			   const char *peer, GError **error)
{
	JsonObject *object = NULL;
	GError *problem = NULL;
	JsonParser *parser;
	JsonNode *root;

	if (!g_utf8_validate(text, (gssize)length, NULL) ||
	    !is_strict_json(text, length)) {
		aub_error_set(error, AUB_ERROR_INVALID, step, peer,
			      "not UTF-8, not strict JSON, or nested deeper "
			      "than %d",
			      JSON_DEPTH_MAX);
		return NULL;
	}
	parser = json_parser_new();
	if (!json_parser_load_from_data(parser, text, (gssize)length,
					&problem)) {
		aub_error_set(error, AUB_ERROR_INVALID, step, peer, "%s",
			      problem->message);
		g_error_free(problem);
		goto out;
	}
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		aub_error_set(error, AUB_ERROR_INVALID, step, peer,
			      "must be a JSON object");
		goto out;
	}
	object = json_node_dup_object(root);
out:
	g_object_unref(parser);
	return object;
}

char *aub_json_print(JsonObject *object)
{
	JsonNode *node = json_node_alloc();
	char *text;

	json_node_init_object(node, object);
	json_object_unref(object);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	return text;
}

char *aub_json_pretty(JsonNode *node)
{
	return json_to_string(node, TRUE);
}

static JsonNode *member(JsonObject *object, const char *name, GType type)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != type)
		return NULL;
	return node;
}

const char *aub_json_string(JsonObject *object, const char *name)
{
	JsonNode *node = member(object, name, G_TYPE_STRING);

	const char *text = node ? json_node_get_string(node) : NULL;

	return text && g_utf8_validate(text, -1, NULL) ? text : NULL;
}

gint64 aub_json_integer(JsonObject *object, const char *name)
{
	JsonNode *node = member(object, name, G_TYPE_INT64);

	return node ? json_node_get_int(node) : 0;
}

bool aub_json_boolean(JsonObject *object, const char *name)
{
	JsonNode *node = member(object, name, G_TYPE_BOOLEAN);

	return node && json_node_get_boolean(node);
}

JsonObject *aub_json_object(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_OBJECT(node) ?
		       json_node_get_object(node) :
		       NULL;
}

JsonArray *aub_json_array(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) :
						     NULL;
}

JsonObject *aub_json_element(JsonArray *array, guint index)
{
	JsonNode *node = json_array_get_element(array, index);

	return node && JSON_NODE_HOLDS_OBJECT(node) ?
		       json_node_get_object(node) :
		       NULL;
}

void aub_json_append_string(GString *out, const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);

	g_string_append_c(out, '"');
	for (const char *c = valid; *c; c++) {
		if (*c == '"' || *c == '\\')
			g_string_append_c(out, '\\');
		if ((guchar)*c < 0x20)
			g_string_append_printf(out, "\\u%04x", (guint)*c);
		else
			g_string_append_c(out, *c);
	}
	g_string_append_c(out, '"');
	g_free(valid);
}

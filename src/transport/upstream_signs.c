/*
 * Signs of an upstream's state: headers of its answers and its load object.
 */
#include <auburnstile/internal/headers.h>
#include <auburnstile/internal/upstream_signs.h>

#include <json-glib/json-glib.h>

#define LOAD_LIMIT 4096 /* bytes of a load object */

void aub_signs_read(SoupMessage *message, struct aub_upstream_signals *signs)
{
	SoupMessageHeaders *headers;
	const char *state;

	headers = soup_message_get_response_headers(message);
	aub_parse_number(soup_message_headers_get_one(headers, "X-Boot-Id"),
			 &signs->boot_id);
	state = soup_message_headers_get_one(headers, "X-Upstream-State");
	signs->cold = !g_strcmp0(state, "cold");
	signs->draining = !g_strcmp0(state, "draining");
	signs->failed = soup_message_get_status(message) >= 500;
}

bool aub_signs_shed(SoupMessage *message)
{
	const char *word;

	if (soup_message_get_status(message) != SOUP_STATUS_SERVICE_UNAVAILABLE)
		return false;
	word = soup_message_headers_get_one(soup_message_get_response_headers(
						    message),
					    "X-Not-Run");
	return !g_strcmp0(word, "1");
}

static gint64 load_number(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || json_node_get_value_type(node) != G_TYPE_INT64)
		return 0;
	return json_node_get_int(node);
}

bool aub_signs_parse_load(const void *data, gsize length,
			  struct aub_upstream_signals *signs, guint32 *busy)
{
	JsonParser *parser = json_parser_new();
	JsonObject *object;
	const char *state = NULL;
	JsonNode *root;
	JsonNode *node;
	bool parsed = false;

	if (length > LOAD_LIMIT ||
	    !json_parser_load_from_data(parser, data, length, NULL))
		goto out;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		goto out;
	object = json_node_get_object(root);
	signs->boot_id = (guint64)load_number(object, "boot_id");
	*busy = (guint32)load_number(object, "busy");
	node = json_object_get_member(object, "state");
	if (node && json_node_get_value_type(node) == G_TYPE_STRING)
		state = json_node_get_string(node);
	signs->cold = !g_strcmp0(state, "cold");
	signs->draining = !g_strcmp0(state, "draining");
	parsed = true;
out:
	g_object_unref(parser);
	return parsed;
}

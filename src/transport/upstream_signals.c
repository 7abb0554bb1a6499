/*
 * Health signals of an upstream, from its response headers and its load
 * object.
 */
#include <auburnstile/internal/headers.h>
#include <auburnstile/internal/upstream_signals.h>

#include <json-glib/json-glib.h>

#define LOAD_MAX_BYTES 4096 /* a larger load object is rejected */

void aub_signals_from_response(SoupMessage *message,
			       struct aub_upstream_signals *signals)
{
	SoupMessageHeaders *headers;
	const char *state;

	headers = soup_message_get_response_headers(message);
	aub_parse_number(soup_message_headers_get_one(headers, "X-Boot-Id"),
			 &signals->boot_id);
	state = soup_message_headers_get_one(headers, "X-Upstream-State");
	signals->cold = !g_strcmp0(state, "cold");
	signals->draining = !g_strcmp0(state, "draining");
	signals->failed = soup_message_get_status(message) >= 500;
}

bool aub_response_is_shed(SoupMessage *message)
{
	const char *not_run;

	if (soup_message_get_status(message) != SOUP_STATUS_SERVICE_UNAVAILABLE)
		return false;
	not_run = soup_message_headers_get_one(
		soup_message_get_response_headers(message), "X-Not-Run");
	return !g_strcmp0(not_run, "1");
}

static gint64 load_number(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || json_node_get_value_type(node) != G_TYPE_INT64)
		return 0;
	return json_node_get_int(node);
}

bool aub_signals_parse_load(const void *data, gsize length,
			    struct aub_upstream_signals *signals, guint32 *busy)
{
	JsonParser *parser = json_parser_new();
	JsonObject *object;
	const char *state = NULL;
	JsonNode *root;
	JsonNode *node;
	bool parsed = false;

	if (length > LOAD_MAX_BYTES ||
	    !json_parser_load_from_data(parser, data, length, NULL))
		goto out;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		goto out;
	object = json_node_get_object(root);
	signals->boot_id = (guint64)load_number(object, "boot_id");
	*busy = (guint32)load_number(object, "busy");
	node = json_object_get_member(object, "state");
	if (node && json_node_get_value_type(node) == G_TYPE_STRING)
		state = json_node_get_string(node);
	signals->cold = !g_strcmp0(state, "cold");
	signals->draining = !g_strcmp0(state, "draining");
	parsed = true;
out:
	g_object_unref(parser);
	return parsed;
}

/* Converts JSON to msgpack and back with json-glib and msgpack-c. */
#include "platform/body.h"

#include <json-glib/json-glib.h>
#include <msgpack.h>
#include <string.h>

static void pack_node(msgpack_packer *packer, JsonNode *node);

static void pack_text(msgpack_packer *packer, const char *text)
{
	msgpack_pack_str_with_body(packer, text, strlen(text));
}

static void pack_member(JsonObject *object, const char *name, JsonNode *node,
			void *context)
{
	msgpack_packer *packer = context;

	pack_text(packer, name);
	pack_node(packer, node);
}

static void pack_element(JsonArray *array, guint index, JsonNode *node,
			 void *context)
{
	pack_node(context, node);
}

static void pack_value(msgpack_packer *packer, JsonNode *node)
{
	switch (json_node_get_value_type(node)) {
	case G_TYPE_INT64:
		msgpack_pack_int64(packer, json_node_get_int(node));
		break;
	case G_TYPE_DOUBLE:
		msgpack_pack_double(packer, json_node_get_double(node));
		break;
	case G_TYPE_BOOLEAN:
		if (json_node_get_boolean(node))
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		break;
	default:
		pack_text(packer, json_node_get_string(node));
		break;
	}
}

static void pack_node(msgpack_packer *packer, JsonNode *node)
{
	switch (json_node_get_node_type(node)) {
	case JSON_NODE_OBJECT:
		msgpack_pack_map(packer, json_object_get_size(
						 json_node_get_object(node)));
		json_object_foreach_member(json_node_get_object(node),
					   pack_member, packer);
		break;
	case JSON_NODE_ARRAY:
		msgpack_pack_array(packer, json_array_get_length(
						   json_node_get_array(node)));
		json_array_foreach_element(json_node_get_array(node),
					   pack_element, packer);
		break;
	case JSON_NODE_VALUE:
		pack_value(packer, node);
		break;
	case JSON_NODE_NULL:
		msgpack_pack_nil(packer);
		break;
	}
}

GBytes *platform_body_pack(const char *text, gsize length)
{
	JsonParser *parser = json_parser_new();
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	GBytes *bytes = NULL;

	if (json_parser_load_from_data(parser, text, (gssize)length, NULL) &&
	    json_parser_get_root(parser)) {
		msgpack_sbuffer_init(&buffer);
		msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
		pack_node(&packer, json_parser_get_root(parser));
		bytes = g_bytes_new(buffer.data, buffer.size);
		msgpack_sbuffer_destroy(&buffer);
	}
	g_object_unref(parser);
	return bytes ? bytes : g_bytes_new(text, length);
}

static JsonNode *json_from_object(const msgpack_object *value);

static JsonNode *json_from_map(const msgpack_object_map *map)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_init_object(json_node_alloc(), object);

	json_object_unref(object);
	for (guint i = 0; i < map->size; i++) {
		const msgpack_object_str *key = &map->ptr[i].key.via.str;
		char *name = g_strndup(key->ptr, key->size);

		json_object_set_member(object, name,
				       json_from_object(&map->ptr[i].val));
		g_free(name);
	}
	return node;
}

static JsonNode *json_from_array(const msgpack_object_array *list)
{
	JsonArray *array = json_array_new();
	JsonNode *node = json_node_init_array(json_node_alloc(), array);

	json_array_unref(array);
	for (guint i = 0; i < list->size; i++)
		json_array_add_element(array, json_from_object(&list->ptr[i]));
	return node;
}

static JsonNode *json_from_object(const msgpack_object *value)
{
	JsonNode *node;
	char *text;

	switch (value->type) {
	case MSGPACK_OBJECT_MAP:
		return json_from_map(&value->via.map);
	case MSGPACK_OBJECT_ARRAY:
		return json_from_array(&value->via.array);
	case MSGPACK_OBJECT_BOOLEAN:
		return json_node_init_boolean(json_node_alloc(),
					      value->via.boolean);
	case MSGPACK_OBJECT_POSITIVE_INTEGER:
	case MSGPACK_OBJECT_NEGATIVE_INTEGER:
		return json_node_init_int(json_node_alloc(), value->via.i64);
	case MSGPACK_OBJECT_FLOAT32:
	case MSGPACK_OBJECT_FLOAT64:
		return json_node_init_double(json_node_alloc(), value->via.f64);
	case MSGPACK_OBJECT_STR:
		text = g_strndup(value->via.str.ptr, value->via.str.size);
		node = json_node_init_string(json_node_alloc(), text);
		g_free(text);
		return node;
	default:
		return json_node_init_null(json_node_alloc());
	}
}

char *platform_body_text(const void *data, gsize length)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	char *text = NULL;

	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, length, &offset) ==
	    MSGPACK_UNPACK_SUCCESS) {
		JsonNode *node = json_from_object(&unpacked.data);

		text = json_to_string(node, FALSE);
		json_node_unref(node);
	}
	msgpack_unpacked_destroy(&unpacked);
	return text;
}

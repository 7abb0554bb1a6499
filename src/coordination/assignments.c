/*
 * The assignment object: its lines, and its JSON in the store.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/ownership.h>

#include <json-glib/json-glib.h>
#include <string.h>

#define STEP "read assignments"

struct aubi_assignments *aubi_assignments_new(void)
{
	struct aubi_assignments *assignments;

	assignments = g_new0(struct aubi_assignments, 1);
	assignments->lines = g_ptr_array_new_with_free_func(
		(GDestroyNotify)aub_assignment_free);
	return assignments;
}

void aubi_assignments_free(struct aubi_assignments *assignments)
{
	if (!assignments)
		return;
	g_ptr_array_unref(assignments->lines);
	g_free(assignments);
}

const struct aub_assignment *aubi_assignments_find(
	const struct aubi_assignments *assignments, const char *service)
{
	guint i;

	for (i = 0; i < assignments->lines->len; i++) {
		const struct aub_assignment *line =
			assignments->lines->pdata[i];

		if (!strcmp(line->service, service))
			return line;
	}
	return NULL;
}

static const char *text_of(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || json_node_get_value_type(node) != G_TYPE_STRING)
		return "";
	return json_node_get_string(node);
}

static guint64 number_of(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || json_node_get_value_type(node) != G_TYPE_INT64)
		return 0;
	return (guint64)json_node_get_int(node);
}

static struct aub_assignment *parse_line(JsonObject *object)
{
	struct aub_assignment *line = aub_assignment_new();

	aub_string_set(&line->service, text_of(object, "service"));
	aub_string_set(&line->owner, text_of(object, "owner"));
	aub_string_set(&line->standby, text_of(object, "standby"));
	line->owner_incarnation = number_of(object, "owner_incarnation");
	line->standby_incarnation = number_of(object, "standby_incarnation");
	line->epoch = number_of(object, "epoch");
	return line;
}

static JsonArray *lines_of(JsonParser *parser)
{
	JsonNode *root = json_parser_get_root(parser);
	JsonNode *node;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return NULL;
	node = json_object_get_member(json_node_get_object(root),
				      "assignments");
	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return NULL;
	return json_node_get_array(node);
}

struct aubi_assignments *aubi_assignments_parse(const char *json, gsize length,
						guint64 version, GError **error)
{
	struct aubi_assignments *assignments = NULL;
	JsonParser *parser = json_parser_new();
	JsonArray *lines;
	guint i;

	if (!json_parser_load_from_data(parser, json, (gssize)length, NULL)) {
		aub_error_set(error, AUB_ERROR_INVALID, STEP, NULL, "not JSON");
		goto out;
	}
	lines = lines_of(parser);
	if (!lines) {
		aub_error_set(error, AUB_ERROR_INVALID, STEP, NULL,
			      "no list of assignments");
		goto out;
	}
	assignments = aubi_assignments_new();
	assignments->epoch = version;
	for (i = 0; i < json_array_get_length(lines); i++) {
		JsonNode *node = json_array_get_element(lines, i);

		if (JSON_NODE_HOLDS_OBJECT(node))
			g_ptr_array_add(assignments->lines,
					parse_line(json_node_get_object(node)));
	}
out:
	g_object_unref(parser);
	return assignments;
}

static void build_line(JsonBuilder *builder, const struct aub_assignment *line)
{
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "service");
	json_builder_add_string_value(builder, line->service);
	json_builder_set_member_name(builder, "owner");
	json_builder_add_string_value(builder, line->owner);
	json_builder_set_member_name(builder, "owner_incarnation");
	json_builder_add_int_value(builder, (gint64)line->owner_incarnation);
	json_builder_set_member_name(builder, "standby");
	json_builder_add_string_value(builder, line->standby);
	json_builder_set_member_name(builder, "standby_incarnation");
	json_builder_add_int_value(builder, (gint64)line->standby_incarnation);
	json_builder_set_member_name(builder, "epoch");
	json_builder_add_int_value(builder, (gint64)line->epoch);
	json_builder_end_object(builder);
}

char *aubi_assignments_serialize(const struct aubi_assignments *assignments,
				 const char *change)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *json;
	guint i;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "change");
	json_builder_add_string_value(builder, change);
	json_builder_set_member_name(builder, "assignments");
	json_builder_begin_array(builder);
	for (i = 0; i < assignments->lines->len; i++)
		build_line(builder, assignments->lines->pdata[i]);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	json = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	return json;
}

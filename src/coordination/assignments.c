/*
 * The assignment object: its lines, and its JSON in the store.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/json.h>
#include <auburnstile/internal/ownership.h>

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
	const char *text = aub_json_string(object, name);

	return text ? text : "";
}

static guint64 number_of(JsonObject *object, const char *name)
{
	return (guint64)aub_json_integer(object, name);
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

struct aubi_assignments *aubi_assignments_parse(const char *json, gsize length,
						guint64 version, GError **error)
{
	struct aubi_assignments *assignments = NULL;
	JsonObject *root = aub_json_parse(json, length, STEP, NULL, error);
	JsonArray *lines;
	guint i;

	if (!root)
		return NULL;
	lines = aub_json_array(root, "assignments");
	if (!lines) {
		aub_error_set(error, AUB_ERROR_INVALID, STEP, NULL,
			      "no list of assignments");
		goto out;
	}
	assignments = aubi_assignments_new();
	assignments->epoch = version;
	for (i = 0; i < json_array_get_length(lines); i++) {
		JsonObject *line = aub_json_element(lines, i);

		if (line)
			g_ptr_array_add(assignments->lines, parse_line(line));
	}
out:
	json_object_unref(root);
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

/* The assignments object and its JSON representation in the store. */
#include <auburnstile/error.h>
#include <auburnstile/internal/json.h>
#include <auburnstile/internal/ownership.h>

#include <string.h>

#define ERROR_STEP "read assignments"

struct aubi_assignments *aubi_assignments_new(void)
{
	struct aubi_assignments *assignments;

	assignments = g_new0(struct aubi_assignments, 1);
	assignments->list = g_ptr_array_new_with_free_func(
		(GDestroyNotify)aub_assignment_free);
	return assignments;
}

void aubi_assignments_free(struct aubi_assignments *assignments)
{
	if (!assignments)
		return;
	g_ptr_array_unref(assignments->list);
	g_free(assignments);
}

const struct aub_assignment *aubi_assignments_find(
	const struct aubi_assignments *assignments, const char *service)
{
	guint i;

	for (i = 0; i < assignments->list->len; i++) {
		const struct aub_assignment *assignment =
			assignments->list->pdata[i];

		if (!strcmp(assignment->service, service))
			return assignment;
	}
	return NULL;
}

static const char *string_member(JsonObject *object, const char *name)
{
	const char *text = aub_json_string(object, name);

	return text ? text : "";
}

static guint64 integer_member(JsonObject *object, const char *name)
{
	return (guint64)aub_json_integer(object, name);
}

static struct aub_assignment *parse_assignment(JsonObject *object)
{
	struct aub_assignment *assignment = aub_assignment_new();

	aub_string_set(&assignment->service, string_member(object, "service"));
	aub_string_set(&assignment->owner, string_member(object, "owner"));
	aub_string_set(&assignment->standby, string_member(object, "standby"));
	assignment->owner_incarnation =
		integer_member(object, "owner_incarnation");
	assignment->standby_incarnation =
		integer_member(object, "standby_incarnation");
	assignment->epoch = integer_member(object, "epoch");
	return assignment;
}

struct aubi_assignments *aubi_assignments_parse(const char *json, gsize length,
						guint64 version, GError **error)
{
	struct aubi_assignments *assignments = NULL;
	JsonObject *root =
		aub_json_parse(json, length, ERROR_STEP, NULL, error);
	JsonArray *list;
	guint i;

	if (!root)
		return NULL;
	list = aub_json_array(root, "assignments");
	if (!list) {
		aub_error_set(error, AUB_ERROR_INVALID, ERROR_STEP, NULL,
			      "no list of assignments");
		goto out;
	}
	assignments = aubi_assignments_new();
	assignments->epoch = version;
	for (i = 0; i < json_array_get_length(list); i++) {
		JsonObject *assignment = aub_json_element(list, i);

		if (assignment)
			g_ptr_array_add(assignments->list,
					parse_assignment(assignment));
	}
out:
	json_object_unref(root);
	return assignments;
}

static void build_assignment(JsonBuilder *builder,
			     const struct aub_assignment *assignment)
{
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "service");
	json_builder_add_string_value(builder, assignment->service);
	json_builder_set_member_name(builder, "owner");
	json_builder_add_string_value(builder, assignment->owner);
	json_builder_set_member_name(builder, "owner_incarnation");
	json_builder_add_int_value(builder,
				   (gint64)assignment->owner_incarnation);
	json_builder_set_member_name(builder, "standby");
	json_builder_add_string_value(builder, assignment->standby);
	json_builder_set_member_name(builder, "standby_incarnation");
	json_builder_add_int_value(builder,
				   (gint64)assignment->standby_incarnation);
	json_builder_set_member_name(builder, "epoch");
	json_builder_add_int_value(builder, (gint64)assignment->epoch);
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
	for (i = 0; i < assignments->list->len; i++)
		build_assignment(builder, assignments->list->pdata[i]);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	json = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	return json;
}

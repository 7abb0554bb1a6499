/* Serialises the state of a dispatcher as JSON, for operators. */
#include <auburnstile/internal/dispatch_status.h>

#define STATUS_UPSTREAMS_MAX 1024 /* upstreams shown per service */

static const char *const role_names[] = {
	[AUB_DISPATCH_NONE] = "none",
	[AUB_DISPATCH_STANDBY] = "standby",
	[AUB_DISPATCH_OWNER] = "owner",
};

JsonBuilder *aub_dispatch_status_begin(void)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "services");
	json_builder_begin_array(builder);
	return builder;
}

char *aub_dispatch_status_end(JsonBuilder *builder)
{
	JsonNode *root;
	char *json;

	json_builder_end_array(builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	json = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	return json;
}

static void set_integer(JsonBuilder *builder, const char *name, gint64 value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

static void set_boolean(JsonBuilder *builder, const char *name, bool value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, value);
}

static void set_string(JsonBuilder *builder, const char *name,
		       const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

static void build_upstream(JsonBuilder *builder,
			   const struct aub_upstream_status *status)
{
	json_builder_begin_object(builder);
	set_string(builder, "upstream", status->name);
	set_integer(builder, "in_flight", status->in_flight);
	set_integer(builder, "allowed", status->allowed);
	set_boolean(builder, "cold", status->cold);
	set_boolean(builder, "suspect", status->suspect);
	set_boolean(builder, "draining", status->draining);
	set_integer(builder, "sent", (gint64)status->sent);
	set_integer(builder, "answered", (gint64)status->answered);
	set_integer(builder, "lost", (gint64)status->lost);
	set_integer(builder, "probes", (gint64)status->probes);
	set_integer(builder, "mean_us", status->mean_us);
	json_builder_end_object(builder);
}

void aub_dispatch_status_build(JsonBuilder *builder, const char *service,
			       enum aub_dispatch_role role,
			       const struct aub_dispatcher *dispatcher)
{
	struct aub_upstream_status *list;
	guint count;

	list = g_new0(struct aub_upstream_status, STATUS_UPSTREAMS_MAX);
	count = aub_dispatcher_status(dispatcher, list, STATUS_UPSTREAMS_MAX);
	json_builder_begin_object(builder);
	set_string(builder, "service", service);
	set_string(builder, "role", role_names[role]);
	set_integer(builder, "queued", aub_dispatcher_queued(dispatcher));
	json_builder_set_member_name(builder, "upstreams");
	json_builder_begin_array(builder);
	for (guint i = 0; i < MIN(count, STATUS_UPSTREAMS_MAX); i++)
		build_upstream(builder, &list[i]);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	g_free(list);
}

/* Admin handlers that report the control's state to operators. */
#include <auburnstile/error.h>
#include <auburnstile/internal/control_json.h>
#include <auburnstile/internal/json.h>

#include <string.h>

static bool is_counted(const struct aub_member *member)
{
	return member->state != AUB_MEMBER_STOPPED;
}

static bool is_required(const struct aub_member *member)
{
	return member->incarnation && (member->state == AUB_MEMBER_LIVE ||
				       member->state == AUB_MEMBER_LEAVING);
}

void aubi_json_set_config(JsonObject *object, const char *name,
			  const struct aub_config *config)
{
	JsonObject *parsed;
	char *json;

	if (!config) {
		json_object_set_null_member(object, name);
		return;
	}
	json = aub_config_serialize(config);
	parsed = aub_json_parse(json, strlen(json), "show configuration", NULL,
				NULL);
	if (parsed)
		json_object_set_object_member(object, name, parsed);
	else
		json_object_set_null_member(object, name);
	g_free(json);
}

JsonArray *aubi_json_config_activation(const struct aubi_control *control,
				       guint64 version, gint64 now_us)
{
	GPtrArray *members = aubi_membership_list(control->membership, now_us);
	JsonArray *list = json_array_new();
	guint i;

	for (i = 0; i < members->len; i++) {
		const struct aub_member *member = members->pdata[i];
		JsonObject *object;

		if (!is_counted(member))
			continue;
		object = json_object_new();
		json_object_set_string_member(object, "member", member->name);
		json_object_set_int_member(object, "version",
					   (gint64)member->config_version);
		json_object_set_string_member(
			object, "state",
			member->incarnation ||
					member->state != AUB_MEMBER_LIVE ?
				aub_member_state_name(member->state) :
				"no entry");
		json_object_set_boolean_member(object, "in_force",
					       member->config_version >=
						       version);
		json_array_add_object_element(list, object);
	}
	g_ptr_array_unref(members);
	return list;
}

bool aubi_config_active_everywhere(const struct aubi_control *control,
				   guint64 version, gint64 now_us)
{
	GPtrArray *members = aubi_membership_list(control->membership, now_us);
	bool everywhere = true;
	guint i;

	for (i = 0; i < members->len; i++) {
		const struct aub_member *member = members->pdata[i];

		if (is_required(member) && member->config_version < version)
			everywhere = false;
	}
	g_ptr_array_unref(members);
	return everywhere;
}

static void on_config(struct aub_admin_request *request, void *context)
{
	const struct aubi_control *control = context;
	JsonObject *answer = json_object_new();

	json_object_set_int_member(answer, "version",
				   (gint64)control->agreement.config_version);
	aubi_json_set_config(answer, "config",
			     aubi_config_history_current(control->history));
	aub_admin_respond(request, 200, aub_json_print(answer));
}

static void on_config_activation(struct aub_admin_request *request,
				 void *context)
{
	const struct aubi_control *control = context;
	const char *text = aub_admin_query(request, "version");
	gint64 now_us = aub_timer_now(control->timers);
	JsonObject *answer = json_object_new();
	guint64 version = control->agreement.config_version;

	if (text)
		version = g_ascii_strtoull(text, NULL, 10);
	json_object_set_int_member(answer, "version", (gint64)version);
	json_object_set_boolean_member(answer, "everywhere",
				       aubi_config_active_everywhere(control,
								     version,
								     now_us));
	json_object_set_array_member(answer, "members",
				     aubi_json_config_activation(control,
								 version,
								 now_us));
	aub_admin_respond(request, 200, aub_json_print(answer));
}

static JsonObject *json_member(const struct aub_member *member)
{
	JsonObject *object = json_object_new();
	char *incarnation;

	incarnation =
		g_strdup_printf("%" G_GINT64_MODIFIER "x", member->incarnation);
	json_object_set_string_member(object, "name", member->name);
	json_object_set_string_member(object, "zone", member->zone);
	json_object_set_string_member(object, "state",
				      aub_member_state_name(member->state));
	json_object_set_string_member(object, "incarnation", incarnation);
	json_object_set_string_member(object, "callers",
				      member->callers_address);
	json_object_set_string_member(object, "inner", member->inner_address);
	json_object_set_string_member(object, "control",
				      member->control_address);
	json_object_set_string_member(object, "entry_admin",
				      member->entry_admin);
	json_object_set_string_member(object, "control_admin",
				      member->control_admin);
	json_object_set_int_member(object, "age_ms", member->age_ms);
	json_object_set_int_member(object, "config_version",
				   (gint64)member->config_version);
	json_object_set_int_member(object, "load_permille",
				   member->load_permille);
	g_free(incarnation);
	return object;
}

static JsonArray *json_members(const struct aubi_control *control,
			       gint64 now_us)
{
	GPtrArray *members = aubi_membership_list(control->membership, now_us);
	JsonArray *list = json_array_new();
	guint i;

	for (i = 0; i < members->len; i++)
		json_array_add_object_element(list,
					      json_member(members->pdata[i]));
	g_ptr_array_unref(members);
	return list;
}

static JsonArray *json_assignments(const struct aubi_control *control)
{
	const GPtrArray *assignments = control->assignments->list;
	JsonArray *list = json_array_new();
	guint i;

	for (i = 0; i < assignments->len; i++) {
		const struct aub_assignment *assignment = assignments->pdata[i];
		JsonObject *object = json_object_new();

		json_object_set_string_member(object, "service",
					      assignment->service);
		json_object_set_string_member(object, "owner",
					      assignment->owner);
		json_object_set_string_member(object, "standby",
					      assignment->standby);
		json_object_set_int_member(object, "epoch",
					   (gint64)assignment->epoch);
		json_array_add_object_element(list, object);
	}
	return list;
}

static JsonArray *json_zones(const struct aubi_control *control)
{
	const struct aub_inventory *inventory = control->inventory;
	JsonArray *list = json_array_new();
	guint i;

	for (i = 0; inventory && i < inventory->zones->len; i++) {
		const struct aub_zone *zone = aub_zone_at(inventory, i);
		JsonObject *object = json_object_new();

		json_object_set_string_member(object, "name", zone->name);
		json_object_set_string_member(object, "region",
					      zone->region ? zone->region : "");
		json_object_set_boolean_member(object, "out", zone->out);
		json_array_add_object_element(list, object);
	}
	return list;
}

static void on_status(struct aub_admin_request *request, void *context)
{
	const struct aubi_control *control = context;
	gint64 now_us = aub_timer_now(control->timers);
	JsonObject *answer = json_object_new();
	gint64 fresh_us =
		aubi_agreement_config_age_us(&control->agreement, now_us);
	gint64 serve_us =
		aubi_agreement_serve_lease_us(&control->agreement,
					      control->membership, now_us);

	json_object_set_string_member(answer, "member",
				      control->settings->name);
	json_object_set_int_member(answer, "config_version",
				   (gint64)control->agreement.config_version);
	json_object_set_int_member(answer, "epoch",
				   (gint64)control->agreement.epoch);
	json_object_set_boolean_member(answer, "store_reachable",
				       control->store_reachable);
	json_object_set_int_member(answer, "fresh_ms",
				   fresh_us == AUBI_AGE_UNKNOWN_US ?
					   -1 :
					   fresh_us / 1000);
	json_object_set_boolean_member(answer, "serve", serve_us > 0);
	json_object_set_boolean_member(
		answer, "accepts",
		aubi_agreement_can_accept_changes(control->membership, now_us));
	json_object_set_array_member(answer, "members",
				     json_members(control, now_us));
	json_object_set_array_member(answer, "assignments",
				     json_assignments(control));
	json_object_set_array_member(answer, "zones", json_zones(control));
	aub_admin_respond(request, 200, aub_json_print(answer));
}

void aubi_admin_install(struct aubi_control *control)
{
	aub_admin_handle(control->admin, "GET", "/v1/config", on_config,
			 control);
	aub_admin_handle(control->admin, "GET", "/v1/in-force",
			 on_config_activation, control);
	aub_admin_handle(control->admin, "GET", "/v1/status", on_status,
			 control);
	aubi_config_changes_install(control->changes);
}

/* Requests to a fleet's processes: admin API, faults, and the oracle. */
#include "fleet/fleet.h"

#include "common/tool.h"

#include <auburnstile/error.h>
#include <gio/gio.h>
#include <stdlib.h>
#include <string.h>

#define ADMIN_TIMEOUT_MS 15000
#define FAULT_TIMEOUT_MS 5000
#define APPLY_RETRY_INTERVAL_MS 200
#define OWNER_POLL_INTERVAL_MS 50

static void on_ctl_setup(gpointer data)
{
	child_setup();
}

struct ctl_result {
	char *output;
	GError *error;
	bool ok;
	bool done;
};

static void on_ctl_done(GObject *source, GAsyncResult *result, gpointer data)
{
	struct ctl_result *completion = data;

	completion->ok =
		g_subprocess_communicate_utf8_finish(G_SUBPROCESS(source),
						     result,
						     &completion->output, NULL,
						     &completion->error);
	completion->done = true;
}

/* Runs the main loop meanwhile, so that a load in progress continues. */
static char *wait_output(GSubprocess *process, int *status, GError **error)
{
	struct ctl_result completion = { 0 };

	g_subprocess_communicate_utf8_async(process, NULL, NULL, on_ctl_done,
					    &completion);
	while (!completion.done)
		g_main_context_iteration(NULL, TRUE);
	if (!completion.ok)
		g_propagate_error(error, completion.error);
	else if (g_subprocess_get_if_exited(process))
		*status = g_subprocess_get_exit_status(process);
	return completion.output;
}

char *fleet_ctl(struct fleet *fleet, const struct fleet_member *member,
		const char *const *arguments, int *status, GError **error)
{
	GPtrArray *command = g_ptr_array_new_with_free_func(g_free);
	GSubprocessLauncher *launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE |
					  G_SUBPROCESS_FLAGS_STDERR_MERGE);
	GSubprocess *process;
	char *output = NULL;

	g_subprocess_launcher_set_child_setup(launcher, on_ctl_setup, NULL,
					      NULL);
	g_ptr_array_add(command, child_program_path("auburnstilectl"));
	g_ptr_array_add(command,
			g_strdup_printf("--control=%s", member->control_admin));
	g_ptr_array_add(command,
			g_strdup_printf("--token-file=%s", fleet->token_file));
	while (*arguments)
		g_ptr_array_add(command, g_strdup(*arguments++));
	g_ptr_array_add(command, NULL);
	process = g_subprocess_launcher_spawnv(
		launcher, (const char *const *)command->pdata, error);
	*status = -1;
	if (process)
		output = wait_output(process, status, error);
	g_clear_object(&process);
	g_object_unref(launcher);
	g_ptr_array_unref(command);
	return output;
}

static JsonNode *parse_json(const char *text, const char *peer, GError **error)
{
	GError *cause = NULL;
	JsonNode *root = json_from_string(text, &cause);

	if (!root)
		aub_error_set(error, AUB_ERROR_INVALID, "read JSON", peer, "%s",
			      cause ? cause->message : "empty");
	g_clear_error(&cause);
	return root;
}

JsonNode *fleet_admin(struct fleet *fleet, const struct fleet_member *member,
		      const char *method, const char *path, const char *body,
		      guint *status, GError **error)
{
	char *url = g_strdup_printf("http://%s%s", member->control_admin, path);
	char *text = child_http(method, url, fleet->token, body,
				ADMIN_TIMEOUT_MS, status, error);
	JsonNode *root = text ? parse_json(text, url, error) : NULL;

	g_free(text);
	g_free(url);
	return root;
}

static char *apply_body(const char *inventory, gint64 base)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "base");
	json_builder_add_int_value(builder, base);
	json_builder_set_member_name(builder, "inventory");
	json_builder_add_string_value(builder, inventory);
	json_builder_set_member_name(builder, "author");
	json_builder_add_string_value(builder, "fleet");
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	return text;
}

static gint64 current_version(struct fleet *fleet,
			      const struct fleet_member *member)
{
	JsonNode *root = fleet_admin(fleet, member, "GET", "/v1/config", NULL,
				     NULL, NULL);
	gint64 version = 0;

	if (root && JSON_NODE_HOLDS_OBJECT(root))
		version = json_object_get_int_member_with_default(
			json_node_get_object(root), "version", 0);
	if (root)
		json_node_unref(root);
	return version;
}

bool fleet_apply(struct fleet *fleet, const struct fleet_member *member,
		 const char *inventory, GError **error)
{
	char *body = apply_body(inventory, current_version(fleet, member));
	guint status = 0;
	JsonNode *root = fleet_admin(fleet, member, "POST", "/v1/config/apply",
				     body, &status, error);
	char *text;

	g_free(body);
	if (!root)
		return false;
	if (status != 200) {
		text = json_to_string(root, FALSE);
		aub_error_set(error, AUB_ERROR_REFUSED, "apply", member->name,
			      "status %u: %s", status, text);
		g_free(text);
	}
	json_node_unref(root);
	return status == 200;
}

bool fleet_apply_with_retry(struct fleet *fleet, const char *inventory,
			    guint timeout_ms, GError **error)
{
	gint64 deadline_us = g_get_monotonic_time() + timeout_ms * (gint64)1000;
	GError *cause = NULL;

	while (!fleet_apply(fleet, fleet_member(fleet, 0), inventory, &cause)) {
		if (g_get_monotonic_time() > deadline_us) {
			g_propagate_error(error, cause);
			return false;
		}
		g_clear_error(&cause);
		fleet_run_main_loop_ms(APPLY_RETRY_INTERVAL_MS);
	}
	return true;
}

static const char *find_owner(JsonNode *status, const char *service)
{
	JsonArray *list = NULL;
	JsonObject *row;
	guint i;

	if (JSON_NODE_HOLDS_OBJECT(status) &&
	    json_object_has_member(json_node_get_object(status), "assignments"))
		list = json_object_get_array_member(json_node_get_object(
							    status),
						    "assignments");
	for (i = 0; list && i < json_array_get_length(list); i++) {
		row = json_array_get_object_element(list, i);
		if (!strcmp(tool_json_string(row, "service", ""), service))
			return tool_json_string(row, "owner", NULL);
	}
	return NULL;
}

struct fleet_member *fleet_owner(struct fleet *fleet, const char *service)
{
	struct fleet_member *found = NULL;
	struct fleet_member *member;
	const char *owner = NULL;
	JsonNode *status = NULL;
	guint i;

	for (i = 0; !status && i < fleet->members->len; i++) {
		member = fleet_member(fleet, i);
		if (member->control)
			status = fleet_admin(fleet, member, "GET", "/v1/status",
					     NULL, NULL, NULL);
	}
	if (status)
		owner = find_owner(status, service);
	for (i = 0; owner && i < fleet->members->len; i++) {
		member = fleet_member(fleet, i);
		if (!strcmp(member->name, owner))
			found = member;
	}
	if (status)
		json_node_unref(status);
	return found;
}

bool fleet_wait_owners(struct fleet *fleet, guint timeout_ms, GError **error)
{
	gint64 deadline_us = g_get_monotonic_time() + timeout_ms * (gint64)1000;
	const char *service;
	guint i;

	for (i = 0; i < fleet->inventory->services->len; i++) {
		service = aub_service_at(fleet->inventory, i)->name;
		while (!fleet_owner(fleet, service)) {
			if (g_get_monotonic_time() > deadline_us) {
				aub_error_set(error, AUB_ERROR_TIMEOUT,
					      "wait for an owner", service,
					      "none in %u ms", timeout_ms);
				return false;
			}
			fleet_run_main_loop_ms(OWNER_POLL_INTERVAL_MS);
		}
	}
	return true;
}

static bool post_fault(const struct child *child, const char *json)
{
	char *url = g_strdup_printf("http://%s/fault", child->address);
	guint status = 0;

	g_free(child_http("POST", url, NULL, json, FAULT_TIMEOUT_MS, &status,
			  NULL));
	g_free(url);
	return status == 200;
}

bool fleet_store_fault(struct fleet *fleet, const char *json)
{
	return post_fault(fleet->store, json);
}

bool fleet_upstream_fault(struct fleet *fleet, const char *json)
{
	return post_fault(fleet->upstreams, json);
}

bool fleet_proxy_fault(struct fleet *fleet, const char *json)
{
	return post_fault(fleet->proxy, json);
}

/* Posts the fault with a "port" member inserted at the front of its object. */
static bool post_fault_to_port(const struct child *child, guint16 port,
			       const char *json)
{
	char *text = g_strdup_printf("{\"port\":%u,%s", port, json + 1);
	bool ok = post_fault(child, text);

	g_free(text);
	return ok;
}

bool fleet_single_upstream_fault(struct fleet *fleet, guint16 upstream,
				 const char *json)
{
	return post_fault_to_port(fleet->upstreams,
				  g_array_index(fleet->upstream_ports, guint16,
						upstream),
				  json);
}

bool fleet_single_proxy_fault(struct fleet *fleet, guint16 upstream,
			      const char *json)
{
	return post_fault_to_port(
		fleet->proxy, aub_upstream_at(fleet->inventory, upstream)->port,
		json);
}

bool fleet_callers_proxy_fault(struct fleet *fleet,
			       const struct fleet_member *member,
			       const char *json)
{
	const char *colon = strrchr(member->callers_proxy, ':');

	return post_fault_to_port(fleet->proxy, strtoul(colon + 1, NULL, 10),
				  json);
}

const char *fleet_connect_address(const char *address, void *context)
{
	struct fleet *fleet = context;
	struct fleet_member *member;
	guint i;

	for (i = 0; i < fleet->members->len; i++) {
		member = fleet_member(fleet, i);
		if (!strcmp(member->callers, address))
			return member->callers_proxy;
	}
	return address;
}

JsonNode *fleet_oracle(struct fleet *fleet)
{
	char *url =
		g_strdup_printf("http://%s/oracle", fleet->upstreams->address);
	GError *error = NULL;
	char *text = child_http("GET", url, NULL, NULL, FAULT_TIMEOUT_MS, NULL,
				&error);
	JsonNode *root = text ? parse_json(text, url, &error) : NULL;

	if (!root)
		g_error("oracle: %s", error->message);
	g_free(text);
	g_free(url);
	return root;
}

JsonObject *fleet_oracle_upstream(JsonNode *oracle, const struct fleet *fleet,
				  guint16 upstream)
{
	/* The stand-in lists its upstreams in the order of its command line. */
	JsonArray *list =
		json_object_get_array_member(json_node_get_object(oracle),
					     "upstreams");

	g_assert(upstream < json_array_get_length(list));
	return json_array_get_object_element(list, upstream);
}

const char **fleet_entry_addresses(const struct fleet *fleet)
{
	const char **entries = g_new0(const char *, fleet->members->len + 1);
	guint i;

	for (i = 0; i < fleet->members->len; i++)
		entries[i] = fleet_member(fleet, i)->callers;
	return entries;
}

/*
 * Converts TOML to an inventory, by one table of fields per kind of item. The
 * fields are read in inventory_fields.c; rules that involve several items are
 * checked in inventory_check.c.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/inventory_draft.h>

#include <stddef.h>
#include <string.h>

/*
 * The store accepts one megabyte per object, and escaping as JSON may double
 * the size of the text.
 */
#define TEXT_BYTES_MAX (480u << 10)

/* A service and the defaults for its upstreams. */
struct service_draft {
	struct aub_service service;
	struct aub_upstream defaults;
};

static const struct aub_field zone_fields[] = {
	{ "name", AUB_FIELD_NAME, true, offsetof(struct aub_zone, name), 0, 0 },
	{ "region", AUB_FIELD_NAME, true, offsetof(struct aub_zone, region), 0,
	  0 },
	{ "vms", AUB_FIELD_CUSTOM, false, 0, 0, 0 },
	{ NULL, AUB_FIELD_CUSTOM, false, 0, 0, 0 },
};

static const struct aub_field vm_fields[] = {
	{ "name", AUB_FIELD_NAME, true, offsetof(struct aub_vm, name), 0, 0 },
	{ "zone", AUB_FIELD_CUSTOM, true, 0, 0, 0 },
	{ NULL, AUB_FIELD_CUSTOM, false, 0, 0, 0 },
};

#define SERVICE(member) offsetof(struct service_draft, service.member)
#define DEFAULT(member) offsetof(struct service_draft, defaults.member)
#define UPSTREAM(member) offsetof(struct aub_upstream, member)

static const struct aub_field service_fields[] = {
	{ "name", AUB_FIELD_NAME, true, SERVICE(name), 0, 0 },
	{ "path", AUB_FIELD_PATH, true, SERVICE(path), 0, 0 },
	{ "zones", AUB_FIELD_CUSTOM, false, 0, 0, 0 },
	{ "once", AUB_FIELD_CUSTOM, false, 0, 0, 0 },
	{ "upstreams", AUB_FIELD_CUSTOM, false, 0, 0, 0 },
	{ "queue_limit", AUB_FIELD_U32, false, SERVICE(queue_limit), 1,
	  100000 },
	{ "deadline_ms", AUB_FIELD_U32, false, SERVICE(deadline_ms), 1,
	  600000 },
	{ "body_limit", AUB_FIELD_U32, false, SERVICE(body_limit), 1024,
	  8 << 20 },
	{ "probe_budget_us", AUB_FIELD_U32, false, SERVICE(probe_budget_us), 0,
	  1000000 },
	{ "cold_ms", AUB_FIELD_U32, false, SERVICE(cold_ms), 0, 600000 },
	{ "hedge_percent", AUB_FIELD_U32, false, SERVICE(hedge_percent), 0,
	  20 },
	{ "slots", AUB_FIELD_U16, false, DEFAULT(slots), 1, 4096 },
	{ "connections", AUB_FIELD_U16, false, DEFAULT(connections), 1, 60000 },
	{ "cold_slots", AUB_FIELD_U16, false, DEFAULT(cold_slots), 1, 4096 },
	{ "probe_cost_us", AUB_FIELD_U32, false, DEFAULT(probe_cost_us), 1,
	  1000000 },
	{ NULL, AUB_FIELD_CUSTOM, false, 0, 0, 0 },
};

static const struct aub_field at_most_once_fields[] = {
	{ "method", AUB_FIELD_STRING, true,
	  offsetof(struct aub_at_most_once_rule, method), 0, 0 },
	{ "path", AUB_FIELD_PATH, true,
	  offsetof(struct aub_at_most_once_rule, path), 0, 0 },
	{ "key_required", AUB_FIELD_BOOLEAN, false,
	  offsetof(struct aub_at_most_once_rule, key_required), 0, 0 },
	{ NULL, AUB_FIELD_CUSTOM, false, 0, 0, 0 },
};

static const struct aub_field upstream_fields[] = {
	{ "name", AUB_FIELD_NAME, true, UPSTREAM(name), 0, 0 },
	{ "service", AUB_FIELD_CUSTOM, false, 0, 0, 0 },
	{ "vm", AUB_FIELD_CUSTOM, true, 0, 0, 0 },
	{ "address", AUB_FIELD_CUSTOM, true, 0, 0, 0 },
	{ "slots", AUB_FIELD_U16, false, UPSTREAM(slots), 1, 4096 },
	{ "connections", AUB_FIELD_U16, false, UPSTREAM(connections), 1,
	  60000 },
	{ "cold_slots", AUB_FIELD_U16, false, UPSTREAM(cold_slots), 1, 4096 },
	{ "probe_cost_us", AUB_FIELD_U32, false, UPSTREAM(probe_cost_us), 1,
	  1000000 },
	{ NULL, AUB_FIELD_CUSTOM, false, 0, 0, 0 },
};

static const struct aub_field top_fields[] = {
	{ "version", AUB_FIELD_CUSTOM, false, 0, 0, 0 },
	{ "zone", AUB_FIELD_CUSTOM, false, 0, 0, 0 },
	{ "vm", AUB_FIELD_CUSTOM, false, 0, 0, 0 },
	{ "service", AUB_FIELD_CUSTOM, false, 0, 0, 0 },
	{ "upstream", AUB_FIELD_CUSTOM, false, 0, 0, 0 },
	{ NULL, AUB_FIELD_CUSTOM, false, 0, 0, 0 },
};

static void vm_add(struct aub_inventory_draft *draft,
		   const struct aub_draft_origin *origin, char *name,
		   guint16 zone)
{
	struct aub_inventory *inventory = draft->inventory;
	struct aub_vm vm = { .name = name, .zone = zone };

	if (aub_name_register(draft, origin, inventory->vm_names, name,
			      inventory->vms->len))
		g_array_append_val(inventory->vms, vm);
	else
		g_free(name);
}

/* Reads the short form: vms = ["a1", "a2"] within a zone. */
static void zone_vms_read(struct aub_inventory_draft *draft,
			  const struct aub_draft_origin *origin, guint16 zone)
{
	const struct aub_toml_node *list = aub_toml_member(origin->node, "vms");
	const char *name;

	if (!list)
		return;
	if (aub_toml_type(list) != AUB_TOML_ARRAY) {
		aub_draft_add_type_problem(draft, origin, "vms",
					   "a list of names", list);
		return;
	}
	for (guint i = 0; i < aub_toml_size(list); i++) {
		const struct aub_toml_node *node = aub_toml_item(list, i);
		struct aub_draft_origin name_origin = { node, origin->label };

		if (!aub_toml_string(node, &name))
			aub_draft_add_type_problem(draft, origin, "vms",
						   "a list of names", node);
		else if (!aub_name_is_valid(name))
			aub_draft_add_problem(draft, &name_origin, "vms",
					      "name",
					      "\"%s\" is not a valid name",
					      name);
		else
			vm_add(draft, &name_origin, g_strdup(name), zone);
	}
}

static void zone_read(struct aub_inventory_draft *draft,
		      const struct aub_draft_origin *origin, void *context)
{
	struct aub_inventory *inventory = draft->inventory;
	struct aub_zone zone = { 0 };
	guint handle = inventory->zones->len;

	aub_fields_read(draft, origin, zone_fields, &zone);
	if (!aub_name_register(draft, origin, inventory->zone_names, zone.name,
			       handle)) {
		g_free(zone.name);
		g_free(zone.region);
		return;
	}
	g_array_append_val(inventory->zones, zone);
	zone_vms_read(draft, origin, (guint16)handle);
}

static void vm_read(struct aub_inventory_draft *draft,
		    const struct aub_draft_origin *origin, void *context)
{
	struct aub_vm vm = { 0 };

	aub_fields_read(draft, origin, vm_fields, &vm);
	vm.zone = aub_reference_resolve(draft, origin, "zone",
					aub_toml_member(origin->node, "zone"),
					draft->inventory->zone_names, "zone");
	if (vm.name)
		vm_add(draft, origin, vm.name, vm.zone);
}

static void at_most_once_rule_read(struct aub_inventory_draft *draft,
				   const struct aub_draft_origin *origin,
				   void *context)
{
	struct aub_at_most_once_rule rule = { 0 };
	GArray *rules = context;

	aub_fields_read(draft, origin, at_most_once_fields, &rule);
	if (rule.method && rule.path) {
		g_array_append_val(rules, rule);
		return;
	}
	g_free(rule.method);
	g_free(rule.path);
}

static void service_zones_read(struct aub_inventory_draft *draft,
			       const struct aub_draft_origin *origin,
			       GArray *zones)
{
	const struct aub_toml_node *list =
		aub_toml_member(origin->node, "zones");

	if (!list)
		return;
	if (aub_toml_type(list) != AUB_TOML_ARRAY || !aub_toml_size(list)) {
		aub_draft_add_problem(draft, origin, "zones", "type",
				      "must be a list of at least one zone");
		return;
	}
	for (guint i = 0; i < aub_toml_size(list); i++) {
		guint16 zone =
			aub_reference_resolve(draft, origin, "zones",
					      aub_toml_item(list, i),
					      draft->inventory->zone_names,
					      "zone");

		if (zone != AUB_NO_HANDLE)
			g_array_append_val(zones, zone);
	}
}

/* The service in whose list an upstream is read, if any. */
struct upstream_context {
	guint16 service; /* AUB_NO_HANDLE: read from its own `service` key */
	GArray *defaults; /* of struct aub_upstream, by service */
};

static void upstream_address_read(struct aub_inventory_draft *draft,
				  const struct aub_draft_origin *origin,
				  struct aub_upstream *upstream)
{
	const struct aub_toml_node *node =
		aub_toml_member(origin->node, "address");
	const char *text;

	if (!node)
		return;
	if (!aub_toml_string(node, &text))
		aub_draft_add_type_problem(draft, origin, "address",
					   "\"ip:port\"", node);
	else if (!aub_address_parse(text, &upstream->host, &upstream->port) ||
		 !upstream->port)
		aub_draft_add_problem(
			draft, origin, "address", "address",
			"\"%s\" is not \"ip:port\" with an IP number", text);
}

static guint16 upstream_service(struct aub_inventory_draft *draft,
				const struct aub_draft_origin *origin,
				const struct upstream_context *context)
{
	const struct aub_toml_node *node =
		aub_toml_member(origin->node, "service");

	if (context->service == AUB_NO_HANDLE) {
		if (!node)
			aub_draft_add_problem(draft, origin, "service",
					      "missing",
					      "required key is missing");
		return aub_reference_resolve(draft, origin, "service", node,
					     draft->inventory->service_names,
					     "service");
	}
	if (node)
		aub_draft_add_problem(draft, origin, "service", "unknown-key",
				      "not allowed in the list of a service");
	return context->service;
}

static void upstream_read(struct aub_inventory_draft *draft,
			  const struct aub_draft_origin *origin, void *data)
{
	struct aub_inventory *inventory = draft->inventory;
	const struct upstream_context *context = data;
	struct aub_draft_origin retained = { origin->node, NULL };
	struct aub_upstream upstream = { .slots = 1,
					 .connections = 1,
					 .cold_slots = 1,
					 .probe_cost_us = 1 };
	guint16 service = upstream_service(draft, origin, context);

	if (service != AUB_NO_HANDLE)
		upstream = g_array_index(context->defaults, struct aub_upstream,
					 service);
	upstream.service = service;
	aub_fields_read(draft, origin, upstream_fields, &upstream);
	upstream.vm = aub_reference_resolve(draft, origin, "vm",
					    aub_toml_member(origin->node, "vm"),
					    inventory->vm_names, "VM");
	upstream.zone = upstream.vm == AUB_NO_HANDLE ?
				AUB_NO_HANDLE :
				aub_vm_at(inventory, upstream.vm)->zone;
	upstream_address_read(draft, origin, &upstream);
	if (!aub_name_register(draft, origin, inventory->upstream_names,
			       upstream.name, inventory->upstreams->len)) {
		g_free(upstream.name);
		g_free(upstream.host);
		return;
	}
	retained.label = g_strdup(origin->label);
	g_array_append_val(inventory->upstreams, upstream);
	g_array_append_val(draft->upstreams, retained);
}

static const struct service_draft service_default = {
	.service = { .queue_limit = 256,
		     .deadline_ms = 5000,
		     .body_limit = 1 << 20,
		     .probe_budget_us = 20000,
		     .cold_ms = 10000,
		     .hedge_percent = 2 },
	.defaults = { .slots = 1,
		      .connections = 100,
		      .cold_slots = 1,
		      .probe_cost_us = 1000 },
};

static void service_read(struct aub_inventory_draft *draft,
			 const struct aub_draft_origin *origin, void *defaults)
{
	struct aub_inventory *inventory = draft->inventory;
	struct aub_draft_origin retained = { origin->node, NULL };
	struct service_draft parsed = service_default;
	char *label = g_strconcat(origin->label, ".once", NULL);

	parsed.service.at_most_once = aub_at_most_once_rules_new();
	parsed.service.zones = g_array_new(FALSE, FALSE, sizeof(guint16));
	aub_fields_read(draft, origin, service_fields, &parsed);
	aub_items_read(draft, origin, "once", label, at_most_once_rule_read,
		       parsed.service.at_most_once);
	service_zones_read(draft, origin, parsed.service.zones);
	g_free(label);
	if (!parsed.service.path)
		parsed.service.path = g_strdup("");
	if (!aub_name_register(draft, origin, inventory->service_names,
			       parsed.service.name, inventory->services->len)) {
		g_array_unref(parsed.service.at_most_once);
		g_array_unref(parsed.service.zones);
		g_free(parsed.service.name);
		g_free(parsed.service.path);
		return;
	}
	retained.label = g_strdup(origin->label);
	g_array_append_val(inventory->services, parsed.service);
	g_array_append_val((GArray *)defaults, parsed.defaults);
	g_array_append_val(draft->services, retained);
}

static void upstreams_read(struct aub_inventory_draft *draft,
			   const struct aub_draft_origin *root,
			   GArray *defaults)
{
	struct upstream_context context = { AUB_NO_HANDLE, defaults };

	for (guint i = 0; i < draft->services->len; i++) {
		context.service = (guint16)i;
		aub_items_read(draft,
			       &g_array_index(draft->services,
					      struct aub_draft_origin, i),
			       "upstreams", "upstream", upstream_read,
			       &context);
	}
	context.service = AUB_NO_HANDLE;
	aub_items_read(draft, root, "upstream", "upstream", upstream_read,
		       &context);
}

static void version_read(struct aub_inventory_draft *draft,
			 const struct aub_draft_origin *root)
{
	const struct aub_toml_node *node =
		aub_toml_member(root->node, "version");
	gint64 version;

	if (!node)
		return;
	if (!aub_toml_integer(node, &version) || version < 0)
		aub_problems_add(draft->problems, aub_toml_line(node),
				 "version", "type",
				 "must be an integer, 0 or more");
	else
		draft->inventory->base_version = (guint64)version;
}

static void draft_read(struct aub_inventory_draft *draft,
		       const struct aub_toml_node *node)
{
	char label[] = "inventory";
	struct aub_draft_origin root = { node, label };
	GArray *defaults =
		g_array_new(FALSE, FALSE, sizeof(struct aub_upstream));

	aub_fields_read(draft, &root, top_fields, draft);
	version_read(draft, &root);
	aub_items_read(draft, &root, "zone", "zone", zone_read, NULL);
	aub_items_read(draft, &root, "vm", "vm", vm_read, NULL);
	aub_items_read(draft, &root, "service", "service", service_read,
		       defaults);
	upstreams_read(draft, &root, defaults);
	g_array_unref(defaults);
}

static void origin_clear(gpointer data)
{
	struct aub_draft_origin *origin = data;

	g_free(origin->label);
}

static GArray *origins_new(void)
{
	GArray *origins =
		g_array_new(FALSE, FALSE, sizeof(struct aub_draft_origin));

	g_array_set_clear_func(origins, origin_clear);
	return origins;
}

struct aub_inventory *aub_inventory_parse(const char *text, gsize length,
					  const char *source, GError **error)
{
	struct aub_inventory_draft draft = { 0 };
	struct aub_toml *document;

	if (length > TEXT_BYTES_MAX) {
		aub_error_set(error, AUB_ERROR_INVALID, "check inventory",
			      source, "%" G_GSIZE_FORMAT " bytes, at most %u",
			      length, TEXT_BYTES_MAX);
		return NULL;
	}
	document = aub_toml_parse(text, length, source, error);
	if (!document)
		return NULL;
	draft.inventory = aub_inventory_new();
	draft.problems = aub_problems_new(source);
	draft.services = origins_new();
	draft.upstreams = origins_new();
	draft_read(&draft, aub_toml_root(document));
	aub_inventory_check(&draft);
	if (aub_problems_finish(draft.problems, "check inventory", error)) {
		g_free(draft.inventory->text);
		draft.inventory->text = g_strndup(text, length);
	} else {
		g_clear_pointer(&draft.inventory, aub_inventory_unref);
	}
	g_array_unref(draft.services);
	g_array_unref(draft.upstreams);
	aub_problems_free(draft.problems);
	aub_toml_free(document);
	return draft.inventory;
}

static bool is_version_line(const char *line, gsize length)
{
	gsize i = 0;

	while (i < length && (line[i] == ' ' || line[i] == '\t'))
		i++;
	if (length - i < strlen("version") ||
	    strncmp(line + i, "version", strlen("version")) != 0)
		return false;
	i += strlen("version");
	while (i < length && (line[i] == ' ' || line[i] == '\t'))
		i++;
	return i < length && line[i] == '=';
}

char *aub_inventory_text_set_version(const char *text, guint64 version)
{
	GString *result = g_string_new(NULL);
	bool in_header = true;

	if (version)
		g_string_append_printf(result,
				       "version = %" G_GUINT64_FORMAT "\n",
				       version);
	while (*text) {
		gsize length = strcspn(text, "\n");
		gsize line_length = length + (text[length] == '\n');

		/* The first table header ends the top-level keys. */
		in_header = in_header && *text != '[';
		if (!in_header || !is_version_line(text, length))
			g_string_append_len(result, text, (gssize)line_length);
		text += line_length;
	}
	return g_string_free(result, FALSE);
}

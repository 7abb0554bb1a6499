/*
 * The configuration object: conversion from and to JSON.
 *
 * Unknown members are ignored, so that VMs with different versions of the
 * program can read the same object during an upgrade.
 */
#include <auburnstile/config.h>
#include <auburnstile/error.h>
#include <auburnstile/internal/json.h>

#include <string.h>

static GPtrArray *name_list_new(void)
{
	return g_ptr_array_new_with_free_func(g_free);
}

static gpointer name_copy(gconstpointer name, gpointer data)
{
	return g_strdup(name);
}

struct aub_config *aub_config_new(void)
{
	struct aub_config *config = g_new0(struct aub_config, 1);

	config->change = g_strdup("");
	config->author = g_strdup("");
	config->inventory_text = g_strdup("");
	config->zones_out = name_list_new();
	config->vms_leaving = name_list_new();
	config->upstreams_leaving = name_list_new();
	config->recent_changes = name_list_new();
	return config;
}

struct aub_config *aub_config_copy(const struct aub_config *config)
{
	struct aub_config *copy = g_new0(struct aub_config, 1);

	copy->version = config->version;
	copy->change = g_strdup(config->change);
	copy->author = g_strdup(config->author);
	copy->inventory_text = g_strdup(config->inventory_text);
	copy->zones_out = g_ptr_array_copy(config->zones_out, name_copy, NULL);
	copy->vms_leaving =
		g_ptr_array_copy(config->vms_leaving, name_copy, NULL);
	copy->upstreams_leaving =
		g_ptr_array_copy(config->upstreams_leaving, name_copy, NULL);
	copy->recent_changes =
		g_ptr_array_copy(config->recent_changes, name_copy, NULL);
	g_ptr_array_set_free_func(copy->recent_changes, g_free);
	g_ptr_array_set_free_func(copy->zones_out, g_free);
	g_ptr_array_set_free_func(copy->vms_leaving, g_free);
	g_ptr_array_set_free_func(copy->upstreams_leaving, g_free);
	return copy;
}

void aub_config_free(struct aub_config *config)
{
	if (!config)
		return;
	g_free(config->change);
	g_free(config->author);
	g_free(config->inventory_text);
	g_ptr_array_unref(config->zones_out);
	g_ptr_array_unref(config->vms_leaving);
	g_ptr_array_unref(config->upstreams_leaving);
	g_ptr_array_unref(config->recent_changes);
	g_free(config);
}

#define DIGEST_HEX_DIGITS 16 /* length of a stored digest */

static char *change_digest(const char *change)
{
	char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, change, -1);

	digest[DIGEST_HEX_DIGITS] = '\0';
	return digest;
}

void aub_config_set_change(struct aub_config *config, const char *change)
{
	char *copy = g_strdup(change);

	if (*config->change)
		g_ptr_array_add(config->recent_changes,
				change_digest(config->change));
	while (config->recent_changes->len > AUB_CONFIG_RECENT_CHANGES_MAX)
		g_ptr_array_remove_index(config->recent_changes, 0);
	g_free(config->change);
	config->change = copy;
}

/*
 * A request such as "zone out" may be sent twice because its first answer was
 * lost, and one of the two may be delayed. If it were applied after another
 * operator's "zone in", it would silently undo that. A repeated edit is found
 * among the recent ones and is not written again.
 */
bool aub_config_has_change(const struct aub_config *config, const char *change)
{
	bool found = strcmp(config->change, change) == 0;
	char *digest = change_digest(change);

	for (guint i = 0; i < config->recent_changes->len && !found; i++)
		found = strcmp(config->recent_changes->pdata[i], digest) == 0;
	g_free(digest);
	return found;
}

static const char step[] = "read configuration";

static bool string_read(JsonObject *object, const char *name, char **field,
			GError **error)
{
	const char *value = aub_json_string(object, name);

	if (!value) {
		aub_error_set(error, AUB_ERROR_INVALID, step, NULL,
			      "\"%s\" must be a string", name);
		return false;
	}
	g_free(*field);
	*field = g_strdup(value);
	return true;
}

/* Reads a list of names; an absent list is empty. */
static bool names_read(JsonObject *object, const char *name, GPtrArray *names,
		       GError **error)
{
	JsonArray *array = aub_json_array(object, name);

	if (!array && !json_object_has_member(object, name))
		return true;
	for (guint i = 0; array && i < json_array_get_length(array); i++) {
		JsonNode *node = json_array_get_element(array, i);

		if (!JSON_NODE_HOLDS_VALUE(node) ||
		    json_node_get_value_type(node) != G_TYPE_STRING) {
			array = NULL;
			break;
		}
		g_ptr_array_add(names, json_node_dup_string(node));
	}
	if (!array)
		aub_error_set(error, AUB_ERROR_INVALID, step, NULL,
			      "\"%s\" must be a list of strings", name);
	return array != NULL;
}

struct aub_config *aub_config_parse(const char *json, gsize length,
				    guint64 version, GError **error)
{
	JsonObject *object = aub_json_parse(json, length, step, NULL, error);
	struct aub_config *config;
	bool good;

	if (!object)
		return NULL;
	config = aub_config_new();
	config->version = version;
	good = string_read(object, "change", &config->change, error) &&
	       string_read(object, "author", &config->author, error) &&
	       string_read(object, "inventory", &config->inventory_text,
			   error) &&
	       names_read(object, "zones_out", config->zones_out, error) &&
	       names_read(object, "vms_leaving", config->vms_leaving, error) &&
	       names_read(object, "upstreams_leaving",
			  config->upstreams_leaving, error) &&
	       names_read(object, "recent_changes", config->recent_changes,
			  error);
	json_object_unref(object);
	if (!good)
		g_clear_pointer(&config, aub_config_free);
	return config;
}

static void names_write(JsonObject *object, const char *name,
			const GPtrArray *names)
{
	JsonArray *array = json_array_new();

	for (guint i = 0; i < names->len; i++)
		json_array_add_string_element(array, names->pdata[i]);
	json_object_set_array_member(object, name, array);
}

char *aub_config_serialize(const struct aub_config *config)
{
	JsonObject *object = json_object_new();

	json_object_set_string_member(object, "change", config->change);
	json_object_set_string_member(object, "author", config->author);
	json_object_set_string_member(object, "inventory",
				      config->inventory_text);
	names_write(object, "zones_out", config->zones_out);
	names_write(object, "vms_leaving", config->vms_leaving);
	names_write(object, "upstreams_leaving", config->upstreams_leaving);
	names_write(object, "recent_changes", config->recent_changes);
	return aub_json_print(object);
}

/*
 * Marks the zones, VMs and upstreams that are out or leaving. Names that are no
 * longer in the inventory are skipped: they get no requests anyway, and an
 * obsolete mark must not prevent the rest from taking effect.
 */
static void apply_drain_marks(const struct aub_config *config,
			      struct aub_inventory *inventory)
{
	guint16 handle;

	for (guint i = 0; i < config->zones_out->len; i++) {
		handle = aub_inventory_zone(inventory,
					    config->zones_out->pdata[i]);
		if (handle != AUB_NO_HANDLE)
			aub_zone_at(inventory, handle)->out = true;
	}
	for (guint i = 0; i < config->vms_leaving->len; i++) {
		handle = aub_inventory_vm(inventory,
					  config->vms_leaving->pdata[i]);
		if (handle != AUB_NO_HANDLE)
			aub_vm_at(inventory, handle)->leaving = true;
	}
	for (guint i = 0; i < config->upstreams_leaving->len; i++) {
		handle = aub_inventory_upstream(
			inventory, config->upstreams_leaving->pdata[i]);
		if (handle != AUB_NO_HANDLE)
			aub_upstream_at(inventory, handle)->leaving = true;
	}
}

struct aub_inventory *aub_config_inventory(const struct aub_config *config,
					   GError **error)
{
	struct aub_inventory *inventory;
	char *source;

	if (!*config->inventory_text)
		return aub_inventory_new();
	source = g_strdup_printf("configuration %" G_GUINT64_FORMAT,
				 config->version);
	inventory = aub_inventory_parse(config->inventory_text,
					strlen(config->inventory_text), source,
					error);
	g_free(source);
	if (!inventory)
		return NULL;
	inventory->version = config->version;
	apply_drain_marks(config, inventory);
	return inventory;
}

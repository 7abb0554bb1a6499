/* Edits of a configuration that operators request. */
#include <auburnstile/internal/control_edit.h>

#include <auburnstile/error.h>
#include <auburnstile/message.h>

#include <string.h>

#define ERROR_STEP "apply change"

static bool zone_exists(const struct aub_inventory *inventory, const char *name)
{
	return aub_inventory_zone(inventory, name) != AUB_NO_HANDLE;
}

static bool vm_exists(const struct aub_inventory *inventory, const char *name)
{
	guint i;

	for (i = 0; i < inventory->vms->len; i++) {
		if (!strcmp(aub_vm_at(inventory, i)->name, name))
			return true;
	}
	return false;
}

static bool upstream_exists(const struct aub_inventory *inventory,
			    const char *name)
{
	return aub_inventory_upstream(inventory, name) != AUB_NO_HANDLE;
}

#define LIST_OFFSET(member) offsetof(struct aub_config, member)

static const struct aubi_edit edits[] = {
	{ "zones", "out", true, LIST_OFFSET(zones_out), zone_exists },
	{ "zones", "in", false, LIST_OFFSET(zones_out), zone_exists },
	{ "vms", "leave", true, LIST_OFFSET(vms_leaving), vm_exists },
	{ "vms", "return", false, LIST_OFFSET(vms_leaving), vm_exists },
	{ "upstreams", "leave", true, LIST_OFFSET(upstreams_leaving),
	  upstream_exists },
	{ "upstreams", "return", false, LIST_OFFSET(upstreams_leaving),
	  upstream_exists },
};

static GPtrArray *list_at(const struct aub_config *config, size_t offset)
{
	return *(GPtrArray *const *)((const char *)config + offset);
}

static int list_index(const GPtrArray *list, const char *name)
{
	guint i;

	for (i = 0; i < list->len; i++) {
		if (!strcmp(list->pdata[i], name))
			return (int)i;
	}
	return -1;
}

static void remove_unknown_names(
	GPtrArray *list, const struct aub_inventory *inventory,
	bool (*exists)(const struct aub_inventory *inventory, const char *name))
{
	guint i;

	for (i = list->len; i > 0; i--) {
		if (!exists(inventory, list->pdata[i - 1]))
			g_ptr_array_remove_index(list, i - 1);
	}
}

bool aubi_edit_inventory(struct aub_config *config, const char *text,
			 GError **error)
{
	struct aub_inventory *inventory;

	inventory = aub_inventory_parse(text, strlen(text), "inventory", error);
	if (!inventory)
		return false;
	aub_string_set(&config->inventory_text, text);
	remove_unknown_names(config->zones_out, inventory, zone_exists);
	remove_unknown_names(config->vms_leaving, inventory, vm_exists);
	remove_unknown_names(config->upstreams_leaving, inventory,
			     upstream_exists);
	aub_inventory_unref(inventory);
	return true;
}

bool aubi_edit_list(const struct aubi_edit *edit, const char *name,
		    const struct aub_inventory *inventory,
		    struct aub_config *config, GError **error)
{
	GPtrArray *list = list_at(config, edit->list_offset);
	int index = list_index(list, name);

	if (!inventory || (index < 0 && !edit->exists(inventory, name))) {
		aub_error_set(error, AUB_ERROR_NOT_FOUND, ERROR_STEP, name,
			      "not in the inventory's %s", edit->kind);
		return false;
	}
	if (edit->add == (index >= 0))
		return false;
	if (edit->add)
		g_ptr_array_add(list, g_strdup(name));
	else
		g_ptr_array_remove_index(list, (guint)index);
	return true;
}

const struct aubi_edit *aubi_edit_from_path(const char *path, char **name)
{
	char **parts = g_strsplit(path, "/", -1);
	const struct aubi_edit *edit = NULL;
	gsize i;

	if (g_strv_length(parts) != 5)
		goto out;
	for (i = 0; i < G_N_ELEMENTS(edits); i++) {
		if (!strcmp(edits[i].kind, parts[2]) &&
		    !strcmp(edits[i].action, parts[4]))
			edit = &edits[i];
	}
	if (edit)
		*name = g_strdup(parts[3]);
out:
	g_strfreev(parts);
	return edit;
}

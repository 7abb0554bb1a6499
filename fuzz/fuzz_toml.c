/*
 * Fuzzes the TOML reader through its two users: a parsed inventory satisfies
 * the assumptions of its readers, and a settings file is either accepted
 * completely or rejected.
 */
#include "fuzz.h"

#include <auburnstile/inventory.h>
#include <auburnstile/settings.h>

#include <stddef.h>

struct sample {
	char *name;
	char *address;
	char **peers;
	gint64 number;
	bool flag;
};

static const struct aub_setting table[] = {
	{ .key = "name",
	  .type = AUB_SETTING_STRING,
	  .offset = offsetof(struct sample, name),
	  .required = true },
	{ .key = "inner",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = offsetof(struct sample, address) },
	{ .key = "peers",
	  .type = AUB_SETTING_STRINGS,
	  .offset = offsetof(struct sample, peers) },
	{ .key = "log.level",
	  .type = AUB_SETTING_INTEGER,
	  .offset = offsetof(struct sample, number),
	  .maximum = 100,
	  .default_value = "7" },
	{ .key = "log.json",
	  .type = AUB_SETTING_BOOLEAN,
	  .offset = offsetof(struct sample, flag) },
	{ .key = NULL },
};

static void check_settings(const char *text, gsize size)
{
	struct sample sample = { 0 };
	GError *error = NULL;
	bool good = aub_settings_parse(text, size, "fuzz.toml", table, &sample,
				       &error);

	g_assert(good == (error == NULL));
	g_assert(good == (sample.name != NULL));
	g_assert(sample.number <= 100);
	aub_settings_clear(table, &sample);
	g_clear_error(&error);
}

static void check_inventory(const struct aub_inventory *inventory)
{
	g_assert(inventory->services->len > 0);
	for (guint i = 0; i < inventory->services->len; i++) {
		const struct aub_service *service =
			aub_service_at(inventory, i);

		g_assert(aub_inventory_service(inventory, service->name) == i);
		g_assert(aub_inventory_route(inventory, service->path) == i);
		aub_service_at_most_once_rule(service, "POST", service->path);
	}
	for (guint i = 0; i < inventory->upstreams->len; i++) {
		const struct aub_upstream *upstream =
			aub_upstream_at(inventory, i);

		g_assert(upstream->service < inventory->services->len);
		g_assert(upstream->vm < inventory->vms->len);
		g_assert(upstream->zone < inventory->zones->len);
		g_assert(upstream->host && upstream->port);
		g_assert(upstream->cold_slots <= upstream->slots);
		g_assert(aub_upstream_accepts_new(inventory, (guint16)i));
	}
}

#ifdef FUZZ_REPLAY
int fuzz_toml(const guint8 *data, gsize size)
#else
int LLVMFuzzerTestOneInput(const guint8 *data, gsize size)
#endif
{
	const char *text = (const char *)data;
	struct aub_inventory *inventory;
	GError *error = NULL;

	inventory = aub_inventory_parse(size ? text : "", size, "fuzz.toml",
					&error);
	g_assert((inventory == NULL) == (error != NULL));
	if (inventory)
		check_inventory(inventory);
	aub_inventory_unref(inventory);
	g_clear_error(&error);
	check_settings(size ? text : "", size);
	return 0;
}

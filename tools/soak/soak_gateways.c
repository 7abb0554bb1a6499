/* Gateways of the soak test, which are real processes. */
#include "soak.h"

/*
 * Gateways identify each other by IP address and use the same port numbers, so
 * each has a loopback address of its own. The first two gateways are the seeds
 * of all.
 */
char *soak_gateway_address(const struct gateway *gateway, guint port)
{
	return g_strdup_printf("127.0.1.%u:%u",
			       FIRST_HOST_NUMBER + gateway->number,
			       gateway->soak->ports[port]);
}

void soak_gateway_write_settings(struct gateway *gateway)
{
	static const char *const names[GATEWAY_PORT_COUNT] = {
		"callers", "directory", "readiness", "peers", "metrics",
	};
	GString *text = g_string_new(NULL);

	g_string_append_printf(
		text,
		"name = \"g%u\"\nzone = \"z%u\"\nstore = \"%s\"\n"
		"seeds = [\"127.0.1.%u:1\",\"127.0.1.%u:1\"]\n"
		"grace_s = 3\naddress_ms = 300\nretry_percent = 20\n"
		"retry_slack = %u\nrollout_share = %s\n"
		"rollout_slack = 50\nsource_ip = \"127.0.1.%u\"\n",
		gateway->number, gateway->number % 2,
		platform_store_address(gateway->soak->store), FIRST_HOST_NUMBER,
		FIRST_HOST_NUMBER + 1, soak_retry_slack(gateway->soak),
		gateway->soak->rollout ? "0.1" : "0",
		FIRST_HOST_NUMBER + gateway->number);
	for (guint i = 0; i < GATEWAY_PORT_COUNT; i++) {
		char *address = soak_gateway_address(gateway, i);

		g_string_append_printf(text, "%s = \"%s\"\n", names[i],
				       address);
		g_free(address);
	}
	gateway->settings_file =
		g_strdup_printf("%s/g%u.toml", gateway->soak->folder,
				gateway->number);
	if (!g_file_set_contents(gateway->settings_file, text->str, -1, NULL))
		g_error("cannot write %s", gateway->settings_file);
	g_string_free(text, TRUE);
}

void soak_gateway_start(struct gateway *gateway)
{
	const char *const arguments[] = { "--settings", gateway->settings_file,
					  NULL };
	char *log = g_strdup_printf("%s/g%u.log", gateway->soak->folder,
				    gateway->number);
	GError *error = NULL;

	child_free(gateway->child);
	gateway->child = child_start_output("auburnstile-gateway", arguments,
					    log, &error);
	if (!gateway->child)
		g_error("%s", error->message);
	gateway->restart_us = 0;
	gateway->disturbed_us = soak_now(gateway->soak);
	gateway->resume_us = 0;
	g_free(log);
}

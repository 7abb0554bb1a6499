/*
 * Commands that show the state of the fleet: status and watch.
 */
#include "ctl.h"

#include <string.h>

#define WATCH_PERIOD_US 1000000

static const char *text_or_dash(JsonObject *object, const char *name)
{
	const char *text = aub_json_string(object, name);

	return text ? text : "-";
}

static void print_members(JsonObject *status)
{
	JsonArray *list = aub_json_array(status, "members");

	g_print("\n%-16s %-16s %-8s %8s %8s %6s  %s\n", "MEMBER", "ZONE",
		"STATE", "VERSION", "AGE MS", "LOAD", "CALLERS");
	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *item = aub_json_element(list, i);

		if (!item)
			continue;
		g_print("%-16s %-16s %-8s %8" G_GINT64_FORMAT
			" %8" G_GINT64_FORMAT " %5.1f%%  %s\n",
			text_or_dash(item, "name"), text_or_dash(item, "zone"),
			text_or_dash(item, "state"),
			aub_json_integer(item, "config_version"),
			aub_json_integer(item, "age_ms"),
			(double)aub_json_integer(item, "load_permille") / 10,
			text_or_dash(item, "callers"));
	}
}

static void print_assignments(JsonObject *status)
{
	JsonArray *list = aub_json_array(status, "assignments");

	g_print("\n%-24s %-16s %-16s %8s\n", "SERVICE", "OWNER", "STANDBY",
		"EPOCH");
	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *item = aub_json_element(list, i);

		if (item)
			g_print("%-24s %-16s %-16s %8" G_GINT64_FORMAT "\n",
				text_or_dash(item, "service"),
				text_or_dash(item, "owner"),
				text_or_dash(item, "standby"),
				aub_json_integer(item, "epoch"));
	}
}

static void print_zones(JsonObject *status)
{
	JsonArray *list = aub_json_array(status, "zones");

	g_print("\n%-16s %-16s %s\n", "ZONE", "REGION", "STATE");
	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *item = aub_json_element(list, i);

		if (item)
			g_print("%-16s %-16s %s\n", text_or_dash(item, "name"),
				text_or_dash(item, "region"),
				aub_json_boolean(item, "out") ? "out" : "in");
	}
}

static void print_names(const char *kind, const GPtrArray *names)
{
	for (guint i = 0; i < names->len; i++)
		g_print("%s %s is leaving\n", kind, (char *)names->pdata[i]);
}

/* Prints the VMs and upstreams that operators have taken out. */
static void print_leaving(struct ctl_options *options)
{
	int code = CTL_OK;
	JsonObject *response = ctl_get(options, "/v1/config", &code);
	struct aub_config *config;

	if (!response)
		return;
	config = ctl_config_parse(response, "config", 0);
	json_object_unref(response);
	if (!config)
		return;
	if (config->vms_leaving->len || config->upstreams_leaving->len)
		g_print("\n");
	print_names("vm", config->vms_leaving);
	print_names("upstream", config->upstreams_leaving);
	aub_config_free(config);
}

int ctl_status(struct ctl_options *options, char **args, guint count)
{
	JsonObject *status;
	int code = CTL_OK;

	if (count != 0)
		return CTL_BAD_ARGUMENTS;
	status = ctl_get(options, "/v1/status", &code);
	if (!status)
		return code;
	if (options->format == CTL_JSON) {
		ctl_print_json(status);
	} else {
		g_print("configuration %" G_GINT64_FORMAT
			", assignments %" G_GINT64_FORMAT
			", store %s, accepts requests: %s (as seen by %s)\n",
			aub_json_integer(status, "config_version"),
			aub_json_integer(status, "epoch"),
			aub_json_boolean(status, "store_reachable") ?
				"reachable" :
				"not reachable",
			aub_json_boolean(status, "serve") ? "yes" : "no",
			text_or_dash(status, "member"));
		print_zones(status);
		print_leaving(options);
		print_members(status);
		print_assignments(status);
	}
	json_object_unref(status);
	return CTL_OK;
}

/* Returns the state that `watch` compares with the previous one, as lines. */
static GPtrArray *status_lines(JsonObject *status)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	JsonArray *list = aub_json_array(status, "members");

	g_ptr_array_add(lines,
			g_strdup_printf("store %s",
					aub_json_boolean(status,
							 "store_reachable") ?
						"reachable" :
						"not reachable"));
	g_ptr_array_add(lines,
			g_strdup_printf("accepts requests: %s",
					aub_json_boolean(status, "serve") ?
						"yes" :
						"no"));
	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *item = aub_json_element(list, i);

		if (item)
			g_ptr_array_add(
				lines,
				g_strdup_printf(
					"member %s: %s, "
					"configuration "
					"%" G_GINT64_FORMAT,
					text_or_dash(item, "name"),
					text_or_dash(item, "state"),
					aub_json_integer(item,
							 "config_version")));
	}
	list = aub_json_array(status, "assignments");
	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *item = aub_json_element(list, i);

		if (item)
			g_ptr_array_add(
				lines,
				g_strdup_printf("service %s: owner %s, "
						"standby %s",
						text_or_dash(item, "service"),
						text_or_dash(item, "owner"),
						text_or_dash(item, "standby")));
	}
	return lines;
}

static bool has_line(const GPtrArray *lines, const char *line)
{
	for (guint i = 0; lines && i < lines->len; i++)
		if (strcmp(lines->pdata[i], line) == 0)
			return true;
	return false;
}

static void print_time(void)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *text = g_date_time_format(now, "%T");

	g_print("%s ", text);
	g_free(text);
	g_date_time_unref(now);
}

/*
 * Prints the differences between `*previous`, if not NULL, and the current
 * configuration, which replaces it.
 */
static void print_config_changes(struct ctl_options *options,
				 struct aub_config **previous)
{
	int code = CTL_OK;
	JsonObject *response = ctl_get(options, "/v1/config", &code);
	struct aub_config *config;
	char *text;

	if (!response)
		return;
	config = ctl_config_parse(response, "config",
				  (guint64)aub_json_integer(response,
							    "version"));
	json_object_unref(response);
	if (!config)
		return;
	text = ctl_diff_text(*previous, config);
	if (*previous) {
		char **lines = g_strsplit(text, "\n", -1);

		for (guint i = 0; lines[i]; i++) {
			if (!*lines[i])
				continue;
			print_time();
			g_print("configuration %" G_GUINT64_FORMAT
				" by %s: %s\n",
				config->version, config->author, lines[i]);
		}
		g_strfreev(lines);
	}
	g_free(text);
	aub_config_free(*previous);
	*previous = config;
}

int ctl_watch(struct ctl_options *options, char **args, guint count)
{
	struct aub_config *config = NULL;
	GPtrArray *previous_lines = NULL;
	gint64 version = -1;

	if (count != 0)
		return CTL_BAD_ARGUMENTS;
	for (;;) {
		int code = CTL_OK;
		JsonObject *status = ctl_get(options, "/v1/status", &code);
		GPtrArray *lines;

		if (!status && !previous_lines)
			return code;
		if (!status) {
			g_usleep(WATCH_PERIOD_US);
			continue;
		}
		if (aub_json_integer(status, "config_version") != version)
			print_config_changes(options, &config);
		version = aub_json_integer(status, "config_version");
		lines = status_lines(status);
		for (guint i = 0; i < lines->len; i++) {
			if (has_line(previous_lines, lines->pdata[i]))
				continue;
			print_time();
			g_print("%s\n", (char *)lines->pdata[i]);
		}
		g_clear_pointer(&previous_lines, g_ptr_array_unref);
		previous_lines = lines;
		json_object_unref(status);
		g_usleep(WATCH_PERIOD_US);
	}
}

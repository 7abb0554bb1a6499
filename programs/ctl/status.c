/*
 * Commands that look at the fleet: status and watch.
 */
#include "ctl.h"

#include <string.h>

#define WATCH_PERIOD_US 1000000

static const char *text_of(JsonObject *object, const char *name)
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
		JsonObject *it = aub_json_element(list, i);

		if (!it)
			continue;
		g_print("%-16s %-16s %-8s %8" G_GINT64_FORMAT
			" %8" G_GINT64_FORMAT " %5.1f%%  %s\n",
			text_of(it, "name"), text_of(it, "zone"),
			text_of(it, "state"),
			aub_json_integer(it, "config_version"),
			aub_json_integer(it, "age_ms"),
			(double)aub_json_integer(it, "load_permille") / 10,
			text_of(it, "callers"));
	}
}

static void print_assignments(JsonObject *status)
{
	JsonArray *list = aub_json_array(status, "assignments");

	g_print("\n%-24s %-16s %-16s %8s\n", "SERVICE", "OWNER", "STANDBY",
		"EPOCH");
	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *it = aub_json_element(list, i);

		if (it)
			g_print("%-24s %-16s %-16s %8" G_GINT64_FORMAT "\n",
				text_of(it, "service"), text_of(it, "owner"),
				text_of(it, "standby"),
				aub_json_integer(it, "epoch"));
	}
}

static void print_zones(JsonObject *status)
{
	JsonArray *list = aub_json_array(status, "zones");

	g_print("\n%-16s %-16s %s\n", "ZONE", "REGION", "STATE");
	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *it = aub_json_element(list, i);

		if (it)
			g_print("%-16s %-16s %s\n", text_of(it, "name"),
				text_of(it, "region"),
				aub_json_boolean(it, "out") ? "out" : "in");
	}
}

static void print_names(const char *kind, const GPtrArray *names)
{
	for (guint i = 0; i < names->len; i++)
		g_print("%s %s is leaving\n", kind, (char *)names->pdata[i]);
}

/* What operators have told to leave; zones are in their own table. */
static void print_leaving(struct ctl_options *options)
{
	int code = CTL_OK;
	JsonObject *answer = ctl_get(options, "/v1/config", &code);
	struct aub_config *config;

	if (!answer)
		return;
	config = ctl_config_parse(answer, "config", 0);
	json_object_unref(answer);
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
			", store %s, takes work: %s (as %s sees it)\n",
			aub_json_integer(status, "config_version"),
			aub_json_integer(status, "epoch"),
			aub_json_boolean(status, "store_reachable") ?
				"reachable" :
				"not reachable",
			aub_json_boolean(status, "serve") ? "yes" : "no",
			text_of(status, "member"));
		print_zones(status);
		print_leaving(options);
		print_members(status);
		print_assignments(status);
	}
	json_object_unref(status);
	return CTL_OK;
}

/* What `watch` compares from one look to the next, a line each. */
static GPtrArray *watch_lines(JsonObject *status)
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
			g_strdup_printf("takes work: %s",
					aub_json_boolean(status, "serve") ?
						"yes" :
						"no"));
	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *it = aub_json_element(list, i);

		if (it)
			g_ptr_array_add(
				lines,
				g_strdup_printf("member %s: %s, "
						"configuration "
						"%" G_GINT64_FORMAT,
						text_of(it, "name"),
						text_of(it, "state"),
						aub_json_integer(
							it, "config_version")));
	}
	list = aub_json_array(status, "assignments");
	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *it = aub_json_element(list, i);

		if (it)
			g_ptr_array_add(lines,
					g_strdup_printf("service %s: owner %s, "
							"stand-by %s",
							text_of(it, "service"),
							text_of(it, "owner"),
							text_of(it,
								"standby")));
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

static void print_moment(void)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *text = g_date_time_format(now, "%T");

	g_print("%s ", text);
	g_free(text);
	g_date_time_unref(now);
}

/* Print the differences that a newer configuration brought. */
static void watch_config(struct ctl_options *options, struct aub_config **held)
{
	int code = CTL_OK;
	JsonObject *answer = ctl_get(options, "/v1/config", &code);
	struct aub_config *config;
	char *text;

	if (!answer)
		return;
	config = ctl_config_parse(answer, "config",
			       (guint64)aub_json_integer(answer, "version"));
	json_object_unref(answer);
	if (!config)
		return;
	text = ctl_diff_text(*held, config);
	if (*held) {
		char **lines = g_strsplit(text, "\n", -1);

		for (guint i = 0; lines[i]; i++) {
			if (!*lines[i])
				continue;
			print_moment();
			g_print("configuration %" G_GUINT64_FORMAT
				" by %s: %s\n",
				config->version, config->author, lines[i]);
		}
		g_strfreev(lines);
	}
	g_free(text);
	aub_config_free(*held);
	*held = config;
}

int ctl_watch(struct ctl_options *options, char **args, guint count)
{
	struct aub_config *config = NULL;
	GPtrArray *before = NULL;
	gint64 version = -1;

	if (count != 0)
		return CTL_BAD_ARGUMENTS;
	for (;;) {
		int code = CTL_OK;
		JsonObject *status = ctl_get(options, "/v1/status", &code);
		GPtrArray *lines;

		if (!status && !before)
			return code;
		if (!status) {
			g_usleep(WATCH_PERIOD_US);
			continue;
		}
		if (aub_json_integer(status, "config_version") != version)
			watch_config(options, &config);
		version = aub_json_integer(status, "config_version");
		lines = watch_lines(status);
		for (guint i = 0; i < lines->len; i++) {
			if (has_line(before, lines->pdata[i]))
				continue;
			print_moment();
			g_print("%s\n", (char *)lines->pdata[i]);
		}
		g_clear_pointer(&before, g_ptr_array_unref);
		before = lines;
		json_object_unref(status);
		g_usleep(WATCH_PERIOD_US);
	}
}

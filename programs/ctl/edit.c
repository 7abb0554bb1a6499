/*
 * Commands that read configurations without changing them: check, diff and
 * show.
 */
#include "ctl.h"

#include <string.h>

static char *read_file(const char *file, gsize *length, GError **error)
{
	const char *path = strcmp(file, "-") == 0 ? "/dev/stdin" : file;
	GError *problem = NULL;
	char *text = NULL;

	if (g_file_get_contents(path, &text, length, &problem))
		return text;
	aub_error_set(error, AUB_ERROR_INVALID, "read inventory", file, "%s",
		      problem->message);
	g_error_free(problem);
	return NULL;
}

/* Prints problems as JSON. The first line of the message is their count. */
static void print_problems(const GError *error)
{
	char **lines = g_strsplit(error->message, "\n", -1);
	GString *out = g_string_new("{\"valid\":false,\"problems\":[");

	for (guint i = lines[1] ? 1 : 0; lines[i]; i++) {
		if (out->str[out->len - 1] != '[')
			g_string_append_c(out, ',');
		aub_json_append_string(out, lines[i]);
	}
	g_print("%s]}\n", out->str);
	g_string_free(out, TRUE);
	g_strfreev(lines);
}

char *ctl_read_inventory(const struct ctl_options *options, const char *file,
			 struct aub_inventory **inventory)
{
	GError *error = NULL;
	gsize length = 0;
	char *text = read_file(file, &length, &error);

	if (text)
		*inventory = aub_inventory_parse(text, length, file, &error);
	if (!error)
		return text;
	if (options->format == CTL_JSON)
		print_problems(error);
	ctl_print_error(error, 0);
	g_free(text);
	return NULL;
}

int ctl_check(struct ctl_options *options, char **args, guint count)
{
	struct aub_inventory *inventory = NULL;
	char *text;

	if (count != 1)
		return CTL_BAD_ARGUMENTS;
	text = ctl_read_inventory(options, args[0], &inventory);
	if (!text)
		return CTL_REFUSED;
	if (options->format == CTL_JSON)
		g_print("{\"valid\":true,\"zones\":%u,\"vms\":%u,"
			"\"services\":%u,\"upstreams\":%u}\n",
			inventory->zones->len, inventory->vms->len,
			inventory->services->len, inventory->upstreams->len);
	else
		g_print("%s: zones %u, VMs %u, services %u, upstreams %u; "
			"no problems\n",
			args[0], inventory->zones->len, inventory->vms->len,
			inventory->services->len, inventory->upstreams->len);
	aub_inventory_unref(inventory);
	g_free(text);
	return CTL_OK;
}

struct aub_config *ctl_config_parse(JsonObject *object, const char *name,
				    guint64 version)
{
	JsonObject *member = aub_json_object(object, name);
	struct aub_config *config;
	char *text;

	if (!member)
		return NULL;
	text = aub_json_print(json_object_ref(member));
	config = aub_config_parse(text, strlen(text), version, NULL);
	g_free(text);
	return config;
}

struct aub_config *ctl_config_with_text(const struct aub_config *config,
					const char *text)
{
	struct aub_config *edited =
		config ? aub_config_copy(config) : aub_config_new();

	g_free(edited->inventory_text);
	edited->inventory_text = aub_inventory_text_set_version(text, 0);
	return edited;
}

char *ctl_diff_text(const struct aub_config *from, const struct aub_config *to)
{
	GError *error = NULL;
	char *text = aub_config_diff(from, to, &error);

	if (text)
		return text;
	text = g_strdup_printf("can't compare: %s\n", error->message);
	g_error_free(error);
	return text;
}

static int print_diff(struct ctl_options *options,
		      const struct aub_config *from,
		      const struct aub_config *to)
{
	char *text = ctl_diff_text(from, to);
	int code = *text ? CTL_DIFFERENT : CTL_OK;

	if (options->format == CTL_JSON) {
		GString *out = g_string_new("{\"differences\":");

		aub_json_append_string(out, text);
		g_print("%s}\n", out->str);
		g_string_free(out, TRUE);
	} else {
		g_print("%s", *text ? text : "no differences\n");
	}
	g_free(text);
	return code;
}

int ctl_diff(struct ctl_options *options, char **args, guint count)
{
	struct aub_inventory *inventory = NULL;
	struct aub_config *from = NULL;
	struct aub_config *to = NULL;
	JsonObject *response = NULL;
	char *text = NULL;
	char *other = NULL;
	int code = CTL_REFUSED;

	if (count < 1 || count > 2)
		return CTL_BAD_ARGUMENTS;
	text = ctl_read_inventory(options, args[count - 1], &inventory);
	aub_inventory_unref(inventory);
	if (!text)
		return CTL_REFUSED;
	if (count == 2) {
		inventory = NULL;
		other = ctl_read_inventory(options, args[0], &inventory);
		aub_inventory_unref(inventory);
		if (!other)
			goto out;
		from = ctl_config_with_text(NULL, other);
	} else {
		response = ctl_get(options, "/v1/config", &code);
		if (!response)
			goto out;
		from = ctl_config_parse(response, "config", 0);
	}
	to = ctl_config_with_text(from, text);
	code = print_diff(options, from, to);
out:
	if (response)
		json_object_unref(response);
	aub_config_free(from);
	aub_config_free(to);
	g_free(text);
	g_free(other);
	return code;
}

int ctl_show(struct ctl_options *options, char **args, guint count)
{
	struct aub_config *config;
	JsonObject *response;
	guint64 version;
	char *text;
	int code = CTL_OK;

	if (count != 0)
		return CTL_BAD_ARGUMENTS;
	response = ctl_get(options, "/v1/config", &code);
	if (!response)
		return code;
	version = (guint64)aub_json_integer(response, "version");
	config = ctl_config_parse(response, "config", version);
	if (options->format == CTL_JSON) {
		ctl_print_json(response);
	} else if (config) {
		text = aub_inventory_text_set_version(config->inventory_text,
						      version);
		g_print("%s", text);
		g_free(text);
	} else {
		g_print("# no configuration has been applied yet\n");
	}
	aub_config_free(config);
	json_object_unref(response);
	return code;
}

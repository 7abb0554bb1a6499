/*
 * Reads settings from a TOML file according to the program's table of keys.
 *
 * All keys are validated before problems are reported. If there is any
 * problem, no setting is returned.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/problems.h>
#include <auburnstile/internal/toml_reader.h>
#include <auburnstile/settings.h>

#include <string.h>

/* Settings files are small; a larger file must be something else. */
#define SETTINGS_BYTES_MAX (256u << 10)

struct reader {
	const struct aub_setting *table;
	struct aub_problems *problems;
	const char *section; /* "" at top level, else "section." */
	guint8 *settings;
	bool *found; /* by index in `table` */
};

static const char *const type_names[] = {
	[AUB_SETTING_STRING] = "a string",
	[AUB_SETTING_INTEGER] = "an integer",
	[AUB_SETTING_REAL] = "a number",
	[AUB_SETTING_BOOLEAN] = "true or false",
	[AUB_SETTING_ADDRESS] = "an address \"ip:port\"",
	[AUB_SETTING_STRINGS] = "a list of strings",
};

static void *setting_field(void *settings, const struct aub_setting *setting)
{
	return (guint8 *)settings + setting->offset;
}

static void set_string(void *settings, const struct aub_setting *setting,
		       const char *value)
{
	char **field = setting_field(settings, setting);

	g_free(*field);
	*field = g_strdup(value);
}

/*
 * Reads an integer. Returns false if the node has another type; a value out of
 * range is added to the problems here.
 */
static bool read_integer(struct reader *reader,
			 const struct aub_setting *setting,
			 const struct aub_toml_node *node)
{
	gint64 value;

	if (!aub_toml_integer(node, &value))
		return false;
	if (value < setting->minimum || value > setting->maximum)
		aub_problems_add(reader->problems, aub_toml_line(node),
				 setting->key, NULL,
				 "%" G_GINT64_FORMAT
				 " is out of range: %" G_GINT64_FORMAT
				 " to %" G_GINT64_FORMAT,
				 value, setting->minimum, setting->maximum);
	*(gint64 *)setting_field(reader->settings, setting) = value;
	return true;
}

/* The same for a real number. The condition also rejects NaN. */
static bool read_real(struct reader *reader, const struct aub_setting *setting,
		      const struct aub_toml_node *node)
{
	double value;

	if (!aub_toml_real(node, &value))
		return false;
	if (!(value >= (double)setting->minimum &&
	      value <= (double)setting->maximum))
		aub_problems_add(reader->problems, aub_toml_line(node),
				 setting->key, NULL,
				 "%g is out of range: %" G_GINT64_FORMAT
				 " to %" G_GINT64_FORMAT,
				 value, setting->minimum, setting->maximum);
	*(double *)setting_field(reader->settings, setting) = value;
	return true;
}

static bool read_strings(struct reader *reader,
			 const struct aub_setting *setting,
			 const struct aub_toml_node *node)
{
	char ***field = setting_field(reader->settings, setting);
	GPtrArray *list;
	const char *value;
	bool valid = true;

	if (aub_toml_type(node) != AUB_TOML_ARRAY)
		return false;
	list = g_ptr_array_new();
	for (guint i = 0; i < aub_toml_size(node); i++) {
		if (aub_toml_string(aub_toml_item(node, i), &value))
			g_ptr_array_add(list, g_strdup(value));
		else
			valid = false;
	}
	g_ptr_array_add(list, NULL);
	g_strfreev(*field);
	*field = (char **)g_ptr_array_free(list, FALSE);
	return valid;
}

static bool read_value(struct reader *reader, const struct aub_setting *setting,
		       const struct aub_toml_node *node)
{
	const char *text;

	switch (setting->type) {
	case AUB_SETTING_STRING:
	case AUB_SETTING_ADDRESS:
		if (!aub_toml_string(node, &text))
			return false;
		if (setting->type == AUB_SETTING_ADDRESS &&
		    !aub_address_parse(text, NULL, NULL))
			return false;
		set_string(reader->settings, setting, text);
		return true;
	case AUB_SETTING_INTEGER:
		return read_integer(reader, setting, node);
	case AUB_SETTING_REAL:
		return read_real(reader, setting, node);
	case AUB_SETTING_BOOLEAN:
		return aub_toml_boolean(node, setting_field(reader->settings,
							    setting));
	case AUB_SETTING_STRINGS:
		return read_strings(reader, setting, node);
	}
	return false;
}

static bool is_section(const struct reader *reader, const char *name)
{
	char *prefix = g_strconcat(name, ".", NULL);
	bool known = false;

	for (guint i = 0; reader->table[i].key; i++)
		known = known || g_str_has_prefix(reader->table[i].key, prefix);
	g_free(prefix);
	return known;
}

static void read_member(const char *key, const struct aub_toml_node *node,
			void *context)
{
	struct reader *reader = context;
	char *name = g_strconcat(reader->section, key, NULL);
	guint i = 0;

	while (reader->table[i].key && strcmp(reader->table[i].key, name) != 0)
		i++;
	if (reader->table[i].key) {
		reader->found[i] = true;
		if (!read_value(reader, &reader->table[i], node))
			aub_problems_add(reader->problems, aub_toml_line(node),
					 name, NULL, "must be %s, not %s",
					 type_names[reader->table[i].type],
					 aub_toml_type_name(
						 aub_toml_type(node)));
	} else if (aub_toml_type(node) == AUB_TOML_TABLE && !*reader->section &&
		   is_section(reader, key)) {
		char *section = g_strconcat(key, ".", NULL);

		reader->section = section;
		aub_toml_visit(node, read_member, reader);
		reader->section = "";
		g_free(section);
	} else {
		aub_problems_add(reader->problems, aub_toml_line(node), name,
				 NULL, "unknown key");
	}
	g_free(name);
}

/* Sets a key to its default, which the table has as text. */
static void set_default(void *settings, const struct aub_setting *setting)
{
	switch (setting->type) {
	case AUB_SETTING_STRING:
	case AUB_SETTING_ADDRESS:
		set_string(settings, setting, setting->default_value);
		break;
	case AUB_SETTING_INTEGER:
		*(gint64 *)setting_field(settings, setting) =
			g_ascii_strtoll(setting->default_value, NULL, 10);
		break;
	case AUB_SETTING_REAL:
		*(double *)setting_field(settings, setting) =
			g_ascii_strtod(setting->default_value, NULL);
		break;
	case AUB_SETTING_BOOLEAN:
		*(bool *)setting_field(settings, setting) =
			strcmp(setting->default_value, "true") == 0;
		break;
	case AUB_SETTING_STRINGS:
		*(char ***)setting_field(settings, setting) =
			g_strsplit(setting->default_value, ",",
				   *setting->default_value ? -1 : 0);
		break;
	}
}

static void set_missing_keys(struct reader *reader)
{
	for (guint i = 0; reader->table[i].key; i++) {
		const struct aub_setting *setting = &reader->table[i];

		if (reader->found[i])
			continue;
		if (setting->required)
			aub_problems_add(reader->problems, 0, setting->key,
					 NULL, "missing; it must be %s (%s)",
					 type_names[setting->type],
					 setting->help ? setting->help : "");
		else if (setting->default_value)
			set_default(reader->settings, setting);
	}
}

bool aub_settings_parse(const char *text, gsize length, const char *source,
			const struct aub_setting *table, void *settings,
			GError **error)
{
	struct reader reader = {
		.table = table,
		.section = "",
		.settings = settings,
	};
	struct aub_toml *document = aub_toml_parse(text, length, source, error);
	guint count = 0;
	bool valid;

	if (!document)
		return false;
	while (table[count].key)
		count++;
	reader.found = g_new0(bool, count + 1);
	reader.problems = aub_problems_new(source);
	aub_toml_visit(aub_toml_root(document), read_member, &reader);
	set_missing_keys(&reader);
	valid = aub_problems_finish(reader.problems, "read settings", error);
	if (!valid)
		aub_settings_clear(table, settings);
	aub_problems_free(reader.problems);
	g_free(reader.found);
	aub_toml_free(document);
	return valid;
}

bool aub_settings_load(const char *file, const struct aub_setting *table,
		       void *settings, GError **error)
{
	GError *problem = NULL;
	char *text = NULL;
	gsize length = 0;
	bool valid;

	if (!g_file_get_contents(file, &text, &length, &problem)) {
		aub_error_set(error, AUB_ERROR_INVALID, "read settings", file,
			      "%s", problem->message);
		g_error_free(problem);
		return false;
	}
	if (length > SETTINGS_BYTES_MAX) {
		aub_error_set(error, AUB_ERROR_TOO_LARGE, "read settings", file,
			      "%" G_GSIZE_FORMAT " bytes, at most %u", length,
			      SETTINGS_BYTES_MAX);
		valid = false;
	} else {
		valid = aub_settings_parse(text, length, file, table, settings,
					   error);
	}
	g_free(text);
	return valid;
}

void aub_settings_clear(const struct aub_setting *table, void *settings)
{
	for (; table->key; table++) {
		void *field = setting_field(settings, table);

		switch (table->type) {
		case AUB_SETTING_STRING:
		case AUB_SETTING_ADDRESS:
			g_clear_pointer((char **)field, g_free);
			break;
		case AUB_SETTING_STRINGS:
			g_clear_pointer((char ***)field, g_strfreev);
			break;
		case AUB_SETTING_INTEGER:
			*(gint64 *)field = 0;
			break;
		case AUB_SETTING_REAL:
			*(double *)field = 0;
			break;
		case AUB_SETTING_BOOLEAN:
			*(bool *)field = false;
			break;
		}
	}
}

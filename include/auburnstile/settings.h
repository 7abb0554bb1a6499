/*
 * Settings of a process, read from one TOML file and validated at start.
 *
 * Each program passes a table of the keys that it supports. Unknown keys,
 * wrong types and values out of range are reported with file and line. All
 * problems are reported together, and the process doesn't start if there are
 * any.
 */
#ifndef AUBURNSTILE_SETTINGS_H
#define AUBURNSTILE_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

enum aub_setting_type {
	AUB_SETTING_STRING, /* char *, owned by the struct */
	AUB_SETTING_INTEGER, /* gint64 */
	AUB_SETTING_REAL, /* double; the file may have an integer */
	AUB_SETTING_BOOLEAN, /* bool */
	AUB_SETTING_ADDRESS, /* char *, validated "ip:port", owned */
	AUB_SETTING_STRINGS /* char **, NULL-terminated, owned */
};

struct aub_setting {
	const char *key; /* "section.key" or "key" */
	enum aub_setting_type type;
	guint32 offset; /* in the program's settings struct */
	bool required;
	gint64 minimum; /* for numbers, inclusive */
	gint64 maximum;
	const char *default_value; /* default value as text; NULL: none */
	const char *help; /* one line, including the unit */
};

/*
 * Read the settings from a file or from a text into `settings`, which the
 * caller has set to zero. `table` ends with a NULL key. On failure they return
 * false and set AUB_ERROR_INVALID, with one line per problem, or
 * AUB_ERROR_TOO_LARGE; `settings` is then empty.
 */
bool aub_settings_load(const char *file, const struct aub_setting *table,
		       void *settings, GError **error);
bool aub_settings_parse(const char *text, gsize length, const char *source,
			const struct aub_setting *table, void *settings,
			GError **error);
/* Frees the values in `settings` and resets them to zero. */
void aub_settings_clear(const struct aub_setting *table, void *settings);

G_END_DECLS

#endif

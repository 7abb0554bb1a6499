/*
 * A process's settings, read from one TOML file and checked at the door.
 *
 * Each program gives a table of the keys it knows. Unknown keys, wrong types
 * and values out of range are named with file and line; all problems are
 * reported at once and nothing is half-started.
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
	AUB_SETTING_REAL, /* double; an integer will do in the file */
	AUB_SETTING_BOOLEAN, /* bool */
	AUB_SETTING_ADDRESS, /* char *: "ip:port", checked */
	AUB_SETTING_STRINGS /* char **, NULL-terminated, owned */
};

struct aub_setting {
	const char *key; /* "section.key" or "key" */
	enum aub_setting_type type;
	guint32 offset; /* into the program's settings struct */
	bool required;
	gint64 minimum; /* of numbers */
	gint64 maximum;
	const char *fallback; /* default in text, NULL for none */
	const char *help; /* one line, with the unit */
};

/*
 * Fill `settings` (zeroed by the caller). `table` ends with a NULL key.
 * False with AUB_ERROR_INVALID, naming every problem, a line each.
 */
bool aub_settings_load(const char *file, const struct aub_setting *table,
		       void *settings, GError **error);
bool aub_settings_parse(const char *text, gsize length, const char *source,
			const struct aub_setting *table, void *settings,
			GError **error);
void aub_settings_clear(const struct aub_setting *table, void *settings);

G_END_DECLS

#endif

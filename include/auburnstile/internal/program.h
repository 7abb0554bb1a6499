/*
 * Start-up code shared by the long-running programs: command line, common
 * settings, logging and signals.
 */
#ifndef AUBURNSTILE_INTERNAL_PROGRAM_H
#define AUBURNSTILE_INTERNAL_PROGRAM_H

#include <auburnstile/settings.h>

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Setting table entries common to all programs. The program's settings struct
 * must have a member named like each key.
 */
#define AUBI_PROGRAM_SETTINGS(settings_)                                        \
	{ .key = "name",                                                        \
	  .type = AUB_SETTING_STRING,                                           \
	  .offset = offsetof(settings_, name),                                  \
	  .required = true,                                                     \
	  .help = "name of the VM" },                                           \
		{ .key = "zone",                                                \
		  .type = AUB_SETTING_STRING,                                   \
		  .offset = offsetof(settings_, zone),                          \
		  .required = true,                                             \
		  .help = "its availability zone" },                            \
		{ .key = "token_file",                                          \
		  .type = AUB_SETTING_STRING,                                   \
		  .offset = offsetof(settings_, token_file),                    \
		  .help = "file with the operators' token" },                   \
		{ .key = "log_level",                                           \
		  .type = AUB_SETTING_STRING,                                   \
		  .offset = offsetof(settings_, log_level),                     \
		  .default_value = "info",                                      \
		  .help = "error, warning, message, info or debug" },           \
		{ .key = "log_json",                                            \
		  .type = AUB_SETTING_BOOLEAN,                                  \
		  .offset = offsetof(settings_, log_json),                      \
		  .default_value = "false",                                     \
		  .help = "log as JSON lines" },                                \
		{ .key = "stop_ms",                                             \
		  .type = AUB_SETTING_INTEGER,                                  \
		  .offset = offsetof(settings_, stop_ms),                       \
		  .minimum = 100,                                               \
		  .maximum = 600000,                                            \
		  .default_value = "10000",                                     \
		  .help = "maximum duration of a planned stop, ms" },           \
		{ .key = "event_capacity",                                      \
		  .type = AUB_SETTING_INTEGER,                                  \
		  .offset = offsetof(settings_, event_capacity),                \
		  .minimum = 16,                                                \
		  .maximum = 1 << 20,                                           \
		  .default_value = "16384",                                     \
		  .help = "events retained for the time line" },                \
	{                                                                       \
		.key = "seed", .type = AUB_SETTING_INTEGER,                     \
		.offset = offsetof(settings_, seed), .maximum = G_MAXUINT32,    \
		.default_value = "0",                                           \
		.help = "seed of the random generator; 0: chosen by the system" \
	}

/*
 * Parses the command line and returns the path given by --settings, borrowed
 * from `argv`. `doc` is the description in --help. Exits on --help, --version
 * and usage errors.
 */
const char *aubi_program_settings_file(int argc, char **argv, const char *doc);

/*
 * Sets up logging. Returns false, with a message on standard error, if `level`
 * is not a log level. `file` is the settings file named in that message.
 */
bool aubi_program_log(const char *file, const char *name, const char *level,
		      bool json);

/*
 * Installs the signal handlers: SIGTERM and SIGINT call `stop`, SIGHUP logs
 * that settings are read at start only.
 */
void aubi_program_signals(GSourceFunc stop, void *context);

G_END_DECLS

#endif

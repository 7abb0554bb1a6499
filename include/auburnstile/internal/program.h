/*
 * What the long-running programs share at their start: the command line, the
 * settings that all of them have, the log, and their signals.
 */
#ifndef AUBURNSTILE_INTERNAL_PROGRAM_H
#define AUBURNSTILE_INTERNAL_PROGRAM_H

#include <auburnstile/settings.h>

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Rows of the settings that each program's struct has by name. */
#define AUBI_PROGRAM_SETTINGS(settings_)                                     \
	{ .key = "name",                                                     \
	  .type = AUB_SETTING_STRING,                                        \
	  .offset = offsetof(settings_, name),                               \
	  .required = true,                                                  \
	  .help = "name of the VM" },                                        \
		{ .key = "zone",                                             \
		  .type = AUB_SETTING_STRING,                                \
		  .offset = offsetof(settings_, zone),                       \
		  .required = true,                                          \
		  .help = "its availability zone" },                         \
		{ .key = "token_file",                                       \
		  .type = AUB_SETTING_STRING,                                \
		  .offset = offsetof(settings_, token_file),                 \
		  .help = "file with the operators' token" },                \
		{ .key = "log_level",                                        \
		  .type = AUB_SETTING_STRING,                                \
		  .offset = offsetof(settings_, log_level),                  \
		  .fallback = "info",                                        \
		  .help = "error, warning, message, info or debug" },        \
		{ .key = "log_json",                                         \
		  .type = AUB_SETTING_BOOLEAN,                               \
		  .offset = offsetof(settings_, log_json),                   \
		  .fallback = "false",                                       \
		  .help = "log as JSON lines" },                             \
		{ .key = "stop_ms",                                          \
		  .type = AUB_SETTING_INTEGER,                               \
		  .offset = offsetof(settings_, stop_ms),                    \
		  .minimum = 100,                                            \
		  .maximum = 600000,                                         \
		  .fallback = "10000",                                       \
		  .help = "most time a planned stop takes, ms" },            \
		{ .key = "event_capacity",                                   \
		  .type = AUB_SETTING_INTEGER,                               \
		  .offset = offsetof(settings_, event_capacity),             \
		  .minimum = 16,                                             \
		  .maximum = 1 << 20,                                        \
		  .fallback = "16384",                                       \
		  .help = "events kept for the time line" },                 \
	{                                                                    \
		.key = "seed", .type = AUB_SETTING_INTEGER,                  \
		.offset = offsetof(settings_, seed), .maximum = G_MAXUINT32, \
		.fallback = "0",                                             \
		.help = "of random choices; 0 takes one from the system"     \
	}

/*
 * The file that --settings names; borrowed from `argv`. `doc` is what --help
 * says first. Ends the program on --help, --version and wrong usage.
 */
const char *aubi_program_settings_file(int argc, char **argv, const char *doc);

/* Set the log up; false, said on standard error, where `level` is no level. */
bool aubi_program_log(const char *file, const char *name, const char *level,
		      bool json);

/* SIGTERM and SIGINT call `stop`; SIGHUP says that a restart is needed. */
void aubi_program_signals(GSourceFunc stop, void *context);

G_END_DECLS

#endif

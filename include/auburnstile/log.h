/*
 * Structured logging through GLib: one line per record on standard error,
 * either text (wall time, level, process name, message, key=value fields) or
 * JSON.
 */
#ifndef AUBURNSTILE_LOG_H
#define AUBURNSTILE_LOG_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Installs the log writer. `level` is the least severe level to be written:
 * "error", "critical", "warning", "message", "info" or "debug". Returns false
 * if it is none of these. Strings are copied.
 */
bool aub_log_setup(const char *process, const char *level, bool json);

#define aub_log_warning(...) g_warning(__VA_ARGS__)
#define aub_log_message(...) g_message(__VA_ARGS__)
#define aub_log_info(...) g_info(__VA_ARGS__)
#define aub_log_debug(...) g_debug(__VA_ARGS__)

G_END_DECLS

#endif

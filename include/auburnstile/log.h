/*
 * Structured logs over GLib's: one line a record on standard error, with
 * wall time, level, process name and key=value fields (or JSON lines).
 */
#ifndef AUBURNSTILE_LOG_H
#define AUBURNSTILE_LOG_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Install the log writer. `level` is "error", "warning", "message", "info"
 * or "debug". Returns false for another word. Strings are copied.
 */
bool aub_log_setup(const char *process, const char *level, bool json);

#define aub_log_warning(...) g_warning(__VA_ARGS__)
#define aub_log_message(...) g_message(__VA_ARGS__)
#define aub_log_info(...) g_info(__VA_ARGS__)
#define aub_log_debug(...) g_debug(__VA_ARGS__)

G_END_DECLS

#endif

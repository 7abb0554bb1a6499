/* The entry process: its components and its planned stop. */
#ifndef AUBURNSTILE_INTERNAL_ENTRY_H
#define AUBURNSTILE_INTERNAL_ENTRY_H

#include <auburnstile/admin.h>
#include <auburnstile/internal/request_router.h>
#include <auburnstile/settings.h>

G_BEGIN_DECLS

/* Values of the settings file; see docs/SETTINGS.md. */
struct aub_entry_settings {
	char *name;
	char *zone;
	char *callers; /* listening address "ip:port" for callers */
	char *inner;
	char *admin;
	char *control;
	char *token_file;
	char *log_level;
	bool log_json;
	gint64 stop_ms;
	char *policy;
	gint64 event_capacity;
	gint64 key_mb;
	gint64 key_keep_s;
	gint64 connections;
	gint64 seed;
};

extern const struct aub_setting aub_entry_setting_table[];

struct aub_entry;

/*
 * Creates an entry, which listens on return. `settings` is borrowed for the
 * entry's lifetime. Returns NULL and sets `error` on failure.
 */
struct aub_entry *aub_entry_new(const struct aub_entry_settings *settings,
				GError **error);
void aub_entry_free(struct aub_entry *entry);

/*
 * Begins a planned stop. `stopped` is called when it is complete, after stop_ms
 * at the latest. Further calls have no effect.
 */
typedef void aub_entry_stopped(void *context);
void aub_entry_stop(struct aub_entry *entry, aub_entry_stopped *stopped,
		    void *context);

G_END_DECLS

#endif

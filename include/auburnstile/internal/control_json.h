/*
 * What the control's answers to operators have in common.
 */
#ifndef AUBURNSTILE_INTERNAL_CONTROL_JSON_H
#define AUBURNSTILE_INTERNAL_CONTROL_JSON_H

#include <auburnstile/internal/control.h>
#include <json-glib/json-glib.h>

G_BEGIN_DECLS

/* Set `name` to the configuration as stored; null for none. */
void aubi_json_set_config(JsonObject *object, const char *name,
			  const struct aub_config *config);

/*
 * Who holds `version` and who doesn't: a list of {"member", "version",
 * "state"}, of all members that count. Owned by the caller.
 */
JsonArray *aubi_json_config_activation(const struct aubi_control *control,
			      guint64 version, gint64 now_us);

/*
 * True if each live member that has an entry works by `version` or a newer
 * one. A member unheard of for three seconds takes no new work and is not
 * waited for.
 */
bool aubi_config_active_everywhere(const struct aubi_control *control,
			      guint64 version, gint64 now_us);

G_END_DECLS

#endif

/* JSON helpers shared by the control's admin handlers. */
#ifndef AUBURNSTILE_INTERNAL_CONTROL_JSON_H
#define AUBURNSTILE_INTERNAL_CONTROL_JSON_H

#include <auburnstile/internal/control.h>
#include <json-glib/json-glib.h>

G_BEGIN_DECLS

/*
 * Sets member `name` to the configuration as stored, or to null if there is
 * none.
 */
void aubi_json_set_config(JsonObject *object, const char *name,
			  const struct aub_config *config);

/*
 * Returns a list of {"member", "version", "state", "in_force"} which shows for
 * each counted member whether `version` is active there. The caller owns the
 * list.
 */
JsonArray *aubi_json_config_activation(const struct aubi_control *control,
				       guint64 version, gint64 now_us);

/*
 * Returns true if `version` or a newer one is active at each live member that
 * has an entry. A member that is dead, that is, was not seen for three seconds,
 * takes no new work and is not waited for.
 */
bool aubi_config_active_everywhere(const struct aubi_control *control,
				   guint64 version, gint64 now_us);

G_END_DECLS

#endif

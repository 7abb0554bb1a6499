/* Edits of a configuration that operators request. Pure functions. */
#ifndef AUBURNSTILE_INTERNAL_CONTROL_EDIT_H
#define AUBURNSTILE_INTERNAL_CONTROL_EDIT_H

#include <auburnstile/config.h>
#include <stddef.h>

G_BEGIN_DECLS

/* Effect of a request to /v1/KIND/NAME/ACTION on the configuration. */
struct aubi_edit {
	const char *kind;
	const char *action;
	bool add; /* add the name to the list; false: remove it */
	size_t list_offset; /* offset of the list in struct aub_config */
	bool (*exists)(const struct aub_inventory *inventory, const char *name);
};

/*
 * Returns the edit for a path "/v1/KIND/NAME/ACTION" and sets `*name` to NAME,
 * which the caller owns; returns NULL for any other path.
 */
const struct aubi_edit *aubi_edit_from_path(const char *path, char **name);

/*
 * Applies `edit`. Returns false with `error` unset if the configuration already
 * is in the requested state.
 */
bool aubi_edit_list(const struct aubi_edit *edit, const char *name,
		    const struct aub_inventory *inventory,
		    struct aub_config *config, GError **error);

/*
 * Replaces the inventory; names that the new inventory lacks are removed from
 * the lists.
 */
bool aubi_edit_inventory(struct aub_config *config, const char *text,
			 GError **error);

G_END_DECLS

#endif

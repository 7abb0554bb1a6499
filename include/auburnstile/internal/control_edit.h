/*
 * What operators' changes do to a configuration. Plain functions.
 */
#ifndef AUBURNSTILE_INTERNAL_CONTROL_EDIT_H
#define AUBURNSTILE_INTERNAL_CONTROL_EDIT_H

#include <auburnstile/config.h>
#include <stddef.h>

G_BEGIN_DECLS

/* What /v1/KIND/NAME/WORD does to the configuration. */
struct aubi_edit {
	const char *kind;
	const char *action;
	bool add; /* to the list, else off it */
	size_t list_offset; /* offset of it in struct aub_config */
	bool (*exists)(const struct aub_inventory *inventory, const char *name);
};

/*
 * The edit that a path "/v1/KIND/NAME/WORD" asks for, and its name (owned by
 * the caller); NULL for another path.
 */
const struct aubi_edit *aubi_edit_from_path(const char *path, char **name);

/* False with no error: it is so already. */
bool aubi_edit_list(const struct aubi_edit *edit, const char *name,
		    const struct aub_inventory *inventory,
		    struct aub_config *config, GError **error);

/* Put a new inventory in; names that it lacks go off the lists. */
bool aubi_edit_inventory(struct aub_config *config, const char *text,
			 GError **error);

G_END_DECLS

#endif

/*
 * Assigns an owner and a stand-by to the queue of each service.
 *
 * Pure logic without I/O: members and the current assignments are passed in,
 * new assignments are returned. Equal inputs give equal results on every
 * control, so concurrent proposals are the same.
 */
#ifndef AUBURNSTILE_INTERNAL_OWNERSHIP_H
#define AUBURNSTILE_INTERNAL_OWNERSHIP_H

#include <auburnstile/inventory.h>
#include <auburnstile/message.h>

G_BEGIN_DECLS

#define AUBI_ASSIGNMENTS_KEY "auburnstile/assignments"

/* The stored object: {"change": "ID", "assignments": [...]}. */
struct aubi_assignments {
	guint64 epoch; /* version of the object in the store */
	GPtrArray *list; /* of struct aub_assignment, sorted by service */
};

struct aubi_assignments *aubi_assignments_new(void);
void aubi_assignments_free(struct aubi_assignments *assignments);
struct aubi_assignments *aubi_assignments_parse(const char *json, gsize length,
						guint64 version,
						GError **error);
char *aubi_assignments_serialize(const struct aubi_assignments *assignments,
				 const char *change);
const struct aub_assignment *aubi_assignments_find(
	const struct aubi_assignments *assignments, const char *service);

/*
 * Returns the assignments to be written, owned by the caller, or NULL if the
 * current ones need no change. `members` is a list of struct aub_member with
 * their current states. `leaving` lists the names of VMs that operators take
 * out.
 *
 *   - an owner that is dead, leaving, restarted, or in a zone taken out is
 *     replaced by its stand-by, or else by the member with fewest services;
 *   - a stand-by is in another zone where there is one;
 *   - a service's owner is in the region of its upstreams where possible;
 *   - with `rebalance`, at most one service moves away from the member with
 *     most services, if another one has at least two fewer;
 *   - all other assignments stay unchanged.
 */
struct aubi_assignments *aubi_ownership_propose(
	const struct aubi_assignments *current,
	const struct aub_inventory *inventory, const GPtrArray *leaving,
	const GPtrArray *members, bool rebalance);

/*
 * Returns true if this control may propose now. The live member with the lowest
 * rank proposes immediately; each further rank waits one step longer. This
 * needs no election and avoids concurrent writes to the store. `needed_us` is
 * when this control first saw that a change is needed, 0 if none is.
 */
bool aubi_ownership_is_turn(guint rank, gint64 needed_us, gint64 now_us);

G_END_DECLS

#endif

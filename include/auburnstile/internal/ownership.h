/*
 * Which member owns each service's queue, and which one stands by.
 *
 * Plain decisions: members and the assignments in force come in, the new
 * assignments go out. Equal inputs give equal results on every control, so
 * that two that propose at once propose the same.
 */
#ifndef AUBURNSTILE_INTERNAL_OWNERSHIP_H
#define AUBURNSTILE_INTERNAL_OWNERSHIP_H

#include <auburnstile/inventory.h>
#include <auburnstile/message.h>

G_BEGIN_DECLS

#define AUBI_ASSIGNMENTS_KEY "auburnstile/assignments"

/* The stored object: {"change": "ID", "assignments": [...]}. */
struct aubi_assignments {
	guint64 epoch; /* store version */
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
 * The assignments that should be in force, owned by the caller; NULL if
 * these in force are right. `members` is a list of struct aub_member with
 * states as of now. `leaving` lists names of VMs that operators take out.
 *
 *   - an owner that is dead, leaving, in a zone that is out, or restarted
 *     gives way to its stand-by, or else to the member with fewest services;
 *   - a stand-by is in another zone where there is one;
 *   - a service's owner is in the region of its upstreams where it can be;
 *   - with `rebalance` at most one service moves off the fullest member, if
 *     another one has at least two fewer;
 *   - what need not move stays.
 */
struct aubi_assignments *aubi_ownership_propose(
	const struct aubi_assignments *current,
	const struct aub_inventory *inventory, const GPtrArray *leaving,
	const GPtrArray *members, bool rebalance);

/*
 * When to propose: the lowest-ranked live member at once, each further one
 * only if the need has lasted a step longer. No election, no herd on the
 * store. `needed_us` is when the need was first seen here, 0 for none.
 */
bool aubi_ownership_is_turn(guint rank, gint64 needed_us, gint64 now_us);

G_END_DECLS

#endif

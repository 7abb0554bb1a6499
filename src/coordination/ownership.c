/*
 * Placement of services on members, in one pass over the services.
 *
 * Costs are compared in this order: another region than that of the service's
 * upstreams; for a stand-by, the zone of the owner; the number of services
 * assigned; load; and finally a hash of both names, so that ties are spread
 * over the members.
 */
#include <auburnstile/internal/ownership.h>

#include <string.h>

#define TURN_DELAY_PER_RANK_US ((gint64)2000000)
#define LOAD_STEP_PERMILLE 100 /* smaller differences are noise */

struct candidate {
	const struct aub_member *member; /* borrowed */
	const char *region; /* borrowed; "" if the zone is not known */
	guint owned_count;
	guint standby_count;
};

struct placement {
	GArray *candidates; /* of struct candidate */
	const struct aub_inventory *inventory;
};

static const char *zone_region(const struct aub_inventory *inventory,
			       const char *zone)
{
	guint16 handle = aub_inventory_zone(inventory, zone);

	if (handle == AUB_NO_HANDLE || !aub_zone_at(inventory, handle)->region)
		return "";
	return aub_zone_at(inventory, handle)->region;
}

static bool is_zone_out(const struct aub_inventory *inventory, const char *zone)
{
	guint16 handle = aub_inventory_zone(inventory, zone);

	return handle != AUB_NO_HANDLE && aub_zone_at(inventory, handle)->out;
}

static bool is_listed(const GPtrArray *names, const char *name)
{
	guint i;

	for (i = 0; names && i < names->len; i++) {
		if (!strcmp(names->pdata[i], name))
			return true;
	}
	return false;
}

static void collect_candidates(struct placement *placement,
			       const GPtrArray *leaving,
			       const GPtrArray *members)
{
	guint i;

	for (i = 0; i < members->len; i++) {
		const struct aub_member *member = members->pdata[i];
		struct candidate candidate = { .member = member };

		if (member->state != AUB_MEMBER_LIVE || !member->incarnation)
			continue;
		if (is_zone_out(placement->inventory, member->zone) ||
		    is_listed(leaving, member->name))
			continue;
		candidate.region =
			zone_region(placement->inventory, member->zone);
		g_array_append_val(placement->candidates, candidate);
	}
}

static struct candidate *find_candidate(const struct placement *placement,
					const char *name, guint64 incarnation)
{
	guint i;

	for (i = 0; i < placement->candidates->len; i++) {
		struct candidate *candidate =
			&g_array_index(placement->candidates, struct candidate,
				       i);

		if (!strcmp(candidate->member->name, name) &&
		    candidate->member->incarnation == incarnation)
			return candidate;
	}
	return NULL;
}

/* Returns the region of a service's first upstream; "" if there is none. */
static const char *service_region(const struct aub_inventory *inventory,
				  guint16 service)
{
	guint i;

	for (i = 0; i < inventory->upstreams->len; i++) {
		const struct aub_upstream *upstream =
			aub_upstream_at(inventory, i);

		if (upstream->service == service)
			return aub_zone_at(inventory, upstream->zone)->region ?
				       aub_zone_at(inventory, upstream->zone)
					       ->region :
				       "";
	}
	return "";
}

struct cost {
	guint64 parts[5];
};

static struct cost cost_of(const struct candidate *candidate,
			   const char *service, const char *region,
			   const struct candidate *owner)
{
	const struct aub_member *member = candidate->member;
	struct cost cost = { { 0 } };

	cost.parts[0] = region[0] && strcmp(candidate->region, region) != 0;
	cost.parts[1] = owner && !strcmp(owner->member->zone, member->zone);
	cost.parts[2] =
		owner ? candidate->owned_count + candidate->standby_count :
			candidate->owned_count;
	cost.parts[3] = member->load_permille / LOAD_STEP_PERMILLE;
	cost.parts[4] = g_str_hash(member->name) * 31 ^ g_str_hash(service);
	return cost;
}

static bool is_cheaper(const struct cost *a, const struct cost *b)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(a->parts); i++) {
		if (a->parts[i] != b->parts[i])
			return a->parts[i] < b->parts[i];
	}
	return false;
}

/* Returns the best member for a service. To choose a stand-by, pass `owner`. */
static struct candidate *choose_candidate(const struct placement *placement,
					  const char *service,
					  const char *region,
					  const struct candidate *owner)
{
	struct candidate *best = NULL;
	struct cost best_cost = { { 0 } };
	guint i;

	for (i = 0; i < placement->candidates->len; i++) {
		struct candidate *candidate =
			&g_array_index(placement->candidates, struct candidate,
				       i);
		struct cost cost = cost_of(candidate, service, region, owner);

		if (candidate == owner)
			continue;
		if (!best || is_cheaper(&cost, &best_cost)) {
			best = candidate;
			best_cost = cost;
		}
	}
	return best;
}

static void set_owner(struct aub_assignment *assignment,
		      struct candidate *candidate)
{
	aub_string_set(&assignment->owner, candidate->member->name);
	assignment->owner_incarnation = candidate->member->incarnation;
	candidate->owned_count++;
}

static void set_standby(struct aub_assignment *assignment,
			struct candidate *candidate)
{
	aub_string_set(&assignment->standby,
		       candidate ? candidate->member->name : "");
	assignment->standby_incarnation =
		candidate ? candidate->member->incarnation : 0;
	if (candidate)
		candidate->standby_count++;
}

/*
 * Keeps the owner and stand-by that are still eligible. Done for all services
 * first, so that the counts are complete before any new placement.
 */
static void keep_current(const struct placement *placement,
			 struct aub_assignment *assignment)
{
	struct candidate *owner;
	struct candidate *standby;

	owner = find_candidate(placement, assignment->owner,
			       assignment->owner_incarnation);
	standby = find_candidate(placement, assignment->standby,
				 assignment->standby_incarnation);
	if (!owner && standby) {
		owner = standby;
		standby = NULL;
	}
	aub_string_set(&assignment->owner, "");
	aub_string_set(&assignment->standby, "");
	assignment->owner_incarnation = 0;
	assignment->standby_incarnation = 0;
	if (owner)
		set_owner(assignment, owner);
	if (standby && standby != owner)
		set_standby(assignment, standby);
}

static bool other_zone_exists(const struct placement *placement,
			      const struct candidate *owner)
{
	guint i;

	for (i = 0; i < placement->candidates->len; i++) {
		const struct candidate *candidate =
			&g_array_index(placement->candidates, struct candidate,
				       i);

		if (strcmp(candidate->member->zone, owner->member->zone) != 0)
			return true;
	}
	return false;
}

static void fill_vacancies(const struct placement *placement,
			   struct aub_assignment *assignment)
{
	guint16 service = aub_inventory_service(placement->inventory,
						assignment->service);
	const char *region = service_region(placement->inventory, service);
	struct candidate *owner;
	struct candidate *standby;

	if (!assignment->owner[0]) {
		owner = choose_candidate(placement, assignment->service, region,
					 NULL);
		if (owner)
			set_owner(assignment, owner);
	}
	owner = find_candidate(placement, assignment->owner,
			       assignment->owner_incarnation);
	if (!owner)
		return;
	standby = find_candidate(placement, assignment->standby,
				 assignment->standby_incarnation);
	if (standby && !strcmp(standby->member->zone, owner->member->zone) &&
	    other_zone_exists(placement, owner)) {
		standby->standby_count--;
		standby = NULL;
	}
	if (!standby)
		set_standby(assignment,
			    choose_candidate(placement, assignment->service,
					     region, owner));
}

/*
 * Moves one service from the member with most services to the one with fewest
 * in its region.
 */
static void rebalance_one(const struct placement *placement,
			  struct aubi_assignments *proposal)
{
	struct aub_assignment *best_assignment = NULL;
	struct candidate *best = NULL;
	guint best_gap = 1;
	guint i;

	for (i = 0; i < proposal->list->len; i++) {
		struct aub_assignment *assignment = proposal->list->pdata[i];
		struct candidate *owner;
		struct candidate *other;
		guint16 service;

		owner = find_candidate(placement, assignment->owner,
				       assignment->owner_incarnation);
		service = aub_inventory_service(placement->inventory,
						assignment->service);
		other = choose_candidate(placement, assignment->service,
					 service_region(placement->inventory,
							service),
					 NULL);
		if (!owner || !other ||
		    other->owned_count + best_gap >= owner->owned_count)
			continue;
		best_gap = owner->owned_count - other->owned_count;
		best_assignment = assignment;
		best = other;
	}
	if (!best)
		return;
	find_candidate(placement, best_assignment->owner,
		       best_assignment->owner_incarnation)
		->owned_count--;
	set_owner(best_assignment, best);
	if (!strcmp(best_assignment->standby, best_assignment->owner))
		set_standby(best_assignment, NULL);
	fill_vacancies(placement, best_assignment);
}

static bool same_assignment(const struct aub_assignment *a,
			    const struct aub_assignment *b)
{
	return a && !strcmp(a->owner, b->owner) &&
	       !strcmp(a->standby, b->standby) &&
	       a->owner_incarnation == b->owner_incarnation &&
	       a->standby_incarnation == b->standby_incarnation;
}

static bool differs(const struct aubi_assignments *current,
		    const struct aubi_assignments *proposal)
{
	guint i;

	if (current->list->len != proposal->list->len)
		return true;
	for (i = 0; i < proposal->list->len; i++) {
		const struct aub_assignment *assignment =
			proposal->list->pdata[i];

		if (!same_assignment(aubi_assignments_find(current,
							   assignment->service),
				     assignment))
			return true;
	}
	return false;
}

/* Sets the epoch of changed assignments to the one after the current epoch. */
static void raise_epochs(const struct aubi_assignments *current,
			 struct aubi_assignments *proposal)
{
	guint i;

	for (i = 0; i < proposal->list->len; i++) {
		struct aub_assignment *assignment = proposal->list->pdata[i];

		if (!same_assignment(aubi_assignments_find(current,
							   assignment->service),
				     assignment))
			assignment->epoch = current->epoch + 1;
	}
}

static int by_service(const void *a, const void *b)
{
	const struct aub_assignment *left = *(struct aub_assignment *const *)a;
	const struct aub_assignment *right = *(struct aub_assignment *const *)b;

	return strcmp(left->service, right->service);
}

struct aubi_assignments *aubi_ownership_propose(
	const struct aubi_assignments *current,
	const struct aub_inventory *inventory, const GPtrArray *leaving,
	const GPtrArray *members, bool rebalance)
{
	struct aubi_assignments *proposal = aubi_assignments_new();
	struct placement placement = { .inventory = inventory };
	guint i;

	placement.candidates =
		g_array_new(FALSE, FALSE, sizeof(struct candidate));
	collect_candidates(&placement, leaving, members);
	for (i = 0; i < inventory->services->len; i++) {
		const char *name = aub_service_at(inventory, i)->name;
		const struct aub_assignment *old;
		struct aub_assignment *assignment;

		old = aubi_assignments_find(current, name);
		assignment =
			old ? aub_assignment_copy(old) : aub_assignment_new();
		aub_string_set(&assignment->service, name);
		g_ptr_array_add(proposal->list, assignment);
	}
	g_ptr_array_sort(proposal->list, by_service);
	/*
	 * Without any candidate a write would gain nothing, and the existing
	 * assignments still name the owner that a stand-by stands in for.
	 */
	if (!placement.candidates->len) {
		aubi_assignments_free(proposal);
		g_array_unref(placement.candidates);
		return NULL;
	}
	for (i = 0; i < proposal->list->len; i++)
		keep_current(&placement, proposal->list->pdata[i]);
	for (i = 0; i < proposal->list->len; i++)
		fill_vacancies(&placement, proposal->list->pdata[i]);
	if (rebalance && !differs(current, proposal))
		rebalance_one(&placement, proposal);
	g_array_unref(placement.candidates);
	if (!differs(current, proposal)) {
		aubi_assignments_free(proposal);
		return NULL;
	}
	raise_epochs(current, proposal);
	return proposal;
}

bool aubi_ownership_is_turn(guint rank, gint64 needed_us, gint64 now_us)
{
	return needed_us && now_us - needed_us >= rank * TURN_DELAY_PER_RANK_US;
}

/*
 * Placement of services on members, one pass over the services.
 *
 * Costs compare in this order: another region than the service's upstreams,
 * (for a stand-by) the owner's own zone, services held already, load, and
 * last a hash of both names, so that ties don't all fall on one member.
 */
#include <auburnstile/internal/ownership.h>

#include <string.h>

#define TURN_STEP_US ((gint64)2000000)
#define LOAD_STEP 100 /* permille: smaller differences are noise */

struct candidate {
	const struct aub_member *member; /* borrowed */
	const char *region; /* borrowed; "" if its zone isn't known */
	guint owned;
	guint standing_by;
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

static bool zone_out(const struct aub_inventory *inventory, const char *zone)
{
	guint16 handle = aub_inventory_zone(inventory, zone);

	return handle != AUB_NO_HANDLE && aub_zone_at(inventory, handle)->out;
}

static bool listed(const GPtrArray *names, const char *name)
{
	guint i;

	for (i = 0; names && i < names->len; i++) {
		if (!strcmp(names->pdata[i], name))
			return true;
	}
	return false;
}

static void collect(struct placement *placement, const GPtrArray *leaving,
		    const GPtrArray *members)
{
	guint i;

	for (i = 0; i < members->len; i++) {
		const struct aub_member *member = members->pdata[i];
		struct candidate candidate = { .member = member };

		if (member->state != AUB_MEMBER_LIVE || !member->incarnation)
			continue;
		if (zone_out(placement->inventory, member->zone) ||
		    listed(leaving, member->name))
			continue;
		candidate.region =
			zone_region(placement->inventory, member->zone);
		g_array_append_val(placement->candidates, candidate);
	}
}

static struct candidate *candidate_of(const struct placement *placement,
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

/* Region of a service's upstreams; "" for none or no upstream. */
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
	cost.parts[2] = owner ? candidate->owned + candidate->standing_by :
				candidate->owned;
	cost.parts[3] = member->load_permille / LOAD_STEP;
	cost.parts[4] = g_str_hash(member->name) * 31 ^ g_str_hash(service);
	return cost;
}

static bool cheaper(const struct cost *a, const struct cost *b)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(a->parts); i++) {
		if (a->parts[i] != b->parts[i])
			return a->parts[i] < b->parts[i];
	}
	return false;
}

/* The best member for a service; for a stand-by, `owner` is set. */
static struct candidate *choose(const struct placement *placement,
				const char *service, const char *region,
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
		if (!best || cheaper(&cost, &best_cost)) {
			best = candidate;
			best_cost = cost;
		}
	}
	return best;
}

static void set_owner(struct aub_assignment *line, struct candidate *candidate)
{
	aub_string_set(&line->owner, candidate->member->name);
	line->owner_incarnation = candidate->member->incarnation;
	candidate->owned++;
}

static void set_standby(struct aub_assignment *line,
			struct candidate *candidate)
{
	aub_string_set(&line->standby,
		       candidate ? candidate->member->name : "");
	line->standby_incarnation =
		candidate ? candidate->member->incarnation : 0;
	if (candidate)
		candidate->standing_by++;
}

/* Keep who may stay; count them before anyone is placed anew. */
static void keep(const struct placement *placement, struct aub_assignment *line)
{
	struct candidate *owner;
	struct candidate *standby;

	owner = candidate_of(placement, line->owner, line->owner_incarnation);
	standby = candidate_of(placement, line->standby,
			       line->standby_incarnation);
	if (!owner && standby) {
		owner = standby;
		standby = NULL;
	}
	aub_string_set(&line->owner, "");
	aub_string_set(&line->standby, "");
	line->owner_incarnation = 0;
	line->standby_incarnation = 0;
	if (owner)
		set_owner(line, owner);
	if (standby && standby != owner)
		set_standby(line, standby);
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

static void fill(const struct placement *placement, struct aub_assignment *line)
{
	guint16 service =
		aub_inventory_service(placement->inventory, line->service);
	const char *region = service_region(placement->inventory, service);
	struct candidate *owner;
	struct candidate *standby;

	if (!line->owner[0]) {
		owner = choose(placement, line->service, region, NULL);
		if (owner)
			set_owner(line, owner);
	}
	owner = candidate_of(placement, line->owner, line->owner_incarnation);
	if (!owner)
		return;
	standby = candidate_of(placement, line->standby,
			       line->standby_incarnation);
	if (standby && !strcmp(standby->member->zone, owner->member->zone) &&
	    other_zone_exists(placement, owner)) {
		standby->standing_by--;
		standby = NULL;
	}
	if (!standby)
		set_standby(line,
			    choose(placement, line->service, region, owner));
}

/* Move one service from the fullest to the emptiest of its region. */
static void move_one(const struct placement *placement,
		     struct aubi_assignments *proposal)
{
	struct aub_assignment *best_line = NULL;
	struct candidate *best = NULL;
	guint best_gap = 1;
	guint i;

	for (i = 0; i < proposal->lines->len; i++) {
		struct aub_assignment *line = proposal->lines->pdata[i];
		struct candidate *owner;
		struct candidate *other;
		guint16 service;

		owner = candidate_of(placement, line->owner,
				     line->owner_incarnation);
		service = aub_inventory_service(placement->inventory,
						line->service);
		other = choose(placement, line->service,
			       service_region(placement->inventory, service),
			       NULL);
		if (!owner || !other || other->owned + best_gap >= owner->owned)
			continue;
		best_gap = owner->owned - other->owned;
		best_line = line;
		best = other;
	}
	if (!best)
		return;
	candidate_of(placement, best_line->owner, best_line->owner_incarnation)
		->owned--;
	set_owner(best_line, best);
	if (!strcmp(best_line->standby, best_line->owner))
		set_standby(best_line, NULL);
	fill(placement, best_line);
}

static bool same_line(const struct aub_assignment *a,
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

	if (current->lines->len != proposal->lines->len)
		return true;
	for (i = 0; i < proposal->lines->len; i++) {
		const struct aub_assignment *line = proposal->lines->pdata[i];

		if (!same_line(aubi_assignments_find(current, line->service),
			       line))
			return true;
	}
	return false;
}

/* Lines that change get the epoch after the current one, at the least. */
static void raise_epochs(const struct aubi_assignments *current,
			 struct aubi_assignments *proposal)
{
	guint i;

	for (i = 0; i < proposal->lines->len; i++) {
		struct aub_assignment *line = proposal->lines->pdata[i];

		if (!same_line(aubi_assignments_find(current, line->service),
			       line))
			line->epoch = current->epoch + 1;
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
	collect(&placement, leaving, members);
	for (i = 0; i < inventory->services->len; i++) {
		const char *name = aub_service_at(inventory, i)->name;
		const struct aub_assignment *old;
		struct aub_assignment *line;

		old = aubi_assignments_find(current, name);
		line = old ? aub_assignment_copy(old) : aub_assignment_new();
		aub_string_set(&line->service, name);
		g_ptr_array_add(proposal->lines, line);
	}
	g_ptr_array_sort(proposal->lines, by_service);
	/*
	 * With nobody to place on, nothing is gained by a write; the old
	 * lines still say whom a stand-by stands by for.
	 */
	if (!placement.candidates->len) {
		aubi_assignments_free(proposal);
		g_array_unref(placement.candidates);
		return NULL;
	}
	for (i = 0; i < proposal->lines->len; i++)
		keep(&placement, proposal->lines->pdata[i]);
	for (i = 0; i < proposal->lines->len; i++)
		fill(&placement, proposal->lines->pdata[i]);
	if (rebalance && !differs(current, proposal))
		move_one(&placement, proposal);
	g_array_unref(placement.candidates);
	if (!differs(current, proposal)) {
		aubi_assignments_free(proposal);
		return NULL;
	}
	raise_epochs(current, proposal);
	return proposal;
}

bool aubi_ownership_turn(guint rank, gint64 needed_us, gint64 now_us)
{
	return needed_us && now_us - needed_us >= rank * TURN_STEP_US;
}

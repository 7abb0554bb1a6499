/*
 * The order in which queued requests get slots.
 *
 * By priority; those that can still be on time before those that can't; then by
 * workspace, the one with the fewest recent grants for its weight first; and
 * within a workspace by the share of their time that they have waited.
 *
 * Load: an overload in which one workspace sends many times its usual. Without
 * shares by workspace, all would be refused alike.
 */
#include <auburnstile/internal/decayed_share.h>
#include <auburnstile/internal/placement_internal.h>

#include <math.h>

/*
 * A share of the time in which a request can be on time. Once a queued request
 * has used up more of its own, the newest goes first.
 */
#define NEWEST_FIRST_WAIT_SHARE 0.3

/* After this time a grant counts half in the shares of workspaces. */
#define RECENT_HALF_LIFE_US (1000 * AUB_US_PER_MS)

static double recent_count(const struct aub_recent_grants *recent,
			   gint64 now_us)
{
	return recent->count *
	       aub_decay(now_us - recent->counted_us, RECENT_HALF_LIFE_US);
}

void aub_placement_count_grant_of_quota(struct aub_placement *placement,
					guint quota, gint64 now_us)
{
	void *key = GUINT_TO_POINTER(quota);
	struct aub_recent_grants *recent;

	if (!quota)
		return;
	recent = g_hash_table_lookup(placement->recent_grants, key);
	if (!recent) {
		recent = g_new0(struct aub_recent_grants, 1);
		g_hash_table_insert(placement->recent_grants, key, recent);
	}
	recent->count = recent_count(recent, now_us) + 1.0;
	recent->counted_us = now_us;
}

/*
 * Returns the recent grants to a workspace, and `more`, for each unit of its
 * weight. Counted over some time, since a workspace that asks for little may
 * have several requests at once.
 */
static double grants_by_weight(const struct aub_placement *placement,
			       const struct aub_quotas *quotas, guint quota,
			       guint more, gint64 now_us)
{
	const struct aub_recent_grants *recent;

	if (!quotas || !quota)
		return more;
	recent = g_hash_table_lookup(placement->recent_grants,
				     GUINT_TO_POINTER(quota));
	return ((recent ? recent_count(recent, now_us) : 0) + more) /
	       aub_quota_weight(quotas, quota);
}

/*
 * Returns the share used up of the time in which it can be on time or, if it is
 * late, of its maximum wait.
 */
static double wait_share(const struct aub_queued_request *queued, gint64 now_us)
{
	gint64 end_us = queued->on_time_until_us > now_us ?
				queued->on_time_until_us :
				queued->expires_us;

	return (double)(now_us - queued->queued_us) /
	       (double)MAX(end_us - queued->queued_us, 1);
}

/*
 * If all requests waited equally long in an overload, all responses would be
 * late although most could have been on time; and where classes with different
 * targets compete for slots, only those with the longest target would be
 * served. With this order the requests served have waited only for a small
 * share of their own limit, and the others get the remaining slots.
 */
void aub_placement_find_queue_ends(const struct aub_placement *placement,
				   bool late, gint64 now_us,
				   struct aub_queue_ends *ends)
{
	double fewest = INFINITY;
	double max_share = -1;
	double min_share = INFINITY;
	guint priority = 0;

	*ends = (struct aub_queue_ends){ .largest_share = -1,
					 .smallest_share = -1 };
	for (guint i = 0; i < placement->queue->len; i++) {
		const struct aub_queued_request *queued =
			g_ptr_array_index(placement->queue, i);
		double grants;
		double share;

		if ((queued->on_time_until_us <= now_us) != late)
			continue;
		if (ends->largest_share >= 0 && queued->priority != priority)
			break;
		priority = queued->priority;
		grants = grants_by_weight(placement, queued->quotas,
					  queued->quota, 0, now_us);
		if (grants > fewest)
			continue;
		if (grants < fewest) {
			fewest = grants;
			max_share = -1;
			min_share = INFINITY;
		}
		share = wait_share(queued, now_us);
		if (share > max_share) {
			max_share = share;
			ends->largest_share = (gint)i;
		}
		if (share <= min_share) {
			min_share = share;
			ends->smallest_share = (gint)i;
		}
	}
	ends->newest_first = max_share > NEWEST_FIRST_WAIT_SHARE;
}

/* The queued requests of the workspace of a new one, and of its rank. */
struct own_queue {
	guint count;
	bool newest_first; /* the new one is served before these */
};

static bool is_of_rank(const struct aub_queued_request *queued,
		       const struct aub_placement_request *request,
		       gint64 now_us)
{
	return queued->priority == request->priority &&
	       (queued->on_time_until_us <= now_us) ==
		       !request->on_time_wait_ms;
}

static struct own_queue find_own_queue(
	const struct aub_placement *placement,
	const struct aub_placement_request *request, gint64 now_us)
{
	struct own_queue own = { .count = 0 };
	double max_share = -1;

	for (guint i = 0; i < placement->queue->len; i++) {
		const struct aub_queued_request *queued =
			g_ptr_array_index(placement->queue, i);

		if (queued->quota != request->quota ||
		    !is_of_rank(queued, request, now_us))
			continue;
		own.count++;
		max_share = MAX(max_share, wait_share(queued, now_us));
	}
	own.newest_first =
		request->on_time_wait_ms && max_share > NEWEST_FIRST_WAIT_SHARE;
	return own;
}

/*
 * Counts the requests of other workspaces, of the same rank, that get a slot
 * before a new one does that has `own` others of its workspace before it.
 */
static guint count_others_ahead(const struct aub_placement *placement,
				const struct aub_placement_request *request,
				guint own, gint64 now_us)
{
	double limit = grants_by_weight(placement, request->quotas,
					request->quota, own + 1, now_us);
	GHashTable *counted = g_hash_table_new(NULL, NULL);
	guint ahead = 0;

	for (guint i = 0; i < placement->queue->len; i++) {
		const struct aub_queued_request *queued =
			g_ptr_array_index(placement->queue, i);
		void *key = GUINT_TO_POINTER(queued->quota);
		guint position;

		if (queued->quota == request->quota ||
		    !is_of_rank(queued, request, now_us))
			continue;
		position =
			GPOINTER_TO_UINT(g_hash_table_lookup(counted, key)) + 1;
		g_hash_table_insert(counted, key, GUINT_TO_POINTER(position));
		ahead += grants_by_weight(placement, queued->quotas,
					  queued->quota, position,
					  now_us) <= limit;
	}
	g_hash_table_unref(counted);
	return ahead;
}

guint aub_placement_count_ahead(const struct aub_placement *placement,
				const struct aub_placement_request *request,
				gint64 now_us)
{
	bool late = !request->on_time_wait_ms;
	struct aub_queue_ends ends;
	struct own_queue own;
	guint ahead = 0;

	if (!placement->queue->len)
		return 0;
	own = find_own_queue(placement, request, now_us);
	if (!request->quota) {
		aub_placement_find_queue_ends(placement, false, now_us, &ends);
		own.newest_first = ends.newest_first && !late;
	}
	if (own.newest_first)
		own.count = 0;
	for (guint i = 0; i < placement->queue->len; i++) {
		const struct aub_queued_request *queued =
			g_ptr_array_index(placement->queue, i);
		bool other_late = queued->on_time_until_us <= now_us;

		if (other_late != late)
			ahead += late;
		else
			ahead += queued->priority < request->priority;
	}
	return ahead + own.count +
	       count_others_ahead(placement, request, own.count, now_us);
}

/*
 * The grants, and the updates of health and service times from their reports.
 */
#include <auburnstile/internal/placement_internal.h>

/* Used before the first report: a typical time that a slot is in use. */
#define SLOT_TIME_DEFAULT_US (250 * AUB_US_PER_MS)
#define SLOT_TIME_SMOOTHING 0.05 /* averages about twenty requests */

/*
 * An upstream that refused a request is considered full for about the time that
 * a slot takes to become free.
 */
#define REFUSED_PAUSE_US (50 * AUB_US_PER_MS)

/* A grant younger than this may be missing in its holder's list. */
#define HOLDER_LIST_GRACE_US (1200 * AUB_US_PER_MS)

#define SLOWNESS_SMOOTHING 0.1
#define SLOWNESS_MAX 8.0

#define COLD_RATE_MIN_PER_S 0.1 /* if the configuration sets none */

double aub_placement_slot_time_us(const struct aub_placement *placement)
{
	return placement->mean_slot_time_us > 0 ? placement->mean_slot_time_us :
						  SLOT_TIME_DEFAULT_US;
}

double aub_placement_cold_rate_per_s(const struct aub_placement *placement)
{
	return MAX(placement->warmup_per_s * AUB_PLACER_RATE_SHARE,
		   COLD_RATE_MIN_PER_S);
}

void aub_placement_grant(struct aub_placement *placement, guint index,
			 const struct aub_placement_request *request,
			 gint64 now_us, struct aub_placement_decision *decision)
{
	struct aub_placement_upstream *upstream =
		aub_placement_get_upstream(placement, index);
	struct aub_grant *grant = g_new0(struct aub_grant, 1);

	grant->ticket = request->ticket;
	grant->holder = request->holder;
	grant->fingerprint = request->fingerprint;
	grant->upstream_index = index;
	grant->concurrency = upstream->granted + 1;
	grant->slowdown =
		aub_placement_upstream_slowdown(placement, upstream, now_us);
	grant->target_ms = request->target_ms;
	grant->route = request->route;
	grant->quotas = request->quotas;
	grant->quota = request->quota;
	grant->cold = aub_placement_upstream_is_cold(upstream, now_us);
	grant->granted_us = now_us;
	grant->retry_admitted_us = request->retry ? now_us : 0;
	if (grant->quotas)
		aub_quota_take(grant->quotas, grant->quota, now_us);
	g_hash_table_replace(placement->grants, &grant->ticket, grant);
	upstream->granted++;
	aub_placement_count_grant_of_quota(placement, grant->quota, now_us);
	aub_upstream_limit_count_grant(&upstream->limit, now_us);
	if (grant->cold) {
		placement->cold_grants++;
		upstream->next_cold_grant_us =
			now_us + (gint64)(1e6 / aub_placement_cold_rate_per_s(
							placement));
	}
	decision->verdict = AUB_VERDICT_GRANTED;
	decision->upstream = upstream->id;
	decision->address = upstream->address;
}

void aub_placement_begin_placing(struct aub_placement *placement, gint64 now_us)
{
	for (guint i = 0; i < placement->upstreams->len; i++)
		aub_upstream_limit_count_grant(
			&aub_placement_get_upstream(placement, i)->limit,
			now_us);
}

/*
 * Updates the service time of the class, the slowdown by utilization and the
 * slowness of the upstream, each with the effects of the others divided out.
 */
static void update_times(struct aub_placement *placement,
			 struct aub_placement_upstream *upstream,
			 const struct aub_grant *grant, gint64 elapsed_us,
			 gint64 now_us)
{
	double mean_ms = aub_service_times_mean_ms(&placement->service_times,
						   grant->target_ms);
	double saturation =
		aub_saturation_slowdown(&placement->saturation,
					grant->concurrency, upstream->slots);
	double ms = (double)elapsed_us / AUB_US_PER_MS / grant->slowdown;
	double slot_time_us = (double)(now_us - grant->granted_us);

	if (placement->mean_slot_time_us <= 0)
		placement->mean_slot_time_us = slot_time_us;
	placement->mean_slot_time_us +=
		(slot_time_us - placement->mean_slot_time_us) *
		SLOT_TIME_SMOOTHING;
	/*
	 * In a long overload all responses come from full upstreams. If these
	 * counted for the baseline service time, slow would become the baseline
	 * and the upstreams would stay that full. The baseline is therefore
	 * learned from upstreams with room.
	 */
	if (aub_saturation_is_lightly_loaded(grant->concurrency,
					     upstream->slots) ||
	    !aub_service_times_is_informative(&placement->service_times,
					      grant->target_ms))
		aub_service_times_observe(&placement->service_times,
					  grant->target_ms, ms / saturation);
	if (!aub_service_times_is_informative(&placement->service_times,
					      grant->target_ms))
		return;
	aub_saturation_observe(&placement->saturation, grant->concurrency,
			       upstream->slots,
			       ms / mean_ms / upstream->slowness);
	upstream->slowness += (ms / mean_ms / saturation - upstream->slowness) *
			      SLOWNESS_SMOOTHING;
	upstream->slowness = CLAMP(upstream->slowness, 0.5, SLOWNESS_MAX);
}

/*
 * Returns whether the upstream says that it has a free slot. If it refused all
 * the same, the reason is another one, which waiting doesn't end: a pause would
 * keep slots from use while requests queue for them.
 */
static bool reports_free_slot(const struct aub_load *load)
{
	return load->running >= 0 && load->waiting <= 0 &&
	       load->running < load->slots;
}

/*
 * Counts whether the upstream accepted the request. One that refuses it with a
 * free slot is compared with its peers; one without is left out for a while.
 */
static void observe_refusal(struct aub_placement *placement,
			    struct aub_placement_upstream *upstream,
			    const struct aub_load *load, bool refused,
			    gint64 now_us)
{
	if (refused && !reports_free_slot(load)) {
		aub_placement_upstream_update_failures(upstream, 0.5, now_us);
		upstream->full_until_us = now_us + REFUSED_PAUSE_US;
		return;
	}
	aub_refusal_rate_observe(&upstream->refusals, refused, now_us);
	aub_refusal_rate_observe(&placement->refusals, refused, now_us);
}

/* Updates the health of the upstream by the result of a grant. */
static void apply_result(struct aub_placement *placement,
			 struct aub_placement_upstream *upstream,
			 const struct aub_grant *grant,
			 const struct aub_grant_report *report, gint64 now_us)
{
	switch (report->end) {
	case AUB_GRANT_OK:
		upstream->last_ok_us = now_us;
		observe_refusal(placement, upstream, &report->load, false,
				now_us);
		aub_caller_returns_served(placement->returns,
					  grant->fingerprint);
		aub_placement_upstream_update_failures(upstream, 0.0, now_us);
		update_times(placement, upstream, grant, report->elapsed_us,
			     now_us);
		break;
	case AUB_GRANT_FAILED:
		aub_placement_upstream_update_failures(upstream, 1.0, now_us);
		observe_refusal(placement, upstream, &report->load, false,
				now_us);
		break;
	case AUB_GRANT_REFUSED:
		observe_refusal(placement, upstream, &report->load, true,
				now_us);
		aub_caller_returns_refused(placement->returns,
					   grant->fingerprint,
					   grant->retry_after_ms, now_us);
		break;
	case AUB_GRANT_TIMEOUT:
		aub_placement_upstream_update_failures(upstream, 1.0, now_us);
		break;
	case AUB_GRANT_WRONG_UPSTREAM:
	case AUB_GRANT_UNREACHABLE:
	case AUB_GRANT_LOST:
		aub_placement_upstream_update_failures(upstream, 1.0, now_us);
		aub_placement_upstream_mark_down(upstream, now_us);
		break;
	case AUB_GRANT_ABANDONED:
	case AUB_GRANT_UNUSED:
	case AUB_GRANT_LINK_LOST:
	case AUB_GRANT_RESULT_COUNT:
		break;
	}
	aub_placement_upstream_update_load(placement, upstream, &report->load,
					   now_us);
	aub_placement_upstream_observe_answer(upstream, &report->load,
					      grant->granted_us, now_us);
}

/* Returns whether no upstream has run the request. */
static bool is_not_run(enum aub_grant_result end)
{
	return end == AUB_GRANT_REFUSED || end == AUB_GRANT_WRONG_UPSTREAM ||
	       end == AUB_GRANT_UNREACHABLE || end == AUB_GRANT_UNUSED;
}

bool aub_placement_find_grant(const struct aub_placement *placement,
			      guint64 ticket, struct aub_grant_view *view)
{
	const struct aub_grant *grant =
		g_hash_table_lookup(placement->grants, &ticket);

	if (!grant)
		return false;
	view->holder = grant->holder;
	view->upstream =
		aub_placement_get_upstream(placement, grant->upstream_index)
			->id;
	return true;
}

const char *aub_placement_report(struct aub_placement *placement,
				 const struct aub_grant_report *report,
				 gint64 now_us)
{
	struct aub_grant *grant =
		g_hash_table_lookup(placement->grants, &report->ticket);
	struct aub_placement_upstream *upstream;

	if (!grant) {
		gint index =
			aub_placement_find_queued(placement, report->ticket);

		if (index >= 0)
			aub_placement_remove_queued(placement, (guint)index,
						    now_us);
		return NULL;
	}
	upstream = aub_placement_get_upstream(placement, grant->upstream_index);
	upstream->granted--;
	if (grant->quotas && is_not_run(report->end))
		aub_quota_give_back(grant->quotas, grant->quota, now_us);
	if (report->end == AUB_GRANT_UNUSED)
		aub_placement_take_back_retry(placement,
					      grant->retry_admitted_us, now_us);
	apply_result(placement, upstream, grant, report, now_us);
	aub_grant_judge(placement, upstream, grant, report);
	g_hash_table_remove(placement->grants, &report->ticket);
	return upstream->id;
}

static bool is_listed(const guint64 *tickets, guint count, guint64 ticket)
{
	for (guint i = 0; i < count; i++)
		if (tickets[i] == ticket)
			return true;
	return false;
}

void aub_placement_reconcile(struct aub_placement *placement, guint64 holder,
			     const guint64 *tickets, guint count, gint64 now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct aub_grant *grant = value;

		if (grant->holder != holder ||
		    now_us - grant->granted_us < HOLDER_LIST_GRACE_US ||
		    is_listed(tickets, count, grant->ticket))
			continue;
		aub_placement_get_upstream(placement, grant->upstream_index)
			->granted--;
		g_hash_table_iter_remove(&iter);
	}
}

void aub_placement_adopt(struct aub_placement *placement, guint64 holder,
			 guint64 ticket, const char *upstream, guint target_ms,
			 gint64 now_us)
{
	gint index = aub_placement_find_upstream(placement, upstream);
	struct aub_placement_request request = {
		.ticket = ticket,
		.holder = holder,
		.target_ms = target_ms,
	};
	struct aub_placement_decision decision;

	if (index < 0 || g_hash_table_contains(placement->grants, &ticket))
		return;
	aub_placement_grant(placement, (guint)index, &request, now_us,
			    &decision);
}

void aub_placement_drop_holder(struct aub_placement *placement, guint64 holder,
			       gint64 now_us)
{
	guint i = 0;

	while (i < placement->queue->len) {
		const struct aub_queued_request *queued =
			g_ptr_array_index(placement->queue, i);

		if (queued->holder == holder)
			aub_placement_remove_queued(placement, i, now_us);
		else
			i++;
	}
	aub_placement_reconcile(placement, holder, NULL, 0,
				now_us + HOLDER_LIST_GRACE_US);
}

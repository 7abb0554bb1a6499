/*
 * Versions in a placement: the traffic that each upstream's version allows, the
 * share of a new version while it is judged, and the judging of its responses.
 */
#include <auburnstile/internal/placement_internal.h>

#include <string.h>

/* Share of the slots in use from which an upstream counts as nearly full. */
#define FULL_UTILIZATION_SHARE 0.7
/* Slots that the new version needs for each request in progress. */
#define SWITCH_HEADROOM_FACTOR 1.2

static enum aub_version_traffic traffic_of(
	const struct aub_placement *placement,
	const struct aub_placement_upstream *upstream)
{
	const struct aub_service_versions *versions = &placement->versions;

	if (!placement->rollouts_enabled)
		return AUB_VERSION_ACTIVE;
	if (!placement->rollouts_loaded)
		return AUB_VERSION_WITHHELD;
	if (aub_service_versions_is_active(versions, upstream->version))
		return AUB_VERSION_ACTIVE;
	if (upstream->version != AUB_VERSION_NONE &&
	    upstream->version == versions->target &&
	    aub_rollout_is_in_progress(&placement->rollout))
		return AUB_VERSION_CANARY;
	return AUB_VERSION_WITHHELD;
}

static void update_traffic(struct aub_placement *placement)
{
	guint canaries = 0;

	for (guint i = 0; i < placement->upstreams->len; i++) {
		struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		upstream->traffic = traffic_of(placement, upstream);
		canaries += upstream->registered &&
			    upstream->traffic == AUB_VERSION_CANARY;
	}
	placement->rollout.canary_upstreams = canaries;
}

/* Counts all upstreams again and updates the traffic that each may get. */
static void recount_versions(struct aub_placement *placement, gint64 now_us)
{
	struct aub_service_versions *versions = &placement->versions;

	aub_service_versions_begin_count(versions);
	for (guint i = 0; i < placement->upstreams->len; i++) {
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (upstream->registered)
			aub_service_versions_add(versions, upstream->version,
						 upstream->started_ms);
	}
	aub_service_versions_finish_count(versions, now_us);
	update_traffic(placement);
}

static bool has_version(const struct aub_placement *placement,
			const struct aub_placement_upstream *upstream,
			const char *version)
{
	return upstream->version != AUB_VERSION_NONE &&
	       !strcmp(placement->versions.list[upstream->version].name,
		       version);
}

/*
 * Recounting all upstreams for each one that is read would make the start with
 * hundreds of upstreams quadratic in their number. While there is a single
 * version, only the count of the upstream itself is updated.
 */
void aub_placement_upstream_count_version(
	struct aub_placement *placement,
	struct aub_placement_upstream *upstream, const char *version,
	bool was_registered, gint64 now_us)
{
	struct aub_service_versions *versions = &placement->versions;

	if (!placement->rollouts_enabled) {
		upstream->traffic = AUB_VERSION_ACTIVE;
		return;
	}
	if (version && was_registered &&
	    has_version(placement, upstream, version))
		return;
	if (version) {
		upstream->version =
			aub_service_versions_index(versions, version);
		upstream->evidence = (struct aub_judge_evidence){ 0 };
	}
	if (versions->count > 1 || (version && was_registered)) {
		recount_versions(placement, now_us);
		return;
	}
	if (version)
		aub_service_versions_add(versions, upstream->version,
					 upstream->started_ms);
	else if (was_registered)
		aub_service_versions_remove(versions, upstream->version);
	aub_service_versions_finish_count(versions, now_us);
	upstream->traffic = traffic_of(placement, upstream);
}

void aub_placement_enable_rollouts(struct aub_placement *placement,
				   const struct aub_rollout_limits *limits)
{
	placement->rollouts_enabled = limits->share > 0;
	placement->rollout.limits = *limits;
	update_traffic(placement);
}

void aub_placement_set_rollouts_loaded(struct aub_placement *placement,
				       gint64 now_us)
{
	if (placement->rollouts_loaded)
		return;
	placement->rollouts_loaded = true;
	recount_versions(placement, now_us);
}

/* Applies the state of the order to the versions. */
static void apply_state(struct aub_placement *placement, gint64 now_us)
{
	const struct aub_rollout *rollout = &placement->rollout;
	gint target = AUB_VERSION_NONE;

	if (rollout->state != AUB_ROLLOUT_NONE)
		target = aub_service_versions_index(&placement->versions,
						    rollout->order.version);
	if (rollout->state == AUB_ROLLOUT_COMPLETED)
		aub_service_versions_complete(&placement->versions, target,
					      now_us);
	else
		aub_service_versions_set_target(&placement->versions, target,
						now_us);
	recount_versions(placement, now_us);
}

static void reset_evidence(struct aub_placement *placement)
{
	GHashTableIter iter;
	void *value;

	for (guint i = 0; i < placement->upstreams->len; i++)
		aub_placement_get_upstream(placement, i)->evidence =
			(struct aub_judge_evidence){ 0 };
	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct aub_grant *)value)->canary = false;
}

void aub_placement_set_rollout(struct aub_placement *placement,
			       const struct aub_rollout_record *record,
			       bool unreadable, gint64 now_us)
{
	struct aub_rollout *rollout = &placement->rollout;

	placement->rollout_unreadable = unreadable;
	if (!record) {
		aub_rollout_clear(rollout);
	} else {
		if (rollout->state == AUB_ROLLOUT_NONE ||
		    !aub_rollout_order_equal(&rollout->order, &record->order)) {
			aub_rollout_begin(rollout, &record->order, now_us);
			reset_evidence(placement);
		}
		aub_rollout_merge_state(rollout, record->state, true);
	}
	apply_state(placement, now_us);
}

bool aub_placement_merge_rollout(struct aub_placement *placement,
				 const struct aub_rollout_order *order,
				 enum aub_rollout_state state, gint64 age_us,
				 gint64 now_us)
{
	struct aub_rollout *rollout = &placement->rollout;

	if (rollout->state == AUB_ROLLOUT_NONE ||
	    !aub_rollout_order_equal(&rollout->order, order))
		return false;
	aub_rollout_merge_age(rollout, age_us, now_us);
	if (aub_rollout_merge_state(rollout, state,
				    state == AUB_ROLLOUT_COMPLETED))
		apply_state(placement, now_us);
	return true;
}

const struct aub_rollout *aub_placement_rollout(
	const struct aub_placement *placement)
{
	return placement->rollout.state == AUB_ROLLOUT_NONE ?
		       NULL :
		       &placement->rollout;
}

/* The baseline is not imported: it is soon learned again. */
void aub_placement_import_evidence(struct aub_placement *placement,
				   const struct aub_judge_route *routes,
				   guint count, guint64 reached,
				   guint64 exposed, double allowance)
{
	/* Outdated: more requests are known here. */
	if (reached < aub_rollout_total_reached(&placement->rollout))
		return;
	aub_rollout_import_exposure(&placement->rollout, reached, exposed,
				    allowance);
	aub_judge_import(&placement->rollout.judge, routes, count);
}

void aub_placement_grant_slack(struct aub_placement *placement)
{
	aub_rollout_grant_slack(&placement->rollout);
}

enum aub_canary_choice aub_placement_canary_choice(
	const struct aub_placement *placement,
	const struct aub_placement_request *request, gint64 now_us)
{
	const struct aub_rollout *rollout = &placement->rollout;

	if (!placement->rollouts_enabled ||
	    !aub_rollout_is_in_progress(rollout))
		return AUB_CANARY_NONE;
	if (aub_rollout_has_switched(
		    rollout,
		    aub_service_times_mean_ms(&placement->service_times,
					      request->target_ms),
		    now_us))
		return AUB_CANARY_ONLY;
	/*
	 * A caller's retries are not sent to a version that may be bad: only
	 * its first attempt is.
	 */
	if (request->local_fallback || request->retry ||
	    !aub_rollout_may_send_canary(rollout, now_us))
		return AUB_CANARY_NONE;
	return AUB_CANARY_FIRST;
}

void aub_grant_count_canary(struct aub_placement *placement,
			    struct aub_grant *grant,
			    const struct aub_placement_upstream *upstream)
{
	if (upstream->traffic != AUB_VERSION_CANARY)
		return;
	grant->canary = true;
	placement->rollout.exposed++;
	placement->rollout.last_exposed_us = grant->granted_us;
}

/* Returns whether the request reached the upstream. */
static bool reached_upstream(enum aub_grant_result result)
{
	switch (result) {
	case AUB_GRANT_OK:
	case AUB_GRANT_FAILED:
	case AUB_GRANT_REFUSED:
	case AUB_GRANT_LOST:
	case AUB_GRANT_TIMEOUT:
	case AUB_GRANT_ABANDONED:
	case AUB_GRANT_LINK_LOST:
		return true;
	case AUB_GRANT_WRONG_UPSTREAM:
	case AUB_GRANT_UNREACHABLE:
	case AUB_GRANT_UNUSED:
	case AUB_GRANT_RESULT_COUNT:
		break;
	}
	return false;
}

static bool is_nearly_full(const struct aub_grant *grant,
			   const struct aub_placement_upstream *upstream)
{
	return grant->concurrency >= FULL_UTILIZATION_SHARE * upstream->slots;
}

/*
 * Crashes, refusals and timeouts of upstreams say nothing about their version.
 * Only complete responses and their times count.
 */
static void fill_answer(const struct aub_placement *placement,
			const struct aub_placement_upstream *upstream,
			const struct aub_grant *grant, gint64 elapsed_us,
			struct aub_judge_answer *answer)
{
	double saturation =
		aub_saturation_slowdown(&placement->saturation,
					grant->concurrency, upstream->slots);

	*answer = (struct aub_judge_answer){
		.route = grant->route,
		.full = is_nearly_full(grant, upstream),
		.ms = grant->cold || grant->judged_early ?
			      0 :
			      (double)elapsed_us / AUB_US_PER_MS /
				      grant->slowdown / saturation,
	};
}

double aub_placement_upstream_evidence_share(
	const struct aub_placement *placement,
	const struct aub_placement_upstream *upstream)
{
	const double *contributed = upstream->evidence.contributed;

	return MAX(contributed[AUB_JUDGE_FAILURES],
		   contributed[AUB_JUDGE_SLOWNESS]) /
	       aub_judge_evidence_max(placement->rollout.canary_upstreams);
}

static void judge_canary_answer(struct aub_placement *placement,
				struct aub_placement_upstream *upstream,
				const struct aub_judge_answer *answer)
{
	struct aub_rollout *rollout = &placement->rollout;

	aub_judge_add_canary(&rollout->judge, answer, &upstream->evidence,
			     aub_judge_evidence_max(rollout->canary_upstreams));
}

static bool is_complete_response(enum aub_grant_result result)
{
	return result == AUB_GRANT_OK || result == AUB_GRANT_FAILED;
}

static void count_exposure(struct aub_rollout *rollout,
			   const struct aub_grant *grant,
			   enum aub_grant_result result)
{
	if (reached_upstream(result))
		rollout->reached++;
	else if (grant->canary && rollout->exposed)
		rollout->exposed--;
}

void aub_grant_judge(struct aub_placement *placement,
		     struct aub_placement_upstream *upstream,
		     const struct aub_grant *grant,
		     const struct aub_grant_report *report)
{
	struct aub_rollout *rollout = &placement->rollout;
	struct aub_judge_answer answer;

	if (!placement->rollouts_enabled)
		return;
	if (aub_rollout_is_in_progress(rollout))
		count_exposure(rollout, grant, report->end);
	if (!is_complete_response(report->end))
		return;
	fill_answer(placement, upstream, grant, report->elapsed_us, &answer);
	answer.failed = report->end == AUB_GRANT_FAILED;
	/*
	 * Also done while there is no order, so that the next one has a
	 * baseline.
	 */
	if (upstream->traffic == AUB_VERSION_ACTIVE)
		aub_judge_add_baseline(&rollout->judge, &answer);
	else if (upstream->traffic == AUB_VERSION_CANARY && grant->canary)
		judge_canary_answer(placement, upstream, &answer);
}

/*
 * A version that is several times slower than the old one, at a high request
 * rate, would get hundreds of requests before its first responses are judged. A
 * request in progress for longer than good responses take is therefore judged
 * immediately.
 */
static void judge_overdue_grants(struct aub_placement *placement, gint64 now_us)
{
	struct aub_rollout *rollout = &placement->rollout;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct aub_grant *grant = value;
		struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement,
						   grant->upstream_index);
		struct aub_judge_answer answer;
		double slow_ms;

		if (!grant->canary || grant->judged_early || grant->cold)
			continue;
		slow_ms = aub_judge_slow_ms(&rollout->judge, grant->route,
					    is_nearly_full(grant, upstream));
		fill_answer(placement, upstream, grant,
			    now_us - grant->granted_us, &answer);
		if (slow_ms <= 0 || answer.ms <= slow_ms)
			continue;
		judge_canary_answer(placement, upstream, &answer);
		grant->judged_early = true;
	}
}

static void add_grant_load(const struct aub_placement *placement,
			   struct aub_rollout_load *load)
{
	guint count = g_hash_table_size(placement->grants);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct aub_grant *grant = value;
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement,
						   grant->upstream_index);
		double mean_ms =
			aub_service_times_mean_ms(&placement->service_times,
						  grant->target_ms);

		load->max_service_time_ms =
			MAX(load->max_service_time_ms, mean_ms);
		load->mean_service_time_ms += mean_ms / count;
		load->baseline_running +=
			upstream->traffic != AUB_VERSION_CANARY;
	}
}

static void add_upstream_load(const struct aub_placement *placement,
			      const struct aub_placement_upstream *upstream,
			      struct aub_rollout_load *load)
{
	guint limit =
		aub_placement_upstream_concurrency_limit(placement, upstream);

	load->slots += limit;
	load->batch_size = MAX(load->batch_size, limit);
}

static void measure_load(const struct aub_placement *placement, gint64 now_us,
			 struct aub_rollout_load *load)
{
	*load = (struct aub_rollout_load){
		.slots_needed = (guint)(SWITCH_HEADROOM_FACTOR *
					g_hash_table_size(placement->grants)),
	};
	add_grant_load(placement, load);
	for (guint i = 0; i < placement->upstreams->len; i++) {
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (upstream->traffic == AUB_VERSION_CANARY &&
		    upstream->registered &&
		    !aub_placement_upstream_is_leaving(upstream) &&
		    !upstream->zone_out &&
		    upstream->state == AUB_PLACEMENT_UPSTREAM_UP &&
		    !aub_placement_upstream_is_cold(upstream, now_us))
			add_upstream_load(placement, upstream, load);
	}
}

void aub_placement_admit_versions(struct aub_placement *placement,
				  gint64 now_us)
{
	if (placement->rollouts_enabled && placement->rollouts_loaded &&
	    !placement->rollout_unreadable &&
	    aub_service_versions_admit(&placement->versions, now_us))
		update_traffic(placement);
}

enum aub_rollout_state aub_placement_rollout_step(
	struct aub_placement *placement, gint64 now_us)
{
	struct aub_rollout *rollout = &placement->rollout;
	struct aub_rollout_load load;

	if (!placement->rollouts_enabled)
		return AUB_ROLLOUT_NONE;
	if (rollout->state == AUB_ROLLOUT_NONE)
		return AUB_ROLLOUT_NONE;
	if (aub_rollout_is_in_progress(rollout))
		judge_overdue_grants(placement, now_us);
	measure_load(placement, now_us, &load);
	if (aub_rollout_step(rollout, &load, now_us))
		apply_state(placement, now_us);
	return aub_rollout_state_to_store(rollout, &load, now_us);
}

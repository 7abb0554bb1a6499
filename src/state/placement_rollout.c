/*
 * Versions in a placement: what each upstream's allows, what a new one gets
 * while it is judged, and what its answers say of it.
 */
#include <auburnstile/internal/placement_parts.h>

#include <string.h>

#define FULL_SHARE 0.7 /* of its slots: an upstream counts as full */
#define ROOM_FACTOR 1.2 /* slots over what runs, to take all requests */

static enum aub_version_use use_of(const struct aub_placement *placement,
				   const struct aub_row *row)
{
	const struct aub_service_versions *versions = &placement->versions;

	if (!placement->takes_orders)
		return AUB_VERSION_FREE;
	if (!placement->orders_known)
		return AUB_VERSION_HELD;
	if (aub_service_versions_is_free(versions, row->version))
		return AUB_VERSION_FREE;
	if (row->version != AUB_VERSION_NONE &&
	    row->version == versions->target &&
	    aub_rollout_is_open(&placement->rollout))
		return AUB_VERSION_CANARY;
	return AUB_VERSION_HELD;
}

static void set_uses(struct aub_placement *placement)
{
	guint canaries = 0;

	for (guint i = 0; i < placement->rows->len; i++) {
		struct aub_row *row = aub_placement_row(placement, i);

		row->use = use_of(placement, row);
		canaries += row->registered && row->use == AUB_VERSION_CANARY;
	}
	placement->rollout.upstreams = canaries;
}

/* Counts all upstreams anew and finds what each may get. */
static void recount_versions(struct aub_placement *placement, gint64 now_us)
{
	struct aub_service_versions *versions = &placement->versions;

	aub_service_versions_recount(versions);
	for (guint i = 0; i < placement->rows->len; i++) {
		const struct aub_row *row = aub_placement_row(placement, i);

		if (row->registered)
			aub_service_versions_count(versions, row->version,
						   row->born_ms);
	}
	aub_service_versions_counted(versions, now_us);
	set_uses(placement);
}

static bool has_version(const struct aub_placement *placement,
			const struct aub_row *row, const char *version)
{
	return row->version != AUB_VERSION_NONE &&
	       !strcmp(placement->versions.list[row->version].name, version);
}

/*
 * Load: the listing of a service with hundreds of upstreams, all of them of one
 * version.
 *
 * Failure: all are counted anew for each that is read. Symptom: a start takes
 * time by the square of their number. Enough: while there is one version only,
 * nothing but the upstream's own count changes.
 */
void aub_row_count_version(struct aub_placement *placement, struct aub_row *row,
			   const char *version, bool was_registered,
			   gint64 now_us)
{
	struct aub_service_versions *versions = &placement->versions;

	if (!placement->takes_orders) {
		row->use = AUB_VERSION_FREE;
		return;
	}
	if (version && was_registered && has_version(placement, row, version))
		return;
	if (version) {
		row->version = aub_service_versions_index(versions, version);
		row->evidence = (struct aub_judge_evidence){ 0 };
	}
	if (versions->count > 1 || (version && was_registered)) {
		recount_versions(placement, now_us);
		return;
	}
	if (version)
		aub_service_versions_count(versions, row->version,
					   row->born_ms);
	else if (was_registered)
		aub_service_versions_discount(versions, row->version);
	aub_service_versions_counted(versions, now_us);
	row->use = use_of(placement, row);
}

void aub_placement_take_orders(struct aub_placement *placement,
			       const struct aub_rollout_limits *limits)
{
	placement->takes_orders = limits->share > 0;
	placement->rollout.limits = *limits;
	set_uses(placement);
}

void aub_placement_orders_known(struct aub_placement *placement, gint64 now_us)
{
	if (placement->orders_known)
		return;
	placement->orders_known = true;
	recount_versions(placement, now_us);
}

/* What follows from the order's state for the versions. */
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

static void forget_evidence(struct aub_placement *placement)
{
	GHashTableIter iter;
	void *value;

	for (guint i = 0; i < placement->rows->len; i++)
		aub_placement_row(placement, i)->evidence =
			(struct aub_judge_evidence){ 0 };
	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct aub_grant *)value)->canary = false;
}

void aub_placement_order(struct aub_placement *placement,
			 const struct aub_rollout_record *record,
			 bool unreadable, gint64 now_us)
{
	struct aub_rollout *rollout = &placement->rollout;

	placement->order_unreadable = unreadable;
	if (!record) {
		aub_rollout_clear(rollout);
	} else {
		if (rollout->state == AUB_ROLLOUT_NONE ||
		    !aub_rollout_order_equal(&rollout->order, &record->order)) {
			aub_rollout_begin(rollout, &record->order, now_us);
			forget_evidence(placement);
		}
		aub_rollout_learn_state(rollout, record->state, true);
	}
	apply_state(placement, now_us);
}

bool aub_placement_order_told(struct aub_placement *placement,
			      const struct aub_rollout_order *order,
			      enum aub_rollout_state state, gint64 age_us,
			      gint64 now_us)
{
	struct aub_rollout *rollout = &placement->rollout;

	if (rollout->state == AUB_ROLLOUT_NONE ||
	    !aub_rollout_order_equal(&rollout->order, order))
		return false;
	aub_rollout_learn_age(rollout, age_us, now_us);
	if (aub_rollout_learn_state(rollout, state,
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

/* What the old version answers is soon known anew. */
void aub_placement_inherit(struct aub_placement *placement,
			   const struct aub_judge_route *routes, guint count,
			   guint64 reached, guint64 exposed, double allowance)
{
	/* Older than what is known. */
	if (reached < aub_rollout_total_reached(&placement->rollout))
		return;
	aub_rollout_learn_exposure(&placement->rollout, reached, exposed,
				   allowance);
	aub_judge_inherit(&placement->rollout.judge, routes, count);
}

void aub_placement_grant_slack(struct aub_placement *placement)
{
	aub_rollout_grant_slack(&placement->rollout);
}

enum aub_canary_choice aub_placement_canary(
	const struct aub_placement *placement, const struct aub_ask *ask,
	gint64 now_us)
{
	const struct aub_rollout *rollout = &placement->rollout;

	if (!placement->takes_orders || !aub_rollout_is_open(rollout))
		return AUB_CANARY_NONE;
	if (aub_rollout_has_switched(rollout,
				     aub_work_times_usual(&placement->work,
							  ask->target_ms),
				     now_us))
		return AUB_CANARY_ONLY;
	/* A caller meets a version that may be bad once, not again. */
	if (ask->alone || ask->retry ||
	    !aub_rollout_may_expose(rollout, now_us))
		return AUB_CANARY_NONE;
	return AUB_CANARY_FIRST;
}

void aub_grant_count_canary(struct aub_placement *placement,
			    struct aub_grant *made, const struct aub_row *row)
{
	if (row->use != AUB_VERSION_CANARY)
		return;
	made->canary = true;
	placement->rollout.exposed++;
	placement->rollout.exposed_us = made->since_us;
}

/* Did the request reach the upstream? */
static bool has_reached(enum aub_attempt_end end)
{
	switch (end) {
	case AUB_END_OK:
	case AUB_END_FAILED:
	case AUB_END_REFUSED:
	case AUB_END_LOST:
	case AUB_END_TIMEOUT:
	case AUB_END_ABANDONED:
		return true;
	case AUB_END_MISPLACED:
	case AUB_END_UNREACHABLE:
	case AUB_END_UNUSED:
		break;
	}
	return false;
}

static bool is_full(const struct aub_grant *made, const struct aub_row *row)
{
	return made->running >= FULL_SHARE * row->slots;
}

/*
 * Upstreams that crash, shed or hang say nothing of their version: what counts
 * is whole answers, and how long they took.
 */
static void fill_answer(const struct aub_placement *placement,
			const struct aub_row *row, const struct aub_grant *made,
			gint64 elapsed_us, struct aub_judge_answer *answer)
{
	double knee =
		aub_knee_factor(&placement->knee, made->running, row->slots);

	*answer = (struct aub_judge_answer){
		.route = made->route,
		.full = is_full(made, row),
		.ms = made->cold || made->judged ?
			      0 :
			      (double)elapsed_us / AUB_PLACE_MS /
				      made->slowdown / knee,
	};
}

double aub_row_evidence(const struct aub_placement *placement,
			const struct aub_row *row)
{
	const double *brought = row->evidence.brought;

	return MAX(brought[AUB_JUDGE_FAILURES], brought[AUB_JUDGE_SLOWNESS]) /
	       aub_judge_evidence_most(placement->rollout.upstreams);
}

static void judge_new(struct aub_placement *placement, struct aub_row *row,
		      const struct aub_judge_answer *answer)
{
	struct aub_rollout *rollout = &placement->rollout;

	aub_judge_take_new(&rollout->judge, answer, &row->evidence,
			   aub_judge_evidence_most(rollout->upstreams));
}

static bool is_answer(enum aub_attempt_end end)
{
	return end == AUB_END_OK || end == AUB_END_FAILED;
}

static void count_exposure(struct aub_rollout *rollout,
			   const struct aub_grant *made,
			   enum aub_attempt_end end)
{
	if (has_reached(end))
		rollout->reached++;
	else if (made->canary && rollout->exposed)
		rollout->exposed--;
}

void aub_grant_judge(struct aub_placement *placement, struct aub_row *row,
		     const struct aub_grant *made,
		     const struct aub_attempt_report *report)
{
	struct aub_rollout *rollout = &placement->rollout;
	struct aub_judge_answer answer;

	if (!placement->takes_orders)
		return;
	if (aub_rollout_is_open(rollout))
		count_exposure(rollout, made, report->end);
	if (!is_answer(report->end))
		return;
	fill_answer(placement, row, made, report->elapsed_us, &answer);
	answer.failed = report->end == AUB_END_FAILED;
	/* Also while there is no order, so that the next one has its measure.
	 */
	if (row->use == AUB_VERSION_FREE)
		aub_judge_take_base(&rollout->judge, &answer);
	else if (row->use == AUB_VERSION_CANARY && made->canary)
		judge_new(placement, row, &answer);
}

/*
 * Load: a version several times slower than the old one, at a high rate.
 *
 * Failure: its answers are waited for before it is judged. Symptom: hundreds
 * of requests are sent to it meanwhile. Enough: an answer that is out for
 * longer than good ones take is judged at once.
 */
static void judge_overdue(struct aub_placement *placement, gint64 now_us)
{
	struct aub_rollout *rollout = &placement->rollout;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct aub_grant *made = value;
		struct aub_row *row = aub_placement_row(placement, made->row);
		struct aub_judge_answer answer;
		double slow_ms;

		if (!made->canary || made->judged || made->cold)
			continue;
		slow_ms = aub_judge_slow_ms(&rollout->judge, made->route,
					    is_full(made, row));
		fill_answer(placement, row, made, now_us - made->since_us,
			    &answer);
		if (slow_ms <= 0 || answer.ms <= slow_ms)
			continue;
		judge_new(placement, row, &answer);
		made->judged = true;
	}
}

static void view_grants(const struct aub_placement *placement,
			struct aub_rollout_view *view)
{
	guint count = g_hash_table_size(placement->grants);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct aub_grant *made = value;
		const struct aub_row *row =
			aub_placement_row(placement, made->row);
		double usual_ms =
			aub_work_times_usual(&placement->work, made->target_ms);

		view->longest_ms = MAX(view->longest_ms, usual_ms);
		view->mean_ms += usual_ms / count;
		view->base_running += row->use != AUB_VERSION_CANARY;
	}
}

static void view_upstream(const struct aub_placement *placement,
			  const struct aub_row *row,
			  struct aub_rollout_view *view)
{
	guint limit = aub_row_limit(placement, row);

	view->slots += limit;
	view->batch = MAX(view->batch, limit);
}

static void view_fill(const struct aub_placement *placement, gint64 now_us,
		      struct aub_rollout_view *view)
{
	*view = (struct aub_rollout_view){
		.slots_needed = (guint)(ROOM_FACTOR *
					g_hash_table_size(placement->grants)),
	};
	view_grants(placement, view);
	for (guint i = 0; i < placement->rows->len; i++) {
		const struct aub_row *row = aub_placement_row(placement, i);

		if (row->use == AUB_VERSION_CANARY && row->registered &&
		    !row->draining && !row->zone_out &&
		    row->state == AUB_ROW_UP && !aub_row_is_cold(row, now_us))
			view_upstream(placement, row, view);
	}
}

void aub_placement_admit(struct aub_placement *placement, gint64 now_us)
{
	if (placement->takes_orders && placement->orders_known &&
	    !placement->order_unreadable &&
	    aub_service_versions_admit(&placement->versions, now_us))
		set_uses(placement);
}

enum aub_rollout_state aub_placement_rollout_step(
	struct aub_placement *placement, gint64 now_us)
{
	struct aub_rollout *rollout = &placement->rollout;
	struct aub_rollout_view view;

	if (!placement->takes_orders)
		return AUB_ROLLOUT_NONE;
	if (rollout->state == AUB_ROLLOUT_NONE)
		return AUB_ROLLOUT_NONE;
	if (aub_rollout_is_open(rollout))
		judge_overdue(placement, now_us);
	view_fill(placement, now_us, &view);
	if (aub_rollout_step(rollout, &view, now_us))
		apply_state(placement, now_us);
	return aub_rollout_wanted(rollout, &view, now_us);
}

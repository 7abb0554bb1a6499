/*
 * The life cycle of a rollout order: exposure, decision, switch to the new
 * version.
 */
#include <auburnstile/internal/rollout.h>

#include <math.h>

#define US_PER_MS ((gint64)1000)

/* The portions of the operators' share and slack that are used. */
#define SHARE_USED_MAX 0.98 /* of the share, hard limit */
#define SHARE_USED_PLANNED 0.96
#define SHARE_USED_INHERITED 0.92 /* imported numbers are slightly outdated */
#define SLACK_USED_SHARE 0.85
#define ALLOWANCE_INHERITED_SHARE 0.5
#define ARRIVAL_RESERVE_SIGMAS 1.5 /* requests arrive at random */

/*
 * The portions of the planned exposure for judging; the rest is for the switch.
 */
#define CANARY_SHARE_MAX 0.7
#define CANARY_SHARE_MIN 0.18
/* The allowance is spent in this share of the duration. */
#define ALLOWANCE_DURATION_SHARE 0.6
/* Requests that may be sent are spread over this time. */
#define CANARY_SPREAD_US (1500.0 * US_PER_MS)

/* An order is received with some delay, and completing it takes a call. */
#define MARGIN_DURATION_SHARE 0.01
#define MARGIN_MIN_MS 200.0
#define MARGIN_MAX_MS 1500.0

/*
 * Time until the last responses of the old version have arrived, as a multiple
 * of the mean service time.
 */
#define DRAIN_FACTOR_MAX 7.0
#define DRAIN_FACTOR_MIN 0.5
#define DRAIN_DURATION_SHARE 0.25 /* of the duration, at most */
#define RATE_INTERVAL_MS 1000.0 /* for measuring the request rate */

/*
 * Timed responses without which a version is not considered good, once this
 * number of requests has reached the service.
 */
#define TIMED_ANSWERS_MIN 8
#define REACHED_REQUESTS_MIN 40

/*
 * A version is rejected after this number of bad responses if they exceed this
 * share of the timed ones.
 */
#define BAD_ANSWERS_MIN 20
#define BAD_ANSWERS_SHARE 0.4

bool aub_rollout_order_equal(const struct aub_rollout_order *left,
			     const struct aub_rollout_order *right)
{
	return left->created == right->created &&
	       left->duration_ms == right->duration_ms &&
	       !g_strcmp0(left->version, right->version);
}

const char *aub_rollout_state_name(enum aub_rollout_state state)
{
	static const char *const names[AUB_ROLLOUT_STATES] = {
		[AUB_ROLLOUT_NONE] = "none",
		[AUB_ROLLOUT_RUNNING] = "running",
		[AUB_ROLLOUT_SWITCHING] = "switching",
		[AUB_ROLLOUT_ROLLED_BACK] = "rolled-back",
		[AUB_ROLLOUT_COMPLETED] = "completed",
	};

	return names[state];
}

void aub_rollout_init(struct aub_rollout *rollout,
		      const struct aub_rollout_limits *limits)
{
	*rollout = (struct aub_rollout){ .limits = *limits, .reason = "" };
}

void aub_rollout_clear(struct aub_rollout *rollout)
{
	g_free(rollout->order.version);
	*rollout = (struct aub_rollout){
		.limits = rollout->limits,
		.judge = rollout->judge,
		.reason = "",
	};
	aub_judge_reset_canary(&rollout->judge);
}

void aub_rollout_begin(struct aub_rollout *rollout,
		       const struct aub_rollout_order *order, gint64 now_us)
{
	aub_rollout_clear(rollout);
	rollout->order = *order;
	rollout->order.version = g_strdup(order->version);
	rollout->state = AUB_ROLLOUT_RUNNING;
	rollout->started_us = now_us;
	rollout->batch_size = 1;
	rollout->canary_share = CANARY_SHARE_MIN * rollout->limits.share;
	rollout->drain_factor = DRAIN_FACTOR_MAX;
}

guint64 aub_rollout_total_reached(const struct aub_rollout *rollout)
{
	return rollout->reached + rollout->inherited_reached;
}

guint64 aub_rollout_total_exposed(const struct aub_rollout *rollout)
{
	return rollout->exposed + rollout->inherited_exposed;
}

/*
 * Placers may fail one after the other, or two may be active at the same time.
 * To keep each from spending the whole allowance, each gets half of that of the
 * one before, so that all together spend at most twice the first one.
 */
void aub_rollout_import_exposure(struct aub_rollout *rollout, guint64 reached,
				 guint64 exposed, double allowance)
{
	rollout->inherited_reached =
		MAX(aub_rollout_total_reached(rollout), reached);
	rollout->inherited_exposed =
		MAX(aub_rollout_total_exposed(rollout), exposed);
	rollout->reached = 0;
	rollout->exposed = 0;
	rollout->allowance =
		MAX(rollout->allowance, ALLOWANCE_INHERITED_SHARE * allowance);
}

void aub_rollout_merge_age(struct aub_rollout *rollout, gint64 age_us,
			   gint64 now_us)
{
	rollout->started_us = MIN(rollout->started_us, now_us - age_us);
}

static bool set_state(struct aub_rollout *rollout, enum aub_rollout_state state,
		      const char *reason)
{
	if (rollout->state == state)
		return false;
	rollout->state = state;
	rollout->reason = reason;
	return true;
}

bool aub_rollout_is_in_progress(const struct aub_rollout *rollout)
{
	return rollout->state == AUB_ROLLOUT_RUNNING ||
	       rollout->state == AUB_ROLLOUT_SWITCHING;
}

bool aub_rollout_merge_state(struct aub_rollout *rollout,
			     enum aub_rollout_state state, bool stored)
{
	if (stored && (state == AUB_ROLLOUT_COMPLETED ||
		       state == AUB_ROLLOUT_ROLLED_BACK))
		return set_state(rollout, state, "stored");
	if (!aub_rollout_is_in_progress(rollout) || state <= rollout->state ||
	    state == AUB_ROLLOUT_COMPLETED)
		return false;
	return set_state(rollout, state, "told");
}

static double elapsed_ms_of(const struct aub_rollout *rollout, gint64 now_us)
{
	return (double)(now_us - rollout->started_us) / US_PER_MS;
}

static double margin_ms(const struct aub_rollout *rollout)
{
	return CLAMP(MARGIN_DURATION_SHARE * rollout->order.duration_ms,
		     MARGIN_MIN_MS, MARGIN_MAX_MS);
}

/*
 * Returns the time of the switch, in ms after the start of the order. It is as
 * late as the old version's responses in progress allow, so that a version that
 * regresses late is still judged by a small share of the requests.
 */
static double switch_ms(const struct aub_rollout *rollout,
			double service_time_ms)
{
	double limit = DRAIN_DURATION_SHARE * rollout->order.duration_ms;

	return rollout->order.duration_ms - margin_ms(rollout) -
	       MIN(rollout->drain_factor * service_time_ms, limit);
}

static bool is_expired(const struct aub_rollout *rollout, gint64 now_us)
{
	return elapsed_ms_of(rollout, now_us) >= rollout->order.duration_ms;
}

/*
 * Returns whether `requests` more may be sent to the new version, even if it
 * turns out to be bad.
 */
static bool is_within_exposure(const struct aub_rollout *rollout,
			       double requests)
{
	double limit = SHARE_USED_MAX * rollout->limits.share *
			       (double)aub_rollout_total_reached(rollout) +
		       rollout->allowance;

	return (double)aub_rollout_total_exposed(rollout) + requests <= limit;
}

bool aub_rollout_has_switched(const struct aub_rollout *rollout,
			      double service_time_ms, gint64 now_us)
{
	return rollout->state == AUB_ROLLOUT_SWITCHING &&
	       elapsed_ms_of(rollout, now_us) >=
		       switch_ms(rollout, service_time_ms) &&
	       (is_expired(rollout, now_us) || is_within_exposure(rollout, 1));
}

/* Returns how many more requests may be sent to the new version to judge it. */
static double canary_requests_left(const struct aub_rollout *rollout,
				   gint64 now_us)
{
	double elapsed_share =
		elapsed_ms_of(rollout, now_us) /
		(ALLOWANCE_DURATION_SHARE * rollout->order.duration_ms);
	double limit = rollout->canary_share *
			       (double)aub_rollout_total_reached(rollout) +
		       rollout->canary_allowance * MIN(elapsed_share, 1);

	return limit - (double)aub_rollout_total_exposed(rollout);
}

bool aub_rollout_is_filling(const struct aub_rollout *rollout)
{
	return aub_rollout_total_exposed(rollout) / rollout->batch_size % 2 ==
	       0;
}

/*
 * Returns whether one of the `remaining` requests may be sent now.
 *
 * The requests that may be sent add up while the new version warms up. If they
 * were sent together, their long responses would arrive one after the other,
 * after all short ones, and look like a version that has become slow. They are
 * spread over a while, except for as many as fill one upstream.
 */
static bool may_send_now(const struct aub_rollout *rollout, double remaining,
			 gint64 now_us)
{
	if (!aub_rollout_is_filling(rollout))
		return now_us - rollout->last_exposed_us >=
		       (gint64)(CANARY_SPREAD_US / remaining);
	return aub_rollout_total_exposed(rollout) % rollout->batch_size ||
	       remaining >= rollout->batch_size;
}

/*
 * Includes the requests placed by others as far as known, so that processes
 * that place one after the other, or concurrently, stay below the share of the
 * sum.
 */
bool aub_rollout_may_send_canary(const struct aub_rollout *rollout,
				 gint64 now_us)
{
	double remaining = canary_requests_left(rollout, now_us);

	return aub_rollout_is_in_progress(rollout) &&
	       !is_expired(rollout, now_us) && remaining >= 1 &&
	       may_send_now(rollout, remaining, now_us);
}

/*
 * Updates the request rate from a recent interval, so that the start of a load
 * spike counts.
 */
static void update_request_rate(struct aub_rollout *rollout, gint64 now_us)
{
	double ms = (double)(now_us - rollout->rate_sampled_us) / US_PER_MS;
	guint64 reached = aub_rollout_total_reached(rollout);

	if (ms < RATE_INTERVAL_MS)
		return;
	if (rollout->rate_sampled_us && reached > rollout->rate_requests)
		rollout->requests_per_ms =
			(double)(reached - rollout->rate_requests) / ms;
	rollout->rate_sampled_us = now_us;
	rollout->rate_requests = reached;
}

/*
 * Plans the exposure that is left for the switch to the new version.
 *
 * A version may regress, or show that it is bad, only when it gets all
 * requests; until they are back at the old version it would have got more than
 * operators allow. The switch therefore takes no more requests than are left of
 * the exposure until the end of the order, whatever the version turns out to
 * be.
 */
static void plan_switch(struct aub_rollout *rollout,
			const struct aub_rollout_load *load, gint64 now_us)
{
	const struct aub_rollout_limits *limits = &rollout->limits;
	double elapsed_ms = MAX(elapsed_ms_of(rollout, now_us), 1);
	double duration_ms = rollout->order.duration_ms;
	double remaining_ms = MAX(duration_ms - elapsed_ms, 0);
	double reached = (double)aub_rollout_total_reached(rollout);
	double exposed = (double)aub_rollout_total_exposed(rollout);
	double per_ms = MAX(reached / elapsed_ms, rollout->requests_per_ms);
	double share_used = rollout->inherited_reached ? SHARE_USED_INHERITED :
							 SHARE_USED_PLANNED;
	double max_exposed =
		share_used * limits->share * (reached + per_ms * remaining_ms) +
		rollout->allowance;
	double reserve = per_ms * margin_ms(rollout) +
			 ARRIVAL_RESERVE_SIGMAS * sqrt(MAX(max_exposed, 0));
	double drain_requests; /* requests in one mean service time */
	double canary_requests;

	update_request_rate(rollout, now_us);
	drain_requests = MAX(per_ms * load->mean_service_time_ms, 1);
	canary_requests =
		CLAMP(max_exposed - reserve - DRAIN_FACTOR_MAX * drain_requests,
		      CANARY_SHARE_MIN * max_exposed,
		      CANARY_SHARE_MAX * max_exposed);
	rollout->canary_share =
		MIN(canary_requests / MAX(per_ms * duration_ms, 1),
		    CANARY_SHARE_MAX * limits->share);
	rollout->canary_allowance =
		CLAMP(canary_requests -
			      rollout->canary_share * per_ms * duration_ms,
		      0, CANARY_SHARE_MAX * rollout->allowance);
	rollout->drain_factor =
		CLAMP((max_exposed - exposed - reserve) / drain_requests,
		      DRAIN_FACTOR_MIN, DRAIN_FACTOR_MAX);
}

void aub_rollout_grant_slack(struct aub_rollout *rollout)
{
	rollout->allowance = SLACK_USED_SHARE * rollout->limits.slack;
}

/*
 * Returns whether there are too few responses to call it good, although
 * there were requests.
 */
static bool lacks_answers(const struct aub_rollout *rollout)
{
	return rollout->judge.timed < TIMED_ANSWERS_MIN &&
	       aub_rollout_total_reached(rollout) >= REACHED_REQUESTS_MIN;
}

/* Returns the reason why an order expired without a switch. */
static const char *failure_reason(const struct aub_rollout *rollout,
				  const struct aub_rollout_load *load)
{
	if (!load->slots)
		return "no-upstreams";
	if (lacks_answers(rollout))
		return "unproved";
	if (aub_judge_is_suspicious(&rollout->judge))
		return "suspicious";
	return load->slots < load->slots_needed ? "no-room" : "too-late";
}

static bool may_switch(const struct aub_rollout *rollout,
		       const struct aub_rollout_load *load)
{
	return !lacks_answers(rollout) &&
	       !aub_judge_is_suspicious(&rollout->judge) && load->slots &&
	       load->slots >= load->slots_needed;
}

/* The tests may take long to detect a small regression. */
static bool has_many_bad_answers(const struct aub_rollout *rollout)
{
	const struct aub_judge *judge = &rollout->judge;

	return judge->bad >= BAD_ANSWERS_MIN &&
	       judge->bad > BAD_ANSWERS_SHARE * judge->timed;
}

bool aub_rollout_step(struct aub_rollout *rollout,
		      const struct aub_rollout_load *load, gint64 now_us)
{
	double elapsed_ms = elapsed_ms_of(rollout, now_us);

	if (!aub_rollout_is_in_progress(rollout))
		return false;
	if (rollout->judge.alarmed)
		return set_state(rollout, AUB_ROLLOUT_ROLLED_BACK,
				 aub_judge_fault_name(rollout->judge.fault));
	if (has_many_bad_answers(rollout))
		return set_state(rollout, AUB_ROLLOUT_ROLLED_BACK,
				 "bad-answers");
	if (rollout->state == AUB_ROLLOUT_SWITCHING)
		return false;
	rollout->batch_size = MAX(load->batch_size, 1);
	plan_switch(rollout, load, now_us);
	/* Early enough to be stored before the order's end. */
	if (elapsed_ms >= rollout->order.duration_ms - margin_ms(rollout) / 2)
		return set_state(rollout, AUB_ROLLOUT_ROLLED_BACK,
				 failure_reason(rollout, load));
	if (elapsed_ms < switch_ms(rollout, load->max_service_time_ms) ||
	    !may_switch(rollout, load))
		return false;
	return set_state(rollout, AUB_ROLLOUT_SWITCHING, "good");
}

/*
 * Returns whether all requests go to the new version and the old one has none
 * in progress.
 */
static bool is_drained(const struct aub_rollout *rollout,
		       const struct aub_rollout_load *load, gint64 now_us)
{
	double elapsed_ms = elapsed_ms_of(rollout, now_us);
	double remaining_ms = MAX(rollout->order.duration_ms - elapsed_ms, 0);

	return elapsed_ms >= switch_ms(rollout, 0) && !load->baseline_running &&
	       is_within_exposure(rollout,
				  rollout->requests_per_ms * remaining_ms);
}

enum aub_rollout_state aub_rollout_state_to_store(
	const struct aub_rollout *rollout, const struct aub_rollout_load *load,
	gint64 now_us)
{
	switch (rollout->state) {
	case AUB_ROLLOUT_RUNNING:
		return AUB_ROLLOUT_RUNNING;
	case AUB_ROLLOUT_SWITCHING:
		return is_drained(rollout, load, now_us) ?
			       AUB_ROLLOUT_COMPLETED :
			       AUB_ROLLOUT_RUNNING;
	case AUB_ROLLOUT_ROLLED_BACK:
		return AUB_ROLLOUT_ROLLED_BACK;
	case AUB_ROLLOUT_NONE:
	case AUB_ROLLOUT_COMPLETED:
	case AUB_ROLLOUT_STATES:
		break;
	}
	return AUB_ROLLOUT_NONE;
}

/*
 * The life of an order: exposure, verdict, and the move to the new version.
 */
#include <auburnstile/internal/rollout.h>

#include <math.h>

#define MS ((gint64)1000)

/* Parts of the operators' share and slack that are used. */
#define SHARE_MOST 0.98 /* of the share, by all means */
#define SHARE_PLANNED 0.96
#define SHARE_PLANNED_INHERITED 0.92 /* what was told is a moment old */
#define SLACK_USED 0.85
#define ALLOWANCE_INHERITED 0.5
#define RESERVE_SIGMAS 1.5 /* arrivals come at random */

/* Parts of what is planned for judging; the rest is for the move. */
#define CANARY_MOST 0.7
#define CANARY_LEAST 0.18
#define ALLOWANCE_PACE 0.6 /* of the whole time, to spend the allowance in */
#define SPREAD_US (1500.0 * MS) /* in which what may be sent is sent */

/* An order is heard of a little late, and completing it takes a call. */
#define MARGIN_SHARE 0.01
#define MARGIN_LEAST_MS 200.0
#define MARGIN_MOST_MS 1500.0

/* Usual times of work until the last answers of the old version are in. */
#define DRAIN_TIMES 7.0
#define DRAIN_TIMES_LEAST 0.5
#define DRAIN_SHARE 0.25 /* of the whole time, at most */
#define RATE_MS 1000.0 /* over which the rate of requests is taken */

/* Answers whose time could be judged, before a version can be good ... */
#define ANSWERS_LEAST 8
#define REACHED_LEAST 40 /* ... where as many requests reached the service */

/* So many bad answers, if they are so much of all, make a bad version. */
#define BAD_MANY 20
#define BAD_SHARE 0.4

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
	aub_judge_restart(&rollout->judge);
}

void aub_rollout_begin(struct aub_rollout *rollout,
		       const struct aub_rollout_order *order, gint64 now_us)
{
	aub_rollout_clear(rollout);
	rollout->order = *order;
	rollout->order.version = g_strdup(order->version);
	rollout->state = AUB_ROLLOUT_RUNNING;
	rollout->began_us = now_us;
	rollout->batch = 1;
	rollout->canary_share = CANARY_LEAST * rollout->limits.share;
	rollout->drain_times = DRAIN_TIMES;
}

guint64 aub_rollout_total_reached(const struct aub_rollout *rollout)
{
	return rollout->reached + rollout->others_reached;
}

guint64 aub_rollout_total_exposed(const struct aub_rollout *rollout)
{
	return rollout->exposed + rollout->others_exposed;
}

/*
 * Failure: placers end one after the other, or two place at once. Symptom: each
 * spends the whole allowance. Enough: each gets half of what the one before it
 * had, and all together no more than twice the first one's part.
 */
void aub_rollout_learn_exposure(struct aub_rollout *rollout, guint64 reached,
				guint64 exposed, double allowance)
{
	rollout->others_reached =
		MAX(aub_rollout_total_reached(rollout), reached);
	rollout->others_exposed =
		MAX(aub_rollout_total_exposed(rollout), exposed);
	rollout->reached = 0;
	rollout->exposed = 0;
	rollout->allowance =
		MAX(rollout->allowance, ALLOWANCE_INHERITED * allowance);
}

void aub_rollout_learn_age(struct aub_rollout *rollout, gint64 age_us,
			   gint64 now_us)
{
	rollout->began_us = MIN(rollout->began_us, now_us - age_us);
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

bool aub_rollout_is_open(const struct aub_rollout *rollout)
{
	return rollout->state == AUB_ROLLOUT_RUNNING ||
	       rollout->state == AUB_ROLLOUT_SWITCHING;
}

bool aub_rollout_learn_state(struct aub_rollout *rollout,
			     enum aub_rollout_state state, bool stored)
{
	if (stored && (state == AUB_ROLLOUT_COMPLETED ||
		       state == AUB_ROLLOUT_ROLLED_BACK))
		return set_state(rollout, state, "stored");
	if (!aub_rollout_is_open(rollout) || state <= rollout->state ||
	    state == AUB_ROLLOUT_COMPLETED)
		return false;
	return set_state(rollout, state, "told");
}

static double age_ms(const struct aub_rollout *rollout, gint64 now_us)
{
	return (double)(now_us - rollout->began_us) / MS;
}

static double margin_ms(const struct aub_rollout *rollout)
{
	return CLAMP(MARGIN_SHARE * rollout->order.duration_ms, MARGIN_LEAST_MS,
		     MARGIN_MOST_MS);
}

/*
 * As late as the old version's answers allow: a version that turns bad late is
 * then still judged by a small share of the requests.
 */
static double switch_ms(const struct aub_rollout *rollout, double usual_ms)
{
	double most = DRAIN_SHARE * rollout->order.duration_ms;

	return rollout->order.duration_ms - margin_ms(rollout) -
	       MIN(rollout->drain_times * usual_ms, most);
}

static bool is_over(const struct aub_rollout *rollout, gint64 now_us)
{
	return age_ms(rollout, now_us) >= rollout->order.duration_ms;
}

/* Whatever the version turns out to be, it may get `requests` more. */
static bool may_expose_more(const struct aub_rollout *rollout, double requests)
{
	double most = SHARE_MOST * rollout->limits.share *
			      (double)aub_rollout_total_reached(rollout) +
		      rollout->allowance;

	return (double)aub_rollout_total_exposed(rollout) + requests <= most;
}

bool aub_rollout_has_switched(const struct aub_rollout *rollout,
			      double usual_ms, gint64 now_us)
{
	return rollout->state == AUB_ROLLOUT_SWITCHING &&
	       age_ms(rollout, now_us) >= switch_ms(rollout, usual_ms) &&
	       (is_over(rollout, now_us) || may_expose_more(rollout, 1));
}

/* Requests that may still be sent to the new version, to judge it. */
static double available(const struct aub_rollout *rollout, gint64 now_us)
{
	double pace = age_ms(rollout, now_us) /
		      (ALLOWANCE_PACE * rollout->order.duration_ms);
	double most = rollout->canary_share *
			      (double)aub_rollout_total_reached(rollout) +
		      rollout->canary_allowance * MIN(pace, 1);

	return most - (double)aub_rollout_total_exposed(rollout);
}

bool aub_rollout_fills(const struct aub_rollout *rollout)
{
	return aub_rollout_total_exposed(rollout) / rollout->batch % 2 == 0;
}

/*
 * Failure: what may be sent has added up while the new version warmed up, and
 * is sent at once. Symptom: its long answers come one after the other, after
 * all short ones, and look like a version that has turned slow. Enough: what
 * there is is spread over a while, but for as much as one upstream takes.
 */
static bool is_its_turn(const struct aub_rollout *rollout, double left,
			gint64 now_us)
{
	if (!aub_rollout_fills(rollout))
		return now_us - rollout->exposed_us >=
		       (gint64)(SPREAD_US / left);
	return aub_rollout_total_exposed(rollout) % rollout->batch ||
	       left >= rollout->batch;
}

/*
 * What was placed here counts, and what was told: so the parts of processes
 * that place one after the other, or at once, stay below the share of the sum.
 */
bool aub_rollout_may_expose(const struct aub_rollout *rollout, gint64 now_us)
{
	double left = available(rollout, now_us);

	return aub_rollout_is_open(rollout) && !is_over(rollout, now_us) &&
	       left >= 1 && is_its_turn(rollout, left, now_us);
}

/* Of late, so that a burst that has just begun counts. */
static void note_rate(struct aub_rollout *rollout, gint64 now_us)
{
	double ms = (double)(now_us - rollout->rate_us) / MS;
	guint64 reached = aub_rollout_total_reached(rollout);

	if (ms < RATE_MS)
		return;
	if (rollout->rate_us && reached > rollout->rate_reached)
		rollout->per_ms =
			(double)(reached - rollout->rate_reached) / ms;
	rollout->rate_us = now_us;
	rollout->rate_reached = reached;
}

/*
 * Failure: a version turns bad, or shows that it is, once it gets all
 * requests. Symptom: until they go back to the old one it has got more than
 * operators allow. Enough: the move takes no more requests than are left of
 * what it may get until the end of the order, whatever it turns out to be.
 */
static void plan_move(struct aub_rollout *rollout,
		      const struct aub_rollout_view *view, gint64 now_us)
{
	const struct aub_rollout_limits *limits = &rollout->limits;
	double age = MAX(age_ms(rollout, now_us), 1);
	double whole = rollout->order.duration_ms;
	double left_ms = MAX(whole - age, 0);
	double reached = (double)aub_rollout_total_reached(rollout);
	double exposed = (double)aub_rollout_total_exposed(rollout);
	double per_ms = MAX(reached / age, rollout->per_ms);
	double used = rollout->others_reached ? SHARE_PLANNED_INHERITED :
						SHARE_PLANNED;
	double total = used * limits->share * (reached + per_ms * left_ms) +
		       rollout->allowance;
	double after = per_ms * margin_ms(rollout) +
		       RESERVE_SIGMAS * sqrt(MAX(total, 0));
	double drain; /* requests in one usual time of work */
	double canary;

	note_rate(rollout, now_us);
	drain = MAX(per_ms * view->mean_ms, 1);
	canary = CLAMP(total - after - DRAIN_TIMES * drain,
		       CANARY_LEAST * total, CANARY_MOST * total);
	rollout->canary_share = MIN(canary / MAX(per_ms * whole, 1),
				    CANARY_MOST * limits->share);
	rollout->canary_allowance =
		CLAMP(canary - rollout->canary_share * per_ms * whole, 0,
		      CANARY_MOST * rollout->allowance);
	rollout->drain_times = CLAMP((total - exposed - after) / drain,
				     DRAIN_TIMES_LEAST, DRAIN_TIMES);
}

void aub_rollout_grant_slack(struct aub_rollout *rollout)
{
	rollout->allowance = SLACK_USED * rollout->limits.slack;
}

/* Too few answers to say that it is good, though there were requests. */
static bool is_unproved(const struct aub_rollout *rollout)
{
	return rollout->judge.timed < ANSWERS_LEAST &&
	       aub_rollout_total_reached(rollout) >= REACHED_LEAST;
}

/* Why an order's time went by without a move. */
static const char *why_not(const struct aub_rollout *rollout,
			   const struct aub_rollout_view *view)
{
	if (!view->slots)
		return "no-upstreams";
	if (is_unproved(rollout))
		return "unproved";
	if (aub_judge_is_suspicious(&rollout->judge))
		return "suspicious";
	return view->slots < view->slots_needed ? "no-room" : "too-late";
}

static bool may_switch(const struct aub_rollout *rollout,
		       const struct aub_rollout_view *view)
{
	return !is_unproved(rollout) &&
	       !aub_judge_is_suspicious(&rollout->judge) && view->slots &&
	       view->slots >= view->slots_needed;
}

/* A test may take long to be sure of what is only a little worse. */
static bool has_many_bad_answers(const struct aub_rollout *rollout)
{
	const struct aub_judge *judge = &rollout->judge;

	return judge->bad >= BAD_MANY && judge->bad > BAD_SHARE * judge->timed;
}

bool aub_rollout_step(struct aub_rollout *rollout,
		      const struct aub_rollout_view *view, gint64 now_us)
{
	double age = age_ms(rollout, now_us);

	if (!aub_rollout_is_open(rollout))
		return false;
	if (rollout->judge.alarmed)
		return set_state(rollout, AUB_ROLLOUT_ROLLED_BACK,
				 aub_judge_fault_name(rollout->judge.fault));
	if (has_many_bad_answers(rollout))
		return set_state(rollout, AUB_ROLLOUT_ROLLED_BACK,
				 "bad-answers");
	if (rollout->state == AUB_ROLLOUT_SWITCHING)
		return false;
	rollout->batch = MAX(view->batch, 1);
	plan_move(rollout, view, now_us);
	/* In time to be stored before the order's end. */
	if (age >= rollout->order.duration_ms - margin_ms(rollout) / 2)
		return set_state(rollout, AUB_ROLLOUT_ROLLED_BACK,
				 why_not(rollout, view));
	if (age < switch_ms(rollout, view->longest_ms) ||
	    !may_switch(rollout, view))
		return false;
	return set_state(rollout, AUB_ROLLOUT_SWITCHING, "good");
}

/* Everything goes to the new version, and the old one has nothing left. */
static bool is_drained(const struct aub_rollout *rollout,
		       const struct aub_rollout_view *view, gint64 now_us)
{
	double age = age_ms(rollout, now_us);
	double left_ms = MAX(rollout->order.duration_ms - age, 0);

	return age >= switch_ms(rollout, 0) && !view->base_running &&
	       may_expose_more(rollout, rollout->per_ms * left_ms);
}

enum aub_rollout_state aub_rollout_wanted(const struct aub_rollout *rollout,
					  const struct aub_rollout_view *view,
					  gint64 now_us)
{
	switch (rollout->state) {
	case AUB_ROLLOUT_RUNNING:
		return AUB_ROLLOUT_RUNNING;
	case AUB_ROLLOUT_SWITCHING:
		return is_drained(rollout, view, now_us) ?
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

/*
 * An operators' order to move one service to a new version.
 *
 * The new version gets a small share of the requests until it is judged by
 * its answers (rollout_judge.h). A bad one gets nothing more; a good one gets
 * all requests late in the order's time, and the order is completed once the
 * old version has answered what it runs.
 *
 * The share needs no agreement: whoever places requests gives the new version
 * a part of those that it knows of, so that the parts of any number of them
 * stay below the same share of the sum. The allowance beyond the share is given
 * to one alone, whose write of the order's state the store took first, and
 * halved each time that another goes on.
 *
 * Plain decisions: no clock, socket or random source.
 */
#ifndef AUBURNSTILE_INTERNAL_ROLLOUT_H
#define AUBURNSTILE_INTERNAL_ROLLOUT_H

#include <auburnstile/internal/rollout_judge.h>

G_BEGIN_DECLS

/* What may be at stake before a version is known to be good. */
struct aub_rollout_limits {
	double share; /* of a service's requests; 0: no orders are taken */
	double slack; /* requests beyond that, for each order */
};

/* The states of an order, in the order in which they replace each other. */
enum aub_rollout_state {
	AUB_ROLLOUT_NONE, /* as stored: nobody has taken it up */
	AUB_ROLLOUT_RUNNING, /* judged, by a share of the requests */
	AUB_ROLLOUT_SWITCHING, /* judged, and given all requests */
	AUB_ROLLOUT_ROLLED_BACK,
	AUB_ROLLOUT_COMPLETED,
	AUB_ROLLOUT_STATES
};

/* An order is another one where any of these differs. */
struct aub_rollout_order {
	char *version; /* to move to */
	guint duration_ms;
	gint64 created; /* of its object in the store */
};

bool aub_rollout_order_equal(const struct aub_rollout_order *left,
			     const struct aub_rollout_order *right);

struct aub_rollout {
	struct aub_rollout_limits limits;
	struct aub_rollout_order order;
	enum aub_rollout_state state;
	const char *reason; /* of the last change of state */
	gint64 began_us; /* when it was given, as far as is known */
	struct aub_judge judge;
	guint64 reached; /* requests placed here that reached the service */
	guint64 exposed; /* of those placed here, at the new version */
	gint64 exposed_us; /* the last of these */
	guint64 others_reached; /* the same, as those that placed before told */
	guint64 others_exposed;
	double allowance; /* requests beyond the share, given to this process */
	double canary_share; /* of the requests, while it is judged */
	double canary_allowance; /* requests beyond that */
	double per_ms; /* requests that reach the service, of late */
	gint64 rate_us; /* when that was looked at, and at how many */
	guint64 rate_reached;
	double drain_times; /* usual times of work for which the old version is
			       given nothing before it is stopped */
	guint upstreams; /* of the new version */
	guint batch; /* requests that fill one of them */
};

void aub_rollout_init(struct aub_rollout *rollout,
		      const struct aub_rollout_limits *limits);
void aub_rollout_clear(struct aub_rollout *rollout);

/* A new order; `order` is copied. */
void aub_rollout_begin(struct aub_rollout *rollout,
		       const struct aub_rollout_order *order, gint64 now_us);
/* Requests placed here and by others, as far as is known. */
guint64 aub_rollout_total_reached(const struct aub_rollout *rollout);
guint64 aub_rollout_total_exposed(const struct aub_rollout *rollout);
/*
 * Who places now has sent so much, with what was told to it; `allowance` is
 * its own.
 */
void aub_rollout_learn_exposure(struct aub_rollout *rollout, guint64 reached,
				guint64 exposed, double allowance);
/* Others have known of it for that long. */
void aub_rollout_learn_age(struct aub_rollout *rollout, gint64 age_us,
			   gint64 now_us);
/*
 * Another process, or the store, says how far it is. What is final stays:
 * only the store can complete an order that was rolled back here. True where
 * the state is another one now.
 */
bool aub_rollout_learn_state(struct aub_rollout *rollout,
			     enum aub_rollout_state state, bool stored);

/* Is it undecided? */
bool aub_rollout_is_open(const struct aub_rollout *rollout);
/* Requests of a kind that usually takes `usual_ms` go to the new version. */
bool aub_rollout_has_switched(const struct aub_rollout *rollout,
			      double usual_ms, gint64 now_us);
/* May one more request be sent to the new version, to judge it? */
bool aub_rollout_may_expose(const struct aub_rollout *rollout, gint64 now_us);
/* Are upstreams to be filled one after the other now, or evenly? */
bool aub_rollout_fills(const struct aub_rollout *rollout);

/* This process alone may spend the slack of the order. */
void aub_rollout_grant_slack(struct aub_rollout *rollout);

/* What the service looks like to whoever places requests for it. */
struct aub_rollout_view {
	guint base_running; /* requests at the old version */
	guint slots_needed; /* for what runs now, at both versions */
	guint batch; /* requests that fill an upstream of the new version */
	guint slots; /* of warm upstreams of the new version that are up */
	double longest_ms; /* usual time of the longest kind of work ... */
	double mean_ms; /* ... and of all that run now */
};

/*
 * Judges and moves on, as far as it is time. True where the state is another
 * one now.
 */
bool aub_rollout_step(struct aub_rollout *rollout,
		      const struct aub_rollout_view *view, gint64 now_us);
/* The state that the store should hold; NONE: what it holds will do. */
enum aub_rollout_state aub_rollout_wanted(const struct aub_rollout *rollout,
					  const struct aub_rollout_view *view,
					  gint64 now_us);

const char *aub_rollout_state_name(enum aub_rollout_state state);

G_END_DECLS

#endif

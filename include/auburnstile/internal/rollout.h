/*
 * An operator's order to move one service to a new version.
 *
 * The new version gets a small share of the requests while its responses are
 * judged (see rollout_judge.h). A bad version gets no more requests; a good
 * one gets all requests late in the order's duration, and the order is
 * completed once the old version has answered its requests in progress.
 *
 * The share needs no coordination: each process that places requests sends
 * the new version a share of the requests that it knows of, so the sum stays
 * below the same share for any number of processes. The allowance on top of
 * the share goes to a single process, the one whose write of the order's state
 * the store accepted first, and is halved each time another one takes over.
 *
 * Pure decision logic: no clock, socket or random source.
 */
#ifndef AUBURNSTILE_INTERNAL_ROLLOUT_H
#define AUBURNSTILE_INTERNAL_ROLLOUT_H

#include <auburnstile/internal/rollout_judge.h>

G_BEGIN_DECLS

/* The exposure allowed before a version is known to be good. */
struct aub_rollout_limits {
	double share; /* of a service's requests; 0: orders are ignored */
	double slack; /* requests on top of that, for each order */
};

/* The states of an order, in the order in which they follow each other. */
enum aub_rollout_state {
	AUB_ROLLOUT_NONE, /* as stored: no process has started it */
	AUB_ROLLOUT_RUNNING, /* judged by a share of the requests */
	AUB_ROLLOUT_SWITCHING, /* judged, and getting all requests */
	AUB_ROLLOUT_ROLLED_BACK,
	AUB_ROLLOUT_COMPLETED,
	AUB_ROLLOUT_STATES
};

/* Orders are the same if all of these are equal. */
struct aub_rollout_order {
	char *version; /* to move to */
	guint duration_ms;
	gint64 created; /* time of creation of its object in the store */
};

bool aub_rollout_order_equal(const struct aub_rollout_order *left,
			     const struct aub_rollout_order *right);

struct aub_rollout {
	struct aub_rollout_limits limits;
	struct aub_rollout_order order;
	enum aub_rollout_state state;
	const char *reason; /* of the last change of state; static */
	gint64 started_us; /* earliest known time of the order */
	struct aub_judge judge;
	guint64 reached; /* requests placed here that reached the service */
	guint64 exposed; /* requests placed here at the new version */
	gint64 last_exposed_us; /* time of the last of these */
	/* The same, by the processes that placed before. */
	guint64 inherited_reached;
	guint64 inherited_exposed;
	double allowance; /* requests beyond the share, for this process */
	double canary_share; /* of the requests, while it is judged */
	double canary_allowance; /* requests beyond that */
	double requests_per_ms; /* recent rate of the service's requests */
	/* The last sample of that rate, and the total at that time. */
	gint64 rate_sampled_us;
	guint64 rate_requests;
	/* How long the old version gets no requests before the end, as a
	   multiple of the service time. */
	double drain_factor;
	guint canary_upstreams; /* of the new version */
	guint batch_size; /* requests that fill one of them */
};

void aub_rollout_init(struct aub_rollout *rollout,
		      const struct aub_rollout_limits *limits);
/* Removes the order, but not the limits and the baseline. */
void aub_rollout_clear(struct aub_rollout *rollout);

/* Starts a new order; `order` is copied. */
void aub_rollout_begin(struct aub_rollout *rollout,
		       const struct aub_rollout_order *order, gint64 now_us);
/* Return the requests placed here and by others, as far as is known. */
guint64 aub_rollout_total_reached(const struct aub_rollout *rollout);
guint64 aub_rollout_total_exposed(const struct aub_rollout *rollout);
/*
 * Takes over from the process that placed so far. `reached` and `exposed`
 * include what it inherited; `allowance` is its own.
 */
void aub_rollout_import_exposure(struct aub_rollout *rollout, guint64 reached,
				 guint64 exposed, double allowance);
/*
 * Moves the start of the order back if another process has known it longer, for
 * `age_us`.
 */
void aub_rollout_merge_age(struct aub_rollout *rollout, gint64 age_us,
			   gint64 now_us);
/*
 * Merges the state reported by another process, or by the store (`stored`).
 * Final states stay: only the store can complete an order that was rolled back
 * here. Returns whether the state changed.
 */
bool aub_rollout_merge_state(struct aub_rollout *rollout,
			     enum aub_rollout_state state, bool stored);

/* Returns whether the order is neither completed nor rolled back. */
bool aub_rollout_is_in_progress(const struct aub_rollout *rollout);
/*
 * Returns whether requests with a mean service time of `service_time_ms` go to
 * the new version only.
 */
bool aub_rollout_has_switched(const struct aub_rollout *rollout,
			      double service_time_ms, gint64 now_us);
/* Returns whether one more request may be sent to the new version. */
bool aub_rollout_may_send_canary(const struct aub_rollout *rollout,
				 gint64 now_us);
/*
 * Returns whether the new version's upstreams are to be filled one after the
 * other at present, rather than evenly.
 */
bool aub_rollout_is_filling(const struct aub_rollout *rollout);

/* Grants the order's slack to this process; no other process may spend it. */
void aub_rollout_grant_slack(struct aub_rollout *rollout);

/* The load of the service, as seen by the process that places requests. */
struct aub_rollout_load {
	guint baseline_running; /* requests at the old version */
	guint slots_needed; /* for the requests in progress at both versions */
	guint batch_size; /* requests that fill a new version's upstream */
	guint slots; /* of warm upstreams of the new version that are up */
	double max_service_time_ms; /* longest mean of any class in progress */
	double mean_service_time_ms; /* of all requests in progress */
};

/* Judges the version and advances the state. Returns whether it changed. */
bool aub_rollout_step(struct aub_rollout *rollout,
		      const struct aub_rollout_load *load, gint64 now_us);
/* Returns the state to store; NONE if the store needs no update. */
enum aub_rollout_state aub_rollout_state_to_store(
	const struct aub_rollout *rollout, const struct aub_rollout_load *load,
	gint64 now_us);

const char *aub_rollout_state_name(enum aub_rollout_state state);

G_END_DECLS

#endif

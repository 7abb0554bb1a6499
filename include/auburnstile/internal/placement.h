/*
 * Which upstream of one service takes the next request.
 *
 * Plain decisions: no clock, socket or random source. Entries that have a
 * request ask one of them, the service's placer, for an upstream; it counts
 * what it granted, so that no slot is promised twice, and keeps those that
 * find no slot in a queue. Bodies never pass through the placer. An entry
 * that can't reach a placer asks its own copy, which then grants nothing
 * that is cold or down.
 */
#ifndef AUBURNSTILE_INTERNAL_PLACEMENT_H
#define AUBURNSTILE_INTERNAL_PLACEMENT_H

#include <auburnstile/internal/platform.h>

G_BEGIN_DECLS

struct aub_placement;

struct aub_placement_limits {
	double retry_ratio; /* second attempts a first one, fleet-wide */
	guint retry_slack; /* second attempts beyond that, in the window */
	gint64 window_us;
};

enum aub_verdict {
	AUB_VERDICT_GRANTED,
	AUB_VERDICT_QUEUED, /* a decision follows from _next() */
	AUB_VERDICT_NO_UPSTREAM, /* none may take it now */
	AUB_VERDICT_OVERLOAD, /* the queue is too long for its patience */
	AUB_VERDICT_NO_BUDGET /* a retry beyond the fleet's budget */
};

struct aub_ask {
	guint64 ticket; /* unique over the fleet */
	guint64 holder; /* incarnation of the entry that asks */
	const char *zone;
	guint priority; /* 0 is the most urgent */
	guint target_ms; /* within this an answer is on time */
	guint on_time_ms; /* granted within this, it can still be on time */
	guint max_wait_ms; /* longest wait for a slot that helps at all */
	bool retry; /* sent to an upstream before */
	bool alone; /* asked here for want of a placer */
	guint32 route; /* key of its route: versions are judged by route */
	const char *const *avoid; /* upstreams it was sent to */
	guint avoid_count;
};

struct aub_decision {
	guint64 ticket;
	guint64 holder;
	enum aub_verdict verdict;
	const char *upstream; /* GRANTED: borrowed until the next call */
	const char *address;
	guint retry_after_ms; /* where not granted: when to come back */
};

/* What became of a granted request. */
enum aub_attempt_end {
	AUB_END_OK, /* a whole answer */
	AUB_END_FAILED, /* a whole answer that says failure */
	AUB_END_REFUSED, /* the upstream said that it did not run it */
	AUB_END_MISPLACED, /* another upstream has the address now */
	AUB_END_UNREACHABLE, /* never connected: not run */
	AUB_END_LOST, /* connection or answer broke: may have run */
	AUB_END_TIMEOUT, /* may have run */
	AUB_END_ABANDONED, /* the caller left, or another attempt won */
	AUB_END_UNUSED /* never sent */
};

struct aub_attempt_report {
	guint64 ticket;
	enum aub_attempt_end end;
	gint64 elapsed_us; /* from sending to the answer's end */
	struct aub_load load;
};

struct aub_placement *aub_placement_new(
	const char *service, const struct aub_placement_limits *limits);
void aub_placement_free(struct aub_placement *placement);
const char *aub_placement_service(const struct aub_placement *placement);

/* What the operators' configuration says of the service. */
void aub_placement_configure(struct aub_placement *placement,
			     const struct aub_service_spec *spec);
void aub_placement_set_limits(struct aub_placement *placement,
			      const struct aub_placement_limits *limits);

/* An upstream's entry was read, or is gone (`record` NULL). */
void aub_placement_register(struct aub_placement *placement, const char *id,
			    const struct aub_upstream_record *record,
			    gint64 now_us);

/* A zone is to get nothing new, or may again. */
void aub_placement_zone_out(struct aub_placement *placement, const char *zone,
			    bool out, gint64 now_us);

/*
 * May anything new be sent to `id`? Not where its entry is unknown here: it
 * may have left before this process started.
 */
bool aub_placement_may_send(const struct aub_placement *placement,
			    const char *id);

/*
 * Orders to move to other versions are taken, within `limits`. Until
 * aub_placement_orders_known() nothing may be sent: an order may stand that
 * has not been read.
 */
void aub_placement_take_orders(struct aub_placement *placement,
			       const struct aub_rollout_limits *limits);
void aub_placement_orders_known(struct aub_placement *placement, gint64 now_us);
/*
 * What stands in the store: an order and its stored state, or none (`record`
 * NULL). `unreadable`: there is one, and nobody knows for which version.
 */
void aub_placement_order(struct aub_placement *placement,
			 const struct aub_rollout_record *record,
			 bool unreadable, gint64 now_us);
/* How far another process is with `order`, which has been there for `age_us`.
 * False if that is not the order here. */
bool aub_placement_order_told(struct aub_placement *placement,
			      const struct aub_rollout_order *order,
			      enum aub_rollout_state state, gint64 age_us,
			      gint64 now_us);
/* The order here, or NULL; borrowed. */
const struct aub_rollout *aub_placement_rollout(
	const struct aub_placement *placement);
/*
 * Evidence of another process, to go on with; `reached` and `exposed` count
 * what it and those before it have sent, to either version and to the new one;
 * `allowance` is what it has beyond its share.
 */
void aub_placement_inherit(struct aub_placement *placement,
			   const struct aub_judge_route *routes, guint count,
			   guint64 reached, guint64 exposed, double allowance);
/* This process alone may spend the order's slack. */
void aub_placement_grant_slack(struct aub_placement *placement);
/* Now and then: versions for which no order came take part. */
void aub_placement_admit(struct aub_placement *placement, gint64 now_us);
/*
 * As the one that places for all: judge and move on as far as it is time.
 * Returns the state that the store should hold; NONE: no order.
 */
enum aub_rollout_state aub_placement_rollout_step(
	struct aub_placement *placement, gint64 now_us);

void aub_placement_ask(struct aub_placement *placement,
		       const struct aub_ask *ask, gint64 now_us,
		       struct aub_decision *decision);
void aub_placement_report(struct aub_placement *placement,
			  const struct aub_attempt_report *report,
			  gint64 now_us);

/* The next decision on a queued request; false if there is none now. */
bool aub_placement_next(struct aub_placement *placement, gint64 now_us,
			struct aub_decision *decision);
guint aub_placement_queued(const struct aub_placement *placement);

/*
 * `holder` still holds just `tickets`: older grants that are not among them
 * are released. A lost report would otherwise block a slot for good.
 */
void aub_placement_reconcile(struct aub_placement *placement, guint64 holder,
			     const guint64 *tickets, guint count,
			     gint64 now_us);
/* A request that another placer granted, learned from its holder. */
void aub_placement_adopt(struct aub_placement *placement, guint64 holder,
			 guint64 ticket, const char *upstream, guint target_ms,
			 gint64 now_us);
/* `holder` is gone: what it had queued and granted is dropped. */
void aub_placement_forget(struct aub_placement *placement, guint64 holder,
			  gint64 now_us);

struct aub_probe {
	const char *upstream; /* borrowed until the next call */
	const char *address;
	const char *path;
};

enum aub_probe_end {
	AUB_PROBE_WELL,
	AUB_PROBE_ILL, /* answered, and said that it is not well */
	AUB_PROBE_OTHER, /* another upstream answered */
	AUB_PROBE_SILENT
};

/*
 * The next upstream to probe now, of `zone` or (NULL) of all; false if none
 * is due.
 */
bool aub_placement_probe_next(struct aub_placement *placement, const char *zone,
			      gint64 now_us, struct aub_probe *probe);
void aub_placement_probe_ended(struct aub_placement *placement,
			       const char *upstream, enum aub_probe_end end,
			       const struct aub_load *load, gint64 now_us);

/* The same, by a gateway that is nearer: the next own probe can wait. */
void aub_placement_probe_told(struct aub_placement *placement,
			      const char *upstream, enum aub_probe_end end,
			      const struct aub_load *load, gint64 now_us);

/* "up", "ill" (up, and said so), "down", "unknown" or "gone", for logs. */
const char *aub_placement_health_name(const struct aub_placement *placement,
				      const char *id);

/* The state of an upstream that is not just well, for others. */
struct aub_upstream_health {
	const char *upstream; /* borrowed */
	bool down;
	bool unknown; /* not probed so far */
	guint cold_ms; /* left; 0: warm */
	guint slowdown; /* percent */
};
guint aub_placement_list_health(const struct aub_placement *placement,
				struct aub_upstream_health *list, guint limit,
				gint64 now_us);
/* All are up, but for those that aub_placement_set_health() then names. */
void aub_placement_reset_health(struct aub_placement *placement);
void aub_placement_set_health(struct aub_placement *placement,
			      const struct aub_upstream_health *health,
			      gint64 now_us);

/* A placement at one moment, for logs and metrics. */
struct aub_placement_state {
	guint up; /* upstreams by state */
	guint down;
	guint unknown;
	guint cold; /* of those that are up */
	guint leaving; /* draining, or in a zone that is out */
	guint held; /* of a version that is to get nothing */
	guint granted;
	guint queued;
	guint64 refused; /* since the start */
	guint64 cold_grants; /* to cold upstreams, since the start */
	double cold_per_s; /* requests a second that a cold one is given */
	guint full_percent; /* of its slots that one is kept to, learned */
	guint slowdown_percent; /* mean of what they tell; 100 is as usual */
	guint burst_ms; /* for which a neighbour's burst lasts, learned */
	enum aub_rollout_state rollout; /* of the order, as seen here */
	guint64 exposed; /* requests placed here at its version */
	guint judged; /* answers of that version */
	guint judged_bad; /* of these */
};
void aub_placement_get_state(const struct aub_placement *placement,
			     gint64 now_us, struct aub_placement_state *state);

/* Walks all invariants; aborts where one is broken. For tests. */
void aub_placement_check(const struct aub_placement *placement);

const char *aub_verdict_name(enum aub_verdict verdict);
const char *aub_attempt_end_name(enum aub_attempt_end end);

G_END_DECLS

#endif

/*
 * Chooses the upstream of one service that takes the next request.
 *
 * Pure decision logic: no clock, socket or random source. For each service one
 * entry is the placer: the others send it a placement request for each of
 * their requests. The placer tracks its grants, so that no slot is assigned
 * twice, and queues requests that find no free slot. Request bodies never pass
 * through the placer. An entry that can't reach a placer falls back to its own
 * placement, which then grants no upstream that is cold or down.
 */
#ifndef AUBURNSTILE_INTERNAL_PLACEMENT_H
#define AUBURNSTILE_INTERNAL_PLACEMENT_H

#include <auburnstile/internal/quota.h>
#include <auburnstile/internal/retry_admission.h>
#include <auburnstile/internal/upstream_limit.h>

G_BEGIN_DECLS

struct aub_placement;

struct aub_placement_limits {
	double retry_ratio; /* retries per request, fleet-wide */
	double retry_slack; /* retries beyond that, in the window, likewise */
	gint64 window_us;
};

enum aub_verdict {
	AUB_VERDICT_GRANTED,
	AUB_VERDICT_QUEUED, /* aub_placement_next_decision() decides later */
	AUB_VERDICT_NO_UPSTREAM, /* none may take it at present */
	AUB_VERDICT_OVERLOAD, /* the wait would exceed its maximum */
	AUB_VERDICT_NO_BUDGET, /* a retry beyond the fleet's budget */
	AUB_VERDICT_LIMITED, /* as OVERLOAD; all name limits of their own */
	AUB_VERDICT_OVER_QUOTA, /* its workspace has no credit left */
	AUB_VERDICT_RETRY_RESERVED, /* the budget is kept for other retries */
	AUB_VERDICT_RETRY_FUTILE, /* nearly all attempts are refused */
	AUB_VERDICT_COUNT
};

struct aub_placement_request {
	guint64 ticket; /* unique in the fleet */
	guint64 holder; /* incarnation of the requesting entry */
	const char *zone;
	guint priority; /* 0 is the highest */
	guint target_ms; /* a response within this time is on time */
	guint on_time_wait_ms; /* granted within this, it can be on time; 0:
				  late */
	guint max_wait_ms; /* longest useful wait for a slot */
	bool first; /* it has not been placed before */
	bool retry; /* it was sent to an upstream before */
	bool replaces; /* a retry, while that upstream has not answered */
	bool local_fallback; /* placed locally, for lack of a placer */
	/* another placer grants the slots of cold upstreams */
	bool avoid_cold;
	/* handed over with it, in thousandths of a retry */
	guint32 retry_credit;
	guint64 fingerprint; /* the same when its caller repeats it; 0: none */
	guint32 route; /* key of its route: versions are judged by route */
	const char *workspace; /* of its caller; "" or NULL: none */
	/* where it counts; must outlive the grant; NULL: nowhere */
	struct aub_quotas *quotas;
	guint quota; /* handle of its workspace's quota; 0: none */
	const char *const *avoid; /* upstreams it was sent to */
	guint avoid_count;
};

struct aub_placement_decision {
	guint64 ticket;
	guint64 holder;
	enum aub_verdict verdict;
	const char *upstream; /* if granted; valid until the next call */
	const char *address;
	/*
	 * If refused: when the caller may retry. If granted: the same in case
	 * the upstream refuses the request; 0: no estimate.
	 */
	guint retry_after_ms;
	/* if granted: an upstream that is silent for longer is stuck */
	guint silent_after_ms;
};

/* The result of a granted request. */
enum aub_grant_result {
	AUB_GRANT_OK, /* a complete response */
	AUB_GRANT_FAILED, /* a complete response with an error status */
	AUB_GRANT_REFUSED, /* rejected by the upstream without executing it */
	AUB_GRANT_WRONG_UPSTREAM, /* another upstream has the address now */
	AUB_GRANT_UNREACHABLE, /* never connected: not executed */
	AUB_GRANT_LOST, /* connection or response broke: may have executed */
	AUB_GRANT_TIMEOUT, /* may have executed */
	AUB_GRANT_ABANDONED, /* caller disconnected or another attempt won */
	AUB_GRANT_UNUSED, /* never sent */
	/*
	 * The gateway lost its own links meanwhile: may have executed, and says
	 * nothing of the upstream.
	 */
	AUB_GRANT_LINK_LOST,
	AUB_GRANT_RESULT_COUNT
};

struct aub_grant_report {
	guint64 ticket;
	enum aub_grant_result end;
	gint64 elapsed_us; /* from sending to the end of the response */
	struct aub_load load;
};

/* Returns an empty placement for `service`; both arguments are copied. */
struct aub_placement *aub_placement_new(
	const char *service, const struct aub_placement_limits *limits);
/* Frees `placement`, which may be NULL. */
void aub_placement_free(struct aub_placement *placement);
const char *aub_placement_service(const struct aub_placement *placement);

/* Applies the operators' configuration of the service. */
void aub_placement_configure(struct aub_placement *placement,
			     const struct aub_service_spec *spec);
/* Replaces the limits. A different window resets the retry budget. */
void aub_placement_set_limits(struct aub_placement *placement,
			      const struct aub_placement_limits *limits);

/* Adds or updates upstream `id`, or removes it (`record` is NULL). */
void aub_placement_register(struct aub_placement *placement, const char *id,
			    const struct aub_upstream_record *record,
			    gint64 now_us);

/*
 * Sets `address`, borrowed, and when the incarnation started. Returns false if
 * upstream `id` is not registered.
 */
bool aub_placement_find_registered(const struct aub_placement *placement,
				   const char *id, const char **address,
				   gint64 *started_ms);

/* Sets whether `zone` is out: its upstreams get no new requests. */
void aub_placement_set_zone_out(struct aub_placement *placement,
				const char *zone, bool out, gint64 now_us);

/*
 * Returns whether this process may send new requests to `id`. False for an
 * upstream that is not registered here: it may have departed before this
 * process started.
 */
bool aub_placement_may_send(const struct aub_placement *placement,
			    const char *id, gint64 now_us);

/*
 * Enables rollout orders within `limits`. Until
 * aub_placement_set_rollouts_loaded() is called no requests are sent: there may
 * be an order that has not been read.
 */
void aub_placement_enable_rollouts(struct aub_placement *placement,
				   const struct aub_rollout_limits *limits);
void aub_placement_set_rollouts_loaded(struct aub_placement *placement,
				       gint64 now_us);
/*
 * Sets the order and state read from the store; `record` is NULL if there is
 * none. `unreadable`: there is one that can't be parsed, for an unknown
 * version.
 */
void aub_placement_set_rollout(struct aub_placement *placement,
			       const struct aub_rollout_record *record,
			       bool unreadable, gint64 now_us);
/*
 * Merges the progress of another process with `order`, which it has had for
 * `age_us`. Returns false if the order here is a different one.
 */
bool aub_placement_merge_rollout(struct aub_placement *placement,
				 const struct aub_rollout_order *order,
				 enum aub_rollout_state state, gint64 age_us,
				 gint64 now_us);
/* Returns the order here, or NULL; owned by `placement`. */
const struct aub_rollout *aub_placement_rollout(
	const struct aub_placement *placement);
/*
 * Continues with the evidence of another process. `reached` and `exposed` are
 * the requests that it and those before it have sent, to either version and to
 * the new one; `allowance` is what it may send beyond its share.
 */
void aub_placement_import_evidence(struct aub_placement *placement,
				   const struct aub_judge_route *routes,
				   guint count, guint64 reached,
				   guint64 exposed, double allowance);
/* Grants the order's slack to this process; no other process may spend it. */
void aub_placement_grant_slack(struct aub_placement *placement);
/* Called periodically: admits versions for which no order arrived. */
void aub_placement_admit_versions(struct aub_placement *placement,
				  gint64 now_us);
/*
 * Called by the placer only: judges the new version and advances the order.
 * Returns the state to store; NONE if the store needs no update.
 */
enum aub_rollout_state aub_placement_rollout_step(
	struct aub_placement *placement, gint64 now_us);

/*
 * Called when this process begins to place for the service. The placer before
 * it may have granted until now what the limits of upstreams allow.
 */
void aub_placement_begin_placing(struct aub_placement *placement,
				 gint64 now_us);

/* Decides on `request`. A repeated ticket gets the same decision. */
void aub_placement_submit(struct aub_placement *placement,
			  const struct aub_placement_request *request,
			  gint64 now_us,
			  struct aub_placement_decision *decision);
/*
 * Ends a grant, or removes a request from the queue. Returns the id of the
 * upstream that was granted, valid until the next call, or NULL.
 */
const char *aub_placement_report(struct aub_placement *placement,
				 const struct aub_grant_report *report,
				 gint64 now_us);

/* Who holds a grant, and of which upstream; the id is borrowed. */
struct aub_grant_view {
	guint64 holder;
	const char *upstream;
};
/* Returns false if `ticket` has no grant. */
bool aub_placement_find_grant(const struct aub_placement *placement,
			      guint64 ticket, struct aub_grant_view *view);

/*
 * Applies what an answer of upstream `id` says of the upstream itself, apart
 * from its load. The request was sent at `sent_us`.
 */
void aub_placement_observe_answer(struct aub_placement *placement,
				  const char *id, const struct aub_load *load,
				  gint64 sent_us, gint64 now_us);

/*
 * Records that upstream `id` asked this process, and no other, to send it
 * nothing for `rest_us`.
 */
void aub_placement_begin_rest(struct aub_placement *placement, const char *id,
			      gint64 rest_us, gint64 now_us);

/*
 * Appends the upstreams that want no requests of this process at present to
 * `avoid`, an array of owned char *, unless they are in it.
 */
void aub_placement_avoid_resting(const struct aub_placement *placement,
				 GPtrArray *avoid, gint64 now_us);
/* Returns when the first of these rests ends; 0 if there is none. */
gint64 aub_placement_first_rest_end_us(const struct aub_placement *placement,
				       gint64 now_us);

/* A statement of a limit, for other processes. */
struct aub_named_limit {
	const char *upstream; /* borrowed */
	struct aub_limit_statement statement;
};
/*
 * Copies up to `limit` statements to `list`. Returns their number.
 */
guint aub_placement_list_limits(const struct aub_placement *placement,
				struct aub_named_limit *list, guint limit,
				gint64 now_us);
void aub_placement_merge_limit(struct aub_placement *placement,
			       const struct aub_named_limit *named,
			       gint64 now_us);

/*
 * Records that an answer to another process said that upstream `id` leaves.
 * Ignored unless it was the incarnation that is registered here.
 */
void aub_placement_set_leaving(struct aub_placement *placement, const char *id,
			       gint64 started_ms);

/* A change of an upstream's limit; AUB_LIMIT_NONE: no limit. */
struct aub_limit_change {
	guint32 was_per_1000_s;
	guint32 now_per_1000_s;
};
/* See aub_upstream_limit_take_change(). */
bool aub_placement_take_limit_change(struct aub_placement *placement,
				     const char *id,
				     struct aub_limit_change *change);
/*
 * Returns true once for each incarnation of upstream `id` that is known to
 * leave by its answers.
 */
bool aub_placement_take_leaving(struct aub_placement *placement,
				const char *id);

/*
 * Sets `decision` to the next one on a queued request. Returns false if there
 * is none at present.
 */
bool aub_placement_next_decision(struct aub_placement *placement, gint64 now_us,
				 struct aub_placement_decision *decision);
guint aub_placement_queue_length(const struct aub_placement *placement);

/*
 * Releases those grants of `holder` that are not in `tickets`, unless they are
 * recent. Otherwise a slot whose report was lost would stay in use forever.
 */
void aub_placement_reconcile(struct aub_placement *placement, guint64 holder,
			     const guint64 *tickets, guint count,
			     gint64 now_us);
/* Adds a grant of another placer, reported by its holder. */
void aub_placement_adopt(struct aub_placement *placement, guint64 holder,
			 guint64 ticket, const char *upstream, guint target_ms,
			 gint64 now_us);
/* Drops the queued requests and the grants of a holder that has failed. */
void aub_placement_drop_holder(struct aub_placement *placement, guint64 holder,
			       gint64 now_us);

struct aub_probe {
	const char *upstream; /* valid until the next call */
	const char *address;
	const char *path;
};

enum aub_probe_result {
	AUB_PROBE_HEALTHY,
	AUB_PROBE_UNHEALTHY, /* the response reports it as unhealthy */
	AUB_PROBE_WRONG_UPSTREAM, /* another upstream responded */
	AUB_PROBE_NO_RESPONSE
};

/*
 * Sets `probe` to the next upstream to probe now, in `zone` or, if that is
 * NULL, in all zones. Returns false if none is due.
 */
bool aub_placement_probe_next(struct aub_placement *placement, const char *zone,
			      gint64 now_us, struct aub_probe *probe);
void aub_placement_probe_finished(struct aub_placement *placement,
				  const char *id, enum aub_probe_result result,
				  const struct aub_load *load, gint64 now_us);

/*
 * Ends a probe whose failure is due to this gateway's own links, so that it
 * says nothing of the upstream.
 */
void aub_placement_probe_withheld(struct aub_placement *placement,
				  const char *id);
/*
 * Sets `target` to an upstream that is not among `used` (of char *) and that a
 * health check may be sent to: with `likely` to one that answers, as far as is
 * known. Consecutive calls return different ones. Returns false if there is
 * none.
 */
bool aub_placement_check_target(struct aub_placement *placement,
				const GPtrArray *used, bool likely,
				gint64 now_us, struct aub_probe *target);
/* The same for upstream `id`. */
bool aub_placement_check_target_by_id(struct aub_placement *placement,
				      const char *id, gint64 now_us,
				      struct aub_probe *target);

/*
 * Applies the result of a probe by a gateway in the upstream's zone, which
 * postpones the local one.
 */
void aub_placement_probe_received(struct aub_placement *placement,
				  const char *id, enum aub_probe_result result,
				  const struct aub_load *load, gint64 now_us);

/*
 * Returns "up", "ill" (up, but reports itself unhealthy), "down", "unknown" or
 * "gone", for logs.
 */
const char *aub_placement_health_name(const struct aub_placement *placement,
				      const char *id);

/* The health of an upstream that differs from up, warm and fast. */
struct aub_upstream_health {
	const char *upstream; /* borrowed */
	bool down;
	bool unknown; /* not probed so far */
	guint cold_ms; /* remaining; 0: warm */
	guint slowdown; /* percent of the expected response time */
	bool leaving; /* its answers said so */
	gint64 started_ms; /* of the incarnation that leaves */
};
/*
 * Copies up to `limit` entries to `list`, for other processes. Returns their
 * number.
 */
guint aub_placement_list_health(const struct aub_placement *placement,
				struct aub_upstream_health *list, guint limit,
				gint64 now_us);
/*
 * Marks all upstreams up. aub_placement_set_health() is then called for the
 * exceptions.
 */
void aub_placement_reset_health(struct aub_placement *placement);
void aub_placement_set_health(struct aub_placement *placement,
			      const struct aub_upstream_health *health,
			      gint64 now_us);

/*
 * What this process has counted of a service's retries since its start. Over
 * all processes, `received` is not more than `issued`,  and `further` not more
 * than `admitted` less `taken_back`.
 */
struct aub_retry_counts {
	guint64 requests; /* of this gateway's callers */
	guint64 issued; /* credit handed over, in thousandths of a retry */
	guint64 received; /* likewise, by this or other gateways */
	guint64 admitted; /* retries, by this process */
	guint64 taken_back; /* of these: not sent */
	guint64 attempts; /* sent by this gateway */
	guint64 further; /* of these: not the first of their request */
};
/*
 * Counts the credit that this gateway hands over with a placement request;
 * `first`: the request was not placed before.
 */
void aub_placement_count_earnings(struct aub_placement *placement, bool first,
				  guint32 thousandths);
/* Counts an attempt that this gateway sends. */
void aub_placement_count_attempt(struct aub_placement *placement, bool further);
void aub_placement_get_retry_counts(const struct aub_placement *placement,
				    struct aub_retry_counts *counts);

/* A snapshot of a placement, for logs and metrics. */
struct aub_placement_stats {
	guint up; /* upstreams by state */
	guint down;
	guint unknown;
	guint cold; /* of those that are up */
	guint draining; /* including those in a zone that is out */
	guint limited; /* those that name a limit, of all registered */
	guint resting; /* those that asked this process for rest */
	guint withheld; /* of a version that gets no requests */
	guint granted;
	guint queued;
	guint64 refused; /* since the start */
	guint64 retry_verdicts[AUB_RETRY_VERDICT_COUNT]; /* likewise */
	struct aub_retry_counts retry_counts;
	gint retry_credit; /* retries that may be granted at once */
	guint refusal_percent; /* of attempts at upstreams with free slots */
	guint return_percent; /* of refused callers that come back, learned */
	guint callers_awaited; /* refused requests that may come back */
	guint64 cold_grants; /* to cold upstreams, since the start */
	double cold_rate_per_s; /* requests granted to a cold upstream */
	guint concurrency_limit_percent; /* of an upstream's slots, learned */
	guint slowdown_percent; /* mean of the reports; 100 is typical */
	guint interference_ms; /* duration of an interference burst, learned */
	enum aub_rollout_state rollout; /* state of the order, as seen here */
	guint64 exposed; /* requests placed here at its version */
	guint judged_answers; /* responses of that version */
	guint bad_answers; /* of these */
};
void aub_placement_get_stats(const struct aub_placement *placement,
			     gint64 now_us, struct aub_placement_stats *stats);

/* Checks all invariants and aborts if one is violated. For tests. */
void aub_placement_check_invariants(const struct aub_placement *placement);

const char *aub_verdict_name(enum aub_verdict verdict);
const char *aub_grant_result_name(enum aub_grant_result result);

G_END_DECLS

#endif

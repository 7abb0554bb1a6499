/*
 * The dispatcher of one service. It has a bounded queue at the service's
 * owner, counts the slots in use at each upstream exactly, and decides on cold
 * starts, probes, retries, hedges and refusals.
 *
 * It is a deterministic state machine without clock, socket, thread or random
 * source of its own. Events go in together with the current monotonic time
 * `now_us`; actions come out of aub_dispatcher_next_action() in order. Equal
 * inputs give equal actions. Upstreams are identified by name across
 * inventories, and by handle within one inventory.
 */
#ifndef AUBURNSTILE_DISPATCH_H
#define AUBURNSTILE_DISPATCH_H

#include <auburnstile/inventory.h>

G_BEGIN_DECLS

struct aub_dispatcher;

/*
 * AUB_POLICY_AUBURNSTILE is the load balancer's own policy; the others are
 * baselines for comparison.
 */
enum aub_policy {
	AUB_POLICY_AUBURNSTILE,
	AUB_POLICY_RANDOM,
	AUB_POLICY_ROUND_ROBIN,
	AUB_POLICY_LEAST_REPORTED,
	AUB_POLICY_TWO_CHOICES
};

/*
 * Whether, and with which share of the slots, this process may send requests to
 * the upstreams of the service. A stand-by acts while the owner is unavailable.
 */
enum aub_dispatch_role {
	AUB_DISPATCH_NONE, /* refuses everything */
	AUB_DISPATCH_STANDBY, /* half of the warm slots, no cold ones */
	AUB_DISPATCH_OWNER
};

struct aub_dispatch_request {
	guint64 id;
	gint64 deadline_us; /* monotonic */
	bool at_most_once; /* no hedges; retried only if not run */
	guint32 retry_budget; /* attempts beyond the first, in hundredths */
	guint64 fingerprint; /* hash of method, path and body; 0: none */
	const char *zone; /* preferred: where it arrived, or NULL */
};

/* The reason for which a request was refused. */
enum aub_refusal {
	AUB_REFUSAL_NONE,
	AUB_REFUSAL_QUEUE_FULL,
	AUB_REFUSAL_DEADLINE_UNREACHABLE, /* on arrival or in the queue */
	AUB_REFUSAL_NO_UPSTREAM, /* none accepts requests */
	AUB_REFUSAL_CRASHES_UPSTREAMS, /* upstreams crashed while running it */
	AUB_REFUSAL_NOT_OWNER,
	AUB_REFUSAL_RETRY_BUDGET_EXHAUSTED, /* failed, no retry left */
	AUB_REFUSAL_STOPPING
};

enum aub_attempt_result {
	AUB_ATTEMPT_ANSWERED, /* complete answer, whatever its status */
	AUB_ATTEMPT_SHED, /* refused by the upstream: provably not run */
	AUB_ATTEMPT_NOT_CONNECTED, /* provably not run */
	AUB_ATTEMPT_CONNECTION_LOST, /* or answer truncated: may have run */
	AUB_ATTEMPT_TIMEOUT, /* timed out: may have run */
	AUB_ATTEMPT_CANCELLED /* after AUB_ACTION_CANCEL */
};

/*
 * State that an upstream reports with an answer or a probe; zeros where it
 * reports nothing.
 */
struct aub_upstream_signals {
	guint64 boot_id; /* differs between starts of the upstream */
	bool cold; /* reports that it is warming up */
	bool draining; /* reports that it accepts no new requests */
	bool failed; /* answered with a server error (status >= 500) */
};

enum aub_action_type {
	AUB_ACTION_SEND, /* start attempt `attempt` of `request` */
	AUB_ACTION_CANCEL, /* abort attempt `attempt` of `request` */
	AUB_ACTION_REFUSE, /* final: not run, see `refusal` */
	AUB_ACTION_UNKNOWN, /* final: may have run; not retried */
	AUB_ACTION_DELIVER, /* final: forward the answer of `attempt` */
	AUB_ACTION_PROBE /* send a health probe to `upstream` */
};

struct aub_action {
	enum aub_action_type type;
	guint64 request;
	guint32 attempt; /* unique within the request, from 1 */
	guint16 upstream; /* handle in the current inventory */
	enum aub_refusal refusal; /* REFUSE: the reason */
	guint32 retry_after_ms; /* REFUSE: time until the next try */
	gint64 timeout_us; /* SEND, PROBE: monotonic time to give up at */
	bool hedge; /* SEND: runs concurrently with another attempt */
};

/* Counters since the dispatcher was created. */
struct aub_dispatch_counts {
	guint64 arrived;
	guint64 sent; /* attempts, including hedges */
	guint64 delivered;
	guint64 refused;
	guint64 unknown;
	guint64 retries;
	guint64 hedges;
	guint64 hedges_won;
	guint64 probes;
	guint64 probe_us; /* upstream time spent on probes, by probe_cost_us */
	guint64 ejections;
	guint64 cold_starts; /* detected cold starts of upstreams */
	guint64 crash_count; /* upstream crashes that lost attempts */
};

/* A request during which upstreams crashed, as exchanged between entries. */
struct aub_crash_mark {
	guint64 fingerprint;
	guint32 crash_count;
	guint32 age_ms; /* since the last crash */
};

struct aub_dispatcher_options {
	enum aub_policy policy;
	guint32 seed; /* of the random numbers for baselines and ties */
};

/*
 * Creates a dispatcher without inventory and with the role AUB_DISPATCH_NONE.
 * Owned by the caller.
 */
struct aub_dispatcher *aub_dispatcher_new(
	const struct aub_dispatcher_options *options);
void aub_dispatcher_free(struct aub_dispatcher *dispatcher);

/*
 * Applies a new inventory. Upstreams that are still in it, by name, keep their
 * state and counts. Upstreams that no longer accept requests finish those in
 * flight.
 */
void aub_dispatcher_configure(struct aub_dispatcher *dispatcher,
			      struct aub_inventory *inventory, guint16 service,
			      gint64 now_us);

/*
 * Sets the role, as the membership view gives it. For `takeover_grace_us` after
 * it became the owner, a dispatcher assumes that the previous owner still uses
 * slots: it uses half of the warm slots and none of cold upstreams.
 */
void aub_dispatcher_set_role(struct aub_dispatcher *dispatcher,
			     enum aub_dispatch_role role,
			     gint64 takeover_grace_us, gint64 now_us);

/*
 * Accepts a request, whose id must not be pending already. Its outcome is
 * reported by actions.
 */
void aub_dispatcher_submit(struct aub_dispatcher *dispatcher,
			   const struct aub_dispatch_request *request,
			   gint64 now_us);

/*
 * Reports the end of an attempt. `signals` may be NULL. Every attempt that was
 * sent has to be reported exactly once, including cancelled ones and those of
 * refused or abandoned requests, because its slot stays in use until then.
 */
void aub_dispatcher_attempt_done(struct aub_dispatcher *dispatcher,
				 guint64 request, guint32 attempt,
				 enum aub_attempt_result result,
				 const struct aub_upstream_signals *signals,
				 gint64 now_us);

/*
 * Cancels the attempts of a request whose caller disconnected and drops the
 * request.
 */
void aub_dispatcher_abandon(struct aub_dispatcher *dispatcher, guint64 request,
			    gint64 now_us);

/*
 * Reports the end of a probe; `answered` is false if it failed or timed out.
 * Probes that were started under an earlier inventory must not be reported.
 */
void aub_dispatcher_probe_done(struct aub_dispatcher *dispatcher,
			       guint16 upstream, bool answered,
			       const struct aub_upstream_signals *signals,
			       guint32 reported_busy, gint64 now_us);

/*
 * Handles all timers that are due. To be called at or after
 * aub_dispatcher_next_wakeup_us(), which returns a monotonic time, or
 * G_MAXINT64 if no timer is set.
 */
void aub_dispatcher_tick(struct aub_dispatcher *dispatcher, gint64 now_us);
gint64 aub_dispatcher_next_wakeup_us(const struct aub_dispatcher *dispatcher);

/*
 * Sets `*action` to the next action to carry out. Returns false if there is
 * none.
 */
bool aub_dispatcher_next_action(struct aub_dispatcher *dispatcher,
				struct aub_action *action);

/* Refuses new requests from now on; accepted ones are finished. */
void aub_dispatcher_stop(struct aub_dispatcher *dispatcher, gint64 now_us);
/* Returns the number of requests that are not freed yet. */
guint aub_dispatcher_pending(const struct aub_dispatcher *dispatcher);

/* State of one upstream, for status pages and metrics. */
struct aub_upstream_status {
	const char *name; /* borrowed */
	guint16 in_flight;
	guint16 allowed; /* current limit of attempts in flight */
	bool cold;
	bool suspect;
	bool draining;
	guint64 sent;
	guint64 answered;
	guint64 lost; /* attempts with a lost connection or a timeout */
	guint64 probes;
	gint64 mean_us; /* smoothed service time, 0: none yet */
};
/* Writes at most `limit` entries to `list` and returns their number. */
guint aub_dispatcher_status(const struct aub_dispatcher *dispatcher,
			    struct aub_upstream_status *list, guint limit);
/* Returns the length of the queue. */
guint aub_dispatcher_queued(const struct aub_dispatcher *dispatcher);

void aub_dispatcher_counts(const struct aub_dispatcher *dispatcher,
			   struct aub_dispatch_counts *counts);

/*
 * Exchanges, between entries, the marks of requests during which upstreams
 * crashed. The export writes at most `limit` marks to `list` and returns their
 * number. The import of a mark that exists keeps the larger count and the more
 * recent time.
 */
guint aub_dispatcher_export_crash_marks(const struct aub_dispatcher *dispatcher,
					struct aub_crash_mark *list,
					guint limit, gint64 now_us);
void aub_dispatcher_import_crash_mark(struct aub_dispatcher *dispatcher,
				      const struct aub_crash_mark *mark,
				      gint64 now_us);

/*
 * State of an upstream that a stand-by needs before it has to take over:
 * whether it is known to be warm or cold, and when it was last seen. The export
 * writes at most `limit` snapshots to `list` and returns their number. The
 * import has an effect only while the role is AUB_DISPATCH_NONE; other roles
 * rely on their own observations.
 */
struct aub_upstream_snapshot {
	const char *name; /* borrowed */
	guint64 boot_id;
	bool cold;
	bool draining;
	guint32 age_ms; /* since it was last seen */
	guint32 mean_us; /* smoothed service time */
};
guint aub_dispatcher_export_upstreams(const struct aub_dispatcher *dispatcher,
				      struct aub_upstream_snapshot *list,
				      guint limit, gint64 now_us);
void aub_dispatcher_import_upstream(
	struct aub_dispatcher *dispatcher,
	const struct aub_upstream_snapshot *snapshot, gint64 now_us);

/* Checks all invariants and aborts if one is violated. For tests. */
void aub_dispatcher_check_invariants(const struct aub_dispatcher *dispatcher);

/* Return the name, "invalid" if out of range. */
const char *aub_refusal_name(enum aub_refusal refusal);
const char *aub_policy_name(enum aub_policy policy);
int aub_policy_parse(const char *name); /* -1 if unknown */

G_END_DECLS

#endif

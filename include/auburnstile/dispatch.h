/*
 * The decisions for one service: a bounded queue at its owner, exact slot
 * counts of its upstreams, cold starts, probes, retries, hedges, refusals.
 *
 * Plain decisions: no clock, socket, thread or random source. Events go in
 * with `now_us`; actions come out of aub_dispatcher_next_action() in order. Equal
 * inputs give equal actions. Names, not handles, identify upstreams across
 * inventories; within one inventory the handle does.
 */
#ifndef AUBURNSTILE_DISPATCH_H
#define AUBURNSTILE_DISPATCH_H

#include <auburnstile/inventory.h>

G_BEGIN_DECLS

struct aub_dispatcher;

/* `AUBURNSTILE` is the product; the others are baselines for measurements. */
enum aub_policy {
	AUB_POLICY_AUBURNSTILE,
	AUB_POLICY_RANDOM,
	AUB_POLICY_ROUND_ROBIN,
	AUB_POLICY_LEAST_REPORTED,
	AUB_POLICY_TWO_CHOICES
};

/* May this process send to the service's upstreams, and how much? */
enum aub_dispatch_role {
	AUB_DISPATCH_NONE, /* refuses everything */
	AUB_DISPATCH_STANDBY, /* owner gone: a reduced share, nothing cold */
	AUB_DISPATCH_OWNER
};

struct aub_dispatch_request {
	guint64 id;
	gint64 deadline_us; /* monotonic */
	bool at_most_once; /* may not be repeated: no hedge, no doubtful retry */
	guint32 retry_budget; /* attempts beyond the first, in 1/100 */
	guint64 fingerprint; /* of method, path, body: for crash requests */
	const char *zone; /* of the entry that relays it, for preference */
};

/* Why a request was refused, or what became of an attempt. */
enum aub_refusal {
	AUB_REFUSAL_NONE,
	AUB_REFUSAL_QUEUE_FULL,
	AUB_REFUSAL_DEADLINE_UNREACHABLE, /* can't be met; refused on arrival or waiting */
	AUB_REFUSAL_NO_UPSTREAM, /* none may take it now */
	AUB_REFUSAL_CRASHES_UPSTREAMS, /* this request brought upstreams down */
	AUB_REFUSAL_NOT_OWNER,
	AUB_REFUSAL_RETRY_BUDGET_EXHAUSTED, /* failed, and no retry is left */
	AUB_REFUSAL_STOPPING
};

enum aub_attempt_result {
	AUB_ATTEMPT_ANSWERED, /* whole answer, whatever its status */
	AUB_ATTEMPT_SHED, /* the upstream's own refusal: provably not run */
	AUB_ATTEMPT_NOT_CONNECTED, /* provably not run */
	AUB_ATTEMPT_CONNECTION_LOST, /* connection died or answer broken: may have run */
	AUB_ATTEMPT_TIMEOUT, /* deadline passed: may have run */
	AUB_ATTEMPT_CANCELLED /* by an action of the dispatcher */
};

/* What an answer or probe told of the upstream; zeros where nothing. */
struct aub_upstream_signals {
	guint64 boot_id; /* changes with each start of the upstream */
	bool cold; /* says that it is warming up */
	bool draining; /* says that it takes nothing new */
	bool failed; /* answered, with a server error (status >= 500) */
};

enum aub_action_type {
	AUB_ACTION_SEND, /* start attempt `attempt` of `request` */
	AUB_ACTION_CANCEL, /* abort attempt `attempt` of `request` */
	AUB_ACTION_REFUSE, /* final: not run; `refusal`, `retry_after_ms` */
	AUB_ACTION_UNKNOWN, /* final: may have run; not tried again */
	AUB_ACTION_DELIVER, /* final: attempt's whole answer is the answer */
	AUB_ACTION_PROBE /* ask `upstream` how it is */
};

struct aub_action {
	enum aub_action_type type;
	guint64 request;
	guint32 attempt; /* unique within the request, from 1 */
	guint16 upstream; /* handle in the current inventory */
	enum aub_refusal refusal;
	guint32 retry_after_ms;
	gint64 timeout_us; /* SEND, PROBE: monotonic moment to give up */
	bool hedge; /* SEND: a second attempt beside a running one */
};

/* Totals since the dispatcher was made. */
struct aub_dispatch_counts {
	guint64 arrived;
	guint64 sent; /* attempts, hedges among them */
	guint64 delivered;
	guint64 refused;
	guint64 unknown;
	guint64 retries;
	guint64 hedges;
	guint64 hedges_won;
	guint64 probes;
	guint64 probe_us; /* upstream time that probes took, by their cost */
	guint64 ejections;
	guint64 cold_starts; /* an upstream was seen to start cold */
	guint64 crash_count; /* an upstream went down with requests in flight */
};

/* A request that upstreams died under, for other entries to learn. */
struct aub_crash_mark {
	guint64 fingerprint;
	guint32 crash_count;
	guint32 age_ms; /* since the last death */
};

struct aub_dispatcher_options {
	enum aub_policy policy;
	guint32 seed; /* of the baselines' and ties' choices */
};

struct aub_dispatcher *aub_dispatcher_new(
	const struct aub_dispatcher_options *options);
void aub_dispatcher_free(struct aub_dispatcher *dispatcher);

/*
 * A new inventory. Counts of upstreams that stay are kept, by name.
 * Upstreams no longer taking new requests finish what they have.
 */
void aub_dispatcher_configure(struct aub_dispatcher *dispatcher,
			      struct aub_inventory *inventory, guint16 service,
			      gint64 now_us);

/*
 * A role, from the view. A new owner treats slots as used by its
 * predecessor for `takeover_grace_us` (half of them, and none of cold upstreams).
 */
void aub_dispatcher_set_role(struct aub_dispatcher *dispatcher,
			     enum aub_dispatch_role role, gint64 takeover_grace_us,
			     gint64 now_us);

/* A request arrived. What becomes of it comes as actions. */
void aub_dispatcher_submit(struct aub_dispatcher *dispatcher,
			   const struct aub_dispatch_request *request,
			   gint64 now_us);

/*
 * An attempt ended. `signs` may be NULL. Each attempt sent is reported once,
 * cancelled ones and those of refused or abandoned requests too: a slot is
 * free only then.
 */
void aub_dispatcher_attempt_done(struct aub_dispatcher *dispatcher,
				 guint64 request, guint32 attempt,
				 enum aub_attempt_result result,
				 const struct aub_upstream_signals *signals,
				 gint64 now_us);

/* The caller went away: cancel attempts, forget the request. */
void aub_dispatcher_abandon(struct aub_dispatcher *dispatcher, guint64 request,
			    gint64 now_us);

/*
 * A probe ended; `answered` false when it failed or timed out. Don't report
 * one that was asked for under an earlier inventory.
 */
void aub_dispatcher_probe_done(struct aub_dispatcher *dispatcher,
			       guint16 upstream, bool answered,
			       const struct aub_upstream_signals *signals,
			       guint32 reported_busy, gint64 now_us);

/* Time passed. Call at or after aub_dispatcher_next_wakeup_us(). */
void aub_dispatcher_tick(struct aub_dispatcher *dispatcher, gint64 now_us);
gint64 aub_dispatcher_next_wakeup_us(const struct aub_dispatcher *dispatcher);

/* Next action to carry out; false when there is none. */
bool aub_dispatcher_next_action(struct aub_dispatcher *dispatcher,
			 struct aub_action *action);

/* Refuse new requests from now on; those inside finish. */
void aub_dispatcher_stop(struct aub_dispatcher *dispatcher, gint64 now_us);
guint aub_dispatcher_pending(const struct aub_dispatcher *dispatcher);

/* Figures of one upstream, for status and metrics. */
struct aub_upstream_status {
	const char *name; /* borrowed */
	guint16 in_flight;
	guint16 allowed; /* in flight at most, right now */
	bool cold;
	bool suspect;
	bool draining;
	guint64 sent;
	guint64 answered;
	guint64 lost;
	guint64 probes;
	gint64 mean_us; /* smoothed service time */
};
guint aub_dispatcher_status(const struct aub_dispatcher *dispatcher,
			    struct aub_upstream_status *list, guint limit);
guint aub_dispatcher_queued(const struct aub_dispatcher *dispatcher);

void aub_dispatcher_counts(const struct aub_dispatcher *dispatcher,
			   struct aub_dispatch_counts *counts);

/*
 * Requests that are refused for the upstreams they brought down: up to
 * `limit` of them, and how many were written. Learning a mark that is known
 * already keeps the larger count and the younger age.
 */
guint aub_dispatcher_export_crash_marks(const struct aub_dispatcher *dispatcher,
			     struct aub_crash_mark *list, guint limit,
			     gint64 now_us);
void aub_dispatcher_import_crash_mark(struct aub_dispatcher *dispatcher,
				const struct aub_crash_mark *mark,
				gint64 now_us);

/*
 * What a stand-by should know before it has to act: upstreams that are known
 * to be warm or cold, and for how long nothing was heard. Learning is for
 * dispatchers without a role; others go by what they see themselves.
 */
struct aub_upstream_snapshot {
	const char *name; /* borrowed */
	guint64 boot_id;
	bool cold;
	bool draining;
	guint32 age_ms;
	guint32 mean_us;
};
guint aub_dispatcher_export_upstreams(const struct aub_dispatcher *dispatcher,
			       struct aub_upstream_snapshot *list, guint limit,
			       gint64 now_us);
void aub_dispatcher_import_upstream(struct aub_dispatcher *dispatcher,
			  const struct aub_upstream_snapshot *snapshot,
			  gint64 now_us);

/* Walks all invariants; aborts where one is broken. For tests. */
void aub_dispatcher_check_invariants(const struct aub_dispatcher *dispatcher);

const char *aub_refusal_name(enum aub_refusal refusal);
const char *aub_policy_name(enum aub_policy policy);
int aub_policy_parse(const char *name); /* -1 if unknown */

G_END_DECLS

#endif

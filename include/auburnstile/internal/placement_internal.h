/*
 * The internals of a placement, shared by its source files and its tests.
 */
#ifndef AUBURNSTILE_INTERNAL_PLACEMENT_INTERNAL_H
#define AUBURNSTILE_INTERNAL_PLACEMENT_INTERNAL_H

#include <auburnstile/internal/caller_returns.h>
#include <auburnstile/internal/refusal_rate.h>
#include <auburnstile/internal/saturation.h>
#include <auburnstile/internal/load_trend.h>
#include <auburnstile/internal/placement.h>
#include <auburnstile/internal/retry_admission.h>
#include <auburnstile/internal/service_versions.h>
#include <auburnstile/internal/service_times.h>
#include <auburnstile/internal/upstream_limit.h>

G_BEGIN_DECLS

#define AUB_US_PER_MS ((gint64)1000)

/*
 * Without new results, an upstream's failure rate halves in this time, so that
 * one that failed is chosen again after a few half-lives.
 */
#define AUB_FAILURE_HALF_LIFE_US (2000 * AUB_US_PER_MS)

/*
 * Ratio of actual to expected response time above which an upstream counts as
 * slow. Lower ratios are within the normal spread of service times.
 */
#define AUB_SIGNIFICANT_SLOWNESS 1.5

enum aub_placement_upstream_state {
	AUB_PLACEMENT_UPSTREAM_UNKNOWN, /* no response since it was registered
					 */
	AUB_PLACEMENT_UPSTREAM_UP,
	AUB_PLACEMENT_UPSTREAM_DOWN /* refused, reset or no response; only
				       probed */
};

/* The traffic that an upstream's version allows. */
enum aub_version_traffic {
	AUB_VERSION_WITHHELD, /* none */
	AUB_VERSION_ACTIVE, /* as much as it can handle */
	AUB_VERSION_CANARY /* as much as the rollout order allows */
};

/* The placement's state of one upstream. */
struct aub_placement_upstream {
	char *id;
	char *address;
	char *zone;
	guint slots;
	gint64 started_ms;
	/*
	 * When this incarnation replaced another; G_MININT64 if it is the first
	 * one here, of which others may have known for longer.
	 */
	gint64 started_us;
	gint version; /* index into the service's versions */
	enum aub_version_traffic traffic;
	struct aub_judge_evidence evidence; /* against its version */
	bool registered; /* false: departed; retained for open grants */
	gint64 departed_us; /* time at which it departed */
	bool draining;
	bool leaving; /* its answers said so; until it starts anew */
	bool leaving_logged;
	bool zone_out;
	enum aub_placement_upstream_state state;
	gint64 cold_until_us;
	gint64 next_cold_grant_us; /* while cold: no grant before this time */
	guint granted; /* grants that have not ended */
	struct aub_load load; /* last reported */
	gint64 load_us; /* when it was reported; 0: never */
	struct aub_upstream_limit limit; /* named by its answers */
	/* it asked this process to send nothing until then */
	gint64 rest_until_us;
	gint64 full_until_us; /* it refused a request: full until this time */
	double slowness; /* actual over expected response time, smoothed */
	double failures; /* share of its responses that failed, smoothed */
	gint64 failures_us; /* time of the last update of `failures` */
	struct aub_refusal_rate refusals; /* although it had a free slot */
	gint64 last_ok_us; /* time of its last successful response */
	bool probing;
	bool unhealthy; /* reported by its last probe */
	guint failed_probes; /* consecutive ones without a response */
	gint64 next_probe_us;
	gint64 probed_us; /* time of its last response to a probe */
};

struct aub_grant {
	guint64 ticket;
	guint64 holder;
	guint64 fingerprint; /* of the request; 0: unknown */
	guint upstream_index;
	guint concurrency; /* at the upstream, including this one, at grant */
	double slowdown; /* expected at grant for other reasons than that */
	guint target_ms;
	guint retry_after_ms; /* told to its caller if the upstream refuses */
	guint silent_after_ms; /* without an answer for longer, it is stuck */
	guint32 route;
	struct aub_quotas *quotas; /* NULL: it counts nowhere */
	guint quota;
	bool cold; /* the upstream was cold at grant */
	bool canary; /* counts as exposure of a new version */
	bool judged_early; /* counted as slow before it ended */
	gint64 granted_us;
	gint64 retry_admitted_us; /* counts as a retry then; 0: it is none */
};

struct aub_queued_request {
	guint64 ticket;
	guint64 holder;
	char *zone;
	guint priority;
	guint target_ms;
	guint32 route;
	struct aub_quotas *quotas; /* NULL: it counts nowhere */
	guint quota;
	bool retry;
	bool replaces;
	guint64 fingerprint; /* 0: unknown */
	bool local_fallback; /* no placer reachable: no cold or down upstream */
	bool avoid_cold;
	gint64 queued_us;
	gint64 retry_admitted_us; /* 0: it is no retry */
	gint64 on_time_until_us; /* granted later, it is late for certain */
	gint64 expires_us; /* end of its maximum wait */
	GPtrArray *avoid; /* of char * */
};

struct aub_placement {
	char *service;
	struct aub_placement_limits limits;
	struct aub_retry_admission retries;
	struct aub_retry_counts retry_counts;
	struct aub_caller_returns *returns;
	struct aub_refusal_rate refusals; /* by upstreams with free slots */
	char *health_path;
	guint warmup_ms;
	double warmup_per_s;
	GPtrArray *upstreams; /* of struct aub_placement_upstream, addressed by
				 index */
	GHashTable *by_id; /* id -> index + 1 */
	GHashTable *zones_out; /* set of names */
	GHashTable *grants; /* &ticket -> struct aub_grant */
	GHashTable *recent_grants; /* quota -> struct aub_recent_grants */
	GPtrArray *queue; /* of struct aub_queued_request, by priority */
	struct aub_saturation saturation;
	struct aub_load_trend interference; /* from its upstreams' reports */
	struct aub_service_times service_times;
	bool rollouts_enabled; /* versions are taken into account */
	bool rollouts_loaded;
	bool rollout_unreadable; /* no other version is admitted */
	struct aub_service_versions versions;
	struct aub_rollout rollout;
	double mean_slot_time_us; /* from grant to report, smoothed */
	guint64 refused; /* requests that got no upstream, since the start */
	guint64 cold_grants; /* to cold upstreams, since the start */
	guint probing; /* upstreams with a probe in progress */
	guint next_probe_index; /* at which the search for the next starts */
	guint search_start; /* index, rotated to break ties round-robin */
	guint next_check_index; /* at which the search for a target starts */
};

/* Returns the upstream at `index`, owned by `placement`. */
struct aub_placement_upstream *aub_placement_get_upstream(
	const struct aub_placement *placement, guint index);
/* Returns the index of `id`, or -1. */
gint aub_placement_find_upstream(const struct aub_placement *placement,
				 const char *id);
/* Returns upstream `id`, owned by `placement`, or NULL. */
struct aub_placement_upstream *aub_placement_upstream_by_id(
	const struct aub_placement *placement, const char *id);

/* Applies the load that a response or a probe reported. */
void aub_placement_upstream_update_load(struct aub_placement *placement,
					struct aub_placement_upstream *upstream,
					const struct aub_load *load,
					gint64 now_us);
/* Returns whether the upstream gets no new requests for good. */
bool aub_placement_upstream_is_leaving(
	const struct aub_placement_upstream *upstream);
bool aub_placement_upstream_is_resting(
	const struct aub_placement_upstream *upstream, gint64 now_us);
/* See aub_placement_observe_answer(). */
void aub_placement_upstream_observe_answer(
	struct aub_placement_upstream *upstream, const struct aub_load *load,
	gint64 sent_us, gint64 now_us);
/* The same for the answer to a probe. */
void aub_placement_upstream_observe_probe(
	struct aub_placement_upstream *upstream, const struct aub_load *load,
	gint64 sent_us, gint64 now_us);
/* Updates the failure rate: `weight` is 1 for a failure, 0 for a success. */
void aub_placement_upstream_update_failures(
	struct aub_placement_upstream *upstream, double weight, gint64 now_us);
void aub_placement_upstream_set_probing(struct aub_placement *placement,
					struct aub_placement_upstream *upstream,
					bool probing);
/* Marks `upstream` down and schedules a probe. */
void aub_placement_upstream_mark_down(struct aub_placement_upstream *upstream,
				      gint64 now_us);
/* Returns the concurrency at which the upstream's throughput peaks. */
guint aub_placement_upstream_concurrency_limit(
	const struct aub_placement *placement,
	const struct aub_placement_upstream *upstream);
/*
 * Returns the present slowdown of an upstream, as a multiple of the baseline
 * service time, from interference or a cold start. The effect of its own
 * utilization is not included.
 */
double aub_placement_upstream_slowdown(
	const struct aub_placement *placement,
	const struct aub_placement_upstream *upstream, gint64 now_us);
/* Returns the requests per second that this placement grants a cold upstream.
 */
double aub_placement_cold_rate_per_s(const struct aub_placement *placement);
/* Returns the mean time from a grant to its report. */
double aub_placement_slot_time_us(const struct aub_placement *placement);
bool aub_placement_upstream_is_cold(
	const struct aub_placement_upstream *upstream, gint64 now_us);

/* Counts an upstream registered with `version`, or removed (NULL). */
void aub_placement_upstream_count_version(
	struct aub_placement *placement,
	struct aub_placement_upstream *upstream, const char *version,
	bool was_registered, gint64 now_us);
/* Which upstreams a request may go to, by their versions. */
enum aub_canary_choice {
	AUB_CANARY_NONE, /* those of the active versions */
	AUB_CANARY_FIRST, /* canaries with room, otherwise the others */
	AUB_CANARY_ONLY /* canaries, as long as there are any */
};
enum aub_canary_choice aub_placement_canary_choice(
	const struct aub_placement *placement,
	const struct aub_placement_request *request, gint64 now_us);
/*
 * Returns the share that an upstream has used of the evidence it may
 * contribute against its version; it may exceed 1.
 */
double aub_placement_upstream_evidence_share(
	const struct aub_placement *placement,
	const struct aub_placement_upstream *upstream);
/* Counts a new grant as exposure if its upstream is a canary. */
void aub_grant_count_canary(struct aub_placement *placement,
			    struct aub_grant *grant,
			    const struct aub_placement_upstream *upstream);
/* Judges the versions by the result of a grant. */
void aub_grant_judge(struct aub_placement *placement,
		     struct aub_placement_upstream *upstream,
		     const struct aub_grant *grant,
		     const struct aub_grant_report *report);

/* Grants to a workspace, of which older ones count less. */
struct aub_recent_grants {
	double count; /* at `counted_us` */
	gint64 counted_us;
};
void aub_placement_count_grant_of_quota(struct aub_placement *placement,
					guint quota, gint64 now_us);

/* The next queued requests to serve, all of one workspace. */
struct aub_queue_ends {
	gint largest_share; /* index of the one that used up most, or -1 */
	gint smallest_share; /* index of the one that used up least, or -1 */
	bool newest_first; /* serve smallest_share first */
};
/* Finds them among those that can be on time or, if `late`, the others. */
void aub_placement_find_queue_ends(const struct aub_placement *placement,
				   bool late, gint64 now_us,
				   struct aub_queue_ends *ends);
/* Returns the number of queued requests to be served before a new one. */
guint aub_placement_count_ahead(const struct aub_placement *placement,
				const struct aub_placement_request *request,
				gint64 now_us);

/* Returns the index of `ticket` in the queue, or -1. */
gint aub_placement_find_queued(const struct aub_placement *placement,
			       guint64 ticket);

/* Removes a request from the queue that gets no slot any more. */
void aub_placement_remove_queued(struct aub_placement *placement, guint i,
				 gint64 now_us);

/* Grants `request` a slot of the upstream at `index` and sets `decision`. */
void aub_placement_grant(struct aub_placement *placement, guint index,
			 const struct aub_placement_request *request,
			 gint64 now_us,
			 struct aub_placement_decision *decision);

/* What the upstreams that may serve a request can serve. */
struct aub_placement_capacity {
	guint slots; /* of those that no limit of their own keeps from use */
	double limited_per_s; /* grants a second to the others together */
	gint64 next_limited_us; /* earliest next grant to one of these */
};
/* Returns false if no upstream may serve the request. */
bool aub_placement_capacity_exists(
	const struct aub_placement_capacity *capacity);

/* Returns whether `request` is not to be granted the upstream `id`. */
bool aub_placement_request_avoids(const struct aub_placement_request *request,
				  const char *id);

/*
 * Returns the index of the best upstream with room for `request`, or -1. Sets
 * `capacity` to that of the upstreams that may serve it, whether they have room
 * or not.
 */
gint aub_placement_choose(struct aub_placement *placement,
			  const struct aub_placement_request *request,
			  gint64 now_us,
			  struct aub_placement_capacity *capacity);

/*
 * Returns when a caller whose request upstreams with room refuse may return, or
 * 0 if they have none to spare.
 *
 * If it had to wait until a queue has drained, it would be late although no
 * request waits. Its next request is one of its own to the retry budget. While
 * most slots are in use, or nearly all attempts are refused, returning at once
 * would only add load.
 */
guint aub_placement_retry_after_ms(
	const struct aub_placement *placement,
	const struct aub_placement_request *request,
	const struct aub_placement_capacity *capacity, gint64 now_us);
/* Returns after what time without an answer an upstream is stuck, in ms. */
guint aub_placement_silent_after_ms(const struct aub_placement *placement,
				    const struct aub_grant *grant);
/* Adds the credit that comes with a placement request. */
void aub_placement_receive_retry_credit(
	struct aub_placement *placement,
	const struct aub_placement_request *request, gint64 now_us);
/* Admits a request, or decides whether it may be retried. */
enum aub_retry_verdict aub_placement_admit(
	struct aub_placement *placement,
	const struct aub_placement_request *request, gint64 now_us);
/*
 * Takes back a retry for which no attempt is made. Does nothing if
 * `admitted_us` is 0, as it is for first attempts.
 */
void aub_placement_take_back_retry(struct aub_placement *placement,
				   gint64 admitted_us, gint64 now_us);

G_END_DECLS

#endif

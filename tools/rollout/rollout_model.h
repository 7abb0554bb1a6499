/*
 * Simulates one service in virtual time while a rollout moves it to a new
 * version.
 *
 * The decisions are made by the real placement code; callers, upstreams, noisy
 * neighbours and faults are simulated. Placers may crash, two placers may be
 * active, and the store may be unavailable. The same seed always gives the same
 * result.
 */
#ifndef TOOLS_ROLLOUT_MODEL_H
#define TOOLS_ROLLOUT_MODEL_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct rollout_fault {
	const char *name;
	/* Share of the answers of the new version that fail. */
	double failure_share;
	/* Factor on the service time; 0 for none. */
	double slowdown;
	/* Start of the fault as a share of the duration. */
	double start_share;
	bool only_at_high_load; /* only with over 70% of the slots in use */
	bool only_rare_route; /* only on the route with the fewest requests */
};

extern const struct rollout_fault rollout_faults[];
extern const guint rollout_fault_count; /* the first one is a good version */

struct rollout_spec {
	const struct rollout_fault *fault;
	guint upstreams; /* of each version */
	guint slots; /* of each upstream */
	/* Mean arrival rate; load_wave and load_bursts vary it. */
	double requests_per_s;
	double duration_s;
	/* Exposure limit: share of the requests, plus `slack` requests. */
	double share;
	double slack;
	bool has_rollout; /* false: the same load without a rollout */
	bool load_wave;
	bool load_bursts;
	bool placer_crashes; /* placers crash one after another */
	bool two_placers; /* for a third of the duration */
	/* From 50% to 80% of the duration, around the time of completion. */
	bool store_unavailable;
	/* Some upstreams of both versions fail, hang or are slow. */
	bool unhealthy_upstreams;
	guint64 seed;
};

struct rollout_outcome {
	/* enum aub_rollout_state as stored at the deadline. */
	guint state;
	const char *reason;
	guint64 requests; /* reached the service before the deadline */
	guint64 exposed; /* of these, at the new version */
	/* Maximum of `exposed` for a faulty version. */
	double exposure_bound;
	/* Answers of the new version that were affected by its fault. */
	guint64 bad_answers;
	/* Time from the order to the decision; -1 for none. */
	double decision_ms;
	/* Time from the order to the start of the fault. */
	double first_bad_ms;
	/* Time from the 50th bad answer to the last exposed request. */
	double after_50th_bad_ms;
	/* Requests still running at the old version upon completion. */
	guint64 interrupted;
	/* Placement requests between the order and the deadline. */
	guint64 placement_requests;
	/* Of these, answered without failure within the target latency. */
	guint64 on_time;
	/* Maximum of `exposed` divided by `exposure_bound`. */
	double peak_share;
};

/* Simulates `spec` from start to end and fills in `outcome`. */
void rollout_model_run(const struct rollout_spec *spec,
		       struct rollout_outcome *outcome);

/*
 * Returns whether a statistical test could distinguish the version from a good
 * one with the requests that it may be given. The estimate uses the information
 * of each answer, without noise.
 */
bool rollout_model_is_visible(const struct rollout_spec *spec);

G_END_DECLS

#endif

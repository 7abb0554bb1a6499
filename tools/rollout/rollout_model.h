/*
 * One service in virtual time while an order moves it to a new version.
 *
 * The decisions are the placement's own; callers, upstreams, neighbours and
 * faults are played. Placers may be killed, two may place at once, and the
 * store may be away. One seed always plays the same.
 */
#ifndef TOOLS_ROLLOUT_MODEL_H
#define TOOLS_ROLLOUT_MODEL_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct rollout_fault {
	const char *name;
	double failure_share; /* share of the new version's answers that are
				 failures */
	double slowdown; /* its work takes so many times as long; 0: as usual */
	double start_share; /* share of the order's time */
	bool only_at_high_load; /* only above 70% of the slots */
	bool only_rare_route; /* only on the rarest one */
};

extern const struct rollout_fault rollout_faults[];
extern const guint rollout_fault_count; /* the first is a good version */

struct rollout_spec {
	const struct rollout_fault *fault;
	guint upstreams; /* of each version */
	guint slots;
	double requests_per_s; /* requests; wave and bursts go on top */
	double duration_s;
	double share; /* exposure that the operators allow */
	double slack;
	bool has_rollout; /* false: the same load without an order */
	bool load_wave;
	bool load_bursts;
	bool placer_crashes; /* placers die, one after the other */
	bool two_placers; /* for a third of the time */
	bool store_unavailable; /* around the moment of completion */
	bool unhealthy_upstreams; /* some upstreams of both versions fail, hang
				     or are slow */
	guint64 seed;
};

struct rollout_outcome {
	guint state; /* enum aub_rollout_state as stored at the deadline */
	const char *reason;
	guint64 requests; /* that reached the service until the deadline */
	guint64 exposed; /* of these, at the new version */
	double exposure_bound; /* what is allowed for a bad version */
	guint64 bad_answers; /* of the new version, by its fault */
	double decision_ms; /* after the order; -1: none */
	double first_bad_ms; /* when its fault began; -1: none */
	double after_50th_bad_ms; /* from the 50th bad answer to the last
				     request */
	guint64 interrupted; /* requests still at the old version at the end */
	guint64 placement_requests;
	guint64 on_time;
	double peak_share; /* most of `exposed` over `bound` */
};

void rollout_model_run(const struct rollout_spec *spec,
		       struct rollout_outcome *outcome);

/*
 * Could a test tell this version from a good one by the requests that it may
 * be given? By the information of one answer, without noise.
 */
bool rollout_model_is_visible(const struct rollout_spec *spec);

G_END_DECLS

#endif

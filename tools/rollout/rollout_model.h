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
	double fail; /* share of the new version's answers that are failures */
	double slow; /* its work takes so many times as long; 0: as usual */
	double from; /* share of the order's time */
	bool when_full; /* only above 70% of the slots */
	bool one_route; /* only on the rarest one */
};

extern const struct rollout_fault rollout_faults[];
extern const guint rollout_fault_count; /* the first is a good version */

struct rollout_spec {
	const struct rollout_fault *fault;
	guint upstreams; /* of each version */
	guint slots;
	double per_s; /* requests; wave and bursts go on top */
	double duration_s;
	double share; /* exposure that the operators allow */
	double slack;
	bool orders; /* false: the same load without an order */
	bool wave;
	bool bursts;
	bool kills; /* placers die, one after the other */
	bool two_placers; /* for a third of the time */
	bool store_away; /* around the moment of completion */
	bool sick; /* some upstreams of both versions fail, hang or are slow */
	guint64 seed;
};

struct rollout_outcome {
	guint state; /* enum aub_rollout_state as stored at the deadline */
	const char *reason;
	guint64 requests; /* that reached the service until the deadline */
	guint64 exposed; /* of these, at the new version */
	double bound; /* what is allowed for a bad version */
	guint64 bad_answers; /* of the new version, by its fault */
	double verdict_ms; /* after the order; -1: none */
	double first_bad_ms; /* when its fault began; -1: none */
	double after_50_ms; /* from the 50th bad answer to the last request */
	guint64 cut_off; /* requests still at the old version at the end */
	guint64 asked;
	guint64 on_time;
	double peak_share; /* most of `exposed` over `bound` */
};

void rollout_model_play(const struct rollout_spec *spec,
			struct rollout_outcome *outcome);

/*
 * Could a test tell this version from a good one by the requests that it may
 * be given? By the information of one answer, without noise.
 */
bool rollout_model_is_visible(const struct rollout_spec *spec);

G_END_DECLS

#endif

/*
 * The inside of a placement, shared by its files and its tests.
 */
#ifndef AUBURNSTILE_INTERNAL_PLACEMENT_PARTS_H
#define AUBURNSTILE_INTERNAL_PLACEMENT_PARTS_H

#include <auburnstile/internal/knee.h>
#include <auburnstile/internal/load_trend.h>
#include <auburnstile/internal/placement.h>
#include <auburnstile/internal/retry_budget.h>
#include <auburnstile/internal/service_versions.h>
#include <auburnstile/internal/work_times.h>

G_BEGIN_DECLS

#define AUB_PLACE_MS ((gint64)1000) /* microseconds in a millisecond */

/* What failed is tried again after that. */
#define AUB_FAILURE_HALF_LIFE_US (2000 * AUB_PLACE_MS)

/* Below, it is no more than what work differs by from request to request. */
#define AUB_NOTEWORTHY_SLOWNESS 1.5

enum aub_row_state {
	AUB_ROW_UNKNOWN, /* not heard of since it was registered */
	AUB_ROW_UP,
	AUB_ROW_DOWN /* refused, reset or silent: nothing until a probe */
};

/* What its version allows an upstream to get. */
enum aub_version_use {
	AUB_VERSION_HELD, /* nothing */
	AUB_VERSION_FREE, /* what it can bear */
	AUB_VERSION_CANARY /* what an order to move to it allows */
};

/* One upstream. */
struct aub_row {
	char *id;
	char *address;
	char *zone;
	guint slots;
	gint64 born_ms;
	gint version; /* handle into the service's versions */
	enum aub_version_use use;
	struct aub_judge_evidence evidence; /* against its version */
	bool registered; /* false: gone; kept while grants are out */
	gint64 gone_us; /* since when */
	bool draining;
	bool zone_out;
	enum aub_row_state state;
	gint64 cold_until_us;
	gint64 next_cold_us; /* while cold: nothing before this moment */
	guint granted; /* requests out there now */
	struct aub_load load; /* last told */
	gint64 load_us; /* when; 0: never */
	gint64 full_until_us; /* it refused: takes nothing before this */
	double slowness; /* its answers' time over the expected, smoothed */
	double failures; /* share of its answers that failed, smoothed */
	gint64 failures_us; /* when `failures` was last brought up to date */
	gint64 ok_us; /* its last good answer */
	bool probing;
	bool ill; /* its last probe said so */
	guint silent_probes; /* in a row */
	gint64 probe_us; /* next probe */
};

struct aub_grant {
	guint64 ticket;
	guint64 holder;
	guint row;
	guint running; /* there, with it, when it was made */
	double slowdown; /* expected then, for other reasons */
	guint target_ms;
	guint32 route;
	bool cold; /* the upstream was, when it was made */
	bool canary; /* counts as exposure of a new version */
	bool judged; /* known to be slow before its end */
	gint64 since_us;
};

struct aub_waiting {
	guint64 ticket;
	guint64 holder;
	char *zone;
	guint priority;
	guint target_ms;
	guint32 route;
	bool retry;
	bool alone; /* no placer answered: nothing cold or down */
	gint64 since_us;
	gint64 on_time_us; /* granted later it is late for sure */
	gint64 until_us; /* its patience ends */
	GPtrArray *avoid; /* of char * */
};

struct aub_placement {
	char *service;
	struct aub_placement_limits limits;
	struct aub_retry_budget budget;
	char *health_path;
	guint warmup_ms;
	double warmup_per_s;
	GPtrArray *rows; /* of struct aub_row; a handle is an index */
	GHashTable *by_id; /* id -> index + 1 */
	GHashTable *zones_out; /* set of names */
	GHashTable *grants; /* &ticket -> struct aub_grant */
	GPtrArray *waiting; /* of struct aub_waiting, in order of service */
	struct aub_knee knee;
	struct aub_load_trend trend; /* of its upstreams' reports */
	struct aub_work_times work;
	bool takes_orders; /* versions matter */
	bool orders_known;
	bool order_unreadable; /* so no other version takes part */
	struct aub_service_versions versions;
	struct aub_rollout rollout;
	double held_us; /* a grant's time from grant to report, smoothed */
	guint64 refused; /* asks that got no upstream, since the start */
	guint64 cold_grants; /* to cold upstreams, since the start */
	guint probing; /* rows with a probe under way */
	guint probe_turn; /* where the search for the next probe begins */
	guint turn; /* where the search begins, so that ties take turns */
};

struct aub_row *aub_placement_row(const struct aub_placement *placement,
				  guint index);
/* Index of `id`, or -1. */
gint aub_placement_find(const struct aub_placement *placement, const char *id);

/* What an answer or a probe told. */
void aub_row_observe(struct aub_placement *placement, struct aub_row *row,
		     const struct aub_load *load, gint64 now_us);
void aub_row_fail(struct aub_row *row, double weight, gint64 now_us);
void aub_row_set_probing(struct aub_placement *placement, struct aub_row *row,
			 bool probing);
void aub_row_down(struct aub_row *row, gint64 now_us);
guint aub_row_limit(const struct aub_placement *placement,
		    const struct aub_row *row);
/*
 * How many times as long as usual work takes there now, because of neighbours
 * or a cold start: at one moment, and not for what runs there.
 */
double aub_row_disturbance(const struct aub_placement *placement,
			   const struct aub_row *row, gint64 now_us);
/* Requests a second that this placement gives to one cold upstream. */
double aub_placement_cold_per_s(const struct aub_placement *placement);
bool aub_row_is_cold(const struct aub_row *row, gint64 now_us);

/* An upstream was registered with `version`, or (NULL) taken out. */
void aub_row_count_version(struct aub_placement *placement, struct aub_row *row,
			   const char *version, bool was_registered,
			   gint64 now_us);
/* Which upstreams a request may go to, by their versions. */
enum aub_canary_choice {
	AUB_CANARY_NONE, /* those of the version in force */
	AUB_CANARY_FIRST, /* canaries that have room, or else the others */
	AUB_CANARY_ONLY /* canaries, as long as there are any */
};
enum aub_canary_choice aub_placement_canary(
	const struct aub_placement *placement, const struct aub_ask *ask,
	gint64 now_us);
/* Of what it may bring forward against its version: 0 to 1, and beyond. */
double aub_row_evidence(const struct aub_placement *placement,
			const struct aub_row *row);
/* A grant was made for a request, or ended. */
void aub_grant_count_canary(struct aub_placement *placement,
			    struct aub_grant *made, const struct aub_row *row);
void aub_grant_judge(struct aub_placement *placement, struct aub_row *row,
		     const struct aub_grant *made,
		     const struct aub_attempt_report *report);

/* Index among those that wait, or -1. */
gint aub_waiting_find(const struct aub_placement *placement, guint64 ticket);

/* Give `ask` a slot of the row at `index`, and fill in `decision`. */
void aub_placement_grant(struct aub_placement *placement, guint index,
			 const struct aub_ask *ask, gint64 now_us,
			 struct aub_decision *decision);

/*
 * The best row for `ask` with room, or -1. `*usable` becomes the number of
 * slots of rows that may serve it at all, room or not.
 */
gint aub_placement_choose(struct aub_placement *placement,
			  const struct aub_ask *ask, gint64 now_us,
			  guint *usable);

G_END_DECLS

#endif

/*
 * Measures a complete fleet of real processes under load and faults.
 *
 * Each run starts a fleet with one policy, sends an open-loop load and yields
 * one row of results. The limit in a row is the p99 latency of an ideal queue:
 * a single FIFO queue in front of all slots. It is computed from the arrivals
 * of the same run, the same service time distribution and the same slow phases.
 */
#ifndef TOOL_BENCH_H
#define TOOL_BENCH_H

#include "common/tool.h"
#include "fleet/fleet.h"
#include "load/load.h"

G_BEGIN_DECLS

/*
 * An upstream whose service time was multiplied by BENCH_SLOW_FACTOR from
 * `start_us` until `end_us`.
 */
struct bench_slow_phase {
	guint16 upstream;
	gint64 start_us;
	gint64 end_us;
};

/*
 * The size of a service and of its set of upstreams, as a typical deployment
 * has it.
 */
struct bench_shape {
	const char *name;
	const char *service;
	guint upstreams;
	guint slots; /* of each upstream */
	guint zones;
	guint probe_cost_us;
	double mean_us; /* mean service time; lognormal */
};

struct bench_params {
	const char *scenario;
	const struct bench_shape *shape;
	const char *policy;
	double load; /* offered load as a share of all slots */
	double seconds;
	guint members; /* number of entry VMs */
	guint run; /* number of the run; also the random seed */
	guint hedge_percent;
	guint probe_budget_us; /* 0 means the default */
	/* Slows down one upstream at a time. */
	bool slow;
	/* Number of upstreams that answer 500 immediately. */
	guint fail_fast;
	/* Callers retry on their next address. */
	bool retry;
};

struct bench_row {
	struct bench_params params;
	double p50_ms;
	double p99_ms;
	double p999_ms;
	double limit_p99_ms;
	/*
	 * Successful answers divided by the requests, or by what the slots
	 * could serve if that is less.
	 */
	double goodput_ratio;
	double probes_per_s;
	/*
	 * Busy time of the slots divided by answers times the mean service
	 * time.
	 */
	double total_work_ratio;
	/* Attempts started at upstreams divided by answered requests. */
	double started_ratio;
	guint requests;
	guint refused;
	guint failed; /* answered with a server error */
	guint unknown;
	/*
	 * Incomplete or corrupted answers, and requests without a definite
	 * answer.
	 */
	guint wrong;
	double refused_p99_ms; /* time until the refusal */
};

#define BENCH_SLOW_FACTOR 5
#define BENCH_SLOW_PERIOD_MS 2000
#define BENCH_SLOW_DURATION_MS 400
#define BENCH_SERVICE_TIME_SIGMA 0.5
#define BENCH_DEADLINE_MS 2000

/*
 * Starts a fleet for `params` and waits until it serves requests. Returns NULL
 * and sets `error` on failure. Freed with fleet_free().
 */
struct fleet *bench_start_fleet(const struct bench_params *params,
				GError **error);

/*
 * Returns a load for `params` that has not been started. Freed with
 * load_free().
 */
struct load *bench_new_load(const struct bench_params *params,
			    struct fleet *fleet, double seconds, guint seed);

/*
 * Runs a load of at most 50% utilization before the measured one, so that the
 * fleet has statistics for its upstreams.
 */
void bench_warm_up(const struct bench_params *params, struct fleet *fleet);

/*
 * Runs one case from start to end and fills in `row`. Returns false and sets
 * `error` on failure.
 */
bool bench_run(const struct bench_params *params, struct bench_row *row,
	       GError **error);

/*
 * Returns the p99 latency in ms of an ideal queue for these arrivals and slow
 * phases.
 */
double bench_limit_p99_ms(const struct bench_params *params,
			  const GArray *arrivals, const GArray *slow);

/*
 * Returns the quantile `share` (0 to 1) of `times` (gint64, us) in ms, or 0 if
 * there are none. Sorts `times` in place.
 */
double bench_quantile_ms(GArray *times, double share);

/*
 * Take a zone out and back in, and kill the owner of a service, under load.
 * Each writes one line for every 100 ms to `file` and a summary to stdout, and
 * returns false and sets `error` on failure.
 */
bool bench_zone_outage(const struct bench_shape *shape, guint members,
		       double seconds, const char *file, GError **error);
bool bench_owner_crash(const struct bench_shape *shape, guint members,
		       double seconds, const char *file, GError **error);

/* Write the rows as TSV, or as an HTML page with plots. */
void bench_write_tsv(const GArray *rows, const char *file);
void bench_write_page(const GArray *rows, const char *file);
void bench_print_header(void);
void bench_print_row(const struct bench_row *row);

G_END_DECLS

#endif

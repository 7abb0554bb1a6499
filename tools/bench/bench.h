/*
 * Measurements of a whole fleet of real processes under load and faults.
 *
 * Each run starts a fleet with one policy, sends an open-loop load, and gives
 * a row. The limit of a row is one perfect queue over all slots, worked out
 * from the arrivals of that very run, the same distribution of service times
 * and the same slow phases.
 */
#ifndef TOOL_BENCH_H
#define TOOL_BENCH_H

#include "common/tool.h"
#include "fleet/fleet.h"
#include "load/load.h"

G_BEGIN_DECLS

/* One upstream was slow by `factor` from `start_us` until `end_us`. */
struct bench_slow_phase {
	guint16 upstream;
	gint64 start_us;
	gint64 end_us;
};

/* A service and its upstreams in one of the users' sizes. */
struct bench_shape {
	const char *name;
	const char *service;
	guint upstreams;
	guint slots;
	guint zones;
	guint probe_cost_us;
	double mean_us; /* service time, lognormal */
};

struct bench_params {
	const char *scenario;
	const struct bench_shape *shape;
	const char *policy;
	double load; /* share of all slots */
	double seconds;
	guint members;
	guint run; /* also the seed */
	guint hedge_percent;
	guint probe_budget_us; /* 0: the default */
	bool slow; /* one upstream at a time turns slow */
	guint fail_fast; /* upstreams that answer 500 at once */
	bool repeat; /* callers try their next address, and again */
};

struct bench_row {
	struct bench_params params;
	double p50_ms;
	double p99_ms;
	double p999_ms;
	double limit_p99_ms;
	double goodput_ratio; /* good answers to what slots could give */
	double probes_per_s;
	double total_work_ratio; /* slots' time to answers of mean length */
	double started_ratio; /* started at upstreams to answered */
	guint requests;
	guint refused;
	guint failed; /* answered with a server error */
	guint unknown;
	guint wrong; /* not whole, or nothing definite */
	double refused_p99_ms;
};

#define BENCH_SLOW_FACTOR 5
#define BENCH_SLOW_PERIOD_MS 2000
#define BENCH_SLOW_DURATION_MS 400
#define BENCH_SERVICE_TIME_SIGMA 0.5
#define BENCH_DEADLINE_MS 2000

/* Start a fleet for a case and wait until it serves. NULL on error. */
struct fleet *bench_start_fleet(const struct bench_params *params,
				GError **error);

/* A load for a case, not started. */
struct load *bench_new_load(const struct bench_params *params,
			    struct fleet *fleet, double seconds, guint seed);

/* A mild load before the measured one, until upstreams are known. */
void bench_warm_up(const struct bench_params *params, struct fleet *fleet);

/* Run one case from start to end. */
bool bench_run(const struct bench_params *params, struct bench_row *row,
	       GError **error);

/* p99 of one perfect queue, in ms, for these arrivals and slow phases. */
double bench_limit_p99_ms(const struct bench_params *params,
			  const GArray *arrivals, const GArray *slow);

/* Value at `share` of sorted or unsorted times in us, as ms; sorts them. */
double bench_quantile_ms(GArray *times, double share);

/*
 * Zone out and back, and an owner killed: a line each 100 ms into a file,
 * and a summary on stdout.
 */
bool bench_zone_outage(const struct bench_shape *shape, guint members,
		       double seconds, const char *file, GError **error);
bool bench_owner_crash(const struct bench_shape *shape, guint members,
		       double seconds, const char *file, GError **error);

/* Rows as TSV and as a page with plots. */
void bench_write_tsv(const GArray *rows, const char *file);
void bench_write_page(const GArray *rows, const char *file);
void bench_print_header(void);
void bench_print_row(const struct bench_row *row);

G_END_DECLS

#endif

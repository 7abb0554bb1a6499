/*
 * Checks of guaranteed behaviour ("promises") with real processes and injected
 * faults. The results come from what the upstreams executed and what callers
 * received, never from the state that the system itself reports.
 *
 * Each check prints one line:
 *
 *   promise NAME fault FAULT seed N: holds|broken (figures)
 */
#ifndef TOOL_PROOF_H
#define TOOL_PROOF_H

#include "fleet/fleet.h"
#include "fleet/fleet_inventory.h"
#include "load/load.h"

G_BEGIN_DECLS

struct proof_run;

/* One check: a promise that must hold under a fault. */
struct proof {
	const char *promise;
	const char *fault;
	bool in_ci; /* short and deterministic enough for CI */
	void (*run)(struct proof_run *run);
};

/* Tables of checks, one for each file, terminated by a NULL promise. */
extern const struct proof proofs_not_run[];
extern const struct proof proofs_at_most_once[];
extern const struct proof proofs_complete_answer[];
extern const struct proof proofs_cold_start[];
extern const struct proof proofs_zone_evacuation[];
extern const struct proof proofs_config_propagation[];
extern const struct proof proofs_graceful_shutdown[];
extern const struct proof proofs_crashing_request[];
extern const struct proof proofs_retry_amplification[];
extern const struct proof proofs_upstream_leaves[];
extern const struct proof proofs_probe_budget[];
extern const struct proof proofs_upstream_notices[];
extern const struct proof proofs_links_lost[];

/* The state of one check while it runs. */
struct proof_run {
	const struct proof *proof;
	guint32 seed;
	struct fleet *fleet;
	struct load *load;
	const char **entries; /* addresses of the entries, for callers */
	GString *figures; /* figures printed in the result line */
	GString *violations; /* empty if the promise holds */
	struct load_stats totals;
	struct load_comparison comparison;
	JsonNode *oracle; /* records of the upstreams, after the load */
};

/* Records the text `violation` unless `holds`. */
void proof_check(struct proof_run *run, bool holds, const char *violation);
/*
 * Records a violation unless `occurred`: without the fault or the event that
 * `event` describes, the check would pass without having tested anything.
 */
void proof_require(struct proof_run *run, bool occurred, const char *event);
/* Adds NAME=VALUE to the figures of the result line. */
void proof_add_figure(struct proof_run *run, const char *name, double value);

/* Parameters of the fleet for a check. */
struct proof_fleet {
	const struct fleet_service *services;
	guint service_count;
	guint members;
	guint zones;
	bool proxies; /* with fault-injecting proxies */
	double mean_us; /* mean service time; 0 means the default, 20 ms */
	/* Command line options of the upstreams, or NULL. */
	const char *const *upstream_options;
};

/*
 * Starts a fleet and applies its inventory. Returns false and records a
 * violation on failure.
 */
bool proof_start_fleet(struct proof_run *run, const struct proof_fleet *fleet);

/*
 * Starts a load. Fills in the entries and the seed of `options`, and the number
 * of callers and the deadline if they are 0.
 */
void proof_start_load(struct proof_run *run, struct load_options *options);

/*
 * Waits for the end of the load and compares it with the records of the
 * upstreams.
 */
void proof_finish_load(struct proof_run *run);

/*
 * Runs the checks that apply to every load: no wrong answers, no request
 * executed more than once, no false "run" or "not run" result, and at least one
 * complete answer.
 */
void proof_check_load(struct proof_run *run);

/*
 * Return the sum, or the maximum, of one counter over all upstreams after the
 * load.
 */
gint64 proof_oracle_sum(const struct proof_run *run, const char *name);
gint64 proof_oracle_max(const struct proof_run *run, const char *name);

/*
 * Returns the owner of a service as reported by the controls. Records a
 * violation and returns NULL if there is none.
 */
struct fleet_member *proof_find_owner(struct proof_run *run,
				      const char *service);

/*
 * Runs the checks of a table: those whose PROMISE/FAULT contains `only` unless
 * it is NULL, and with `in_ci` only those marked for CI. Adds to `passed` and
 * `failed`.
 */
void proof_run_table(const struct proof *table, const char *only, bool in_ci,
		     guint32 seed, bool keep_logs, guint *passed,
		     guint *failed);

G_END_DECLS

#endif

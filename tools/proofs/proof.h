/*
 * Proofs of what must always hold: real processes, faults brought about on
 * purpose, and a verdict taken from what the upstreams ran and what callers
 * were told, never from the system's own view.
 *
 * Each prints one line:
 *   promise NAME fault FAULT seed N: holds|broken (figures)
 */
#ifndef TOOL_PROOF_H
#define TOOL_PROOF_H

#include "fleet/fleet.h"
#include "fleet/fleet_inventory.h"
#include "load/load.h"

G_BEGIN_DECLS

struct proof_run;

struct proof {
	const char *promise;
	const char *fault;
	bool sure; /* short and certain enough for CI */
	void (*run)(struct proof_run *run);
};

/* Tables, one a file, ended by a NULL promise. */
extern const struct proof proofs_not_run[];
extern const struct proof proofs_once[];
extern const struct proof proofs_whole[];
extern const struct proof proofs_cold[];
extern const struct proof proofs_zone[];
extern const struct proof proofs_config[];
extern const struct proof proofs_stop[];
extern const struct proof proofs_crash[];
extern const struct proof proofs_retries[];
extern const struct proof proofs_leave[];
extern const struct proof proofs_measuring[];

/* One proof under way. */
struct proof_run {
	const struct proof *proof;
	guint32 seed;
	struct fleet *fleet;
	struct load *load;
	const char **entries;
	GString *figures; /* shown in the line */
	GString *broken; /* "" while it holds */
	struct load_stats outcome;
	struct load_comparison verdict;
	JsonNode *oracle; /* after the load */
};

/* A condition that must be true; `what` says what isn't when it is not. */
void proof_check(struct proof_run *run, bool holds, const char *what);
/* A condition without which the proof would prove nothing. */
void proof_need(struct proof_run *run, bool brought_about, const char *what);
void proof_figure(struct proof_run *run, const char *name, double value);

struct proof_fleet {
	const struct fleet_service *services;
	guint service_count;
	guint members;
	guint zones;
	bool proxies;
	double mean_us;
	const char *const *upstream_options;
};

/* Start a fleet and apply its inventory; false (and broken) when it fails. */
bool proof_start(struct proof_run *run, const struct proof_fleet *fleet);

/* Start a load; entries and seed are filled in. The rest as given. */
void proof_load(struct proof_run *run, struct load_options *options);

/* Wait for the load's end and compare it with the oracle. */
void proof_end_load(struct proof_run *run);

/* What holds of every load: nothing wrong, twice, or falsely "not run". */
void proof_check_load(struct proof_run *run);

/* Sum, or maximum, of one figure over all upstreams, after the load. */
gint64 proof_oracle_sum(const struct proof_run *run, const char *name);
gint64 proof_oracle_max(const struct proof_run *run, const char *name);

/* The member that owns a service, as the controls say; NULL if unknown. */
struct fleet_member *proof_owner(struct proof_run *run, const char *service);

/* Run a table; counts are added to. Only those that match, if not NULL. */
void proof_run_table(const struct proof *table, const char *only, bool sure,
		     guint32 seed, bool keep_logs, guint *passed,
		     guint *failed);

G_END_DECLS

#endif

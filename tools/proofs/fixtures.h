/* Fleets and loads shared by several checks. */
#ifndef TOOL_PROOFS_FIXTURES_H
#define TOOL_PROOFS_FIXTURES_H

#include "proofs/proof.h"

G_BEGIN_DECLS

/*
 * Half of the capacity of six and four upstreams with 2 slots each and a
 * service time of 20 ms.
 */
#define MIXED_REQUESTS_PER_S 300

/*
 * "calendar" (GET) and "fees" (POST with an idempotency key), with the share of
 * the load that each gets.
 */
extern const struct load_service mixed_services[2];
extern const struct load_service keyed_service[1];

/*
 * Starts six members in three zones that serve both services, with a mean
 * service time of `mean_us` (0 means 20 ms). Returns false and records a
 * violation on failure.
 */
bool start_mixed_fleet(struct proof_run *run, bool proxies, double mean_us);

/*
 * Start an open-loop load on both services, or only on the one with idempotency
 * keys.
 */
void start_mixed_load(struct proof_run *run, double rate, double seconds,
		      bool retry);
void start_keyed_load(struct proof_run *run, double rate, double seconds);

/*
 * Waits for the end of the load, compares it with the records of the upstreams
 * and runs the checks that apply to every load.
 */
void finish_and_check_load(struct proof_run *run);

/* Returns the handle of the upstream `name`. Aborts if there is none. */
guint16 find_upstream(const struct proof_run *run, const char *name);

G_END_DECLS

#endif

/* Fleets and loads that several proofs share. */
#ifndef TOOL_PROOFS_FIXTURES_H
#define TOOL_PROOFS_FIXTURES_H

#include "proofs/proof.h"

G_BEGIN_DECLS

/* Half of what six and four upstreams of 2 slots and 20 ms can do. */
#define MIXED_REQUESTS_PER_S 300

/* "calendar" (GET) and "fees" (keyed POST): the load's share of each. */
extern const struct load_service mixed_services[2];
extern const struct load_service keyed_service[1];

/* Six members in three zones before both services. */
bool start_mixed_fleet(struct proof_run *run, bool proxies, double mean_us);

/* Open-loop load over both services, or over the keyed one alone. */
void start_mixed_load(struct proof_run *run, double rate, double seconds,
		      bool repeat);
void start_keyed_load(struct proof_run *run, double rate, double seconds);

/* Wait for the load, compare, and check what holds of every load. */
void finish_and_check_load(struct proof_run *run);

/* A handle by the upstream's name; ends the program if there is none. */
guint16 find_upstream(const struct proof_run *run, const char *name);

G_END_DECLS

#endif

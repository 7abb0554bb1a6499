/*
 * Decides which requests a gateway may still begin during its planned stop.
 *
 * A request that the process outlives gets its answer; any other one is refused
 * while it has not run, so that its caller can send it to another gateway.
 */
#ifndef AUBURNSTILE_INTERNAL_STOP_ADMISSION_H
#define AUBURNSTILE_INTERNAL_STOP_ADMISSION_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Of a planned stop; on the clock of the timer service, us. */
struct aub_stop_plan {
	gint64 answers_until_us; /* answers end by then; 0: no stop planned */
	/* Callers use addresses from before the stop until then. */
	gint64 addresses_until_us;
};

/* A request that has not been sent to an upstream yet, or is to be again. */
struct aub_stop_candidate {
	gint64 now_us;
	gint64 deadline_us; /* by which it ends in any case */
	gint64 expected_us; /* upper estimate of its time; 0: unknown */
	gint64 target_us; /* its latency target; 0: unknown */
	bool idempotent;
};

/* Returns whether the request may be sent to an upstream now. */
bool aub_stop_admits(const struct aub_stop_plan *plan,
		     const struct aub_stop_candidate *candidate);

G_END_DECLS

#endif

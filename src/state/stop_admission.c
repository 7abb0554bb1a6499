/* Admission of requests during a planned stop. */
#include <auburnstile/internal/stop_admission.h>

/* Nearly all requests end within this multiple of their latency target. */
#define TARGET_FACTOR 2

/*
 * The duration of the route's requests is unknown. Soon after the stop began,
 * most callers can't have learned of it yet, and refusing an idempotent request
 * would cost each of them a retry. It is taken if its target lets expect that
 * it ends in time; if it does not, its caller may send it again. For a request
 * that may run at most once there is no such way out.
 */
static bool is_likely_to_end(const struct aub_stop_plan *plan,
			     const struct aub_stop_candidate *candidate)
{
	return candidate->idempotent && candidate->target_us &&
	       candidate->now_us < plan->addresses_until_us &&
	       candidate->now_us + TARGET_FACTOR * candidate->target_us <=
		       plan->answers_until_us;
}

bool aub_stop_admits(const struct aub_stop_plan *plan,
		     const struct aub_stop_candidate *candidate)
{
	if (!plan->answers_until_us ||
	    candidate->deadline_us <= plan->answers_until_us)
		return true;
	if (!candidate->expected_us)
		return is_likely_to_end(plan, candidate);
	return candidate->now_us + candidate->expected_us <=
	       plan->answers_until_us;
}

/*
 * The planned stop of a gateway: what it still accepts and by when requests
 * end. See stop_admission.h for the decision.
 */
#include <auburnstile/internal/gateway_internal.h>

gint64 aub_request_end_us(const struct aub_request *request, gint64 deadline_us)
{
	gint64 stop_us = request->gateway->stop.answers_until_us;

	return stop_us ? MIN(deadline_us, stop_us) : deadline_us;
}

bool aub_request_ends_before_stop(const struct aub_request *request)
{
	const struct aub_gateway *gateway = request->gateway;
	const struct aub_route *route = request->route;
	struct aub_stop_candidate candidate = {
		.now_us = aub_timer_now(gateway->options.timers),
		.deadline_us = request->effective_deadline_us,
	};

	/* A relayed request has no route here: only its deadline is known. */
	if (route) {
		candidate.expected_us =
			aub_answer_times_bound_us(&route->answer_times,
						  candidate.now_us);
		candidate.target_us = route->target_ms * AUB_MS;
		candidate.idempotent = route->idempotent;
	}
	return aub_stop_admits(&gateway->stop, &candidate);
}

void aub_gateway_begin_drain(struct aub_gateway *gateway,
			     const struct aub_stop_plan *plan)
{
	gateway->draining = true;
	gateway->stop = *plan;
	for (GList *link = gateway->callers.head; link; link = link->next) {
		const struct aub_caller *caller = link->data;

		for (GList *item = caller->requests.head; item;
		     item = item->next)
			aub_request_limit_to_stop(item->data);
	}
}

void aub_gateway_stop_accepting(struct aub_gateway *gateway)
{
	aub_gateway_close_listeners(gateway);
	for (GList *link = gateway->callers.head; link; link = link->next) {
		struct aub_caller *caller = link->data;

		if (aub_caller_is_idle(caller))
			aub_caller_shutdown(caller);
	}
}

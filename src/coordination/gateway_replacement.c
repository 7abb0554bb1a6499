/*
 * Replaces an attempt whose upstream does not answer.
 *
 * An upstream that is stuck or cut off in silence holds a request until its
 * deadline. A request that may run again is sent to another upstream if the
 * fleet has a retry for it that no other request needs; until then, the first
 * attempt goes on. Its connection is closed before the second one is sent.
 */
#include <auburnstile/internal/gateway_internal.h>

bool aub_request_is_replaceable(const struct aub_request *request)
{
	return request->attempt && !request->attempt->status &&
	       !request->answered && !request->relayed &&
	       request->route->idempotent &&
	       aub_request_may_retry(request, AUB_GRANT_TIMEOUT) &&
	       aub_request_ends_before_stop(request);
}

static void on_silence(void *context, gint64 now_us)
{
	struct aub_request *request = context;

	request->silence_timer = 0;
	if (!request->placement_pending && aub_request_is_replaceable(request))
		aub_request_place(request, true);
}

void aub_request_watch_silence(struct aub_request *request, guint after_ms)
{
	struct aub_timer_service *timers = request->gateway->options.timers;

	aub_timer_cancel(timers, request->silence_timer);
	request->silence_timer = 0;
	if (!after_ms || request->relayed || !request->route->idempotent)
		return;
	request->silence_timer =
		aub_timer_at(timers, "silence",
			     aub_timer_now(timers) + after_ms * AUB_MS,
			     on_silence, request);
}

void aub_request_end_replacement(struct aub_request *request)
{
	struct aub_gateway *gateway = request->gateway;

	aub_timer_cancel(gateway->options.timers, request->silence_timer);
	request->silence_timer = 0;
	if (!request->replacing || !request->placement_pending)
		return;
	request->placement_pending = false;
	request->replacing = false;
	aub_placer_cancel(gateway->options.placer, request->ticket);
}

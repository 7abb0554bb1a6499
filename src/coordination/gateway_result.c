/*
 * What the end of an attempt says: of the request, of the upstream, and of the
 * way to it.
 */
#include <auburnstile/internal/gateway_internal.h>

/* The end of an attempt that another gateway could not relay. */
static enum aub_grant_result classify_relay_failure(
	enum aub_relay_failure failure)
{
	switch (failure) {
	case AUB_RELAY_NO_PATH:
	case AUB_RELAY_UNREACHABLE:
		return AUB_GRANT_UNREACHABLE;
	case AUB_RELAY_TIMEOUT:
		return AUB_GRANT_TIMEOUT;
	case AUB_RELAY_LINK_LOST:
		return AUB_GRANT_LINK_LOST;
	default:
		return AUB_GRANT_LOST;
	}
}

/* The end of an attempt whose connection broke before the answer began. */
static enum aub_grant_result classify_break(
	const struct aub_upstream_attempt *attempt)
{
	if (attempt->relay ||
	    !aub_gateway_links_are_up(attempt->request->gateway))
		return AUB_GRANT_LINK_LOST;
	return AUB_GRANT_LOST;
}

enum aub_grant_result aub_attempt_classify(
	const struct aub_upstream_attempt *attempt,
	enum aub_exchange_result end)
{
	if (end == AUB_EXCHANGE_UNREACHABLE)
		return AUB_GRANT_UNREACHABLE;
	if (attempt->relay_failure)
		return classify_relay_failure(attempt->relay_failure);
	if (end != AUB_EXCHANGE_COMPLETE && !attempt->status)
		return classify_break(attempt);
	if (end != AUB_EXCHANGE_COMPLETE)
		return attempt->relay ? AUB_GRANT_LINK_LOST : AUB_GRANT_LOST;
	if (attempt->malformed || !attempt->status)
		return AUB_GRANT_LOST;
	/* The other gateway judges the answer. */
	if (attempt->request->relayed)
		return AUB_GRANT_OK;
	if (attempt->status == HTTP_STATUS_MISDIRECTED_REQUEST)
		return AUB_GRANT_WRONG_UPSTREAM;
	if (attempt->not_run)
		return AUB_GRANT_REFUSED;
	return attempt->status >= 500 ? AUB_GRANT_FAILED : AUB_GRANT_OK;
}

void aub_attempt_observe_path(const struct aub_upstream_attempt *attempt,
			      enum aub_exchange_result end)
{
	struct aub_egress_monitor *egress =
		attempt->request->gateway->options.egress;
	gint64 now = aub_timer_now(attempt->request->gateway->options.timers);
	struct aub_peer *relay;

	if (!attempt->relay) {
		aub_egress_monitor_on_ended(egress);
		if (end != AUB_EXCHANGE_COMPLETE && !attempt->status)
			aub_egress_monitor_on_failure(
				egress, attempt->upstream,
				end == AUB_EXCHANGE_UNREACHABLE ?
					AUB_EGRESS_UNREACHABLE :
					AUB_EGRESS_RESET);
		return;
	}
	relay = aub_attempt_relay(attempt);
	if (relay && end != AUB_EXCHANGE_COMPLETE)
		aub_peer_set_relay_failed(relay, now);
	else if (relay && attempt->relay_failure == AUB_RELAY_NO_PATH)
		aub_peer_set_no_path(relay, attempt->upstream, now);
}

bool aub_attempt_was_not_sent(const struct aub_upstream_attempt *attempt,
			      enum aub_exchange_result end)
{
	return end == AUB_EXCHANGE_UNREACHABLE ||
	       attempt->relay_failure == AUB_RELAY_NO_PATH;
}

bool aub_attempt_is_own_failure(const struct aub_upstream_attempt *attempt,
				enum aub_exchange_result end)
{
	return aub_attempt_was_not_sent(attempt, end) &&
	       (attempt->relay ||
		!aub_gateway_links_are_up(attempt->request->gateway));
}

/*
 * Requests that this gateway sends to upstreams for other gateways; see
 * peer_relay.h.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/gateway_internal.h>

#include <string.h>

/* If the other gateway names no time. */
#define DEADLINE_DEFAULT_MS 400

void aub_relay_fail(struct aub_request *request, enum aub_relay_failure failure)
{
	const struct aub_platform *platform =
		request->gateway->options.platform;
	char *text = g_strdup_printf(
		"HTTP/1.1 502 Bad Gateway\r\n%s: %s\r\n%s: %s\r\n"
		"Content-Length: 0\r\n%s\r\n",
		platform->request_id, request->id, AUB_RELAY_FAILURE_HEADER,
		aub_relay_failure_name(failure),
		aub_request_connection_line(request));

	aub_request_log(request, AUB_REQUEST_FAILED, 0,
			aub_relay_failure_name(failure),
			request->relayed->upstream);
	aub_request_write(request, text, strlen(text));
	g_free(text);
	aub_request_finish(request);
}

/*
 * A connection that times out may be due to this gateway's own link; one that
 * is refused while others are not is the upstream's doing.
 */
static bool is_refused(const struct aub_request *request)
{
	gint64 elapsed_us = aub_timer_now(request->gateway->options.timers) -
			    request->start_us;

	return elapsed_us < AUB_QUICK_FAILURE_US &&
	       aub_gateway_links_are_up(request->gateway);
}

enum aub_relay_failure aub_relay_failure_of(const struct aub_request *request,
					    enum aub_grant_result end)
{
	switch (end) {
	case AUB_GRANT_UNREACHABLE:
		return is_refused(request) ? AUB_RELAY_UNREACHABLE :
					     AUB_RELAY_NO_PATH;
	case AUB_GRANT_LINK_LOST:
		return AUB_RELAY_LINK_LOST;
	case AUB_GRANT_TIMEOUT:
		return AUB_RELAY_TIMEOUT;
	default:
		return AUB_RELAY_LOST;
	}
}

void aub_relay_log(const struct aub_request *request, guint status,
		   const char *reason)
{
	struct aub_gateway *gateway = request->gateway;
	gint64 now = aub_timer_now(gateway->options.timers);

	aub_log_begin(status ? AUB_LOG_RELAYED : AUB_LOG_RELAY_FAILED);
	aub_log_text("id", request->id);
	aub_log_text("upstream", request->relayed->upstream);
	aub_log_number("status", status);
	aub_log_text("reason", reason);
	aub_log_number("ms", (now - request->start_us) / AUB_MS);
	aub_log_end();
}

void aub_relay_start(struct aub_request *request)
{
	struct aub_gateway *gateway = request->gateway;
	const struct aub_relayed *relay = request->relayed;
	struct aub_known_upstream upstream;

	/* The body may have taken a while to arrive. */
	if (!aub_placer_find_upstream(gateway->options.placer, relay->upstream,
				      &upstream) ||
	    !upstream.may_send || !aub_request_ends_before_stop(request) ||
	    aub_egress_monitor_needs_relay(gateway->options.egress,
					   relay->upstream)) {
		aub_relay_fail(request, AUB_RELAY_NO_PATH);
		return;
	}
	aub_attempt_start(request, 0, relay->upstream, upstream.address);
}

bool aub_relay_accept(struct aub_request *request,
		      const struct aub_http_head *head)
{
	struct aub_gateway *gateway = request->gateway;
	const struct aub_platform *platform = gateway->options.platform;
	const char *id = aub_http_head_find(head, platform->target_upstream);
	gint64 remaining_ms = DEADLINE_DEFAULT_MS;
	struct aub_known_upstream upstream;

	aub_metrics_add(gateway->options.metrics, gateway->relayed_counter, 1);
	request->relayed = g_new0(struct aub_relayed, 1);
	request->relayed->upstream = g_strdup(id);
	if (!id || !request->routing ||
	    !aub_placer_find_upstream(gateway->options.placer, id, &upstream)) {
		aub_relay_fail(request, AUB_RELAY_NO_PATH);
		return false;
	}
	request->relayed->service = g_strdup(upstream.service);
	request->service = request->relayed->service;
	(void)aub_header_parse_number(aub_http_head_find(head,
							 platform->deadline_ms),
				      &remaining_ms);
	request->deadline_us = request->start_us + remaining_ms * AUB_MS;
	request->effective_deadline_us = request->deadline_us;
	if (!aub_request_ends_before_stop(request)) {
		aub_relay_fail(request, AUB_RELAY_NO_PATH);
		return false;
	}
	return true;
}

void aub_relayed_free(struct aub_relayed *relay)
{
	if (!relay)
		return;
	g_free(relay->upstream);
	g_free(relay->service);
	g_free(relay);
}

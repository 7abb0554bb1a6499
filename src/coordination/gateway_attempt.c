/*
 * One attempt to send a request to an upstream, and the validation of the
 * answer.
 *
 * An answer is accepted only if it belongs to this request and is complete:
 * upstreams may answer twice, late, or with malformed bytes.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/gateway_internal.h>

#include <string.h>

/*
 * A pooled connection saves a request a round trip. If it is reset, the outcome
 * of the request is unknown, so requests that run at most once use only
 * connections that were in use a moment ago.
 */
#define POOLED_IDLE_IDEMPOTENT_MAX_US (8 * AUB_SECOND)
#define POOLED_IDLE_AT_MOST_ONCE_MAX_US (1500 * AUB_MS)

/*
 * For how long, and up to which size, the body of an answer is read that is not
 * forwarded. Nearly all of these are short, and their connections can be used
 * again.
 */
#define IGNORED_BODY_TIMEOUT_US (50 * AUB_MS)
#define IGNORED_BODY_MAX_BYTES (64u << 10)

/* Gateways that are asked to relay one attempt, and for how long. */
#define RELAYS_MAX 5
#define RELAY_SEARCH_US (300 * AUB_MS)

void aub_attempt_free(struct aub_upstream_attempt *attempt)
{
	aub_timer_cancel(attempt->request->gateway->options.timers,
			 attempt->ignored_body_timer);
	attempt->request->attempt = NULL;
	if (attempt->head)
		g_string_free(attempt->head, TRUE);
	g_byte_array_unref(attempt->buffered_body);
	g_free(attempt->upstream);
	g_free(attempt->address);
	g_free(attempt);
}

static struct aub_egress_monitor *egress_of(
	const struct aub_upstream_attempt *attempt)
{
	return attempt->request->gateway->options.egress;
}

struct aub_peer *aub_attempt_relay(const struct aub_upstream_attempt *attempt)
{
	return aub_peers_by_incarnation(
		attempt->request->gateway->options.peers, attempt->relay);
}

static const char *relay_name(const struct aub_upstream_attempt *attempt)
{
	const struct aub_peer *peer = aub_attempt_relay(attempt);

	return peer ? peer->name : "";
}

static void log_attempt(const struct aub_upstream_attempt *attempt,
			enum aub_grant_result end, gint64 elapsed_us)
{
	aub_log_begin(AUB_LOG_ATTEMPT);
	aub_log_text("id", attempt->request->id);
	aub_log_text("upstream", attempt->upstream);
	aub_log_text("end", aub_grant_result_name(end));
	if (attempt->relay)
		aub_log_text("relay", relay_name(attempt));
	aub_log_number("status", attempt->status);
	aub_log_number("ms", elapsed_us / AUB_MS);
	aub_log_number("load", attempt->load.running);
	aub_log_number("slowdown", attempt->load.slowdown);
	aub_log_end();
}

static void report_attempt_end(struct aub_upstream_attempt *attempt,
			       enum aub_grant_result end)
{
	struct aub_gateway *gateway = attempt->request->gateway;
	gint64 now = aub_timer_now(gateway->options.timers);

	if (end != AUB_GRANT_OK)
		log_attempt(attempt, end, now - attempt->sent_us);
	if (attempt->ticket)
		aub_placer_report(gateway->options.placer, attempt->ticket, end,
				  now - attempt->sent_us, &attempt->load);
	attempt->ticket = 0;
}

/* Closes the connection; nothing more is heard of the exchange. */
static void cancel_exchange(struct aub_upstream_attempt *attempt)
{
	if (!attempt->exchange)
		return;
	aub_exchange_cancel(attempt->exchange);
	attempt->exchange = NULL;
	if (!attempt->relay)
		aub_egress_monitor_on_ended(egress_of(attempt));
}

void aub_attempt_abort(struct aub_upstream_attempt *attempt,
		       enum aub_grant_result end)
{
	cancel_exchange(attempt);
	report_attempt_end(attempt, end);
	aub_attempt_free(attempt);
}

static bool states_not_run(const struct aub_http_head *head,
			   const struct aub_platform *platform)
{
	return aub_http_head_find(head, platform->not_run) ||
	       head->status == HTTP_STATUS_MISDIRECTED_REQUEST;
}

/*
 * A faulty upstream may send bytes after a complete answer, and they are read
 * as the answer to the next request on that connection. If they state that it
 * did not run, it would run a second time elsewhere. A refusal without an ID is
 * therefore believed only if no earlier answer can have been on its connection,
 * or if the request may run twice. Another gateway sends no such bytes.
 */
static bool may_be_stray(const struct aub_upstream_attempt *attempt)
{
	const struct aub_route *route = attempt->request->route;

	return *attempt->request->id && !attempt->relay &&
	       aub_exchange_is_reused(attempt->exchange) &&
	       !(route && route->idempotent);
}

/* Returns whether the answer is, or may be, not one to this request. */
static bool is_for_other_request(const struct aub_upstream_attempt *attempt,
				 const struct aub_http_head *head)
{
	const struct aub_platform *platform =
		attempt->request->gateway->options.platform;
	const char *id = aub_http_head_find(head, platform->request_id);

	if (id)
		return strcmp(id, attempt->request->id) != 0;
	return states_not_run(head, platform) && may_be_stray(attempt);
}

static bool is_well_formed(const struct aub_upstream_attempt *attempt,
			   const struct aub_http_head *head)
{
	const struct aub_platform *platform =
		attempt->request->gateway->options.platform;

	if (attempt->not_run)
		return true;
	/* A relayed probe has no id, and its answer no stamp. */
	if (attempt->request->relayed && !*attempt->request->id)
		return true;
	if (!aub_http_head_find(head, platform->request_id))
		return false;
	return head->status / 100 != 2 ||
	       aub_http_head_find(head, platform->answer_stamp);
}

/*
 * An answer with 421 is another upstream's. A refusal confirms a limit, but
 * does not lift it: it is no sign that the upstream accepts more.
 */
static void read_load(struct aub_upstream_attempt *attempt,
		      const struct aub_http_head *head)
{
	struct aub_gateway *gateway = attempt->request->gateway;

	if (attempt->malformed ||
	    attempt->status == HTTP_STATUS_MISDIRECTED_REQUEST)
		return;
	gateway->options.platform->decode_load(head, &attempt->load);
	if (attempt->not_run && attempt->load.limit == AUB_LIMIT_NOT_NAMED)
		attempt->load.limit = AUB_LIMIT_UNKNOWN;
	aub_placer_observe_answer(
		gateway->options.placer, attempt->request->service,
		&(struct aub_upstream_answer){
			.upstream = attempt->upstream,
			.request_id = attempt->request->id,
			.load = attempt->load,
			.sent_us = attempt->sent_us,
			/* A rest is asked of the gateway that connects. */
			.rest_us = attempt->relay ?
					   0 :
					   aub_http_head_retry_after_us(head),
		});
}

/* Returns whether the head alone decides what becomes of the request. */
static bool ignores_body(const struct aub_upstream_attempt *attempt)
{
	return attempt->malformed || attempt->relay_failure ||
	       (attempt->not_run && !attempt->request->relayed);
}

static void on_ended(enum aub_exchange_result exchange_end, void *context);

/*
 * Ends an attempt whose answer is not forwarded, though its body has not ended:
 * it may never do, and would hold the request until its deadline.
 */
static void end_at_head(struct aub_upstream_attempt *attempt)
{
	struct aub_exchange *exchange = g_steal_pointer(&attempt->exchange);

	aub_exchange_cancel(exchange);
	on_ended(AUB_EXCHANGE_COMPLETE, attempt);
}

static void on_ignored_body_timeout(void *context, gint64 now_us)
{
	struct aub_upstream_attempt *attempt = context;

	attempt->ignored_body_timer = 0;
	end_at_head(attempt);
}

static void watch_ignored_body(struct aub_upstream_attempt *attempt)
{
	struct aub_timer_service *timers =
		attempt->request->gateway->options.timers;

	attempt->ignored_body_timer =
		aub_timer_at(timers, "ignored body",
			     aub_timer_now(timers) + IGNORED_BODY_TIMEOUT_US,
			     on_ignored_body_timeout, attempt);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct aub_upstream_attempt *attempt = context;
	const struct aub_platform *platform =
		attempt->request->gateway->options.platform;

	if (!attempt->relay)
		aub_egress_monitor_on_answer(egress_of(attempt));
	else
		attempt->relay_failure = aub_relay_failure_parse(
			aub_http_head_find(head, AUB_RELAY_FAILURE_HEADER));
	if (attempt->relay_failure) {
		watch_ignored_body(attempt);
		return;
	}
	if (is_for_other_request(attempt, head)) {
		aub_exchange_discard_response(attempt->exchange);
		return;
	}
	attempt->status = head->status;
	attempt->not_run = states_not_run(head, platform);
	attempt->malformed = !is_well_formed(attempt, head);
	attempt->content_length = attempt->request->is_head ? 0 :
				  head->chunked		    ? -1 :
							      head->length;
	if (ignores_body(attempt))
		watch_ignored_body(attempt);
	read_load(attempt, head);
	attempt->head = g_string_new(NULL);
	g_string_append_printf(attempt->head, "HTTP/1.1 %u %s\r\n",
			       head->status,
			       http_status_str((enum http_status)head->status));
	aub_headers_forward(attempt->head, head, platform,
			    AUB_HEADERS_OF_ANSWER);
	if (attempt->request->is_head && head->length >= 0)
		g_string_append_printf(attempt->head,
				       "Content-Length: %" G_GINT64_FORMAT
				       "\r\n",
				       head->length);
}

static void on_body(const char *data, gsize length, void *context)
{
	struct aub_upstream_attempt *attempt = context;

	if (ignores_body(attempt)) {
		attempt->ignored_bytes += length;
		if (attempt->ignored_bytes > IGNORED_BODY_MAX_BYTES)
			end_at_head(attempt);
		return;
	}
	if (!attempt->relay)
		aub_egress_monitor_on_answer(egress_of(attempt));
	if (attempt->streaming) {
		aub_request_stream_bytes(attempt->request, attempt, data,
					 length);
		return;
	}
	g_byte_array_append(attempt->buffered_body, (const guint8 *)data,
			    (guint)length);
	if (attempt->buffered_body->len > AUB_BODY_BUFFER_BYTES)
		aub_request_begin_streaming(attempt->request, attempt);
}

static bool send_through_other_gateway(struct aub_upstream_attempt *attempt);

/*
 * A connection that is refused at once costs nothing, and another gateway tells
 * whether the upstream is gone. One that times out has cost too much to be
 * tried again, unless this gateway's links are at fault.
 */
static bool should_try_other_gateway(const struct aub_upstream_attempt *attempt,
				     enum aub_exchange_result end)
{
	const struct aub_gateway *gateway = attempt->request->gateway;
	gint64 elapsed_us =
		aub_timer_now(gateway->options.timers) - attempt->sent_us;

	return aub_attempt_was_not_sent(attempt, end) &&
	       (attempt->relay || elapsed_us < AUB_QUICK_FAILURE_US ||
		!aub_gateway_links_are_up(gateway));
}

static void on_ended(enum aub_exchange_result exchange_end, void *context)
{
	struct aub_upstream_attempt *attempt = context;
	struct aub_request *request = attempt->request;
	enum aub_grant_result end = aub_attempt_classify(attempt, exchange_end);

	attempt->exchange = NULL;
	aub_timer_cancel(request->gateway->options.timers,
			 attempt->ignored_body_timer);
	attempt->ignored_body_timer = 0;
	aub_attempt_observe_path(attempt, exchange_end);
	if (should_try_other_gateway(attempt, exchange_end) &&
	    send_through_other_gateway(attempt))
		return;
	report_attempt_end(attempt,
			   aub_attempt_is_own_failure(attempt, exchange_end) ?
				   AUB_GRANT_UNUSED :
				   end);
	if (end == AUB_GRANT_OK || end == AUB_GRANT_FAILED)
		aub_request_on_attempt_complete(request, attempt);
	else
		aub_request_on_attempt_failed(request, attempt, end);
}

static void on_drained(void *context)
{
	struct aub_upstream_attempt *attempt = context;

	aub_request_on_upstream_writable(attempt->request);
}

static const struct aub_exchange_callbacks exchange_callbacks = {
	.head = on_head,
	.body = on_body,
	.drained = on_drained,
	.ended = on_ended,
};

static void write_head(struct aub_upstream_attempt *attempt)
{
	struct aub_request *request = attempt->request;
	const struct aub_platform *platform =
		request->gateway->options.platform;
	GString *text = g_string_new(request->request_line);
	gint64 left_us =
		aub_request_end_us(request, request->effective_deadline_us) -
		aub_timer_now(request->gateway->options.timers);

	g_string_append_len(text, request->headers->str,
			    (gssize)request->headers->len);
	g_string_append_printf(text, "%s: %" G_GINT64_FORMAT "\r\n%s: %s\r\n",
			       platform->deadline_ms, MAX(left_us / AUB_MS, 1),
			       platform->target_upstream, attempt->upstream);
	if (request->workspace)
		g_string_append_printf(text, "%s: %s\r\n", platform->workspace,
				       request->workspace->name);
	if (request->body_length < 0)
		g_string_append(text, "Transfer-Encoding: chunked\r\n");
	else if (request->body_length > 0)
		g_string_append_printf(text,
				       "Content-Length: %" G_GINT64_FORMAT
				       "\r\n",
				       request->body_length);
	g_string_append(text, "\r\n");
	aub_exchange_write(attempt->exchange, text->str, text->len);
	g_string_free(text, TRUE);
}

void aub_attempt_write_body(struct aub_upstream_attempt *attempt,
			    const char *data, gsize length)
{
	char size[24];

	if (!length)
		return;
	if (attempt->request->body_length >= 0) {
		aub_exchange_write(attempt->exchange, data, length);
		return;
	}
	g_snprintf(size, sizeof(size), "%zx\r\n", length);
	aub_exchange_write(attempt->exchange, size, strlen(size));
	aub_exchange_write(attempt->exchange, data, length);
	aub_exchange_write(attempt->exchange, "\r\n", 2);
}

void aub_attempt_end_body(struct aub_upstream_attempt *attempt)
{
	if (attempt->request->body_length < 0)
		aub_exchange_write(attempt->exchange, "0\r\n\r\n", 5);
	aub_exchange_mark_request_complete(attempt->exchange);
}

/* Returns for how long a connection to the upstream may have been idle. */
static gint64 pooled_idle_max_us(const struct aub_request *request)
{
	bool is_retry =
		request->tried_upstreams->len > 1 || request->connect_failures;

	if (is_retry)
		return 0;
	return request->route && request->route->idempotent ?
		       POOLED_IDLE_IDEMPOTENT_MAX_US :
		       POOLED_IDLE_AT_MOST_ONCE_MAX_US;
}

/* Opens the exchange, with another gateway if `relay` is not NULL. */
static void send_request(struct aub_upstream_attempt *attempt,
			 const struct aub_peer *relay)
{
	struct aub_request *request = attempt->request;
	struct aub_gateway *gateway = request->gateway;
	const struct aub_exchange_options options = {
		.address = relay ? relay->address : attempt->address,
		.pool_name = relay ? AUB_RELAY_POOL_NAME : attempt->upstream,
		.idle_max_us = relay ? AUB_RELAY_IDLE_MAX_US :
				       pooled_idle_max_us(request),
		.is_head = request->is_head,
		.patient = aub_request_has_long_body(request),
	};

	attempt->relay = relay ? relay->incarnation : 0;
	attempt->relay_failure = AUB_RELAY_NO_FAILURE;
	if (relay) {
		attempt->relays_tried++;
		aub_metrics_add(gateway->options.metrics,
				gateway->relay_attempts_counter, 1);
	} else {
		aub_egress_monitor_on_sent(gateway->options.egress);
	}
	attempt->exchange = aub_exchange_new(gateway->options.client, &options,
					     &exchange_callbacks, attempt);
	write_head(attempt);
	aub_attempt_write_body(attempt, (const char *)request->body->data,
			       request->body->len);
	if (request->body_complete)
		aub_attempt_end_body(attempt);
	aub_exchange_flush(attempt->exchange);
}

static struct aub_peer *pick_relay(const struct aub_upstream_attempt *attempt)
{
	struct aub_gateway *gateway = attempt->request->gateway;

	/* A request is relayed one time only. */
	if (attempt->request->relayed)
		return NULL;
	return aub_peers_pick_relay(gateway->options.peers, attempt->upstream,
				    gateway->relay_turn++,
				    aub_timer_now(gateway->options.timers));
}

/* Returns false if there is no other gateway, or too many have been tried. */
static bool send_through_other_gateway(struct aub_upstream_attempt *attempt)
{
	struct aub_peer *relay;
	gint64 elapsed_us =
		aub_timer_now(attempt->request->gateway->options.timers) -
		attempt->sent_us;

	if (attempt->request->body_discarded ||
	    attempt->relays_tried >= RELAYS_MAX ||
	    (attempt->relays_tried && elapsed_us > RELAY_SEARCH_US))
		return false;
	relay = pick_relay(attempt);
	if (!relay)
		return false;
	send_request(attempt, relay);
	return true;
}

struct aub_upstream_attempt *aub_attempt_start(struct aub_request *request,
					       guint64 ticket,
					       const char *upstream,
					       const char *address)
{
	struct aub_gateway *gateway = request->gateway;
	struct aub_upstream_attempt *attempt =
		g_new0(struct aub_upstream_attempt, 1);
	const struct aub_peer *relay = NULL;

	attempt->request = request;
	attempt->ticket = ticket;
	attempt->upstream = g_strdup(upstream);
	attempt->address = g_strdup(address);
	attempt->sent_us = aub_timer_now(gateway->options.timers);
	attempt->buffered_body = g_byte_array_new();
	attempt->load = (struct aub_load)AUB_LOAD_UNKNOWN;
	request->attempt = attempt;
	aub_metrics_add(gateway->options.metrics, gateway->attempts_counter, 1);
	if (aub_egress_monitor_needs_relay(gateway->options.egress, upstream))
		relay = pick_relay(attempt);
	send_request(attempt, relay);
	return attempt;
}

void aub_attempt_on_links_down(struct aub_upstream_attempt *attempt,
			       bool silent)
{
	struct aub_request *request = attempt->request;

	if (attempt->relay || attempt->status)
		return;
	if (!aub_exchange_may_have_sent(attempt->exchange)) {
		cancel_exchange(attempt);
		if (send_through_other_gateway(attempt))
			return;
		report_attempt_end(attempt, AUB_GRANT_UNUSED);
		aub_request_on_attempt_failed(request, attempt,
					      AUB_GRANT_UNREACHABLE);
		return;
	}
	if (!silent)
		return;
	/* The upstream has finished, or soon will: its slot is free. */
	report_attempt_end(attempt, AUB_GRANT_LINK_LOST);
	if (!aub_request_may_send_again(request))
		return;
	cancel_exchange(attempt);
	aub_request_on_attempt_failed(request, attempt, AUB_GRANT_LINK_LOST);
}

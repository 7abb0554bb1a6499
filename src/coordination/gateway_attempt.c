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

#define STATUS_MISDIRECTED 421

void aub_attempt_free(struct aub_upstream_attempt *attempt)
{
	attempt->request->attempt = NULL;
	if (attempt->head)
		g_string_free(attempt->head, TRUE);
	g_byte_array_unref(attempt->buffered_body);
	g_free(attempt->upstream);
	g_free(attempt);
}

static void log_attempt(const struct aub_upstream_attempt *attempt,
			enum aub_grant_result end, gint64 elapsed_us)
{
	aub_log_begin(AUB_LOG_ATTEMPT);
	aub_log_text("id", attempt->request->id);
	aub_log_text("upstream", attempt->upstream);
	aub_log_text("end", aub_grant_result_name(end));
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
	aub_placer_report(gateway->options.placer, attempt->ticket, end,
			  now - attempt->sent_us, &attempt->load);
	attempt->ticket = 0;
}

void aub_attempt_abort(struct aub_upstream_attempt *attempt,
		       enum aub_grant_result end)
{
	aub_exchange_cancel(attempt->exchange);
	attempt->exchange = NULL;
	report_attempt_end(attempt, end);
	aub_attempt_free(attempt);
}

/* Returns whether the answer carries the ID of another request. */
static bool is_for_other_request(const struct aub_upstream_attempt *attempt,
				 const struct aub_http_head *head)
{
	const char *id = aub_http_head_find(
		head, attempt->request->gateway->options.platform->request_id);

	return id && strcmp(id, attempt->request->id) != 0;
}

static bool is_well_formed(const struct aub_upstream_attempt *attempt,
			   const struct aub_http_head *head)
{
	const struct aub_platform *platform =
		attempt->request->gateway->options.platform;

	if (attempt->not_run)
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

	if (attempt->malformed || attempt->status == STATUS_MISDIRECTED)
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
			.rest_us = aub_http_head_retry_after_us(head),
		});
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct aub_upstream_attempt *attempt = context;
	const struct aub_platform *platform =
		attempt->request->gateway->options.platform;

	if (is_for_other_request(attempt, head)) {
		aub_exchange_discard_response(attempt->exchange);
		return;
	}
	attempt->status = head->status;
	attempt->not_run = aub_http_head_find(head, platform->not_run) ||
			   head->status == STATUS_MISDIRECTED;
	attempt->malformed = !is_well_formed(attempt, head);
	attempt->content_length = attempt->request->is_head ? 0 :
				  head->chunked		    ? -1 :
							      head->length;
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

	if (attempt->not_run || attempt->malformed)
		return;
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

static enum aub_grant_result classify_attempt(
	const struct aub_upstream_attempt *attempt,
	enum aub_exchange_result end)
{
	if (end == AUB_EXCHANGE_UNREACHABLE)
		return AUB_GRANT_UNREACHABLE;
	if (end != AUB_EXCHANGE_COMPLETE || attempt->malformed ||
	    !attempt->status)
		return AUB_GRANT_LOST;
	if (attempt->status == STATUS_MISDIRECTED)
		return AUB_GRANT_WRONG_UPSTREAM;
	if (attempt->not_run)
		return AUB_GRANT_REFUSED;
	return attempt->status >= 500 ? AUB_GRANT_FAILED : AUB_GRANT_OK;
}

static void on_ended(enum aub_exchange_result exchange_end, void *context)
{
	struct aub_upstream_attempt *attempt = context;
	struct aub_request *request = attempt->request;
	enum aub_grant_result end = classify_attempt(attempt, exchange_end);

	attempt->exchange = NULL;
	report_attempt_end(attempt, end);
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
	gint64 left_us = request->effective_deadline_us - attempt->sent_us;

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

struct aub_upstream_attempt *aub_attempt_start(struct aub_request *request,
					       guint64 ticket,
					       const char *upstream,
					       const char *address)
{
	struct aub_gateway *gateway = request->gateway;
	struct aub_upstream_attempt *attempt =
		g_new0(struct aub_upstream_attempt, 1);
	bool is_retry =
		request->tried_upstreams->len > 1 || request->connect_failures;
	const struct aub_exchange_options options = {
		.address = address,
		.pool_name = upstream,
		.idle_max_us = is_retry ? 0 :
			       request->route->idempotent ?
					  POOLED_IDLE_IDEMPOTENT_MAX_US :
					  POOLED_IDLE_AT_MOST_ONCE_MAX_US,
		.is_head = request->is_head,
	};

	attempt->request = request;
	attempt->ticket = ticket;
	attempt->upstream = g_strdup(upstream);
	attempt->sent_us = aub_timer_now(gateway->options.timers);
	attempt->buffered_body = g_byte_array_new();
	attempt->load = (struct aub_load)AUB_LOAD_UNKNOWN;
	request->attempt = attempt;
	aub_metrics_add(gateway->options.metrics, gateway->attempts_counter, 1);
	attempt->exchange = aub_exchange_new(gateway->options.client, &options,
					     &exchange_callbacks, attempt);
	write_head(attempt);
	aub_attempt_write_body(attempt, (const char *)request->body->data,
			       request->body->len);
	if (request->body_complete)
		aub_attempt_end_body(attempt);
	aub_exchange_flush(attempt->exchange);
	return attempt;
}

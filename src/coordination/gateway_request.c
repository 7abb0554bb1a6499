/* A request from its head to its answer: routing, placement and retries. */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/gateway_internal.h>

#include <string.h>

/*
 * Each attempt that fails to connect costs a connect timeout. After three the
 * fault is likely on this side.
 */
#define CONNECT_FAILURES_MAX 3

/*
 * A retry is useful only if at least half of the typical service time is left.
 */
#define RETRY_TIME_LEFT_MIN_SHARE 0.2 /* of the target latency */

/*
 * Share of the route's target latency that a request may wait for a slot and
 * still be answered on time.
 */
#define MAX_WAIT_TARGET_SHARE 0.6
/* Beyond that wait the answer is late anyway, and only the deadline matters. */
#define MAX_WAIT_REMAINING_SHARE 0.15 /* share of the remaining time */

/* Nearly all request bodies are smaller. */
#define SMALL_BODY_MAX_BYTES (16u << 10)

#define CRASH_RETRY_AFTER_MS 60000 /* lifetime of a crash count */
/* Links come back after seconds, and are found up at once. */
#define NO_LINKS_RETRY_AFTER_MS 1000

static gint64 request_now_us(const struct aub_request *request)
{
	return aub_timer_now(request->gateway->options.timers);
}

/*
 * Ends a request that no attempt will answer. `status` is 502 or 504 and is
 * used if the request may have run.
 */
static void finish_unanswered(struct aub_request *request, guint status,
			      const char *reason, const char *detail,
			      guint retry_after_ms)
{
	if (request->retained_answer.head)
		aub_request_send_retained_answer(request);
	else if (request->may_have_run)
		aub_request_fail(request, status, reason, detail);
	else
		aub_request_refuse(request, reason, retry_after_ms);
}

static void abort_timed_out_attempt(struct aub_request *request,
				    struct aub_upstream_attempt *attempt)
{
	if (aub_exchange_may_have_sent(attempt->exchange))
		request->may_have_run = true;
	aub_attempt_abort(attempt, AUB_GRANT_TIMEOUT);
}

/*
 * Also called for requests that time out: those of a stuck upstream last
 * longer than the ones that are answered.
 */
static void observe_answer_time(struct aub_request *request)
{
	gint64 now = request_now_us(request);

	aub_answer_times_observe(&request->route->answer_times,
				 now - request->start_us, now);
}

static void on_deadline(void *context, gint64 now_us);

/* `deadline_us` is the request's own one; a planned stop may end it earlier. */
static void start_timer(struct aub_request *request, gint64 deadline_us)
{
	request->timer =
		aub_timer_at(request->gateway->options.timers, "request",
			     aub_request_end_us(request, deadline_us),
			     on_deadline, request);
}

void aub_request_limit_to_stop(struct aub_request *request)
{
	if (!request->timer)
		return;
	aub_timer_cancel(request->gateway->options.timers, request->timer);
	start_timer(request, request->effective_deadline_us);
}

static void truncate_late_answer(struct aub_request *request, gint64 now_us)
{
	if (now_us < aub_request_end_us(request, request->deadline_us)) {
		start_timer(request, request->deadline_us);
		return;
	}
	aub_request_log(request, AUB_REQUEST_TRUNCATED, 0,
			now_us < request->deadline_us ? "stopping" : "deadline",
			NULL);
	aub_caller_abort(request->caller);
}

static void on_deadline(void *context, gint64 now_us)
{
	struct aub_request *request = context;

	request->timer = 0;
	if (request->answer_started) {
		truncate_late_answer(request, now_us);
		return;
	}
	if (request->attempt && !request->relayed)
		observe_answer_time(request);
	if (request->attempt)
		abort_timed_out_attempt(request, request->attempt);
	if (request->relayed)
		aub_relay_fail(request, AUB_RELAY_TIMEOUT);
	else if (now_us < request->effective_deadline_us)
		finish_unanswered(request, HTTP_STATUS_GATEWAY_TIMEOUT,
				  "stopping", NULL,
				  AUB_STOPPING_RETRY_AFTER_MS);
	else
		finish_unanswered(request, HTTP_STATUS_GATEWAY_TIMEOUT,
				  "timeout", NULL,
				  AUB_NOT_READY_RETRY_AFTER_MS);
}

static void log_not_placed(const struct aub_request *request,
			   const struct aub_placement_result *result)
{
	aub_log_begin(AUB_LOG_NOT_PLACED);
	aub_log_text("id", request->id);
	aub_log_text("service", request->service);
	if (request->workspace)
		aub_log_text("workspace", request->workspace->name);
	aub_log_text("verdict", aub_verdict_name(result->verdict));
	aub_log_text("placer", result->placer);
	aub_log_number("waited_ms", result->waited_us / AUB_MS);
	aub_log_number("retry_after_ms", result->retry_after_ms);
	aub_log_number("tried", request->tried_upstreams->len);
	aub_log_end();
}

/* Returns whether a decision on a replacement needs no further action. */
static bool replacement_is_settled(struct aub_request *request,
				   const struct aub_placement_result *result)
{
	struct aub_gateway *gateway = request->gateway;

	if (result->verdict != AUB_VERDICT_GRANTED) {
		log_not_placed(request, result);
		return true;
	}
	if (!aub_request_is_replaceable(request)) {
		aub_placer_cancel(gateway->options.placer, request->ticket);
		return true;
	}
	aub_metrics_add(gateway->options.metrics, gateway->replacements_counter,
			1);
	abort_timed_out_attempt(request, request->attempt);
	return false;
}

static void on_placed(const struct aub_placement_result *result, void *context)
{
	struct aub_request *request = context;
	struct aub_gateway *gateway = request->gateway;
	struct aub_upstream_attempt *attempt;
	bool replacing = request->replacing;

	request->placement_pending = false;
	request->replacing = false;
	if (replacing && replacement_is_settled(request, result))
		return;
	request->slot_wait_us += result->waited_us;
	if (result->verdict != AUB_VERDICT_GRANTED) {
		log_not_placed(request, result);
		if (result->verdict == AUB_VERDICT_OVER_QUOTA &&
		    !request->may_have_run && !request->retained_answer.head) {
			aub_request_refuse_over_quota(
				request, aub_verdict_name(result->verdict),
				result->placer, result->retry_after_ms);
			return;
		}
		finish_unanswered(request, HTTP_STATUS_BAD_GATEWAY,
				  aub_verdict_name(result->verdict),
				  result->placer, result->retry_after_ms);
		return;
	}
	if (!aub_request_ends_before_stop(request)) {
		aub_placer_cancel(gateway->options.placer, request->ticket);
		finish_unanswered(request, HTTP_STATUS_BAD_GATEWAY, "stopping",
				  result->upstream,
				  AUB_STOPPING_RETRY_AFTER_MS);
		return;
	}
	if (!aub_gateway_has_path(gateway, result->upstream)) {
		aub_placer_cancel(gateway->options.placer, request->ticket);
		finish_unanswered(request, HTTP_STATUS_BAD_GATEWAY, "no-links",
				  result->upstream, NO_LINKS_RETRY_AFTER_MS);
		return;
	}
	aub_metrics_add(gateway->options.metrics, gateway->retries_counter,
			request->tried_upstreams->len ? 1 : 0);
	aub_placer_count_attempt(gateway->options.placer, request->service,
				 request->tried_upstreams->len >
					 request->connect_failures);
	request->refused_retry_after_ms = result->retry_after_ms;
	g_ptr_array_add(request->tried_upstreams, g_strdup(result->upstream));
	attempt = aub_attempt_start(request, request->ticket, result->upstream,
				    result->address);
	aub_request_watch_silence(request, result->silent_after_ms);
	if (request->body_length && !request->body_complete)
		aub_http_stream_pause_reading(
			request->caller->stream,
			aub_exchange_queued_bytes(attempt->exchange) >
				AUB_WRITE_QUEUE_HIGH_BYTES);
}

/*
 * Returns the estimated time since the caller first sent the request, including
 * its earlier attempts.
 */
static gint64 caller_age_us(const struct aub_request *request, gint64 now_us)
{
	gint64 remaining_us = request->deadline_us - request->start_us;

	return now_us - request->start_us +
	       AUB_MS * aub_caller_wait_estimate(&request->route->caller_wait,
						 remaining_us / AUB_MS);
}

/*
 * Returns the time in which the request is useful to its caller: its target
 * latency, or less if it ends before.
 */
static gint64 useful_time_us(const struct aub_request *request)
{
	return MIN(request->route->target_ms * AUB_MS,
		   request->effective_deadline_us - request->start_us);
}

/* Returns how long the request may wait for a slot to be answered on time. */
static guint on_time_wait_ms(const struct aub_request *request, gint64 now_us)
{
	gint64 remaining_us = (gint64)(MAX_WAIT_TARGET_SHARE *
				       (double)useful_time_us(request)) -
			      caller_age_us(request, now_us);

	return (guint)(MAX(remaining_us, 0) / AUB_MS);
}

/* Returns how long the request may wait for a slot in all. */
static guint max_wait_ms(const struct aub_request *request, gint64 now_us)
{
	gint64 end_us =
		aub_request_end_us(request, request->effective_deadline_us);
	gint64 late_wait_ms =
		(gint64)(MAX_WAIT_REMAINING_SHARE * (double)(end_us - now_us)) /
		AUB_MS;

	return MAX(on_time_wait_ms(request, now_us),
		   (guint)MAX(late_wait_ms, 0));
}

void aub_request_place(struct aub_request *request, bool replaces)
{
	struct aub_gateway *gateway = request->gateway;
	gint64 now = request_now_us(request);
	const struct aub_placement_request placement_request = {
		.priority = aub_request_priority(request),
		.workspace = request->workspace ? request->workspace->name : "",
		.target_ms = request->route->target_ms,
		.on_time_wait_ms = on_time_wait_ms(request, now),
		.max_wait_ms = max_wait_ms(request, now),
		.first = !request->placed,
		.retry = request->tried_upstreams->len >
			 request->connect_failures,
		.replaces = replaces,
		.route = request->route->key,
		.fingerprint = request->body_complete ?
				       aub_request_digest(request) :
				       0,
		.avoid = (const char *const *)request->tried_upstreams->pdata,
		.avoid_count = request->tried_upstreams->len,
	};

	request->placed = true;
	request->placement_pending = true;
	request->replacing = replaces;
	request->ticket = aub_placer_new_ticket(gateway->options.placer);
	aub_placer_request(gateway->options.placer, request->service,
			   &placement_request, request->ticket, on_placed,
			   request);
}

bool aub_request_may_retry(const struct aub_request *request,
			   enum aub_grant_result end)
{
	gint64 remaining_us =
		aub_request_end_us(request, request->effective_deadline_us) -
		request_now_us(request);

	if (request->answer_started || request->body_discarded)
		return false;
	if ((double)remaining_us <
	    RETRY_TIME_LEFT_MIN_SHARE *
		    (double)(request->route->target_ms * AUB_MS))
		return false;
	if (end == AUB_GRANT_UNREACHABLE)
		return request->connect_failures < CONNECT_FAILURES_MAX;
	if (request->tried_upstreams->len - request->connect_failures >=
	    request->route->max_attempts)
		return false;
	return end == AUB_GRANT_REFUSED || end == AUB_GRANT_WRONG_UPSTREAM ||
	       request->route->idempotent;
}

bool aub_request_may_send_again(const struct aub_request *request)
{
	return !request->relayed && request->route->idempotent &&
	       aub_request_may_retry(request, AUB_GRANT_LINK_LOST);
}

/*
 * Retry-After if an upstream refused or was not reachable and the placer had no
 * estimate.
 */
#define UPSTREAM_REFUSED_RETRY_AFTER_MS 300

static guint retry_after_attempt_ms(const struct aub_request *request,
				    enum aub_grant_result end)
{
	return end == AUB_GRANT_REFUSED && request->refused_retry_after_ms ?
		       request->refused_retry_after_ms :
		       UPSTREAM_REFUSED_RETRY_AFTER_MS;
}

void aub_request_on_attempt_failed(struct aub_request *request,
				   struct aub_upstream_attempt *attempt,
				   enum aub_grant_result end)
{
	bool streaming = attempt->streaming;
	bool sent_directly = !attempt->relay;
	char *upstream = g_strdup(attempt->upstream);

	aub_attempt_free(attempt);
	aub_request_end_replacement(request);
	if (request->relayed && !streaming) {
		aub_relay_fail(request, aub_relay_failure_of(request, end));
		g_free(upstream);
		return;
	}
	if (end == AUB_GRANT_UNREACHABLE)
		request->connect_failures++;
	if (end == AUB_GRANT_LOST || end == AUB_GRANT_TIMEOUT ||
	    end == AUB_GRANT_LINK_LOST)
		request->may_have_run = true;
	if (end == AUB_GRANT_LOST && request->body_complete &&
	    !request->relayed)
		aub_request_record_crash(request, upstream, sent_directly);
	if (streaming) {
		aub_request_log(request, AUB_REQUEST_TRUNCATED, 0,
				"upstream-broke", upstream);
		aub_caller_abort(request->caller);
	} else if (!aub_request_may_retry(request, end) ||
		   aub_request_is_known_to_crash(request)) {
		finish_unanswered(request, HTTP_STATUS_BAD_GATEWAY,
				  aub_grant_result_name(end), upstream,
				  retry_after_attempt_ms(request, end));
	} else if (!aub_request_ends_before_stop(request)) {
		finish_unanswered(request, HTTP_STATUS_BAD_GATEWAY, "stopping",
				  upstream, AUB_STOPPING_RETRY_AFTER_MS);
	} else {
		aub_request_place(request, false);
	}
	g_free(upstream);
}

/* Writes the head of an answer that is still being received. */
static void write_stream_head(struct aub_request *request,
			      struct aub_upstream_attempt *attempt)
{
	GString *text = attempt->head;

	if (request->is_head)
		; /* HEAD: Content-Length is that of the answer to GET */
	else if (attempt->content_length >= 0)
		g_string_append_printf(text,
				       "Content-Length: %" G_GINT64_FORMAT
				       "\r\n",
				       attempt->content_length);
	else
		g_string_append(text, "Transfer-Encoding: chunked\r\n");
	attempt->chunked_to_caller = attempt->content_length < 0;
	g_string_append(text, aub_request_connection_line(request));
	g_string_append(text, "\r\n");
	aub_request_write(request, text->str, text->len);
}

void aub_request_begin_streaming(struct aub_request *request,
				 struct aub_upstream_attempt *attempt)
{
	/*
	 * While earlier requests are unanswered, no more is read than the
	 * buffer holds.
	 */
	if (!aub_request_is_first(request)) {
		aub_exchange_pause_reading(attempt->exchange, true);
		return;
	}
	request->answer_started = true;
	attempt->streaming = true;
	write_stream_head(request, attempt);
	aub_request_stream_bytes(request, attempt,
				 (const char *)attempt->buffered_body->data,
				 attempt->buffered_body->len);
	g_byte_array_set_size(attempt->buffered_body, 0);
}

void aub_request_stream_bytes(struct aub_request *request,
			      struct aub_upstream_attempt *attempt,
			      const char *data, gsize length)
{
	struct aub_http_stream *stream = request->caller->stream;
	char size[24];

	if (attempt->chunked_to_caller) {
		g_snprintf(size, sizeof(size), "%zx\r\n", length);
		aub_http_stream_write(stream, size, strlen(size));
	}
	aub_http_stream_write(stream, data, length);
	if (attempt->chunked_to_caller)
		aub_http_stream_write(stream, "\r\n", 2);
	aub_http_stream_flush(stream);
	if (aub_http_stream_queued_bytes(stream) > AUB_WRITE_QUEUE_HIGH_BYTES)
		aub_exchange_pause_reading(attempt->exchange, true);
}

/*
 * An upstream's error answer may turn out to be final, because no other
 * upstream has room or the fleet's retry budget is used up. The complete answer
 * is retained until another replaces it, so that the caller gets it instead of
 * a 502 without content.
 */
static void retain_answer(struct aub_request *request,
			  struct aub_upstream_attempt *attempt)
{
	struct aub_retained_answer *retained = &request->retained_answer;

	/*
	 * A 503 would state that the request did not run, but a later attempt
	 * may run it.
	 */
	if (retained->head ||
	    attempt->status == HTTP_STATUS_SERVICE_UNAVAILABLE)
		return;
	*retained = (struct aub_retained_answer){
		.status = attempt->status,
		.head = g_steal_pointer(&attempt->head),
		.body = g_byte_array_ref(attempt->buffered_body),
		.upstream = g_strdup(attempt->upstream),
	};
}

void aub_request_on_attempt_complete(struct aub_request *request,
				     struct aub_upstream_attempt *attempt)
{
	bool failed = attempt->status >= 500;

	if (failed && !request->relayed && !attempt->streaming &&
	    request->route->idempotent &&
	    aub_request_may_retry(request, AUB_GRANT_FAILED)) {
		/*
		 * A complete error answer of one upstream; another may succeed.
		 */
		request->may_have_run = true;
		retain_answer(request, attempt);
		aub_request_on_attempt_failed(request, attempt,
					      AUB_GRANT_FAILED);
		return;
	}
	if (attempt->streaming) {
		if (attempt->chunked_to_caller)
			aub_request_write(request, "0\r\n\r\n", 5);
	} else {
		aub_request_write_answer(request, attempt->head,
					 attempt->buffered_body);
	}
	if (!request->relayed) {
		aub_request_clear_crashes(request);
		observe_answer_time(request);
	}
	aub_request_log(request, AUB_REQUEST_ANSWERED, attempt->status, "",
			attempt->upstream);
	aub_attempt_free(attempt);
	aub_request_finish(request);
}

void aub_request_on_upstream_writable(struct aub_request *request)
{
	if (!request->body_complete)
		aub_http_stream_pause_reading(request->caller->stream, false);
}

void aub_request_on_caller_writable(struct aub_request *request)
{
	if (request->attempt && request->attempt->exchange)
		aub_exchange_pause_reading(request->attempt->exchange, false);
}

void aub_request_on_caller_closed(struct aub_request *request)
{
	aub_request_log(request, AUB_REQUEST_CALLER_CLOSED, 0, "caller-left",
			NULL);
	aub_request_free(request);
}

void aub_request_on_body(struct aub_request *request, const char *data,
			 gsize length)
{
	gsize queued = 0;

	request->body_read += length;
	if (!request->relayed &&
	    request->body_read > request->routing->limits.body_bytes) {
		if (request->attempt)
			aub_attempt_abort(request->attempt,
					  AUB_GRANT_ABANDONED);
		aub_request_deny(request, 413, "body-too-large");
		return;
	}
	if (request->attempt) {
		aub_attempt_write_body(request->attempt, data, length);
		aub_exchange_flush(request->attempt->exchange);
		queued = aub_exchange_queued_bytes(request->attempt->exchange);
	}
	if (request->body->len + length <= AUB_BODY_BUFFER_BYTES ||
	    !request->attempt)
		g_byte_array_append(request->body, (const guint8 *)data,
				    (guint)length);
	else
		request->body_discarded = true;
	/* Pauses reading while there is no room for more. */
	if (queued > AUB_WRITE_QUEUE_HIGH_BYTES ||
	    (!request->attempt && request->body->len > AUB_BODY_BUFFER_BYTES))
		aub_http_stream_pause_reading(request->caller->stream, true);
}

/*
 * A small body is read completely before an upstream's slot is taken. Otherwise
 * a slow caller would occupy the slot while it sends; and the body is needed to
 * recognize a request that crashes upstreams.
 */
static bool needs_complete_body(const struct aub_request *request)
{
	return request->body_length > 0 &&
	       request->body_length <= SMALL_BODY_MAX_BYTES;
}

bool aub_request_has_long_body(const struct aub_request *request)
{
	return request->body_length && !needs_complete_body(request);
}

static void start_placement(struct aub_request *request)
{
	if (request->relayed)
		aub_relay_start(request);
	else if (aub_request_is_known_to_crash(request))
		aub_request_refuse(request, "crashes-upstreams",
				   CRASH_RETRY_AFTER_MS);
	else if (!aub_request_ends_before_stop(request))
		aub_request_refuse(request, "stopping",
				   AUB_STOPPING_RETRY_AFTER_MS);
	else
		aub_request_place(request, false);
}

void aub_request_on_body_end(struct aub_request *request)
{
	request->body_complete = true;
	/* Its last piece may have paused reading; the next request follows. */
	aub_http_stream_pause_reading(request->caller->stream, false);
	if (request->placement_deferred)
		return;
	if (needs_complete_body(request)) {
		start_placement(request);
		return;
	}
	if (!request->attempt)
		return;
	aub_attempt_end_body(request->attempt);
	aub_exchange_flush(request->attempt->exchange);
}

void aub_request_on_became_first(struct aub_request *request)
{
	struct aub_upstream_attempt *attempt = request->attempt;

	if (attempt && !attempt->streaming &&
	    attempt->buffered_body->len > AUB_BODY_BUFFER_BYTES) {
		aub_request_begin_streaming(request, attempt);
		aub_exchange_pause_reading(attempt->exchange, false);
	}
	if (!request->placement_deferred)
		return;
	request->placement_deferred = false;
	if (request->body_complete || !needs_complete_body(request))
		start_placement(request);
}

/* Prepares a caller's request. Returns false if it has been answered instead.
 */
static bool accept_callers_request(struct aub_request *request,
				   const struct aub_http_head *head)
{
	if (!aub_request_find_route(request, head))
		return false;
	request->service = aub_route_pick_service(request->route);
	aub_request_read_deadlines(request, head);
	if (!aub_request_ends_before_stop(request)) {
		aub_request_refuse(request, "stopping",
				   AUB_STOPPING_RETRY_AFTER_MS);
		return false;
	}
	if (!request->body_complete && aub_http_head_find(head, "Expect"))
		aub_request_write(request, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	request->placement_deferred =
		!aub_request_is_first(request) && !request->route->idempotent;
	return true;
}

struct aub_request *aub_request_new(struct aub_caller *caller,
				    const struct aub_http_head *head)
{
	struct aub_gateway *gateway = caller->gateway;
	struct aub_request *request = g_new0(struct aub_request, 1);

	request->gateway = gateway;
	request->caller = caller;
	g_queue_push_tail(&caller->requests, request);
	request->pending_output = g_byte_array_new();
	request->keep_alive = head->keep_alive;
	gateway->active_requests++;
	request->start_us = aub_timer_now(gateway->options.timers);
	request->body = g_byte_array_new();
	request->tried_upstreams = g_ptr_array_new_with_free_func(g_free);
	if (gateway->routing)
		request->routing = aub_routing_ref(gateway->routing);
	aub_request_copy_head(request, head);
	if (caller->is_peer ? !aub_relay_accept(request, head) :
			      !accept_callers_request(request, head))
		return NULL;
	start_timer(request, request->effective_deadline_us);
	if (!request->placement_deferred && !needs_complete_body(request))
		start_placement(request);
	return request;
}

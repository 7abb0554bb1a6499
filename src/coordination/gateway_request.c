/*
 * A request from its head to its answer: where it goes, when it is tried
 * again, and what its caller is told.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/gateway_parts.h>

#include <string.h>

/*
 * Tries that never reached an upstream cost a connection's time limit each;
 * after three the fault is on this side.
 */
#define UNREACHABLE_MOST 3

/* A second try needs time to be worth its while: half of usual work. */
#define RETRY_LEFT_SHARE 0.2 /* of the route's target */

/* Of its target, what a request may wait for a slot and still be on time. */
#define PATIENCE_SHARE 0.6
/* Once that is past, an answer is late anyway and only the limit counts. */
#define PATIENCE_LATE_SHARE 0.15 /* of the time that is left */

#define BODY_FIRST_BYTES (16u << 10) /* nearly all bodies of the users */

#define CRASH_RETRY_MS 60000 /* for as long as its mark lasts */
#define NOT_READY_RETRY_MS 1000 /* a start takes about this long */

static gint64 now_of(const struct aub_request *request)
{
	return aub_timer_now(request->gateway->options.timers);
}

/*
 * The last word on a request that no attempt will answer. `status` is what its
 * caller gets where it may have run: 502 or 504.
 */
static void give_up(struct aub_request *request, guint status,
		    const char *reason, const char *detail,
		    guint retry_after_ms)
{
	if (request->kept.head)
		aub_request_answer_kept(request);
	else if (request->may_have_run)
		aub_request_fail(request, status, reason, detail);
	else
		aub_request_refuse(request, reason, retry_after_ms);
}

static void attempt_time_out(struct aub_request *request,
			     struct aub_attempt_state *attempt)
{
	if (aub_exchange_may_have_sent(attempt->exchange))
		request->may_have_run = true;
	aub_attempt_abort(attempt, AUB_END_TIMEOUT);
}

static void on_limit(void *context, gint64 now_us)
{
	struct aub_request *request = context;

	request->timer = 0;
	if (request->answering) {
		if (now_us < request->deadline_us) {
			request->timer =
				aub_timer_at(request->gateway->options.timers,
					     "deadline", request->deadline_us,
					     on_limit, request);
			return;
		}
		aub_request_log(request, AUB_COUNT_BROKEN, 0, "deadline", NULL);
		aub_caller_break(request->caller);
		return;
	}
	if (request->attempt)
		attempt_time_out(request, request->attempt);
	give_up(request, HTTP_STATUS_GATEWAY_TIMEOUT, "timeout", NULL,
		NOT_READY_RETRY_MS);
}

static void ask_upstream(struct aub_request *request);

static void log_not_placed(const struct aub_request *request,
			   const struct aub_placed *placed)
{
	aub_log_begin(AUB_LOG_NOT_PLACED);
	aub_log_text("id", request->id);
	aub_log_text("service", request->service);
	aub_log_text("verdict", aub_verdict_name(placed->verdict));
	aub_log_text("placer", placed->placer);
	aub_log_number("waited_ms", placed->waited_us / AUB_MS);
	aub_log_number("retry_after_ms", placed->retry_after_ms);
	aub_log_number("tried", request->tried->len);
	aub_log_end();
}

static void on_placed(const struct aub_placed *placed, void *context)
{
	struct aub_request *request = context;
	struct aub_gateway *gateway = request->gateway;
	struct aub_attempt_state *attempt;

	request->asking = false;
	request->waited_us += placed->waited_us;
	if (placed->verdict != AUB_VERDICT_GRANTED) {
		log_not_placed(request, placed);
		give_up(request, HTTP_STATUS_BAD_GATEWAY,
			aub_verdict_name(placed->verdict), placed->placer,
			placed->retry_after_ms);
		return;
	}
	aub_metrics_add(gateway->options.metrics, gateway->retries,
			request->tried->len ? 1 : 0);
	g_ptr_array_add(request->tried, g_strdup(placed->upstream));
	attempt = aub_attempt_start(request, request->ask, placed->upstream,
				    placed->address);
	if (request->body_length && !request->body_whole)
		aub_http_stream_hold(request->caller->stream,
				     aub_exchange_queued(attempt->exchange) >
					     AUB_QUEUE_HIGH);
}

/* Since its caller first asked, as far as it can be told. */
static gint64 age_us(const struct aub_request *request, gint64 now_us)
{
	gint64 left_us = request->deadline_us - request->begun_us;

	return now_us - request->begun_us +
	       AUB_MS * aub_caller_age_of(&request->route->age,
					  left_us / AUB_MS);
}

static guint on_time_ms(const struct aub_request *request, gint64 now_us)
{
	gint64 left_us =
		(gint64)(PATIENCE_SHARE * (double)request->route->target_ms) *
			AUB_MS -
		age_us(request, now_us);

	return (guint)(MAX(left_us, 0) / AUB_MS);
}

static guint max_wait_ms(const struct aub_request *request, gint64 now_us)
{
	gint64 late_ms = (gint64)(PATIENCE_LATE_SHARE *
				  (double)(request->limit_us - now_us)) /
			 AUB_MS;

	return MAX(on_time_ms(request, now_us), (guint)MAX(late_ms, 0));
}

static void ask_upstream(struct aub_request *request)
{
	struct aub_gateway *gateway = request->gateway;
	gint64 now = now_of(request);
	const struct aub_ask ask = {
		.priority = request->route->priority,
		.target_ms = request->route->target_ms,
		.on_time_ms = on_time_ms(request, now),
		.max_wait_ms = max_wait_ms(request, now),
		.retry = request->tried->len > request->unreachable,
		.route = request->route->key,
		.avoid = (const char *const *)request->tried->pdata,
		.avoid_count = request->tried->len,
	};

	request->asking = true;
	request->ask = aub_placer_ticket(gateway->options.placer);
	aub_placer_ask(gateway->options.placer, request->service, &ask,
		       request->ask, on_placed, request);
}

/* May what was sent be sent once more? */
static bool may_repeat(const struct aub_request *request,
		       enum aub_attempt_end end)
{
	gint64 left_us = request->limit_us - now_of(request);

	if (request->answering || request->body_lost)
		return false;
	if ((double)left_us <
	    RETRY_LEFT_SHARE * (double)(request->route->target_ms * AUB_MS))
		return false;
	if (end == AUB_END_UNREACHABLE)
		return request->unreachable < UNREACHABLE_MOST;
	if (request->tried->len - request->unreachable >=
	    request->route->max_attempts)
		return false;
	return end == AUB_END_REFUSED || end == AUB_END_MISPLACED ||
	       request->route->idempotent;
}

/*
 * Failure: a request crashes each upstream that runs it, and its caller sends
 * it again. Symptom: the service loses one upstream after the other. Enough:
 * after three deaths in a row, at any gateways, it is refused everywhere.
 */
static guint64 fingerprint(const struct aub_request *request)
{
	return aub_crash_fingerprint(request->line, request->host,
				     request->body->data, request->body->len);
}

static void mark_lost(struct aub_request *request)
{
	struct aub_gateway *gateway = request->gateway;
	guint64 mark = fingerprint(request);
	guint deaths =
		aub_crash_marks_lost(gateway->crashes, mark, now_of(request));

	if (gateway->options.crashed && deaths > 1)
		gateway->options.crashed(mark, deaths,
					 gateway->options.context);
}

static bool is_crashing(const struct aub_request *request)
{
	return request->body_whole &&
	       aub_crash_marks_refuse(request->gateway->crashes,
				      fingerprint(request), now_of(request));
}

/* When to come back to a service whose upstream refused or was not there. */
#define UPSTREAM_REFUSED_RETRY_MS 300

void aub_request_attempt_failed(struct aub_request *request,
				struct aub_attempt_state *attempt,
				enum aub_attempt_end end)
{
	bool streaming = attempt->streaming;
	char *upstream = g_strdup(attempt->upstream);

	aub_attempt_free(attempt);
	if (end == AUB_END_UNREACHABLE)
		request->unreachable++;
	if (end == AUB_END_LOST || end == AUB_END_TIMEOUT)
		request->may_have_run = true;
	if (end == AUB_END_LOST && request->body_whole)
		mark_lost(request);
	if (streaming) {
		aub_request_log(request, AUB_COUNT_BROKEN, 0, "upstream-broke",
				upstream);
		aub_caller_break(request->caller);
	} else if (may_repeat(request, end) && !is_crashing(request)) {
		ask_upstream(request);
	} else {
		give_up(request, HTTP_STATUS_BAD_GATEWAY,
			aub_attempt_end_name(end), upstream,
			UPSTREAM_REFUSED_RETRY_MS);
	}
	g_free(upstream);
}

/* The head of an answer whose end is not in sight. */
static void write_stream_head(struct aub_request *request,
			      struct aub_attempt_state *attempt)
{
	GString *text = attempt->head;

	if (request->is_head)
		; /* its length is that of the answer to GET */
	else if (attempt->length >= 0)
		g_string_append_printf(text,
				       "Content-Length: %" G_GINT64_FORMAT
				       "\r\n",
				       attempt->length);
	else
		g_string_append(text, "Transfer-Encoding: chunked\r\n");
	attempt->chunked = attempt->length < 0;
	g_string_append(text, aub_request_connection_line(request));
	g_string_append(text, "\r\n");
	aub_request_put(request, text->str, text->len);
}

void aub_request_attempt_streams(struct aub_request *request,
				 struct aub_attempt_state *attempt)
{
	/* Before its turn no more is read than is held. */
	if (!aub_request_is_first(request)) {
		aub_exchange_hold(attempt->exchange, true);
		return;
	}
	request->answering = true;
	attempt->streaming = true;
	write_stream_head(request, attempt);
	aub_request_attempt_bytes(request, attempt,
				  (const char *)attempt->body->data,
				  attempt->body->len);
	g_byte_array_set_size(attempt->body, 0);
}

void aub_request_attempt_bytes(struct aub_request *request,
			       struct aub_attempt_state *attempt,
			       const char *data, gsize length)
{
	struct aub_http_stream *stream = request->caller->stream;
	char size[24];

	if (attempt->chunked) {
		g_snprintf(size, sizeof(size), "%zx\r\n", length);
		aub_http_stream_write(stream, size, strlen(size));
	}
	aub_http_stream_write(stream, data, length);
	if (attempt->chunked)
		aub_http_stream_write(stream, "\r\n", 2);
	aub_http_stream_flush(stream);
	if (aub_http_stream_queued(stream) > AUB_QUEUE_HIGH)
		aub_exchange_hold(attempt->exchange, true);
}

/*
 * Failure: an upstream answers that it failed, and no other can be tried in
 * the end: none has room, or the fleet's budget of retries is used up.
 * Symptom: the caller gets a 502 in place of the upstream's own words. Enough:
 * the whole answer is kept until another takes its place.
 */
static void keep_answer(struct aub_request *request,
			struct aub_attempt_state *attempt)
{
	struct aub_kept_answer *kept = &request->kept;

	/* A 503 would promise that nothing ran, and the next one may run it. */
	if (kept->head || attempt->status == HTTP_STATUS_SERVICE_UNAVAILABLE)
		return;
	*kept = (struct aub_kept_answer){
		.status = attempt->status,
		.head = g_steal_pointer(&attempt->head),
		.body = g_byte_array_ref(attempt->body),
		.upstream = g_strdup(attempt->upstream),
	};
}

void aub_request_attempt_whole(struct aub_request *request,
			       struct aub_attempt_state *attempt)
{
	bool failed = attempt->status >= 500;

	if (failed && !attempt->streaming && request->route->idempotent &&
	    may_repeat(request, AUB_END_FAILED)) {
		/* A whole failure of one upstream; another may do better. */
		request->may_have_run = true;
		keep_answer(request, attempt);
		aub_request_attempt_failed(request, attempt, AUB_END_FAILED);
		return;
	}
	if (attempt->streaming) {
		if (attempt->chunked)
			aub_request_put(request, "0\r\n\r\n", 5);
	} else {
		aub_request_put_whole(request, attempt->head, attempt->body);
	}
	if (request->body_whole && !request->body_lost)
		aub_crash_marks_answered(request->gateway->crashes,
					 fingerprint(request));
	aub_request_log(request, AUB_COUNT_ANSWERED, attempt->status, "",
			attempt->upstream);
	aub_attempt_free(attempt);
	aub_request_end(request);
}

void aub_request_attempt_drained(struct aub_request *request)
{
	if (!request->body_whole)
		aub_http_stream_hold(request->caller->stream, false);
}

void aub_request_drained(struct aub_request *request)
{
	if (request->attempt && request->attempt->exchange)
		aub_exchange_hold(request->attempt->exchange, false);
}

void aub_request_caller_left(struct aub_request *request)
{
	aub_request_log(request, AUB_COUNT_GONE, 0, "caller-left", NULL);
	aub_request_free(request);
}

void aub_request_body(struct aub_request *request, const char *data,
		      gsize length)
{
	gsize queued = 0;

	request->body_read += length;
	if (request->body_read > request->routing->limits.body_bytes) {
		if (request->attempt)
			aub_attempt_abort(request->attempt, AUB_END_ABANDONED);
		aub_request_deny(request, 413, "body-too-large");
		return;
	}
	if (request->attempt) {
		aub_attempt_write_body(request->attempt, data, length);
		aub_exchange_flush(request->attempt->exchange);
		queued = aub_exchange_queued(request->attempt->exchange);
	}
	if (request->body->len + length <= AUB_BODY_KEPT || !request->attempt)
		g_byte_array_append(request->body, (const guint8 *)data,
				    (guint)length);
	else
		request->body_lost = true;
	/* Nothing more is read while there is no place to put it. */
	if (queued > AUB_QUEUE_HIGH ||
	    (!request->attempt && request->body->len > AUB_BODY_KEPT))
		aub_http_stream_hold(request->caller->stream, true);
}

/*
 * A small body is read before an upstream's slot is taken for it: a slow
 * caller would hold the slot while it sends, and a request that crashes
 * upstreams is known by its body.
 */
static bool waits_for_body(const struct aub_request *request)
{
	return request->body_length > 0 &&
	       request->body_length <= BODY_FIRST_BYTES;
}

static void begin_placing(struct aub_request *request)
{
	if (is_crashing(request))
		aub_request_refuse(request, "crashes-upstreams",
				   CRASH_RETRY_MS);
	else
		ask_upstream(request);
}

void aub_request_body_end(struct aub_request *request)
{
	request->body_whole = true;
	if (request->parked)
		return;
	if (waits_for_body(request)) {
		begin_placing(request);
		return;
	}
	if (!request->attempt)
		return;
	aub_attempt_end_body(request->attempt);
	aub_exchange_flush(request->attempt->exchange);
}

void aub_request_take_turn(struct aub_request *request)
{
	struct aub_attempt_state *attempt = request->attempt;

	if (attempt && !attempt->streaming &&
	    attempt->body->len > AUB_BODY_KEPT) {
		aub_request_attempt_streams(request, attempt);
		aub_exchange_hold(attempt->exchange, false);
	}
	if (!request->parked)
		return;
	request->parked = false;
	if (request->body_whole || !waits_for_body(request))
		begin_placing(request);
}

/* NULL, or why the head makes no request that can be served. */
static const char *head_problem(const struct aub_http_head *head,
				const struct aub_platform *platform)
{
	if (aub_http_head_count(head, "Host") != 1)
		return "one-host-expected";
	if (head->target[0] != '/')
		return "target-must-be-a-path";
	if (aub_http_head_count(head, platform->request_id) > 1)
		return "one-request-id-expected";
	return NULL;
}

static void read_times(struct aub_request *request,
		       const struct aub_http_head *head)
{
	const char *text = aub_http_head_find(
		head, request->gateway->options.platform->deadline_ms);
	gint64 timeout_us = request->route->timeout_ms * AUB_MS;
	gint64 left_ms;

	request->limit_us = request->begun_us + timeout_us;
	request->deadline_us = request->limit_us;
	if (aub_header_is_number(text, &left_ms))
		request->deadline_us = request->begun_us + left_ms * AUB_MS;
	aub_caller_age_observe(&request->route->age,
			       (request->deadline_us - request->begun_us) /
				       AUB_MS);
	request->limit_us = MIN(request->limit_us, request->deadline_us);
}

/* Route it; false if it has been answered instead. */
static bool request_route(struct aub_request *request,
			  const struct aub_http_head *head)
{
	struct aub_gateway *gateway = request->gateway;
	const char *problem = head_problem(head, gateway->options.platform);

	if (!request->routing) {
		aub_request_refuse(request, "no-configuration",
				   NOT_READY_RETRY_MS);
		return false;
	}
	if (problem) {
		aub_request_deny(request, 400, problem);
		return false;
	}
	request->route = aub_routing_find(request->routing,
					  aub_http_head_find(head, "Host"),
					  head->target);
	if (!request->route) {
		aub_request_deny(request, 404, "no-route");
		return false;
	}
	if (head->length > 0 &&
	    (guint64)head->length > request->routing->limits.body_bytes) {
		aub_request_deny(request, 413, "body-too-large");
		return false;
	}
	return true;
}

static void copy_head(struct aub_request *request,
		      const struct aub_http_head *head)
{
	const struct aub_platform *platform =
		request->gateway->options.platform;
	const char *id = aub_http_head_find(head, platform->request_id);

	request->id = g_strdup(id ? id : "");
	request->host = g_strdup(aub_http_head_find(head, "Host"));
	request->line =
		g_strdup_printf("%s %s HTTP/1.1\r\n",
				http_method_str((enum http_method)head->method),
				head->target);
	request->headers = g_string_new(NULL);
	aub_headers_forward(request->headers, head, platform, true);
	request->is_head = head->method == HTTP_HEAD;
	request->body_length = head->chunked	? -1 :
			       head->length > 0 ? head->length :
						  0;
	request->body_whole = request->body_length == 0;
}

struct aub_request *aub_request_new(struct aub_caller *caller,
				    const struct aub_http_head *head)
{
	struct aub_gateway *gateway = caller->gateway;
	struct aub_request *request = g_new0(struct aub_request, 1);

	request->gateway = gateway;
	request->caller = caller;
	g_queue_push_tail(&caller->requests, request);
	request->held = g_byte_array_new();
	request->keep_alive = head->keep_alive;
	gateway->requests++;
	request->begun_us = aub_timer_now(gateway->options.timers);
	request->body = g_byte_array_new();
	request->tried = g_ptr_array_new_with_free_func(g_free);
	if (gateway->routing)
		request->routing = aub_routing_ref(gateway->routing);
	copy_head(request, head);
	if (!request_route(request, head))
		return NULL;
	request->service = aub_route_pick(request->route);
	read_times(request, head);
	request->timer = aub_timer_at(gateway->options.timers, "request",
				      request->limit_us, on_limit, request);
	if (!request->body_whole && aub_http_head_find(head, "Expect"))
		aub_request_put(request, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	request->parked =
		!aub_request_is_first(request) && !request->route->idempotent;
	if (!request->parked && !waits_for_body(request))
		begin_placing(request);
	return request;
}

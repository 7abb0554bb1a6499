/*
 * How a request ends: own answers, the log line, and its memory.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/gateway_parts.h>

#include <string.h>

static void kept_clear(struct aub_kept_answer *kept)
{
	g_string_free(kept->head, TRUE);
	g_byte_array_unref(kept->body);
	g_free(kept->upstream);
}

void aub_request_free(struct aub_request *request)
{
	struct aub_gateway *gateway = request->gateway;

	aub_timer_cancel(gateway->options.timers, request->timer);
	if (request->asking)
		aub_placer_cancel(gateway->options.placer, request->ask);
	if (request->attempt)
		aub_attempt_abort(request->attempt, AUB_END_ABANDONED);
	gateway->requests--;
	g_queue_remove(&request->caller->requests, request);
	g_byte_array_unref(request->held);
	if (request->kept.head)
		kept_clear(&request->kept);
	g_ptr_array_unref(request->tried);
	g_byte_array_unref(request->body);
	g_string_free(request->headers, TRUE);
	g_free(request->line);
	g_free(request->host);
	g_free(request->id);
	aub_routing_unref(request->routing);
	g_free(request);
}

/*
 * The connection may carry on if the request was read to its end. A planned
 * stop ends it with the last request that was read: one that has been sent on
 * must not lose its answer.
 */
static bool ends_connection(const struct aub_request *request)
{
	return !request->body_whole || !request->keep_alive ||
	       (request->gateway->stopping && aub_request_is_last(request));
}

void aub_request_end(struct aub_request *request)
{
	struct aub_caller *caller = request->caller;

	if (ends_connection(request))
		caller->closing = true;
	if (!aub_request_is_first(request)) {
		request->done = true;
		aub_timer_cancel(request->gateway->options.timers,
				 request->timer);
		request->timer = 0;
		return;
	}
	aub_request_free(request);
	aub_caller_next(caller);
}

const char *aub_request_connection_line(struct aub_request *request)
{
	if (!ends_connection(request))
		return "";
	request->caller->closing = true;
	return "Connection: close\r\n";
}

struct own_answer {
	guint status;
	enum aub_request_counter counter;
	const char *reason;
	const char *detail; /* for the log; may be NULL */
	guint retry_after_ms; /* 0: none */
};

static void answer_own(struct aub_request *request,
		       const struct own_answer *own)
{
	GString *text = g_string_new(NULL);
	char *body = g_strdup_printf("{\"error\":\"%s\"}\n", own->reason);

	g_string_append_printf(
		text,
		"HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\n%s: %s\r\n%s",
		own->status, http_status_str((enum http_status)own->status),
		request->is_head ? 0 : strlen(body),
		request->gateway->options.platform->request_id, request->id,
		aub_request_connection_line(request));
	if (own->retry_after_ms)
		g_string_append_printf(text, "Retry-After: %u.%03u\r\n",
				       own->retry_after_ms / 1000,
				       own->retry_after_ms % 1000);
	g_string_append(text, "\r\n");
	if (!request->is_head)
		g_string_append(text, body);
	g_free(body);
	aub_request_log(request, own->counter, own->status, own->reason,
			own->detail);
	aub_request_put(request, text->str, text->len);
	g_string_free(text, TRUE);
	aub_request_end(request);
}

/* Nothing ran, and nothing will: the caller may come back. */
void aub_request_refuse(struct aub_request *request, const char *reason,
			guint retry_after_ms)
{
	answer_own(request, &(struct own_answer){
				    .status = 503,
				    .counter = AUB_COUNT_REFUSED,
				    .reason = reason,
				    .retry_after_ms = retry_after_ms,
			    });
}

void aub_request_deny(struct aub_request *request, guint status,
		      const char *reason)
{
	answer_own(request, &(struct own_answer){
				    .status = status,
				    .counter = AUB_COUNT_DENIED,
				    .reason = reason,
			    });
}

/* It may have run: only 502 and 504 say nothing about that. */
void aub_request_fail(struct aub_request *request, guint status,
		      const char *reason, const char *detail)
{
	answer_own(request, &(struct own_answer){
				    .status = status,
				    .counter = AUB_COUNT_FAILED,
				    .reason = reason,
				    .detail = detail,
			    });
}

void aub_request_put_whole(struct aub_request *request, GString *head,
			   const GByteArray *body)
{
	/* The length that goes with an answer to HEAD is that of GET's. */
	if (!request->is_head)
		g_string_append_printf(head, "Content-Length: %u\r\n",
				       body->len);
	g_string_append(head, aub_request_connection_line(request));
	g_string_append(head, "\r\n");
	aub_request_put(request, head->str, head->len);
	aub_request_put(request, body->data, request->is_head ? 0 : body->len);
}

void aub_request_answer_kept(struct aub_request *request)
{
	const struct aub_kept_answer *kept = &request->kept;

	aub_request_log(request, AUB_COUNT_ANSWERED, kept->status,
			"no-better-answer", kept->upstream);
	aub_request_put_whole(request, kept->head, kept->body);
	aub_request_end(request);
}

void aub_request_log(const struct aub_request *request,
		     enum aub_request_counter counter, guint status,
		     const char *reason, const char *detail)
{
	struct aub_gateway *gateway = request->gateway;
	gint64 now = aub_timer_now(gateway->options.timers);

	aub_gateway_count(gateway, request->service, counter, reason,
			  now - request->begun_us);
	aub_log_begin(counter == AUB_COUNT_ANSWERED && status < 500 ?
			      AUB_LOG_REQUEST :
			      AUB_LOG_REQUEST_FAILED);
	aub_log_text("id", request->id);
	aub_log_number("status", status);
	aub_log_text("reason", reason);
	aub_log_text("route", request->route ? request->route->name : "");
	aub_log_text("service", request->service);
	aub_log_text("upstream", detail);
	aub_log_number("tries", request->tried->len);
	aub_log_number("waited_ms", request->waited_us / AUB_MS);
	aub_log_number("ahead",
		       g_queue_index(&request->caller->requests, request));
	aub_log_number("config",
		       request->routing ? request->routing->version : 0);
	aub_log_number("ms", (now - request->begun_us) / AUB_MS);
	aub_log_number("left_ms", (request->deadline_us - now) / AUB_MS);
	aub_log_end();
}

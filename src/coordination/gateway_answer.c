/* The end of a request: local answers, the log line, and releasing it. */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/gateway_internal.h>

#include <string.h>

static void retained_answer_clear(struct aub_retained_answer *retained)
{
	g_string_free(retained->head, TRUE);
	g_byte_array_unref(retained->body);
	g_free(retained->upstream);
}

/*
 * Ends all that is still in progress for a request that has been answered. A
 * slot that is granted later would be used, and its answer would follow the
 * first one, in the place of another request's.
 */
static void cancel_pending(struct aub_request *request)
{
	struct aub_gateway *gateway = request->gateway;

	aub_timer_cancel(gateway->options.timers, request->timer);
	request->timer = 0;
	aub_request_end_replacement(request);
	if (request->placement_pending)
		aub_placer_cancel(gateway->options.placer, request->ticket);
	request->placement_pending = false;
	if (request->attempt)
		aub_attempt_abort(request->attempt, AUB_GRANT_ABANDONED);
}

void aub_request_free(struct aub_request *request)
{
	struct aub_gateway *gateway = request->gateway;

	cancel_pending(request);
	gateway->active_requests--;
	g_queue_remove(&request->caller->requests, request);
	g_byte_array_unref(request->pending_output);
	if (request->retained_answer.head)
		retained_answer_clear(&request->retained_answer);
	g_ptr_array_unref(request->tried_upstreams);
	g_byte_array_unref(request->body);
	g_string_free(request->headers, TRUE);
	g_free(request->request_line);
	g_free(request->host);
	g_free(request->id);
	aub_relayed_free(request->relayed);
	aub_routing_unref(request->routing);
	g_free(request);
}

/*
 * The connection can be reused if the request was read completely. During a
 * planned stop it ends with the last request that was read, since a request
 * that has been forwarded must not lose its answer.
 */
static bool closes_connection(const struct aub_request *request)
{
	return !request->body_complete || !request->keep_alive ||
	       (request->gateway->draining && aub_request_is_last(request));
}

void aub_request_finish(struct aub_request *request)
{
	struct aub_caller *caller = request->caller;

	if (closes_connection(request))
		caller->close_after_answer = true;
	if (!aub_request_is_first(request)) {
		request->answered = true;
		cancel_pending(request);
		return;
	}
	aub_request_free(request);
	aub_caller_on_first_finished(caller);
}

const char *aub_request_connection_line(struct aub_request *request)
{
	if (!closes_connection(request))
		return "";
	request->caller->close_after_answer = true;
	return "Connection: close\r\n";
}

struct local_answer {
	guint status;
	enum aub_request_outcome outcome;
	const char *reason;
	const char *detail; /* for the log; may be NULL */
	guint retry_after_ms; /* 0: none */
};

#define STATUS_UNAUTHORIZED 401
#define STATUS_TOO_MANY_REQUESTS 429

static void send_local_answer(struct aub_request *request,
			      const struct local_answer *local)
{
	GString *text = g_string_new(NULL);
	char *body = g_strdup_printf("{\"error\":\"%s\"}\n", local->reason);

	g_string_append_printf(
		text,
		"HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\n%s: %s\r\n%s",
		local->status, http_status_str((enum http_status)local->status),
		request->is_head ? 0 : strlen(body),
		request->gateway->options.platform->request_id, request->id,
		aub_request_connection_line(request));
	if (local->retry_after_ms)
		g_string_append_printf(text, "Retry-After: %u.%03u\r\n",
				       local->retry_after_ms / 1000,
				       local->retry_after_ms % 1000);
	if (local->status == STATUS_UNAUTHORIZED)
		g_string_append_printf(
			text, "WWW-Authenticate: %s\r\n",
			request->gateway->options.platform->api_key_scheme);
	g_string_append(text, "\r\n");
	if (!request->is_head)
		g_string_append(text, body);
	g_free(body);
	aub_request_log(request, local->outcome, local->status, local->reason,
			local->detail);
	aub_request_write(request, text->str, text->len);
	g_string_free(text, TRUE);
	aub_request_finish(request);
}

/* The request did not run and will not, so the caller may retry. */
void aub_request_refuse(struct aub_request *request, const char *reason,
			guint retry_after_ms)
{
	send_local_answer(request, &(struct local_answer){
					   .status = 503,
					   .outcome = AUB_REQUEST_REFUSED,
					   .reason = reason,
					   .retry_after_ms = retry_after_ms,
				   });
}

void aub_request_refuse_over_quota(struct aub_request *request,
				   const char *reason, const char *placer,
				   guint retry_after_ms)
{
	send_local_answer(request, &(struct local_answer){
					   .status = STATUS_TOO_MANY_REQUESTS,
					   .outcome = AUB_REQUEST_REFUSED,
					   .reason = reason,
					   .detail = placer,
					   .retry_after_ms = retry_after_ms,
				   });
}

void aub_request_deny(struct aub_request *request, guint status,
		      const char *reason)
{
	send_local_answer(request, &(struct local_answer){
					   .status = status,
					   .outcome = AUB_REQUEST_DENIED,
					   .reason = reason,
				   });
}

/* The request may have run; only 502 and 504 leave that open. */
void aub_request_fail(struct aub_request *request, guint status,
		      const char *reason, const char *detail)
{
	send_local_answer(request, &(struct local_answer){
					   .status = status,
					   .outcome = AUB_REQUEST_FAILED,
					   .reason = reason,
					   .detail = detail,
				   });
}

void aub_request_write_answer(struct aub_request *request, GString *head,
			      const GByteArray *body)
{
	/* In an answer to HEAD, Content-Length is that of the answer to GET. */
	if (!request->is_head)
		g_string_append_printf(head, "Content-Length: %u\r\n",
				       body->len);
	g_string_append(head, aub_request_connection_line(request));
	g_string_append(head, "\r\n");
	aub_request_write(request, head->str, head->len);
	aub_request_write(request, body->data,
			  request->is_head ? 0 : body->len);
}

void aub_request_send_retained_answer(struct aub_request *request)
{
	const struct aub_retained_answer *retained = &request->retained_answer;

	aub_request_log(request, AUB_REQUEST_ANSWERED, retained->status,
			"no-better-answer", retained->upstream);
	aub_request_write_answer(request, retained->head, retained->body);
	aub_request_finish(request);
}

void aub_request_log(const struct aub_request *request,
		     enum aub_request_outcome outcome, guint status,
		     const char *reason, const char *detail)
{
	struct aub_gateway *gateway = request->gateway;
	gint64 now = aub_timer_now(gateway->options.timers);

	if (request->relayed) {
		aub_relay_log(request, status, reason);
		return;
	}
	aub_gateway_count_request(gateway, request->service, outcome, reason,
				  now - request->start_us);
	aub_log_begin(outcome == AUB_REQUEST_ANSWERED && status < 500 ?
			      AUB_LOG_REQUEST :
			      AUB_LOG_REQUEST_FAILED);
	aub_log_text("id", request->id);
	aub_log_number("status", status);
	aub_log_text("reason", reason);
	aub_log_text("route", request->route ? request->route->name : "");
	aub_log_text("service", request->service);
	if (request->workspace)
		aub_log_text("workspace", request->workspace->name);
	aub_log_text("upstream", detail);
	aub_log_number("tries", request->tried_upstreams->len);
	aub_log_number("waited_ms", request->slot_wait_us / AUB_MS);
	aub_log_number("ahead",
		       g_queue_index(&request->caller->requests, request));
	aub_log_number("config",
		       request->routing ? request->routing->version : 0);
	aub_log_number("ms", (now - request->start_us) / AUB_MS);
	aub_log_number("left_ms", (request->deadline_us - now) / AUB_MS);
	aub_log_end();
}

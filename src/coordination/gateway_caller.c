/*
 * A caller's connection: reads requests, answers them in order and shuts down.
 *
 * Callers may pipeline requests. Idempotent requests are served concurrently
 * and their answers are buffered until the earlier ones are written. A request
 * that may run at most once isn't forwarded before all earlier requests have
 * been answered, because an earlier answer may end the connection, and the
 * caller would then send the request again.
 */
#include <auburnstile/internal/gateway_internal.h>

#include <string.h>

/* time for the caller to close its side */
#define SHUTDOWN_TIMEOUT_US (2 * AUB_SECOND)

/* Used until a configuration is known. */
#define HEADER_TIMEOUT_DEFAULT_MS 3000
#define IDLE_TIMEOUT_DEFAULT_MS 15000

/* Limit per connection: each may buffer answer bytes. */
#define CONCURRENT_REQUESTS_MAX 8

static struct aub_request *first_request(const struct aub_caller *caller)
{
	return g_queue_peek_head((GQueue *)&caller->requests);
}

/* The request whose body is being read, or was read last. */
static struct aub_request *last_request(const struct aub_caller *caller)
{
	return g_queue_peek_tail((GQueue *)&caller->requests);
}

bool aub_request_is_first(const struct aub_request *request)
{
	return first_request(request->caller) == request;
}

bool aub_request_is_last(const struct aub_request *request)
{
	return last_request(request->caller) == request;
}

void aub_caller_free(struct aub_caller *caller)
{
	while (caller->requests.length) {
		struct aub_request *request = first_request(caller);

		if (request->answered)
			aub_request_free(request);
		else
			aub_request_on_caller_closed(request);
	}
	aub_http_stream_free(caller->stream);
	g_queue_delete_link(&caller->gateway->callers, caller->callers_link);
	g_free(caller);
}

static void write_and_flush(struct aub_caller *caller, const void *data,
			    gsize length)
{
	aub_http_stream_write(caller->stream, data, length);
	aub_http_stream_flush(caller->stream);
}

void aub_request_write(struct aub_request *request, const void *data,
		       gsize length)
{
	if (aub_request_is_first(request))
		write_and_flush(request->caller, data, length);
	else
		g_byte_array_append(request->pending_output, data,
				    (guint)length);
}

void aub_caller_shutdown(struct aub_caller *caller)
{
	caller->shutting_down = true;
	caller->state_since_us = aub_timer_now(caller->gateway->options.timers);
	aub_http_stream_close_gracefully(caller->stream);
}

void aub_caller_abort(struct aub_caller *caller)
{
	while (caller->requests.length)
		aub_request_free(first_request(caller));
	aub_caller_free(caller);
}

static void write_error(struct aub_caller *caller,
			enum aub_stream_end_reason end)
{
	const char *status = end == AUB_STREAM_HEAD_TOO_LARGE ?
				     "431 Request Header Fields Too Large" :
				     "400 Bad Request";
	char *text = g_strdup_printf("HTTP/1.1 %s\r\nContent-Length: 0\r\n"
				     "Connection: close\r\n\r\n",
				     status);

	write_and_flush(caller, text, strlen(text));
	g_free(text);
}

/*
 * Returns whether the next request may be read while earlier ones are in
 * progress.
 */
static bool may_read_next_request(const struct aub_caller *caller)
{
	const struct aub_request *last = last_request(caller);

	if (caller->close_after_answer || caller->shutting_down ||
	    caller->input_rejected)
		return false;
	if (!last)
		return true;
	return caller->requests.length < CONCURRENT_REQUESTS_MAX &&
	       !caller->gateway->draining && last->keep_alive &&
	       !last->body_length && last->route && last->route->idempotent;
}

static void resume_reading(struct aub_caller *caller)
{
	if (may_read_next_request(caller))
		aub_http_stream_resume(caller->stream);
}

/* Called when all requests that were read have been answered. */
static void on_all_answered(struct aub_caller *caller)
{
	if (caller->close_after_answer) {
		aub_caller_shutdown(caller);
	} else if (caller->input_rejected) {
		write_error(caller, caller->rejection);
		aub_caller_shutdown(caller);
	} else {
		caller->state_since_us =
			aub_timer_now(caller->gateway->options.timers);
		resume_reading(caller);
	}
}

/*
 * Writes the buffered bytes of the following requests, up to and including the
 * first one that isn't completely answered.
 */
void aub_caller_on_first_finished(struct aub_caller *caller)
{
	struct aub_request *request;
	bool was_deferred;

	while ((request = first_request(caller)) != NULL) {
		write_and_flush(caller, request->pending_output->data,
				request->pending_output->len);
		g_byte_array_set_size(request->pending_output, 0);
		if (!request->answered)
			break;
		aub_request_free(request);
	}
	if (!request) {
		on_all_answered(caller);
		return;
	}
	/*
	 * Nothing is read after a deferred request, and its answer may free the
	 * caller here.
	 */
	was_deferred = request->placement_deferred;
	aub_request_on_became_first(request);
	if (!was_deferred)
		resume_reading(caller);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct aub_caller *caller = context;

	if (caller->shutting_down || caller->close_after_answer)
		return;
	aub_request_new(caller, head);
}

static void on_body(const char *data, gsize length, void *context)
{
	struct aub_caller *caller = context;
	struct aub_request *request = last_request(caller);

	if (request && !request->body_complete && !request->answered)
		aub_request_on_body(request, data, length);
}

static void on_complete(void *context)
{
	struct aub_caller *caller = context;
	struct aub_request *request = last_request(caller);

	if (request && !request->body_complete && !request->answered)
		aub_request_on_body_end(request); /* may free the caller */
	else
		resume_reading(caller);
}

static void on_drained(void *context)
{
	struct aub_caller *caller = context;

	if (first_request(caller))
		aub_request_on_caller_writable(first_request(caller));
}

static void on_ended(enum aub_stream_end_reason end, bool midway, void *context)
{
	aub_caller_free(context);
}

/* A malformed body ends its request as if the caller had disconnected. */
static void on_input_rejected(enum aub_stream_end_reason end, void *context)
{
	struct aub_caller *caller = context;
	struct aub_request *last = last_request(caller);

	if (last && !last->body_complete) {
		aub_caller_free(caller);
		return;
	}
	caller->input_rejected = true;
	caller->rejection = end;
	if (!last)
		on_all_answered(caller);
}

static const struct aub_http_callbacks caller_callbacks = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.drained = on_drained,
	.rejected = on_input_rejected,
	.ended = on_ended,
};

void aub_caller_new(struct aub_gateway *gateway, int fd, guint header_bytes,
		    bool is_peer)
{
	struct aub_caller *caller = g_new0(struct aub_caller, 1);

	caller->gateway = gateway;
	caller->is_peer = is_peer;
	caller->state_since_us = aub_timer_now(gateway->options.timers);
	g_queue_init(&caller->requests);
	g_queue_push_tail(&gateway->callers, caller);
	caller->callers_link = gateway->callers.tail;
	caller->stream = aub_http_stream_new(gateway->options.poller, fd,
					     HTTP_REQUEST, false, header_bytes,
					     &caller_callbacks, caller);
}

bool aub_caller_has_timed_out(const struct aub_caller *caller, gint64 now_us)
{
	const struct aub_routing *routing = caller->gateway->routing;
	gint64 idle_us = now_us - caller->state_since_us;

	if (caller->shutting_down)
		return idle_us > SHUTDOWN_TIMEOUT_US;
	if (caller->requests.length)
		return false;
	if (aub_http_stream_in_message(caller->stream))
		return idle_us > (routing ? routing->limits.header_ms :
					    HEADER_TIMEOUT_DEFAULT_MS) *
						 AUB_MS +
					 (routing ? routing->limits.idle_ms :
						    IDLE_TIMEOUT_DEFAULT_MS) *
						 AUB_MS;
	return idle_us >
	       (routing ? routing->limits.idle_ms : IDLE_TIMEOUT_DEFAULT_MS) *
		       AUB_MS;
}

bool aub_caller_is_idle(const struct aub_caller *caller)
{
	return !caller->requests.length && !caller->shutting_down &&
	       !aub_http_stream_in_message(caller->stream);
}

/*
 * One caller's connection: reading requests, answering them in order, ending.
 *
 * Callers may send further requests before the first is answered. Those that
 * may be repeated are served side by side; their answers are held until it is
 * their turn. Whatever runs at most once waits for its turn before it is sent
 * anywhere: an answer before it may end the connection, and the caller then
 * sends it again.
 */
#include <auburnstile/internal/gateway_parts.h>

#include <string.h>

#define FINISH_US (2 * AUB_SECOND) /* for a peer to take the end in */

/* Until a configuration is known. */
#define HEADER_MS_DEFAULT 3000
#define IDLE_MS_DEFAULT 15000

/* Served side by side on one connection; each may hold an answer's bytes. */
#define REQUESTS_MOST 8

static struct aub_request *first_of(const struct aub_caller *caller)
{
	return g_queue_peek_head((GQueue *)&caller->requests);
}

/* The one whose body is being read, or the last that was. */
static struct aub_request *last_of(const struct aub_caller *caller)
{
	return g_queue_peek_tail((GQueue *)&caller->requests);
}

bool aub_request_is_first(const struct aub_request *request)
{
	return first_of(request->caller) == request;
}

bool aub_request_is_last(const struct aub_request *request)
{
	return last_of(request->caller) == request;
}

void aub_caller_free(struct aub_caller *caller)
{
	while (caller->requests.length) {
		struct aub_request *request = first_of(caller);

		if (request->done)
			aub_request_free(request);
		else
			aub_request_caller_left(request);
	}
	aub_http_stream_free(caller->stream);
	g_queue_delete_link(&caller->gateway->callers, caller->link);
	g_free(caller);
}

static void put(struct aub_caller *caller, const void *data, gsize length)
{
	aub_http_stream_write(caller->stream, data, length);
	aub_http_stream_flush(caller->stream);
}

void aub_request_put(struct aub_request *request, const void *data,
		     gsize length)
{
	if (aub_request_is_first(request))
		put(request->caller, data, length);
	else
		g_byte_array_append(request->held, data, (guint)length);
}

void aub_caller_finish(struct aub_caller *caller)
{
	caller->finishing = true;
	caller->since_us = aub_timer_now(caller->gateway->options.timers);
	aub_http_stream_close_gracefully(caller->stream);
}

void aub_caller_break(struct aub_caller *caller)
{
	while (caller->requests.length)
		aub_request_free(first_of(caller));
	aub_caller_free(caller);
}

static void write_error(struct aub_caller *caller, enum aub_stream_end_reason end)
{
	const char *status = end == AUB_STREAM_HEAD_TOO_LARGE ?
				     "431 Request Header Fields Too Large" :
				     "400 Bad Request";
	char *text = g_strdup_printf("HTTP/1.1 %s\r\nContent-Length: 0\r\n"
				     "Connection: close\r\n\r\n",
				     status);

	put(caller, text, strlen(text));
	g_free(text);
}

/* May the next request be read while these are under way? */
static bool reads_on(const struct aub_caller *caller)
{
	const struct aub_request *last = last_of(caller);

	if (caller->closing || caller->finishing || caller->refused)
		return false;
	if (!last)
		return true;
	return caller->requests.length < REQUESTS_MOST &&
	       !caller->gateway->stopping && last->keep_alive &&
	       !last->body_length && last->route && last->route->idempotent;
}

static void read_on(struct aub_caller *caller)
{
	if (reads_on(caller))
		aub_http_stream_resume(caller->stream);
}

/* All that was read has been answered. */
static void caller_rests(struct aub_caller *caller)
{
	if (caller->closing) {
		aub_caller_finish(caller);
	} else if (caller->refused) {
		write_error(caller, caller->refusal);
		aub_caller_finish(caller);
	} else {
		caller->since_us =
			aub_timer_now(caller->gateway->options.timers);
		read_on(caller);
	}
}

/*
 * The first of those under way has been answered: write what the next ones
 * hold, up to the first that is not answered yet.
 */
void aub_caller_next(struct aub_caller *caller)
{
	struct aub_request *request;
	bool parked;

	while ((request = first_of(caller)) != NULL) {
		put(caller, request->held->data, request->held->len);
		g_byte_array_set_size(request->held, 0);
		if (!request->done)
			break;
		aub_request_free(request);
	}
	if (!request) {
		caller_rests(caller);
		return;
	}
	/* Nothing is read behind one that was parked, and it may end here. */
	parked = request->parked;
	aub_request_take_turn(request);
	if (!parked)
		read_on(caller);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct aub_caller *caller = context;

	if (caller->finishing || caller->closing)
		return;
	aub_request_new(caller, head);
}

static void on_body(const char *data, gsize length, void *context)
{
	struct aub_caller *caller = context;
	struct aub_request *request = last_of(caller);

	if (request && !request->body_whole && !request->done)
		aub_request_body(request, data, length);
}

static void on_complete(void *context)
{
	struct aub_caller *caller = context;
	struct aub_request *request = last_of(caller);

	if (request && !request->body_whole && !request->done)
		aub_request_body_end(request); /* which may free the caller */
	else
		read_on(caller);
}

static void on_drained(void *context)
{
	struct aub_caller *caller = context;

	if (first_of(caller))
		aub_request_drained(first_of(caller));
}

static void on_ended(enum aub_stream_end_reason end, bool midway, void *context)
{
	aub_caller_free(context);
}

/* A body that turns into nonsense ends its request as if the caller left. */
static void on_refused(enum aub_stream_end_reason end, void *context)
{
	struct aub_caller *caller = context;
	struct aub_request *last = last_of(caller);

	if (last && !last->body_whole) {
		aub_caller_free(caller);
		return;
	}
	caller->refused = true;
	caller->refusal = end;
	if (!last)
		caller_rests(caller);
}

static const struct aub_http_callbacks caller_callbacks = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.drained = on_drained,
	.rejected = on_refused,
	.ended = on_ended,
};

void aub_caller_new(struct aub_gateway *gateway, int fd, guint header_bytes)
{
	struct aub_caller *caller = g_new0(struct aub_caller, 1);

	caller->gateway = gateway;
	caller->since_us = aub_timer_now(gateway->options.timers);
	g_queue_init(&caller->requests);
	g_queue_push_tail(&gateway->callers, caller);
	caller->link = gateway->callers.tail;
	caller->stream = aub_http_stream_new(gateway->options.poller, fd,
					     HTTP_REQUEST, false, header_bytes,
					     &caller_callbacks, caller);
}

bool aub_caller_is_overdue(const struct aub_caller *caller, gint64 now_us)
{
	const struct aub_routing *routing = caller->gateway->routing;
	gint64 idle_us = now_us - caller->since_us;

	if (caller->finishing)
		return idle_us > FINISH_US;
	if (caller->requests.length)
		return false;
	if (aub_http_stream_in_message(caller->stream))
		return idle_us > (routing ? routing->limits.header_ms :
					    HEADER_MS_DEFAULT) *
						 AUB_MS +
					 (routing ? routing->limits.idle_ms :
						    IDLE_MS_DEFAULT) *
						 AUB_MS;
	return idle_us >
	       (routing ? routing->limits.idle_ms : IDLE_MS_DEFAULT) * AUB_MS;
}

bool aub_caller_is_idle(const struct aub_caller *caller)
{
	return !caller->requests.length && !caller->finishing &&
	       !aub_http_stream_in_message(caller->stream);
}

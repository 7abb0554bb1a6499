/*
 * Small requests with the complete response in memory: probes, and calls to
 * the platform's store.
 */
#include <auburnstile/internal/http_client.h>

#include <string.h>

/* a page of the store has about 1 MB */
#define BODY_MAX_BYTES_DEFAULT (8u << 20)

struct aub_http_call {
	struct aub_timer_service *timers;
	struct aub_exchange *exchange;
	aub_http_call_callback *ended;
	void *context;
	const struct aub_http_head *head; /* owned by the stream */
	GByteArray *body;
	gsize body_max_bytes;
	guint timer;
};

static void call_free(struct aub_http_call *call)
{
	aub_timer_cancel(call->timers, call->timer);
	g_byte_array_unref(call->body);
	g_free(call);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct aub_http_call *call = context;

	call->head = head;
}

static void call_finish(struct aub_http_call *call,
			enum aub_exchange_result result)
{
	bool complete = result == AUB_EXCHANGE_COMPLETE;

	call->ended(result, complete ? call->head : NULL,
		    (const char *)call->body->data, call->body->len,
		    call->context);
	call_free(call);
}

/*
 * A response that exceeds the limit fails the call: a part of it would be taken
 * for the whole.
 */
static void on_body(const char *data, gsize length, void *context)
{
	struct aub_http_call *call = context;

	if (call->body->len + length > call->body_max_bytes) {
		aub_exchange_cancel(call->exchange);
		call_finish(call, AUB_EXCHANGE_CONNECTION_LOST);
		return;
	}
	g_byte_array_append(call->body, (const guint8 *)data, (guint)length);
}

static void on_ended(enum aub_exchange_result result, void *context)
{
	call_finish(context, result);
}

static void on_timeout(void *context, gint64 now_us)
{
	struct aub_http_call *call = context;

	call->timer = 0;
	aub_exchange_cancel(call->exchange);
	call_finish(call, AUB_EXCHANGE_TIMEOUT);
}

static const struct aub_exchange_callbacks callbacks = {
	.head = on_head,
	.body = on_body,
	.ended = on_ended,
};

static void request_write(struct aub_http_call *call,
			  const struct aub_http_call_options *options)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n",
			       options->method, options->path,
			       options->address);
	if (options->headers)
		g_string_append(text, options->headers);
	if (options->body)
		g_string_append_printf(text,
				       "Content-Type: %s\r\n"
				       "Content-Length: %zu\r\n",
				       options->content_type,
				       g_bytes_get_size(options->body));
	g_string_append(text, "\r\n");
	if (options->body)
		g_string_append_len(text, g_bytes_get_data(options->body, NULL),
				    (gssize)g_bytes_get_size(options->body));
	aub_exchange_write(call->exchange, text->str, text->len);
	aub_exchange_mark_request_complete(call->exchange);
	aub_exchange_flush(call->exchange);
	g_string_free(text, TRUE);
}

struct aub_http_call *aub_http_call_new(
	struct aub_http_client *client,
	const struct aub_http_call_options *options,
	aub_http_call_callback *ended, void *context)
{
	struct aub_http_call *call = g_new0(struct aub_http_call, 1);
	const struct aub_exchange_options exchange = {
		.address = options->address,
		.pool_name = options->pool_name ? options->pool_name : "",
		.idle_max_us = options->idle_max_us,
	};

	call->timers = aub_http_client_timers(client);
	call->ended = ended;
	call->context = context;
	call->body = g_byte_array_new();
	call->body_max_bytes = options->body_max_bytes ?
				       options->body_max_bytes :
				       BODY_MAX_BYTES_DEFAULT;
	call->timer = aub_timer_at(call->timers, "call",
				   aub_timer_now(call->timers) +
					   options->timeout_ms * AUB_MS,
				   on_timeout, call);
	call->exchange = aub_exchange_new(client, &exchange, &callbacks, call);
	request_write(call, options);
	return call;
}

void aub_http_call_cancel(struct aub_http_call *call)
{
	if (!call)
		return;
	aub_exchange_cancel(call->exchange);
	call_free(call);
}

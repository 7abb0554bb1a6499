/*
 * One HTTP exchange with the store, with a deadline of its own and within the
 * client's budget of calls per second.
 *
 * The budget is a token bucket with a capacity of one second's calls;
 * exchanges over the budget are queued in FIFO order.
 */
#include <auburnstile/internal/store_client.h>

#include <auburnstile/error.h>

#define BACKOFF_INITIAL_MS 50 /* upper limit of the first delay */
#define BACKOFF_MAX_MS 2000 /* a recovered store is found within 2 s */
#define BACKOFF_DOUBLINGS_MAX 6

struct store_exchange {
	struct aub_store_client *client; /* NULL if cancelled */
	SoupMessage *message; /* owned reference, NULL for an invalid URL */
	GCancellable *cancellable;
	GSource *timer;
	guint timeout_ms;
	bool timed_out;
	bool sent;
	store_exchange_callback *done;
	void *context;
};

GSource *store_timer(struct aub_store_client *client, guint delay_ms,
		     GSourceFunc function, void *data)
{
	GSource *source = g_timeout_source_new(delay_ms);

	g_source_set_callback(source, function, data, NULL);
	g_source_attach(source, client->context);
	return source;
}

void store_timer_clear(GSource **timer)
{
	if (!*timer)
		return;
	g_source_destroy(*timer);
	g_source_unref(*timer);
	*timer = NULL;
}

guint store_backoff_ms(struct aub_store_client *client, guint failures)
{
	guint doublings = MIN(failures, BACKOFF_DOUBLINGS_MAX);
	guint bound = MIN(BACKOFF_INITIAL_MS << doublings, BACKOFF_MAX_MS);

	return g_rand_int_range(client->random, 1, bound + 1);
}

static void exchange_free(struct store_exchange *exchange)
{
	store_timer_clear(&exchange->timer);
	g_clear_object(&exchange->message);
	g_object_unref(exchange->cancellable);
	g_free(exchange);
}

/* Removes the exchange from its client's lists; it may outlive the client. */
static void exchange_detach(struct store_exchange *exchange)
{
	struct aub_store_client *client = exchange->client;

	g_ptr_array_remove_fast(client->exchanges, exchange);
	g_queue_remove(&client->queued_exchanges, exchange);
	exchange->client = NULL;
}

void store_exchange_cancel(struct store_exchange *exchange)
{
	if (!exchange)
		return;
	exchange_detach(exchange);
	store_timer_clear(&exchange->timer);
	if (exchange->sent)
		g_cancellable_cancel(exchange->cancellable);
	else
		exchange_free(exchange);
}

static void exchange_finish(struct store_exchange *exchange,
			    const struct store_result *result)
{
	store_exchange_callback *done = exchange->done;
	void *context = exchange->context;

	exchange_detach(exchange);
	done(result, context);
}

static gboolean on_timeout(gpointer data)
{
	struct store_exchange *exchange = data;

	exchange->timed_out = true;
	g_cancellable_cancel(exchange->cancellable);
	return G_SOURCE_REMOVE;
}

static void exchange_fail(struct store_exchange *exchange, const GError *cause)
{
	struct store_result result = { 0 };
	GError *error = NULL;
	const char *peer = exchange->client->url;

	result.connection_refused =
		g_error_matches(cause, G_IO_ERROR,
				G_IO_ERROR_CONNECTION_REFUSED);
	if (exchange->timed_out)
		aub_error_set(&error, AUB_ERROR_TIMEOUT, "call store", peer,
			      "no response within %u ms", exchange->timeout_ms);
	else
		aub_error_set(&error, AUB_ERROR_CLOSED, "call store", peer,
			      "%s", cause ? cause->message : "invalid URL");
	result.error = error;
	exchange_finish(exchange, &result);
	g_error_free(error);
}

static void on_response(GObject *source, GAsyncResult *async, gpointer data)
{
	struct store_exchange *exchange = data;
	struct store_result result = { 0 };
	GError *error = NULL;
	const char *version;

	result.body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							async, &error);
	if (exchange->client && error) {
		exchange_fail(exchange, error);
	} else if (exchange->client) {
		version = soup_message_headers_get_one(
			soup_message_get_response_headers(exchange->message),
			"X-Version");
		if (version)
			result.version = g_ascii_strtoull(version, NULL, 10);
		result.status = soup_message_get_status(exchange->message);
		exchange_finish(exchange, &result);
	}
	if (result.body)
		g_bytes_unref(result.body);
	g_clear_error(&error);
	exchange_free(exchange);
}

static void exchange_send(struct store_exchange *exchange)
{
	struct aub_store_client *client = exchange->client;

	if (!exchange->message) {
		exchange_fail(exchange, NULL);
		exchange_free(exchange);
		return;
	}
	exchange->sent = true;
	client->calls_total++;
	exchange->timer =
		store_timer(client, exchange->timeout_ms, on_timeout, exchange);
	soup_session_send_and_read_async(client->session, exchange->message,
					 G_PRIORITY_DEFAULT,
					 exchange->cancellable, on_response,
					 exchange);
}

static void refill_tokens(struct aub_store_client *client)
{
	gint64 now = g_get_monotonic_time();
	double rate = client->options.calls_per_s;
	double elapsed_s = (now - client->tokens_updated_us) / 1e6;

	client->tokens = MIN(client->tokens + elapsed_s * rate, rate);
	client->tokens_updated_us = now;
}

static void schedule_dispatch(struct aub_store_client *client);

static gboolean on_dispatch_timer(gpointer data)
{
	struct aub_store_client *client = data;
	struct store_exchange *exchange = NULL;

	store_timer_clear(&client->dispatch_timer);
	refill_tokens(client);
	if (client->tokens >= 1 &&
	    !g_queue_is_empty(&client->queued_exchanges)) {
		exchange = g_queue_pop_head(&client->queued_exchanges);
		client->tokens -= 1;
	}
	schedule_dispatch(client);
	if (exchange)
		exchange_send(exchange);
	return G_SOURCE_REMOVE;
}

static void schedule_dispatch(struct aub_store_client *client)
{
	double missing_tokens;

	if (client->dispatch_timer ||
	    g_queue_is_empty(&client->queued_exchanges))
		return;
	refill_tokens(client);
	missing_tokens = 1 - client->tokens;
	client->dispatch_timer = store_timer(
		client,
		missing_tokens > 0 ?
			1 + missing_tokens * 1000 /
					client->options.calls_per_s :
			0,
		on_dispatch_timer, client);
}

static SoupMessage *make_message(const struct aub_store_client *client,
				 const struct store_request *request)
{
	char *url = g_strconcat(client->url, request->path, NULL);
	SoupMessage *message = soup_message_new(request->method, url);
	char version[24];

	g_free(url);
	if (!message)
		return NULL;
	if (request->new_connection)
		soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
	if (request->body) {
		g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
			   request->if_match);
		soup_message_headers_replace(soup_message_get_request_headers(
						     message),
					     "If-Match", version);
		soup_message_set_request_body_from_bytes(
			message, "application/octet-stream", request->body);
	}
	return message;
}

struct store_exchange *store_exchange_start(struct aub_store_client *client,
					    const struct store_request *request,
					    store_exchange_callback *done,
					    void *context)
{
	struct store_exchange *exchange = g_new0(struct store_exchange, 1);

	exchange->client = client;
	exchange->message = make_message(client, request);
	exchange->cancellable = g_cancellable_new();
	exchange->timeout_ms = request->timeout_ms;
	exchange->done = done;
	exchange->context = context;
	g_ptr_array_add(client->exchanges, exchange);
	g_queue_push_tail(&client->queued_exchanges, exchange);
	schedule_dispatch(client);
	return exchange;
}

/* Exchanges and the pool of idle connections. */
#include <auburnstile/internal/http_client.h>
#include <auburnstile/internal/tcp.h>

#include <stdlib.h>
#include <string.h>

/*
 * Connecting takes a few ms. A lost SYN is retransmitted only after a second,
 * so trying another upstream is faster.
 */
#define CONNECT_TIMEOUT_MS 400
#define HEAD_MAX_BYTES (64u << 10)
/* Idle time limit of pooled connections if the peer sends none. */
#define KEEP_ALIVE_DEFAULT_US (8 * AUB_SECOND)
#define KEEP_ALIVE_FRACTION 0.7 /* of the idle limit sent by the peer */
#define POOLED_PER_KEY_MAX 32
#define RETRY_AFTER_MAX_S 3600.0
/*
 * Limits of what is discarded of other requests' responses. An upstream that
 * answers twice sends one too many.
 */
#define DISCARDED_RESPONSES_MAX 8
#define DISCARDED_BYTES_MAX (64u << 10)

struct aub_http_client {
	struct aub_poller *poller;
	struct aub_timer_service *timers;
	GHashTable *pools; /* "address pool_name" -> GQueue of connections */
	char *source; /* local IP of new connections; NULL: any */
	guint64 connections_opened;
};

/* An idle connection in the pool. */
struct pooled_connection {
	struct aub_http_client *client;
	GQueue *queue; /* queue that contains the connection */
	struct aub_http_stream *stream;
	gint64 idle_since_us;
	gint64 expires_us;
};

struct aub_exchange {
	struct aub_http_client *client;
	struct aub_http_stream *stream; /* NULL: could not be opened */
	struct aub_exchange_callbacks callbacks;
	void *context;
	char *pool_key;
	guint timer; /* connect timeout, or deferred failure */
	guint64 sent_before_bytes; /* by earlier exchanges */
	gint64 pool_time_us;
	bool request_complete;
	bool keep_alive;
	bool discarding; /* the current response belongs to another request */
	bool not_reusable; /* a response was discarded: do not pool */
	guint discarded_responses;
	gsize discarded_bytes; /* of the bodies of these */
};

static void pooled_connection_free(struct pooled_connection *pooled)
{
	g_queue_remove(pooled->queue, pooled);
	aub_http_stream_free(pooled->stream);
	g_free(pooled);
}

static void on_pooled_ended(enum aub_stream_end_reason reason, bool in_message,
			    void *context)
{
	pooled_connection_free(context);
}

/*
 * Closes a pooled connection that receives a response without a request: it
 * would be taken for the response to the next request.
 */
static void on_pooled_head(const struct aub_http_head *head, void *context)
{
	pooled_connection_free(context);
}

static void on_pooled_body(const char *data, gsize length, void *context)
{
}

static void on_pooled_complete(void *context)
{
	pooled_connection_free(context);
}

static const struct aub_http_callbacks pooled_callbacks = {
	.head = on_pooled_head,
	.body = on_pooled_body,
	.complete = on_pooled_complete,
	.ended = on_pooled_ended,
};

static void queue_free(void *data)
{
	GQueue *queue = data;

	while (!g_queue_is_empty(queue))
		pooled_connection_free(g_queue_peek_head(queue));
	g_queue_free(queue);
}

gint64 aub_http_head_retry_after_us(const struct aub_http_head *head)
{
	double seconds;

	if (head->status != HTTP_STATUS_SERVICE_UNAVAILABLE ||
	    !aub_http_head_decimal(head, "Retry-After", &seconds))
		return 0;
	return (gint64)(MIN(seconds, RETRY_AFTER_MAX_S) * AUB_SECOND);
}

struct aub_http_client *aub_http_client_new(struct aub_poller *poller,
					    struct aub_timer_service *timers)
{
	struct aub_http_client *client = g_new0(struct aub_http_client, 1);

	client->poller = poller;
	client->timers = timers;
	client->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      queue_free);
	return client;
}

void aub_http_client_free(struct aub_http_client *client)
{
	if (!client)
		return;
	g_hash_table_unref(client->pools);
	g_free(client->source);
	g_free(client);
}

void aub_http_client_set_source(struct aub_http_client *client, const char *ip)
{
	g_free(client->source);
	client->source = ip && *ip ? g_strdup(ip) : NULL;
}

struct aub_timer_service *aub_http_client_timers(
	const struct aub_http_client *client)
{
	return client->timers;
}

guint64 aub_http_client_connections_opened(const struct aub_http_client *client)
{
	return client->connections_opened;
}

static void queue_sweep(GQueue *queue, gint64 now_us)
{
	GList *link = queue->head;

	while (link) {
		struct pooled_connection *pooled = link->data;

		link = link->next;
		if (pooled->expires_us <= now_us)
			pooled_connection_free(pooled);
	}
}

void aub_http_client_close_expired(struct aub_http_client *client,
				   gint64 now_us)
{
	GHashTableIter iter;
	void *queue;

	g_hash_table_iter_init(&iter, client->pools);
	while (g_hash_table_iter_next(&iter, NULL, &queue)) {
		queue_sweep(queue, now_us);
		if (g_queue_is_empty(queue))
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Removes the most recently used connection from the pool and returns it.
 * Returns NULL if there is none, or if it has been idle for too long.
 */
static struct aub_http_stream *pool_take(struct aub_http_client *client,
					 const char *pool_key,
					 gint64 idle_max_us)
{
	gint64 now = aub_timer_now(client->timers);
	GQueue *queue = g_hash_table_lookup(client->pools, pool_key);
	struct aub_http_stream *stream;
	struct pooled_connection *pooled;

	if (!queue || !idle_max_us)
		return NULL;
	queue_sweep(queue, now);
	pooled = g_queue_peek_tail(queue);
	if (pooled && aub_http_stream_in_message(pooled->stream)) {
		pooled_connection_free(pooled);
		return NULL;
	}
	if (!pooled || now - pooled->idle_since_us > idle_max_us)
		return NULL;
	stream = pooled->stream;
	g_queue_remove(queue, pooled);
	g_free(pooled);
	return stream;
}

static void pool_add(struct aub_http_client *client, const char *pool_key,
		     struct aub_http_stream *stream, gint64 pool_time_us)
{
	GQueue *queue = g_hash_table_lookup(client->pools, pool_key);
	struct pooled_connection *pooled = g_new0(struct pooled_connection, 1);

	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(client->pools, g_strdup(pool_key), queue);
	}
	if (g_queue_get_length(queue) >= POOLED_PER_KEY_MAX)
		pooled_connection_free(g_queue_peek_head(queue));
	pooled->client = client;
	pooled->queue = queue;
	pooled->stream = stream;
	pooled->idle_since_us = aub_timer_now(client->timers);
	pooled->expires_us = pooled->idle_since_us + pool_time_us;
	aub_http_stream_set_callbacks(stream, &pooled_callbacks, pooled);
	aub_http_stream_pause_reading(stream, false);
	g_queue_push_tail(queue, pooled);
}

static void exchange_free(struct aub_exchange *exchange)
{
	aub_timer_cancel(exchange->client->timers, exchange->timer);
	aub_http_stream_free(exchange->stream);
	g_free(exchange->pool_key);
	g_free(exchange);
}

static void exchange_finish(struct aub_exchange *exchange,
			    enum aub_exchange_result result)
{
	exchange->callbacks.ended(result, exchange->context);
	exchange_free(exchange);
}

static void on_connected(void *context)
{
	struct aub_exchange *exchange = context;

	aub_timer_cancel(exchange->client->timers, exchange->timer);
	exchange->timer = 0;
}

/*
 * Returns the idle time allowed by a Keep-Alive header such as "timeout=5,
 * max=100".
 */
static gint64 keep_alive_us(const struct aub_http_head *head)
{
	const char *text = aub_http_head_find(head, "Keep-Alive");
	const char *timeout = text ? strstr(text, "timeout=") : NULL;
	gint64 seconds =
		timeout ? strtol(timeout + strlen("timeout="), NULL, 10) : 0;

	if (!timeout)
		return KEEP_ALIVE_DEFAULT_US;
	return (gint64)(KEEP_ALIVE_FRACTION * (double)(seconds * AUB_SECOND));
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct aub_exchange *exchange = context;

	exchange->discarding = false;
	exchange->keep_alive = head->keep_alive;
	exchange->pool_time_us = keep_alive_us(head);
	exchange->callbacks.head(head, exchange->context);
}

static void on_body(const char *data, gsize length, void *context)
{
	struct aub_exchange *exchange = context;

	if (!exchange->discarding) {
		exchange->callbacks.body(data, length, exchange->context);
		return;
	}
	exchange->discarded_bytes += length;
	if (exchange->discarded_bytes > DISCARDED_BYTES_MAX)
		exchange_finish(exchange, AUB_EXCHANGE_CONNECTION_LOST);
}

static bool may_pool(const struct aub_exchange *exchange)
{
	return exchange->keep_alive && exchange->request_complete &&
	       !exchange->not_reusable && exchange->pool_time_us > 0 &&
	       !aub_http_stream_queued_bytes(exchange->stream) &&
	       !aub_http_stream_has_excess_bytes(exchange->stream);
}

static void on_complete(void *context)
{
	struct aub_exchange *exchange = context;

	if (exchange->discarding) {
		if (!exchange->keep_alive ||
		    exchange->discarded_responses > DISCARDED_RESPONSES_MAX) {
			exchange_finish(exchange, AUB_EXCHANGE_CONNECTION_LOST);
			return;
		}
		aub_http_stream_resume(exchange->stream);
		return;
	}
	exchange->callbacks.ended(AUB_EXCHANGE_COMPLETE, exchange->context);
	if (may_pool(exchange)) {
		aub_http_stream_resume(exchange->stream);
		pool_add(exchange->client, exchange->pool_key, exchange->stream,
			 exchange->pool_time_us);
		exchange->stream = NULL;
	}
	exchange_free(exchange);
}

static void on_drained(void *context)
{
	struct aub_exchange *exchange = context;

	if (exchange->callbacks.drained)
		exchange->callbacks.drained(exchange->context);
}

bool aub_exchange_may_have_sent(const struct aub_exchange *exchange)
{
	return exchange->stream &&
	       aub_http_stream_sent_bytes(exchange->stream) >
		       exchange->sent_before_bytes;
}

bool aub_exchange_is_reused(const struct aub_exchange *exchange)
{
	return exchange->sent_before_bytes > 0;
}

static void on_ended(enum aub_stream_end_reason reason, bool in_message,
		     void *context)
{
	struct aub_exchange *exchange = context;

	exchange_finish(exchange, aub_exchange_may_have_sent(exchange) ?
					  AUB_EXCHANGE_CONNECTION_LOST :
					  AUB_EXCHANGE_UNREACHABLE);
}

static const struct aub_http_callbacks stream_callbacks = {
	.connected = on_connected,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.drained = on_drained,
	.ended = on_ended,
};

static void on_connect_timeout(void *context, gint64 now_us)
{
	struct aub_exchange *exchange = context;

	exchange->timer = 0;
	exchange_finish(exchange, AUB_EXCHANGE_UNREACHABLE);
}

static void stream_open(struct aub_exchange *exchange,
			const struct aub_exchange_options *options)
{
	struct aub_timer_service *timers = exchange->client->timers;
	gint64 timeout_us = CONNECT_TIMEOUT_MS * AUB_MS;
	int fd = aub_tcp_connect_from(exchange->client->source,
				      options->address, NULL);

	exchange->client->connections_opened++;
	if (fd >= 0)
		exchange->stream =
			aub_http_stream_new(exchange->client->poller, fd,
					    HTTP_RESPONSE, true, HEAD_MAX_BYTES,
					    &stream_callbacks, exchange);
	else
		timeout_us = 0; /* report the failure from the main loop */
	exchange->timer = aub_timer_at(timers, "connect",
				       aub_timer_now(timers) + timeout_us,
				       on_connect_timeout, exchange);
}

struct aub_exchange *aub_exchange_new(
	struct aub_http_client *client,
	const struct aub_exchange_options *options,
	const struct aub_exchange_callbacks *callbacks, void *context)
{
	struct aub_exchange *exchange = g_new0(struct aub_exchange, 1);

	exchange->client = client;
	exchange->callbacks = *callbacks;
	exchange->context = context;
	exchange->pool_key =
		g_strdup_printf("%s %s", options->address, options->pool_name);
	exchange->stream =
		pool_take(client, exchange->pool_key, options->idle_max_us);
	if (exchange->stream) {
		exchange->sent_before_bytes =
			aub_http_stream_sent_bytes(exchange->stream);
		aub_http_stream_set_callbacks(exchange->stream,
					      &stream_callbacks, exchange);
	} else {
		stream_open(exchange, options);
	}
	if (exchange->stream) {
		aub_http_stream_expect_no_body(exchange->stream,
					       options->is_head);
		aub_http_stream_set_patient(exchange->stream, options->patient);
	}
	return exchange;
}

void aub_exchange_write(struct aub_exchange *exchange, const void *data,
			gsize length)
{
	if (exchange->stream)
		aub_http_stream_write(exchange->stream, data, length);
}

void aub_exchange_flush(struct aub_exchange *exchange)
{
	if (exchange->stream)
		aub_http_stream_flush(exchange->stream);
}

void aub_exchange_mark_request_complete(struct aub_exchange *exchange)
{
	exchange->request_complete = true;
}

gsize aub_exchange_queued_bytes(const struct aub_exchange *exchange)
{
	return exchange->stream ?
		       aub_http_stream_queued_bytes(exchange->stream) :
		       0;
}

void aub_exchange_discard_response(struct aub_exchange *exchange)
{
	exchange->discarding = true;
	exchange->not_reusable = true;
	exchange->discarded_responses++;
}

void aub_exchange_pause_reading(struct aub_exchange *exchange, bool paused)
{
	if (exchange->stream)
		aub_http_stream_pause_reading(exchange->stream, paused);
}

void aub_exchange_cancel(struct aub_exchange *exchange)
{
	if (exchange)
		exchange_free(exchange);
}

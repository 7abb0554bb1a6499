/*
 * Exchanges and the connections kept between them.
 */
#include <auburnstile/internal/http_client.h>
#include <auburnstile/internal/tcp.h>

#include <stdlib.h>
#include <string.h>

/*
 * Paths take a few ms. A dropped opening packet is sent again after a
 * second: trying elsewhere is sooner.
 */
#define CONNECT_MS 400
#define HEAD_LIMIT (64u << 10)
#define KEEP_DEFAULT_US (8 * AUB_SECOND) /* idle limit where none is told */
#define KEEP_SHARE 0.7 /* of the idle limit that the peer tells */
#define KEPT_A_PEER 32

struct aub_http_client {
	struct aub_poller *poller;
	struct aub_timer_service *timers;
	GHashTable *kept; /* "address peer" -> GQueue of struct kept */
	guint64 opened;
};

/* A connection with nothing under way. */
struct kept {
	struct aub_http_client *client;
	GQueue *queue; /* the one it stands in */
	struct aub_http_stream *stream;
	gint64 since_us;
	gint64 until_us;
};

struct aub_exchange {
	struct aub_http_client *client;
	struct aub_http_stream *stream; /* NULL: could not even begin */
	struct aub_exchange_callbacks callbacks;
	void *context;
	char *key;
	guint timer; /* of the connect, or of a failure to tell */
	guint64 sent_before; /* by the connection's earlier exchanges */
	gint64 keep_us;
	bool request_done;
	bool keep_alive;
	bool skipping; /* the answer that comes in is another request's */
	bool doubtful; /* stray answers came: not to be kept */
};

static void kept_free(struct kept *kept)
{
	g_queue_remove(kept->queue, kept);
	aub_http_stream_free(kept->stream);
	g_free(kept);
}

static void on_kept_ended(enum aub_stream_end end, bool midway, void *context)
{
	kept_free(context);
}

/* Nobody asked: whatever answers here would be taken for the next answer. */
static void on_kept_head(const struct aub_http_head *head, void *context)
{
	kept_free(context);
}

static void on_kept_body(const char *data, gsize length, void *context)
{
}

static void on_kept_complete(void *context)
{
	kept_free(context);
}

static const struct aub_http_callbacks kept_callbacks = {
	.head = on_kept_head,
	.body = on_kept_body,
	.complete = on_kept_complete,
	.ended = on_kept_ended,
};

static void queue_free(void *data)
{
	GQueue *queue = data;

	while (!g_queue_is_empty(queue))
		kept_free(g_queue_peek_head(queue));
	g_queue_free(queue);
}

struct aub_http_client *aub_http_client_new(struct aub_poller *poller,
					    struct aub_timer_service *timers)
{
	struct aub_http_client *client = g_new0(struct aub_http_client, 1);

	client->poller = poller;
	client->timers = timers;
	client->kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     queue_free);
	return client;
}

void aub_http_client_free(struct aub_http_client *client)
{
	if (!client)
		return;
	g_hash_table_unref(client->kept);
	g_free(client);
}

struct aub_timer_service *aub_http_client_timers(
	const struct aub_http_client *client)
{
	return client->timers;
}

guint64 aub_http_client_opened(const struct aub_http_client *client)
{
	return client->opened;
}

static void queue_sweep(GQueue *queue, gint64 now_us)
{
	GList *link = queue->head;

	while (link) {
		struct kept *kept = link->data;

		link = link->next;
		if (kept->until_us <= now_us)
			kept_free(kept);
	}
}

void aub_http_client_sweep(struct aub_http_client *client, gint64 now_us)
{
	GHashTableIter iter;
	void *queue;

	g_hash_table_iter_init(&iter, client->kept);
	while (g_hash_table_iter_next(&iter, NULL, &queue)) {
		queue_sweep(queue, now_us);
		if (g_queue_is_empty(queue))
			g_hash_table_iter_remove(&iter);
	}
}

/* The connection used last, if it is young enough; it is taken out. */
static struct aub_http_stream *kept_take(struct aub_http_client *client,
					 const char *key, gint64 idle_us)
{
	gint64 now = aub_timer_now(client->timers);
	GQueue *queue = g_hash_table_lookup(client->kept, key);
	struct aub_http_stream *stream;
	struct kept *kept;

	if (!queue || !idle_us)
		return NULL;
	queue_sweep(queue, now);
	kept = g_queue_peek_tail(queue);
	if (kept && aub_http_stream_midway(kept->stream)) {
		kept_free(kept);
		return NULL;
	}
	if (!kept || now - kept->since_us > idle_us)
		return NULL;
	stream = kept->stream;
	g_queue_remove(queue, kept);
	g_free(kept);
	return stream;
}

static void keep(struct aub_http_client *client, const char *key,
		 struct aub_http_stream *stream, gint64 keep_us)
{
	GQueue *queue = g_hash_table_lookup(client->kept, key);
	struct kept *kept = g_new0(struct kept, 1);

	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(client->kept, g_strdup(key), queue);
	}
	if (g_queue_get_length(queue) >= KEPT_A_PEER)
		kept_free(g_queue_peek_head(queue));
	kept->client = client;
	kept->queue = queue;
	kept->stream = stream;
	kept->since_us = aub_timer_now(client->timers);
	kept->until_us = kept->since_us + keep_us;
	aub_http_stream_set_callbacks(stream, &kept_callbacks, kept);
	aub_http_stream_hold(stream, false);
	g_queue_push_tail(queue, kept);
}

static void exchange_free(struct aub_exchange *exchange)
{
	aub_timer_cancel(exchange->client->timers, exchange->timer);
	aub_http_stream_free(exchange->stream);
	g_free(exchange->key);
	g_free(exchange);
}

static void exchange_end(struct aub_exchange *exchange,
			 enum aub_exchange_end end)
{
	exchange->callbacks.ended(end, exchange->context);
	exchange_free(exchange);
}

static void on_connected(void *context)
{
	struct aub_exchange *exchange = context;

	aub_timer_cancel(exchange->client->timers, exchange->timer);
	exchange->timer = 0;
}

/* "timeout=5, max=100": how long the peer keeps an idle connection. */
static gint64 keep_time(const struct aub_http_head *head)
{
	const char *text = aub_http_head_find(head, "Keep-Alive");
	const char *timeout = text ? strstr(text, "timeout=") : NULL;
	gint64 seconds =
		timeout ? strtol(timeout + strlen("timeout="), NULL, 10) : 0;

	if (!timeout)
		return KEEP_DEFAULT_US;
	return (gint64)(KEEP_SHARE * (double)(seconds * AUB_SECOND));
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct aub_exchange *exchange = context;

	exchange->skipping = false;
	exchange->keep_alive = head->keep_alive;
	exchange->keep_us = keep_time(head);
	exchange->callbacks.head(head, exchange->context);
}

static void on_body(const char *data, gsize length, void *context)
{
	struct aub_exchange *exchange = context;

	if (!exchange->skipping)
		exchange->callbacks.body(data, length, exchange->context);
}

static bool may_keep(const struct aub_exchange *exchange)
{
	return exchange->keep_alive && exchange->request_done &&
	       !exchange->doubtful && exchange->keep_us > 0 &&
	       !aub_http_stream_queued(exchange->stream) &&
	       !aub_http_stream_has_surplus(exchange->stream);
}

static void on_complete(void *context)
{
	struct aub_exchange *exchange = context;

	if (exchange->skipping) {
		if (!exchange->keep_alive) {
			exchange_end(exchange, AUB_EXCHANGE_LOST);
			return;
		}
		aub_http_stream_resume(exchange->stream);
		return;
	}
	exchange->callbacks.ended(AUB_EXCHANGE_WHOLE, exchange->context);
	if (may_keep(exchange)) {
		aub_http_stream_resume(exchange->stream);
		keep(exchange->client, exchange->key, exchange->stream,
		     exchange->keep_us);
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
	       aub_http_stream_sent(exchange->stream) > exchange->sent_before;
}

static void on_ended(enum aub_stream_end end, bool midway, void *context)
{
	struct aub_exchange *exchange = context;

	exchange_end(exchange, aub_exchange_may_have_sent(exchange) ?
				       AUB_EXCHANGE_LOST :
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
	exchange_end(exchange, AUB_EXCHANGE_UNREACHABLE);
}

static void stream_open(struct aub_exchange *exchange,
			const struct aub_exchange_options *options)
{
	struct aub_timer_service *timers = exchange->client->timers;
	gint64 wait_us = CONNECT_MS * AUB_MS;
	int fd = aub_tcp_connect(options->address, NULL);

	exchange->client->opened++;
	if (fd >= 0)
		exchange->stream =
			aub_http_stream_new(exchange->client->poller, fd,
					    HTTP_RESPONSE, true, HEAD_LIMIT,
					    &stream_callbacks, exchange);
	else
		wait_us = 0; /* told from the main loop */
	exchange->timer =
		aub_timer_at(timers, "connect", aub_timer_now(timers) + wait_us,
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
	exchange->key =
		g_strdup_printf("%s %s", options->address, options->peer);
	exchange->stream = kept_take(client, exchange->key, options->idle_us);
	if (exchange->stream) {
		exchange->sent_before = aub_http_stream_sent(exchange->stream);
		aub_http_stream_set_callbacks(exchange->stream,
					      &stream_callbacks, exchange);
	} else {
		stream_open(exchange, options);
	}
	if (exchange->stream)
		aub_http_stream_expect_no_body(exchange->stream,
					       options->no_body);
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

void aub_exchange_request_done(struct aub_exchange *exchange)
{
	exchange->request_done = true;
}

gsize aub_exchange_queued(const struct aub_exchange *exchange)
{
	return exchange->stream ? aub_http_stream_queued(exchange->stream) : 0;
}

void aub_exchange_skip(struct aub_exchange *exchange)
{
	exchange->skipping = true;
	exchange->doubtful = true;
}

void aub_exchange_hold(struct aub_exchange *exchange, bool hold)
{
	if (exchange->stream)
		aub_http_stream_hold(exchange->stream, hold);
}

void aub_exchange_cancel(struct aub_exchange *exchange)
{
	if (exchange)
		exchange_free(exchange);
}

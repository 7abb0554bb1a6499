/*
 * The stand-in upstream.
 */
#include "platform/upstream.h"

#include <auburnstile/internal/tcp.h>

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_LIMIT (64u << 10)

struct platform_upstream {
	struct aub_poller *poller;
	struct aub_timer_service *timers;
	char *id;
	char *address;
	int listener;
	struct aub_poll_watch *watch;
	GPtrArray *connections; /* of struct connection */
	enum platform_answer answer;
	enum platform_answer once;
	bool has_once;
	guint work_ms;
	gsize body_bytes;
	guint warmup_ms;
	guint runs;
	guint cancelled;
	guint probes;
	guint accepted;
	guint64 body_read;
	platform_upstream_run *on_run;
	void *on_run_context;
	GHashTable *headers; /* of the last request, names in lower case */
};

struct connection {
	struct platform_upstream *upstream;
	struct aub_http_stream *stream;
	char *request_id;
	char *expected;
	enum platform_answer answer; /* to the request that it runs */
	bool probe;
	bool running;
	bool answered; /* early */
	guint timer;
	guint64 read;
};

static void connection_free(struct connection *connection)
{
	struct platform_upstream *upstream = connection->upstream;

	if (connection->running)
		upstream->cancelled++;
	g_ptr_array_remove_fast(upstream->connections, connection);
	aub_timer_cancel(upstream->timers, connection->timer);
	aub_http_stream_free(connection->stream);
	g_free(connection->request_id);
	g_free(connection->expected);
	g_free(connection);
}

static void put(struct connection *connection, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void put(struct connection *connection, const char *format, ...)
{
	va_list arguments;
	char *text;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	aub_http_stream_write(connection->stream, text, strlen(text));
	g_free(text);
}

static void put_body(struct connection *connection, gsize bytes)
{
	char *body = g_malloc(bytes + 1);

	memset(body, 'x', bytes);
	aub_http_stream_write(connection->stream, body, bytes);
	g_free(body);
}

static void put_head(struct connection *connection, guint status,
		     const char *id, bool stamped)
{
	put(connection, "HTTP/1.1 %u X\r\nRequest-Id: %s\r\n", status, id);
	if (stamped)
		put(connection, "Response-Stamp: stamp-of-%s\r\n", id);
	put(connection, "Instance-Load: %u,0,2,100\r\n",
	    connection->upstream->connections->len);
}

static void put_whole(struct connection *connection, guint status,
		      const char *id, bool stamped, gsize bytes)
{
	put_head(connection, status, id, stamped);
	put(connection, "Content-Length: %zu\r\n\r\n", bytes);
	put_body(connection, bytes);
}

static void put_chunked(struct connection *connection, gsize bytes)
{
	put_head(connection, 200, connection->request_id, true);
	put(connection, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n", bytes);
	put_body(connection, bytes);
	put(connection, "\r\n0\r\n\r\n");
}

static void reset(struct connection *connection)
{
	aub_http_stream_reset_on_close(connection->stream);
	connection_free(connection);
}

static void put_not_run(struct connection *connection, guint status)
{
	put(connection,
	    "HTTP/1.1 %u X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
	    "Content-Length: 0\r\n\r\n",
	    status, connection->request_id);
}

/* Write the answer; false if the connection is gone after it. */
static bool answer_write(struct connection *connection,
			 enum platform_answer answer)
{
	const struct platform_upstream *upstream = connection->upstream;
	const char *id = connection->request_id;
	gsize bytes = upstream->body_bytes;

	switch (answer) {
	case PLATFORM_ANSWER_CHUNKED:
		put_chunked(connection, bytes);
		break;
	case PLATFORM_ANSWER_UNFRAMED:
		put_head(connection, 200, id, true);
		put(connection, "Connection: close\r\n\r\n");
		put_body(connection, bytes);
		aub_http_stream_close_gracefully(connection->stream);
		return false;
	case PLATFORM_ANSWER_TRUNCATED:
		put_head(connection, 200, id, true);
		put(connection, "Content-Length: %zu\r\n\r\n", bytes + 100);
		put_body(connection, bytes);
		aub_http_stream_close_gracefully(connection->stream);
		return false;
	case PLATFORM_ANSWER_RESET:
		reset(connection);
		return false;
	case PLATFORM_ANSWER_NEVER:
		return false;
	case PLATFORM_ANSWER_GARBAGE:
		put(connection, "\x01\x02 this is no answer\r\n\r\n");
		break;
	case PLATFORM_ANSWER_TWICE:
		put_whole(connection, 200, id, true, bytes);
		put_whole(connection, 200, id, true, bytes + 1);
		break;
	case PLATFORM_ANSWER_FOREIGN_FIRST:
		put_whole(connection, 200, "another-request", true, bytes + 7);
		put_whole(connection, 200, id, true, bytes);
		break;
	case PLATFORM_ANSWER_UNSTAMPED:
		put_whole(connection, 200, id, false, bytes);
		break;
	case PLATFORM_ANSWER_FAILED:
		put_whole(connection, 500, id, true, bytes);
		break;
	case PLATFORM_ANSWER_FULL:
		put_not_run(connection, 503);
		break;
	case PLATFORM_ANSWER_MISDIRECTED:
		put_not_run(connection, 421);
		break;
	case PLATFORM_ANSWER_WHOLE:
	case PLATFORM_ANSWER_EARLY:
		put_whole(connection, 200, id, true, bytes);
		break;
	}
	return true;
}

static enum platform_answer next_answer(struct platform_upstream *upstream)
{
	if (!upstream->has_once)
		return upstream->answer;
	upstream->has_once = false;
	return upstream->once;
}

static void on_worked(void *context, gint64 now_us)
{
	struct connection *connection = context;

	connection->timer = 0;
	connection->running = false;
	if (!answer_write(connection, connection->answer))
		return;
	aub_http_stream_flush(connection->stream);
	aub_http_stream_resume(connection->stream);
}

static bool is_run(const struct platform_upstream *upstream)
{
	enum platform_answer answer =
		upstream->has_once ? upstream->once : upstream->answer;

	return answer != PLATFORM_ANSWER_FULL &&
	       answer != PLATFORM_ANSWER_MISDIRECTED;
}

static void answer_probe(struct connection *connection)
{
	struct platform_upstream *upstream = connection->upstream;

	upstream->probes++;
	put(connection,
	    "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nInstance-Load: 0,0,2,100\r\n",
	    upstream->id);
	if (upstream->warmup_ms)
		put(connection, "Warmup-Remaining-Ms: %u\r\n",
		    upstream->warmup_ms);
	put(connection, "Content-Length: 0\r\n\r\n");
	aub_http_stream_flush(connection->stream);
	aub_http_stream_resume(connection->stream);
}

static void run(struct connection *connection)
{
	struct platform_upstream *upstream = connection->upstream;

	if (is_run(upstream)) {
		upstream->runs++;
		if (upstream->on_run)
			upstream->on_run(connection->request_id,
					 upstream->on_run_context);
	}
	/* What it said of a run that has begun would not be true later. */
	connection->answer = next_answer(upstream);
	connection->running = true;
	connection->timer = aub_timer_at(upstream->timers, "work",
					 aub_timer_now(upstream->timers) +
						 upstream->work_ms * AUB_MS,
					 on_worked, connection);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct connection *connection = context;
	struct platform_upstream *upstream = connection->upstream;
	const char *id = aub_http_head_find(head, "Request-Id");

	g_free(connection->request_id);
	connection->request_id = g_strdup(id ? id : "");
	connection->probe = !strcmp(head->target, "/health");
	connection->read = 0;
	if (connection->probe)
		return;
	g_hash_table_remove_all(upstream->headers);
	for (guint i = 0; i < head->headers->len; i++) {
		const struct aub_http_header *header =
			&g_array_index(head->headers, struct aub_http_header,
				       i);

		g_hash_table_insert(upstream->headers,
				    g_ascii_strdown(header->name, -1),
				    g_strdup(header->value));
	}
	if (upstream->answer != PLATFORM_ANSWER_EARLY)
		return;
	upstream->runs++;
	connection->answered = true;
	put_whole(connection, 400, connection->request_id, true, 3);
	aub_http_stream_flush(connection->stream);
}

static void on_body(const char *data, gsize length, void *context)
{
	struct connection *connection = context;

	connection->read += length;
	connection->upstream->body_read =
		MAX(connection->upstream->body_read, connection->read);
}

static void on_complete(void *context)
{
	struct connection *connection = context;

	if (connection->probe)
		answer_probe(connection);
	else if (!connection->answered)
		run(connection);
}

static void on_ended(enum aub_stream_end_reason end, bool midway, void *context)
{
	connection_free(context);
}

static const struct aub_http_callbacks callbacks = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

static void on_acceptable(void *context, guint events)
{
	struct platform_upstream *upstream = context;
	int fd;

	while ((fd = aub_tcp_accept(upstream->listener)) >= 0) {
		struct connection *connection = g_new0(struct connection, 1);

		upstream->accepted++;
		connection->upstream = upstream;
		connection->stream =
			aub_http_stream_new(upstream->poller, fd, HTTP_REQUEST,
					    false, HEAD_LIMIT, &callbacks,
					    connection);
		g_ptr_array_add(upstream->connections, connection);
	}
}

static void listen_on(struct platform_upstream *upstream)
{
	upstream->watch = aub_poller_add(upstream->poller, upstream->listener,
					 EPOLLIN, on_acceptable, upstream);
}

struct platform_upstream *platform_upstream_new(
	struct aub_poller *poller, struct aub_timer_service *timers,
	const char *id)
{
	struct platform_upstream *upstream =
		g_new0(struct platform_upstream, 1);

	upstream->poller = poller;
	upstream->timers = timers;
	upstream->id = g_strdup(id);
	upstream->body_bytes = 20;
	upstream->work_ms = 5;
	upstream->connections = g_ptr_array_new();
	upstream->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	upstream->listener = aub_tcp_listen_loopback(&upstream->address);
	listen_on(upstream);
	return upstream;
}

static void close_all(struct platform_upstream *upstream)
{
	/* Freeing one moves the last into its place: walk back. */
	for (guint i = upstream->connections->len; i > 0; i--)
		connection_free(
			g_ptr_array_index(upstream->connections, i - 1));
	if (upstream->listener < 0)
		return;
	aub_poll_watch_remove(upstream->watch);
	close(upstream->listener);
	upstream->listener = -1;
}

void platform_upstream_free(struct platform_upstream *upstream)
{
	if (!upstream)
		return;
	close_all(upstream);
	g_ptr_array_unref(upstream->connections);
	g_hash_table_unref(upstream->headers);
	g_free(upstream->address);
	g_free(upstream->id);
	g_free(upstream);
}

const char *platform_upstream_address(const struct platform_upstream *upstream)
{
	return upstream->address;
}

const char *platform_upstream_id(const struct platform_upstream *upstream)
{
	return upstream->id;
}

void platform_upstream_set_answer(struct platform_upstream *upstream,
				  enum platform_answer answer)
{
	upstream->answer = answer;
}

void platform_upstream_answer_once(struct platform_upstream *upstream,
				   enum platform_answer answer)
{
	upstream->once = answer;
	upstream->has_once = true;
}

void platform_upstream_set_work(struct platform_upstream *upstream, guint ms)
{
	upstream->work_ms = ms;
}

void platform_upstream_set_body(struct platform_upstream *upstream, gsize bytes)
{
	upstream->body_bytes = bytes;
}

void platform_upstream_set_warmup(struct platform_upstream *upstream, guint ms)
{
	upstream->warmup_ms = ms;
}

void platform_upstream_set_down(struct platform_upstream *upstream, bool down)
{
	if (down) {
		close_all(upstream);
		return;
	}
	upstream->listener = aub_tcp_listen(upstream->address, NULL);
	g_assert(upstream->listener >= 0);
	listen_on(upstream);
}

void platform_upstream_on_run(struct platform_upstream *upstream,
			      platform_upstream_run *callback, void *context)
{
	upstream->on_run = callback;
	upstream->on_run_context = context;
}

guint platform_upstream_runs(const struct platform_upstream *upstream)
{
	return upstream->runs;
}

guint platform_upstream_cancelled(const struct platform_upstream *upstream)
{
	return upstream->cancelled;
}

guint platform_upstream_probes(const struct platform_upstream *upstream)
{
	return upstream->probes;
}

guint platform_upstream_connections(const struct platform_upstream *upstream)
{
	return upstream->accepted;
}

guint64 platform_upstream_body_read(const struct platform_upstream *upstream)
{
	return upstream->body_read;
}

const char *platform_upstream_header(const struct platform_upstream *upstream,
				     const char *name)
{
	char *lower = g_ascii_strdown(name, -1);
	const char *value = g_hash_table_lookup(upstream->headers, lower);

	g_free(lower);
	return value;
}

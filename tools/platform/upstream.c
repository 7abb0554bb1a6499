/* The stand-in upstream; see upstream.h. */
#include "platform/upstream.h"

#include <auburnstile/internal/tcp.h>

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_BYTES_MAX (64u << 10)
/* Of an answer without end: written when all before it has been sent. */
#define ENDLESS_PIECE_BYTES (64u << 10)
#define ENDLESS_PERIOD_US (1 * AUB_MS)

struct platform_upstream {
	struct aub_poller *poller;
	struct aub_timer_service *timers;
	char *id;
	char *address;
	int listener;
	struct aub_poll_watch *watch; /* of the listener */
	GPtrArray *connections; /* of struct connection; they free themselves */
	enum platform_answer answer;
	enum platform_answer next_answer;
	bool has_next_answer;
	guint service_time_ms;
	gsize body_bytes;
	guint warmup_ms;
	char *limit; /* value of Server-Limit; NULL: none */
	bool limit_in_probes;
	char *leaving; /* value of Server-Leaving; NULL: none */
	char *refusal_load; /* value of Instance-Load with 503; NULL: none */
	char *retry_after; /* value of Retry-After with 503; NULL: none */
	char *endless_start; /* of an answer without end; NULL: none */
	char *endless_unit;
	bool endless_in_probes;
	guint64 endless_bytes;
	guint arrivals;
	guint runs;
	guint cancelled;
	guint probes;
	guint accepted; /* connections */
	guint64 body_bytes_read_max;
	platform_upstream_run_callback *on_run;
	void *on_run_context;
	platform_upstream_run_callback *on_arrival;
	void *on_arrival_context;
	platform_upstream_answer_callback *on_answer;
	void *on_answer_context;
	GHashTable *headers; /* of the last request, names in lower case */
	GHashTable *partitions; /* source IP -> enum platform_partition */
};

struct connection {
	struct platform_upstream *upstream;
	struct aub_http_stream *stream;
	char *source; /* IP of the client */
	bool silent; /* nothing is read or sent */
	bool answer_held; /* to be sent when the connection is not silent */
	char *request_id;
	char *expected;
	enum platform_answer answer; /* to the request that is executing */
	bool probe;
	bool running;
	bool answered; /* an earlier request on this connection */
	/* The response was sent before the body was complete. */
	bool early_answer_sent;
	guint timer;
	guint64 body_bytes_read;
};

static void connection_free(struct connection *connection)
{
	struct platform_upstream *upstream = connection->upstream;

	if (connection->running)
		upstream->cancelled++;
	g_ptr_array_remove_fast(upstream->connections, connection);
	aub_timer_cancel(upstream->timers, connection->timer);
	aub_http_stream_free(connection->stream);
	g_free(connection->source);
	g_free(connection->request_id);
	g_free(connection->expected);
	g_free(connection);
}

static void write_format(struct connection *connection, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void write_format(struct connection *connection, const char *format, ...)
{
	va_list arguments;
	char *text;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	aub_http_stream_write(connection->stream, text, strlen(text));
	g_free(text);
}

/* Writes the headers that all answers to requests bear at present. */
static void write_notices(struct connection *connection, guint status)
{
	const struct platform_upstream *upstream = connection->upstream;

	if (upstream->limit)
		write_format(connection, "Server-Limit: %s\r\n",
			     upstream->limit);
	if (upstream->leaving)
		write_format(connection, "Server-Leaving: %s\r\n",
			     upstream->leaving);
	if (upstream->on_answer)
		upstream->on_answer(connection->request_id, status,
				    upstream->on_answer_context);
}

static void write_body(struct connection *connection, gsize bytes)
{
	char *body = g_malloc(bytes + 1);

	memset(body, 'x', bytes);
	aub_http_stream_write(connection->stream, body, bytes);
	g_free(body);
}

static void write_head(struct connection *connection, guint status,
		       const char *id, bool stamped)
{
	write_format(connection, "HTTP/1.1 %u X\r\nRequest-Id: %s\r\n", status,
		     id);
	if (stamped)
		write_format(connection, "Response-Stamp: stamp-of-%s\r\n", id);
	write_format(connection, "Instance-Load: %u,0,2,100\r\n",
		     connection->upstream->connections->len);
	write_notices(connection, status);
}

static void write_complete(struct connection *connection, guint status,
			   const char *id, bool stamped, gsize bytes)
{
	write_head(connection, status, id, stamped);
	write_format(connection, "Content-Length: %zu\r\n\r\n", bytes);
	write_body(connection, bytes);
}

static void write_chunked(struct connection *connection, gsize bytes)
{
	write_head(connection, 200, connection->request_id, true);
	write_format(connection, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n",
		     bytes);
	write_body(connection, bytes);
	write_format(connection, "\r\n0\r\n\r\n");
}

static void reset_connection(struct connection *connection)
{
	aub_http_stream_reset_on_close(connection->stream);
	connection_free(connection);
}

static void write_not_run(struct connection *connection, guint status)
{
	write_format(connection,
		     "HTTP/1.1 %u X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n",
		     status, connection->request_id);
	if (connection->upstream->refusal_load)
		write_format(connection, "Instance-Load: %s\r\n",
			     connection->upstream->refusal_load);
	write_notices(connection, status);
	if (status == 503 && connection->upstream->retry_after)
		write_format(connection, "Retry-After: %s\r\n",
			     connection->upstream->retry_after);
	write_format(connection, "Content-Length: 0\r\n\r\n");
}

static void write_unidentified_refusal(struct connection *connection)
{
	write_format(connection, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
				 "Content-Length: 0\r\n\r\n");
}

/*
 * Writes the answer. Returns false if the stream must not be used any more or
 * no response was written.
 */
static bool write_answer(struct connection *connection,
			 enum platform_answer answer)
{
	const struct platform_upstream *upstream = connection->upstream;
	const char *id = connection->request_id;
	gsize bytes = upstream->body_bytes;

	switch (answer) {
	case PLATFORM_ANSWER_CHUNKED:
		write_chunked(connection, bytes);
		break;
	case PLATFORM_ANSWER_UNFRAMED:
		write_head(connection, 200, id, true);
		write_format(connection, "Connection: close\r\n\r\n");
		write_body(connection, bytes);
		aub_http_stream_close_gracefully(connection->stream);
		return false;
	case PLATFORM_ANSWER_TRUNCATED:
		write_head(connection, 200, id, true);
		write_format(connection, "Content-Length: %zu\r\n\r\n",
			     bytes + 100);
		write_body(connection, bytes);
		aub_http_stream_close_gracefully(connection->stream);
		return false;
	case PLATFORM_ANSWER_RESET:
		reset_connection(connection);
		return false;
	case PLATFORM_ANSWER_NONE:
		return false;
	case PLATFORM_ANSWER_GARBAGE:
		write_format(connection, "\x01\x02 this is no answer\r\n\r\n");
		break;
	case PLATFORM_ANSWER_DUPLICATED:
		write_complete(connection, 200, id, true, bytes);
		write_complete(connection, 200, id, true, bytes + 1);
		break;
	case PLATFORM_ANSWER_MISMATCHED_FIRST:
		write_complete(connection, 200, "another-request", true,
			       bytes + 7);
		write_complete(connection, 200, id, true, bytes);
		break;
	case PLATFORM_ANSWER_STRAY_REFUSAL_FIRST:
		if (connection->answered)
			write_unidentified_refusal(connection);
		write_complete(connection, 200, id, true, bytes);
		break;
	case PLATFORM_ANSWER_UNIDENTIFIED_REFUSAL:
		write_unidentified_refusal(connection);
		break;
	case PLATFORM_ANSWER_UNSTAMPED:
		write_complete(connection, 200, id, false, bytes);
		break;
	case PLATFORM_ANSWER_FAILED:
		write_complete(connection, 500, id, true, bytes);
		break;
	case PLATFORM_ANSWER_OVERLOADED:
		write_not_run(connection, 503);
		break;
	case PLATFORM_ANSWER_MISDIRECTED:
		write_not_run(connection, 421);
		break;
	case PLATFORM_ANSWER_COMPLETE:
	case PLATFORM_ANSWER_EARLY_ERROR:
		write_complete(connection, 200, id, true, bytes);
		break;
	}
	return true;
}

static void on_endless_due(void *context, gint64 now_us)
{
	struct connection *connection = context;
	struct platform_upstream *upstream = connection->upstream;
	gsize length = strlen(upstream->endless_unit);

	connection->timer = 0;
	if (!length)
		return;
	if (!aub_http_stream_queued_bytes(connection->stream))
		for (gsize bytes = 0; bytes < ENDLESS_PIECE_BYTES;
		     bytes += length) {
			aub_http_stream_write(connection->stream,
					      upstream->endless_unit, length);
			upstream->endless_bytes += length;
		}
	aub_http_stream_flush(connection->stream);
	connection->timer = aub_timer_at(upstream->timers, "endless",
					 now_us + ENDLESS_PERIOD_US,
					 on_endless_due, connection);
}

/* Begins an answer that ends only with the connection. */
static void begin_endless(struct connection *connection)
{
	struct platform_upstream *upstream = connection->upstream;
	GString *start = g_string_new(upstream->endless_start);

	g_string_replace(start, "$ID", connection->request_id, 0);
	g_string_replace(start, "$UPSTREAM", upstream->id, 0);
	aub_http_stream_write(connection->stream, start->str, start->len);
	aub_http_stream_flush(connection->stream);
	g_string_free(start, TRUE);
	connection->timer = aub_timer_at(upstream->timers, "endless",
					 aub_timer_now(upstream->timers),
					 on_endless_due, connection);
}

static enum platform_answer take_answer(struct platform_upstream *upstream)
{
	if (!upstream->has_next_answer)
		return upstream->answer;
	upstream->has_next_answer = false;
	return upstream->next_answer;
}

static void on_service_done(void *context, gint64 now_us)
{
	struct connection *connection = context;
	struct platform_upstream *upstream = connection->upstream;

	connection->timer = 0;
	if (connection->silent) {
		connection->answer_held = true;
		return;
	}
	connection->running = false;
	if (upstream->endless_start && !upstream->endless_in_probes) {
		begin_endless(connection);
		return;
	}
	if (!write_answer(connection, connection->answer))
		return;
	connection->answered = true;
	aub_http_stream_flush(connection->stream);
	aub_http_stream_resume(connection->stream);
}

static bool will_run(const struct platform_upstream *upstream)
{
	enum platform_answer answer = upstream->has_next_answer ?
					      upstream->next_answer :
					      upstream->answer;

	return answer != PLATFORM_ANSWER_OVERLOADED &&
	       answer != PLATFORM_ANSWER_UNIDENTIFIED_REFUSAL &&
	       answer != PLATFORM_ANSWER_MISDIRECTED;
}

static void answer_probe(struct connection *connection)
{
	struct platform_upstream *upstream = connection->upstream;

	upstream->probes++;
	if (upstream->endless_start && upstream->endless_in_probes) {
		begin_endless(connection);
		return;
	}
	write_format(
		connection,
		"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nInstance-Load: 0,0,2,100\r\n",
		upstream->id);
	if (upstream->warmup_ms)
		write_format(connection, "Warmup-Remaining-Ms: %u\r\n",
			     upstream->warmup_ms);
	if (upstream->limit && upstream->limit_in_probes)
		write_format(connection, "Server-Limit: %s\r\n",
			     upstream->limit);
	write_format(connection, "Content-Length: 0\r\n\r\n");
	aub_http_stream_flush(connection->stream);
	aub_http_stream_resume(connection->stream);
}

static void start_request(struct connection *connection)
{
	struct platform_upstream *upstream = connection->upstream;

	upstream->arrivals++;
	if (upstream->on_arrival)
		upstream->on_arrival(connection->request_id,
				     upstream->on_arrival_context);
	if (will_run(upstream)) {
		upstream->runs++;
		if (upstream->on_run)
			upstream->on_run(connection->request_id,
					 upstream->on_run_context);
	}
	/*
	 * The answer is fixed when the execution starts: a change of the
	 * setting meanwhile would contradict whether it was counted as
	 * executed.
	 */
	connection->answer = take_answer(upstream);
	connection->running = true;
	connection->timer =
		aub_timer_at(upstream->timers, "work",
			     aub_timer_now(upstream->timers) +
				     upstream->service_time_ms * AUB_MS,
			     on_service_done, connection);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct connection *connection = context;
	struct platform_upstream *upstream = connection->upstream;
	const char *id = aub_http_head_find(head, "Request-Id");

	g_free(connection->request_id);
	connection->request_id = g_strdup(id ? id : "");
	connection->probe = !strcmp(head->target, "/health");
	connection->body_bytes_read = 0;
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
	if (upstream->answer != PLATFORM_ANSWER_EARLY_ERROR)
		return;
	upstream->runs++;
	connection->early_answer_sent = true;
	write_complete(connection, 400, connection->request_id, true, 3);
	aub_http_stream_flush(connection->stream);
}

static void on_body(const char *data, gsize length, void *context)
{
	struct connection *connection = context;

	connection->body_bytes_read += length;
	connection->upstream->body_bytes_read_max =
		MAX(connection->upstream->body_bytes_read_max,
		    connection->body_bytes_read);
}

static void on_complete(void *context)
{
	struct connection *connection = context;

	if (connection->probe)
		answer_probe(connection);
	else if (!connection->early_answer_sent)
		start_request(connection);
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

static enum platform_partition partition_of(
	const struct platform_upstream *upstream, const char *source)
{
	return (enum platform_partition)GPOINTER_TO_INT(
		g_hash_table_lookup(upstream->partitions, source));
}

static void set_silent(struct connection *connection, bool silent)
{
	connection->silent = silent;
	aub_http_stream_pause_reading(connection->stream, silent);
	if (!silent && connection->answer_held) {
		connection->answer_held = false;
		on_service_done(connection, 0);
	}
}

static void apply_partition(struct connection *connection, bool is_new)
{
	switch (partition_of(connection->upstream, connection->source)) {
	case PLATFORM_PARTITION_NONE:
		set_silent(connection, false);
		break;
	case PLATFORM_PARTITION_SILENT:
		set_silent(connection, true);
		break;
	case PLATFORM_PARTITION_RESET:
		reset_connection(connection);
		break;
	case PLATFORM_PARTITION_REFUSE_NEW:
		if (is_new)
			reset_connection(connection);
		break;
	}
}

static char *source_of(int fd)
{
	struct sockaddr_in peer = { 0 };
	socklen_t length = sizeof(peer);
	char ip[INET_ADDRSTRLEN] = "";

	getpeername(fd, (struct sockaddr *)&peer, &length);
	inet_ntop(AF_INET, &peer.sin_addr, ip, sizeof(ip));
	return g_strdup(ip);
}

static void on_connections_waiting(void *context, guint events)
{
	struct platform_upstream *upstream = context;
	int fd;

	while ((fd = aub_tcp_accept(upstream->listener)) >= 0) {
		struct connection *connection = g_new0(struct connection, 1);

		upstream->accepted++;
		connection->upstream = upstream;
		connection->source = source_of(fd);
		connection->stream =
			aub_http_stream_new(upstream->poller, fd, HTTP_REQUEST,
					    false, HEAD_BYTES_MAX, &callbacks,
					    connection);
		g_ptr_array_add(upstream->connections, connection);
		apply_partition(connection, true);
	}
}

void platform_upstream_partition(struct platform_upstream *upstream,
				 const char *source,
				 enum platform_partition partition)
{
	g_hash_table_insert(upstream->partitions, g_strdup(source),
			    GINT_TO_POINTER((gint)partition));
	/* Resetting a connection moves the last one into its place. */
	for (guint i = upstream->connections->len; i > 0; i--) {
		struct connection *connection =
			g_ptr_array_index(upstream->connections, i - 1);

		if (!strcmp(connection->source, source))
			apply_partition(connection, false);
	}
}

static void watch_listener(struct platform_upstream *upstream)
{
	upstream->watch =
		aub_poller_add(upstream->poller, upstream->listener, EPOLLIN,
			       on_connections_waiting, upstream);
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
	upstream->service_time_ms = 5;
	upstream->connections = g_ptr_array_new();
	upstream->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	upstream->partitions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	upstream->listener = aub_tcp_listen_loopback(&upstream->address);
	watch_listener(upstream);
	return upstream;
}

static void close_listener_and_connections(struct platform_upstream *upstream)
{
	/*
	 * Freeing a connection moves the last one into its place, hence the
	 * walk from the end.
	 */
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
	close_listener_and_connections(upstream);
	g_ptr_array_unref(upstream->connections);
	g_hash_table_unref(upstream->headers);
	g_hash_table_unref(upstream->partitions);
	g_free(upstream->address);
	g_free(upstream->limit);
	g_free(upstream->leaving);
	g_free(upstream->refusal_load);
	g_free(upstream->retry_after);
	g_free(upstream->endless_start);
	g_free(upstream->endless_unit);
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

void platform_upstream_set_next_answer(struct platform_upstream *upstream,
				       enum platform_answer answer)
{
	upstream->next_answer = answer;
	upstream->has_next_answer = true;
}

void platform_upstream_set_endless(struct platform_upstream *upstream,
				   const char *start, const char *unit,
				   bool in_probes)
{
	g_free(upstream->endless_start);
	g_free(upstream->endless_unit);
	upstream->endless_start = g_strdup(start);
	upstream->endless_unit = g_strdup(unit ? unit : "");
	upstream->endless_in_probes = in_probes;
}

guint64 platform_upstream_endless_bytes(
	const struct platform_upstream *upstream)
{
	return upstream->endless_bytes;
}

guint platform_upstream_open_connections(
	const struct platform_upstream *upstream)
{
	return upstream->connections->len;
}

void platform_upstream_set_service_time(struct platform_upstream *upstream,
					guint ms)
{
	upstream->service_time_ms = ms;
}

void platform_upstream_set_body_bytes(struct platform_upstream *upstream,
				      gsize bytes)
{
	upstream->body_bytes = bytes;
}

void platform_upstream_set_warmup(struct platform_upstream *upstream, guint ms)
{
	upstream->warmup_ms = ms;
}

/* Replaces a header's value by a copy of `text`, which may be NULL. */
static void set_header(char **header, const char *text)
{
	g_free(*header);
	*header = g_strdup(text);
}

void platform_upstream_set_limit(struct platform_upstream *upstream,
				 const char *text, bool in_probes)
{
	set_header(&upstream->limit, text);
	upstream->limit_in_probes = in_probes;
}

void platform_upstream_set_leaving(struct platform_upstream *upstream,
				   const char *text)
{
	set_header(&upstream->leaving, text);
}

void platform_upstream_set_refusal_load(struct platform_upstream *upstream,
					const char *load)
{
	set_header(&upstream->refusal_load, load);
}

void platform_upstream_set_retry_after(struct platform_upstream *upstream,
				       const char *text)
{
	set_header(&upstream->retry_after, text);
}

void platform_upstream_set_down(struct platform_upstream *upstream, bool down)
{
	if (down) {
		close_listener_and_connections(upstream);
		return;
	}
	upstream->listener = aub_tcp_listen(upstream->address, NULL);
	g_assert(upstream->listener >= 0);
	watch_listener(upstream);
}

void platform_upstream_set_run_callback(
	struct platform_upstream *upstream,
	platform_upstream_run_callback *callback, void *context)
{
	upstream->on_run = callback;
	upstream->on_run_context = context;
}

void platform_upstream_set_arrival_callback(
	struct platform_upstream *upstream,
	platform_upstream_run_callback *callback, void *context)
{
	upstream->on_arrival = callback;
	upstream->on_arrival_context = context;
}

void platform_upstream_set_answer_callback(
	struct platform_upstream *upstream,
	platform_upstream_answer_callback *callback, void *context)
{
	upstream->on_answer = callback;
	upstream->on_answer_context = context;
}

guint platform_upstream_arrivals(const struct platform_upstream *upstream)
{
	return upstream->arrivals;
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

guint64 platform_upstream_body_bytes_read(
	const struct platform_upstream *upstream)
{
	return upstream->body_bytes_read_max;
}

const char *platform_upstream_header(const struct platform_upstream *upstream,
				     const char *name)
{
	char *lower = g_ascii_strdown(name, -1);
	const char *value = g_hash_table_lookup(upstream->headers, lower);

	g_free(lower);
	return value;
}

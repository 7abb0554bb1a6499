/*
 * HTTP listener for small requests. Connections are few and short-lived; idle
 * ones are closed after a time limit.
 */
#include <auburnstile/internal/http_listener.h>
#include <auburnstile/internal/tcp.h>

#include <string.h>
#include <unistd.h>

#define IDLE_TIMEOUT_US (15 * AUB_SECOND)
#define SWEEP_INTERVAL_US (1 * AUB_SECOND)
#define CONNECTIONS_MAX 256 /* above this, the oldest is closed */
#define HEAD_MAX_BYTES (8u << 10)

struct aub_http_listener {
	struct aub_poller *poller;
	struct aub_timer_service *timers;
	int listen_fd;
	struct aub_poll_watch *watch;
	guint sweep_timer;
	aub_http_listener_handler *handler;
	void *context;
	GQueue connections; /* of struct connection */
};

struct connection {
	struct aub_http_listener *listener;
	struct aub_http_stream *stream;
	GList *link;
	gint64 idle_since_us;
	bool keep_alive;
};

static void connection_free(struct connection *connection)
{
	aub_http_stream_free(connection->stream);
	g_queue_delete_link(&connection->listener->connections,
			    connection->link);
	g_free(connection);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct connection *connection = context;
	struct aub_http_listener *listener = connection->listener;
	struct aub_http_response response = { .status = 404,
					      .content_type = "text/plain" };
	gsize length;
	char *text;

	connection->keep_alive = head->keep_alive;
	listener->handler(head, &response, listener->context);
	length = response.body ? g_bytes_get_size(response.body) : 0;
	text = g_strdup_printf(
		"HTTP/1.1 %u %s\r\nContent-Type: %s\r\n"
		"Content-Length: %zu\r\n%s\r\n",
		response.status,
		http_status_str((enum http_status)response.status),
		response.content_type, length,
		connection->keep_alive ? "" : "Connection: close\r\n");
	aub_http_stream_write(connection->stream, text, strlen(text));
	if (response.body && head->method != HTTP_HEAD)
		aub_http_stream_write(connection->stream,
				      g_bytes_get_data(response.body, NULL),
				      length);
	aub_http_stream_flush(connection->stream);
	g_free(text);
	g_bytes_unref(response.body);
}

static void on_body(const char *data, gsize length, void *context)
{
}

static void on_complete(void *context)
{
	struct connection *connection = context;

	connection->idle_since_us = aub_timer_now(connection->listener->timers);
	if (connection->keep_alive)
		aub_http_stream_resume(connection->stream);
	else
		aub_http_stream_close_gracefully(connection->stream);
}

static void on_ended(enum aub_stream_end_reason reason, bool in_message,
		     void *context)
{
	connection_free(context);
}

static const struct aub_http_callbacks callbacks = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

static void on_listener_readable(void *context, guint events)
{
	struct aub_http_listener *listener = context;
	struct connection *connection;
	int fd;

	while ((fd = aub_tcp_accept(listener->listen_fd)) >= 0) {
		if (listener->connections.length >= CONNECTIONS_MAX)
			connection_free(listener->connections.head->data);
		connection = g_new0(struct connection, 1);
		connection->listener = listener;
		connection->idle_since_us = aub_timer_now(listener->timers);
		g_queue_push_tail(&listener->connections, connection);
		connection->link = listener->connections.tail;
		connection->stream =
			aub_http_stream_new(listener->poller, fd, HTTP_REQUEST,
					    false, HEAD_MAX_BYTES, &callbacks,
					    connection);
	}
}

static void on_idle_timer(void *context, gint64 now_us)
{
	struct aub_http_listener *listener = context;
	GList *link = listener->connections.head;

	while (link) {
		struct connection *connection = link->data;

		link = link->next;
		if (now_us - connection->idle_since_us > IDLE_TIMEOUT_US)
			connection_free(connection);
	}
}

struct aub_http_listener *aub_http_listener_new(
	struct aub_poller *poller, struct aub_timer_service *timers,
	const char *address, aub_http_listener_handler *handler, void *context,
	GError **error)
{
	int listen_fd = aub_tcp_listen(address, error);
	struct aub_http_listener *listener;

	if (listen_fd < 0)
		return NULL;
	listener = g_new0(struct aub_http_listener, 1);
	listener->poller = poller;
	listener->timers = timers;
	listener->listen_fd = listen_fd;
	listener->handler = handler;
	listener->context = context;
	g_queue_init(&listener->connections);
	listener->watch = aub_poller_add(poller, listen_fd, EPOLLIN,
					 on_listener_readable, listener);
	listener->sweep_timer =
		aub_timer_every(timers, "service sweep", SWEEP_INTERVAL_US,
				on_idle_timer, listener);
	return listener;
}

void aub_http_listener_free(struct aub_http_listener *listener)
{
	if (!listener)
		return;
	for (GList *link = listener->connections.head; link;) {
		struct connection *connection = link->data;

		link = link->next;
		connection_free(connection);
	}
	aub_timer_cancel(listener->timers, listener->sweep_timer);
	aub_poll_watch_remove(listener->watch);
	close(listener->listen_fd);
	g_free(listener);
}

char *aub_http_query_parameter(const char *target, const char *name)
{
	const char *query = strchr(target, '?');
	gsize length = strlen(name);
	char **pairs;
	char *value = NULL;

	if (!query)
		return NULL;
	pairs = g_strsplit(query + 1, "&", -1);
	for (guint i = 0; pairs[i] && !value; i++)
		if (!strncmp(pairs[i], name, length) && pairs[i][length] == '=')
			value = g_uri_unescape_string(pairs[i] + length + 1,
						      NULL);
	g_strfreev(pairs);
	return value;
}

bool aub_http_target_has_path(const char *target, const char *path)
{
	gsize length = strlen(path);

	return !strncmp(target, path, length) &&
	       (target[length] == '\0' || target[length] == '?');
}

/*
 * The listener for small calls. Connections are few and short-lived; a
 * silent one is closed after a while.
 */
#include <auburnstile/internal/http_service.h>
#include <auburnstile/internal/tcp.h>

#include <string.h>
#include <unistd.h>

#define IDLE_US (15 * AUB_SECOND)
#define SWEEP_US (1 * AUB_SECOND)
#define CONNECTIONS_MOST 256
#define HEAD_LIMIT (8u << 10)

struct aub_http_service {
	struct aub_poller *poller;
	struct aub_timer_service *timers;
	int listener;
	struct aub_poll_watch *watch;
	guint sweep;
	aub_http_service_handler *handler;
	void *context;
	GQueue connections; /* of struct connection */
};

struct connection {
	struct aub_http_service *service;
	struct aub_http_stream *stream;
	GList *link;
	gint64 since_us;
	bool keep;
};

static void connection_free(struct connection *connection)
{
	aub_http_stream_free(connection->stream);
	g_queue_delete_link(&connection->service->connections,
			    connection->link);
	g_free(connection);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct connection *connection = context;
	struct aub_http_service *service = connection->service;
	struct aub_http_reply reply = { .status = 404, .type = "text/plain" };
	gsize length;
	char *text;

	connection->keep = head->keep_alive;
	service->handler(head, &reply, service->context);
	length = reply.body ? g_bytes_get_size(reply.body) : 0;
	text = g_strdup_printf("HTTP/1.1 %u %s\r\nContent-Type: %s\r\n"
			       "Content-Length: %zu\r\n%s\r\n",
			       reply.status,
			       http_status_str((enum http_status)reply.status),
			       reply.type, length,
			       connection->keep ? "" : "Connection: close\r\n");
	aub_http_stream_write(connection->stream, text, strlen(text));
	if (reply.body && head->method != HTTP_HEAD)
		aub_http_stream_write(connection->stream,
				      g_bytes_get_data(reply.body, NULL),
				      length);
	aub_http_stream_flush(connection->stream);
	g_free(text);
	g_bytes_unref(reply.body);
}

static void on_body(const char *data, gsize length, void *context)
{
}

static void on_complete(void *context)
{
	struct connection *connection = context;

	connection->since_us = aub_timer_now(connection->service->timers);
	if (connection->keep)
		aub_http_stream_resume(connection->stream);
	else
		aub_http_stream_finish(connection->stream);
}

static void on_ended(enum aub_stream_end end, bool midway, void *context)
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
	struct aub_http_service *service = context;
	struct connection *connection;
	int fd;

	while ((fd = aub_tcp_accept(service->listener)) >= 0) {
		if (service->connections.length >= CONNECTIONS_MOST)
			connection_free(service->connections.head->data);
		connection = g_new0(struct connection, 1);
		connection->service = service;
		connection->since_us = aub_timer_now(service->timers);
		g_queue_push_tail(&service->connections, connection);
		connection->link = service->connections.tail;
		connection->stream =
			aub_http_stream_new(service->poller, fd, HTTP_REQUEST,
					    false, HEAD_LIMIT, &callbacks,
					    connection);
	}
}

static void on_sweep(void *context, gint64 now_us)
{
	struct aub_http_service *service = context;
	GList *link = service->connections.head;

	while (link) {
		struct connection *connection = link->data;

		link = link->next;
		if (now_us - connection->since_us > IDLE_US)
			connection_free(connection);
	}
}

struct aub_http_service *aub_http_service_new(struct aub_poller *poller,
					      struct aub_timer_service *timers,
					      const char *address,
					      aub_http_service_handler *handler,
					      void *context, GError **error)
{
	int listener = aub_tcp_listen(address, error);
	struct aub_http_service *service;

	if (listener < 0)
		return NULL;
	service = g_new0(struct aub_http_service, 1);
	service->poller = poller;
	service->timers = timers;
	service->listener = listener;
	service->handler = handler;
	service->context = context;
	g_queue_init(&service->connections);
	service->watch = aub_poller_add(poller, listener, EPOLLIN,
					on_acceptable, service);
	service->sweep = aub_timer_every(timers, "service sweep", SWEEP_US,
					 on_sweep, service);
	return service;
}

void aub_http_service_free(struct aub_http_service *service)
{
	if (!service)
		return;
	for (GList *link = service->connections.head; link;) {
		struct connection *connection = link->data;

		link = link->next;
		connection_free(connection);
	}
	aub_timer_cancel(service->timers, service->sweep);
	aub_poll_watch_remove(service->watch);
	close(service->listener);
	g_free(service);
}

char *aub_http_query(const char *target, const char *name)
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

bool aub_http_path_is(const char *target, const char *path)
{
	gsize length = strlen(path);

	return !strncmp(target, path, length) &&
	       (target[length] == '\0' || target[length] == '?');
}

/*
 * The callers' listener on libsoup's server.
 *
 * libsoup reads and writes the messages; this module enforces the limits. It
 * tracks the phase of each connection, shuts down the socket of a connection
 * that exceeds its time limit, and checks periodically whether callers that
 * wait for a response are still connected.
 */
#include <auburnstile/internal/caller_groups.h>
#include <auburnstile/internal/caller_message.h>
#include <auburnstile/internal/caller_server.h>
#include <auburnstile/internal/headers.h>

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/*
 * Interval at which connections are checked; also the maximum delay until the
 * disconnection of a waiting caller is detected.
 */
#define CHECK_INTERVAL_US (50 * AUB_MS)

/* Interval at which connections without a request are checked. */
#define IDLE_CHECK_INTERVAL_US AUB_SECOND

/*
 * GLib's main loop checks every keep-alive connection in each iteration (0.9
 * ms per request with 500 connections). Above this number, the idle time limit
 * decreases in proportion to the number of connections.
 */
#define KEEP_ALIVE_CONNECTIONS_SOFT_MAX 256

enum phase {
	PHASE_HEADER, /* waiting for or reading a header */
	PHASE_BODY,
	PHASE_IN_PROGRESS, /* request delivered, no response yet */
	PHASE_WRITING
};

struct connection {
	struct aub_caller_server *server;
	struct aub_caller_group *group; /* not owned */
	GSocket *socket; /* not owned: the entry is removed with the socket */
	GSocketAddress *remote; /* owned; key in `connections` by pointer */
	enum phase phase;
	bool has_carried_request; /* at least one request was received */
	bool shut_down;
	gint64 phase_since_us; /* start of the current phase */
	gint64 last_check_us; /* last check whether the peer is connected */
	struct aub_caller_request *request; /* in PHASE_IN_PROGRESS */
};

struct aub_caller_request {
	struct connection *connection;
	SoupServerMessage *message; /* owned reference */
	void *data;
};

struct aub_caller_server {
	struct aub_caller_groups *groups;
	struct aub_caller_server_options options;
	GHashTable *connections; /* GSocketAddress -> struct connection */
	guint check_timer;
	guint keep_alive_count; /* connections that carried a request */
};

static void set_phase(struct connection *connection, enum phase phase)
{
	connection->phase = phase;
	connection->phase_since_us =
		aub_timer_now(connection->server->options.timers);
}

static void shut_down(struct connection *connection)
{
	connection->shut_down = true;
	g_socket_shutdown(connection->socket, TRUE, TRUE, NULL);
}

static void request_free(struct aub_caller_request *request)
{
	request->connection->request = NULL;
	g_object_unref(request->message);
	g_free(request);
}

/* Reports that the caller has disconnected and frees its request. */
static void abandon_request(struct connection *connection)
{
	struct aub_caller_server *server = connection->server;
	struct aub_caller_request *request = connection->request;

	server->options.disconnected(request, server->options.context);
	request_free(request);
}

static void connection_free(struct connection *connection)
{
	if (connection->request)
		abandon_request(connection);
	g_hash_table_remove(connection->server->connections,
			    connection->remote);
	aub_caller_group_connection_closed(connection->group);
	g_object_unref(connection->remote);
	g_free(connection);
}

static void on_socket_finalized(void *data, GObject *socket)
{
	connection_free(data);
}

/*
 * Closes a connection whose peer has disconnected and which libsoup no longer
 * tracks.
 */
static void connection_close(struct connection *connection)
{
	GSocket *socket = g_object_ref(connection->socket);

	g_object_weak_unref(G_OBJECT(socket), on_socket_finalized, connection);
	aub_caller_group_release(connection->group, socket);
	connection_free(connection);
	g_socket_close(socket, NULL);
	g_object_unref(socket);
}

/*
 * Returns the connection that has waited longest for its next request, or
 * NULL.
 */
static struct connection *longest_idle_connection(
	struct aub_caller_server *server)
{
	struct connection *oldest = NULL;
	GHashTableIter iterator;
	void *value;

	g_hash_table_iter_init(&iterator, server->connections);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct connection *connection = value;

		if (connection->phase != PHASE_HEADER || connection->shut_down)
			continue;
		if (!oldest ||
		    connection->phase_since_us < oldest->phase_since_us)
			oldest = connection;
	}
	return oldest;
}

static void on_accepted(struct aub_caller_group *group, GSocket *socket,
			GSocketAddress *remote, void *context)
{
	struct aub_caller_server *server = context;
	struct connection *connection;
	struct connection *oldest;

	connection = g_new0(struct connection, 1);
	connection->server = server;
	connection->group = group;
	connection->socket = socket;
	connection->remote = g_object_ref(remote);
	set_phase(connection, PHASE_HEADER);
	/*
	 * Idle connections could use up all descriptors, so that new callers
	 * would be rejected. At the limit, the connection that has been idle
	 * longest is closed; an HTTP client reconnects when it needs to.
	 */
	if (g_hash_table_size(server->connections) >=
	    server->options.connections_max) {
		oldest = longest_idle_connection(server);
		shut_down(oldest ? oldest : connection);
	}
	g_hash_table_insert(server->connections, remote, connection);
	g_object_weak_ref(G_OBJECT(socket), on_socket_finalized, connection);
}

static struct connection *find_connection(struct aub_caller_server *server,
					  SoupServerMessage *message)
{
	return g_hash_table_lookup(server->connections,
				   soup_server_message_get_remote_address(
					   message));
}

/*
 * Sends a response without consulting the entry. The outcome is always
 * "not-run".
 */
static void respond_not_run(SoupServerMessage *message, guint status,
			    const char *reason)
{
	SoupMessageHeaders *headers;

	headers = soup_server_message_get_response_headers(message);
	soup_message_headers_replace(headers, "Auburnstile-Outcome",
				     aub_outcome_name(AUB_OUTCOME_NOT_RUN));
	soup_message_headers_replace(headers, "Auburnstile-Reason", reason);
	soup_server_message_set_response(message, "text/plain",
					 SOUP_MEMORY_COPY, reason,
					 strlen(reason));
	soup_server_message_set_status(message, status, NULL);
}

/*
 * Rejects a body of ambiguous or excessive length. Nothing more is read from
 * the connection. The response is written directly, because libsoup would send
 * it only after the end of the body, which may never arrive.
 */
static void respond_not_run_and_close(struct connection *connection,
				      SoupServerMessage *message, guint status,
				      const char *reason)
{
	char text[256];

	soup_message_body_set_accumulate(soup_server_message_get_request_body(
						 message),
					 FALSE);
	g_snprintf(text, sizeof(text),
		   "HTTP/1.1 %u %s\r\nAuburnstile-Outcome: %s\r\n"
		   "Auburnstile-Reason: %s\r\nConnection: close\r\n"
		   "Content-Length: 0\r\n\r\n",
		   status, soup_status_get_phrase(status),
		   aub_outcome_name(AUB_OUTCOME_NOT_RUN), reason);
	g_socket_send(connection->socket, text, strlen(text), NULL, NULL);
	soup_server_message_set_status(message, status, NULL);
	connection->shut_down = true;
	g_socket_shutdown(connection->socket, FALSE, TRUE, NULL);
}

static guint32 body_limit(struct aub_caller_server *server,
			  SoupServerMessage *message)
{
	const char *path = g_uri_get_path(soup_server_message_get_uri(message));

	return server->options.body_limit(path, server->options.context);
}

static void on_chunk(SoupServerMessage *message, GBytes *chunk, void *context)
{
	struct aub_caller_server *server = context;
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	struct connection *connection = find_connection(server, message);

	if (connection && !connection->shut_down &&
	    body->length > body_limit(server, message))
		respond_not_run_and_close(connection, message,
					  SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
					  "body-too-large");
}

static void on_early_request(SoupServer *soup, SoupServerMessage *message,
			     const char *path, GHashTable *query, void *context)
{
	struct aub_caller_server *server = context;
	struct connection *connection = find_connection(server, message);
	SoupMessageHeaders *headers;
	const char *length;
	guint64 bytes = 0;

	if (!connection)
		return;
	connection->has_carried_request = true;
	set_phase(connection, PHASE_BODY);
	headers = soup_server_message_get_request_headers(message);
	length = soup_message_headers_get_one(headers, "Content-Length");
	aub_parse_number(length, &bytes);
	/*
	 * If two HTTP implementations disagree about where a request ends, a
	 * caller can receive the response to another caller's request (request
	 * smuggling). Requests with ambiguous framing are rejected, and their
	 * connection is closed so that nothing after them is processed.
	 */
	if (!aub_headers_framing_is_unambiguous(headers))
		respond_not_run_and_close(connection, message,
					  SOUP_STATUS_BAD_REQUEST,
					  "unclear-length");
	else if (soup_server_message_get_method(message) == SOUP_METHOD_CONNECT)
		respond_not_run_and_close(connection, message,
					  SOUP_STATUS_METHOD_NOT_ALLOWED,
					  "method-not-served");
	else if (bytes > body_limit(server, message))
		respond_not_run_and_close(connection, message,
					  SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
					  "body-too-large");
	else if (!length && soup_message_headers_get_encoding(headers) ==
				    SOUP_ENCODING_CHUNKED)
		g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk),
				 server);
}

static void answer_addresses(struct aub_caller_server *server,
			     SoupServerMessage *message, GHashTable *query)
{
	const char *service = NULL;
	const char *path = NULL;
	guint status = 0;
	char *json;

	if (query) {
		service = g_hash_table_lookup(query, "service");
		path = g_hash_table_lookup(query, "path");
	}
	if (!service && !path) {
		respond_not_run(message, SOUP_STATUS_BAD_REQUEST,
				"no-service-named");
		return;
	}
	json = server->options.addresses(service, path, &status,
					 server->options.context);
	if (!json) {
		respond_not_run(message, status, "no-addresses");
		return;
	}
	soup_message_headers_replace(soup_server_message_get_response_headers(
					     message),
				     "Cache-Control", "no-store");
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE, json, strlen(json));
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
}

static void on_request(SoupServer *soup, SoupServerMessage *message,
		       const char *path, GHashTable *query, void *context)
{
	struct aub_caller_server *server = context;
	struct aub_caller_request *request;
	struct connection *connection;
	struct aub_call *call;

	connection = find_connection(server, message);
	if (!connection || connection->request || connection->shut_down) {
		respond_not_run(message, SOUP_STATUS_SERVICE_UNAVAILABLE,
				"closing");
		return;
	}
	if (!strcmp(path, AUB_ADDRESSES_PATH)) {
		answer_addresses(server, message, query);
		set_phase(connection, PHASE_WRITING);
		return;
	}
	call = aub_caller_parse_request(message);
	if (!call) {
		respond_not_run(message, SOUP_STATUS_BAD_REQUEST,
				"malformed-header");
		set_phase(connection, PHASE_WRITING);
		return;
	}
	request = g_new0(struct aub_caller_request, 1);
	request->connection = connection;
	request->message = g_object_ref(message);
	connection->request = request;
	set_phase(connection, PHASE_IN_PROGRESS);
	soup_server_message_pause(message);
	server->options.arrived(request, call, server->options.context);
}

void aub_caller_respond(struct aub_caller_request *request,
			struct aub_answer *answer, bool stale)
{
	struct connection *connection = request->connection;
	SoupServerMessage *message = request->message;

	aub_caller_write_response(message, answer, stale);
	if (aub_caller_group_should_drain(connection->group))
		soup_message_headers_replace(
			soup_server_message_get_response_headers(message),
			"Connection", "close");
	set_phase(connection, PHASE_WRITING);
	soup_server_message_unpause(message);
	request_free(request);
	aub_message_free(&answer->base);
}

void aub_caller_request_set_data(struct aub_caller_request *request, void *data)
{
	request->data = data;
}

void *aub_caller_request_data(const struct aub_caller_request *request)
{
	return request->data;
}

static void on_started(SoupServer *soup, SoupServerMessage *message,
		       void *context)
{
	struct aub_caller_server *server = context;
	struct connection *connection = find_connection(server, message);

	/*
	 * The default outcome. It remains in responses that libsoup creates
	 * itself, since such a request was not executed.
	 */
	soup_message_headers_append(soup_server_message_get_response_headers(
					    message),
				    "Auburnstile-Outcome",
				    aub_outcome_name(AUB_OUTCOME_NOT_RUN));
	if (connection)
		set_phase(connection, PHASE_HEADER);
}

static void on_finished(SoupServer *soup, SoupServerMessage *message,
			void *context)
{
	struct connection *connection = find_connection(context, message);

	if (connection)
		set_phase(connection, PHASE_HEADER);
}

static void on_aborted(SoupServer *soup, SoupServerMessage *message,
		       void *context)
{
	struct connection *connection = find_connection(context, message);

	if (connection && connection->request &&
	    connection->request->message == message)
		abandon_request(connection);
}

/*
 * Returns true if the caller has disconnected; its request would otherwise
 * continue to use a slot that others wait for. libsoup does not read while a
 * response is pending, so this peeks at the socket: end of stream or an error
 * means that the caller has disconnected.
 */
static bool peer_has_closed(const struct connection *connection)
{
	char byte;
	ssize_t count;

	count = recv(g_socket_get_fd(connection->socket), &byte, 1,
		     MSG_PEEK | MSG_DONTWAIT);
	return !count || (count < 0 && errno != EAGAIN && errno != EINTR);
}

static guint keep_alive_ms(const struct aub_caller_server *server)
{
	guint keep_alive_count =
		MAX(server->keep_alive_count, KEEP_ALIVE_CONNECTIONS_SOFT_MAX);

	return (guint)((guint64)server->options.idle_timeout_ms *
		       KEEP_ALIVE_CONNECTIONS_SOFT_MAX / keep_alive_count);
}

static bool is_overdue(const struct connection *connection, gint64 now_us)
{
	const struct aub_caller_server_options *options;
	guint limit_ms = 0;

	options = &connection->server->options;
	switch (connection->phase) {
	case PHASE_HEADER:
		limit_ms = connection->has_carried_request ?
				   keep_alive_ms(connection->server) :
				   options->header_timeout_ms;
		break;
	case PHASE_BODY:
		limit_ms = options->body_timeout_ms;
		break;
	case PHASE_WRITING:
		limit_ms = options->write_timeout_ms;
		break;
	case PHASE_IN_PROGRESS:
		return false;
	}
	return now_us - connection->phase_since_us > limit_ms * AUB_MS;
}

/*
 * Returns true if the peer has disconnected. Connections without a request in
 * progress are checked less often.
 */
static bool check_peer_closed(struct connection *connection, gint64 now_us)
{
	gint64 interval_us = connection->phase == PHASE_IN_PROGRESS ?
				     CHECK_INTERVAL_US :
				     IDLE_CHECK_INTERVAL_US;

	if (connection->phase == PHASE_BODY ||
	    connection->phase == PHASE_WRITING)
		return false;
	if (now_us -
		    MAX(connection->phase_since_us, connection->last_check_us) <
	    interval_us)
		return false;
	connection->last_check_us = now_us;
	return peer_has_closed(connection);
}

/*
 * Aborts the request of a disconnected caller. The response that libsoup still
 * writes is discarded.
 */
static void abort_request(struct connection *connection)
{
	SoupServerMessage *message;

	message = g_object_ref(connection->request->message);
	abandon_request(connection);
	shut_down(connection);
	respond_not_run(message, SOUP_STATUS_REQUEST_TIMEOUT, "caller-gone");
	soup_server_message_unpause(message);
	g_object_unref(message);
}

static void on_check_timer(void *context, gint64 now_us)
{
	struct aub_caller_server *server = context;
	GPtrArray *disconnected = g_ptr_array_new();
	GHashTableIter iterator;
	guint keep_alive_count = 0;
	void *value;

	g_hash_table_iter_init(&iterator, server->connections);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct connection *connection = value;

		keep_alive_count += connection->has_carried_request;
		if (connection->shut_down ||
		    check_peer_closed(connection, now_us))
			g_ptr_array_add(disconnected, connection);
		else if (is_overdue(connection, now_us))
			shut_down(connection);
	}
	for (guint i = 0; i < disconnected->len; i++) {
		struct connection *connection = disconnected->pdata[i];

		if (connection->request)
			abort_request(connection);
		else
			connection_close(connection);
	}
	server->keep_alive_count = keep_alive_count;
	g_ptr_array_unref(disconnected);
	aub_caller_groups_free_empty(server->groups);
}

static void configure_server(SoupServer *soup, void *context)
{
	struct aub_caller_server *server = context;

	g_signal_connect(soup, "request-started", G_CALLBACK(on_started),
			 server);
	g_signal_connect(soup, "request-finished", G_CALLBACK(on_finished),
			 server);
	g_signal_connect(soup, "request-aborted", G_CALLBACK(on_aborted),
			 server);
	soup_server_add_early_handler(soup, NULL, on_early_request, server,
				      NULL);
	soup_server_add_handler(soup, NULL, on_request, server, NULL);
}

struct aub_caller_server *aub_caller_server_new(
	const struct aub_caller_server_options *options, GError **error)
{
	struct aub_caller_server *server;

	server = g_new0(struct aub_caller_server, 1);
	server->options = *options;
	server->connections = g_hash_table_new(NULL, NULL);
	server->groups = aub_caller_groups_new(
		&(struct aub_caller_groups_options){
			.address = options->address,
			.configure_server = configure_server,
			.accepted = on_accepted,
			.context = server,
		},
		error);
	if (!server->groups) {
		aub_caller_server_free(server);
		return NULL;
	}
	server->check_timer =
		aub_timer_every(options->timers, "callers", CHECK_INTERVAL_US,
				on_check_timer, server);
	return server;
}

void aub_caller_server_free(struct aub_caller_server *server)
{
	GHashTableIter iterator;
	void *value;

	if (!server)
		return;
	aub_timer_cancel(server->options.timers, server->check_timer);
	for (;;) {
		struct connection *connection;

		g_hash_table_iter_init(&iterator, server->connections);
		if (!g_hash_table_iter_next(&iterator, NULL, &value))
			break;
		connection = value;
		g_object_weak_unref(G_OBJECT(connection->socket),
				    on_socket_finalized, connection);
		if (connection->request)
			request_free(connection->request);
		connection->request = NULL;
		connection_free(connection);
	}
	aub_caller_groups_free(server->groups);
	g_hash_table_destroy(server->connections);
	g_free(server);
}

guint aub_caller_server_active(const struct aub_caller_server *server)
{
	GHashTableIter iterator;
	guint busy = 0;
	void *value;

	g_hash_table_iter_init(&iterator, server->connections);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		if (((struct connection *)value)->phase != PHASE_HEADER)
			busy++;
	return busy;
}

guint aub_caller_server_connections(const struct aub_caller_server *server)
{
	return g_hash_table_size(server->connections);
}

guint aub_caller_server_port(const struct aub_caller_server *server)
{
	return aub_caller_groups_port(server->groups);
}

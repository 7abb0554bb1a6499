/*
 * Attempts at one upstream over libsoup.
 *
 * A response is complete only if its announced length was received, or its
 * last chunk. A response delimited by the end of the connection may be
 * truncated and is reported as lost.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/headers.h>
#include <auburnstile/internal/http_stream.h>
#include <auburnstile/internal/upstream_client.h>
#include <auburnstile/internal/upstream_request.h>
#include <auburnstile/internal/upstream_signals.h>

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/*
 * Idle time limit of pooled connections. Short, because an unresponsive
 * connection can't be distinguished from a working one; a new connection costs
 * about 1 ms.
 */
#define IDLE_TIMEOUT_S 2

#define READ_CHUNK_BYTES (16u << 10)

struct aub_upstream_client {
	guint references; /* of the owner and of each attempt */
	char *base_url; /* "http://ip:port" */
	char *peer; /* "ip:port", for errors */
	guint connections_max;
	guint32 body_limit;
	struct aub_timer_service *timers;
	SoupSession *session;
	GHashTable *sockets; /* libsoup's connection id -> GSocket */
};

struct aub_attempt {
	struct aub_upstream_client *client; /* counted reference */
	SoupSession *session; /* owned reference */
	SoupMessage *message; /* owned reference */
	GCancellable *cancellable;
	GSocket *new_socket; /* opened for this attempt, owned */
	GInputStream *stream; /* of the response body, once it has begun */
	GByteArray *body;
	gsize body_max_bytes;
	guint timer;
	bool handed_to_connection; /* the request may have been sent */
	bool may_use_pool; /* the request may use a pooled connection */
	bool timed_out;
	bool cancelled;
	aub_attempt_callback *callback; /* of a request, or NULL */
	aub_probe_callback *probe; /* of a probe, or NULL */
	void *context;
};

static SoupSession *session_new(const struct aub_upstream_client *client)
{
	SoupSession *session;

	session = soup_session_new_with_options(
		"max-conns", client->connections_max, "max-conns-per-host",
		client->connections_max, "timeout", 0, "idle-timeout",
		IDLE_TIMEOUT_S, "user-agent", NULL, "proxy-resolver", NULL,
		NULL);
	soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
	soup_session_remove_feature_by_type(session, SOUP_TYPE_AUTH_MANAGER);
	return session;
}

struct aub_upstream_client *aub_upstream_client_new(
	const struct aub_upstream_client_options *options)
{
	struct aub_upstream_client *client;

	client = g_new0(struct aub_upstream_client, 1);
	client->references = 1;
	client->peer = g_strdup_printf("%s:%u", options->host, options->port);
	client->base_url = g_strdup_printf("http://%s", client->peer);
	client->connections_max = MAX(options->connections_max, 1);
	client->body_limit = options->body_limit;
	client->timers = options->timers;
	client->session = session_new(client);
	client->sockets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_object_unref);
	return client;
}

static void client_unref(struct aub_upstream_client *client)
{
	if (--client->references)
		return;
	g_object_unref(client->session);
	g_hash_table_unref(client->sockets);
	g_free(client->base_url);
	g_free(client->peer);
	g_free(client);
}

void aub_upstream_client_free(struct aub_upstream_client *client)
{
	if (client)
		client_unref(client);
}

/*
 * After a request on a pooled connection got no response, other connections of
 * the pool may be unresponsive too, and the next request would wait just as
 * long. A session with an empty pool replaces the current one; attempts in
 * flight finish in the old session.
 */
static void replace_session(struct aub_upstream_client *client)
{
	g_object_unref(client->session);
	client->session = session_new(client);
}

static void attempt_free(struct aub_attempt *attempt)
{
	struct aub_upstream_client *client = attempt->client;

	aub_timer_cancel(client->timers, attempt->timer);
	g_signal_handlers_disconnect_by_data(attempt->message, attempt);
	g_clear_object(&attempt->stream);
	g_clear_object(&attempt->new_socket);
	g_clear_pointer(&attempt->body, g_byte_array_unref);
	g_object_unref(attempt->message);
	g_object_unref(attempt->session);
	g_object_unref(attempt->cancellable);
	g_free(attempt);
	client_unref(client);
}

static struct aub_answer *make_answer(struct aub_attempt *attempt)
{
	SoupMessageHeaders *headers;
	struct aub_answer *answer;
	const char *length;

	headers = soup_message_get_response_headers(attempt->message);
	answer = (struct aub_answer *)aub_message_new(AUB_MESSAGE_ANSWER);
	answer->outcome = AUB_OUTCOME_RUN;
	answer->status = soup_message_get_status(attempt->message);
	aub_headers_from_soup(headers, answer->headers);
	length = soup_message_headers_get_one(headers, "Content-Length");
	if (length &&
	    soup_message_get_method(attempt->message) == SOUP_METHOD_HEAD)
		g_ptr_array_add(answer->headers,
				aub_header_new("Content-Length", length));
	if (attempt->body && attempt->body->len) {
		answer->body.length = attempt->body->len;
		answer->body.data = g_byte_array_free(attempt->body, FALSE);
		attempt->body = NULL;
	}
	return answer;
}

static void finish_probe(struct aub_attempt *attempt,
			 enum aub_attempt_result result)
{
	struct aub_upstream_signals signals = { 0 };
	bool answered = false;
	guint32 busy = 0;

	if (result == AUB_ATTEMPT_ANSWERED &&
	    soup_message_get_status(attempt->message) == SOUP_STATUS_OK)
		answered = aub_signals_parse_load(attempt->body->data,
						  attempt->body->len, &signals,
						  &busy);
	attempt->probe(answered, &signals, busy, attempt->context);
}

static void finish_attempt(struct aub_attempt *attempt,
			   enum aub_attempt_result result, const GError *error)
{
	struct aub_upstream_signals signals = { 0 };
	struct aub_answer *answer = NULL;

	if (result == AUB_ATTEMPT_ANSWERED || result == AUB_ATTEMPT_SHED)
		aub_signals_from_response(attempt->message, &signals);
	if (attempt->probe)
		finish_probe(attempt, result);
	if (result == AUB_ATTEMPT_ANSWERED && attempt->callback)
		answer = make_answer(attempt);
	if (attempt->may_use_pool && (result == AUB_ATTEMPT_TIMEOUT ||
				      result == AUB_ATTEMPT_CONNECTION_LOST))
		replace_session(attempt->client);
	if (attempt->callback)
		attempt->callback(result, &signals, answer, error,
				  attempt->context);
	attempt_free(attempt);
}

/*
 * Derives the result from what is known about the request. Reporting an
 * executed request as not executed would let a caller repeat a payment. Only a
 * request that was never handed to a connection counts as not executed:
 * libsoup emits "starting" before it writes the first byte.
 */
static void fail_attempt(struct aub_attempt *attempt, const GError *error)
{
	enum aub_attempt_result result;

	if (attempt->cancelled)
		result = AUB_ATTEMPT_CANCELLED;
	else if (!attempt->handed_to_connection)
		result = AUB_ATTEMPT_NOT_CONNECTED;
	else if (attempt->timed_out)
		result = AUB_ATTEMPT_TIMEOUT;
	else
		result = AUB_ATTEMPT_CONNECTION_LOST;
	finish_attempt(attempt, result, error);
}

static void fail_attempt_with(struct aub_attempt *attempt,
			      enum aub_error_code code, const char *text)
{
	GError *error = NULL;

	aub_error_set(&error, code, "read response", attempt->client->peer,
		      "%s", text);
	fail_attempt(attempt, error);
	g_error_free(error);
}

/*
 * If an upstream fails between two chunks, libsoup takes the end of the
 * connection for the end of the body, and the caller would receive a truncated
 * response. A chunked body therefore counts as complete only if the connection
 * is still open afterwards. With "Connection: close" this can't be
 * distinguished from a truncated body, which counts as lost too.
 */
static bool connection_is_open(const struct aub_attempt *attempt)
{
	guint64 id = soup_message_get_connection_id(attempt->message);
	GSocket *socket;
	ssize_t received;
	char byte;

	socket = g_hash_table_lookup(attempt->client->sockets, &id);
	if (!socket || g_socket_is_closed(socket))
		return false;
	received = recv(g_socket_get_fd(socket), &byte, 1,
			MSG_PEEK | MSG_DONTWAIT);
	return received > 0 || (received < 0 && errno == EAGAIN);
}

/*
 * Returns true if the body ended where its framing says and that framing is
 * unambiguous.
 */
static bool is_complete(const struct aub_attempt *attempt)
{
	SoupMessageHeaders *headers;
	SoupEncoding encoding;

	headers = soup_message_get_response_headers(attempt->message);
	encoding = soup_message_headers_get_encoding(headers);
	if (!aub_headers_framing_is_unambiguous(headers))
		return false;
	if (encoding == SOUP_ENCODING_CHUNKED)
		return connection_is_open(attempt);
	if (encoding != SOUP_ENCODING_CONTENT_LENGTH)
		return encoding != SOUP_ENCODING_EOF;
	return soup_message_headers_get_content_length(headers) ==
	       (goffset)attempt->body->len;
}

/*
 * If an upstream sends more bytes than announced, a truncated response would
 * be taken for a complete one and the excess for the next response. Excess
 * bytes make the framing unreliable, so the response is reported as lost and
 * the connection is closed. Excess bytes that arrive later are detected by
 * libsoup before it reuses the connection.
 */
static bool has_excess_bytes(struct aub_attempt *attempt)
{
	guint64 id = soup_message_get_connection_id(attempt->message);
	GInputStream *stream = attempt->stream;
	GInputStream *base = stream;
	GSocket *socket;
	char byte;

	/*
	 * The lowest stream above the socket buffers the bytes read beyond the
	 * body.
	 */
	while (G_IS_FILTER_INPUT_STREAM(base)) {
		stream = base;
		base = g_filter_input_stream_get_base_stream(
			G_FILTER_INPUT_STREAM(base));
	}
	if (!G_IS_POLLABLE_INPUT_STREAM(stream) ||
	    g_pollable_input_stream_read_nonblocking(
		    G_POLLABLE_INPUT_STREAM(stream), &byte, 1, NULL, NULL) <= 0)
		return false;
	socket = g_hash_table_lookup(attempt->client->sockets, &id);
	if (socket)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	return true;
}

/*
 * libsoup accepts any byte in a field's name but white space: fields with it
 * are removed. It also accepts statuses beyond 599.
 */
static bool head_is_valid(const struct aub_attempt *attempt)
{
	SoupMessageHeadersIter iterator;
	const char *name;
	const char *value;

	soup_message_headers_iter_init(&iterator,
				       soup_message_get_response_headers(
					       attempt->message));
	while (soup_message_headers_iter_next(&iterator, &name, &value))
		if (!aub_http_is_token(name, strlen(name)))
			return false;
	return aub_http_is_valid_status(
		soup_message_get_status(attempt->message));
}

/*
 * Responses to HEAD, 204 and 304 have no body, whatever Content-Length says
 * (RFC 9112, 6.3).
 */
static bool has_body(const struct aub_attempt *attempt)
{
	guint status = soup_message_get_status(attempt->message);

	return soup_message_get_method(attempt->message) != SOUP_METHOD_HEAD &&
	       status != SOUP_STATUS_NO_CONTENT &&
	       status != SOUP_STATUS_NOT_MODIFIED;
}

static void finish_body(struct aub_attempt *attempt)
{
	SoupMessageHeaders *headers;
	bool complete;

	headers = soup_message_get_response_headers(attempt->message);
	complete = has_body(attempt) ?
			   is_complete(attempt) :
			   aub_headers_framing_is_unambiguous(headers);
	complete = complete && !has_excess_bytes(attempt);
	g_input_stream_close(attempt->stream, NULL, NULL);
	if (attempt->cancelled || attempt->timed_out)
		fail_attempt_with(attempt, AUB_ERROR_TIMEOUT,
				  "attempt cancelled or timed out");
	else if (!head_is_valid(attempt))
		fail_attempt_with(attempt, AUB_ERROR_INVALID, "malformed head");
	else if (!complete)
		fail_attempt_with(
			attempt, AUB_ERROR_CLOSED,
			"response truncated or longer than announced");
	else
		finish_attempt(attempt,
			       aub_response_is_shed(attempt->message) ?
				       AUB_ATTEMPT_SHED :
				       AUB_ATTEMPT_ANSWERED,
			       NULL);
}

static void on_read(GObject *source, GAsyncResult *result, void *context);

/* Reads the available data in a loop, then waits for more asynchronously. */
static void read_body(struct aub_attempt *attempt)
{
	GPollableInputStream *pollable;
	GError *error = NULL;
	gssize received;
	guint length;

	pollable = G_POLLABLE_INPUT_STREAM(attempt->stream);
	for (;;) {
		length = attempt->body->len;
		if (length > attempt->body_max_bytes) {
			g_cancellable_cancel(attempt->cancellable);
			fail_attempt_with(attempt, AUB_ERROR_TOO_LARGE,
					  "response body exceeds the limit");
			return;
		}
		g_byte_array_set_size(attempt->body, length + READ_CHUNK_BYTES);
		received = g_pollable_input_stream_read_nonblocking(
			pollable, attempt->body->data + length,
			READ_CHUNK_BYTES, attempt->cancellable, &error);
		g_byte_array_set_size(attempt->body, length + MAX(received, 0));
		if (received <= 0)
			break;
	}
	if (!received) {
		finish_body(attempt);
		return;
	}
	if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		g_byte_array_set_size(attempt->body, length + READ_CHUNK_BYTES);
		g_input_stream_read_async(attempt->stream,
					  attempt->body->data + length,
					  READ_CHUNK_BYTES, G_PRIORITY_DEFAULT,
					  attempt->cancellable, on_read,
					  attempt);
	} else {
		fail_attempt(attempt, error);
	}
	g_error_free(error);
}

static void on_read(GObject *source, GAsyncResult *result, void *context)
{
	struct aub_attempt *attempt = context;
	GError *error = NULL;
	gssize received;

	received = g_input_stream_read_finish(attempt->stream, result, &error);
	g_byte_array_set_size(attempt->body, attempt->body->len -
						     READ_CHUNK_BYTES +
						     MAX(received, 0));
	if (received < 0) {
		fail_attempt(attempt, error);
		g_error_free(error);
	} else if (!received) {
		finish_body(attempt);
	} else {
		read_body(attempt);
	}
}

static void on_response_headers(GObject *source, GAsyncResult *result,
				void *context)
{
	struct aub_attempt *attempt = context;
	GError *error = NULL;

	attempt->stream =
		soup_session_send_finish(attempt->session, result, &error);
	if (!attempt->stream) {
		fail_attempt(attempt, error);
		g_error_free(error);
		return;
	}
	attempt->body = g_byte_array_new();
	read_body(attempt);
}

static void on_network_event(SoupMessage *message, GSocketClientEvent event,
			     GIOStream *connection, void *context)
{
	struct aub_attempt *attempt = context;

	if (event != G_SOCKET_CLIENT_CONNECTED)
		return;
	g_clear_object(&attempt->new_socket);
	attempt->new_socket = g_object_ref(g_socket_connection_get_socket(
		G_SOCKET_CONNECTION(connection)));
}

static gboolean socket_is_closed(void *id, void *socket, void *context)
{
	return g_socket_is_closed(socket);
}

static void on_starting(SoupMessage *message, void *context)
{
	struct aub_attempt *attempt = context;
	GHashTable *sockets = attempt->client->sockets;
	guint64 id = soup_message_get_connection_id(message);

	attempt->handed_to_connection = true;
	if (!attempt->new_socket)
		return;
	g_hash_table_foreach_remove(sockets, socket_is_closed, NULL);
	g_hash_table_replace(sockets, g_memdup2(&id, sizeof(id)),
			     g_object_ref(attempt->new_socket));
}

/*
 * When a pooled connection closes without a response, libsoup resends the
 * request by itself, possibly one that has just crashed the upstream, and the
 * dispatcher would count one attempt instead of two. The attempt is aborted
 * and reported as lost.
 */
static void on_restarted(SoupMessage *message, void *context)
{
	struct aub_attempt *attempt = context;

	g_cancellable_cancel(attempt->cancellable);
}

static void on_timeout(void *context, gint64 now_us)
{
	struct aub_attempt *attempt = context;

	attempt->timer = 0;
	attempt->timed_out = true;
	g_cancellable_cancel(attempt->cancellable);
}

void aub_attempt_cancel(struct aub_attempt *attempt)
{
	attempt->cancelled = true;
	g_cancellable_cancel(attempt->cancellable);
}

void aub_attempt_abandon(struct aub_attempt *attempt)
{
	attempt->callback = NULL;
	attempt->probe = NULL;
	g_cancellable_cancel(attempt->cancellable);
}

static struct aub_attempt *attempt_start(struct aub_upstream_client *client,
					 SoupMessage *message,
					 bool new_connection,
					 gint64 deadline_us,
					 aub_attempt_callback *callback,
					 void *context)
{
	struct aub_attempt *attempt;
	SoupMessageFlags flags = SOUP_MESSAGE_NO_REDIRECT;

	attempt = g_new0(struct aub_attempt, 1);
	attempt->client = client;
	client->references++;
	attempt->session = g_object_ref(client->session);
	attempt->message = message;
	attempt->cancellable = g_cancellable_new();
	attempt->body_max_bytes = client->body_limit;
	attempt->may_use_pool = !new_connection;
	attempt->callback = callback;
	attempt->context = context;
	attempt->timer = aub_timer_at(client->timers, "attempt", deadline_us,
				      on_timeout, attempt);
	/* IDEMPOTENT lets any method use the pool; see on_restarted(). */
	flags |= new_connection ? SOUP_MESSAGE_NEW_CONNECTION :
				  SOUP_MESSAGE_IDEMPOTENT;
	soup_message_set_flags(message, flags);
	g_signal_connect(message, "starting", G_CALLBACK(on_starting), attempt);
	g_signal_connect(message, "network-event", G_CALLBACK(on_network_event),
			 attempt);
	g_signal_connect(message, "restarted", G_CALLBACK(on_restarted),
			 attempt);
	soup_session_send_async(attempt->session, message, G_PRIORITY_DEFAULT,
				attempt->cancellable, on_response_headers,
				attempt);
	return attempt;
}

/* Returns NULL if method or path are invalid. */
static SoupMessage *make_message(const struct aub_upstream_client *client,
				 const char *method, const char *path)
{
	SoupMessage *message;
	char *text;
	GUri *uri;

	text = g_strconcat(client->base_url, path, NULL);
	uri = g_uri_parse(text, SOUP_HTTP_URI_FLAGS, NULL);
	g_free(text);
	if (!uri)
		return NULL;
	message = soup_message_new_from_uri(method, uri);
	g_uri_unref(uri);
	return message;
}

static gboolean fail_unsendable(void *context)
{
	struct aub_attempt *attempt = context;

	fail_attempt_with(attempt, AUB_ERROR_INVALID, "invalid method or path");
	return G_SOURCE_REMOVE;
}

struct aub_attempt *aub_upstream_send(struct aub_upstream_client *client,
				      const struct aub_call *call,
				      bool new_connection, gint64 deadline_us,
				      aub_attempt_callback *callback,
				      void *context)
{
	struct aub_attempt *attempt;
	SoupMessage *message;
	gint64 remaining_us;

	message = make_message(client, call->method, call->path);
	if (!message) {
		attempt = g_new0(struct aub_attempt, 1);
		attempt->client = client;
		client->references++;
		attempt->session = g_object_ref(client->session);
		attempt->message = make_message(client, "GET", "/");
		attempt->cancellable = g_cancellable_new();
		attempt->callback = callback;
		attempt->context = context;
		g_idle_add(fail_unsendable, attempt);
		return attempt;
	}
	remaining_us = deadline_us - aub_timer_now(client->timers);
	aub_upstream_write_request(message, call,
				   MAX(remaining_us, 0) / AUB_MS);
	/*
	 * If a pooled connection closes during a non-idempotent request, it is
	 * unknown whether the request was executed. Such a request uses a new
	 * connection, on which libsoup never resends; until it is established,
	 * nothing has been executed.
	 */
	return attempt_start(client, message,
			     new_connection || call->at_most_once, deadline_us,
			     callback, context);
}

struct aub_attempt *aub_upstream_probe(struct aub_upstream_client *client,
				       gint64 deadline_us,
				       aub_probe_callback *callback,
				       void *context)
{
	struct aub_attempt *attempt;

	attempt = attempt_start(client, make_message(client, "GET", "/load"),
				false, deadline_us, NULL, context);
	attempt->probe = callback;
	return attempt;
}

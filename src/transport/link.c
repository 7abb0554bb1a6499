/*
 * One link: a non-blocking TCP socket with an input and an output buffer.
 *
 * Invariants:
 * - `down` is always called from the main loop, never from within a call by
 *   the owner; the owner may free the link in any callback.
 * - Frames are delivered complete and in order, and only after the peer's
 *   hello.
 * - After the first error nothing more is read, written or delivered.
 *
 * Fast path: if the output buffer is empty, a message is written to the socket
 * immediately; only what the socket does not accept stays in the buffer.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/link_socket.h>
#include <auburnstile/link.h>

#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define LENGTH_PREFIX_BYTES 4
#define READ_CHUNK_BYTES (64u << 10) /* per read */
/* Consumed bytes after which the rest of the buffer is moved to its start. */
#define COMPACT_THRESHOLD_BYTES (256u << 10)

enum link_state {
	LINK_CONNECTING,
	LINK_HANDSHAKE, /* connected, waiting for the peer's hello */
	LINK_UP,
	LINK_FAILED /* `down` is scheduled or was called */
};

/*
 * A byte queue: the data from `start` to `bytes->len` is still to be
 * processed.
 */
struct buffer {
	GByteArray *bytes;
	gsize start;
};

struct aub_link {
	int references; /* of the owner, and one during each callback */
	enum link_state state;
	bool freed; /* aub_link_free() was called */
	GSocket *socket;
	GSource *readable;
	GSource *writable;
	GSource *handshake_timer;
	GSource *down_source;
	GError *error; /* reason of the failure */
	char *peer;
	struct aub_hello *hello; /* of the peer */
	struct buffer in;
	struct buffer out;
	gint64 last_received_us;
	guint64 bytes; /* received and sent */
	const struct aub_link_callbacks *callbacks;
	void *context;
	/* Callbacks of an accepted link until the hello. */
	struct aubi_link_accept_callbacks acceptor;
};

static guint64 total_bytes_in;
static guint64 total_bytes_out;

static gsize buffer_length(const struct buffer *buffer)
{
	return buffer->bytes->len - buffer->start;
}

static guint8 *buffer_data(const struct buffer *buffer)
{
	return buffer->bytes->data + buffer->start;
}

static void buffer_consume(struct buffer *buffer, gsize length)
{
	buffer->start += length;
	if (buffer->start == buffer->bytes->len) {
		g_byte_array_set_size(buffer->bytes, 0);
		buffer->start = 0;
	} else if (buffer->start >= COMPACT_THRESHOLD_BYTES) {
		g_byte_array_remove_range(buffer->bytes, 0,
					  (guint)buffer->start);
		buffer->start = 0;
	}
}

static void clear_source(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}

static void clear_sources(struct aub_link *link)
{
	clear_source(&link->readable);
	clear_source(&link->writable);
	clear_source(&link->handshake_timer);
}

static void link_unref(struct aub_link *link)
{
	if (--link->references)
		return;
	clear_sources(link);
	clear_source(&link->down_source);
	g_clear_object(&link->socket);
	g_clear_error(&link->error);
	if (link->hello)
		aub_message_free(&link->hello->base);
	g_byte_array_unref(link->in.bytes);
	g_byte_array_unref(link->out.bytes);
	g_free(link->peer);
	g_free(link);
}

static gboolean on_down(void *data)
{
	struct aub_link *link = data;

	clear_source(&link->down_source);
	link->references++;
	if (link->acceptor.handshake_failed)
		link->acceptor.handshake_failed(link, link->error,
						link->acceptor.context);
	else if (link->callbacks && link->callbacks->down)
		link->callbacks->down(link, link->error, link->context);
	link_unref(link);
	return G_SOURCE_REMOVE;
}

/*
 * Ends the link. Takes ownership of `error`. Only the first failure is
 * reported.
 */
static void link_fail(struct aub_link *link, GError *error)
{
	if (link->state == LINK_FAILED) {
		g_error_free(error);
		return;
	}
	link->state = LINK_FAILED;
	link->error = error;
	clear_sources(link);
	if (link->socket)
		g_socket_close(link->socket, NULL);
	link->down_source = g_idle_source_new();
	g_source_set_priority(link->down_source, G_PRIORITY_DEFAULT);
	g_source_set_callback(link->down_source, on_down, link, NULL);
	g_source_attach(link->down_source, g_main_context_get_thread_default());
}

static void link_fail_text(struct aub_link *link, enum aub_error_code code,
			   const char *step, const char *text)
{
	GError *error = NULL;

	aub_error_set(&error, code, step, link->peer, "%s", text);
	link_fail(link, error);
}

/* Ends the link with a socket error. Takes ownership of `cause`. */
static void link_fail_io(struct aub_link *link, const char *step, GError *cause)
{
	link_fail_text(link, AUB_ERROR_CLOSED, step, cause->message);
	g_error_free(cause);
}

static gboolean on_writable(GSocket *socket, GIOCondition condition,
			    void *data);

/*
 * Sends the output buffer as far as the socket accepts it. Returns false if
 * the link failed.
 */
static bool flush(struct aub_link *link)
{
	while (buffer_length(&link->out)) {
		GError *error = NULL;
		gssize sent =
			g_socket_send(link->socket,
				      (char *)buffer_data(&link->out),
				      buffer_length(&link->out), NULL, &error);

		if (sent < 0 && g_error_matches(error, G_IO_ERROR,
						G_IO_ERROR_WOULD_BLOCK)) {
			g_error_free(error);
			if (!link->writable)
				link->writable =
					aubi_socket_watch(link->socket,
							  G_IO_OUT, on_writable,
							  link);
			return true;
		}
		if (sent < 0) {
			link_fail_io(link, "write", error);
			return false;
		}
		total_bytes_out += (guint64)sent;
		link->bytes += (guint64)sent;
		buffer_consume(&link->out, (gsize)sent);
	}
	clear_source(&link->writable);
	return true;
}

static gboolean on_writable(GSocket *socket, GIOCondition condition, void *data)
{
	struct aub_link *link = data;

	link->references++;
	flush(link);
	link_unref(link);
	return G_SOURCE_CONTINUE;
}

/*
 * Handles the first message of the peer. If the link was accepted, the server
 * returns the callbacks of its new owner, or rejects it.
 */
static void on_hello(struct aub_link *link, struct aub_message *message)
{
	struct aubi_link_accept_callbacks acceptor = link->acceptor;

	if (message->type != AUB_MESSAGE_HELLO) {
		link_fail_text(link, AUB_ERROR_INVALID, "read hello",
			       "first message is not a hello");
		aub_message_free(message);
		return;
	}
	link->hello = (struct aub_hello *)message;
	clear_source(&link->handshake_timer);
	link->state = LINK_UP;
	memset(&link->acceptor, 0, sizeof(link->acceptor));
	if (acceptor.hello_received)
		link->callbacks = acceptor.hello_received(link, link->hello,
							  acceptor.context,
							  &link->context);
	if (!link->callbacks)
		aub_link_free(link);
	else if (link->callbacks->up)
		link->callbacks->up(link, link->hello, link->context);
}

static void dispatch_message(struct aub_link *link, struct aub_message *message)
{
	if (link->state == LINK_HANDSHAKE) {
		on_hello(link, message);
		return;
	}
	if (message->type == AUB_MESSAGE_PING) {
		message->type = AUB_MESSAGE_PONG;
		aub_link_send(link, message);
		aub_message_free(message);
		return;
	}
	link->callbacks->message(link, message, link->context);
}

/*
 * Removes one complete frame from the input and decodes it. Returns NULL if
 * there is none yet, or if the link failed on a malformed frame.
 */
static struct aub_message *next_message(struct aub_link *link)
{
	struct aub_message *message;
	GError *error = NULL;
	guint32 length;

	if (buffer_length(&link->in) < LENGTH_PREFIX_BYTES)
		return NULL;
	memcpy(&length, buffer_data(&link->in), LENGTH_PREFIX_BYTES);
	length = GUINT32_FROM_BE(length);
	if (length > AUB_FRAME_BYTES_MAX) {
		link_fail_text(link, AUB_ERROR_TOO_LARGE, "read frame",
			       "frame exceeds the size limit");
		return NULL;
	}
	if (buffer_length(&link->in) < LENGTH_PREFIX_BYTES + length)
		return NULL;
	message =
		aub_message_decode(buffer_data(&link->in) + LENGTH_PREFIX_BYTES,
				   length, link->peer, &error);
	if (!message) {
		link_fail(link, error);
		return NULL;
	}
	buffer_consume(&link->in, LENGTH_PREFIX_BYTES + length);
	return message;
}

static void dispatch_messages(struct aub_link *link)
{
	while (!link->freed && link->state != LINK_FAILED) {
		struct aub_message *message = next_message(link);

		if (!message)
			return;
		dispatch_message(link, message);
	}
}

static void read_available(struct aub_link *link)
{
	GError *error = NULL;
	guint filled = link->in.bytes->len;
	gssize received;

	g_byte_array_set_size(link->in.bytes, filled + READ_CHUNK_BYTES);
	received = g_socket_receive(link->socket,
				    (char *)link->in.bytes->data + filled,
				    READ_CHUNK_BYTES, NULL, &error);
	g_byte_array_set_size(link->in.bytes,
			      filled + (guint)MAX(received, (gssize)0));
	if (received > 0) {
		total_bytes_in += (guint64)received;
		link->bytes += (guint64)received;
		link->last_received_us = g_get_monotonic_time();
		dispatch_messages(link);
	} else if (received == 0) {
		link_fail_text(link, AUB_ERROR_CLOSED, "read",
			       "closed by the peer");
	} else if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		g_error_free(error);
	} else {
		link_fail_io(link, "read", error);
	}
}

static gboolean on_readable(GSocket *socket, GIOCondition condition, void *data)
{
	struct aub_link *link = data;

	link->references++;
	read_available(link);
	link_unref(link);
	return G_SOURCE_CONTINUE;
}

static gboolean on_handshake_timeout(void *data)
{
	struct aub_link *link = data;
	const char *step =
		link->state == LINK_CONNECTING ? "connect" : "read hello";

	link->references++;
	link_fail_text(link, AUB_ERROR_TIMEOUT, step, "timed out");
	link_unref(link);
	return G_SOURCE_REMOVE;
}

static struct aub_link *link_new(const char *peer,
				 const struct aub_hello *hello,
				 guint timeout_ms)
{
	struct aub_link *link = g_new0(struct aub_link, 1);

	link->references = 1;
	link->peer = g_strdup(peer);
	link->in.bytes = g_byte_array_new();
	link->out.bytes = g_byte_array_new();
	link->last_received_us = g_get_monotonic_time();
	link->handshake_timer = g_timeout_source_new(timeout_ms);
	g_source_set_callback(link->handshake_timer, on_handshake_timeout, link,
			      NULL);
	g_source_attach(link->handshake_timer,
			g_main_context_get_thread_default());
	link->state = LINK_CONNECTING;
	aub_link_send(link, &hello->base);
	return link;
}

static void start_handshake(struct aub_link *link)
{
	link->state = LINK_HANDSHAKE;
	/*
	 * With Nagle's algorithm, small messages wait up to 40 ms for
	 * acknowledgements.
	 */
	g_socket_set_option(link->socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	link->readable =
		aubi_socket_watch(link->socket, G_IO_IN, on_readable, link);
	flush(link);
}

static gboolean on_connected(GSocket *socket, GIOCondition condition,
			     void *data)
{
	struct aub_link *link = data;
	GError *error = NULL;

	link->references++;
	clear_source(&link->writable);
	if (g_socket_check_connect_result(link->socket, &error))
		start_handshake(link);
	else
		link_fail_io(link, "connect", error);
	link_unref(link);
	return G_SOURCE_REMOVE;
}

static void start_connect(struct aub_link *link, const char *address)
{
	GSocketAddress *target = NULL;
	GError *error = NULL;

	target = aubi_socket_address_parse(address, &error);
	if (!target) {
		link_fail(link, error);
		return;
	}
	link->socket = g_socket_new(g_socket_address_get_family(target),
				    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
				    &error);
	if (!link->socket)
		goto failed;
	g_socket_set_blocking(link->socket, FALSE);
	if (g_socket_connect(link->socket, target, NULL, &error)) {
		start_handshake(link);
	} else if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
		g_clear_error(&error);
		link->writable = aubi_socket_watch(link->socket, G_IO_OUT,
						   on_connected, link);
	} else {
		goto failed;
	}
	g_object_unref(target);
	return;
failed:
	link_fail_io(link, "connect", error);
	g_object_unref(target);
}

struct aub_link *aub_link_connect(const char *address,
				  const struct aub_hello *hello,
				  guint timeout_ms,
				  const struct aub_link_callbacks *callbacks,
				  void *context)
{
	struct aub_link *link = link_new(address, hello, timeout_ms);

	link->callbacks = callbacks;
	link->context = context;
	start_connect(link, address);
	return link;
}

struct aub_link *aubi_link_new_accepted(
	GSocket *socket, const char *peer, const struct aub_hello *hello,
	const struct aubi_link_accept_callbacks *acceptor)
{
	struct aub_link *link =
		link_new(peer, hello, AUBI_HANDSHAKE_TIMEOUT_MS);

	link->acceptor = *acceptor;
	link->socket = g_object_ref(socket);
	g_socket_set_blocking(socket, FALSE);
	start_handshake(link);
	return link;
}

void aub_link_free(struct aub_link *link)
{
	if (!link || link->freed)
		return;
	link->freed = true;
	link->state = LINK_FAILED;
	clear_sources(link);
	clear_source(&link->down_source);
	if (link->socket)
		g_socket_close(link->socket, NULL);
	link_unref(link);
}

static void append_frame(struct buffer *buffer, GBytes *payload)
{
	gsize length;
	const guint8 *data = g_bytes_get_data(payload, &length);
	guint32 prefix = GUINT32_TO_BE((guint32)length);

	g_byte_array_append(buffer->bytes, (const guint8 *)&prefix,
			    LENGTH_PREFIX_BYTES);
	g_byte_array_append(buffer->bytes, data, (guint)length);
}

bool aub_link_send(struct aub_link *link, const struct aub_message *message)
{
	GError *error = NULL;
	GBytes *payload;

	if (link->state == LINK_FAILED)
		return false;
	payload = aub_message_encode(message, &error);
	if (!payload) {
		link_fail(link, error);
		return false;
	}
	append_frame(&link->out, payload);
	g_bytes_unref(payload);
	if (buffer_length(&link->out) > AUB_LINK_QUEUE_MAX_BYTES) {
		link_fail_text(link, AUB_ERROR_TOO_LARGE, "queue message",
			       "output queue exceeds its limit");
		return false;
	}
	if (link->state == LINK_CONNECTING || link->writable)
		return true;
	return flush(link);
}

bool aub_link_is_up(const struct aub_link *link)
{
	return link->state == LINK_UP;
}

const char *aub_link_peer(const struct aub_link *link)
{
	return link->peer;
}

const struct aub_hello *aub_link_peer_hello(const struct aub_link *link)
{
	return link->hello;
}

gint64 aub_link_last_received_us(const struct aub_link *link)
{
	return link->last_received_us;
}

gsize aub_link_queued_bytes(const struct aub_link *link)
{
	return buffer_length(&link->out);
}

guint64 aub_link_transferred_bytes(const struct aub_link *link)
{
	return link->bytes;
}

void aub_link_process_bytes(guint64 *bytes_received, guint64 *bytes_sent)
{
	*bytes_received = total_bytes_in;
	*bytes_sent = total_bytes_out;
}

/*
 * HTTP streams based on http-parser.
 *
 * Callbacks may free the stream: `callback_depth` counts the active calls, and
 * the memory is freed when the outermost call returns.
 */
#include <auburnstile/internal/http_stream.h>
#include <auburnstile/internal/tcp.h>

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes per read; limits the data handled per iteration of the main loop. */
#define READ_MAX_BYTES (64u << 10)
/*
 * Limit of what is read before the head of a message is complete, as a multiple
 * of the limit of the head: empty lines and interim answers may precede it.
 */
#define PREAMBLE_MAX_HEADS 2
/*
 * Input that was received before the owner called resume, beyond which no more
 * is read.
 */
#define UNPARSED_HIGH_BYTES (64u << 10)

/*
 * A status line begins "HTTP/1.1 200" (RFC 9112, 4). The parser also accepts
 * more or fewer digits.
 */
#define STATUS_BEGIN 9
#define STATUS_END 12
/* The range of valid status codes (RFC 9110, 15). */
#define STATUS_MIN 100
#define STATUS_MAX 599

struct header_offsets {
	guint name; /* offsets into `text` */
	guint value;
};

struct aub_http_stream {
	struct aub_poll_watch *watch;
	int fd;
	http_parser parser;
	struct aub_http_callbacks callbacks;
	void *context;
	struct aub_http_head head;
	GString *text; /* target, names and values, each NUL-terminated */
	GArray *offsets; /* of struct header_offsets */
	guint head_bytes;
	guint head_max_bytes; /* of the current head */
	guint next_head_max_bytes;
	gsize preamble_bytes; /* read since the last message, up to the head */
	/* Bytes of a response's status line that were checked. */
	guint status_line_bytes;
	bool begun; /* the parser has stopped at the begin of a response */
	bool in_value; /* the last header callback was for a value */
	bool head_done; /* header fields that follow are trailers: discarded */
	bool final_head_seen; /* of the current message; no interim answer's */
	GByteArray *unparsed; /* received but not parsed */
	GByteArray *output;
	gsize out_sent_bytes; /* bytes of `output` already sent */
	guint64 sent_bytes;
	guint callback_depth;
	bool connecting;
	bool patient;
	bool reading_paused;
	bool awaiting_resume; /* complete message; parsing is suspended */
	bool in_message;
	bool no_body;
	bool rejected; /* invalid input: nothing more is read */
	bool closing;
	bool write_shut;
	bool send_failed; /* the connection is broken; see stream_read() */
	bool freed;
	bool end_reported; /* `ended` was called */
};

const char *aub_http_head_find(const struct aub_http_head *head,
			       const char *name)
{
	for (guint i = 0; i < head->headers->len; i++) {
		const struct aub_http_header *header =
			&g_array_index(head->headers, struct aub_http_header,
				       i);

		if (!g_ascii_strcasecmp(header->name, name))
			return header->value;
	}
	return NULL;
}

guint aub_http_head_count(const struct aub_http_head *head, const char *name)
{
	guint count = 0;

	for (guint i = 0; i < head->headers->len; i++)
		if (!g_ascii_strcasecmp(g_array_index(head->headers,
						      struct aub_http_header, i)
						.name,
					name))
			count++;
	return count;
}

bool aub_http_is_token(const char *text, gsize length)
{
	for (gsize i = 0; i < length; i++)
		if (!g_ascii_isalnum(text[i]) &&
		    (!text[i] || !strchr("!#$%&'*+-.^_`|~", text[i])))
			return false;
	return length > 0;
}

static gsize count_digits(const char *text)
{
	return strspn(text, "0123456789");
}

bool aub_http_head_decimal(const struct aub_http_head *head, const char *name,
			   double *value)
{
	const char *text = aub_http_head_find(head, name);
	gsize digits = text ? count_digits(text) : 0;

	if (!digits || aub_http_head_count(head, name) > 1)
		return false;
	if (text[digits] == '.') {
		gsize fraction = count_digits(text + digits + 1);

		if (!fraction)
			return false;
		digits += 1 + fraction;
	}
	if (text[digits])
		return false;
	*value = g_ascii_strtod(text, NULL);
	return true;
}

static int on_message_begin(http_parser *parser)
{
	struct aub_http_stream *stream = parser->data;

	g_string_truncate(stream->text, 0);
	/* Offset 0 is the empty string, for header fields without a value. */
	g_string_append_c(stream->text, '\0');
	g_array_set_size(stream->offsets, 0);
	g_array_set_size(stream->head.headers, 0);
	stream->head_bytes = 0;
	stream->head_max_bytes = stream->next_head_max_bytes;
	stream->in_value = true;
	stream->head_done = false;
	stream->in_message = true;
	if (parser->type == HTTP_RESPONSE) {
		stream->begun = true;
		stream->status_line_bytes = 1;
		http_parser_pause(parser, 1);
	}
	return 0;
}

static int add_head_bytes(struct aub_http_stream *stream, gsize length)
{
	stream->head_bytes += length;
	return stream->head_bytes > stream->head_max_bytes ? -1 : 0;
}

static int on_url(http_parser *parser, const char *data, size_t length)
{
	struct aub_http_stream *stream = parser->data;

	g_string_append_len(stream->text, data, (gssize)length);
	return add_head_bytes(stream, length);
}

static int on_header_field(http_parser *parser, const char *data, size_t length)
{
	struct aub_http_stream *stream = parser->data;

	/*
	 * The parser accepts a space in a name, and a length or coding that is
	 * named so. Servers answer requests with such names themselves.
	 */
	if (parser->type == HTTP_RESPONSE && length &&
	    !aub_http_is_token(data, length))
		return -1;
	if (stream->head_done)
		return add_head_bytes(stream, length);
	if (stream->in_value) {
		struct header_offsets offsets = { 0 };

		g_string_append_c(stream->text, '\0');
		offsets.name = stream->text->len;
		g_array_append_val(stream->offsets, offsets);
		stream->in_value = false;
	}
	g_string_append_len(stream->text, data, (gssize)length);
	return add_head_bytes(stream, length + 2);
}

static int on_header_value(http_parser *parser, const char *data, size_t length)
{
	struct aub_http_stream *stream = parser->data;

	if (stream->head_done)
		return add_head_bytes(stream, length);
	if (!stream->in_value) {
		g_string_append_c(stream->text, '\0');
		g_array_index(stream->offsets, struct header_offsets,
			      stream->offsets->len - 1)
			.value = stream->text->len;
		stream->in_value = true;
	}
	g_string_append_len(stream->text, data, (gssize)length);
	return add_head_bytes(stream, length + 2);
}

bool aub_http_is_valid_status(guint status)
{
	return status >= STATUS_MIN && status <= STATUS_MAX &&
	       status != HTTP_STATUS_SWITCHING_PROTOCOLS;
}

static int on_headers_complete(http_parser *parser)
{
	struct aub_http_stream *stream = parser->data;
	struct aub_http_head *head = &stream->head;

	stream->head_done = true;
	g_string_append_c(stream->text, '\0');
	for (guint i = 0; i < stream->offsets->len; i++) {
		struct header_offsets offsets =
			g_array_index(stream->offsets, struct header_offsets,
				      i);
		struct aub_http_header header = {
			.name = stream->text->str + offsets.name,
			.value = stream->text->str + offsets.value,
		};

		g_array_append_val(head->headers, header);
	}
	head->target = stream->text->str + 1;
	head->method = parser->method;
	head->status = parser->status_code;
	head->chunked = (parser->flags & F_CHUNKED) != 0;
	head->length = parser->content_length == G_MAXUINT64 ?
			       -1 :
			       (gint64)parser->content_length;
	head->keep_alive = http_should_keep_alive(parser);
	if (parser->type == HTTP_RESPONSE &&
	    !aub_http_is_valid_status(head->status))
		return -1;
	/* An interim response has no body, whatever its header fields say. */
	if (parser->type == HTTP_RESPONSE && head->status < 200)
		return 1;
	stream->final_head_seen = true;
	stream->callbacks.head(head, stream->context);
	if (stream->freed)
		return 2;
	return stream->no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *data, size_t length)
{
	struct aub_http_stream *stream = parser->data;

	stream->callbacks.body(data, length, stream->context);
	return stream->freed ? -1 : 0;
}

static int on_message_complete(http_parser *parser)
{
	struct aub_http_stream *stream = parser->data;

	if (parser->type == HTTP_RESPONSE && stream->head.status < 200)
		return 0; /* 100 Continue: the final response follows */
	stream->in_message = false;
	stream->awaiting_resume = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static void stream_release(struct aub_http_stream *stream)
{
	if (stream->callback_depth || !stream->freed)
		return;
	g_string_free(stream->text, TRUE);
	g_array_unref(stream->offsets);
	g_array_unref(stream->head.headers);
	g_byte_array_unref(stream->unparsed);
	g_byte_array_unref(stream->output);
	g_free(stream);
}

static bool reading_is_stopped(const struct aub_http_stream *stream)
{
	return stream->reading_paused ||
	       (stream->awaiting_resume &&
		stream->unparsed->len >= UNPARSED_HIGH_BYTES);
}

/*
 * A client that leaves while nothing is read from it is noticed by the end of
 * its output. A server's end waits until its response has been read.
 */
static bool watches_end_only(const struct aub_http_stream *stream)
{
	return !stream->connecting && reading_is_stopped(stream) &&
	       stream->parser.type == HTTP_REQUEST;
}

static void watch_update(struct aub_http_stream *stream)
{
	guint events = 0;

	if (stream->freed || !stream->watch)
		return;
	if (!stream->connecting && !reading_is_stopped(stream))
		events |= EPOLLIN;
	if (watches_end_only(stream))
		events |= EPOLLRDHUP;
	if (stream->connecting || stream->output->len > stream->out_sent_bytes)
		events |= EPOLLOUT;
	aub_poll_watch_set_events(stream->watch, events);
}

static void stream_end(struct aub_http_stream *stream,
		       enum aub_stream_end_reason reason)
{
	if (stream->end_reported || stream->freed)
		return;
	stream->end_reported = true;
	aub_poll_watch_remove(stream->watch);
	stream->watch = NULL;
	stream->callbacks.ended(reason, stream->in_message, stream->context);
}

static void stream_reject(struct aub_http_stream *stream,
			  enum aub_stream_end_reason reason)
{
	if (!stream->callbacks.rejected) {
		stream_end(stream, reason);
		return;
	}
	stream->rejected = true;
	stream->callbacks.rejected(reason, stream->context);
}

/*
 * Returns whether a peer sends without end what is no message: interim answers
 * and empty lines would be read for as long as the owner waits.
 */
static bool preamble_is_too_large(struct aub_http_stream *stream, gsize parsed)
{
	if (stream->final_head_seen)
		return false;
	stream->preamble_bytes += parsed;
	return stream->preamble_bytes >
	       (gsize)PREAMBLE_MAX_HEADS * stream->head_max_bytes;
}

/* Returns whether the status, as far as it is in `data`, has three digits. */
static bool check_status(struct aub_http_stream *stream, const char *data,
			 gsize length)
{
	for (gsize i = 0; i < length; i++) {
		guint at = stream->status_line_bytes;

		if (at > STATUS_END)
			return true;
		if (at >= STATUS_BEGIN &&
		    g_ascii_isdigit(data[i]) != (at < STATUS_END))
			return false;
		stream->status_line_bytes++;
	}
	return true;
}

/*
 * Runs the parser, which stops at the begin of each response so that its status
 * line can be checked. Returns how many bytes were consumed.
 */
static gsize run_parser(struct aub_http_stream *stream, const char *data,
			gsize length, enum http_errno *error)
{
	gsize parsed = 0;

	do {
		const char *rest = data ? data + parsed : NULL;

		if (rest && !check_status(stream, rest, length - parsed)) {
			*error = HPE_INVALID_STATUS;
			return parsed;
		}
		stream->begun = false;
		parsed += http_parser_execute(&stream->parser, &parser_settings,
					      rest, length - parsed);
		if (stream->begun)
			http_parser_pause(&stream->parser, 0);
	} while (stream->begun && parsed < length);
	*error = HTTP_PARSER_ERRNO(&stream->parser);
	return parsed;
}

/* Parses `length` bytes; returns how many were consumed. */
static gsize stream_parse(struct aub_http_stream *stream, const char *data,
			  gsize length)
{
	enum http_errno error;
	gsize parsed = run_parser(stream, data, length, &error);

	if (stream->freed || stream->end_reported)
		return length;
	if (stream->awaiting_resume) {
		http_parser_pause(&stream->parser, 0);
		if (parsed < length) {
			g_byte_array_set_size(stream->unparsed, 0);
			g_byte_array_append(stream->unparsed,
					    (const guint8 *)data + parsed,
					    (guint)(length - parsed));
		}
		stream->callbacks.complete(stream->context);
		return length;
	}
	/* End of stream inside a message is reported through `in_message`. */
	if (error != HPE_OK && data) {
		bool large = stream->head_bytes > stream->head_max_bytes ||
			     error == HPE_HEADER_OVERFLOW;

		stream_reject(stream, large ? AUB_STREAM_HEAD_TOO_LARGE :
					      AUB_STREAM_MALFORMED);
	} else if (preamble_is_too_large(stream, parsed)) {
		stream_reject(stream, AUB_STREAM_HEAD_TOO_LARGE);
	}
	return length;
}

static void stream_receive(struct aub_http_stream *stream, const char *data,
			   gsize length)
{
	if (stream->closing || stream->rejected)
		return;
	if (stream->awaiting_resume) {
		g_byte_array_append(stream->unparsed, (const guint8 *)data,
				    (guint)length);
		/*
		 * Reports unsolicited bytes on an idle client connection to
		 * its owner.
		 */
		if (stream->parser.type == HTTP_RESPONSE)
			stream_end(stream, AUB_STREAM_MALFORMED);
		return;
	}
	stream_parse(stream, data, length);
}

static void stream_read(struct aub_http_stream *stream)
{
	char data[READ_MAX_BYTES];
	ssize_t received = recv(stream->fd, data, sizeof(data), 0);

	if (received > 0) {
		stream_receive(stream, data, (gsize)received);
		return;
	}
	if (received < 0) {
		if (errno != EAGAIN && errno != EINTR)
			stream_end(stream, AUB_STREAM_RESET);
		return;
	}
	/*
	 * Only the first call after a reset reports it. If that was a send, the
	 * end of input looks like the end of a body without Content-Length.
	 */
	if (stream->send_failed) {
		stream_end(stream, AUB_STREAM_RESET);
		return;
	}
	/*
	 * A body without Content-Length ends here; `complete` is called before
	 * `ended`.
	 */
	if (stream->in_message && !stream->awaiting_resume &&
	    !stream->closing && !stream->rejected)
		stream_parse(stream, NULL, 0);
	if (!stream->freed)
		stream_end(stream, AUB_STREAM_EOF);
}

static void on_output_drained(struct aub_http_stream *stream)
{
	g_byte_array_set_size(stream->output, 0);
	stream->out_sent_bytes = 0;
	if (stream->closing && !stream->write_shut) {
		stream->write_shut = true;
		shutdown(stream->fd, SHUT_WR);
	}
	if (stream->callbacks.drained && !stream->end_reported)
		stream->callbacks.drained(stream->context);
}

/*
 * Returns whether a failed send means that the connection broke. EPIPE doesn't:
 * the peer has ended its output before, and all of that can still be read.
 */
static bool is_broken(int send_error)
{
	return send_error != EAGAIN && send_error != EINTR &&
	       send_error != EPIPE;
}

/* Sends what is queued. Its callback may free the stream. */
static void send_output(struct aub_http_stream *stream)
{
	gsize length = aub_http_stream_queued_bytes(stream);
	ssize_t sent;

	if (stream->freed || stream->connecting || stream->end_reported ||
	    !length)
		return;
	sent = send(stream->fd, stream->output->data + stream->out_sent_bytes,
		    length, MSG_NOSIGNAL);
	/* Input that arrived before is read first; the end is reported then. */
	if (sent < 0 && is_broken(errno))
		stream->send_failed = true;
	if (sent <= 0)
		return;
	stream->sent_bytes += (guint64)sent;
	stream->out_sent_bytes += (gsize)sent;
	if (stream->out_sent_bytes == stream->output->len)
		on_output_drained(stream);
}

static void on_connected(struct aub_http_stream *stream)
{
	int error = 0;
	socklen_t length = sizeof(error);

	getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &error, &length);
	if (error) {
		stream_end(stream, AUB_STREAM_CONNECT_FAILED);
		return;
	}
	stream->connecting = false;
	if (stream->callbacks.connected)
		stream->callbacks.connected(stream->context);
	send_output(stream);
}

static void on_socket_event(void *context, guint events)
{
	struct aub_http_stream *stream = context;

	stream->callback_depth++;
	if (stream->connecting) {
		on_connected(stream);
	} else {
		if (events & EPOLLOUT)
			send_output(stream);
		if (!stream->freed && !stream->end_reported &&
		    (events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
			stream_read(stream);
		else if (!stream->freed && (events & EPOLLRDHUP) &&
			 watches_end_only(stream))
			stream_end(stream, AUB_STREAM_EOF);
	}
	watch_update(stream);
	stream->callback_depth--;
	stream_release(stream);
}

struct aub_http_stream *aub_http_stream_new(
	struct aub_poller *poller, int fd, enum http_parser_type type,
	bool connecting, guint head_max_bytes,
	const struct aub_http_callbacks *callbacks, void *context)
{
	struct aub_http_stream *stream = g_new0(struct aub_http_stream, 1);

	stream->fd = fd;
	stream->connecting = connecting;
	stream->head_max_bytes = head_max_bytes;
	stream->next_head_max_bytes = head_max_bytes;
	stream->callbacks = *callbacks;
	stream->context = context;
	stream->text = g_string_new(NULL);
	stream->offsets =
		g_array_new(FALSE, FALSE, sizeof(struct header_offsets));
	stream->head.headers =
		g_array_new(FALSE, FALSE, sizeof(struct aub_http_header));
	stream->unparsed = g_byte_array_new();
	stream->output = g_byte_array_new();
	http_parser_init(&stream->parser, type);
	stream->parser.data = stream;
	stream->status_line_bytes = STATUS_END + 1;
	stream->watch =
		aub_poller_add(poller, fd, connecting ? EPOLLOUT : EPOLLIN,
			       on_socket_event, stream);
	return stream;
}

void aub_http_stream_free(struct aub_http_stream *stream)
{
	if (!stream || stream->freed)
		return;
	stream->freed = true;
	aub_poll_watch_remove(stream->watch);
	stream->watch = NULL;
	close(stream->fd);
	stream_release(stream);
}

void aub_http_stream_set_head_limit(struct aub_http_stream *stream,
				    guint head_max_bytes)
{
	stream->next_head_max_bytes = head_max_bytes;
	stream->head_max_bytes = MAX(stream->head_max_bytes, head_max_bytes);
}

void aub_http_stream_set_callbacks(struct aub_http_stream *stream,
				   const struct aub_http_callbacks *callbacks,
				   void *context)
{
	stream->callbacks = *callbacks;
	stream->context = context;
}

void aub_http_stream_write(struct aub_http_stream *stream, const void *data,
			   gsize length)
{
	g_byte_array_append(stream->output, data, (guint)length);
}

gsize aub_http_stream_queued_bytes(const struct aub_http_stream *stream)
{
	return stream->output->len - stream->out_sent_bytes;
}

guint64 aub_http_stream_sent_bytes(const struct aub_http_stream *stream)
{
	return stream->sent_bytes;
}

void aub_http_stream_flush(struct aub_http_stream *stream)
{
	stream->callback_depth++;
	send_output(stream);
	watch_update(stream);
	stream->callback_depth--;
	stream_release(stream);
}

void aub_http_stream_resume(struct aub_http_stream *stream)
{
	GByteArray *unparsed;

	if (!stream->awaiting_resume || stream->freed)
		return;
	stream->awaiting_resume = false;
	stream->final_head_seen = false;
	stream->preamble_bytes = 0;
	if (!stream->unparsed->len)
		return;
	unparsed = stream->unparsed;
	stream->unparsed = g_byte_array_new();
	stream->callback_depth++;
	stream_parse(stream, (const char *)unparsed->data, unparsed->len);
	watch_update(stream);
	stream->callback_depth--;
	g_byte_array_unref(unparsed);
	stream_release(stream);
}

void aub_http_stream_expect_no_body(struct aub_http_stream *stream,
				    bool no_body)
{
	stream->no_body = no_body;
}

void aub_http_stream_set_patient(struct aub_http_stream *stream, bool patient)
{
	if (stream->patient == patient)
		return;
	stream->patient = patient;
	aub_tcp_set_patient(stream->fd, patient);
}

void aub_http_stream_pause_reading(struct aub_http_stream *stream, bool paused)
{
	if (stream->reading_paused == paused)
		return;
	stream->reading_paused = paused;
	watch_update(stream);
}

bool aub_http_stream_has_excess_bytes(const struct aub_http_stream *stream)
{
	return stream->unparsed->len > 0;
}

bool aub_http_stream_in_message(const struct aub_http_stream *stream)
{
	return stream->in_message;
}

void aub_http_stream_close_gracefully(struct aub_http_stream *stream)
{
	stream->closing = true;
	aub_http_stream_pause_reading(stream, false);
	if (aub_http_stream_queued_bytes(stream)) {
		aub_http_stream_flush(stream);
		return;
	}
	if (!stream->write_shut) {
		stream->write_shut = true;
		shutdown(stream->fd, SHUT_WR);
	}
}

void aub_http_stream_reset_on_close(struct aub_http_stream *stream)
{
	const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(stream->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

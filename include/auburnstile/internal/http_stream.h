/*
 * One HTTP/1.1 connection, client or server side, as a stream of messages.
 *
 * Body data is passed on as it is received; only the head is buffered. Parsing
 * is done by http-parser. The stream sends only what its owner writes.
 */
#ifndef AUBURNSTILE_INTERNAL_HTTP_STREAM_H
#define AUBURNSTILE_INTERNAL_HTTP_STREAM_H

#include <auburnstile/internal/poller.h>

#include <http_parser.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_http_stream;

struct aub_http_header {
	const char *name;
	const char *value;
};

/* The head of a message; valid until the end of the message is reported. */
struct aub_http_head {
	guint method; /* enum http_method; requests only */
	guint status; /* responses only */
	const char *target; /* requests only */
	GArray *headers; /* of struct aub_http_header */
	gint64 length; /* of the body; -1: unknown */
	bool chunked;
	bool keep_alive; /* the connection stays open after this message */
};

/*
 * Returns the value of a header field (not owned), or NULL if it is missing.
 * Names are compared case-insensitively.
 */
const char *aub_http_head_find(const struct aub_http_head *head,
			       const char *name);
guint aub_http_head_count(const struct aub_http_head *head, const char *name);
/*
 * Returns whether a response may have the status (RFC 9110, 15). A switch of
 * protocols is not accepted, as no request asks for one.
 */
bool aub_http_is_valid_status(guint status);
/* Returns whether the text is a token, such as a name (RFC 9110, 5.6.2). */
bool aub_http_is_token(const char *text, gsize length);
/*
 * Reads a number of digits with an optional fraction. Returns false if the
 * header is absent, repeated or in any other notation.
 */
bool aub_http_head_decimal(const struct aub_http_head *head, const char *name,
			   double *value);

enum aub_stream_end_reason {
	AUB_STREAM_EOF, /* the peer closed the connection */
	AUB_STREAM_RESET, /* connection reset, or network failure */
	AUB_STREAM_CONNECT_FAILED, /* the connection could not be established */
	AUB_STREAM_MALFORMED, /* not a valid HTTP message */
	AUB_STREAM_HEAD_TOO_LARGE /* the head exceeds the limit */
};

struct aub_http_callbacks {
	void (*connected)(void *context); /* may be NULL */
	void (*head)(const struct aub_http_head *head, void *context);
	void (*body)(const char *data, gsize length, void *context);
	/*
	 * Called when the message is complete. The next message is not parsed
	 * before aub_http_stream_resume().
	 */
	void (*complete)(void *context);
	/* Called when the output buffer has been sent; may be NULL. */
	void (*drained)(void *context);
	/*
	 * Called if the input is not a valid message or its head is too large;
	 * may be NULL. No more input is read. The callee may respond and then
	 * closes the stream with aub_http_stream_close_gracefully().
	 */
	void (*rejected)(enum aub_stream_end_reason reason, void *context);
	/*
	 * Last callback. `in_message` is true if the stream ended inside a
	 * message. The callee frees the stream.
	 */
	void (*ended)(enum aub_stream_end_reason reason, bool in_message,
		      void *context);
};

/*
 * Creates a stream for a connected or connecting non-blocking socket. Takes
 * ownership of `fd`.
 */
struct aub_http_stream *aub_http_stream_new(
	struct aub_poller *poller, int fd, enum http_parser_type type,
	bool connecting, guint head_max_bytes,
	const struct aub_http_callbacks *callbacks, void *context);

/*
 * Closes the connection immediately and frees the stream. May be called in
 * callbacks. NULL is ignored.
 */
void aub_http_stream_free(struct aub_http_stream *stream);

/*
 * Changes the limit of a message's head, for the next message. The current one
 * keeps the larger limit.
 */
void aub_http_stream_set_head_limit(struct aub_http_stream *stream,
				    guint head_max_bytes);

void aub_http_stream_set_callbacks(struct aub_http_stream *stream,
				   const struct aub_http_callbacks *callbacks,
				   void *context);

/*
 * Queues output; aub_http_stream_flush() sends as much as the socket accepts.
 */
void aub_http_stream_write(struct aub_http_stream *stream, const void *data,
			   gsize length);
void aub_http_stream_flush(struct aub_http_stream *stream);
gsize aub_http_stream_queued_bytes(const struct aub_http_stream *stream);
guint64 aub_http_stream_sent_bytes(const struct aub_http_stream *stream);

/*
 * Continues with the next message, starting with input that was received
 * early.
 */
void aub_http_stream_resume(struct aub_http_stream *stream);

/* Sets whether the next response has no body (because the request is HEAD). */
void aub_http_stream_expect_no_body(struct aub_http_stream *stream,
				    bool no_body);

/* See aub_tcp_set_patient(). */
void aub_http_stream_set_patient(struct aub_http_stream *stream, bool patient);

/* Pauses or resumes reading from the socket (back pressure). */
void aub_http_stream_pause_reading(struct aub_http_stream *stream, bool paused);

/*
 * Returns true if input was received that does not belong to any message
 * parsed so far.
 */
bool aub_http_stream_has_excess_bytes(const struct aub_http_stream *stream);

/* Returns true if a message has been partly received. */
bool aub_http_stream_in_message(const struct aub_http_stream *stream);

/*
 * Sends the queued output, shuts down the write side and discards further
 * input. The owner frees the stream on `ended` or after its own time limit.
 * close() with unread input would send a reset, which can discard responses
 * that the peer has not read yet.
 */
void aub_http_stream_close_gracefully(struct aub_http_stream *stream);

/*
 * Makes aub_http_stream_free() reset the connection (RST) instead of closing
 * it in order.
 */
void aub_http_stream_reset_on_close(struct aub_http_stream *stream);

G_END_DECLS

#endif

/*
 * One HTTP/1.1 connection, in either direction, as a stream of messages.
 *
 * Bodies are handed on as they come; nothing is collected here but the head.
 * Parsing is http-parser's. The stream never sends anything by itself.
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

/* The head of a message; valid until its end is reported. */
struct aub_http_head {
	guint method; /* enum http_method; requests */
	guint status; /* answers */
	const char *target; /* requests */
	GArray *headers; /* of struct aub_http_header */
	gint64 length; /* of the body; -1: not announced */
	bool chunked;
	bool keep_alive; /* the connection may carry another message */
};

/* Borrowed; NULL where it is missing. Names compare without case. */
const char *aub_http_head_find(const struct aub_http_head *head,
			       const char *name);
guint aub_http_head_count(const struct aub_http_head *head, const char *name);

enum aub_stream_end_reason {
	AUB_STREAM_EOF, /* the peer ended it in order */
	AUB_STREAM_RESET, /* reset, or the path failed */
	AUB_STREAM_CONNECT_FAILED, /* never connected */
	AUB_STREAM_MALFORMED, /* bytes that are no message */
	AUB_STREAM_HEAD_TOO_LARGE /* head past its limit */
};

struct aub_http_callbacks {
	void (*connected)(void *context); /* may be NULL */
	void (*head)(const struct aub_http_head *head, void *context);
	void (*body)(const char *data, gsize length, void *context);
	/* The message is whole. Nothing more is parsed before _resume(). */
	void (*complete)(void *context);
	/* The output buffer has emptied; may be NULL. */
	void (*drained)(void *context);
	/*
	 * What came is no message, or its head is too large; may be NULL.
	 * Nothing more is read: the callee answers and finishes the stream.
	 */
	void (*rejected)(enum aub_stream_end_reason reason, void *context);
	/* Last callback. `midway`: inside a message. The callee frees. */
	void (*ended)(enum aub_stream_end_reason reason, bool in_message,
		      void *context);
};

/* Takes over `fd`, non-blocking, connected or connecting. */
struct aub_http_stream *aub_http_stream_new(
	struct aub_poller *poller, int fd, enum http_parser_type type,
	bool connecting, guint head_limit,
	const struct aub_http_callbacks *callbacks, void *context);

/* Closes at once. Allowed in callbacks. NULL is ignored. */
void aub_http_stream_free(struct aub_http_stream *stream);

void aub_http_stream_set_callbacks(struct aub_http_stream *stream,
				   const struct aub_http_callbacks *callbacks,
				   void *context);

/* Queue bytes; aub_http_stream_flush() sends what the socket takes. */
void aub_http_stream_write(struct aub_http_stream *stream, const void *data,
			   gsize length);
void aub_http_stream_flush(struct aub_http_stream *stream);
gsize aub_http_stream_queued_bytes(const struct aub_http_stream *stream);
guint64 aub_http_stream_sent_bytes(const struct aub_http_stream *stream);

/* Parse the next message: bytes that came early are taken first. */
void aub_http_stream_resume(struct aub_http_stream *stream);

/* The next answer has no body (the request was HEAD). */
void aub_http_stream_expect_no_body(struct aub_http_stream *stream,
				    bool no_body);

/* Back pressure: stop or go on reading from the socket. */
void aub_http_stream_pause_reading(struct aub_http_stream *stream, bool paused);

/* Bytes were read that no message has claimed. */
bool aub_http_stream_has_excess_bytes(const struct aub_http_stream *stream);

/* Part of a message has been read. */
bool aub_http_stream_in_message(const struct aub_http_stream *stream);

/*
 * End in order: send the rest, shut the writing side down and drop what
 * comes. The owner frees the stream on `ended` or after its own time limit.
 * A close() with unread input would reset answers still on their way.
 */
void aub_http_stream_close_gracefully(struct aub_http_stream *stream);

/* When it is freed the peer sees a reset, whatever it has read. */
void aub_http_stream_reset_on_close(struct aub_http_stream *stream);

G_END_DECLS

#endif

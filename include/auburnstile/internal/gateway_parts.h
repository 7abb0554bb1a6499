/*
 * The inside of a gateway's data path, shared by its files.
 */
#ifndef AUBURNSTILE_INTERNAL_GATEWAY_PARTS_H
#define AUBURNSTILE_INTERNAL_GATEWAY_PARTS_H

#include <auburnstile/internal/crash_marks.h>
#include <auburnstile/internal/gateway.h>

G_BEGIN_DECLS

/*
 * Bytes of a body held here: of a request's, to send it once more; of an
 * answer's, before its first byte goes to the caller, so that a truncated
 * one can still be replaced. Beyond it bodies stream with back pressure.
 */
#define AUB_BODY_BUFFER_BYTES (64u << 10)
#define AUB_WRITE_QUEUE_HIGH_BYTES \
	(128u << 10) /* bytes to a slow reader, then a pause */

struct aub_caller; /* one caller's connection */
struct aub_request;

enum aub_request_outcome {
	AUB_REQUEST_ANSWERED, /* an upstream's whole answer */
	AUB_REQUEST_REFUSED, /* own answer: not run */
	AUB_REQUEST_FAILED, /* own answer: may have run */
	AUB_REQUEST_DENIED, /* own answer: not allowed */
	AUB_REQUEST_CALLER_CLOSED, /* the caller left */
	AUB_REQUEST_TRUNCATED, /* ended midway */
	AUB_REQUEST_OUTCOMES
};

struct aub_gateway {
	struct aub_gateway_options options;
	struct aub_routing *routing; /* NULL: none known yet */
	int listener;
	struct aub_poll_watch *watch;
	struct aub_crash_marks *crash_marks;
	guint sweep_timer;
	GQueue callers; /* of struct aub_caller */
	guint active_requests;
	bool draining;
	bool closed;
	guint attempts_counter;
	guint retries_counter;
};

struct aub_caller {
	struct aub_gateway *gateway;
	GList *callers_link; /* in gateway->callers */
	struct aub_http_stream *stream;
	GQueue requests; /* of struct aub_request, in the order they came */
	gint64 state_since_us; /* of being idle, or of its end */
	bool close_after_answer; /* an answer says that the connection ends with
				    it */
	bool shutting_down; /* nothing more is answered on it */
	bool input_rejected; /* what came after the last request is none */
	enum aub_stream_end rejection; /* and why */
};

/* One try at one upstream. */
struct aub_upstream_attempt {
	struct aub_request *request;
	struct aub_exchange *exchange;
	guint64 ticket;
	char *upstream;
	gint64 sent_us;
	guint status; /* of its answer; 0: none yet */
	bool not_run; /* the upstream says that it did not run it */
	bool malformed; /* its answer can't be passed on */
	gint64 content_length; /* of the answer's buffered_body; -1: not
				  announced */
	GString *head; /* status line and headers, without framing */
	GByteArray *buffered_body; /* what of it is held back */
	struct aub_load load;
	bool streaming; /* the caller gets it as it comes */
	bool chunked_to_caller; /* towards the caller */
};

/* An upstream's whole answer that says failure, kept while another is tried. */
struct aub_retained_answer {
	guint status;
	GString *head; /* status line and headers, without framing */
	GByteArray *body;
	char *upstream;
};

struct aub_request {
	struct aub_gateway *gateway;
	struct aub_caller *caller;
	struct aub_routing *routing; /* the one it began with */
	struct aub_route *route; /* borrowed from it */
	const char *service; /* borrowed from it */
	char *id;
	char *host;
	char *request_line; /* "METHOD target HTTP/1.1" */
	GString *headers; /* to forward, without framing and deadline */
	bool is_head;
	bool keep_alive; /* the caller would go on with the connection */
	bool deferred; /* not to be placed before its turn to be answered */
	bool answered; /* answered; its turn to be written has not come */
	GByteArray *pending_output; /* of its answer, before its turn */
	gint64 start_us;
	gint64 slot_wait_us; /* for slots, in all */
	gint64 deadline_us; /* the caller's */
	gint64 effective_deadline_us; /* the earlier of it and the route's
					 timeout */
	guint timer;
	gint64 body_length; /* -1: chunked; 0: none */
	guint64 body_read;
	bool body_complete;
	bool body_discarded; /* more of it has gone than is kept */
	GByteArray *body; /* kept to be sent again */
	struct aub_upstream_attempt *attempt; /* under way; or NULL */
	GPtrArray *tried_upstreams; /* of char *: upstreams it was sent to */
	struct aub_retained_answer retained; /* `head` NULL: none */
	guint connect_failures; /* tries that never connected */
	guint64 ticket; /* ticket asked for; 0: none */
	bool placement_pending;
	bool may_have_run;
	bool answer_started; /* bytes of an answer have gone to the caller */
};

/* aub_request: called by the caller's connection. */
struct aub_request *aub_request_new(struct aub_caller *caller,
				    const struct aub_http_head *head);
void aub_request_on_body(struct aub_request *request, const char *data,
			 gsize length);
void aub_request_on_body_end(struct aub_request *request);
void aub_request_on_caller_writable(struct aub_request *request);
void aub_request_on_caller_closed(struct aub_request *request);

/*
 * aub_request: how it ends; each frees it. Refused: nothing ran, and nothing
 * will. Denied: the configuration does not allow it. Failed: it may have run;
 * only 502 and 504 say nothing about that. `detail`, for the log, may be NULL.
 */
void aub_request_refuse(struct aub_request *request, const char *reason,
			guint retry_after_ms);
void aub_request_deny(struct aub_request *request, guint status,
		      const char *reason);
void aub_request_fail(struct aub_request *request, guint status,
		      const char *reason, const char *detail);
/*
 * Write an upstream's whole answer. `head` is its status line and headers
 * without framing, which is added to it.
 */
void aub_request_write_answer(struct aub_request *request, GString *head,
			      const GByteArray *body);
/* Pass on the failure that an upstream answered with earlier. */
void aub_request_send_retained_answer(struct aub_request *request);
/* Its answer is written: go on with the caller's connection, or end it. */
void aub_request_finish(struct aub_request *request);
void aub_request_free(struct aub_request *request);
/*
 * "Connection: close" as a header line where the connection ends with this
 * answer; nothing more is then read on it.
 */
const char *aub_request_connection_line(struct aub_request *request);

/* Bytes of its answer: to the caller, or held until its turn. */
void aub_request_write(struct aub_request *request, const void *data,
		       gsize length);
bool aub_request_is_first(const struct aub_request *request);
bool aub_request_is_last(const struct aub_request *request);
/* Those before it have been answered. */
void aub_request_on_turn(struct aub_request *request);

/* aub_request: called by its attempts. */
void aub_request_on_attempt_failed(struct aub_request *request,
				   struct aub_upstream_attempt *attempt,
				   enum aub_attempt_end end);
void aub_request_on_attempt_complete(struct aub_request *request,
				     struct aub_upstream_attempt *attempt);
/* The answer grows past what is held back: begin to pass it on. */
void aub_request_begin_streaming(struct aub_request *request,
				 struct aub_upstream_attempt *attempt);
void aub_request_stream_bytes(struct aub_request *request,
			      struct aub_upstream_attempt *attempt,
			      const char *data, gsize length);
void aub_request_on_upstream_writable(struct aub_request *request);

/* Attempts. */
struct aub_upstream_attempt *aub_attempt_start(struct aub_request *request,
					       guint64 ticket,
					       const char *upstream,
					       const char *address);
void aub_attempt_write_body(struct aub_upstream_attempt *attempt,
			    const char *data, gsize length);
void aub_attempt_end_body(struct aub_upstream_attempt *attempt);
/* Abort and report `end`. Frees the attempt. */
void aub_attempt_abort(struct aub_upstream_attempt *attempt,
		       enum aub_attempt_end end);
void aub_attempt_free(struct aub_upstream_attempt *attempt);

/* Callers' connections. */
void aub_caller_new(struct aub_gateway *gateway, int fd, guint header_bytes);
/* Its requests end as if the caller had left. */
void aub_caller_free(struct aub_caller *caller);
bool aub_caller_has_timed_out(const struct aub_caller *caller, gint64 now_us);
bool aub_caller_is_idle(const struct aub_caller *caller);
/* End the connection in order; nothing more is read. */
void aub_caller_shutdown(struct aub_caller *caller);
/* The first request has been answered and freed: go on with the next. */
void aub_caller_on_first_finished(struct aub_caller *caller);
/* Break the connection off: an answer that ends early must not look whole. */
void aub_caller_abort(struct aub_caller *caller);

/* Headers. */
void aub_headers_forward(GString *out, const struct aub_http_head *head,
			 const struct aub_platform *platform, bool request);
bool aub_header_parse_number(const char *text, gint64 *value);

/* Count a request's end in the metrics. */
void aub_gateway_count_request(struct aub_gateway *gateway, const char *service,
			       enum aub_request_outcome counter,
			       const char *reason, gint64 elapsed_us);

/* Count a request's end, and log it. */
void aub_request_log(const struct aub_request *request,
		     enum aub_request_outcome counter, guint status,
		     const char *reason, const char *detail);

G_END_DECLS

#endif

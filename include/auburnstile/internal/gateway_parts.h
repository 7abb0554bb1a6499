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
#define AUB_BODY_KEPT (64u << 10)
#define AUB_QUEUE_HIGH (128u << 10) /* bytes to a slow reader, then a pause */

struct aub_caller; /* one caller's connection */
struct aub_request;

enum aub_request_counter {
	AUB_COUNT_ANSWERED, /* an upstream's whole answer */
	AUB_COUNT_REFUSED, /* own answer: not run */
	AUB_COUNT_FAILED, /* own answer: may have run */
	AUB_COUNT_DENIED, /* own answer: not allowed */
	AUB_COUNT_GONE, /* the caller left */
	AUB_COUNT_BROKEN, /* ended midway */
	AUB_REQUEST_COUNTERS
};

struct aub_gateway {
	struct aub_gateway_options options;
	struct aub_routing *routing; /* NULL: none known yet */
	int listener;
	struct aub_poll_watch *watch;
	struct aub_crash_marks *crashes;
	guint sweep;
	GQueue callers; /* of struct aub_caller */
	guint requests;
	bool stopping;
	bool closed;
	guint attempts;
	guint retries;
};

struct aub_caller {
	struct aub_gateway *gateway;
	GList *link; /* in gateway->callers */
	struct aub_http_stream *stream;
	GQueue requests; /* of struct aub_request, in the order they came */
	gint64 since_us; /* of being idle, or of its end */
	bool closing; /* an answer says that the connection ends with it */
	bool finishing; /* nothing more is answered on it */
	bool refused; /* what came after the last request is none */
	enum aub_stream_end_reason refusal; /* and why */
};

/* One try at one upstream. */
struct aub_attempt_state {
	struct aub_request *request;
	struct aub_exchange *exchange;
	guint64 ticket;
	char *upstream;
	gint64 sent_us;
	guint status; /* of its answer; 0: none yet */
	bool unrun; /* the upstream says that it did not run it */
	bool broken; /* its answer can't be passed on */
	gint64 length; /* of the answer's body; -1: not announced */
	GString *head; /* status line and headers, without framing */
	GByteArray *body; /* what of it is held back */
	struct aub_load load;
	bool streaming; /* the caller gets it as it comes */
	bool chunked; /* towards the caller */
};

/* An upstream's whole answer that says failure, kept while another is tried. */
struct aub_kept_answer {
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
	char *line; /* "METHOD target HTTP/1.1" */
	GString *headers; /* to forward, without framing and deadline */
	bool is_head;
	bool keep_alive; /* the caller would go on with the connection */
	bool parked; /* not to be placed before its turn to be answered */
	bool done; /* answered; its turn to be written has not come */
	GByteArray *held; /* of its answer, before its turn */
	gint64 begun_us;
	gint64 waited_us; /* for slots, in all */
	gint64 deadline_us; /* the caller's */
	gint64 limit_us; /* the earlier of it and the route's timeout */
	guint timer;
	gint64 body_length; /* -1: chunked; 0: none */
	guint64 body_read;
	bool body_whole;
	bool body_lost; /* more of it has gone than is kept */
	GByteArray *body; /* kept to be sent again */
	struct aub_attempt_state *attempt; /* under way; or NULL */
	GPtrArray *tried; /* of char *: upstreams it was sent to */
	struct aub_kept_answer kept; /* `head` NULL: none */
	guint unreachable; /* tries that never connected */
	guint64 ask; /* ticket asked for; 0: none */
	bool asking;
	bool may_have_run;
	bool answering; /* bytes of an answer have gone to the caller */
};

/* aub_request: called by the caller's connection. */
struct aub_request *aub_request_new(struct aub_caller *caller,
				    const struct aub_http_head *head);
void aub_request_body(struct aub_request *request, const char *data,
		      gsize length);
void aub_request_body_end(struct aub_request *request);
void aub_request_drained(struct aub_request *request);
void aub_request_caller_left(struct aub_request *request);

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
void aub_request_put_whole(struct aub_request *request, GString *head,
			   const GByteArray *body);
/* Pass on the failure that an upstream answered with earlier. */
void aub_request_answer_kept(struct aub_request *request);
/* Its answer is written: go on with the caller's connection, or end it. */
void aub_request_end(struct aub_request *request);
void aub_request_free(struct aub_request *request);
/*
 * "Connection: close" as a header line where the connection ends with this
 * answer; nothing more is then read on it.
 */
const char *aub_request_connection_line(struct aub_request *request);

/* Bytes of its answer: to the caller, or held until its turn. */
void aub_request_put(struct aub_request *request, const void *data,
		     gsize length);
bool aub_request_is_first(const struct aub_request *request);
bool aub_request_is_last(const struct aub_request *request);
/* Those before it have been answered. */
void aub_request_take_turn(struct aub_request *request);

/* aub_request: called by its attempts. */
void aub_request_attempt_failed(struct aub_request *request,
				struct aub_attempt_state *attempt,
				enum aub_attempt_end end);
void aub_request_attempt_whole(struct aub_request *request,
			       struct aub_attempt_state *attempt);
/* The answer grows past what is held back: begin to pass it on. */
void aub_request_attempt_streams(struct aub_request *request,
				 struct aub_attempt_state *attempt);
void aub_request_attempt_bytes(struct aub_request *request,
			       struct aub_attempt_state *attempt,
			       const char *data, gsize length);
void aub_request_attempt_drained(struct aub_request *request);

/* Attempts. */
struct aub_attempt_state *aub_attempt_start(struct aub_request *request,
					    guint64 ticket,
					    const char *upstream,
					    const char *address);
void aub_attempt_write_body(struct aub_attempt_state *attempt, const char *data,
			    gsize length);
void aub_attempt_end_body(struct aub_attempt_state *attempt);
/* Abort and report `end`. Frees the attempt. */
void aub_attempt_abort(struct aub_attempt_state *attempt,
		       enum aub_attempt_end end);
void aub_attempt_free(struct aub_attempt_state *attempt);

/* Callers' connections. */
void aub_caller_new(struct aub_gateway *gateway, int fd, guint header_bytes);
/* Its requests end as if the caller had left. */
void aub_caller_free(struct aub_caller *caller);
bool aub_caller_is_overdue(const struct aub_caller *caller, gint64 now_us);
bool aub_caller_is_idle(const struct aub_caller *caller);
/* End the connection in order; nothing more is read. */
void aub_caller_finish(struct aub_caller *caller);
/* The first request has been answered and freed: go on with the next. */
void aub_caller_next(struct aub_caller *caller);
/* Break the connection off: an answer that ends early must not look whole. */
void aub_caller_break(struct aub_caller *caller);

/* Headers. */
void aub_headers_forward(GString *out, const struct aub_http_head *head,
			 const struct aub_platform *platform, bool request);
bool aub_header_is_number(const char *text, gint64 *value);

/* Count a request's end in the metrics. */
void aub_gateway_count(struct aub_gateway *gateway, const char *service,
		       enum aub_request_counter counter, const char *reason,
		       gint64 elapsed_us);

/* Count a request's end, and log it. */
void aub_request_log(const struct aub_request *request,
		     enum aub_request_counter counter, guint status,
		     const char *reason, const char *detail);

G_END_DECLS

#endif

/* Internals of a gateway's data path, shared by its source files. */
#ifndef AUBURNSTILE_INTERNAL_GATEWAY_INTERNAL_H
#define AUBURNSTILE_INTERNAL_GATEWAY_INTERNAL_H

#include <auburnstile/internal/crash_counts.h>
#include <auburnstile/internal/gateway.h>
#include <auburnstile/internal/peer_relay.h>

G_BEGIN_DECLS

/*
 * Bytes of a body that are buffered: of a request, so that it can be retried;
 * of an answer, before its first byte is sent to the caller, so that a
 * truncated answer can still be replaced. Longer bodies are streamed with back
 * pressure.
 */
#define AUB_BODY_BUFFER_BYTES (64u << 10)
/*
 * Bytes queued for a slow reader, an upstream or a caller, beyond which reading
 * from the other side is paused.
 */
#define AUB_WRITE_QUEUE_HIGH_BYTES (128u << 10)

/* A connection that is refused fails within a round trip. */
#define AUB_QUICK_FAILURE_US (50 * AUB_MS)

struct aub_caller; /* a caller's connection */
struct aub_request;

enum aub_request_outcome {
	AUB_REQUEST_ANSWERED, /* complete answer of an upstream */
	AUB_REQUEST_REFUSED, /* local answer: the request did not run */
	AUB_REQUEST_FAILED, /* local answer: the request may have run */
	AUB_REQUEST_DENIED, /* local answer: the request is not allowed */
	AUB_REQUEST_CALLER_CLOSED, /* the caller closed the connection */
	AUB_REQUEST_TRUNCATED, /* the answer ended early */
	AUB_REQUEST_OUTCOMES
};

struct aub_gateway {
	struct aub_gateway_options options;
	struct aub_routing *routing; /* NULL until a configuration is known */
	int listener;
	struct aub_poll_watch *watch;
	int relay_listener; /* for other gateways */
	struct aub_poll_watch *relay_watch;
	struct aub_crash_counts *crash_counts;
	/* crashes that this gateway's own links may explain */
	GArray *unconfirmed_crashes; /* see gateway_crashes.c */
	guint relay_turn; /* spreads requests over the peers that relay */
	guint link_outages; /* times that the own links were found down */
	bool links_were_down; /* and have not been up since */
	guint sweep_timer;
	GQueue callers; /* of struct aub_caller */
	guint active_requests;
	bool draining;
	struct aub_stop_plan stop; /* all 0 unless draining */
	bool listener_closed;
	guint attempts_counter; /* handle in the metrics */
	guint retries_counter; /* likewise */
	guint replacements_counter; /* likewise */
	guint relayed_counter; /* likewise: for other gateways */
	guint relay_attempts_counter; /* likewise: by other gateways */
};

struct aub_caller {
	struct aub_gateway *gateway;
	GList *callers_link; /* in gateway->callers */
	struct aub_http_stream *stream;
	GQueue requests; /* of struct aub_request, in order of arrival */
	/* start of the idle period or of the shutdown */
	gint64 state_since_us;
	/* an answer has announced the end of the connection */
	bool close_after_answer;
	bool shutting_down; /* no further answers are sent */
	bool is_peer; /* another gateway, whose requests are relayed */
	bool input_rejected; /* the input after the last request is malformed */
	enum aub_stream_end_reason rejection; /* reason for `input_rejected` */
};

/* One attempt to send a request to an upstream. */
struct aub_upstream_attempt {
	struct aub_request *request;
	struct aub_exchange *exchange;
	guint64 ticket; /* of the grant; 0: none, or already reported */
	char *upstream; /* id of the upstream's incarnation */
	char *address; /* of the upstream */
	guint64 relay; /* incarnation of the gateway that relays; 0: none */
	guint relays_tried;
	enum aub_relay_failure relay_failure; /* as the relay reports */
	gint64 sent_us; /* start of the attempt */
	guint status; /* HTTP status of the answer; 0: none yet */
	bool not_run; /* the upstream states that it did not run it */
	bool malformed; /* the answer can't be forwarded */
	gint64 content_length; /* of the answer's body; -1: unknown */
	GString *head; /* status line and headers, without framing */
	GByteArray *buffered_body; /* the part that is not yet forwarded */
	gsize ignored_bytes; /* of a body that is not forwarded */
	guint ignored_body_timer; /* fires if that body has not ended */
	struct aub_load load;
	bool streaming; /* the answer is forwarded as it arrives */
	bool chunked_to_caller; /* framing towards the caller */
};

/* A complete error answer of an upstream, retained while another is tried. */
struct aub_retained_answer {
	guint status;
	GString *head; /* status line and headers, without framing */
	GByteArray *body;
	char *upstream;
};

/* A request that is relayed for another gateway. */
struct aub_relayed {
	char *upstream; /* that it is to be sent to; NULL: none was named */
	char *service;
};

struct aub_request {
	struct aub_gateway *gateway;
	struct aub_caller *caller;
	/* the configuration at the request's start */
	struct aub_routing *routing;
	struct aub_route *route; /* borrowed from `routing` */
	const char *service; /* borrowed from `routing` */
	/* borrowed from `routing`; NULL: the caller is anonymous */
	const struct aub_workspace *workspace;
	struct aub_relayed *relayed; /* NULL: it is a caller's */
	guint link_outage; /* the last one that was dealt with */
	char *id; /* request ID; "" if the caller sent none */
	char *host;
	char *request_line; /* "METHOD target HTTP/1.1" */
	GString *headers; /* headers to forward, without framing and deadline */
	bool is_head;
	bool keep_alive; /* the caller allows reuse of the connection */
	/* not placed until all earlier requests have been answered */
	bool placement_deferred;
	bool answered; /* the answer is complete but not all written */
	/* answer bytes, buffered until the earlier answers are written */
	GByteArray *pending_output;
	gint64 start_us;
	gint64 slot_wait_us; /* total time spent waiting for slots */
	gint64 deadline_us; /* deadline set by the caller */
	/* the earlier of the caller's deadline and the route's timeout */
	gint64 effective_deadline_us;
	guint timer; /* fires at the deadline */
	gint64 body_length; /* -1: chunked; 0: no body */
	guint64 body_read; /* bytes received so far */
	bool body_complete;
	bool body_discarded; /* part of the sent body is not buffered */
	GByteArray *body; /* buffered so that it can be sent again */
	guint64 digest; /* see aub_request_digest(); 0: not computed yet */
	struct aub_upstream_attempt *attempt; /* in progress; or NULL */
	/* of char *: upstreams that it was sent to */
	GPtrArray *tried_upstreams;
	/* of an earlier attempt; its `head` is NULL if there is none */
	struct aub_retained_answer retained_answer;
	guint connect_failures; /* attempts that never connected */
	guint64 ticket; /* ticket of the placement request; 0: none */
	bool placed; /* a placement has been requested before */
	bool placement_pending;
	guint silence_timer; /* fires if the upstream in use is stuck */
	bool replacing; /* the placement request is for a replacement */
	/* if the upstream in use refuses it; 0: no estimate */
	guint refused_retry_after_ms;
	bool may_have_run; /* an upstream may have run it */
	bool answer_started; /* answer bytes have been sent to the caller */
};

#define AUB_NOT_READY_RETRY_AFTER_MS 1000 /* typical start-up time */
/* During a planned stop: another gateway can serve the request at once. */
#define AUB_STOPPING_RETRY_AFTER_MS 1

/* The head of a new request; see gateway_head.c. */
void aub_request_copy_head(struct aub_request *request,
			   const struct aub_http_head *head);
/* Routes the request. Returns false if it has been answered instead. */
bool aub_request_find_route(struct aub_request *request,
			    const struct aub_http_head *head);
void aub_request_read_deadlines(struct aub_request *request,
				const struct aub_http_head *head);

/* Planned stop; see gateway_stop.c. */
void aub_gateway_close_listeners(struct aub_gateway *gateway);
/* Returns `deadline_us`, or the end of a planned stop if that is earlier. */
gint64 aub_request_end_us(const struct aub_request *request,
			  gint64 deadline_us);
/* Returns whether a request that is sent now ends before a planned stop. */
bool aub_request_ends_before_stop(const struct aub_request *request);
/* Sets the request's timer anew after a planned stop has begun. */
void aub_request_limit_to_stop(struct aub_request *request);

/* Events of the caller's connection. */
struct aub_request *aub_request_new(struct aub_caller *caller,
				    const struct aub_http_head *head);
void aub_request_on_body(struct aub_request *request, const char *data,
			 gsize length);
void aub_request_on_body_end(struct aub_request *request);
void aub_request_on_caller_writable(struct aub_request *request);
void aub_request_on_caller_closed(struct aub_request *request);

/*
 * Ways to end a request with a local answer; each frees it. "Refuse": the
 * request did not run and will not. "Deny": the configuration doesn't allow it.
 * "Fail": it may have run; only the statuses 502 and 504 leave that open.
 * `detail` is for the log and may be NULL.
 */
void aub_request_refuse(struct aub_request *request, const char *reason,
			guint retry_after_ms);
/* Refuses a request beyond its workspace's quota. */
void aub_request_refuse_over_quota(struct aub_request *request,
				   const char *reason, const char *placer,
				   guint retry_after_ms);
void aub_request_deny(struct aub_request *request, guint status,
		      const char *reason);
void aub_request_fail(struct aub_request *request, guint status,
		      const char *reason, const char *detail);
/*
 * Writes an upstream's complete answer. `head` holds the status line and
 * headers without framing; the framing is appended to it.
 */
void aub_request_write_answer(struct aub_request *request, GString *head,
			      const GByteArray *body);
/* Sends the retained error answer of an earlier attempt. */
void aub_request_send_retained_answer(struct aub_request *request);
/*
 * Called when the answer is written: proceeds with the caller's connection or
 * closes it.
 */
void aub_request_finish(struct aub_request *request);
void aub_request_free(struct aub_request *request);
/*
 * Returns the header line "Connection: close" if the connection ends with this
 * answer, else "". In the former case nothing more is read from it.
 */
const char *aub_request_connection_line(struct aub_request *request);

/*
 * Sends bytes of the answer to the caller, or buffers them until all earlier
 * requests have been answered.
 */
void aub_request_write(struct aub_request *request, const void *data,
		       gsize length);
/* Return whether it is the oldest or the newest request of its connection. */
bool aub_request_is_first(const struct aub_request *request);
bool aub_request_is_last(const struct aub_request *request);
/* Returns whether the body is sent on as it arrives, not when it is complete.
 */
bool aub_request_has_long_body(const struct aub_request *request);
/*
 * Returns whether the request may be sent once more although an attempt may
 * have run it.
 */
bool aub_request_may_send_again(const struct aub_request *request);
/* Called when all earlier requests of the connection have been answered. */
void aub_request_on_became_first(struct aub_request *request);

/* Events of the request's attempts. */
void aub_request_on_attempt_failed(struct aub_request *request,
				   struct aub_upstream_attempt *attempt,
				   enum aub_grant_result end);
void aub_request_on_attempt_complete(struct aub_request *request,
				     struct aub_upstream_attempt *attempt);
/* Starts to forward an answer that exceeds the buffer. */
void aub_request_begin_streaming(struct aub_request *request,
				 struct aub_upstream_attempt *attempt);
void aub_request_stream_bytes(struct aub_request *request,
			      struct aub_upstream_attempt *attempt,
			      const char *data, gsize length);
void aub_request_on_upstream_writable(struct aub_request *request);

/*
 * Returns whether a request can be sent to `upstream`, directly or through
 * another gateway.
 */
bool aub_gateway_has_path(struct aub_gateway *gateway, const char *upstream);
bool aub_gateway_links_are_up(const struct aub_gateway *gateway);
/*
 * Deals with an attempt that was in progress when this gateway lost its links.
 * `silent`: none of its connections is likely to be answered any more. May free
 * the attempt and its request.
 */
void aub_attempt_on_links_down(struct aub_upstream_attempt *attempt,
			       bool silent);

/*
 * Watches the request's attempt, which has just started, for an upstream that
 * does not answer; see gateway_replacement.c.
 */
void aub_request_watch_silence(struct aub_request *request, guint after_ms);
/* Ends the watch, and withdraws a placement request for a replacement. */
void aub_request_end_replacement(struct aub_request *request);
/*
 * Returns whether the request's attempt may be replaced by another one: it is
 * idempotent, and nothing of an answer has arrived.
 */
bool aub_request_is_replaceable(const struct aub_request *request);
/* Asks for an upstream slot; `replaces` is true while an attempt goes on. */
void aub_request_place(struct aub_request *request, bool replaces);
/* Returns whether the request may be sent again after `end`. */
bool aub_request_may_retry(const struct aub_request *request,
			   enum aub_grant_result end);

/* Crashes; see gateway_crashes.c. */
GArray *aub_unconfirmed_crashes_new(void);
/*
 * Returns the fingerprint of a request whose body is complete, which is
 * computed only once. It is the same when its caller sends it again.
 */
guint64 aub_request_digest(struct aub_request *request);
/*
 * Records that the connection to `upstream` broke while it ran the request,
 * whose body is complete.
 */
void aub_request_record_crash(struct aub_request *request, const char *upstream,
			      bool sent_directly);
bool aub_request_is_known_to_crash(struct aub_request *request);
/* Called when an upstream has answered the request. */
void aub_request_clear_crashes(struct aub_request *request);
/*
 * Counts the crashes that were not counted before; with `only_restarted` those
 * whose upstream has started anew since.
 */
void aub_gateway_confirm_crashes(struct aub_gateway *gateway,
				 bool only_restarted);

/* Requests that are relayed for other gateways. */
/*
 * Prepares a relayed request. Returns false if it has been answered instead.
 */
bool aub_relay_accept(struct aub_request *request,
		      const struct aub_http_head *head);
/* Sends it to its upstream. */
void aub_relay_start(struct aub_request *request);
/* Ends it without an answer of the upstream. */
void aub_relay_fail(struct aub_request *request,
		    enum aub_relay_failure failure);
enum aub_relay_failure aub_relay_failure_of(const struct aub_request *request,
					    enum aub_grant_result end);
void aub_relay_log(const struct aub_request *request, guint status,
		   const char *reason);
void aub_relayed_free(struct aub_relayed *relay);

/* Starts to send the request to `upstream` under the grant `ticket`. */
struct aub_upstream_attempt *aub_attempt_start(struct aub_request *request,
					       guint64 ticket,
					       const char *upstream,
					       const char *address);
void aub_attempt_write_body(struct aub_upstream_attempt *attempt,
			    const char *data, gsize length);
void aub_attempt_end_body(struct aub_upstream_attempt *attempt);
/* The gateway that relays the attempt; NULL: none, or it is gone. Borrowed. */
struct aub_peer *aub_attempt_relay(const struct aub_upstream_attempt *attempt);

/* The result of an attempt, as far as the request is concerned. */
enum aub_grant_result aub_attempt_classify(
	const struct aub_upstream_attempt *attempt,
	enum aub_exchange_result end);
/* Feeds the end into what is known of the ways to the upstream. */
void aub_attempt_observe_path(const struct aub_upstream_attempt *attempt,
			      enum aub_exchange_result end);
/* Returns whether nothing of the request has reached the upstream. */
bool aub_attempt_was_not_sent(const struct aub_upstream_attempt *attempt,
			      enum aub_exchange_result end);
/* Returns whether `end` says nothing of the upstream. */
bool aub_attempt_is_own_failure(const struct aub_upstream_attempt *attempt,
				enum aub_exchange_result end);
/* Aborts the attempt, reports `end` to the placer and frees the attempt. */
void aub_attempt_abort(struct aub_upstream_attempt *attempt,
		       enum aub_grant_result end);
void aub_attempt_free(struct aub_upstream_attempt *attempt);

/*
 * Starts to read requests from `fd`, which is owned by the new connection.
 * `is_peer`: of another gateway, which asks to relay them.
 */
void aub_caller_new(struct aub_gateway *gateway, int fd, guint header_bytes,
		    bool is_peer);
/* Frees the connection; its requests end as if the caller had closed it. */
void aub_caller_free(struct aub_caller *caller);
bool aub_caller_has_timed_out(const struct aub_caller *caller, gint64 now_us);
bool aub_caller_is_idle(const struct aub_caller *caller);
/* Shuts the connection down gracefully; nothing more is read from it. */
void aub_caller_shutdown(struct aub_caller *caller);
/*
 * Called when the first request has been answered and freed; proceeds with the
 * next one.
 */
void aub_caller_on_first_finished(struct aub_caller *caller);
/* Resets the connection, so that a truncated answer doesn't look complete. */
void aub_caller_abort(struct aub_caller *caller);

/* What is left out of the headers that are forwarded. */
enum aub_headers_kind {
	AUB_HEADERS_OF_ANSWER,
	AUB_HEADERS_OF_REQUEST, /* what the gateway sets itself */
	/* also the API key, and any statement of a workspace */
	AUB_HEADERS_OF_KEYED_REQUEST
};
/* Appends the headers of `head` that are forwarded. */
void aub_headers_forward(GString *out, const struct aub_http_head *head,
			 const struct aub_platform *platform,
			 enum aub_headers_kind kind);

/*
 * Sets the workspace of the request's caller by its API key. Returns why the
 * caller may not use the route, or NULL if it may.
 */
const char *aub_request_find_workspace(struct aub_request *request,
				       const struct aub_http_head *head);
/*
 * Returns the rank of the request: by its workspace's priority, or that of the
 * route if there is no workspace, and then by that of the route.
 */
guint aub_request_priority(const struct aub_request *request);
/* Returns false if `text` is NULL or not a decimal number below 2^31. */
bool aub_header_parse_number(const char *text, gint64 *value);

/* Counts a finished request in the metrics. */
void aub_gateway_count_request(struct aub_gateway *gateway, const char *service,
			       enum aub_request_outcome outcome,
			       const char *reason, gint64 elapsed_us);

/* Counts a finished request in the metrics and logs it. */
void aub_request_log(const struct aub_request *request,
		     enum aub_request_outcome outcome, guint status,
		     const char *reason, const char *detail);

G_END_DECLS

#endif

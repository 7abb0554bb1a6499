/*
 * HTTP client for upstreams and the platform's store. Each request is one
 * exchange, over a pooled or a new connection.
 *
 * The client never retries. AUB_EXCHANGE_UNREACHABLE guarantees that no byte
 * of the request was sent.
 */
#ifndef AUBURNSTILE_INTERNAL_HTTP_CLIENT_H
#define AUBURNSTILE_INTERNAL_HTTP_CLIENT_H

#include <auburnstile/internal/http_stream.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct aub_http_client;
struct aub_exchange;

enum aub_exchange_result {
	AUB_EXCHANGE_COMPLETE, /* the response is complete */
	AUB_EXCHANGE_UNREACHABLE, /* no byte of the request was sent */
	AUB_EXCHANGE_CONNECTION_LOST, /* closed or malformed response */
	AUB_EXCHANGE_TIMEOUT /* aub_http_call only */
};

struct aub_exchange_callbacks {
	/*
	 * Called with the head of a response. If the callee calls
	 * aub_exchange_discard_response(), the exchange waits for another
	 * response.
	 */
	void (*head)(const struct aub_http_head *head, void *context);
	void (*body)(const char *data, gsize length, void *context);
	/* Called when the output buffer has been sent; may be NULL. */
	void (*drained)(void *context);
	/* Last callback. The exchange is freed when it returns. */
	void (*ended)(enum aub_exchange_result result, void *context);
};

struct aub_exchange_options {
	const char *address; /* "ip:port" */
	const char *pool_name; /* connections are pooled by address and name */
	gint64 idle_max_us; /* of a pooled connection; 0: use a new one */
	bool is_head; /* the response has no body */
	bool patient; /* the peer may pause while it reads a long body */
};

/*
 * Returns how long, in us, the peer asks not to be called: Retry-After (RFC
 * 9110, 10.2.3) of an answer with status 503, in seconds. 0 if there is none or
 * it is in another notation; longer times than an hour count as one hour.
 */
gint64 aub_http_head_retry_after_us(const struct aub_http_head *head);

struct aub_http_client *aub_http_client_new(struct aub_poller *poller,
					    struct aub_timer_service *timers);
void aub_http_client_free(struct aub_http_client *client);
/*
 * Sets the local IP of new connections; "" or NULL leaves the choice to the
 * kernel.
 */
void aub_http_client_set_source(struct aub_http_client *client, const char *ip);

/*
 * Closes pooled connections that have been idle for too long. Must be called
 * periodically.
 */
void aub_http_client_close_expired(struct aub_http_client *client,
				   gint64 now_us);

struct aub_timer_service *aub_http_client_timers(
	const struct aub_http_client *client);

/* Returns the number of connections opened since the start, for metrics. */
guint64 aub_http_client_connections_opened(
	const struct aub_http_client *client);

/* Starts an exchange. No callback is called before the function returns. */
struct aub_exchange *aub_exchange_new(
	struct aub_http_client *client,
	const struct aub_exchange_options *options,
	const struct aub_exchange_callbacks *callbacks, void *context);
void aub_exchange_write(struct aub_exchange *exchange, const void *data,
			gsize length);
void aub_exchange_flush(struct aub_exchange *exchange);
/*
 * Marks the request as completely written, so that the connection may be
 * pooled after the response.
 */
void aub_exchange_mark_request_complete(struct aub_exchange *exchange);
gsize aub_exchange_queued_bytes(const struct aub_exchange *exchange);
/* Returns true if part of the request may have reached the peer. */
bool aub_exchange_may_have_sent(const struct aub_exchange *exchange);
/* Returns true if its connection has carried an earlier exchange. */
bool aub_exchange_is_reused(const struct aub_exchange *exchange);
/*
 * Discards the response whose head has just been reported, because it belongs
 * to another request.
 */
void aub_exchange_discard_response(struct aub_exchange *exchange);
void aub_exchange_pause_reading(struct aub_exchange *exchange, bool paused);
/* Closes the connection and frees the exchange. No callback follows. */
void aub_exchange_cancel(struct aub_exchange *exchange);

/*
 * A small request with its complete response in memory. `head` is NULL unless
 * `result` is AUB_EXCHANGE_COMPLETE. All arguments are valid only during the
 * callback. The handle is valid until the callback.
 */
typedef void aub_http_call_callback(enum aub_exchange_result result,
				    const struct aub_http_head *head,
				    const char *body, gsize length,
				    void *context);
/* The answer to a health check says what it has to say in its head. */
#define AUB_HEALTH_BODY_MAX_BYTES (16u << 10)

struct aub_http_call_options {
	const char *method; /* "GET" */
	const char *address;
	const char *pool_name;
	const char *path;
	const char *headers; /* further lines, each with its end; NULL: none */
	GBytes *body; /* NULL for none */
	const char *content_type; /* of the body */
	guint timeout_ms;
	gint64 idle_max_us;
	/* of the response; a larger one fails the call; 0: 8 MiB */
	gsize body_max_bytes;
};
struct aub_http_call;
struct aub_http_call *aub_http_call_new(
	struct aub_http_client *client,
	const struct aub_http_call_options *options,
	aub_http_call_callback *ended, void *context);
void aub_http_call_cancel(struct aub_http_call *call);

G_END_DECLS

#endif

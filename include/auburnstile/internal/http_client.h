/*
 * Requests to upstreams and to the platform's store: one exchange a request,
 * over a kept connection or a new one.
 *
 * Never sends anything twice. What an exchange's end says of the request is
 * certain: UNREACHABLE means that not a byte of it left.
 */
#ifndef AUBURNSTILE_INTERNAL_HTTP_CLIENT_H
#define AUBURNSTILE_INTERNAL_HTTP_CLIENT_H

#include <auburnstile/internal/http_stream.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct aub_http_client;
struct aub_exchange;

enum aub_exchange_result {
	AUB_EXCHANGE_COMPLETE, /* the answer is complete */
	AUB_EXCHANGE_UNREACHABLE, /* nothing was sent */
	AUB_EXCHANGE_CONNECTION_LOST, /* the connection broke, or bytes made no
					 sense */
	AUB_EXCHANGE_TIMEOUT /* only of aub_http_call() */
};

struct aub_exchange_callbacks {
	/* An answer's head. aub_exchange_discard_response() waits for another
	 * one. */
	void (*head)(const struct aub_http_head *head, void *context);
	void (*body)(const char *data, gsize length, void *context);
	/* What was written has left; may be NULL. */
	void (*drained)(void *context);
	/* Last callback; the exchange is gone when it returns. */
	void (*ended)(enum aub_exchange_result result, void *context);
};

struct aub_exchange_options {
	const char *address; /* "ip:port" */
	const char
		*pool_name; /* connections are kept by address and this; "" */
	gint64 idle_max_us; /* oldest kept connection to use; 0: a new one */
	bool is_head; /* the request is HEAD */
};

struct aub_http_client *aub_http_client_new(struct aub_poller *poller,
					    struct aub_timer_service *timers);
void aub_http_client_free(struct aub_http_client *client);

/* Close kept connections that are idle for too long. Call now and then. */
void aub_http_client_close_expired(struct aub_http_client *client,
				   gint64 now_us);

struct aub_timer_service *aub_http_client_timers(
	const struct aub_http_client *client);

/* Connections opened since the start, for metrics. */
guint64 aub_http_client_connections_opened(
	const struct aub_http_client *client);

/* Never calls back before it has returned. */
struct aub_exchange *aub_exchange_new(
	struct aub_http_client *client,
	const struct aub_exchange_options *options,
	const struct aub_exchange_callbacks *callbacks, void *context);
void aub_exchange_write(struct aub_exchange *exchange, const void *data,
			gsize length);
void aub_exchange_flush(struct aub_exchange *exchange);
/* The whole request is written: the connection may be kept after it. */
void aub_exchange_request_done(struct aub_exchange *exchange);
gsize aub_exchange_queued_bytes(const struct aub_exchange *exchange);
/* Some of the request may have reached the peer. */
bool aub_exchange_may_have_sent(const struct aub_exchange *exchange);
/* The head just told belongs to another request: drop that answer. */
void aub_exchange_discard_response(struct aub_exchange *exchange);
void aub_exchange_pause_reading(struct aub_exchange *exchange, bool paused);
/* Close the connection; no callback follows. */
void aub_exchange_cancel(struct aub_exchange *exchange);

/*
 * A whole small call. `head` is NULL unless `end` is WHOLE; all borrowed.
 * The handle is valid until the callback.
 */
typedef void aub_http_call_callback(enum aub_exchange_result result,
				    const struct aub_http_head *head,
				    const char *body, gsize length,
				    void *context);
struct aub_http_call_options {
	const char *method; /* "GET" */
	const char *address;
	const char *pool_name;
	const char *path;
	GBytes *body; /* NULL for none */
	const char *content_type; /* of the body */
	guint timeout_ms;
	gint64 idle_max_us;
};
struct aub_http_call;
struct aub_http_call *aub_http_call_new(
	struct aub_http_client *client,
	const struct aub_http_call_options *options,
	aub_http_call_callback *ended, void *context);
void aub_http_call_cancel(struct aub_http_call *call);

G_END_DECLS

#endif

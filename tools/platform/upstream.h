/*
 * A stand-in upstream that speaks the protocol of the platform and runs in the
 * process that uses it. Its behaviour for the next requests can be set; what it
 * executed is recorded.
 */
#ifndef TOOLS_PLATFORM_UPSTREAM_H
#define TOOLS_PLATFORM_UPSTREAM_H

#include <auburnstile/internal/http_stream.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

struct platform_upstream;

enum platform_answer {
	PLATFORM_ANSWER_COMPLETE,
	PLATFORM_ANSWER_CHUNKED,
	/* Without a length; the body ends with the connection. */
	PLATFORM_ANSWER_UNFRAMED,
	/* The connection closes before Content-Length bytes. */
	PLATFORM_ANSWER_TRUNCATED,
	/* Executed; the connection is reset without a response. */
	PLATFORM_ANSWER_RESET,
	PLATFORM_ANSWER_NONE, /* executed; no response is sent */
	PLATFORM_ANSWER_GARBAGE, /* bytes that are not an HTTP response */
	PLATFORM_ANSWER_DUPLICATED, /* the response, then a second one */
	/* The response of another request, then its own. */
	PLATFORM_ANSWER_MISMATCHED_FIRST,
	PLATFORM_ANSWER_UNSTAMPED, /* 200 without the Response-Stamp header */
	PLATFORM_ANSWER_FAILED, /* 500, executed */
	PLATFORM_ANSWER_OVERLOADED, /* 503, not executed */
	PLATFORM_ANSWER_MISDIRECTED, /* 421, not executed */
	/* 400 before the body has been read; the connection stays open. */
	PLATFORM_ANSWER_EARLY_ERROR,
	/* 503 without a Request-Id, not executed */
	PLATFORM_ANSWER_UNIDENTIFIED_REFUSAL,
	/*
	 * The same as additional bytes after an earlier answer on the
	 * connection, if there was one; then the request's own answer.
	 */
	PLATFORM_ANSWER_STRAY_REFUSAL_FIRST,
};

struct platform_upstream *platform_upstream_new(
	struct aub_poller *poller, struct aub_timer_service *timers,
	const char *id);
void platform_upstream_free(struct platform_upstream *upstream);

const char *platform_upstream_address(const struct platform_upstream *upstream);
const char *platform_upstream_id(const struct platform_upstream *upstream);

/* Sets the answer to all requests from now on. */
void platform_upstream_set_answer(struct platform_upstream *upstream,
				  enum platform_answer answer);
/*
 * Sets the load that refusals state, in the header's form; NULL: none. Copies
 * the text.
 */
void platform_upstream_set_refusal_load(struct platform_upstream *upstream,
					const char *load);
/* Sets the answer to the next request only. */
void platform_upstream_set_next_answer(struct platform_upstream *upstream,
				       enum platform_answer answer);
/* Sets how long each request executes. */
void platform_upstream_set_service_time(struct platform_upstream *upstream,
					guint ms);
/* Sets the size of the body of each response. */
void platform_upstream_set_body_bytes(struct platform_upstream *upstream,
				      gsize bytes);
/* Sets Warmup-Remaining-Ms in the answers to probes; 0 omits the header. */
void platform_upstream_set_warmup(struct platform_upstream *upstream, guint ms);
/*
 * Sets Server-Limit in the answers to requests, and with `in_probes` also in
 * those to probes. The text is sent as it is; NULL omits the header.
 */
void platform_upstream_set_limit(struct platform_upstream *upstream,
				 const char *text, bool in_probes);
/*
 * Sets Server-Leaving in the answers to requests. The text is sent as it is;
 * NULL omits the header.
 */
void platform_upstream_set_leaving(struct platform_upstream *upstream,
				   const char *text);
/*
 * Sets Retry-After in answers with 503. The text is sent as it is; NULL omits
 * the header.
 */
void platform_upstream_set_retry_after(struct platform_upstream *upstream,
				       const char *text);
/*
 * Answers all requests, or with `in_probes` all probes, with `start` and then
 * `unit` over and over until the client closes the connection. "$ID" in
 * `start` stands for the Request-Id, "$UPSTREAM" for the upstream's id. Copies
 * the texts; NULL ends it. An empty unit leaves the connection silent.
 */
void platform_upstream_set_endless(struct platform_upstream *upstream,
				   const char *start, const char *unit,
				   bool in_probes);
/* Returns the number of bytes that were written without end. */
guint64 platform_upstream_endless_bytes(
	const struct platform_upstream *upstream);
/* Returns the number of connections that are open. */
guint platform_upstream_open_connections(
	const struct platform_upstream *upstream);
/*
 * Closes all connections and refuses new ones, as after a crash, or accepts
 * connections again.
 */
void platform_upstream_set_down(struct platform_upstream *upstream, bool down);

/* How an upstream and the gateways at one IP are cut off from each other. */
enum platform_partition {
	PLATFORM_PARTITION_NONE,
	/* Open connections are reset, and new ones as soon as they open. */
	PLATFORM_PARTITION_RESET,
	/* Nothing is read or sent until the partition ends. */
	PLATFORM_PARTITION_SILENT,
	/* Open connections live on; new ones are reset. */
	PLATFORM_PARTITION_REFUSE_NEW
};
/* Applies to connections from the IP `source`, open and new. */
void platform_upstream_partition(struct platform_upstream *upstream,
				 const char *source,
				 enum platform_partition partition);

/*
 * Set callbacks that are called with the Request-Id whenever a request starts
 * to execute, arrives whether it will be executed or not, or is answered.
 */
typedef void platform_upstream_run_callback(const char *id, void *context);
void platform_upstream_set_run_callback(
	struct platform_upstream *upstream,
	platform_upstream_run_callback *callback, void *context);

void platform_upstream_set_arrival_callback(
	struct platform_upstream *upstream,
	platform_upstream_run_callback *callback, void *context);
typedef void platform_upstream_answer_callback(const char *id, guint status,
					       void *context);
void platform_upstream_set_answer_callback(
	struct platform_upstream *upstream,
	platform_upstream_answer_callback *callback, void *context);

/* Returns the number of requests that arrived, executed or not. */
guint platform_upstream_arrivals(const struct platform_upstream *upstream);
/*
 * Return the number of requests that started to execute, and of those whose
 * connection closed before their answer.
 */
guint platform_upstream_runs(const struct platform_upstream *upstream);
guint platform_upstream_cancelled(const struct platform_upstream *upstream);
/* Return the number of probes received, and of connections accepted. */
guint platform_upstream_probes(const struct platform_upstream *upstream);
guint platform_upstream_connections(const struct platform_upstream *upstream);
/* Returns the largest number of bytes read of one request body. */
guint64 platform_upstream_body_bytes_read(
	const struct platform_upstream *upstream);
/*
 * Returns the value of a header of the last request, borrowed, or NULL if it is
 * absent.
 */
const char *platform_upstream_header(const struct platform_upstream *upstream,
				     const char *name);

G_END_DECLS

#endif

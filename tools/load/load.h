/*
 * Load generator: open-loop arrivals of requests from a number of callers.
 * Every response is validated.
 *
 * A caller queries an entry for the addresses to use, caches the answer for as
 * long as it is valid, and sends its requests there. It retries a request that
 * was not executed after the delay given in the response. It retries a request
 * that was lost or whose outcome is unknown with the same key, alternately
 * through the same entry and another one. The final outcome of each request is
 * recorded, to be compared with what the upstreams executed.
 */
#ifndef TOOL_LOAD_H
#define TOOL_LOAD_H

#include <auburnstile/timer.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct load_service {
	const char *name;
	const char *path; /* of its requests; "?n=NONCE" is appended */
	guint weight; /* relative share of the arrivals */
	bool keyed; /* POST with an idempotency key; otherwise GET */
};

struct load_options {
	const char *const *entries; /* "ip:port", NULL at the end */
	const struct load_service *services;
	guint service_count;
	double rate; /* mean arrivals per second */
	guint requests; /* number of requests; 0: limited by `seconds` only */
	double seconds;
	guint connections; /* maximum from one caller to one entry; 0: 128 */
	/* Number of callers, each with its own addresses; 0: 1. */
	guint callers;
	guint deadline_ms; /* of a request, including its retries */
	guint attempt_timeout_ms; /* of one attempt; 0: until the deadline */
	bool retry; /* false: the first response is final */
	guint body_bytes; /* minimum size of the body of a keyed request */
	guint32 seed; /* of the arrival times and the choice of services */
	const char *prefix; /* of the nonces; NULL: "" */
	/*
	 * Returns the address to connect to for an entry's address, to put a
	 * proxy in between; the result is borrowed. NULL: connect to the
	 * address itself.
	 */
	const char *(*connect_address)(const char *address, void *context);
	void *connect_context;
};

/* The final outcome of a request. */
enum load_outcome {
	LOAD_PENDING, /* not finished yet */
	LOAD_RUN, /* executed */
	LOAD_NOT_RUN, /* not executed */
	LOAD_UNKNOWN, /* may have been executed */
	LOAD_ERROR, /* no definite outcome before its deadline */
	/* The response is incomplete, corrupt or of another request. */
	LOAD_INVALID,
	LOAD_OUTCOME_COUNT
};

struct load_request {
	struct load *load; /* borrowed */
	const struct load_service *service;
	struct load_caller *caller; /* borrowed */
	char *nonce; /* identifies the request in the oracle */
	char *key; /* NULL for GET and until a key is assigned */
	char *body; /* NULL for GET */
	char *entry; /* address of the current or last attempt */
	gint64 arrived_us;
	gint64 deadline_us;
	gint64 latency_us; /* from the arrival to the final outcome */
	guint attempts;
	guint connection_failures; /* connections refused or lost */
	guint unknown_answers; /* responses with the outcome "unknown" so far */
	bool maybe_executed; /* an attempt was lost or unknown */
	enum load_outcome outcome;
	guint status; /* HTTP status of the last response */
	char *reason; /* Auburnstile-Reason of the last response, or NULL */
	GCancellable *cancellable; /* of the attempt in flight */
	SoupMessage *message; /* of the attempt in flight */
	/* Timer handle: lookup deadline, attempt timeout or next retry. */
	guint timer;
	bool timed_out; /* an attempt timed out */
};

struct load;

/*
 * Creates a load without starting it. `options` is copied; the strings and
 * arrays that it points to must outlive the load.
 */
struct load *load_new(const struct load_options *options);
void load_free(struct load *load);

/* Starts the arrivals on the default main context. */
void load_start(struct load *load);
/* Stops the arrivals; requests in flight continue. */
void load_stop_arrivals(struct load *load);
/* Returns whether the arrivals have ended and every request has finished. */
bool load_done(const struct load *load);
/* Starts the load and runs the main loop until it is done. */
void load_run(struct load *load);

struct load_stats {
	guint requests;
	guint outcomes[LOAD_OUTCOME_COUNT];
	guint failed; /* outcome "run" with a status of 500 or more */
	guint retries; /* attempts beyond the first of each request */
	double p50_ms;
	double p99_ms;
	double p999_ms;
	double max_ms;
};
/*
 * Returns statistics so far; the quantiles are those of requests with the
 * outcome "run".
 */
void load_get_stats(const struct load *load, struct load_stats *stats);

/*
 * Contradictions between what the upstreams executed and the outcomes
 * reported to the callers.
 */
struct load_comparison {
	guint executed_more_than_once; /* keyed, and started more than once */
	guint false_not_run; /* outcome "not run", but started */
	/* Outcome "run" with a status below 500, but never completed. */
	guint false_run;
	guint unknown_not_started; /* outcome "unknown", but never started */
};
/*
 * Compares the outcomes with the oracle; `nonces` is the member of that name of
 * the oracle's object.
 */
void load_compare(const struct load *load, JsonObject *nonces,
		  struct load_comparison *comparison);

/*
 * Returns the result as JSON, owned by the caller: the statistics, the outcome
 * of each nonce, and samples of failures.
 */
JsonNode *load_result(const struct load *load);

const char *load_outcome_name(enum load_outcome outcome);

/*
 * Returns "OUTCOME/REASON COUNT, ..." for all responses whose outcome was not
 * "run", including those that were retried. Freed with g_free().
 */
char *load_reasons_text(const struct load *load);

/*
 * Returns descriptions (char *) of the first 10 requests that failed or got an
 * invalid response; borrowed.
 */
const GPtrArray *load_failure_samples(const struct load *load);

/* Returns all requests so far (struct load_request); borrowed. */
const GPtrArray *load_requests(const struct load *load);

G_END_DECLS

#endif

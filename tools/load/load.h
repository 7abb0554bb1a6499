/*
 * Callers' load: open-loop arrivals of requests that are checked one by one.
 *
 * A caller asks an entry which addresses to use, keeps the answer for its
 * time, sends there, and repeats: what was not run after the time it was
 * told, what was lost or unknown with the same key through the same and
 * another entry. What each request was told in the end is kept, to be
 * compared with what the upstreams really ran.
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
	const char *path; /* of its requests; the nonce is appended */
	guint weight; /* share of the arrivals */
	bool keyed; /* POST under a key; otherwise GET */
};

struct load_options {
	const char *const *entries; /* "ip:port" of some entries, NULL at end */
	const struct load_service *services;
	guint service_count;
	double rate; /* arrivals a second */
	guint requests; /* how many; 0: as many as `seconds` gives */
	double seconds;
	guint connections; /* of a caller to one entry at most */
	guint callers; /* that keep addresses of their own */
	guint deadline_ms; /* of a request, repeats included */
	guint attempt_timeout_ms; /* of one try; 0: the deadline */
	bool retry; /* false: the first thing told is final */
	guint body_bytes; /* of a keyed request */
	guint32 seed;
	const char *prefix; /* of nonces, "" by default */
	/*
	 * Where to connect instead of an entry's address, for a proxy on the
	 * way; borrowed. NULL: to the address itself.
	 */
	const char *(*connect_address)(const char *address, void *context);
	void *connect_context;
};

/* What a request was told in the end. */
enum load_outcome {
	LOAD_PENDING, /* not ended yet */
	LOAD_RUN,
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_ERROR, /* nothing definite before its deadline */
	LOAD_INVALID, /* an answer that isn't whole or isn't its own */
	LOAD_OUTCOME_COUNT
};

struct load_request {
	struct load *load; /* borrowed */
	const struct load_service *service;
	struct load_caller *caller; /* borrowed */
	char *nonce;
	char *key; /* NULL until the grant is known, and for GET */
	char *body; /* NULL for GET */
	char *entry; /* address of the current or last try */
	gint64 arrived_us;
	gint64 deadline_us;
	gint64 latency_us;
	guint attempts;
	guint connection_failures; /* tries whose connection failed */
	guint unknown_answers; /* answers of "unknown" so far */
	bool maybe_executed; /* a try was lost: it may have run */
	enum load_outcome outcome;
	guint status; /* HTTP, of the last answer */
	char *reason; /* Auburnstile-Reason of the last answer, or NULL */
	GCancellable *cancellable; /* of the try in flight */
	SoupMessage *message; /* of the try in flight */
	guint timer;
	bool timed_out;
};

struct load;

struct load *load_new(const struct load_options *options);
void load_free(struct load *load);

/* Starts arrivals on the default main context. */
void load_start(struct load *load);
/* No more arrivals; those under way go on. */
void load_stop_arrivals(struct load *load);
/* True when arrivals have ended and every request has. */
bool load_done(const struct load *load);
/* Runs the main loop until it is done. */
void load_run(struct load *load);

struct load_stats {
	guint requests;
	guint outcomes[LOAD_OUTCOME_COUNT];
	guint failed; /* run, but with a server error */
	guint retries; /* tries beyond the first */
	double p50_ms;
	double p99_ms;
	double p999_ms;
	double max_ms;
};
/* Figures of now; quantiles over the requests told "run". */
void load_get_stats(const struct load *load, struct load_stats *stats);

/* What the upstreams ran against what the callers were told. */
struct load_comparison {
	guint executed_more_than_once; /* keyed and started more than once */
	guint false_not_run; /* told "not run" and started */
	guint false_run; /* told "run" and never completed */
	guint unknown_not_started; /* told "unknown", never started */
};
/* `nonces` is the oracle's member of that name. */
void load_compare(const struct load *load, JsonObject *nonces,
		  struct load_comparison *comparison);

/* Result as JSON: the figures, what each nonce was told, samples of wrong. */
JsonNode *load_result(const struct load *load);

const char *load_outcome_name(enum load_outcome outcome);

/* "REASON COUNT, ..." of what was not "run", tries included; g_free(). */
char *load_reasons_text(const struct load *load);

/* What was wrong or unanswered, of char *, the first few; borrowed. */
const GPtrArray *load_failure_samples(const struct load *load);

/* All requests so far, of struct load_request; borrowed. */
const GPtrArray *load_requests(const struct load *load);

G_END_DECLS

#endif

/*
 * A stand-in upstream: slots, a queue, cold starts, faults, and a record of
 * what was executed. Many of them run in one process.
 *
 * The record is the oracle of the proofs: it is counted here, where the work is
 * done, and never taken from what the load balancer reports.
 */
#ifndef TOOL_UPSTREAM_H
#define TOOL_UPSTREAM_H

#include "common/tool.h"

G_BEGIN_DECLS

struct upstream_options {
	const char *host;
	guint16 port;
	guint slots; /* requests it executes concurrently */
	guint cold_slots; /* maximum running and queued while cold */
	guint connections; /* maximum of open ones; further ones are reset */
	guint cold_ms; /* how long it stays cold after a start */
	double cold_factor; /* factor of the service time while cold */
	guint fall_ms; /* how long it refuses connections after a crash */
	double mean_us; /* mean of the lognormal service time */
	double sigma; /* standard deviation of its logarithm */
	guint connect_us; /* added to the first request of a connection */
	guint probe_us; /* time that a probe takes */
	guint body_bytes; /* minimum size of a response */
	bool shed; /* refuse requests beyond the slots instead of queueing */
};

/*
 * Faults of responses. Each has a counter of how many requests it is to affect,
 * which counts down; -1 means all.
 */
enum upstream_fault {
	UPSTREAM_FAULT_FAIL_FAST, /* 500 immediately, not executed */
	UPSTREAM_FAULT_TRUNCATE, /* closes before Content-Length is reached */
	UPSTREAM_FAULT_WRONG_LENGTH, /* sends more than Content-Length */
	UPSTREAM_FAULT_RESET_MIDDLE, /* RST after half of the body */
	UPSTREAM_FAULT_NO_ANSWER, /* executes the request and never answers */
	UPSTREAM_FAULT_LATE_ANSWER, /* answers answer_delay_ms after the end */
	UPSTREAM_FAULT_CRASH_AFTER, /* crashes at the end, without an answer */
	UPSTREAM_FAULT_SHED, /* refuses; not executed */
	UPSTREAM_FAULT_COUNT
};

/*
 * How often requests with one nonce were executed, over all upstreams of the
 * process.
 */
struct upstream_run {
	guint started;
	guint completed;
	guint cancelled;
};

/* State shared by the upstreams of one process. */
struct upstream_shared {
	GRand *random;
	GHashTable *runs; /* nonce -> struct upstream_run */
};

/*
 * Counters since the start of the process; times are those of
 * g_get_monotonic_time().
 */
struct upstream_oracle {
	guint64 requests; /* without probes */
	guint64 started;
	guint64 completed;
	guint64 cancelled;
	guint64 refused; /* not run, or over the connection limit */
	guint64 overload_crashes;
	guint64 crashes;
	guint64 connections;
	guint64 probes;
	guint64 probe_us;
	guint64 busy_us; /* slot time of work, including cancelled work */
	guint max_running;
	guint max_in_flight; /* running and queued */
	guint max_in_flight_cold; /* running and queued while cold */
	/* Last request that arrived, including refused ones. */
	gint64 last_request_us;
	gint64 last_started_us;
};

struct upstream {
	struct upstream_options options;
	struct upstream_shared *shared; /* borrowed */
	SoupServer *server; /* NULL while it refuses connections */
	guint64 boot_id;
	gint64 cold_until_us;
	bool draining;
	bool report_warm; /* reports "warm" while it is cold */
	double slow_factor; /* of the service time until slow_until_us */
	gint64 slow_until_us;
	guint answer_delay_ms; /* of UPSTREAM_FAULT_LATE_ANSWER */
	gint64 faults[UPSTREAM_FAULT_COUNT];
	/* URL called for each request, with the nonce appended, or NULL. */
	char *call_url;
	SoupSession *session; /* for these calls; created on first use */
	GPtrArray *running; /* of struct upstream_job, owned */
	/*
	 * Of struct upstream_job, owned: executed, and answered late or never.
	 * They occupy no slot.
	 */
	GPtrArray *unanswered;
	GQueue queue; /* of struct upstream_job, owned */
	GPtrArray *sockets; /* of GSocket, owned: open connections */
	guint restart_timer;
	guint crash_source;
	/* How long the pending crash makes it refuse connections. */
	guint refuse_ms;
	struct upstream_oracle oracle;
};

struct upstream_call;

/*
 * A request that is running or queued in an upstream, or waits for its delayed
 * answer.
 */
struct upstream_job {
	struct upstream *upstream; /* borrowed */
	SoupServerMessage *message; /* owned reference */
	GSource *close_watch; /* detects a close by the client */
	struct upstream_run *run; /* borrowed; NULL without a nonce */
	char *nonce;
	struct upstream_call *call; /* call in progress, or NULL */
	gint64 deadline_us; /* 0: none */
	guint timer;
	bool new_connection; /* first request of its connection */
	bool started;
	gint64 started_us;
	enum upstream_fault fault; /* UPSTREAM_FAULT_COUNT: none */
};

/*
 * Creates an upstream and starts to listen. `options` is copied. Returns NULL
 * and sets `error` on failure; the caller frees the result.
 */
struct upstream *upstream_new(const struct upstream_options *options,
			      struct upstream_shared *shared, GError **error);
void upstream_free(struct upstream *upstream);

struct upstream_shared *upstream_shared_new(guint32 seed);
void upstream_shared_free(struct upstream_shared *shared);

bool upstream_is_cold(const struct upstream *upstream);
/* Makes the upstream cold for options.cold_ms. */
void upstream_start_cold(struct upstream *upstream);

/*
 * Schedules a crash: all connections are closed, new ones are refused for
 * `refuse_ms`, and the upstream restarts cold with another boot id. Does
 * nothing if a crash or restart is pending.
 */
void upstream_crash(struct upstream *upstream, guint refuse_ms);

/*
 * Changes faults and state according to a JSON object; absent members keep
 * their values. See fault_names in upstream.c for the names of the faults.
 */
void upstream_apply_faults(struct upstream *upstream, JsonObject *body);

/* Appends the counters to `builder` as a JSON object. */
void upstream_build_stats(struct upstream *upstream, JsonBuilder *builder);

/*
 * Calls another service for an executed job. upstream_call_done() answers and
 * ends the job; `status` is the call's HTTP status.
 */
void upstream_call(struct upstream_job *job);
void upstream_call_done(struct upstream_job *job, guint status);
/* Cancels the call of a job that is freed. */
void upstream_call_cancel(struct upstream_job *job);

/* Sends the response of an executed job, altered by its fault. */
void upstream_answer(struct upstream_job *job);
/* Answers 503 with X-Not-Run; `reason` is the body. */
void upstream_refuse(struct upstream *upstream, SoupServerMessage *message,
		     const char *reason);
/* Adds the headers with the boot id and the cold, warm or draining state. */
void upstream_add_state(struct upstream *upstream, SoupServerMessage *message);

G_END_DECLS

#endif

/*
 * One stand-in upstream: slots, a queue, cold starts, faults, and a record
 * of what really ran. Many of them live in one process.
 *
 * The record is the oracle of the proofs: it is counted here, where work is
 * done, and never taken from what the system says of itself.
 */
#ifndef TOOL_UPSTREAM_H
#define TOOL_UPSTREAM_H

#include "common/tool.h"

G_BEGIN_DECLS

struct upstream_options {
	const char *host;
	guint16 port;
	guint slots; /* requests it runs at once */
	guint cold_slots; /* requests it bears at once while cold */
	guint connections; /* most open at once; more are reset */
	guint cold_ms; /* how long it stays cold */
	double cold_factor; /* service time is longer by this while cold */
	guint fall_ms; /* refuses connections so long after falling over */
	double mean_us; /* of the lognormal service time */
	double sigma; /* of its logarithm */
	guint connect_us; /* added to the first request of a connection */
	guint probe_us; /* time a probe takes */
	guint body_bytes; /* of an answer, at least */
	bool shed; /* beyond the slots: refuse instead of queueing */
};

/* Faults that spoil answers. Counts run down; -1 means always. */
enum upstream_fault {
	UPSTREAM_FAULT_FAIL_FAST, /* 500 at once */
	UPSTREAM_FAULT_TRUNCATE, /* closes before Content-Length is reached */
	UPSTREAM_FAULT_WRONG_LENGTH, /* sends more than Content-Length */
	UPSTREAM_FAULT_RESET_MIDDLE, /* RST after half of the body */
	UPSTREAM_FAULT_NO_ANSWER, /* runs it and never answers */
	UPSTREAM_FAULT_LATE_ANSWER, /* answers answer_delay_ms after the end */
	UPSTREAM_FAULT_CRASH_AFTER, /* runs it to the end and dies unanswered */
	UPSTREAM_FAULT_SHED, /* refuses, not run */
	UPSTREAM_FAULT_COUNT
};

/* How often each nonce really ran, over all upstreams of a process. */
struct upstream_run {
	guint started;
	guint completed;
	guint cancelled;
};

/* What upstreams of one process share. */
struct upstream_shared {
	GRand *random;
	GHashTable *runs; /* nonce -> struct upstream_run */
};

/* Plain counts since the start; times are g_get_monotonic_time(). */
struct upstream_oracle {
	guint64 requests; /* probes excepted */
	guint64 started;
	guint64 completed;
	guint64 cancelled;
	guint64 refused; /* told "not run" */
	guint64 overload_crashes;
	guint64 crashes;
	guint64 connections;
	guint64 probes;
	guint64 probe_us;
	guint64 busy_us; /* slots spent on work, cancelled work too */
	guint max_running;
	guint max_in_flight; /* running and queued */
	guint max_in_flight_cold; /* inside while cold */
	gint64 last_request_us; /* last new request, refused ones included */
	gint64 last_started_us;
};

struct upstream {
	struct upstream_options options;
	struct upstream_shared *shared; /* borrowed */
	SoupServer *server; /* NULL while it refuses connections */
	guint64 boot_id;
	gint64 cold_until_us;
	bool draining;
	bool report_warm; /* says "warm" while cold */
	double slow_factor;
	gint64 slow_until_us;
	guint answer_delay_ms;
	gint64 faults[UPSTREAM_FAULT_COUNT];
	char *call_url; /* URL called for each request, or NULL; nonce appended
			 */
	SoupSession *session; /* for that; made when first needed */
	GPtrArray *running; /* of struct upstream_job, owned */
	GPtrArray *
		unanswered; /* of struct upstream_job, owned: served, waiting */
	GQueue queue; /* of struct upstream_job, owned */
	GPtrArray *sockets; /* of GSocket: open connections, owned */
	guint restart_timer;
	guint crash_source;
	guint refuse_ms; /* of the crash that is due */
	struct upstream_oracle oracle;
};

struct upstream_call;

/* One request inside an upstream. */
struct upstream_job {
	struct upstream *upstream; /* borrowed */
	SoupServerMessage *message; /* owned reference */
	GSource *close_watch; /* sees the other end close */
	struct upstream_run *run; /* borrowed; NULL without a nonce */
	char *nonce;
	struct upstream_call *call; /* under way, or NULL */
	gint64 deadline_us; /* 0: none */
	guint timer;
	bool new_connection;
	bool started;
	gint64 started_us;
	enum upstream_fault fault; /* UPSTREAM_FAULT_COUNT: none */
};

/* Owned by the caller; listens at once. `options` is copied. */
struct upstream *upstream_new(const struct upstream_options *options,
			      struct upstream_shared *shared, GError **error);
void upstream_free(struct upstream *upstream);

struct upstream_shared *upstream_shared_new(guint32 seed);
void upstream_shared_free(struct upstream_shared *shared);

bool upstream_is_cold(const struct upstream *upstream);
void upstream_start_cold(struct upstream *upstream);

/*
 * Soon: drop all connections, refuse new ones for `refuse_ms`, come back
 * cold with another boot id.
 */
void upstream_crash(struct upstream *upstream, guint refuse_ms);

/* Change faults and state as a JSON object says (names as in the enums). */
void upstream_apply_faults(struct upstream *upstream, JsonObject *body);

/* Its figures as a JSON object, appended to `builder`. */
void upstream_build_stats(struct upstream *upstream, JsonBuilder *builder);

/* Call another service for a served job; upstream_call_done() ends it. */
void upstream_call(struct upstream_job *job);
void upstream_call_done(struct upstream_job *job, guint status);
void upstream_call_cancel(struct upstream_job *job);

/* Send the answer of a finished job, spoiled by its fault. */
void upstream_answer(struct upstream_job *job);
void upstream_refuse(struct upstream *upstream, SoupServerMessage *message,
		     const char *reason);
void upstream_add_state(struct upstream *upstream, SoupServerMessage *message);

G_END_DECLS

#endif

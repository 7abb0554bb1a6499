/*
 * A stand-in upstream of the platform, in the process that uses it. What it
 * does with the next requests is scripted; what it ran is recorded.
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
	PLATFORM_ANSWER_UNFRAMED, /* ends with the connection */
	PLATFORM_ANSWER_TRUNCATED, /* ends before its announced length */
	PLATFORM_ANSWER_RESET, /* runs, then resets the connection */
	PLATFORM_ANSWER_NONE, /* runs and says nothing */
	PLATFORM_ANSWER_GARBAGE, /* bytes that are no answer */
	PLATFORM_ANSWER_DUPLICATED, /* a second answer after the first */
	PLATFORM_ANSWER_MISMATCHED_FIRST, /* another request's, then its own */
	PLATFORM_ANSWER_UNSTAMPED, /* success without the upstream's mark */
	PLATFORM_ANSWER_FAILED, /* 500, run */
	PLATFORM_ANSWER_OVERLOADED, /* 503, not run */
	PLATFORM_ANSWER_MISDIRECTED, /* 421, not run */
	PLATFORM_ANSWER_EARLY_ERROR, /* 400 before the body is in; keeps on */
};

struct platform_upstream *platform_upstream_new(
	struct aub_poller *poller, struct aub_timer_service *timers,
	const char *id);
void platform_upstream_free(struct platform_upstream *upstream);

const char *platform_upstream_address(const struct platform_upstream *upstream);
const char *platform_upstream_id(const struct platform_upstream *upstream);

/* All answers from now on. */
void platform_upstream_set_answer(struct platform_upstream *upstream,
				  enum platform_answer answer);
/* Only the next one; then as set. */
void platform_upstream_set_next_answer(struct platform_upstream *upstream,
				       enum platform_answer answer);
void platform_upstream_set_service_time(struct platform_upstream *upstream,
					guint ms);
void platform_upstream_set_body_bytes(struct platform_upstream *upstream,
				      gsize bytes);
void platform_upstream_set_warmup(struct platform_upstream *upstream, guint ms);
/* Refuse connections, as after a crash; or take them again. */
void platform_upstream_set_down(struct platform_upstream *upstream, bool down);

/* Called for each request that it begins to run. */
typedef void platform_upstream_run_callback(const char *id, void *context);
void platform_upstream_set_run_callback(
	struct platform_upstream *upstream,
	platform_upstream_run_callback *callback, void *context);

/* Requests that it began to run, and those whose connection closed on it. */
guint platform_upstream_runs(const struct platform_upstream *upstream);
guint platform_upstream_cancelled(const struct platform_upstream *upstream);
guint platform_upstream_probes(const struct platform_upstream *upstream);
guint platform_upstream_connections(const struct platform_upstream *upstream);
/* Most bytes of a body that it has read. */
guint64 platform_upstream_body_bytes_read(
	const struct platform_upstream *upstream);
/* Value of a header of the last request; borrowed; NULL if it had none. */
const char *platform_upstream_header(const struct platform_upstream *upstream,
				     const char *name);

G_END_DECLS

#endif

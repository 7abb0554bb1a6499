/*
 * Traces one request through the log lines of any number of processes.
 *
 * All lines are passed in twice: first to collect the lines of the request
 * itself, then to collect other events of the upstreams and gateways involved
 * shortly before or during the request. Memory is bounded by the size of the
 * trace, not of the logs. This module opens no files.
 */
#ifndef AUBURNSTILE_INTERNAL_REQUEST_TRACE_H
#define AUBURNSTILE_INTERNAL_REQUEST_TRACE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_request_trace;

/*
 * Creates a trace. `id` is the request id as the caller sent it; it is copied.
 * Owned by the caller.
 */
struct aub_request_trace *aub_request_trace_new(const char *id);
void aub_request_trace_free(struct aub_request_trace *trace);

/*
 * Adds a line if it belongs to the request; any text before the first brace is
 * ignored. Returns false if it is not a line of a log (invalid, of another
 * program, or truncated).
 */
bool aub_request_trace_add_line(struct aub_request_trace *trace,
				const char *line);

/*
 * Second pass: adds a line if it is about an upstream, gateway or service of
 * the trace.
 */
void aub_request_trace_add_context_line(struct aub_request_trace *trace,
					const char *line);

/* Returns the number of lines of the request itself. */
guint aub_request_trace_size(const struct aub_request_trace *trace);

/*
 * Returns the trace in order of time, equal times of one process in causal
 * order, with one event per line. Free with g_free().
 */
char *aub_request_trace_text(struct aub_request_trace *trace);

G_END_DECLS

#endif

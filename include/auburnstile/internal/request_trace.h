/*
 * The story of one request, from the log lines of any number of processes.
 *
 * Lines are given twice: first to find the request's own, then for what else
 * happened to the upstreams and gateways in it shortly before. Memory is
 * bounded by the story, not by the logs. No files here.
 */
#ifndef AUBURNSTILE_INTERNAL_LOG_STORY_H
#define AUBURNSTILE_INTERNAL_LOG_STORY_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_request_trace;

/* `id` as the caller sent it; copied. Owned by the caller. */
struct aub_request_trace *aub_request_trace_new(const char *id);
void aub_request_trace_free(struct aub_request_trace *trace);

/*
 * Take a line in; what stands before its first brace is ignored. False where
 * it is no line of a log (broken, foreign or cut off).
 */
bool aub_request_trace_add_line(struct aub_request_trace *trace, const char *line);

/* The second reading: lines about what is in the story by now. */
void aub_request_trace_add_context_line(struct aub_request_trace *trace, const char *line);

/* Lines of the request itself. */
guint aub_request_trace_size(const struct aub_request_trace *trace);

/* The story in causal order, a line each; g_free. */
char *aub_request_trace_text(struct aub_request_trace *trace);

G_END_DECLS

#endif

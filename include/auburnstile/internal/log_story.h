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

struct aub_log_story;

/* `id` as the caller sent it; copied. Owned by the caller. */
struct aub_log_story *aub_log_story_new(const char *id);
void aub_log_story_free(struct aub_log_story *story);

/*
 * Take a line in; what stands before its first brace is ignored. False where
 * it is no line of a log (broken, foreign or cut off).
 */
bool aub_log_story_take(struct aub_log_story *story, const char *line);

/* The second reading: lines about what is in the story by now. */
void aub_log_story_take_context(struct aub_log_story *story, const char *line);

/* Lines of the request itself. */
guint aub_log_story_size(const struct aub_log_story *story);

/* The story in causal order, a line each; g_free. */
char *aub_log_story_text(struct aub_log_story *story);

G_END_DECLS

#endif

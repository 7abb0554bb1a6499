/*
 * Requests that bring upstreams down, by fingerprint.
 *
 * A request may crash each upstream that begins to run it, and come again at
 * any gateway. Gateways tell each other of losses; after the third one in a
 * row without an answer the request is refused.
 */
#ifndef AUBURNSTILE_INTERNAL_CRASH_MARKS_H
#define AUBURNSTILE_INTERNAL_CRASH_MARKS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct aub_crash_marks;

struct aub_crash_marks *aub_crash_marks_new(void);
void aub_crash_marks_free(struct aub_crash_marks *marks);

/* Of what makes two requests the same one. Never 0. */
guint64 aub_crash_fingerprint(const char *line, const char *host,
			      const guint8 *body, gsize length);

/* An upstream was lost while it ran the request; returns how many by now. */
guint aub_crash_marks_lost(struct aub_crash_marks *marks, guint64 fingerprint,
			   gint64 now_us);
/* Another gateway counts `deaths`; the higher number holds. */
void aub_crash_marks_learn(struct aub_crash_marks *marks, guint64 fingerprint,
			   guint deaths, gint64 now_us);
/* It was answered: it does not crash upstreams. */
void aub_crash_marks_answered(struct aub_crash_marks *marks,
			      guint64 fingerprint);
bool aub_crash_marks_refuse(const struct aub_crash_marks *marks,
			    guint64 fingerprint, gint64 now_us);

G_END_DECLS

#endif

/*
 * How long a service's requests usually take, by kind: those with one target
 * are taken for one kind, since operators set it by what the work takes.
 */
#ifndef AUBURNSTILE_INTERNAL_WORK_TIMES_H
#define AUBURNSTILE_INTERNAL_WORK_TIMES_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_WORK_KINDS 16 /* of one service; the least used gives way */

struct aub_work_kind {
	guint target_ms; /* 0: none */
	double usual_ms; /* mean */
	double answers; /* behind it */
};

struct aub_work_times {
	struct aub_work_kind kinds[AUB_WORK_KINDS];
};

/* Usual time of work of requests with `target_ms`, ms; above 0. */
double aub_work_times_usual(const struct aub_work_times *times,
			    guint target_ms);

/*
 * Is the kind known so well, and is it so much work, that its answers tell how
 * fast an upstream is?
 */
bool aub_work_times_is_telling(const struct aub_work_times *times,
			       guint target_ms);

/* One took `ms`, with all that is known to have slowed it divided out. */
void aub_work_times_observe(struct aub_work_times *times, guint target_ms,
			    double ms);

G_END_DECLS

#endif

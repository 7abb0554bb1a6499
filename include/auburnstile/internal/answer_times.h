/*
 * How long a route's requests take until they are answered, as an upper
 * estimate: the longest of the recent ones, with a margin.
 */
#ifndef AUBURNSTILE_INTERNAL_ANSWER_TIMES_H
#define AUBURNSTILE_INTERNAL_ANSWER_TIMES_H

#include <glib.h>

G_BEGIN_DECLS

#define AUB_ANSWER_TIME_WINDOWS 2 /* the current one, then the previous one */

struct aub_answer_times {
	gint64 window_start_us; /* of the current window; 0: no samples yet */
	guint counts[AUB_ANSWER_TIME_WINDOWS];
	gint64 longest_us[AUB_ANSWER_TIME_WINDOWS];
};

/* Records a request that ended `elapsed_us` after its head was read. */
void aub_answer_times_observe(struct aub_answer_times *times, gint64 elapsed_us,
			      gint64 now_us);

/*
 * Returns the time within which a new request is expected to be answered, in
 * us; 0 if there are too few recent samples.
 */
gint64 aub_answer_times_bound_us(const struct aub_answer_times *times,
				 gint64 now_us);

G_END_DECLS

#endif

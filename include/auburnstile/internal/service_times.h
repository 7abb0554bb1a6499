/*
 * The baseline service times of a service's requests, by class. Requests with
 * the same latency target form a class, since operators set targets by how
 * much work a request is.
 */
#ifndef AUBURNSTILE_INTERNAL_SERVICE_TIMES_H
#define AUBURNSTILE_INTERNAL_SERVICE_TIMES_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Of one service; the class with the fewest samples is replaced. */
#define AUB_SERVICE_TIME_CLASSES 16

struct aub_service_time_class {
	guint target_ms; /* 0: not in use */
	double mean_ms;
	double samples; /* in the mean, including those of the prior */
};

struct aub_service_times {
	struct aub_service_time_class classes[AUB_SERVICE_TIME_CLASSES];
};

/*
 * Returns the mean service time of requests with `target_ms`, in ms; above 0.
 */
double aub_service_times_mean_ms(const struct aub_service_times *times,
				 guint target_ms);

/*
 * Returns whether the class has enough samples and takes long enough for its
 * responses to show how fast an upstream is.
 */
bool aub_service_times_is_informative(const struct aub_service_times *times,
				      guint target_ms);

/*
 * Records a service time of `ms`, with all known slowdowns divided out.
 */
void aub_service_times_observe(struct aub_service_times *times, guint target_ms,
			       double ms);

G_END_DECLS

#endif

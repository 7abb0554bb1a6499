/*
 * Mean service times by class. A prior keeps the first samples from dominating,
 * so that one that fell into an interference burst does not make all later ones
 * look fast.
 */
#include <auburnstile/internal/service_times.h>

#define PRIOR_TARGET_SHARE 0.35 /* prior mean, as a share of the target */
#define PRIOR_SAMPLES 2.0
#define SAMPLES_MAX 50.0
#define OUTLIER_RATIO 3.0 /* longer times are capped at this x mean */
#define SERVICE_TIME_MIN_MS 0.1

#define INFORMATIVE_SAMPLES 8.0
/* Below this share of the target, a request is hardly any work. */
#define INFORMATIVE_TARGET_SHARE 0.05

static const struct aub_service_time_class *find_class(
	const struct aub_service_times *times, guint target_ms)
{
	for (guint i = 0; i < AUB_SERVICE_TIME_CLASSES; i++)
		if (times->classes[i].target_ms == target_ms)
			return &times->classes[i];
	return NULL;
}

static double prior_ms(guint target_ms)
{
	return MAX(PRIOR_TARGET_SHARE * target_ms, SERVICE_TIME_MIN_MS);
}

double aub_service_times_mean_ms(const struct aub_service_times *times,
				 guint target_ms)
{
	const struct aub_service_time_class *time_class =
		target_ms ? find_class(times, target_ms) : NULL;

	return time_class ? MAX(time_class->mean_ms, SERVICE_TIME_MIN_MS) :
			    prior_ms(target_ms);
}

static struct aub_service_time_class *find_or_add_class(
	struct aub_service_times *times, guint target_ms)
{
	struct aub_service_time_class *least_used = &times->classes[0];

	for (guint i = 0; i < AUB_SERVICE_TIME_CLASSES; i++) {
		struct aub_service_time_class *time_class = &times->classes[i];

		if (time_class->target_ms == target_ms)
			return time_class;
		if (time_class->samples < least_used->samples)
			least_used = time_class;
	}
	*least_used = (struct aub_service_time_class){
		.target_ms = target_ms,
		.mean_ms = prior_ms(target_ms),
		.samples = PRIOR_SAMPLES,
	};
	return least_used;
}

bool aub_service_times_is_informative(const struct aub_service_times *times,
				      guint target_ms)
{
	const struct aub_service_time_class *time_class =
		target_ms ? find_class(times, target_ms) : NULL;

	return time_class &&
	       time_class->samples >= PRIOR_SAMPLES + INFORMATIVE_SAMPLES &&
	       time_class->mean_ms > INFORMATIVE_TARGET_SHARE * target_ms;
}

void aub_service_times_observe(struct aub_service_times *times, guint target_ms,
			       double ms)
{
	struct aub_service_time_class *time_class;

	if (!target_ms || ms <= 0)
		return;
	time_class = find_or_add_class(times, target_ms);
	ms = MIN(ms,
		 OUTLIER_RATIO * MAX(time_class->mean_ms, SERVICE_TIME_MIN_MS));
	time_class->samples = MIN(time_class->samples + 1, SAMPLES_MAX);
	time_class->mean_ms += (ms - time_class->mean_ms) / time_class->samples;
}

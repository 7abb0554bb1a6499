/*
 * Mean slowdowns by utilization bucket.
 *
 * A bucket with few samples stays close to its prior, and returns to it when it
 * gets no more samples, so that a utilization that was given up is tried again.
 */
#include <auburnstile/internal/saturation.h>

/* The prior: no slowdown up to four fifths, then a linear rise to 1.7. */
#define PRIOR_SATURATION_SHARE 0.8
#define PRIOR_FULL_SLOWDOWN 1.7
#define PRIOR_SAMPLES 10.0

#define SAMPLES_MAX 200.0
/* A bucket loses this share of its samples for each sample of any bucket. */
#define DECAY_PER_SAMPLE 0.0005
/*
 * Slowdowns are capped at this multiple of the bucket's mean: more is due to an
 * interference burst.
 */
#define OUTLIER_RATIO 2.0

static guint bucket_of(guint running, guint slots)
{
	guint bucket =
		(running * AUB_SATURATION_BUCKETS + slots / 2) / MAX(slots, 1);

	return CLAMP(bucket, 1, AUB_SATURATION_BUCKETS);
}

static double prior_slowdown(guint bucket)
{
	double share = (double)bucket / AUB_SATURATION_BUCKETS;
	double excess =
		(share - PRIOR_SATURATION_SHARE) / (1 - PRIOR_SATURATION_SHARE);

	return excess <= 0 ? 1.0 : 1.0 + (PRIOR_FULL_SLOWDOWN - 1) * excess;
}

/* Returns the mean slowdown at upstreams that are at most half utilized. */
static double light_load_mean(const struct aub_saturation *saturation)
{
	double sum = PRIOR_SAMPLES;
	double samples = PRIOR_SAMPLES;

	for (guint bucket = 1; bucket <= AUB_SATURATION_HALF_BUCKET; bucket++) {
		sum += saturation->slowdown[bucket] *
		       saturation->samples[bucket];
		samples += saturation->samples[bucket];
	}
	return sum / samples;
}

static double bucket_slowdown(const struct aub_saturation *saturation,
			      guint bucket)
{
	double samples = saturation->samples[bucket];

	return (PRIOR_SAMPLES * prior_slowdown(bucket) +
		samples * saturation->slowdown[bucket] /
			light_load_mean(saturation)) /
	       (PRIOR_SAMPLES + samples);
}

static guint last_observed(const struct aub_saturation *saturation)
{
	guint bucket = AUB_SATURATION_BUCKETS;

	while (bucket && saturation->samples[bucket] <= 0)
		bucket--;
	return bucket;
}

/*
 * Higher utilization never gives a lower slowdown. A bucket that no number of
 * slots maps to takes the value of the one before.
 */
static void update_smoothed(struct aub_saturation *saturation)
{
	guint last = last_observed(saturation);
	double smoothed_slowdown = 1.0;

	for (guint bucket = 1; bucket <= AUB_SATURATION_BUCKETS; bucket++) {
		if (bucket > last || saturation->samples[bucket] > 0)
			smoothed_slowdown =
				MAX(smoothed_slowdown,
				    bucket_slowdown(saturation, bucket));
		saturation->smoothed_slowdown[bucket] = smoothed_slowdown;
	}
}

void aub_saturation_init(struct aub_saturation *saturation)
{
	*saturation = (struct aub_saturation){ 0 };
	update_smoothed(saturation);
}

void aub_saturation_observe(struct aub_saturation *saturation, guint running,
			    guint slots, double slowdown)
{
	guint bucket = bucket_of(running, slots);

	if (slowdown <= 0)
		return;
	for (guint i = 1; i <= AUB_SATURATION_BUCKETS; i++)
		saturation->samples[i] *= 1 - DECAY_PER_SAMPLE;
	if (saturation->samples[bucket] > 0)
		slowdown = MIN(slowdown,
			       OUTLIER_RATIO * saturation->slowdown[bucket]);
	saturation->samples[bucket] =
		MIN(saturation->samples[bucket] + 1, SAMPLES_MAX);
	saturation->slowdown[bucket] +=
		(slowdown - saturation->slowdown[bucket]) /
		saturation->samples[bucket];
	update_smoothed(saturation);
}

bool aub_saturation_is_lightly_loaded(guint running, guint slots)
{
	return bucket_of(running, slots) <= AUB_SATURATION_HALF_BUCKET;
}

double aub_saturation_slowdown(const struct aub_saturation *saturation,
			       guint running, guint slots)
{
	return saturation->smoothed_slowdown[bucket_of(running, slots)];
}

/*
 * If a load spike filled every slot, each upstream would slow down and complete
 * less than arrives, even after the spike, and all responses would be late for
 * the rest of the day. The concurrency with the highest throughput is therefore
 * never exceeded, so that a backlog drains as fast as possible.
 */
guint aub_saturation_limit(const struct aub_saturation *saturation, guint slots)
{
	double best_rate = 0;
	guint best = 1;

	for (guint concurrency = 1; concurrency <= slots; concurrency++) {
		double rate =
			concurrency /
			aub_saturation_slowdown(saturation, concurrency, slots);

		if (rate <= best_rate)
			continue;
		best_rate = rate;
		best = concurrency;
	}
	return best;
}

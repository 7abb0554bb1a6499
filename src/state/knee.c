/*
 * Means by step. One that few answers stand behind is held by its prior, and
 * returns to it when no more come: a step that was given up is tried again.
 */
#include <auburnstile/internal/knee.h>

/* Before answers have come: nothing up to four fifths, then up to 1.7. */
#define PRIOR_AT 0.8
#define PRIOR_FACTOR 1.7
#define PRIOR_ANSWERS 10.0

#define MEMORY_ANSWERS 200.0
#define FORGET 0.0005 /* of a step's answers, for each answer at another */
#define OUTLIER 2.0 /* times the step's mean: a neighbour's burst */

static guint step_of(guint running, guint slots)
{
	guint step = (running * AUB_KNEE_STEPS + slots / 2) / MAX(slots, 1);

	return CLAMP(step, 1, AUB_KNEE_STEPS);
}

static double prior(guint step)
{
	double share = (double)step / AUB_KNEE_STEPS;
	double past = (share - PRIOR_AT) / (1 - PRIOR_AT);

	return past <= 0 ? 1.0 : 1.0 + (PRIOR_FACTOR - 1) * past;
}

/* The mean time at upstreams that are at most half full. */
static double base(const struct aub_knee *knee)
{
	double sum = PRIOR_ANSWERS;
	double weight = PRIOR_ANSWERS;

	for (guint step = 1; step <= AUB_KNEE_HALF; step++) {
		sum += knee->time[step] * knee->weight[step];
		weight += knee->weight[step];
	}
	return sum / weight;
}

static double step_factor(const struct aub_knee *knee, guint step)
{
	double weight = knee->weight[step];

	return (PRIOR_ANSWERS * prior(step) +
		weight * knee->time[step] / base(knee)) /
	       (PRIOR_ANSWERS + weight);
}

static guint last_observed(const struct aub_knee *knee)
{
	guint step = AUB_KNEE_STEPS;

	while (step && knee->weight[step] <= 0)
		step--;
	return step;
}

/*
 * A fuller upstream is no faster than a less full one. Steps between those
 * that its slots make are like the one before.
 */
static void update(struct aub_knee *knee)
{
	guint last = last_observed(knee);
	double factor = 1.0;

	for (guint step = 1; step <= AUB_KNEE_STEPS; step++) {
		if (step > last || knee->weight[step] > 0)
			factor = MAX(factor, step_factor(knee, step));
		knee->factor[step] = factor;
	}
}

void aub_knee_init(struct aub_knee *knee)
{
	*knee = (struct aub_knee){ 0 };
	update(knee);
}

void aub_knee_observe(struct aub_knee *knee, guint running, guint slots,
		      double time)
{
	guint step = step_of(running, slots);

	if (time <= 0)
		return;
	for (guint i = 1; i <= AUB_KNEE_STEPS; i++)
		knee->weight[i] *= 1 - FORGET;
	if (knee->weight[step] > 0)
		time = MIN(time, OUTLIER * knee->time[step]);
	knee->weight[step] = MIN(knee->weight[step] + 1, MEMORY_ANSWERS);
	knee->time[step] += (time - knee->time[step]) / knee->weight[step];
	update(knee);
}

bool aub_knee_is_below(guint running, guint slots)
{
	return step_of(running, slots) <= AUB_KNEE_HALF;
}

double aub_knee_factor(const struct aub_knee *knee, guint running, guint slots)
{
	return knee->factor[step_of(running, slots)];
}

/*
 * Failure: a burst fills every slot, each upstream slows down, and less is
 * done than arrives even after the burst. Symptom: every answer is late for
 * the rest of the day. Enough: the number with the most answers a second is
 * never passed, so that a backlog drains as fast as it can.
 */
guint aub_knee_limit(const struct aub_knee *knee, guint slots)
{
	double most = 0;
	guint best = 1;

	for (guint n = 1; n <= slots; n++) {
		double rate = n / aub_knee_factor(knee, n, slots);

		if (rate <= most)
			continue;
		most = rate;
		best = n;
	}
	return best;
}

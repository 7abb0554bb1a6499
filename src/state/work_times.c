/*
 * Means by kind. The first answers are held by a prior, so that one that met a
 * neighbour's burst doesn't make all later ones look fast.
 */
#include <auburnstile/internal/work_times.h>

#define PRIOR_SHARE 0.35 /* of the target */
#define PRIOR_ANSWERS 2.0
#define MEMORY_ANSWERS 50.0
#define OUTLIER 3.0 /* times the usual */
#define LEAST_MS 0.1

#define TELLING_ANSWERS 8.0
#define TELLING_SHARE 0.05 /* of the target: below, it is hardly work */

static const struct aub_work_kind *find(const struct aub_work_times *times,
					guint target_ms)
{
	for (guint i = 0; i < AUB_WORK_KINDS; i++)
		if (times->kinds[i].target_ms == target_ms)
			return &times->kinds[i];
	return NULL;
}

static double prior_ms(guint target_ms)
{
	return MAX(PRIOR_SHARE * target_ms, LEAST_MS);
}

double aub_work_times_usual(const struct aub_work_times *times, guint target_ms)
{
	const struct aub_work_kind *kind =
		target_ms ? find(times, target_ms) : NULL;

	return kind ? MAX(kind->usual_ms, LEAST_MS) : prior_ms(target_ms);
}

static struct aub_work_kind *find_or_add(struct aub_work_times *times,
					 guint target_ms)
{
	struct aub_work_kind *least = &times->kinds[0];

	for (guint i = 0; i < AUB_WORK_KINDS; i++) {
		struct aub_work_kind *kind = &times->kinds[i];

		if (kind->target_ms == target_ms)
			return kind;
		if (kind->answers < least->answers)
			least = kind;
	}
	*least = (struct aub_work_kind){
		.target_ms = target_ms,
		.usual_ms = prior_ms(target_ms),
		.answers = PRIOR_ANSWERS,
	};
	return least;
}

bool aub_work_times_is_telling(const struct aub_work_times *times,
			       guint target_ms)
{
	const struct aub_work_kind *kind =
		target_ms ? find(times, target_ms) : NULL;

	return kind && kind->answers >= PRIOR_ANSWERS + TELLING_ANSWERS &&
	       kind->usual_ms > TELLING_SHARE * target_ms;
}

void aub_work_times_observe(struct aub_work_times *times, guint target_ms,
			    double ms)
{
	struct aub_work_kind *kind;

	if (!target_ms || ms <= 0)
		return;
	kind = find_or_add(times, target_ms);
	ms = MIN(ms, OUTLIER * MAX(kind->usual_ms, LEAST_MS));
	kind->answers = MIN(kind->answers + 1, MEMORY_ANSWERS);
	kind->usual_ms += (ms - kind->usual_ms) / kind->answers;
}

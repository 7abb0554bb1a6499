/* The longest recent answer times, in a window and the one before it. */
#include <auburnstile/internal/answer_times.h>

#include <auburnstile/timer.h>

#define WINDOW_US (60 * AUB_SECOND)

/* With fewer samples the longest one says little about the next request. */
#define SAMPLES_MIN 8

/* An upstream that slows down may take longer than all recent requests did. */
#define BOUND_FACTOR 2

static void rotate_windows(struct aub_answer_times *times, gint64 now_us)
{
	gint64 age_us = now_us - times->window_start_us;

	if (times->window_start_us && age_us < WINDOW_US)
		return;
	times->counts[1] = age_us < 2 * WINDOW_US ? times->counts[0] : 0;
	times->longest_us[1] =
		age_us < 2 * WINDOW_US ? times->longest_us[0] : 0;
	times->counts[0] = 0;
	times->longest_us[0] = 0;
	times->window_start_us = now_us;
}

void aub_answer_times_observe(struct aub_answer_times *times, gint64 elapsed_us,
			      gint64 now_us)
{
	rotate_windows(times, now_us);
	times->counts[0]++;
	times->longest_us[0] = MAX(times->longest_us[0], elapsed_us);
}

gint64 aub_answer_times_bound_us(const struct aub_answer_times *times,
				 gint64 now_us)
{
	struct aub_answer_times current = *times;

	rotate_windows(&current, now_us);
	if (current.counts[0] + current.counts[1] < SAMPLES_MIN)
		return 0;
	return BOUND_FACTOR * MAX(current.longest_us[0], current.longest_us[1]);
}

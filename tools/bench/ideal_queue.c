/*
 * Simulates an ideal FIFO queue in front of all slots. No policy without hedged
 * requests can have a lower latency.
 */
#include "bench/bench.h"

#include <math.h>

/* The simulation is repeated with new service times; the median p99 is used. */
#define SERVICE_TIME_DRAWS 5

static int compare_times(const void *a, const void *b)
{
	gint64 x = *(const gint64 *)a;
	gint64 y = *(const gint64 *)b;

	return (x > y) - (x < y);
}

double bench_quantile_ms(GArray *times, double share)
{
	guint index;

	if (!times->len)
		return 0;
	g_array_sort(times, compare_times);
	index = MIN((guint)(share * times->len), times->len - 1);
	return (double)g_array_index(times, gint64, index) / 1000.0;
}

static double draw_standard_normal(GRand *random)
{
	double uniform = 1.0 - g_rand_double(random);

	return sqrt(-2 * log(uniform)) * cos(2 * G_PI * g_rand_double(random));
}

static double draw_service_time_us(const struct bench_params *params,
				   GRand *random, const GArray *slow,
				   guint upstream, gint64 now_us)
{
	double mu = log(params->shape->mean_us) -
		    BENCH_SERVICE_TIME_SIGMA * BENCH_SERVICE_TIME_SIGMA / 2;
	double duration_us = exp(mu + BENCH_SERVICE_TIME_SIGMA *
					      draw_standard_normal(random));

	for (guint i = 0; i < slow->len; i++) {
		const struct bench_slow_phase *phase =
			&g_array_index(slow, struct bench_slow_phase, i);

		if (phase->upstream == upstream && now_us >= phase->start_us &&
		    now_us < phase->end_us)
			return duration_us * BENCH_SLOW_FACTOR;
	}
	return duration_us;
}

/* Returns the index of the slot that becomes free first. */
static guint earliest_free_slot(const gint64 *free_us, guint slots)
{
	guint earliest = 0;

	for (guint i = 1; i < slots; i++)
		if (free_us[i] < free_us[earliest])
			earliest = i;
	return earliest;
}

static double simulate_p99_ms(const struct bench_params *params,
			      const GArray *arrivals, const GArray *slow,
			      guint seed)
{
	guint slots = params->shape->upstreams * params->shape->slots;
	gint64 *free_us = g_new0(gint64, slots);
	GArray *times = g_array_new(FALSE, FALSE, sizeof(gint64));
	GRand *random = g_rand_new_with_seed(seed);
	double result;

	for (guint i = 0; i < arrivals->len; i++) {
		gint64 arrived = g_array_index(arrivals, gint64, i);
		guint slot = earliest_free_slot(free_us, slots);
		gint64 start = MAX(free_us[slot], arrived);
		gint64 duration_us;

		if (start - arrived > BENCH_DEADLINE_MS * AUB_MS)
			continue;
		free_us[slot] =
			start + (gint64)draw_service_time_us(
					params, random, slow,
					slot / params->shape->slots, start);
		duration_us = free_us[slot] - arrived;
		g_array_append_val(times, duration_us);
	}
	result = bench_quantile_ms(times, 0.99);
	g_rand_free(random);
	g_array_unref(times);
	g_free(free_us);
	return result;
}

double bench_limit_p99_ms(const struct bench_params *params,
			  const GArray *arrivals, const GArray *slow)
{
	GArray *draws = g_array_new(FALSE, FALSE, sizeof(gint64));
	double result;

	for (guint i = 0; i < SERVICE_TIME_DRAWS; i++) {
		gint64 us = (gint64)(1000 * simulate_p99_ms(params, arrivals,
							    slow, i + 1));

		g_array_append_val(draws, us);
	}
	result = bench_quantile_ms(draws, 0.5);
	g_array_unref(draws);
	return result;
}

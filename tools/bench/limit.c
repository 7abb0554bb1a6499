/* One perfect queue over all slots: what no policy without hedges betters. */
#include "bench/bench.h"

#include <math.h>

#define DRAWS 5 /* of service times; their median counts */

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

static double normal(GRand *random)
{
	double u = 1.0 - g_rand_double(random);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(random));
}

static double service_us(const struct bench_case *what, GRand *random,
			 const GArray *slow, guint upstream, gint64 now_us)
{
	double mu = log(what->shape->mean_us) - BENCH_SIGMA * BENCH_SIGMA / 2;
	double took = exp(mu + BENCH_SIGMA * normal(random));

	for (guint i = 0; i < slow->len; i++) {
		const struct bench_slow *phase =
			&g_array_index(slow, struct bench_slow, i);

		if (phase->upstream == upstream && now_us >= phase->from_us &&
		    now_us < phase->to_us)
			return took * BENCH_SLOW_FACTOR;
	}
	return took;
}

/* The slot that is free first. */
static guint first_free(const gint64 *free_us, guint slots)
{
	guint best = 0;

	for (guint i = 1; i < slots; i++)
		if (free_us[i] < free_us[best])
			best = i;
	return best;
}

static double draw_ms(const struct bench_case *what, const GArray *arrivals,
		      const GArray *slow, guint seed)
{
	guint slots = what->shape->upstreams * what->shape->slots;
	gint64 *free_us = g_new0(gint64, slots);
	GArray *times = g_array_new(FALSE, FALSE, sizeof(gint64));
	GRand *random = g_rand_new_with_seed(seed);
	double result;

	for (guint i = 0; i < arrivals->len; i++) {
		gint64 arrived = g_array_index(arrivals, gint64, i);
		guint slot = first_free(free_us, slots);
		gint64 start = MAX(free_us[slot], arrived);
		gint64 took;

		if (start - arrived > BENCH_DEADLINE_MS * AUB_MS)
			continue;
		free_us[slot] =
			start + (gint64)service_us(what, random, slow,
						   slot / what->shape->slots,
						   start);
		took = free_us[slot] - arrived;
		g_array_append_val(times, took);
	}
	result = bench_quantile_ms(times, 0.99);
	g_rand_free(random);
	g_array_unref(times);
	g_free(free_us);
	return result;
}

double bench_limit_ms(const struct bench_case *what, const GArray *arrivals,
		      const GArray *slow)
{
	GArray *draws = g_array_new(FALSE, FALSE, sizeof(gint64));
	double result;

	for (guint i = 0; i < DRAWS; i++) {
		gint64 us =
			(gint64)(1000 * draw_ms(what, arrivals, slow, i + 1));

		g_array_append_val(draws, us);
	}
	result = bench_quantile_ms(draws, 0.5);
	g_array_unref(draws);
	return result;
}

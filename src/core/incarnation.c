/*
 * Incarnations from the wall clock and random bits.
 */
#include <auburnstile/incarnation.h>

#define RANDOM_BITS 20

guint64 aub_incarnation_new(void)
{
	guint64 started_ms = (guint64)g_get_real_time() / 1000;
	guint32 random = g_random_int() & ((1u << RANDOM_BITS) - 1);

	return started_ms << RANDOM_BITS | random;
}

/* The core layer: errors carry step and peer; timers fire and are ended. */
#include <gtest/gtest.h>

#include <auburnstile/error.h>
#include <auburnstile/timer.h>

TEST(Error, CarriesStepAndPeerThroughCopies)
{
	GError *error = NULL;

	aub_error_set(&error, AUB_ERROR_TIMEOUT, "read hello", "127.0.0.1:9",
		      "nothing came in %d ms", 5);
	GError *copy = g_error_copy(error);
	g_error_free(error);
	EXPECT_STREQ(copy->message,
		     "read hello: 127.0.0.1:9: nothing came in 5 ms");
	EXPECT_STREQ(aub_error_step(copy), "read hello");
	EXPECT_STREQ(aub_error_peer(copy), "127.0.0.1:9");
	EXPECT_STREQ(aub_error_code_name((enum aub_error_code)copy->code),
		     "timeout");
	g_error_free(copy);
}

static void count(void *context, gint64 now_us)
{
	++*(int *)context;
}

TEST(Timer, OnceFiresOnceAndSpentHandlesAreIgnored)
{
	struct aub_timer_service *service = aub_timer_service_new(NULL);
	int once = 0;
	int every = 0;
	int never = 0;
	guint handle = aub_timer_at(service, "once", 0, count, &once);
	guint periodic = aub_timer_every(service, "every", 1, count, &every);

	aub_timer_cancel(service,
			 aub_timer_at(service, "never", 0, count, &never));
	while (every < 5)
		g_main_context_iteration(NULL, TRUE);
	aub_timer_cancel(service, handle);
	aub_timer_cancel(service, periodic);
	EXPECT_EQ(once, 1);
	EXPECT_EQ(never, 0);
	aub_timer_service_free(service);
}

/* Tests of src/core: errors, timers, the event ring and metrics. */
#include <gtest/gtest.h>

#include <auburnstile/error.h>
#include <auburnstile/event.h>
#include <auburnstile/metrics.h>
#include <auburnstile/timer.h>

#include <vector>

TEST(Error, KeepsStepAndPeerWhenCopied)
{
	GError *error = NULL;

	aub_error_set(&error, AUB_ERROR_TIMEOUT, "read hello", "127.0.0.1:9",
		      "no response within %d ms", 5);
	GError *copy = g_error_copy(error);
	g_error_free(error);
	EXPECT_STREQ(copy->message,
		     "read hello: 127.0.0.1:9: no response within 5 ms");
	EXPECT_STREQ(aub_error_step(copy), "read hello");
	EXPECT_STREQ(aub_error_peer(copy), "127.0.0.1:9");
	EXPECT_STREQ(aub_error_code_name((enum aub_error_code)copy->code),
		     "timeout");
	g_error_free(copy);
}

static void increment(void *context, gint64 now_us)
{
	++*(int *)context;
}

TEST(Timer, OneShotExpiresOnceAndCancelIgnoresExpiredHandles)
{
	struct aub_timer_service *service = aub_timer_service_new(NULL);
	int one_shot = 0;
	int periodic_count = 0;
	int cancelled = 0;
	guint handle = aub_timer_at(service, "once", 0, increment, &one_shot);
	guint periodic = aub_timer_every(service, "every", 1, increment,
					 &periodic_count);

	aub_timer_cancel(service, aub_timer_at(service, "never", 0, increment,
					       &cancelled));
	while (periodic_count < 5)
		g_main_context_iteration(NULL, TRUE);
	aub_timer_cancel(service, handle);
	aub_timer_cancel(service, periodic);
	EXPECT_EQ(one_shot, 1);
	EXPECT_EQ(cancelled, 0);
	aub_timer_service_free(service);
}

static void collect(const struct aub_event *event, void *context)
{
	((std::vector<struct aub_event> *)context)->push_back(*event);
}

TEST(EventRing, KeepsNewestEventsAndCountsOverwrittenOnes)
{
	struct aub_event_ring *ring = aub_event_ring_new(4);
	std::vector<struct aub_event> visited;

	for (int i = 1; i <= 6; i++)
		aub_event_record_simple(ring, AUB_EVENT_ARRIVED, (guint64)i, 0,
					"a-name-longer-than-the-bound-allows",
					NULL);
	aub_event_ring_visit(ring, 0, collect, &visited);
	ASSERT_EQ(visited.size(), 4u);
	EXPECT_EQ(visited[0].request, 3u);
	EXPECT_EQ(visited[3].sequence, 6u);
	EXPECT_EQ(strlen(visited[0].upstream),
		  (size_t)AUB_EVENT_NAME_BYTES - 1);
	EXPECT_EQ(aub_event_ring_overwritten(ring), 2u);
	visited.clear();
	aub_event_ring_visit(ring, 5, collect, &visited);
	EXPECT_EQ(visited.size(), 1u);
	aub_event_ring_free(ring);
}

TEST(EventType, NamesRoundTrip)
{
	for (int i = 0; i < AUB_EVENT_TYPE_COUNT; i++)
		EXPECT_EQ(aub_event_type_parse(
				  aub_event_type_name((enum aub_event_type)i)),
			  i);
	EXPECT_EQ(aub_event_type_parse("nonsense"), -1);
}

TEST(Metrics, QuantilesAreWithinThreePercent)
{
	struct aub_metrics *metrics = aub_metrics_new();
	guint handle = aub_metrics_histogram(metrics, "t_us", NULL, "T.");

	for (gint64 value = 1; value <= 100000; value++)
		aub_metrics_observe(metrics, handle, value);
	for (double q : { 0.01, 0.5, 0.9, 0.99, 0.999 }) {
		double exact = q * 100000;
		double estimate =
			(double)aub_metrics_quantile(metrics, handle, q);

		EXPECT_NEAR(estimate / exact, 1.0, 0.033) << q;
	}
	aub_metrics_observe(metrics, handle, G_MAXINT64);
	aub_metrics_observe(metrics, handle, -5);
	aub_metrics_free(metrics);
}

TEST(Metrics, EscapesLabelValues)
{
	/* Service names come from operators and may contain any character. */
	char *labels = aub_metrics_labels("service", "a\"b\\c\nd", "state",
					  (const char *)NULL, NULL);

	EXPECT_STREQ(labels, "service=\"a\\\"b\\\\c\\nd\",state=\"\"");
	g_free(labels);
}

TEST(Metrics, TextGroupsSeriesByFamily)
{
	struct aub_metrics *metrics = aub_metrics_new();
	guint a = aub_metrics_counter(metrics, "n_total", "k=\"a\"", "N.");
	guint g = aub_metrics_gauge(metrics, "g", NULL, "G.");
	guint b = aub_metrics_counter(metrics, "n_total", "k=\"b\"", "N.");

	EXPECT_EQ(aub_metrics_counter(metrics, "n_total", "k=\"a\"", "N."), a);
	aub_metrics_add(metrics, a, 2);
	aub_metrics_add(metrics, b, 3);
	aub_metrics_set(metrics, g, -1);
	char *text = aub_metrics_text(metrics);
	EXPECT_STREQ(text, "# HELP n_total N.\n# TYPE n_total counter\n"
			   "n_total{k=\"a\"} 2\nn_total{k=\"b\"} 3\n"
			   "# HELP g G.\n# TYPE g gauge\ng -1\n");
	g_free(text);
	aub_metrics_free(metrics);
}

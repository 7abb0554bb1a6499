/*
 * Upstreams whose bytes don't end: bytes that are no answer, in a head or a
 * body, until the gateway closes the connection.
 */
#include "gateway_fixture.h"

/*
 * What a probe may cost its upstream: the bound of a head, and what the buffers
 * of the sockets hold when the connection is closed.
 */
#define PROBE_BYTES_MAX (1u << 20)

#define STAMPED                                  \
	"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\n" \
	"Response-Stamp: stamp\r\n"
#define NOT_RUN "HTTP/1.1 503 X\r\nRequest-Id: $ID\r\nNot-Executed: 1\r\n"

struct EndlessBytes {
	const char *name;
	const char *start;
	const char *unit;
};

/* No answer can come of these: its head doesn't end, or it has none. */
static const struct EndlessBytes endless_heads[] = {
	{ "garbage without a line end", "", "\001garbage" },
	{ "empty lines", "", "\r\n" },
	{ "interim answers", "",
	  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" },
	{ "header fields", STAMPED, "X-A: b\r\n" },
	{ "one header field", STAMPED "X-A: ", "b" },
	{ "a reason", "HTTP/1.1 200 ", "x" },
};

/* The head of these says that the answer is not the caller's. */
static const struct EndlessBytes endless_ignored_bodies[] = {
	{ "no stamp", "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\n\r\n", "x" },
	{ "not run", NOT_RUN "\r\n", "x" },
	{ "not run, a length", NOT_RUN "Content-Length: 99999999999\r\n\r\n",
	  "x" },
	{ "not run, chunks", NOT_RUN "Transfer-Encoding: chunked\r\n\r\n",
	  "5\r\nhello\r\n" },
	{ "not run, then silence", NOT_RUN "Content-Length: 5\r\n\r\n", "" },
};

/* Answers of other requests, which are skipped. */
static const struct EndlessBytes endless_foreign_answers[] = {
	{ "another request's body",
	  "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x" },
	{ "other requests' answers", "",
	  "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
	  "Content-Length: 0\r\n\r\n" },
};

/* An answer of the caller's own that doesn't end. */
static const struct EndlessBytes endless_bodies[] = {
	{ "no length", STAMPED "\r\n", "x" },
	{ "chunks", STAMPED "Transfer-Encoding: chunked\r\n\r\n",
	  "5\r\nhello\r\n" },
	{ "a chunk extension", STAMPED "Transfer-Encoding: chunked\r\n\r\n5;",
	  "x" },
	{ "a length", STAMPED "Content-Length: 99999999999\r\n\r\n", "x" },
};

class EndlessTest : public GatewayTest
{
      protected:
	struct platform_upstream *faulty;
	struct platform_upstream *sound;

	void start()
	{
		max_attempts = 3;
		timeout_ms = 2000;
		faulty = add_upstream("faulty");
		sound = add_upstream("sound");
		configure();
		start_and_wait_until_ready();
	}
	void set_endless(const struct EndlessBytes &bytes,
			 bool in_probes = false)
	{
		platform_upstream_set_endless(faulty, bytes.start, bytes.unit,
					      in_probes);
	}
	/* Sends requests until one has reached the faulty upstream. */
	std::unique_ptr<Caller> send_to_faulty(const std::string &method,
					       const std::string &target)
	{
		guint arrivals = platform_upstream_arrivals(faulty);
		std::unique_ptr<Caller> caller;

		for (int i = 0; i < 50; i++) {
			caller = send_request(method, target, "r");
			run_until(
				[&] {
					return caller->done() ||
					       platform_upstream_arrivals(
						       faulty) > arrivals;
				},
				2000);
			if (platform_upstream_arrivals(faulty) > arrivals)
				break;
			run_for(10);
		}
		EXPECT_GT(platform_upstream_arrivals(faulty), arrivals);
		return caller;
	}
	/* Expects that the sound upstream answers, long before the request's
	 * end. */
	void expect_answer_of_other(const struct EndlessBytes &bytes)
	{
		SCOPED_TRACE(bytes.name);
		set_endless(bytes);
		auto caller = send_to_faulty("GET", "/safe/a");
		gint64 start_us = g_get_monotonic_time();
		ASSERT_TRUE(wait_for_answer(caller));
		EXPECT_EQ(caller->status, 200u);
		EXPECT_EQ(caller->body, std::string(20, 'x'));
		EXPECT_LT(g_get_monotonic_time() - start_us, 1000 * AUB_MS);
		wait_until_up();
	}
	/* Expects that a request that runs at most once fails long before its
	 * end. */
	void expect_early_failure(const struct EndlessBytes &bytes)
	{
		SCOPED_TRACE(bytes.name);
		set_endless(bytes);
		auto caller = send_to_faulty("POST", "/once/a");
		gint64 start_us = g_get_monotonic_time();
		ASSERT_TRUE(wait_for_answer(caller));
		EXPECT_EQ(caller->status, 502u);
		EXPECT_EQ(caller->answers, 1u);
		EXPECT_LT(g_get_monotonic_time() - start_us, 1000 * AUB_MS);
		wait_until_up();
	}
	/* Returns whether back pressure stops the faulty upstream. */
	bool stops_sending()
	{
		guint64 before = 0;

		for (int i = 0; i < 8; i++) {
			guint64 sent = platform_upstream_endless_bytes(faulty);

			if (sent && sent == before)
				return true;
			before = sent;
			run_for(200);
		}
		return false;
	}
	/* Waits until the faulty upstream is sound and gets requests again. */
	void wait_until_up()
	{
		guint arrivals = platform_upstream_arrivals(faulty);
		gint64 end_us = g_get_monotonic_time() + 8 * AUB_SECOND;

		platform_upstream_set_endless(faulty, NULL, NULL, false);
		while (platform_upstream_arrivals(faulty) == arrivals &&
		       g_get_monotonic_time() < end_us) {
			auto first = send_request("GET", "/safe/", "a");
			auto second = send_request("GET", "/safe/", "b");

			wait_for_answer(first);
			wait_for_answer(second);
		}
		EXPECT_GT(platform_upstream_arrivals(faulty), arrivals);
	}
};

/* Guards against a request that waits for an answer that can't come. */
TEST_F(EndlessTest, SendsRequestElsewhereWhoseAnswerHasNoEndOfHead)
{
	start();
	for (const struct EndlessBytes &bytes : endless_heads)
		expect_answer_of_other(bytes);
	for (const struct EndlessBytes &bytes : endless_foreign_answers)
		expect_answer_of_other(bytes);
}

/* Guards against a promise "not run" after bytes that are no answer. */
TEST_F(EndlessTest, PromisesNothingForRequestThatGotBytesThatAreNoAnswer)
{
	start();
	for (const struct EndlessBytes &bytes : endless_heads)
		expect_early_failure(bytes);
	for (const struct EndlessBytes &bytes : endless_foreign_answers)
		expect_early_failure(bytes);
}

/* Guards against a slot that is held by a body which nobody wants. */
TEST_F(EndlessTest, SendsRequestElsewhereWhoseAnswerIsNotForwarded)
{
	start();
	for (const struct EndlessBytes &bytes : endless_ignored_bodies)
		expect_answer_of_other(bytes);
}

/* Guards against an endless answer that looks complete, or is never ended. */
TEST_F(EndlessTest, EndsAnswerWithoutEndAtDeadline)
{
	start();
	for (const struct EndlessBytes &bytes : endless_bodies) {
		SCOPED_TRACE(bytes.name);
		set_endless(bytes);
		auto caller = send_to_faulty("POST", "/once/a");
		EXPECT_TRUE(run_until([&] { return caller->done(); }, 3500));
		/* Nothing, or a failure, or an answer that is cut off. */
		if (caller->answers)
			EXPECT_EQ(caller->status / 100, 5u);
		else
			EXPECT_TRUE(caller->truncated);
		caller.reset();
		wait_until_up();
	}
}

/* Guards against memory that grows with an answer that its caller doesn't read.
 */
TEST_F(EndlessTest, ReadsNoMoreThanItsCallerDoes)
{
	start();
	for (const struct EndlessBytes &bytes : endless_bodies) {
		SCOPED_TRACE(bytes.name);
		set_endless(bytes);
		auto caller = send_to_faulty("POST", "/once/a");
		caller->set_reading_paused(true);
		EXPECT_TRUE(stops_sending());
		caller->set_reading_paused(false);
		EXPECT_TRUE(run_until([&] { return caller->done(); }, 3500));
		if (!caller->answers)
			EXPECT_TRUE(caller->truncated);
		caller.reset();
		wait_until_up();
	}
}

/* Guards against bytes behind an answer that are taken for the next one. */
TEST_F(EndlessTest, DropsBytesBehindWholeAnswer)
{
	start();
	platform_upstream_set_endless(
		faulty, STAMPED "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", false);
	for (int i = 0; i < 5; i++) {
		auto caller = send_to_faulty("POST", "/once/a");
		ASSERT_TRUE(wait_for_answer(caller));
		EXPECT_EQ(caller->status, 200u);
		EXPECT_EQ(caller->body, "ok");
		run_for(20);
		EXPECT_EQ(caller->answers, 1u);
	}
}

/* Guards against probes that read without end, and against their answers. */
TEST_F(EndlessTest, EndsProbesWhoseAnswerHasNoEnd)
{
	static const struct EndlessBytes probes[] = {
		{ "garbage", "", "\001garbage" },
		{ "empty lines", "", "\r\n" },
		{ "interim answers", "", "HTTP/1.1 102 X\r\n\r\n" },
		{ "header fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" },
		{ "a body", "HTTP/1.1 200 OK\r\nInstance-Id: $UPSTREAM\r\n\r\n",
		  "x" },
		{ "chunks",
		  "HTTP/1.1 200 OK\r\nInstance-Id: $UPSTREAM\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n",
		  "5\r\nhello\r\n" },
		{ "a length",
		  "HTTP/1.1 200 OK\r\nInstance-Id: $UPSTREAM\r\n"
		  "Content-Length: 99999999999\r\n\r\n",
		  "x" },
	};

	start();
	for (const struct EndlessBytes &bytes : probes) {
		SCOPED_TRACE(bytes.name);
		set_endless(bytes, true);
		guint probed = platform_upstream_probes(faulty);
		guint64 bytes_before = platform_upstream_endless_bytes(faulty);
		guint connections = platform_upstream_open_connections(faulty);
		/* Requests keep the placer probing. */
		for (int i = 0; i < 20; i++) {
			auto caller = send_request("GET", "/safe/a", "r");
			ASSERT_TRUE(wait_for_answer(caller));
			EXPECT_EQ(caller->status, 200u);
			run_for(20);
		}
		EXPECT_GT(platform_upstream_probes(faulty), probed);
		EXPECT_LE(platform_upstream_open_connections(faulty),
			  connections + 2);
		EXPECT_LE(platform_upstream_endless_bytes(faulty) -
				  bytes_before,
			  (platform_upstream_probes(faulty) - probed) *
				  PROBE_BYTES_MAX);
		wait_until_up();
	}
}

/*
 * Upstreams whose bytes don't end: bytes that are no answer, in a head or a
 * body, until the gateway closes the connection.
 */
#include "faulty_upstream_fixture.h"

/*
 * What a probe may cost its upstream: the bound of a head, and what the buffers
 * of the sockets hold when the connection is closed.
 */
#define PROBE_BYTES_MAX (1u << 20)

#define NOT_RUN "HTTP/1.1 503 X\r\nRequest-Id: $ID\r\nNot-Executed: 1\r\n"

/* No answer can come of these: its head doesn't end, or it has none. */
static const struct FaultyAnswer endless_heads[] = {
	{ "garbage without a line end", "", "\001garbage" },
	{ "empty lines", "", "\r\n" },
	{ "interim answers", "",
	  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" },
	{ "header fields", STAMPED, "X-A: b\r\n" },
	{ "one header field", STAMPED "X-A: ", "b" },
	{ "a reason", "HTTP/1.1 200 ", "x" },
};

/* The head of these says that the answer is not the caller's. */
static const struct FaultyAnswer endless_ignored_bodies[] = {
	{ "no stamp", "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\n\r\n", "x" },
	{ "not run", NOT_RUN "\r\n", "x" },
	{ "not run, a length", NOT_RUN "Content-Length: 99999999999\r\n\r\n",
	  "x" },
	{ "not run, chunks", NOT_RUN "Transfer-Encoding: chunked\r\n\r\n",
	  "5\r\nhello\r\n" },
	{ "not run, then silence", NOT_RUN "Content-Length: 5\r\n\r\n", "" },
};

/* Answers of other requests, which are skipped. */
static const struct FaultyAnswer endless_foreign_answers[] = {
	{ "another request's body",
	  "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x" },
	{ "other requests' answers", "",
	  "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
	  "Content-Length: 0\r\n\r\n" },
};

/* An answer of the caller's own that doesn't end. */
static const struct FaultyAnswer endless_bodies[] = {
	{ "no length", STAMPED "\r\n", "x" },
	{ "chunks", STAMPED "Transfer-Encoding: chunked\r\n\r\n",
	  "5\r\nhello\r\n" },
	{ "a chunk extension", STAMPED "Transfer-Encoding: chunked\r\n\r\n5;",
	  "x" },
	{ "a length", STAMPED "Content-Length: 99999999999\r\n\r\n", "x" },
};

class EndlessTest : public FaultyUpstreamTest
{
      protected:
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
};

/* Guards against a request that waits for an answer that can't come. */
TEST_F(EndlessTest, SendsRequestElsewhereWhoseAnswerHasNoEndOfHead)
{
	start();
	for (const struct FaultyAnswer &bytes : endless_heads)
		expect_answer_of_other(bytes);
	for (const struct FaultyAnswer &bytes : endless_foreign_answers)
		expect_answer_of_other(bytes);
}

/* Guards against a promise "not run" after bytes that are no answer. */
TEST_F(EndlessTest, PromisesNothingForRequestThatGotBytesThatAreNoAnswer)
{
	start();
	for (const struct FaultyAnswer &bytes : endless_heads)
		expect_early_failure(bytes);
	for (const struct FaultyAnswer &bytes : endless_foreign_answers)
		expect_early_failure(bytes);
}

/* Guards against a slot that is held by a body which nobody wants. */
TEST_F(EndlessTest, SendsRequestElsewhereWhoseAnswerIsNotForwarded)
{
	start();
	for (const struct FaultyAnswer &bytes : endless_ignored_bodies)
		expect_answer_of_other(bytes);
}

/* Guards against an endless answer that looks complete, or is never ended. */
TEST_F(EndlessTest, EndsAnswerWithoutEndAtDeadline)
{
	start();
	for (const struct FaultyAnswer &bytes : endless_bodies) {
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
	for (const struct FaultyAnswer &bytes : endless_bodies) {
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
	static const struct FaultyAnswer probes[] = {
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
	for (const struct FaultyAnswer &bytes : probes) {
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

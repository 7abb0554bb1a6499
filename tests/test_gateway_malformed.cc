/*
 * Upstreams whose answers have a malformed head: a status that is none, names
 * of fields that are no tokens, an ambiguous length.
 */
#include "faulty_upstream_fixture.h"

#define OK_LENGTH "Content-Length: 2\r\n\r\nok"
#define WITH_STATUS(status)                          \
	"HTTP/1.1 " status "\r\nRequest-Id: $ID\r\n" \
	"Response-Stamp: stamp\r\n" OK_LENGTH

/* None of these is an answer (RFC 9110, 5.6.2 and 15; RFC 9112, 4 and 5). */
static const struct FaultyAnswer malformed_answers[] = {
	{ "status 000", WITH_STATUS("000 X"), "" },
	{ "status 099", WITH_STATUS("099 X"), "" },
	{ "status 600", WITH_STATUS("600 X"), "" },
	{ "status 1000", WITH_STATUS("1000 X"), "" },
	{ "a status of two digits", WITH_STATUS("20 X"), "" },
	{ "a status of four digits", WITH_STATUS("0200 OK"), "" },
	{ "a status with a letter", WITH_STATUS("2O0 OK"), "" },
	{ "a switch of protocols", WITH_STATUS("101 X"), "" },
	{ "a blank in a name", STAMPED "X A: b\r\n" OK_LENGTH, "" },
	{ "a blank before the colon", STAMPED "X-A : b\r\n" OK_LENGTH, "" },
	{ "a tab before the colon", STAMPED "X-A\t: b\r\n" OK_LENGTH, "" },
	{ "a blank before the length's colon",
	  STAMPED "Content-Length : 2\r\n\r\nok", "" },
	{ "a blank before the coding's colon",
	  STAMPED "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	  "" },
	{ "a blank before the first name",
	  "HTTP/1.1 200 OK\r\n X-A: b\r\nRequest-Id: $ID\r\n"
	  "Response-Stamp: stamp\r\n" OK_LENGTH,
	  "" },
	{ "a control byte in a name", STAMPED "X\001A: b\r\n" OK_LENGTH, "" },
	{ "a delete byte in a name", STAMPED "X\177A: b\r\n" OK_LENGTH, "" },
	{ "a separator in a name", STAMPED "X(A: b\r\n" OK_LENGTH, "" },
	{ "a name beyond ASCII", STAMPED "X\xc3\xa9: b\r\n" OK_LENGTH, "" },
	{ "no name", STAMPED ": b\r\n" OK_LENGTH, "" },
	{ "a return in a value", STAMPED "X-A: b\rc\r\n" OK_LENGTH, "" },
	{ "two lengths", STAMPED "Content-Length: 3\r\n" OK_LENGTH, "" },
	{ "a blank in a trailer's name",
	  STAMPED "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
		  "X A: b\r\n\r\n",
	  "" },
	{ "a body of an interim answer",
	  "HTTP/1.1 103 X\r\nContent-Length: 3\r\n\r\nabc" STAMPED OK_LENGTH,
	  "" },
	{ "a blank in an interim answer's name",
	  "HTTP/1.1 103 X\r\nX A: b\r\n\r\n" STAMPED OK_LENGTH, "" },
};

class MalformedTest : public FaultyUpstreamTest
{
};

/* Guards against a malformed answer that its caller gets, or waits for. */
TEST_F(MalformedTest, SendsRequestElsewhereWhoseAnswerIsMalformed)
{
	start();
	for (const struct FaultyAnswer &answer : malformed_answers)
		expect_answer_of_other(answer);
}

/* The same for a request that runs at most once. */
TEST_F(MalformedTest, FailsRequestAtOnceThatMayNotBeSentAgain)
{
	int request = 0;

	start();
	/* Different requests, as one that is lost each time is refused. */
	for (const struct FaultyAnswer &answer : malformed_answers)
		expect_early_failure(answer,
				     "/once/" + std::to_string(request++));
}

/* Guards against bytes behind an interim head that are taken for the body. */
TEST_F(MalformedTest, IgnoresLengthOfInterimAnswer)
{
	start();
	platform_upstream_set_endless(faulty,
				      "HTTP/1.1 103 X\r\nContent-Length: 9\r\n"
				      "\r\n" STAMPED OK_LENGTH,
				      "", false);
	for (int i = 0; i < 5; i++) {
		auto caller = send_to_faulty("POST", "/once/a");
		ASSERT_TRUE(wait_for_answer(caller));
		EXPECT_EQ(caller->status, 200u);
		EXPECT_EQ(caller->body, "ok");
	}
}

/* Guards against an upstream that is taken for well by a malformed answer. */
TEST_F(MalformedTest, TakesUpstreamForDownWhoseProbesAreAnsweredMalformed)
{
	start();
	set_endless({ "a blank in a name",
		      "HTTP/1.1 200 OK\r\nInstance-Id: $UPSTREAM\r\n"
		      "X A: b\r\nContent-Length: 0\r\n\r\n",
		      "" },
		    true);
	/* Requests keep the placer probing. */
	for (int i = 0; i < 40; i++) {
		ASSERT_TRUE(
			wait_for_answer(send_request("GET", "/safe/a", "r")));
		run_for(20);
	}
	guint arrivals = platform_upstream_arrivals(faulty);
	for (int i = 0; i < 10; i++)
		ASSERT_TRUE(
			wait_for_answer(send_request("GET", "/safe/a", "r")));
	EXPECT_EQ(platform_upstream_arrivals(faulty), arrivals);
}

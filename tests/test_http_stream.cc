/* Tests of HTTP streams: split input, framing, end of stream. */
#include "gateway_fixture.h"

#include <auburnstile/internal/http_client.h>

#include <sys/socket.h>

class HttpStream : public ::testing::Test
{
      protected:
	struct aub_poller *poller;
	struct aub_http_stream *stream = NULL;
	int peer = -1;
	std::string log; /* callbacks in the order of their calls */
	std::string body;

	void SetUp() override
	{
		poller = aub_poller_new();
	}
	void TearDown() override
	{
		aub_http_stream_free(stream);
		if (peer >= 0)
			close(peer);
		aub_poller_free(poller);
	}
	static void on_head(const struct aub_http_head *head, void *context)
	{
		HttpStream *self = (HttpStream *)context;
		const char *value = aub_http_head_find(head, "x-a");

		self->log += std::string("head ") +
			     (head->target ? head->target : "") + " " +
			     std::to_string(head->length) +
			     (value ? std::string(" ") + value : "") + ";";
	}
	static void on_body(const char *data, gsize length, void *context)
	{
		((HttpStream *)context)->body.append(data, length);
	}
	static void on_complete(void *context)
	{
		((HttpStream *)context)->log += "complete;";
	}
	static void on_rejected(enum aub_stream_end_reason reason,
				void *context)
	{
		((HttpStream *)context)->log +=
			reason == AUB_STREAM_HEAD_TOO_LARGE ? "large;" :
							      "refused;";
	}
	static void on_ended(enum aub_stream_end_reason reason, bool in_message,
			     void *context)
	{
		((HttpStream *)context)->log +=
			std::string(reason == AUB_STREAM_EOF   ? "eof" :
				    reason == AUB_STREAM_RESET ? "reset" :
								 "other") +
			(in_message ? " midway;" : ";");
	}
	void open(enum http_parser_type type)
	{
		int fds[2];

		ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0,
				     fds),
			  0);
		peer = fds[1];
		open_on(fds[0], type);
	}
	void open_on(int fd, enum http_parser_type type)
	{
		static const struct aub_http_callbacks callbacks = {
			.connected = NULL,
			.head = on_head,
			.body = on_body,
			.complete = on_complete,
			.drained = NULL,
			.rejected = on_rejected,
			.ended = on_ended,
		};
		stream = aub_http_stream_new(poller, fd, type, false, 200,
					     &callbacks, this);
	}
	/* Opens the stream over TCP, which unlike a socket pair can be reset.
	 */
	void open_tcp(enum http_parser_type type)
	{
		char *address = NULL;
		int listener = aub_tcp_listen_loopback(&address);
		int fd = aub_tcp_connect(address, NULL);

		g_free(address);
		ASSERT_TRUE(run_until(
			[&] {
				if (peer < 0)
					peer = aub_tcp_accept(listener);
				return peer >= 0;
			},
			1000));
		close(listener);
		open_on(fd, type);
	}
	/* Closes the other end with bytes that it has not read: a reset. */
	void reset_peer()
	{
		close(peer);
		peer = -1;
	}
	void send_and_run(const std::string &text)
	{
		ASSERT_EQ(::send(peer, text.data(), text.size(), 0),
			  (ssize_t)text.size());
		run_for(3);
	}
};

TEST_F(HttpStream, ParsesARequestSplitAtAnyByte)
{
	const std::string text = "POST /p?q HTTP/1.1\r\nX-A: one\r\n"
				 "Content-Length: 5\r\n\r\nhello";

	for (size_t size : { (size_t)1, (size_t)7, text.size() }) {
		open(HTTP_REQUEST);
		for (size_t at = 0; at < text.size(); at += size)
			send_and_run(text.substr(at, size));
		EXPECT_EQ(log, "head /p?q 5 one;complete;");
		EXPECT_EQ(body, "hello");
		log.clear();
		body.clear();
		TearDown();
		peer = -1;
		stream = NULL;
		SetUp();
	}
}

TEST_F(HttpStream, ParsesTheNextMessageOnlyAfterResume)
{
	open(HTTP_REQUEST);
	send_and_run("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
	EXPECT_EQ(log, "head /1 -1;complete;");
	aub_http_stream_resume(stream);
	EXPECT_EQ(log, "head /1 -1;complete;head /2 -1;complete;");
}

/* Guards against a connection that ends since much is sent ahead on it. */
TEST_F(HttpStream, StopsReadingWhileMuchIsUnparsed)
{
	const std::string text = "POST /1 HTTP/1.1\r\nContent-Length: 300000"
				 "\r\n\r\n" +
				 std::string(300000, 'x');
	std::string expected;
	std::string sent;
	size_t at = 0;

	open_tcp(HTTP_REQUEST);
	for (int i = 0; i < 20; i++) {
		expected += "head /1 300000;complete;";
		sent += text;
	}
	for (int i = 0; i < 2000 && log != expected; i++) {
		ssize_t count =
			::send(peer, sent.data() + at, sent.size() - at, 0);

		at += (size_t)MAX(count, 0);
		run_for(1);
		/* The owner is slow: it resumes in each tenth round. */
		if (i % 10 == 9)
			aub_http_stream_resume(stream);
	}
	EXPECT_EQ(log, expected);
	EXPECT_EQ(body.size(), 20 * 300000u);
}

/* Guards against work for a peer that has left while nothing is read. */
TEST_F(HttpStream, NoticesEndOfPeerWhileReadingIsStopped)
{
	const std::string ahead(150000, 'x');

	open_tcp(HTTP_REQUEST);
	send_and_run("GET /1 HTTP/1.1\r\n\r\n" + ahead);
	EXPECT_EQ(log, "head /1 -1;complete;");
	shutdown(peer, SHUT_WR);
	run_for(5);
	EXPECT_EQ(log, "head /1 -1;complete;eof;");
}

TEST_F(HttpStream, DiscardsTrailers)
{
	open(HTTP_REQUEST);
	send_and_run(
		"POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX-A: one\r\n"
		"\r\n3\r\nabc\r\n0\r\nX-A: two\r\n\r\n");
	EXPECT_EQ(log, "head /1 -1 one;complete;");
	EXPECT_EQ(body, "abc");
}

TEST_F(HttpStream, ResponseWithoutLengthEndsAtConnectionClose)
{
	open(HTTP_RESPONSE);
	send_and_run("HTTP/1.1 200 OK\r\n\r\nabc");
	EXPECT_EQ(log, "head  -1;");
	shutdown(peer, SHUT_WR);
	run_for(5);
	EXPECT_EQ(log, "head  -1;complete;eof;");
}

/* Guards against a truncated response that looks complete after a reset. */
TEST_F(HttpStream, ResponseWithoutLengthIsNotCompleteAfterReset)
{
	/* more than the buffers of both sockets take */
	const std::string request(16 << 20, 'r');

	for (bool sends_after_reset : { false, true }) {
		open_tcp(HTTP_RESPONSE);
		aub_http_stream_write(stream, request.data(), request.size());
		aub_http_stream_flush(stream);
		send_and_run("HTTP/1.1 200 OK\r\n\r\nabc");
		reset_peer();
		/* A send reports the reset in place of the next read. */
		if (sends_after_reset) {
			aub_http_stream_write(stream, "more", 4);
			aub_http_stream_flush(stream);
		}
		run_for(5);
		EXPECT_EQ(log, "head  -1;reset midway;");
		EXPECT_EQ(body, "abc");
		TearDown();
		log.clear();
		body.clear();
		stream = NULL;
		SetUp();
	}
}

/* Guards against a complete response that is dropped for a later reset. */
TEST_F(HttpStream, ResponseIsCompleteThatEndedBeforeReset)
{
	const std::string part(1000, 'r');

	open_tcp(HTTP_RESPONSE);
	send_and_run("HTTP/1.1 200 OK\r\n\r\nabc");
	aub_http_stream_pause_reading(stream, true);
	ASSERT_EQ(::send(peer, "def", 3, 0), 3);
	close(peer);
	peer = -1;
	/* The other end resets the connection after its end. */
	for (int i = 0; i < 2; i++) {
		aub_http_stream_write(stream, part.data(), part.size());
		aub_http_stream_flush(stream);
	}
	run_for(5);
	EXPECT_EQ(log, "head  -1;complete;eof;");
	EXPECT_EQ(body, "abcdef");
}

/* Guards against heads that mean another thing when they come in pieces. */
TEST_F(HttpStream, ParsesAResponseSplitAtAnyByte)
{
	const std::string text =
		"HTTP/1.1 100 Continue\r\n\r\n"
		"HTTP/1.1 103 X\r\nContent-Length: 4\r\nX-A: no\r\n\r\n"
		"HTTP/1.1 200 OK\r\nX-A: one\r\nX-Empty:\r\n"
		"Transfer-Encoding: chunked\r\n\r\n"
		"5\r\nhello\r\n0\r\nX-B: c\r\n\r\n";

	for (size_t size = 1; size <= text.size(); size++) {
		open(HTTP_RESPONSE);
		for (size_t at = 0; at < text.size(); at += size)
			send_and_run(text.substr(at, size));
		EXPECT_EQ(log, "head  -1 one;complete;") << size;
		EXPECT_EQ(body, "hello") << size;
		log.clear();
		body.clear();
		TearDown();
		peer = -1;
		stream = NULL;
		SetUp();
	}
}

/* Guards against a response that no standard allows and the parser accepts. */
TEST_F(HttpStream, RejectsMalformedResponseSplitAtAnyByte)
{
	static const std::string heads[] = {
		"HTTP/1.1 000 X\r\n\r\n",
		"HTTP/1.1 099 X\r\n\r\n",
		"HTTP/1.1 600 X\r\n\r\n",
		"HTTP/1.1 1000 X\r\n\r\n",
		"HTTP/1.1 0200 X\r\n\r\n",
		"HTTP/1.1 20 X\r\n\r\n",
		"HTTP/1.1 200X\r\n\r\n",
		"HTTP/1.1  200 X\r\n\r\n",
		"HTTP/1.1 101 X\r\n\r\n",
		"HTTP/1.1 200\r\nX A: b\r\n\r\n",
		"HTTP/1.1 200\r\nX-A : b\r\n\r\n",
		"HTTP/1.1 200\r\n X-A: b\r\n\r\n",
		"HTTP/1.1 200\r\nX\001A: b\r\n\r\n",
		std::string("HTTP/1.1 200\r\nX\0A: b\r\n\r\n", 24),
		"HTTP/1.1 200\r\n: b\r\n\r\n",
		std::string("HTTP/1.1 200\r\nX-A: b\0\r\n\r\n", 25),
		"HTTP/1.1 200\r\nX-A: b\rc\r\n\r\n",
		"HTTP/1.1 103 X\r\nX A: b\r\n\r\n",
		"HTTP/1.1 200\r\nContent-Length: 1\r\n"
		"Content-Length: 2\r\n\r\n",
		"HTTP/1.1 200\r\nContent-Length: 1\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
	};

	for (const std::string &text : heads)
		for (size_t size : { (size_t)1, (size_t)10, text.size() }) {
			open(HTTP_RESPONSE);
			for (size_t at = 0; at < text.size() && log.empty();
			     at += size)
				send_and_run(text.substr(at, size));
			EXPECT_EQ(log, "refused;") << text << size;
			log.clear();
			TearDown();
			peer = -1;
			stream = NULL;
			SetUp();
		}
}

TEST_F(HttpStream, ReportsTruncatedResponse)
{
	open(HTTP_RESPONSE);
	send_and_run("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
	shutdown(peer, SHUT_WR);
	run_for(5);
	EXPECT_EQ(log, "head  9;eof midway;");
}

TEST_F(HttpStream, RejectsUnsolicitedBytes)
{
	open(HTTP_RESPONSE);
	send_and_run("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
	send_and_run("HTTP/1.1 200 OK\r\n");
	EXPECT_EQ(log, "head  1;complete;other;");
}

TEST_F(HttpStream, RejectsOversizedHead)
{
	open(HTTP_REQUEST);
	send_and_run("GET / HTTP/1.1\r\nX-A: " + std::string(300, 'a') +
		     "\r\n\r\n");
	EXPECT_EQ(log, "large;");
}

TEST_F(HttpStream, HandlesRandomInputWithoutCrashing)
{
	/*
	 * Randomly modified messages must be parsed, rejected or wait for more
	 * input, without errors reported by the sanitizers.
	 */
	const std::string messages[] = {
		"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
		"POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		"5\r\nhello\r\n0\r\nA: b\r\n\r\n",
		"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
	};
	GRand *random = g_rand_new_with_seed(11);

	for (int i = 0; i < 300; i++) {
		std::string text = messages[i % 3] + messages[(i + 1) % 3];

		for (int k = 0; k < 3; k++)
			text[(size_t)g_rand_int_range(random, 0,
						      (gint)text.size())] =
				(char)g_rand_int_range(random, 0, 256);
		open(HTTP_REQUEST);
		::send(peer, text.data(), text.size(), 0);
		run_for(1);
		TearDown();
		peer = -1;
		stream = NULL;
		SetUp();
	}
	g_rand_free(random);
}

static gint64 retry_after_us(guint status, std::vector<const char *> values)
{
	struct aub_http_head head = {};

	head.status = status;
	head.headers =
		g_array_new(FALSE, FALSE, sizeof(struct aub_http_header));
	for (const char *value : values) {
		struct aub_http_header header = { "retry-after", value };

		g_array_append_val(head.headers, header);
	}
	gint64 us = aub_http_head_retry_after_us(&head);
	g_array_unref(head.headers);
	return us;
}

TEST(HttpHead, ReadsRetryAfterOfRefusals)
{
	EXPECT_EQ(retry_after_us(503, { "3" }), 3000000);
	EXPECT_EQ(retry_after_us(503, { "0.25" }), 250000);
	EXPECT_EQ(retry_after_us(200, { "3" }), 0);
	EXPECT_EQ(retry_after_us(503, {}), 0);
	EXPECT_EQ(retry_after_us(503, { "3", "4" }), 0);
	EXPECT_EQ(retry_after_us(503, { std::string(400, '9').c_str() }),
		  3600 * AUB_SECOND);
	for (const char *unreadable : { "", "soon", "-1", "1e9", "nan", "1,5",
					"3s", "Fri, 31 Dec 1999 23:59:59 GMT" })
		EXPECT_EQ(retry_after_us(503, { unreadable }), 0) << unreadable;
}

/* Tests of the decision log: it is bounded, never blocks and is valid JSON. */
#include <gtest/gtest.h>

#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/json.h>

#include <fcntl.h>
#include <string>
#include <unistd.h>

class DecisionLogTest : public ::testing::Test
{
      protected:
	int saved_stdout;
	int pipe_[2];

	void SetUp() override
	{
		fflush(stdout);
		ASSERT_EQ(pipe(pipe_), 0);
		saved_stdout = dup(STDOUT_FILENO);
		dup2(pipe_[1], STDOUT_FILENO);
		fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
		aub_decision_log_start("g1", NULL);
	}
	void TearDown() override
	{
		aub_decision_log_stop();
		dup2(saved_stdout, STDOUT_FILENO);
		close(saved_stdout);
		close(pipe_[0]);
		close(pipe_[1]);
	}
	std::string drain()
	{
		std::string text;
		char data[65536];
		ssize_t got;

		while ((got = read(pipe_[0], data, sizeof(data))) > 0)
			text.append(data, (size_t)got);
		return text;
	}
	static void line(enum aub_log_event event, const char *text)
	{
		aub_log_begin(event);
		aub_log_text("id", text);
		aub_log_number("ms", 7);
		aub_log_end();
	}
};

TEST_F(DecisionLogTest, WritesOneObjectPerLine)
{
	line(AUB_LOG_REQUEST, "a\"b\\c\n\xc3\xa9");
	aub_decision_log_flush();
	std::string text = drain();
	ASSERT_FALSE(text.empty());
	EXPECT_EQ(text.find('\n'), text.size() - 1);
	JsonObject *object =
		aub_json_parse(text.data(), text.size(), "t", "t", NULL);
	ASSERT_NE(object, nullptr) << text;
	EXPECT_STREQ(aub_json_string(object, "node"), "g1");
	EXPECT_STREQ(aub_json_string(object, "event"), "request");
	EXPECT_EQ(aub_json_integer(object, "ms"), 7);
	json_object_unref(object);
}

TEST_F(DecisionLogTest, DropsSuccessLinesFirstWhenPipeIsFull)
{
	/*
	 * Logging must not block request processing. When standard output is
	 * a full pipe, lines about successes are dropped first and those about
	 * failures later; once there is room, the number is logged.
	 */
	std::string long_id(200, 'x');

	for (int i = 0; i < 5000; i++) {
		line(AUB_LOG_REQUEST, long_id.c_str());
		aub_decision_log_flush();
	}
	guint64 dropped_successes = aub_decision_log_dropped(AUB_LOG_SUCCESS);
	EXPECT_GT(dropped_successes, 3000u);
	line(AUB_LOG_REQUEST_FAILED, "the-failure");
	EXPECT_EQ(aub_decision_log_dropped(AUB_LOG_FAILURE), 0u);
	std::string text;
	for (int i = 0; i < 20; i++) {
		text += drain();
		aub_decision_log_flush();
	}
	text += drain();
	EXPECT_NE(text.find("the-failure"), std::string::npos);
	EXPECT_NE(text.find("\"event\":\"log-dropped\",\"class\":\"calm\","
			    "\"lines\":" +
			    std::to_string(dropped_successes)),
		  std::string::npos);
}

/* Guards against interleaved lines of two processes that share a pipe. */
TEST_F(DecisionLogTest, WritesCompleteLinesIntoNearlyFullPipe)
{
	std::string long_id(300, 'x');
	std::string text;

	fcntl(pipe_[1], F_SETPIPE_SZ, 4096);
	for (int round = 0; round < 50; round++) {
		for (int i = 0; i < 30; i++)
			line(AUB_LOG_STORE_LOST, long_id.c_str());
		aub_decision_log_flush();
		char data[1500];
		ssize_t got = read(pipe_[0], data, sizeof(data));
		if (got > 0)
			text.append(data, (size_t)got);
		/* Another process writes when there is room. */
		if (write(pipe_[1], "other\n", 6) != 6)
			continue;
	}
	text += drain();
	for (gsize at = 0, end; at < text.size(); at = end + 1) {
		end = text.find('\n', at);
		ASSERT_NE(end, std::string::npos);
		std::string line_text = text.substr(at, end - at);
		EXPECT_TRUE(line_text == "other" || (line_text.front() == '{' &&
						     line_text.back() == '}'))
			<< line_text;
	}
}

TEST_F(DecisionLogTest, StaysBoundedForStateLines)
{
	std::string long_id(1000, 'x');

	for (int i = 0; i < 2000; i++)
		line(AUB_LOG_UPSTREAM, long_id.c_str());
	EXPECT_GT(aub_decision_log_dropped(AUB_LOG_STATE), 1500u);
}

TEST_F(DecisionLogTest, ContinuesAfterReaderHasClosedPipe)
{
	signal(SIGPIPE, SIG_IGN);
	close(pipe_[0]);
	pipe_[0] = open("/dev/null", O_RDONLY);
	line(AUB_LOG_REQUEST, "a");
	aub_decision_log_flush();
	line(AUB_LOG_REQUEST, "b");
	aub_decision_log_flush();
}

TEST(LoggingPage, DocumentsEveryEventType)
{
	char *page = NULL;

	ASSERT_TRUE(g_file_get_contents("docs/LOGGING.md", &page, NULL, NULL));
	for (int i = 0; i < AUB_LOG_EVENT_COUNT; i++) {
		const struct aub_log_event_info *info =
			aub_log_event_info((enum aub_log_event)i);
		std::string heading = "| `" + std::string(info->name) + "` |";

		EXPECT_NE(strstr(page, heading.c_str()), nullptr) << info->name;
		EXPECT_NE(strstr(page, info->help), nullptr) << info->help;
	}
	g_free(page);
}

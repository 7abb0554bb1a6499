/* Timeline events from log lines: mapping, filters, and limits. */
#include <gtest/gtest.h>

#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/log_events.h>

#include <string>
#include <vector>

static const std::vector<std::string> lines = {
	R"({"t":1000,"node":"g1","event":"start","zone":"z1","incarnation":7})",
	R"(  0.1 g2 {"t":900,"node":"g2","event":"start","zone":"z2",)"
	R"("incarnation":8})",
	R"({"t":1500,"node":"g2","event":"store-lost","kind":"upstreams",)"
	R"("why":"timeout","revision":44})",
	R"({"t":1300,"node":"g1","event":"upstream","id":"u1","state":"gone",)"
	R"("zone":"z1","revision":43})",
	R"({"t":1700,"node":"g1","event":"request","id":"00ff","status":502,)"
	R"("upstream":"u1"})",
	R"({"t":1800,"node":"g1","event":"invented","id":"00ff"})",
	"another program's line",
	R"({"t":1900,"node":"g1","event":"sto)",
};

class LogEventsTest : public ::testing::Test
{
      protected:
	struct aub_timeline *timeline = aub_timeline_new();
	struct aub_timeline_filter filter = {};
	int rejected_lines = 0;

	void TearDown() override
	{
		aub_timeline_free(timeline);
	}
	std::string text()
	{
		struct aub_log_events *events =
			aub_log_events_new(timeline, &filter);

		for (const std::string &line : lines)
			rejected_lines +=
				!aub_log_events_add_line(events, line.c_str());
		aub_log_events_free(events);
		aub_timeline_merge(timeline);
		GPtrArray *entries = aub_timeline_select(timeline, &filter);
		char *output = aub_timeline_text(timeline, entries);
		std::string result = output;
		g_free(output);
		g_ptr_array_unref(entries);
		return result;
	}
};

TEST_F(LogEventsTest, OrdersEventsOfAllProcesses)
{
	std::string output = text();
	std::vector<std::string> expected = { "started     zone=z2 start",
					      "started     zone=z1 start",
					      "upstream=u1 zone=z1 upstream",
					      "store-lost kind=upstreams" };
	size_t at = 0;

	EXPECT_EQ(rejected_lines, 3);
	for (const std::string &part : expected) {
		at = output.find(part, at);
		EXPECT_NE(at, std::string::npos) << part << "\n" << output;
	}
	EXPECT_EQ(output.find("00ff"), std::string::npos) << output;
}

TEST_F(LogEventsTest, ShowsOnlySelectedRequest)
{
	filter.request = 0xff;
	std::string output = text();

	EXPECT_NE(output.find("00000000000000ff 502 upstream=u1"),
		  std::string::npos)
		<< output;
	EXPECT_EQ(output.find("start"), std::string::npos) << output;
}

TEST_F(LogEventsTest, KeepsOnlyEventsThatMatchFilter)
{
	filter.process = "g2";
	filter.since_us = 1200 * 1000;
	std::string output = text();

	EXPECT_NE(output.find("store-lost"), std::string::npos) << output;
	EXPECT_EQ(output.find("start"), std::string::npos) << output;
	EXPECT_EQ(output.find("u1"), std::string::npos) << output;
}

TEST_F(LogEventsTest, MapsEveryLogEvent)
{
	for (int i = 0; i < AUB_LOG_EVENT_COUNT; i++) {
		const char *name =
			aub_log_event_info((enum aub_log_event)i)->name;

		EXPECT_GE(aub_log_events_type(name), 0) << name;
	}
}

TEST_F(LogEventsTest, DropsAndCountsEventsBeyondLimit)
{
	/* A gigabyte of lines must not need a gigabyte of memory. */
	struct aub_log_events *events = aub_log_events_new(timeline, &filter);

	for (int i = 0; i < AUB_LOG_EVENTS_MAX + 10; i++)
		aub_log_events_add_line(
			events, R"({"t":1,"node":"g1","event":"reload"})");
	EXPECT_EQ(aub_log_events_dropped(events), 10u);
	aub_log_events_free(events);
}

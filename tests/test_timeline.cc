/*
 * The timeline: causes before effects although clocks differ; output formats.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/timeline.h>

#include <map>
#include <random>
#include <string>

static struct aub_event event(enum aub_event_type type, guint64 request,
			      gint64 wall_us, const char *text = "")
{
	struct aub_event result = {};

	result.type = type;
	result.request = request;
	result.wall_us = wall_us;
	result.number = type == AUB_EVENT_FINISHED ? 200 : 0;
	g_strlcpy(result.text, text, sizeof(result.text));
	return result;
}

class Timeline : public testing::Test
{
      protected:
	void SetUp() override
	{
		timeline = aub_timeline_new();
	}
	void TearDown() override
	{
		aub_timeline_free(timeline);
	}

	void add(guint process, const struct aub_event &original)
	{
		struct aub_event copy = original;

		copy.sequence = ++sequence[process];
		aub_timeline_add_event(timeline, process, &copy);
	}

	/* Returns the events as "a1:arrived a1:relayed ...". */
	std::string order(const struct aub_timeline_filter &filter = {})
	{
		GPtrArray *list = aub_timeline_select(timeline, &filter);
		std::string text;

		for (guint i = 0; i < list->len; i++) {
			auto *entry = static_cast<struct aub_timeline_entry *>(
				list->pdata[i]);
			text += std::string(i ? " " : "") +
				aub_timeline_process_name(timeline,
							  entry->process) +
				":" + aub_event_type_name(entry->event.type);
		}
		g_ptr_array_unref(list);
		return text;
	}

	/*
	 * Adds a request that arrives at a, is relayed to b, sent and answered.
	 */
	void relayed_request(guint a, guint b, guint64 id, gint64 a_time_us,
			     gint64 b_time_us)
	{
		add(a, event(AUB_EVENT_ARRIVED, id, a_time_us, "/x"));
		add(a, event(AUB_EVENT_RELAYED, id, a_time_us + 10, "b1"));
		add(b, event(AUB_EVENT_ARRIVED, id, b_time_us, "/x"));
		add(b, event(AUB_EVENT_DISPATCHED, id, b_time_us + 10));
		add(b, event(AUB_EVENT_ANSWERED, id, b_time_us + 500));
		add(b, event(AUB_EVENT_FINISHED, id, b_time_us + 510, "run"));
		add(a, event(AUB_EVENT_FINISHED, id, a_time_us + 800, "run"));
	}

	struct aub_timeline *timeline;
	std::map<guint, guint64> sequence;
};

static const char complete_path[] =
	"a1:arrived a1:relayed b1:arrived b1:dispatched b1:answered "
	"b1:finished a1:finished";

/*
 * The clock of b1 is five seconds behind. Sorted by wall clock, b1 would answer
 * before a1 relayed the request.
 */
TEST_F(Timeline, MovesClockThatIsBehindForward)
{
	guint a = aub_timeline_add_process(timeline, "a1", "a", 1);
	guint b = aub_timeline_add_process(timeline, "b1", "b", 1);

	relayed_request(a, b, 7, 10000000, 5000000);
	aub_timeline_merge(timeline);
	EXPECT_EQ(order(), complete_path);
	EXPECT_EQ(aub_timeline_offset_us(timeline, a), 0);
	EXPECT_EQ(aub_timeline_offset_us(timeline, b), 5000010);
}

/* The clock of b1 is five seconds ahead; that of a1 moves forward. */
TEST_F(Timeline, MovesOtherClocksIfOneIsAhead)
{
	guint a = aub_timeline_add_process(timeline, "a1", "a", 1);
	guint b = aub_timeline_add_process(timeline, "b1", "b", 1);

	relayed_request(a, b, 7, 10000000, 15000000);
	aub_timeline_merge(timeline);
	EXPECT_EQ(order(), complete_path);
	EXPECT_EQ(aub_timeline_offset_us(timeline, b), 0);
}

TEST_F(Timeline, LeavesConsistentClocksUnchanged)
{
	guint a = aub_timeline_add_process(timeline, "a1", "a", 1);
	guint b = aub_timeline_add_process(timeline, "b1", "b", 1);

	relayed_request(a, b, 7, 10000000, 10000050);
	aub_timeline_merge(timeline);
	EXPECT_EQ(order(), complete_path);
	EXPECT_EQ(aub_timeline_offset_us(timeline, a), 0);
	EXPECT_EQ(aub_timeline_offset_us(timeline, b), 0);
}

/*
 * A clock is set back between two requests, so that no single offset fits both.
 * Causes still have to precede their effects, and times must not decrease.
 */
TEST_F(Timeline, KeepsCausalOrderWhenClockIsSet)
{
	guint a = aub_timeline_add_process(timeline, "a1", "a", 1);
	guint b = aub_timeline_add_process(timeline, "b1", "b", 1);
	struct aub_timeline_filter second = {};

	relayed_request(a, b, 7, 10000000, 15000000);
	relayed_request(a, b, 8, 20000000, 12000000);
	aub_timeline_merge(timeline);
	second.request = 8;
	EXPECT_EQ(order(second), complete_path);
	second.request = 7;
	EXPECT_EQ(order(second), complete_path);
}

TEST_F(Timeline, EmitsAllEventsWhenLinksContradict)
{
	guint a = aub_timeline_add_process(timeline, "a1", "a", 1);
	guint b = aub_timeline_add_process(timeline, "b1", "b", 1);

	add(a, event(AUB_EVENT_ARRIVED, 1, 1));
	add(a, event(AUB_EVENT_RELAYED, 2, 2, "b1"));
	add(b, event(AUB_EVENT_ARRIVED, 2, 1));
	add(b, event(AUB_EVENT_RELAYED, 1, 2, "a1"));
	aub_timeline_merge(timeline);
	struct aub_timeline_filter all = {};
	GPtrArray *list = aub_timeline_select(timeline, &all);

	EXPECT_EQ(list->len, 4u);
	g_ptr_array_unref(list);
}

/*
 * Many processes with clocks up to ten seconds apart, and requests that are
 * relayed over up to three of them: no effect precedes its cause, events of a
 * process keep their order, and corrected times never decrease.
 */
TEST_F(Timeline, KeepsCausalOrderWithRandomClocks)
{
	std::mt19937 random(20261202);
	std::vector<guint> process;
	std::vector<gint64> skew;
	std::map<guint, std::vector<std::pair<gint64, struct aub_event>>> logs;

	for (int p = 0; p < 9; p++) {
		std::string name = "p" + std::to_string(p);

		process.push_back(aub_timeline_add_process(timeline,
							   name.c_str(), "",
							   1));
		skew.push_back((gint64)(random() % 20000000) - 10000000);
	}
	for (guint64 id = 1; id <= 400; id++) {
		gint64 now = 100000000 + (gint64)id * 1000;
		guint path[3] = { (guint)(random() % 3),
				  (guint)(3 + random() % 3),
				  (guint)(6 + random() % 3) };
		int hops = 1 + (int)(random() % 3);

		auto log = [&](guint p, enum aub_event_type type,
			       const std::string &text) {
			now += 1 + (gint64)(random() % 90);
			logs[p].push_back({ now, event(type, id, now + skew[p],
						       text.c_str()) });
		};
		for (int h = 0; h < hops; h++) {
			log(path[h], AUB_EVENT_ARRIVED, "/");
			if (h + 1 < hops)
				log(path[h], AUB_EVENT_RELAYED,
				    "p" + std::to_string(path[h + 1]));
		}
		for (int h = hops - 1; h >= 0; h--)
			log(path[h], AUB_EVENT_FINISHED, "run");
	}
	for (auto &[p, list] : logs) {
		std::stable_sort(list.begin(), list.end(),
				 [](const auto &l, const auto &r) {
					 return l.first < r.first;
				 });
		for (auto &[moment, entry] : list)
			add(process[p], entry);
	}
	aub_timeline_merge(timeline);
	struct aub_timeline_filter all = {};
	GPtrArray *list = aub_timeline_select(timeline, &all);
	std::map<guint64, std::map<std::string, guint>> place;
	std::map<guint, guint64> seen;
	gint64 last = G_MININT64;

	for (guint i = 0; i < list->len; i++) {
		auto *entry = static_cast<struct aub_timeline_entry *>(
			list->pdata[i]);
		std::string name =
			aub_timeline_process_name(timeline, entry->process);

		ASSERT_EQ(entry->event.sequence, ++seen[entry->process]);
		ASSERT_GE(entry->time_us, last);
		last = entry->time_us;
		place[entry->event.request]
		     [name + aub_event_type_name(entry->event.type)] = i;
		if (entry->event.type == AUB_EVENT_RELAYED)
			place[entry->event.request]["to " + name] =
				(guint)std::stoi(entry->event.text + 1);
	}
	for (auto &[id, at] : place) {
		for (int p = 0; p < 9; p++) {
			std::string from = "p" + std::to_string(p);

			if (!at.count("to " + from))
				continue;
			std::string to = "p" + std::to_string(at["to " + from]);
			ASSERT_LT(at[from + "relayed"], at[to + "arrived"]);
			ASSERT_LT(at[to + "finished"], at[from + "finished"]);
		}
	}
	g_ptr_array_unref(list);
}

TEST_F(Timeline, FiltersByRequestUpstreamZoneAndTime)
{
	guint a = aub_timeline_add_process(timeline, "a1", "north", 1);
	guint b = aub_timeline_add_process(timeline, "b1", "south", 1);
	struct aub_event sent = event(AUB_EVENT_DISPATCHED, 1, 200);

	g_strlcpy(sent.upstream, "cal-1", sizeof(sent.upstream));
	add(a, event(AUB_EVENT_ARRIVED, 1, 100));
	add(a, sent);
	add(b, event(AUB_EVENT_ARRIVED, 2, 300));
	aub_timeline_merge(timeline);
	struct aub_timeline_filter upstream = {};
	struct aub_timeline_filter zone = {};
	struct aub_timeline_filter time = {};
	struct aub_timeline_filter request = {};
	struct aub_timeline_filter process = {};

	upstream.upstream = "cal-1";
	zone.zone = "south";
	time.since_us = 150;
	time.until_us = 250;
	request.request = 2;
	process.process = "b1";
	EXPECT_EQ(order(upstream), "a1:dispatched");
	EXPECT_EQ(order(zone), "b1:arrived");
	EXPECT_EQ(order(time), "a1:dispatched");
	EXPECT_EQ(order(request), "b1:arrived");
	EXPECT_EQ(order(process), "b1:arrived");
}

TEST_F(Timeline, OutputsDescribeEvents)
{
	guint a = aub_timeline_add_process(timeline, "a1", "a", 1);
	guint b = aub_timeline_add_process(timeline, "b1", "b", 1);
	struct aub_timeline_filter all = {};

	relayed_request(a, b, 0xabc, 10000000, 10000100);
	aub_timeline_merge(timeline);
	GPtrArray *list = aub_timeline_select(timeline, &all);
	char *text = aub_timeline_text(timeline, list);
	char *json = aub_timeline_json(timeline, list);
	char *svg = aub_timeline_svg(timeline, list);
	char *description = aub_timeline_describe_request(timeline, 0xabc);
	char *none = aub_timeline_describe_request(timeline, 0xdef);

	EXPECT_EQ(std::string(text).substr(0, 64),
		  "00:00:10.000000 a1               arrived     "
		  "0000000000000abc /x");
	EXPECT_NE(std::string(json).find(
			  "\"type\":\"relayed\",\"text\":\"b1\""),
		  std::string::npos);
	EXPECT_NE(std::string(svg).find("request 0000000000000abc"),
		  std::string::npos);
	EXPECT_NE(std::string(description).find("it is relayed to entry b1"),
		  std::string::npos);
	EXPECT_NE(std::string(description)
			  .find("Answered after 0.8 ms; sent to an "
				"upstream 1 time; outcome: run."),
		  std::string::npos)
		<< description;
	EXPECT_STREQ(none, "");
	g_free(text);
	g_free(json);
	g_free(svg);
	g_free(description);
	g_free(none);
	g_ptr_array_unref(list);
}

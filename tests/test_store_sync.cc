/*
 * The copy of the store: listed, watched, shared, and held through absences.
 */
#include "gateway_rig.h"

#include <auburnstile/internal/store_sync.h>

#include <set>

class StoreSyncTest : public ::testing::Test
{
      protected:
	struct aub_timer_service *timers;
	struct aub_poller *poller;
	struct aub_http_client *client;
	struct platform_store *store;
	struct aub_store_sync *sync = NULL;
	std::set<std::string> present;
	std::vector<std::string> shared;
	enum aub_watch_duty duty = AUB_WATCH_FIRST;
	guint fleet = 0;
	int changes = 0;

	void SetUp() override
	{
		timers = aub_timer_service_new(NULL);
		poller = aub_poller_new();
		client = aub_http_client_new(poller, timers);
		store = platform_store_new(poller, timers);
	}
	void TearDown() override
	{
		aub_store_sync_free(sync);
		platform_store_free(store);
		aub_http_client_free(client);
		aub_poller_free(poller);
		aub_timer_service_free(timers);
	}
	static void on_changed(enum aub_store_kind kind,
			       struct aub_record *record, void *context)
	{
		StoreSyncTest *self = (StoreSyncTest *)context;

		if (kind != AUB_STORE_UPSTREAMS)
			return;
		self->changes++;
		if (record->removed)
			self->present.erase(record->name);
		else
			self->present.insert(record->name);
	}
	static void on_share(enum aub_store_kind kind, gint64 after,
			     gint64 until, const char *body, gsize length,
			     void *context)
	{
		if (kind == AUB_STORE_UPSTREAMS)
			((StoreSyncTest *)context)
				->shared.push_back(std::string(body, length));
	}
	void start()
	{
		const struct aub_store_sync_options options = {
			.platform = &aub_platform,
			.client = client,
			.timers = timers,
			.address = platform_store_address(store),
			.changed = on_changed,
			.told = [](void *) {},
			.share = on_share,
			.duty =
				[](void *context) {
					return ((StoreSyncTest *)context)->duty;
				},
			.fleet =
				[](void *context) {
					return ((StoreSyncTest *)context)
						->fleet;
				},
			.listed = [](enum aub_store_kind, void *) {},
			.context = this,
		};

		sync = aub_store_sync_new(&options);
	}
	void put(const std::string &id)
	{
		std::string text =
			"{\"address\":\"127.0.0.1:9\",\"details\":{\"service\":"
			"\"svc\",\"zone\":\"z\",\"slots\":2},\"status\":{"
			"\"state\":\"ready\"},\"born\":1}";

		platform_store_put(store, "servers", id.c_str(), text.c_str());
	}
	bool holds(size_t count, int ms = 3000)
	{
		return run_until([&] { return present.size() == count; }, ms);
	}
};

/* Guards against two watchers of a zone that both ask for each change. */
TEST_F(StoreSyncTest, AsksLessOftenAsAStandby)
{
	guint64 calls[2];

	for (auto now : { AUB_WATCH_FIRST, AUB_WATCH_STANDBY }) {
		guint64 *count = &calls[now == AUB_WATCH_STANDBY];

		duty = now;
		if (!sync)
			start();
		run_for(1200);
		*count = platform_store_call_count(store);
		for (int i = 0; i < 40; i++) {
			put("u" + std::to_string(now * 100 + i));
			run_for(50);
		}
		*count = platform_store_call_count(store) - *count;
	}
	EXPECT_GE(calls[0], 6u);
	EXPECT_LE(calls[1], 3u);
	EXPECT_TRUE(holds(80));
}

/* Guards against a large fleet whose calls keep a store from returning. */
TEST_F(StoreSyncTest, AsksAFailingStoreLessOftenInALargeFleet)
{
	fleet = 300;
	put("u1");
	start();
	ASSERT_TRUE(holds(1));
	platform_store_set_fault(store, PLATFORM_STORE_UNAVAILABLE);
	run_for(2500);
	guint64 before = platform_store_call_count(store);
	run_for(6000);
	EXPECT_LE(platform_store_call_count(store) - before, 3u);
	EXPECT_GE(platform_store_call_count(store) - before, 1u);
}

/* Guards against an old configuration while a store's retry is far off. */
TEST_F(StoreSyncTest, AsksAtOnceForWhatOthersAnnounceWhileTheStoreFails)
{
	fleet = 300;
	put("u1");
	start();
	ASSERT_TRUE(holds(1));
	platform_store_set_fault(store, PLATFORM_STORE_UNAVAILABLE);
	run_for(4000);
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	put("u2");
	aub_store_sync_announce(sync, AUB_STORE_UPSTREAMS,
				platform_store_put(store, "x", "y", "{}"));
	EXPECT_TRUE(holds(2, 900));
}

TEST_F(StoreSyncTest, ListsAllPagesAndWatches)
{
	for (int i = 0; i < 7; i++)
		put("u" + std::to_string(i));
	platform_store_set_page_size(store, 3);
	start();
	EXPECT_TRUE(holds(7));
	put("late");
	EXPECT_TRUE(holds(8));
	platform_store_remove(store, "servers", "u3");
	EXPECT_TRUE(holds(7));
	EXPECT_FALSE(present.count("u3"));
}

TEST_F(StoreSyncTest, HasOneCallOpenAKindWhileNothingHappens)
{
	put("u1");
	start();
	EXPECT_TRUE(holds(1));
	run_for(500);
	guint64 before = platform_store_call_count(store);
	run_for(1500);
	EXPECT_LE(platform_store_call_count(store) - before, 3u);
}

TEST_F(StoreSyncTest, RidesOutEveryFaultOfTheStore)
{
	for (auto fault : { PLATFORM_STORE_UNAVAILABLE, PLATFORM_STORE_RATE_LIMITED,
			    PLATFORM_STORE_RESET, PLATFORM_STORE_UNRESPONSIVE,
			    PLATFORM_STORE_LOSE_ANSWERS, PLATFORM_STORE_MALFORMED }) {
		platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
		aub_store_sync_free(sync);
		present.clear();
		put("u1");
		start();
		ASSERT_TRUE(holds(1)) << fault;
		platform_store_set_fault(store, fault);
		put("u2");
		put("u3");
		run_for(300);
		platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
		EXPECT_TRUE(holds(3, 9000)) << fault;
		platform_store_remove(store, "servers", "u2");
		platform_store_remove(store, "servers", "u3");
		EXPECT_TRUE(holds(1, 9000)) << fault;
	}
}

TEST_F(StoreSyncTest, HoldsEntriesThatLapsedTogether)
{
	/*
	 * Callers are served throughout. While the store is away most entries
	 * lapse; they are back within two seconds of its return.
	 */
	for (int i = 0; i < 6; i++)
		put("u" + std::to_string(i));
	start();
	ASSERT_TRUE(holds(6));
	platform_store_set_fault(store, PLATFORM_STORE_RESET);
	run_for(400);
	for (int i = 0; i < 5; i++)
		platform_store_remove(store, "servers",
				      ("u" + std::to_string(i)).c_str());
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	run_for(1800);
	EXPECT_EQ(present.size(), 6u);
	put("u0");
	EXPECT_TRUE(holds(2, 3000));
	EXPECT_TRUE(present.count("u0"));
}

TEST_F(StoreSyncTest, TellsAtOnceWhatLeftWhileThisProcessWasCutOff)
{
	/*
	 * A caller's request must not reach an upstream that left ten seconds
	 * ago. Only this process was cut off; one entry of six is gone, which
	 * is no mass lapse, so nothing speaks for keeping it.
	 */
	for (int i = 0; i < 6; i++)
		put("u" + std::to_string(i));
	start();
	ASSERT_TRUE(holds(6));
	platform_store_set_fault(store, PLATFORM_STORE_RESET);
	run_for(400);
	platform_store_remove(store, "servers", "u3");
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	EXPECT_TRUE(holds(5, 1500));
}

TEST_F(StoreSyncTest, AsksOnceWhenItIsToldOfNews)
{
	put("u1");
	duty = AUB_WATCH_NONE;
	start();
	ASSERT_TRUE(holds(1));
	run_for(200); /* the listing is checked */
	put("u2");
	run_for(400);
	EXPECT_EQ(present.size(), 1u);
	guint64 before = platform_store_call_count(store);
	aub_store_sync_announce(sync, AUB_STORE_UPSTREAMS,
				aub_store_sync_known(sync,
						     AUB_STORE_UPSTREAMS) +
					1);
	EXPECT_TRUE(holds(2));
	EXPECT_EQ(platform_store_call_count(store) - before, 1u);
}

TEST_F(StoreSyncTest, DoesNotAskForWhatOthersPassOn)
{
	/*
	 * Callers notice nothing; the store is asked hundreds of times. During
	 * a release something changes several times a second, and each change
	 * is told of before the zone's watcher passes it on: there is always
	 * news of something, but never of anything old.
	 */
	put("u1");
	start();
	ASSERT_TRUE(holds(1));
	put("u2");
	ASSERT_TRUE(holds(2));
	aub_store_sync_free(sync);
	duty = AUB_WATCH_NONE;
	start();
	run_for(200);
	gint64 known = aub_store_sync_known(sync, AUB_STORE_UPSTREAMS);
	guint64 before = platform_store_call_count(store);

	for (int i = 1; i <= 20; i++) {
		aub_store_sync_announce(sync, AUB_STORE_UPSTREAMS,
					known + i + 1);
		aub_store_sync_take(sync, AUB_STORE_UPSTREAMS, known + i - 1,
				    known + i, shared[0].data(),
				    shared[0].size());
		run_for(100);
	}
	EXPECT_EQ(platform_store_call_count(store) - before, 0u);
}

TEST_F(StoreSyncTest, AsksForWhatChangedWhileItListed)
{
	/*
	 * A caller's request must not reach an upstream that left while this
	 * process listed: its first page is older than a change that a later
	 * page already holds.
	 */
	for (int i = 0; i < 6; i++)
		put("u" + std::to_string(i));
	platform_store_set_page_size(store, 3);
	platform_store_set_delay(store, 60);
	duty = AUB_WATCH_NONE;
	start();
	ASSERT_TRUE(run_until([&] { return present.size() == 3; }, 1000));
	platform_store_remove(store, "servers", "u0");
	put("u9"); /* in the second page, with the newest revision */
	ASSERT_TRUE(run_until([&] { return present.count("u9") > 0; }, 1000));
	EXPECT_TRUE(present.count("u0"));
	/* Another gateway tells of the newest change. */
	aub_store_sync_announce(sync, AUB_STORE_UPSTREAMS, 8);
	EXPECT_TRUE(run_until([&] { return !present.count("u0"); }, 2500));
}

TEST_F(StoreSyncTest, LeavesAWatchThatHearsNothing)
{
	/*
	 * Callers are handled by the newest configuration. This process waits
	 * on a watch that the store no longer feeds; another gateway's
	 * heartbeat tells of a change.
	 */
	put("u1");
	start();
	ASSERT_TRUE(holds(1));
	run_for(400);
	platform_store_suppress_watch_events(store, true);
	put("u2");
	run_for(400);
	EXPECT_EQ(present.size(), 1u);
	aub_store_sync_announce(sync, AUB_STORE_UPSTREAMS,
				aub_store_sync_known(sync,
						     AUB_STORE_UPSTREAMS) +
					1);
	EXPECT_TRUE(holds(2, 1000));
}

TEST_F(StoreSyncTest, TakesSharedChangesOnlyWithoutAGap)
{
	put("u1");
	start();
	ASSERT_TRUE(holds(1));
	run_for(100);
	gint64 known = aub_store_sync_known(sync, AUB_STORE_UPSTREAMS);
	put("u2");
	ASSERT_TRUE(holds(2));
	ASSERT_EQ(shared.size(), 1u);
	/* Another process, which does not watch, takes the same bytes. */
	aub_store_sync_free(sync);
	present.clear();
	duty = AUB_WATCH_NONE;
	platform_store_remove(store, "servers", "u2");
	start();
	ASSERT_TRUE(holds(1));
	run_for(200); /* the listing is checked */
	gint64 now = aub_store_sync_known(sync, AUB_STORE_UPSTREAMS);
	aub_store_sync_take(sync, AUB_STORE_UPSTREAMS, now + 5, now + 6,
			    shared[0].data(), shared[0].size());
	EXPECT_EQ(present.size(), 1u);
	aub_store_sync_take(sync, AUB_STORE_UPSTREAMS, known, now + 6,
			    shared[0].data(), shared[0].size());
	EXPECT_EQ(present.size(), 2u);
	EXPECT_EQ(aub_store_sync_known(sync, AUB_STORE_UPSTREAMS), now + 6);
}

TEST_F(StoreSyncTest, EnrolsUntilItIsDone)
{
	struct aub_member_record member = {};

	member.ip = (char *)"10.0.0.1";
	member.zone = (char *)"z1";
	platform_store_set_fault(store, PLATFORM_STORE_UNAVAILABLE);
	start();
	aub_store_sync_enrol(sync, "10.0.0.1", &member);
	run_for(300);
	EXPECT_EQ(platform_store_count(store, "entries"), 0u);
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	EXPECT_TRUE(run_until(
		[&] { return platform_store_count(store, "entries") == 1; },
		4000));
	aub_store_sync_leave(sync);
	EXPECT_TRUE(run_until(
		[&] { return platform_store_count(store, "entries") == 0; },
		2000));
}

/*
 * The local copy of the store: listing, watching, sharing changes, and outages.
 */
#include "scripted_server.h"
#include "store_fixture.h"

#include <set>

class StoreSyncTest : public StoreTest
{
      protected:
	struct aub_store_sync *sync = NULL;
	std::set<std::string> present;
	std::map<std::string, gint64> revisions; /* of those present */
	bool went_back = false; /* an older state was reported */
	std::vector<std::string> shared;
	enum aub_watch_duty duty = AUB_WATCH_PRIMARY;
	guint fleet_size = 0;
	std::string address; /* of another store; empty: the stand-in's */
	std::map<std::string, int> reports; /* by name */

	void TearDown() override
	{
		aub_store_sync_free(sync);
		StoreTest::TearDown();
	}
	static void on_changed(enum aub_store_kind kind,
			       struct aub_record *record, void *context)
	{
		StoreSyncTest *self = (StoreSyncTest *)context;

		if (kind != AUB_STORE_UPSTREAMS)
			return;
		self->reports[record->name]++;
		if (record->removed) {
			self->present.erase(record->name);
			self->revisions.erase(record->name);
		} else {
			self->went_back |= record->revision <
					   self->revisions[record->name];
			self->present.insert(record->name);
			self->revisions[record->name] = record->revision;
		}
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
			.address = address.empty() ?
					   platform_store_address(store) :
					   address.c_str(),
			.changed = on_changed,
			.batch_done = [](void *) {},
			.share = on_share,
			.watch_role =
				[](void *context) {
					return ((StoreSyncTest *)context)
						->role();
				},
			.apply_ms = 2000,
			.fleet_size =
				[](void *context) {
					return ((StoreSyncTest *)context)
						->fleet_size;
				},
			.listed = [](enum aub_store_kind, void *) {},
			.context = this,
		};

		sync = aub_store_sync_new(&options);
	}
	/* The first of its duty among the watchers of five zones. */
	struct aub_watch_role role() const
	{
		return { duty, duty == AUB_WATCH_STANDBY ? 5u : 0u, 10, 5 };
	}
	void put_upstream(const std::string &id)
	{
		std::string text =
			"{\"address\":\"127.0.0.1:9\",\"details\":{\"service\":"
			"\"svc\",\"zone\":\"z\",\"slots\":2},\"status\":{"
			"\"state\":\"ready\"},\"born\":1}";

		platform_store_put(store, "servers", id.c_str(), text.c_str());
	}
	static std::string event(const std::string &id, gint64 revision,
				 bool removed = false)
	{
		return std::string("{\"removed\":") +
		       (removed ? "true" : "false") +
		       ",\"object\":{\"metadata\":{\"name\":\"" + id +
		       "\",\"revision\":" + std::to_string(revision) +
		       "},\"spec\":{\"address\":\"127.0.0.1:9\","
		       "\"details\":{\"service\":\"svc\",\"zone\":\"z\","
		       "\"version\":\"v\",\"slots\":2},\"status\":{"
		       "\"state\":\"ready\"},\"born\":1}}}";
	}
	/* Returns the body of an answer to a watch. */
	static std::string changes(gint64 store_revision,
				   const std::vector<std::string> &events)
	{
		std::string text = "{\"events\":[";

		for (size_t i = 0; i < events.size(); i++)
			text += (i ? "," : "") + events[i];
		text += "],\"store_revision\":" +
			std::to_string(store_revision) + "}";
		GBytes *bytes = platform_body_pack(text.data(), text.size());
		gsize length;
		const char *data =
			(const char *)g_bytes_get_data(bytes, &length);
		std::string body(data, length);
		g_bytes_unref(bytes);
		return body;
	}
	void share(gint64 after, gint64 until, const std::string &body)
	{
		aub_store_sync_apply_shared(sync, AUB_STORE_UPSTREAMS, after,
					    until, body.data(), body.size());
	}
	int changes_reported(const std::string &id)
	{
		return reports[id];
	}
	gint64 known() const
	{
		return aub_store_sync_known_revision(sync, AUB_STORE_UPSTREAMS);
	}
	guint64 outdated() const
	{
		return aub_store_sync_calls(sync, AUB_STORE_UPSTREAMS,
					    AUB_STORE_OUTDATED);
	}
	bool has_upstreams(size_t count, int ms = 3000)
	{
		return run_until([&] { return present.size() == count; }, ms);
	}
};

/* Two watchers of a zone must not both fetch each change. */
TEST_F(StoreSyncTest, StandbyWatcherCallsLessOften)
{
	guint64 calls[2];

	for (auto watch_duty : { AUB_WATCH_PRIMARY, AUB_WATCH_STANDBY }) {
		guint64 *count = &calls[watch_duty == AUB_WATCH_STANDBY];

		duty = watch_duty;
		if (!sync)
			start();
		run_for(1200);
		*count = platform_store_call_count(store);
		for (int i = 0; i < 40; i++) {
			put_upstream("u" +
				     std::to_string(watch_duty * 100 + i));
			run_for(50);
		}
		*count = platform_store_call_count(store) - *count;
	}
	EXPECT_GE(calls[0], 6u);
	EXPECT_LE(calls[1], 3u);
	EXPECT_TRUE(has_upstreams(80));
}

/* The retries of a large fleet must not keep the store from recovering. */
TEST_F(StoreSyncTest, RetriesLessOftenInALargeFleet)
{
	fleet_size = 300;
	put_upstream("u1");
	start();
	ASSERT_TRUE(has_upstreams(1));
	platform_store_set_fault(store, PLATFORM_STORE_UNAVAILABLE);
	run_for(2500);
	guint64 before = platform_store_call_count(store);
	run_for(6000);
	EXPECT_LE(platform_store_call_count(store) - before, 3u);
	EXPECT_GE(platform_store_call_count(store) - before, 1u);
}

/*
 * An old configuration must not stay in use because the next retry is far off.
 */
TEST_F(StoreSyncTest, FetchesAnnouncedRevisionImmediatelyWhileStoreFails)
{
	fleet_size = 300;
	put_upstream("u1");
	start();
	ASSERT_TRUE(has_upstreams(1));
	platform_store_set_fault(store, PLATFORM_STORE_UNAVAILABLE);
	run_for(4000);
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	put_upstream("u2");
	aub_store_sync_announce(sync, AUB_STORE_UPSTREAMS,
				platform_store_put(store, "x", "y", "{}"));
	EXPECT_TRUE(has_upstreams(2, 900));
}

/* The same, where the last call failed right before the announcement. */
TEST_F(StoreSyncTest, FetchesAnnouncedRevisionSoonAfterAFailedCall)
{
	guint64 calls;
	gint64 revision;

	fleet_size = 300;
	platform_store_put(store, "config", "main", "{\"n\":1}");
	start();
	run_for(300);
	platform_store_set_fault(store, PLATFORM_STORE_UNAVAILABLE);
	run_for(5000);
	calls = platform_store_call_count(store);
	ASSERT_TRUE(run_until(
		[&] { return platform_store_call_count(store) > calls; },
		4000));
	run_for(20);
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	revision = platform_store_put(store, "config", "main", "{\"n\":2}");
	aub_store_sync_announce(sync, AUB_STORE_ROUTING, revision);
	EXPECT_TRUE(run_until(
		[&] {
			return aub_store_sync_known_revision(
				       sync, AUB_STORE_ROUTING) >= revision;
		},
		1500));
}

TEST_F(StoreSyncTest, ListsAllPagesAndWatches)
{
	for (int i = 0; i < 7; i++)
		put_upstream("u" + std::to_string(i));
	platform_store_set_page_size(store, 3);
	start();
	EXPECT_TRUE(has_upstreams(7));
	put_upstream("late");
	EXPECT_TRUE(has_upstreams(8));
	platform_store_remove(store, "servers", "u3");
	EXPECT_TRUE(has_upstreams(7));
	EXPECT_FALSE(present.count("u3"));
}

TEST_F(StoreSyncTest, KeepsOneOpenCallPerKindWhenIdle)
{
	put_upstream("u1");
	start();
	EXPECT_TRUE(has_upstreams(1));
	run_for(500);
	guint64 before = platform_store_call_count(store);
	run_for(1500);
	EXPECT_LE(platform_store_call_count(store) - before, 3u);
}

TEST_F(StoreSyncTest, RecoversFromEveryStoreFault)
{
	for (auto fault :
	     { PLATFORM_STORE_UNAVAILABLE, PLATFORM_STORE_RATE_LIMITED,
	       PLATFORM_STORE_RESET, PLATFORM_STORE_UNRESPONSIVE,
	       PLATFORM_STORE_LOSE_ANSWERS, PLATFORM_STORE_MALFORMED }) {
		platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
		aub_store_sync_free(sync);
		present.clear();
		put_upstream("u1");
		start();
		ASSERT_TRUE(has_upstreams(1)) << fault;
		platform_store_set_fault(store, fault);
		put_upstream("u2");
		put_upstream("u3");
		run_for(300);
		platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
		EXPECT_TRUE(has_upstreams(3, 9000)) << fault;
		platform_store_remove(store, "servers", "u2");
		platform_store_remove(store, "servers", "u3");
		EXPECT_TRUE(has_upstreams(1, 9000)) << fault;
	}
}

TEST_F(StoreSyncTest, WithholdsRemovalsOfAMassExpiry)
{
	/*
	 * While the store is unavailable most records expire; they are back
	 * within two seconds after it recovers. Callers must be served
	 * throughout.
	 */
	for (int i = 0; i < 6; i++)
		put_upstream("u" + std::to_string(i));
	start();
	ASSERT_TRUE(has_upstreams(6));
	platform_store_set_fault(store, PLATFORM_STORE_RESET);
	run_for(400);
	for (int i = 0; i < 5; i++)
		platform_store_remove(store, "servers",
				      ("u" + std::to_string(i)).c_str());
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	run_for(1800);
	EXPECT_EQ(present.size(), 6u);
	put_upstream("u0");
	EXPECT_TRUE(has_upstreams(2, 3000));
	EXPECT_TRUE(present.count("u0"));
}

TEST_F(StoreSyncTest, ReportsSingleRemovalImmediatelyAfterPartition)
{
	/*
	 * A request must not reach an upstream that departed ten seconds ago.
	 * Only this process was partitioned from the store; one of six records
	 * is missing, which is no mass expiry, so it is removed immediately.
	 */
	for (int i = 0; i < 6; i++)
		put_upstream("u" + std::to_string(i));
	start();
	ASSERT_TRUE(has_upstreams(6));
	platform_store_set_fault(store, PLATFORM_STORE_RESET);
	run_for(400);
	platform_store_remove(store, "servers", "u3");
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	EXPECT_TRUE(has_upstreams(5, 1500));
}

/*
 * Guards against gateways that never learn of a removal, because the one that
 * lists anew after the store has forgotten its history announces nothing.
 */
TEST_F(StoreSyncTest, RemovalFoundByListingIsAnnounced)
{
	for (const char *id : { "u1", "u2", "u3", "u4" })
		put_upstream(id);
	start();
	ASSERT_TRUE(has_upstreams(4));
	gint64 before =
		aub_store_sync_known_revision(sync, AUB_STORE_UPSTREAMS);

	platform_store_set_fault(store, PLATFORM_STORE_UNAVAILABLE);
	run_for(300);
	platform_store_remove(store, "servers", "u4");
	platform_store_compact(store);
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	ASSERT_TRUE(has_upstreams(3, 5000));
	EXPECT_GT(aub_store_sync_known_revision(sync, AUB_STORE_UPSTREAMS),
		  before);
}

TEST_F(StoreSyncTest, FetchesOnceForAnAnnouncedRevision)
{
	put_upstream("u1");
	duty = AUB_WATCH_NONE;
	start();
	ASSERT_TRUE(has_upstreams(1));
	run_for(200); /* confirms the listing */
	put_upstream("u2");
	run_for(400);
	EXPECT_EQ(present.size(), 1u);
	guint64 before = platform_store_call_count(store);
	aub_store_sync_announce(
		sync, AUB_STORE_UPSTREAMS,
		aub_store_sync_known_revision(sync, AUB_STORE_UPSTREAMS) + 1);
	EXPECT_TRUE(has_upstreams(2));
	EXPECT_EQ(platform_store_call_count(store) - before, 1u);
}

TEST_F(StoreSyncTest, DoesNotFetchChangesThatAreShared)
{
	/*
	 * During a release something changes several times a second, and each
	 * change is announced before the zone's watcher shares it. There always
	 * is a newer announced revision but never an overdue one. Without the
	 * wait for shared changes the store would be queried hundreds of times.
	 */
	put_upstream("u1");
	start();
	ASSERT_TRUE(has_upstreams(1));
	put_upstream("u2");
	ASSERT_TRUE(has_upstreams(2));
	aub_store_sync_free(sync);
	duty = AUB_WATCH_NONE;
	start();
	run_for(200);
	gint64 known = aub_store_sync_known_revision(sync, AUB_STORE_UPSTREAMS);
	guint64 before = platform_store_call_count(store);

	for (int i = 1; i <= 20; i++) {
		std::string body =
			changes(known + i, { event("u2", known + i) });

		aub_store_sync_announce(sync, AUB_STORE_UPSTREAMS,
					known + i + 1);
		aub_store_sync_apply_shared(sync, AUB_STORE_UPSTREAMS,
					    known + i - 1, known + i,
					    body.data(), body.size());
		run_for(100);
	}
	EXPECT_EQ(platform_store_call_count(store) - before, 0u);
	EXPECT_EQ(revisions["u2"], known + 20);
}

TEST_F(StoreSyncTest, FetchesChangesMadeDuringListing)
{
	/*
	 * A request must not reach an upstream that departed while this process
	 * was listing: the first page of the listing is older than a change
	 * that a later page already contains.
	 */
	for (int i = 0; i < 6; i++)
		put_upstream("u" + std::to_string(i));
	platform_store_set_page_size(store, 3);
	platform_store_set_delay(store, 60);
	duty = AUB_WATCH_NONE;
	start();
	ASSERT_TRUE(run_until([&] { return present.size() == 3; }, 1000));
	platform_store_remove(store, "servers", "u0");
	put_upstream("u9"); /* in the second page, with the newest revision */
	ASSERT_TRUE(run_until([&] { return present.count("u9") > 0; }, 1000));
	EXPECT_TRUE(present.count("u0"));
	/* Another gateway announces the newest revision. */
	aub_store_sync_announce(sync, AUB_STORE_UPSTREAMS, 8);
	EXPECT_TRUE(run_until([&] { return !present.count("u0"); }, 2500));
}

TEST_F(StoreSyncTest, AbandonsAWatchThatReceivesNothing)
{
	/*
	 * The store no longer feeds the open watch, and another gateway's
	 * heartbeat announces a change. Callers must be served with the newest
	 * configuration.
	 */
	put_upstream("u1");
	start();
	ASSERT_TRUE(has_upstreams(1));
	run_for(400);
	platform_store_suppress_watch_events(store, true);
	put_upstream("u2");
	run_for(400);
	EXPECT_EQ(present.size(), 1u);
	aub_store_sync_announce(
		sync, AUB_STORE_UPSTREAMS,
		aub_store_sync_known_revision(sync, AUB_STORE_UPSTREAMS) + 1);
	EXPECT_TRUE(has_upstreams(2, 1000));
}

TEST_F(StoreSyncTest, AppliesSharedChangesOnlyWithoutAGap)
{
	put_upstream("u1");
	start();
	ASSERT_TRUE(has_upstreams(1));
	run_for(100);
	gint64 known = aub_store_sync_known_revision(sync, AUB_STORE_UPSTREAMS);
	platform_store_freeze_cache(store, false);
	put_upstream("u2");
	ASSERT_TRUE(has_upstreams(2));
	ASSERT_EQ(shared.size(), 1u);
	/*
	 * Another process, which does not watch and whose listing is from
	 * before the change, applies the same bytes.
	 */
	aub_store_sync_free(sync);
	present.clear();
	duty = AUB_WATCH_NONE;
	start();
	ASSERT_TRUE(has_upstreams(1));
	run_for(200); /* confirms the listing */
	gint64 listed =
		aub_store_sync_known_revision(sync, AUB_STORE_UPSTREAMS);
	aub_store_sync_apply_shared(sync, AUB_STORE_UPSTREAMS, listed + 5,
				    listed + 6, shared[0].data(),
				    shared[0].size());
	EXPECT_EQ(present.size(), 1u);
	aub_store_sync_apply_shared(sync, AUB_STORE_UPSTREAMS, known,
				    listed + 6, shared[0].data(),
				    shared[0].size());
	EXPECT_EQ(present.size(), 2u);
	EXPECT_EQ(aub_store_sync_known_revision(sync, AUB_STORE_UPSTREAMS),
		  listed + 6);
}

TEST_F(StoreSyncTest, RetriesRegistrationUntilItSucceeds)
{
	struct aub_member_record member = {};

	member.ip = (char *)"10.0.0.1";
	member.zone = (char *)"z1";
	platform_store_set_fault(store, PLATFORM_STORE_UNAVAILABLE);
	start();
	aub_store_sync_register(sync, "10.0.0.1", &member);
	run_for(300);
	EXPECT_EQ(platform_store_count(store, "entries"), 0u);
	platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
	EXPECT_TRUE(run_until(
		[&] { return platform_store_count(store, "entries") == 1; },
		4000));
	aub_store_sync_deregister(sync);
	EXPECT_TRUE(run_until(
		[&] { return platform_store_count(store, "entries") == 0; },
		2000));
}

/* Guards against a copy that a cached listing takes back for good. */
TEST_F(StoreSyncTest, RefusesCachedListingThatIsOlderThanTheCopy)
{
	for (const char *id : { "u1", "u2", "u3", "u4" })
		put_upstream(id);
	start();
	ASSERT_TRUE(has_upstreams(4));
	platform_store_freeze_cache(store, false);
	platform_store_remove(store, "servers", "u4");
	put_upstream("u5");
	ASSERT_TRUE(run_until(
		[&] { return present.count("u5") && !present.count("u4"); },
		2000));
	/* A watch is open; from now on others watch. */
	run_for(400);
	duty = AUB_WATCH_NONE;
	guint64 before = platform_store_call_count(store);
	platform_store_drop_history(store);
	run_for(500);
	EXPECT_EQ(present, (std::set<std::string>{ "u1", "u2", "u3", "u5" }));
	EXPECT_EQ(outdated(), 1u);
	EXPECT_FALSE(went_back);
	/* A cached and a consistent listing of each of three kinds. */
	EXPECT_LE(platform_store_call_count(store) - before, 6u);
}

/* Guards against changes between the pages of a listing that are lost. */
TEST_F(StoreSyncTest, ReceivesChangesBetweenPagesOfDifferentAge)
{
	for (int i = 0; i < 6; i++)
		put_upstream("u" + std::to_string(i));
	platform_store_set_page_size(store, 3);
	platform_store_freeze_cache(store, true);
	platform_store_remove(store, "servers", "u5");
	put_upstream("u6");
	start();
	EXPECT_TRUE(run_until(
		[&] { return present.count("u6") && !present.count("u5"); },
		1000));
	EXPECT_EQ(present.size(), 6u);
	EXPECT_FALSE(went_back);
}

/* The same, where the history between the pages is gone. */
TEST_F(StoreSyncTest, ListsAnewWhenHistoryBetweenPagesIsGone)
{
	for (int i = 0; i < 6; i++)
		put_upstream("u" + std::to_string(i));
	platform_store_set_page_size(store, 3);
	platform_store_freeze_cache(store, true);
	platform_store_remove(store, "servers", "u5");
	put_upstream("u6");
	platform_store_drop_history(store);
	start();
	EXPECT_TRUE(run_until(
		[&] { return present.count("u6") && !present.count("u5"); },
		1000));
	EXPECT_EQ(present.size(), 6u);
}

/* Guards against an answer of the store that shared changes have overtaken. */
TEST_F(StoreSyncTest, RefusesAnswerThatSharedChangesHaveOvertaken)
{
	put_upstream("u1");
	start();
	ASSERT_TRUE(has_upstreams(1));
	run_for(400);
	gint64 before = known();

	/* Its answer is on the way when u2 is gone again. */
	platform_store_set_delay(store, 200);
	put_upstream("u2");
	run_for(50);
	platform_store_remove(store, "servers", "u2");
	share(before, before + 2,
	      changes(before + 2, { event("u2", before + 1),
				    event("u2", before + 1, true) }));
	EXPECT_EQ(present.count("u2"), 0u);
	run_for(1000);
	EXPECT_EQ(present.count("u2"), 0u);
	EXPECT_EQ(outdated(), 1u);
	/* Later changes arrive. */
	put_upstream("u3");
	EXPECT_TRUE(has_upstreams(2));
	EXPECT_EQ(known(), before + 3);
}

/* Guards against an old state in an answer that also has newer changes. */
TEST_F(StoreSyncTest, IgnoresEventsThatAreOlderThanTheCopy)
{
	put_upstream("u1");
	duty = AUB_WATCH_NONE;
	start();
	ASSERT_TRUE(has_upstreams(1));
	run_for(100);
	gint64 r = known();

	share(r, r + 4,
	      changes(r + 4, { event("u2", r + 4), event("u3", r + 2),
			       event("u3", r + 2, true) }));
	EXPECT_EQ(present, (std::set<std::string>{ "u1", "u2" }));
	/* From another watcher, which had less before. */
	share(r, r + 5,
	      changes(r + 5, { event("u2", r + 1), event("u2", r + 1, true),
			       event("u3", r + 2), event("u2", r + 4),
			       event("u4", r + 5) }));
	EXPECT_EQ(present, (std::set<std::string>{ "u1", "u2", "u4" }));
	EXPECT_EQ(revisions["u2"], r + 4);
	EXPECT_EQ(changes_reported("u2"), 1);
	EXPECT_EQ(changes_reported("u3"), 2); /* there, and gone */
	EXPECT_FALSE(went_back);
}

/* Guards against a removed name that is taken for its successor. */
TEST_F(StoreSyncTest, RemovesOnlyTheObjectThatWasRemoved)
{
	put_upstream("u1");
	duty = AUB_WATCH_NONE;
	start();
	ASSERT_TRUE(has_upstreams(1));
	run_for(100);
	gint64 r = known();

	share(r, r + 3,
	      changes(r + 3, { event("u1", r, true), event("u1", r + 3) }));
	ASSERT_EQ(revisions["u1"], r + 3);
	share(r + 3, r + 4, changes(r + 4, { event("u1", r, true) }));
	EXPECT_EQ(present.count("u1"), 1u);
	share(r + 4, r + 5, changes(r + 5, { event("u1", r + 3, true) }));
	EXPECT_EQ(present.count("u1"), 0u);
}

/* Names of entries of other writers that have a meaning in a call's head. */
static const char *const odd_names[] = {
	"m&stale_ok=0", "m+n",	"m#n",	  "m%41", "m%",
	"m n",		"m\"n", "m/../n", "m?n",  "m\xc3\xa9",
};

/* Guards against a listing that a name with a meaning in a URL brings to a
 * halt.
 */
TEST_F(StoreSyncTest, ListsBeyondNameThatHasAMeaningInAUrl)
{
	for (const char *name : odd_names) {
		SCOPED_TRACE(name);
		put_upstream("a");
		platform_store_put(store, "servers", name, "7");
		put_upstream("z1");
		put_upstream("z2");
		platform_store_set_page_size(store, 2);
		start();
		EXPECT_TRUE(run_until([&] { return present.count("z2") > 0; },
				      1000));
		/* Four pages of three kinds, and a watch of each. */
		EXPECT_LE(platform_store_call_count(store), 7u);
		aub_store_sync_free(sync);
		sync = NULL;
		present.clear();
		platform_store_free(store);
		store = platform_store_new(poller, timers);
	}
}

/* Guards against a name that writes head fields or calls of its own. */
TEST_F(StoreSyncTest, SendsNothingOfANameButTheName)
{
	static const char *const names[] = {
		"m HTTP/1.1\r\nX-Injected: 1\r\n\r\n",
		"m HTTP/1.1\r\nHost: x\r\n\r\nDELETE /objects/servers/z1?x=",
	};

	for (const char *name : names) {
		SCOPED_TRACE(name);
		put_upstream("a");
		platform_store_put(store, "servers", name, "7");
		put_upstream("z1");
		put_upstream("z2");
		platform_store_set_page_size(store, 2);
		start();
		run_for(500);
		EXPECT_NE(platform_store_get(store, "servers", "z1"), nullptr);
		EXPECT_TRUE(present.count("z2"));
		/* Four pages of three kinds, and a watch of each. */
		EXPECT_EQ(platform_store_call_count(store), 7u);
		aub_store_sync_free(sync);
		sync = NULL;
		present.clear();
		platform_store_free(store);
		store = platform_store_new(poller, timers);
	}
}

/* A store whose answers about upstreams are scripted, byte by byte. */
class ScriptedStoreTest : public StoreSyncTest
{
      protected:
	ScriptedServer server;
	/* Returns the answer to a call; empty: none is sent. */
	std::function<std::string(const std::string &target)> answer;
	std::vector<std::string> targets; /* of calls about upstreams */

	void SetUp() override
	{
		StoreSyncTest::SetUp();
		address = "127.0.0.1:" + std::to_string(server.port);
		server.script = [this](const std::string &request) {
			size_t start = request.find(' ') + 1;
			std::string target =
				request.substr(start, request.find(' ', start) -
							      start);

			if (target.compare(0, 16, "/objects/servers") != 0)
				return ScriptedReply{ "" };
			targets.push_back(target);
			return ScriptedReply{ answer(target) };
		};
	}
	/* Returns an answer with a body that is packed from JSON. */
	static std::string response(const std::string &body, guint status = 200)
	{
		return "HTTP/1.1 " + std::to_string(status) +
		       " X\r\nContent-Type: application/msgpack\r\n"
		       "Content-Length: " +
		       std::to_string(body.size()) + "\r\n\r\n" + body;
	}
	static std::string item(const std::string &name)
	{
		return "{\"metadata\":{\"name\":\"" + name +
		       "\",\"revision\":5},\"spec\":{\"address\":"
		       "\"127.0.0.1:9\",\"details\":{\"service\":\"svc\","
		       "\"zone\":\"z\",\"version\":\"v\",\"slots\":2},"
		       "\"status\":{\"state\":\"ready\"},\"born\":1}}";
	}
	/*
	 * Returns a page of a listing. The name PLACEHOLDER is replaced by the
	 * encoded value `name`.
	 */
	static std::string page(const std::vector<std::string> &items,
				bool more, const std::string &name = "")
	{
		const std::string placeholder = "\xabPLACEHOLDER";
		std::string text = "{\"items\":[";

		for (size_t i = 0; i < items.size(); i++)
			text += (i ? "," : "") + items[i];
		text += std::string("],\"more\":") + (more ? "true" : "false") +
			",\"store_revision\":9}";
		GBytes *bytes = platform_body_pack(text.data(), text.size());
		gsize length;
		const char *data =
			(const char *)g_bytes_get_data(bytes, &length);
		std::string body(data, length);
		g_bytes_unref(bytes);
		if (!name.empty())
			body.replace(body.find(placeholder), placeholder.size(),
				     name);
		return response(body);
	}
	static bool is_watch(const std::string &target)
	{
		return target.find("watch=") != std::string::npos;
	}
};

/* Guards against a listing that ends at a name which is no text. */
TEST_F(ScriptedStoreTest, ListsBeyondNamesThatAreNoText)
{
	static const struct {
		std::string name; /* encoded */
		const char *after;
	} cases[] = {
		{ "\xa2\xff\xfe", "after=%FF%FE" },
		{ std::string("\xa3m\0n", 4), "after=m%00n" },
		{ std::string("\xc4\x03m\0n", 5), "after=m%00n" },
		{ "\xd9\x02\xc3\x28", "after=%C3%28" },
	};

	for (const auto &odd : cases) {
		SCOPED_TRACE(odd.after);
		answer = [&](const std::string &target) {
			if (is_watch(target))
				return std::string();
			if (target.find(odd.after) != std::string::npos)
				return page({ item("z1") }, false);
			return page({ item("PLACEHOLDER") }, true, odd.name);
		};
		start();
		EXPECT_TRUE(run_until([&] { return present.count("z1") > 0; },
				      500));
		EXPECT_EQ(present.size(), 1u);
		aub_store_sync_free(sync);
		sync = NULL;
		present.clear();
	}
}

/* Guards against very deep nesting that hides the others, or ends a process. */
TEST_F(ScriptedStoreTest, ListsBesideVeryDeeplyNestedEntry)
{
	const std::string deep = std::string(200000, '\x91') + '\xc0';

	answer = [&](const std::string &target) {
		if (is_watch(target))
			return std::string();
		return page({ item("a"),
			      "{\"metadata\":{\"name\":\"m\"},\"spec\":"
			      "\"PLACEHOLDER\"}",
			      item("z") },
			    false, deep);
	};
	start();
	EXPECT_TRUE(run_until([&] { return present.count("z") > 0; }, 500));
	EXPECT_TRUE(present.count("a"));
}

/* Guards against a store's answer that is read though its head is malformed. */
TEST_F(ScriptedStoreTest, RetriesAfterAnswerWithMalformedHead)
{
	std::vector<std::string> heads = { "HTTP/1.1 200 X\r\nX A: b\r\n",
					   "HTTP/1.1 000 X\r\n" };

	answer = [&](const std::string &target) {
		if (is_watch(target))
			return std::string();
		std::string text = page({ item("a") }, false);
		if (heads.empty())
			return text;
		text.replace(0, text.find("\n") + 1, heads.back());
		heads.pop_back();
		return text;
	};
	start();
	EXPECT_TRUE(run_until([&] { return present.count("a") > 0; }, 3000));
	EXPECT_EQ(aub_store_sync_calls(sync, AUB_STORE_UPSTREAMS,
				       AUB_STORE_NO_ANSWER),
		  2u);
}

/* Listings without progress: the answers to the calls, by their number. */
static const struct {
	const char *name;
	std::function<std::string(size_t call)> names; /* "": no name */
} stuck_listings[] = {
	{ "the same page", [](size_t) { return "a"; } },
	{ "two pages by turns",
	  [](size_t call) { return call % 2 ? "b" : "a"; } },
	{ "a page without names", [](size_t) { return ""; } },
};

class StuckListingTest : public ScriptedStoreTest
{
      protected:
	size_t listings = 0; /* calls for pages */
	bool stuck = true;
	std::string watch_answer; /* to the first watch; empty: none */

	/* Answers listings as `names` says while `stuck`, then in full. */
	void script(const std::function<std::string(size_t)> &names)
	{
		answer = [this, names](const std::string &target) {
			if (is_watch(target))
				return std::exchange(watch_answer, "");
			std::string name = names(listings++);
			if (!stuck)
				return page({ item("a"), item("z2") }, false);
			return page({ name.empty() ? "{}" : item(name) }, true);
		};
	}
};

/* Guards against a listing without progress that is read without end. */
TEST_F(StuckListingTest, EndsAndGoesOnWithWhatIsKnown)
{
	for (const auto &listing : stuck_listings) {
		SCOPED_TRACE(listing.name);
		listings = 0;
		targets.clear();
		watch_answer = response(changes(12, { event("z9", 12) }));
		script(listing.names);
		start();
		EXPECT_TRUE(run_until([&] { return present.count("z9") > 0; },
				      500));
		run_for(300);
		EXPECT_LE(listings, 3u);
		EXPECT_EQ(present.count("a"),
			  *listing.names(0).c_str() ? 1u : 0u);
		aub_store_sync_free(sync);
		sync = NULL;
		present.clear();
	}
}

/* Guards against upstreams that are taken for gone as a listing ended early. */
TEST_F(StuckListingTest, KeepsWhatItDidNotShow)
{
	for (const auto &listing : stuck_listings) {
		SCOPED_TRACE(listing.name);
		stuck = false;
		script(listing.names);
		start();
		ASSERT_TRUE(run_until([&] { return present.count("z2") > 0; },
				      500));
		run_for(50);
		stuck = true;
		listings = 0;
		server.write(response("\x80", 410));
		ASSERT_TRUE(run_until([&] { return listings > 0; }, 500));
		run_for(300);
		EXPECT_EQ(present.count("a"), 1u);
		EXPECT_EQ(present.count("z2"), 1u);
		aub_store_sync_free(sync);
		sync = NULL;
		present.clear();
	}
}

/* Guards against upstreams that stay unknown once the store has recovered. */
TEST_F(StuckListingTest, IsRepeatedUntilItIsComplete)
{
	for (enum aub_watch_duty each : { AUB_WATCH_PRIMARY, AUB_WATCH_NONE }) {
		duty = each;
		stuck = true;
		listings = 0;
		script(stuck_listings[0].names);
		start();
		run_for(300);
		EXPECT_EQ(present, (std::set<std::string>{ "a" }));
		stuck = false;
		EXPECT_TRUE(run_until([&] { return present.count("z2") > 0; },
				      3000));
		size_t before = listings;
		run_for(1500);
		EXPECT_EQ(listings, before);
		aub_store_sync_free(sync);
		sync = NULL;
		present.clear();
	}
}

/*
 * The store's watchers of a fleet together: how long changes are missed after
 * an outage, and how often idle watchers call.
 */
#include "store_fixture.h"

#include <memory>

/* What users allow from the store's return until a change is in force. */
#define CHANGE_IN_FORCE_MS 3000
#define APPLY_MS 2000
#define OUTAGE_MS 1200
/* From a change to the outage: no watcher has called again by then. */
#define OUTAGE_DELAY_MS 20

/* An object of each kind that gateways follow. */
static const struct Object {
	enum aub_store_kind kind;
	const char *path;
	const char *name;
} objects[] = {
	{ AUB_STORE_ROUTING, "config", "main" },
	{ AUB_STORE_UPSTREAMS, "servers", "u1" },
	{ AUB_STORE_EVACUATIONS, "evacuations", "z1" },
	{ AUB_STORE_ROLLOUTS, "rollouts", "svc" },
};

class StoreWatchersTest;

struct Watcher {
	StoreWatchersTest *test;
	struct aub_store_sync *sync = NULL;
	struct aub_watch_role role;
	gint64 revisions[AUB_STORE_KINDS] = {}; /* of the last change */
};

class StoreWatchersTest : public StoreTest
{
      protected:
	std::vector<std::unique_ptr<Watcher>> watchers;
	guint changes = 0;

	void TearDown() override
	{
		for (auto &watcher : watchers)
			aub_store_sync_free(watcher->sync);
		StoreTest::TearDown();
	}
	static void on_changed(enum aub_store_kind kind,
			       struct aub_record *record, void *context)
	{
		gint64 *revision = &((Watcher *)context)->revisions[kind];

		*revision = MAX(*revision, record->revision);
	}
	/* Heartbeats announce what a watcher knows to all others. */
	static void on_batch_done(void *context)
	{
		Watcher *from = (Watcher *)context;

		for (auto &watcher : from->test->watchers) {
			if (!from->sync || !watcher->sync ||
			    watcher.get() == from)
				continue;
			for (int kind = 0; kind < AUB_STORE_KINDS; kind++)
				aub_store_sync_announce(
					watcher->sync,
					(enum aub_store_kind)kind,
					aub_store_sync_known_revision(
						from->sync,
						(enum aub_store_kind)kind));
		}
	}
	/* Starts two watchers in each zone; the primaries come first. */
	void start(guint zones)
	{
		for (guint i = 0; i < 2 * zones; i++) {
			watchers.push_back(std::make_unique<Watcher>());
			watchers[i]->test = this;
			watchers[i]->role = { i < zones ? AUB_WATCH_PRIMARY :
							  AUB_WATCH_STANDBY,
					      i, 2 * zones, zones };
			start(*watchers[i]);
		}
		run_for(300);
	}
	void start(Watcher &watcher)
	{
		const struct aub_store_sync_options options = {
			.platform = &aub_platform,
			.client = client,
			.timers = timers,
			.address = platform_store_address(store),
			.follows_rollouts = true,
			.changed = on_changed,
			.batch_done = on_batch_done,
			.share = [](enum aub_store_kind, gint64, gint64,
				    const char *, gsize, void *) {},
			.watch_role =
				[](void *context) {
					return ((Watcher *)context)->role;
				},
			.apply_ms = APPLY_MS,
			.fleet_size = [](void *) { return 14u; },
			.listed = [](enum aub_store_kind, void *) {},
			.context = &watcher,
		};

		watcher.sync = aub_store_sync_new(&options);
	}
	/* Changes an object and returns its revision. */
	gint64 change(const struct Object &object)
	{
		std::string spec = "{\"n\":" + std::to_string(++changes) + "}";

		return platform_store_put(store, object.path, object.name,
					  spec.c_str());
	}
	bool all_have(const struct Object &object, gint64 revision, int ms)
	{
		return run_until(
			[&] {
				for (auto &watcher : watchers)
					if (watcher->sync &&
					    watcher->revisions[object.kind] <
						    revision)
						return false;
				return true;
			},
			ms);
	}
	/*
	 * The store stops answering right after a change, when all watchers
	 * call again, and something else changes once it is back.
	 */
	void lose_watches(const struct Object &object)
	{
		gint64 revision = change(object);

		run_for(OUTAGE_DELAY_MS);
		platform_store_set_fault(store, PLATFORM_STORE_UNRESPONSIVE);
		run_for(OUTAGE_MS);
		platform_store_set_fault(store, PLATFORM_STORE_NO_FAULT);
		revision = change(object);
		EXPECT_TRUE(all_have(object, revision, CHANGE_IN_FORCE_MS))
			<< object.path;
	}
};

/* The store accepted the watches of all gateways and never answers them. */
TEST_F(StoreWatchersTest, ReceiveChangesSoonAfterWatchesWereLost)
{
	start(3);
	for (auto &object : objects)
		lose_watches(object);
}

/* The same in a fleet of a single zone. */
TEST_F(StoreWatchersTest, ReceiveChangesSoonInOneZone)
{
	start(1);
	for (auto &object : objects)
		lose_watches(object);
}

/* The watches are lost, and the process whose watch ends first is gone. */
TEST_F(StoreWatchersTest, ReceiveChangesSoonWithoutTheFirstWatcher)
{
	start(2);
	aub_store_sync_free(watchers[0]->sync);
	watchers[0]->sync = NULL;
	for (auto &object : objects)
		if (object.kind != AUB_STORE_ROLLOUTS)
			lose_watches(object);
}

/* Calls cost: idle watchers take turns, one call per interval and kind. */
TEST_F(StoreWatchersTest, CallOncePerIntervalWhenIdle)
{
	const guint interval_ms = 750; /* half of APPLY_MS less the margin */
	const guint kinds = 3;
	const guint rollouts_interval_ms = 2000;

	start(3);
	change(objects[0]);
	run_for(1500);
	guint64 before = platform_store_call_count(store);
	run_for(6000);
	EXPECT_LE(platform_store_call_count(store) - before,
		  kinds * (6000 / interval_ms + 1) +
			  6000 / rollouts_interval_ms + 1);
}

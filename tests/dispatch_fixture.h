/* Fixture that drives one dispatcher with an inventory and a virtual clock. */
#ifndef TESTS_DISPATCH_FIXTURE_H
#define TESTS_DISPATCH_FIXTURE_H

#include <auburnstile/dispatch.h>
#include <auburnstile/timer.h>

#include <map>
#include <string>
#include <vector>

struct fixture_options {
	guint upstreams = 3;
	guint slots = 2;
	guint cold_slots = 1;
	guint queue_limit = 100;
	guint cold_ms = 1000;
	guint hedge_percent = 0;
	guint probe_budget_us = 0;
	guint probe_cost_us = 1000;
	guint out = 0; /* bit n: the zone of upstream n is out */
	enum aub_policy policy = AUB_POLICY_AUBURNSTILE;
};

class DispatchFixture
{
      public:
	struct aub_dispatcher *dispatcher;
	gint64 now = 1000 * AUB_SECOND;
	struct fixture_options options;

	explicit DispatchFixture(
		const fixture_options &given = fixture_options(),
		bool as_owner = true)
	    : options(given)
	{
		struct aub_dispatcher_options dispatcher_options = {};

		dispatcher_options.policy = options.policy;
		dispatcher_options.seed = 7;
		dispatcher = aub_dispatcher_new(&dispatcher_options);
		configure();
		if (as_owner)
			aub_dispatcher_set_role(dispatcher, AUB_DISPATCH_OWNER,
						0, now);
	}
	~DispatchFixture()
	{
		aub_dispatcher_free(dispatcher);
	}
	/* Upstream n is named "u<n>" and is in a zone "z<n>" of its own. */
	void configure()
	{
		std::string text = "version = 1\n";

		for (guint i = 0; i < options.upstreams; i++) {
			std::string n = std::to_string(i);

			text += "[[zone]]\nname = \"z" + n +
				"\"\nregion = \"r\"\nvms = [\"v" + n + "\"]\n";
		}
		text += service();
		GError *error = nullptr;
		struct aub_inventory *inventory =
			aub_inventory_parse(text.data(), text.size(), "fixture",
					    &error);
		g_assert_no_error(error);
		for (guint i = 0; i < options.upstreams; i++)
			aub_zone_at(inventory, i)->out = options.out >> i & 1;
		aub_dispatcher_configure(dispatcher, inventory, 0, now);
		aub_inventory_unref(inventory);
	}
	void submit(guint64 id, bool at_most_once = false,
		    guint32 retry_budget = 100,
		    gint64 timeout_us = 5 * AUB_SECOND, guint64 fingerprint = 0)
	{
		struct aub_dispatch_request request = {};

		request.id = id;
		request.deadline_us = now + timeout_us;
		request.at_most_once = at_most_once;
		request.retry_budget = retry_budget;
		request.fingerprint = fingerprint;
		aub_dispatcher_submit(dispatcher, &request, now);
	}
	std::vector<struct aub_action> take_actions()
	{
		std::vector<struct aub_action> list;
		struct aub_action action;

		while (aub_dispatcher_next_action(dispatcher, &action))
			list.push_back(action);
		aub_dispatcher_check_invariants(dispatcher);
		return list;
	}
	/* Returns the next action, which has to be the only one. */
	struct aub_action take_one()
	{
		auto list = take_actions();

		g_assert_cmpuint(list.size(), ==, 1);
		return list[0];
	}
	void attempt_done(const struct aub_action &sent,
			  enum aub_attempt_result result = AUB_ATTEMPT_ANSWERED,
			  guint64 boot_id = 1, bool cold = false,
			  bool failed = false, bool draining = false)
	{
		struct aub_upstream_signals signals = { boot_id, cold, draining,
							failed };
		bool reported = result == AUB_ATTEMPT_ANSWERED ||
				result == AUB_ATTEMPT_SHED;

		aub_dispatcher_attempt_done(dispatcher, sent.request,
					    sent.attempt, result,
					    reported ? &signals : nullptr, now);
	}
	void probe_done(const struct aub_action &probe, bool answered = true,
			guint64 boot_id = 1, bool cold = false)
	{
		struct aub_upstream_signals signals = { boot_id, cold, false,
							false };

		aub_dispatcher_probe_done(dispatcher, probe.upstream, answered,
					  answered ? &signals : nullptr, 0,
					  now);
	}
	void advance_time(gint64 us)
	{
		now += us;
		aub_dispatcher_tick(dispatcher, now);
	}
	/*
	 * Sends requests to all upstreams and answers them, so that all are
	 * known to be warm.
	 */
	void warm_up(gint64 took_us = 10 * AUB_MS)
	{
		std::vector<struct aub_action> sent;

		for (guint i = 0; i < options.upstreams * options.slots; i++)
			submit(warm_up_id++);
		for (int round = 0; aub_dispatcher_pending(dispatcher);
		     round++) {
			g_assert_cmpint(round, <, 100);
			sent = take_actions();
			now += took_us;
			for (const auto &action : sent)
				if (action.type == AUB_ACTION_SEND)
					attempt_done(action);
		}
		take_actions();
	}
	/*
	 * Answers all attempts until no action is left; boot ids by upstream.
	 */
	void answer_all(const std::map<guint16, guint64> &boot_ids = {})
	{
		for (auto list = take_actions(); !list.empty();
		     list = take_actions())
			for (const auto &action : list)
				if (action.type == AUB_ACTION_SEND)
					attempt_done(
						action, AUB_ATTEMPT_ANSWERED,
						boot_ids.empty() ?
							1 :
							boot_ids.at(
								action.upstream));
	}
	/* id of the next request of warm_up(), above those of tests */
	guint64 warm_up_id = 1u << 30;

      private:
	std::string service() const
	{
		std::string text =
			"[[service]]\nname = \"s\"\npath = \"/\"\n"
			"slots = " +
			std::to_string(options.slots) + "\nqueue_limit = " +
			std::to_string(options.queue_limit) +
			"\ncold_ms = " + std::to_string(options.cold_ms) +
			"\ncold_slots = " + std::to_string(options.cold_slots) +
			"\nhedge_percent = " +
			std::to_string(options.hedge_percent) +
			"\nprobe_budget_us = " +
			std::to_string(options.probe_budget_us) +
			"\nprobe_cost_us = " +
			std::to_string(options.probe_cost_us) +
			"\nupstreams = [\n";

		for (guint i = 0; i < options.upstreams; i++) {
			std::string n = std::to_string(i);

			text += "{ name = \"u" + n + "\", vm = \"v" + n +
				"\", address = \"127.0.0.1:" +
				std::to_string(20000 + i) + "\" },\n";
		}
		return text + "]\n";
	}
};

static inline guint count(const std::vector<struct aub_action> &list,
			  enum aub_action_type type)
{
	guint n = 0;

	for (const auto &action : list)
		n += action.type == type;
	return n;
}

static inline struct aub_upstream_status status(DispatchFixture &fixture,
						guint upstream)
{
	struct aub_upstream_status list[64];

	g_assert_cmpuint(aub_dispatcher_status(fixture.dispatcher, list, 64), >,
			 upstream);
	return list[upstream];
}

#endif

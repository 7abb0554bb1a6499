/*
 * A placement with upstreams of the test's choice, and a clock of its own.
 */
#ifndef TESTS_PLACEMENT_RIG_H
#define TESTS_PLACEMENT_RIG_H

#include <gtest/gtest.h>

#include <auburnstile/internal/placement_parts.h>

#include <string>
#include <vector>

#define MS ((gint64)1000)

class Placement
{
      public:
	struct aub_placement *it;
	gint64 now = 1000 * MS;
	guint64 serial = 0;

	explicit Placement(double ratio = 0.2, guint slack = 10)
	{
		const struct aub_placement_limits limits = {
			.retry_ratio = ratio,
			.retry_slack = slack,
			.window_us = 10000 * MS,
		};
		struct aub_service_spec spec = {};

		spec.name = (char *)"svc";
		spec.health_path = (char *)"/health";
		spec.warmup_ms = 3000;
		spec.warmup_per_s = 2.0;
		it = aub_placement_new("svc", &limits);
		aub_placement_configure(it, &spec);
	}
	~Placement()
	{
		aub_placement_free(it);
	}
	void enter(const std::string &id, guint slots = 2,
		   const std::string &zone = "z1", bool draining = false,
		   gint64 born = 1, guint warmup_ms = 0,
		   const std::string &version = "v1")
	{
		std::string address = "10.0.0.1:" + std::to_string(8000 + born);
		struct aub_upstream_record record = {};

		record.service = (char *)"svc";
		record.address = (char *)address.c_str();
		record.zone = (char *)zone.c_str();
		record.version = (char *)version.c_str();
		record.slots = slots;
		record.draining = draining;
		record.born_ms = born;
		record.warmup_left_ms = warmup_ms;
		aub_placement_register(it, id.c_str(), &record, now);
	}
	void leave(const std::string &id)
	{
		aub_placement_register(it, id.c_str(), NULL, now);
	}
	void probed(const std::string &id, gint warmup_ms = -1,
		    gint slowdown = 100,
		    enum aub_probe_end end = AUB_PROBE_WELL)
	{
		struct aub_load load = { 0, 0, 2, slowdown, warmup_ms };

		aub_placement_probe_ended(it, id.c_str(), end, &load, now);
	}
	void add(const std::string &id, guint slots = 2,
		 const std::string &zone = "z1")
	{
		enter(id, slots, zone);
		probed(id);
	}
	struct aub_ask ask_of(guint priority = 2)
	{
		struct aub_ask ask = {};

		ask.ticket = ++serial;
		ask.holder = 7;
		ask.zone = "z1";
		ask.priority = priority;
		ask.target_ms = 600;
		ask.on_time_ms = 300;
		ask.max_wait_ms = 300;
		return ask;
	}
	struct aub_decision ask(const struct aub_ask &ask)
	{
		struct aub_decision decision;

		aub_placement_ask(it, &ask, now, &decision);
		aub_placement_check(it);
		return decision;
	}
	struct aub_decision ask()
	{
		return ask(ask_of());
	}
	bool next(struct aub_decision *decision)
	{
		bool is = aub_placement_next(it, now, decision);

		aub_placement_check(it);
		return is;
	}
	void report(guint64 ticket, enum aub_attempt_end end = AUB_END_OK,
		    gint64 elapsed_us = 200 * MS)
	{
		struct aub_attempt_report report = {};

		report.ticket = ticket;
		report.end = end;
		report.elapsed_us = elapsed_us;
		report.load = { -1, -1, -1, -1, -1 };
		aub_placement_report(it, &report, now);
		aub_placement_check(it);
	}
	struct aub_row *row(const std::string &id)
	{
		return aub_placement_row(it,
					 (guint)aub_placement_find(it,
								   id.c_str()));
	}
};

#endif

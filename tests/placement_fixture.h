/*
 * A placement with simulated upstreams and a simulated clock.
 */
#ifndef TESTS_PLACEMENT_FIXTURE_H
#define TESTS_PLACEMENT_FIXTURE_H

#include <gtest/gtest.h>

#include <auburnstile/internal/placement_internal.h>

#include <string>
#include <vector>

#define US_PER_MS ((gint64)1000)

class PlacementFixture
{
      public:
	struct aub_placement *placement;
	gint64 now_us = 1000 * US_PER_MS;
	guint64 last_ticket = 0;

	double retry_ratio;
	double retry_slack;
	gint64 credit_us = now_us; /* until which the slack was handed over */

	/* Starts with the slack of a window as credit. */
	explicit PlacementFixture(double ratio = 0.2, double slack = 10)
	    : retry_ratio(ratio), retry_slack(slack)
	{
		const struct aub_placement_limits limits = {
			.retry_ratio = ratio,
			.retry_slack = slack,
			.window_us = 10000 * US_PER_MS,
		};
		struct aub_service_spec spec = {};

		spec.name = (char *)"svc";
		spec.health_path = (char *)"/health";
		spec.warmup_ms = 3000;
		spec.warmup_per_s = 2.0;
		placement = aub_placement_new("svc", &limits);
		aub_placement_configure(placement, &spec);
		aub_retry_admission_add_credit(&placement->retries, slack,
					       now_us);
	}
	/*
	 * Returns the credit of the whole fleet that goes with `request`, in
	 * thousandths of a retry, as if all gateways sent theirs with it.
	 */
	guint32 retry_credit(const struct aub_placement_request &request)
	{
		double credit = retry_slack * (double)(now_us - credit_us) /
				(10000 * US_PER_MS);

		credit_us = now_us;
		return (guint32)(1000 *
				 (credit + (request.retry ? 0 : retry_ratio)));
	}
	~PlacementFixture()
	{
		aub_placement_free(placement);
	}
	void register_upstream(const std::string &id, guint slots = 2,
			       const std::string &zone = "z1",
			       bool draining = false, gint64 started_ms = 1,
			       guint warmup_ms = 0,
			       const std::string &version = "v1")
	{
		std::string address =
			"10.0.0.1:" + std::to_string(8000 + started_ms);
		struct aub_upstream_record record = {};

		record.service = (char *)"svc";
		record.address = (char *)address.c_str();
		record.zone = (char *)zone.c_str();
		record.version = (char *)version.c_str();
		record.slots = slots;
		record.draining = draining;
		record.born_ms = started_ms;
		record.warmup_left_ms = warmup_ms;
		aub_placement_register(placement, id.c_str(), &record, now_us);
	}
	void unregister_upstream(const std::string &id)
	{
		aub_placement_register(placement, id.c_str(), NULL, now_us);
	}
	void finish_probe(const std::string &id, gint warmup_ms = -1,
			  gint slowdown = 100,
			  enum aub_probe_result result = AUB_PROBE_HEALTHY)
	{
		struct aub_load load = { 0,	   0,	      2,
					 slowdown, warmup_ms, AUB_LIMIT_UNKNOWN,
					 0,	   false };

		aub_placement_probe_finished(placement, id.c_str(), result,
					     &load, now_us);
	}
	/* An answer of `id`, to a request sent now, names a limit. */
	void name_limit(const std::string &id, double per_s)
	{
		struct aub_load load = AUB_LOAD_UNKNOWN;

		load.limit = AUB_LIMIT_NAMED;
		load.limit_per_1000_s = (guint32)(1000 * per_s);
		aub_placement_observe_answer(placement, id.c_str(), &load,
					     now_us, now_us);
	}
	void add_healthy(const std::string &id, guint slots = 2,
			 const std::string &zone = "z1")
	{
		register_upstream(id, slots, zone);
		finish_probe(id);
	}
	struct aub_placement_request new_request(guint priority = 2)
	{
		struct aub_placement_request request = {};

		request.ticket = ++last_ticket;
		request.holder = 7;
		request.zone = "z1";
		request.priority = priority;
		request.target_ms = 600;
		request.on_time_wait_ms = 300;
		request.max_wait_ms = 300;
		return request;
	}
	struct aub_placement_decision submit(
		struct aub_placement_request request)
	{
		struct aub_placement_decision decision;

		request.retry_credit = retry_credit(request);
		aub_placement_submit(placement, &request, now_us, &decision);
		aub_placement_check_invariants(placement);
		return decision;
	}
	struct aub_placement_decision submit()
	{
		return submit(new_request());
	}
	bool next_decision(struct aub_placement_decision *decision)
	{
		bool found = aub_placement_next_decision(placement, now_us,
							 decision);

		aub_placement_check_invariants(placement);
		return found;
	}
	void report(guint64 ticket, enum aub_grant_result end = AUB_GRANT_OK,
		    gint64 elapsed_us = 200 * US_PER_MS)
	{
		struct aub_grant_report report = {};

		report.ticket = ticket;
		report.end = end;
		report.elapsed_us = elapsed_us;
		report.load = AUB_LOAD_UNKNOWN;
		aub_placement_report(placement, &report, now_us);
		aub_placement_check_invariants(placement);
	}
	struct aub_placement_upstream *upstream(const std::string &id)
	{
		return aub_placement_get_upstream(
			placement,
			(guint)aub_placement_find_upstream(placement,
							   id.c_str()));
	}
};

#endif

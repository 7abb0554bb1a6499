/*
 * A fleet of gateways in virtual time that place requests for one service while
 * gateways are paused and killed. Counts each arrival at an upstream.
 */
#ifndef TESTS_PLACEMENT_FLEET_H
#define TESTS_PLACEMENT_FLEET_H

#include "placement_fixture.h"

#include <auburnstile/internal/retry_earnings.h>

#include <deque>
#include <map>
#include <memory>

#define US_PER_S (1000 * US_PER_MS)

struct PlacementFleetSpec {
	guint gateways = 12;
	double requests_per_s = 200;
	double refused = 0.7; /* share of the attempts that are refused */
	double slack = 60;
	/* Each gateway is paused for this share of each period. */
	double paused_share = 0;
	gint64 pause_period_us = 200 * US_PER_MS;
	gint64 kill_period_us = 0; /* 0: none is killed */
	/* The load falls to a third at this time; 0: it does not. */
	gint64 load_falls_us = 0;
	guint slots = 400; /* of each of four upstreams */
	bool cold_upstream = false; /* one more, in warm-up throughout */
	guint seed = 1;
};

class PlacementFleet
{
      public:
	static constexpr gint64 STEP_US = 2 * US_PER_MS;
	static constexpr gint64 WINDOW_US = 10 * US_PER_S;
	static constexpr gint64 NEXT_PLACER_US = 50 * US_PER_MS;
	static constexpr gint64 WAIT_MAX_US = 2 * US_PER_S;
	static constexpr double RATIO = 0.2;

	PlacementFleetSpec spec;
	gint64 now_us = 100 * US_PER_S;
	gint64 start_us = now_us;
	guint64 requests_in_all = 0;
	guint64 further_in_all = 0;
	guint64 served_in_all = 0;
	/* Most further arrivals in a window for what is allowed. */
	double largest_share = 0;
	/* Most arrivals at the cold upstream in a second. */
	gsize cold_arrivals_most = 0;

	explicit PlacementFleet(const PlacementFleetSpec &fleet_spec)
	    : spec(fleet_spec), random(g_rand_new_with_seed(spec.seed))
	{
		for (guint i = 0; i < spec.gateways; i++) {
			processes.emplace_back(new Process);
			restart(i);
		}
	}
	~PlacementFleet()
	{
		g_rand_free(random);
	}
	PlacementFleet(const PlacementFleet &) = delete;

	void run(gint64 duration_us)
	{
		for (gint64 end_us = now_us + duration_us; now_us < end_us;
		     now_us += STEP_US)
			step();
	}

      private:
	/* A request of a caller at one gateway. */
	struct Request {
		guint gateway;
		guint64 incarnation; /* of that gateway */
		guint64 ticket = 0;
		guint arrivals = 0;
		guint asked = 0; /* placers, for the current ticket */
		guint asked_placer = 0;
		gint64 asked_us = 0;
		bool placed = false;
		bool waiting = false;
	};
	struct Ask {
		struct aub_placement_request request;
		std::shared_ptr<Request> of;
	};
	struct Process {
		std::unique_ptr<PlacementFixture> fixture;
		guint64 incarnation = 0;
		gint64 pause_phase_us = 0;
		std::vector<Ask> inbox;
		/* placer -> time until which it is not asked */
		std::map<guint, gint64> suspected_until_us;
		struct aub_retry_earnings earnings;
	};
	struct Answer {
		std::shared_ptr<Request> of;
		guint placer;
		guint64 placer_incarnation;
		guint64 ticket;
		bool refused;
	};
	struct Placed {
		guint placer;
		std::shared_ptr<Request> of;
	};

	std::vector<std::unique_ptr<Process>> processes;
	std::vector<std::shared_ptr<Request>> waiting;
	std::multimap<gint64, Answer> answers;
	std::map<guint64, Placed> queued; /* ticket -> where it waits */
	std::deque<gint64> requests;
	std::deque<gint64> further;
	std::deque<gint64> cold_arrivals;
	GRand *random;
	double due = 0;
	guint64 serial = 0;
	gint64 next_kill_us = 0;

	void restart(guint i)
	{
		Process &process = *processes[i];

		process = Process();
		process.fixture.reset(new PlacementFixture(0, 0));
		process.fixture->now_us = now_us;
		for (int u = 0; u < 4; u++) {
			std::string id = "u" + std::to_string(u);

			process.fixture->add_healthy(id, spec.slots);
		}
		if (spec.cold_upstream) {
			process.fixture->register_upstream("cold");
			process.fixture->finish_probe("cold", 600000);
		}
		process.incarnation = ++serial;
		process.pause_phase_us =
			g_rand_int_range(random, 0, spec.pause_period_us);
		aub_retry_earnings_init(&process.earnings, now_us);
	}
	bool is_paused(const Process &process) const
	{
		return (now_us + process.pause_phase_us) %
			       spec.pause_period_us <
		       spec.paused_share * spec.pause_period_us;
	}
	struct aub_placement *placement(guint i)
	{
		processes[i]->fixture->now_us = now_us;
		return processes[i]->fixture->placement;
	}
	void step()
	{
		if (spec.kill_period_us && now_us >= next_kill_us) {
			next_kill_us = now_us + spec.kill_period_us;
			restart(g_rand_int_range(random, 0, 3));
			restart(g_rand_int_range(random, 0, spec.gateways));
		}
		arrive();
		for (guint i = 0; i < spec.gateways; i++)
			if (!is_paused(*processes[i]))
				wake(i);
		ask_others();
		while (!answers.empty() && answers.begin()->first <= now_us) {
			Answer answer = answers.begin()->second;

			answers.erase(answers.begin());
			finish(answer);
		}
		check();
	}
	void arrive()
	{
		bool fallen = spec.load_falls_us &&
			      now_us - start_us >= spec.load_falls_us;

		due += spec.requests_per_s * (fallen ? 0.33 : 1) * STEP_US /
		       US_PER_S;
		for (; due >= 1; due -= 1) {
			auto request = std::make_shared<Request>();

			request->gateway =
				g_rand_int_range(random, 0, spec.gateways);
			request->incarnation =
				processes[request->gateway]->incarnation;
			requests.push_back(now_us);
			requests_in_all++;
			place(request);
		}
	}
	/* Asks for a new ticket, as aub_request_place() does. */
	void place(const std::shared_ptr<Request> &request)
	{
		request->ticket = ++serial;
		request->asked = 0;
		request->asked_us = now_us;
		request->waiting = true;
		waiting.push_back(request);
		ask(request);
	}
	/* Asks the next placer, as ticket_request() in placer_tickets.c. */
	void ask(const std::shared_ptr<Request> &request)
	{
		Process &gateway = *processes[request->gateway];
		guint placer = 0;

		while (placer < spec.gateways && placer != request->gateway &&
		       gateway.suspected_until_us[placer] > now_us)
			placer++;
		if (request->asked >= 2 || placer == spec.gateways ||
		    placer == request->gateway) {
			decide(request->gateway,
			       { fill(request, placer != request->gateway),
				 request });
			return;
		}
		request->asked++;
		request->asked_placer = placer;
		request->asked_us = now_us;
		processes[placer]->inbox.push_back(
			{ fill(request, false), request });
	}
	struct aub_placement_request fill(
		const std::shared_ptr<Request> &request, bool fallback)
	{
		/* See placement_limits_of() in node.c. */
		const struct aub_retry_terms terms = {
			.ratio = 0.95 * RATIO,
			.slack = 0.9 * spec.slack / spec.gateways,
			.window_us = WINDOW_US,
		};
		struct aub_placement_request filled =
			processes[request->gateway]->fixture->new_request();

		filled.ticket = request->ticket;
		filled.first = !request->placed;
		filled.retry = request->arrivals > 0;
		filled.local_fallback = fallback;
		filled.retry_credit = aub_retry_earnings_hand_over(
			&processes[request->gateway]->earnings, &terms,
			filled.first, filled.retry, now_us);
		request->placed = true;
		return filled;
	}
	/* Work of a process that is not paused: its messages and timers. */
	void wake(guint i)
	{
		std::vector<Ask> inbox;

		inbox.swap(processes[i]->inbox);
		for (auto &ask : inbox)
			decide(i, ask);
		drain_queue(i);
	}
	/* Whoever has no decision in time asks the next placer. */
	void ask_others()
	{
		std::vector<std::shared_ptr<Request>> all;

		all.swap(waiting);
		for (auto &request : all) {
			Process &gateway = *processes[request->gateway];

			if (!request->waiting ||
			    request->incarnation != gateway.incarnation ||
			    now_us - request->asked_us > WAIT_MAX_US)
				continue;
			if (is_paused(gateway) || !request->asked ||
			    now_us - request->asked_us < NEXT_PLACER_US ||
			    queued.count(request->ticket)) {
				waiting.push_back(request);
				continue;
			}
			gint64 &until = gateway.suspected_until_us
						[request->asked_placer];

			until = MAX(until, now_us + US_PER_S);
			waiting.push_back(request);
			ask(request);
		}
	}
	void decide(guint i, const Ask &ask)
	{
		struct aub_placement_decision decision;
		struct aub_placement_request request = ask.request;

		/* As aub_placer_ranks_first(): gateways rank by number. */
		request.avoid_cold = i != 0;
		aub_placement_submit(placement(i), &request, now_us, &decision);
		if (decision.verdict == AUB_VERDICT_QUEUED)
			queued[decision.ticket] = { i, ask.of };
		else
			deliver(i, decision, ask.of);
	}
	void drain_queue(guint i)
	{
		struct aub_placement_decision decision;

		while (aub_placement_next_decision(placement(i), now_us,
						   &decision)) {
			auto at = queued.find(decision.ticket);

			if (at == queued.end())
				continue;
			std::shared_ptr<Request> request = at->second.of;

			queued.erase(at);
			deliver(i, decision, request);
		}
	}
	void deliver(guint i, const struct aub_placement_decision &decision,
		     const std::shared_ptr<Request> &request)
	{
		bool granted = decision.verdict == AUB_VERDICT_GRANTED;
		Process &gateway = *processes[request->gateway];

		if (!request->waiting || request->ticket != decision.ticket ||
		    request->incarnation != gateway.incarnation) {
			if (granted)
				report(i, decision.ticket, AUB_GRANT_UNUSED);
			return;
		}
		request->waiting = false;
		if (!granted)
			return;
		if (!strcmp(decision.upstream, "cold"))
			count_cold_arrival();
		if (++request->arrivals > 1) {
			further.push_back(now_us);
			further_in_all++;
		}
		bool refused = g_rand_double(random) < spec.refused;

		answers.insert({ now_us + (refused ? 5 : 150) * US_PER_MS,
				 { request, i, processes[i]->incarnation,
				   decision.ticket, refused } });
	}
	void count_cold_arrival()
	{
		cold_arrivals.push_back(now_us);
		while (cold_arrivals.front() <= now_us - US_PER_S)
			cold_arrivals.pop_front();
		cold_arrivals_most =
			MAX(cold_arrivals_most, cold_arrivals.size());
	}
	void report(guint i, guint64 ticket, enum aub_grant_result end)
	{
		struct aub_grant_report report = {};

		report.ticket = ticket;
		report.end = end;
		report.elapsed_us = 100 * US_PER_MS;
		report.load = {
			1, 0, 400, 100, -1, AUB_LIMIT_UNKNOWN, 0, false
		};
		aub_placement_report(placement(i), &report, now_us);
	}
	void finish(const Answer &answer)
	{
		if (answer.placer_incarnation ==
		    processes[answer.placer]->incarnation)
			report(answer.placer, answer.ticket,
			       answer.refused ? AUB_GRANT_REFUSED :
						AUB_GRANT_OK);
		if (answer.of->incarnation !=
		    processes[answer.of->gateway]->incarnation)
			return;
		if (answer.refused && answer.of->arrivals < 3)
			place(answer.of);
		served_in_all += !answer.refused;
	}
	void check()
	{
		while (!requests.empty() &&
		       requests.front() <= now_us - WINDOW_US)
			requests.pop_front();
		while (!further.empty() &&
		       further.front() <= now_us - WINDOW_US)
			further.pop_front();
		largest_share = MAX(largest_share,
				    further.size() / (RATIO * requests.size() +
						      spec.slack));
	}
};

#endif

/*
 * Random sequences of requests, results, cold starts, role changes and
 * reconfigurations, checked against a model of the real state of each upstream.
 *
 * 400 sequences with a fixed seed; AUB_FUZZ_SEQUENCES and AUB_FUZZ_SEED select
 * others. A failing sequence is printed, and shrunk if AUB_FUZZ_SHRINK is set.
 */
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "dispatch_fixture.h"

#include <cstdlib>
#include <deque>
#include <set>

static const guint UPSTREAMS_MAX = 5;

struct command {
	guint8 type;
	guint32 value;
};

static void showValue(const command &input, std::ostream &out)
{
	out << "{" << (int)input.type << "," << input.value << "}";
}

/* An attempt that was sent and is not reported yet. */
struct outstanding_attempt {
	struct aub_action sent;
	bool cancelled;
};

struct request_model {
	bool at_most_once = false;
	bool abandoned = false;
	guint final_actions = 0;
	bool may_have_run = false; /* according to reported results */
	guint outstanding_attempts = 0;
	std::set<guint32> answered;
};

struct upstream_model {
	guint64 boot_id = 1;
	gint64 cold_until_us = 0;
	bool hides_cold = false;
	bool unreachable = false;
	bool draining = false;
	guint in_flight = 0;
	/* the state that was reported to the dispatcher */
	guint64 reported_boot_id = 0;
	bool reported_cold = false;
	gint64 cold_since_us = 0; /* 0: not known to be cold */
};

class DispatcherModel
{
      public:
	explicit DispatcherModel(const fixture_options &options)
	    : fixture(options, false)
	{
	}

	void run(const std::vector<command> &commands)
	{
		for (const auto &input : commands) {
			run_command(input);
			process_actions();
		}
		finish_all();
	}
	guint64 digest = 14695981039346656037u;

      private:
	DispatchFixture fixture;
	enum aub_dispatch_role role = AUB_DISPATCH_NONE;
	gint64 takeover_grace_until_us = 0;
	std::map<guint64, request_model> requests;
	std::vector<outstanding_attempt> running;
	std::vector<struct aub_action> probes;
	std::deque<gint64> probe_times;
	upstream_model upstreams[UPSTREAMS_MAX];
	guint64 next_id = 1;

	void add_to_digest(guint64 value)
	{
		digest = (digest ^ value) * 1099511628211u;
	}

	/*
	 * Returns the limit of concurrent attempts that follows from the state
	 * which the upstream has reported.
	 */
	guint attempt_limit(const upstream_model &upstream) const
	{
		bool cold = upstream.reported_cold ||
			    (upstream.cold_since_us &&
			     fixture.now - upstream.cold_since_us <
				     fixture.options.cold_ms * AUB_MS);
		bool shared = role == AUB_DISPATCH_STANDBY ||
			      fixture.now < takeover_grace_until_us;

		if (shared)
			return cold ? 0 : fixture.options.slots / 2;
		return cold || !upstream.reported_boot_id ?
			       fixture.options.cold_slots :
			       fixture.options.slots;
	}

	void check_send(const struct aub_action &action)
	{
		request_model &request = requests.at(action.request);
		upstream_model &upstream = upstreams[action.upstream];

		RC_ASSERT(role != AUB_DISPATCH_NONE);
		RC_ASSERT(action.upstream < fixture.options.upstreams);
		RC_ASSERT(!(fixture.options.out >> action.upstream & 1));
		RC_ASSERT(request.final_actions == 0u);
		RC_ASSERT(!request.abandoned);
		RC_ASSERT(upstream.in_flight + 1 <= attempt_limit(upstream));
		if (request.at_most_once) {
			RC_ASSERT(!request.may_have_run);
			RC_ASSERT(request.outstanding_attempts == 0u);
		}
		for (const auto &other : running)
			if (action.hedge &&
			    other.sent.request == action.request)
				RC_ASSERT(other.sent.upstream !=
					  action.upstream);
		RC_ASSERT(action.hedge == (request.outstanding_attempts > 0));
		upstream.in_flight++;
		request.outstanding_attempts++;
		running.push_back({ action, false });
	}

	void check_final(const struct aub_action &action)
	{
		request_model &request = requests.at(action.request);

		request.final_actions++;
		RC_ASSERT(request.final_actions == 1u);
		RC_ASSERT(!request.abandoned);
		if (action.type == AUB_ACTION_REFUSE) {
			RC_ASSERT(!request.may_have_run);
			RC_ASSERT(request.answered.empty());
			RC_ASSERT(request.outstanding_attempts == 0u);
			RC_ASSERT(action.refusal != AUB_REFUSAL_NONE);
			RC_ASSERT(action.retry_after_ms >= 1u);
		} else if (action.type == AUB_ACTION_UNKNOWN) {
			RC_ASSERT(request.may_have_run);
		} else {
			RC_ASSERT(request.answered.count(action.attempt) == 1u);
		}
	}

	void check_probe(const struct aub_action &action)
	{
		guint64 spent_us;

		RC_ASSERT(role != AUB_DISPATCH_NONE);
		probe_times.push_back(fixture.now);
		while (probe_times.front() <= fixture.now - AUB_SECOND)
			probe_times.pop_front();
		spent_us = probe_times.size() * fixture.options.probe_cost_us;
		RC_ASSERT(spent_us <= fixture.options.probe_budget_us / 2);
		probes.push_back(action);
	}

	void process_actions()
	{
		for (const auto &action : fixture.take_actions()) {
			add_to_digest(action.type);
			add_to_digest(action.request << 16 |
				      action.attempt << 8 | action.upstream);
			switch (action.type) {
			case AUB_ACTION_SEND:
				check_send(action);
				break;
			case AUB_ACTION_CANCEL:
				for (auto &attempt : running)
					if (attempt.sent.request ==
						    action.request &&
					    attempt.sent.attempt ==
						    action.attempt)
						attempt.cancelled = true;
				break;
			case AUB_ACTION_PROBE:
				check_probe(action);
				break;
			default:
				check_final(action);
				break;
			}
		}
	}

	void record_report(upstream_model &upstream, bool cold)
	{
		if (upstream.reported_boot_id &&
		    upstream.reported_boot_id != upstream.boot_id) {
			upstream.cold_since_us = fixture.now;
			upstream.reported_cold = false;
		}
		if (cold && !upstream.reported_cold && !upstream.cold_since_us)
			upstream.cold_since_us = fixture.now;
		if (!cold && upstream.reported_cold)
			upstream.cold_since_us = 0;
		upstream.reported_cold = cold;
		upstream.reported_boot_id = upstream.boot_id;
	}

	bool reports_cold(const upstream_model &upstream) const
	{
		return fixture.now < upstream.cold_until_us &&
		       !upstream.hides_cold;
	}

	enum aub_attempt_result choose_result(
		const outstanding_attempt &attempt, guint32 value)
	{
		static const enum aub_attempt_result failures[] = {
			AUB_ATTEMPT_SHED, AUB_ATTEMPT_NOT_CONNECTED,
			AUB_ATTEMPT_CONNECTION_LOST, AUB_ATTEMPT_TIMEOUT,
			AUB_ATTEMPT_CANCELLED
		};
		const upstream_model &upstream =
			upstreams[attempt.sent.upstream];

		if (attempt.cancelled && value % 4)
			return AUB_ATTEMPT_CANCELLED;
		if (upstream.unreachable)
			return value % 2 ? AUB_ATTEMPT_CONNECTION_LOST :
					   AUB_ATTEMPT_NOT_CONNECTED;
		if (value % 10 < 7)
			return AUB_ATTEMPT_ANSWERED;
		return failures[value / 10 % G_N_ELEMENTS(failures)];
	}

	void report(guint32 value)
	{
		if (running.empty())
			return;
		guint index = value / 100 % running.size();
		outstanding_attempt attempt = running[index];
		enum aub_attempt_result result = choose_result(attempt, value);
		request_model &request = requests.at(attempt.sent.request);
		upstream_model &upstream = upstreams[attempt.sent.upstream];
		bool cold = reports_cold(upstream);

		running.erase(running.begin() + index);
		upstream.in_flight--;
		request.outstanding_attempts--;
		if (result == AUB_ATTEMPT_ANSWERED ||
		    result == AUB_ATTEMPT_SHED)
			record_report(upstream, cold);
		if (result == AUB_ATTEMPT_ANSWERED)
			request.answered.insert(attempt.sent.attempt);
		if (result != AUB_ATTEMPT_SHED &&
		    result != AUB_ATTEMPT_NOT_CONNECTED)
			request.may_have_run = true;
		fixture.attempt_done(attempt.sent, result, upstream.boot_id,
				     cold, value % 7 == 0, upstream.draining);
	}

	void report_probe(guint32 value)
	{
		if (probes.empty())
			return;
		struct aub_action probe = probes.back();
		upstream_model &upstream = upstreams[probe.upstream];
		bool answered = !upstream.unreachable && value % 5;

		probes.pop_back();
		if (answered)
			record_report(upstream, reports_cold(upstream));
		fixture.probe_done(probe, answered, upstream.boot_id,
				   reports_cold(upstream));
	}

	void arrive(guint32 value)
	{
		guint64 id = next_id++;
		bool at_most_once = value % 3 == 0;

		requests[id].at_most_once = at_most_once;
		fixture.submit(id, at_most_once, value / 4 % 4 * 60,
			       (value / 16 % 100) * 10 * AUB_MS,
			       value / 2000 % 6);
	}

	void change_role(guint32 value)
	{
		enum aub_dispatch_role new_role =
			(enum aub_dispatch_role)(value % 3);
		gint64 takeover_grace_us = value / 3 % 4 * 200 * AUB_MS;

		if (new_role == AUB_DISPATCH_OWNER && role != new_role)
			takeover_grace_until_us =
				fixture.now + takeover_grace_us;
		role = new_role;
		aub_dispatcher_set_role(fixture.dispatcher, new_role,
					takeover_grace_us, fixture.now);
	}

	void reconfigure(guint32 value)
	{
		fixture.options.out = value % 32;
		fixture.options.upstreams = 1 + value / 32 % UPSTREAMS_MAX;
		probes.clear();
		for (guint i = fixture.options.upstreams; i < UPSTREAMS_MAX;
		     i++)
			if (!upstreams[i].in_flight)
				reset_reported_state(upstreams[i]);
		fixture.configure();
	}

	void reset_reported_state(upstream_model &upstream)
	{
		upstream.reported_boot_id = 0;
		upstream.reported_cold = false;
		upstream.cold_since_us = 0;
	}

	void restart(guint32 value)
	{
		upstream_model &upstream = upstreams[value % UPSTREAMS_MAX];

		upstream.boot_id++;
		upstream.cold_until_us =
			fixture.now + fixture.options.cold_ms * AUB_MS;
		upstream.hides_cold = value / 8 % 2;
		upstream.unreachable = value / 16 % 4 == 0;
		upstream.draining = value / 64 % 8 == 0;
	}

	void abandon(guint32 value)
	{
		guint64 id = 1 + value % next_id;

		if (!requests.count(id) || requests[id].final_actions)
			return;
		requests[id].abandoned = true;
		aub_dispatcher_abandon(fixture.dispatcher, id, fixture.now);
	}

	/*
	 * Advances the time as an entry does, with a tick at each requested
	 * wake-up.
	 */
	void advance_time(gint64 us)
	{
		gint64 until = fixture.now + us;

		for (;;) {
			gint64 wake = aub_dispatcher_next_wakeup_us(
				fixture.dispatcher);

			fixture.advance_time(CLAMP(wake, fixture.now, until) -
					     fixture.now);
			process_actions();
			RC_ASSERT(aub_dispatcher_next_wakeup_us(
					  fixture.dispatcher) > fixture.now);
			while (fixture.now % 3 && !probes.empty())
				report_probe((guint32)fixture.now);
			process_actions();
			if (fixture.now >= until)
				break;
		}
	}

	void run_command(const command &input)
	{
		switch (input.type % 20) {
		case 0 ... 6:
			arrive(input.value);
			break;
		case 7 ... 12:
			report(input.value);
			break;
		case 13:
			advance_time(1 + input.value % (20 * AUB_MS));
			break;
		case 14:
			advance_time(1 + input.value % (2 * AUB_SECOND));
			break;
		case 15:
			restart(input.value);
			break;
		case 16:
			change_role(input.value);
			break;
		case 17:
			reconfigure(input.value);
			break;
		case 18:
			abandon(input.value);
			break;
		default:
			report_probe(input.value);
			break;
		}
	}

	/*
	 * Lets all requests end and checks that each had exactly one final
	 * action.
	 */
	void finish_all()
	{
		for (int round = 0; aub_dispatcher_pending(fixture.dispatcher);
		     round++) {
			RC_ASSERT(round < 10000);
			while (!running.empty()) {
				report(1);
				process_actions();
			}
			advance_time(50 * AUB_MS);
		}
		for (const auto &[id, request] : requests)
			RC_ASSERT(request.final_actions ==
				  (request.abandoned ? 0u : 1u));
		for (const auto &upstream : upstreams)
			RC_ASSERT(upstream.in_flight == 0u);
	}
};

static fixture_options make_options(guint32 value)
{
	fixture_options options;

	options.upstreams = UPSTREAMS_MAX;
	options.slots = 1 + value % 6;
	options.cold_slots = 1 + value / 6 % options.slots;
	options.queue_limit = 1 + value / 36 % 10;
	options.hedge_percent = value / 360 % 21;
	options.cold_ms = 100 + value / 7560 % 10 * 100;
	options.probe_cost_us = 1000;
	options.probe_budget_us = 8000 + value / 75600 % 5 * 8000;
	return options;
}

namespace rc
{
template <> struct Arbitrary<command> {
	static Gen<command> arbitrary()
	{
		return gen::map(gen::pair(gen::inRange<int>(0, 20),
					  gen::inRange<int>(0, 1 << 24)),
				[](const std::pair<int, int> &p) {
					return command{ (guint8)p.first,
							(guint32)p.second };
				});
	}
};
} /* namespace rc */

static std::string parameters()
{
	const char *sequences = getenv("AUB_FUZZ_SEQUENCES");
	const char *seed = getenv("AUB_FUZZ_SEED");

	return std::string(getenv("AUB_FUZZ_SHRINK") ? "" : "noshrink=1 ") +
	       "seed=" + (seed ? seed : "20261202") +
	       " max_success=" + (sequences ? sequences : "400");
}

TEST(DispatchState, KeepsInvariantsUnderRandomSequences)
{
	setenv("RC_PARAMS", parameters().c_str(), 1);
	bool passed = rc::check("dispatcher agrees with its model", [] {
		const auto commands = *rc::gen::resize(
			400, rc::gen::arbitrary<std::vector<command>>());
		const auto options_seed =
			*rc::gen::resize(100,
					 rc::gen::inRange<int>(0, 1 << 24));
		DispatcherModel first(make_options((guint32)options_seed));
		DispatcherModel second(make_options((guint32)options_seed));

		first.run(commands);
		second.run(commands);
		RC_ASSERT(first.digest == second.digest);
	});
	EXPECT_TRUE(passed);
}

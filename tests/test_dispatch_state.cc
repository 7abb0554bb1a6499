/*
 * Random mixes of arrivals, results, cold starts, role changes and
 * reconfigurations against plain truth: what each upstream really had.
 *
 * 400 sequences with a fixed seed; AUB_FUZZ_SEQUENCES and AUB_FUZZ_SEED ask
 * for others. A failing sequence is printed, and shrunk with AUB_FUZZ_SHRINK.
 */
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "dispatch_fixture.h"

#include <cstdlib>
#include <deque>
#include <set>

static const guint MOST_UPSTREAMS = 5;

struct command {
	guint8 kind;
	guint32 value;
};

static void showValue(const command &c, std::ostream &out)
{
	out << "{" << (int)c.kind << "," << c.value << "}";
}

/* An attempt that was sent and is not reported yet. */
struct outstanding {
	struct aub_action sent;
	bool cancelled;
};

struct true_request {
	bool once = false;
	bool abandoned = false;
	guint finals = 0;
	bool may_have_run = false; /* by a report */
	guint unreported = 0;
	std::set<guint32> answered;
};

struct true_upstream {
	guint64 boot = 1;
	gint64 cold_until = 0;
	bool misleads = false;
	bool down = false;
	bool draining = false;
	guint in_flight = 0;
	/* what it told the dispatcher */
	guint64 told_boot = 0;
	bool told_cold = false;
	gint64 cold_from = 0; /* 0: not seen cold */
};

class World
{
      public:
	explicit World(const fixture_options &options) : fixture(options, false)
	{
	}

	void run(const std::vector<command> &commands)
	{
		for (const auto &c : commands) {
			step(c);
			settle_actions();
		}
		finish();
	}
	guint64 digest = 14695981039346656037u;

      private:
	DispatchFixture fixture;
	enum aub_dispatch_role role = AUB_DISPATCH_NONE;
	gint64 settle_until = 0;
	std::map<guint64, true_request> requests;
	std::vector<outstanding> running;
	std::vector<struct aub_action> probes;
	std::deque<gint64> probe_times;
	true_upstream upstreams[MOST_UPSTREAMS];
	guint64 next_id = 1;

	void note(guint64 value)
	{
		digest = (digest ^ value) * 1099511628211u;
	}

	/* The cap that holds for an upstream by what it has told. */
	guint cap(const true_upstream &u) const
	{
		bool cold =
			u.told_cold ||
			(u.cold_from &&
			 fixture.now - u.cold_from < fixture.options.cold_ms * AUB_MS);
		bool shared =
			role == AUB_DISPATCH_STANDBY || fixture.now < settle_until;

		if (shared)
			return cold ? 0 : fixture.options.slots / 2;
		return cold || !u.told_boot ? fixture.options.cold_slots :
					      fixture.options.slots;
	}

	void check_send(const struct aub_action &a)
	{
		true_request &request = requests.at(a.request);
		true_upstream &u = upstreams[a.upstream];

		RC_ASSERT(role != AUB_DISPATCH_NONE);
		RC_ASSERT(a.upstream < fixture.options.upstreams);
		RC_ASSERT(!(fixture.options.out >> a.upstream & 1));
		RC_ASSERT(request.finals == 0u);
		RC_ASSERT(!request.abandoned);
		RC_ASSERT(u.in_flight + 1 <= cap(u));
		if (request.once) {
			RC_ASSERT(!request.may_have_run);
			RC_ASSERT(request.unreported == 0u);
		}
		for (const auto &other : running)
			if (a.hedge && other.sent.request == a.request)
				RC_ASSERT(other.sent.upstream != a.upstream);
		RC_ASSERT(a.hedge == (request.unreported > 0));
		u.in_flight++;
		request.unreported++;
		running.push_back({ a, false });
	}

	void check_final(const struct aub_action &a)
	{
		true_request &request = requests.at(a.request);

		request.finals++;
		RC_ASSERT(request.finals == 1u);
		RC_ASSERT(!request.abandoned);
		if (a.type == AUB_ACTION_REFUSE) {
			RC_ASSERT(!request.may_have_run);
			RC_ASSERT(request.answered.empty());
			RC_ASSERT(request.unreported == 0u);
			RC_ASSERT(a.refusal != AUB_REFUSAL_NONE);
			RC_ASSERT(a.retry_after_ms >= 1u);
		} else if (a.type == AUB_ACTION_UNKNOWN) {
			RC_ASSERT(request.may_have_run);
		} else {
			RC_ASSERT(request.answered.count(a.attempt) == 1u);
		}
	}

	void check_probe(const struct aub_action &a)
	{
		guint64 spent;

		RC_ASSERT(role != AUB_DISPATCH_NONE);
		probe_times.push_back(fixture.now);
		while (probe_times.front() <= fixture.now - AUB_SECOND)
			probe_times.pop_front();
		spent = probe_times.size() * fixture.options.probe_cost_us;
		RC_ASSERT(spent <= fixture.options.probe_budget_us / 2);
		probes.push_back(a);
	}

	void settle_actions()
	{
		for (const auto &a : fixture.take()) {
			note(a.type);
			note(a.request << 16 | a.attempt << 8 | a.upstream);
			switch (a.type) {
			case AUB_ACTION_SEND:
				check_send(a);
				break;
			case AUB_ACTION_CANCEL:
				for (auto &one : running)
					if (one.sent.request == a.request &&
					    one.sent.attempt == a.attempt)
						one.cancelled = true;
				break;
			case AUB_ACTION_PROBE:
				check_probe(a);
				break;
			default:
				check_final(a);
				break;
			}
		}
	}

	void told(true_upstream &u, bool cold)
	{
		if (u.told_boot && u.told_boot != u.boot) {
			u.cold_from = fixture.now;
			u.told_cold = false;
		}
		if (cold && !u.told_cold && !u.cold_from)
			u.cold_from = fixture.now;
		if (!cold && u.told_cold)
			u.cold_from = 0;
		u.told_cold = cold;
		u.told_boot = u.boot;
	}

	bool says_cold(const true_upstream &u) const
	{
		return fixture.now < u.cold_until && !u.misleads;
	}

	enum aub_attempt_result result(const outstanding &one, guint32 value)
	{
		static const enum aub_attempt_result odd[] = {
			AUB_ATTEMPT_SHED, AUB_ATTEMPT_NOT_CONNECTED,
			AUB_ATTEMPT_CONNECTION_LOST, AUB_ATTEMPT_TIMEOUT,
			AUB_ATTEMPT_CANCELLED
		};
		const true_upstream &u = upstreams[one.sent.upstream];

		if (one.cancelled && value % 4)
			return AUB_ATTEMPT_CANCELLED;
		if (u.down)
			return value % 2 ? AUB_ATTEMPT_CONNECTION_LOST :
					   AUB_ATTEMPT_NOT_CONNECTED;
		if (value % 10 < 7)
			return AUB_ATTEMPT_ANSWERED;
		return odd[value / 10 % G_N_ELEMENTS(odd)];
	}

	void report(guint32 value)
	{
		if (running.empty())
			return;
		guint at = value / 100 % running.size();
		outstanding one = running[at];
		enum aub_attempt_result how = result(one, value);
		true_request &request = requests.at(one.sent.request);
		true_upstream &u = upstreams[one.sent.upstream];
		bool cold = says_cold(u);

		running.erase(running.begin() + at);
		u.in_flight--;
		request.unreported--;
		if (how == AUB_ATTEMPT_ANSWERED || how == AUB_ATTEMPT_SHED)
			told(u, cold);
		if (how == AUB_ATTEMPT_ANSWERED)
			request.answered.insert(one.sent.attempt);
		if (how != AUB_ATTEMPT_SHED && how != AUB_ATTEMPT_NOT_CONNECTED)
			request.may_have_run = true;
		fixture.done(one.sent, how, u.boot, cold, value % 7 == 0,
			 u.draining);
	}

	void report_probe(guint32 value)
	{
		if (probes.empty())
			return;
		struct aub_action probe = probes.back();
		true_upstream &u = upstreams[probe.upstream];
		bool answered = !u.down && value % 5;

		probes.pop_back();
		if (answered)
			told(u, says_cold(u));
		fixture.probe_done(probe, answered, u.boot, says_cold(u));
	}

	void arrive(guint32 value)
	{
		guint64 id = next_id++;
		bool once = value % 3 == 0;

		requests[id].once = once;
		fixture.arrive(id, once, value / 4 % 4 * 60,
			   (value / 16 % 100) * 10 * AUB_MS, value / 2000 % 6);
	}

	void change_role(guint32 value)
	{
		enum aub_dispatch_role next =
			(enum aub_dispatch_role)(value % 3);
		gint64 settle = value / 3 % 4 * 200 * AUB_MS;

		if (next == AUB_DISPATCH_OWNER && role != next)
			settle_until = fixture.now + settle;
		role = next;
		aub_dispatcher_set_role(fixture.d, next, settle, fixture.now);
	}

	void reconfigure(guint32 value)
	{
		fixture.options.out = value % 32;
		fixture.options.upstreams = 1 + value / 32 % MOST_UPSTREAMS;
		probes.clear();
		for (guint i = fixture.options.upstreams; i < MOST_UPSTREAMS; i++)
			if (!upstreams[i].in_flight)
				forget(upstreams[i]);
		fixture.configure();
	}

	void forget(true_upstream &u)
	{
		u.told_boot = 0;
		u.told_cold = false;
		u.cold_from = 0;
	}

	void restart(guint32 value)
	{
		true_upstream &u = upstreams[value % MOST_UPSTREAMS];

		u.boot++;
		u.cold_until = fixture.now + fixture.options.cold_ms * AUB_MS;
		u.misleads = value / 8 % 2;
		u.down = value / 16 % 4 == 0;
		u.draining = value / 64 % 8 == 0;
	}

	void abandon(guint32 value)
	{
		guint64 id = 1 + value % next_id;

		if (!requests.count(id) || requests[id].finals)
			return;
		requests[id].abandoned = true;
		aub_dispatcher_abandon(fixture.d, id, fixture.now);
	}

	/* As an entry does it: a tick at each moment asked for on the way. */
	void pass(gint64 us)
	{
		gint64 until = fixture.now + us;

		for (;;) {
			gint64 wake = aub_dispatcher_next_wakeup_us(fixture.d);

			fixture.advance_time(CLAMP(wake, fixture.now, until) - fixture.now);
			settle_actions();
			RC_ASSERT(aub_dispatcher_next_wakeup_us(fixture.d) > fixture.now);
			while (fixture.now % 3 && !probes.empty())
				report_probe((guint32)fixture.now);
			settle_actions();
			if (fixture.now >= until)
				break;
		}
	}

	void step(const command &c)
	{
		switch (c.kind % 20) {
		case 0 ... 6:
			arrive(c.value);
			break;
		case 7 ... 12:
			report(c.value);
			break;
		case 13:
			pass(1 + c.value % (20 * AUB_MS));
			break;
		case 14:
			pass(1 + c.value % (2 * AUB_SECOND));
			break;
		case 15:
			restart(c.value);
			break;
		case 16:
			change_role(c.value);
			break;
		case 17:
			reconfigure(c.value);
			break;
		case 18:
			abandon(c.value);
			break;
		default:
			report_probe(c.value);
			break;
		}
	}

	/* Let everything end; each request must have had its one answer. */
	void finish()
	{
		for (int round = 0; aub_dispatcher_pending(fixture.d); round++) {
			RC_ASSERT(round < 10000);
			while (!running.empty()) {
				report(1);
				settle_actions();
			}
			pass(50 * AUB_MS);
		}
		for (const auto &[id, request] : requests)
			RC_ASSERT(request.finals ==
				  (request.abandoned ? 0u : 1u));
		for (const auto &u : upstreams)
			RC_ASSERT(u.in_flight == 0u);
	}
};

static fixture_options make_options(guint32 value)
{
	fixture_options options;

	options.upstreams = MOST_UPSTREAMS;
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

TEST(DispatchState, HoldsItsPromisesUnderRandomMixes)
{
	setenv("RC_PARAMS", parameters().c_str(), 1);
	bool good = rc::check("dispatcher against plain truth", [] {
		const auto commands = *rc::gen::resize(
			400, rc::gen::arbitrary<std::vector<command>>());
		const auto shape =
			*rc::gen::resize(100,
					 rc::gen::inRange<int>(0, 1 << 24));
		World first(make_options((guint32)shape));
		World second(make_options((guint32)shape));

		first.run(commands);
		second.run(commands);
		RC_ASSERT(first.digest == second.digest);
	});
	EXPECT_TRUE(good);
}

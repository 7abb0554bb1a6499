/*
 * Callers of a service whose upstreams refuse most requests although they have
 * free slots, in virtual time: who is served on time, and who comes back when.
 */
#include "placement_fixture.h"

#include <map>

class RefusingService
{
      public:
	static constexpr int UPSTREAMS = 90;
	static constexpr int SLOTS = 4;
	static constexpr gint64 TARGET_MS = 300;
	static constexpr gint64 WORK_MS = 120;
	static constexpr gint64 DEADLINE_MS = 1200;
	static constexpr gint64 ARRIVALS_END_MS = 22000;
	static constexpr int ATTEMPTS_MAX = 2; /* upstreams for each visit */
	static constexpr double RATIO = 0.18;
	static constexpr guint SLACK = 60;

	double requests_per_ms = 0.5;
	int returns_max = 1; /* how often a caller comes back */
	double refused_share = 0.55;
	gint64 outage_from_ms = 12000;
	gint64 outage_until_ms = 20000;
	bool recognized = true; /* requests have fingerprints */

	std::map<int, int> callers; /* by second */
	std::map<int, int> on_time;
	int attempts = 0; /* arrivals at upstreams during the outage */

	explicit RefusingService(guint seed = 1)
	    : random(g_rand_new_with_seed(seed))
	{
	}
	~RefusingService()
	{
		g_rand_free(random);
	}
	void run()
	{
		for (int i = 0; i < UPSTREAMS; i++)
			fixture.add_healthy("u" + std::to_string(i), SLOTS);
		for (gint64 ms = 0; ms < ARRIVALS_END_MS + DEADLINE_MS; ms++)
			step(ms);
	}
	double share(int second)
	{
		return (double)on_time[second] / MAX(callers[second], 1);
	}
	double share_of_outage()
	{
		int served = 0;
		int all = 0;

		for (gint64 s = outage_from_ms / 1000;
		     s < outage_until_ms / 1000; s++) {
			served += on_time[(int)s];
			all += callers[(int)s];
		}
		return (double)served / all;
	}
	/*
	 * What an oracle serves: all budget goes to callers on their last
	 * visit, each with an equal chance. Each caller visits
	 * `returns_max + 1` times before it gives up.
	 */
	double oracle_share() const
	{
		double visits = 0;
		double failed = 1;

		for (int i = 0; i <= returns_max; i++) {
			visits += failed;
			failed *= refused_share;
		}
		return MIN(1 - failed * refused_share,
			   1 - failed + RATIO * visits * (1 - refused_share));
	}

      private:
	struct Caller {
		guint64 fingerprint;
		gint64 since_ms;
		int visits;
	};
	struct Visit {
		guint64 ticket;
		Caller caller;
		int attempts;
		guint retry_after_ms;
	};

	PlacementFixture fixture{ RATIO, SLACK };
	GRand *random;
	std::multimap<gint64, Visit> ends; /* running requests */
	std::multimap<gint64, Caller> arrivals; /* returning callers */
	std::map<guint64, Visit> queued;
	guint64 last_fingerprint = 0;

	bool is_outage(gint64 ms) const
	{
		return ms >= outage_from_ms && ms < outage_until_ms;
	}
	void submit(const Caller &caller, int attempts_before, gint64 ms)
	{
		struct aub_placement_request request = fixture.new_request();
		gint64 age_ms = ms - caller.since_ms;

		request.retry = attempts_before > 0;
		request.target_ms = TARGET_MS;
		request.on_time_wait_ms =
			(guint)MAX(TARGET_MS * 6 / 10 - age_ms, 0);
		request.max_wait_ms =
			(guint)MAX((DEADLINE_MS - age_ms) * 15 / 100, 0);
		request.fingerprint = recognized ? caller.fingerprint : 0;
		handle(fixture.submit(request),
		       { request.ticket, caller, attempts_before, 0 }, ms);
	}
	void handle(const struct aub_placement_decision &decision, Visit visit,
		    gint64 ms)
	{
		if (decision.verdict == AUB_VERDICT_QUEUED) {
			queued[visit.ticket] = visit;
		} else if (decision.verdict != AUB_VERDICT_GRANTED) {
			come_back(visit.caller, decision.retry_after_ms, ms);
		} else {
			visit.attempts++;
			visit.retry_after_ms = decision.retry_after_ms;
			start(visit, ms);
		}
	}
	void start(const Visit &visit, gint64 ms)
	{
		struct aub_grant_report report = {};

		attempts += is_outage(ms);
		if (!is_outage(ms) || g_rand_double(random) >= refused_share) {
			ends.insert({ ms + WORK_MS, visit });
			return;
		}
		report.ticket = visit.ticket;
		report.end = AUB_GRANT_REFUSED;
		report.elapsed_us = 3 * US_PER_MS;
		report.load = { 1, 0,	 SLOTS, 100, -1, AUB_LIMIT_UNKNOWN,
				0, false };
		aub_placement_report(fixture.placement, &report,
				     fixture.now_us);
		if (visit.attempts < ATTEMPTS_MAX)
			submit(visit.caller, visit.attempts, ms);
		else
			come_back(visit.caller,
				  visit.retry_after_ms ? visit.retry_after_ms :
							 300,
				  ms);
	}
	void come_back(Caller caller, guint after_ms, gint64 ms)
	{
		gint64 left_ms = DEADLINE_MS - (ms - caller.since_ms);

		if (++caller.visits > returns_max || left_ms <= 0)
			return;
		/* Callers wait for no longer than a third of their time. */
		arrivals.insert({ ms + MIN((gint64)after_ms, left_ms / 3) + 12,
				  caller });
	}
	void step(gint64 ms)
	{
		struct aub_placement_decision decision;

		fixture.now_us = (1000 + ms) * US_PER_MS;
		while (!ends.empty() && ends.begin()->first <= ms) {
			Visit visit = ends.begin()->second;

			ends.erase(ends.begin());
			fixture.report(visit.ticket, AUB_GRANT_OK,
				       WORK_MS * US_PER_MS);
			if (ms - visit.caller.since_ms <= TARGET_MS)
				on_time[(int)(visit.caller.since_ms / 1000)]++;
		}
		if (ms < ARRIVALS_END_MS &&
		    g_rand_double(random) < requests_per_ms) {
			callers[(int)(ms / 1000)]++;
			submit({ ++last_fingerprint, ms, 0 }, 0, ms);
		}
		while (!arrivals.empty() && arrivals.begin()->first <= ms) {
			Caller caller = arrivals.begin()->second;

			arrivals.erase(arrivals.begin());
			submit(caller, 0, ms);
		}
		while (fixture.next_decision(&decision)) {
			Visit visit = queued[decision.ticket];

			queued.erase(decision.ticket);
			handle(decision, visit, ms);
		}
	}
};

/*
 * Guards against an outage in which requests queue for a few upstreams while
 * all have free slots, and whose budget is gone after its first second.
 */
TEST(RetryLoad, ServesNearlyAsManyOnTimeAsAnOracle)
{
	for (int returns : { 1, 2 }) {
		RefusingService service;

		service.returns_max = returns;
		service.run();
		EXPECT_GT(service.share_of_outage(),
			  0.93 * service.oracle_share())
			<< returns << " returns";
	}
}

TEST(RetryLoad, NoSecondOfTheOutageIsMuchWorse)
{
	RefusingService service;

	service.run();
	for (int second = 13; second < 19; second++)
		EXPECT_GT(service.share(second),
			  0.9 * service.share_of_outage())
			<< "second " << second;
	EXPECT_GT(service.share(21), 0.99);
}

/* Callers on their last visit are worth more to the budget than others. */
TEST(RetryLoad, RecognizingCallersServesMoreOfThem)
{
	double recognized = 0;
	double unknown = 0;

	for (guint seed = 1; seed <= 3; seed++) {
		RefusingService with(seed);
		RefusingService without(seed);

		without.recognized = false;
		with.run();
		without.run();
		recognized += with.share_of_outage();
		unknown += without.share_of_outage();
	}
	EXPECT_GT(recognized, unknown);
}

/*
 * Guards against a storm of returning callers while every attempt is refused:
 * with few chances they are not told to return at once.
 */
TEST(RetryLoad, ReturnsDoNotMultiplyAttemptsWhenAllAreRefused)
{
	RefusingService service;

	service.refused_share = 1;
	service.returns_max = 20;
	service.run();
	/*
	 * Told to wait for 300 ms, and waiting for a third of their time at
	 * most, callers visit ten times within their deadline.
	 */
	EXPECT_LT(service.attempts, 8000 * service.requests_per_ms * 10 *
					    (1 + RefusingService::RATIO));
	EXPECT_GT(service.share(21), 0.95);
}

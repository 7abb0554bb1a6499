/*
 * Sequential tests of a new version against the old one.
 */
#include <auburnstile/internal/rollout_judge.h>

#include <math.h>
#include <string.h>

const double aub_judge_threshold = 9.0;

#define SUSPICION_THRESHOLD_NATS 5.5 /* no switch to the version above this */
#define BUCKETS_PER_OCTAVE 4.0
/* Responses of the old version that are remembered. */
#define BASELINE_ANSWERS_MAX 4000.0
#define BASELINE_ANSWERS_MIN 20.0 /* before a slow threshold is derived */

/* Lower bound of the old version's failure rate. */
#define FAILURE_SHARE_MIN 0.008
#define FAILURE_SHARE_MARGIN 1.5 /* times the observed share */
#define FAILURE_PRIOR_ANSWERS 100.0 /* assumed responses without failure */

#define SLOW_QUANTILE 0.85 /* of the old version's times; slow is above it */
#define SLOW_FACTOR 1.1 /* times that quantile */
/* Nearly full upstreams are slower, whatever their version. */
#define FULL_SLOW_FACTOR 1.8
/* Lower bound of the old version's share of slow responses. */
#define SLOW_SHARE_MIN 0.25
#define SLOW_SHARE_MARGIN 1.4 /* times the observed share */
/* Alternatives below this multiple of the baseline are too close to test. */
#define ALTERNATIVE_RATIO_MIN 1.5

/*
 * The number of upstreams whose evidence rejects a version, as a share of all
 * of its upstreams, within bounds.
 */
#define REJECTING_UPSTREAM_SHARE 0.3
#define REJECTING_UPSTREAMS_MIN 1.5
#define REJECTING_UPSTREAMS_MAX 5.0
/* The last of these does not have to contribute its maximum. */
#define REJECTING_EVIDENCE_FACTOR 1.2

static const double
	alternative_rates[AUB_JUDGE_FAULT_COUNT][AUB_JUDGE_ALTERNATIVES] = {
		[AUB_JUDGE_FAILURES] = { 0.03, 0.1, 0.3, 0.8 },
		[AUB_JUDGE_SLOWNESS] = { 0.4, 0.55, 0.75, 0.95 },
	};

/* The decay of an upstream's evidence with each of its good responses, nats. */
static const double evidence_decay[AUB_JUDGE_FAULT_COUNT] = {
	[AUB_JUDGE_FAILURES] = 0.1,
	[AUB_JUDGE_SLOWNESS] = 0.5,
};

void aub_judge_reset_canary(struct aub_judge *judge)
{
	judge->answers = 0;
	judge->timed = 0;
	judge->bad = 0;
	judge->alarmed = false;
	memset(judge->pooled, 0, sizeof(judge->pooled));
	for (guint i = 0; i < judge->count; i++) {
		struct aub_judge_route *route = &judge->routes[i];

		route->answers = 0;
		route->timed = 0;
		memset(route->bad, 0, sizeof(route->bad));
		memset(route->tests, 0, sizeof(route->tests));
	}
}

double aub_judge_evidence_max(guint upstreams)
{
	double needed = CLAMP(REJECTING_UPSTREAM_SHARE * upstreams,
			      REJECTING_UPSTREAMS_MIN, REJECTING_UPSTREAMS_MAX);

	if (upstreams <= 1)
		return 2 * aub_judge_threshold;
	return REJECTING_EVIDENCE_FACTOR * aub_judge_threshold / needed;
}

const char *aub_judge_fault_name(enum aub_judge_fault fault)
{
	static const char *const names[AUB_JUDGE_FAULT_COUNT] = {
		[AUB_JUDGE_FAILURES] = "failures",
		[AUB_JUDGE_SLOWNESS] = "slowness",
	};

	return names[fault];
}

static struct aub_judge_route *find_or_add_route(struct aub_judge *judge,
						 guint32 key)
{
	struct aub_judge_route *route;

	for (guint i = 0; i < judge->count; i++)
		if (judge->routes[i].key == key)
			return &judge->routes[i];
	if (judge->count == AUB_JUDGE_ROUTES_MAX)
		return &judge->routes[AUB_JUDGE_ROUTES_MAX - 1];
	route = &judge->routes[judge->count++];
	route->key = key;
	return route;
}

static guint bucket_of(double ms)
{
	double bucket = BUCKETS_PER_OCTAVE * log2(MAX(ms, 1));

	return (guint)CLAMP(bucket, 0, AUB_JUDGE_LATENCY_BUCKETS - 1);
}

/* Returns the lower bound of a bucket. */
static double bucket_ms(guint bucket)
{
	return exp2(bucket / BUCKETS_PER_OCTAVE);
}

static void halve_baseline(struct aub_judge_route *route)
{
	route->baseline_answers /= 2;
	route->baseline_failures /= 2;
	for (guint i = 0; i < AUB_JUDGE_LATENCY_BUCKETS; i++)
		route->baseline_times[i] /= 2;
}

void aub_judge_add_baseline(struct aub_judge *judge,
			    const struct aub_judge_answer *answer)
{
	struct aub_judge_route *route = find_or_add_route(judge, answer->route);

	route->baseline_answers++;
	route->baseline_failures += answer->failed;
	if (!answer->failed && answer->ms > 0)
		route->baseline_times[bucket_of(answer->ms)]++;
	if (route->baseline_answers >= BASELINE_ANSWERS_MAX)
		halve_baseline(route);
}

/*
 * Returns the first bucket of slow responses, or AUB_JUDGE_LATENCY_BUCKETS if
 * it is not known yet. Sets `share` to the upper bound of the share of slow
 * responses of the old version.
 */
static guint slow_bucket(const struct aub_judge_route *route, double *share)
{
	double total = 0;
	double below = 0;
	guint bucket;

	for (guint i = 0; i < AUB_JUDGE_LATENCY_BUCKETS; i++)
		total += route->baseline_times[i];
	*share = SLOW_SHARE_MIN;
	if (total < BASELINE_ANSWERS_MIN)
		return AUB_JUDGE_LATENCY_BUCKETS;
	for (bucket = 0; bucket < AUB_JUDGE_LATENCY_BUCKETS - 1; bucket++) {
		below += route->baseline_times[bucket];
		if (below >= SLOW_QUANTILE * total)
			break;
	}
	*share = MAX((total - below) / total * SLOW_SHARE_MARGIN,
		     SLOW_SHARE_MIN);
	return bucket + 1;
}

static double slow_ms(const struct aub_judge_route *route, bool full,
		      double *share)
{
	guint bucket = slow_bucket(route, share);
	double ms = route->reported_slow_ms;

	if (bucket < AUB_JUDGE_LATENCY_BUCKETS)
		ms = bucket_ms(bucket) * SLOW_FACTOR;
	return ms * (full ? FULL_SLOW_FACTOR : 1);
}

guint aub_judge_export(const struct aub_judge *judge,
		       struct aub_judge_route *routes)
{
	for (guint i = 0; i < judge->count; i++) {
		double share;

		routes[i] = judge->routes[i];
		routes[i].reported_slow_ms =
			slow_ms(&judge->routes[i], false, &share);
	}
	routes[judge->count] =
		(struct aub_judge_route){ .key = AUB_JUDGE_POOLED };
	for (guint j = 0; j < AUB_JUDGE_FAULT_COUNT; j++)
		routes[judge->count].tests[j][0] = judge->pooled[j];
	return judge->count + 1;
}

void aub_judge_import(struct aub_judge *judge,
		      const struct aub_judge_route *routes, guint count)
{
	judge->answers = 0;
	judge->timed = 0;
	judge->bad = 0;
	for (guint i = 0; i < count; i++) {
		struct aub_judge_route *route;

		if (routes[i].key == AUB_JUDGE_POOLED) {
			for (guint j = 0; j < AUB_JUDGE_FAULT_COUNT; j++)
				judge->pooled[j] = routes[i].tests[j][0];
			continue;
		}
		route = find_or_add_route(judge, routes[i].key);
		route->answers = routes[i].answers;
		route->timed = routes[i].timed;
		route->reported_slow_ms = routes[i].reported_slow_ms;
		memcpy(route->bad, routes[i].bad, sizeof(route->bad));
		memcpy(route->tests, routes[i].tests, sizeof(route->tests));
		judge->answers += route->answers;
		judge->timed += route->timed;
		for (guint j = 0; j < AUB_JUDGE_FAULT_COUNT; j++)
			judge->bad += route->bad[j];
	}
}

double aub_judge_slow_ms(const struct aub_judge *judge, guint32 key, bool full)
{
	double share;

	for (guint i = 0; i < judge->count; i++)
		if (judge->routes[i].key == key)
			return slow_ms(&judge->routes[i], full, &share);
	return 0;
}

static double failure_share(const struct aub_judge_route *route)
{
	double share = FAILURE_SHARE_MARGIN * route->baseline_failures /
		       (route->baseline_answers + FAILURE_PRIOR_ANSWERS);

	return CLAMP(share, FAILURE_SHARE_MIN, 0.9);
}

/*
 * Advances a test by one response. Returns the gain of the strongest
 * alternative.
 */
static double test_step(struct aub_judge_test *test, enum aub_judge_fault fault,
			bool bad, double baseline_rate, double weight)
{
	double gained = 0;

	for (guint i = 0; i < AUB_JUDGE_ALTERNATIVES; i++) {
		double rate = alternative_rates[fault][i];
		double step;

		if (rate < ALTERNATIVE_RATIO_MIN * baseline_rate)
			continue;
		step = weight * (bad ? log(rate / baseline_rate) :
				       log((1 - rate) / (1 - baseline_rate)));
		test->sums[i] = MAX(test->sums[i] + step, 0);
		gained = MAX(gained, step);
	}
	return gained;
}

static bool reaches(const struct aub_judge_test *test, double threshold)
{
	for (guint i = 0; i < AUB_JUDGE_ALTERNATIVES; i++)
		if (test->sums[i] >= threshold)
			return true;
	return false;
}

bool aub_judge_is_suspicious(const struct aub_judge *judge)
{
	for (guint fault = 0; fault < AUB_JUDGE_FAULT_COUNT; fault++) {
		if (reaches(&judge->pooled[fault], SUSPICION_THRESHOLD_NATS))
			return true;
		for (guint i = 0; i < judge->count; i++)
			if (reaches(&judge->routes[i].tests[fault][0],
				    SUSPICION_THRESHOLD_NATS) ||
			    reaches(&judge->routes[i].tests[fault][1],
				    SUSPICION_THRESHOLD_NATS))
				return true;
	}
	return false;
}

/*
 * Adds one response, good or bad, to the tests, where the old version's share
 * of bad ones is `baseline_rate`. The more evidence its upstream has
 * contributed, the less it counts, for and against.
 */
static void add_result(struct aub_judge *judge, struct aub_judge_route *route,
		       enum aub_judge_fault fault, bool full, bool bad,
		       double baseline_rate,
		       struct aub_judge_evidence *evidence, double evidence_max)
{
	double *contributed = &evidence->contributed[fault];
	struct aub_judge_test *test = &route->tests[fault][full];
	struct aub_judge_test *pooled = &judge->pooled[fault];
	double strongest =
		log(alternative_rates[fault][AUB_JUDGE_ALTERNATIVES - 1] /
		    baseline_rate);
	double weight = CLAMP(1 - *contributed / evidence_max, 0, 1) *
			MIN(evidence_max / MAX(strongest, 1), 1);
	double gained = test_step(test, fault, bad, baseline_rate, weight);

	/*
	 * Slowness is hard to judge at nearly full upstreams, so it is not
	 * pooled.
	 */
	if (!full || fault != AUB_JUDGE_SLOWNESS)
		(void)test_step(pooled, fault, bad, baseline_rate, weight);
	if (bad)
		*contributed += gained;
	else
		*contributed = MAX(*contributed - evidence_decay[fault], 0);
	if (judge->alarmed || (!reaches(test, aub_judge_threshold) &&
			       !reaches(pooled, aub_judge_threshold)))
		return;
	judge->alarmed = true;
	judge->fault = fault;
	judge->route = route->key;
}

void aub_judge_add_canary(struct aub_judge *judge,
			  const struct aub_judge_answer *answer,
			  struct aub_judge_evidence *evidence,
			  double evidence_max)
{
	struct aub_judge_route *route = find_or_add_route(judge, answer->route);
	double slow_share = 0;
	double limit_ms = slow_ms(route, answer->full, &slow_share);
	bool slow = limit_ms > 0 && answer->ms > limit_ms;

	judge->answers++;
	route->answers++;
	route->bad[AUB_JUDGE_FAILURES] += answer->failed;
	add_result(judge, route, AUB_JUDGE_FAILURES, answer->full,
		   answer->failed, failure_share(route), evidence,
		   evidence_max);
	if (answer->ms > 0 && limit_ms > 0 && !answer->failed) {
		judge->timed++;
		route->timed++;
		route->bad[AUB_JUDGE_SLOWNESS] += slow;
		add_result(judge, route, AUB_JUDGE_SLOWNESS, answer->full, slow,
			   slow_share, evidence, evidence_max);
	}
	judge->bad += answer->failed || slow;
}

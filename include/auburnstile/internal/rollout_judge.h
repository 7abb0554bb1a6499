/*
 * Decides whether a new version of a service is worse than the old one that
 * runs concurrently with it.
 *
 * Sequential tests that may be evaluated after each response: CUSUM charts,
 * i.e. cumulative sums of log-likelihood ratios that never fall below zero, so
 * that a regression that starts late is detected as fast as one present from
 * the start. Each route is tested for failures and for slow responses,
 * separately for nearly full upstreams, against the responses of the old
 * version (the baseline) over the same time.
 *
 * Pure decision logic: no clock, socket or random source.
 */
#ifndef AUBURNSTILE_INTERNAL_ROLLOUT_JUDGE_H
#define AUBURNSTILE_INTERNAL_ROLLOUT_JUDGE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_JUDGE_ROUTES_MAX 16 /* further routes share the last entry */
#define AUB_JUDGE_LATENCY_BUCKETS 96 /* of response times; four per octave */
#define AUB_JUDGE_ALTERNATIVES 4 /* rates of bad responses tested for */

enum aub_judge_fault {
	AUB_JUDGE_FAILURES,
	AUB_JUDGE_SLOWNESS,
	AUB_JUDGE_FAULT_COUNT
};

/* Cumulative sums in nats, one for each alternative rate. */
struct aub_judge_test {
	double sums[AUB_JUDGE_ALTERNATIVES];
};

/* The responses of one route. */
struct aub_judge_route {
	guint32 key;
	/* Of the old version; halved periodically to favour recent ones. */
	double baseline_answers;
	double baseline_failures;
	double baseline_times[AUB_JUDGE_LATENCY_BUCKETS];
	/* Time above which another process counts a response as slow; 0:
	   none received. */
	double reported_slow_ms;
	/* Of the new version. */
	guint answers;
	guint timed; /* of these, with a usable response time */
	guint bad[AUB_JUDGE_FAULT_COUNT];
	/* [1]: at nearly full upstreams. */
	struct aub_judge_test tests[AUB_JUDGE_FAULT_COUNT][2];
};

/* Zero-initialized by the owner. */
struct aub_judge {
	/* Over all routes. */
	struct aub_judge_test pooled[AUB_JUDGE_FAULT_COUNT];
	struct aub_judge_route routes[AUB_JUDGE_ROUTES_MAX];
	guint count; /* of routes */
	guint answers; /* of the new version */
	guint timed; /* of these, with a usable response time */
	guint bad;
	/* The first test that crossed the threshold. */
	bool alarmed;
	enum aub_judge_fault fault;
	guint32 route;
};

/* Evidence against the new version from one upstream, in nats. */
struct aub_judge_evidence {
	double contributed[AUB_JUDGE_FAULT_COUNT];
};

struct aub_judge_answer {
	guint32 route;
	bool failed;
	double ms; /* response time with known slowdowns divided out; 0: not
		      usable */
	bool full; /* the upstream was nearly full */
};

/* Removes the evidence about the new version, but not the baseline. */
void aub_judge_reset_canary(struct aub_judge *judge);
/* Adds a response of the old version. */
void aub_judge_add_baseline(struct aub_judge *judge,
			    const struct aub_judge_answer *answer);
/*
 * Adds a response of the new version. `evidence` is that of its upstream and
 * at most `evidence_max` (see aub_judge_evidence_max()), so that one unhealthy
 * upstream does not fail a version.
 */
void aub_judge_add_canary(struct aub_judge *judge,
			  const struct aub_judge_answer *answer,
			  struct aub_judge_evidence *evidence,
			  double evidence_max);
/*
 * Returns the response time on `route` above which a response counts as slow,
 * in ms; 0 if it is not known yet. A request that takes longer can be counted
 * before it ends.
 */
double aub_judge_slow_ms(const struct aub_judge *judge, guint32 route,
			 bool full);

/* The key of the exported entry for all routes together. */
#define AUB_JUDGE_POOLED 0
/*
 * Copies the evidence about the new version into `routes`, which has room for
 * AUB_JUDGE_ROUTES_MAX + 1 entries. Returns the number of entries; one of them
 * has the key AUB_JUDGE_POOLED.
 */
guint aub_judge_export(const struct aub_judge *judge,
		       struct aub_judge_route *routes);
/* Replaces the evidence by that of another process. */
void aub_judge_import(struct aub_judge *judge,
		      const struct aub_judge_route *routes, guint count);

/* Evidence at which a version is rejected, in nats. */
extern const double aub_judge_threshold;
/* Returns how much evidence one of `upstreams` may contribute, in nats. */
double aub_judge_evidence_max(guint upstreams);

/*
 * Returns whether there is so much evidence against the version that all
 * requests should not be switched to it yet.
 */
bool aub_judge_is_suspicious(const struct aub_judge *judge);

const char *aub_judge_fault_name(enum aub_judge_fault fault);

G_END_DECLS

#endif

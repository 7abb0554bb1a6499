/*
 * Whether a new version of a service is worse than the one it runs beside.
 *
 * Sequential tests that may be looked at after each answer: cumulative sums
 * of log-likelihood ratios, never below zero, so that a version that turns
 * bad late is found as fast as one that is bad from its start. Each route is
 * tested for failures and for long answers, apart where upstreams are full,
 * against what the old version answers at the same time.
 *
 * Plain decisions: no clock, socket or random source.
 */
#ifndef AUBURNSTILE_INTERNAL_ROLLOUT_JUDGE_H
#define AUBURNSTILE_INTERNAL_ROLLOUT_JUDGE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_JUDGE_ROUTES 16 /* tested apart; more share the last one */
#define AUB_JUDGE_BUCKETS 96 /* of answers' times, four an octave */
#define AUB_JUDGE_ALTERNATIVES 4 /* rates of bad answers tested for */

enum aub_judge_fault {
	AUB_JUDGE_FAILURES,
	AUB_JUDGE_SLOWNESS,
	AUB_JUDGE_FAULTS
};

/* Cumulative sums, one for each alternative rate. */
struct aub_judge_test {
	double sums[AUB_JUDGE_ALTERNATIVES];
};

/* The answers of one route. */
struct aub_judge_route {
	guint32 key;
	/* Of the old version; halved now and then, so that they are recent. */
	double base_answers;
	double base_failures;
	double base_times[AUB_JUDGE_BUCKETS];
	double told_slow_ms; /* what another process takes for slow; 0: none */
	/* Of the new version. */
	guint answers;
	guint timed; /* of these, those whose time could be judged */
	guint bad[AUB_JUDGE_FAULTS];
	struct aub_judge_test tests[AUB_JUDGE_FAULTS][2]; /* [1]: when full */
};

/* All zero to begin with. */
struct aub_judge {
	struct aub_judge_test pooled[AUB_JUDGE_FAULTS]; /* over all routes */
	struct aub_judge_route routes[AUB_JUDGE_ROUTES];
	guint count;
	guint answers; /* of the new version */
	guint timed; /* of these, those whose time could be judged */
	guint bad;
	/* The first that crossed the threshold. */
	bool alarmed;
	enum aub_judge_fault fault;
	guint32 route;
};

/* What one upstream has brought forward against its version. */
struct aub_judge_evidence {
	double brought[AUB_JUDGE_FAULTS];
};

struct aub_judge_answer {
	guint32 route;
	bool failed;
	double ms; /* its time, with what is known to have slowed it divided
		      out; 0: tells nothing */
	bool full; /* its upstream had few slots left */
};

/* Another new version: what is known of the old one stays. */
void aub_judge_restart(struct aub_judge *judge);
/* An answer of the old version. */
void aub_judge_take_base(struct aub_judge *judge,
			 const struct aub_judge_answer *answer);
/*
 * An answer of the new version. `evidence` is its upstream's, `most` what a
 * single one may bring forward: one ill upstream is no bad version.
 */
void aub_judge_take_new(struct aub_judge *judge,
			const struct aub_judge_answer *answer,
			struct aub_judge_evidence *evidence, double most);
/*
 * A time that only a slow version needs on `route`, ms; 0: not known yet.
 * What takes longer can be counted as slow before it has ended.
 */
double aub_judge_slow_ms(const struct aub_judge *judge, guint32 route,
			 bool full);

/*
 * Evidence about the new version, in AUB_JUDGE_ROUTES + 1 places at most; one
 * of them, with key AUB_JUDGE_POOLED, is of all routes together.
 */
#define AUB_JUDGE_POOLED 0
guint aub_judge_export(const struct aub_judge *judge,
		       struct aub_judge_route *routes);
/* Go on from another process's evidence. */
void aub_judge_inherit(struct aub_judge *judge,
		       const struct aub_judge_route *routes, guint count);

/* Evidence at which a version is bad; a share of it for one upstream. */
extern const double aub_judge_threshold;
double aub_judge_evidence_most(guint upstreams);

/* Is there enough against the version that it should not be trusted yet? */
bool aub_judge_is_suspicious(const struct aub_judge *judge);

const char *aub_judge_fault_name(enum aub_judge_fault fault);

G_END_DECLS

#endif

/*
 * Inside the dispatcher: its tables and the steps that its files share.
 *
 * An upstream outlives the inventory that named it for as long as attempts
 * run on it. A request outlives its final action for as long as attempts of
 * it are still to be reported. Slots are freed by reports alone.
 */
#ifndef AUBURNSTILE_INTERNAL_DISPATCH_H
#define AUBURNSTILE_INTERNAL_DISPATCH_H

#include <auburnstile/dispatch.h>
#include <auburnstile/timer.h>

/* How constants got their values: src/state/dispatch_notes.txt. */
#define AUB_EJECT_SHARE 3 /* at most 1/3 of the upstreams are ejected */
#define AUB_FREE_RETRIES 3 /* attempts that never reached an upstream */
#define AUB_RETRY_PERCENT 15 /* retries among calls, service-wide */
#define AUB_RETRY_BURST 10 /* retries */
#define AUB_HEDGE_BURST 8 /* hedges */
#define AUB_HEDGES_A_MEAN 3 /* hedges that cost one mean service time */
#define AUB_CRASH_DEATHS 2 /* deaths after which a request is refused */

enum upstream_state {
	UPSTREAM_UNKNOWN, /* nothing known yet: no more than when cold */
	UPSTREAM_COLD,
	UPSTREAM_WARM
};

struct upstream {
	char *name;
	guint16 handle; /* in the inventory, AUB_NO_HANDLE once it left */
	guint16 slots;
	guint16 cold_slots;
	guint16 zone;
	guint32 probe_cost_us;
	bool takes_new; /* by the inventory */

	GQueue running; /* of struct attempt, oldest first */
	guint16 limit; /* slots, less what it shed */
	guint32 limit_successes; /* answers since `limit` changed */

	enum upstream_state state;
	guint64 boot_id; /* 0: never told */
	guint64 old_boot_id; /* the one before */
	bool says_cold;
	bool vouched; /* unknown, but a probe says warm */
	bool draining;
	gint64 cold_since_us;
	guint32 cold_successes;

	gint64 mean_us; /* smoothed time of good answers, 0: none yet */
	gint64 last_answer_us;
	guint32 failed_permille; /* smoothed share of failed answers */
	guint32 judged; /* answers since the last change of shut_times */
	gint64 shut_until_us; /* ejected or unreachable until then */
	gint64 linger_until_us; /* may still run what was given up */
	guint32 shut_times; /* in a row: doubles the back-off */
	bool trial; /* was shut: one request at a time until a success */
	bool ejected; /* shut for its failed answers */

	bool probing;
	gint64 last_probe_us;
	guint32 reported_busy;
	GArray *lost; /* of struct lost_attempt: maybe victims of a death */

	guint64 sent;
	guint64 answered;
	guint64 lost_count;
	guint64 probes;
};

struct lost_attempt {
	guint64 fingerprint;
	gint64 at_us;
};

struct attempt {
	guint32 number;
	struct request *request;
	struct upstream *upstream;
	gint64 sent_us;
	bool hedge;
	bool cancelled; /* CANCEL went out, its report is awaited */
	GList link; /* in upstream->running */
};

struct request {
	guint64 id;
	gint64 arrived_us;
	gint64 deadline_us;
	bool once;
	bool may_have_run;
	bool final; /* its final action went out */
	bool waiting; /* is in the queue */
	bool hedged;
	guint32 retry_budget; /* 1/100 */
	guint32 free_retries;
	guint32 attempts; /* sent so far */
	guint64 fingerprint;
	guint16 zone; /* handle, AUB_NO_HANDLE if not known */
	GPtrArray *running; /* of struct attempt, owned */
	struct upstream *avoid; /* where it failed last; may be NULL */
	GList link; /* in dispatcher->queue */
	GSequenceIter *timer; /* lapse while waiting, hedge while running */
	gint64 timer_us;
};

struct crash_table;

/* Tokens in thousandths; filled by calls or by time. */
struct bucket {
	gint64 tokens;
	gint64 depth;
};

struct aub_dispatcher {
	enum aub_policy policy;
	GRand *random;
	enum aub_dispatch_role role;
	gint64 settle_until_us;
	bool stopping;
	gint64 now_us; /* the newest moment heard of */

	struct aub_inventory *inventory;
	guint16 service;
	guint32 queue_limit;
	guint32 probe_budget_us;
	gint64 cold_us;
	guint32 hedge_percent;

	GPtrArray *upstreams; /* of struct upstream, owned */
	GHashTable *requests; /* id -> struct request, owned */
	GQueue queue; /* of struct request, oldest first */
	GSequence *timers; /* of struct request by timer_us, then id */
	GQueue actions; /* of struct aub_action, owned */
	guint turn; /* round robin */
	guint probe_turn;

	gint64 mean_us; /* smoothed time of good answers, all upstreams */
	guint64 answers; /* good ones, that the mean was made of */
	gint64 slow_us; /* time that hedge_percent of answers pass */
	struct bucket retries;
	struct bucket hedges;
	struct bucket probes; /* in us of upstream time, thousandths */
	gint64 probes_filled_us;

	struct crash_table *crashes;
	struct aub_dispatch_counts counts;
};

/* dispatch.c */
void dispatch_pump(struct aub_dispatcher *dispatcher, gint64 now_us);

/* dispatch_attempt.c */
void dispatch_act(struct aub_dispatcher *dispatcher,
		  const struct aub_action *action);
void dispatch_send(struct aub_dispatcher *dispatcher, struct request *request,
		   struct upstream *upstream, bool hedge, gint64 now_us);
void dispatch_cancel(struct aub_dispatcher *dispatcher,
		     struct request *request);
guint request_active(const struct request *request);
void dispatch_refuse(struct aub_dispatcher *dispatcher, struct request *request,
		     enum aub_refusal refusal, gint64 now_us);
bool dispatch_forget_if_done(struct aub_dispatcher *dispatcher,
			     struct request *request);
void dispatch_attempt_done(struct aub_dispatcher *dispatcher,
			   struct request *request, struct attempt *attempt,
			   enum aub_attempt_result result,
			   const struct aub_upstream_signs *signs,
			   gint64 now_us);

/* dispatch_queue.c */
gint64 dispatch_drain_us(const struct aub_dispatcher *dispatcher,
			 gint64 now_us);
void dispatch_enqueue(struct aub_dispatcher *dispatcher,
		      struct request *request, bool first);
void dispatch_dequeue(struct aub_dispatcher *dispatcher,
		      struct request *request);
void dispatch_timer_set(struct aub_dispatcher *dispatcher,
			struct request *request, gint64 at_us);
void dispatch_timer_clear(struct aub_dispatcher *dispatcher,
			  struct request *request);
struct request *dispatch_timer_due(struct aub_dispatcher *dispatcher,
				   gint64 now_us);
bool dispatch_hopeless(const struct aub_dispatcher *dispatcher,
		       const struct aub_dispatch_request *request,
		       gint64 now_us);

/* dispatch_upstream.c */
struct upstream *upstream_new(const char *name);
void upstream_free(gpointer data);
guint upstream_in_flight(const struct upstream *upstream);
void upstream_note_given_up(struct upstream *upstream,
			    enum aub_attempt_result result, gint64 now_us);
struct upstream *upstream_at(const struct aub_dispatcher *dispatcher, guint i);
struct upstream *upstream_by_handle(const struct aub_dispatcher *dispatcher,
				    guint16 handle);
void upstreams_configure(struct aub_dispatcher *dispatcher, gint64 now_us);
void upstream_open(struct upstream *upstream);
bool upstream_usable(const struct upstream *upstream, gint64 now_us);
guint upstream_allowed(const struct aub_dispatcher *dispatcher,
		       const struct upstream *upstream, gint64 now_us);
bool upstream_overruns(const struct aub_dispatcher *dispatcher,
		       const struct upstream *upstream, gint64 now_us);
guint upstream_total_allowed(const struct aub_dispatcher *dispatcher,
			     gint64 now_us);
guint upstream_total_free(const struct aub_dispatcher *dispatcher,
			  gint64 now_us);
struct upstream *upstream_choose(struct aub_dispatcher *dispatcher,
				 const struct request *request, bool hedge,
				 gint64 now_us);
void upstream_note_time(struct aub_dispatcher *dispatcher,
			struct upstream *upstream, gint64 took_us, bool whole);
void upstream_note_result(struct aub_dispatcher *dispatcher,
			  struct upstream *upstream, bool failed,
			  gint64 now_us);
void upstream_note_shed(struct upstream *upstream, gint64 now_us);
void upstream_note_unreachable(struct upstream *upstream, gint64 now_us);
gint64 upstreams_wake_us(const struct aub_dispatcher *dispatcher);
gint64 wake_after(gint64 now_us, gint64 at_us, gint64 wake_us);

/* dispatch_cold.c */
guint cold_allowed(const struct upstream *upstream, gint64 now_us);
void cold_begin(struct aub_dispatcher *dispatcher, struct upstream *upstream,
		gint64 now_us);
void cold_note_signs(struct aub_dispatcher *dispatcher,
		     struct upstream *upstream,
		     const struct aub_upstream_signs *signs, gint64 now_us);
void cold_note_answer(struct aub_dispatcher *dispatcher,
		      struct upstream *upstream, gint64 took_us, gint64 now_us);
bool cold_stale(const struct upstream *upstream, gint64 now_us);
void cold_doubt(struct upstream *upstream, gint64 now_us);

/* dispatch_probe.c */
void probe_configure(struct aub_dispatcher *dispatcher, gint64 now_us);
void probe_pump(struct aub_dispatcher *dispatcher, gint64 now_us);
gint64 probe_wake_us(const struct aub_dispatcher *dispatcher);

/* dispatch_crash.c */
struct crash_table *crash_table_new(void);
void crash_table_free(struct crash_table *table);
guint crash_marks(const struct aub_dispatcher *dispatcher, guint64 fingerprint,
		  gint64 now_us);
bool crash_refuses(const struct aub_dispatcher *dispatcher, guint64 fingerprint,
		   gint64 now_us);
void crash_note_lost(struct aub_dispatcher *dispatcher,
		     struct upstream *upstream, guint64 fingerprint,
		     gint64 now_us);
void crash_note_death(struct aub_dispatcher *dispatcher,
		      struct upstream *upstream, gint64 now_us);
void crash_note_alive(struct upstream *upstream, gint64 sent_us);
void crash_note_success(struct aub_dispatcher *dispatcher, guint64 fingerprint,
			gint64 now_us);

/* dispatch_hedge.c */
void hedge_arm(struct aub_dispatcher *dispatcher, struct request *request,
	       gint64 now_us);
void hedge_due(struct aub_dispatcher *dispatcher, struct request *request,
	       gint64 now_us);

/* dispatch_policy.c */
guint dispatch_random(struct aub_dispatcher *dispatcher, guint below);
struct upstream *policy_choose(struct aub_dispatcher *dispatcher,
			       const struct request *request);
bool bucket_take(struct bucket *bucket, gint64 tokens);
void bucket_add(struct bucket *bucket, gint64 tokens);

#endif

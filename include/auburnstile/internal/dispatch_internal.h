/*
 * Internal tables of the dispatcher, and the functions that its source files
 * share.
 *
 * An upstream that was removed from the inventory is kept while attempts run on
 * it. A request is kept after its final action until all its attempts are
 * reported. Only such a report frees a slot.
 */
#ifndef AUBURNSTILE_INTERNAL_DISPATCH_INTERNAL_H
#define AUBURNSTILE_INTERNAL_DISPATCH_INTERNAL_H

#include <auburnstile/dispatch.h>
#include <auburnstile/timer.h>

/* The reasons for the values are in src/state/dispatch_notes.txt. */
#define AUB_EJECTED_UPSTREAMS_DIVISOR 3 /* at most 1/3 may be ejected */
#define AUB_UNREACHED_RETRIES_MAX 3 /* per request, no budget used */
#define AUB_RETRY_BUDGET_PERCENT 15 /* of the service's requests */
#define AUB_RETRY_BURST_MAX 10 /* retries */
#define AUB_HEDGE_BURST_MAX 8 /* hedges */
#define AUB_HEDGES_PER_MEAN_TIME 3 /* take one mean service time */
#define AUB_REFUSED_AFTER_CRASHES 2 /* upstream crashes */

enum upstream_state {
	UPSTREAM_UNKNOWN, /* no information yet: limited as if cold */
	UPSTREAM_COLD,
	UPSTREAM_WARM
};

struct upstream {
	char *name;
	guint16 handle; /* AUB_NO_HANDLE once removed from the inventory */
	guint16 slots;
	guint16 cold_slots;
	guint16 zone;
	guint32 probe_cost_us;
	bool accepts_new; /* according to the inventory */

	GQueue running; /* of struct attempt, oldest first */
	guint16 concurrency_limit; /* slots, lowered when the upstream sheds */
	guint32 limit_successes; /* good answers since the limit changed */

	enum upstream_state state;
	guint64 boot_id; /* 0: none reported yet */
	guint64 previous_boot_id; /* of its previous start */
	bool reports_cold;
	bool probed_warm; /* a probe without boot id reported warm */
	bool draining;
	gint64 cold_since_us;
	guint32 cold_successes;

	gint64 mean_us; /* smoothed time of good answers, 0: none yet */
	gint64 last_answer_us;
	guint32 failed_permille; /* smoothed share of failed answers */
	guint32 judged_answers; /* answers since the last back-off */
	gint64 unavailable_until_us; /* end of the back-off */
	gint64 cancel_grace_until_us; /* abandoned attempts may still run */
	guint32 backoff_count; /* each back-off doubles the next */
	bool half_open; /* after a back-off: one attempt until a success */
	bool ejected; /* backed off because of failed answers */

	bool probing;
	gint64 last_probe_us;
	guint32 reported_busy;
	GArray *lost_attempts; /* of struct lost_attempt: may have crashed it */

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
	bool cancelled; /* CANCEL was sent; the report is outstanding */
	GList link; /* in upstream->running */
};

struct request {
	guint64 id;
	gint64 arrived_us;
	gint64 deadline_us;
	bool at_most_once;
	bool may_have_run;
	bool finished; /* the final action was issued */
	bool queued; /* is in dispatcher->queue */
	bool hedged;
	guint32 retry_budget; /* hundredths of an attempt */
	guint32 unreached_retries;
	guint32 attempts; /* number of attempts sent */
	guint64 fingerprint;
	guint16 zone; /* handle, AUB_NO_HANDLE if not known */
	GPtrArray *running; /* of struct attempt, owned */
	struct upstream *avoid_upstream; /* where it failed last, or NULL */
	GList link; /* in dispatcher->queue */
	GSequenceIter *timer; /* expiry while queued, hedge while running */
	gint64 timer_us;
};

struct crash_table;

/*
 * Token bucket, in thousandths of a token. It is filled per request or by time.
 */
struct token_bucket {
	gint64 tokens;
	gint64 capacity;
};

struct aub_dispatcher {
	enum aub_policy policy;
	GRand *random;
	enum aub_dispatch_role role;
	gint64 takeover_grace_until_us;
	bool stopping;
	gint64 now_us; /* the latest time passed in */

	struct aub_inventory *inventory;
	guint16 service;
	guint32 queue_limit;
	guint32 probe_budget_us;
	gint64 cold_us; /* duration of the warm-up */
	guint32 hedge_percent;

	GPtrArray *upstreams; /* of struct upstream, owned */
	GHashTable *requests; /* id -> struct request, owned */
	GQueue queue; /* of struct request, oldest first */
	GSequence *timers; /* of struct request by timer_us, then id */
	GQueue actions; /* of struct aub_action, owned */
	guint round_robin_next;
	guint probe_turn;

	gint64 mean_us; /* smoothed time of good answers, all upstreams */
	guint64 latency_samples; /* number of samples in mean_us */
	gint64 tail_latency_us; /* exceeded by a few per cent of answers */
	struct token_bucket retries;
	struct token_bucket hedges;
	struct token_bucket probes; /* 1/1000 us of upstream time */
	gint64 probes_filled_us; /* time of the last refill of `probes` */

	struct crash_table *crashes;
	struct aub_dispatch_counts counts;
};

/* dispatch.c */
void dispatch_run_queue(struct aub_dispatcher *dispatcher, gint64 now_us);

/* dispatch_attempt.c */
void dispatch_push_action(struct aub_dispatcher *dispatcher,
			  const struct aub_action *action);
void dispatch_send(struct aub_dispatcher *dispatcher, struct request *request,
		   struct upstream *upstream, bool hedge, gint64 now_us);
void dispatch_cancel(struct aub_dispatcher *dispatcher,
		     struct request *request);
guint request_active_attempts(const struct request *request);
void dispatch_refuse(struct aub_dispatcher *dispatcher, struct request *request,
		     enum aub_refusal refusal, gint64 now_us);
bool dispatch_free_if_done(struct aub_dispatcher *dispatcher,
			   struct request *request);
void dispatch_attempt_done(struct aub_dispatcher *dispatcher,
			   struct request *request, struct attempt *attempt,
			   enum aub_attempt_result result,
			   const struct aub_upstream_signals *signals,
			   gint64 now_us);

/* dispatch_queue.c */
gint64 dispatch_queue_drain_us(const struct aub_dispatcher *dispatcher,
			       gint64 now_us);
void dispatch_enqueue(struct aub_dispatcher *dispatcher,
		      struct request *request, bool at_head);
void dispatch_dequeue(struct aub_dispatcher *dispatcher,
		      struct request *request);
void dispatch_timer_set(struct aub_dispatcher *dispatcher,
			struct request *request, gint64 at_us);
void dispatch_timer_clear(struct aub_dispatcher *dispatcher,
			  struct request *request);
struct request *dispatch_timer_pop_due(struct aub_dispatcher *dispatcher,
				       gint64 now_us);
bool dispatch_cannot_meet_deadline(const struct aub_dispatcher *dispatcher,
				   const struct aub_dispatch_request *request,
				   gint64 now_us);

/* dispatch_upstream.c */
struct upstream *upstream_new(const char *name);
void upstream_free(gpointer data);
guint upstream_in_flight(const struct upstream *upstream);
void upstream_on_attempt_abandoned(struct upstream *upstream,
				   enum aub_attempt_result result,
				   gint64 now_us);
struct upstream *upstream_at(const struct aub_dispatcher *dispatcher, guint i);
struct upstream *upstream_by_handle(const struct aub_dispatcher *dispatcher,
				    guint16 handle);
void upstreams_configure(struct aub_dispatcher *dispatcher, gint64 now_us);
void upstream_clear_backoff(struct upstream *upstream);
bool upstream_is_available(const struct upstream *upstream, gint64 now_us);
guint upstream_allowed_attempts(const struct aub_dispatcher *dispatcher,
				const struct upstream *upstream, gint64 now_us);
bool upstream_is_overdue(const struct aub_dispatcher *dispatcher,
			 const struct upstream *upstream, gint64 now_us);
guint upstream_total_allowed(const struct aub_dispatcher *dispatcher,
			     gint64 now_us);
guint upstream_total_free(const struct aub_dispatcher *dispatcher,
			  gint64 now_us);
struct upstream *upstream_select(struct aub_dispatcher *dispatcher,
				 const struct request *request, bool hedge,
				 gint64 now_us);
void upstream_record_latency(struct aub_dispatcher *dispatcher,
			     struct upstream *upstream, gint64 took_us,
			     bool complete);
void upstream_record_result(struct aub_dispatcher *dispatcher,
			    struct upstream *upstream, bool failed,
			    gint64 now_us);
void upstream_on_shed(struct upstream *upstream, gint64 now_us);
void upstream_on_unreachable(struct upstream *upstream, gint64 now_us);
gint64 upstreams_next_wakeup_us(const struct aub_dispatcher *dispatcher);
gint64 earliest_future_us(gint64 now_us, gint64 at_us, gint64 wake_us);

/* dispatch_warmup.c */
guint warmup_allowed_attempts(const struct upstream *upstream, gint64 now_us);
void warmup_begin(struct aub_dispatcher *dispatcher, struct upstream *upstream,
		  gint64 now_us);
void warmup_on_signals(struct aub_dispatcher *dispatcher,
		       struct upstream *upstream,
		       const struct aub_upstream_signals *signals,
		       gint64 now_us);
void warmup_on_answer(struct aub_dispatcher *dispatcher,
		      struct upstream *upstream, gint64 took_us, gint64 now_us);
bool warmup_state_is_stale(const struct upstream *upstream, gint64 now_us);
void warmup_reset_to_unknown(struct upstream *upstream, gint64 now_us);

/* dispatch_probe.c */
void probe_configure(struct aub_dispatcher *dispatcher, gint64 now_us);
void probe_send_due(struct aub_dispatcher *dispatcher, gint64 now_us);
gint64 probe_next_wakeup_us(const struct aub_dispatcher *dispatcher);

/* dispatch_crash.c */
struct crash_table *crash_table_new(void);
void crash_table_free(struct crash_table *table);
guint crash_mark_count(const struct aub_dispatcher *dispatcher,
		       guint64 fingerprint, gint64 now_us);
bool crash_must_refuse(const struct aub_dispatcher *dispatcher,
		       guint64 fingerprint, gint64 now_us);
void crash_on_connection_lost(struct aub_dispatcher *dispatcher,
			      struct upstream *upstream, guint64 fingerprint,
			      gint64 now_us);
void crash_on_upstream_crash(struct aub_dispatcher *dispatcher,
			     struct upstream *upstream, gint64 now_us);
void crash_on_upstream_alive(struct upstream *upstream, gint64 sent_us);
void crash_on_request_answered(struct aub_dispatcher *dispatcher,
			       guint64 fingerprint, gint64 now_us);

/* dispatch_hedge.c */
void hedge_schedule(struct aub_dispatcher *dispatcher, struct request *request,
		    gint64 now_us);
void hedge_on_timer(struct aub_dispatcher *dispatcher, struct request *request,
		    gint64 now_us);

/* dispatch_policy.c */
guint dispatch_random(struct aub_dispatcher *dispatcher, guint below);
struct upstream *policy_select(struct aub_dispatcher *dispatcher,
			       const struct request *request);
bool token_bucket_take(struct token_bucket *bucket, gint64 tokens);
void token_bucket_add(struct token_bucket *bucket, gint64 tokens);

#endif

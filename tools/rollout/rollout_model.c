/*
 * The simulation, in steps of one millisecond from before the rollout order
 * until after its deadline.
 */
#include "rollout_model.h"

#include <auburnstile/internal/placement_internal.h>

#include <math.h>
#include <string.h>

#define US_PER_MS ((gint64)1000)
#define LOAD_BEFORE_ORDER_MS 4000
/* The simulation goes on for this long after the deadline. */
#define RUN_AFTER_DEADLINE_MS 1500
#define ROLLOUT_STEP_MS 25 /* interval at which a placer steps a rollout */
/* Interval at which a placer publishes its evidence. */
#define EVIDENCE_INTERVAL_MS 250
#define INTERFERENCE_WINDOW_MS 300
/* Share of the windows in which an upstream has noisy neighbours. */
#define INTERFERENCE_SHARE 0.25
#define INTERFERENCE_SLOWDOWN 4.0 /* factor on the service time */
#define SATURATION_LOAD 0.8 /* share of the slots in use */
#define SATURATION_SLOWDOWN 1.7 /* factor on the service time */
#define WARM_UP_MS 3000
#define WARM_UP_SLOWDOWN 2.0 /* factor on the service time */
#define WARM_UP_REQUESTS_PER_S 4.3
#define HIGH_LOAD 0.7 /* share of the slots in use */
/* Maximum number of placers, one after another. */
#define PLACERS_MAX 16
#define HANG_DURATION_MS 4000

const struct rollout_fault rollout_faults[] = {
	{ .name = "good" },
	{ .name = "fails 3%", .failure_share = 0.03 },
	{ .name = "fails 10%", .failure_share = 0.1 },
	{ .name = "fails 50%", .failure_share = 0.5 },
	{ .name = "2 times slower", .slowdown = 2 },
	{ .name = "3 times slower", .slowdown = 3 },
	{ .name = "6 times slower", .slowdown = 6 },
	{ .name = "fails 10% from half time",
	  .failure_share = 0.1,
	  .start_share = 0.5 },
	{ .name = "3 times slower from half time",
	  .slowdown = 3,
	  .start_share = 0.5 },
	{ .name = "fails 50% from 80%",
	  .failure_share = 0.5,
	  .start_share = 0.8 },
	{ .name = "6 times slower from 80%",
	  .slowdown = 6,
	  .start_share = 0.8 },
	{ .name = "fails 50% when full",
	  .failure_share = 0.5,
	  .only_at_high_load = true },
	{ .name = "6 times slower when full",
	  .slowdown = 6,
	  .only_at_high_load = true },
	{ .name = "fails 50% on a rare route",
	  .failure_share = 0.5,
	  .only_rare_route = true },
	{ .name = "6 times slower on a rare route",
	  .slowdown = 6,
	  .only_rare_route = true },
	{ .name = "fails 10%, 3 times slower",
	  .failure_share = 0.1,
	  .slowdown = 3 },
};
const guint rollout_fault_count = G_N_ELEMENTS(rollout_faults);

struct request_class {
	guint32 route;
	double share; /* share of the requests */
	double work_ms; /* mean service time */
	guint target_ms; /* target latency */
};

static const struct request_class request_classes[] = {
	{ 11, 0.68, 220, 600 },
	{ 12, 0.30, 290, 800 },
	{ 13, 0.02, 180, 500 },
};

#define RARE_ROUTE 13

enum upstream_health { HEALTHY, FAILING, HANGING, SLOW };

struct upstream {
	char id[16];
	char address[24];
	bool new_version;
	guint running; /* number of slots in use */
	guint interference_offset_ms;
	enum upstream_health health;
	gint64 warm_at_ms; /* end of the warm-up */
};

struct attempt {
	guint64 ticket;
	guint upstream;
	guint placer; /* placer that granted the request */
	gint64 sent_ms;
	gint64 requested_ms;
	gint64 ends_ms;
	const struct request_class *request_class;
	bool failed;
	bool affected_by_fault; /* affected by the fault of the version */
};

struct model {
	const struct rollout_spec *spec;
	struct rollout_outcome *outcome;
	GRand *random;
	struct upstream *upstreams;
	guint upstream_count;
	struct aub_placement *placers[PLACERS_MAX];
	guint placer; /* index of the active placer */
	gint64 started_ms[PLACERS_MAX];
	/* The evidence and the counters last published by a placer. */
	struct aub_judge_route evidence[AUB_JUDGE_ROUTES_MAX + 1];
	guint evidence_count;
	guint64 published_requests;
	guint64 published_exposed;
	double published_allowance;
	/* State of the rollout as last published. */
	enum aub_rollout_state published_state;
	GArray *attempts; /* of struct attempt */
	/* &ticket -> struct attempt: requests without a decision. */
	GHashTable *waiting;
	double next_arrival_ms;
	guint64 last_ticket;
	gint64 fiftieth_bad_ms;
	enum aub_rollout_state stored_state;
	gint64 order_ms;
	gint64 deadline_ms;
};

static double draw_uniform(struct model *model)
{
	return g_rand_double(model->random);
}

static double draw_standard_normal(struct model *model)
{
	return sqrt(-2 * log(1 - draw_uniform(model))) *
	       cos(2 * G_PI * draw_uniform(model));
}

static bool is_stored_final(const struct model *model)
{
	return model->stored_state == AUB_ROLLOUT_COMPLETED ||
	       model->stored_state == AUB_ROLLOUT_ROLLED_BACK;
}

static void register_upstream(struct model *model,
			      struct aub_placement *placement, guint i,
			      gint64 now_ms)
{
	struct upstream *upstream = &model->upstreams[i];
	struct aub_upstream_record record = {
		.service = (char *)"svc",
		.address = upstream->address,
		.zone = (char *)"z1",
		.version = (char *)(upstream->new_version ? "v2" : "v1"),
		.slots = model->spec->slots,
		.born_ms = upstream->new_version ? 1000 : 1,
		.warmup_left_ms = (guint)MAX(upstream->warm_at_ms - now_ms, 0),
	};

	aub_placement_register(placement, upstream->id, &record,
			       now_ms * US_PER_MS);
}

/* Returns a record that is valid until the next call in the same thread. */
static const struct aub_rollout_record *rollout_record_of(
	const struct model *model, enum aub_rollout_state state)
{
	static _Thread_local struct aub_rollout_record record;

	record = (struct aub_rollout_record){
		.order = { .version = (char *)"v2",
			   .duration_ms =
				   (guint)(model->spec->duration_s * 1000),
			   .created = 7 },
		.state = state,
	};
	return &record;
}

/* Starts a new placer process with the state published by its predecessor. */
static void start_placer(struct model *model, gint64 now_ms)
{
	const struct aub_placement_limits limits = {
		.retry_ratio = 0.14,
		.retry_slack = 80,
		.window_us = (gint64)10 * G_USEC_PER_SEC,
	};
	const struct aub_rollout_limits rollouts = {
		.share = model->spec->share,
		.slack = model->spec->slack,
	};
	struct aub_service_spec spec = {
		.name = (char *)"svc",
		.health_path = (char *)"/",
		.warmup_ms = WARM_UP_MS,
		.warmup_per_s = WARM_UP_REQUESTS_PER_S,
	};
	struct aub_placement *placement = aub_placement_new("svc", &limits);

	aub_placement_configure(placement, &spec);
	aub_placement_enable_rollouts(placement, &rollouts);
	aub_placement_set_rollouts_loaded(placement, now_ms * US_PER_MS);
	model->placers[model->placer] = placement;
	model->started_ms[model->placer] = now_ms;
	for (guint i = 0; i < model->upstream_count; i++)
		if (!model->upstreams[i].new_version ||
		    now_ms >= model->order_ms)
			register_upstream(model, placement, i, now_ms);
	if (!model->spec->has_rollout || now_ms < model->order_ms)
		return;
	aub_placement_set_rollout(placement,
				  rollout_record_of(model, model->stored_state),
				  false, now_ms * US_PER_MS);
	(void)aub_placement_merge_rollout(
		placement,
		&rollout_record_of(model, model->stored_state)->order,
		model->published_state, (now_ms - model->order_ms) * US_PER_MS,
		now_ms * US_PER_MS);
	aub_placement_import_evidence(placement, model->evidence,
				      model->evidence_count,
				      model->published_requests,
				      model->published_exposed,
				      model->published_allowance);
}

static struct aub_placement *current_placer(struct model *model)
{
	return model->placers[model->placer];
}

static void begin_rollout(struct model *model, gint64 now_ms)
{
	for (guint i = 0; i < model->upstream_count; i++) {
		struct upstream *upstream = &model->upstreams[i];

		if (!upstream->new_version)
			continue;
		upstream->warm_at_ms = now_ms + WARM_UP_MS;
		register_upstream(model, current_placer(model), i, now_ms);
	}
	aub_placement_set_rollout(current_placer(model),
				  rollout_record_of(model, AUB_ROLLOUT_NONE),
				  false, now_ms * US_PER_MS);
	aub_placement_grant_slack(current_placer(model));
	model->stored_state = AUB_ROLLOUT_RUNNING;
	model->published_state = AUB_ROLLOUT_RUNNING;
}

/* Returns the factor by which noisy neighbours slow down `upstream`. */
static double interference_of(const struct model *model,
			      const struct upstream *upstream, gint64 now_ms)
{
	guint64 window = (guint64)(now_ms + upstream->interference_offset_ms) /
			 INTERFERENCE_WINDOW_MS;
	guint64 hash = (window * 0x9E3779B97F4A7C15u) ^
		       (g_str_hash(upstream->id) * 0xC2B2AE3D27D4EB4Fu) ^
		       (model->spec->seed * 0x165667B19E3779F9u);

	hash ^= hash >> 29;
	hash *= 0xBF58476D1CE4E5B9u;
	hash ^= hash >> 32;
	return (double)(hash % 1000) / 1000 < INTERFERENCE_SHARE ?
		       INTERFERENCE_SLOWDOWN :
		       1;
}

static bool fault_applies(const struct model *model,
			  const struct upstream *upstream,
			  const struct attempt *attempt, gint64 now_ms)
{
	const struct rollout_fault *fault = model->spec->fault;
	double age_ms = (double)(now_ms - model->order_ms);

	return upstream->new_version &&
	       (fault->failure_share > 0 || fault->slowdown > 0) &&
	       age_ms >= fault->start_share * model->spec->duration_s * 1000 &&
	       (!fault->only_at_high_load ||
		upstream->running > HIGH_LOAD * model->spec->slots) &&
	       (!fault->only_rare_route ||
		attempt->request_class->route == RARE_ROUTE);
}

static double draw_work_ms(struct model *model, struct upstream *upstream,
			   struct attempt *attempt, gint64 now_ms)
{
	const struct rollout_fault *fault = model->spec->fault;
	double ms = attempt->request_class->work_ms *
		    exp(0.3 * draw_standard_normal(model) - 0.045);

	ms *= interference_of(model, upstream, now_ms);
	if (upstream->running > SATURATION_LOAD * model->spec->slots)
		ms *= SATURATION_SLOWDOWN;
	if (upstream->warm_at_ms > now_ms)
		ms *= WARM_UP_SLOWDOWN;
	if (upstream->health == SLOW)
		ms *= 5;
	attempt->failed =
		draw_uniform(model) < 0.004 ||
		(upstream->health == FAILING && draw_uniform(model) < 0.45);
	if (fault_applies(model, upstream, attempt, now_ms)) {
		if (fault->slowdown > 0)
			ms *= fault->slowdown;
		attempt->affected_by_fault = fault->slowdown > 0;
		if (draw_uniform(model) < fault->failure_share) {
			attempt->failed = true;
			attempt->affected_by_fault = true;
		}
	}
	if (upstream->health == HANGING && draw_uniform(model) < 0.3)
		ms = HANG_DURATION_MS;
	return ms;
}

static void count_exposure(struct model *model, gint64 now_ms)
{
	struct rollout_outcome *outcome = model->outcome;

	outcome->exposed++;
	if (model->fiftieth_bad_ms >= 0)
		outcome->after_50th_bad_ms =
			(double)(now_ms - model->fiftieth_bad_ms);
}

static void send_attempt(struct model *model,
			 const struct aub_placement_decision *decision,
			 const struct attempt *waiting, gint64 now_ms)
{
	guint index = (guint)atoi(decision->upstream + 1);
	struct upstream *upstream = &model->upstreams[index];
	struct attempt attempt = *waiting;
	bool is_counted =
		now_ms >= model->order_ms && now_ms < model->deadline_ms;

	attempt.upstream = index;
	attempt.sent_ms = now_ms;
	upstream->running++;
	attempt.ends_ms = now_ms + (gint64)draw_work_ms(model, upstream,
							&attempt, now_ms);
	g_array_append_val(model->attempts, attempt);
	if (!is_counted)
		return;
	model->outcome->requests++;
	if (upstream->new_version)
		count_exposure(model, now_ms);
}

static void apply_decision(struct model *model,
			   const struct aub_placement_decision *decision,
			   gint64 now_ms)
{
	struct attempt *waiting =
		g_hash_table_lookup(model->waiting, &decision->ticket);

	if (!waiting || decision->verdict == AUB_VERDICT_QUEUED)
		return;
	if (decision->verdict == AUB_VERDICT_GRANTED)
		send_attempt(model, decision, waiting, now_ms);
	g_hash_table_remove(model->waiting, &decision->ticket);
}

static const struct request_class *draw_request_class(struct model *model)
{
	double point = draw_uniform(model);

	for (guint i = 0; i < G_N_ELEMENTS(request_classes); i++) {
		point -= request_classes[i].share;
		if (point < 0)
			return &request_classes[i];
	}
	return &request_classes[0];
}

/*
 * While two placers are active, every third request goes to the previous one.
 */
static guint draw_placer(struct model *model, gint64 now_ms)
{
	bool two_active = model->spec->two_placers && model->placer > 0 &&
			  model->placers[model->placer - 1] &&
			  now_ms - model->started_ms[model->placer] <
				  model->spec->duration_s * 333;

	return two_active && model->last_ticket % 3 == 0 ? model->placer - 1 :
							   model->placer;
}

static void request_placement(struct model *model, gint64 now_ms)
{
	const struct request_class *request_class = draw_request_class(model);
	struct attempt *attempt = g_new0(struct attempt, 1);
	struct aub_placement_decision decision;
	struct aub_placement_request request = {
		.ticket = ++model->last_ticket,
		.holder = 1,
		.zone = "z1",
		.priority = 1,
		.target_ms = request_class->target_ms,
		.on_time_wait_ms = request_class->target_ms / 2,
		.max_wait_ms = request_class->target_ms,
		.route = request_class->route,
	};

	attempt->ticket = request.ticket;
	attempt->request_class = request_class;
	attempt->requested_ms = now_ms;
	attempt->placer = draw_placer(model, now_ms);
	g_hash_table_insert(model->waiting, &attempt->ticket, attempt);
	if (now_ms >= model->order_ms && now_ms < model->deadline_ms)
		model->outcome->placement_requests++;
	aub_placement_submit(model->placers[attempt->placer], &request,
			     now_ms * US_PER_MS, &decision);
	apply_decision(model, &decision, now_ms);
}

static double arrival_rate_at(const struct model *model, gint64 now_ms)
{
	const struct rollout_spec *spec = model->spec;
	double rate = spec->requests_per_s;

	if (spec->load_wave)
		rate *= 1 + 0.15 * sin(2 * G_PI * (double)now_ms / 11000);
	if (spec->load_bursts && now_ms / 1000 % 9 < 2)
		rate *= 1.6;
	return rate;
}

static void run_arrivals(struct model *model, gint64 now_ms)
{
	while (model->next_arrival_ms <= now_ms) {
		request_placement(model, now_ms);
		model->next_arrival_ms += -log(1 - draw_uniform(model)) * 1000 /
					  arrival_rate_at(model, now_ms);
	}
}

static void count_answer(struct model *model, const struct attempt *attempt,
			 gint64 now_ms)
{
	struct rollout_outcome *outcome = model->outcome;

	if (attempt->requested_ms >= model->order_ms &&
	    attempt->requested_ms < model->deadline_ms && !attempt->failed &&
	    now_ms - attempt->requested_ms <= attempt->request_class->target_ms)
		outcome->on_time++;
	if (!attempt->affected_by_fault || now_ms < model->order_ms)
		return;
	if (++outcome->bad_answers == 50)
		model->fiftieth_bad_ms = now_ms;
}

static void finish_attempt(struct model *model, const struct attempt *attempt,
			   gint64 now_ms)
{
	struct upstream *upstream = &model->upstreams[attempt->upstream];
	struct aub_placement *placement = model->placers[attempt->placer];
	const struct aub_grant_report report = {
		.ticket = attempt->ticket,
		.end = attempt->ends_ms - attempt->sent_ms >= HANG_DURATION_MS ?
			       AUB_GRANT_TIMEOUT :
		       attempt->failed ? AUB_GRANT_FAILED :
					 AUB_GRANT_OK,
		.elapsed_us = (attempt->ends_ms - attempt->sent_ms) * US_PER_MS,
		.load = { .running = (gint)upstream->running - 1,
			  .slots = (gint)model->spec->slots,
			  .slowdown =
				  (gint)(100 * interference_of(model, upstream,
							       now_ms)),
			  .warmup_ms = -1 },
	};

	upstream->running--;
	count_answer(model, attempt, now_ms);
	if (placement)
		aub_placement_report(placement, &report, now_ms * US_PER_MS);
}

static void finish_due_attempts(struct model *model, gint64 now_ms)
{
	for (guint i = model->attempts->len; i > 0; i--) {
		struct attempt attempt =
			g_array_index(model->attempts, struct attempt, i - 1);

		if (attempt.ends_ms > now_ms)
			continue;
		g_array_remove_index_fast(model->attempts, i - 1);
		finish_attempt(model, &attempt, now_ms);
	}
}

static void run_queue_and_probes(struct model *model,
				 struct aub_placement *placement, gint64 now_ms)
{
	struct aub_placement_decision decision;
	struct aub_probe probe;

	while (aub_placement_next_decision(placement, now_ms * US_PER_MS,
					   &decision))
		apply_decision(model, &decision, now_ms);
	if (now_ms % ROLLOUT_STEP_MS)
		return;
	while (aub_placement_probe_next(placement, NULL, now_ms * US_PER_MS,
					&probe)) {
		guint index = (guint)atoi(probe.upstream + 1);
		struct upstream *upstream = &model->upstreams[index];
		gint64 warm_up_left_ms = upstream->warm_at_ms - now_ms;
		const struct aub_load load = {
			.running = (gint)upstream->running,
			.slots = (gint)model->spec->slots,
			.slowdown =
				(gint)(100 * interference_of(model, upstream,
							     now_ms)),
			.warmup_ms = (gint)MAX(warm_up_left_ms, 0),
		};

		aub_placement_probe_finished(placement, upstream->id,
					     AUB_PROBE_HEALTHY, &load,
					     now_ms * US_PER_MS);
	}
}

static bool is_store_available(const struct model *model, gint64 now_ms)
{
	gint64 rollout_ms = model->deadline_ms - model->order_ms;

	return !model->spec->store_unavailable ||
	       now_ms < model->order_ms + rollout_ms / 2 ||
	       now_ms > model->order_ms + rollout_ms * 4 / 5;
}

static void record_stored_state(struct model *model, gint64 now_ms)
{
	struct rollout_outcome *outcome = model->outcome;

	outcome->state = model->stored_state;
	if (model->stored_state != AUB_ROLLOUT_COMPLETED)
		return;
	for (guint i = 0; i < model->attempts->len; i++) {
		const struct attempt *attempt =
			&g_array_index(model->attempts, struct attempt, i);
		const struct upstream *upstream =
			&model->upstreams[attempt->upstream];

		/* An attempt at a hanging upstream would never be answered. */
		outcome->interrupted +=
			!upstream->new_version && upstream->health != HANGING;
	}
}

static void store_state(struct model *model, enum aub_rollout_state state,
			gint64 now_ms)
{
	if (is_stored_final(model) || state <= model->stored_state ||
	    !is_store_available(model, now_ms))
		return;
	model->stored_state = state;
	if (now_ms < model->deadline_ms)
		record_stored_state(model, now_ms);
	for (guint i = 0; i < PLACERS_MAX; i++)
		if (model->placers[i])
			aub_placement_set_rollout(model->placers[i],
						  rollout_record_of(model,
								    state),
						  false, now_ms * US_PER_MS);
}

static void publish_evidence(struct model *model,
			     const struct aub_rollout *rollout, gint64 now_ms)
{
	model->evidence_count =
		aub_judge_export(&rollout->judge, model->evidence);
	model->published_requests = aub_rollout_total_reached(rollout);
	model->published_exposed = aub_rollout_total_exposed(rollout);
	model->published_allowance = rollout->allowance;
	model->published_state = rollout->state;
	for (guint i = 0; i < PLACERS_MAX; i++)
		if (model->placers[i] && i != model->placer)
			(void)aub_placement_merge_rollout(
				model->placers[i], &rollout->order,
				rollout->state,
				now_ms * US_PER_MS - rollout->started_us,
				now_ms * US_PER_MS);
}

static void step_rollout(struct model *model, gint64 now_ms)
{
	struct aub_placement *placement = current_placer(model);
	enum aub_rollout_state previous_state = placement->rollout.state;
	enum aub_rollout_state wanted_state =
		aub_placement_rollout_step(placement, now_ms * US_PER_MS);
	const struct aub_rollout *rollout = aub_placement_rollout(placement);

	if (!rollout)
		return;
	if (rollout->state != previous_state ||
	    now_ms % EVIDENCE_INTERVAL_MS < ROLLOUT_STEP_MS)
		publish_evidence(model, rollout, now_ms);
	if (rollout->state != previous_state &&
	    !aub_rollout_is_in_progress(rollout) &&
	    model->outcome->decision_ms < 0) {
		model->outcome->decision_ms =
			(double)(now_ms - model->order_ms);
		model->outcome->reason = rollout->reason;
	}
	if (wanted_state == AUB_ROLLOUT_COMPLETED ||
	    wanted_state == AUB_ROLLOUT_ROLLED_BACK)
		store_state(model, wanted_state, now_ms);
}

/*
 * Replaces the active placer. The new one learns the grants of a crashed
 * predecessor from their holders.
 */
static void replace_placer(struct model *model, bool crashes, gint64 now_ms)
{
	if (model->placer + 1 >= PLACERS_MAX)
		return;
	if (crashes) {
		aub_placement_free(current_placer(model));
		model->placers[model->placer] = NULL;
		g_hash_table_remove_all(model->waiting);
	}
	model->placer++;
	start_placer(model, now_ms);
	for (guint i = 0; i < model->attempts->len; i++) {
		struct attempt *attempt =
			&g_array_index(model->attempts, struct attempt, i);

		if (model->placers[attempt->placer])
			continue;
		attempt->placer = model->placer;
		aub_placement_adopt(current_placer(model), 1, attempt->ticket,
				    model->upstreams[attempt->upstream].id,
				    attempt->request_class->target_ms,
				    now_ms * US_PER_MS);
	}
}

static void apply_placer_faults(struct model *model, gint64 now_ms)
{
	gint64 rollout_ms = model->deadline_ms - model->order_ms;
	gint64 age_ms = now_ms - model->order_ms;

	if (age_ms <= 0)
		return;
	if (model->spec->placer_crashes && age_ms % (rollout_ms / 5) == 0 &&
	    now_ms < model->deadline_ms)
		replace_placer(model, true, now_ms);
	if (model->spec->two_placers && age_ms == rollout_ms / 3)
		replace_placer(model, false, now_ms);
}

static void create_upstreams(struct model *model)
{
	const struct rollout_spec *spec = model->spec;

	model->upstream_count = 2 * spec->upstreams;
	model->upstreams = g_new0(struct upstream, model->upstream_count);
	for (guint i = 0; i < model->upstream_count; i++) {
		struct upstream *upstream = &model->upstreams[i];

		g_snprintf(upstream->id, sizeof(upstream->id), "u%u", i);
		g_snprintf(upstream->address, sizeof(upstream->address),
			   "10.0.%u.%u:80", i / 250, i % 250);
		upstream->new_version = i >= spec->upstreams;
		upstream->interference_offset_ms =
			(guint)g_rand_int_range(model->random, 0,
						INTERFERENCE_WINDOW_MS);
		/*
		 * At most a seventh, and never all upstreams of a small
		 * service.
		 */
		if (spec->unhealthy_upstreams && i % 7 == 3)
			upstream->health = (enum upstream_health)(
				1 + g_rand_int_range(model->random, 0, 3));
	}
}

static void model_free(struct model *model)
{
	for (guint i = 0; i < PLACERS_MAX; i++)
		aub_placement_free(model->placers[i]);
	g_array_unref(model->attempts);
	g_hash_table_unref(model->waiting);
	g_free(model->upstreams);
	g_rand_free(model->random);
}

static double exposure_bound_of(const struct rollout_spec *spec,
				const struct rollout_outcome *outcome)
{
	return spec->share * (double)outcome->requests + spec->slack;
}

void rollout_model_run(const struct rollout_spec *spec,
		       struct rollout_outcome *outcome)
{
	struct model model = {
		.spec = spec,
		.outcome = outcome,
		.random = g_rand_new_with_seed((guint32)spec->seed),
		.attempts = g_array_new(FALSE, FALSE, sizeof(struct attempt)),
		.waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free),
		.fiftieth_bad_ms = -1,
		.order_ms = LOAD_BEFORE_ORDER_MS,
		.deadline_ms = LOAD_BEFORE_ORDER_MS +
			       (gint64)(spec->duration_s * 1000),
	};

	*outcome = (struct rollout_outcome){ .decision_ms = -1, .reason = "" };
	create_upstreams(&model);
	start_placer(&model, 0);
	for (gint64 now = 0; now < model.deadline_ms + RUN_AFTER_DEADLINE_MS;
	     now++) {
		if (now == model.order_ms && spec->has_rollout)
			begin_rollout(&model, now);
		if (spec->has_rollout)
			apply_placer_faults(&model, now);
		finish_due_attempts(&model, now);
		run_arrivals(&model, now);
		for (guint i = 0; i < PLACERS_MAX; i++)
			if (model.placers[i])
				run_queue_and_probes(&model, model.placers[i],
						     now);
		if (now % ROLLOUT_STEP_MS == 0 && spec->has_rollout &&
		    now > model.order_ms)
			step_rollout(&model, now);
	}
	outcome->first_bad_ms =
		spec->fault->start_share * spec->duration_s * 1000;
	outcome->exposure_bound = exposure_bound_of(spec, outcome);
	model_free(&model);
}

/*
 * Returns the expected information of one answer in nats (Kullback-Leibler
 * divergence) for a rate of `rate` against `base`.
 */
static double information_nats(double rate, double base)
{
	return rate * log(rate / base) +
	       (1 - rate) * log((1 - rate) / (1 - base));
}

bool rollout_model_is_visible(const struct rollout_spec *spec)
{
	const struct rollout_fault *fault = spec->fault;
	double answers =
		spec->requests_per_s * spec->duration_s * spec->share * 0.5 +
		spec->slack * 0.4;
	double nats = 0;

	if (fault->only_rare_route)
		answers *= 0.02;
	if (fault->only_at_high_load)
		answers *= 0.2;
	answers *= 1 - fault->start_share;
	if (fault->failure_share > 0)
		nats += information_nats(MIN(fault->failure_share, 0.95),
					 0.008);
	if (fault->slowdown > 0)
		nats += information_nats(fault->slowdown < 2.5 ? 0.5 : 0.8,
					 0.25);
	return answers * nats > 2 * aub_judge_threshold;
}

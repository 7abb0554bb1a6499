/*
 * The model: steps of a millisecond, from before the order to its deadline.
 */
#include "rollout_model.h"

#include <auburnstile/internal/placement_parts.h>

#include <math.h>
#include <string.h>

#define MS ((gint64)1000)
#define BEFORE_MS 4000 /* of load before the order */
#define AFTER_MS 1500 /* beyond the deadline */
#define STEP_MS 25 /* as often as placers look at an order */
#define TELL_MS 250 /* as often as they tell their evidence */
#define NOISE_MS 300
#define NOISE_SHARE 0.25
#define NOISE_FACTOR 4.0
#define KNEE 0.8
#define KNEE_FACTOR 1.7
#define COLD_MS 3000
#define COLD_FACTOR 2.0
#define COLD_PER_S 4.3
#define FULL 0.7
#define PLACERS 16 /* one after the other, at most */
#define HANG_MS 4000

const struct rollout_fault rollout_faults[] = {
	{ .name = "good" },
	{ .name = "fails 3%", .fail = 0.03 },
	{ .name = "fails 10%", .fail = 0.1 },
	{ .name = "fails 50%", .fail = 0.5 },
	{ .name = "2 times slower", .slow = 2 },
	{ .name = "3 times slower", .slow = 3 },
	{ .name = "6 times slower", .slow = 6 },
	{ .name = "fails 10% from half time", .fail = 0.1, .from = 0.5 },
	{ .name = "3 times slower from half time", .slow = 3, .from = 0.5 },
	{ .name = "fails 50% from 80%", .fail = 0.5, .from = 0.8 },
	{ .name = "6 times slower from 80%", .slow = 6, .from = 0.8 },
	{ .name = "fails 50% when full", .fail = 0.5, .when_full = true },
	{ .name = "6 times slower when full", .slow = 6, .when_full = true },
	{ .name = "fails 50% on a rare route", .fail = 0.5, .one_route = true },
	{ .name = "6 times slower on a rare route",
	  .slow = 6,
	  .one_route = true },
	{ .name = "fails 10%, 3 times slower", .fail = 0.1, .slow = 3 },
};
const guint rollout_fault_count = G_N_ELEMENTS(rollout_faults);

struct kind {
	guint32 route;
	double share; /* of the requests */
	double work_ms;
	guint target_ms;
};

static const struct kind kinds[] = {
	{ 11, 0.68, 220, 600 },
	{ 12, 0.30, 290, 800 },
	{ 13, 0.02, 180, 500 },
};

#define RARE_ROUTE 13

enum sickness { WELL, FAILS, HANGS, SLOW };

struct upstream {
	char id[16];
	char address[24];
	bool new_version;
	guint running;
	guint noise_offset;
	enum sickness sickness;
	gint64 cold_until_ms;
};

struct run {
	guint64 ticket;
	guint upstream;
	guint placer; /* that granted it */
	gint64 sent_ms;
	gint64 asked_ms;
	gint64 ends_ms;
	const struct kind *kind;
	bool failed;
	bool bad; /* by the version's fault */
};

struct model {
	const struct rollout_spec *spec;
	struct rollout_outcome *outcome;
	GRand *random;
	struct upstream *upstreams;
	guint upstream_count;
	struct aub_placement *placers[PLACERS];
	guint placer; /* the one that places now */
	gint64 started_ms[PLACERS];
	struct aub_judge_route evidence[AUB_JUDGE_ROUTES + 1]; /* last told */
	guint evidence_count;
	guint64 reached;
	guint64 exposed;
	double allowance;
	enum aub_rollout_state told; /* how far the order is */
	GArray *runs; /* of struct run */
	GHashTable *asked; /* &ticket -> struct run, those that wait */
	double next_ms;
	guint64 serial;
	gint64 fiftieth_ms;
	enum aub_rollout_state stored;
	gint64 order_ms;
	gint64 deadline_ms;
};

static double uniform(struct model *model)
{
	return g_rand_double(model->random);
}

static double normal(struct model *model)
{
	return sqrt(-2 * log(1 - uniform(model))) *
	       cos(2 * G_PI * uniform(model));
}

static bool is_stored_final(const struct model *model)
{
	return model->stored == AUB_ROLLOUT_COMPLETED ||
	       model->stored == AUB_ROLLOUT_ROLLED_BACK;
}

static void enter(struct model *model, struct aub_placement *placement, guint i,
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
		.warmup_left_ms =
			(guint)MAX(upstream->cold_until_ms - now_ms, 0),
	};

	aub_placement_register(placement, upstream->id, &record, now_ms * MS);
}

static const struct aub_rollout_record *order_of(const struct model *model,
						 enum aub_rollout_state state)
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

/* Another process begins to place, with what it has been told. */
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
		.warmup_ms = COLD_MS,
		.warmup_per_s = COLD_PER_S,
	};
	struct aub_placement *placement = aub_placement_new("svc", &limits);

	aub_placement_configure(placement, &spec);
	aub_placement_take_orders(placement, &rollouts);
	aub_placement_orders_known(placement, now_ms * MS);
	model->placers[model->placer] = placement;
	model->started_ms[model->placer] = now_ms;
	for (guint i = 0; i < model->upstream_count; i++)
		if (!model->upstreams[i].new_version ||
		    now_ms >= model->order_ms)
			enter(model, placement, i, now_ms);
	if (!model->spec->orders || now_ms < model->order_ms)
		return;
	aub_placement_order(placement, order_of(model, model->stored), false,
			    now_ms * MS);
	(void)aub_placement_order_told(placement,
				       &order_of(model, model->stored)->order,
				       model->told,
				       (now_ms - model->order_ms) * MS,
				       now_ms * MS);
	aub_placement_inherit(placement, model->evidence, model->evidence_count,
			      model->reached, model->exposed, model->allowance);
}

static struct aub_placement *placer_now(struct model *model)
{
	return model->placers[model->placer];
}

static void give_order(struct model *model, gint64 now_ms)
{
	for (guint i = 0; i < model->upstream_count; i++) {
		struct upstream *upstream = &model->upstreams[i];

		if (!upstream->new_version)
			continue;
		upstream->cold_until_ms = now_ms + COLD_MS;
		enter(model, placer_now(model), i, now_ms);
	}
	aub_placement_order(placer_now(model),
			    order_of(model, AUB_ROLLOUT_NONE), false,
			    now_ms * MS);
	aub_placement_grant_slack(placer_now(model));
	model->stored = AUB_ROLLOUT_RUNNING;
	model->told = AUB_ROLLOUT_RUNNING;
}

static double noise_of(const struct model *model,
		       const struct upstream *upstream, gint64 now_ms)
{
	guint64 window = (guint64)(now_ms + upstream->noise_offset) / NOISE_MS;
	guint64 hash = (window * 0x9E3779B97F4A7C15u) ^
		       (g_str_hash(upstream->id) * 0xC2B2AE3D27D4EB4Fu) ^
		       (model->spec->seed * 0x165667B19E3779F9u);

	hash ^= hash >> 29;
	hash *= 0xBF58476D1CE4E5B9u;
	hash ^= hash >> 32;
	return (double)(hash % 1000) / 1000 < NOISE_SHARE ? NOISE_FACTOR : 1;
}

static bool fault_holds(const struct model *model,
			const struct upstream *upstream, const struct run *run,
			gint64 now_ms)
{
	const struct rollout_fault *fault = model->spec->fault;
	double age_ms = (double)(now_ms - model->order_ms);

	return upstream->new_version && (fault->fail > 0 || fault->slow > 0) &&
	       age_ms >= fault->from * model->spec->duration_s * 1000 &&
	       (!fault->when_full ||
		upstream->running > FULL * model->spec->slots) &&
	       (!fault->one_route || run->kind->route == RARE_ROUTE);
}

static double work_of(struct model *model, struct upstream *upstream,
		      struct run *run, gint64 now_ms)
{
	const struct rollout_fault *fault = model->spec->fault;
	double ms = run->kind->work_ms * exp(0.3 * normal(model) - 0.045);

	ms *= noise_of(model, upstream, now_ms);
	if (upstream->running > KNEE * model->spec->slots)
		ms *= KNEE_FACTOR;
	if (upstream->cold_until_ms > now_ms)
		ms *= COLD_FACTOR;
	if (upstream->sickness == SLOW)
		ms *= 5;
	run->failed = uniform(model) < 0.004 ||
		      (upstream->sickness == FAILS && uniform(model) < 0.45);
	if (fault_holds(model, upstream, run, now_ms)) {
		if (fault->slow > 0)
			ms *= fault->slow;
		run->bad = fault->slow > 0;
		if (uniform(model) < fault->fail) {
			run->failed = true;
			run->bad = true;
		}
	}
	if (upstream->sickness == HANGS && uniform(model) < 0.3)
		ms = HANG_MS;
	return ms;
}

static void note_exposure(struct model *model, gint64 now_ms)
{
	struct rollout_outcome *outcome = model->outcome;

	outcome->exposed++;
	if (model->fiftieth_ms >= 0)
		outcome->after_50_ms = (double)(now_ms - model->fiftieth_ms);
}

static void send(struct model *model, const struct aub_decision *decision,
		 const struct run *asked, gint64 now_ms)
{
	guint index = (guint)atoi(decision->upstream + 1);
	struct upstream *upstream = &model->upstreams[index];
	struct run run = *asked;
	bool counts = now_ms >= model->order_ms && now_ms < model->deadline_ms;

	run.upstream = index;
	run.sent_ms = now_ms;
	upstream->running++;
	run.ends_ms = now_ms + (gint64)work_of(model, upstream, &run, now_ms);
	g_array_append_val(model->runs, run);
	if (!counts)
		return;
	model->outcome->requests++;
	if (upstream->new_version)
		note_exposure(model, now_ms);
}

static void take_decision(struct model *model,
			  const struct aub_decision *decision, gint64 now_ms)
{
	struct run *asked =
		g_hash_table_lookup(model->asked, &decision->ticket);

	if (!asked || decision->verdict == AUB_VERDICT_QUEUED)
		return;
	if (decision->verdict == AUB_VERDICT_GRANTED)
		send(model, decision, asked, now_ms);
	g_hash_table_remove(model->asked, &decision->ticket);
}

static const struct kind *draw_kind(struct model *model)
{
	double at = uniform(model);

	for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
		at -= kinds[i].share;
		if (at < 0)
			return &kinds[i];
	}
	return &kinds[0];
}

/* With two placers, every third request asks the one before. */
static guint choose_placer(struct model *model, gint64 now_ms)
{
	bool twice = model->spec->two_placers && model->placer > 0 &&
		     model->placers[model->placer - 1] &&
		     now_ms - model->started_ms[model->placer] <
			     model->spec->duration_s * 333;

	return twice && model->serial % 3 == 0 ? model->placer - 1 :
						 model->placer;
}

static void arrive(struct model *model, gint64 now_ms)
{
	const struct kind *kind = draw_kind(model);
	struct run *run = g_new0(struct run, 1);
	struct aub_decision decision;
	struct aub_ask ask = {
		.ticket = ++model->serial,
		.holder = 1,
		.zone = "z1",
		.priority = 1,
		.target_ms = kind->target_ms,
		.on_time_ms = kind->target_ms / 2,
		.max_wait_ms = kind->target_ms,
		.route = kind->route,
	};

	run->ticket = ask.ticket;
	run->kind = kind;
	run->asked_ms = now_ms;
	run->placer = choose_placer(model, now_ms);
	g_hash_table_insert(model->asked, &run->ticket, run);
	if (now_ms >= model->order_ms && now_ms < model->deadline_ms)
		model->outcome->asked++;
	aub_placement_ask(model->placers[run->placer], &ask, now_ms * MS,
			  &decision);
	take_decision(model, &decision, now_ms);
}

static double rate_at(const struct model *model, gint64 now_ms)
{
	const struct rollout_spec *spec = model->spec;
	double rate = spec->per_s;

	if (spec->wave)
		rate *= 1 + 0.15 * sin(2 * G_PI * (double)now_ms / 11000);
	if (spec->bursts && now_ms / 1000 % 9 < 2)
		rate *= 1.6;
	return rate;
}

static void arrivals(struct model *model, gint64 now_ms)
{
	while (model->next_ms <= now_ms) {
		arrive(model, now_ms);
		model->next_ms += -log(1 - uniform(model)) * 1000 /
				  rate_at(model, now_ms);
	}
}

static void note_answer(struct model *model, const struct run *run,
			gint64 now_ms)
{
	struct rollout_outcome *outcome = model->outcome;

	if (run->asked_ms >= model->order_ms &&
	    run->asked_ms < model->deadline_ms && !run->failed &&
	    now_ms - run->asked_ms <= run->kind->target_ms)
		outcome->on_time++;
	if (!run->bad || now_ms < model->order_ms)
		return;
	if (++outcome->bad_answers == 50)
		model->fiftieth_ms = now_ms;
}

static void answer(struct model *model, const struct run *run, gint64 now_ms)
{
	struct upstream *upstream = &model->upstreams[run->upstream];
	struct aub_placement *placement = model->placers[run->placer];
	const struct aub_attempt_report report = {
		.ticket = run->ticket,
		.end = run->ends_ms - run->sent_ms >= HANG_MS ?
			       AUB_END_TIMEOUT :
		       run->failed ? AUB_END_FAILED :
				     AUB_END_OK,
		.elapsed_us = (run->ends_ms - run->sent_ms) * MS,
		.load = { .running = (gint)upstream->running - 1,
			  .slots = (gint)model->spec->slots,
			  .slowdown = (gint)(100 *
					     noise_of(model, upstream, now_ms)),
			  .warmup_ms = -1 },
	};

	upstream->running--;
	note_answer(model, run, now_ms);
	if (placement)
		aub_placement_report(placement, &report, now_ms * MS);
}

static void answers(struct model *model, gint64 now_ms)
{
	for (guint i = model->runs->len; i > 0; i--) {
		struct run run = g_array_index(model->runs, struct run, i - 1);

		if (run.ends_ms > now_ms)
			continue;
		g_array_remove_index_fast(model->runs, i - 1);
		answer(model, &run, now_ms);
	}
}

static void queue_and_probes(struct model *model,
			     struct aub_placement *placement, gint64 now_ms)
{
	struct aub_decision decision;
	struct aub_probe probe;

	while (aub_placement_next(placement, now_ms * MS, &decision))
		take_decision(model, &decision, now_ms);
	if (now_ms % STEP_MS)
		return;
	while (aub_placement_probe_next(placement, NULL, now_ms * MS, &probe)) {
		guint index = (guint)atoi(probe.upstream + 1);
		struct upstream *upstream = &model->upstreams[index];
		gint64 cold_ms = upstream->cold_until_ms - now_ms;
		const struct aub_load load = {
			.running = (gint)upstream->running,
			.slots = (gint)model->spec->slots,
			.slowdown =
				(gint)(100 * noise_of(model, upstream, now_ms)),
			.warmup_ms = (gint)MAX(cold_ms, 0),
		};

		aub_placement_probe_ended(placement, upstream->id,
					  AUB_PROBE_WELL, &load, now_ms * MS);
	}
}

static bool store_answers(const struct model *model, gint64 now_ms)
{
	gint64 whole_ms = model->deadline_ms - model->order_ms;

	return !model->spec->store_away ||
	       now_ms < model->order_ms + whole_ms / 2 ||
	       now_ms > model->order_ms + whole_ms * 4 / 5;
}

static void note_stored(struct model *model, gint64 now_ms)
{
	struct rollout_outcome *outcome = model->outcome;

	outcome->state = model->stored;
	if (model->stored != AUB_ROLLOUT_COMPLETED)
		return;
	for (guint i = 0; i < model->runs->len; i++) {
		const struct run *run =
			&g_array_index(model->runs, struct run, i);
		const struct upstream *upstream =
			&model->upstreams[run->upstream];

		/* One that hangs would never have been answered. */
		outcome->cut_off +=
			!upstream->new_version && upstream->sickness != HANGS;
	}
}

static void store_take(struct model *model, enum aub_rollout_state state,
		       gint64 now_ms)
{
	if (is_stored_final(model) || state <= model->stored ||
	    !store_answers(model, now_ms))
		return;
	model->stored = state;
	if (now_ms < model->deadline_ms)
		note_stored(model, now_ms);
	for (guint i = 0; i < PLACERS; i++)
		if (model->placers[i])
			aub_placement_order(model->placers[i],
					    order_of(model, state), false,
					    now_ms * MS);
}

static void tell(struct model *model, const struct aub_rollout *rollout,
		 gint64 now_ms)
{
	model->evidence_count =
		aub_judge_export(&rollout->judge, model->evidence);
	model->reached = aub_rollout_total_reached(rollout);
	model->exposed = aub_rollout_total_exposed(rollout);
	model->allowance = rollout->allowance;
	model->told = rollout->state;
	for (guint i = 0; i < PLACERS; i++)
		if (model->placers[i] && i != model->placer)
			(void)aub_placement_order_told(
				model->placers[i], &rollout->order,
				rollout->state, now_ms * MS - rollout->began_us,
				now_ms * MS);
}

static void orders(struct model *model, gint64 now_ms)
{
	struct aub_placement *placement = placer_now(model);
	enum aub_rollout_state before = placement->rollout.state;
	enum aub_rollout_state wanted =
		aub_placement_rollout_step(placement, now_ms * MS);
	const struct aub_rollout *rollout = aub_placement_rollout(placement);

	if (!rollout)
		return;
	if (rollout->state != before || now_ms % TELL_MS < STEP_MS)
		tell(model, rollout, now_ms);
	if (rollout->state != before && !aub_rollout_is_open(rollout) &&
	    model->outcome->verdict_ms < 0) {
		model->outcome->verdict_ms = (double)(now_ms - model->order_ms);
		model->outcome->reason = rollout->reason;
	}
	if (wanted == AUB_ROLLOUT_COMPLETED ||
	    wanted == AUB_ROLLOUT_ROLLED_BACK)
		store_take(model, wanted, now_ms);
}

/* What it had granted is learned from the holders. */
static void change_placer(struct model *model, bool dies, gint64 now_ms)
{
	if (model->placer + 1 >= PLACERS)
		return;
	if (dies) {
		aub_placement_free(placer_now(model));
		model->placers[model->placer] = NULL;
		g_hash_table_remove_all(model->asked);
	}
	model->placer++;
	start_placer(model, now_ms);
	for (guint i = 0; i < model->runs->len; i++) {
		struct run *run = &g_array_index(model->runs, struct run, i);

		if (model->placers[run->placer])
			continue;
		run->placer = model->placer;
		aub_placement_adopt(placer_now(model), 1, run->ticket,
				    model->upstreams[run->upstream].id,
				    run->kind->target_ms, now_ms * MS);
	}
}

static void faults(struct model *model, gint64 now_ms)
{
	gint64 whole_ms = model->deadline_ms - model->order_ms;
	gint64 age_ms = now_ms - model->order_ms;

	if (age_ms <= 0)
		return;
	if (model->spec->kills && age_ms % (whole_ms / 5) == 0 &&
	    now_ms < model->deadline_ms)
		change_placer(model, true, now_ms);
	if (model->spec->two_placers && age_ms == whole_ms / 3)
		change_placer(model, false, now_ms);
}

static void upstreams_new(struct model *model)
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
		upstream->noise_offset =
			(guint)g_rand_int_range(model->random, 0, NOISE_MS);
		/* A seventh at most, and never all of a small service. */
		if (spec->sick && i % 7 == 3)
			upstream->sickness = (enum sickness)(
				1 + g_rand_int_range(model->random, 0, 3));
	}
}

static void model_free(struct model *model)
{
	for (guint i = 0; i < PLACERS; i++)
		aub_placement_free(model->placers[i]);
	g_array_unref(model->runs);
	g_hash_table_unref(model->asked);
	g_free(model->upstreams);
	g_rand_free(model->random);
}

static double allowed(const struct rollout_spec *spec,
		      const struct rollout_outcome *outcome)
{
	return spec->share * (double)outcome->requests + spec->slack;
}

void rollout_model_play(const struct rollout_spec *spec,
			struct rollout_outcome *outcome)
{
	struct model model = {
		.spec = spec,
		.outcome = outcome,
		.random = g_rand_new_with_seed((guint32)spec->seed),
		.runs = g_array_new(FALSE, FALSE, sizeof(struct run)),
		.asked = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free),
		.fiftieth_ms = -1,
		.order_ms = BEFORE_MS,
		.deadline_ms = BEFORE_MS + (gint64)(spec->duration_s * 1000),
	};

	*outcome = (struct rollout_outcome){ .verdict_ms = -1, .reason = "" };
	upstreams_new(&model);
	start_placer(&model, 0);
	for (gint64 now = 0; now < model.deadline_ms + AFTER_MS; now++) {
		if (now == model.order_ms && spec->orders)
			give_order(&model, now);
		if (spec->orders)
			faults(&model, now);
		answers(&model, now);
		arrivals(&model, now);
		for (guint i = 0; i < PLACERS; i++)
			if (model.placers[i])
				queue_and_probes(&model, model.placers[i], now);
		if (now % STEP_MS == 0 && spec->orders && now > model.order_ms)
			orders(&model, now);
	}
	outcome->first_bad_ms = spec->fault->from * spec->duration_s * 1000;
	outcome->bound = allowed(spec, outcome);
	model_free(&model);
}

/* Nats that one answer brings against rate `base`, where it is `rate`. */
static double information(double rate, double base)
{
	return rate * log(rate / base) +
	       (1 - rate) * log((1 - rate) / (1 - base));
}

bool rollout_model_is_visible(const struct rollout_spec *spec)
{
	const struct rollout_fault *fault = spec->fault;
	double answers = spec->per_s * spec->duration_s * spec->share * 0.5 +
			 spec->slack * 0.4;
	double nats = 0;

	if (fault->one_route)
		answers *= 0.02;
	if (fault->when_full)
		answers *= 0.2;
	answers *= 1 - fault->from;
	if (fault->fail > 0)
		nats += information(MIN(fault->fail, 0.95), 0.008);
	if (fault->slow > 0)
		nats += information(fault->slow < 2.5 ? 0.5 : 0.8, 0.25);
	return answers * nats > 2 * aub_judge_threshold;
}

/*
 * Rollout orders: judging versions, publishing the evidence and requesting the
 * state to be stored.
 *
 * The placer of a service judges the new version by the answers to the requests
 * it placed. It publishes its evidence to all gateways, so that the next placer
 * can continue from it. Once a gateway has found a version to be bad, every
 * gateway that received the notification sends it nothing.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/placer_internal.h>

#define STEP_PERIOD_US (25 * AUB_MS)
/* period of publishing evidence while an order is open */
#define EVIDENCE_PERIOD_US (250 * AUB_MS)
/* tolerated difference between two gateways' ages of an order */
#define AGE_TOLERANCE_US (500 * AUB_MS)
#define STRENGTH_SCALE 100.0 /* fixed-point scale in messages */

static void arm_rollout_timer(struct aub_placer *placer);

static void log_rollout(const char *service, const struct aub_rollout *rollout,
			gint64 now_us)
{
	const struct aub_judge *judge = &rollout->judge;

	aub_log_begin(AUB_LOG_ROLLOUT);
	aub_log_text("service", service);
	aub_log_text("version", rollout->order.version);
	aub_log_text("state", aub_rollout_state_name(rollout->state));
	aub_log_text("reason", rollout->reason);
	aub_log_number("age_ms", (now_us - rollout->started_us) / AUB_MS);
	aub_log_number("duration_ms", rollout->order.duration_ms);
	aub_log_number("upstreams", rollout->canary_upstreams);
	aub_log_number("exposed", (gint64)rollout->exposed);
	aub_log_number("reached", (gint64)rollout->reached);
	aub_log_number("answers", judge->answers);
	aub_log_number("bad", judge->bad);
	if (judge->alarmed)
		aub_log_number("route", judge->route);
	aub_log_end();
}

/* Logs that the order was deleted or replaced. */
static void log_ended(const char *service, const struct aub_rollout *rollout,
		      const char *reason)
{
	aub_log_begin(AUB_LOG_ROLLOUT);
	aub_log_text("service", service);
	aub_log_text("version", rollout->order.version);
	aub_log_text("state", "ended");
	aub_log_text("reason", reason);
	aub_log_end();
}

static bool is_placer(struct aub_placer *placer, const char *service,
		      gint64 now_us)
{
	return placer->startup_over &&
	       aub_peers_self(placer->options.peers)->ready &&
	       !aub_placer_peer_for(placer, service, now_us);
}

static void fill_evidence(const struct aub_judge_route *route,
			  struct aub_place_evidence *evidence)
{
	evidence->route = route->key;
	evidence->answers = route->answers;
	evidence->timed = route->timed;
	evidence->slow_ms = (guint32)route->reported_slow_ms;
	evidence->failures = route->bad[AUB_JUDGE_FAILURES];
	evidence->slow = route->bad[AUB_JUDGE_SLOWNESS];
	for (guint i = 0; i < G_N_ELEMENTS(evidence->strength); i++) {
		const struct aub_judge_test *test = &route->tests[i / 2][i % 2];

		for (guint j = 0; j < AUB_JUDGE_ALTERNATIVES; j++) {
			guint32 strength =
				(guint32)(test->sums[j] * STRENGTH_SCALE);

			if (strength <= evidence->strength[i])
				continue;
			evidence->strength[i] = strength;
			evidence->rate[i] = j;
		}
	}
}

static void read_evidence(const struct aub_place_evidence *evidence,
			  struct aub_judge_route *route)
{
	*route = (struct aub_judge_route){
		.key = evidence->route,
		.answers = evidence->answers,
		.timed = evidence->timed,
		.reported_slow_ms = evidence->slow_ms,
		.bad = { [AUB_JUDGE_FAILURES] = evidence->failures,
			 [AUB_JUDGE_SLOWNESS] = evidence->slow },
	};
	for (guint i = 0; i < G_N_ELEMENTS(evidence->strength); i++)
		if (evidence->rate[i] < AUB_JUDGE_ALTERNATIVES)
			route->tests[i / 2][i % 2].sums[evidence->rate[i]] =
				evidence->strength[i] / STRENGTH_SCALE;
}

/*
 * Returns the progress of the order of `service` and the evidence so far; NULL
 * if there is no order.
 */
static struct aub_place_rollout *rollout_message(struct aub_placer *placer,
						 const char *service)
{
	gint64 now = aub_timer_now(placer->options.timers);
	const struct aub_rollout *rollout =
		aub_placement_rollout(aub_placer_placement(placer, service));
	struct aub_judge_route routes[AUB_JUDGE_ROUTES_MAX + 1];
	struct aub_place_rollout *message;
	guint count;

	if (!rollout)
		return NULL;
	message = (struct aub_place_rollout *)aub_message_new(
		AUB_MESSAGE_PLACE_ROLLOUT);
	aub_string_set(&message->service, service);
	aub_string_set(&message->version, rollout->order.version);
	message->duration_ms = rollout->order.duration_ms;
	message->created = (guint64)rollout->order.created;
	message->age_ms = (guint32)((now - rollout->started_us) / AUB_MS);
	message->state = rollout->state;
	message->reached = aub_rollout_total_reached(rollout);
	message->exposed = aub_rollout_total_exposed(rollout);
	message->allowance = (guint32)rollout->allowance;
	count = aub_judge_export(&rollout->judge, routes);
	for (guint i = 0; i < count; i++) {
		struct aub_place_evidence *evidence = aub_place_evidence_new();

		fill_evidence(&routes[i], evidence);
		g_ptr_array_add(message->evidence, evidence);
	}
	return message;
}

void aub_placer_send_rollout(struct aub_placer *placer, const char *service)
{
	struct aub_place_rollout *message = rollout_message(placer, service);

	if (!message)
		return;
	aub_placer_send_to_zones(placer, service, &message->base,
				 &message->relay);
	aub_message_free(&message->base);
}

/*
 * A placer that has started in the middle of an order would treat the order as
 * new and know nothing of the version. A gateway that has known the order for
 * longer sends it the progress.
 */
static void send_rollout_to_placer(struct aub_placer *placer,
				   const char *service, gint64 now_us)
{
	const struct aub_peer *peer =
		aub_placer_peer_for(placer, service, now_us);
	struct aub_place_rollout *message;

	if (!peer)
		return;
	message = rollout_message(placer, service);
	aub_peers_send(placer->options.peers, peer, &message->base);
	aub_message_free(&message->base);
}

static void apply_evidence(struct aub_placement *placement,
			   const struct aub_place_rollout *message)
{
	struct aub_judge_route routes[AUB_JUDGE_ROUTES_MAX + 1];
	guint count = MIN(message->evidence->len, G_N_ELEMENTS(routes));

	for (guint i = 0; i < count; i++)
		read_evidence(g_ptr_array_index(message->evidence, i),
			      &routes[i]);
	aub_placement_import_evidence(placement, routes, count,
				      message->reached, message->exposed,
				      message->allowance);
}

static bool is_older_here(const struct aub_rollout *rollout,
			  const struct aub_place_rollout *message,
			  gint64 now_us)
{
	gint64 age_us = now_us - rollout->started_us;

	return age_us - message->age_ms * AUB_MS > AGE_TOLERANCE_US;
}

void aub_placer_apply_rollout(struct aub_placer *placer,
			      struct aub_place_rollout *message)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement *placement =
		aub_placer_placement(placer, message->service);
	const struct aub_rollout_order order = {
		.version = message->version,
		.duration_ms = message->duration_ms,
		.created = (gint64)message->created,
	};
	enum aub_rollout_state state_before;

	if (message->relay &&
	    aub_placer_ranks_first_in_zone(placer, message->service)) {
		message->relay = false;
		aub_peers_send_to_zone(placer->options.peers, &message->base);
	}
	if (message->state >= AUB_ROLLOUT_STATES ||
	    !aub_placement_rollout(placement))
		return;
	state_before = aub_placement_rollout(placement)->state;
	if (!aub_placement_merge_rollout(placement, &order,
					 (enum aub_rollout_state)message->state,
					 message->age_ms * AUB_MS, now))
		return;
	if (aub_placement_rollout(placement)->state != state_before)
		log_rollout(message->service, aub_placement_rollout(placement),
			    now);
	if (is_older_here(aub_placement_rollout(placement), message, now))
		send_rollout_to_placer(placer, message->service, now);
	apply_evidence(placement, message);
	arm_rollout_timer(placer);
	aub_placer_drain_queue(placer, placement);
}

/* Returns whether the order needs another step soon. */
static bool rollout_step(struct aub_placer *placer, const char *service,
			 struct aub_placement *placement, bool send_evidence,
			 gint64 now_us)
{
	const struct aub_placer_options *options = &placer->options;
	const struct aub_rollout *rollout = aub_placement_rollout(placement);
	bool places_here = is_placer(placer, service, now_us);
	enum aub_rollout_state state_before;
	enum aub_rollout_state wanted_state;
	bool stored = false;

	if (!rollout || rollout->state == AUB_ROLLOUT_COMPLETED)
		return false;
	state_before = rollout->state;
	wanted_state = places_here ?
			       aub_placement_rollout_step(placement, now_us) :
			       state_before;
	if (places_here || wanted_state == AUB_ROLLOUT_ROLLED_BACK)
		stored = options->store_rollout_state(service, wanted_state,
						      places_here,
						      options->context);
	if (rollout->state != state_before)
		log_rollout(service, rollout, now_us);
	if (rollout->state != state_before || (places_here && send_evidence)) {
		aub_placer_send_rollout(placer, service);
		aub_placer_drain_queue(placer, placement);
	}
	if (rollout->state == AUB_ROLLOUT_ROLLED_BACK)
		return !stored;
	return places_here;
}

static void on_rollout_step(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;
	GHashTableIter iter;
	void *key;
	void *placement;
	bool send_evidence =
		now_us - placer->rollouts_sent_us >= EVIDENCE_PERIOD_US;
	bool any_open = false;

	if (send_evidence)
		placer->rollouts_sent_us = now_us;
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, &key, &placement))
		any_open = rollout_step(placer, key, placement, send_evidence,
					now_us) ||
			   any_open;
	if (any_open)
		return;
	aub_timer_cancel(placer->options.timers, placer->rollout_timer);
	placer->rollout_timer = 0;
}

static void arm_rollout_timer(struct aub_placer *placer)
{
	if (!placer->rollout_timer)
		placer->rollout_timer =
			aub_timer_every(placer->options.timers, "rollouts",
					STEP_PERIOD_US, on_rollout_step,
					placer);
}

void aub_placer_refresh_rollout(struct aub_placer *placer, const char *service)
{
	const struct aub_rollout *rollout =
		aub_placement_rollout(aub_placer_placement(placer, service));

	if (!rollout)
		return;
	/* While the order is open, its steps send the progress more often. */
	if (!aub_rollout_is_in_progress(rollout))
		aub_placer_send_rollout(placer, service);
	arm_rollout_timer(placer);
}

void aub_placer_set_orders_known(struct aub_placer *placer)
{
	gint64 now = aub_timer_now(placer->options.timers);
	GHashTableIter iter;
	void *placement;

	placer->orders_known = true;
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement)) {
		aub_placement_set_rollouts_loaded(placement, now);
		aub_placer_drain_queue(placer, placement);
	}
}

void aub_placer_update_order(struct aub_placer *placer, const char *service,
			     const struct aub_rollout_record *record,
			     bool unreadable)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement *placement = aub_placer_placement(placer, service);
	const struct aub_rollout *rollout = aub_placement_rollout(placement);
	bool is_new = !rollout || !record ||
		      !aub_rollout_order_equal(&rollout->order, &record->order);
	enum aub_rollout_state state_before =
		rollout ? rollout->state : AUB_ROLLOUT_NONE;

	if (rollout && is_new)
		log_ended(service, rollout, record ? "replaced" : "deleted");
	aub_placement_set_rollout(placement, record, unreadable, now);
	rollout = aub_placement_rollout(placement);
	if (rollout && (is_new || rollout->state != state_before))
		log_rollout(service, rollout, now);
	if (rollout)
		arm_rollout_timer(placer);
	aub_placer_drain_queue(placer, placement);
}

void aub_placer_on_order_stored(struct aub_placer *placer, const char *service,
				const struct aub_rollout_record *record)
{
	struct aub_placement *placement = aub_placer_placement(placer, service);
	const struct aub_rollout *rollout = aub_placement_rollout(placement);

	if (!rollout ||
	    !aub_rollout_order_equal(&rollout->order, &record->order))
		return;
	if (record->state == AUB_ROLLOUT_RUNNING) {
		aub_placement_grant_slack(placement);
		return;
	}
	aub_placer_update_order(placer, service, record, false);
	aub_placer_send_rollout(placer, service);
}

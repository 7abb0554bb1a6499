/* The placer: the placements of all services, and the start-up grace. */
#include <auburnstile/internal/placer_internal.h>

#include <string.h>

/* maximum delay in processing queued requests */
#define TICK_PERIOD_US (10 * AUB_MS)
/* Bounds how long a slot whose report was lost stays in use. */
#define ROUND_PERIOD_US (1000 * AUB_MS)

/*
 * If many gateways start at once and each places for itself until it has
 * discovered the others, each probes every upstream and slots are granted
 * several times. A starting gateway therefore waits until nearly all known
 * gateways have answered and no new ones appear. If some don't answer, it waits
 * for as long as replies to first heartbeats take. This time grows with the
 * number of gateways, since small VMs are slow to process many heartbeats.
 */
#define STARTUP_ISOLATED_US (250 * AUB_MS) /* no peer is alive */
#define STARTUP_MIN_US (100 * AUB_MS)
#define STARTUP_PER_PEER_US 1500 /* added for each known gateway */
#define STARTUP_QUIET_US (60 * AUB_MS)
#define STARTUP_QUIET_PER_PEER_US 1000
/* upper bound once most known gateways are alive */
#define STARTUP_QUIET_CONNECTED_MAX_US (100 * AUB_MS)
#define STARTUP_MAX_US (1000 * AUB_MS)
#define CONNECTED_PERCENT 90

bool aub_placer_startup_is_over(const struct aub_placer *placer)
{
	return placer->startup_over;
}

/* Returns whether nearly all known gateways are alive. */
static bool most_peers_are_alive(const struct aub_placer *placer)
{
	guint known = aub_peers_all(placer->options.peers)->len - 1;

	return 100 * aub_peers_count_alive(placer->options.peers) >=
	       CONNECTED_PERCENT * known;
}

bool aub_placer_first_replies_are_due(const struct aub_placer *placer,
				      gint64 now_us)
{
	guint known = aub_peers_all(placer->options.peers)->len;
	gint64 age_us = now_us - placer->start_us;

	if (!aub_peers_count_alive(placer->options.peers))
		return age_us >= STARTUP_ISOLATED_US;
	if (most_peers_are_alive(placer))
		return age_us >= STARTUP_MIN_US;
	return age_us >= STARTUP_MIN_US + (gint64)known * STARTUP_PER_PEER_US;
}

static bool startup_conditions_met(const struct aub_placer *placer,
				   gint64 now_us)
{
	gint64 last_join_us = aub_peers_last_join_us(placer->options.peers);
	gint64 age_us = now_us - placer->start_us;
	guint known = aub_peers_all(placer->options.peers)->len;
	gint64 quiet_us =
		STARTUP_QUIET_US + (gint64)known * STARTUP_QUIET_PER_PEER_US;

	if (most_peers_are_alive(placer))
		quiet_us = MIN(quiet_us, STARTUP_QUIET_CONNECTED_MAX_US);
	return age_us >= STARTUP_MAX_US ||
	       (aub_placer_first_replies_are_due(placer, now_us) &&
		now_us - last_join_us >= quiet_us);
}

void aub_placer_on_startup_check(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;

	if (!startup_conditions_met(placer, now_us))
		return;
	aub_timer_cancel(placer->options.timers, placer->startup_timer);
	placer->startup_timer = 0;
	placer->startup_over = true;
	aub_placer_on_round(placer, now_us);
}

struct aub_placement *aub_placer_placement(struct aub_placer *placer,
					   const char *service)
{
	struct aub_placement *placement =
		g_hash_table_lookup(placer->placements, service);
	GHashTableIter iter;
	void *zone;

	if (placement)
		return placement;
	placement = aub_placement_new(service, &placer->options.limits);
	g_hash_table_iter_init(&iter, placer->evacuated_zones);
	while (g_hash_table_iter_next(&iter, &zone, NULL))
		aub_placement_set_zone_out(placement, zone, true, 0);
	aub_placement_enable_rollouts(placement, &placer->options.rollouts);
	if (placer->orders_known)
		aub_placement_set_rollouts_loaded(
			placement, aub_timer_now(placer->options.timers));
	g_hash_table_insert(placer->placements, g_strdup(service), placement);
	return placement;
}

void aub_placer_drain_queue(struct aub_placer *placer,
			    struct aub_placement *placement)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement_decision decision;

	while (aub_placement_next_decision(placement, now, &decision))
		aub_placer_deliver(placer, &decision);
	aub_placer_send_quota_use(placer);
}

static bool drain_queues(struct aub_placer *placer)
{
	GHashTableIter iter;
	void *placement;
	bool queued = false;

	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement)) {
		if (!aub_placement_queue_length(placement))
			continue;
		aub_placer_drain_queue(placer, placement);
		queued = queued || aub_placement_queue_length(placement);
	}
	return queued;
}

static void on_drain_due(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;

	placer->drain_timer = 0;
	(void)drain_queues(placer);
}

void aub_placer_schedule_drain(struct aub_placer *placer)
{
	struct aub_timer_service *timers = placer->options.timers;

	if (!placer->drain_timer)
		placer->drain_timer =
			aub_timer_at(timers, "drain", aub_timer_now(timers),
				     on_drain_due, placer);
}

static bool has_waiting_ticket(const struct aub_placer *placer)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placer->tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct aub_ticket *)value)->callback)
			return true;
	return false;
}

static void on_tick(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;

	placer->tick_timer = 0;
	aub_tickets_process_due(placer, now_us);
	if (drain_queues(placer) || has_waiting_ticket(placer))
		aub_placer_arm_tick(placer);
}

void aub_placer_arm_tick(struct aub_placer *placer)
{
	struct aub_timer_service *timers = placer->options.timers;

	if (!placer->tick_timer)
		placer->tick_timer =
			aub_timer_at(timers, "placer",
				     aub_timer_now(timers) + TICK_PERIOD_US,
				     on_tick, placer);
}

void aub_placer_configure(struct aub_placer *placer,
			  const struct aub_routing *routing)
{
	GHashTableIter iter;
	void *spec;

	aub_quotas_configure(placer->quotas, routing->workspaces,
			     aub_timer_now(placer->options.timers));
	aub_quotas_configure(placer->fallback_quotas, routing->workspaces,
			     aub_timer_now(placer->options.timers));
	g_hash_table_iter_init(&iter, routing->services);
	while (g_hash_table_iter_next(&iter, NULL, &spec))
		aub_placement_configure(
			aub_placer_placement(
				placer,
				((struct aub_service_spec *)spec)->name),
			spec);
}

void aub_placer_update_upstream(struct aub_placer *placer, const char *id,
				const struct aub_upstream_record *record)
{
	gint64 now = aub_timer_now(placer->options.timers);
	const char *previous_service =
		g_hash_table_lookup(placer->service_by_upstream, id);

	if (previous_service &&
	    (!record || strcmp(previous_service, record->service) != 0))
		aub_placement_register(aub_placer_placement(placer,
							    previous_service),
				       id, NULL, now);
	if (!record) {
		g_hash_table_remove(placer->service_by_upstream, id);
		return;
	}
	g_hash_table_insert(placer->service_by_upstream, g_strdup(id),
			    g_strdup(record->service));
	aub_placement_register(aub_placer_placement(placer, record->service),
			       id, record, now);
}

void aub_placer_set_zone_evacuated(struct aub_placer *placer, const char *zone,
				   bool evacuated)
{
	gint64 now = aub_timer_now(placer->options.timers);
	GHashTableIter iter;
	void *placement;

	if (evacuated)
		g_hash_table_add(placer->evacuated_zones, g_strdup(zone));
	else
		g_hash_table_remove(placer->evacuated_zones, zone);
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement))
		aub_placement_set_zone_out(placement, zone, evacuated, now);
}

struct aub_placer *aub_placer_new(const struct aub_placer_options *options)
{
	struct aub_placer *placer = g_new0(struct aub_placer, 1);

	placer->options = *options;
	placer->zone = g_strdup(options->zone);
	placer->start_us = aub_timer_now(options->timers);
	placer->placements =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)aub_placement_free);
	placer->service_by_upstream =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	placer->evacuated_zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	placer->tickets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, aub_ticket_free);
	placer->probed_services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      aub_probed_service_free);
	placer->outstanding_reported =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	placer->retry_earnings =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	placer->retry_counts_logged =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	placer->probes = g_ptr_array_new();
	placer->quotas = aub_quotas_new();
	placer->fallback_quotas = aub_quotas_new();
	placer->startup_timer =
		aub_timer_every(options->timers, "settle",
				AUB_STARTUP_CHECK_PERIOD_US,
				aub_placer_on_startup_check, placer);
	placer->round_timer =
		aub_timer_every(options->timers, "placer round",
				ROUND_PERIOD_US, aub_placer_on_round, placer);
	return placer;
}

void aub_placer_free(struct aub_placer *placer)
{
	if (!placer)
		return;
	aub_timer_cancel(placer->options.timers, placer->tick_timer);
	aub_timer_cancel(placer->options.timers, placer->drain_timer);
	aub_timer_cancel(placer->options.timers, placer->startup_timer);
	aub_timer_cancel(placer->options.timers, placer->round_timer);
	aub_timer_cancel(placer->options.timers, placer->rollout_timer);
	aub_timer_cancel(placer->options.timers, placer->probe_timer);
	aub_timer_cancel(placer->options.timers, placer->quota_timer);
	aub_timer_cancel(placer->options.timers, placer->report_timer);
	aub_placer_stop_probes(placer);
	g_hash_table_unref(placer->tickets);
	g_hash_table_unref(placer->placements);
	aub_quotas_free(placer->quotas);
	aub_quotas_free(placer->fallback_quotas);
	g_hash_table_unref(placer->service_by_upstream);
	g_hash_table_unref(placer->evacuated_zones);
	g_hash_table_unref(placer->probed_services);
	g_hash_table_unref(placer->retry_earnings);
	g_hash_table_unref(placer->retry_counts_logged);
	g_free(placer->zone);
	g_free(placer);
}

const struct aub_placer_counts *aub_placer_get_counts(
	const struct aub_placer *placer)
{
	return &placer->counts;
}

void aub_placer_set_limits(struct aub_placer *placer,
			   const struct aub_placement_limits *limits)
{
	GHashTableIter iter;
	void *placement;

	placer->options.limits = *limits;
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement))
		aub_placement_set_limits(placement, limits);
}

void aub_placer_visit(struct aub_placer *placer, aub_placement_visitor *visit,
		      void *context)
{
	gint64 now = aub_timer_now(placer->options.timers);
	GHashTableIter iter;
	void *placement;

	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement)) {
		struct aub_placement_stats state;

		aub_placement_get_stats(placement, now, &state);
		visit(aub_placement_service(placement), &state, context);
	}
}

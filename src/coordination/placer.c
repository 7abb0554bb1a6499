/*
 * The placer: the placements that it keeps for all, and when it begins to.
 */
#include <auburnstile/internal/placer_parts.h>

#include <string.h>

#define TICK_US (10 * AUB_MS) /* how late a queue's head may be looked at */
#define ROUND_US (1000 * AUB_MS) /* what a lost report costs at most */

/*
 * Failure: many gateways start at once, and each places for itself until it
 * has heard the others. Symptom: each probes every upstream, and slots are
 * promised many times. Enough: a fresh gateway waits until nearly all that it
 * was told of have answered and no more of them appear. Where some stay silent
 * it waits for as long as first heartbeats take to come back, which is longer
 * the more gateways there are: small VMs are slow to hear many.
 */
#define SETTLE_ALONE_US (250 * AUB_MS) /* while it has heard nobody */
#define SETTLE_US (100 * AUB_MS)
#define SETTLE_EACH_US 1500 /* and so much for each gateway known of */
#define SETTLE_QUIET_US (60 * AUB_MS)
#define SETTLE_QUIET_EACH_US 1000
#define SETTLE_QUIET_MET_US (100 * AUB_MS) /* at most, once most are met */
#define SETTLE_MOST_US (1000 * AUB_MS)
#define MET_PERCENT 90

bool aub_placer_is_settled(const struct aub_placer *placer)
{
	return placer->settled;
}

/* Have nearly all others that are known of been heard? */
static bool has_met_most(const struct aub_placer *placer)
{
	guint known = aub_peers_all(placer->options.peers)->len - 1;

	return 100 * aub_peers_count_alive(placer->options.peers) >=
	       MET_PERCENT * known;
}

bool aub_placer_hears(const struct aub_placer *placer, gint64 now_us)
{
	guint known = aub_peers_all(placer->options.peers)->len;
	gint64 age_us = now_us - placer->since_us;

	if (!aub_peers_count_alive(placer->options.peers))
		return age_us >= SETTLE_ALONE_US;
	if (has_met_most(placer))
		return age_us >= SETTLE_US;
	return age_us >= SETTLE_US + (gint64)known * SETTLE_EACH_US;
}

static bool has_heard_all(const struct aub_placer *placer, gint64 now_us)
{
	gint64 joined_us = aub_peers_joined_us(placer->options.peers);
	gint64 age_us = now_us - placer->since_us;
	guint known = aub_peers_all(placer->options.peers)->len;
	gint64 quiet_us =
		SETTLE_QUIET_US + (gint64)known * SETTLE_QUIET_EACH_US;

	if (has_met_most(placer))
		quiet_us = MIN(quiet_us, SETTLE_QUIET_MET_US);
	return age_us >= SETTLE_MOST_US || (aub_placer_hears(placer, now_us) &&
					    now_us - joined_us >= quiet_us);
}

void aub_placer_on_settle_check(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;

	if (!has_heard_all(placer, now_us))
		return;
	aub_timer_cancel(placer->options.timers, placer->settle_timer);
	placer->settle_timer = 0;
	placer->settled = true;
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
	g_hash_table_iter_init(&iter, placer->zones_out);
	while (g_hash_table_iter_next(&iter, &zone, NULL))
		aub_placement_set_zone_out(placement, zone, true, 0);
	aub_placement_enable_rollouts(placement, &placer->options.rollouts);
	if (placer->orders_known)
		aub_placement_set_rollouts_loaded(placement,
					   aub_timer_now(
						   placer->options.timers));
	g_hash_table_insert(placer->placements, g_strdup(service), placement);
	return placement;
}

void aub_placer_drain(struct aub_placer *placer,
		      struct aub_placement *placement)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement_decision decision;

	while (aub_placement_next_decision(placement, now, &decision))
		aub_placer_deliver(placer, &decision);
}

static bool queues_drain(struct aub_placer *placer)
{
	GHashTableIter iter;
	void *placement;
	bool queued = false;

	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement)) {
		if (!aub_placement_queue_length(placement))
			continue;
		aub_placer_drain(placer, placement);
		queued = queued || aub_placement_queue_length(placement);
	}
	return queued;
}

static bool has_waiting_ticket(const struct aub_placer *placer)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, placer->tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct aub_ticket *)value)->placed)
			return true;
	return false;
}

static void on_tick(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;

	placer->tick = 0;
	aub_tickets_due(placer, now_us);
	if (queues_drain(placer) || has_waiting_ticket(placer))
		aub_placer_arm(placer);
}

void aub_placer_arm(struct aub_placer *placer)
{
	struct aub_timer_service *timers = placer->options.timers;

	if (!placer->tick)
		placer->tick = aub_timer_at(timers, "placer",
					    aub_timer_now(timers) + TICK_US,
					    on_tick, placer);
}

void aub_placer_configure(struct aub_placer *placer,
			  const struct aub_routing *routing)
{
	GHashTableIter iter;
	void *spec;

	g_hash_table_iter_init(&iter, routing->services);
	while (g_hash_table_iter_next(&iter, NULL, &spec))
		aub_placement_configure(
			aub_placer_placement(
				placer,
				((struct aub_service_spec *)spec)->name),
			spec);
}

void aub_placer_upstream(struct aub_placer *placer, const char *id,
			 const struct aub_upstream_record *record)
{
	gint64 now = aub_timer_now(placer->options.timers);
	const char *before = g_hash_table_lookup(placer->service_of, id);

	if (before && (!record || strcmp(before, record->service) != 0))
		aub_placement_register(aub_placer_placement(placer, before), id,
				       NULL, now);
	if (!record) {
		g_hash_table_remove(placer->service_of, id);
		return;
	}
	g_hash_table_insert(placer->service_of, g_strdup(id),
			    g_strdup(record->service));
	aub_placement_register(aub_placer_placement(placer, record->service),
			       id, record, now);
}

void aub_placer_zone_out(struct aub_placer *placer, const char *zone, bool out)
{
	gint64 now = aub_timer_now(placer->options.timers);
	GHashTableIter iter;
	void *placement;

	if (out)
		g_hash_table_add(placer->zones_out, g_strdup(zone));
	else
		g_hash_table_remove(placer->zones_out, zone);
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, NULL, &placement))
		aub_placement_set_zone_out(placement, zone, out, now);
}

struct aub_placer *aub_placer_new(const struct aub_placer_options *options)
{
	struct aub_placer *placer = g_new0(struct aub_placer, 1);

	placer->options = *options;
	placer->zone = g_strdup(options->zone);
	placer->since_us = aub_timer_now(options->timers);
	placer->placements =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)aub_placement_free);
	placer->service_of =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	placer->zones_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	placer->tickets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, aub_ticket_free);
	placer->active = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       aub_active_free);
	placer->outstanding_told =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	placer->probes = g_ptr_array_new();
	placer->settle_timer =
		aub_timer_every(options->timers, "settle", AUB_SETTLE_CHECK_US,
				aub_placer_on_settle_check, placer);
	placer->round = aub_timer_every(options->timers, "placer round",
					ROUND_US, aub_placer_on_round, placer);
	return placer;
}

void aub_placer_free(struct aub_placer *placer)
{
	if (!placer)
		return;
	aub_timer_cancel(placer->options.timers, placer->tick);
	aub_timer_cancel(placer->options.timers, placer->settle_timer);
	aub_timer_cancel(placer->options.timers, placer->round);
	aub_timer_cancel(placer->options.timers, placer->rollout_timer);
	aub_timer_cancel(placer->options.timers, placer->probe_timer);
	aub_timer_cancel(placer->options.timers, placer->tell_timer);
	aub_placer_probes_stop(placer);
	g_hash_table_unref(placer->tickets);
	g_hash_table_unref(placer->placements);
	g_hash_table_unref(placer->service_of);
	g_hash_table_unref(placer->zones_out);
	g_hash_table_unref(placer->active);
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

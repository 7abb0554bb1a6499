/* The upstreams that this gateway's own links are checked with. */
#include <auburnstile/internal/placer_internal.h>

static void fill_target(struct aub_check_target *target, const char *service,
			const struct aub_probe *probe)
{
	*target = (struct aub_check_target){
		.service = g_strdup(service),
		.upstream = g_strdup(probe->upstream),
		.address = g_strdup(probe->address),
		.path = g_strdup(probe->path),
	};
}

static bool pick_by_id(struct aub_placer *placer, const char *id,
		       struct aub_check_target *target)
{
	const char *service =
		g_hash_table_lookup(placer->service_by_upstream, id);
	struct aub_probe probe;

	if (!service || !aub_placement_check_target_by_id(
				aub_placer_placement(placer, service), id,
				aub_timer_now(placer->options.timers), &probe))
		return false;
	fill_target(target, service, &probe);
	return true;
}

/*
 * Goes from service to service: the upstreams of one may be dead, or cut off
 * from this gateway, all together.
 */
static bool pick_any(struct aub_placer *placer, const GPtrArray *used,
		     bool likely, struct aub_check_target *target)
{
	gint64 now = aub_timer_now(placer->options.timers);
	guint count;
	void **services =
		g_hash_table_get_keys_as_array(placer->placements, &count);
	bool found = false;

	placer->check_turn++;
	for (guint n = 0; n < count && !found; n++) {
		const char *service =
			services[(placer->check_turn + n) % count];
		struct aub_probe probe;

		found = aub_placement_check_target(
			aub_placer_placement(placer, service), used, likely,
			now, &probe);
		if (found)
			fill_target(target, service, &probe);
	}
	g_free(services);
	return found;
}

bool aub_placer_pick_check_target(struct aub_placer *placer, const char *id,
				  const GPtrArray *used,
				  struct aub_check_target *target)
{
	if (id)
		return pick_by_id(placer, id, target);
	return pick_any(placer, used, true, target) ||
	       pick_any(placer, used, false, target);
}

void aub_placer_observe_check(struct aub_placer *placer,
			      const struct aub_check_target *target,
			      const struct aub_http_head *head)
{
	aub_placer_begin_rest(placer, target->service, target->upstream,
			      aub_http_head_retry_after_us(head), NULL);
}

bool aub_placer_find_upstream(struct aub_placer *placer, const char *id,
			      struct aub_known_upstream *upstream)
{
	const char *service =
		g_hash_table_lookup(placer->service_by_upstream, id);
	struct aub_placement *placement;

	if (!service)
		return false;
	placement = aub_placer_placement(placer, service);
	upstream->service = service;
	upstream->may_send =
		aub_placement_may_send(placement, id,
				       aub_timer_now(placer->options.timers));
	return aub_placement_find_registered(placement, id, &upstream->address,
					     &upstream->started_ms);
}

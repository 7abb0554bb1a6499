/*
 * The schedule of health probes, and the handling of their results.
 */
#include <auburnstile/internal/placement_internal.h>

#include <string.h>

/* Short enough to notice interference bursts of some hundred milliseconds. */
#define PROBE_INTERVAL_US (100 * AUB_US_PER_MS)
/* A cold upstream can handle few requests. */
#define PROBE_INTERVAL_COLD_US (500 * AUB_US_PER_MS)
#define PROBE_INTERVAL_DOWN_US (250 * AUB_US_PER_MS)
#define PROBE_INTERVAL_LIMITED_MAX_US (2000 * AUB_US_PER_MS)
/* Requests that a limited upstream is granted for each probe. */
#define PROBE_LIMITED_GRANTS 2
/*
 * Multiplied by the number of upstreams of the service, the minimum interval.
 * The processes that probe a service of a thousand upstreams have a fifth of a
 * core; probes at the normal interval would use nearly all of it and delay
 * configuration updates. The interval grows to 600 ms at a thousand upstreams;
 * up to 160 it does not change.
 */
#define PROBE_INTERVAL_PER_UPSTREAM_US 600
/*
 * An upstream is probed locally after this many intervals without a result from
 * its zone's prober.
 */
#define REMOTE_PROBE_INTERVALS 3
/*
 * Concurrent probes of one service. After a start all upstreams are due; a
 * thousand connections in one iteration of the main loop would block a small
 * VM.
 */
#define CONCURRENT_PROBES_MAX 64
/* Consecutive ones; a single lost packet does not mark it down. */
#define FAILED_PROBES_DOWN 2
/* Upper bound of the time from sending a probe to its result here. */
#define PROBE_AGE_MAX_US (500 * AUB_US_PER_MS)

/* An upstream in need gets fewer probes than requests. */
static gint64 limited_interval_us(const struct aub_placement_upstream *upstream)
{
	double us = PROBE_LIMITED_GRANTS * G_USEC_PER_SEC /
		    aub_upstream_limit_grants_per_s(&upstream->limit);

	return (gint64)MIN(us, PROBE_INTERVAL_LIMITED_MAX_US);
}

static gint64 probe_interval_us(const struct aub_placement *placement,
				const struct aub_placement_upstream *upstream,
				gint64 now_us)
{
	gint64 min_us = (gint64)placement->upstreams->len *
			PROBE_INTERVAL_PER_UPSTREAM_US;
	gint64 base_us = PROBE_INTERVAL_US;

	if (upstream->state == AUB_PLACEMENT_UPSTREAM_DOWN)
		base_us = PROBE_INTERVAL_DOWN_US;
	else if (aub_placement_upstream_is_cold(upstream, now_us))
		base_us = PROBE_INTERVAL_COLD_US;
	if (aub_upstream_limit_is_set(&upstream->limit))
		base_us = MAX(base_us, limited_interval_us(upstream));
	return MAX(base_us, min_us);
}

void aub_placement_upstream_set_probing(struct aub_placement *placement,
					struct aub_placement_upstream *upstream,
					bool probing)
{
	if (upstream->probing == probing)
		return;
	upstream->probing = probing;
	if (probing)
		placement->probing++;
	else
		placement->probing--;
}

static bool is_due(const struct aub_placement_upstream *upstream,
		   const char *zone, gint64 now_us)
{
	return upstream->registered &&
	       !aub_placement_upstream_is_leaving(upstream) &&
	       !upstream->probing &&
	       !aub_placement_upstream_is_resting(upstream, now_us) &&
	       upstream->next_probe_us <= now_us &&
	       (!zone || !g_strcmp0(upstream->zone, zone));
}

/*
 * Goes round-robin, so that unresponsive upstreams do not keep the others from
 * being probed.
 */
bool aub_placement_probe_next(struct aub_placement *placement, const char *zone,
			      gint64 now_us, struct aub_probe *probe)
{
	guint count = placement->upstreams->len;

	if (placement->probing >= CONCURRENT_PROBES_MAX)
		return false;
	for (guint n = 0; n < count; n++) {
		guint i = (placement->next_probe_index + n) % count;
		struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (!is_due(upstream, zone, now_us))
			continue;
		aub_placement_upstream_set_probing(placement, upstream, true);
		upstream->next_probe_us =
			now_us + probe_interval_us(placement, upstream, now_us);
		placement->next_probe_index = i + 1;
		*probe = (struct aub_probe){
			.upstream = upstream->id,
			.address = upstream->address,
			.path = placement->health_path,
		};
		return true;
	}
	return false;
}

void aub_placement_probe_finished(struct aub_placement *placement,
				  const char *id, enum aub_probe_result result,
				  const struct aub_load *load, gint64 now_us)
{
	struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, id);

	if (!upstream)
		return;
	aub_placement_upstream_set_probing(placement, upstream, false);
	if (result == AUB_PROBE_NO_RESPONSE) {
		if (++upstream->failed_probes >= FAILED_PROBES_DOWN)
			upstream->state = AUB_PLACEMENT_UPSTREAM_DOWN;
		return;
	}
	upstream->failed_probes = 0;
	upstream->probed_us = now_us;
	if (result == AUB_PROBE_WRONG_UPSTREAM) {
		upstream->state = AUB_PLACEMENT_UPSTREAM_DOWN;
		return;
	}
	upstream->unhealthy = result == AUB_PROBE_UNHEALTHY;
	upstream->state = AUB_PLACEMENT_UPSTREAM_UP;
	if (load->warmup_ms < 0)
		upstream->cold_until_us = MIN(upstream->cold_until_us, now_us);
	aub_placement_upstream_update_load(placement, upstream, load, now_us);
	aub_placement_upstream_observe_probe(upstream, load,
					     now_us - PROBE_AGE_MAX_US, now_us);
}

void aub_placement_probe_withheld(struct aub_placement *placement,
				  const char *id)
{
	struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, id);

	if (upstream)
		aub_placement_upstream_set_probing(placement, upstream, false);
}

/* Upstreams with a limit or in rest are spared. */
static bool may_check(const struct aub_placement_upstream *upstream,
		      gint64 now_us)
{
	return upstream->registered &&
	       !aub_placement_upstream_is_leaving(upstream) &&
	       !aub_placement_upstream_is_resting(upstream, now_us) &&
	       !aub_upstream_limit_is_set(&upstream->limit);
}

static bool is_likely_to_answer(const struct aub_placement_upstream *upstream,
				gint64 now_us)
{
	return upstream->state == AUB_PLACEMENT_UPSTREAM_UP &&
	       !aub_placement_upstream_is_cold(upstream, now_us);
}

static bool is_used(const GPtrArray *used, const char *id)
{
	for (guint i = 0; i < used->len; i++)
		if (!strcmp(g_ptr_array_index(used, i), id))
			return true;
	return false;
}

static void set_target(const struct aub_placement *placement,
		       const struct aub_placement_upstream *upstream,
		       struct aub_probe *target)
{
	*target = (struct aub_probe){
		.upstream = upstream->id,
		.address = upstream->address,
		.path = placement->health_path,
	};
}

bool aub_placement_check_target(struct aub_placement *placement,
				const GPtrArray *used, bool likely,
				gint64 now_us, struct aub_probe *target)
{
	guint count = placement->upstreams->len;

	for (guint n = 0; n < count; n++) {
		guint i = (placement->next_check_index + n) % count;
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (!may_check(upstream, now_us) ||
		    (likely && !is_likely_to_answer(upstream, now_us)) ||
		    is_used(used, upstream->id))
			continue;
		placement->next_check_index = i + 1;
		set_target(placement, upstream, target);
		return true;
	}
	return false;
}

bool aub_placement_check_target_by_id(struct aub_placement *placement,
				      const char *id, gint64 now_us,
				      struct aub_probe *target)
{
	const struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, id);

	if (!upstream || !may_check(upstream, now_us))
		return false;
	set_target(placement, upstream, target);
	return true;
}

void aub_placement_probe_received(struct aub_placement *placement,
				  const char *id, enum aub_probe_result result,
				  const struct aub_load *load, gint64 now_us)
{
	struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, id);
	bool probing;

	if (!upstream)
		return;
	probing = upstream->probing;
	aub_placement_probe_finished(placement, id, result, load, now_us);
	/* A local probe in progress continues. */
	aub_placement_upstream_set_probing(placement, upstream, probing);
	upstream->next_probe_us =
		now_us + REMOTE_PROBE_INTERVALS *
				 probe_interval_us(placement, upstream, now_us);
}

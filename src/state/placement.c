/*
 * A service's upstreams in a placement: their registration, load and health.
 */
#include <auburnstile/internal/placement_internal.h>

#include <string.h>

/*
 * The weight of a new sample in the failure rate. Upstreams share their hosts
 * and change many times a second; three responses make up half of the average.
 */
#define FAILURE_SMOOTHING 0.2

/*
 * For how long the state of a departed upstream is retained. By then, late
 * reports and probes have arrived.
 */
#define DEPARTED_RETENTION_US (60000 * AUB_US_PER_MS)

struct aub_placement_upstream *aub_placement_get_upstream(
	const struct aub_placement *placement, guint index)
{
	return g_ptr_array_index(placement->upstreams, index);
}

gint aub_placement_find_upstream(const struct aub_placement *placement,
				 const char *id)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(placement->by_id, id)) - 1;
}

struct aub_placement_upstream *aub_placement_upstream_by_id(
	const struct aub_placement *placement, const char *id)
{
	gint index = aub_placement_find_upstream(placement, id);

	return index < 0 ? NULL :
			   aub_placement_get_upstream(placement, (guint)index);
}

static void placement_upstream_free(void *data)
{
	struct aub_placement_upstream *upstream = data;

	g_free(upstream->id);
	g_free(upstream->address);
	g_free(upstream->zone);
	g_free(upstream);
}

static void queued_free(void *data)
{
	struct aub_queued_request *queued = data;

	g_ptr_array_unref(queued->avoid);
	g_free(queued->zone);
	g_free(queued);
}

struct aub_placement *aub_placement_new(
	const char *service, const struct aub_placement_limits *limits)
{
	struct aub_placement *placement = g_new0(struct aub_placement, 1);

	placement->service = g_strdup(service);
	placement->limits = *limits;
	aub_retry_admission_init(&placement->retries, limits->window_us);
	placement->returns = aub_caller_returns_new();
	aub_saturation_init(&placement->saturation);
	aub_load_trend_init(&placement->interference);
	aub_service_versions_init(&placement->versions);
	aub_rollout_init(&placement->rollout,
			 &(struct aub_rollout_limits){ 0 });
	placement->upstreams =
		g_ptr_array_new_with_free_func(placement_upstream_free);
	placement->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	placement->zones_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	placement->grants = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	placement->recent_grants =
		g_hash_table_new_full(NULL, NULL, NULL, g_free);
	placement->queue = g_ptr_array_new_with_free_func(queued_free);
	placement->health_path = g_strdup("/");
	return placement;
}

void aub_placement_free(struct aub_placement *placement)
{
	if (!placement)
		return;
	g_ptr_array_unref(placement->queue);
	aub_retry_admission_clear(&placement->retries);
	aub_caller_returns_free(placement->returns);
	g_hash_table_unref(placement->grants);
	g_hash_table_unref(placement->recent_grants);
	g_hash_table_unref(placement->zones_out);
	g_hash_table_unref(placement->by_id);
	g_ptr_array_unref(placement->upstreams);
	aub_service_versions_clear(&placement->versions);
	aub_rollout_clear(&placement->rollout);
	g_free(placement->health_path);
	g_free(placement->service);
	g_free(placement);
}

const char *aub_placement_service(const struct aub_placement *placement)
{
	return placement->service;
}

void aub_placement_configure(struct aub_placement *placement,
			     const struct aub_service_spec *spec)
{
	g_free(placement->health_path);
	placement->health_path = g_strdup(spec->health_path);
	placement->warmup_ms = spec->warmup_ms;
	placement->warmup_per_s = spec->warmup_per_s;
}

void aub_placement_set_limits(struct aub_placement *placement,
			      const struct aub_placement_limits *limits)
{
	if (limits->window_us != placement->limits.window_us) {
		aub_retry_admission_clear(&placement->retries);
		aub_retry_admission_init(&placement->retries,
					 limits->window_us);
	}
	placement->limits = *limits;
}

bool aub_placement_upstream_is_cold(
	const struct aub_placement_upstream *upstream, gint64 now_us)
{
	return upstream->cold_until_us > now_us;
}

bool aub_placement_upstream_is_leaving(
	const struct aub_placement_upstream *upstream)
{
	return upstream->draining || upstream->leaving;
}

bool aub_placement_upstream_is_resting(
	const struct aub_placement_upstream *upstream, gint64 now_us)
{
	return upstream->rest_until_us > now_us;
}

void aub_placement_upstream_update_load(struct aub_placement *placement,
					struct aub_placement_upstream *upstream,
					const struct aub_load *load,
					gint64 now_us)
{
	if (load->slots >= 0) {
		if (upstream->load_us && upstream->load.slowdown > 0 &&
		    load->slowdown > 0)
			aub_load_trend_observe(&placement->interference,
					       upstream->load.slowdown / 100.0,
					       load->slowdown / 100.0,
					       now_us - upstream->load_us);
		upstream->load = *load;
		upstream->load_us = now_us;
	}
	if (load->warmup_ms >= 0)
		upstream->cold_until_us =
			now_us + load->warmup_ms * AUB_US_PER_MS;
}

static void decay_failures(struct aub_placement_upstream *upstream,
			   gint64 now_us)
{
	gint64 age = now_us - upstream->failures_us;

	while (age >= AUB_FAILURE_HALF_LIFE_US && upstream->failures > 0.01) {
		upstream->failures /= 2;
		age -= AUB_FAILURE_HALF_LIFE_US;
		upstream->failures_us += AUB_FAILURE_HALF_LIFE_US;
	}
}

void aub_placement_upstream_update_failures(
	struct aub_placement_upstream *upstream, double weight, gint64 now_us)
{
	decay_failures(upstream, now_us);
	upstream->failures += (weight - upstream->failures) * FAILURE_SMOOTHING;
	upstream->failures_us = now_us;
}

/*
 * A crashed upstream may be back within a second, cold, and the only indication
 * is a refused or reset connection. Full load would bring it down again, so it
 * gets no requests until a probe has reported how cold it is.
 */
void aub_placement_upstream_mark_down(struct aub_placement_upstream *upstream,
				      gint64 now_us)
{
	upstream->state = AUB_PLACEMENT_UPSTREAM_DOWN;
	upstream->next_probe_us = MIN(upstream->next_probe_us, now_us);
}

/* Returns the index of a departed upstream that may be replaced, or -1. */
static gint find_reusable(const struct aub_placement *placement, gint64 now_us)
{
	for (guint i = 0; i < placement->upstreams->len; i++) {
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (!upstream->registered && !upstream->granted &&
		    now_us - upstream->departed_us > DEPARTED_RETENTION_US)
			return (gint)i;
	}
	return -1;
}

/*
 * Upstreams are replaced continuously, each under a new id. To keep every
 * decision from iterating over all that ever existed, the index of a departed
 * upstream is reused after a while, if it has no open grants.
 */
static struct aub_placement_upstream *placement_upstream_add(
	struct aub_placement *placement, const char *id, gint64 now_us)
{
	struct aub_placement_upstream *upstream =
		g_new0(struct aub_placement_upstream, 1);
	gint index = find_reusable(placement, now_us);

	upstream->id = g_strdup(id);
	upstream->slowness = 1.0;
	upstream->version = AUB_VERSION_NONE;
	upstream->started_us = G_MININT64;
	aub_upstream_limit_init(&upstream->limit);
	if (index < 0) {
		index = (gint)placement->upstreams->len;
		g_ptr_array_add(placement->upstreams, upstream);
	} else {
		struct aub_placement_upstream *old =
			aub_placement_get_upstream(placement, (guint)index);

		aub_placement_upstream_set_probing(placement, old, false);
		g_hash_table_remove(placement->by_id, old->id);
		placement_upstream_free(old);
		placement->upstreams->pdata[index] = upstream;
	}
	g_hash_table_insert(placement->by_id, upstream->id,
			    GINT_TO_POINTER(index + 1));
	return upstream;
}

static void replace_string(char **to, const char *value)
{
	if (!g_strcmp0(*to, value))
		return;
	g_free(*to);
	*to = g_strdup(value);
}

void aub_placement_register(struct aub_placement *placement, const char *id,
			    const struct aub_upstream_record *record,
			    gint64 now_us)
{
	gint index = aub_placement_find_upstream(placement, id);
	struct aub_placement_upstream *upstream;
	bool was_registered;

	if (!record) {
		if (index < 0)
			return;
		upstream = aub_placement_get_upstream(placement, (guint)index);
		was_registered = upstream->registered;
		upstream->registered = false;
		upstream->departed_us = now_us;
		aub_placement_upstream_count_version(placement, upstream, NULL,
						     was_registered, now_us);
		return;
	}
	upstream = index >= 0 ?
			   aub_placement_get_upstream(placement, (guint)index) :
			   placement_upstream_add(placement, id, now_us);
	if (upstream->started_ms != record->born_ms ||
	    g_strcmp0(upstream->address, record->address) != 0) {
		upstream->state = AUB_PLACEMENT_UPSTREAM_UNKNOWN;
		upstream->next_probe_us = now_us;
		upstream->failures = 0;
		upstream->slowness = 1.0;
		upstream->load_us = 0;
		upstream->evidence = (struct aub_judge_evidence){ 0 };
		if (index >= 0)
			upstream->started_us = now_us;
		aub_upstream_limit_init(&upstream->limit);
		upstream->rest_until_us = 0;
		upstream->leaving = false;
		upstream->leaving_logged = false;
	}
	replace_string(&upstream->address, record->address);
	replace_string(&upstream->zone, record->zone);
	upstream->slots = record->slots;
	upstream->started_ms = record->born_ms;
	upstream->draining = record->draining;
	was_registered = upstream->registered;
	upstream->registered = true;
	aub_placement_upstream_count_version(placement, upstream,
					     record->version ? record->version :
							       "",
					     was_registered, now_us);
	upstream->zone_out =
		g_hash_table_contains(placement->zones_out, record->zone);
	if (record->warmup_left_ms)
		upstream->cold_until_us =
			MAX(upstream->cold_until_us,
			    now_us + record->warmup_left_ms * AUB_US_PER_MS);
}

bool aub_placement_find_registered(const struct aub_placement *placement,
				   const char *id, const char **address,
				   gint64 *started_ms)
{
	const struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, id);

	if (!upstream || !upstream->registered)
		return false;
	*address = upstream->address;
	*started_ms = upstream->started_ms;
	return true;
}

/*
 * The upstreams of a zone that is back in service are cold, and its share of
 * the load would bring them down. Each is unknown, and so gets no requests,
 * until a probe has reported how cold it is.
 */
void aub_placement_set_zone_out(struct aub_placement *placement,
				const char *zone, bool out, gint64 now_us)
{
	if (out)
		g_hash_table_add(placement->zones_out, g_strdup(zone));
	else
		g_hash_table_remove(placement->zones_out, zone);
	for (guint i = 0; i < placement->upstreams->len; i++) {
		struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (g_strcmp0(upstream->zone, zone) != 0 ||
		    upstream->zone_out == out)
			continue;
		upstream->zone_out = out;
		upstream->state = AUB_PLACEMENT_UPSTREAM_UNKNOWN;
		upstream->next_probe_us = now_us;
		upstream->cold_until_us =
			MAX(upstream->cold_until_us,
			    now_us + placement->warmup_ms * AUB_US_PER_MS);
	}
}

bool aub_placement_may_send(const struct aub_placement *placement,
			    const char *id, gint64 now_us)
{
	const struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, id);

	if (!upstream)
		return false;
	return upstream->registered &&
	       !aub_placement_upstream_is_leaving(upstream) &&
	       !upstream->zone_out &&
	       !aub_placement_upstream_is_resting(upstream, now_us) &&
	       upstream->traffic != AUB_VERSION_WITHHELD;
}

const char *aub_placement_health_name(const struct aub_placement *placement,
				      const char *id)
{
	const struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, id);

	if (!upstream)
		return "gone";
	if (upstream->state == AUB_PLACEMENT_UPSTREAM_UP)
		return upstream->unhealthy ? "ill" : "up";
	return upstream->state == AUB_PLACEMENT_UPSTREAM_DOWN ? "down" :
								"unknown";
}

/* Upstreams that are not reported are up, warm and as fast as the others. */
static bool is_reportable(const struct aub_placement_upstream *upstream,
			  gint64 now_us)
{
	return upstream->state != AUB_PLACEMENT_UPSTREAM_UP ||
	       upstream->leaving ||
	       aub_placement_upstream_is_cold(upstream, now_us) ||
	       upstream->slowness > AUB_SIGNIFICANT_SLOWNESS;
}

guint aub_placement_list_health(const struct aub_placement *placement,
				struct aub_upstream_health *list, guint limit,
				gint64 now_us)
{
	guint count = 0;

	for (guint i = 0; i < placement->upstreams->len && count < limit; i++) {
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (!upstream->registered || !is_reportable(upstream, now_us))
			continue;
		list[count++] = (struct aub_upstream_health){
			.upstream = upstream->id,
			.down = upstream->state == AUB_PLACEMENT_UPSTREAM_DOWN,
			.unknown = upstream->state ==
				   AUB_PLACEMENT_UPSTREAM_UNKNOWN,
			.cold_ms = aub_placement_upstream_is_cold(upstream,
								  now_us) ?
					   (guint)((upstream->cold_until_us -
						    now_us) /
						   AUB_US_PER_MS) :
					   0,
			.slowdown = (guint)(100 * upstream->slowness),
			.leaving = upstream->leaving,
			.started_ms = upstream->started_ms,
		};
	}
	return count;
}

void aub_placement_reset_health(struct aub_placement *placement)
{
	for (guint i = 0; i < placement->upstreams->len; i++) {
		struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		upstream->state = AUB_PLACEMENT_UPSTREAM_UP;
		upstream->slowness = 1.0;
	}
}

void aub_placement_set_health(struct aub_placement *placement,
			      const struct aub_upstream_health *health,
			      gint64 now_us)
{
	struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, health->upstream);

	if (!upstream)
		return;
	upstream->state = health->down	  ? AUB_PLACEMENT_UPSTREAM_DOWN :
			  health->unknown ? AUB_PLACEMENT_UPSTREAM_UNKNOWN :
					    AUB_PLACEMENT_UPSTREAM_UP;
	upstream->cold_until_us = MAX(upstream->cold_until_us,
				      now_us + health->cold_ms * AUB_US_PER_MS);
	upstream->slowness = health->slowdown / 100.0;
}

/*
 * Taken from the first registered upstream; a service's upstreams are mostly
 * alike.
 */
static guint concurrency_limit_percent(const struct aub_placement *placement)
{
	for (guint i = 0; i < placement->upstreams->len; i++) {
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (upstream->registered && upstream->slots)
			return 100 *
			       aub_placement_upstream_concurrency_limit(
				       placement, upstream) /
			       upstream->slots;
	}
	return 100;
}

void aub_placement_get_stats(const struct aub_placement *placement,
			     gint64 now_us, struct aub_placement_stats *stats)
{
	*stats = (struct aub_placement_stats){
		.granted = g_hash_table_size(placement->grants),
		.queued = placement->queue->len,
		.refused = placement->refused,
		.retry_credit = (gint)placement->retries.credit,
		.refusal_percent =
			(guint)(100 *
				aub_refusal_rate_share(&placement->refusals,
						       now_us)),
		.return_percent =
			(guint)(100 * aub_caller_returns_probability(
					      placement->returns, 0, now_us)),
		.callers_awaited = aub_caller_returns_count(placement->returns),
		.cold_grants = placement->cold_grants,
		.cold_rate_per_s = aub_placement_cold_rate_per_s(placement),
		.concurrency_limit_percent =
			concurrency_limit_percent(placement),
		.slowdown_percent =
			(guint)(100 *
				aub_load_trend_mean(&placement->interference)),
		.interference_ms = (guint)aub_load_trend_correlation_ms(
			&placement->interference),
		.rollout = placement->rollout.state,
		.exposed = placement->rollout.exposed,
		.judged_answers = placement->rollout.judge.answers,
		.bad_answers = placement->rollout.judge.bad,
	};
	aub_placement_get_retry_counts(placement, &stats->retry_counts);
	memcpy(stats->retry_verdicts, placement->retries.verdicts,
	       sizeof(stats->retry_verdicts));
	for (guint i = 0; i < placement->upstreams->len; i++) {
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (!upstream->registered)
			continue;
		if (aub_placement_upstream_is_leaving(upstream) ||
		    upstream->zone_out)
			stats->draining++;
		else if (upstream->traffic == AUB_VERSION_WITHHELD)
			stats->withheld++;
		else if (upstream->state == AUB_PLACEMENT_UPSTREAM_DOWN)
			stats->down++;
		else if (upstream->state == AUB_PLACEMENT_UPSTREAM_UNKNOWN)
			stats->unknown++;
		else
			stats->up++;
		if (upstream->state == AUB_PLACEMENT_UPSTREAM_UP &&
		    aub_placement_upstream_is_cold(upstream, now_us))
			stats->cold++;
		stats->resting +=
			aub_placement_upstream_is_resting(upstream, now_us);
		stats->limited += aub_upstream_limit_is_set(&upstream->limit);
	}
}

void aub_placement_check_invariants(const struct aub_placement *placement)
{
	GHashTableIter iter;
	void *value;
	guint *counts = g_new0(guint, placement->upstreams->len + 1);
	guint probing = 0;

	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		counts[((struct aub_grant *)value)->upstream_index]++;
	for (guint i = 0; i < placement->upstreams->len; i++) {
		struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		g_assert(upstream->granted == counts[i]);
		probing += upstream->probing;
		g_assert(aub_placement_find_upstream(placement, upstream->id) ==
			 (gint)i);
	}
	g_assert(placement->probing == probing);
	for (guint i = 1; i < placement->queue->len; i++) {
		const struct aub_queued_request *left =
			g_ptr_array_index(placement->queue, i - 1);
		const struct aub_queued_request *right =
			g_ptr_array_index(placement->queue, i);

		g_assert(left->priority <= right->priority);
	}
	g_free(counts);
}

const char *aub_verdict_name(enum aub_verdict verdict)
{
	static const char *const names[AUB_VERDICT_COUNT] = {
		[AUB_VERDICT_GRANTED] = "granted",
		[AUB_VERDICT_QUEUED] = "queued",
		[AUB_VERDICT_NO_UPSTREAM] = "no-upstream",
		[AUB_VERDICT_OVERLOAD] = "overload",
		[AUB_VERDICT_NO_BUDGET] = "no-budget",
		[AUB_VERDICT_RETRY_RESERVED] = "retry-reserved",
		[AUB_VERDICT_RETRY_FUTILE] = "retry-futile",
		[AUB_VERDICT_LIMITED] = "limited",
		[AUB_VERDICT_OVER_QUOTA] = "over-quota",
	};

	return names[verdict];
}

const char *aub_grant_result_name(enum aub_grant_result result)
{
	static const char *const names[] = {
		[AUB_GRANT_OK] = "ok",
		[AUB_GRANT_FAILED] = "failed",
		[AUB_GRANT_REFUSED] = "refused",
		[AUB_GRANT_WRONG_UPSTREAM] = "misplaced",
		[AUB_GRANT_UNREACHABLE] = "unreachable",
		[AUB_GRANT_LOST] = "lost",
		[AUB_GRANT_TIMEOUT] = "timeout",
		[AUB_GRANT_ABANDONED] = "abandoned",
		[AUB_GRANT_UNUSED] = "unused",
		[AUB_GRANT_LINK_LOST] = "link-lost",
	};

	return names[result];
}

/*
 * A service's upstreams as a placement knows them: registered, observed,
 * probed.
 */
#include <auburnstile/internal/placement_parts.h>

#include <string.h>

/*
 * Share of a new figure in a smoothed one. Upstreams share their hosts and
 * change many times a second: three answers make half of the figure.
 */
#define SMOOTHING 0.2

/* Late reports and probes of one that left have come in by then. */
#define GONE_KEPT_US (60000 * AUB_PLACE_MS)

struct aub_row *aub_placement_row(const struct aub_placement *placement,
				  guint index)
{
	return g_ptr_array_index(placement->rows, index);
}

gint aub_placement_find(const struct aub_placement *placement, const char *id)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(placement->by_id, id)) - 1;
}

static void row_free(void *data)
{
	struct aub_row *row = data;

	g_free(row->id);
	g_free(row->address);
	g_free(row->zone);
	g_free(row);
}

static void waiting_free(void *data)
{
	struct aub_waiting *waiting = data;

	g_ptr_array_unref(waiting->avoid);
	g_free(waiting->zone);
	g_free(waiting);
}

struct aub_placement *aub_placement_new(
	const char *service, const struct aub_placement_limits *limits)
{
	struct aub_placement *placement = g_new0(struct aub_placement, 1);

	placement->service = g_strdup(service);
	placement->limits = *limits;
	aub_retry_budget_init(&placement->budget, limits->window_us);
	aub_knee_init(&placement->knee);
	aub_load_trend_init(&placement->trend);
	aub_service_versions_init(&placement->versions);
	aub_rollout_init(&placement->rollout,
			 &(struct aub_rollout_limits){ 0 });
	placement->rows = g_ptr_array_new_with_free_func(row_free);
	placement->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	placement->zones_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	placement->grants = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	placement->waiting = g_ptr_array_new_with_free_func(waiting_free);
	placement->health_path = g_strdup("/");
	return placement;
}

void aub_placement_free(struct aub_placement *placement)
{
	if (!placement)
		return;
	g_ptr_array_unref(placement->waiting);
	g_hash_table_unref(placement->grants);
	g_hash_table_unref(placement->zones_out);
	g_hash_table_unref(placement->by_id);
	g_ptr_array_unref(placement->rows);
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
	if (limits->window_us != placement->limits.window_us)
		aub_retry_budget_init(&placement->budget, limits->window_us);
	placement->limits = *limits;
}

bool aub_row_is_cold(const struct aub_row *row, gint64 now_us)
{
	return row->cold_until_us > now_us;
}

void aub_row_observe(struct aub_placement *placement, struct aub_row *row,
		     const struct aub_load *load, gint64 now_us)
{
	if (load->slots >= 0) {
		if (row->load_us && row->load.slowdown > 0 &&
		    load->slowdown > 0)
			aub_load_trend_observe(&placement->trend,
					       row->load.slowdown / 100.0,
					       load->slowdown / 100.0,
					       now_us - row->load_us);
		row->load = *load;
		row->load_us = now_us;
	}
	if (load->warmup_ms >= 0)
		row->cold_until_us = now_us + load->warmup_ms * AUB_PLACE_MS;
}

static void failures_decay(struct aub_row *row, gint64 now_us)
{
	gint64 age = now_us - row->failures_us;

	while (age >= AUB_FAILURE_HALF_LIFE_US && row->failures > 0.01) {
		row->failures /= 2;
		age -= AUB_FAILURE_HALF_LIFE_US;
		row->failures_us += AUB_FAILURE_HALF_LIFE_US;
	}
}

void aub_row_fail(struct aub_row *row, double weight, gint64 now_us)
{
	failures_decay(row, now_us);
	row->failures += (weight - row->failures) * SMOOTHING;
	row->failures_us = now_us;
}

/*
 * Failure: an upstream dies and is back within a second, cold; nobody saw it
 * go but whoever was refused or reset. Symptom: a full load runs it down
 * again. Enough: after such a sign it gets nothing before a probe has said
 * how cold it is.
 */
void aub_row_down(struct aub_row *row, gint64 now_us)
{
	row->state = AUB_ROW_DOWN;
	row->probe_us = MIN(row->probe_us, now_us);
}

/* Index of a row whose upstream is gone for good, or -1. */
static gint find_free(const struct aub_placement *placement, gint64 now_us)
{
	for (guint i = 0; i < placement->rows->len; i++) {
		const struct aub_row *row = aub_placement_row(placement, i);

		if (!row->registered && !row->granted &&
		    now_us - row->gone_us > GONE_KEPT_US)
			return (gint)i;
	}
	return -1;
}

/*
 * Failure: upstreams are replaced all day, each under a new id. Symptom: every
 * decision walks the rows of all that ever were. Enough: a row serves again
 * once its upstream has been gone for a while and nothing is out there.
 */
static struct aub_row *row_add(struct aub_placement *placement, const char *id,
			       gint64 now_us)
{
	struct aub_row *row = g_new0(struct aub_row, 1);
	gint index = find_free(placement, now_us);

	row->id = g_strdup(id);
	row->slowness = 1.0;
	row->version = AUB_VERSION_NONE;
	if (index < 0) {
		index = (gint)placement->rows->len;
		g_ptr_array_add(placement->rows, row);
	} else {
		struct aub_row *old =
			aub_placement_row(placement, (guint)index);

		aub_row_set_probing(placement, old, false);
		g_hash_table_remove(placement->by_id, old->id);
		row_free(old);
		placement->rows->pdata[index] = row;
	}
	g_hash_table_insert(placement->by_id, row->id,
			    GINT_TO_POINTER(index + 1));
	return row;
}

static void text_set(char **to, const char *value)
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
	gint index = aub_placement_find(placement, id);
	struct aub_row *row;
	bool was_registered;

	if (!record) {
		if (index < 0)
			return;
		row = aub_placement_row(placement, (guint)index);
		was_registered = row->registered;
		row->registered = false;
		row->gone_us = now_us;
		aub_row_count_version(placement, row, NULL, was_registered,
				      now_us);
		return;
	}
	row = index >= 0 ? aub_placement_row(placement, (guint)index) :
			   row_add(placement, id, now_us);
	if (row->born_ms != record->born_ms ||
	    g_strcmp0(row->address, record->address) != 0) {
		row->state = AUB_ROW_UNKNOWN;
		row->probe_us = now_us;
		row->failures = 0;
		row->slowness = 1.0;
		row->load_us = 0;
		row->evidence = (struct aub_judge_evidence){ 0 };
	}
	text_set(&row->address, record->address);
	text_set(&row->zone, record->zone);
	row->slots = record->slots;
	row->born_ms = record->born_ms;
	row->draining = record->draining;
	was_registered = row->registered;
	row->registered = true;
	aub_row_count_version(placement, row,
			      record->version ? record->version : "",
			      was_registered, now_us);
	row->zone_out =
		g_hash_table_contains(placement->zones_out, record->zone);
	if (record->warmup_left_ms)
		row->cold_until_us =
			MAX(row->cold_until_us,
			    now_us + record->warmup_left_ms * AUB_PLACE_MS);
}

/*
 * Failure: a zone that was out comes back and its upstreams are cold.
 * Symptom: its share of the load runs them down. Enough: each is unknown,
 * and so gets nothing, until a probe has told how cold it is.
 */
void aub_placement_zone_out(struct aub_placement *placement, const char *zone,
			    bool out, gint64 now_us)
{
	if (out)
		g_hash_table_add(placement->zones_out, g_strdup(zone));
	else
		g_hash_table_remove(placement->zones_out, zone);
	for (guint i = 0; i < placement->rows->len; i++) {
		struct aub_row *row = aub_placement_row(placement, i);

		if (g_strcmp0(row->zone, zone) != 0 || row->zone_out == out)
			continue;
		row->zone_out = out;
		row->state = AUB_ROW_UNKNOWN;
		row->probe_us = now_us;
		row->cold_until_us =
			MAX(row->cold_until_us,
			    now_us + placement->warmup_ms * AUB_PLACE_MS);
	}
}

bool aub_placement_may_send(const struct aub_placement *placement,
			    const char *id)
{
	gint index = aub_placement_find(placement, id);
	const struct aub_row *row;

	if (index < 0)
		return false;
	row = aub_placement_row(placement, (guint)index);
	return row->registered && !row->draining && !row->zone_out &&
	       row->use != AUB_VERSION_HELD;
}

const char *aub_placement_health_name(const struct aub_placement *placement,
				      const char *id)
{
	gint index = aub_placement_find(placement, id);
	const struct aub_row *row;

	if (index < 0)
		return "gone";
	row = aub_placement_row(placement, (guint)index);
	if (row->state == AUB_ROW_UP)
		return row->ill ? "ill" : "up";
	return row->state == AUB_ROW_DOWN ? "down" : "unknown";
}

/* Whatever is not told of is up, warm and as fast as the others. */
static bool is_noteworthy(const struct aub_row *row, gint64 now_us)
{
	return row->state != AUB_ROW_UP || aub_row_is_cold(row, now_us) ||
	       row->slowness > AUB_NOTEWORTHY_SLOWNESS;
}

guint aub_placement_list_health(const struct aub_placement *placement,
				struct aub_upstream_health *list, guint limit,
				gint64 now_us)
{
	guint count = 0;

	for (guint i = 0; i < placement->rows->len && count < limit; i++) {
		const struct aub_row *row = aub_placement_row(placement, i);

		if (!row->registered || !is_noteworthy(row, now_us))
			continue;
		list[count++] = (struct aub_upstream_health){
			.upstream = row->id,
			.down = row->state == AUB_ROW_DOWN,
			.unknown = row->state == AUB_ROW_UNKNOWN,
			.cold_ms =
				aub_row_is_cold(row, now_us) ?
					(guint)((row->cold_until_us - now_us) /
						AUB_PLACE_MS) :
					0,
			.slowdown = (guint)(100 * row->slowness),
		};
	}
	return count;
}

void aub_placement_reset_health(struct aub_placement *placement)
{
	for (guint i = 0; i < placement->rows->len; i++) {
		struct aub_row *row = aub_placement_row(placement, i);

		row->state = AUB_ROW_UP;
		row->slowness = 1.0;
	}
}

void aub_placement_set_health(struct aub_placement *placement,
			      const struct aub_upstream_health *health,
			      gint64 now_us)
{
	gint index = aub_placement_find(placement, health->upstream);
	struct aub_row *row;

	if (index < 0)
		return;
	row = aub_placement_row(placement, (guint)index);
	row->state = health->down    ? AUB_ROW_DOWN :
		     health->unknown ? AUB_ROW_UNKNOWN :
				       AUB_ROW_UP;
	row->cold_until_us = MAX(row->cold_until_us,
				 now_us + health->cold_ms * AUB_PLACE_MS);
	row->slowness = health->slowdown / 100.0;
}

/* Of the first registered upstream; those of a service are mostly alike. */
static guint full_percent(const struct aub_placement *placement)
{
	for (guint i = 0; i < placement->rows->len; i++) {
		const struct aub_row *row = aub_placement_row(placement, i);

		if (row->registered && row->slots)
			return 100 * aub_row_limit(placement, row) / row->slots;
	}
	return 100;
}

void aub_placement_get_state(const struct aub_placement *placement,
			     gint64 now_us, struct aub_placement_state *state)
{
	*state = (struct aub_placement_state){
		.granted = g_hash_table_size(placement->grants),
		.queued = placement->waiting->len,
		.refused = placement->refused,
		.cold_grants = placement->cold_grants,
		.cold_per_s = aub_placement_cold_per_s(placement),
		.full_percent = full_percent(placement),
		.slowdown_percent =
			(guint)(100 * aub_load_trend_mean(&placement->trend)),
		.burst_ms = (guint)aub_load_trend_holds_ms(&placement->trend),
		.rollout = placement->rollout.state,
		.exposed = placement->rollout.exposed,
		.judged = placement->rollout.judge.answers,
		.judged_bad = placement->rollout.judge.bad,
	};
	for (guint i = 0; i < placement->rows->len; i++) {
		const struct aub_row *row = aub_placement_row(placement, i);

		if (!row->registered)
			continue;
		if (row->draining || row->zone_out)
			state->leaving++;
		else if (row->use == AUB_VERSION_HELD)
			state->held++;
		else if (row->state == AUB_ROW_DOWN)
			state->down++;
		else if (row->state == AUB_ROW_UNKNOWN)
			state->unknown++;
		else
			state->up++;
		if (row->state == AUB_ROW_UP && aub_row_is_cold(row, now_us))
			state->cold++;
	}
}

void aub_placement_check(const struct aub_placement *placement)
{
	GHashTableIter iter;
	void *value;
	guint *counts = g_new0(guint, placement->rows->len + 1);
	guint probing = 0;

	g_hash_table_iter_init(&iter, placement->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		counts[((struct aub_grant *)value)->row]++;
	for (guint i = 0; i < placement->rows->len; i++) {
		struct aub_row *row = aub_placement_row(placement, i);

		g_assert(row->granted == counts[i]);
		probing += row->probing;
		g_assert(aub_placement_find(placement, row->id) == (gint)i);
	}
	g_assert(placement->probing == probing);
	for (guint i = 1; i < placement->waiting->len; i++) {
		const struct aub_waiting *left =
			g_ptr_array_index(placement->waiting, i - 1);
		const struct aub_waiting *right =
			g_ptr_array_index(placement->waiting, i);

		g_assert(left->priority <= right->priority);
	}
	g_free(counts);
}

const char *aub_verdict_name(enum aub_verdict verdict)
{
	static const char *const names[] = {
		[AUB_VERDICT_GRANTED] = "granted",
		[AUB_VERDICT_QUEUED] = "queued",
		[AUB_VERDICT_NO_UPSTREAM] = "no-upstream",
		[AUB_VERDICT_OVERLOAD] = "overload",
		[AUB_VERDICT_NO_BUDGET] = "no-budget",
	};

	return names[verdict];
}

const char *aub_attempt_end_name(enum aub_attempt_end end)
{
	static const char *const names[] = {
		[AUB_END_OK] = "ok",
		[AUB_END_FAILED] = "failed",
		[AUB_END_REFUSED] = "refused",
		[AUB_END_MISPLACED] = "misplaced",
		[AUB_END_UNREACHABLE] = "unreachable",
		[AUB_END_LOST] = "lost",
		[AUB_END_TIMEOUT] = "timeout",
		[AUB_END_ABANDONED] = "abandoned",
		[AUB_END_UNUSED] = "unused",
	};

	return names[end];
}

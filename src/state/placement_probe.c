/*
 * When each upstream is probed, and what a probe's end says.
 */
#include <auburnstile/internal/placement_parts.h>

/* Neighbours' bursts last some hundred milliseconds. */
#define PROBE_US (100 * AUB_PLACE_MS)
#define PROBE_COLD_US (500 * AUB_PLACE_MS) /* it bears little */
#define PROBE_DOWN_US (250 * AUB_PLACE_MS)
/*
 * Failure: a service has a thousand upstreams, and those who probe them have a
 * fifth of a core. Symptom: probes take nearly all of it, and configurations
 * are late. Enough: the interval grows with the upstreams, to 600 ms at a
 * thousand; up to 160 nothing changes.
 */
#define PROBE_SPREAD_US 600 /* the least, for each upstream of the service */
/* Without word from a zone's prober for so many, it is probed here. */
#define TOLD_INTERVALS 3
/*
 * Under way at once, for a service. After a start all upstreams are due; a
 * thousand connections in one turn keep a small VM from anything else.
 */
#define PROBES_MOST 64
#define SILENT_LIMIT 2 /* one lost packet is no death */

static gint64 interval(const struct aub_placement *placement,
		       const struct aub_row *row, gint64 now_us)
{
	gint64 least_us = (gint64)placement->rows->len * PROBE_SPREAD_US;
	gint64 usual_us = PROBE_US;

	if (row->state == AUB_ROW_DOWN)
		usual_us = PROBE_DOWN_US;
	else if (aub_row_is_cold(row, now_us))
		usual_us = PROBE_COLD_US;
	return MAX(usual_us, least_us);
}

void aub_row_set_probing(struct aub_placement *placement, struct aub_row *row,
			 bool probing)
{
	if (row->probing == probing)
		return;
	row->probing = probing;
	if (probing)
		placement->probing++;
	else
		placement->probing--;
}

static bool is_due(const struct aub_row *row, const char *zone, gint64 now_us)
{
	return row->registered && !row->draining && !row->probing &&
	       row->probe_us <= now_us &&
	       (!zone || !g_strcmp0(row->zone, zone));
}

/* In turn: those that are silent must not keep the others from a probe. */
bool aub_placement_probe_next(struct aub_placement *placement, const char *zone,
			      gint64 now_us, struct aub_probe *probe)
{
	guint count = placement->rows->len;

	if (placement->probing >= PROBES_MOST)
		return false;
	for (guint n = 0; n < count; n++) {
		guint i = (placement->probe_turn + n) % count;
		struct aub_row *row = aub_placement_row(placement, i);

		if (!is_due(row, zone, now_us))
			continue;
		aub_row_set_probing(placement, row, true);
		row->probe_us = now_us + interval(placement, row, now_us);
		placement->probe_turn = i + 1;
		*probe = (struct aub_probe){
			.upstream = row->id,
			.address = row->address,
			.path = placement->health_path,
		};
		return true;
	}
	return false;
}

void aub_placement_probe_ended(struct aub_placement *placement,
			       const char *upstream, enum aub_probe_end end,
			       const struct aub_load *load, gint64 now_us)
{
	gint index = aub_placement_find(placement, upstream);
	struct aub_row *row;

	if (index < 0)
		return;
	row = aub_placement_row(placement, (guint)index);
	aub_row_set_probing(placement, row, false);
	if (end == AUB_PROBE_SILENT) {
		if (++row->silent_probes >= SILENT_LIMIT)
			row->state = AUB_ROW_DOWN;
		return;
	}
	row->silent_probes = 0;
	if (end == AUB_PROBE_OTHER) {
		row->state = AUB_ROW_DOWN;
		return;
	}
	row->ill = end == AUB_PROBE_ILL;
	row->state = AUB_ROW_UP;
	if (load->warmup_ms < 0)
		row->cold_until_us = MIN(row->cold_until_us, now_us);
	aub_row_observe(placement, row, load, now_us);
}

void aub_placement_probe_told(struct aub_placement *placement,
			      const char *upstream, enum aub_probe_end end,
			      const struct aub_load *load, gint64 now_us)
{
	gint index = aub_placement_find(placement, upstream);
	struct aub_row *row;
	bool probing;

	if (index < 0)
		return;
	row = aub_placement_row(placement, (guint)index);
	probing = row->probing;
	aub_placement_probe_ended(placement, upstream, end, load, now_us);
	/* An own one under way goes on. */
	aub_row_set_probing(placement, row, probing);
	row->probe_us =
		now_us + TOLD_INTERVALS * interval(placement, row, now_us);
}

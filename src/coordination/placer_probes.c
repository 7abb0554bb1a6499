/*
 * Probes of the upstreams that this gateway places for.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/placer_parts.h>

#include <string.h>

#define ACTIVE_US (1500 * AUB_MS) /* after the last word that it places */
#define PROBE_TICK_US (25 * AUB_MS)
#define PROBE_MS 400 /* an upstream answers a probe at once */
#define PROBE_IDLE_US (8 * AUB_SECOND)

struct probe {
	struct aub_placer *placer;
	struct aub_http_call *call;
	char *service;
	char *upstream;
};

static void probe_free(struct probe *probe)
{
	g_ptr_array_remove_fast(probe->placer->probes, probe);
	g_free(probe->service);
	g_free(probe->upstream);
	g_free(probe);
}

static enum aub_probe_end probe_end(const struct probe *probe,
				    const struct aub_http_head *head)
{
	const char *id;

	if (!head)
		return AUB_PROBE_SILENT;
	id = aub_http_head_find(head,
				probe->placer->options.platform->upstream_id);
	if (id && strcmp(id, probe->upstream) != 0)
		return AUB_PROBE_OTHER;
	return head->status == 200 ? AUB_PROBE_WELL : AUB_PROBE_ILL;
}

static void log_belief(const struct probe *probe,
		       const struct aub_placement *placement,
		       enum aub_probe_end end, const struct aub_load *load)
{
	static const char *const names[] = {
		[AUB_PROBE_WELL] = "well",
		[AUB_PROBE_ILL] = "ill",
		[AUB_PROBE_OTHER] = "other",
		[AUB_PROBE_SILENT] = "silent",
	};
	bool up = aub_placement_is_up(placement, probe->upstream);

	if (up == (end == AUB_PROBE_WELL))
		return;
	aub_log_begin(AUB_EVENT_BELIEF);
	aub_log_text("upstream", probe->upstream);
	aub_log_text("service", probe->service);
	aub_log_text("was", up ? "up" : "not-up");
	aub_log_text("probe", names[end]);
	aub_log_number("warmup_ms", load->warmup_ms);
	aub_log_number("running", load->running);
	aub_log_end();
}

static void on_probed(enum aub_exchange_end end,
		      const struct aub_http_head *head, const char *body,
		      gsize length, void *context)
{
	struct probe *probe = context;
	struct aub_placer *placer = probe->placer;
	struct aub_placement *placement =
		aub_placer_placement(placer, probe->service);
	struct aub_load load = { -1, -1, -1, -1, -1 };

	if (head)
		placer->options.platform->decode_load(head, &load);
	log_belief(probe, placement, probe_end(probe, head), &load);
	aub_placement_probe_ended(placement, probe->upstream,
				  probe_end(probe, head), &load,
				  aub_timer_now(placer->options.timers));
	probe_free(probe);
	aub_placer_drain(placer, placement);
}

static void probe_start(struct aub_placer *placer, const char *service,
			const struct aub_probe *due)
{
	struct probe *probe = g_new0(struct probe, 1);
	const struct aub_http_call_options options = {
		.method = "GET",
		.address = due->address,
		.peer = "probe",
		.path = due->path,
		.timeout_ms = PROBE_MS,
		.idle_us = PROBE_IDLE_US,
	};

	placer->counts.probes++;
	probe->placer = placer;
	probe->service = g_strdup(service);
	probe->upstream = g_strdup(due->upstream);
	g_ptr_array_add(placer->probes, probe);
	probe->call = aub_http_call_new(placer->options.client, &options,
					on_probed, probe);
}

static void on_probe_tick(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;
	GHashTableIter iter;
	void *key;
	void *value;

	placer->probe_timer = 0;
	g_hash_table_iter_init(&iter, placer->active);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct aub_placement *placement =
			aub_placer_placement(placer, key);
		struct aub_probe due;

		if (((struct aub_active *)value)->until_us < now_us) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		while (aub_placement_probe_next(placement, now_us, &due))
			probe_start(placer, key, &due);
	}
	if (g_hash_table_size(placer->active))
		placer->probe_timer =
			aub_timer_at(placer->options.timers, "probes",
				     now_us + PROBE_TICK_US, on_probe_tick,
				     placer);
}

void aub_placer_wake_service(struct aub_placer *placer, const char *service)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_active *active =
		g_hash_table_lookup(placer->active, service);

	if (!active) {
		active = g_new0(struct aub_active, 1);
		g_hash_table_insert(placer->active, g_strdup(service), active);
		aub_log_begin(AUB_EVENT_PLACING);
		aub_log_text("service", service);
		aub_log_end();
	}
	active->until_us = now + ACTIVE_US;
	if (!placer->probe_timer)
		placer->probe_timer =
			aub_timer_at(placer->options.timers, "probes", now,
				     on_probe_tick, placer);
}

void aub_placer_probes_stop(struct aub_placer *placer)
{
	while (placer->probes->len) {
		struct probe *probe = g_ptr_array_index(placer->probes, 0);

		aub_http_call_cancel(probe->call);
		probe_free(probe);
	}
	g_ptr_array_unref(placer->probes);
	g_hash_table_unref(placer->held_told);
}

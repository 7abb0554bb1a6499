/*
 * Probes of the upstreams that this gateway places for.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/placer_parts.h>

#include <string.h>

#define ACTIVE_US (1500 * AUB_MS) /* after the last word that it places */
#define PROBE_TICK_US (25 * AUB_MS)
#define PROBE_MS 400 /* an upstream answers a probe at once */
#define TELL_US (4 * AUB_MS) /* collects answers to probes sent together */
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

/* Only changes: one that stays ill is probed ten times a second. */
static void log_health(const struct probe *probe, const char *was,
		       const char *now, enum aub_probe_end end,
		       const struct aub_load *load)
{
	static const char *const names[] = {
		[AUB_PROBE_WELL] = "well",
		[AUB_PROBE_ILL] = "ill",
		[AUB_PROBE_OTHER] = "other",
		[AUB_PROBE_SILENT] = "silent",
	};

	if (!strcmp(was, now))
		return;
	aub_log_begin(AUB_LOG_HEALTH);
	aub_log_text("upstream", probe->upstream);
	aub_log_text("service", probe->service);
	aub_log_text("was", was);
	aub_log_text("now", now);
	aub_log_text("probe", names[end]);
	aub_log_number("warmup_ms", load->warmup_ms);
	aub_log_number("running", load->running);
	aub_log_end();
}

static void on_tell(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;
	GHashTableIter iter;
	void *key;
	void *value;

	placer->tell_timer = 0;
	g_hash_table_iter_init(&iter, placer->active);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct aub_active *active = value;
		struct aub_peer *peer = aub_placer_of(placer, key, now_us);

		if (!active->probed)
			continue;
		if (peer)
			aub_peers_send(placer->options.peers, peer,
				       &active->probed->base);
		aub_message_free(&active->probed->base);
		active->probed = NULL;
	}
}

/* For the placer of the service, which is in another zone. */
static void tell_later(struct aub_placer *placer, const struct probe *probe,
		       enum aub_probe_end end, const struct aub_load *load)
{
	struct aub_active *active =
		g_hash_table_lookup(placer->active, probe->service);
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_reported_probe *probed;

	if (!active || active->until_us >= now)
		return;
	if (!active->probed) {
		active->probed =
			(struct aub_place_probe_results *)aub_message_new(
				AUB_MESSAGE_PLACE_PROBE_RESULTS);
		aub_string_set(&active->probed->service, probe->service);
	}
	probed = aub_reported_probe_new();
	aub_string_set(&probed->upstream, probe->upstream);
	probed->end = end;
	probed->load = aub_load_tell(load);
	g_ptr_array_add(active->probed->probed, probed);
	if (!placer->tell_timer)
		placer->tell_timer =
			aub_timer_at(placer->options.timers, "tell probes",
				     now + TELL_US, on_tell, placer);
}

void aub_placer_take_probed(struct aub_placer *placer,
			    const struct aub_place_probe_results *message)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_placement *placement =
		aub_placer_placement(placer, message->service);

	for (guint i = 0; i < message->probed->len; i++) {
		const struct aub_reported_probe *probed =
			g_ptr_array_index(message->probed, i);
		const struct aub_load load = aub_load_of(&probed->load);

		if (probed->end <= AUB_PROBE_SILENT)
			aub_placement_probe_told(
				placement, probed->upstream,
				(enum aub_probe_end)probed->end, &load, now);
	}
	aub_placer_drain(placer, placement);
}

static void on_probed(enum aub_exchange_end end,
		      const struct aub_http_head *head, const char *body,
		      gsize length, void *context)
{
	struct probe *probe = context;
	struct aub_placer *placer = probe->placer;
	struct aub_placement *placement =
		aub_placer_placement(placer, probe->service);
	enum aub_probe_end ended = probe_end(probe, head);
	struct aub_load load = AUB_LOAD_UNKNOWN;
	const char *was;

	if (head)
		placer->options.platform->decode_load(head, &load);
	was = aub_placement_health_name(placement, probe->upstream);
	aub_placement_probe_ended(placement, probe->upstream, ended, &load,
				  aub_timer_now(placer->options.timers));
	log_health(probe, was,
		   aub_placement_health_name(placement, probe->upstream), ended,
		   &load);
	tell_later(placer, probe, ended, &load);
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
		const struct aub_active *active = value;
		bool places = active->until_us >= now_us;
		struct aub_probe due;

		if (!places && active->near_until_us < now_us) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		while (aub_placement_probe_next(placement,
						places ? NULL : placer->zone,
						now_us, &due))
			probe_start(placer, key, &due);
	}
	if (g_hash_table_size(placer->active))
		placer->probe_timer =
			aub_timer_at(placer->options.timers, "probes",
				     now_us + PROBE_TICK_US, on_probe_tick,
				     placer);
}

static struct aub_active *wake(struct aub_placer *placer, const char *service)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_active *active =
		g_hash_table_lookup(placer->active, service);

	if (!active) {
		active = g_new0(struct aub_active, 1);
		g_hash_table_insert(placer->active, g_strdup(service), active);
	}
	if (!placer->probe_timer)
		placer->probe_timer =
			aub_timer_at(placer->options.timers, "probes", now,
				     on_probe_tick, placer);
	return active;
}

void aub_placer_wake_service(struct aub_placer *placer, const char *service)
{
	gint64 now = aub_timer_now(placer->options.timers);
	struct aub_active *active = wake(placer, service);

	if (active->until_us < now) {
		aub_log_begin(AUB_LOG_PLACER_ACTIVE);
		aub_log_text("service", service);
		aub_log_end();
	}
	active->until_us = now + ACTIVE_US;
}

void aub_placer_wake_near(struct aub_placer *placer, const char *service)
{
	wake(placer, service)->near_until_us =
		aub_timer_now(placer->options.timers) + ACTIVE_US;
}

void aub_active_free(void *data)
{
	struct aub_active *active = data;

	if (active->probed)
		aub_message_free(&active->probed->base);
	g_free(active);
}

void aub_placer_probes_stop(struct aub_placer *placer)
{
	/* Freeing one moves the last into its place: walk back. */
	for (guint i = placer->probes->len; i > 0; i--) {
		struct probe *probe = g_ptr_array_index(placer->probes, i - 1);

		aub_http_call_cancel(probe->call);
		probe_free(probe);
	}
	g_ptr_array_unref(placer->probes);
	g_hash_table_unref(placer->outstanding_told);
}

/*
 * What upstreams say of themselves in answers: applied to the placements of
 * this gateway, and logged.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/placer_internal.h>

static gint64 limit_for_log(guint32 per_1000_s)
{
	return per_1000_s == AUB_LIMIT_NONE ? -1 : (gint64)per_1000_s;
}

static void log_limit(struct aub_placement *placement, const char *upstream,
		      const char *source, const char *id)
{
	struct aub_limit_change change;

	if (!aub_placement_take_limit_change(placement, upstream, &change))
		return;
	aub_log_begin(AUB_LOG_UPSTREAM_LIMIT);
	aub_log_text("upstream", upstream);
	aub_log_text("service", aub_placement_service(placement));
	aub_log_number("was", limit_for_log(change.was_per_1000_s));
	aub_log_number("now", limit_for_log(change.now_per_1000_s));
	aub_log_text("source", source);
	aub_log_text("id", id);
	aub_log_end();
}

static void log_leaving(struct aub_placement *placement, const char *upstream,
			const char *source, const char *id)
{
	if (!aub_placement_take_leaving(placement, upstream))
		return;
	aub_log_begin(AUB_LOG_UPSTREAM_LEAVING);
	aub_log_text("upstream", upstream);
	aub_log_text("service", aub_placement_service(placement));
	aub_log_text("source", source);
	aub_log_text("id", id);
	aub_log_end();
}

void aub_placer_log_notices(struct aub_placement *placement,
			    const char *upstream, const char *source,
			    const char *id)
{
	log_limit(placement, upstream, source, id);
	log_leaving(placement, upstream, source, id);
}

void aub_placer_apply_leaving(struct aub_placement *placement,
			      const GPtrArray *rows)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct aub_place_health_row *row =
			g_ptr_array_index(rows, i);

		if (!row->leaving)
			continue;
		aub_placement_set_leaving(placement, row->upstream,
					  (gint64)row->started_ms);
		log_leaving(placement, row->upstream, "peer", "");
	}
}

void aub_placer_begin_rest(struct aub_placer *placer, const char *service,
			   const char *upstream, gint64 rest_us,
			   const char *request_id)
{
	if (rest_us <= 0)
		return;
	aub_placement_begin_rest(aub_placer_placement(placer, service),
				 upstream, rest_us,
				 aub_timer_now(placer->options.timers));
	aub_log_begin(AUB_LOG_UPSTREAM_REST);
	aub_log_text("upstream", upstream);
	aub_log_text("service", service);
	aub_log_number("ms", rest_us / AUB_MS);
	aub_log_text("source", request_id ? "answer" : "probe");
	aub_log_text("id", request_id);
	aub_log_end();
}

void aub_placer_observe_answer(struct aub_placer *placer, const char *service,
			       const struct aub_upstream_answer *answer)
{
	struct aub_placement *placement = aub_placer_placement(placer, service);

	aub_placement_observe_answer(placement, answer->upstream, &answer->load,
				     answer->sent_us,
				     aub_timer_now(placer->options.timers));
	aub_placer_log_notices(placement, answer->upstream, "answer",
			       answer->request_id);
	aub_placer_begin_rest(placer, service, answer->upstream,
			      answer->rest_us, answer->request_id);
}

void aub_placer_append_limits(struct aub_placer *placer, const char *service,
			      GPtrArray *limits)
{
	struct aub_named_limit list[AUB_NOTICES_MAX];
	guint count = aub_placement_list_limits(
		aub_placer_placement(placer, service), list, AUB_NOTICES_MAX,
		aub_timer_now(placer->options.timers));

	for (guint i = 0; i < count; i++) {
		struct aub_place_limit *limit = aub_place_limit_new();

		aub_string_set(&limit->upstream, list[i].upstream);
		limit->per_1000_s = list[i].statement.per_1000_s;
		limit->age_ms = list[i].statement.age_ms;
		g_ptr_array_add(limits, limit);
	}
}

void aub_placer_apply_limits(struct aub_placer *placer, const char *service,
			     const GPtrArray *limits, const char *peer)
{
	struct aub_placement *placement = aub_placer_placement(placer, service);

	for (guint i = 0; i < limits->len; i++) {
		const struct aub_place_limit *limit =
			g_ptr_array_index(limits, i);
		const struct aub_named_limit named = {
			.upstream = limit->upstream,
			.statement = { .per_1000_s = limit->per_1000_s,
				       .age_ms = limit->age_ms },
		};

		aub_placement_merge_limit(placement, &named,
					  aub_timer_now(
						  placer->options.timers));
		log_limit(placement, limit->upstream, "peer", peer);
	}
}

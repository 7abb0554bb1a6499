/* Request metrics by service. */
#include <auburnstile/internal/routed_request.h>

struct service_series {
	guint outcomes[AUB_OUTCOME_UNKNOWN + 1]; /* handles of the counters */
	guint latency;
};

struct request_stats {
	struct aub_metrics *metrics;
	GHashTable *by_service; /* service -> struct service_series */
	guint relayed;
	guint keys;
	guint key_bytes;
	guint pending;
};

struct request_stats *request_stats_new(struct aub_metrics *metrics)
{
	struct request_stats *stats = g_new0(struct request_stats, 1);

	stats->metrics = metrics;
	stats->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	stats->relayed =
		aub_metrics_counter(metrics, "auburnstile_relayed_total", NULL,
				    "Requests relayed to another entry.");
	stats->keys = aub_metrics_gauge(metrics, "auburnstile_keys", NULL,
					"Keys retained at this entry.");
	stats->key_bytes =
		aub_metrics_gauge(metrics, "auburnstile_key_bytes", NULL,
				  "Bytes of keys and cached answers.");
	stats->pending =
		aub_metrics_gauge(metrics, "auburnstile_requests_pending", NULL,
				  "Requests open at this entry.");
	return stats;
}

void request_stats_free(struct request_stats *stats)
{
	g_hash_table_unref(stats->by_service);
	g_free(stats);
}

static struct service_series *find_series(struct request_stats *stats,
					  const char *service)
{
	struct service_series *service_series =
		g_hash_table_lookup(stats->by_service, service);
	char *labels;

	if (service_series)
		return service_series;
	service_series = g_new0(struct service_series, 1);
	for (guint i = AUB_OUTCOME_RUN; i <= AUB_OUTCOME_UNKNOWN; i++) {
		labels = aub_metrics_labels("service", service, "outcome",
					    aub_outcome_name(i), NULL);
		service_series->outcomes[i] =
			aub_metrics_counter(stats->metrics,
					    "auburnstile_requests_total",
					    labels,
					    "Requests answered, by outcome.");
		g_free(labels);
	}
	labels = aub_metrics_labels("service", service, NULL);
	service_series->latency = aub_metrics_histogram(
		stats->metrics, "auburnstile_request_us", labels,
		"Time from a request's arrival to its answer.");
	g_free(labels);
	g_hash_table_insert(stats->by_service, g_strdup(service),
			    service_series);
	return service_series;
}

void request_stats_count_answer(struct request_stats *stats,
				const char *service, enum aub_outcome outcome,
				gint64 took_us)
{
	struct service_series *service_series =
		find_series(stats, *service ? service : "none");

	aub_metrics_add(stats->metrics, service_series->outcomes[outcome], 1);
	aub_metrics_observe(stats->metrics, service_series->latency, took_us);
}

void request_stats_count_relayed(struct request_stats *stats)
{
	aub_metrics_add(stats->metrics, stats->relayed, 1);
}

void request_stats_set_keys(struct request_stats *stats, guint count,
			    gsize bytes)
{
	aub_metrics_set(stats->metrics, stats->keys, count);
	aub_metrics_set(stats->metrics, stats->key_bytes, (gint64)bytes);
}

void request_stats_set_pending(struct request_stats *stats, guint pending)
{
	aub_metrics_set(stats->metrics, stats->pending, pending);
}

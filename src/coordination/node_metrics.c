/*
 * A gateway's counters and gauges, read when they are asked for. Requests and
 * their latency are counted as they end (gateway.c).
 *
 * Label sets are bounded by services, kinds and states, never by routes,
 * upstreams or callers.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/node_parts.h>

#include <sys/resource.h>

/* One figure without labels. */
struct figure {
	const char *name;
	const char *help;
	bool total; /* only rises */
	gint64 (*read)(const struct aub_node *node);
};

static gint64 read_version(const struct aub_node *node)
{
	return node->version;
}

static gint64 read_requests(const struct aub_node *node)
{
	return aub_gateway_requests(node->gateway);
}

static gint64 read_callers(const struct aub_node *node)
{
	return aub_gateway_connections(node->gateway);
}

static gint64 read_opened(const struct aub_node *node)
{
	return (gint64)aub_http_client_opened(node->client);
}

static gint64 read_store_lost(const struct aub_node *node)
{
	return aub_store_sync_lost_us(node->store) / AUB_MS;
}

static gint64 read_asked(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->asked;
}

static gint64 read_decided(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->placed_here;
}

static gint64 read_alone(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->placed_alone;
}

static gint64 read_forwarded(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->forwarded;
}

static gint64 read_suspected(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->suspected;
}

static gint64 read_probes(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->probes;
}

static gint64 read_peers(const struct aub_node *node)
{
	return aub_peers_count_alive(node->peers);
}

static gint64 read_refused(const struct aub_node *node)
{
	return (gint64)aub_peers_get_counts(node->peers)->refused;
}

static gint64 read_introductions(const struct aub_node *node)
{
	return (gint64)aub_peers_get_counts(node->peers)->introductions;
}

static gint64 read_records_refused(const struct aub_node *node)
{
	return (gint64)node->records_refused;
}

/* Linux tells kilobytes. */
static gint64 read_memory(const struct aub_node *node)
{
	struct rusage usage;

	if (getrusage(RUSAGE_SELF, &usage) < 0)
		return -1;
	return (gint64)usage.ru_maxrss * 1024;
}

static const struct figure figures[] = {
	{ "auburnstile_config_version", "configuration in force", false,
	  read_version },
	{ "auburnstile_requests_under_way", "now", false, read_requests },
	{ "auburnstile_caller_connections", "open now", false, read_callers },
	{ "auburnstile_connections_opened_total",
	  "to upstreams and to the store", true, read_opened },
	{ "auburnstile_store_lost_ms",
	  "since the store stopped answering; 0: it answers", false,
	  read_store_lost },
	{ "auburnstile_placer_asked_total",
	  "requests that asked for an upstream", true, read_asked },
	{ "auburnstile_placer_decided_total", "asked here, by any gateway",
	  true, read_decided },
	{ "auburnstile_placer_alone_total", "placed for want of a placer", true,
	  read_alone },
	{ "auburnstile_placer_forwarded_total",
	  "asks passed on to a gateway that ranks first", true,
	  read_forwarded },
	{ "auburnstile_placer_suspected_total",
	  "placers that did not answer in time", true, read_suspected },
	{ "auburnstile_probes_total", "sent", true, read_probes },
	{ "auburnstile_peers_alive", "other gateways heard lately", false,
	  read_peers },
	{ "auburnstile_peer_datagrams_refused_total",
	  "datagrams of peers that made no sense", true, read_refused },
	{ "auburnstile_peer_introductions_total",
	  "of gateways that knew nobody", true, read_introductions },
	{ "auburnstile_records_refused_total",
	  "objects of the store that made no sense", true,
	  read_records_refused },
	{ "auburnstile_memory_peak_bytes", "-1: can't be told", false,
	  read_memory },
};

/* `total`: it only rises. `labels` is freed. */
static void set_series(struct aub_node *node, bool total, const char *name,
		       char *labels, const char *help, gint64 value)
{
	struct aub_metrics *metrics = node->metrics;
	guint handle =
		total ? aub_metrics_counter(metrics, name, labels, help) :
			aub_metrics_gauge(metrics, name, labels, help);

	aub_metrics_set(metrics, handle, value);
	g_free(labels);
}

/* A series of one service. */
static void set_service(struct aub_node *node, bool total, const char *name,
			const char *service, const char *help, gint64 value)
{
	set_series(node, total, name,
		   aub_metrics_labels("service", service, NULL), help, value);
}

static void export_upstreams(struct aub_node *node, const char *service,
			     const char *state, guint count)
{
	set_series(node, false, "auburnstile_upstreams",
		   aub_metrics_labels("service", service, "state", state, NULL),
		   "by state, as this gateway sees it", count);
}

static void export_placement(const char *service,
			     const struct aub_placement_state *state,
			     void *context)
{
	struct aub_node *node = context;

	export_upstreams(node, service, "up", state->up);
	export_upstreams(node, service, "down", state->down);
	export_upstreams(node, service, "unknown", state->unknown);
	export_upstreams(node, service, "cold", state->cold);
	export_upstreams(node, service, "leaving", state->leaving);
	export_upstreams(node, service, "held", state->held);
	set_service(node, false, "auburnstile_queued", service,
		    "requests that wait here for a slot", state->queued);
	set_service(node, false, "auburnstile_granted", service,
		    "slots in use by what was granted here", state->granted);
	set_service(node, true, "auburnstile_asks_refused_total", service,
		    "asks that got no upstream here", (gint64)state->refused);
	set_service(node, true, "auburnstile_cold_grants_total", service,
		    "requests given to cold upstreams",
		    (gint64)state->cold_grants);
	set_service(node, false, "auburnstile_cold_limit_per_1000_s", service,
		    "requests that one cold upstream is given",
		    (gint64)(1000 * state->cold_per_s));
	set_service(node, false, "auburnstile_upstream_full_percent", service,
		    "of its slots that an upstream is kept to, learned",
		    state->full_percent);
	set_service(node, false, "auburnstile_upstream_slowdown_percent",
		    service, "mean that upstreams tell; 100 is as usual",
		    state->slowdown_percent);
	set_service(node, false, "auburnstile_upstream_burst_ms", service,
		    "for which what upstreams tell holds, learned",
		    state->burst_ms);
}

static void export_rollout(const char *service,
			   const struct aub_placement_state *state,
			   void *context)
{
	struct aub_node *node = context;

	for (guint i = AUB_ROLLOUT_RUNNING; i < AUB_ROLLOUT_STATES; i++)
		set_series(node, false, "auburnstile_rollout_state",
			   aub_metrics_labels("service", service, "state",
					      aub_rollout_state_name((
						      enum aub_rollout_state)i),
					      NULL),
			   "1: the order is there, as this gateway sees it",
			   state->rollout == i);
	set_service(node, false, "auburnstile_rollout_exposed", service,
		    "requests placed here at the version of the order",
		    (gint64)state->exposed);
	set_service(node, false, "auburnstile_rollout_answers", service,
		    "of the version, that judge it", state->judged);
	set_service(node, false, "auburnstile_rollout_bad_answers", service,
		    "of these, failures and slow ones", state->judged_bad);
}

static void export_store_kind(struct aub_node *node, enum aub_store_kind kind)
{
	const char *name = aub_store_kind_name(kind);
	gint64 heard_us = aub_store_sync_heard_us(node->store, kind);
	gint64 now = aub_timer_now(node->timers);

	for (guint i = 0; i < AUB_STORE_RESULTS; i++) {
		enum aub_store_result result = (enum aub_store_result)i;

		set_series(node, true, "auburnstile_store_calls_total",
			   aub_metrics_labels("kind", name, "result",
					      aub_store_result_name(result),
					      NULL),
			   "by what they were about and how they ended",
			   (gint64)aub_store_sync_calls(node->store, kind,
							result));
	}
	set_series(node, false, "auburnstile_store_age_ms",
		   aub_metrics_labels("kind", name, NULL),
		   "since the store itself told of it; -1: never",
		   heard_us ? (now - heard_us) / AUB_MS : -1);
}

static void export_links(struct aub_node *node)
{
	const struct aub_peers_counts *counts =
		aub_peers_get_counts(node->peers);
	const char *datagrams = "auburnstile_peer_datagrams_total";
	const char *bytes = "auburnstile_peer_bytes_total";

	set_series(node, true, datagrams,
		   aub_metrics_labels("to", "zone", NULL),
		   "sent to other gateways", (gint64)counts->near_datagrams);
	set_series(node, true, datagrams,
		   aub_metrics_labels("to", "others", NULL),
		   "sent to other gateways", (gint64)counts->far_datagrams);
	set_series(node, true, bytes, aub_metrics_labels("to", "zone", NULL),
		   "of these datagrams", (gint64)counts->near_bytes);
	set_series(node, true, bytes, aub_metrics_labels("to", "others", NULL),
		   "of these datagrams", (gint64)counts->far_bytes);
}

static void export_log(struct aub_node *node)
{
	static const char *const names[AUB_LOG_CLASS_COUNT] = {
		[AUB_LOG_SUCCESS] = "calm",
		[AUB_LOG_FAILURE] = "trouble",
		[AUB_LOG_STATE] = "state",
	};

	for (guint i = 0; i < AUB_LOG_CLASS_COUNT; i++)
		set_series(node, true, "auburnstile_log_dropped_total",
			   aub_metrics_labels("class", names[i], NULL),
			   "lines that found no room",
			   (gint64)aub_decision_log_dropped(
				   (enum aub_log_class)i));
}

void aub_node_on_export(const struct aub_http_head *head,
			struct aub_http_reply *reply, void *context)
{
	struct aub_node *node = context;
	char *text;

	if (!aub_http_path_is(head->target, "/metrics"))
		return;
	for (guint i = 0; i < G_N_ELEMENTS(figures); i++) {
		const struct figure *figure = &figures[i];

		set_series(node, figure->total, figure->name, NULL,
			   figure->help, figure->read(node));
	}
	for (guint i = 0; i < AUB_STORE_KINDS; i++)
		export_store_kind(node, (enum aub_store_kind)i);
	export_links(node);
	export_log(node);
	aub_placer_visit(node->placer, export_placement, node);
	if (node->takes_orders)
		aub_placer_visit(node->placer, export_rollout, node);
	reply->status = 200;
	reply->type = "text/plain; version=0.0.4";
	text = aub_metrics_text(node->metrics);
	reply->body = g_bytes_new_take(text, strlen(text));
}

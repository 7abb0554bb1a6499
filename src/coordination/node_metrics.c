/*
 * A gateway's counters and gauges, read at export time. Requests and their
 * latency are counted when they end (gateway.c).
 *
 * Label sets are bounded by services, kinds and states, never by routes,
 * upstreams or callers. Of the workspaces, the first with the most requests
 * have series of their own.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/node_internal.h>

#include <string.h>
#include <sys/resource.h>

/* A metric without labels. */
struct scalar {
	const char *name;
	const char *help;
	bool is_counter; /* else a gauge */
	gint64 (*read)(const struct aub_node *node);
};

static gint64 read_version(const struct aub_node *node)
{
	return node->config_version;
}

static gint64 read_requests(const struct aub_node *node)
{
	return aub_gateway_active_requests(node->gateway);
}

static gint64 read_caller_connections(const struct aub_node *node)
{
	return aub_gateway_open_connections(node->gateway);
}

static gint64 read_connections_opened(const struct aub_node *node)
{
	return (gint64)aub_http_client_connections_opened(node->client);
}

static gint64 read_store_outage_ms(const struct aub_node *node)
{
	return aub_store_sync_unavailable_us(node->store) / AUB_MS;
}

static gint64 read_store_watcher(const struct aub_node *node)
{
	return aub_peers_self_is_watcher(node->peers);
}

static gint64 read_placement_requests(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->requested;
}

static gint64 read_placed_here(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->placed_here;
}

static gint64 read_placed_in_fallback(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->placed_in_fallback;
}

static gint64 read_requests_forwarded(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->forwarded;
}

static gint64 read_grants_rejected(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->grants_rejected;
}

static gint64 read_placers_suspected(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->placers_suspected;
}

static gint64 read_probes_sent(const struct aub_node *node)
{
	return (gint64)aub_placer_get_counts(node->placer)->probes_sent;
}

static gint64 read_links_down(const struct aub_node *node)
{
	return aub_egress_monitor_state(node->egress)->state == AUB_EGRESS_DOWN;
}

static gint64 read_link_checks(const struct aub_node *node)
{
	return (gint64)aub_egress_monitor_counts(node->egress)->checks;
}

static gint64 read_link_outages(const struct aub_node *node)
{
	return (gint64)aub_egress_monitor_counts(node->egress)->outages;
}

static gint64 read_peers(const struct aub_node *node)
{
	return aub_peers_count_alive(node->peers);
}

static gint64 read_datagrams_rejected(const struct aub_node *node)
{
	return (gint64)aub_peers_get_counts(node->peers)->rejected_datagrams;
}

static gint64 read_introductions(const struct aub_node *node)
{
	return (gint64)aub_peers_get_counts(node->peers)->introductions;
}

static gint64 read_unreadable_records(const struct aub_node *node)
{
	return (gint64)node->unreadable_records;
}

/* Linux reports kilobytes. Returns -1 on error. */
static gint64 read_memory(const struct aub_node *node)
{
	struct rusage usage;

	if (getrusage(RUSAGE_SELF, &usage) < 0)
		return -1;
	return (gint64)usage.ru_maxrss * 1024;
}

static const struct scalar scalars[] = {
	{ "auburnstile_config_version", "version of the active configuration",
	  false, read_version },
	{ "auburnstile_requests_under_way", "now", false, read_requests },
	{ "auburnstile_caller_connections", "open connections of callers",
	  false, read_caller_connections },
	{ "auburnstile_connections_opened_total",
	  "connections opened to upstreams and to the store", true,
	  read_connections_opened },
	{ "auburnstile_store_lost_ms",
	  "time since the store stopped answering; 0: it answers", false,
	  read_store_outage_ms },
	{ "auburnstile_store_watcher",
	  "1: this gateway watches the store for its zone", false,
	  read_store_watcher },
	{ "auburnstile_placer_asked_total",
	  "placement requests of this gateway", true, read_placement_requests },
	{ "auburnstile_placer_decided_total",
	  "placement decisions made here, for any gateway", true,
	  read_placed_here },
	{ "auburnstile_placer_alone_total",
	  "requests placed locally because no placer answered", true,
	  read_placed_in_fallback },
	{ "auburnstile_placer_forwarded_total",
	  "placement requests forwarded to a gateway that ranks first", true,
	  read_requests_forwarded },
	{ "auburnstile_placer_suspected_total",
	  "placers that did not answer in time", true, read_placers_suspected },
	{ "auburnstile_placer_grants_rejected_total",
	  "grants returned because this gateway knew more of the upstream",
	  true, read_grants_rejected },
	{ "auburnstile_probes_total", "sent", true, read_probes_sent },
	{ "auburnstile_links_down",
	  "1: no upstream answers this gateway; 0: some do", false,
	  read_links_down },
	{ "auburnstile_link_checks_total",
	  "health checks of this gateway's own links", true, read_link_checks },
	{ "auburnstile_link_outages_total",
	  "times that the own links were found down", true, read_link_outages },
	{ "auburnstile_peers_alive", "other gateways with recent heartbeats",
	  false, read_peers },
	{ "auburnstile_peer_datagrams_refused_total",
	  "malformed datagrams received", true, read_datagrams_rejected },
	{ "auburnstile_peer_introductions_total",
	  "introductions sent to gateways that knew no peers", true,
	  read_introductions },
	{ "auburnstile_records_refused_total",
	  "store objects that could not be read", true,
	  read_unreadable_records },
	{ "auburnstile_memory_peak_bytes", "peak resident memory; -1: unknown",
	  false, read_memory },
};

/* Sets a counter or a gauge. Frees `labels`. */
static void set_series(struct aub_node *node, bool is_counter, const char *name,
		       char *labels, const char *help, gint64 value)
{
	struct aub_metrics *metrics = node->metrics;
	guint handle =
		is_counter ? aub_metrics_counter(metrics, name, labels, help) :
			     aub_metrics_gauge(metrics, name, labels, help);

	aub_metrics_set(metrics, handle, value);
	g_free(labels);
}

/* Sets a metric with a service label. */
static void set_service_series(struct aub_node *node, bool is_counter,
			       const char *name, const char *service,
			       const char *help, gint64 value)
{
	set_series(node, is_counter, name,
		   aub_metrics_labels("service", service, NULL), help, value);
}

static void export_upstreams(struct aub_node *node, const char *service,
			     const char *state, guint count)
{
	set_series(node, false, "auburnstile_upstreams",
		   aub_metrics_labels("service", service, "state", state, NULL),
		   "upstreams by state, in this gateway's view", count);
}

static void export_retries(struct aub_node *node, const char *service,
			   const struct aub_placement_stats *state)
{
	for (guint i = 0; i < AUB_RETRY_VERDICT_COUNT; i++)
		set_series(node, true, "auburnstile_retry_claims_total",
			   aub_metrics_labels("service", service, "result",
					      aub_retry_verdict_name((
						      enum aub_retry_verdict)i),
					      NULL),
			   "retries asked for here by result",
			   (gint64)state->retry_verdicts[i]);
	set_service_series(node, false, "auburnstile_retry_credit", service,
			   "retries that may be admitted at once",
			   state->retry_credit);
	set_service_series(
		node, false, "auburnstile_refusal_percent", service,
		"attempts that upstreams with free slots refuse, learned",
		state->refusal_percent);
	set_service_series(node, false, "auburnstile_return_percent", service,
			   "refused callers that come back, learned",
			   state->return_percent);
	set_service_series(node, false, "auburnstile_callers_awaited", service,
			   "refused requests whose callers may come back",
			   state->callers_awaited);
}

/* Sums over all gateways tell where retries beyond the budget come from. */
static void export_retry_counts(struct aub_node *node, const char *service,
				const struct aub_retry_counts *counts)
{
	const struct {
		const char *name;
		const char *help;
		guint64 value;
	} series[] = {
		{ "auburnstile_retry_requests_total",
		  "requests of this gateway's callers", counts->requests },
		{ "auburnstile_retry_credit_issued_thousandths_total",
		  "credit that this gateway handed over", counts->issued },
		{ "auburnstile_retry_credit_received_thousandths_total",
		  "credit handed over to this gateway", counts->received },
		{ "auburnstile_retry_taken_back_total",
		  "retries admitted here that were not sent",
		  counts->taken_back },
		{ "auburnstile_retry_attempts_total",
		  "attempts sent by this gateway", counts->attempts },
		{ "auburnstile_retry_attempts_further_total",
		  "attempts that were not the first of their request",
		  counts->further },
	};

	for (gsize i = 0; i < G_N_ELEMENTS(series); i++)
		set_service_series(node, true, series[i].name, service,
				   series[i].help, (gint64)series[i].value);
}

static void export_placement(const char *service,
			     const struct aub_placement_stats *state,
			     void *context)
{
	struct aub_node *node = context;

	export_upstreams(node, service, "up", state->up);
	export_upstreams(node, service, "down", state->down);
	export_upstreams(node, service, "unknown", state->unknown);
	export_upstreams(node, service, "cold", state->cold);
	export_upstreams(node, service, "limited", state->limited);
	export_upstreams(node, service, "resting", state->resting);
	export_upstreams(node, service, "leaving", state->draining);
	export_upstreams(node, service, "held", state->withheld);
	set_service_series(node, false, "auburnstile_queued", service,
			   "requests queued here for a slot", state->queued);
	set_service_series(node, false, "auburnstile_granted", service,
			   "slots in use by requests granted here",
			   state->granted);
	set_service_series(node, true, "auburnstile_asks_refused_total",
			   service, "placement requests refused here",
			   (gint64)state->refused);
	set_service_series(node, true, "auburnstile_cold_grants_total", service,
			   "requests granted to upstreams in warm-up",
			   (gint64)state->cold_grants);
	set_service_series(
		node, false, "auburnstile_cold_limit_per_1000_s", service,
		"limit of requests per 1000 s to one upstream in warm-up",
		(gint64)(1000 * state->cold_rate_per_s));
	set_service_series(
		node, false, "auburnstile_upstream_full_percent", service,
		"learned limit of an upstream's slots in use, in percent",
		state->concurrency_limit_percent);
	set_service_series(
		node, false, "auburnstile_upstream_slowdown_percent", service,
		"mean service time reported by upstreams; 100 is typical",
		state->slowdown_percent);
	set_service_series(node, false, "auburnstile_upstream_burst_ms",
			   service,
			   "learned length of interference bursts at upstreams",
			   state->interference_ms);
	export_retries(node, service, state);
	export_retry_counts(node, service, &state->retry_counts);
}

static void export_rollout(const char *service,
			   const struct aub_placement_stats *state,
			   void *context)
{
	struct aub_node *node = context;

	for (guint i = AUB_ROLLOUT_RUNNING; i < AUB_ROLLOUT_STATES; i++)
		set_series(
			node, false, "auburnstile_rollout_state",
			aub_metrics_labels("service", service, "state",
					   aub_rollout_state_name(
						   (enum aub_rollout_state)i),
					   NULL),
			"1: current state of the order, in this gateway's view",
			state->rollout == i);
	set_service_series(node, false, "auburnstile_rollout_exposed", service,
			   "requests placed here on the order's version",
			   (gint64)state->exposed);
	set_service_series(node, false, "auburnstile_rollout_answers", service,
			   "answers of the new version that were judged",
			   state->judged_answers);
	set_service_series(node, false, "auburnstile_rollout_bad_answers",
			   service, "judged answers that failed or were slow",
			   state->bad_answers);
}

static void export_store_kind(struct aub_node *node, enum aub_store_kind kind)
{
	const char *name = aub_store_kind_name(kind);
	gint64 answered_us = aub_store_sync_answered_us(node->store, kind);
	gint64 now = aub_timer_now(node->timers);

	for (guint i = 0; i < AUB_STORE_RESULTS; i++) {
		enum aub_store_result result = (enum aub_store_result)i;

		set_series(node, true, "auburnstile_store_calls_total",
			   aub_metrics_labels("kind", name, "result",
					      aub_store_result_name(result),
					      NULL),
			   "calls of the store by object kind and result",
			   (gint64)aub_store_sync_calls(node->store, kind,
							result));
	}
	set_series(node, false, "auburnstile_store_age_ms",
		   aub_metrics_labels("kind", name, NULL),
		   "time since the store last answered; -1: never",
		   answered_us ? (now - answered_us) / AUB_MS : -1);
}

static void export_peer_traffic(struct aub_node *node)
{
	const struct aub_peers_counts *counts =
		aub_peers_get_counts(node->peers);
	const char *datagrams = "auburnstile_peer_datagrams_total";
	const char *bytes = "auburnstile_peer_bytes_total";

	set_series(node, true, datagrams,
		   aub_metrics_labels("to", "zone", NULL),
		   "datagrams sent to other gateways",
		   (gint64)counts->own_zone_datagrams);
	set_series(node, true, datagrams,
		   aub_metrics_labels("to", "others", NULL),
		   "datagrams sent to other gateways",
		   (gint64)counts->cross_zone_datagrams);
	set_series(node, true, bytes, aub_metrics_labels("to", "zone", NULL),
		   "bytes of datagrams sent to other gateways",
		   (gint64)counts->own_zone_bytes);
	set_series(node, true, bytes, aub_metrics_labels("to", "others", NULL),
		   "bytes of datagrams sent to other gateways",
		   (gint64)counts->cross_zone_bytes);
}

/* Workspaces with series of their own. */
#define EXPORTED_QUOTAS_MAX 32

static void export_quota(struct aub_node *node,
			 const struct aub_quota_stats *stats)
{
	const char *workspace = stats->workspace;

	set_series(node, false, "auburnstile_quota_used",
		   aub_metrics_labels("workspace", workspace, NULL),
		   "requests granted here and not given back, since the start",
		   (gint64)stats->used);
	set_series(node, true, "auburnstile_quota_refused_total",
		   aub_metrics_labels("workspace", workspace, NULL),
		   "requests refused here as over quota",
		   (gint64)stats->refused);
	if (workspace[0])
		set_series(node, false, "auburnstile_quota_credit",
			   aub_metrics_labels("workspace", workspace, NULL),
			   "requests that the quota has room for at present",
			   (gint64)stats->credit);
}

/*
 * Chooses further workspaces for series of their own, those with the most
 * requests here first, until there are EXPORTED_QUOTAS_MAX. A choice is final,
 * so that the number of series stays bounded.
 */
static void choose_exported_quotas(struct aub_node *node, gint64 now_us)
{
	struct aub_quotas *quotas = aub_placer_quotas(node->placer);

	while (g_hash_table_size(node->exported_quotas) < EXPORTED_QUOTAS_MAX) {
		guint64 most = 0;
		guint chosen = 0;

		for (guint i = 1; i <= aub_quotas_count(quotas); i++) {
			struct aub_quota_stats stats;

			aub_quota_get_stats(quotas, i, now_us, &stats);
			if (stats.used + stats.refused <= most ||
			    g_hash_table_contains(node->exported_quotas,
						  GUINT_TO_POINTER(i)))
				continue;
			most = stats.used + stats.refused;
			chosen = i;
		}
		if (!chosen)
			return;
		g_hash_table_add(node->exported_quotas,
				 GUINT_TO_POINTER(chosen));
	}
}

static void export_quotas(struct aub_node *node)
{
	struct aub_quotas *quotas = aub_placer_quotas(node->placer);
	gint64 now = aub_timer_now(node->timers);
	struct aub_quota_stats others = { .workspace = "" };
	struct aub_quota_stats stats;

	choose_exported_quotas(node, now);
	for (guint i = 1; i <= aub_quotas_count(quotas); i++) {
		aub_quota_get_stats(quotas, i, now, &stats);
		if (g_hash_table_contains(node->exported_quotas,
					  GUINT_TO_POINTER(i))) {
			export_quota(node, &stats);
			continue;
		}
		others.used += stats.used;
		others.refused += stats.refused;
	}
	if (others.used || others.refused)
		export_quota(node, &others);
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
			   "log lines dropped because the buffer was full",
			   (gint64)aub_decision_log_dropped(
				   (enum aub_log_class)i));
}

void aub_node_on_metrics(const struct aub_http_head *head,
			 struct aub_http_response *reply, void *context)
{
	struct aub_node *node = context;
	char *text;

	if (!aub_http_target_has_path(head->target, "/metrics"))
		return;
	for (guint i = 0; i < G_N_ELEMENTS(scalars); i++) {
		const struct scalar *scalar = &scalars[i];

		set_series(node, scalar->is_counter, scalar->name, NULL,
			   scalar->help, scalar->read(node));
	}
	for (guint i = 0; i < AUB_STORE_KINDS; i++)
		export_store_kind(node, (enum aub_store_kind)i);
	export_peer_traffic(node);
	export_quotas(node);
	export_log(node);
	aub_placer_visit(node->placer, export_placement, node);
	if (node->rollouts_enabled)
		aub_placer_visit(node->placer, export_rollout, node);
	reply->status = 200;
	reply->content_type = "text/plain; version=0.0.4";
	text = aub_metrics_text(node->metrics);
	reply->body = g_bytes_new_take(text, strlen(text));
}

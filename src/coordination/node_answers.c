/*
 * What a gateway process answers about itself: which addresses callers may
 * use, whether it is ready, its counters.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/node_parts.h>

#include <string.h>

/* Callers in a zone that is down to one VM get the others', too. */
#define OWN_ZONE_LEAST 2

/* Callers are sent to nobody who has been silent for longer. */
#define DIRECTORY_US (4000 * AUB_MS)

#define ADDRESSES_MOST 64

bool aub_node_is_ready(const struct aub_node *node)
{
	return node->version && node->upstreams_known && !node->stopping;
}

/* Addresses of gateways that take callers; of one zone, or of all. */
static GPtrArray *addresses_in(const struct aub_node *node, const char *zone)
{
	const GPtrArray *all = aub_peers_all(node->peers);
	GPtrArray *list = g_ptr_array_new();
	gint64 now = aub_timer_now(node->timers);

	for (guint i = 0; i < all->len && list->len < ADDRESSES_MOST; i++) {
		const struct aub_peer *peer = g_ptr_array_index(all, i);

		if (peer->alive && peer->ready && !peer->stopping &&
		    (peer->self || now - peer->heard_us < DIRECTORY_US) &&
		    (!zone || !strcmp(zone, peer->zone)))
			g_ptr_array_add(list, peer->callers_address);
	}
	return list;
}

/*
 * Callers get gateways of their own zone: an answer that crosses a zone
 * costs 4 to 6% of what it is worth.
 */
void aub_node_on_directory(const struct aub_http_head *head,
			   struct aub_http_reply *reply, void *context)
{
	struct aub_node *node = context;
	GPtrArray *list;
	char *zone;

	if (!aub_http_path_is(head->target, node->platform->addresses_path))
		return;
	zone = aub_http_query(head->target, node->platform->zone_parameter);
	list = addresses_in(node, zone);
	if (list->len < OWN_ZONE_LEAST) {
		g_ptr_array_unref(list);
		list = addresses_in(node, NULL);
	}
	reply->status = list->len ? 200 : 503;
	reply->type = "application/json";
	reply->body = node->platform->addresses_body(list, node->address_ms);
	g_ptr_array_unref(list);
	g_free(zone);
}

void aub_node_on_readiness(const struct aub_http_head *head,
			   struct aub_http_reply *reply, void *context)
{
	struct aub_node *node = context;

	if (aub_http_path_is(head->target, node->platform->ready_path))
		reply->status = aub_node_is_ready(node) ? 200 : 503;
}

static void export_gauge(struct aub_node *node, const char *name,
			 const char *help, gint64 value)
{
	aub_metrics_set(node->metrics,
			aub_metrics_gauge(node->metrics, name, NULL, help),
			value);
}

static void export_of(struct aub_node *node, const char *service,
		      const char *state, gint64 value)
{
	char *label =
		g_strdup_printf("service=\"%s\",state=\"%s\"", service, state);

	aub_metrics_set(node->metrics,
			aub_metrics_gauge(node->metrics,
					  "auburnstile_upstreams", label,
					  "by what this gateway believes"),
			value);
	g_free(label);
}

static void export_placement(const char *service,
			     const struct aub_placement_state *state,
			     void *context)
{
	struct aub_node *node = context;

	export_of(node, service, "up", state->up);
	export_of(node, service, "down", state->down);
	export_of(node, service, "unknown", state->unknown);
	export_of(node, service, "cold", state->cold);
	export_of(node, service, "leaving", state->leaving);
}

void aub_node_on_export(const struct aub_http_head *head,
			struct aub_http_reply *reply, void *context)
{
	struct aub_node *node = context;
	const struct aub_placer_counts *counts =
		aub_placer_get_counts(node->placer);
	gint64 now = aub_timer_now(node->timers);

	if (!aub_http_path_is(head->target, "/metrics"))
		return;
	export_gauge(node, "auburnstile_config_version",
		     "configuration in force", node->version);
	export_gauge(node, "auburnstile_requests_under_way", "now",
		     aub_gateway_requests(node->gateway));
	export_gauge(node, "auburnstile_caller_connections", "open now",
		     aub_gateway_connections(node->gateway));
	export_gauge(node, "auburnstile_upstream_connections", "opened so far",
		     (gint64)aub_http_client_opened(node->client));
	export_gauge(node, "auburnstile_store_calls", "so far",
		     (gint64)aub_store_sync_calls(node->store));
	export_gauge(node, "auburnstile_store_age_ms",
		     "since the store last told of upstreams",
		     (now - aub_store_sync_heard_us(node->store,
						    AUB_STORE_UPSTREAMS)) /
			     AUB_MS);
	export_gauge(node, "auburnstile_placer_asked",
		     "requests that asked for an upstream",
		     (gint64)counts->asked);
	export_gauge(node, "auburnstile_placer_decided",
		     "asked here, by any gateway", (gint64)counts->placed_here);
	export_gauge(node, "auburnstile_placer_alone",
		     "placed for want of a placer",
		     (gint64)counts->placed_alone);
	export_gauge(node, "auburnstile_placer_passed_by",
		     "placers that did not answer in time",
		     (gint64)counts->passed_by);
	export_gauge(node, "auburnstile_probes", "sent so far",
		     (gint64)counts->probes);
	export_gauge(node, "auburnstile_log_dropped",
		     "lines about successes that found no room",
		     (gint64)aub_decision_log_dropped(AUB_LOG_CALM));
	export_gauge(node, "auburnstile_store_lost_ms",
		     "since the store stopped answering; 0: it answers",
		     aub_store_sync_lost_us(node->store) / AUB_MS);
	aub_placer_visit(node->placer, export_placement, node);
	reply->status = 200;
	reply->type = "text/plain; version=0.0.4";
	reply->body = aub_metrics_text(node->metrics);
}

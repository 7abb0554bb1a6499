/*
 * HTTP endpoints of a gateway process: the address directory for callers and
 * the readiness check.
 */
#include <auburnstile/internal/node_internal.h>

#include <string.h>

/* Callers in a zone with fewer live VMs also get addresses of other zones. */
#define OWN_ZONE_ADDRESSES_MIN 2

#define ADDRESSES_MAX 64

bool aub_node_is_ready(const struct aub_node *node)
{
	return node->config_version && node->upstreams_listed &&
	       !node->stopping;
}

/*
 * Returns the addresses of gateways that accept callers, in `zone` or, if it is
 * NULL, in all zones. The addresses are borrowed.
 */
static GPtrArray *caller_addresses_in(const struct aub_node *node,
				      const char *zone)
{
	const GPtrArray *all = aub_peers_all(node->peers);
	GPtrArray *list = g_ptr_array_new();
	gint64 now = aub_timer_now(node->timers);

	for (guint i = 0; i < all->len && list->len < ADDRESSES_MAX; i++) {
		const struct aub_peer *peer = g_ptr_array_index(all, i);

		if (aub_peer_is_serving(peer, now) &&
		    (!zone || !strcmp(zone, peer->zone)))
			g_ptr_array_add(list, peer->callers_address);
	}
	return list;
}

/*
 * Callers get gateways of their own zone, since traffic between zones is
 * expensive.
 */
void aub_node_on_directory(const struct aub_http_head *head,
			   struct aub_http_response *reply, void *context)
{
	struct aub_node *node = context;
	GPtrArray *list;
	char *zone;

	if (!aub_http_target_has_path(head->target,
				      node->platform->addresses_path))
		return;
	zone = aub_http_query_parameter(head->target,
					node->platform->zone_parameter);
	list = caller_addresses_in(node, zone);
	if (list->len < OWN_ZONE_ADDRESSES_MIN) {
		g_ptr_array_unref(list);
		list = caller_addresses_in(node, NULL);
	}
	reply->status = list->len ? 200 : 503;
	reply->content_type = node->platform->content_type;
	reply->body = node->platform->addresses_body(list, node->address_ms);
	g_ptr_array_unref(list);
	g_free(zone);
}

void aub_node_on_readiness(const struct aub_http_head *head,
			   struct aub_http_response *reply, void *context)
{
	struct aub_node *node = context;

	if (aub_http_target_has_path(head->target, node->platform->ready_path))
		reply->status = aub_node_is_ready(node) ? 200 : 503;
}

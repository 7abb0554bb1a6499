/*
 * What a gateway process answers about itself: which addresses callers may
 * use, and whether it is ready.
 */
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

/* Callers get gateways of their own zone: bytes between zones are dear. */
void aub_node_on_directory(const struct aub_http_head *head,
			   struct aub_http_response *reply, void *context)
{
	struct aub_node *node = context;
	GPtrArray *list;
	char *zone;

	if (!aub_http_target_has_path(head->target, node->platform->addresses_path))
		return;
	zone = aub_http_query_parameter(head->target, node->platform->zone_parameter);
	list = addresses_in(node, zone);
	if (list->len < OWN_ZONE_LEAST) {
		g_ptr_array_unref(list);
		list = addresses_in(node, NULL);
	}
	reply->status = list->len ? 200 : 503;
	reply->content_type = node->platform->body_type;
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

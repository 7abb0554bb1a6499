/*
 * Which gateway sends requests on for one that has lost its own links to the
 * upstreams.
 */
#include <auburnstile/internal/peers_internal.h>

#define RELAY_FAILED_PAUSE_US (1000 * AUB_MS)
#define NO_PATH_VALID_US (2000 * AUB_MS)
/*
 * The gateways of the own zone relay unless each would have to do so for more
 * than this number of others: traffic between zones is expensive, but a small
 * VM that serves several others is slow for all of them.
 */
#define RELAYED_PER_PEER_MAX 2

void aub_peer_set_relay_failed(struct aub_peer *peer, gint64 now_us)
{
	peer->relay_failed_until_us = now_us + RELAY_FAILED_PAUSE_US;
}

static gboolean is_over(void *upstream, void *until_us, void *now_us)
{
	return *(const gint64 *)until_us <= *(const gint64 *)now_us;
}

void aub_peer_set_no_path(struct aub_peer *peer, const char *upstream,
			  gint64 now_us)
{
	gint64 until_us = now_us + NO_PATH_VALID_US;

	g_hash_table_foreach_remove(peer->no_path_until_us, is_over, &now_us);
	g_hash_table_replace(peer->no_path_until_us, g_strdup(upstream),
			     g_memdup2(&until_us, sizeof(until_us)));
}

static bool has_path(const struct aub_peer *peer, const char *upstream,
		     gint64 now_us)
{
	const gint64 *until_us =
		g_hash_table_lookup(peer->no_path_until_us, upstream);

	return !until_us || *until_us <= now_us;
}

static bool may_relay(const struct aub_peer *peer, gint64 now_us)
{
	return !peer->self && aub_peer_is_serving(peer, now_us) &&
	       !peer->egress_down && peer->relay_failed_until_us <= now_us;
}

/* Counts this process among those without links, whatever its state. */
static bool needs_relay(const struct aub_peer *peer)
{
	return peer->self || (peer->alive && peer->egress_down);
}

struct aub_peer *aub_peers_pick_relay(const struct aub_peers *peers,
				      const char *upstream, guint turn,
				      gint64 now_us)
{
	GPtrArray *all = g_ptr_array_new();
	GPtrArray *own_zone = g_ptr_array_new();
	const GPtrArray *candidates = all;
	struct aub_peer *relay = NULL;
	guint without_links = 0; /* in the own zone */

	for (guint i = 0; i < peers->all->len; i++) {
		struct aub_peer *peer = g_ptr_array_index(peers->all, i);
		bool in_own_zone = aub_peer_is_in_own_zone(peers, peer);

		without_links += in_own_zone && needs_relay(peer);
		if (!may_relay(peer, now_us) ||
		    !has_path(peer, upstream, now_us))
			continue;
		g_ptr_array_add(all, peer);
		if (in_own_zone)
			g_ptr_array_add(own_zone, peer);
	}
	if (own_zone->len &&
	    without_links <= own_zone->len * RELAYED_PER_PEER_MAX)
		candidates = own_zone;
	if (candidates->len)
		relay = g_ptr_array_index(candidates, turn % candidates->len);
	g_ptr_array_unref(all);
	g_ptr_array_unref(own_zone);
	return relay;
}

/*
 * The table of gateways, indexed by address and, once a heartbeat arrived, by
 * incarnation.
 */
#include <auburnstile/internal/peers_internal.h>
#include <auburnstile/internal/tcp.h>

/*
 * A gateway of another zone that has ended counts as alive for longer than
 * callers may be sent to it.
 */
#define HEARTBEAT_AGE_MAX_US (4000 * AUB_MS)

void aub_peer_free(void *data)
{
	struct aub_peer *peer = data;

	g_free(peer->name);
	g_free(peer->zone);
	g_free(peer->address);
	g_free(peer->callers_address);
	g_hash_table_unref(peer->rank_keys);
	g_hash_table_unref(peer->no_path_until_us);
	g_free(peer);
}

struct aub_peer *aub_peer_new(const char *address, gint64 now_us)
{
	struct aub_peer *peer = g_new0(struct aub_peer, 1);

	peer->name = g_strdup("");
	peer->zone = g_strdup("");
	peer->callers_address = g_strdup("");
	peer->address = g_strdup(address);
	aub_socket_address_parse(address, &peer->socket_address);
	peer->added_us = now_us;
	peer->no_path_until_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	peer->rank_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return peer;
}

bool aub_peer_is_serving(const struct aub_peer *peer, gint64 now_us)
{
	return peer->alive && peer->ready && !peer->stopping &&
	       (peer->self ||
		now_us - peer->last_heartbeat_us < HEARTBEAT_AGE_MAX_US);
}

struct aub_peer *aub_peers_by_address(const struct aub_peers *peers,
				      const char *address)
{
	return g_hash_table_lookup(peers->by_address, address);
}

struct aub_peer *aub_peers_by_incarnation(const struct aub_peers *peers,
					  guint64 incarnation)
{
	return g_hash_table_lookup(peers->by_incarnation, &incarnation);
}

void aub_peers_table_add(struct aub_peers *peers, struct aub_peer *peer)
{
	g_ptr_array_add(peers->all, peer);
	g_hash_table_insert(peers->by_address, peer->address, peer);
	if (peer->incarnation)
		g_hash_table_insert(peers->by_incarnation, &peer->incarnation,
				    peer);
}

void aub_peers_table_remove(struct aub_peers *peers, guint index)
{
	struct aub_peer *peer = g_ptr_array_index(peers->all, index);

	g_hash_table_remove(peers->by_address, peer->address);
	g_hash_table_remove(peers->by_incarnation, &peer->incarnation);
	g_ptr_array_remove_index(peers->all, index);
}

void aub_peers_set_incarnation(struct aub_peers *peers, struct aub_peer *peer,
			       guint64 incarnation)
{
	if (peer->incarnation == incarnation)
		return;
	g_hash_table_remove(peers->by_incarnation, &peer->incarnation);
	peer->incarnation = incarnation;
	g_hash_table_insert(peers->by_incarnation, &peer->incarnation, peer);
}

guint aub_peers_count_alive(const struct aub_peers *peers)
{
	guint count = 0;

	for (guint i = 1; i < peers->all->len; i++)
		count += ((struct aub_peer *)g_ptr_array_index(peers->all, i))
				 ->alive;
	return count;
}
